"""Accepts client connections, reads requests from them, and sends exactly one final response to each.

Times are trio's, in seconds.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools
import trio
from loguru import logger

from rowanshift.dataplane.control_state import ControlState
from rowanshift.dataplane.drain import Drain
from rowanshift.dataplane.forwarded_request import RETRY_AFTER_SECONDS
from rowanshift.dataplane.forwarder import Forwarder
from rowanshift.dataplane.load_index import LoadIndex
from rowanshift.dataplane.request_admission import DRAINING_REASON
from rowanshift.dataplane.request_outcomes import ClosedRequest, RequestOutcome, RequestOutcomes
from rowanshift.dataplane.requests import Request, parse_request
from rowanshift.dataplane.response_writer import ClientDisconnected, Refusal, ResponseWriter
from rowanshift.dataplane.retry_budget import RetryBudget
from rowanshift.dataplane.retry_decision import NOT_EXECUTED_STATUSES
from rowanshift.dataplane.upstream import UpstreamPool
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery
from rowanshift.transport.streams import Listener, Stream, discard_input

LISTEN_BACKLOG = 1024  # connections waiting to be accepted
MAX_ACCEPTS_PER_TURN = 16  # connections
ACCEPT_RETRY_SECONDS = 0.02  # pause after a failed accept
BODY_TIMEOUT_SECONDS = 10.0  # maximum time for receiving a request's body
LIMITS_CHECK_SECONDS = 2.0  # a connection that waits for a request learns of changed limits within this time
ERROR_LINGER_SECONDS = 0.5  # input is read until such a pause after a 4xx: closing at once might reset the connection
MAX_LINGER_SECONDS = 5.0  # for which it is read at most
DENIAL_STATUSES = (401, 404)  # refusals by this router that are final for the client
CONFIRMATION_WAIT_SECONDS = 0.6  # maximum wait for confirmed state before a request is denied
UNCONFIRMED_RETRY_AFTER_SECONDS = 0.3  # Retry-After of a denial whose state could not be confirmed
FIRST_REQUEST_TIMEOUT_SECONDS = 0.2  # maximum wait for the first request on a new connection while draining


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection of a client; cancelling ``scope`` ends its wait for a request."""

    http: Connection
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    connected_at: float = field(default_factory=trio.current_time)
    requests_read: int = 0


class Frontend:
    """Serves client connections and passes their requests to the ``Forwarder``.

    ``retry_budget_of`` returns a service's retry budget by its name, ``draw`` a random number from 0 to 1.
    """

    def __init__(
        self,
        state: ControlState,
        upstream: UpstreamPool,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
        retry_budget_of: Callable[[str], RetryBudget],
        draw: Callable[[], float],
        loads: LoadIndex,
        drain: Drain,
        outcomes: RequestOutcomes | None = None,
    ) -> None:
        self.state = state
        self.descriptors = descriptors
        self.memory = memory
        self.drain = drain
        self.forwarder = Forwarder(state, upstream, retry_budget_of, draw, loads, drain)
        self.counts = self.forwarder.counts
        self.idle: dict[ClientConnection, None] = {}
        self.open_requests = 0
        self.reading: set[ClientConnection] = set()  # connections on which a part of a request has arrived
        self.writers: dict[
            trio.CancelScope, ResponseWriter
        ] = {}  # writers of open requests, keyed by the scope that abandons the request
        self.accept_scope = trio.CancelScope()
        self.listener_closed = trio.Event()
        self.outcomes = outcomes or RequestOutcomes()
        descriptors.close_idle_client = self.close_longest_idle

    # the listener -----------------------------------------

    async def accept(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        """Accept connections until ``stop_accepting``, then those still waiting, and close the listener.

        The requests of the latter then get a refusal instead of a reset. ``pause`` sleeps for a number of seconds.
        """
        try:
            with self.accept_scope:
                await self._accept(listener, nursery, pause)
            self._accept_waiting(listener, nursery)
        finally:
            listener.close()
            self.listener_closed.set()

    def _accept_waiting(self, listener: Listener, nursery: Nursery) -> None:
        """Accept the connections in the listener's backlog, as far as there are descriptors."""
        for _ in range(LISTEN_BACKLOG):
            if not self.descriptors.try_acquire_client():
                return
            try:
                stream = listener.accept()
            except OSError:  # the backlog is empty, or no descriptor is available
                self.descriptors.release_client()
                return
            self._record_connection()
            nursery.start_soon(self.serve, stream)

    async def stop_accepting(self) -> None:
        """Accept only the connections already in the backlog; returns once the listener is closed."""
        self.accept_scope.cancel()
        await self.listener_closed.wait()

    async def _accept(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        while True:
            await listener.wait()
            for _ in range(MAX_ACCEPTS_PER_TURN):
                await self.descriptors.acquire_client()
                try:
                    stream = listener.accept()
                except BlockingIOError:
                    self.descriptors.release_client()
                    break
                except OSError as error:
                    self.descriptors.release_client()
                    logger.warning("event=accept_failed error={!r}", error)
                    await pause(ACCEPT_RETRY_SECONDS)
                    break
                self._record_connection()
                nursery.start_soon(self.serve, stream)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest and has no unread input; whether there was one."""
        for client in self.idle:
            if not client.http.stream.readable():
                del self.idle[client]
                client.scope.cancel()
                return True
        return False

    @property
    def unfinished_requests(self) -> int:
        """Requests that are being read or answered."""
        return len(self.reading) + self.open_requests

    def begin_shutdown(self) -> None:
        """Mark each response that has not started so that it announces the end of its connection."""
        for writer in self.writers.values():
            writer.keep_alive = writer.keep_alive and writer.started

    def abandon_open_requests(self) -> None:
        """End each open request now: with a refusal, or by closing the connection if its response has started."""
        for scope in [*self.writers]:
            scope.cancel()

    def close_idle_connections(self) -> None:
        """Close idle connections, except new ones within ``FIRST_REQUEST_TIMEOUT_SECONDS`` of their start."""
        now = trio.current_time()
        closed = [client for client in self.idle if self._should_close(client, now)]
        for client in closed:
            del self.idle[client]
            client.scope.cancel()
        if closed and (shutdown := self.outcomes.shutdown) is not None:
            shutdown.idle_connections_closed += len(closed)
            seconds_since_signal = shutdown.since_signal(now)
            logger.info(
                "event=idle_closed_while_leaving connections={} since_signal={:.3f}", len(closed), seconds_since_signal
            )

    @staticmethod
    def _should_close(client: ClientConnection, now: float) -> bool:
        """Whether a draining router closes an idle connection."""
        awaits_first_request = not client.requests_read and now < client.connected_at + FIRST_REQUEST_TIMEOUT_SECONDS
        return not awaits_first_request and not client.http.stream.readable()

    def _record_connection(self) -> None:
        """Count a new connection that was accepted after SIGTERM."""
        if (shutdown := self.outcomes.shutdown) is None:
            return
        now = trio.current_time()
        shutdown.record_connection(now)
        if shutdown.new_connections == 1:
            logger.info("event=first_connection_while_leaving since_signal={:.3f}", shutdown.since_signal(now))

    # one connection ---------------------------------------

    async def serve(self, stream: Stream) -> None:
        """Handle one request after another on a connection, then close it."""
        connection = Connection(
            stream, httptools.HttpRequestParser, self.memory, body_limit_bytes=self.state.routing_table.max_body_bytes
        )
        client = ClientConnection(connection)
        try:
            while True:
                message = await self._read_request(client)
                if message is None or not await self._handle_request(client, message):
                    return
                connection.release()
        except MalformedMessage as error:
            await self._reject_malformed(ResponseWriter(connection, keep_alive=False, is_http_1_0=False), error)
        except (ClientDisconnected, OSError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("event=connection_failed")
        finally:
            self.idle.pop(client, None)
            connection.close()
            self.descriptors.release_client()

    async def _read_request(self, client: ClientConnection) -> Message | None:
        """The next complete request; None if the client closed the connection or the idle timeout expired."""
        try:
            return await self._next_message(client)
        finally:
            self.reading.discard(client)

    async def _next_message(self, client: ClientConnection) -> Message | None:
        """Read until a request is complete, by the limits in force; those at the end of its head bind its body."""
        connection = client.http
        idle_since, started_at = trio.current_time(), 0.0
        while True:
            limits = self.state.routing_table
            if connection.in_head:
                connection.body_limit_bytes = limits.max_body_bytes
            if (message := connection.next()) is not None:
                return message
            now = trio.current_time()
            if connection.partial:
                self.reading.add(client)
                started_at = started_at or now
                until = started_at + (limits.header_timeout if connection.in_head else BODY_TIMEOUT_SECONDS)
                if now >= until and not connection.stream.readable():
                    raise MalformedMessage(408, "the request was not received completely in time")
                self.idle.pop(client, None)
            else:
                until = idle_since + limits.idle_timeout
                if now >= until and not connection.stream.readable():
                    return None
                if not connection.pending():
                    self.idle[client] = None
            with trio.CancelScope(deadline=min(until, now + LIMITS_CHECK_SECONDS)) as client.scope:
                await connection.stream.wait_readable()
            if client.scope.cancelled_caught and not connection.stream.readable():
                if not connection.partial and client not in self.idle:  # it was chosen to be closed
                    return None
                continue
            self.idle.pop(client, None)
            if not connection.receive():
                return None

    async def _reject_malformed(self, writer: ResponseWriter, error: MalformedMessage) -> None:
        """Send the error's status and end the connection; discard input for a moment so that the response arrives."""
        connection, writer.keep_alive = writer.connection, False
        try:
            await writer.refuse(Refusal(error.status, str(error)))
            connection.stream.end()
            with trio.move_on_after(MAX_LINGER_SECONDS):
                await discard_input(connection.stream, ERROR_LINGER_SECONDS)
        except ClientDisconnected:
            writer.outcome = RequestOutcome.CLIENT_DISCONNECTED
        except (OSError, trio.ClosedResourceError):
            pass

    async def _handle_request(self, client: ClientConnection, message: Message) -> bool:
        """Handle one request and record its outcome; whether the connection stays open."""
        self.counts.requests += 1
        client.requests_read += 1
        id = dict(message.fields).get(b"request-id", b"").decode("latin-1")
        logger.debug("event=request_read request={}", id)
        tracked = self.outcomes.track(id, client.connected_at, client.requests_read, trio.current_time())
        writer = ResponseWriter(
            client.http, message.keep and not self.drain.draining, message.old, message.method == b"HEAD"
        )
        try:
            return await self._respond(message, writer)
        except MalformedMessage as error:
            await self._reject_malformed(writer, error)
            return False
        except ClientDisconnected:
            writer.outcome = RequestOutcome.CLIENT_DISCONNECTED
            raise
        finally:  # also after a cancellation
            now = trio.current_time()
            log_closed_request(self.outcomes.close(tracked, writer.outcome, now, writer.status, writer.bytes_written))

    async def _respond(self, message: Message, writer: ResponseWriter) -> bool:
        """Send a server's response or a refusal; whether the connection stays open."""
        request = parse_request(message, trio.current_time())
        self.open_requests += 1
        try:
            await self._forward_until_abandoned(request, writer)
            self.counts.completed += 1
        except Refusal as refused:
            refusal = self._confirmed(refused)
            self.counts.refused += refusal.status in NOT_EXECUTED_STATUSES
            self.counts.failed += refusal.status not in NOT_EXECUTED_STATUSES
            if writer.started:  # closing the connection marks the response as incomplete
                return False
            writer.keep_alive = writer.keep_alive and not self.drain.draining
            await writer.refuse(refusal)
        except ClientDisconnected:
            self.counts.disconnected += 1
            raise
        except Exception:
            self.counts.failed += 1
            if not writer.started:
                writer.keep_alive = False
                await writer.refuse(Refusal(502, "a fault of this router"))
            raise
        finally:
            self.open_requests -= 1
        return writer.keep_alive

    async def _forward_until_abandoned(self, request: Request, writer: ResponseWriter) -> None:
        """Forward a request; raises ``Refusal`` if the shutdown abandons it."""
        scope = trio.CancelScope()
        self.writers[scope] = writer
        try:
            with scope:
                await self._forward(request, writer)
                return
        finally:
            del self.writers[scope]
        if request.attempted_servers:
            raise Refusal(502, f"{DRAINING_REASON}; it may have run")
        raise Refusal(503, DRAINING_REASON, RETRY_AFTER_SECONDS)

    async def _forward(self, request: Request, writer: ResponseWriter) -> None:
        if self.drain.draining:
            self.forwarder.refuse_if_draining(request, writer)
        await self.state.wait_until_fresh(request.deadline - request.received_at)
        await self._confirm_refusal(request)
        await self.forwarder.forward(request, writer)

    async def _confirm_refusal(self, request: Request) -> None:
        """If the request would be denied, wait briefly until the state is known to be recent."""
        if self.state.may_refuse():
            return
        try:
            self.forwarder.admission.admit(request)
        except Refusal as refusal:
            if refusal.status in DENIAL_STATUSES:
                await self.state.wait_until_may_refuse(
                    min(CONFIRMATION_WAIT_SECONDS, request.deadline - request.received_at)
                )

    def _confirmed(self, refusal: Refusal) -> Refusal:
        """The refusal, or a 503 instead of a denial that is based on possibly outdated state."""
        if refusal.status in DENIAL_STATUSES and not self.state.may_refuse():
            return Refusal(503, "the configuration could not be confirmed", UNCONFIRMED_RETRY_AFTER_SECONDS)
        return refusal


def log_closed_request(closed: ClosedRequest) -> None:
    """Log a request that ended during the shutdown or in a violation."""
    request, shutdown = closed.request, closed.shutdown
    if closed.violation is None and shutdown is None:
        return
    fields = [
        f"ending={closed.outcome.value}",
        f"request={request.id}",
        f"took={closed.closed_at - request.received_at:.3f}",
        f"connection={'kept' if request.reused_connection else 'new'}",
        f"nth={request.number_on_connection}",
        f"bytes={closed.bytes_written}",
    ]
    if closed.status:
        fields.append(f"status={closed.status}")
    if shutdown is not None:
        fields += [
            f"since_signal={shutdown.since_signal:.3f}",
            f"grace_left={shutdown.grace_left:.3f}",
            f"came_since_signal={shutdown.received_since_signal:.3f}",
            f"grace_left_at_arrival={shutdown.grace_left_at_arrival:.3f}",
            f"connected_since_signal={shutdown.connected_since_signal:.3f}",
        ]
    if closed.excused:
        fields.append("excused=True")
    if closed.violation is None:
        logger.info("event=request_ended_while_leaving {}", " ".join(fields))
    else:
        logger.warning("event=request_cut violation={} {}", closed.violation.value, " ".join(fields))
