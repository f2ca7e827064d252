"""What all stand-ins share: a small HTTP/1.1 server, and what they know of each other."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import httptools
import trio

from rowanshift.invariants.events import Events
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Stream, accepted

BACKLOG = 512
REMEMBERED = 20_000  # hand-offs and misses that the stand-ins know of at once
REASONS = {
    200: b"OK",
    404: b"Not Found",
    400: b"Bad Request",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def sent_at(stream: Stream, now: float) -> float:
    """When the bytes that came last were sent: known in the virtual network, else when they were read."""
    return getattr(stream, "sent_at", now)


def other(stream: Stream) -> str:
    """Who is at the other side, by name or by address."""
    if hasattr(stream, "other"):
        return stream.other()
    try:
        return "{}:{}".format(*stream.getpeername())
    except OSError:
        return "gone"


def deserted(stream: Stream) -> bool:
    """Whether the other side has given the connection up; on real sockets, whether anything says so."""
    if stream.closed():
        return True
    return stream.deserted() if hasattr(stream, "deserted") else stream.readable()


class Limited(OrderedDict):
    """A dictionary that forgets what was put in first."""

    def __setitem__(self, key: Any, value: Any) -> None:
        super().__setitem__(key, value)
        if len(self) > REMEMBERED:
            self.popitem(last=False)


class Ledger:
    """What the stand-ins know together: the values of keys, who missed what, and which hand-offs are out."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.missed: Limited = Limited()  # by X-Txn: stores that lacked the key, and whether they were cold
        self.out: Limited = Limited()  # by X-Txn: servers and streams of hand-offs without a reply
        self.stores: list[dict[str, int]] = []  # of all caches: key to version

    def void(self, key: str) -> None:
        self.versions[key] = self.versions.get(key, 0) + 1
        for store in self.stores:
            store.pop(key, None)


def body_of(txn: str, server: str, key: str, version: int, size: int = 0) -> bytes:
    """An answer that tells for which request it was made, and by whom."""
    return f"{txn} {server} {key} v{version}\n".encode().ljust(size, b".")


class HttpServer:
    """Serves each connection in a task of its own. ``handle`` says whether the connection may be kept."""

    idle_for = 60.0
    most_connections = 10_000

    def __init__(self, host: Runtime, address: Address, now: Callable[[], float], events: Events) -> None:
        self.host, self.address, self.now, self.events = host, address, now, events
        self.memory = MemoryBudget(4096)
        self.connections = 0
        self.idle: dict[Connection, float] = {}  # and since when

    async def run(self) -> None:
        listener = self.host.listen(self.address, BACKLOG)
        try:
            async with self.host.nursery() as nursery:
                nursery.start_soon(self._sweep)
                while True:
                    nursery.start_soon(self._serve, await accepted(listener, self.host.pause))
        finally:
            listener.close()

    async def _sweep(self) -> None:
        """Closes connections that have stood idle too long."""
        while True:
            await self.host.pause(min(1.0, self.idle_for / 2))
            long_ago = self.now() - self.idle_for
            for connection in [c for c, since in self.idle.items() if since < long_ago]:
                connection.close()

    async def _serve(self, stream: Stream) -> None:
        connection = Connection(stream, httptools.HttpRequestParser, self.memory)
        self.connections += 1
        try:
            fresh = True
            while (got := await self._next(connection)) is not None:
                if not await self.handle(connection, *got, fresh):
                    break
                fresh = False
        except (OSError, MalformedMessage, trio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1
            self.idle.pop(connection, None)
            connection.close()

    async def _next(self, connection: Connection) -> tuple[Message, float] | None:
        """The next request and when its first byte was sent; none at the end of the connection."""
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
    return next((value.decode("latin-1") for n, value in message.fields if n == name), "")
