"""Writes the page of measurements from a data file."""


def write_report(run): ...
