"""Which servers fail to answer, by what all routers told of the requests that they sent there. No I/O, no clock.

One router sees too few requests to know that a server is silent before it has lost some of its own there; the owner of
the server's sum (``load_index``) hears of all of them. A request counts as well ended once its first bytes came, and as
badly ended where it failed, or is overdue and the server has answered nothing since it was sent. Both counts halve each
``HALF_LIFE``, so that a server which gets no requests any more is tried again by itself; until then one request each
``PROBE_EVERY`` is let through to it.

Times are in seconds. What is overdue is learnt: ``GRACE`` and ``PATIENCE`` times the usual time a token.
"""

from dataclasses import dataclass

GRACE = 0.4  # seconds for the first bytes of an answer, however short the prompt is
PATIENCE = 4.0  # times the usual time a token that a request may take beyond that
FIRST_PACE = 20e-6  # seconds a token, until any answer has told
SMOOTHING = 0.05  # part of the usual time a token that a new answer makes up
LEAST_TOKENS = 1000  # in a prompt whose answer tells the usual time a token
HALF_LIFE = 1.0  # seconds
LEAST_BAD = 1.5  # requests that ended badly, under which nothing is said
BAD_SHARE = 0.3  # part of a server's requests that end badly, from which it is avoided
PROBE_EVERY = 0.5  # seconds between requests that are let through to a server that is avoided
MOST_SERVERS = 4096  # that are remembered; the one heard of longest ago is forgotten


@dataclass(slots=True)
class Record:
    """Of one server: requests that ended well and badly, as they count at ``at``."""

    at: float
    good: float = 0.0
    bad: float = 0.0
    answered_at: float = float("-inf")  # the first bytes of any answer
    probed_at: float = float("-inf")

    def age(self, now: float) -> None:
        """Let both counts fade up to now."""
        left = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE)
        self.good, self.bad, self.at = self.good * left, self.bad * left, now

    @property
    def suspect(self) -> bool:
        """Whether too many of its requests ended badly."""
        return self.bad >= LEAST_BAD and self.bad > BAD_SHARE * (self.good + self.bad)


class ServerProgress:
    """How the requests of each server ended, by the server's mark."""

    def __init__(self) -> None:
        self.records: dict[int, Record] = {}
        self.pace = FIRST_PACE  # seconds a token

    def due_within(self, tokens: int) -> float:
        """Seconds in which the first bytes of an answer to such a prompt are due."""
        return GRACE + PATIENCE * self.pace * tokens

    def ended_well(self, server: int, tokens: int, took: float, now: float) -> None:
        """A request with so many tokens got its first bytes, in time."""
        if tokens >= LEAST_TOKENS:
            self.pace += SMOOTHING * (took / tokens - self.pace)
        record = self._record(server, now)
        record.good, record.answered_at = record.good + 1, now

    def ended_badly(self, server: int, now: float) -> None:
        """A request failed there."""
        self._record(server, now).bad += 1

    def overdue(self, server: int, since: float, now: float) -> bool:
        """A request that was sent there at ``since`` is overdue; whether that counts as badly ended: a server that has
        answered others meanwhile is slow, and not silent."""
        record = self._record(server, now)
        silent = record.answered_at < since
        record.bad += silent
        return silent

    def answered_late(self, server: int, now: float) -> None:
        """An answer came that was overdue."""
        self._record(server, now).answered_at = now

    def avoids(self, server: int, now: float, wanted: bool) -> bool:
        """Whether requests should go elsewhere; ``wanted``: the asker would send one there, which may be a probe."""
        record = self.records.get(server)
        if record is None:
            return False
        record.age(now)
        if not record.suspect:
            return False
        if wanted and now - record.probed_at >= PROBE_EVERY:
            record.probed_at = now
            return False
        return True

    def _record(self, server: int, now: float) -> Record:
        record = self.records.pop(server, None) or Record(now)
        while len(self.records) >= MOST_SERVERS:
            del self.records[next(iter(self.records))]
        self.records[server] = record  # the newest stands last
        record.age(now)
        return record
