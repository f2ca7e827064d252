"""Forwards requests: makes attempts at servers until one answers, or no further attempt may be made."""

from collections.abc import Callable

import trio

from rowanshift.dataplane.control_state import ControlState
from rowanshift.dataplane.drain import Drain
from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.forwarded_request import RETRY_AFTER_SECONDS, ForwardedRequest, RequestCounts
from rowanshift.dataplane.load_index import LoadIndex
from rowanshift.dataplane.request_admission import DRAINING_REASON, RequestAdmission
from rowanshift.dataplane.request_outcomes import RequestOutcome
from rowanshift.dataplane.requests import Request
from rowanshift.dataplane.response_writer import Refusal, ResponseWriter
from rowanshift.dataplane.retry_budget import RetryBudget
from rowanshift.dataplane.retry_decision import ClientResponse, ExchangeOutcome, decide
from rowanshift.dataplane.server_attempt import ChoiceOutdated, ServerAttempts
from rowanshift.dataplane.server_selection import ServerSelection, max_wait_seconds
from rowanshift.dataplane.upstream import UpstreamPool
from rowanshift.placement.shadows import ServerPool, back_off, least_loaded

MAX_UNREACHABLE_SERVERS = 4  # a request is refused after this number of unreachable servers


class Forwarder:
    """Sends requests to servers and relays their responses.

    ``retry_budget_of`` returns a service's retry budget by its name, ``draw`` a random number from 0 to 1.
    """

    def __init__(
        self,
        state: ControlState,
        upstream: UpstreamPool,
        retry_budget_of: Callable[[str], RetryBudget],
        draw: Callable[[], float],
        loads: LoadIndex,
        drain: Drain,
    ) -> None:
        self.state = state
        self.upstream = upstream
        self.retry_budget_of = retry_budget_of
        self.draw = draw
        self.loads = loads
        self.drain = drain
        self.counts = RequestCounts()
        self.admission = RequestAdmission(state, drain)
        self.selection = ServerSelection(state, retry_budget_of)
        self.attempts = ServerAttempts(state, upstream, self.admission, self.selection, loads, self.counts)

    def refuse_if_draining(self, request: Request, writer: ResponseWriter) -> None:
        """Raise ``Refusal`` if this router is draining and may not finish the request in time."""
        if not self.drain.admitting:
            raise Refusal(503, DRAINING_REASON, RETRY_AFTER_SECONDS)
        try:
            forwarded = self._admit(request, writer)
        except Refusal:  # may rest on stale state; ``Frontend`` confirms that first, as for any request
            return
        self.admission.require_not_draining(forwarded, trio.current_time())

    async def forward(self, request: Request, writer: ResponseWriter) -> None:
        """Send a request to servers until one has answered it; raises ``Refusal`` if none has."""
        forwarded = self._admit(request, writer)
        self.admission.require_time_left(forwarded, trio.current_time())
        self.retry_budget_of(forwarded.service).record_request(trio.current_time())
        try:
            await self._attempt_until_answered(forwarded)
            self._record_duration(forwarded, trio.current_time())
            writer.outcome = RequestOutcome.COMPLETED
        except Refusal:
            if writer.started:
                writer.outcome = forwarded.outcome_after_start(trio.current_time())
            raise
        except trio.Cancelled:  # the router shuts down, perhaps after the deadline of a client that reads nothing
            if writer.started and trio.current_time() >= forwarded.deadline:
                writer.outcome = RequestOutcome.TIMED_OUT
            raise
        finally:
            if forwarded.reserved_connection is not None:
                self.upstream.put_idle(forwarded.reserved_connection, trio.current_time())

    def _admit(self, request: Request, writer: ResponseWriter) -> ForwardedRequest:
        admission = self.admission.admit(request)
        return ForwardedRequest(request, writer, self.draw(), admission.route, admission.tenant)

    def _record_duration(self, forwarded: ForwardedRequest, now: float) -> None:
        """Record how long a completed request took, for the decisions of a later drain."""
        self.drain.durations.record(forwarded.request_kind, now - forwarded.request.received_at, now)

    async def _attempt_until_answered(self, forwarded: ForwardedRequest) -> None:
        """Make one attempt after another; raises ``Refusal`` if no further one may be made."""
        while True:
            endpoint = await self._choose_server(forwarded)
            try:
                outcome = await self.attempts.run(forwarded, endpoint)
            except ChoiceOutdated:
                continue
            decision = decide(forwarded.idempotency, outcome)
            if decision.client_response is ClientResponse.SERVER_RESPONSE and not decision.retry:
                return
            if outcome is ExchangeOutcome.REQUEST_NOT_SENT:
                self._on_server_unreachable(forwarded, endpoint)
                continue
            forwarded.record_failed_attempt(outcome, decision)
            if not decision.retry:
                raise forwarded.last_refusal

    async def _choose_server(self, forwarded: ForwardedRequest) -> Endpoint:
        """The server for the next attempt; raises ``Refusal`` if there is none, or the attempt is not granted."""
        while True:
            now = trio.current_time()
            self._check_admission(forwarded, now)
            if forwarded.reserved_connection is not None:
                forwarded.retry_granted = False
                return forwarded.reserved_connection.endpoint
            pool = self.selection.pool(forwarded)
            if not forwarded.excluded:
                pool.record_access(forwarded.ring_position, now)
            endpoint = self.selection.pick(forwarded, pool, now)
            if endpoint is None:
                await self._wait_for_server(forwarded, pool, now)
                continue
            if forwarded.reached_server and not self.selection.grant_retry(forwarded, now):
                raise forwarded.last_refusal
            forwarded.retry_granted = False
            return await self._least_loaded(forwarded, pool, endpoint)

    def _check_admission(self, forwarded: ForwardedRequest, now: float) -> None:
        """Admit a request again before each attempt; one that a server has worked on keeps its route and tenant."""
        if not (forwarded.may_have_run or forwarded.writer.started):
            admission = self.admission.admit(forwarded.request)
            forwarded.route, forwarded.tenant = admission.route, admission.tenant
        self.admission.require_time_left(forwarded, now)
        self.admission.require_not_draining(forwarded, now)

    async def _wait_for_server(self, forwarded: ForwardedRequest, pool: ServerPool[Endpoint], now: float) -> None:
        """Wait for a change of the available servers; raises ``Refusal`` after a timeout or an earlier attempt."""
        if not forwarded.wait_ends_at:
            forwarded.wait_ends_at = now + max_wait_seconds(forwarded, pool, now)
        if forwarded.request.attempted_servers or now >= forwarded.wait_ends_at:
            raise forwarded.last_refusal
        await self.state.wait_for_update(min(forwarded.wait_ends_at, forwarded.deadline) - now)

    async def _least_loaded(
        self, forwarded: ForwardedRequest, pool: ServerPool[Endpoint], picked: Endpoint
    ) -> Endpoint:
        """The picked server, or an equally suitable one with far fewer tokens pending from all routers."""
        others = self.selection.alternatives(forwarded, pool, picked, trio.current_time())
        if not others:
            return picked
        waiting = await self.loads.query([picked.id, *(endpoint.id for endpoint in others)])
        chosen: Endpoint = least_loaded(picked, others, waiting, forwarded.request.shared_tokens)
        return chosen

    def _on_server_unreachable(self, forwarded: ForwardedRequest, endpoint: Endpoint) -> None:
        """Back off from a server that did not get the request; raises ``Refusal`` after too many of them."""
        back_off(endpoint, trio.current_time())
        forwarded.unreachable.add(endpoint.id)
        if len(forwarded.unreachable) >= MAX_UNREACHABLE_SERVERS:
            raise forwarded.last_refusal
