"""A virtual clock for trio. It advances only while no task is runnable, and then straight to the next event.

trio asks its clock how long to sleep exactly when no task is runnable. This clock never sleeps: it executes the
scheduled calls in order of time until one of them wakes a task, or advances to trio's next deadline. Time passes
nowhere else, so running a task takes no virtual time.
"""

import random
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

import trio
from trio._core import _run

MAX_IDLE_TURNS = 100  # consecutive scheduler turns with neither a deadline nor a scheduled call
MAX_CALLS_PER_TURN = 1000  # scheduled calls in a turn in which no task has a deadline


class Deadlock(RuntimeError):
    """Every task waits, and no scheduled call or deadline will wake any of them."""


class VirtualClock(trio.abc.Clock):
    """Virtual time in seconds since the start of the run."""

    def __init__(self) -> None:
        self.time = 0.0
        self.task_woken = False  # whether a scheduled call made a task runnable
        self.scheduled_calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.call_order = count()
        self.idle_turns = 0  # consecutive turns with neither a deadline nor a scheduled call

    def start_clock(self) -> None:
        pass

    def current_time(self) -> float:
        return self.time

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call at a virtual time. Calls at the same time run in the order in which they were scheduled."""
        heappush(self.scheduled_calls, (when, next(self.call_order), call, args))

    def deadline_to_sleep_time(self, deadline: float) -> float:
        self.task_woken, call_count = False, 0
        while not self.task_woken:
            if self.scheduled_calls and self.scheduled_calls[0][0] <= deadline:
                when, _, call, args = heappop(self.scheduled_calls)
                self.time = max(self.time, when)
                call(*args)
                call_count += 1
                if deadline == float("inf") and call_count >= MAX_CALLS_PER_TURN and not self.task_woken:
                    return self._idle_turn()  # connection attempts may be retried for ever without waking a task
            elif deadline == float("inf"):
                return self._idle_turn()
            else:
                self.time = max(self.time, deadline)
                break
        self.idle_turns = 0
        return 0.0

    def _idle_turn(self) -> float:
        """Count a turn without deadlines. trio has a few of them for its own tasks, for example at the end of a run."""
        self.idle_turns += 1
        if self.idle_turns > MAX_IDLE_TURNS:
            raise Deadlock(f"all tasks are blocked at {self.time:.6f} s and nothing is scheduled that would wake one")
        return 0.001


class DeterministicScheduling:
    """Context manager that makes trio's scheduling depend on a seed only, and restores the former settings on exit.

    trio shuffles the runnable tasks of a turn. A private flag, meant for test tools, sorts them by age first, and the
    shuffle uses a private random source. Both may change with any release of trio, which a test in
    tests/simulation/test_simulation.py would detect.
    """

    def __init__(self, seed: str) -> None:
        self.seed = seed

    def __enter__(self) -> None:
        self.previous = _run._ALLOW_DETERMINISTIC_SCHEDULING, _run._r
        _run._ALLOW_DETERMINISTIC_SCHEDULING, _run._r = True, random.Random(self.seed)

    def __exit__(self, *_: object) -> None:
        _run._ALLOW_DETERMINISTIC_SCHEDULING, _run._r = self.previous
