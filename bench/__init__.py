"""Measurements, kept apart from the tests; see docs/MEASUREMENTS.md."""
