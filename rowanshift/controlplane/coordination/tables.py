"""Tables of named records that are kept with their bytes, so that packing a state costs what has changed. No I/O.

Each record ends with ``RECORD_END``, where ``rowanshift.wire.delta`` cuts a state into blocks: the difference between
two states is then the records that differ.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from rowanshift.wire.field_types import RecordLayout

RECORD_END = b"},"


class NamedRecord(Protocol):
    """A record with a name, which is unique in its table."""

    @property
    def name(self) -> str:
        """The record's name."""


Record = TypeVar("Record", bound=NamedRecord)


class PackedTable(Generic[Record]):
    """Records by their names, in the order in which the names came."""

    def __init__(self, layout: RecordLayout) -> None:
        self.layout = layout
        self.byte_size = 0  # of all records as they are packed
        self._records: dict[str, Record] = {}
        self._packed: dict[str, bytes] = {}

    def __len__(self) -> int:
        """How many records there are."""
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        """The records."""
        return iter(self._records.values())

    def get(self, name: str) -> Record | None:
        """The record of this name."""
        return self._records.get(name)

    def put(self, record: Record) -> None:
        """Set the record of a name."""
        packed = self.layout.encode(record) + RECORD_END
        self.byte_size += len(packed) - len(self._packed.get(record.name, b""))
        self._records[record.name] = record
        self._packed[record.name] = packed

    def remove(self, name: str) -> None:
        """Remove the record of a name, if there is one."""
        if self._records.pop(name, None) is not None:
            self.byte_size -= len(self._packed.pop(name))

    def pack(self) -> bytes:
        """All records as bytes."""
        return b"".join(self._packed.values())
