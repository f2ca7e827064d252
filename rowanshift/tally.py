"""Shared budgets cut into parts that add up over any number of counters. No I/O, no clock.

Over all counters, repeats of a service's requests in any window may be ``ratio`` x its requests in that
window, plus ``slack``. A counter's part follows its own requests; the slack is cut by the number of members.
What another counter took before it ended may still lie in the window, and members may not know of each other
for a while: only ``SURE`` of both is used, and a counter that has just started has no slack until it has been
a member for a window.
"""

from collections import deque

SURE = 0.7  # part of the allowance that is ever used
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
        first = (now - window) // BUCKET
        while buckets and buckets[0][0] < first:
            buckets.popleft()
        return sum(n for _, n in buckets)
