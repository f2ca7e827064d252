"""A clock that moves only while no task can run, and then to the next thing that happens.

trio asks its clock how long to sleep exactly when nothing is runnable. This one never sleeps: it makes the
calls that are due until one of them wakes a task, or goes on to trio's own next deadline. Time passes
nowhere else, so what a task does takes none.
"""

import random
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

import trio
from trio._core import _run

MOST_IDLE = 100  # turns with nothing to wait for
MOST_CALLS = 1000  # made in a turn in which no task waits for a time


class Standstill(RuntimeError):
    """Every task waits for something that nothing will bring."""


class VirtualClock(trio.abc.Clock):
    """Seconds since the start of the run."""

    def __init__(self) -> None:
        self.time = 0.0
        self.woken = False  # whether a call made a task runnable
        self.calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = count()
        self.idle = 0  # turns with nothing to wait for

    def start_clock(self) -> None:
        pass

    def current_time(self) -> float:
        return self.time

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Has a call made at a time; those of one time in the order in which they were asked for."""
        heappush(self.calls, (when, next(self.order), call, args))

    def deadline_to_sleep_time(self, deadline: float) -> float:
        self.woken, made = False, 0
        while not self.woken:
            if self.calls and self.calls[0][0] <= deadline:
                when, _, call, args = heappop(self.calls)
                self.time = max(self.time, when)
                call(*args)
                made += 1
                if deadline == float("inf") and made >= MOST_CALLS and not self.woken:
                    return self._nothing()  # a dial may be tried again for ever, and wake nobody
            elif deadline == float("inf"):
                return self._nothing()
            else:
                self.time = max(self.time, deadline)
                break
        self.idle = 0
        return 0.0

    def _nothing(self) -> float:
        """No task waits for a time: trio may still have something to say to itself, as at its end."""
        self.idle += 1
        if self.idle > MOST_IDLE:
            raise Standstill(f"nothing is left to happen after {self.time:.6f} s")
        return 0.001


class Determined:
    """Has trio schedule by a seed while it is entered; what was set before comes back afterwards.

    trio shuffles the tasks of a turn. It has a switch for the makers of test tools that sorts them by age
    first, and a random source of its own; both are private, so
    tests/simulation/test_simulation.py notices when they go.
    """

    def __init__(self, seed: str) -> None:
        self.seed = seed

    def __enter__(self) -> None:
        self.before = _run._ALLOW_DETERMINISTIC_SCHEDULING, _run._r
        _run._ALLOW_DETERMINISTIC_SCHEDULING, _run._r = True, random.Random(self.seed)

    def __exit__(self, *_: object) -> None:
        _run._ALLOW_DETERMINISTIC_SCHEDULING, _run._r = self.before
