"""Streams, listeners and datagram ports on real sockets. A stream is the socket itself, without a wrapper's cost."""

import select
import socket
from collections.abc import Awaitable
from contextlib import suppress
from struct import Struct

import trio

from rowanshift.transport.streams import Address, Stream

RESET_AT_CLOSE = Struct("ii").pack(1, 0)  # SO_LINGER of 0 s: close sends a reset
LAST_DATA_RECEIVED = Struct("52xI")  # tcpi_last_data_recv in Linux's tcp_info, in milliseconds
BYTES_ACKNOWLEDGED = Struct("120xQ")  # tcpi_bytes_acked in Linux's tcp_info; it counts the opening packet as a byte


class Socket(socket.socket):
    """A stream on a real socket."""

    __slots__ = ()

    @classmethod
    def of(cls, sock: socket.socket) -> "Socket":
        """Wrap a socket; the original object is detached from its descriptor."""
        adopted = cls(sock.family, sock.type, sock.proto, sock.detach())
        adopted.setblocking(False)
        return adopted

    def dialled(self) -> int:
        return self.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def wait_readable(self) -> Awaitable[None]:
        return trio.lowlevel.wait_readable(self)

    def wait_writable(self) -> Awaitable[None]:
        return trio.lowlevel.wait_writable(self)

    def readable(self) -> bool:
        """Whether bytes or the peer's end of sending have arrived and were not read yet."""
        poll = select.poll()
        poll.register(self, select.POLLIN)
        return bool(poll.poll(0))

    def age(self) -> float:
        """Seconds since the last bytes arrived; a process that was stalled reads them late."""
        if not hasattr(socket, "TCP_INFO"):
            return 0.0
        info = self.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        return LAST_DATA_RECEIVED.unpack(info)[0] / 1000

    def acknowledged(self) -> int | None:
        """The bytes sent whose arrival the peer's system has acknowledged, maybe one more; None if unknown."""
        if not hasattr(socket, "TCP_INFO"):
            return None
        try:
            info = self.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_ACKNOWLEDGED.size)
        except OSError:
            return None
        return BYTES_ACKNOWLEDGED.unpack(info)[0] if len(info) == BYTES_ACKNOWLEDGED.size else None

    def end(self) -> None:
        self.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        if self.fileno() >= 0:
            if trio.lowlevel.in_trio_run():
                trio.lowlevel.notify_closing(self)
            super().close()

    def reset(self) -> None:
        if self.fileno() >= 0:
            with suppress(OSError):
                self.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self.close()

    def closed(self) -> bool:
        return self.fileno() < 0


class SocketListener:
    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock

    def accept(self) -> Stream:
        stream = Socket.of(self.sock.accept()[0])
        with suppress(OSError):  # the peer has reset the connection already; the first read reports it
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream

    def wait(self) -> Awaitable[None]:
        return trio.lowlevel.wait_readable(self.sock)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


class SocketPort:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = trio.socket.from_stdlib_socket(sock)

    def send(self, payload: bytes, address: Address) -> Awaitable[int]:
        return self.sock.sendto(payload, address)

    def receive(self, most: int) -> Awaitable[tuple[bytes, Address]]:
        return self.sock.recvfrom(most)

    def close(self) -> None:
        self.sock.close()


def bound(kind: int, address: Address, shared: bool = False) -> socket.socket:
    sock = socket.socket(socket.AF_INET, kind)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, "{}: {}:{}".format(error.strerror, *address)) from error
    return sock
