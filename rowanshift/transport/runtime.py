"""The machine that a process runs on: sockets, signals, time, threads, and files that two processes of one proxy share.

Everything above asks a ``Runtime`` for these, so that the same code runs on the operating system
(``SystemRuntime``) and in the virtual network (``rowanshift/simulation/machine.py``).
"""

import errno
import gc
import os
import resource
import signal
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager, suppress
from pathlib import Path
from struct import Struct
from typing import Any, Protocol

import trio

from rowanshift.transport.signals import ReceivedSignal, received_signals
from rowanshift.transport.sockets import Socket, SocketListener, SocketPort, bound
from rowanshift.transport.streams import Address, Listener, Port, Stream

PEER = Struct("iII")  # pid, uid and gid of the other process, in Linux's order
MOST_PASSED = 4  # sockets in one message


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


class SystemRuntime:
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


SYSTEM_RUNTIME = SystemRuntime()
