"""A rate limit on log lines, so that a flood of events does not become a flood of lines."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Record

BURST_LINES = 20  # of one place in the code
LINES_PER_SECOND = 5.0  # of one place, beyond a burst
INFO_LEVEL = 20  # loguru's number of that level


@dataclass(slots=True)
class Allowance:
    """The lines that one place in the code may still log, and how many were suppressed since its last line."""

    lines: float
    updated_at: float
    suppressed: int = 0


class LogRateLimit:
    """A filter for loguru with a token bucket for each place in the code.

    The next line that passes says how many were suppressed before it. Lines below INFO have no limit: whoever asks for
    them wants each. ``clock`` gives seconds of a steady clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.allowances: dict[tuple[str | None, int], Allowance] = {}  # by module and line

    def __call__(self, record: Record) -> bool:
        """Whether to log a line; its message may get the count of suppressed ones."""
        if record["level"].no < INFO_LEVEL:
            return True
        now = self.clock()
        place = record["name"], record["line"]
        allowance = self.allowances.setdefault(place, Allowance(BURST_LINES, now))
        refill = LINES_PER_SECOND * (now - allowance.updated_at)
        allowance.lines = min(BURST_LINES, allowance.lines + refill)
        allowance.updated_at = now
        if allowance.lines < 1:
            allowance.suppressed += 1
            return False
        allowance.lines -= 1
        if allowance.suppressed:
            record["message"] += f" ({allowance.suppressed} more like it were left out)"
            allowance.suppressed = 0
        return True
