"""The disk of a machine of the virtual network: a record in each store, as ``controlplane/store.py`` keeps it.

A write is on the disk when its sync ends, half of the call's time after the bytes were handed over. A process
that is killed in between leaves them to the kernel, which syncs them all the same. A loss of power in between
keeps or loses them; torn, they are as lost, for lmdb then opens at the record before.
"""

import random
from collections.abc import Callable

from rowanshift.controlplane.store import DamagedRecord, StoreClosed, StoreWriteFailed

TAKES = 0.002  # seconds for a write with its sync, half of it before the bytes are handed over
KEPT = 0.4  # probability that what was not synced outlasts a loss of power all the same


class VirtualDisk:
    """What its stores have in common: troubles, and times in seconds by the network's clock. Its machine waits for it
    in ``Machine.in_thread``."""

    def __init__(self, now: Callable[[], float], random_source: random.Random, takes: float = TAKES) -> None:
        self.now, self.random_source, self.takes = now, random_source, takes
        self.stores: dict[str, VirtualStore] = {}
        # troubles
        self.slowed = 1.0  # factor of its times
        self.hung_until = 0.0
        self.refuses = False

    def store(self, name: str) -> "VirtualStore":
        """The store in a directory; there is one from the first question on."""
        if name not in self.stores:
            self.stores[name] = VirtualStore(self)
        return self.stores[name]

    # what the machine asks --------------------------------

    def delay(self) -> float:
        """Seconds that half of a call takes, a hang aside."""
        return self.takes / 2 * self.slowed

    # troubles ---------------------------------------------

    def power_loss(self) -> None:
        for store in self.stores.values():
            store.power_loss()

    def lose(self) -> None:
        """What it held is gone; another disk takes its place, empty and well."""
        for store in self.stores.values():
            store.lose()
        self.slowed, self.hung_until, self.refuses = 1.0, 0.0, False

    def spoil(self) -> None:
        """One copy in each store can't be read any more; nobody knows whether it was the newer one."""
        for store in self.stores.values():
            store.spoil()

    def slow(self, factor: float) -> None:
        self.slowed = factor

    def hang(self, seconds: float) -> None:
        self.hung_until = max(self.hung_until, self.now() + seconds)

    def refuse(self, refuses: bool = True) -> None:
        self.refuses = refuses


class VirtualStore:
    """One record on a disk."""

    def __init__(self, disk: VirtualDisk) -> None:
        self.disk = disk
        self.synced: bytes | None = None  # the record that outlasts everything but the disk
        self.unsynced: list[tuple[float, bytes]] = []  # when each will be synced, and the record
        self.usable = False  # between open and close
        self.damage = ""  # as of the last read
        self.spoilt = False

    # what a store does ------------------------------------

    def open(self) -> None:
        if self.disk.refuses and self._newest() is None:
            raise StoreWriteFailed("the disk refuses the directory")
        self.usable = True

    def read(self) -> bytes | None:
        self._check()
        self.damage = "copy-0: the checksum differs" if self.spoilt else ""
        if self.spoilt and self._newest() is None:
            raise DamagedRecord(self.damage)
        return self._newest()

    def write(self, record: bytes) -> None:
        """Hands a record over; the caller waits for the disk's ``delay`` before and after it."""
        self._check()
        if self.disk.refuses:
            raise StoreWriteFailed("the disk refuses to write")
        self._sync()
        synced_at = max(self.disk.now(), self.disk.hung_until) + self.disk.delay()
        self.unsynced.append((synced_at, bytes(record)))
        self.spoilt = False

    def close(self) -> None:
        self.usable = False

    def _check(self) -> None:
        if not self.usable:
            raise StoreClosed("it isn't open")

    def _newest(self) -> bytes | None:
        return self.unsynced[-1][1] if self.unsynced else self.synced

    def _sync(self) -> None:
        while self.unsynced and self.unsynced[0][0] <= self.disk.now() + 1e-9:
            self.synced = self.unsynced.pop(0)[1]

    # troubles ---------------------------------------------

    def power_loss(self) -> None:
        self._sync()
        self.usable = False
        for _, record in self.unsynced:
            if self.disk.random_source.random() < KEPT:
                self.synced = record
        self.unsynced.clear()

    def lose(self) -> None:
        self.synced, self.spoilt, self.usable = None, False, False
        self.unsynced.clear()

    def spoil(self) -> None:
        self._sync()
        self.spoilt = True
