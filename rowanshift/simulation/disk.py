"""The disk of a simulated machine. Each of its stores holds one record, as ``controlplane/store.py`` does.

A write is durable when its sync ends, half of the call's duration after the bytes were handed over. If the process
is killed in between, the kernel still syncs them. If power is lost in between, the write survives or is lost at
random; a torn write counts as lost, because lmdb then opens at the previous record.
"""

import random
from collections.abc import Callable

from rowanshift.controlplane.store import DamagedRecord, StoreClosed, StoreWriteFailed

WRITE_SECONDS = 0.002  # a write including its sync; half of it passes before the bytes are handed over
UNSYNCED_SURVIVAL_PROBABILITY = 0.4  # that an unsynced write survives a loss of power


class VirtualDisk:
    """The state that all stores of one disk share: injected faults and latencies, in seconds of the virtual clock.

    The machine waits for the disk in ``Machine.in_thread``.
    """

    def __init__(
        self, now: Callable[[], float], random_source: random.Random, write_seconds: float = WRITE_SECONDS
    ) -> None:
        self.now, self.random_source, self.write_seconds = now, random_source, write_seconds
        self.stores: dict[str, VirtualStore] = {}
        # injected faults
        self.slowdown = 1.0  # factor of all latencies
        self.hung_until = 0.0
        self.refuses_writes = False

    def store(self, name: str) -> "VirtualStore":
        """Return the store in a directory, which is created on first use."""
        if name not in self.stores:
            self.stores[name] = VirtualStore(self)
        return self.stores[name]

    # called by the machine --------------------------------

    def delay(self) -> float:
        """Return the seconds that half of a call takes, without hangs."""
        return self.write_seconds / 2 * self.slowdown

    # injected faults --------------------------------------

    def power_loss(self) -> None:
        for store in self.stores.values():
            store.power_loss()

    def replace_with_empty(self) -> None:
        """Lose all records: the disk is replaced with an empty one without faults."""
        for store in self.stores.values():
            store.replace_with_empty()
        self.slowdown, self.hung_until, self.refuses_writes = 1.0, 0.0, False

    def damage_copy(self) -> None:
        """Make one copy in each store unreadable. It is unknown whether that was the newer copy."""
        for store in self.stores.values():
            store.damage_copy()

    def slow(self, factor: float) -> None:
        self.slowdown = factor

    def hang(self, seconds: float) -> None:
        self.hung_until = max(self.hung_until, self.now() + seconds)

    def refuse_writes(self, refuses_writes: bool = True) -> None:
        self.refuses_writes = refuses_writes


class VirtualStore:
    """A store with one record, with the interface of ``controlplane/store.py``."""

    def __init__(self, disk: VirtualDisk) -> None:
        self.disk = disk
        self.synced: bytes | None = None  # the record that survives everything but the loss of the disk
        self.unsynced: list[tuple[float, bytes]] = []  # the time at which each write will be synced, and its record
        self.is_open = False
        self.damage = ""  # found by the last read
        self.one_copy_damaged = False

    # store interface --------------------------------------

    def open(self) -> None:
        if self.disk.refuses_writes and self._newest() is None:
            raise StoreWriteFailed("cannot create the store: the simulated disk refuses writes")
        self.is_open = True

    def read(self) -> bytes | None:
        self._check_open()
        self.damage = "copy-0: checksum mismatch" if self.one_copy_damaged else ""
        if self.one_copy_damaged and self._newest() is None:
            raise DamagedRecord(self.damage)
        return self._newest()

    def write(self, record: bytes) -> None:
        """Hand a record over. The caller waits for the disk's ``delay`` before and after this call."""
        self._check_open()
        if self.disk.refuses_writes:
            raise StoreWriteFailed("cannot write the record: the simulated disk refuses writes")
        self._sync_finished_writes()
        synced_at = max(self.disk.now(), self.disk.hung_until) + self.disk.delay()
        self.unsynced.append((synced_at, bytes(record)))
        self.one_copy_damaged = False

    def close(self) -> None:
        self.is_open = False

    def _check_open(self) -> None:
        if not self.is_open:
            raise StoreClosed("the store is not open")

    def _newest(self) -> bytes | None:
        return self.unsynced[-1][1] if self.unsynced else self.synced

    def _sync_finished_writes(self) -> None:
        while self.unsynced and self.unsynced[0][0] <= self.disk.now() + 1e-9:
            self.synced = self.unsynced.pop(0)[1]

    # injected faults --------------------------------------

    def power_loss(self) -> None:
        self._sync_finished_writes()
        self.is_open = False
        for _, record in self.unsynced:
            if self.disk.random_source.random() < UNSYNCED_SURVIVAL_PROBABILITY:
                self.synced = record
        self.unsynced.clear()

    def replace_with_empty(self) -> None:
        self.synced, self.one_copy_damaged, self.is_open = None, False, False
        self.unsynced.clear()

    def damage_copy(self) -> None:
        self._sync_finished_writes()
        self.one_copy_damaged = True
