"""Budget of the file descriptors of a process, over its connections to clients and to servers."""

from collections.abc import Callable

import trio

RESERVED_DESCRIPTORS = 24  # standard streams, event loop, listener, discovery, peers, and a margin
MIN_CONNECTIONS = 8
MAX_CLIENT_FRACTION = 0.7  # maximum share of clients; the rest is for servers, without which no request is served
RETRY_SECONDS = 0.1  # interval of attempts to accept a client: a connection may have become idle meanwhile


def no_connection_to_close() -> bool:
    """The default callback, which has no connection to close."""
    return False


class DescriptorBudget:
    """Counts connections to clients and servers within one limit.

    When the limit is reached, it closes a connection that has no exchange in progress: ``close_silent_client``,
    ``close_idle_server`` and ``close_idle_client``, in this order, return whether they had one to close.
    ``descriptors`` is the limit of all processes that share it, and each reserves ``reserved`` of its part beside
    ``RESERVED_DESCRIPTORS``.
    """

    def __init__(self, descriptors: int, reserved: int = 0) -> None:
        self.descriptors = descriptors
        self.reserved = reserved
        self.limit = max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS - reserved)
        self.clients = 0
        self.servers = 0
        self.close_silent_client: Callable[[], bool] = no_connection_to_close
        self.close_idle_server: Callable[[], bool] = no_connection_to_close
        self.close_idle_client: Callable[[], bool] = no_connection_to_close
        self.released = trio.Event()

    def divide(self, processes: int) -> None:
        """Reduce the limit to the share of one of ``processes`` processes; closes connections that exceed it."""
        self.limit = max(MIN_CONNECTIONS, self.descriptors // processes - RESERVED_DESCRIPTORS - self.reserved)
        while self.clients + self.servers > self.limit and self._close_one():
            pass
        self.released.set()

    def _close_one(self) -> bool:
        return self.close_silent_client() or self.close_idle_server() or self.close_idle_client()

    def _is_exhausted(self) -> bool:
        """Whether the limit is reached and there was no connection to close."""
        return self.clients + self.servers >= self.limit and not self._close_one()

    def _clients_exhausted(self) -> bool:
        """Whether clients use their part of the limit and there was no client connection to close."""
        if self.clients < MAX_CLIENT_FRACTION * self.limit:
            return False
        return not (self.close_silent_client() or self.close_idle_client())

    def try_acquire_server(self) -> bool:
        """Count a connection to a server if the limit allows one more; returns whether it was counted."""
        if self._is_exhausted():
            return False
        self.servers += 1
        return True

    async def acquire_client(self) -> None:
        """Wait until a client connection may be accepted, and count it."""
        while self._clients_exhausted() or self._is_exhausted():
            self.released = trio.Event()
            with trio.move_on_after(RETRY_SECONDS):
                await self.released.wait()
        self.clients += 1

    def try_acquire_client(self) -> bool:
        """Count a client connection if one may be accepted now; returns whether it was counted."""
        if self._clients_exhausted() or self._is_exhausted():
            return False
        self.clients += 1
        return True

    def release_client(self) -> None:
        """A client connection was closed."""
        self.clients -= 1
        self.released.set()

    def release_server(self) -> None:
        """A server connection was closed."""
        self.servers -= 1
        self.released.set()
