"""Measures the decisions under load and faults, against a naive version."""
