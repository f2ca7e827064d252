"""Tracks each request from when it was read until it is closed, with exactly one outcome, and counts the outcomes.

No I/O, no clock: times are trio's, in seconds; durations are in seconds.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

EXCUSED_ARRIVAL_SECONDS = 3.0  # after the signal; a request that comes later is never excused
EXCUSED_GRACE_FRACTION = 5 / 6  # of the grace that has passed, from which on a cut is excused


class RequestOutcome(Enum):
    """How one request ended. The values stand in the log."""

    COMPLETED = "whole_answer"  # a server's response was relayed to its end
    REFUSED = "refusal"  # a complete final response of the router's own
    CLIENT_DISCONNECTED = "client_left"
    SERVER_BROKE_OFF = "server_broke_off"  # the server ended a response that had started, and it was not resumed
    TIMED_OUT = "time_up"  # the deadline or the route's timeout passed after the response had started
    CUT_BY_ROUTER = "cut_by_router"  # none of those: abandoned without a complete response, always a violation


class ProcessPhase(Enum):
    """The phase of the process in which a request ended. The values stand in the log."""

    SERVING = "serving"
    SHUTTING_DOWN = "leaving"


class Violation(Enum):
    """What must never happen to a request. The values stand in the log."""

    CLOSED_TWICE = "closed_twice"
    NEVER_CLOSED = "never_closed"  # still open when the process ended
    CUT_BY_ROUTER = "cut_by_router"


@dataclass(slots=True)
class Shutdown:
    """The shutdown of a process, from its signal on."""

    signal_at: float
    grace_seconds: float
    new_connections: int = 0  # accepted since the signal
    first_connection_at: float = 0.0
    last_connection_at: float = 0.0
    requests_on_reused: int = 0  # received since the signal, on a connection that had carried a request before
    requests_on_new: int = 0  # the same, as the first request of a connection
    last_request_at: float = 0.0
    idle_connections_closed: int = 0
    longest_stall_seconds: float = 0.0  # of the event loop

    def since_signal(self, at: float) -> float:
        """Seconds from the signal to a time; negative before the signal."""
        return at - self.signal_at

    def grace_left(self, at: float) -> float:
        """Seconds of the grace that are left at a time."""
        return self.signal_at + self.grace_seconds - at

    def record_connection(self, at: float) -> None:
        """A new connection was accepted."""
        if not self.new_connections:
            self.first_connection_at = at
        self.new_connections += 1
        self.last_connection_at = at

    def record_request(self, reused_connection: bool, at: float) -> None:
        """A complete request was read."""
        self.requests_on_reused += reused_connection
        self.requests_on_new += not reused_connection
        self.last_request_at = at


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request that was read."""

    id: str
    received_at: float
    connected_at: float  # when its connection was accepted
    number_on_connection: int  # from 1
    closed: bool = False

    @property
    def reused_connection(self) -> bool:
        """Whether its connection had carried a request before."""
        return self.number_on_connection > 1


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """The times of a closed request in relation to the shutdown, in seconds."""

    since_signal: float  # at its close
    grace_left: float  # at its close
    received_since_signal: float
    grace_left_at_arrival: float
    connected_since_signal: float


@dataclass(slots=True, frozen=True)
class ClosedRequest:
    """A request and how it ended."""

    request: TrackedRequest
    outcome: RequestOutcome
    closed_at: float
    status: int = 0  # of a refusal
    bytes_written: int = 0  # of the response
    violation: Violation | None = None
    excused: bool = False  # cut by the router, but so late in the grace that it is no violation
    shutdown: ShutdownTimes | None = None  # None: the process was serving


def _ignore(closed: ClosedRequest) -> None:
    pass


@dataclass(slots=True, eq=False)
class RequestOutcomes:
    """Tracks the requests of one process, and counts their outcomes and violations by phase.

    ``on_violation`` is called with each request whose close was a violation, or an excused cut.
    """

    shutdown: Shutdown | None = None
    open: dict[TrackedRequest, None] = field(default_factory=dict)
    outcomes: dict[ProcessPhase, Counter[RequestOutcome]] = field(
        default_factory=lambda: {phase: Counter() for phase in ProcessPhase}
    )
    violations: dict[ProcessPhase, Counter[Violation]] = field(
        default_factory=lambda: {phase: Counter() for phase in ProcessPhase}
    )
    excused: int = 0  # requests that were cut late in the grace
    on_violation: Callable[[ClosedRequest], None] = _ignore

    @property
    def phase(self) -> ProcessPhase:
        """The phase of the process now."""
        return ProcessPhase.SERVING if self.shutdown is None else ProcessPhase.SHUTTING_DOWN

    def begin_shutdown(self, signal_at: float, grace_seconds: float) -> Shutdown:
        """The process got SIGTERM at ``signal_at`` and has ``grace_seconds`` to end; a later signal is ignored."""
        self.shutdown = self.shutdown or Shutdown(signal_at, grace_seconds)
        return self.shutdown

    def track(self, id: str, connected_at: float, number_on_connection: int, now: float) -> TrackedRequest:
        """A complete request was read."""
        request = TrackedRequest(id, now, connected_at, number_on_connection)
        self.open[request] = None
        if self.shutdown is not None:
            self.shutdown.record_request(request.reused_connection, now)
        return request

    def close(
        self, request: TrackedRequest, outcome: RequestOutcome, now: float, status: int = 0, bytes_written: int = 0
    ) -> ClosedRequest:
        """A request ended. Its first outcome stands: a second close is a violation and counts no outcome."""
        cut = outcome is RequestOutcome.CUT_BY_ROUTER
        excused = cut and not request.closed and self._is_excused(request, now)
        violation = Violation.CUT_BY_ROUTER if cut and not excused else None
        if request.closed:
            violation = Violation.CLOSED_TWICE
        else:
            request.closed = True
            del self.open[request]
            self.outcomes[self.phase][outcome] += 1
        self.excused += excused
        times = self._shutdown_times(request, now)
        closed = ClosedRequest(request, outcome, now, status, bytes_written, violation, excused, times)
        self._report(closed)
        return closed

    def close_remaining(self, now: float) -> list[ClosedRequest]:
        """The process has ended: every request that is still open is a violation. Gives those requests."""
        remaining = list(self.open)
        self.open.clear()
        closed = [self._never_closed(request, now) for request in remaining]
        for request in closed:
            self._report(request)
        return closed

    def violation_count(self) -> int:
        """Violations of both phases."""
        return sum(counter.total() for counter in self.violations.values())

    def summary(self) -> str:
        """Outcomes and violations by phase, as key=value for the log."""
        counts = [
            f"{phase.value}_{outcome.value}={number}"
            for phase, counter in self.outcomes.items()
            for outcome, number in counter.items()
        ]
        counts += [
            f"{phase.value}_violation_{violation.value}={number}"
            for phase, violations in self.violations.items()
            for violation, number in violations.items()
        ]
        return " ".join([*counts, f"excused={self.excused}", f"violations={self.violation_count()}"])

    def _is_excused(self, request: TrackedRequest, now: float) -> bool:
        """Whether a request that is cut now came soon after the signal and had nearly all of the grace."""
        shutdown = self.shutdown
        if shutdown is None:
            return False
        if shutdown.since_signal(request.received_at) > EXCUSED_ARRIVAL_SECONDS:
            return False
        return shutdown.since_signal(now) >= EXCUSED_GRACE_FRACTION * shutdown.grace_seconds

    def _never_closed(self, request: TrackedRequest, now: float) -> ClosedRequest:
        request.closed = True
        times = self._shutdown_times(request, now)
        cut, violation = RequestOutcome.CUT_BY_ROUTER, Violation.NEVER_CLOSED
        return ClosedRequest(request, cut, now, violation=violation, shutdown=times)

    def _shutdown_times(self, request: TrackedRequest, now: float) -> ShutdownTimes | None:
        shutdown = self.shutdown
        if shutdown is None:
            return None
        return ShutdownTimes(
            shutdown.since_signal(now),
            shutdown.grace_left(now),
            shutdown.since_signal(request.received_at),
            shutdown.grace_left(request.received_at),
            shutdown.since_signal(request.connected_at),
        )

    def _report(self, closed: ClosedRequest) -> None:
        """Count a violation, and call ``on_violation``."""
        if closed.violation is not None:
            self.violations[self.phase][closed.violation] += 1
        if closed.violation is not None or closed.excused:
            self.on_violation(closed)
