"""Admission of requests: by route, tenant key and remaining time, and while the router drains. No I/O."""

from dataclasses import dataclass

from rowanshift.dataplane.control_state import ControlState
from rowanshift.dataplane.drain import Drain
from rowanshift.dataplane.forwarded_request import (
    MIN_ATTEMPT_SECONDS,
    RETRY_AFTER_SECONDS,
    ForwardedRequest,
)
from rowanshift.dataplane.requests import Request
from rowanshift.dataplane.response_writer import Refusal
from rowanshift.dataplane.routing_table import Route, Tenant

DRAINING_REASON = "this router is leaving"  # in refusals that send a client to another router
NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5
KEYS_UNCONFIRMED_RETRY_AFTER_SECONDS = 0.3


@dataclass(slots=True, frozen=True)
class Admission:
    """The route and the tenant of an admitted request."""

    route: Route
    tenant: Tenant | None  # None: the route is public, or no tenants are configured


class RequestAdmission:
    """Decides whether a request may be forwarded, by the configuration that is current at each call."""

    def __init__(self, state: ControlState, drain: Drain) -> None:
        self.state = state
        self.drain = drain

    def admit(self, request: Request) -> Admission:
        """The route and tenant of a request; raises ``Refusal`` if it has no route or no valid key."""
        routing_table = self.state.routing_table
        if not routing_table.revision:
            raise Refusal(503, "no configuration yet", NO_CONFIGURATION_RETRY_AFTER_SECONDS)
        route = routing_table.find_route(request.host, request.path)
        if route is None:
            raise Refusal(404, "no route")
        tenant = None
        if routing_table.tenants is not None:
            tenant = routing_table.tenants.get(request.api_key) if request.api_key is not None else None
            if tenant is None and not route.public:
                raise Refusal(401, "the key is not known")
            if not route.public and not self.state.may_admit_key(request.received_at):
                reason = "the keys in force could not be confirmed"
                raise Refusal(503, reason, KEYS_UNCONFIRMED_RETRY_AFTER_SECONDS)
        return Admission(route, tenant)

    def require_time_left(self, forwarded: ForwardedRequest, now: float) -> None:
        """Raise ``Refusal`` if there is no time for a further attempt."""
        if forwarded.deadline - now < MIN_ATTEMPT_SECONDS:
            raise Refusal(504, "its time was up") if forwarded.may_have_run else forwarded.last_refusal

    def require_not_draining(self, forwarded: ForwardedRequest, now: float) -> None:
        """Raise ``Refusal`` if the router drains and is not expected to finish the request in time."""
        if self.may_send(forwarded, now):
            return
        if forwarded.may_have_run:
            raise forwarded.last_refusal
        raise Refusal(503, DRAINING_REASON, RETRY_AFTER_SECONDS)

    def may_send(self, forwarded: ForwardedRequest, now: float) -> bool:
        """Whether a draining router may still send the request; a started response is always continued."""
        if forwarded.writer.started:
            return True
        return self.drain.may_send(now, forwarded.request.received_at, forwarded.deadline, forwarded.request_kind)
