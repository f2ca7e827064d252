"""The machine that a process runs on: sockets, signals, time, threads, and files shared by processes of one proxy.

All other code gets these from a ``Runtime``, so that the same code runs on the operating system
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

from rowanshift.process.error_groups import first_of
from rowanshift.transport.signals import ReceivedSignal, received_signals
from rowanshift.transport.sockets import Socket, SocketListener, SocketPort, bound
from rowanshift.transport.streams import Address, Listener, Port, Stream

PEER = Struct("iII")  # pid, uid and gid of the peer process, as in Linux's struct ucred
MOST_PASSED = 4  # sockets passed in one message


class Nursery(Protocol):
    """The part of ``trio.Nursery`` that is used."""

    cancel_scope: trio.CancelScope

    def start_soon(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None: ...


async def wait_readable_or_writable(runtime: "Runtime", stream: Stream) -> None:
    """Wait until a stream can be read or written, or was closed."""

    async def wait(event: Callable[[], Awaitable[None]]) -> None:
        with suppress(trio.ClosedResourceError):
            await event()
        nursery.cancel_scope.cancel()

    try:
        async with runtime.nursery() as nursery:
            nursery.start_soon(wait, stream.wait_readable)
            nursery.start_soon(wait, stream.wait_writable)
    except BaseExceptionGroup as group:  # a cancellation; callers expect it as such
        raise first_of(group) from None


class Runtime(Protocol):
    """The machine that a process runs on."""

    def wall(self) -> float: ...  # Unix time in seconds, by this machine's clock

    def cpu(self) -> float: ...  # CPU seconds used by this process

    def stream(self) -> Stream: ...  # an unconnected stream; raises OSError if no descriptor is available

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener: ...

    def port(self, address: Address) -> Port: ...

    def signals(self) -> AbstractContextManager[AsyncIterator[ReceivedSignal]]: ...  # SIGTERM, SIGINT, SIGHUP

    def nursery(self) -> Any: ...  # an async context manager that gives a Nursery

    def pause(self, seconds: float) -> Awaitable[None]: ...  # sleeps

    def in_thread(self, work: Callable[[], Any]) -> Awaitable[Any]: ...  # runs blocking work, such as disk I/O

    def descriptors(self, allowed: int) -> int: ...  # the process's descriptor limit, at most ``allowed``

    def settled(self) -> None: ...  # called once the start is complete

    # State shared by the processes of one proxy. Names are plain file names.

    def kept(self, name: str) -> bytes | None: ...  # the contents of a small file; None if there is none

    def keep(self, name: str, data: bytes) -> None: ...  # replaces that file atomically

    def dial_fellow(self, name: str) -> Stream | None: ...  # connects to the serving process; None if there is none

    def await_fellows(self, name: str) -> Listener | None: ...  # makes this process the one that others connect to

    def pass_on(self, stream: Stream, data: bytes, sockets: Sequence[Listener | Port]) -> None: ...  # sends sockets

    def take_over(self, stream: Stream) -> tuple[bytes, list[Listener | Port]]: ...  # receives what ``pass_on`` sent


class SystemRuntime:
    """The operating system of this machine."""

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
        gc.freeze()  # objects created during the start live on; later collections need not scan them

    @staticmethod
    def _folder() -> Path:
        if not (folder := os.environ.get("TMPDIR")):
            raise OSError(errno.ENOENT, "the environment variable TMPDIR is not set")
        return Path(folder)

    def kept(self, name: str) -> bytes | None:
        try:
            return (self._folder() / name).read_bytes()
        except FileNotFoundError:
            return None

    def keep(self, name: str, data: bytes) -> None:
        path = self._folder() / name
        temporary_path = path.with_name(f"{name}.{os.getpid()}")
        try:
            temporary_path.write_bytes(data)
            temporary_path.replace(path)
        except OSError:
            with suppress(OSError):
                temporary_path.unlink()
            raise

    def dial_fellow(self, name: str) -> Stream | None:
        sock = Socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with short_path(self._folder()) as folder:
                sock.connect(f"{folder}/{name}.sock")
            *_, peer_uid, _ = PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER.size))
            if peer_uid != os.geteuid():
                raise PermissionError(errno.EPERM, "the serving process belongs to another user")
        except (FileNotFoundError, ConnectionRefusedError):  # no process is serving yet, or it has ended
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
            with short_path(self._folder()) as folder:
                temporary_path = f"{folder}/{name}.{os.getpid()}.sock"
                with suppress(FileNotFoundError):
                    os.unlink(temporary_path)
                sock.bind(temporary_path)
                os.chmod(temporary_path, 0o600)
                sock.listen(4)
                os.replace(temporary_path, f"{folder}/{name}.sock")
        except OSError:
            sock.close()
            raise
        return SocketListener(sock)

    def pass_on(self, stream: Stream, data: bytes, sockets: Sequence[Listener | Port]) -> None:
        socket.send_fds(stream, [data], [wrapper.sock.fileno() for wrapper in sockets])

    def take_over(self, stream: Stream) -> tuple[bytes, list[Listener | Port]]:
        data, file_descriptors, _, _ = socket.recv_fds(stream, 4096, MOST_PASSED)
        socks = [socket.socket(fileno=descriptor) for descriptor in file_descriptors]
        return data, [SocketPort(sock) if sock.type == socket.SOCK_DGRAM else SocketListener(sock) for sock in socks]


@contextmanager
def short_path(folder: Path) -> Iterator[str]:
    """A path to the folder that fits into the address of a Unix socket, which holds 108 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


SYSTEM_RUNTIME = SystemRuntime()
