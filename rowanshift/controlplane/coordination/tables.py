"""Tables of named records that cache each record's packed bytes. No I/O.

With the cache, packing a state encodes only the records that have changed. Each record ends with ``RECORD_END``, at
which ``rowanshift.wire.delta`` splits a state into blocks, so that a delta contains only the records that differ.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from rowanshift.wire.field_types import RecordLayout

RECORD_END = b"},"


class NamedRecord(Protocol):
    """A record whose name is unique in its table."""

    @property
    def name(self) -> str:
        """The key of the record in its table."""


Record = TypeVar("Record", bound=NamedRecord)


class PackedTable(Generic[Record]):
    """Records by name, in the order in which the names were first put."""

    def __init__(self, layout: RecordLayout) -> None:
        self.layout = layout
        self.byte_size = 0  # total size of the packed records
        self._records: dict[str, Record] = {}
        self._packed: dict[str, bytes] = {}

    def __len__(self) -> int:
        """The number of records."""
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        """Iterate over the records."""
        return iter(self._records.values())

    def get(self, name: str) -> Record | None:
        """The record with this name; None if there is none."""
        return self._records.get(name)

    def put(self, record: Record) -> None:
        """Add a record, or replace the one with the same name."""
        packed = self.layout.encode(record) + RECORD_END
        self.byte_size += len(packed) - len(self._packed.get(record.name, b""))
        self._records[record.name] = record
        self._packed[record.name] = packed

    def remove(self, name: str) -> None:
        """Remove the record with this name, if there is one."""
        if self._records.pop(name, None) is not None:
            self.byte_size -= len(self._packed.pop(name))

    def pack(self) -> bytes:
        """The packed records, concatenated."""
        return b"".join(self._packed.values())
