"""The history of applied orders, which makes orders idempotent: a repeated order is acknowledged and not applied again.

An order is an operator's change of the configuration: a complete configuration or a patch. ``ORDER_ENTRY`` holds its
revision and a fingerprint of its complete content. All entries are concatenated in one bytes object, oldest first, in
the format in which they are stored and sent, so a change of the control state does not process them one by one.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

from rowanshift.controlplane.errors import OrderTooOld

ORDER_ENTRY = Struct(">Q16s")  # revision, fingerprint
FINGERPRINT_BYTES = 16  # prefix of a SHA-256 digest; a collision is expected only after 2**64 orders
MAX_REMEMBERED_ORDERS = 20_000  # over two days at 9,600 changes per day; 480 KB


@dataclass(frozen=True, slots=True)
class OrderHistory:
    """The newest ``MAX_REMEMBERED_ORDERS`` orders, packed in ``entries``.

    ``highest_dropped`` is the highest revision that was dropped to make room, or 0 if none was.
    """

    entries: bytes = b""
    highest_dropped: int = 0

    def __len__(self) -> int:
        return len(self.entries) // ORDER_ENTRY.size

    def revisions(self) -> list[int]:
        """Return the revisions of all remembered orders, oldest first."""
        return [revision for revision, _ in ORDER_ENTRY.iter_unpack(self.entries)]

    def contains(self, digest: bytes) -> bool:
        """Return whether the history contains an order with this SHA-256 digest (32 bytes)."""
        fingerprint = digest[:FINGERPRINT_BYTES]
        fingerprint_offset = ORDER_ENTRY.size - FINGERPRINT_BYTES
        found_at = self.entries.find(fingerprint)
        while found_at >= 0 and found_at % ORDER_ENTRY.size != fingerprint_offset:
            found_at = self.entries.find(fingerprint, found_at + 1)
        return found_at >= 0

    def with_order(self, revision: int, digest: bytes) -> OrderHistory:
        """Return the history with one more order, dropping the oldest one if the history is full."""
        entries, highest_dropped = self.entries, self.highest_dropped
        while len(entries) >= MAX_REMEMBERED_ORDERS * ORDER_ENTRY.size:
            highest_dropped = max(highest_dropped, ORDER_ENTRY.unpack_from(entries)[0])
            entries = entries[ORDER_ENTRY.size :]
        entry = ORDER_ENTRY.pack(revision, digest[:FINGERPRINT_BYTES])
        return OrderHistory(entries + entry, highest_dropped)

    def check_not_dropped(self, revision: int) -> None:
        """Raise ``OrderTooOld`` if an order with this revision may have been applied and dropped since."""
        if revision <= self.highest_dropped:
            raise OrderTooOld(revision, self.highest_dropped)


EMPTY_ORDER_HISTORY = OrderHistory()
