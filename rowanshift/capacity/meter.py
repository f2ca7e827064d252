"""A runtime on real loopback sockets that counts bytes, and the memory and descriptor limits of processes."""

import os
import resource
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

from rowanshift.capacity.errors import CapacityError
from rowanshift.transport.runtime import SystemRuntime
from rowanshift.transport.sockets import Socket, SocketListener, bound
from rowanshift.transport.streams import Address, Listener, Stream

PAGE_SIZE_BYTES = resource.getpagesize()


@dataclass(slots=True)
class ByteCounts:
    """Payload bytes received and sent through the sockets."""

    received: int = 0
    sent: int = 0


class MeteredSocket(Socket):
    """A stream that counts the bytes received and sent."""

    __slots__ = ("count",)

    def send(self, data: bytes | memoryview, /) -> int:
        n = super().send(data)
        self.count.sent += n
        return n

    def recv_into(self, space: memoryview, /) -> int:
        n = super().recv_into(space)
        self.count.received += n
        return n

    def connect_ex(self, address: Address, /) -> int:
        require_loopback(address)
        return super().connect_ex(address)


class MeteredListener(SocketListener):
    def __init__(self, sock: socket.socket, count: ByteCounts) -> None:
        super().__init__(sock)
        self.count = count

    def accept(self) -> Stream:
        stream = MeteredSocket.of(self.sock.accept()[0])
        stream.count = self.count
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream


class LoopbackRuntime(SystemRuntime):
    """The system runtime limited to loopback, with counted bytes. It handles no signals and leaves the garbage
    collector as it is."""

    def __init__(self) -> None:
        self.count = ByteCounts()

    def stream(self) -> Stream:
        stream = MeteredSocket(socket.AF_INET, socket.SOCK_STREAM)
        stream.count = self.count
        stream.setblocking(False)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener:
        require_loopback(address)
        sock = bound(socket.SOCK_STREAM, address, shared)
        sock.listen(1024)
        return MeteredListener(sock, self.count)

    @contextmanager
    def signals(self) -> Iterator[AsyncIterator[int]]:
        yield no_signals()

    def settled(self) -> None:
        """Freezes no objects for the garbage collector, because further steps run in this process."""


async def no_signals() -> AsyncIterator[int]:
    await trio.sleep_forever()
    yield 0


def require_loopback(address: Address) -> None:
    if not address[0].startswith("127."):
        raise CapacityError(f"{address[0]} is not a loopback address")


def free_port() -> int:
    """Returns a free port whose successor is free too."""
    for _ in range(50):
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            try:
                second.bind(("127.0.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            return port
    raise CapacityError("no two consecutive free ports found in 50 attempts")


def rss(process: int | str = "self") -> int:
    """Returns the resident memory of a process in bytes."""
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE_SIZE_BYTES


def half_of_memory() -> int:
    """Returns half of the physical memory in bytes, the limit of a step."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_SIZE_BYTES // 2


def descriptor_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
