"""The client side: the listener, requests to exchanges, final answers, and clients that go away."""

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
from rowanshift.cacheproxy.config import Names
from rowanshift.cacheproxy.driver import WAY_BACK
from rowanshift.cacheproxy.exchange import Exchange, Reply
from rowanshift.cacheproxy.figures import Figures
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.flow import LAST_CHUNK, Flow, framed
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery
from rowanshift.transport.streams import Listener, Stream

READY = b"/-/ready"
ABSOLUTE = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)  # before the path, in the absolute form
LEFT = b"x-remaining-ms"
ONCE = frozenset([b"x-txn", b"x-lane", b"x-org", LEFT])
FRESH_FOR = 0.1  # seconds from the accept, in which no connection is closed to make room
SILENT_FOR = 2.0  # seconds from a connection to its first whole request
HEAD_WITHIN = 2.5  # seconds from a request's first byte to the end of its head
BODY_RATE, BODY_SLACK = 64_000, 2.5  # bytes a second that a body comes at, at least, but for so many seconds
LONGEST_UPLOAD = 600.0  # seconds: the largest body at that rate; its time counts from the last byte
IDLE_FOR = 2.0  # that a client's connection may stand idle
IDLE_PART = 0.125  # of the descriptors, that idle ones may hold: some clients ask once and never let go
DRAINED_FOR = 1.0  # after which a drained router closes what is idle: a request may be on its way
LAST_LOOK = 0.02  # of a connection that was accepted at the very end
REPLY_WITHIN = 10.0  # seconds in which a client takes some of its answer
LINGER_FOR, LINGER_BYTES = 0.5, 256 * 1024  # read on after an error, so that it arrives
UPLOAD_FOR, UPLOAD_BYTES = 2.0, 8 * 1024 * 1024  # the same after an answer to a request that is still coming
OVERDUE = 0.03  # after the expiry
LONGEST_LEFT_MS = 3_600_000
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BACKLOG = 1024
AT_ONCE = 16  # connections accepted in one turn

scratch = bytearray(64 * 1024)  # for what nobody will look at


class Decider(Protocol):
    def take(self, exchange: Exchange) -> None: ...

    def gone(self, exchange: Exchange) -> None: ...


def exchange_of(id: int, message: Message, names: Names, came_at: float) -> Exchange:
    """The work item that a request stands for; its time counts from when its last byte came."""
    if message.method not in (b"GET", b"PUT"):
        raise MalformedMessage(405, "GET reads and PUT writes")
    fields = dict(message.fields)
    if sum(name in ONCE for name, _ in message.fields) != len(ONCE & fields.keys()):
        raise MalformedMessage(400, "a field that says what to do stands there twice")
    if not fields.get(b"x-txn"):
        raise MalformedMessage(400, "X-Txn is missing")
    if message.target[:1] != b"/" and (form := ABSOLUTE.match(message.target)) is not None:
        message.target = message.target[form.end() :] or b"/"
    first, *rest = message.target.split(b"?", 1)[0].strip(b"/").split(b"/")
    category = fields.get(b"x-lane", first)
    if category != first or (position := names.categories.get(category)) is None:
        raise MalformedMessage(400, f"unknown category, or X-Lane and the path differ: {category[:40]!r}")
    customer = names.tenants.get(fields.get(b"x-org")) if names.tenants else 0
    if customer is None:
        raise MalformedMessage(400, "unknown tenant")
    left = fields.get(LEFT, b"")
    if not left.isdigit() or len(left) > 9 or int(left) > LONGEST_LEFT_MS:
        raise MalformedMessage(400, "X-Remaining-Ms is no whole number of milliseconds")
    key = unquote(rest[-1].decode("latin-1")) if rest and rest[-1] else None
    passed_on = [field for field in message.end_to_end() if field[0] != LEFT]
    return Exchange(
        id,
        position,
        customer,
        key,
        message.method == b"PUT",
        came_at + int(left) / 1000,
        message.method,
        message.target,
        passed_on,
        message.body,
        message.flow,
        message.length,
    )


def written(reply: Reply, keep: bool, chunked: bool = False) -> bytes:
    """A final answer as it goes out; of a long one, what comes before its flow."""
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
    if not keep:
        lines.append(b"Connection: close")
    return b"\r\n".join([*lines, b"", reply.body])


@dataclass(slots=True, eq=False)
class Client:
    """A client's connection, and the work item that is open on it."""

    connection: Connection
    until: float  # trio's time by which the next thing must happen
    since: float  # trio's time at which it was accepted
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    exchange: Exchange | None = None
    txn: bytes = b""
    category: int | None = None  # of the request that was taken and has not ended
    status: int = 0  # of its answer
    reading: bool = False  # part of a request has come
    keep: bool = True  # the connection, after the answer
    refused: bool = False  # what it sent could not be followed
    over: bool = False
    old: bool = False  # it speaks HTTP/1.0
    body_at: float = 0.0  # trio's time at which the body began, later by while this router did not read
    upload: Flow | None = None  # of a long request that is still coming
    left: float = 0.0  # seconds that it has, from its last byte
    flow: Flow | None = None  # of a long answer
    chunked: bool = False


class Clients:
    def __init__(
        self,
        names: Names,
        driver: Decider,
        clock: Clock,
        budget: DescriptorBudget,
        memory: MemoryBudget,
        figures: Figures | None = None,
    ) -> None:
        self.names, self.driver, self.clock = names, driver, clock
        self.figures = figures or Figures([name.decode("latin-1") for name in names.categories])
        self.budget, self.memory = budget, memory
        self.ids = 0
        self.ready = False  # whether to say so to those who ask
        self.leaving = False  # answers close their connections
        self.finishing = False  # and nothing is waited for
        self.open: set[bytes] = set()  # X-Txn of work items that are open
        self.silent: dict[Client, None] = {}  # never asked, or were refused; the oldest first
        self.idle: dict[Client, None] = {}  # have asked; the longest idle first
        budget.close_silent_client = partial(self.drop_one, self.silent)
        budget.close_idle_client = partial(self.drop_one, self.idle)

    # the listener -----------------------------------------

    async def accept(self, listener: Listener, nursery: Nursery) -> None:
        """Accepts for good; an error of one ``accept`` ends nothing."""
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
                    logger.warning("accept: {}", error)
                    await trio.sleep(0.02)
                    break
                nursery.start_soon(self.serve, stream)

    def drop_one(self, clients: dict[Client, None]) -> bool:
        """Closes the first of these connections that nothing has come in on, if there is one. The request of
        a fresh one may be on its way: to close it would lose what was taken, and the next try as well."""
        fresh = trio.current_time() - FRESH_FOR
        for client in clients:
            if client.since > fresh and not client.refused:
                continue
            if client.refused or not (client.connection.stream.readable() or client.connection.pending()):
                self._end(client)
                return True
        return False

    def drain(self) -> None:
        """Until ``undrain``: not ready, answers close their connections, and soon nothing is held idle."""
        self.ready, self.leaving = False, True
        until = trio.current_time() + DRAINED_FOR
        for client in chain(self.silent, self.idle):
            if not client.reading:
                client.until = client.scope.deadline = min(client.until, until)

    def undrain(self) -> None:
        self.ready, self.leaving = True, False

    def leave(self) -> None:
        """Closes what is idle, after a last look; what else is open closes with its answer."""
        self.leaving = self.finishing = True
        for client in chain(self.silent, self.idle):
            if not client.reading:
                client.until = client.scope.deadline = trio.current_time() + LAST_LOOK

    def _end(self, client: Client) -> None:
        """Closes a connection now: its descriptor may be wanted in the same turn of the loop."""
        client.over = True
        self.silent.pop(client, None)
        self.idle.pop(client, None)
        if client.category is not None:  # the client went away, or could not be sent the whole answer
            self._count(client, 0)
        if not client.connection.closed():
            client.connection.close()
            self.budget.release_client()

    def _count(self, client: Client, status: int) -> None:
        """Counts a work item at its end, once."""
        category, client.category = client.category, None
        self.figures.end(category, status)

    def _taken(self, client: Client, category: int) -> None:
        client.category = category
        self.figures.in_flight += 1

    # one connection ---------------------------------------

    async def serve(self, stream: Stream) -> None:
        wait = LAST_LOOK if self.finishing else DRAINED_FOR if self.leaving else SILENT_FOR
        now = trio.current_time()
        connection = Connection(stream, httptools.HttpRequestParser, self.memory, flows=True)
        client = Client(connection, now + wait, now)
        self.silent[client] = None
        try:
            while not client.over:
                if client.flow is not None:
                    await self._pass_on(client)
                elif client.upload is not None and not client.connection.sending():
                    await self._take_in(client)
                else:
                    await self._turn(client)
            if client.refused and not client.connection.closed():
                await self._linger(client)
        except (OSError, trio.ClosedResourceError):
            pass  # the client broke off, or was closed to make room
        except Exception:
            logger.exception("a client's connection failed")
        finally:
            for flow in (client.upload, client.flow):
                if flow is not None:
                    flow.abort()
                    flow.cancel()
            if client.exchange is not None:
                self.driver.gone(client.exchange)
            self._end(client)

    async def _turn(self, client: Client) -> None:
        """Waits for the next thing to happen on a connection, and takes it in."""
        connection, waits = client.connection, client.exchange is not None
        with trio.CancelScope(deadline=client.until) as client.scope:
            if connection.sending():
                await connection.stream.wait_writable()
            elif waits and connection.inbound.full():
                await trio.sleep_forever()
            elif not waits and connection.pending():
                await trio.lowlevel.checkpoint()
            else:
                await connection.stream.wait_readable()
        late = client.scope.cancelled_caught and trio.current_time() >= client.until
        if client.over:
            return
        if connection.sending():
            left = len(connection.unsent) + len(connection.outbound)
            if connection.pump():
                self._sent(client)
            elif len(connection.unsent) + len(connection.outbound) < left:  # slow, and it goes on
                client.until = trio.current_time() + REPLY_WITHIN
            else:
                client.over = client.over or late
        elif client.exchange is not None:
            if late:
                await self._last_resort(client)
            elif not client.scope.cancelled_caught and not connection.receive():
                client.over = True  # it has gone away
        elif client.scope.cancelled_caught:
            if late and client.reading:
                self._refuse(client, MalformedMessage(408, "the request took too long"))
            else:
                client.over = late
        elif connection.receive() or connection.pending():
            self._read(client)
        else:
            client.over = True

    def _read(self, client: Client) -> None:
        """Takes up the next request, if it has come whole."""
        self.idle.pop(client, None)  # what was read must be answered
        if not client.reading:
            client.reading, client.body_at = True, 0.0
            client.until = trio.current_time() + HEAD_WITHIN
        message = None
        try:
            message = client.connection.next()
            if message is not None:
                client.reading = False
                self._take(client, message)
            elif client.connection.partial and not client.connection.in_head:
                client.body_at = client.body_at or trio.current_time()
                client.until = client.body_at + BODY_SLACK + client.connection.size / BODY_RATE
        except MalformedMessage as error:
            first = (message or client.connection.message).target.strip(b"/").split(b"/", 1)[0]
            if (category := self.names.categories.get(first)) is not None:
                self._taken(client, category)
            self._refuse(client, error)

    def _take(self, client: Client, message: Message) -> None:
        client.keep, client.old = message.keep, message.old
        if message.target == READY:
            ready = Reply(200, b"ready\n") if self.ready else Reply(503, b"not ready\n")
            return self._answer(client, ready)
        self.ids += 1
        came_at = self.clock.now() - client.connection.stream.age()
        exchange = exchange_of(self.ids, message, self.names, came_at)
        txn = next(value for name, value in exchange.headers if name == b"x-txn")
        if txn in self.open:
            raise MalformedMessage(409, "X-Txn is that of a request that is open")
        self.open.add(txn)
        self.silent.pop(client, None)
        self._taken(client, exchange.category)
        client.exchange, client.txn = exchange, txn
        exchange.wake = partial(self._ended, client, exchange)
        client.left = 0.0
        if message.flow is not None and not message.flow.ended:
            client.left = exchange.expiry - came_at
            client.upload = message.flow
            client.body_at = client.body_at or trio.current_time()
            exchange.expiry += LONGEST_UPLOAD
        self.driver.take(exchange)
        if client.exchange is not None and client.upload is not None:
            client.until = client.body_at + BODY_SLACK + client.connection.size / BODY_RATE
        elif client.exchange is not None:
            client.until = self.clock.deadline(exchange.expiry + OVERDUE)

    async def _take_in(self, client: Client) -> None:
        """Reads on in a long request, as far as it is passed on."""
        connection, flow, at = client.connection, client.upload, trio.current_time()
        with trio.CancelScope() as client.scope:
            if flow.is_full():
                await flow.wait_until_writable()
                client.body_at += trio.current_time() - at
            else:
                client.scope.deadline = client.until
                await connection.stream.wait_readable()
        if client.over or client.upload is None:
            return
        if client.scope.cancelled_caught:
            if trio.current_time() >= client.until:
                self._spoilt(client, MalformedMessage(408, f"a body comes at {BODY_RATE} bytes a second at least"))
            return
        going = connection.read_body() if not flow.is_full() else True
        if flow.ended:
            client.upload = None
            client.keep = connection.kept
            exchange = client.exchange
            exchange.expiry = self.clock.now() - connection.stream.age() + client.left - WAY_BACK
            exchange.timed()
            client.until = self.clock.deadline(exchange.expiry + OVERDUE)
        elif connection.error is not None:
            self._spoilt(client, connection.error)
        elif not going:
            client.over = True  # it has gone away
        else:
            client.until = client.body_at + BODY_SLACK + connection.size / BODY_RATE

    def _spoilt(self, client: Client, error: MalformedMessage) -> None:
        """A long request that can't be followed to its end, and has not run."""
        client.upload, flow = None, client.upload
        flow.abort()
        self.driver.gone(client.exchange)
        self._refuse(client, error)

    async def _pass_on(self, client: Client) -> None:
        """Sends a long answer as it comes, to its end, or until the client takes nothing of it for long."""
        connection, flow, ends = client.connection, client.flow, False
        while True:
            if connection.sending():
                with trio.move_on_after(REPLY_WITHIN) as scope:
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
            elif client.chunked and not ends:
                ends = True
                connection.push(LAST_CHUNK)
            else:
                client.flow = None
                return self._sent(client)
        client.over = True  # the client can tell that it is not whole

    def _ended(self, client: Client, exchange: Exchange) -> None:
        """The end of a work item: its answer goes out in the same turn."""
        client.exchange = None
        self.open.discard(client.txn)
        if exchange.reply is not None:
            self._answer(client, exchange.reply)

    async def _last_resort(self, client: Client) -> None:
        """After a standstill the hand-off's time is up in the same turn: its outcome goes first."""
        late = trio.current_time() - client.until
        await trio.sleep(0.005)
        if (exchange := client.exchange) is not None:
            logger.error(
                "work item {} was left without an answer: {:.3f} s late, {} hand-offs",
                exchange.id,
                late,
                exchange.hand_offs,
            )
            self.driver.gone(exchange)
            self._answer(client, Reply(504))

    # answers ----------------------------------------------

    def _refuse(self, client: Client, error: MalformedMessage) -> None:
        """What can't be followed gets its error and the close: no more of it is read."""
        logger.info("refused a request: {} {}", error.status, error)
        client.refused, client.keep = True, False
        self.silent[client] = None
        self._answer(client, Reply(error.status, f"{error}\n".encode()))

    def _answer(self, client: Client, reply: Reply) -> None:
        most_idle = max(1, int(IDLE_PART * self.budget.limit))
        client.keep = client.keep and not self.leaving and len(self.idle) < most_idle
        client.until, client.status = trio.current_time() + REPLY_WITHIN, reply.status
        connection = client.connection
        if client.upload is not None:  # answered before it came whole: what is still coming is not looked at
            client.upload.give_up()
            client.upload, client.keep, client.refused = None, False, True
        client.flow = reply.flow
        client.chunked = reply.flow is not None and reply.length is None and not client.old
        if reply.flow is not None and reply.length is None and client.old:
            client.keep = False
        try:
            if connection.push(written(reply, client.keep, client.chunked)):
                if client.flow is None:
                    self._sent(client)
            elif not connection.hold(len(connection.unsent)):
                client.over = True  # the client can tell that it is not whole
        except OSError:
            client.over = True
        if client.over or client.flow is not None or connection.sending() or connection.pending():
            client.scope.cancel()
        else:
            client.scope.deadline = client.until

    def _sent(self, client: Client) -> None:
        client.connection.release()
        if client.category is not None:
            self._count(client, client.status)
        if client.keep:
            client.until = trio.current_time() + (LAST_LOOK if self.finishing else IDLE_FOR)
            self.idle[client] = None
            self.silent.pop(client, None)
        else:
            client.over = True

    async def _linger(self, client: Client) -> None:
        """Reads on a little, so that the error is not lost with what the client is still sending."""
        stream, left, within = client.connection.stream, LINGER_BYTES, LINGER_FOR
        if client.left:
            left, within = UPLOAD_BYTES, UPLOAD_FOR
        stream.end()
        with trio.move_on_after(within):
            while left > 0:
                await stream.wait_readable()
                n = stream.recv_into(scratch)
                left -= n or left
