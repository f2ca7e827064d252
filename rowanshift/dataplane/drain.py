"""Graceful shutdown: which requests a router still admits after SIGTERM, and when it ends.

A pure module: no I/O, no clock; times are passed in, in seconds. From SIGTERM to its end a router passes three phases:

- **announced**, for ``NOTICE_SECONDS``: it is not ready, and the platform still sends it connections. It admits what
  it expects to finish, by how long nearly all requests of the same kind took lately.
- **refusing**: it sends new requests elsewhere. It admits only what ends in time by the request's own deadline.
- **finished**: once no admitted request is open, and at the latest ``END_RESERVE_SECONDS`` before the grace is over,
  when open requests get their final response or, if their response has started, are cut.

One rule decides for every request, when it comes and again before each attempt at a server (``Drain.may_send``).
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

NOTICE_SECONDS = 2.6  # after which the platform sends no new connections to a router that is not ready
NOTICE_MAX_FRACTION = 1 / 3  # of the grace, if that is less
END_RESERVE_SECONDS = 0.7  # of the grace, kept for last responses and the end of the process
END_RESERVE_MAX_FRACTION = 0.15  # of the grace, if that is less; under a sixth, as only the last sixth excuses a cut
EXIT_RESERVE_SECONDS = 0.15  # of the grace, kept for the end of the process alone
EXIT_RESERVE_MAX_FRACTION = 0.05  # of the grace, if that is less
DURATION_SPAN_SECONDS = 30.0  # durations are remembered for one to two spans
MAX_DURATIONS_PER_KIND = 64  # that are remembered of each span; the oldest goes
MAX_LATE_FRACTION = 0.05  # of a kind that may have taken longer than the time left
MAX_REQUEST_KINDS = 256  # whose durations are remembered; further ones are unknown


class DrainPhase(Enum):
    """How far a router's shutdown has come."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    REFUSING = "refusing"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests that last about as long as each other: those of one service with responses of about the same length."""

    service: str
    answer_size: int  # bits of the number of tokens that its response may have


def request_kind(service: str, tokens_out: int) -> RequestKind:
    """The kind of a request to ``service`` whose response may have ``tokens_out`` tokens."""
    return RequestKind(service, tokens_out.bit_length())


@dataclass(slots=True)
class RequestDurations:
    """The last durations in seconds of each kind of request, over one to two spans of ``DURATION_SPAN_SECONDS``."""

    span_began_at: float = 0.0
    current: dict[RequestKind, deque[float]] = field(default_factory=dict)
    previous: dict[RequestKind, deque[float]] = field(default_factory=dict)

    def record(self, kind: RequestKind, seconds: float, now: float) -> None:
        """A request of ``kind`` got its complete response after ``seconds``."""
        self._start_due_span(now)
        if kind not in self.current:
            if len(self.current) >= MAX_REQUEST_KINDS:
                return
            self.current[kind] = deque(maxlen=MAX_DURATIONS_PER_KIND)
        self.current[kind].append(seconds)

    def late_fraction(self, kind: RequestKind, now: float, ends_at: float) -> float | None:
        """The fraction of them, from 0 to 1, that would end after ``ends_at`` if they began now; None if unknown."""
        self._start_due_span(now)
        durations: list[float] = [*self.previous.get(kind, ()), *self.current.get(kind, ())]
        if not durations:
            return None
        late = sum(now + seconds > ends_at for seconds in durations)
        return late / len(durations)

    def _start_due_span(self, now: float) -> None:
        """Start a new span if the current one is over; the one before it is kept, if it was the last one."""
        spans = int((now - self.span_began_at) / DURATION_SPAN_SECONDS)
        if not spans:
            return
        self.previous = self.current if spans == 1 else {}
        self.current = {}
        self.span_began_at = now


@dataclass(slots=True)
class Drain:
    """The graceful shutdown of one router. ``grace`` is the time from SIGTERM to SIGKILL, in seconds."""

    grace: float
    durations: RequestDurations = field(default_factory=RequestDurations)
    began_at: float | None = None  # when SIGTERM came
    admitting: bool = True  # False: the process is about to end

    def begin(self, now: float) -> None:
        """SIGTERM came; a second one changes nothing."""
        if self.began_at is None:
            self.began_at = now

    def stop_admitting(self) -> None:
        """Admit nothing more: the process is about to end."""
        self.admitting = False

    @property
    def draining(self) -> bool:
        """Whether SIGTERM has come."""
        return self.began_at is not None

    @property
    def notice_ends_at(self) -> float:
        """From when on only what ends in time by its own deadline is admitted."""
        return self._began() + min(NOTICE_SECONDS, self.grace * NOTICE_MAX_FRACTION)

    @property
    def work_ends_at(self) -> float:
        """When open requests are abandoned."""
        return self._began() + self.grace - min(END_RESERVE_SECONDS, self.grace * END_RESERVE_MAX_FRACTION)

    @property
    def responses_end_at(self) -> float:
        """When the process ends, whether all last responses were written or not."""
        return self._began() + self.grace - min(EXIT_RESERVE_SECONDS, self.grace * EXIT_RESERVE_MAX_FRACTION)

    def must_keep_running(self, now: float, open_requests: int, clients_read_until: float) -> bool:
        """Whether the process goes on for its last responses: those that are not written yet, and those that clients
        may read until ``clients_read_until``."""
        if open_requests:
            return now < self.responses_end_at
        return now < min(clients_read_until, self.responses_end_at)

    def phase(self, now: float, open_requests: int) -> DrainPhase:
        """How far the shutdown has come, with so many requests being read or answered."""
        if not self.draining:
            return DrainPhase.SERVING
        if now >= self.work_ends_at:
            return DrainPhase.FINISHED
        if now < self.notice_ends_at:
            return DrainPhase.ANNOUNCED
        return DrainPhase.REFUSING if open_requests else DrainPhase.FINISHED

    def may_send(self, now: float, received_at: float, deadline: float, kind: RequestKind) -> bool:
        """Whether a request may be sent to a server now.

        ``received_at`` is when it was read, ``deadline`` the client's or the route's, whichever is earlier.
        """
        if not self.draining:
            return True
        if not self.admitting:
            return False
        if deadline <= self.work_ends_at:
            return True
        if received_at >= self.notice_ends_at:
            return False
        late = self.durations.late_fraction(kind, now, self.work_ends_at)
        if late is None:
            return now < self.notice_ends_at
        return late <= MAX_LATE_FRACTION

    def _began(self) -> float:
        """When SIGTERM came; ``ValueError`` before."""
        if self.began_at is None:
            raise ValueError("the router is not draining")
        return self.began_at
