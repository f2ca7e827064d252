"""Retry budget: bounds the retries of each router so that all routers together keep a limit. No I/O, no clock.

The limit holds for each service and each time window, summed over all routers: at most ``ratio`` x requests +
``slack`` retries. The number of requests is the largest of those of the window itself, of the window before it and of
the window that begins half a window earlier.

Routers do not coordinate. A router's part of the ratio is based on its own requests in the window that ends now. Two
windows may cover the same requests, so a router spends only ``SPENDABLE_FRACTION`` of its part; this keeps the limit
however the requests are distributed over time. The slack is divided by the number of routers; a router that doesn't
know the number yet gets none.
"""

from collections import deque
from dataclasses import dataclass

SPENDABLE_FRACTION = 0.5  # fraction of its part of the limit that a router spends
BUCKET_SECONDS = 0.5


@dataclass(slots=True)
class _Bucket:
    """Events counted in one interval of ``BUCKET_SECONDS``."""

    index: float
    events: float


class BucketCounter:
    """Counts events in a sliding time window, in buckets of ``BUCKET_SECONDS``."""

    def __init__(self) -> None:
        self._buckets: deque[_Bucket] = deque()  # the oldest first

    def __len__(self) -> int:
        """The number of buckets in memory."""
        return len(self._buckets)

    def add(self, now: float) -> None:
        """Count one event at ``now``, in seconds."""
        index = now // BUCKET_SECONDS
        if self._buckets and self._buckets[-1].index == index:
            self._buckets[-1].events += 1
        else:
            self._buckets.append(_Bucket(index, 1.0))

    def total(self, now: float, window_seconds: float) -> float:
        """The number of events in the window that ends at ``now``; buckets that begin before the window are removed."""
        first = (now - window_seconds) / BUCKET_SECONDS
        while self._buckets and self._buckets[0].index < first:
            self._buckets.popleft()
        return sum(bucket.events for bucket in self._buckets)


class RetryBudget:
    """The retry budget of one service at one router.

    ``ratio``: retries per request, over all routers; 0 allows none beyond the slack.
    ``slack``: additional retries per window, over all routers, so that a service with few requests can retry at all.
    ``window_seconds``: the length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.router_count = 0  # routers that share the slack; 0: unknown, no slack is available
        self.requests = BucketCounter()
        self.retries = BucketCounter()

    def record_request(self, now: float) -> None:
        """Count one request of the service, not a retry, at ``now`` in seconds."""
        self.requests.add(now)

    def try_withdraw(self, now: float) -> bool:
        """Whether one more retry may be sent at ``now``, in seconds; if so, it is counted."""
        requests = self.requests.total(now, self.window_seconds)
        # Buckets that begin before the window are not counted. Retries are counted one bucket longer, so that none
        # is left out.
        retries = self.retries.total(now, self.window_seconds + BUCKET_SECONDS)
        slack_share = self.slack / self.router_count if self.router_count else 0.0
        if retries + 1 > SPENDABLE_FRACTION * (self.ratio * requests + slack_share):
            return False
        self.retries.add(now)
        return True
