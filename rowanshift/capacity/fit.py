"""A least-squares line through the steps of a sweep, refused where the points don't lie on it. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

MOST_RESIDUAL = 0.10  # of the scale, over which there is no line
LEAST_POINTS = 3


@dataclass(frozen=True, slots=True)
class Line:
    """``slope`` in the metric's unit a thing stepped, ``intercept`` in the metric's unit.

    ``residual`` is the largest distance of a point from the line, as a share of the larger of the points'
    range and their mean. ``refused`` says why there is no line to go by; empty: there is one.
    """

    slope: float
    intercept: float
    residual: float
    refused: str = ""

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


def line(xs: Sequence[float], ys: Sequence[float], most: float = MOST_RESIDUAL) -> Line:
    """The line of least squares; ``refused`` says so where points are few or off it."""
    n = len(xs)
    if n < LEAST_POINTS or len(set(xs)) < LEAST_POINTS:
        return Line(0.0, 0.0, 0.0, f"{len(set(xs))} points, {LEAST_POINTS} at least")
    x0, y0 = sum(xs) / n, sum(ys) / n
    spread = sum((x - x0) ** 2 for x in xs)
    slope = sum((x - x0) * (y - y0) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = y0 - slope * x0
    scale = max(max(ys) - min(ys), abs(y0))
    off = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True))
    residual = off / scale if scale else 0.0
    refused = f"a point is {residual:.0%} off the line, {most:.0%} at most" if residual > most else ""
    return Line(slope, intercept, residual, refused)
