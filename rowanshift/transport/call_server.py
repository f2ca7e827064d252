"""A server of short HTTP/1.1 calls with one handler object per resource; counts the outcome of each call."""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
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
from rowanshift.transport.streams import Listener, Stream, discard_input, send_all

MAX_CALLERS = 256  # open connections; further ones are closed if none is idle
CALL_TIMEOUT_SECONDS = 10.0  # maximum time for reading a complete request, and for writing its response
IDLE_TIMEOUT_SECONDS = 15.0  # connections that are idle for longer are closed
SHUTDOWN_CHECK_SECONDS = 0.01  # interval of checks for open calls during a shutdown
LAST_WRITES_SECONDS = 0.1  # time for writing the responses to calls that a shutdown has cancelled
MALFORMED_CALL_SECONDS = 1.0  # time for the response to a malformed call, and for reading the rest of it
ACCEPT_ERROR_PAUSE_SECONDS = 0.02
LOGGED_BYTES = 80  # maximum length of an unknown target in the log


class CallOutcome(Enum):
    """How a call that was read ended."""

    ANSWERED = "answered"  # the complete response was written to the socket
    CALLER_LEFT = "caller_left"  # the caller disconnected, or did not read its response in time
    CUT = "cut"  # the call was read and got no response for another reason


@dataclass(slots=True, frozen=True)
class CutCall:
    """A call that was read and not answered. Times are trio's, in seconds."""

    target: str
    came_at: float  # time at which the call was read
    at: float  # time at which the call ended


def _ignore(cut: CutCall) -> None:
    pass


@dataclass(slots=True, eq=False)
class CallOutcomes:
    """Counts the calls that were read and their outcomes; ``watch`` is called with each that was cut."""

    read: int = 0
    ended: Counter[CallOutcome] = field(default_factory=Counter)
    watch: Callable[[CutCall], None] = _ignore

    def record_read(self) -> None:
        """A complete call was read."""
        self.read += 1

    def record_end(self, outcome: CallOutcome, target: str, came_at: float, now: float) -> None:
        """A call that was read has ended."""
        self.ended[outcome] += 1
        if outcome is CallOutcome.CUT:
            logger.warning("event=call_cut target={} took={:.3f}", target, now - came_at)
            self.watch(CutCall(target, came_at, now))

    @property
    def not_answered(self) -> int:
        """Calls that were read and have not been answered, without those whose callers left."""
        return self.read - self.ended[CallOutcome.ANSWERED] - self.ended[CallOutcome.CALLER_LEFT]


class Resource(Protocol):
    """Handles the calls of one path."""

    async def call(self, message: Message) -> Response:
        """Return the response to one call."""


class CallServer:
    """Serves resources by path. A key is a complete path, or its first segment with the slash after it."""

    def __init__(
        self,
        resources: Mapping[bytes, Resource],
        memory: MemoryBudget,
        body_limit_bytes: int = 1 << 16,
        outcomes: CallOutcomes | None = None,
    ) -> None:
        self.resources, self.memory, self.body_limit_bytes = resources, memory, body_limit_bytes
        self.outcomes = outcomes or CallOutcomes()
        self.shutting_down = False
        self.accept_scope = trio.CancelScope()
        self.connections: dict[Connection, None] = {}  # the oldest first
        self.calls_in_progress: dict[Connection, trio.CancelScope] = {}  # scopes that cancel a call

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self.connections)

    async def serve(self, listener: Listener, nursery: Nursery, pause: Callable[[float], Awaitable[None]]) -> None:
        """Answer calls until ``shut_down``; then accept the connections that are waiting and close the listener."""
        with self.accept_scope:
            while True:
                await listener.wait()
                if not self._accept(listener, nursery):
                    await pause(ACCEPT_ERROR_PAUSE_SECONDS)
        while self._accept(listener, nursery, is_last=True):
            pass
        listener.close()

    def _accept(self, listener: Listener, nursery: Nursery, is_last: bool = False) -> bool:
        """Accept a waiting connection; False after an error, or if none is waiting and ``is_last`` is set."""
        try:
            stream = listener.accept()
        except BlockingIOError:
            return not is_last
        except OSError as error:
            logger.warning("event=accept_failed error={!r}", error)
            return False
        if self.connection_count >= MAX_CALLERS and not self._close_idle(1):
            stream.close()
            return True
        connection = Connection(
            stream, httptools.HttpRequestParser, self.memory, body_limit_bytes=self.body_limit_bytes
        )
        self.connections[connection] = None
        nursery.start_soon(self._serve_connection, stream, connection)
        return True

    async def shut_down(self, timeout_seconds: float, pause: Callable[[float], Awaitable[None]]) -> None:
        """Stop accepting connections, refuse calls read from now on, and finish those that were read before.

        A call that is not answered within the timeout is cancelled; its response says that it may have taken effect.
        """
        self.shutting_down = True
        self.accept_scope.cancel()
        until = trio.current_time() + timeout_seconds
        while trio.current_time() < until:
            await pause(SHUTDOWN_CHECK_SECONDS)
            self._close_idle(self.connection_count)
            if not self.connection_count:
                return
        for scope in self.calls_in_progress.values():
            scope.cancel()
        await pause(LAST_WRITES_SECONDS)

    def _close_idle(self, limit: int) -> bool:
        """Close up to ``limit`` idle connections, the oldest first; whether there was one."""
        idle = [connection for connection in self.connections if self._is_idle(connection)][:limit]
        for connection in idle:
            del self.connections[connection]
            connection.close()
        return bool(idle)

    def _is_idle(self, connection: Connection) -> bool:
        """Whether the connection has no call in progress, and no byte of another call has arrived."""
        if connection in self.calls_in_progress or connection.closed():
            return False
        return connection.clean() and not connection.stream.readable()

    async def _serve_connection(self, stream: Stream, connection: Connection) -> None:
        try:
            keep = True
            while keep:
                message = await self._read_call(connection)
                if message is None:
                    return
                self.calls_in_progress[connection] = trio.CancelScope()
                keep = await self._serve_call(connection, message) and message.keep
                self.calls_in_progress.pop(connection, None)
        except MalformedMessage as error:
            await self._reject_malformed(stream, error)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("event=call_failed")
        finally:
            self.connections.pop(connection, None)
            self.calls_in_progress.pop(connection, None)
            connection.close()

    @staticmethod
    async def _reject_malformed(stream: Stream, error: MalformedMessage) -> None:
        """Send the status of a malformed call and discard its rest: closing at once might reset the connection."""
        with suppress(OSError, trio.ClosedResourceError), trio.move_on_after(MALFORMED_CALL_SECONDS):
            await send_all(stream, Response(error.status, error_body(str(error))).encode(False))
            stream.end()
            await discard_input(stream, MALFORMED_CALL_SECONDS)

    async def _read_call(self, connection: Connection) -> Message | None:
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
        return None  # closed to make room for another connection, or by the shutdown

    async def _answer_or_refuse(self, connection: Connection, message: Message) -> Response:
        """The response to a call; 503 or 504 during a shutdown."""
        if self.shutting_down:
            message.keep = False
            return unavailable("this machine ends, and took nothing of the call")
        with self.calls_in_progress[connection] as scope:
            response = await self._dispatch(message)
        if scope.cancelled_caught:
            # not 503, which promises that the call was not executed
            response = Response(504, error_body("this machine ends: what was asked for may or may not be in force"))
        message.keep = message.keep and not self.shutting_down
        return response

    async def _serve_call(self, connection: Connection, message: Message) -> bool:
        """Answer one call that was read; whether the response was written completely."""
        came_at, outcome = trio.current_time(), CallOutcome.CUT
        self.outcomes.record_read()
        try:
            response = await self._answer_or_refuse(connection, message)
            connection.release()
            try:
                with trio.move_on_after(CALL_TIMEOUT_SECONDS) as scope:
                    await send_all(connection.stream, response.encode(message.keep))
            except (OSError, trio.ClosedResourceError):
                outcome = CallOutcome.CALLER_LEFT
                raise
            outcome = CallOutcome.CALLER_LEFT if scope.cancelled_caught else CallOutcome.ANSWERED
            return not scope.cancelled_caught
        finally:  # also after a cancellation
            if outcome is CallOutcome.CUT and has_disconnected(connection):
                outcome = CallOutcome.CALLER_LEFT
            self.outcomes.record_end(outcome, message.target.decode("latin-1"), came_at, trio.current_time())

    async def _dispatch(self, message: Message) -> Response:
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
