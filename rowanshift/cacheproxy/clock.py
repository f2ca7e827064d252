"""Unix time that never steps back, and its conversion to trio's deadlines."""

import trio

from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime


class Clock:
    """The system's wall clock as read at the start, advanced by the monotonic clock.

    Lists give the start times of cache servers in wall-clock time, and routers use it to agree on the current second.
    """

    def __init__(self, runtime: Runtime = SYSTEM_RUNTIME) -> None:
        self.offset = runtime.wall() - trio.current_time()

    def now(self) -> float:
        """The current time in Unix seconds."""
        return self.offset + trio.current_time()

    def deadline(self, at: float) -> float:
        """Converts a time in Unix seconds to trio's time."""
        return at - self.offset
