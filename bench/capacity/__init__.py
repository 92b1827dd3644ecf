"""Slopes at small sizes, and what they mean at the target size."""
