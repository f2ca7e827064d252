"""Interfaces of streams, listeners and datagram ports, and helpers that wait on them.

A ``Stream`` never blocks: ``send`` and ``recv_into`` transfer what they can at once and raise ``BlockingIOError`` if
that is nothing; the ``wait_`` methods wait until a retry may succeed. Real sockets are in ``sockets.py``, those of the
virtual network in ``rowanshift/simulation``.
"""

import errno
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio

from rowanshift.transport.buffer import RingBuffer

Address = tuple[str, int]  # IP and port
ACCEPT_RETRY_SECONDS = 0.02
DISCARD_BUFFER_BYTES = 1 << 16


class Stream(Protocol):
    """One end of a connection. It does not block; every call may raise ``OSError``."""

    def connect_ex(self, address: Address, /) -> int:
        """Start to connect; returns 0, ``EINPROGRESS`` or another error number."""
        ...

    def dialled(self) -> int:
        """The result of a connection in progress, once it is writable: 0 or an error number."""
        ...

    def send(self, data: bytes | memoryview, /) -> int:
        """Send bytes; returns their number."""
        ...

    def recv_into(self, space: memoryview, /) -> int:
        """Receive bytes; returns their number, 0 if the peer has ended its sending."""
        ...

    def wait_readable(self) -> Awaitable[None]:
        """Wait until ``recv_into`` may succeed."""
        ...

    def wait_writable(self) -> Awaitable[None]:
        """Wait until ``send`` may succeed."""
        ...

    def readable(self) -> bool:
        """Whether bytes or the peer's end of sending have arrived and were not read yet."""
        ...

    def age(self) -> float:
        """Seconds since the last bytes arrived."""
        ...

    def acknowledged(self) -> int | None:
        """The bytes sent whose arrival the peer's system has acknowledged, maybe one more; ``None`` if unknown."""
        ...

    def end(self) -> None:
        """End sending; the peer reads the end after the bytes that were sent."""
        ...

    def close(self) -> None:
        """Close it; nothing happens if it is closed already."""
        ...

    def reset(self) -> None:
        """Close the connection with a reset, so that the peer sees an error instead of a regular end."""
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
    try:
        error_number = stream.connect_ex(address)
    except OverflowError as error:  # a port that no socket address can hold
        raise OSError(errno.EADDRNOTAVAIL, str(error)) from error
    if error_number == errno.EINPROGRESS:
        await stream.wait_writable()
        error_number = stream.dialled()
    if error_number:
        raise OSError(error_number, errno.errorcode.get(error_number, str(error_number)))


async def accepted(listener: Listener, pause: Callable[[float], Awaitable[None]] = trio.sleep) -> Stream:
    """Wait for the next connection; retries after an ``accept`` that failed."""
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
    remaining = memoryview(data)
    while remaining:
        try:
            remaining = remaining[stream.send(remaining) :]
        except BlockingIOError:
            await stream.wait_writable()


async def discard_input(stream: Stream, pause_seconds: float) -> None:
    """Read and discard until the peer ends its sending or pauses for so long.

    Raises ``OSError``; the caller limits the whole time.
    """
    discarded = memoryview(bytearray(DISCARD_BUFFER_BYTES))
    while True:
        with trio.move_on_after(pause_seconds) as scope:
            await stream.wait_readable()
        if scope.cancelled_caught:
            return
        try:
            if not stream.recv_into(discarded):
                return
        except BlockingIOError:
            continue


async def receive(stream: Stream, ring: RingBuffer) -> int:
    """Wait for bytes and append them to the ring; returns their number, 0 if the peer has ended its sending."""
    while True:
        await stream.wait_readable()
        try:
            count = stream.recv_into(ring.free_run())
        except BlockingIOError:
            continue
        ring.commit(count)
        return count
