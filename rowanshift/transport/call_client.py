"""Short HTTP/1.1 calls of other machines, servers and the platform: each on its own connection, or in turn."""

import errno

import httptools
import trio

from rowanshift.transport.http_connection import Connection, Fields, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, connect, send_all


class CallFailed(Exception):
    """A call of another that got no whole answer; ``sent``: whether all of it was written."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class PersistentCaller:
    """One call after another on one connection to one address, which is dialled anew once it has ended."""

    def __init__(self, host: Runtime, memory: MemoryBudget, address: Address) -> None:
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
                await send_all(self.connection.stream, encode_call(self.address, method, target, b"", fields, True))
                sent = True
                message = await read_response(self.connection)
        except (OSError, MalformedMessage, trio.ClosedResourceError) as error:
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


def encode_call(
    address: Address, method: bytes, target: bytes, body: bytes, fields: Fields | None, keep_alive: bool
) -> bytes:
    """Return a call's bytes on the wire."""
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


async def read_response(connection: Connection) -> Message:
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
    memory: MemoryBudget,
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
            await send_all(stream, encode_call(address, method, target, body, fields, False))
            sent = True
            message = await read_response(connection)
    except (OSError, MalformedMessage, trio.ClosedResourceError) as error:
        raise CallFailed(str(error) or errno.errorcode.get(getattr(error, "errno", 0) or 0, "closed"), sent) from error
    finally:
        connection.close()
    if message is None:
        raise CallFailed(f"no answer within {within} s", sent)
    return message
