"""The client side: connections of clients, and one final answer to each request that comes on them."""

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
from rowanshift.transport.streams import Listener, Stream

BACKLOG, AT_ONCE = 1024, 16
BODY_WITHIN = 10.0  # seconds for a body to come
LINGER_FOR = 0.5  # seconds read on after an error, so that it arrives
DENIALS = (401, 404)  # statuses of this router's own that are final for the client
CONFIRM_WITHIN = 0.6  # seconds that a request which would be denied waits for what is known to be confirmed
FIRST_WITHIN = 0.2  # seconds for the first request of a connection that a leaving router took
CONFIRM_AGAIN = 0.3  # seconds after which its client may come again if it was not


@dataclass(slots=True, eq=False)
class Client:
    """One connection of a client; ``scope`` ends its wait for a request."""

    connection: Connection
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    connected_at: float = field(default_factory=trio.current_time)
    requests: int = 0  # read whole


class Frontend:
    """Takes requests from clients and answers each once."""

    def __init__(
        self,
        state: ControlState,
        back: UpstreamPool,
        budget: DescriptorBudget,
        memory: MemoryBudget,
        retries: Callable[[str], RetryBudget],
        draw: Callable[[], float],
        loads: LoadIndex,
        drain: Drain,
        outcomes: RequestOutcomes | None = None,
    ) -> None:
        self.state, self.budget, self.memory, self.drain = state, budget, memory, drain
        self.forwarder = Forwarder(state, back, retries, draw, loads, drain)
        self.counts = self.forwarder.counts
        self.idle: dict[Client, None] = {}
        self.open = 0  # requests
        self.reading: set[Client] = set()  # connections of which a part of a request was read
        self.answering: dict[trio.CancelScope, ResponseWriter] = {}  # what gives up each request that is open
        self.accepting = trio.CancelScope()
        self.listener_closed = trio.Event()
        self.outcomes = outcomes or RequestOutcomes()
        budget.close_idle_client = self.drop_idle

    # the listener -----------------------------------------

    async def accept(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        """Take connections in until ``stop_accepting``; then those that wait, so that their requests are refused, and
        the listener is closed."""
        try:
            with self.accepting:
                await self._accept(listener, nursery, pause)
            self._take_waiting(listener, nursery)
        finally:
            listener.close()
            self.listener_closed.set()

    def _take_waiting(self, listener: Listener, nursery: Nursery) -> None:
        """Take in the connections that wait to be accepted, as far as there is room."""
        for _ in range(BACKLOG):
            if not self.budget.try_acquire_client():
                return
            try:
                stream = listener.accept()
            except OSError:  # none waits, or no descriptor is left
                self.budget.release_client()
                return
            self._note_connection()
            nursery.start_soon(self.serve, stream)

    async def stop_accepting(self) -> None:
        """Take no more connections but those that wait already; returns once the listener is closed."""
        self.accepting.cancel()
        await self.listener_closed.wait()

    async def _accept(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        while True:
            await listener.wait()
            for _ in range(AT_ONCE):
                await self.budget.acquire_client()
                try:
                    stream = listener.accept()
                except BlockingIOError:
                    self.budget.release_client()
                    break
                except OSError as error:
                    self.budget.release_client()
                    logger.warning("event=accept_failed error={!r}", error)
                    await pause(0.02)
                    break
                self._note_connection()
                nursery.start_soon(self.serve, stream)

    def drop_idle(self) -> bool:
        """Closes the connection that stood idle longest and has sent nothing."""
        for client in self.idle:
            if not client.connection.stream.readable():
                del self.idle[client]
                client.scope.cancel()
                return True
        return False

    @property
    def unfinished(self) -> int:
        """Requests that are being read or answered."""
        return len(self.reading) + self.open

    def begin_shutdown(self) -> None:
        """Tell each client whose answer has not begun that its connection ends with it."""
        for writer in self.answering.values():
            writer.keep_alive = writer.keep_alive and writer.started

    def give_up(self) -> None:
        """End each open request now: with a final answer, or by a cut if its answer has begun."""
        for scope in [*self.answering]:
            scope.cancel()

    def close_idle(self) -> None:
        """Closes connections that are idle; a new one is given ``FIRST_WITHIN`` for its first request."""
        now = trio.current_time()
        closed = [client for client in self.idle if self._closes(client, now)]
        for client in closed:
            del self.idle[client]
            client.scope.cancel()
        if closed and (shutdown := self.outcomes.shutdown) is not None:
            shutdown.idle_connections_closed += len(closed)
            since = shutdown.since_signal(now)
            logger.info("event=idle_closed_while_leaving connections={} since_signal={:.3f}", len(closed), since)

    @staticmethod
    def _closes(client: Client, now: float) -> bool:
        """Whether an idle connection is closed by a router that leaves."""
        expected = not client.requests and now < client.connected_at + FIRST_WITHIN
        return not expected and not client.connection.stream.readable()

    def _note_connection(self) -> None:
        """A new connection was accepted, which matters while leaving."""
        if (shutdown := self.outcomes.shutdown) is None:
            return
        now = trio.current_time()
        shutdown.record_connection(now)
        if shutdown.new_connections == 1:
            logger.info("event=first_connection_while_leaving since_signal={:.3f}", shutdown.since_signal(now))

    # one connection ---------------------------------------

    async def serve(self, stream: Stream) -> None:
        """Answer one request after another on a connection."""
        connection = Connection(
            stream, httptools.HttpRequestParser, self.memory, largest=self.state.routing_table.max_body_bytes
        )
        client = Client(connection)
        try:
            while True:
                message = await self._request(client)
                if message is None or not await self._answer(client, message):
                    return
                connection.release()
        except MalformedMessage as error:
            await self._bad(ResponseWriter(connection, keep_alive=False, is_http_1_0=False), error)
        except (ClientDisconnected, OSError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("event=connection_failed")
        finally:
            self.idle.pop(client, None)
            connection.close()
            self.budget.release_client()

    async def _request(self, client: Client) -> Message | None:
        """The next request, whole; None when the client has ended or says nothing for too long."""
        try:
            return await self._next_message(client)
        finally:
            self.reading.discard(client)

    async def _next_message(self, client: Client) -> Message | None:
        connection, routing_table = client.connection, self.state.routing_table
        connection.largest = routing_table.max_body_bytes
        until, began = trio.current_time() + routing_table.idle_timeout, 0.0
        while True:
            if (message := connection.next()) is not None:
                return message
            now = trio.current_time()
            if connection.partial:
                self.reading.add(client)
                began = began or now
                until = began + (routing_table.header_timeout if connection.in_head else BODY_WITHIN)
                self.idle.pop(client, None)
            elif not connection.pending():
                self.idle[client] = None
            with trio.CancelScope(deadline=until) as client.scope:
                await connection.stream.wait_readable()
            if client.scope.cancelled_caught and not connection.stream.readable():
                if connection.partial and now < until:
                    continue
                if connection.partial:
                    raise MalformedMessage(408, "the request took too long")
                return None
            self.idle.pop(client, None)
            if not connection.receive():
                return None

    async def _bad(self, writer: ResponseWriter, error: MalformedMessage) -> None:
        """One 4xx, and the close; reads on for a moment so that it arrives."""
        connection, writer.keep_alive = writer.connection, False
        try:
            await writer.refuse(Refusal(error.status, str(error)))
            connection.stream.end()
            space = memoryview(bytearray(1 << 16))
            with trio.move_on_after(LINGER_FOR):
                while True:
                    await connection.stream.wait_readable()
                    if not connection.stream.recv_into(space):
                        return
        except ClientDisconnected:
            writer.outcome = RequestOutcome.CLIENT_DISCONNECTED
        except (OSError, trio.ClosedResourceError):
            pass

    async def _answer(self, client: Client, message: Message) -> bool:
        """Answers one request, which ends in exactly one way; whether the connection is kept."""
        self.counts.requests += 1
        client.requests += 1
        id = dict(message.fields).get(b"request-id", b"").decode("latin-1")
        logger.debug("event=request_read request={}", id)
        tracked = self.outcomes.track(id, client.connected_at, client.requests, trio.current_time())
        writer = ResponseWriter(client.connection, message.keep and not self.drain.draining, message.old)
        try:
            return await self._final_answer(message, writer)
        except MalformedMessage as error:
            await self._bad(writer, error)
            return False
        except ClientDisconnected:
            writer.outcome = RequestOutcome.CLIENT_DISCONNECTED
            raise
        finally:  # also when it is cancelled
            now = trio.current_time()
            log_closed_request(self.outcomes.close(tracked, writer.outcome, now, writer.status, writer.bytes_written))

    async def _final_answer(self, message: Message, writer: ResponseWriter) -> bool:
        """Answers one request by a server's answer or a refusal; whether the connection is kept."""
        request = parse_request(message, trio.current_time())
        self.open += 1
        try:
            await self._forward_unless_given_up(request, writer)
            self.counts.completed += 1
        except Refusal as refused:
            refusal = self._unless_old(refused)
            self.counts.refused += refusal.status in NOT_EXECUTED_STATUSES
            self.counts.failed += refusal.status not in NOT_EXECUTED_STATUSES
            if writer.started:  # what went writer must not look whole
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
            self.open -= 1
        return writer.keep_alive

    async def _forward_unless_given_up(self, request: Request, writer: ResponseWriter) -> None:
        """Forwards a request; ``Refusal`` once it is given up because this router ends."""
        scope = trio.CancelScope()
        self.answering[scope] = writer
        try:
            with scope:
                await self._forward(request, writer)
                return
        finally:
            del self.answering[scope]
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
        """A request that would be refused for good waits, briefly, until what is known is surely recent."""
        if self.state.may_refuse():
            return
        try:
            self.forwarder.admission.admit(request)
        except Refusal as refusal:
            if refusal.status in DENIALS:
                await self.state.wait_until_may_refuse(min(CONFIRM_WITHIN, request.deadline - request.received_at))

    def _unless_old(self, refusal: Refusal) -> Refusal:
        """The refusal, or one that lets the client come again where it rests on what may be old."""
        if refusal.status in DENIALS and not self.state.may_refuse():
            return Refusal(503, "the configuration could not be confirmed", CONFIRM_AGAIN)
        return refusal


def log_closed_request(closed: ClosedRequest) -> None:
    """Log a request that ended during the shutdown, or whose end was a violation."""
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
