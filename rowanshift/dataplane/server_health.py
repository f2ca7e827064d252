"""Passive health checks: which servers fail their requests, by what all routers report. No I/O, no clock.

One router sends too few requests to notice a silent server before it has lost some of its own there. The owner of the
server's load (``load_index``) receives the reports of all routers. A request counts as a success once its first bytes
came, and as a failure if it failed, or if it is overdue and the server has answered nothing since it was sent. Both
counts decay, so that a server that gets no requests any more becomes healthy by itself; until then one probe request
is let through each ``PROBE_INTERVAL_SECONDS``.

All times and durations are in seconds. The time in which first bytes are due is learnt from long prompts.
"""

from dataclasses import dataclass

FIRST_BYTES_GRACE_SECONDS = 0.4  # for the first bytes of a response, however short the prompt is
OVERDUE_PACE_FACTOR = 4.0  # times the usual time a token that a request may take beyond the grace
INITIAL_SECONDS_PER_TOKEN = 20e-6  # until a response has been measured
PACE_SMOOTHING_FRACTION = 0.05  # weight of a new measurement in the moving average
MIN_MEASURED_PROMPT_TOKENS = 1000  # in shorter prompts fixed costs hide the time a token
COUNT_HALF_LIFE_SECONDS = 1.0  # in which the counts of a server decay by half
MIN_FAILED_REQUESTS = 1.5  # decayed count; fewer failures say nothing about a server
FAILING_FRACTION = 0.3  # of a server's requests; it is failing if more of them failed
PROBE_INTERVAL_SECONDS = 0.5  # between requests that are let through to a failing server
MAX_TRACKED_SERVERS = 4096  # beyond which the one least recently reported is forgotten


@dataclass(slots=True)
class ServerHealth:
    """Requests of one server that succeeded and failed, decayed to the time ``updated_at``."""

    updated_at: float
    succeeded: float = 0.0
    failed: float = 0.0
    last_response_at: float = float("-inf")  # the first bytes of any response
    last_probe_at: float = float("-inf")

    def decay(self, now: float) -> None:
        """Decay both counts to now."""
        remaining = 0.5 ** (max(0.0, now - self.updated_at) / COUNT_HALF_LIFE_SECONDS)
        self.succeeded *= remaining
        self.failed *= remaining
        self.updated_at = now

    @property
    def is_failing(self) -> bool:
        """Whether enough requests failed, and too large a fraction of all."""
        return self.failed >= MIN_FAILED_REQUESTS and self.failed > FAILING_FRACTION * (self.succeeded + self.failed)


class ServerHealthTracker:
    """The health of each server, by the hash of its id."""

    def __init__(self) -> None:
        self.servers: dict[int, ServerHealth] = {}  # the least recently reported first
        self.seconds_per_token = INITIAL_SECONDS_PER_TOKEN

    def first_bytes_due_seconds(self, tokens: int) -> float:
        """Seconds in which the first bytes of a response to a prompt with so many tokens are due."""
        return FIRST_BYTES_GRACE_SECONDS + OVERDUE_PACE_FACTOR * self.seconds_per_token * tokens

    def record_success(self, server: int, tokens: int, seconds: float, now: float) -> None:
        """The first bytes of the response to a prompt with so many tokens came in time, after ``seconds``."""
        if tokens >= MIN_MEASURED_PROMPT_TOKENS:
            self.seconds_per_token += PACE_SMOOTHING_FRACTION * (seconds / tokens - self.seconds_per_token)
        health = self._updated(server, now)
        health.succeeded += 1
        health.last_response_at = now

    def record_failure(self, server: int, now: float) -> None:
        """A request failed at the server."""
        self._updated(server, now).failed += 1

    def record_overdue(self, server: int, sent_at: float, now: float) -> bool:
        """A request that was sent at ``sent_at`` is overdue; returns whether that counted as a failure.

        A server that has answered other requests since then is slow and not silent: that is no failure.
        """
        health = self._updated(server, now)
        is_silent = health.last_response_at < sent_at
        if is_silent:
            health.failed += 1
        return is_silent

    def record_late_response(self, server: int, now: float) -> None:
        """The first bytes of an overdue response came."""
        self._updated(server, now).last_response_at = now

    def should_avoid(self, server: int, now: float, may_probe: bool) -> bool:
        """Whether requests should go to other servers.

        ``may_probe``: the asking router would send its request there; if a probe is due, that request is the probe.
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
        """The health of a server, decayed to now, as the most recently reported."""
        health = self.servers.pop(server, None) or ServerHealth(now)
        while len(self.servers) >= MAX_TRACKED_SERVERS:
            del self.servers[next(iter(self.servers))]
        self.servers[server] = health
        health.decay(now)
        return health
