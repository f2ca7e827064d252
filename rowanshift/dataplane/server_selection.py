"""Selection of a server for each attempt, from the router's state. No I/O, no clock: times are passed in."""

from collections.abc import Callable

from rowanshift.dataplane.control_state import ControlState
from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.forwarded_request import ForwardedRequest
from rowanshift.dataplane.retry_budget import RetryBudget
from rowanshift.dataplane.retry_decision import ExchangeOutcome
from rowanshift.placement.shadows import ServerPool, back_off
from rowanshift.transport.http_connection import Message

NO_SERVER_WAIT_FRACTION = 0.2  # longest wait for an available server, relative to the route's target latency
NO_SERVER_WAIT_MAX_SECONDS = 0.3
LOADING_WAIT_FRACTION = 0.4  # longest wait while servers load new weights, relative to the time to the deadline
LOADING_WAIT_MAX_SECONDS = 2.0
FULL_SERVER_BACKOFF_SECONDS = 0.2  # after a 429 or 503 with Not-Executed
MISDIRECTED_BACKOFF_SECONDS = 0.3  # after a 421: the server's id or weights differ from the router's state


class ServerSelection:
    """Picks servers and grants retries.

    ``retry_budget_of`` returns the retry budget of a service by the service's name.
    """

    def __init__(self, state: ControlState, retry_budget_of: Callable[[str], RetryBudget]) -> None:
        self.state = state
        self.retry_budget_of = retry_budget_of

    def pool(self, forwarded: ForwardedRequest) -> ServerPool[Endpoint]:
        """The server pool of the request's service."""
        return self.state.endpoints.pool(forwarded.service)

    def pick(self, forwarded: ForwardedRequest, pool: ServerPool[Endpoint], now: float) -> Endpoint | None:
        """The server for the next attempt; None if none is available."""
        model = forwarded.request.model
        version = self.state.required_version(model, now)
        return pool.select(forwarded.ring_position, now, model, version, forwarded.excluded)

    def alternatives(
        self, forwarded: ForwardedRequest, pool: ServerPool[Endpoint], picked: Endpoint, now: float
    ) -> list[Endpoint]:
        """Other servers that could serve the request as well as the picked one."""
        request = forwarded.request
        return pool.alternatives(forwarded.ring_position, now, request.model, picked, forwarded.excluded)

    def grant_retry(self, forwarded: ForwardedRequest, now: float) -> bool:
        """Whether the route and the retry budget allow one more attempt; the budget is charged only once for it."""
        if len(forwarded.request.attempted_servers) >= forwarded.route.max_attempts:
            return False
        if not forwarded.retry_granted:
            forwarded.retry_granted = self.retry_budget_of(forwarded.service).try_withdraw(now)
        return forwarded.retry_granted

    def is_still_valid(self, forwarded: ForwardedRequest, endpoint: Endpoint, version: int, now: float) -> bool:
        """Whether a picked server may still get the request: it is available, has ``version`` of the model's weights,
        and that version is recent enough."""
        model = forwarded.request.model
        if not endpoint.listed or endpoint.draining or endpoint.loading:
            return False
        if endpoint.versions.get(model, 0) != version:
            return False
        return version >= self.state.required_version(model, now)


def max_wait_seconds(forwarded: ForwardedRequest, pool: ServerPool[Endpoint], now: float) -> float:
    """The longest wait for an available server from ``now`` on; it is longer while servers load new weights."""
    if any(endpoint.loading for endpoint in pool.servers):
        return min(LOADING_WAIT_MAX_SECONDS, LOADING_WAIT_FRACTION * (forwarded.deadline - now))
    return min(NO_SERVER_WAIT_MAX_SECONDS, NO_SERVER_WAIT_FRACTION * forwarded.route.target_latency)


def answers_for_another_server(endpoint: Endpoint, response: Message) -> bool:
    """Whether a 421 response comes from another server than the request was sent to."""
    instance = dict(response.fields).get(b"instance-id", endpoint.id.encode()).decode("latin-1")
    return instance != endpoint.id


def back_off_after(endpoint: Endpoint, response: Message, outcome: ExchangeOutcome, now: float) -> None:
    """Exclude a server that rejected a request for a while."""
    if outcome is ExchangeOutcome.MISDIRECTED:
        if answers_for_another_server(endpoint, response):
            back_off(endpoint, now)
        endpoint.backed_off_until = max(endpoint.backed_off_until, now + MISDIRECTED_BACKOFF_SECONDS)
    elif outcome is ExchangeOutcome.NOT_EXECUTED and response.status in (429, 503):
        endpoint.backed_off_until = max(endpoint.backed_off_until, now + FULL_SERVER_BACKOFF_SECONDS)
