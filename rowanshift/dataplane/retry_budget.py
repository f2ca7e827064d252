"""Shared budgets cut into parts that add up over any number of counters. No I/O, no clock.

Over all counters, repeats of a service's requests in any window may be ``ratio`` x its requests and slack.
The requests are those of that window, of the one before it or of the one half a window before it, whichever
are most. A counter's part follows its own requests of the window that ends now, which two such windows cover:
``SURE`` is half, so that the sum holds whenever the requests came. The slack is cut by the number of members,
which one that has just started doesn't know: it has none.
"""

from collections import deque

SURE = 0.5  # part of the allowance that is ever used
BUCKET = 0.5  # seconds


class RetryBudget:
    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio, self.slack, self.window = ratio, slack, window
        self.members = 0  # that share the slack; 0: not known
        self.asked: deque[list[float]] = deque()  # [bucket, requests], the oldest first
        self.spent: deque[list[float]] = deque()

    def request(self, now: float) -> None:
        self._add(self.asked, now)

    def take(self, now: float) -> bool:
        """Whether one more repeat may be sent now; it is counted if so."""
        asked = self._sum(self.asked, now, self.window)
        spent = self._sum(self.spent, now, self.window + BUCKET)
        own = self.slack / self.members if self.members else 0.0
        if spent + 1 > SURE * (self.ratio * asked + own):
            return False
        self._add(self.spent, now)
        return True

    def _add(self, buckets: deque[list[float]], now: float) -> None:
        at = now // BUCKET
        if buckets and buckets[-1][0] == at:
            buckets[-1][1] += 1
        else:
            buckets.append([at, 1.0])

    def _sum(self, buckets: deque[list[float]], now: float, window: float) -> float:
        first = (now - window) / BUCKET
        while buckets and buckets[0][0] < first:  # it lies in part before the window
            buckets.popleft()
        return sum(n for _, n in buckets)
