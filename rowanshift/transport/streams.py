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

Address = tuple[str, int]


class Stream(Protocol):
    """One end of a connection. It does not block; every call may raise ``OSError``."""

    def connect_ex(self, address: Address, /) -> int: ...  # 0, EINPROGRESS or the error

    def dialled(self) -> int: ...  # 0 or the error, once a dial in progress became writable

    def send(self, data: bytes | memoryview, /) -> int: ...

    def recv_into(self, space: memoryview, /) -> int: ...  # 0: the other side has ended its sending

    def wait_readable(self) -> Awaitable[None]: ...

    def wait_writable(self) -> Awaitable[None]: ...

    def readable(self) -> bool: ...

    def age(self) -> float: ...

    def end(self) -> None: ...  # sends no more

    def close(self) -> None: ...

    def reset(self) -> None: ...  # closes it so that the other side sees an error, and no regular end

    def closed(self) -> bool: ...


class Listener(Protocol):
    """Where connections come in. ``accept`` raises ``BlockingIOError`` when none waits."""

    def accept(self) -> Stream: ...

    def wait(self) -> Awaitable[None]: ...

    def close(self) -> None: ...


class Port(Protocol):
    """Datagrams out and in, whole or not at all."""

    def send(self, payload: bytes, address: Address) -> Awaitable[Any]: ...

    def receive(self, most: int) -> Awaitable[tuple[bytes, Address]]: ...

    def close(self) -> None: ...


async def connect(stream: Stream, address: Address) -> None:
    """Dials; an ``OSError`` if it fails. The caller limits the time."""
    failed = stream.connect_ex(address)
    if failed == errno.EINPROGRESS:
        await stream.wait_writable()
        failed = stream.dialled()
    if failed:
        raise OSError(failed, errno.errorcode.get(failed, str(failed)))


async def accepted(listener: Listener, pause: Callable[[float], Awaitable[None]] = trio.sleep) -> Stream:
    """Waits for the next connection; an error of one ``accept`` ends nothing."""
    while True:
        await listener.wait()
        try:
            return listener.accept()
        except BlockingIOError:
            continue
        except OSError:
            await pause(0.02)


async def send_all(stream: Stream, data: bytes) -> None:
    left = memoryview(data)
    while left:
        try:
            left = left[stream.send(left) :]
        except BlockingIOError:
            await stream.wait_writable()


async def receive(stream: Stream, ring: RingBuffer) -> int:
    """Waits for bytes and takes them into the ring; how many came, 0 at the other side's end."""
    while True:
        await stream.wait_readable()
        try:
            n = stream.recv_into(ring.free_run())
        except BlockingIOError:
            continue
        ring.commit(n)
        return n
