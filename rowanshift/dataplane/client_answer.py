"""The answer to one client, as far as it went: passed on from a server, or this router's own."""

from dataclasses import dataclass

import trio

from rowanshift.dataplane.request_outcomes import RequestOutcome
from rowanshift.transport.http_connection import NO_BODY, Connection, Message
from rowanshift.transport.http_response import REASONS, error_body

TAKE_WITHIN = 10.0  # seconds in which a client takes some of its answer


class ClientGone(Exception):
    """The client ended its connection or takes nothing."""


@dataclass(slots=True, frozen=True)
class Refusal(Exception):
    """A final answer of this router's own."""

    status: int
    why: str
    back: float = 0.0  # seconds until the client may come again; 0: nothing is said


@dataclass(slots=True, eq=False)
class Out:
    """The answer to one request, as far as it went."""

    connection: Connection
    keep: bool
    old: bool
    begun: bool = False
    chunked: bool = False
    last: bytes | None = None  # id of the last event that was passed on
    passed_on: int = 0  # bytes that were handed to the connection
    status: int = 0  # of a refusal
    ending: RequestOutcome = RequestOutcome.CUT_BY_ROUTER  # until it came to another

    async def send(self, data: bytes) -> None:
        """Write bytes to the client; ``ClientGone`` if it takes nothing for too long."""
        self.passed_on += len(data)
        try:
            if self.connection.push(data):
                return
            while True:
                with trio.move_on_after(TAKE_WITHIN) as scope:
                    await self.connection.stream.wait_writable()
                if scope.cancelled_caught:
                    raise ClientGone
                if self.connection.pump():
                    return
        except (OSError, trio.ClosedResourceError) as error:
            raise ClientGone from error

    def head(self, message: Message, length: int | None) -> bytes:
        """The head of an answer; ``length`` None: its body comes in chunks, or ends with the connection."""
        lines = [b"HTTP/1.1 %d %s" % (message.status, REASONS.get(message.status, b""))]
        lines += [b"%s: %s" % pair for pair in message.end_to_end()]
        if message.status in NO_BODY:
            pass  # its head is all of it
        elif length is not None:
            lines.append(b"Content-Length: %d" % length)
        elif self.old:
            self.keep = False
            self.connection.resets = True  # its end is the connection's, which comes early if this is broken off
        else:
            self.chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if not self.keep:
            lines.append(b"Connection: close")
        self.begun = True
        return b"\r\n".join([*lines, b"", b""])

    def piece(self, data: bytes) -> bytes:
        """A part of the body, framed as the head has said."""
        return b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data

    async def whole(self, message: Message, body: bytes) -> None:
        """Send a whole answer of a server."""
        await self.send(self.head(message, len(body)) + body)

    async def refuse(self, refusal: Refusal) -> None:
        """Send an answer of this router's own."""
        body = error_body(refusal.why)
        lines = [
            b"HTTP/1.1 %d %s" % (refusal.status, REASONS.get(refusal.status, b"")),
            b"Content-Type: application/json",
            b"Content-Length: %d" % len(body),
        ]
        if refusal.back:
            lines.append(b"Retry-After: %.3f" % refusal.back)
        if not self.keep:
            lines.append(b"Connection: close")
        self.begun = True
        await self.send(b"\r\n".join([*lines, b"", body]))
        self.ending, self.status = RequestOutcome.REFUSAL, refusal.status

    def left(self) -> bool:
        """Whether the client has ended its connection."""
        connection = self.connection
        if connection.closed():
            return True
        if not connection.stream.readable() or connection.inbound.full():
            return False
        try:
            return not connection.receive()
        except OSError:
            return True
