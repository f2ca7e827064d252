"""A Host on real loopback sockets that counts bytes, and what a process has used."""

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

PAGE = resource.getpagesize()  # bytes


@dataclass(slots=True)
class Bytes:
    """Payload bytes that went through the sockets."""

    received: int = 0
    sent: int = 0


class MeteredSocket(Socket):
    """A stream that counts what goes through it."""

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
        on_loopback(address)
        return super().connect_ex(address)


class MeteredListener(SocketListener):
    def __init__(self, sock: socket.socket, count: Bytes) -> None:
        super().__init__(sock)
        self.count = count

    def accept(self) -> Stream:
        stream = MeteredSocket.of(self.sock.accept()[0])
        stream.count = self.count
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream


class Loopback(SystemRuntime):
    """The machine, loopback only, every byte counted; signals and the collector are left alone."""

    def __init__(self) -> None:
        self.count = Bytes()

    def stream(self) -> Stream:
        stream = MeteredSocket(socket.AF_INET, socket.SOCK_STREAM)
        stream.count = self.count
        stream.setblocking(False)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener:
        on_loopback(address)
        sock = bound(socket.SOCK_STREAM, address, shared)
        sock.listen(1024)
        return MeteredListener(sock, self.count)

    @contextmanager
    def signals(self) -> Iterator[AsyncIterator[int]]:
        yield none()

    def settled(self) -> None:
        """Nothing is frozen: other steps of this process follow."""


async def none() -> AsyncIterator[int]:
    await trio.sleep_forever()
    yield 0


def on_loopback(address: Address) -> None:
    if not address[0].startswith("127."):
        raise CapacityError(f"{address[0]} is no loopback address")


def free_port() -> int:
    """A port that nobody holds now, with a free one above it."""
    for _ in range(50):
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            try:
                second.bind(("127.0.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            return port
    raise CapacityError("no two free ports beside each other")


def rss(process: int | str = "self") -> int:
    """Bytes of memory that a process holds now."""
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE


def half_of_memory() -> int:
    """Bytes that a sweep may hold at most."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE // 2


def descriptors() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
