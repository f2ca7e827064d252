"""Unix seconds that never step back, and trio's deadlines for them."""

import trio

from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime


class Clock:
    """The system's clock as it stood at the start, carried on by the monotonic one.

    Lists tell when a cache server came up by the same clock, and routers agree on the second by it.
    """

    def __init__(self, host: Runtime = SYSTEM_RUNTIME) -> None:
        self.offset = host.wall() - trio.current_time()

    def now(self) -> float:
        return self.offset + trio.current_time()

    def deadline(self, at: float) -> float:
        return at - self.offset
