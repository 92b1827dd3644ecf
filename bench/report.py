"""Writes the page of measurements from a data file."""
