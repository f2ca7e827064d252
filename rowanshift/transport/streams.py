"""Streams, listeners and datagram ports as everything above uses them, and the waits on them.

A ``Stream`` never blocks: ``send`` and ``recv_into`` do what can be done at once and raise ``BlockingIOError``
otherwise; the waits say when to try again. Real sockets are in ``sockets.py``, those of the virtual network in
``rowanshift/simulation``.
"""

import errno
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio

from rowanshift.transport.buffer import RingBuffer

Address = tuple[str, int]  # IP and port
ACCEPT_RETRY_SECONDS = 0.02


class Stream(Protocol):
    """One end of a connection. It does not block; every call may raise ``OSError``."""

    def connect_ex(self, address: Address, /) -> int:
        """Start to connect: 0, ``EINPROGRESS`` or the number of the error."""
        ...

    def dialled(self) -> int:
        """0 or the number of the error, once a connection in progress became writable."""
        ...

    def send(self, data: bytes | memoryview, /) -> int:
        """The number of bytes that were sent."""
        ...

    def recv_into(self, space: memoryview, /) -> int:
        """The number of bytes that were received; 0 if the other side has ended its sending."""
        ...

    def wait_readable(self) -> Awaitable[None]:
        """Wait until ``recv_into`` may succeed."""
        ...

    def wait_writable(self) -> Awaitable[None]:
        """Wait until ``send`` may succeed."""
        ...

    def readable(self) -> bool:
        """Whether bytes, or the other side's end, have arrived and were not read yet."""
        ...

    def age(self) -> float:
        """Seconds since the last bytes arrived."""
        ...

    def end(self) -> None:
        """End sending; the other side reads the end after what was sent."""
        ...

    def close(self) -> None:
        """Close it; nothing happens if it is closed already."""
        ...

    def reset(self) -> None:
        """Close it so that the other side sees an error, and no regular end."""
        ...

    def closed(self) -> bool:
        """Whether it was closed on this side."""
        ...


class Listener(Protocol):
    """Accepts connections. ``accept`` raises ``BlockingIOError`` when none has arrived."""

    def accept(self) -> Stream:
        """The next connection."""
        ...

    def wait(self) -> Awaitable[None]:
        """Wait until a connection has arrived."""
        ...

    def close(self) -> None:
        """Close it; nothing happens if it is closed already."""
        ...


class Port(Protocol):
    """Sends and receives datagrams; each arrives complete or not at all."""

    def send(self, payload: bytes, address: Address) -> Awaitable[Any]:
        """Send one datagram."""
        ...

    def receive(self, most: int) -> Awaitable[tuple[bytes, Address]]:
        """The next datagram, cut to ``most`` bytes, and its sender."""
        ...

    def close(self) -> None:
        """Close it; nothing happens if it is closed already."""
        ...


async def connect(stream: Stream, address: Address) -> None:
    """Connect a stream. Raises ``OSError``; the caller limits the time."""
    failed = stream.connect_ex(address)
    if failed == errno.EINPROGRESS:
        await stream.wait_writable()
        failed = stream.dialled()
    if failed:
        raise OSError(failed, errno.errorcode.get(failed, str(failed)))


async def accepted(listener: Listener, pause: Callable[[float], Awaitable[None]] = trio.sleep) -> Stream:
    """Wait for the next connection; after an error of one ``accept`` it tries again."""
    while True:
        await listener.wait()
        try:
            return listener.accept()
        except BlockingIOError:
            continue
        except OSError:
            await pause(ACCEPT_RETRY_SECONDS)


async def send_all(stream: Stream, data: bytes) -> None:
    """Send all bytes. Raises ``OSError``; the caller limits the time."""
    left = memoryview(data)
    while left:
        try:
            left = left[stream.send(left) :]
        except BlockingIOError:
            await stream.wait_writable()


async def receive(stream: Stream, ring: RingBuffer) -> int:
    """Wait for bytes and append them to the ring; returns their number, 0 at the other side's end."""
    while True:
        await stream.wait_readable()
        try:
            count = stream.recv_into(ring.free_run())
        except BlockingIOError:
            continue
        ring.commit(count)
        return count
