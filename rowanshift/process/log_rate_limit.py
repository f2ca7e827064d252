"""Log lines, limited by rate: a flood must not become one of lines."""

import time
from collections.abc import Callable
from typing import Any

AT_ONCE = 20  # of one place in the code
A_SECOND = 5.0
INFO = 20  # the number of that level


class Lines:
    """A filter for loguru. Each place in the code has its own allowance; what it left out is told with the
    next line that passes. Lines below INFO have no limit: whoever asks for them wants each."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.places: dict[tuple[str, int], tuple[float, float, int]] = {}  # allowance, when, lines left out

    def __call__(self, record: dict[str, Any]) -> bool:
        if record["level"].no < INFO:
            return True
        place, now = (record["name"], record["line"]), self.clock()
        allowance, at, left_out = self.places.get(place, (AT_ONCE, now, 0))
        allowance = min(AT_ONCE, allowance + A_SECOND * (now - at))
        passes = allowance >= 1
        self.places[place] = (allowance - passes, now, 0 if passes else left_out + 1)
        if passes and left_out:
            record["message"] += f" ({left_out} more like it were left out)"
        return passes
