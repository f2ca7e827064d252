"""A server of short HTTP/1.1 calls, with one handler object a resource, and how each call ended."""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import httptools
import trio
from loguru import logger

from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.http_response import Response, error_body, unavailable
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery
from rowanshift.transport.streams import Listener, Stream, send_all

MAX_CALLERS = 256  # connections at once; more are closed
CALL_TIMEOUT_SECONDS = 10.0  # for a whole request to come, and for an answer to be taken
IDLE_TIMEOUT_SECONDS = 15.0  # that a caller's connection may stand idle
SHUTDOWN_CHECK_SECONDS = 0.01  # between looks at the calls that are open while the server shuts down
LAST_WRITES_SECONDS = 0.1  # in which the answers to calls that are abandoned go out
ACCEPT_ERROR_PAUSE_SECONDS = 0.02
LOGGED_BYTES = 80  # of a target that is unknown


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

    def closed(self, outcome: CallOutcome, target: str, came_at: float, now: float) -> None:
        """A call that was read has ended."""
        self.ended[outcome] += 1
        if outcome is CallOutcome.CUT:
            logger.warning("event=call_cut target={} took={:.3f}", target, now - came_at)
            self.watch(CutCall(target, came_at, now))

    @property
    def not_answered(self) -> int:
        """Calls that were read, and neither answered nor given up by their callers."""
        return self.read - self.ended[CallOutcome.ANSWERED] - self.ended[CallOutcome.CALLER_LEFT]


class Resource(Protocol):
    """What answers the calls of one path."""

    async def call(self, message: Message) -> Response:
        """Return the answer to one call."""


class CallServer:
    """Serves resources by their path: the whole of it, or its first segment with the slash after it."""

    def __init__(
        self,
        resources: Mapping[bytes, Resource],
        memory: MemoryBudget,
        largest: int = 1 << 16,
        outcomes: CallOutcomes | None = None,
    ) -> None:
        self.resources, self.memory, self.largest = resources, memory, largest
        self.outcomes = outcomes or CallOutcomes()
        self.shutting_down = False
        self.accepting = trio.CancelScope()
        self.connections: dict[Connection, None] = {}  # of callers, the oldest first
        self.answering: dict[Connection, trio.CancelScope] = {}  # of these, those whose call was read

    @property
    def open(self) -> int:
        """How many callers are connected."""
        return len(self.connections)

    async def serve(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        """Answer calls until ``shut_down``; then the listener is closed, once what it holds has been taken in."""
        with self.accepting:
            while True:
                await listener.wait()
                if not self._accept(listener, nursery):
                    await pause(ACCEPT_ERROR_PAUSE_SECONDS)
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
        if self.open >= MAX_CALLERS and not self._close_idle(1):
            stream.close()
            return True
        connection = Connection(stream, httptools.HttpRequestParser, self.memory, largest=self.largest)
        self.connections[connection] = None
        nursery.start_soon(self._caller, stream, connection)
        return True

    async def shut_down(self, within: float, pause: Callable[[float], Awaitable[None]]) -> None:
        """Take no more connections, refuse calls that are read from now on, and answer those that were read before.

        What is not answered within so many seconds is given up: its caller is told that it may be in force.
        """
        self.shutting_down = True
        self.accepting.cancel()
        until = trio.current_time() + within
        while trio.current_time() < until:
            await pause(SHUTDOWN_CHECK_SECONDS)
            self._close_idle(self.open)
            if not self.open:
                return
        for scope in self.answering.values():
            scope.cancel()
        await pause(LAST_WRITES_SECONDS)

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
        except MalformedMessage as error:
            with trio.move_on_after(1.0):
                await send_all(stream, Response(error.status, error_body(str(error))).encode(False))
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("event=call_failed")
        finally:
            self.connections.pop(connection, None)
            self.answering.pop(connection, None)
            connection.close()

    async def _request(self, connection: Connection) -> Message | None:
        until = trio.current_time() + IDLE_TIMEOUT_SECONDS
        while not connection.closed():
            if (message := connection.next()) is not None:
                return message
            if connection.partial:
                until = min(until, trio.current_time() + CALL_TIMEOUT_SECONDS)
            with trio.move_on_at(until) as scope:
                await connection.stream.wait_readable()
            if scope.cancelled_caught or not connection.receive():
                return None
        return None  # it made room for another, or the server leaves

    async def _answer_in_time(self, connection: Connection, message: Message) -> Response:
        """The answer to a call; 503 or 504 where the server leaves."""
        if self.shutting_down:
            message.keep = False
            return unavailable("this machine ends, and took nothing of the call")
        with self.answering[connection] as scope:
            answer = await self._answer(message)
        if scope.cancelled_caught:
            # no 503, which promises that nothing was done
            answer = Response(504, error_body("this machine ends: what was asked for may or may not be in force"))
        message.keep = message.keep and not self.shutting_down
        return answer

    async def _serve_call(self, connection: Connection, message: Message) -> bool:
        """Answers one call that was read; whether its caller took the answer."""
        came_at, outcome = trio.current_time(), CallOutcome.CUT
        self.outcomes.opened()
        try:
            answer = await self._answer_in_time(connection, message)
            connection.release()
            try:
                with trio.move_on_after(CALL_TIMEOUT_SECONDS) as scope:
                    await send_all(connection.stream, answer.encode(message.keep))
            except (OSError, trio.ClosedResourceError):
                outcome = CallOutcome.CALLER_LEFT
                raise
            outcome = CallOutcome.CALLER_LEFT if scope.cancelled_caught else CallOutcome.ANSWERED
            return not scope.cancelled_caught
        finally:  # also when it is cancelled
            if outcome is CallOutcome.CUT and has_disconnected(connection):
                outcome = CallOutcome.CALLER_LEFT
            self.outcomes.closed(outcome, message.target.decode("latin-1"), came_at, trio.current_time())

    async def _answer(self, message: Message) -> Response:
        path = message.target.split(b"?", 1)[0]
        resource = self.resources.get(path) or self.resources.get(path[: path.find(b"/", 1) + 1])
        if resource is None:
            logger.info("event=no_such_resource method={} target={!r}", message.method, message.target[:LOGGED_BYTES])
            return Response(404, error_body("no such resource"))
        return await resource.call(message)


def has_disconnected(connection: Connection) -> bool:
    """Whether a caller has ended its connection."""
    try:
        return connection.stream.readable() and not connection.receive()
    except (OSError, trio.ClosedResourceError):
        return True
