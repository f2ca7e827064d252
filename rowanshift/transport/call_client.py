"""Short HTTP/1.1 calls to other machines, model servers and the platform.

``call`` opens a connection for each call; ``PersistentCaller`` makes one call after another on one connection.
"""

import errno

import httptools
import trio

from rowanshift.transport.http_connection import Connection, Fields, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime, wait_readable_or_writable
from rowanshift.transport.streams import Address, connect, send_all

DEFAULT_TIMEOUT_SECONDS = 2.0


class CallFailed(Exception):
    """A call got no complete response.

    ``sent`` says whether the request was written completely, so that the call may have taken effect.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class PersistentCaller:
    """Makes one call after another on one connection to one address, and reconnects once that has been closed."""

    def __init__(self, runtime: Runtime, memory: MemoryBudget, address: Address) -> None:
        self.runtime, self.memory, self.address = runtime, memory, address
        self.connection: Connection | None = None

    async def call(
        self,
        method: bytes,
        target: bytes,
        fields: Fields | None = None,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> Message:
        """The complete response to a call without a body. Raises ``CallFailed``."""
        message, sent = None, False
        try:
            with trio.move_on_after(timeout_seconds):
                connection = await self._connect()
                await send_all(connection.stream, encode_call(self.address, method, target, b"", fields, True))
                sent = True
                message = await read_response(connection)
        except (OSError, MalformedMessage, trio.ClosedResourceError) as error:
            self.close()
            raise CallFailed(str(error) or "connection closed", sent) from error
        finally:
            if message is None or not message.keep:
                self.close()
            elif self.connection is not None:
                self._keep_if_clean(self.connection)
        if message is None:
            raise CallFailed(f"no response within {timeout_seconds} s", sent)
        return message

    async def _connect(self) -> Connection:
        """The open connection, or a new one if there is none, or the peer has closed it or sent unrequested bytes."""
        if self.connection is None or self.connection.stream.readable():
            self.close()
            self.connection = Connection(self.runtime.stream(), httptools.HttpResponseParser, self.memory)
            await connect(self.connection.stream, self.address)
        return self.connection

    def _keep_if_clean(self, connection: Connection) -> None:
        """Keep the connection for the next call, unless bytes follow the response."""
        if connection.clean():
            connection.release()
        else:
            self.close()

    def close(self) -> None:
        """Close the connection, if there is one; the next call opens another."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def encode_call(
    address: Address, method: bytes, target: bytes, body: bytes, fields: Fields | None, keep_alive: bool
) -> bytes:
    """Encode a request."""
    lines = [
        b"%s %s HTTP/1.1" % (method, target),
        b"Host: %s:%d" % (address[0].encode(), address[1]),
        *(b"%s: %s" % pair for pair in fields or []),
    ]
    if not keep_alive:
        lines.append(b"Connection: close")
    if body or method == b"POST":
        lines += [b"Content-Type: application/json", b"Content-Length: %d" % len(body)]
    return b"\r\n".join([*lines, b"", body])


async def send_call(runtime: Runtime, connection: Connection, data: bytes) -> bool:
    """Write a call until it is complete or something has arrived; whether it is complete.

    A peer may respond before it has read a long body, and may then end the connection. Raises ``OSError``.
    """
    stream = connection.stream
    complete = connection.push(data)
    while not complete and not stream.readable():
        await wait_readable_or_writable(runtime, stream)
        try:
            complete = connection.pump()
        except OSError:
            if not stream.readable():
                raise
    return complete


async def read_response(connection: Connection) -> Message:
    """The next complete response. Raises ``OSError`` if the connection ends before it."""
    while True:
        await connection.stream.wait_readable()
        message, open_for_more = connection.read_on()
        if message is not None:
            return message
        if not open_for_more:
            raise ConnectionAbortedError("the peer closed the connection before a complete response")


async def call(
    runtime: Runtime,
    memory: MemoryBudget,
    address: Address,
    method: bytes,
    target: bytes,
    body: bytes = b"",
    fields: Fields | None = None,
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
) -> Message:
    """The complete response to one call, on a connection of its own. Raises ``CallFailed``."""
    sent, message = False, None
    try:
        stream = runtime.stream()
    except OSError as error:
        raise CallFailed(str(error), False) from error
    connection = Connection(stream, httptools.HttpResponseParser, memory)
    try:
        with trio.move_on_after(timeout_seconds):
            await connect(stream, address)
            sent = await send_call(runtime, connection, encode_call(address, method, target, body, fields, False))
            message = await read_response(connection)
    except (OSError, MalformedMessage, trio.ClosedResourceError) as error:
        raise CallFailed(
            str(error) or errno.errorcode.get(getattr(error, "errno", 0) or 0, "connection closed"), sent
        ) from error
    finally:
        connection.close()
    if message is None:
        raise CallFailed(f"no response within {timeout_seconds} s", sent)
    return message
