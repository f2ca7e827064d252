"""The history of applied orders: an order that is sent again is acknowledged again and never refused.

An entry is ``ORDER_ENTRY``: the order's revision and a fingerprint of its complete content. All entries stand in one
bytes object, oldest first, which is how they are stored and sent, so that a change of the control state costs no work
for each of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

from rowanshift.controlplane.errors import OrderTooOld

ORDER_ENTRY = Struct(">Q16s")  # revision, fingerprint
FINGERPRINT_BYTES = 16  # of a SHA-256: two contents alike in these would take 2**64 orders to find
MAX_REMEMBERED_ORDERS = 20_000  # two days of 9,600 changes each, and some; 480 KB


@dataclass(frozen=True, slots=True)
class OrderHistory:
    """The newest ``MAX_REMEMBERED_ORDERS`` orders, packed in ``entries``.

    ``highest_dropped`` is the highest revision that was dropped for room, 0 if none was.
    """

    entries: bytes = b""
    highest_dropped: int = 0

    def __len__(self) -> int:
        return len(self.entries) // ORDER_ENTRY.size

    def revisions(self) -> list[int]:
        """The revisions of all remembered orders, oldest first."""
        return [revision for revision, _ in ORDER_ENTRY.iter_unpack(self.entries)]

    def contains(self, digest: bytes) -> bool:
        """Whether an order with this digest (32 bytes, SHA-256) is remembered as applied."""
        fingerprint = digest[:FINGERPRINT_BYTES]
        fingerprint_offset = ORDER_ENTRY.size - FINGERPRINT_BYTES
        found_at = self.entries.find(fingerprint)
        while found_at >= 0 and found_at % ORDER_ENTRY.size != fingerprint_offset:
            found_at = self.entries.find(fingerprint, found_at + 1)
        return found_at >= 0

    def with_order(self, revision: int, digest: bytes) -> OrderHistory:
        """The history with one more order, and without the oldest where it is full."""
        entries, highest_dropped = self.entries, self.highest_dropped
        while len(entries) >= MAX_REMEMBERED_ORDERS * ORDER_ENTRY.size:
            highest_dropped = max(highest_dropped, ORDER_ENTRY.unpack_from(entries)[0])
            entries = entries[ORDER_ENTRY.size :]
        entry = ORDER_ENTRY.pack(revision, digest[:FINGERPRINT_BYTES])
        return OrderHistory(entries + entry, highest_dropped)

    def check_not_dropped(self, revision: int) -> None:
        """Raise ``OrderTooOld`` where an order of this revision may have been applied and dropped since."""
        if revision <= self.highest_dropped:
            raise OrderTooOld(revision, self.highest_dropped)


EMPTY_ORDER_HISTORY = OrderHistory()
