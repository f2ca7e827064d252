"""The persistent store of a core machine: one record in lmdb, written alternately to two slots.

A write replaces the older slot in one synced transaction, so that the newer slot stays intact even if the write fails.
A slot consists of a header, ``HEADER``, which is the same in all formats, and a body: the slot's generation, which
increases by one with each write, and the record. The header's checksum covers the format, the length and the body, so
that a damaged slot is not mistaken for one of a newer format.

All calls block; callers run them in a thread. lmdb does not verify its own pages: damage to them is not detected here,
except that the file is truncated.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from struct import Struct
from threading import Lock
from typing import Any
from zlib import crc32

import lmdb

from rowanshift.controlplane.errors import ControlPlaneError

# The store was formerly called the ledger. The directory keeps that name so that upgrades and downgrades across the
# renaming find the data of the other program.
STORE_DIRECTORY = "ledger"
COORDINATION_DIRECTORY = "coordination"  # directory of the store with the coordination state
DATA_FILE = "data.mdb"  # name chosen by lmdb

MAGIC = b"RSLG"
FORMAT = 1
HEADER = Struct(">4sHII")  # magic, format, checksum, length of the body
CHECKSUMMED_FIELDS = Struct(">HI")  # fields of the header covered by the checksum: format, length
GENERATION = Struct(">Q")
SLOT_KEYS = (b"copy-0", b"copy-1")  # lmdb keys on disk
CORRUPTION_ERRORS = (lmdb.InvalidError, lmdb.VersionMismatchError, lmdb.CorruptedError, lmdb.PageNotFoundError)


class StoreError(ControlPlaneError):
    """Base class of the errors of the store."""


class NewerFormat(StoreError):
    """The record was written by a newer program and is left unchanged. Start that program or a newer one."""

    def __init__(self, found: int) -> None:
        super().__init__(f"the record has format {found}; this program supports formats up to {FORMAT}")
        self.found = found


class DamagedRecord(StoreError):
    """A record is stored, but no slot is intact. The machine recovers its state from the other core machines."""


class StoreWriteFailed(StoreError):
    """A write to disk failed: the record may or may not be stored. The next write may succeed."""


class StoreReadFailed(StoreError):
    """The record can't be read at the moment, without any sign of damage. The caller may retry."""


class StoreClosed(StoreError):
    """A call was made on a store that is not open."""


@dataclass(frozen=True, slots=True)
class Slot:
    """One of the two slots as read from disk. ``damage`` describes its damage and is empty for an intact slot."""

    key: bytes
    format: int = 0
    generation: int = 0
    record: bytes = b""
    damage: str = ""


def checksum(format_number: int, body: bytes) -> int:
    """The checksum of a slot with this format and body."""
    return crc32(body, crc32(CHECKSUMMED_FIELDS.pack(format_number, len(body))))


def encode_slot(generation: int, record: bytes) -> bytes:
    """Encode a slot for storage."""
    body = GENERATION.pack(generation) + record
    return HEADER.pack(MAGIC, FORMAT, checksum(FORMAT, body), len(body)) + body


def decode_slot(key: bytes, stored: bytes) -> Slot:
    """Decode a stored slot. Damage is reported in ``damage`` of the result."""
    if len(stored) < HEADER.size:
        return Slot(key, damage=f"{len(stored)} bytes, shorter than its header of {HEADER.size} bytes")
    magic, version, expected_checksum, length = HEADER.unpack_from(stored)
    body = stored[HEADER.size :]
    if magic != MAGIC:
        return Slot(key, damage=f"magic number {magic!r}, expected {MAGIC!r}")
    if len(body) != length:
        return Slot(key, version, damage=f"body of {len(body)} bytes, expected {length}")
    if checksum(version, body) != expected_checksum:
        return Slot(key, version, damage="checksum mismatch")
    if version > FORMAT:
        return Slot(key, version)
    if version < FORMAT or length < GENERATION.size:
        return Slot(key, version, damage=f"invalid format {version} or body length {length}")
    (generation,) = GENERATION.unpack_from(body)
    return Slot(key, version, generation, record=body[GENERATION.size :])


def check_file_size(environment: Any, path: Path) -> None:
    """Raise ``DamagedRecord`` if the data file is truncated: reading past its end would kill the process."""
    expected = (environment.info()["last_pgno"] + 1) * environment.stat()["psize"]
    size = (path / DATA_FILE).stat().st_size
    if size < expected:
        raise DamagedRecord(f"{path / DATA_FILE} is cut short: it has {size} bytes, expected {expected}")


def read_slots(environment: Any) -> list[Slot]:
    """The zero to two slots in an open lmdb environment. May raise ``lmdb.Error``."""
    with environment.begin() as transaction:
        found = [(key, transaction.get(key)) for key in SLOT_KEYS]
    return [decode_slot(key, bytes(stored)) for key, stored in found if stored is not None]


def describe_damage(slots: list[Slot]) -> str:
    """Describe the damage of the slots; empty if all are intact."""
    return "; ".join(f"{slot.key.decode()}: {slot.damage}" for slot in slots if slot.damage)


def newest_slot(slots: list[Slot]) -> Slot | None:
    """The newest intact slot, ``None`` if nothing is stored. Raises ``NewerFormat`` and ``DamagedRecord``."""
    intact = [slot for slot in slots if not slot.damage]
    for slot in intact:
        if slot.format > FORMAT:
            raise NewerFormat(slot.format)
    if slots and not intact:
        raise DamagedRecord(describe_damage(slots))
    return max(intact, key=lambda slot: slot.generation, default=None)


def directories_to_sync(path: Path) -> list[Path]:
    """The directories to sync to make a file in ``path`` durable: ``path``, its parent, parents of missing directories.

    A file's name is durable only once its directory has been synced after the file was created. Whether an earlier
    incarnation of the process created it and was killed before the sync can't be determined, so these directories are
    synced each time the store is opened.
    """
    directories = [path, path.parent]
    while not directories[-1].exists():
        directories.append(directories[-1].parent)
    return directories


def sync_directory(path: Path) -> None:
    """Sync a directory, so that the names in it survive a power loss."""
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class Store:
    """One record on disk, in the directory ``path``, which ``open`` creates if it is missing.

    ``map_size_mib`` limits the size of the file in MiB and must leave room for three records. Tests replace
    ``open_lmdb``.
    """

    def __init__(self, path: str | Path, map_size_mib: int = 64, open_lmdb: Callable[..., Any] = lmdb.open) -> None:
        self.path = Path(path)
        self.map_size_mib = map_size_mib
        self.open_lmdb = open_lmdb
        self.lock = Lock()
        self.environment: Any = None  # lmdb environment; None after a failed write until the next call
        self.is_open = False
        self.key = SLOT_KEYS[1]  # key of the newest slot
        self.generation = 0
        self.damage = ""  # damage found by the last ``read``

    def open(self) -> None:
        """Open the store, creating its directory if necessary.

        Raises ``NewerFormat``, ``DamagedRecord`` if the file itself is damaged (``read`` detects a damaged record),
        and ``StoreWriteFailed`` if the directory or the file can't be created.
        """
        with self.lock:
            self.is_open = True
            try:
                self._ensure_environment()
            except BaseException:
                self.is_open = False
                raise

    def _ensure_environment(self) -> None:
        """Open the lmdb environment unless it is open, and find the newest slot."""
        if not self.is_open:
            raise StoreClosed(f"the store in {self.path} is not open")
        if self.environment is not None:
            return
        try:
            self._open_environment()
        except CORRUPTION_ERRORS as error:
            self._close_environment()
            raise DamagedRecord(f"{self.path}: {error}") from error
        except (lmdb.Error, OSError) as error:
            self._close_environment()
            raise StoreWriteFailed(f"the store in {self.path} can't be opened: {error}") from error
        except BaseException:
            self._close_environment()
            raise

    def _open_environment(self) -> None:
        directories = directories_to_sync(self.path)
        self.path.mkdir(parents=True, exist_ok=True)
        self.environment = self.open_lmdb(
            str(self.path),
            map_size=self.map_size_mib << 20,
            max_dbs=0,
            lock=True,
            sync=True,
            metasync=True,
            writemap=False,
            map_async=False,
        )
        for directory in directories:
            sync_directory(directory)
        check_file_size(self.environment, self.path)
        self.key, self.generation = SLOT_KEYS[1], 0
        with suppress(DamagedRecord):  # reported by ``read``
            slot = newest_slot(read_slots(self.environment))
            if slot is not None:
                self.key, self.generation = slot.key, slot.generation

    def _close_environment(self) -> None:
        """Close the lmdb environment; the next call opens it again."""
        environment, self.environment = self.environment, None
        if environment is not None:
            environment.close()

    def read(self) -> bytes | None:
        """The last record written, ``None`` if none was ever written.

        Raises ``DamagedRecord`` if no slot is intact, ``NewerFormat``, and ``StoreReadFailed``. A write after
        ``DamagedRecord`` replaces the record. ``damage`` then describes the damaged slots and is empty if there are
        none. A power loss doesn't damage a slot, so a damaged slot was intact before and may have been the newer one:
        the record returned may be older than the last one written.
        """
        with self.lock:
            self._ensure_environment()
            try:
                slots = read_slots(self.environment)
            except CORRUPTION_ERRORS as error:
                raise DamagedRecord(f"{self.path}: {error}") from error
            except (lmdb.Error, OSError) as error:
                raise StoreReadFailed(f"{self.path}: {error}") from error
            self.damage = describe_damage(slots)
            slot = newest_slot(slots)
            return None if slot is None else slot.record

    def write(self, record: bytes) -> None:
        """Replace the stored record; the new one is on disk when this returns.

        Raises ``StoreWriteFailed``: the disk then holds either this record or the previous one, and the next call
        opens the file again to determine which.
        """
        with self.lock:
            self._ensure_environment()
            older_key = SLOT_KEYS[self.key == SLOT_KEYS[0]]
            generation = self.generation + 1
            transaction = None
            try:
                transaction = self.environment.begin(write=True)
                transaction.put(older_key, encode_slot(generation, record))
                transaction.commit()
            except (lmdb.Error, OSError) as error:
                if transaction is not None:
                    with suppress(lmdb.Error, OSError):
                        transaction.abort()
                self._close_environment()
                raise StoreWriteFailed(f"{self.path}: {error}") from error
            self.key, self.generation = older_key, generation

    def close(self) -> None:
        """Close the store; no effect if it is already closed."""
        with self.lock:
            self.is_open = False
            self._close_environment()
