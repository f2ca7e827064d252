"""The holdings of all stores, with a history of changes for incremental updates of routers. No I/O."""

from collections import deque
from itertools import chain, islice, repeat

import msgspec

MAX_CHANGES = 4096  # history size; routers that are further behind get the complete holdings


class HoldingsChange(msgspec.Struct, frozen=True):
    """A block that was stored or removed."""

    serial: int  # of the update that contained the change
    block_hash: int
    is_stored: bool


class HoldingsUpdate(msgspec.Struct, frozen=True):
    """The hashes stored and removed since a router's serial number, or all hashes if ``is_complete``."""

    is_complete: bool
    stored: list[int]
    removed: list[int]


class PrefixHoldings(msgspec.Struct):
    """The hashes of all blocks in stores, the serial number of this set, and its latest changes."""

    serial: int = 1  # incremented by each update that changes the set
    block_hashes: set[int] = msgspec.field(default_factory=set)
    changes: deque[HoldingsChange] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_CHANGES))

    def update(self, block_hashes: set[int]) -> bool:
        """Replaces the set of hashes. Returns whether it has changed."""
        if block_hashes == self.block_hashes:
            return False
        self.serial += 1
        stored, removed = block_hashes - self.block_hashes, self.block_hashes - block_hashes
        changed = chain(zip(stored, repeat(True)), zip(removed, repeat(False)))
        excess = max(0, len(stored) + len(removed) - MAX_CHANGES)  # changes that the history would drop immediately
        self.changes.extend(
            HoldingsChange(self.serial, block_hash, is_stored)
            for block_hash, is_stored in islice(changed, excess, None)
        )
        self.block_hashes = block_hashes
        return True

    def since(self, serial: int) -> HoldingsUpdate:
        """The update for a router with the holdings of this serial number, 0 if it has none."""
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
        """Whether the history contains every change after a serial number."""
        oldest = self.changes[0].serial if self.changes else self.serial + 1
        if not serial or serial > self.serial or (serial < self.serial and serial + 1 < oldest):
            return False
        # in a full history, the changes of the oldest serial number may be incomplete
        return not (serial + 1 == oldest and len(self.changes) == MAX_CHANGES)
