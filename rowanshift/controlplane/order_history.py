"""The orders that were taken, so that one that comes again is acknowledged again and never refused.

An entry is ``ENTRY``: the order's revision and a fingerprint of its whole content. Entries stand in one bytes object,
oldest first, which is how they are stored and sent, so that a change of the state costs no work for each of them.
"""

from dataclasses import dataclass
from struct import Struct

ENTRY = Struct(">Q16s")  # revision, fingerprint
FINGERPRINT = 16  # bytes of a SHA-256: two contents alike in these would take 2**64 orders to find
MOST_ORDERS = 20_000  # two days of 9,600 changes each, and some; 480 KB


class OrderTooOld(ValueError):
    """An order older than what is remembered: nobody knows any more whether it was taken, so it isn't refused."""

    def __init__(self, revision: int, forgotten: int) -> None:
        super().__init__(f"revision {revision}: orders up to revision {forgotten} are no longer remembered")
        self.revision, self.forgotten = revision, forgotten


@dataclass(frozen=True, slots=True)
class OrderHistory:
    """``entries`` of the newest ``MOST_ORDERS`` orders; ``forgotten``: the highest revision dropped, 0 if none was."""

    entries: bytes = b""
    forgotten: int = 0

    def __len__(self) -> int:
        return len(self.entries) // ENTRY.size

    def revisions(self) -> list[int]:
        """The revisions of all remembered orders, oldest first."""
        return [revision for revision, _ in ENTRY.iter_unpack(self.entries)]

    def holds(self, digest: bytes) -> bool:
        """Whether an order with this digest (32 bytes, SHA-256) is remembered as taken."""
        wanted, offset = digest[:FINGERPRINT], ENTRY.size - FINGERPRINT
        at = self.entries.find(wanted)
        while at >= 0 and at % ENTRY.size != offset:
            at = self.entries.find(wanted, at + 1)
        return at >= 0

    def added(self, revision: int, digest: bytes) -> "OrderHistory":
        """The history with one more order, without the oldest where it is full."""
        entries, forgotten = self.entries, self.forgotten
        while len(entries) >= MOST_ORDERS * ENTRY.size:
            forgotten = max(forgotten, ENTRY.unpack_from(entries)[0])
            entries = entries[ENTRY.size :]
        return OrderHistory(entries + ENTRY.pack(revision, digest[:FINGERPRINT]), forgotten)

    def check_remembered(self, revision: int) -> None:
        """Raise ``OrderTooOld`` where an order of this revision may have been taken and forgotten."""
        if revision <= self.forgotten:
            raise OrderTooOld(revision, self.forgotten)


NO_ORDERS = OrderHistory()
