"""The coordination state and its serialization for replication and for the disk. No I/O.

The layout is big-endian: ``HEADER`` (magic, format version, last fencing token, and the numbers of locks, number
sequences, groups, keys and history entries), then the records of each kind in this order, each record followed by
``RECORD_END``. Zero bytes stand for the empty state.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from struct import error as StructError
from typing import Any

from rowanshift.controlplane.coordination.history import PutHistory
from rowanshift.controlplane.coordination.records import (
    GROUP_LAYOUT,
    KEY_LAYOUT,
    LOCK_LAYOUT,
    NUMBER_LAYOUT,
    PUT_LAYOUT,
    GroupRecord,
    KeyRecord,
    LockRecord,
    NumberRecord,
)
from rowanshift.controlplane.coordination.tables import RECORD_END, PackedTable
from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.field_types import ByteReader, RecordLayout

MAGIC = b"RSCO"
FORMAT = 1
HEADER = Struct(">4sHQIIIII")


class BadCoordinationState(ValueError):
    """The bytes are not a valid coordination state; the text says why."""


class CoordinationState:
    """Locks, number sequences, keys with their groups, and the history of puts."""

    def __init__(self) -> None:
        self.last_token = 0
        self.locks: PackedTable[LockRecord] = PackedTable(LOCK_LAYOUT)
        self.numbers: PackedTable[NumberRecord] = PackedTable(NUMBER_LAYOUT)
        self.groups: PackedTable[GroupRecord] = PackedTable(GROUP_LAYOUT)
        self.keys: PackedTable[KeyRecord] = PackedTable(KEY_LAYOUT)
        self.history = PutHistory()

    @property
    def byte_size(self) -> int:
        """The size of the packed state."""
        tables = self.locks.byte_size + self.numbers.byte_size + self.groups.byte_size + self.keys.byte_size
        return HEADER.size + tables + self.history.byte_size

    def pack(self) -> bytes:
        """The state, serialized."""
        parts = (self.locks, self.numbers, self.groups, self.keys, self.history)
        counts = [len(self.locks), len(self.numbers), len(self.groups), len(self.keys), len(self.history)]
        header = HEADER.pack(MAGIC, FORMAT, self.last_token, *counts)
        return b"".join([header, *(part.pack() for part in parts)])


def unpack(packed: bytes, now: float) -> CoordinationState:
    """Deserialize a state. Its history counts as recorded at ``now``. Raises ``BadCoordinationState``."""
    state = CoordinationState()
    if not packed:
        return state
    try:
        magic, version, state.last_token, *counts = HEADER.unpack_from(packed)
        if magic != MAGIC or version != FORMAT:
            raise BadCoordinationState(f"magic {MAGIC!r} and format {FORMAT} expected, not {magic!r} and {version}")
        reader = ByteReader(packed, HEADER.size)
        _read_parts(state, reader, counts, now)
    except (StructError, MalformedRecord, UnicodeDecodeError) as error:
        raise BadCoordinationState(f"malformed state of {len(packed)} bytes: {error}") from error
    if reader.offset != len(packed):
        raise BadCoordinationState(f"{len(packed) - reader.offset} bytes after the last record")
    return state


def _read_parts(state: CoordinationState, reader: ByteReader, counts: list[int], now: float) -> None:
    lock_count, number_count, group_count, key_count, put_count = counts
    for record in _records(reader, LOCK_LAYOUT, lock_count):
        state.locks.put(record)
    for record in _records(reader, NUMBER_LAYOUT, number_count):
        state.numbers.put(record)
    for record in _records(reader, GROUP_LAYOUT, group_count):
        state.groups.put(record)
    for record in _records(reader, KEY_LAYOUT, key_count):
        state.keys.put(record)
    for record in _records(reader, PUT_LAYOUT, put_count):
        state.history.add(record, now)


def _records(reader: ByteReader, layout: RecordLayout, count: int) -> Iterator[Any]:
    for _ in range(count):
        yield layout.decode(reader)
        if reader.read(len(RECORD_END)) != RECORD_END:
            raise MalformedRecord(f"{layout.record_type.__name__}: end marker {RECORD_END!r} is missing")
