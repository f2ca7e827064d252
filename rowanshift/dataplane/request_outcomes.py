"""How the requests that a router has read ended: each in exactly one way, counted by phase. No I/O, no clock.

Times are trio's, in seconds; durations are in seconds.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

EXCUSED_ARRIVAL = 3.0  # seconds after the signal up to which a request may come whose cut is excused
EXCUSED_PART = 5 / 6  # of the grace, from which on such a cut is excused


class RequestOutcome(Enum):
    """How one request ended."""

    WHOLE_ANSWER = "whole_answer"  # a server's answer was passed on whole
    REFUSAL = "refusal"  # a whole final answer of this router's own
    CLIENT_LEFT = "client_left"
    SERVER_BROKE_OFF = "server_broke_off"  # the server ended an answer that had begun, and it was not taken up
    TIME_UP = "time_up"  # the deadline or the route's timeout passed after the answer had begun
    CUT_BY_ROUTER = "cut_by_router"  # none of those: given up without a whole answer, always a violation


class Phase(Enum):
    """The phase of the process in which a request ended."""

    SERVING = "serving"
    LEAVING = "leaving"


class Violation(Enum):
    """What must never happen to a request."""

    CLOSED_TWICE = "closed_twice"
    NEVER_CLOSED = "never_closed"  # still open when the process ended
    CUT_BY_ROUTER = "cut_by_router"


@dataclass(slots=True)
class Leave:
    """The leave of a process, from its signal on."""

    signal_at: float
    grace: float
    connections: int = 0  # accepted since the signal
    first_connection_at: float = 0.0
    last_connection_at: float = 0.0
    requests_on_kept: int = 0  # that came since the signal, on a connection that had carried one before
    requests_on_new: int = 0  # the same, on another
    last_request_at: float = 0.0
    idle_closed: int = 0  # connections
    longest_standstill: float = 0.0  # of the event loop

    def since_signal(self, at: float) -> float:
        """Seconds from the signal to a time; negative before the signal."""
        return at - self.signal_at

    def grace_left(self, at: float) -> float:
        """Seconds of the grace that are left at a time."""
        return self.signal_at + self.grace - at

    def connected(self, at: float) -> None:
        """A new connection was accepted."""
        if not self.connections:
            self.first_connection_at = at
        self.connections += 1
        self.last_connection_at = at

    def asked(self, kept: bool, at: float) -> None:
        """A request was read whole, on a kept connection or another."""
        self.requests_on_kept += kept
        self.requests_on_new += not kept
        self.last_request_at = at


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was read whole; ``ended`` once it was closed."""

    id: str
    came_at: float
    connected_at: float  # when its connection was accepted
    nth: int  # request of its connection, from 1
    ended: bool = False

    @property
    def kept(self) -> bool:
        """Whether its connection had carried a request before."""
        return self.nth > 1


@dataclass(slots=True, frozen=True)
class EndedRequest:
    """A request, how it ended, and what of the leave matters to it (None where the process was not leaving)."""

    request: OpenRequest
    ending: RequestOutcome
    at: float
    phase: Phase
    status: int = 0  # of a refusal
    passed_on: int = 0  # bytes of the answer
    since_signal: float | None = None  # at its end
    grace_left: float | None = None  # at its end
    came_since_signal: float | None = None
    grace_left_at_arrival: float | None = None
    connected_since_signal: float | None = None
    violation: Violation | None = None
    excused: bool = False  # it was cut by the router, so late in the grace that this is none


def _ignore(ended: EndedRequest) -> None:
    pass


@dataclass(slots=True, eq=False)
class RequestOutcomes:
    """Opens each request that was read whole, closes it exactly once, and counts endings and violations. ``watch`` is
    told of each violation, and of each cut that is excused."""

    leave: Leave | None = None
    open: dict[OpenRequest, None] = field(default_factory=dict)
    endings: dict[Phase, Counter[RequestOutcome]] = field(default_factory=lambda: {phase: Counter() for phase in Phase})
    violations: dict[Phase, Counter[Violation]] = field(default_factory=lambda: {phase: Counter() for phase in Phase})

    excused: int = 0  # requests that were cut late in the grace
    watch: Callable[[EndedRequest], None] = _ignore

    @property
    def phase(self) -> Phase:
        """The phase of the process now."""
        return Phase.SERVING if self.leave is None else Phase.LEAVING

    def begin_leave(self, signal_at: float, grace: float) -> Leave:
        """The process was told to end at ``signal_at``, and has ``grace`` seconds for it; a later signal is ignored."""
        self.leave = self.leave or Leave(signal_at, grace)
        return self.leave

    def opened(self, id: str, connected_at: float, nth: int, now: float) -> OpenRequest:
        """A request was read whole, as the ``nth`` of its connection."""
        request = OpenRequest(id, now, connected_at, nth)
        self.open[request] = None
        if self.leave is not None:
            self.leave.asked(request.kept, now)
        return request

    def closed(
        self, request: OpenRequest, ending: RequestOutcome, now: float, status: int = 0, passed_on: int = 0
    ) -> EndedRequest:
        """A request ended. The first ending stands: a second one is a violation and not counted as an ending."""
        cut = ending is RequestOutcome.CUT_BY_ROUTER
        excused = cut and not request.ended and self._excuses(request, now)
        violation = Violation.CUT_BY_ROUTER if cut and not excused else None
        if request.ended:
            violation = Violation.CLOSED_TWICE
        else:
            request.ended = True
            del self.open[request]
            self.endings[self.phase][ending] += 1
        self.excused += excused
        return self._ended(request, ending, now, status, passed_on, violation, excused)

    def _excuses(self, request: OpenRequest, now: float) -> bool:
        """Whether a request that is cut now came soon after the signal and had nearly all of the grace."""
        leave = self.leave
        if leave is None:
            return False
        in_time = leave.since_signal(request.came_at) <= EXCUSED_ARRIVAL
        return in_time and leave.since_signal(now) >= EXCUSED_PART * leave.grace

    def process_ended(self, now: float) -> list[EndedRequest]:
        """The process has ended: what is still open was never closed. Gives those requests."""
        left_open = list(self.open)
        self.open.clear()
        for request in left_open:
            request.ended = True
        cut = RequestOutcome.CUT_BY_ROUTER
        return [self._ended(request, cut, now, 0, 0, Violation.NEVER_CLOSED) for request in left_open]

    def violated(self) -> int:
        """Violations of both phases."""
        return sum(counted.total() for counted in self.violations.values())

    def counts(self) -> str:
        """Endings and violations by phase, as key=value for a log."""
        rows = [
            f"{phase.value}_{kind.value}={number}"
            for phase, counted in self.endings.items()
            for kind, number in counted.items()
        ]
        rows += [
            f"{phase.value}_violation_{kind.value}={number}"
            for phase, counted in self.violations.items()
            for kind, number in counted.items()
        ]
        return " ".join([*rows, f"excused={self.excused}", f"violations={self.violated()}"])

    def _ended(
        self,
        request: OpenRequest,
        ending: RequestOutcome,
        now: float,
        status: int,
        passed_on: int,
        violation: Violation | None,
        excused: bool = False,
    ) -> EndedRequest:
        if violation is not None:
            self.violations[self.phase][violation] += 1
        made = self._made(request, ending, now, status, passed_on, violation, excused)
        if violation is not None or excused:
            self.watch(made)
        return made

    def _made(
        self,
        request: OpenRequest,
        ending: RequestOutcome,
        now: float,
        status: int,
        passed_on: int,
        violation: Violation | None,
        excused: bool,
    ) -> EndedRequest:
        ended = (request, ending, now, self.phase, status, passed_on)
        leave = self.leave
        if leave is None:
            return EndedRequest(*ended, violation=violation)
        return EndedRequest(
            *ended,
            leave.since_signal(now),
            leave.grace_left(now),
            leave.since_signal(request.came_at),
            leave.grace_left(request.came_at),
            leave.since_signal(request.connected_at),
            violation,
            excused,
        )
