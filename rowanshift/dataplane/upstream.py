"""The pool of connections to model servers.

A connection carries one exchange at a time (``server_exchange.py``). It returns to the pool only after a completely
written request and a complete response without surplus bytes. Times are trio's, in seconds.
"""

import errno

import httptools
import trio

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.server_exchange import ExchangeFailed, ExchangeFailure, ServerConnection
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime

CONNECT_TIMEOUT_SECONDS = 0.6
KEEP_ALIVE_FRACTION = 0.85  # part of the server's Keep-Alive timeout, so that the router closes connections first
MAX_IDLE_CONNECTIONS = 64  # limit for one server
MAX_BODY_BYTES = 1 << 18  # maximum body of a response that is not streamed


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
            if isinstance(error, (OSError, ValueError, OverflowError)):  # also an address that is no IP:PORT
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
        rest_of_request_is_due = connection.request_unfinished or http.sending()
        incomplete = flow is not None and not flow.is_drained()
        if rest_of_request_is_due or not http.kept or not http.clean() or incomplete:
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
            if connection.response is not None and connection.response.flow is not None:
                connection.response.flow.cancel()
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
