"""The server side: connections to servers, and one send at a time on each."""

import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import httptools
import trio

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import DescriptorBudget, MemoryBudget
from rowanshift.transport.runtime import Runtime

DIAL_WITHIN = 0.6  # seconds
IDLE_FOR = 4.0  # seconds that a connection is kept where the server names no time
SPARE = 0.85  # part of the time that the server names
LOOK = 0.5  # seconds between looks whether to wait on
MOST_IDLE = 64  # connections kept for a server
LARGEST_ERROR = 1 << 18  # bytes of an answer that is no success


class Outcome(Enum):
    """How a send failed."""

    UNSENT = "unsent"  # not a whole request was written: it can't have run
    BROKEN = "broken"  # written, and the connection ended: it may have run
    GARBLED = "garbled"  # what came is no answer
    MISMATCHED = "mismatched"  # what came answers another request
    LATE = "late"  # its time was up
    SILENT = "silent"  # it is given up for another server
    CLIENT_GONE = "client gone"  # nobody waits for the answer


Look = Callable[[], Outcome | None]  # why an answer is waited for no longer; None: it is


class SendFailed(Exception):
    """A send that got no answer for the client; ``outcome`` tells how it ended."""

    def __init__(self, outcome: Outcome, why: str) -> None:
        super().__init__(why)
        self.outcome = outcome


@dataclass(slots=True, eq=False)
class Link:
    """One connection to a server, and the answer that is read from it."""

    engine: Endpoint
    connection: Connection
    since: float = 0.0  # idle
    idle_for: float = IDLE_FOR
    message: Message | None = None
    closed: bool = False
    pooled: bool = False  # it is idle, or was closed after a whole answer


class Upstream:
    """Connections to servers: dialled, kept while idle, one exchange at a time on each."""

    def __init__(self, host: Runtime, budget: DescriptorBudget, memory: MemoryBudget) -> None:
        self.host, self.budget, self.memory = host, budget, memory
        self.idle: dict[Endpoint, list[Link]] = {}
        self.dials = self.sends = 0
        budget.idle_servers = self.drop_idle

    def address(self, engine: Endpoint) -> tuple[str, int]:
        """A server's IP and port."""
        host, _, port = engine.address.rpartition(":")
        return host, int(port)

    # connections ------------------------------------------

    def leave(self, engine: Endpoint) -> None:
        """Closes what is idle to a server that is gone or draining."""
        for link in self.idle.pop(engine, []):
            self.close(link)

    def drop_idle(self) -> bool:
        """Close the connection that is idle longest; whether there was one."""
        links = min((links for links in self.idle.values() if links), default=None, key=lambda links: links[0].since)
        if links is None:
            return False
        self.close(links.pop(0))
        return True

    def sweep(self, now: float) -> None:
        """Closes connections that stood idle as long as their server may keep them."""
        for links in self.idle.values():
            while links and self._stale(links[0], now):
                self.close(links.pop(0))
        for engine in [engine for engine, links in self.idle.items() if not links]:
            del self.idle[engine]

    def close(self, link: Link) -> None:
        """End a connection and give its descriptor back."""
        if not link.closed:
            link.closed = True
            link.connection.close()
            self.budget.give_server()

    @staticmethod
    def _stale(link: Link, now: float) -> bool:
        """Whether an idle connection has ended, or its server may end it at any moment."""
        return now - link.since > link.idle_for or link.connection.stream.readable()

    def kept(self, engine: Endpoint, now: float) -> Link | None:
        """The idle connection that was used last, if one is whole."""
        links = self.idle.get(engine)
        while links:
            link = links.pop()
            if self._stale(link, now):
                self.close(link)
                continue
            link.pooled = False
            return link
        return None

    async def dial(self, engine: Endpoint, until: float) -> Link:
        """A new connection; ``SendFailed`` with UNSENT if it doesn't come up."""
        if not self.budget.take_server():
            raise SendFailed(Outcome.UNSENT, "no descriptor is left")
        link = None
        try:
            stream = self.host.stream()
            link = Link(
                engine,
                Connection(stream, httptools.HttpResponseParser, self.memory, streams=True, largest=LARGEST_ERROR),
            )
            self.dials += 1
            up = False
            with trio.CancelScope(deadline=min(until, trio.current_time() + DIAL_WITHIN)):
                failed = stream.connect_ex(self.address(engine))
                if failed == errno.EINPROGRESS:
                    await stream.wait_writable()
                    failed = stream.dialled()
                up = not failed
        except BaseException as error:
            if link is None:
                self.budget.give_server()
            else:
                self.close(link)
            if isinstance(error, OSError):
                raise SendFailed(Outcome.UNSENT, repr(error)) from error
            raise
        if not up:
            self.close(link)
            raise SendFailed(Outcome.UNSENT, f"a dial failed: {failed}")
        return link

    # one send ---------------------------------------------

    async def send(self, link: Link, data: bytes, until: float) -> None:
        """Writes a whole request; ``SendFailed`` with UNSENT if not all of it went out."""
        connection = link.connection
        self.sends += 1
        whole = False
        try:
            with trio.CancelScope(deadline=until):
                whole = connection.push(data)
                while not whole:
                    await connection.stream.wait_writable()
                    whole = connection.pump()
        except (OSError, trio.ClosedResourceError) as error:
            raise SendFailed(Outcome.UNSENT, repr(error)) from error
        if not whole:
            raise SendFailed(Outcome.UNSENT, "its time was up")

    async def head(self, link: Link, id: bytes, until: float, look: Look) -> Message:
        """The head of the answer, with its body if that is no stream. ``look`` is asked twice a second."""
        connection = link.connection
        while True:
            try:
                message, going = connection.read_on()
            except MalformedMessage as error:
                raise SendFailed(Outcome.GARBLED, str(error)) from error
            except (OSError, trio.ClosedResourceError) as error:
                raise SendFailed(Outcome.BROKEN, repr(error)) from error
            if message is not None:
                break
            if not going:
                raise SendFailed(Outcome.BROKEN, "it ended without an answer")
            if connection.more:
                continue
            now = trio.current_time()
            self._wait_on(now, until, look)
            with trio.CancelScope(deadline=min(until, now + LOOK)):
                await connection.stream.wait_readable()
        if dict(message.fields).get(b"request-id") != id:
            raise SendFailed(Outcome.MISMATCHED, "an answer to another request")
        link.message = message
        return message

    @staticmethod
    def _wait_on(now: float, until: float, look: Look) -> None:
        """``SendFailed`` if an answer is waited for no longer."""
        if (outcome := look()) is not None:
            raise SendFailed(outcome, "it is waited for no longer")
        if now >= until:
            raise SendFailed(Outcome.LATE, "its time was up")

    async def body(self, link: Link, until: float, look: Look) -> bytes:
        """More of a stream's body, b"" at its whole end; ``SendFailed`` if it breaks off or is too late."""
        connection, flow = link.connection, link.message.flow
        while True:
            if flow.pieces:
                made = flow.take()
                return made + b"".join(flow.take() for _ in range(len(flow.pieces)))
            if flow.ended:
                return b""
            if connection.error is not None:
                raise SendFailed(Outcome.GARBLED, str(connection.error))
            going = True
            try:
                with trio.CancelScope(deadline=min(until, trio.current_time() + LOOK)) as scope:
                    await connection.stream.wait_readable()
                if scope.cancelled_caught:
                    self._wait_on(trio.current_time(), until, look)
                    continue
                going = connection.read_body()
            except (OSError, trio.ClosedResourceError) as error:
                raise SendFailed(Outcome.BROKEN, repr(error)) from error
            if not going and not flow.ended and not flow.pieces:
                raise SendFailed(Outcome.BROKEN, "it broke off")

    def done(self, link: Link, now: float) -> None:
        """The answer was read whole: the connection is kept if it is clean."""
        message, connection = link.message, link.connection
        flow = message.flow
        link.pooled = True
        if not connection.kept or not connection.clean() or (flow is not None and not flow.drained()):
            return self.close(link)
        connection.release()
        named = dict(message.fields).get(b"keep-alive", b"")
        for part in named.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                link.idle_for = SPARE * int(value)
        self.keep(link, now)

    def keep(self, link: Link, now: float) -> None:
        """Puts a clean connection aside for the next request."""
        link.pooled, link.message, link.since = True, None, now
        if (
            not link.engine.listed
            or link.engine.draining
            or link.connection.sending()
            or link.connection.stream.readable()
        ):
            return self.close(link)
        links = self.idle.setdefault(link.engine, [])
        links.append(link)
        if len(links) > MOST_IDLE:
            self.close(links.pop(0))
