"""HTTP/1.1 messages over one socket: h11 between two ring buffers."""

import select
import socket
from struct import Struct

import h11
import trio

from rowanshift.net.ring import Ring

LAST_DATA_RECEIVED = Struct("52xI")  # in Linux's tcp_info, milliseconds
LARGEST_HEAD = 16 * 1024
LARGEST_BODY = 64 * 1024

Head = h11.Request | h11.Response
Fields = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset([b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-authenticate",
                        b"proxy-authorization", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
                        b"upgrade"])


class Oversize(Exception):
    """A body larger than a message may hold."""


def end_to_end(head: Head) -> Fields:
    """The fields that go on as they came, among them the mark by which a repeat is known."""
    named = {name.strip().lower() for field, value in head.headers if field == b"connection"
             for name in value.split(b",")}
    return [(name, value) for name, value in head.headers if name not in HOP_BY_HOP and name not in named]


class Connection:
    def __init__(self, sock: trio.socket.SocketType, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.sock = sock
        self.h11 = h11.Connection(role, max_incomplete_event_size=LARGEST_HEAD)
        self.inbound, self.outbound = Ring(), Ring()

    def close(self) -> None:
        self.sock.close()

    def closed(self) -> bool:
        return self.sock.fileno() < 0

    def readable(self) -> bool:
        """Whether bytes, or the other side's end, have come in and were not read yet."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    async def fill(self) -> bool:
        """Waits for bytes; False once the other side has ended its sending."""
        n = await self.sock.recv_into(self.inbound.space())
        self.inbound.filled(n)
        return n > 0

    def age(self) -> float:
        """Seconds since the last bytes came in, which a router that stood still reads late."""
        if not hasattr(socket, "TCP_INFO"):
            return 0.0
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        return LAST_DATA_RECEIVED.unpack(info)[0] / 1000

    def has_input(self) -> bool:
        return bool(self.inbound or self.h11.trailing_data[0])

    async def event(self) -> h11.Event | type[h11.PAUSED]:
        """The next event of the other side's messages."""
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            if self.h11.they_are_waiting_for_100_continue:
                await self._flush(self.h11.send(h11.InformationalResponse(status_code=100, headers=[])))
            if self.inbound or await self.fill():
                self.h11.receive_data(self.inbound.read())
            else:
                self.h11.receive_data(b"")
        return event

    async def message(self) -> tuple[Head, bytes] | None:
        """A whole message; None if the other side ended before its first byte."""
        head, body, size = None, [], 0
        while not isinstance(event := await self.event(), h11.EndOfMessage):
            if isinstance(event, h11.Request | h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > LARGEST_BODY:
                    raise Oversize
                body.append(bytes(event.data))
            elif not isinstance(event, h11.InformationalResponse):
                return None  # closed, or paused after a message that ended the connection
        return head, b"".join(body)

    async def send(self, head: Head, body: bytes) -> None:
        """Sends a whole message and returns once its last byte is written."""
        data = self.h11.send(head)
        if body:
            data += self.h11.send(h11.Data(data=body))
        await self._flush(data + self.h11.send(h11.EndOfMessage()))

    async def _flush(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest or self.outbound:
            rest = rest[self.outbound.write(rest):]
            self.outbound.drop(await self.sock.send(self.outbound.held()))

    def renew(self) -> bool:
        """Makes ready for the next message; False if the connection must close."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            return True
        return False
