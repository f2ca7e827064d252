"""The pool of connections to model servers, and the exchange of one request and response on a connection.

A connection carries one exchange at a time. It returns to the pool only after a complete response without surplus
bytes. Times are trio's, in seconds.
"""

import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import httptools
import trio

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.errors import DataPlaneError
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.flow import Flow
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime

CONNECT_TIMEOUT_SECONDS = 0.6
DEFAULT_IDLE_SECONDS = 4.0  # idle connections are kept for this time if the server sends no Keep-Alive timeout
KEEP_ALIVE_FRACTION = 0.85  # part of the server's Keep-Alive timeout, so that the router closes connections first
ABANDON_CHECK_SECONDS = 0.5  # interval of checks whether to go on waiting for a response
MAX_IDLE_CONNECTIONS = 64  # limit for one server
MAX_BODY_BYTES = 1 << 18  # maximum body of a response that is not streamed


class ExchangeFailure(Enum):
    """How an exchange failed."""

    NOT_SENT = "unsent"  # the request was not written completely: it can't have been executed
    BROKEN = "broken"  # the connection ended after the request was written: it may have been executed
    MALFORMED = "garbled"  # the received bytes are not an HTTP response
    MISMATCHED = "mismatched"  # the response belongs to another request
    TIMED_OUT = "late"  # the deadline passed
    SERVER_SILENT = "silent"  # the server is abandoned for another one
    CLIENT_DISCONNECTED = "client gone"  # the client no longer waits for the response


AbandonCheck = Callable[[], ExchangeFailure | None]  # returns why to stop waiting for a response; None: wait on


class ExchangeFailed(DataPlaneError):
    """An exchange ended without a complete response; ``failure`` says how, the text why.

    ``retry_decision`` decides whether the request may be retried.
    """

    def __init__(self, failure: ExchangeFailure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


@dataclass(slots=True, eq=False)
class ServerConnection:
    """One connection to a server, and the response being read from it."""

    endpoint: Endpoint
    http: Connection
    idle_since: float = 0.0  # 0: it has not been idle yet
    max_idle_seconds: float = DEFAULT_IDLE_SECONDS
    response: Message | None = None
    closed: bool = False
    released: bool = False  # returned to the pool, which has kept or closed it


class UpstreamPool:
    """Connections to servers: opened on demand, kept while idle, lent for one exchange at a time."""

    def __init__(self, runtime: Runtime, descriptors: DescriptorBudget, memory: MemoryBudget) -> None:
        self.runtime = runtime
        self.descriptors = descriptors
        self.memory = memory
        self.idle: dict[Endpoint, list[ServerConnection]] = {}  # keyed by server, the longest idle first
        self.connects = 0
        self.requests_sent = 0
        descriptors.close_idle_server = self.close_longest_idle

    # the pool ---------------------------------------------

    async def acquire(self, endpoint: Endpoint, deadline: float) -> ServerConnection:
        """An idle or new connection to a server; raises ``ExchangeFailed`` with NOT_SENT if connecting fails."""
        return self.take_idle(endpoint, trio.current_time()) or await self.connect(endpoint, deadline)

    def take_idle(self, endpoint: Endpoint, now: float) -> ServerConnection | None:
        """Remove and return the most recently used idle connection, if one is usable."""
        connections = self.idle.get(endpoint)
        while connections:
            connection = connections.pop()
            if self._is_stale(connection, now):
                self.close(connection)
                continue
            connection.released = False
            return connection
        return None

    async def connect(self, endpoint: Endpoint, deadline: float) -> ServerConnection:
        """Open a new connection; raises ``ExchangeFailed`` with NOT_SENT if that fails."""
        if not self.descriptors.try_acquire_server():
            raise ExchangeFailed(ExchangeFailure.NOT_SENT, "no file descriptor available for a server connection")
        connection = None
        try:
            connection = self._new_connection(endpoint)
            error_number, connected = await self._connect_socket(connection, deadline)
        except BaseException as error:
            if connection is None:
                self.descriptors.release_server()
            else:
                self.close(connection)
            if isinstance(error, OSError):
                raise ExchangeFailed(ExchangeFailure.NOT_SENT, repr(error)) from error
            raise
        if not connected:
            self.close(connection)
            raise ExchangeFailed(ExchangeFailure.NOT_SENT, f"connecting to the server failed, errno {error_number}")
        return connection

    def _new_connection(self, endpoint: Endpoint) -> ServerConnection:
        stream = self.runtime.stream()
        parser = httptools.HttpResponseParser
        return ServerConnection(
            endpoint,
            Connection(stream, parser, self.memory, stream_success_bodies=True, body_limit_bytes=MAX_BODY_BYTES),
        )

    async def _connect_socket(self, connection: ServerConnection, deadline: float) -> tuple[int, bool]:
        """Connect the socket; returns the last error number, and whether it is connected: False after a timeout."""
        self.connects += 1
        stream = connection.http.stream
        host, _, port = connection.endpoint.address.rpartition(":")
        error_number, connected = 0, False
        with trio.CancelScope(deadline=min(deadline, trio.current_time() + CONNECT_TIMEOUT_SECONDS)):
            error_number = stream.connect_ex((host, int(port)))
            if error_number == errno.EINPROGRESS:
                await stream.wait_writable()
                error_number = stream.dialled()
            connected = not error_number
        return error_number, connected

    def release(self, connection: ServerConnection, response: Message, now: float) -> None:
        """Return a connection after a complete response; it is kept if it can be reused."""
        http, flow = connection.http, response.flow
        connection.released = True
        if not http.kept or not http.clean() or (flow is not None and not flow.is_drained()):
            self.close(connection)
            return
        http.release()
        keep_alive = dict(response.fields).get(b"keep-alive", b"")
        for parameter in keep_alive.split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                connection.max_idle_seconds = KEEP_ALIVE_FRACTION * int(value)
        self.put_idle(connection, now)

    def put_idle(self, connection: ServerConnection, now: float) -> None:
        """Put a connection without an open exchange into the pool; it is closed if it can't be reused."""
        connection.released, connection.response, connection.idle_since = True, None, now
        endpoint, http = connection.endpoint, connection.http
        if not endpoint.listed or endpoint.draining or http.sending() or http.stream.readable():
            self.close(connection)
            return
        connections = self.idle.setdefault(endpoint, [])
        connections.append(connection)
        if len(connections) > MAX_IDLE_CONNECTIONS:
            self.close(connections.pop(0))

    def close(self, connection: ServerConnection) -> None:
        """Close a connection, if it is open, and return its file descriptor to the budget."""
        if not connection.closed:
            connection.closed = True
            connection.http.close()
            self.descriptors.release_server()

    def close_idle_to(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a server that was removed or is draining."""
        for connection in self.idle.pop(endpoint, []):
            self.close(connection)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        by_server = (connections for connections in self.idle.values() if connections)
        connections = min(by_server, default=None, key=lambda connections: connections[0].idle_since)
        if connections is None:
            return False
        self.close(connections.pop(0))
        return True

    def close_stale(self, now: float) -> None:
        """Close idle connections that have ended, or that their server may close at any moment."""
        for connections in self.idle.values():
            while connections and self._is_stale(connections[0], now):
                self.close(connections.pop(0))
        for endpoint in [endpoint for endpoint, connections in self.idle.items() if not connections]:
            del self.idle[endpoint]

    @staticmethod
    def _is_stale(connection: ServerConnection, now: float) -> bool:
        idle_seconds = now - connection.idle_since
        return idle_seconds > connection.max_idle_seconds or connection.http.stream.readable()

    # one exchange -----------------------------------------

    async def send_request(self, connection: ServerConnection, data: bytes, deadline: float) -> None:
        """Write a complete request; raises ``ExchangeFailed`` with NOT_SENT if its last byte was not written."""
        http = connection.http
        self.requests_sent += 1
        complete = False
        try:
            with trio.CancelScope(deadline=deadline):
                complete = http.push(data)
                while not complete:
                    await http.stream.wait_writable()
                    complete = http.pump()
        except (OSError, trio.ClosedResourceError) as error:
            raise ExchangeFailed(ExchangeFailure.NOT_SENT, repr(error)) from error
        if not complete:
            raise ExchangeFailed(ExchangeFailure.NOT_SENT, "the deadline passed before the request was written")

    async def read_head(
        self, connection: ServerConnection, request_id: bytes, deadline: float, abandon: AbandonCheck
    ) -> Message:
        """Read a response's head, and its body unless that is streamed; raises ``ExchangeFailed`` if that fails.

        ``abandon`` is called every ``ABANDON_CHECK_SECONDS``.
        """
        http = connection.http
        while True:
            try:
                message, open_for_more = http.read_on()
            except MalformedMessage as error:
                raise ExchangeFailed(ExchangeFailure.MALFORMED, str(error)) from error
            except (OSError, trio.ClosedResourceError) as error:
                raise ExchangeFailed(ExchangeFailure.BROKEN, repr(error)) from error
            if message is not None:
                break
            if not open_for_more:
                raise ExchangeFailed(ExchangeFailure.BROKEN, "the server closed the connection before a response")
            if http.read_filled_buffer:
                continue
            now = trio.current_time()
            self._check_abandoned(now, deadline, abandon)
            with trio.CancelScope(deadline=min(deadline, now + ABANDON_CHECK_SECONDS)):
                await http.stream.wait_readable()
        if dict(message.fields).get(b"request-id") != request_id:
            raise ExchangeFailed(ExchangeFailure.MISMATCHED, "the response lacks the Request-Id of the request")
        connection.response = message
        return message

    async def read_body(
        self, connection: ServerConnection, flow: Flow, deadline: float, abandon: AbandonCheck
    ) -> bytes:
        """Return the next bytes of a response's body, b"" at its regular end.

        Raises ``ExchangeFailed`` if the body is truncated. ``flow`` holds the bytes read so far. ``abandon`` is called
        every ``ABANDON_CHECK_SECONDS``.
        """
        http = connection.http
        while True:
            if flow.pieces:
                data = flow.pop()
                return data + b"".join(flow.pop() for _ in range(len(flow.pieces)))
            if flow.ended:
                return b""
            if http.error is not None:
                raise ExchangeFailed(ExchangeFailure.MALFORMED, str(http.error))
            open_for_more = True
            try:
                with trio.CancelScope(deadline=min(deadline, trio.current_time() + ABANDON_CHECK_SECONDS)) as scope:
                    await http.stream.wait_readable()
                if scope.cancelled_caught:
                    self._check_abandoned(trio.current_time(), deadline, abandon)
                    continue
                open_for_more = http.read_body()
            except (OSError, trio.ClosedResourceError) as error:
                raise ExchangeFailed(ExchangeFailure.BROKEN, repr(error)) from error
            if not open_for_more and not flow.ended and not flow.pieces:
                raise ExchangeFailed(
                    ExchangeFailure.BROKEN, "the server closed the connection within the response body"
                )

    @staticmethod
    def _check_abandoned(now: float, deadline: float, abandon: AbandonCheck) -> None:
        """Raise ``ExchangeFailed`` if the response is no longer worth waiting for."""
        if (failure := abandon()) is not None:
            raise ExchangeFailed(failure, "the response was abandoned")
        if now >= deadline:
            raise ExchangeFailed(ExchangeFailure.TIMED_OUT, "the deadline passed before the response was complete")
