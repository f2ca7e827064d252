"""A router's frontend in the virtual network, between a raw HTTP client and model servers with scripted behaviour.

All servers of a rig take their behaviours from one list, in the order in which requests arrive, so that a test decides
what happens to the first attempt, the second and so on, whichever servers they reach. A server whose rig has no
behaviours left responds correctly. Bodies contain the id of their request, so that bytes of another response are found.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import orjson
import trio

from rowanshift.dataplane.drain import Drain
from rowanshift.dataplane.endpoints import Endpoint, Endpoints
from rowanshift.dataplane.frontend import LISTEN_BACKLOG, Frontend
from rowanshift.dataplane.load_datagrams import DatagramKind
from rowanshift.dataplane.load_index import ReportedRequest
from rowanshift.dataplane.routing_table import RoutingTable, parse_routing_table
from rowanshift.dataplane.upstream import UpstreamPool
from rowanshift.simulation.clock import DeterministicScheduling, VirtualClock
from rowanshift.simulation.machine import Machine
from rowanshift.simulation.network import End, Network, Paths
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.streams import connect, send_all

FRONTEND_PORT, SERVER_PORT = 8080, 9000  # ports
EVENT_COUNT = 3  # events of a complete stream
CLIENT_DEADLINE_SECONDS = 4.0
PIECE_INTERVAL_SECONDS = 0.01  # interval of two pieces of a response, so that they arrive in two reads
KINDS = {  # kind of request: route type and whether it is resumable
    "idempotent": ("idempotent", False),
    "non_idempotent": ("non_idempotent", False),
    "resumable": ("streaming", True),
    "stream": ("streaming", False),
}
REPEATABLE = ("idempotent", "resumable")
STREAM_KINDS = ("resumable", "stream")
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class AfterCut(Enum):
    """What a server does after the part of its response that its behaviour names."""

    GO_ON = "sends the rest"
    RESET = "resets the connection"
    CLOSE = "closes the connection"
    SILENCE = "sends nothing more"


@dataclass(slots=True)
class ServerRequest:
    """A request as received by a server."""

    id: str
    fields: dict[bytes, bytes]
    body: bytes
    kind: str

    @property
    def last_event_number(self) -> int:
        return int(self.fields.get(b"last-event-id", b"0"))


@dataclass(slots=True)
class Behaviour:
    """How a server handles one request."""

    answer: Callable[[ServerRequest], bytes] = lambda asked: complete_response(asked)
    cut: int | None = None  # bytes of the response sent before ``then``; None: all
    then: AfterCut = AfterCut.GO_ON
    read: int | None = None  # bytes of the request read before ``then``; None: all, and it is executed
    early: int | None = None  # bytes of the body read before the response; None: all
    read_on_after: float = 0.0  # seconds after an early response, until the rest of the body is read
    runs: bool = True  # whether the request counts as executed
    surplus: bytes = b""  # sent after the response
    surplus_after: float = 0.0  # seconds after the response; 0: in the same write
    wait: float = 0.0  # seconds before the response
    pause: float = PIECE_INTERVAL_SECONDS  # seconds before the rest of the response


@dataclass(slots=True)
class ReceivedResponse:
    """What a client received for one request."""

    status: int = 0
    fields: dict[bytes, bytes] = field(default_factory=dict)
    raw_head: bytes = b""  # the head as received
    body: bytes = b""
    complete: bool = False
    trailing: bytes = b""  # bytes after a complete response
    closed: bool = False  # the router closed the connection
    at: float = 0.0  # seconds from the request to the end of the response


def response_seal(id: str, status: int) -> bytes:
    return f"seal-{id}-{status}".encode()


def head(asked: ServerRequest, status: int = 200, *more: bytes, id: str | None = None) -> bytes:
    response_id = (asked.id if id is None else id).encode()
    lines = [b"HTTP/1.1 %d Told" % status, b"Response-Seal: " + response_seal(asked.id, status)]
    if response_id:
        lines.append(b"Request-Id: " + response_id)
    return b"\r\n".join([*lines, *more, b"", b""])


def plain(asked: ServerRequest, status: int = 200, *more: bytes, id: str | None = None) -> bytes:
    body = body_for(asked.id if id is None else id)
    return head(asked, status, *more, b"Content-Length: %d" % len(body), id=id) + body


def rejection(status: int, *more: bytes) -> Callable[[ServerRequest], bytes]:
    return lambda asked: plain(asked, status, *more)


def body_for(id: str) -> bytes:
    return f"body of {id}".encode()


def event(id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {id} {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_response(asked: ServerRequest, id: str | None = None, last: bool = True) -> bytes:
    response_id = asked.id if id is None else id
    events = b"".join(
        chunk(event(response_id, number)) for number in range(asked.last_event_number + 1, EVENT_COUNT + 1)
    )
    opening = head(asked, 200, b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked", id=id)
    return opening + events + (b"0\r\n\r\n" if last else b"")


def complete_response(asked: ServerRequest, id: str | None = None) -> bytes:
    return stream_response(asked, id) if asked.kind in STREAM_KINDS else plain(asked, id=id)


def complete_body(kind: str, id: str) -> bytes:
    return b"".join(event(id, number) for number in range(1, EVENT_COUNT + 1)) if kind in STREAM_KINDS else body_for(id)


# servers --------------------------------------------------


class Server:
    """A model server that handles each request according to the rig's next behaviour."""

    def __init__(self, rig: "Rig", machine: Machine, name: str) -> None:
        self.rig, self.machine, self.name = rig, machine, name
        self.connections: list[End] = []
        self.bytes_per_read, self.read_pause = 1 << 16, 0.0  # of bodies that are read after an early response

    async def run(self) -> None:
        self.listener = self.machine.listen((self.machine.address, SERVER_PORT), 64)
        while True:
            await self.listener.wait()
            stream = self.listener.accept()
            self.connections.append(stream)
            self.rig.nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: End) -> None:
        buffer = bytearray()
        try:
            while True:
                if not buffer:
                    await stream.wait_readable()
                    if not stream.inbox:  # the peer closed the connection without another request
                        return
                behaviour = self.rig.next_behaviour()
                if behaviour.read is not None:
                    await read_exactly(stream, behaviour.read)
                    self.rig.partly_read.append(stream.peer)
                    await self._end_connection(stream, behaviour.then)
                    return
                if behaviour.early is not None:
                    if not await self._answer_early(stream, buffer, behaviour):
                        return
                    continue
                asked = await read_request(stream, buffer)
                if asked is None:
                    return
                if not await self._answer(stream, asked, behaviour):
                    return
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            if not stream.closed():
                stream.close()

    async def _answer_early(self, stream: End, buffer: bytearray, behaviour: Behaviour) -> bool:
        """Respond to a request before its body is read, then read on; whether the connection stays open."""
        while b"\r\n\r\n" not in buffer:
            if not await read_more(stream, buffer, 1):
                return False
        raw_head = bytes(buffer).removesuffix(b"\r\n\r\n")
        buffer.clear()
        while len(buffer) < behaviour.early:
            if not await read_more(stream, buffer, behaviour.early - len(buffer)):
                return False
        asked = server_request(raw_head, b"")
        if not await self._answer(stream, asked, behaviour):
            return False
        await trio.sleep(behaviour.read_on_after)
        length = int(asked.fields[b"content-length"])
        while len(buffer) < length and await read_more(stream, buffer, min(self.bytes_per_read, length - len(buffer))):
            await trio.sleep(self.read_pause)
        self.rig.bodies_read_on[asked.id] = bytes(buffer)
        complete = len(buffer) == length
        buffer.clear()
        return complete

    async def _answer(self, stream: End, asked: ServerRequest, behaviour: Behaviour) -> bool:
        """Respond to a request; whether the connection stays open."""
        rig = self.rig
        rig.arrivals[asked.id].append(stream)
        rig.runs[asked.id] += behaviour.runs
        answer = behaviour.answer(asked)
        if answer[9:12].isdigit():
            rig.server_statuses[asked.id].add(int(answer[9:12]))
        await trio.sleep(behaviour.wait)
        cut = len(answer) if behaviour.cut is None else behaviour.cut
        if behaviour.cut is not None and behaviour.then is not AfterCut.GO_ON:
            cut = min(cut, len(answer) - 1)  # a resumed stream is shorter
        sent = answer[:cut]
        if behaviour.surplus and not behaviour.surplus_after:
            sent += behaviour.surplus
        await send_all(stream, sent)
        if behaviour.surplus and behaviour.surplus_after:
            await trio.sleep(behaviour.surplus_after)
            await send_all(stream, behaviour.surplus)
        if behaviour.then is AfterCut.GO_ON:
            if behaviour.cut is not None:
                await trio.sleep(behaviour.pause)
                await send_all(stream, answer[cut:])
            return True
        await trio.sleep(PIECE_INTERVAL_SECONDS)
        await self._end_connection(stream, behaviour.then)
        return False

    async def _end_connection(self, stream: End, then: AfterCut) -> None:
        if then is AfterCut.RESET:
            stream.drop(True)
        elif then is AfterCut.CLOSE:
            stream.close()
        else:
            await self.rig.finished.wait()


async def read_exactly(stream: End, count: int) -> None:
    """Read exactly ``count`` bytes and leave the rest in the socket."""
    while count:
        await stream.wait_readable()
        count -= stream.recv_into(memoryview(bytearray(count)))


async def read_more(stream: End, buffer: bytearray, most: int = 1 << 16) -> bool:
    space = bytearray(most)
    await stream.wait_readable()
    count = stream.recv_into(memoryview(space))
    buffer += space[:count]
    return count > 0


async def read_request(stream: End, buffer: bytearray) -> ServerRequest | None:
    while b"\r\n\r\n" not in buffer:
        if not await read_more(stream, buffer):
            return None
    raw_head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    fields = parse_fields(raw_head)
    length = int(fields.get(b"content-length", b"0"))
    while len(rest) < length:
        if not await read_more(stream, buffer):
            return None
        rest = bytes(buffer).partition(b"\r\n\r\n")[2]
    del buffer[: len(raw_head) + 4 + length]
    return server_request(raw_head, rest[:length])


def server_request(raw_head: bytes, body: bytes) -> ServerRequest:
    fields = parse_fields(raw_head)
    kind = raw_head.split(b" ")[1].strip(b"/").decode()
    return ServerRequest(fields[b"request-id"].decode(), fields, body, kind)


def parse_fields(raw_head: bytes) -> dict[bytes, bytes]:
    lines = [line.partition(b":") for line in raw_head.split(b"\r\n")[1:]]
    return {name.lower(): value.strip() for name, _, value in lines}


# the client -----------------------------------------------


def request_bytes(
    kind: str, id: str, within: float = CLIENT_DEADLINE_SECONDS, method: str = "POST", *more: str, body: str = ""
) -> bytes:
    body = body or f"for {id}"
    lines = [
        f"{method} /{kind}/ HTTP/1.1",
        "Host: h",
        f"Request-Id: {id}",
        f"Deadline-Remaining: {int(within * 1000)}",
        f"Content-Length: {len(body)}",
        *more,
    ]
    return ("\r\n".join([*lines, "", ""]) + body).encode()


def decode_chunks(data: bytes) -> tuple[bytes, bool, bytes]:
    """Decode a chunked body; returns the body so far, whether it is complete, and the bytes after it."""
    body = b""
    while True:
        line, found, rest = data.partition(b"\r\n")
        if not found:
            return body, False, b""
        size = int(line, 16)
        if not size:
            return body, rest.startswith(b"\r\n"), rest[2:]
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False, b""
        data = rest[size + 2 :]


def parse_response(data: bytes, closed: bool = False) -> ReceivedResponse:
    """Parse the bytes received for one request as a strict client does."""
    while data.startswith(b"HTTP/1.1 1") and b"\r\n\r\n" in data:
        data = data.partition(b"\r\n\r\n")[2]
    raw_head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return ReceivedResponse(trailing=b"" if b"HTTP/1.1 ".startswith(data[:9]) else data)
    got = ReceivedResponse(int(raw_head[9:12]), parse_fields(raw_head), raw_head)
    if got.status in (204, 304):
        got.complete, got.trailing = True, rest
    elif got.fields.get(b"transfer-encoding") == b"chunked":
        got.body, got.complete, got.trailing = decode_chunks(rest)
    elif b"content-length" in got.fields:
        length = int(got.fields[b"content-length"])
        got.body, got.complete, got.trailing = rest[:length], len(rest) >= length, rest[length:]
    else:
        got.body, got.complete = rest, closed
    return got


class Client:
    """One raw connection to the router."""

    def __init__(self, rig: "Rig") -> None:
        self.rig, self.stream, self.data = rig, None, bytearray()

    async def send(self, data: bytes) -> None:
        if self.stream is None:
            self.stream = self.rig.client_machine.stream()
            await connect(self.stream, (self.rig.router.address, FRONTEND_PORT))
        await send_all(self.stream, data)

    async def answer(self, within: float = CLIENT_DEADLINE_SECONDS + 1.0) -> ReceivedResponse:
        """The next response, or its part received before the router closed the connection or the timeout expired."""
        started_at, got, closed = self.rig.now(), parse_response(bytes(self.data)), False
        with trio.move_on_after(within):
            while not got.complete and not closed:
                try:
                    closed = not await read_more(self.stream, self.data)
                except OSError:
                    closed = True
                got = parse_response(bytes(self.data))
        if got.complete:
            self.data[:] = got.trailing
        got.closed, got.at = closed, self.rig.now() - started_at
        return got

    async def ask(self, kind: str, id: str, **more: Any) -> ReceivedResponse:
        await self.send(request_bytes(kind, id, **more))
        return await self.answer()

    async def read_unrequested(self, seconds: float = 0.1) -> bytes:
        """Read for a while without a request open; returns all bytes that are buffered."""
        with trio.move_on_after(seconds):
            while await self._more():
                pass
        return bytes(self.data)

    async def _more(self) -> bool:
        try:
            return await read_more(self.stream, self.data)
        except OSError:
            return False

    def close(self) -> None:
        if self.stream is not None and not self.stream.closed():
            self.stream.close()


# the rig --------------------------------------------------


class FakeRetryBudget:
    """A retry budget of ``tokens`` retries; None: unlimited."""

    def __init__(self, tokens: int | None = None) -> None:
        self.tokens, self.withdrawn = tokens, 0

    def record_request(self, now: float) -> None:
        pass

    def try_withdraw(self, now: float) -> bool:
        if self.tokens is not None and self.withdrawn >= self.tokens:
            return False
        self.withdrawn += 1
        return True


class EmptyLoadIndex:
    """A load index without any loads."""

    async def query(self, servers: list[str]) -> dict[str, int]:
        return {}

    async def report_sent(self, server: str, tokens: int) -> ReportedRequest:
        return ReportedRequest(server, 0)

    async def report_end(self, request: ReportedRequest, end_kind: DatagramKind) -> None:
        await trio.lowlevel.checkpoint()


class FixedState:
    """A control state that never changes by itself."""

    def __init__(self, endpoints: Endpoints, routing_table: RoutingTable) -> None:
        self.endpoints, self.routing_table = endpoints, routing_table
        self.stored_block_hashes: set[int] = set()
        self.least_version = 0
        self.overdue_at = float("inf")  # time from which all weights in use are overdue

    def seconds_overdue(self, model: str, version: int, now: float) -> float | None:
        return now - self.overdue_at if now >= self.overdue_at else None

    def required_version(self, model: str, now: float) -> int:
        return self.least_version

    async def wait_until_fresh(self, timeout: float) -> None:
        await trio.lowlevel.checkpoint()

    def may_refuse(self) -> bool:
        return True

    async def wait_until_may_refuse(self, timeout: float) -> bool:
        return True

    async def wait_for_update(self, timeout: float) -> None:
        await trio.sleep(max(0.0, timeout))


def routing_table() -> RoutingTable:
    rows = [
        {
            "name": kind,
            "hostname": "h",
            "pathPrefix": f"/{kind}/",
            "routeType": route_type,
            "resumable": resumable,
            "backend": "s",
            "retries": 3,
            "timeoutMs": 8000,
            "targetLatencyMs": 500,
        }
        for kind, (route_type, resumable) in KINDS.items()
    ]
    return parse_routing_table(1, orjson.dumps({"routes": rows, "backends": [{"name": "s"}]}), {})


class Rig:
    """A frontend with its upstream pool on a machine of the virtual network, and servers that share one script."""

    def __init__(self, nursery: trio.Nursery, clock: VirtualClock, servers: int, window: int, partial: float) -> None:
        self.nursery, self.clock = nursery, clock
        paths = Paths(jitter=0.0, partial=partial, window=window)
        self.network = Network(clock, "exchange", paths)
        self.client_machine, self.router = self._machine("client"), self._machine("router")
        self.behaviours: list[Behaviour] = []
        self.runs: Counter[str] = Counter()
        self.arrivals: dict[str, list[End]] = defaultdict(
            list
        )  # servers' ends of connections, by request id in order of arrival
        self.server_statuses: dict[str, set[int]] = defaultdict(set)  # keyed by request id
        self.bodies_read_on: dict[str, bytes] = {}  # by request id, of requests answered early
        self.partly_read: list[End] = []  # the router's ends of connections whose request was read in part
        self.finished = trio.Event()
        self.servers = [Server(self, self._machine(f"server-{n}"), f"s{n}") for n in range(servers)]
        self.retry_budget = FakeRetryBudget()
        self.front, self.upstream = self._frontend()
        self.request_count = 0

    def now(self) -> float:
        return self.clock.time

    def _machine(self, name: str) -> Machine:
        machine = self.network.machine(name, allowed=100_000)
        machine.running = True
        return machine

    def _frontend(self) -> tuple[Frontend, UpstreamPool]:
        endpoints = Endpoints(random.Random(1))
        self.endpoints = [
            Endpoint(s.name, "s", f"{s.machine.address}:{SERVER_PORT}", "z", 8, {"": 0}) for s in self.servers
        ]
        endpoints.apply_listed(self.endpoints)
        budget, memory = DescriptorBudget(4096, 0), MemoryBudget(512)
        self.memory = memory
        upstream = UpstreamPool(self.router, budget, memory)
        self.state = FixedState(endpoints, routing_table())
        front = Frontend(
            self.state,
            upstream,
            budget,
            memory,
            lambda service: self.retry_budget,
            lambda: 0.5,
            EmptyLoadIndex(),
            Drain(8.0),
        )
        return front, upstream

    async def start(self) -> None:
        listener = self.router.listen((self.router.address, FRONTEND_PORT), LISTEN_BACKLOG)
        self.nursery.start_soon(self.front.accept, listener, self.nursery, trio.sleep)
        for server in self.servers:
            self.nursery.start_soon(server.run)
        await trio.sleep(0.01)

    def next_behaviour(self) -> Behaviour:
        return self.behaviours.pop(0) if self.behaviours else Behaviour()

    def next_id(self) -> str:
        self.request_count += 1
        return f"r{self.request_count}"

    def idle_connection_count(self) -> int:
        """The number of idle connections to servers."""
        return sum(len(connections) for connections in self.upstream.idle.values())

    def close_idle_connections(self) -> None:
        while self.upstream.close_longest_idle():
            pass


def play(main: Callable[[Rig], Awaitable[Any]], servers: int = 3, window: int = 1 << 16, partial: float = 0.0) -> Any:
    """Run ``main`` with a started rig in the virtual network."""
    clock = VirtualClock()

    async def run() -> Any:
        async with trio.open_nursery() as nursery:
            rig = Rig(nursery, clock, servers, window, partial)
            await rig.start()
            got = await main(rig)
            nursery.cancel_scope.cancel()
        return got

    with DeterministicScheduling("exchange"):
        return trio.run(run, clock=clock)
