"""Writes the response to one client request: relayed from a server, or the router's own."""

from dataclasses import dataclass

import trio

from rowanshift.dataplane.errors import DataPlaneError
from rowanshift.dataplane.request_outcomes import RequestOutcome
from rowanshift.transport.http_connection import NO_BODY, Connection, Message
from rowanshift.transport.http_response import REASONS, error_body

CLIENT_WRITE_TIMEOUT_SECONDS = 10.0  # without a byte that the client reads


class ClientDisconnected(DataPlaneError):
    """The client closed its connection, or has read nothing for too long; nothing more can be sent to it."""


@dataclass(slots=True, frozen=True)
class Refusal(DataPlaneError):
    """A final response of the router's own, raised where a request can't be forwarded."""

    status: int
    reason: str
    retry_after_seconds: float = 0.0  # 0: without a Retry-After header


@dataclass(slots=True, eq=False)
class ResponseWriter:
    """The response to one request, and how much of it was written."""

    connection: Connection
    keep_alive: bool  # the client's connection stays open after the response
    is_http_1_0: bool  # no chunked bodies: a body of unknown length ends with the connection
    started: bool = False
    chunked: bool = False
    last_event_id: bytes | None = None  # of the last event that was relayed
    bytes_written: int = 0
    status: int = 0  # of a refusal
    outcome: RequestOutcome = RequestOutcome.CUT_BY_ROUTER  # until another is known

    async def send(self, data: bytes) -> None:
        """Write bytes to the client; ``ClientDisconnected`` if it reads nothing for too long."""
        self.bytes_written += len(data)
        try:
            if self.connection.push(data):
                return
            while True:
                with trio.move_on_after(CLIENT_WRITE_TIMEOUT_SECONDS) as scope:
                    await self.connection.stream.wait_writable()
                if scope.cancelled_caught:
                    raise ClientDisconnected
                if self.connection.pump():
                    return
        except (OSError, trio.ClosedResourceError) as error:
            raise ClientDisconnected from error

    def head(self, message: Message, length: int | None) -> bytes:
        """Start the response and give its head. ``length`` is of the body in bytes; None: the body is sent in chunks,
        or ends with the connection."""
        lines = [b"HTTP/1.1 %d %s" % (message.status, REASONS.get(message.status, b""))]
        lines += [b"%s: %s" % pair for pair in message.end_to_end()]
        if message.status in NO_BODY:
            pass  # the head is the complete response
        elif length is not None:
            lines.append(b"Content-Length: %d" % length)
        elif self.is_http_1_0:
            self.keep_alive = False
            self.connection.reset_on_close = True  # a body that breaks off must not look complete
        else:
            self.chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if not self.keep_alive:
            lines.append(b"Connection: close")
        self.started = True
        return b"\r\n".join([*lines, b"", b""])

    def frame(self, data: bytes) -> bytes:
        """A part of the body, framed as the head announced."""
        return b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data

    async def send_response(self, message: Message, body: bytes) -> None:
        """Write a complete response of a server."""
        await self.send(self.head(message, len(body)) + body)

    async def refuse(self, refusal: Refusal) -> None:
        """Write a response of the router's own."""
        body = error_body(refusal.reason)
        lines = [
            b"HTTP/1.1 %d %s" % (refusal.status, REASONS.get(refusal.status, b"")),
            b"Content-Type: application/json",
            b"Content-Length: %d" % len(body),
        ]
        if refusal.retry_after_seconds:
            lines.append(b"Retry-After: %.3f" % refusal.retry_after_seconds)
        if not self.keep_alive:
            lines.append(b"Connection: close")
        self.started = True
        await self.send(b"\r\n".join([*lines, b"", body]))
        self.outcome, self.status = RequestOutcome.REFUSED, refusal.status

    def client_disconnected(self) -> bool:
        """Whether the client has closed its connection; reads what it sent meanwhile into the buffer."""
        connection = self.connection
        if connection.closed():
            return True
        if not connection.stream.readable() or connection.inbound.full():
            return False
        try:
            return not connection.receive()
        except OSError:
            return True
