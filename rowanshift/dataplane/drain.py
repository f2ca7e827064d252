"""Graceful shutdown: which requests a router still admits after SIGTERM, and when it exits.

A pure module: no I/O, no clock; times are passed in, in seconds. From SIGTERM to its exit a router passes three phases:

- **announced**, for ``NOTICE_SECONDS``: it is not ready, but the platform still sends it connections. It admits a
  request that it expects to finish, based on the recent durations of nearly all requests of the same kind.
- **refusing**: it refuses new requests, so that clients use another router. It admits only requests whose own deadline
  is early enough.
- **finished**: when no admitted request is open, and at the latest ``END_RESERVE_SECONDS`` before the end of the grace
  period. Open requests then get their final response or, if their response has started, are cut off.

One rule decides for every request, on arrival and again before each attempt at a server (``Drain.may_send``).
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

NOTICE_SECONDS = 2.6  # the platform sends no new connections to a router that has not been ready for this long
NOTICE_MAX_FRACTION = 1 / 3  # upper bound of the notice, relative to the grace period
END_RESERVE_SECONDS = 0.7  # end of the grace period, reserved for last responses and the exit of the process
# Upper bound of that reserve, relative to the grace period. It is under one sixth, as a request that is cut off is
# excused only in the last sixth.
END_RESERVE_MAX_FRACTION = 0.15
EXIT_RESERVE_SECONDS = 0.15  # end of the grace period, reserved for the exit of the process alone
EXIT_RESERVE_MAX_FRACTION = 0.05  # upper bound of that reserve, relative to the grace period
DURATION_SPAN_SECONDS = 30.0  # durations are kept for one to two spans
MAX_DURATIONS_PER_KIND = 64  # durations kept for each kind and span; the oldest is replaced
MAX_LATE_FRACTION = 0.05  # fraction of the durations of a kind that may exceed the time left
MAX_REQUEST_KINDS = 256  # kinds whose durations are kept; durations of further kinds are unknown


class DrainPhase(Enum):
    """The phase of a router's shutdown."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    REFUSING = "refusing"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of similar duration: those of one service with responses of similar maximum length."""

    service: str
    response_size_bits: int  # bit length of the maximum number of response tokens


def request_kind(service: str, tokens_out: int) -> RequestKind:
    """The kind of a request to ``service`` whose response may have up to ``tokens_out`` tokens."""
    return RequestKind(service, tokens_out.bit_length())


@dataclass(slots=True)
class RequestDurations:
    """Recent durations in seconds of each kind of request, over one to two spans of ``DURATION_SPAN_SECONDS``."""

    span_began_at: float = 0.0
    current: dict[RequestKind, deque[float]] = field(default_factory=dict)
    previous: dict[RequestKind, deque[float]] = field(default_factory=dict)

    def record(self, kind: RequestKind, seconds: float, now: float) -> None:
        """Record that a request of ``kind`` got its complete response after ``seconds``."""
        self._start_due_span(now)
        if kind not in self.current:
            if len(self.current) >= MAX_REQUEST_KINDS:
                return
            self.current[kind] = deque(maxlen=MAX_DURATIONS_PER_KIND)
        self.current[kind].append(seconds)

    def late_fraction(self, kind: RequestKind, now: float, ends_at: float) -> float | None:
        """The fraction, from 0 to 1, of the durations of ``kind`` with which a request that starts now would end after
        ``ends_at``; None if no durations are known."""
        self._start_due_span(now)
        durations: list[float] = [*self.previous.get(kind, ()), *self.current.get(kind, ())]
        if not durations:
            return None
        late = sum(now + seconds > ends_at for seconds in durations)
        return late / len(durations)

    def _start_due_span(self, now: float) -> None:
        """Start a new span if the current one is over; keep the current one if it directly precedes the new one."""
        spans = int((now - self.span_began_at) / DURATION_SPAN_SECONDS)
        if not spans:
            return
        self.previous = self.current if spans == 1 else {}
        self.current = {}
        self.span_began_at = now


@dataclass(slots=True)
class Drain:
    """The graceful shutdown of one router. ``grace`` is the grace period from SIGTERM to SIGKILL, in seconds."""

    grace: float
    durations: RequestDurations = field(default_factory=RequestDurations)
    began_at: float | None = None  # when SIGTERM was received
    admitting: bool = True  # False: the process is about to exit

    def begin(self, now: float) -> None:
        """Start the shutdown on SIGTERM; further calls have no effect."""
        if self.began_at is None:
            self.began_at = now

    def stop_admitting(self) -> None:
        """Admit no more requests: the process is about to exit."""
        self.admitting = False

    @property
    def draining(self) -> bool:
        """Whether SIGTERM was received."""
        return self.began_at is not None

    @property
    def notice_ends_at(self) -> float:
        """When the phase ``announced`` ends: later requests are admitted by their own deadlines only."""
        return self._require_began_at() + min(NOTICE_SECONDS, self.grace * NOTICE_MAX_FRACTION)

    @property
    def work_ends_at(self) -> float:
        """When open requests are abandoned."""
        return self._require_began_at() + self.grace - min(END_RESERVE_SECONDS, self.grace * END_RESERVE_MAX_FRACTION)

    @property
    def responses_end_at(self) -> float:
        """When the process exits, even if last responses are not written completely."""
        return self._require_began_at() + self.grace - min(EXIT_RESERVE_SECONDS, self.grace * EXIT_RESERVE_MAX_FRACTION)

    def must_keep_running(self, now: float, open_requests: int, clients_read_until: float) -> bool:
        """Whether the process stays for its last responses: those that are not written yet, and those that clients
        may read until ``clients_read_until``."""
        if open_requests:
            return now < self.responses_end_at
        return now < min(clients_read_until, self.responses_end_at)

    def phase(self, now: float, open_requests: int) -> DrainPhase:
        """The phase at ``now``, with ``open_requests`` requests being read or answered."""
        if not self.draining:
            return DrainPhase.SERVING
        if now >= self.work_ends_at:
            return DrainPhase.FINISHED
        if now < self.notice_ends_at:
            return DrainPhase.ANNOUNCED
        return DrainPhase.REFUSING if open_requests else DrainPhase.FINISHED

    def may_send(self, now: float, received_at: float, deadline: float, kind: RequestKind) -> bool:
        """Whether a request may be sent to a server now.

        ``received_at`` is when it was read; ``deadline`` is the client's or the route's, whichever is earlier.
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

    def _require_began_at(self) -> float:
        """When SIGTERM was received; raises ``ValueError`` if it was not."""
        if self.began_at is None:
            raise ValueError("the router is not draining")
        return self.began_at
