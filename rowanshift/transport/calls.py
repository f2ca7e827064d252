"""Short HTTP/1.1 calls: a server with one handler object a resource, and one call of another's."""

import errno
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import httptools
import trio
from loguru import logger

from rowanshift.transport.http_connection import BadMessage, Connection, Fields, Message
from rowanshift.transport.memory_budget import Memory
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address, Listener, Stream, connect, send_all

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
CALLERS = 256  # connections at once; more are closed
CALL_WITHIN = 10.0  # seconds for a whole request to come, and for an answer to be taken
IDLE_FOR = 15.0  # seconds that a caller's connection may stand idle
LOOK = 0.01  # seconds between looks at the calls that are open while the server leaves
LAST_WRITES = 0.1  # seconds in which the answers to calls that are given up go out
COME_BACK = b"0.3"  # seconds after which a caller that is refused may ask another machine


class CallFailed(Exception):
    """A call of another that got no whole answer; ``sent`` tells whether all of it was written."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class Answer:
    status: int
    body: bytes = b""
    fields: Fields = field(default_factory=list)

    def bytes(self, keep: bool) -> bytes:
        lines = [b"HTTP/1.1 %d %s" % (self.status, REASONS.get(self.status, b""))]
        lines += [b"%s: %s" % pair for pair in self.fields]
        if self.body:
            lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(self.body))
        if not keep:
            lines.append(b"Connection: close")
        return b"\r\n".join([*lines, b"", self.body])


class CallOutcome(Enum):
    """How a call that was read ended."""

    ANSWERED = "answered"  # its answer was handed to the system whole
    CALLER_LEFT = "caller_left"  # or took nothing of its answer for too long
    CUT = "cut"  # none of those: it was read and not answered


@dataclass(slots=True, frozen=True)
class CutCall:
    """A call that was read and not answered. Times are trio's, in seconds."""

    target: str
    came_at: float
    at: float


def _ignore(cut: CutCall) -> None:
    pass


@dataclass(slots=True, eq=False)
class CallOutcomes:
    """Counts the calls that were read and how they ended; ``watch`` is told of each that was cut."""

    read: int = 0
    ended: Counter[CallOutcome] = field(default_factory=Counter)
    watch: Callable[[CutCall], None] = _ignore

    def opened(self) -> None:
        """A call was read whole."""
        self.read += 1

    def closed(self, ending: CallOutcome, target: str, came_at: float, now: float) -> None:
        """A call that was read has ended."""
        self.ended[ending] += 1
        if ending is CallOutcome.CUT:
            logger.warning("event=call_cut target={} took={:.3f}", target, now - came_at)
            self.watch(CutCall(target, came_at, now))

    @property
    def not_answered(self) -> int:
        """Calls that were read, and neither answered nor given up by their callers."""
        return self.read - self.ended[CallOutcome.ANSWERED] - self.ended[CallOutcome.CALLER_LEFT]


class Resource(Protocol):
    """What answers the calls of one path."""

    async def call(self, message: Message) -> Answer: ...


class CallServer:
    """Serves resources by their path."""

    def __init__(
        self,
        resources: Mapping[bytes, Resource],
        memory: Memory,
        largest: int = 1 << 16,
        endings: CallOutcomes | None = None,
    ) -> None:
        self.resources, self.memory, self.largest = resources, memory, largest
        self.endings = endings or CallOutcomes()
        self.leaving = False
        self.accepting = trio.CancelScope()
        self.connections: dict[Connection, None] = {}  # of callers, the oldest first
        self.answering: dict[Connection, trio.CancelScope] = {}  # of these, those whose call was read

    @property
    def open(self) -> int:
        """How many callers are connected."""
        return len(self.connections)

    async def serve(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        """Answer calls until ``leave``; then the listener is closed, once what it holds has been taken in."""
        with self.accepting:
            while True:
                await listener.wait()
                if not self._accept(listener, nursery):
                    await pause(0.02)
        while self._accept(listener, nursery, last=True):
            pass
        listener.close()

    def _accept(self, listener: Listener, nursery: Nursery, last: bool = False) -> bool:
        """Take in a connection that waits; False after an error, and where none waits if it is the ``last`` time."""
        try:
            stream = listener.accept()
        except BlockingIOError:
            return not last
        except OSError as error:
            logger.warning("event=accept_failed error={!r}", error)
            return False
        if self.open >= CALLERS and not self._close_idle(1):
            stream.close()
            return True
        connection = Connection(stream, httptools.HttpRequestParser, self.memory, largest=self.largest)
        self.connections[connection] = None
        nursery.start_soon(self._caller, stream, connection)
        return True

    async def leave(self, within: float, pause: Callable[[float], Awaitable[None]]) -> None:
        """Take no more connections, refuse calls that are read from now on, and answer those that were read before.

        What is not answered within so many seconds is given up: its caller is told that it may be in force.
        """
        self.leaving = True
        self.accepting.cancel()
        until = trio.current_time() + within
        while trio.current_time() < until:
            await pause(LOOK)
            self._close_idle(self.open)
            if not self.open:
                return
        for scope in self.answering.values():
            scope.cancel()
        await pause(LAST_WRITES)

    def _close_idle(self, most: int) -> bool:
        """Close the oldest connections on which nothing has come, so many at most; whether there was one."""
        idle = [connection for connection in self.connections if self._idle(connection)][:most]
        for connection in idle:
            del self.connections[connection]
            connection.close()
        return bool(idle)

    def _idle(self, connection: Connection) -> bool:
        """Whether no call that was read waits for its answer there, and no byte of another has come."""
        if connection in self.answering or connection.closed():
            return False
        return connection.clean() and not connection.stream.readable()

    async def _caller(self, stream: Stream, connection: Connection) -> None:
        try:
            keep = True
            while keep:
                message = await self._request(connection)
                if message is None:
                    return
                self.answering[connection] = trio.CancelScope()
                keep = await self._serve_call(connection, message) and message.keep
                self.answering.pop(connection, None)
        except BadMessage as error:
            with trio.move_on_after(1.0):
                await send_all(stream, Answer(error.status, said(str(error))).bytes(False))
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("event=call_failed")
        finally:
            self.connections.pop(connection, None)
            self.answering.pop(connection, None)
            connection.close()

    async def _request(self, connection: Connection) -> Message | None:
        until = trio.current_time() + IDLE_FOR
        while not connection.closed():
            if (message := connection.next()) is not None:
                return message
            if connection.partial:
                until = min(until, trio.current_time() + CALL_WITHIN)
            with trio.move_on_at(until) as scope:
                await connection.stream.wait_readable()
            if scope.cancelled_caught or not connection.receive():
                return None
        return None  # it made room for another, or the server leaves

    async def _answer_in_time(self, connection: Connection, message: Message) -> Answer:
        """The answer to a call; a refusal where the server leaves."""
        if self.leaving:
            message.keep = False
            return refusal("this machine ends, and took nothing of the call")
        with self.answering[connection] as scope:
            answer = await self._answer(message)
        if scope.cancelled_caught:
            answer = refusal("this machine ends: what was asked for may or may not be in force")
        message.keep = message.keep and not self.leaving
        return answer

    async def _serve_call(self, connection: Connection, message: Message) -> bool:
        """Answers one call that was read; whether its caller took the answer."""
        came_at, ending = trio.current_time(), CallOutcome.CUT
        self.endings.opened()
        try:
            answer = await self._answer_in_time(connection, message)
            connection.release()
            try:
                with trio.move_on_after(CALL_WITHIN) as scope:
                    await send_all(connection.stream, answer.bytes(message.keep))
            except (OSError, trio.ClosedResourceError):
                ending = CallOutcome.CALLER_LEFT
                raise
            ending = CallOutcome.CALLER_LEFT if scope.cancelled_caught else CallOutcome.ANSWERED
            return not scope.cancelled_caught
        finally:  # also when it is cancelled
            if ending is CallOutcome.CUT and has_left(connection):
                ending = CallOutcome.CALLER_LEFT
            self.endings.closed(ending, message.target.decode("latin-1"), came_at, trio.current_time())

    async def _answer(self, message: Message) -> Answer:
        resource = self.resources.get(message.target.split(b"?", 1)[0])
        if resource is None:
            return Answer(404, said("no such resource"))
        return await resource.call(message)


def has_left(connection: Connection) -> bool:
    """Whether a caller has ended its connection."""
    try:
        return connection.stream.readable() and not connection.receive()
    except (OSError, trio.ClosedResourceError):
        return True


def refusal(why: str) -> Answer:
    """503, with the time after which to ask again."""
    return Answer(503, said(why), [(b"Retry-After", COME_BACK)])


def said(why: str) -> bytes:
    """An error's text as a JSON body."""
    escaped = "".join(c if c.isprintable() and c not in '"\\' else f"\\u{ord(c) & 0xFFFF:04x}" for c in why)
    return b'{"error":"%s"}' % escaped.encode()


class Line:
    """One call after another on one connection to one address, which is dialled anew once it has ended."""

    def __init__(self, host: Runtime, memory: Memory, address: Address) -> None:
        self.host, self.memory, self.address = host, memory, address
        self.connection: Connection | None = None

    async def call(self, method: bytes, target: bytes, fields: Fields | None = None, within: float = 2.0) -> Message:
        """The whole answer to a call without a body; ``CallFailed`` otherwise."""
        message, sent = None, False
        try:
            with trio.move_on_after(within):
                if self.connection is None or self.connection.stream.readable():
                    self.close()
                    self.connection = Connection(self.host.stream(), httptools.HttpResponseParser, self.memory)
                    await connect(self.connection.stream, self.address)
                await send_all(self.connection.stream, asked(self.address, method, target, b"", fields, True))
                sent = True
                message = await answer_on(self.connection)
        except (OSError, BadMessage, trio.ClosedResourceError) as error:
            self.close()
            raise CallFailed(str(error) or "closed", sent) from error
        finally:
            if message is None or not message.keep or not self.connection.clean():
                self.close()
            else:
                self.connection.release()
        if message is None:
            raise CallFailed(f"no answer within {within} s", sent)
        return message

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def asked(address: Address, method: bytes, target: bytes, body: bytes, fields: Fields | None, keep: bool) -> bytes:
    """A call's bytes."""
    lines = [
        b"%s %s HTTP/1.1" % (method, target),
        b"Host: %s:%d" % (address[0].encode(), address[1]),
        *(b"%s: %s" % pair for pair in fields or []),
    ]
    if not keep:
        lines.append(b"Connection: close")
    if body or method == b"POST":
        lines += [b"Content-Type: application/json", b"Content-Length: %d" % len(body)]
    return b"\r\n".join([*lines, b"", body])


async def answer_on(connection: Connection) -> Message:
    """The next whole answer; ``OSError`` if the connection ends before it."""
    while True:
        await connection.stream.wait_readable()
        message, going = connection.read_on()
        if message is not None:
            return message
        if not going:
            raise ConnectionAbortedError("it ended without an answer")


async def call(
    host: Runtime,
    memory: Memory,
    address: Address,
    method: bytes,
    target: bytes,
    body: bytes = b"",
    fields: Fields | None = None,
    within: float = 2.0,
) -> Message:
    """Makes one call on a connection of its own and gives the whole answer; ``CallFailed`` otherwise."""
    sent, message = False, None
    try:
        stream = host.stream()
    except OSError as error:
        raise CallFailed(str(error), False) from error
    connection = Connection(stream, httptools.HttpResponseParser, memory)
    try:
        with trio.move_on_after(within):
            await connect(stream, address)
            await send_all(stream, asked(address, method, target, body, fields, False))
            sent = True
            message = await answer_on(connection)
    except (OSError, BadMessage, trio.ClosedResourceError) as error:
        raise CallFailed(str(error) or errno.errorcode.get(getattr(error, "errno", 0) or 0, "closed"), sent) from error
    finally:
        connection.close()
    if message is None:
        raise CallFailed(f"no answer within {within} s", sent)
    return message
