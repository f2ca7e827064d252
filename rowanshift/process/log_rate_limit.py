"""Rate limit for log lines, so that a burst of events does not flood the log."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Record

BURST_LINES = 20  # per call site
LINES_PER_SECOND = 5.0  # sustained rate per call site
INFO_LEVEL = 20  # loguru's severity number


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of a call site, and the number of lines suppressed since its last line."""

    lines: float
    updated_at: float
    suppressed: int = 0


class LogRateLimit:
    """A loguru filter with a token bucket per call site.

    The next line that passes states how many were suppressed before it. Lines below INFO are not limited: they are
    enabled for debugging, where each line matters. ``clock`` returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.buckets: dict[tuple[str | None, int], TokenBucket] = {}  # keyed by (module, line number)

    def __call__(self, record: Record) -> bool:
        """Whether to log a line; appends the number of suppressed lines to its message, if there are any."""
        if record["level"].no < INFO_LEVEL:
            return True
        now = self.clock()
        call_site = record["name"], record["line"]
        bucket = self.buckets.setdefault(call_site, TokenBucket(BURST_LINES, now))
        refill = LINES_PER_SECOND * (now - bucket.updated_at)
        bucket.lines = min(BURST_LINES, bucket.lines + refill)
        bucket.updated_at = now
        if bucket.lines < 1:
            bucket.suppressed += 1
            return False
        bucket.lines -= 1
        if bucket.suppressed:
            record["message"] += f" ({bucket.suppressed} more like it suppressed)"
            bucket.suppressed = 0
        return True
