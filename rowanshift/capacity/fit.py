"""A least-squares line through the steps of a sweep, rejected if the points are not close to it. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

MAX_RESIDUAL = 0.10  # as a share of the scale defined in Line
MIN_POINTS = 3


@dataclass(frozen=True, slots=True)
class Line:
    """``slope`` is in the metric's unit per unit of the stepped variable, ``intercept`` in the metric's unit.

    ``residual`` is the largest distance of a point from the line, as a share of the larger of the points'
    range and their mean. ``refused`` is the reason why the line must not be used, or empty.
    """

    slope: float
    intercept: float
    residual: float
    refused: str = ""

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float], max_residual: float = MAX_RESIDUAL) -> Line:
    """Fits a least-squares line; ``refused`` is set if there are too few points or one is too far from it."""
    n = len(xs)
    if n < MIN_POINTS or len(set(xs)) < MIN_POINTS:
        return Line(0.0, 0.0, 0.0, f"{len(set(xs))} points, {MIN_POINTS} at least")
    x0, y0 = sum(xs) / n, sum(ys) / n
    spread = sum((x - x0) ** 2 for x in xs)
    slope = sum((x - x0) * (y - y0) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = y0 - slope * x0
    scale = max(max(ys) - min(ys), abs(y0))
    largest_distance = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True))
    residual = largest_distance / scale if scale else 0.0
    refused = f"a point is {residual:.0%} off the line, {max_residual:.0%} at most" if residual > max_residual else ""
    return Line(slope, intercept, residual, refused)
