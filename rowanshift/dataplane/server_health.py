"""Passive health checks: detects failing servers from the reports of all routers. No I/O, no clock.

One router sends too few requests to detect a silent server before several of its requests have failed there. So the
owner of the server's load (``load_index``) receives the reports of all routers. A request counts as a success when its
first bytes are received. It counts as a failure if it failed, or if it is overdue and the server has sent no response
since the request was sent. Both counts decay, so that a server that gets no requests becomes healthy again; until then
one probe request is sent to it every ``PROBE_INTERVAL_SECONDS``.

All times and durations are in seconds. The time in which first bytes are due is learned from long prompts.
"""

from dataclasses import dataclass

FIRST_BYTES_GRACE_SECONDS = 0.4  # time for the first bytes of a response to a prompt of any length
OVERDUE_PACE_FACTOR = 4.0  # multiple of the mean time per prompt token that is allowed in addition
INITIAL_SECONDS_PER_TOKEN = 20e-6  # until a response has been measured
PACE_SMOOTHING_FRACTION = 0.05  # weight of a new measurement in the moving average
MIN_MEASURED_PROMPT_TOKENS = 1000  # for shorter prompts, fixed costs dominate the time per token
COUNT_HALF_LIFE_SECONDS = 1.0  # of the counts of a server
MIN_FAILED_REQUESTS = 1.5  # decayed count; with fewer failures a server is not failing
FAILING_FRACTION = 0.3  # a server is failing if more than this fraction of its requests failed
PROBE_INTERVAL_SECONDS = 0.5  # between probe requests to a failing server
MAX_TRACKED_SERVERS = 4096  # beyond this, the least recently reported server is removed


@dataclass(slots=True)
class ServerHealth:
    """Counts of a server's successful and failed requests, decayed to the time ``updated_at``."""

    updated_at: float
    succeeded: float = 0.0
    failed: float = 0.0
    last_response_at: float = float("-inf")  # first bytes of the latest response
    last_probe_at: float = float("-inf")

    def decay(self, now: float) -> None:
        """Decay both counts to ``now``."""
        remaining = 0.5 ** (max(0.0, now - self.updated_at) / COUNT_HALF_LIFE_SECONDS)
        self.succeeded *= remaining
        self.failed *= remaining
        self.updated_at = now

    @property
    def is_failing(self) -> bool:
        """Whether at least ``MIN_FAILED_REQUESTS`` failed, and more than ``FAILING_FRACTION`` of all requests."""
        return self.failed >= MIN_FAILED_REQUESTS and self.failed > FAILING_FRACTION * (self.succeeded + self.failed)


class ServerHealthTracker:
    """The health of each server, by the hash of the server's id."""

    def __init__(self) -> None:
        self.servers: dict[int, ServerHealth] = {}  # the least recently reported first
        self.seconds_per_token = INITIAL_SECONDS_PER_TOKEN

    def first_bytes_due_seconds(self, tokens: int) -> float:
        """The time in which the first bytes of a response to a prompt with ``tokens`` tokens are due."""
        return FIRST_BYTES_GRACE_SECONDS + OVERDUE_PACE_FACTOR * self.seconds_per_token * tokens

    def record_success(self, server: int, tokens: int, seconds: float, now: float) -> None:
        """Record first bytes that came in time: ``seconds`` after the request with a prompt of ``tokens`` tokens."""
        if tokens >= MIN_MEASURED_PROMPT_TOKENS:
            self.seconds_per_token += PACE_SMOOTHING_FRACTION * (seconds / tokens - self.seconds_per_token)
        health = self._updated(server, now)
        health.succeeded += 1
        health.last_response_at = now

    def record_failure(self, server: int, now: float) -> None:
        """Record that a request failed at the server."""
        self._updated(server, now).failed += 1

    def record_overdue(self, server: int, sent_at: float, now: float) -> bool:
        """Record that a request sent at ``sent_at`` is overdue; return whether it counts as a failure.

        It is no failure if the server has responded to other requests since then: it is slow, not silent.
        """
        health = self._updated(server, now)
        is_silent = health.last_response_at < sent_at
        if is_silent:
            health.failed += 1
        return is_silent

    def record_late_response(self, server: int, now: float) -> None:
        """Record that the first bytes of an overdue response were received."""
        self._updated(server, now).last_response_at = now

    def should_avoid(self, server: int, now: float, may_probe: bool) -> bool:
        """Whether requests should go to other servers.

        ``may_probe``: the calling router would send its request to this server; if a probe is due, that request is it.
        """
        health = self.servers.get(server)
        if health is None:
            return False
        health.decay(now)
        if not health.is_failing:
            return False
        if may_probe and now - health.last_probe_at >= PROBE_INTERVAL_SECONDS:
            health.last_probe_at = now
            return False
        return True

    def _updated(self, server: int, now: float) -> ServerHealth:
        """The health of a server, decayed to ``now`` and marked as the most recently reported."""
        health = self.servers.pop(server, None) or ServerHealth(now)
        while len(self.servers) >= MAX_TRACKED_SERVERS:
            del self.servers[next(iter(self.servers))]
        self.servers[server] = health
        health.decay(now)
        return health
