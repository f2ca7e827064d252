"""HTTP/1.1 server and shared state of the emulated servers."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import httptools
import trio

from rowanshift.invariants.events import EventStream
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Stream, accepted

BACKLOG = 512
MAX_TRACKED_REQUESTS = 20_000  # requests whose misses or deliveries are tracked at once
REASONS = {
    200: b"OK",
    404: b"Not Found",
    400: b"Bad Request",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def sent_at(stream: Stream, now: float) -> float:
    """When the last received bytes were sent. Only the virtual network knows this; otherwise it is ``now``, the time of
    the read."""
    return getattr(stream, "sent_at", now)


def other(stream: Stream) -> str:
    """Name (in the virtual network) or address of the peer."""
    if hasattr(stream, "other"):
        return stream.other()
    try:
        return "{}:{}".format(*stream.getpeername())
    except OSError:
        return "gone"


def deserted(stream: Stream) -> bool:
    """Whether the peer has closed the connection.

    On a real socket this is not told apart from unread data: either counts as closed."""
    if stream.closed():
        return True
    return stream.deserted() if hasattr(stream, "deserted") else stream.readable()


class BoundedDict(OrderedDict):
    """A dictionary that evicts its oldest entry beyond ``MAX_TRACKED_REQUESTS``."""

    def __setitem__(self, key: Any, value: Any) -> None:
        super().__setitem__(key, value)
        if len(self) > MAX_TRACKED_REQUESTS:
            self.popitem(last=False)


class SharedState:
    """State that the emulated servers share: versions of keys, misses and unanswered requests."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.missed: BoundedDict = BoundedDict()  # by X-Txn: caches without the key, and whether they were warming up
        self.out: BoundedDict = BoundedDict()  # by X-Txn: servers and streams of unanswered requests
        self.stores: list[dict[str, int]] = []  # of all caches: version by key

    def void(self, key: str) -> None:
        """Start a new version of a key and remove the key from all caches."""
        self.versions[key] = self.versions.get(key, 0) + 1
        for store in self.stores:
            store.pop(key, None)


def body_of(txn: str, server: str, key: str, version: int, size: int = 0) -> bytes:
    """A response body that names its request and the server that made it, padded to ``size`` bytes."""
    return f"{txn} {server} {key} v{version}\n".encode().ljust(size, b".")


class HttpServer:
    """Serves each connection in its own task. ``handle`` returns whether the connection stays open."""

    idle_for = 60.0
    max_connections = 10_000

    def __init__(self, host: Runtime, address: Address, now: Callable[[], float], events: EventStream) -> None:
        self.host, self.address, self.now, self.events = host, address, now, events
        self.memory = MemoryBudget(4096)
        self.connections = 0
        self.idle: dict[Connection, float] = {}  # time since which each is idle

    async def run(self) -> None:
        listener = self.host.listen(self.address, BACKLOG)
        try:
            async with self.host.nursery() as nursery:
                nursery.start_soon(self._close_idle_connections)
                while True:
                    nursery.start_soon(self._serve, await accepted(listener, self.host.pause))
        finally:
            listener.close()

    async def _close_idle_connections(self) -> None:
        """Close connections that have been idle for more than ``idle_for`` seconds."""
        while True:
            await self.host.pause(min(1.0, self.idle_for / 2))
            oldest_allowed = self.now() - self.idle_for
            for connection in [c for c, since in self.idle.items() if since < oldest_allowed]:
                connection.close()

    async def _serve(self, stream: Stream) -> None:
        connection = Connection(stream, httptools.HttpRequestParser, self.memory)
        self.connections += 1
        try:
            fresh = True
            while (received := await self._next_request(connection)) is not None:
                if not await self.handle(connection, *received, fresh):
                    break
                fresh = False
        except (OSError, MalformedMessage, trio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1
            self.idle.pop(connection, None)
            connection.close()

    async def _next_request(self, connection: Connection) -> tuple[Message, float] | None:
        """The next request and when its first byte was sent; ``None`` at the end of the connection."""
        stream, first_at = connection.stream, self.now()
        self.idle[connection] = first_at
        while (message := connection.next()) is None:
            await stream.wait_readable()
            begun = connection.partial
            if not connection.receive():
                return None
            if not begun:
                first_at = sent_at(stream, self.now())
        del self.idle[connection]
        return message, first_at

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        raise NotImplementedError

    async def send(self, connection: Connection, data: bytes) -> None:
        if not connection.push(data):
            while not connection.pump():
                await connection.stream.wait_writable()

    async def reply(self, connection: Connection, status: int, body: bytes = b"", *fields: bytes) -> None:
        await self.send(connection, answer(status, body, *fields))


def answer(status: int, body: bytes = b"", *fields: bytes) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"")), *fields]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


def field_of(message: Message, name: bytes) -> str:
    """The value of the first header field of that name, or an empty string. ``name`` is in lower case."""
    return next((value.decode("latin-1") for n, value in message.fields if n == name), "")
