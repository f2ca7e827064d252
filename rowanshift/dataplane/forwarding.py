"""One request on its way to an answer: what was decided for it, and how far its attempts have come. No I/O."""

from dataclasses import dataclass, field

from rowanshift.dataplane.client_answer import Out, Refusal
from rowanshift.dataplane.drain import RequestKind, request_kind
from rowanshift.dataplane.request_outcomes import RequestOutcome
from rowanshift.dataplane.requests import Request
from rowanshift.dataplane.retry_decision import (
    ClientResponse,
    Decision,
    ExchangeOutcome,
    RequestIdempotency,
    RequestProgress,
    idempotency_of,
)
from rowanshift.dataplane.routing_table import Route, Tenant
from rowanshift.dataplane.upstream import Link
from rowanshift.placement.shadows import mark_of

LEAST_LEFT = 0.02  # seconds under which nothing is sent to a server
COME_AGAIN = 0.1  # seconds until a client that was refused may come again
REASON_OF = {  # what a client is told; of all other endings, that its request may have run
    ExchangeOutcome.MISDIRECTED: "the server was another",
    ExchangeOutcome.NOT_EXECUTED: "servers are full",
    ExchangeOutcome.SERVER_ERROR: "it failed at a server",
    ExchangeOutcome.RESUME_REJECTED: "it was not taken up",
}


@dataclass(slots=True)
class Counts:
    """Of this process, since its start."""

    requests: int = 0
    whole: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0
    repeats: int = 0
    resumed: int = 0


@dataclass(slots=True, eq=False)
class Forwarding:
    """One request, and how far its attempts have come. Times are trio's, in seconds."""

    request: Request
    out: Out
    draw: float  # 0 to 1, by which the route's service is chosen
    route: Route
    tenant: Tenant | None
    unsent: set[str] = field(default_factory=set)  # servers that could not be reached
    arrived: bool = False  # at a server
    may_have_run: bool = False
    left_silent: bool = False  # the last server that worked on it was given up, and did not end it itself
    granted: bool = False  # the retry budget was drawn on for the next attempt already
    spare: Link | None = None  # a connection that is up for the next attempt
    held_until: float = 0.0  # 0: it has not waited for a server yet
    last: Refusal = field(default_factory=lambda: Refusal(503, "no server", COME_AGAIN))  # what it would be told

    @property
    def kind(self) -> RequestIdempotency:
        """What may be done with its request."""
        return idempotency_of(self.route.is_streaming, self.route.is_repeatable)

    @property
    def until(self) -> float:
        """The end of its time, in seconds of trio's clock."""
        return min(self.request.until, self.request.came_at + self.route.timeout)

    @property
    def service(self) -> str:
        """The service that its route and draw choose."""
        return self.route.choose_service(self.draw)

    @property
    def request_kind(self) -> RequestKind:
        """The requests that last about as long as this one."""
        return request_kind(self.service, self.request.tokens[1])

    @property
    def mark(self) -> int:
        """The place of its prefix on the ring."""
        return mark_of(self.request.model, self.request.prefix)

    @property
    def excluded(self) -> set[str]:
        """Servers that get no further attempt."""
        return {*self.request.tried, *self.unsent}

    @property
    def progress(self) -> RequestProgress:
        """What decisions are taken by."""
        left = self.route.max_attempts - len(self.request.tried)
        return RequestProgress(self.may_have_run, self.out.begun, bool(self.out.last), left)

    def note(self, ending: ExchangeOutcome, decision: Decision) -> None:
        """Takes in how an attempt that reached a server ended, without an answer for the client."""
        self.arrived = True
        if decision.may_have_run:
            self.left_silent = ending is ExchangeOutcome.SERVER_SILENT
        self.may_have_run = self.may_have_run or decision.may_have_run
        told = self.progress.client_response(decision)
        why = REASON_OF.get(ending, "it may have run")
        if told is ClientResponse.UNAVAILABLE:
            self.last = Refusal(told.status, why, COME_AGAIN)
        else:  # with ``CUT`` the status is not sent
            self.last = Refusal(502 if told is ClientResponse.CONNECTION_CLOSED else told.status, why)

    def ending_once_begun(self, now: float) -> RequestOutcome:
        """How its request ends if its answer had begun and no further attempt is made."""
        if self.until - now < LEAST_LEFT:
            return RequestOutcome.TIME_UP
        return RequestOutcome.CUT_BY_ROUTER if self.left_silent else RequestOutcome.SERVER_BROKE_OFF
