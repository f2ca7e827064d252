"""The state of one request while it is forwarded: its admission and the progress of its attempts. No I/O, no clock."""

from dataclasses import dataclass, field

from rowanshift.dataplane.drain import RequestKind, request_kind
from rowanshift.dataplane.request_outcomes import RequestOutcome
from rowanshift.dataplane.requests import Request
from rowanshift.dataplane.response_writer import Refusal, ResponseWriter
from rowanshift.dataplane.retry_decision import (
    ClientResponse,
    Decision,
    ExchangeOutcome,
    RequestIdempotency,
    RequestProgress,
    idempotency_of,
)
from rowanshift.dataplane.routing_table import Route, Tenant
from rowanshift.dataplane.server_exchange import ServerConnection
from rowanshift.placement.shadows import ring_position

MIN_ATTEMPT_SECONDS = 0.02  # no attempt is made with less time left
RETRY_AFTER_SECONDS = 0.1  # value of the Retry-After header of refusals
REFUSAL_REASONS = {  # other outcomes give the reason that the request may have been executed
    ExchangeOutcome.MISDIRECTED: "the server was another",
    ExchangeOutcome.NOT_EXECUTED: "servers are full",
    ExchangeOutcome.SERVER_ERROR: "it failed at a server",
    ExchangeOutcome.RESUME_REJECTED: "it was not taken up",
}


@dataclass(slots=True)
class RequestCounts:
    """Counters of this process's requests since its start."""

    requests: int = 0
    completed: int = 0  # a server's response was relayed completely
    refused: int = 0  # refused with a status which guarantees that the request was not executed
    failed: int = 0  # refused with another status
    disconnected: int = 0  # the client disconnected
    retries: int = 0
    resumed: int = 0  # streams that were interrupted after they had started


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """One request and the progress of its attempts. Times are trio's, in seconds."""

    request: Request
    writer: ResponseWriter
    service_draw: float  # random number from 0 to 1 that selects one of the route's services
    route: Route
    tenant: Tenant | None
    unreachable: set[str] = field(default_factory=set)  # ids of servers that could not be reached
    reached_server: bool = False
    may_have_run: bool = False
    abandoned_silent_server: bool = False  # the router, not the server, ended the last attempt that may have run
    retry_granted: bool = False  # the retry budget has already granted the next attempt
    reserved_connection: ServerConnection | None = None  # an open connection for the next attempt
    wait_ends_at: float = 0.0  # end of the wait for an available server; 0: not started
    last_refusal: Refusal = field(default_factory=lambda: Refusal(503, "no server", RETRY_AFTER_SECONDS))

    @property
    def idempotency(self) -> RequestIdempotency:
        """Whether the request may be executed more than once."""
        return idempotency_of(self.route.is_streaming, self.route.is_repeatable)

    @property
    def deadline(self) -> float:
        """The client's deadline or the end of the route's timeout, whichever is earlier."""
        return min(self.request.deadline, self.request.received_at + self.route.timeout)

    @property
    def service(self) -> str:
        """The name of the service that ``service_draw`` selects on the route."""
        return self.route.choose_service(self.service_draw)

    @property
    def request_kind(self) -> RequestKind:
        """The class of requests with a similar duration."""
        return request_kind(self.service, self.request.token_count.max_output)

    @property
    def ring_position(self) -> int:
        """The position of the prompt's prefix on the hash ring."""
        return ring_position(self.request.model, self.request.prefix)

    @property
    def excluded(self) -> set[str]:
        """Ids of the servers that get no further attempt."""
        return {*self.request.attempted_servers, *self.unreachable}

    @property
    def progress(self) -> RequestProgress:
        """The progress that retry decisions depend on."""
        servers_left = self.route.max_attempts - len(self.request.attempted_servers)
        return RequestProgress(self.may_have_run, self.writer.started, bool(self.writer.last_event_id), servers_left)

    def record_failed_attempt(self, outcome: ExchangeOutcome, decision: Decision) -> None:
        """Record an attempt that reached a server and yielded no response for the client."""
        self.reached_server = True
        if decision.may_have_run:
            self.abandoned_silent_server = outcome is ExchangeOutcome.SERVER_SILENT
        self.may_have_run = self.may_have_run or decision.may_have_run
        response = self.progress.client_response(decision)
        reason = REFUSAL_REASONS.get(outcome, "it may have run")
        if response is ClientResponse.UNAVAILABLE:
            self.last_refusal = Refusal(response.status, reason, RETRY_AFTER_SECONDS)
        elif response is ClientResponse.CONNECTION_CLOSED:  # the response has started: this status is never sent
            self.last_refusal = Refusal(502, reason)
        else:
            self.last_refusal = Refusal(response.status, reason)

    def outcome_after_start(self, now: float) -> RequestOutcome:
        """The outcome of a request whose response had started and that gets no further attempt."""
        if self.deadline - now < MIN_ATTEMPT_SECONDS:
            return RequestOutcome.TIMED_OUT
        return RequestOutcome.CUT_BY_ROUTER if self.abandoned_silent_server else RequestOutcome.SERVER_BROKE_OFF
