"""Streams, listeners, datagram ports, and the machine that a router runs on: nothing else touches sockets.

Everything above asks a ``Runtime`` for what the system gives, so that the same code runs on real sockets
(``System``) and in the virtual network (``rowanshift.simulation``). A ``Stream`` never blocks: ``send`` and
``recv_into`` do what can be done in the turn that decides it and raise ``BlockingIOError`` otherwise, and
the waits tell when to try again. On real sockets a stream is the socket itself, with a few methods more:
the seam costs nothing where bytes move.
"""

import errno
import gc
import os
import resource
import select
import signal
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager, suppress
from pathlib import Path
from struct import Struct
from typing import Any, Protocol

import trio

from rowanshift.transport.buffer import Ring
from rowanshift.transport.signals import ReceivedSignal, received_signals

Address = tuple[str, int]

PEER = Struct("iII")  # pid, uid and gid of the other process, in Linux's order
MOST_PASSED = 4  # sockets in one message
RESET_AT_CLOSE = Struct("ii").pack(1, 0)  # lingers for 0 s
LAST_DATA_RECEIVED = Struct("52xI")  # in Linux's tcp_info, milliseconds


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


class Nursery(Protocol):
    """What is used of ``trio.Nursery``."""

    cancel_scope: trio.CancelScope

    def start_soon(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None: ...


class Runtime(Protocol):
    """The machine that a process runs on."""

    def wall(self) -> float: ...  # Unix seconds, by its own clock

    def cpu(self) -> float: ...  # seconds that this process has computed for

    def stream(self) -> Stream: ...  # not connected yet; OSError if no descriptor is left

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener: ...

    def port(self, address: Address) -> Port: ...

    def signals(self) -> AbstractContextManager[AsyncIterator[ReceivedSignal]]: ...  # SIGTERM, SIGINT, SIGHUP

    def nursery(self) -> Any: ...  # an async context manager that gives a Nursery

    def pause(self, seconds: float) -> Awaitable[None]: ...  # sleeps

    def in_thread(self, work: Callable[[], Any]) -> Awaitable[Any]: ...  # what blocks on a disk

    def descriptors(self, allowed: int) -> int: ...  # what a process may hold of those that it is allowed

    def settled(self) -> None: ...  # the start is over

    # what two processes of one router share; names are plain file names

    def kept(self, name: str) -> bytes | None: ...  # a small file

    def keep(self, name: str, data: bytes) -> None: ...  # writes it whole or not at all

    def dial_fellow(self, name: str) -> Stream | None: ...  # none waits there

    def await_fellows(self, name: str) -> Listener | None: ...  # from now on they find this process

    def pass_on(self, stream: Stream, data: bytes, things: Sequence[Listener | Port]) -> None: ...

    def take_over(self, stream: Stream) -> tuple[bytes, list[Listener | Port]]: ...


# real sockets -------------------------------------------------


class Socket(socket.socket):
    """A stream on a real socket."""

    __slots__ = ()

    @classmethod
    def of(cls, sock: socket.socket) -> "Socket":
        """Takes a socket over; the one given is left without a descriptor."""
        made = cls(sock.family, sock.type, sock.proto, sock.detach())
        made.setblocking(False)
        return made

    def dialled(self) -> int:
        return self.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def wait_readable(self) -> Awaitable[None]:
        return trio.lowlevel.wait_readable(self)

    def wait_writable(self) -> Awaitable[None]:
        return trio.lowlevel.wait_writable(self)

    def readable(self) -> bool:
        """Whether bytes, or the other side's end, have come in and were not read yet."""
        poll = select.poll()
        poll.register(self, select.POLLIN)
        return bool(poll.poll(0))

    def age(self) -> float:
        """Seconds since the last bytes came in, which a router that stood still reads late."""
        if not hasattr(socket, "TCP_INFO"):
            return 0.0
        info = self.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        return LAST_DATA_RECEIVED.unpack(info)[0] / 1000

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
        with suppress(OSError):  # it broke off already, which its first read tells
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


class System:
    """The machine as it is."""

    def wall(self) -> float:
        return time.time()

    def cpu(self) -> float:
        return time.process_time()

    def stream(self) -> Stream:
        stream = Socket(socket.AF_INET, socket.SOCK_STREAM)
        stream.setblocking(False)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener:
        sock = bound(socket.SOCK_STREAM, address, shared)
        sock.listen(backlog)
        return SocketListener(sock)

    def port(self, address: Address) -> Port:
        return SocketPort(bound(socket.SOCK_DGRAM, address, shared=True))

    def signals(self) -> AbstractContextManager[AsyncIterator[ReceivedSignal]]:
        return received_signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))

    def nursery(self) -> Any:
        return trio.open_nursery()

    def pause(self, seconds: float) -> Awaitable[None]:
        return trio.sleep(seconds)

    def in_thread(self, work: Callable[[], Any]) -> Awaitable[Any]:
        return trio.to_thread.run_sync(work)

    def descriptors(self, allowed: int) -> int:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return allowed if soft == resource.RLIM_INFINITY else min(allowed, soft)

    def settled(self) -> None:
        gc.collect()
        gc.freeze()  # what has been loaded stays

    @staticmethod
    def _folder() -> Path:
        if not (folder := os.environ.get("TMPDIR")):
            raise OSError(errno.ENOENT, "$TMPDIR is not set")
        return Path(folder)

    def kept(self, name: str) -> bytes | None:
        try:
            return (self._folder() / name).read_bytes()
        except FileNotFoundError:
            return None

    def keep(self, name: str, data: bytes) -> None:
        path = self._folder() / name
        made = path.with_name(f"{name}.{os.getpid()}")
        try:
            made.write_bytes(data)
            made.replace(path)
        except OSError:
            with suppress(OSError):
                made.unlink()
            raise

    def dial_fellow(self, name: str) -> Stream | None:
        sock = Socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with short(self._folder()) as folder:
                sock.connect(f"{folder}/{name}.sock")
            *_, owner, _ = PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER.size))
            if owner != os.geteuid():
                raise PermissionError(errno.EPERM, "the process that serves is another user's")
        except (FileNotFoundError, ConnectionRefusedError):  # none yet, or it is gone
            sock.close()
            return None
        except OSError:
            sock.close()
            raise
        return sock

    def await_fellows(self, name: str) -> Listener | None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with short(self._folder()) as folder:
                made = f"{folder}/{name}.{os.getpid()}.sock"
                with suppress(FileNotFoundError):
                    os.unlink(made)
                sock.bind(made)
                os.chmod(made, 0o600)
                sock.listen(4)
                os.replace(made, f"{folder}/{name}.sock")
        except OSError:
            sock.close()
            raise
        return SocketListener(sock)

    def pass_on(self, stream: Stream, data: bytes, things: Sequence[Listener | Port]) -> None:
        socket.send_fds(stream, [data], [thing.sock.fileno() for thing in things])

    def take_over(self, stream: Stream) -> tuple[bytes, list[Listener | Port]]:
        data, numbers, _, _ = socket.recv_fds(stream, 4096, MOST_PASSED)
        socks = [socket.socket(fileno=number) for number in numbers]
        return data, [SocketPort(sock) if sock.type == socket.SOCK_DGRAM else SocketListener(sock) for sock in socks]


@contextmanager
def short(folder: Path) -> Iterator[str]:
    """A path to the folder that fits into the address of a Unix socket, which holds 108 bytes."""
    number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{number}"
    finally:
        os.close(number)


SYSTEM = System()


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


# for those who may wait ---------------------------------------


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


async def receive(stream: Stream, ring: Ring) -> int:
    """Waits for bytes and takes them into the ring; how many came, 0 at the other side's end."""
    while True:
        await stream.wait_readable()
        try:
            n = stream.recv_into(ring.space())
        except BlockingIOError:
            continue
        ring.filled(n)
        return n
