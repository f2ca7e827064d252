"""Recent puts, kept to answer watches and to recognize repeated puts. No I/O; times are monotonic seconds."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from rowanshift.controlplane.coordination.calls import group_of
from rowanshift.controlplane.coordination.records import PUT_LAYOUT, PutRecord
from rowanshift.controlplane.coordination.tables import RECORD_END


@dataclass(frozen=True, slots=True)
class KeptPut:
    """A put in the history.

    ``recorded_at`` is when this machine applied the put or last unpacked a state that contains it.
    """

    record: PutRecord
    packed: bytes
    recorded_at: float


class PutHistory:
    """Puts of all groups, in the order in which they were applied."""

    def __init__(self) -> None:
        self.byte_size = 0  # total size of the packed puts
        self._puts: deque[KeptPut] = deque()
        self._by_group: dict[str, deque[PutRecord]] = {}
        self._revisions: dict[tuple[str, str], int] = {}  # keyed by (key, value)

    def __len__(self) -> int:
        """The number of puts in the history."""
        return len(self._puts)

    def add(self, record: PutRecord, now: float) -> None:
        """Append a put."""
        packed = PUT_LAYOUT.encode(record) + RECORD_END
        self.byte_size += len(packed)
        self._puts.append(KeptPut(record, packed, now))
        self._by_group.setdefault(group_of(record.key), deque()).append(record)
        self._revisions[record.key, record.value] = record.revision

    def revision_of(self, key: str, value: str) -> int | None:
        """The revision at which the key was set to the value; None if the history has no such put."""
        return self._revisions.get((key, value))

    def after(self, group: str, revision: int) -> list[PutRecord]:
        """The puts of a group after a revision, in order."""
        found: list[PutRecord] = []
        for record in reversed(self._by_group.get(group, ())):
            if record.revision <= revision:
                break
            found.append(record)
        found.reverse()
        return found

    def drop_before(self, time: float) -> Iterator[PutRecord]:
        """Remove the puts recorded before a time, and yield each of them."""
        while self._puts and self._puts[0].recorded_at < time:
            put = self._puts.popleft()
            self.byte_size -= len(put.packed)
            group = group_of(put.record.key)
            self._by_group[group].popleft()
            if not self._by_group[group]:
                del self._by_group[group]
            del self._revisions[put.record.key, put.record.value]
            yield put.record

    def pack(self) -> bytes:
        """The packed puts, concatenated."""
        return b"".join(put.packed for put in self._puts)
