"""The client side: accepts connections, turns requests into exchanges, sends replies, and notices disconnects."""

import re
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from itertools import chain
from typing import Protocol
from urllib.parse import unquote

import httptools
import trio
from loguru import logger

from rowanshift.cacheproxy.clock import Clock
from rowanshift.cacheproxy.config import NameIndex
from rowanshift.cacheproxy.driver import REPLY_MARGIN_SECONDS
from rowanshift.cacheproxy.exchange import Exchange, Reply
from rowanshift.cacheproxy.figures import Metrics
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.flow import LAST_CHUNK, Flow, framed
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery
from rowanshift.transport.streams import Listener, Stream

READINESS_PATH = b"/-/ready"
ABSOLUTE_FORM = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)  # the scheme and authority of such a target
REMAINING_MS = b"x-remaining-ms"
SINGLE_FIELDS = frozenset([b"x-txn", b"x-lane", b"x-org", REMAINING_MS])  # A request must not repeat any of them.
FRESH_SECONDS = 0.1  # A connection younger than this is not closed for its descriptor.
FIRST_REQUEST_TIMEOUT_SECONDS = 2.0  # It runs from the accept to the first complete request.
HEAD_TIMEOUT_SECONDS = 2.5  # It runs from a request's first byte to the end of its head.
MIN_BODY_BYTES_PER_SECOND, BODY_SLACK_SECONDS = 64_000, 2.5  # A body may take its size at this rate, plus the slack.
MAX_UPLOAD_SECONDS = 600.0  # The largest body takes this at the minimum rate; the expiry counts from its last byte.
IDLE_TIMEOUT_SECONDS = 2.0
MAX_IDLE_FRACTION = 0.125  # of the descriptors: some clients send one request and keep the connection open
DRAIN_IDLE_SECONDS = 1.0  # A drained router keeps idle connections so long, as a request may be on its way.
FINISH_IDLE_SECONDS = 0.02  # A router that is about to stop keeps idle connections so long.
WRITE_TIMEOUT_SECONDS = 10.0  # A client that reads no byte of its response for so long is disconnected.
LINGER_SECONDS, LINGER_BYTES = 0.5, 256 * 1024  # Closing with unread input would reset the connection.
UPLOAD_LINGER_SECONDS, UPLOAD_LINGER_BYTES = 2.0, 8 * 1024 * 1024  # These apply after a reply to an upload.
OVERDUE_SECONDS = 0.03  # An exchange without a reply so long after its expiry is answered with 504.
MAX_REMAINING_MS = 3_600_000
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 16

discard_buffer = memoryview(bytearray(64 * 1024))


class RequestHandler(Protocol):
    """What the client side uses of the ``Driver``."""

    def submit(self, exchange: Exchange) -> None: ...

    def abandon(self, exchange: Exchange) -> None: ...


def exchange_of(id: int, message: Message, names: NameIndex, arrived_at: float) -> Exchange:
    """The exchange for a request; its remaining time counts from the arrival of its last byte."""
    if message.method not in (b"GET", b"PUT"):
        raise MalformedMessage(405, "expected the method GET for a read or PUT for a write")
    fields = dict(message.fields)
    if sum(name in SINGLE_FIELDS for name, _ in message.fields) != len(SINGLE_FIELDS & fields.keys()):
        raise MalformedMessage(400, "X-Txn, X-Lane, X-Org or X-Remaining-Ms is repeated")
    if not fields.get(b"x-txn"):
        raise MalformedMessage(400, "X-Txn is missing or empty")
    if message.target[:1] != b"/" and (prefix := ABSOLUTE_FORM.match(message.target)) is not None:
        message.target = message.target[prefix.end() :] or b"/"
    first, *rest = message.target.split(b"?", 1)[0].strip(b"/").split(b"/")
    category = fields.get(b"x-lane", first)
    if category != first or (position := names.categories.get(category)) is None:
        raise MalformedMessage(400, f"category is unknown, or X-Lane differs from the path: {category[:40]!r}")
    tenant = names.tenants.get(fields.get(b"x-org")) if names.tenants else 0
    if tenant is None:
        raise MalformedMessage(400, "X-Org names no known tenant")
    remaining_ms = fields.get(REMAINING_MS, b"")
    if not remaining_ms.isdigit() or len(remaining_ms) > 9 or int(remaining_ms) > MAX_REMAINING_MS:
        raise MalformedMessage(400, "X-Remaining-Ms is not a whole number of milliseconds up to 3600000")
    key = unquote(rest[-1].decode("latin-1")) if rest and rest[-1] else None
    forwarded = [field for field in message.end_to_end() if field[0] != REMAINING_MS]
    return Exchange(
        id,
        position,
        tenant,
        key,
        message.method == b"PUT",
        arrived_at + int(remaining_ms) / 1000,
        message.method,
        message.target,
        forwarded,
        message.body,
        message.flow,
        message.length,
    )


def encode_reply(reply: Reply, keep_alive: bool, chunked: bool = False) -> bytes:
    """The bytes of a reply; of a streamed one, those before its flow."""
    lines = [b"HTTP/1.1 %d %s" % (reply.status, REASONS.get(reply.status, b""))]
    lines += [b"%s: %s" % field for field in reply.headers]
    if reply.flow is None:
        lines.append(b"Content-Length: %d" % len(reply.body))
    elif reply.length is not None:
        lines.append(b"Content-Length: %d" % reply.length)
    elif chunked:
        lines.append(b"Transfer-Encoding: chunked")
    if reply.retry_after:
        lines.append(b"Retry-After: %.3f" % reply.retry_after)
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join([*lines, b"", reply.body])


@dataclass(slots=True, eq=False)
class Client:
    """A client's connection and the exchange in progress on it. Times are trio's."""

    connection: Connection
    deadline: float  # The next step must happen by then.
    accepted_at: float
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    exchange: Exchange | None = None
    request_id: bytes = b""  # the value of X-Txn
    category: int | None = None  # None if there is no request whose end is still to be counted
    reply_status: int = 0
    request_begun: bool = False  # Part of a request has been received.
    keep_alive: bool = True  # The connection stays open after the reply.
    rejected: bool = False  # Further input is not parsed.
    closing: bool = False
    http_1_0: bool = False
    body_started_at: float = 0.0  # Pauses in which the router did not read are added to it.
    upload: Flow | None = None  # the body of a long request, while it is being received
    upload_remaining: float = 0.0  # the request's remaining seconds, which count from its last byte
    reply_flow: Flow | None = None  # the body of a streamed reply
    chunked: bool = False


class Clients:
    """The connections of all clients."""

    def __init__(
        self,
        names: NameIndex,
        driver: RequestHandler,
        clock: Clock,
        budget: DescriptorBudget,
        memory: MemoryBudget,
        metrics: Metrics | None = None,
    ) -> None:
        self.names, self.driver, self.clock = names, driver, clock
        self.metrics = metrics or Metrics([name.decode("latin-1") for name in names.categories])
        self.budget, self.memory = budget, memory
        self.last_id = 0
        self.ready = False  # This is reported at ``READINESS_PATH``.
        self.leaving = False  # If set, each reply closes its connection.
        self.finishing = False  # If set, idle connections are closed after ``FINISH_IDLE_SECONDS``.
        self.open: set[bytes] = set()  # the request ids of the exchanges in progress
        self.silent: dict[Client, None] = {}  # connections without a request so far, or rejected; the oldest first
        self.idle: dict[Client, None] = {}  # connections after a reply; the longest idle first
        budget.close_silent_client = partial(self.close_unused, self.silent)
        budget.close_idle_client = partial(self.close_unused, self.idle)

    # the listener

    async def accept(self, listener: Listener, nursery: Nursery) -> None:
        """Accepts connections until cancelled, whatever errors a single accept meets."""
        while True:
            await listener.wait()
            for _ in range(MAX_ACCEPTS_PER_TURN):
                await self.budget.acquire_client()
                try:
                    stream = listener.accept()
                except BlockingIOError:
                    self.budget.release_client()
                    break
                except OSError as error:
                    self.budget.release_client()
                    logger.warning("event=accept_failed error={!r}", error)
                    await trio.sleep(0.02)
                    break
                nursery.start_soon(self.serve, stream)

    def close_unused(self, clients: dict[Client, None]) -> bool:
        """Closes the first of these connections without unread input; returns False if there is none.

        A connection accepted within ``FRESH_SECONDS`` stays open: its request may be on its way, and would be lost
        as would the client's next attempt, on another fresh connection.
        """
        fresh_since = trio.current_time() - FRESH_SECONDS
        for client in clients:
            if client.accepted_at > fresh_since and not client.rejected:
                continue
            if client.rejected or not (client.connection.stream.readable() or client.connection.pending()):
                self._close(client)
                return True
        return False

    def drain(self) -> None:
        """Until ``undrain``: reports not ready, closes connections with their reply, and idle ones soon."""
        self.ready, self.leaving = False, True
        deadline = trio.current_time() + DRAIN_IDLE_SECONDS
        for client in chain(self.silent, self.idle):
            if not client.request_begun:
                client.deadline = client.scope.deadline = min(client.deadline, deadline)

    def undrain(self) -> None:
        """Ends a drain."""
        self.ready, self.leaving = True, False

    def finish(self) -> None:
        """Closes idle connections after a short wait for a request, and the others with their reply."""
        self.leaving = self.finishing = True
        for client in chain(self.silent, self.idle):
            if not client.request_begun:
                client.deadline = client.scope.deadline = trio.current_time() + FINISH_IDLE_SECONDS

    def _close(self, client: Client) -> None:
        """Closes a connection at once: another may need its descriptor in the same turn of the event loop."""
        client.closing = True
        self.silent.pop(client, None)
        self.idle.pop(client, None)
        if client.category is not None:  # The client disconnected, or did not receive the complete reply.
            self._count_end(client, 0)
        if not client.connection.closed():
            client.connection.close()
            self.budget.release_client()

    def _count_end(self, client: Client, status: int) -> None:
        """Counts the end of an accepted request, once."""
        category, client.category = client.category, None
        self.metrics.count_end(category, status)

    def _count_start(self, client: Client, category: int) -> None:
        client.category = category
        self.metrics.in_flight += 1

    # one connection

    async def serve(self, stream: Stream) -> None:
        """Serves an accepted connection until it is closed."""
        timeout = (
            FINISH_IDLE_SECONDS
            if self.finishing
            else DRAIN_IDLE_SECONDS
            if self.leaving
            else FIRST_REQUEST_TIMEOUT_SECONDS
        )
        now = trio.current_time()
        connection = Connection(stream, httptools.HttpRequestParser, self.memory, flows=True)
        client = Client(connection, now + timeout, now)
        self.silent[client] = None
        try:
            while not client.closing:
                if client.reply_flow is not None:
                    await self._stream_reply(client)
                elif client.upload is not None and not client.connection.sending():
                    await self._receive_upload(client)
                else:
                    await self._step(client)
            if client.rejected and not client.connection.closed():
                await self._linger(client)
        except (OSError, trio.ClosedResourceError):
            pass  # The client disconnected, or the connection was closed for its descriptor.
        except Exception:
            logger.exception("event=client_connection_failed")
        finally:
            for flow in (client.upload, client.reply_flow):
                if flow is not None:
                    flow.abort()
                    flow.cancel()
            if client.exchange is not None:
                self.driver.abandon(client.exchange)
            self._close(client)

    async def _step(self, client: Client) -> None:
        """Waits for the next event on a connection and handles it."""
        connection, in_exchange = client.connection, client.exchange is not None
        with trio.CancelScope(deadline=client.deadline) as client.scope:
            if connection.sending():
                await connection.stream.wait_writable()
            elif in_exchange and connection.inbound.full():
                await trio.sleep_forever()
            elif not in_exchange and connection.pending():
                await trio.lowlevel.checkpoint()
            else:
                await connection.stream.wait_readable()
        timed_out = client.scope.cancelled_caught and trio.current_time() >= client.deadline
        if client.closing:
            return
        if connection.sending():
            unsent = len(connection.unsent) + len(connection.outbound)
            if connection.pump():
                self._on_sent(client)
            elif len(connection.unsent) + len(connection.outbound) < unsent:  # The client is slow, but reads.
                client.deadline = trio.current_time() + WRITE_TIMEOUT_SECONDS
            else:
                client.closing = client.closing or timed_out
        elif client.exchange is not None:
            if timed_out:
                await self._reply_overdue(client)
            elif not client.scope.cancelled_caught and not connection.receive():
                client.closing = True  # The client disconnected.
        elif client.scope.cancelled_caught:
            if timed_out and client.request_begun:
                self._reject(client, MalformedMessage(408, "the request was not complete in time"))
            else:
                client.closing = timed_out
        elif connection.receive() or connection.pending():
            self._read_request(client)
        else:
            client.closing = True

    def _read_request(self, client: Client) -> None:
        """Handles the next request, if it is complete."""
        self.idle.pop(client, None)  # From here on the connection must not be closed without a reply.
        if not client.request_begun:
            client.request_begun, client.body_started_at = True, 0.0
            client.deadline = trio.current_time() + HEAD_TIMEOUT_SECONDS
        message = None
        try:
            message = client.connection.next()
            if message is not None:
                client.request_begun = False
                self._handle_request(client, message)
            elif client.connection.partial and not client.connection.in_head:
                client.body_started_at = client.body_started_at or trio.current_time()
                client.deadline = (
                    client.body_started_at + BODY_SLACK_SECONDS + client.connection.size / MIN_BODY_BYTES_PER_SECOND
                )
        except MalformedMessage as error:
            first = (message or client.connection.message).target.strip(b"/").split(b"/", 1)[0]
            if (category := self.names.categories.get(first)) is not None:
                self._count_start(client, category)
            self._reject(client, error)

    def _handle_request(self, client: Client, message: Message) -> None:
        client.keep_alive, client.http_1_0 = message.keep, message.old
        if message.target == READINESS_PATH:
            reply = Reply(200, b"ready\n") if self.ready else Reply(503, b"not ready\n")
            return self._send_reply(client, reply)
        self.last_id += 1
        arrived_at = self.clock.now() - client.connection.stream.age()
        exchange = exchange_of(self.last_id, message, self.names, arrived_at)
        request_id = next(value for name, value in exchange.headers if name == b"x-txn")
        if request_id in self.open:
            raise MalformedMessage(409, "another request with this X-Txn is in progress")
        self.open.add(request_id)
        self.silent.pop(client, None)
        self._count_start(client, exchange.category)
        client.exchange, client.request_id = exchange, request_id
        exchange.on_end = partial(self._on_exchange_end, client, exchange)
        client.upload_remaining = 0.0
        if message.flow is not None and not message.flow.ended:
            client.upload_remaining = exchange.expiry - arrived_at
            client.upload = message.flow
            client.body_started_at = client.body_started_at or trio.current_time()
            exchange.expiry += MAX_UPLOAD_SECONDS
        self.driver.submit(exchange)
        if client.exchange is not None and client.upload is not None:
            client.deadline = (
                client.body_started_at + BODY_SLACK_SECONDS + client.connection.size / MIN_BODY_BYTES_PER_SECOND
            )
        elif client.exchange is not None:
            client.deadline = self.clock.deadline(exchange.expiry + OVERDUE_SECONDS)

    async def _receive_upload(self, client: Client) -> None:
        """Reads the next part of a long request, once the server side has room for it."""
        connection, flow, waiting_since = client.connection, client.upload, trio.current_time()
        with trio.CancelScope() as client.scope:
            if flow.is_full():
                await flow.wait_until_writable()
                client.body_started_at += trio.current_time() - waiting_since
            else:
                client.scope.deadline = client.deadline
                await connection.stream.wait_readable()
        if client.closing or client.upload is None:
            return
        if client.scope.cancelled_caught:
            if trio.current_time() >= client.deadline:
                self._fail_upload(
                    client,
                    MalformedMessage(408, f"expected at least {MIN_BODY_BYTES_PER_SECOND} bytes of the body a second"),
                )
            return
        connected = connection.read_body() if not flow.is_full() else True
        if flow.ended:
            client.upload = None
            client.keep_alive = connection.kept
            exchange = client.exchange
            exchange.expiry = (
                self.clock.now() - connection.stream.age() + client.upload_remaining - REPLY_MARGIN_SECONDS
            )
            exchange.on_expiry_set()
            client.deadline = self.clock.deadline(exchange.expiry + OVERDUE_SECONDS)
        elif connection.error is not None:
            self._fail_upload(client, connection.error)
        elif not connected:
            client.closing = True  # The client disconnected.
        else:
            client.deadline = client.body_started_at + BODY_SLACK_SECONDS + connection.size / MIN_BODY_BYTES_PER_SECOND

    def _fail_upload(self, client: Client, error: MalformedMessage) -> None:
        """Rejects a long request whose body is malformed or too slow; without its last byte it has not run."""
        flow = client.upload
        client.upload = None
        flow.abort()
        self.driver.abandon(client.exchange)
        self._reject(client, error)

    async def _stream_reply(self, client: Client) -> None:
        """Sends a long reply as it arrives, until it ends or the client reads nothing for too long."""
        connection, flow, last_chunk_sent = client.connection, client.reply_flow, False
        while True:
            if connection.sending():
                with trio.move_on_after(WRITE_TIMEOUT_SECONDS) as scope:
                    await connection.stream.wait_writable()
                if scope.cancelled_caught:
                    break
                connection.pump()
            elif flow.pieces:
                connection.push(framed(flow.pop(), client.chunked))
            elif not flow.is_finished():
                await flow.wait_until_readable()
            elif not flow.ended:
                break
            elif client.chunked and not last_chunk_sent:
                last_chunk_sent = True
                connection.push(LAST_CHUNK)
            else:
                client.reply_flow = None
                return self._on_sent(client)
        client.closing = True  # The client notices the missing end of the body.

    def _on_exchange_end(self, client: Client, exchange: Exchange) -> None:
        """Sends the reply in the same turn of the event loop in which the exchange ends."""
        client.exchange = None
        self.open.discard(client.request_id)
        if exchange.reply is not None:
            self._send_reply(client, exchange.reply)

    async def _reply_overdue(self, client: Client) -> None:
        """Replies with 504 to a request that has no reply after its expiry.

        After a pause of the event loop the hand-off's timeout is due in the same turn, and its outcome goes first.
        """
        late = trio.current_time() - client.deadline
        await trio.sleep(0.005)
        if (exchange := client.exchange) is not None:
            logger.error(
                "event=reply_overdue request={} late_s={:.3f} hand_offs={}",
                exchange.id,
                late,
                exchange.hand_offs,
            )
            self.driver.abandon(exchange)
            self._send_reply(client, Reply(504))

    # replies

    def _reject(self, client: Client, error: MalformedMessage) -> None:
        """Replies with an error and closes the connection; the rest of its input is not parsed."""
        logger.info("event=request_rejected status={} error={!r}", error.status, error)
        client.rejected, client.keep_alive = True, False
        self.silent[client] = None
        self._send_reply(client, Reply(error.status, f"{error}\n".encode()))

    def _send_reply(self, client: Client, reply: Reply) -> None:
        max_idle = max(1, int(MAX_IDLE_FRACTION * self.budget.limit))
        client.keep_alive = client.keep_alive and not self.leaving and len(self.idle) < max_idle
        client.deadline, client.reply_status = trio.current_time() + WRITE_TIMEOUT_SECONDS, reply.status
        connection = client.connection
        if client.upload is not None:  # The reply precedes the end of the request, whose rest is not parsed.
            client.upload.cancel()
            client.upload, client.keep_alive, client.rejected = None, False, True
        client.reply_flow = reply.flow
        client.chunked = reply.flow is not None and reply.length is None and not client.http_1_0
        if reply.flow is not None and reply.length is None and client.http_1_0:
            client.keep_alive = False
        try:
            if connection.push(encode_reply(reply, client.keep_alive, client.chunked)):
                if client.reply_flow is None:
                    self._on_sent(client)
            elif not connection.hold(len(connection.unsent)):
                client.closing = True  # No memory is left for the rest. The client notices that it is missing.
        except OSError:
            client.closing = True
        if client.closing or client.reply_flow is not None or connection.sending() or connection.pending():
            client.scope.cancel()
        else:
            client.scope.deadline = client.deadline

    def _on_sent(self, client: Client) -> None:
        client.connection.release()
        if client.category is not None:
            self._count_end(client, client.reply_status)
        if client.keep_alive:
            client.deadline = trio.current_time() + (FINISH_IDLE_SECONDS if self.finishing else IDLE_TIMEOUT_SECONDS)
            self.idle[client] = None
            self.silent.pop(client, None)
        else:
            client.closing = True

    async def _linger(self, client: Client) -> None:
        """Reads on for a while, since closing with unread input would reset the connection and lose the reply."""
        stream, remaining_bytes, timeout = client.connection.stream, LINGER_BYTES, LINGER_SECONDS
        if client.upload_remaining:
            remaining_bytes, timeout = UPLOAD_LINGER_BYTES, UPLOAD_LINGER_SECONDS
        stream.end()
        with trio.move_on_after(timeout):
            while remaining_bytes > 0:
                await stream.wait_readable()
                n = stream.recv_into(discard_buffer)
                remaining_bytes -= n or remaining_bytes
