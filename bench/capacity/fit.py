"""Straight lines through measured points."""

import statistics

import msgspec


class Slope(msgspec.Struct):
    """A least-squares line through points.

    Attributes:
        name: What was measured.
        x: What was varied, with its unit.
        y: What was measured, with its unit.
        points: Measured points.
        slope: ``y`` per ``x``.
        offset: ``y`` at ``x`` of 0.
        residual: Largest distance of a point from the line, as a share of
            the largest ``y``.
    """

    name: str
    x: str
    y: str
    points: list[tuple[float, float]]
    slope: float
    offset: float
    residual: float

    def at(self, x: float) -> float:
        """Returns ``y`` on the line."""
        return self.offset + self.slope * x


def fit(name: str, x: str, y: str, points: list[tuple[float, float]]) -> Slope:
    """Returns the line through at least two points."""
    xs = [point[0] for point in points]
    ys = [point[1] for point in points]
    slope, offset = statistics.linear_regression(xs, ys)
    largest = max((abs(value) for value in ys), default=0.0) or 1.0
    residual = max(abs(value - offset - slope * at) for at, value in points)
    return Slope(name, x, y, points, slope, offset, residual / largest)
