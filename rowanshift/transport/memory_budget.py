"""What this process may hold: descriptors, one budget over both sides, and bytes of bodies."""

from collections.abc import Callable

import trio

OWN = 24  # standard streams, the event loop, the listener, discovery, peers, and some to spare
CLIENTS = 0.7  # the part that clients may hold: without servers nothing could be answered
PROCESS = 48 * 2**20  # bytes of the program itself, with as many connections as it may have
LEAST = 4 * 2**20
ANSWER = 8  # so many of the largest answers have room at once


class MemoryBudget:
    """Bytes of bodies that are on their way, over all connections."""

    def __init__(self, megabytes: float) -> None:
        self.megabytes = megabytes
        self.whole = self.left = max(LEAST, int(megabytes * 2**20 - PROCESS) // 2)
        self.largest_answer = self.left // ANSWER
        self.least = self.left  # that was ever left

    def share(self, processes: int) -> None:
        """So many processes hold the limit together. What is held already is worked off first."""
        whole = max(LEAST, int(self.megabytes * 2**20 - processes * PROCESS) // 2 // processes)
        self.left += whole - self.whole
        self.whole, self.largest_answer = whole, whole // ANSWER

    def take(self, size: int) -> bool:
        if size > self.left:
            return False
        self.left -= size
        self.least = min(self.least, self.left)
        return True

    def owe(self, size: int) -> None:
        """Takes what is here already, though none may be left; whoever reads then reads no more."""
        self.left -= size
        self.least = min(self.least, self.left)

    def give(self, size: int) -> None:
        self.left += size


class DescriptorBudget:
    def __init__(self, descriptors: int, aside: int = 0) -> None:
        self.descriptors, self.aside = descriptors, aside  # the latter for each process, beside ``OWN``
        self.limit = max(8, descriptors - OWN - aside)
        self.clients = self.servers = 0
        # each closes a connection that nothing is open on, if it has one; the least wanted come first
        self.silent_clients: Callable[[], bool] = lambda: False
        self.idle_servers: Callable[[], bool] = lambda: False
        self.idle_clients: Callable[[], bool] = lambda: False
        self.freed = trio.Event()

    def share(self, processes: int) -> None:
        """So many processes hold the limit together: closes what can be spared beyond this one's part."""
        self.limit = max(8, self.descriptors // processes - OWN - self.aside)
        while self.clients + self.servers > self.limit and (
            self.silent_clients() or self.idle_servers() or self.idle_clients()
        ):
            pass
        self.freed.set()

    def _short(self) -> bool:
        """Whether nothing is left, even after a connection that can be spared was closed."""
        if self.clients + self.servers < self.limit:
            return False
        return not (self.silent_clients() or self.idle_servers() or self.idle_clients())

    def _crowded(self) -> bool:
        """Whether clients hold their part, and none of them can be spared."""
        if self.clients < CLIENTS * self.limit:
            return False
        return not (self.silent_clients() or self.idle_clients())

    def take_server(self) -> bool:
        if self._short():
            return False
        self.servers += 1
        return True

    async def take_client(self) -> None:
        """Waits until a client's connection may be accepted."""
        while self._crowded() or self._short():
            self.freed = trio.Event()
            with trio.move_on_after(0.1):
                await self.freed.wait()
        self.clients += 1

    def take_client_now(self) -> bool:
        """Whether a client's connection may be accepted at once; it is counted if so."""
        if self._crowded() or self._short():
            return False
        self.clients += 1
        return True

    def give_client(self) -> None:
        self.clients -= 1
        self.freed.set()

    def give_server(self) -> None:
        self.servers -= 1
        self.freed.set()
