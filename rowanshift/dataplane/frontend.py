"""The client side: requests in, each to one final answer, streams passed on event by event."""

import re
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools
import trio
from loguru import logger

from rowanshift.dataplane.endpoints import Endpoint, Endpoints
from rowanshift.dataplane.load_index import LoadIndex
from rowanshift.dataplane.requests import Request, priority_of, request_of, salt_of, written
from rowanshift.dataplane.routing_table import Route, RoutingTable, Tenant
from rowanshift.dataplane.upstream import Link, Outcome, SendFailed, Upstream
from rowanshift.kv_index.index import mark_of as part_mark
from rowanshift.kv_index.index import store_for, there
from rowanshift.net.budget import Budget, Memory
from rowanshift.net.calls import REASONS, said
from rowanshift.net.connection import BadMessage, Connection, Message
from rowanshift.net.flow import LAST_CHUNK
from rowanshift.net.transport import Listener, Nursery, Stream
from rowanshift.policy.placement import Pool, back_off, is_open, lighter, mark_of
from rowanshift.retry_budget import RetryBudget

BACKLOG, AT_ONCE = 1024, 16
TAKE_WITHIN = 10.0  # seconds in which a client takes some of its answer
BODY_WITHIN = 10.0  # seconds for a body to come
LINGER_FOR = 0.5  # seconds read on after an error, so that it arrives
LEAST_LEFT = 0.02  # seconds under which nothing is sent to a server
UNSENT_MOST = 4  # servers that could not be reached, for one request
HOLD_PART, HOLD_MOST = 0.2, 0.3  # of the aim, and seconds, that a request waits for a server to be there
LOAD_HOLD, LOAD_PART = 2.0, 0.4  # seconds, and of what is left, where servers take new weights
SILENT_FOR = 1.5  # seconds without a byte from a server, after which a repeatable request goes elsewhere
LEAST_MOVED = 64  # tokens in common that are worth a move
SAVED_FOR, MOST_SAVED = 8.0, 4096  # seconds in which a part is not given to a store again; parts remembered
FULL_FOR = 0.2  # seconds that a full server gets no more
STALE_FOR = 0.3  # the same for one that has other weights than was known
DENIALS = (401, 404)  # statuses of this router's own that are final for the client
CONFIRM_WITHIN = 0.6  # seconds that a request which would be denied waits for what is known to be confirmed
CONFIRM_AGAIN = 0.3  # seconds after which its client may come again if it was not
PROMISES = (408, 421, 429, 503)  # statuses that say it has not run and never will
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")
PASSED_ONCE = (b"content-length", b"transfer-encoding", b"connection")


class ClientGone(Exception):
    """The client ended its connection or takes nothing."""


@dataclass(slots=True, frozen=True)
class Refusal(Exception):
    """A final answer of this router's own."""

    status: int
    why: str
    back: float = 0.0  # seconds until the client may come again; 0: nothing is said


class Moved(Exception):
    """What was decided no longer holds; nothing was sent."""


class State(Protocol):
    """What the front is told by the channel."""

    routing_table: RoutingTable
    servers: Endpoints
    stored: set[int]  # marks of the parts that a store keeps

    def version(self, model: str, now: float) -> int: ...  # the least that a server must have

    async def fresh(self, left: float) -> None: ...  # waits, briefly, while what is known may be old

    async def confirmed(self, within: float) -> bool: ...  # waits until what is known is recent; whether it is

    def may_refuse(self) -> bool: ...  # by what is known, for good

    async def changed(self, within: float) -> None: ...


@dataclass(slots=True, eq=False)
class Out:
    """The answer to one request, as far as it went."""

    connection: Connection
    keep: bool
    old: bool
    begun: bool = False
    chunked: bool = False
    last: bytes | None = None  # id of the last event that was passed on

    async def send(self, data: bytes) -> None:
        try:
            if self.connection.push(data):
                return
            while True:
                with trio.move_on_after(TAKE_WITHIN) as scope:
                    await self.connection.stream.wait_writable()
                if scope.cancelled_caught:
                    raise ClientGone
                if self.connection.pump():
                    return
        except (OSError, trio.ClosedResourceError) as error:
            raise ClientGone from error

    def head(self, message: Message, length: int | None) -> bytes:
        lines = [b"HTTP/1.1 %d %s" % (message.status, REASONS.get(message.status, b""))]
        lines += [b"%s: %s" % pair for pair in message.end_to_end()]
        if length is not None:
            lines.append(b"Content-Length: %d" % length)
        elif self.old:
            self.keep = False
        else:
            self.chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if not self.keep:
            lines.append(b"Connection: close")
        self.begun = True
        return b"\r\n".join([*lines, b"", b""])

    def piece(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data

    async def whole(self, message: Message, body: bytes) -> None:
        await self.send(self.head(message, len(body)) + body)

    async def refuse(self, refusal: Refusal) -> None:
        body = said(refusal.why)
        lines = [
            b"HTTP/1.1 %d %s" % (refusal.status, REASONS.get(refusal.status, b"")),
            b"Content-Type: application/json",
            b"Content-Length: %d" % len(body),
        ]
        if refusal.back:
            lines.append(b"Retry-After: %.3f" % refusal.back)
        if not self.keep:
            lines.append(b"Connection: close")
        self.begun = True
        await self.send(b"\r\n".join([*lines, b"", body]))


@dataclass(slots=True, eq=False)
class Client:
    connection: Connection
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


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


class Frontend:
    def __init__(
        self,
        state: State,
        back: Upstream,
        budget: Budget,
        memory: Memory,
        retries: Callable[[str], RetryBudget],
        draw: Callable[[], float],
        loads: LoadIndex,
    ) -> None:
        self.state, self.back, self.budget, self.memory = state, back, budget, memory
        self.retries, self.draw, self.loads = retries, draw, loads
        self.counts = Counts()
        self.idle: dict[Client, None] = {}
        self.saved: OrderedDict[int, float] = OrderedDict()  # parts given to a store, until when
        self.open = 0  # requests
        self.leaving = False
        budget.idle_clients = self.drop_idle

    # the listener -----------------------------------------

    async def accept(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        while True:
            await listener.wait()
            for _ in range(AT_ONCE):
                await self.budget.take_client()
                try:
                    stream = listener.accept()
                except BlockingIOError:
                    self.budget.give_client()
                    break
                except OSError as error:
                    self.budget.give_client()
                    logger.warning("event=accept_failed error={!r}", error)
                    await pause(0.02)
                    break
                nursery.start_soon(self.serve, stream)

    def drop_idle(self) -> bool:
        """Closes the connection that stood idle longest and has sent nothing."""
        for client in self.idle:
            if not client.connection.stream.readable():
                del self.idle[client]
                client.scope.cancel()
                return True
        return False

    def leave(self) -> None:
        """Closes what is idle."""
        while self.drop_idle():
            pass

    # one connection ---------------------------------------

    async def serve(self, stream: Stream) -> None:
        connection = Connection(
            stream, httptools.HttpRequestParser, self.memory, largest=self.state.routing_table.largest_body
        )
        client = Client(connection)
        try:
            while True:
                message = await self._request(client)
                if message is None or not await self._answer(client, message):
                    return
                connection.release()
        except BadMessage as error:
            await self._bad(connection, error)
        except (ClientGone, OSError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("event=connection_failed")
        finally:
            self.idle.pop(client, None)
            connection.close()
            self.budget.give_client()

    async def _request(self, client: Client) -> Message | None:
        """The next request, whole; None when the client has ended or says nothing for too long."""
        connection, routing_table = client.connection, self.state.routing_table
        connection.largest = routing_table.largest_body
        until, began = trio.current_time() + routing_table.idle_for, 0.0
        while True:
            if (message := connection.next()) is not None:
                return message
            now = trio.current_time()
            if connection.partial:
                began = began or now
                until = began + (routing_table.header_within if connection.in_head else BODY_WITHIN)
                self.idle.pop(client, None)
            elif not connection.pending():
                self.idle[client] = None
            with trio.CancelScope(deadline=until) as client.scope:
                await connection.stream.wait_readable()
            if client.scope.cancelled_caught and not connection.stream.readable():
                if connection.partial and now < until:
                    continue
                if connection.partial:
                    raise BadMessage(408, "the request took too long")
                return None
            self.idle.pop(client, None)
            if not connection.receive():
                return None

    async def _bad(self, connection: Connection, error: BadMessage) -> None:
        """One 4xx, and the close; reads on for a moment so that it arrives."""
        out = Out(connection, keep=False, old=False)
        try:
            await out.refuse(Refusal(error.status, str(error)))
            connection.stream.end()
            space = memoryview(bytearray(1 << 16))
            with trio.move_on_after(LINGER_FOR):
                while True:
                    await connection.stream.wait_readable()
                    if not connection.stream.recv_into(space):
                        return
        except (ClientGone, OSError, trio.ClosedResourceError):
            pass

    async def _answer(self, client: Client, message: Message) -> bool:
        """Answers one request; whether the connection is kept."""
        self.counts.requests += 1
        out = Out(client.connection, message.keep and not self.leaving, message.old)
        request = request_of(message, trio.current_time())
        self.open += 1
        try:
            await self.state.fresh(request.until - request.came_at)
            await self._confirm_refusal(request)
            await self._carry(request, out)
            self.counts.whole += 1
        except Refusal as refused:
            refusal = self._unless_old(refused)
            self.counts.refused += refusal.status in PROMISES
            self.counts.failed += refusal.status not in PROMISES
            if out.begun:  # what went out must not look whole
                return False
            out.keep = out.keep and not self.leaving
            await out.refuse(refusal)
        except ClientGone:
            self.counts.gone += 1
            raise
        except Exception:
            self.counts.failed += 1
            if not out.begun:
                out.keep = False
                await out.refuse(Refusal(502, "a fault of this router"))
            raise
        finally:
            self.open -= 1
        return out.keep

    # one request ------------------------------------------

    async def _confirm_refusal(self, request: Request) -> None:
        """A request that would be refused for good waits, briefly, until what is known is surely recent."""
        if self.state.may_refuse():
            return
        try:
            self._allowed(request)
        except Refusal as refusal:
            if refusal.status in DENIALS:
                await self.state.confirmed(min(CONFIRM_WITHIN, request.until - request.came_at))

    def _unless_old(self, refusal: Refusal) -> Refusal:
        """The refusal, or one that lets the client come again where it rests on what may be old."""
        if refusal.status in DENIALS and not self.state.may_refuse():
            return Refusal(503, "the configuration could not be confirmed", CONFIRM_AGAIN)
        return refusal

    def _allowed(self, request: Request) -> tuple[Route, Tenant | None]:
        """Its route and tenant by the configuration that is in force now; ``Refusal`` otherwise."""
        routing_table = self.state.routing_table
        if not routing_table.revision:
            raise Refusal(503, "no configuration yet", 0.5)
        route = routing_table.match(request.host, request.path)
        if route is None:
            raise Refusal(404, "no route")
        tenant = None
        if routing_table.tenants is not None:
            tenant = routing_table.tenants.get(request.key) if request.key is not None else None
            if tenant is None and not route.public:
                raise Refusal(401, "the key is not known")
        return route, tenant

    async def _carry(self, request: Request, out: Out) -> None:
        """Sends a request to servers until one has answered it, or ``Refusal``."""
        route, tenant = self._allowed(request)
        unsent: set[str] = set()
        arrived = ran = False  # at a server; a server may have run it
        held_until, draw = 0.0, self.draw()
        last = Refusal(503, "no server", 0.1)
        counted = False
        while True:
            now = trio.current_time()
            if not (ran or out.begun):  # else it goes on as it began
                route, tenant = self._allowed(request)
            until = min(request.until, request.came_at + route.timeout)
            if until - now < LEAST_LEFT:
                raise Refusal(504, "its time was up") if ran else last
            service = route.service(draw)
            retries = self.retries(service)
            if not counted:
                counted = True
                retries.request(now)
            pool = self.state.servers.pool(service)
            mark = mark_of(request.model, request.prefix)
            if not request.tried and not unsent:
                pool.sample(mark, now)
            version = self.state.version(request.model, now)
            engine = pool.pick(mark, now, request.model, version, {*request.tried, *unsent})
            if engine is None:
                if not held_until:
                    held_until = now + min(HOLD_MOST, HOLD_PART * route.aim)
                    if any(engine.loading for engine in pool.engines):  # it will soon be back
                        held_until = now + min(LOAD_HOLD, LOAD_PART * (until - now))
                if request.tried or now >= held_until:
                    raise last if not ran else Refusal(502, "it may have run, and no other server is there")
                await self.state.changed(min(held_until, until) - now)
                continue
            if arrived and (len(request.tried) >= route.servers or not retries.take(now)):
                raise last
            engine = await self._lightest(request, pool, mark, engine, {*request.tried, *unsent})
            now = trio.current_time()
            self.counts.repeats += arrived
            had = engine.versions.get(request.model, 0)
            home = pool.home(mark)
            near = (
                home
                if home is not engine
                and home is not None
                and is_open(home, now)
                and home.versions.get(request.model, 0) == had
                else None
            )
            fetch, save = self._moves(request, tenant, had, near, now)
            data = written(
                request,
                tenant,
                engine.id.encode(),
                until - now,
                had,
                out.last or request.after,
                fetch,
                save,
                priority_of(route, tenant),
            )
            try:
                last = await self._attempt(request, route, tenant, had, engine, data, out, until, ran)
                if last is None:
                    return
                arrived = True
                ran = ran or last.status not in PROMISES
            except Moved:
                continue
            except SendFailed as failure:
                if failure.outcome is Outcome.UNSENT:
                    back_off(engine, trio.current_time())
                    unsent.add(engine.id)
                    if len(unsent) >= UNSENT_MOST:
                        raise last from failure
                    continue
                logger.info(
                    "event=send_failed server={} request={} outcome={} why={!r}",
                    engine.id,
                    request.id.decode("latin-1"),
                    failure.outcome.value,
                    str(failure),
                )
                arrived = ran = True
                last = Refusal(504 if failure.outcome is Outcome.LATE else 502, "it may have run")
                self.counts.resumed += out.begun
            if ran and (not route.repeatable or (out.begun and not out.last)):
                raise last

    async def _attempt(
        self,
        request: Request,
        route: Route,
        tenant: Tenant | None,
        had: int,
        engine: Endpoint,
        data: bytes,
        out: Out,
        until: float,
        ran: bool,
    ) -> Refusal | None:
        """One send to one server: None once the client has the whole answer, else what it would be told."""
        link = None
        engine.sent(trio.current_time())
        told = await self.loads.add(engine.id, max(1, request.tokens[0]))
        try:
            link = self.back.kept(engine, trio.current_time()) or await self.back.dial(engine, until)
            if self._moved(request, route, tenant, had, engine, ran or out.begun):
                self.back.keep(link, trio.current_time())
                raise Moved
            await self.back.send(link, data, until)
            request.tried.append(engine.id)
            return await self._take(request, route, link, out, until, told)
        except BaseException:
            if link is not None and not link.pooled:
                self.back.close(link)
            raise
        finally:
            engine.ended()
            await self.loads.done(told)

    async def _lightest(self, request: Request, pool: Pool, mark: int, first: Endpoint, out: set[str]) -> Endpoint:
        """The server picked, or another that serves as well and has far less to read, over all counters."""
        others = pool.others(mark, trio.current_time(), request.model, first, out)
        if not request.parts or not others:
            return first
        waiting = await self.loads.ask([first.id, *(engine.id for engine in others)])
        shared = sum(size for _, size in request.parts[:-1])
        return lighter(first, others, waiting, shared)

    def _moves(
        self, request: Request, tenant: Tenant | None, version: int, home: Endpoint | None, now: float
    ) -> tuple[bytes | None, bytes | None]:
        """Where the server may take the shared parts from, and the store that it is to give them to."""
        shared = request.parts[:-1]
        if not shared or not version:
            return None, None
        near = home.address.encode() if home is not None else None
        stored = self.state.stored
        stores = [service.store for service in self.state.routing_table.services.values() if service.store]
        store = store_for((at for at in stores if there(at) in stored), shared[-1][0].decode("latin-1"))
        if store is None or sum(size for _, size in shared) < LEAST_MOVED:
            return near, None
        address, salt = store.encode(), salt_of(tenant, version).decode("latin-1")
        marks = [part_mark(store, request.model, salt, id.decode("latin-1")) for id, _ in shared]
        lacking = [mark for mark in marks if mark not in stored]
        fetch = near if lacking and (near or len(lacking) == len(marks)) else address
        if not lacking or all(self.saved.get(mark, 0.0) > now for mark in lacking):
            return fetch, None
        while len(self.saved) >= MOST_SAVED:
            self.saved.popitem(last=False)
        for mark in lacking:
            self.saved[mark] = now + SAVED_FOR
        return fetch, address

    def _moved(
        self, request: Request, route: Route, tenant: Tenant | None, had: int, engine: Endpoint, begun: bool
    ) -> bool:
        """Whether what was decided no longer holds once the connection is up."""
        if not engine.listed or engine.draining or engine.loading or engine.versions.get(request.model, 0) != had:
            return True
        return not begun and self._allowed(request) != (route, tenant)

    async def _take(
        self, request: Request, route: Route, link: Link, out: Out, until: float, told: tuple[str, int]
    ) -> Refusal | None:
        """Takes the answer of one send in; None once the client has it whole."""
        engine, back = link.engine, self.back

        def look() -> bool:
            now = trio.current_time()
            if self._left(out):
                return True
            return route.repeatable and len(request.tried) < route.servers and now - engine.heard_at > SILENT_FOR

        message = await self._watched(out, back.head(link, request.id, until, look))
        await self.loads.done(told)
        now = trio.current_time()
        engine.heard(now)
        fields = dict(message.fields)
        if 200 <= message.status < 300 and message.flow is not None:
            await self._stream(request, route, link, out, until, look)
            back.done(link, trio.current_time())
            return None
        back.done(link, now)
        if message.status == 421:
            instance = fields.get(b"instance-id", engine.id.encode()).decode("latin-1")
            if instance != engine.id:
                back_off(engine, now)
                back.leave(engine)
            engine.silent_until = max(engine.silent_until, now + STALE_FOR)
            return Refusal(503, "the server was another", 0.1)
        if b"not-executed" in fields:
            if message.status in (429, 503):
                engine.silent_until = max(engine.silent_until, now + FULL_FOR)
            return Refusal(503, "servers are full", 0.1)
        if route.repeatable and len(request.tried) < route.servers and message.status >= 500:
            return Refusal(502, "it failed at a server")
        if message.status in PROMISES:  # it may have run: the promise is not this router's to make
            return Refusal(502, "it may have run")
        if out.begun:
            return Refusal(502, "it was not taken up")
        await out.whole(message, message.body)
        return None

    def _left(self, out: Out) -> bool:
        """Whether the client has ended its connection."""
        connection = out.connection
        if connection.closed():
            return True
        if not connection.stream.readable() or connection.inbound.full():
            return False
        try:
            return not connection.receive()
        except OSError:
            return True

    async def _watched(self, out: Out, wait: Awaitable) -> object:
        """What is waited for; ``ClientGone`` if that failed because nobody waits for it any more."""
        try:
            return await wait
        except SendFailed as failure:
            if failure.outcome is Outcome.LATE and self._left(out):
                raise ClientGone from failure
            raise

    async def _stream(
        self, request: Request, route: Route, link: Link, out: Out, until: float, look: Callable[[], bool]
    ) -> None:
        """Passes a stream on in whole events; what came of one that broke off is dropped."""
        message, held, engine = link.message, b"", link.engine
        length = message.length if not route.streaming else None
        while True:
            data = await self._watched(out, self.back.body(link, until, look))
            engine.heard(trio.current_time())
            if not data:
                break
            held += data
            cut = len(held)
            if route.streaming:
                cut = 0
                for end in EVENT_END.finditer(held):
                    cut = end.end()
                if not cut:
                    continue
            events, held = held[:cut], held[cut:]
            if route.streaming and (ids := EVENT_ID.findall(events)):
                out.last = ids[-1]
            head = b"" if out.begun else out.head(message, length)
            await out.send(head + out.piece(events))
        head = b"" if out.begun else out.head(message, length)
        rest = out.piece(held) if held else b""
        await out.send(head + rest + (LAST_CHUNK if out.chunked else b""))
