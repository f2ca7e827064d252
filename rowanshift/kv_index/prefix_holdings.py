"""What all stores hold, with a history of changes for routers that have an earlier state of it. No I/O."""

from collections import deque
from itertools import chain, islice, repeat

import msgspec

MAX_CHANGES = 4096  # in the history; a router that lacks more gets the complete holdings


class HoldingsChange(msgspec.Struct, frozen=True):
    """One block that was stored or removed."""

    serial: int  # of the update that it came by
    block_hash: int
    is_stored: bool


class HoldingsUpdate(msgspec.Struct, frozen=True):
    """What a router lacks: the hashes that were stored and removed since, or all that are stored."""

    is_complete: bool
    stored: list[int]
    removed: list[int]


class PrefixHoldings(msgspec.Struct):
    """The hashes of all blocks that stores hold, their serial number, and the latest changes."""

    serial: int = 1  # counts the updates that changed something
    block_hashes: set[int] = msgspec.field(default_factory=set)
    changes: deque[HoldingsChange] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_CHANGES))

    def update(self, block_hashes: set[int]) -> bool:
        """Replaces the hashes by those held now; whether that changed anything."""
        if block_hashes == self.block_hashes:
            return False
        self.serial += 1
        stored, removed = block_hashes - self.block_hashes, self.block_hashes - block_hashes
        changed = chain(zip(stored, repeat(True)), zip(removed, repeat(False)))
        surplus = max(0, len(stored) + len(removed) - MAX_CHANGES)  # which the history would drop at once
        self.changes.extend(
            HoldingsChange(self.serial, block_hash, is_stored)
            for block_hash, is_stored in islice(changed, surplus, None)
        )
        self.block_hashes = block_hashes
        return True

    def since(self, serial: int) -> HoldingsUpdate:
        """What a router lacks that has the holdings of this serial number; 0: it has none."""
        if not self._has_history_since(serial):
            return HoldingsUpdate(True, sorted(self.block_hashes), [])
        net: dict[int, bool] = {}
        for change in self.changes:
            if change.serial > serial:
                net[change.block_hash] = change.is_stored
        stored = [block_hash for block_hash, is_stored in net.items() if is_stored]
        removed = [block_hash for block_hash, is_stored in net.items() if not is_stored]
        return HoldingsUpdate(False, stored, removed)

    def _has_history_since(self, serial: int) -> bool:
        """Whether the history holds every change after a serial number."""
        oldest = self.changes[0].serial if self.changes else self.serial + 1
        if not serial or serial > self.serial or (serial < self.serial and serial + 1 < oldest):
            return False
        # in a full history the changes of the oldest serial number may be cut
        return not (serial + 1 == oldest and len(self.changes) == MAX_CHANGES)
