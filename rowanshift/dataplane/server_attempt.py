"""One attempt at a request: sends it to one server, and relays the response if it is final for the client."""

from functools import partial

import trio
from loguru import logger

from rowanshift.dataplane.control_state import ControlState
from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.errors import DataPlaneError
from rowanshift.dataplane.forwarded_request import ForwardedRequest, RequestCounts
from rowanshift.dataplane.kv_transfers import KvTransferPlanner, transfer_source
from rowanshift.dataplane.load_datagrams import DatagramKind
from rowanshift.dataplane.load_index import LoadIndex, ReportedRequest
from rowanshift.dataplane.request_admission import Admission, RequestAdmission
from rowanshift.dataplane.requests import ServerFields, effective_priority, serialize_request
from rowanshift.dataplane.response_stream import relay_response
from rowanshift.dataplane.response_writer import ClientDisconnected
from rowanshift.dataplane.retry_decision import ClientResponse, Decision, ExchangeOutcome, decide
from rowanshift.dataplane.server_exchange import ExchangeFailed, ExchangeFailure, ServerConnection, ServerExchange
from rowanshift.dataplane.server_selection import ServerSelection, answers_for_another_server, back_off_after
from rowanshift.dataplane.silence_monitor import SilenceMonitor
from rowanshift.dataplane.upstream import UpstreamPool
from rowanshift.transport.flow import Flow
from rowanshift.transport.http_connection import Message

MAX_RESEND_DELAY_SECONDS = 0.3  # a request is sent again with the same Deadline-Remaining for so long at most
OVERDUE_WARNING_SECONDS = 0.2  # minimum interval between warnings of requests that began on overdue weights
FAILURE_OUTCOMES = {
    ExchangeFailure.NOT_SENT: ExchangeOutcome.REQUEST_NOT_SENT,
    ExchangeFailure.BROKEN: ExchangeOutcome.NO_RESPONSE,
    ExchangeFailure.MALFORMED: ExchangeOutcome.MALFORMED_RESPONSE,
    ExchangeFailure.MISMATCHED: ExchangeOutcome.MISMATCHED_REQUEST_ID,
    ExchangeFailure.TIMED_OUT: ExchangeOutcome.TIMED_OUT,
    ExchangeFailure.SERVER_SILENT: ExchangeOutcome.SERVER_SILENT,
}
LOAD_REPORTS = {  # the report to the load index by outcome; other outcomes say nothing about the server
    ExchangeOutcome.SUCCESS: DatagramKind.FIRST_BYTES_RECEIVED,
    ExchangeOutcome.REQUEST_NOT_SENT: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.NO_RESPONSE: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.MALFORMED_RESPONSE: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.SERVER_ERROR: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.TIMED_OUT: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.MISMATCHED_REQUEST_ID: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.UNCONFIRMED_REJECTION: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.LAST_SERVER_ERROR: DatagramKind.REQUEST_FAILED,
    ExchangeOutcome.SERVER_SILENT: DatagramKind.REQUEST_FAILED,
}


class ChoiceOutdated(DataPlaneError):
    """The chosen server may no longer get the request. Nothing was sent; a server has to be chosen again."""


class ServerAttempts:
    """Makes attempts at requests, each at a server that was chosen before."""

    def __init__(
        self,
        state: ControlState,
        upstream: UpstreamPool,
        admission: RequestAdmission,
        selection: ServerSelection,
        loads: LoadIndex,
        counts: RequestCounts,
    ) -> None:
        self.state = state
        self.upstream = upstream
        self.admission = admission
        self.selection = selection
        self.loads = loads
        self.counts = counts
        self.silence = SilenceMonitor(state, upstream, admission, selection)
        self.kv_transfers = KvTransferPlanner(state)
        self.last_overdue_warning_at = float("-inf")

    async def run(self, forwarded: ForwardedRequest, endpoint: Endpoint) -> ExchangeOutcome:
        """Send a request to a server, relay the response if it is final for the client, and return the outcome.

        Raises ``ChoiceOutdated`` if nothing was sent, ``ClientDisconnected`` if the client has disconnected.
        """
        request = forwarded.request
        version = endpoint.versions.get(request.model, 0)
        pool = self.state.routing_table.cache_pool(forwarded.tenant)
        data = self._serialize(forwarded, endpoint, version, pool)
        self.counts.retries += forwarded.reached_server
        endpoint.on_request_sent(trio.current_time())
        load = await self.loads.report_sent(endpoint.id, max(1, request.token_count.prompt))
        report = DatagramKind.REQUEST_ABANDONED
        connection, forwarded.reserved_connection = forwarded.reserved_connection, None
        try:
            connection = connection or await self.upstream.acquire(endpoint, forwarded.deadline)
            self._check_choice(forwarded, connection, version, pool)
            try:
                outcome = await self._exchange(forwarded, connection, data, load, version)
            except ExchangeFailed as error:
                if not self._was_ended_while_idle(connection, error):
                    raise
                self.upstream.close(connection)
                connection = await self.upstream.connect(endpoint, forwarded.deadline)
                self._check_choice(forwarded, connection, version, pool)
                outcome = await self._exchange(forwarded, connection, data, load, version)
            report = LOAD_REPORTS.get(outcome, DatagramKind.REQUEST_ABANDONED)
            return outcome
        except ExchangeFailed as error:
            outcome = self._outcome_of_failure(forwarded, endpoint, connection, error)
            report = LOAD_REPORTS.get(outcome, DatagramKind.REQUEST_ABANDONED)
            return outcome
        finally:
            if connection is not None and not connection.released:
                self.upstream.close(connection)
            endpoint.on_request_ended()
            await self.loads.report_end(load, report)

    def _serialize(self, forwarded: ForwardedRequest, endpoint: Endpoint, version: int, cache_pool: bytes) -> bytes:
        """Encode the request as it is sent to the server."""
        request, tenant, now = forwarded.request, forwarded.tenant, trio.current_time()
        pool = self.selection.pool(forwarded)
        near = transfer_source(pool, request, forwarded.ring_position, version, endpoint, now)
        fetch, save = self.kv_transfers.plan(request, cache_pool, version, near, now)
        server_fields = ServerFields(
            endpoint.id,
            forwarded.deadline - now,
            version,
            forwarded.writer.last_event_id or request.last_event_id,
            fetch,
            save,
            effective_priority(forwarded.route, tenant),
            cache_pool,
        )
        return serialize_request(request, tenant, server_fields)

    def _check_choice(
        self, forwarded: ForwardedRequest, connection: ServerConnection, version: int, cache_pool: bytes
    ) -> None:
        """Check whether the server may still get the request, with blocks of the same pool.

        Raises ``ChoiceOutdated``, after returning the connection to the pool, if not; ``Refusal`` if the request is no
        longer admitted.
        """
        now = trio.current_time()
        valid = self.selection.is_still_valid(forwarded, connection.endpoint, version, now)
        valid = valid and cache_pool == self.state.routing_table.cache_pool(forwarded.tenant)
        if valid and not (forwarded.may_have_run or forwarded.writer.started):
            valid = self.admission.admit(forwarded.request) == Admission(forwarded.route, forwarded.tenant)
        if not valid:
            self.upstream.put_idle(connection, now)
            raise ChoiceOutdated

    async def _exchange(
        self,
        forwarded: ForwardedRequest,
        connection: ServerConnection,
        data: bytes,
        load: ReportedRequest,
        version: int,
    ) -> ExchangeOutcome:
        """Send the request and receive its response; the server counts as attempted once it may have begun."""
        request = forwarded.request
        abandon = partial(self.silence.check, forwarded, connection, version)
        exchange = ServerExchange(self.upstream.runtime, connection, request.id, forwarded.deadline, abandon)
        request.attempted_servers.append(connection.endpoint.id)
        self.upstream.requests_sent += 1
        try:
            exchange.send(data, len(data) - len(request.body))
            return await self._receive(forwarded, exchange, load, version)
        except BaseException:  # a cancellation too: a router that shuts down tells whether the request may have run
            if not exchange.may_have_begun:
                request.attempted_servers.remove(connection.endpoint.id)
            raise

    @staticmethod
    def _was_ended_while_idle(connection: ServerConnection, error: ExchangeFailed) -> bool:
        """Whether a kept connection ended before the request reached its server, which a new one may reach."""
        is_recent = trio.current_time() < connection.sent_at + MAX_RESEND_DELAY_SECONDS
        return error.failure is ExchangeFailure.NOT_SENT and bool(connection.idle_since) and is_recent

    async def _receive(
        self, forwarded: ForwardedRequest, exchange: ServerExchange, load: ReportedRequest, version: int
    ) -> ExchangeOutcome:
        """Wait for the response, and relay it if it is final for the client."""
        endpoint = exchange.connection.endpoint
        response = await self.silence.wait(forwarded, exchange.connection, exchange.read_head)
        endpoint.on_bytes_received(trio.current_time())
        if 200 <= response.status < 300 and response.flow is not None:
            self._warn_if_overdue(forwarded, endpoint, version)
            await self.loads.report_end(load, DatagramKind.FIRST_BYTES_RECEIVED)
            return await self._relay_success(forwarded, exchange, response, response.flow)
        outcome = ExchangeOutcome.SUCCESS  # of a response without a body
        if response.status >= 300:
            outcome = forwarded.progress.outcome_of_status(response.status, b"not-executed" in dict(response.fields))
        decision = decide(forwarded.idempotency, outcome)
        self._release(exchange, response, decision)
        self._back_off(endpoint, response, outcome)
        if decision.client_response is ClientResponse.SERVER_RESPONSE and not decision.retry:
            await forwarded.writer.send_response(response, response.body)
        return outcome

    async def _relay_success(
        self,
        forwarded: ForwardedRequest,
        exchange: ServerExchange,
        response: Message,
        flow: Flow,
    ) -> ExchangeOutcome:
        """Relay a successful response completely."""
        connection = exchange.connection
        read = partial(exchange.read_body, flow)
        read_or_move = partial(self.silence.wait, forwarded, connection, read)
        await relay_response(forwarded, connection.endpoint, response, read_or_move)
        clean = connection.http.clean()
        outcome = ExchangeOutcome.SUCCESS if clean else ExchangeOutcome.SUCCESS_WITH_SURPLUS_BYTES
        self._release(exchange, response, decide(forwarded.idempotency, outcome))
        return outcome

    def _release(self, exchange: ServerExchange, response: Message, decision: Decision) -> None:
        """Return a connection to the pool, or close it, after a complete response."""
        exchange.finish()
        if decision.keep_connection:
            self.upstream.release(exchange.connection, response, trio.current_time())
        else:
            self.upstream.close(exchange.connection)

    def _back_off(self, endpoint: Endpoint, response: Message, outcome: ExchangeOutcome) -> None:
        """Send no more requests for a while to a server that rejected one."""
        back_off_after(endpoint, response, outcome, trio.current_time())
        if outcome is ExchangeOutcome.MISDIRECTED and answers_for_another_server(endpoint, response):
            self.upstream.close_idle_to(endpoint)

    def _outcome_of_failure(
        self,
        forwarded: ForwardedRequest,
        endpoint: Endpoint,
        connection: ServerConnection | None,
        error: ExchangeFailed,
    ) -> ExchangeOutcome:
        """Map a failure to an outcome; raises ``ClientDisconnected`` if the client no longer waits."""
        if error.failure is ExchangeFailure.CLIENT_DISCONNECTED:
            raise ClientDisconnected from error
        if error.failure is ExchangeFailure.NOT_SENT:
            logger.info(
                "event=request_unsent server={} request={} connection={} why={!r}",
                endpoint.id,
                forwarded.request.id.decode("latin-1"),
                "none" if connection is None else "kept" if connection.idle_since else "new",
                str(error),
            )
            return ExchangeOutcome.REQUEST_NOT_SENT
        logger.info(
            "event=send_failed server={} request={} outcome={} why={!r}",
            endpoint.id,
            forwarded.request.id.decode("latin-1"),
            error.failure.value,
            str(error),
        )
        self.counts.resumed += forwarded.writer.started
        in_body = connection is not None and connection.response is not None
        if in_body and error.failure in (ExchangeFailure.BROKEN, ExchangeFailure.MALFORMED):
            return forwarded.progress.outcome_of_broken_success()
        return FAILURE_OUTCOMES[error.failure]

    def _warn_if_overdue(self, forwarded: ForwardedRequest, endpoint: Endpoint, version: int) -> None:
        """Log that a request began on weights whose deadline is near or over; rate-limited."""
        now, model = trio.current_time(), forwarded.request.model
        overdue = self.state.seconds_overdue(model, version, now)
        if overdue is None or now < self.last_overdue_warning_at + OVERDUE_WARNING_SECONDS:
            return
        self.last_overdue_warning_at = now
        logger.warning(
            "event=begun_on_older_weights request={} server={} model={} version={} lacks_for={:.3f}",
            forwarded.request.id.decode("latin-1"),
            endpoint.id,
            model,
            version,
            overdue,
        )
