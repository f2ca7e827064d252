"""The descriptors of this process: one budget over both sides."""

from collections.abc import Callable

import trio

OWN = 24  # standard streams, the event loop, the listener, discovery, peers, and some to spare
CLIENTS = 0.7  # the part that clients may hold: without servers nothing could be answered


class Budget:
    def __init__(self, descriptors: int) -> None:
        self.limit = max(8, descriptors - OWN)
        self.clients = self.servers = 0
        self.reclaim: list[Callable[[], bool]] = []  # each closes one idle connection, if it has one
        self.freed = trio.Event()

    def _short(self) -> bool:
        """Whether nothing is left, even after idle connections, those of servers first, were closed."""
        if self.clients + self.servers < self.limit:
            return False
        return not any(close() for close in self.reclaim)

    def take_server(self) -> bool:
        if self._short():
            return False
        self.servers += 1
        return True

    async def take_client(self) -> None:
        """Waits until a client's connection may be accepted."""
        while self.clients >= CLIENTS * self.limit or self._short():
            if self.clients >= CLIENTS * self.limit:
                self.reclaim[-1]()
            self.freed = trio.Event()
            with trio.move_on_after(0.1):
                await self.freed.wait()
        self.clients += 1

    def give_client(self) -> None:
        self.clients -= 1
        self.freed.set()

    def give_server(self) -> None:
        self.servers -= 1
        self.freed.set()
