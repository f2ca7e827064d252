"""The disk of a core machine: one record, kept in lmdb in two slots that are written in turn.

A write replaces the older slot in one synced transaction, so that the newer one stays intact whatever becomes of the
write. A slot is a header, ``HEADER``, which stays the same in every format, and a body: the slot's generation, which
rises by one with each write, and the record. The header's checksum covers the format, the length and the body, so that
a damaged slot is not mistaken for one of a newer format.

All calls block; callers run them in a thread. lmdb trusts its own pages: damage to those, other than a file cut short,
is not found here.
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

# The store was once called the ledger. Its directory keeps that name, so that a machine finds the data of programs
# before the renaming, and they find its data after a return to them.
STORE_DIRECTORY = "ledger"
COORDINATION_DIRECTORY = "coordination"  # of the store with the coordination state
DATA_FILE = "data.mdb"  # lmdb's own name

MAGIC = b"RSLG"
FORMAT = 1
HEADER = Struct(">4sHII")  # magic, format, checksum, length of the body
CHECKSUMMED_FIELDS = Struct(">HI")  # of the header: format, length
GENERATION = Struct(">Q")
SLOT_KEYS = (b"copy-0", b"copy-1")  # as they are on disk
CORRUPTION_ERRORS = (lmdb.InvalidError, lmdb.VersionMismatchError, lmdb.CorruptedError, lmdb.PageNotFoundError)


class StoreError(ControlPlaneError):
    """Base class of the store's errors; the text says what failed and where."""


class NewerFormat(StoreError):
    """A newer program wrote this; it is left as it is. Start that program, or a newer one."""

    def __init__(self, found: int) -> None:
        super().__init__(f"the record has format {found}, this program knows {FORMAT}")
        self.found = found


class DamagedRecord(StoreError):
    """Something is stored, and no slot of it is intact. The machine recovers its state from the others."""


class StoreWriteFailed(StoreError):
    """The disk refused a write: the record may or may not be stored. The next write may succeed."""


class StoreReadFailed(StoreError):
    """What is stored can't be read now; nothing says that it is damaged. Try again."""


class StoreClosed(StoreError):
    """A call on a store that isn't open."""


@dataclass(frozen=True, slots=True)
class Slot:
    """One of the two slots as read from disk. ``damage`` says what is wrong with it, empty for an intact one."""

    key: bytes
    format: int = 0
    generation: int = 0
    record: bytes = b""
    damage: str = ""


def checksum(format_number: int, body: bytes) -> int:
    """The checksum of a slot with this body."""
    return crc32(body, crc32(CHECKSUMMED_FIELDS.pack(format_number, len(body))))


def encode_slot(generation: int, record: bytes) -> bytes:
    """A slot's bytes as they are stored."""
    body = GENERATION.pack(generation) + record
    return HEADER.pack(MAGIC, FORMAT, checksum(FORMAT, body), len(body)) + body


def decode_slot(key: bytes, stored: bytes) -> Slot:
    """The slot in stored bytes; what is wrong with it is in its ``damage``."""
    if len(stored) < HEADER.size:
        return Slot(key, damage=f"{len(stored)} bytes, shorter than its header")
    magic, version, expected_checksum, length = HEADER.unpack_from(stored)
    body = stored[HEADER.size :]
    if magic != MAGIC:
        return Slot(key, damage="another magic number")
    if len(body) != length:
        return Slot(key, version, damage=f"{len(body)} bytes after the header, {length} expected")
    if checksum(version, body) != expected_checksum:
        return Slot(key, version, damage="the checksum differs")
    if version > FORMAT:
        return Slot(key, version)
    if version < FORMAT or length < GENERATION.size:
        return Slot(key, version, damage="a format that never was")
    (generation,) = GENERATION.unpack_from(body)
    return Slot(key, version, generation, record=body[GENERATION.size :])


def check_file_size(environment: Any, path: Path) -> None:
    """Raise ``DamagedRecord`` if the data file is cut short: reading past its end would end the process."""
    expected = (environment.info()["last_pgno"] + 1) * environment.stat()["psize"]
    size = (path / DATA_FILE).stat().st_size
    if size < expected:
        raise DamagedRecord(f"{path / DATA_FILE} is cut short: {size} bytes of {expected}")


def read_slots(environment: Any) -> list[Slot]:
    """The slots that an open lmdb environment holds, none to two. May raise ``lmdb.Error``."""
    with environment.begin() as transaction:
        found = [(key, transaction.get(key)) for key in SLOT_KEYS]
    return [decode_slot(key, bytes(stored)) for key, stored in found if stored is not None]


def describe_damage(slots: list[Slot]) -> str:
    """What is wrong with the slots, empty if nothing is."""
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
    """The directories that must be synced for a file in ``path`` to last: ``path``, its parent, absent ones above.

    A file's name is safe only once its directory was synced after it was made. Who made it, in which incarnation of
    the process, and whether it was synced then can't be seen, so that these are synced at each opening.
    """
    directories = [path, path.parent]
    while not directories[-1].exists():
        directories.append(directories[-1].parent)
    return directories


def sync_directory(path: Path) -> None:
    """Sync a directory, so that the names in it outlast a loss of power."""
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class Store:
    """One record on disk, in the directory ``path``, which ``open`` makes where it is absent.

    ``map_size_mib`` bounds the file, in MiB; it must hold three records. ``open_lmdb`` is replaced by tests.
    """

    def __init__(self, path: str | Path, map_size_mib: int = 64, open_lmdb: Callable[..., Any] = lmdb.open) -> None:
        self.path = Path(path)
        self.map_size_mib = map_size_mib
        self.open_lmdb = open_lmdb
        self.lock = Lock()
        self.environment: Any = None  # lmdb's; None also after a failed write, until the next call
        self.is_open = False
        self.key = SLOT_KEYS[1]  # of the newest slot
        self.generation = 0
        self.damage = ""  # of the slots found by the last read; see there

    def open(self) -> None:
        """Open the store, and make its directory.

        Raises ``NewerFormat``, ``DamagedRecord`` (the file itself is damaged; a damaged record is found by
        ``read``), and ``StoreWriteFailed`` where the directory or the file can't be made.
        """
        with self.lock:
            self.is_open = True
            try:
                self._ensure_environment()
            except BaseException:
                self.is_open = False
                raise

    def _ensure_environment(self) -> None:
        """Open lmdb's environment where it isn't open, and find the newest slot."""
        if not self.is_open:
            raise StoreClosed(f"{self.path} isn't open")
        if self.environment is not None:
            return
        try:
            self._open_environment()
        except CORRUPTION_ERRORS as error:
            self._close_environment()
            raise DamagedRecord(f"{self.path}: {error}") from error
        except (lmdb.Error, OSError) as error:
            self._close_environment()
            raise StoreWriteFailed(f"{self.path} can't be opened: {error}") from error
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
        with suppress(DamagedRecord):  # which ``read`` reports
            slot = newest_slot(read_slots(self.environment))
            if slot is not None:
                self.key, self.generation = slot.key, slot.generation

    def _close_environment(self) -> None:
        """Close lmdb's environment; the next call opens it again."""
        environment, self.environment = self.environment, None
        if environment is not None:
            environment.close()

    def read(self) -> bytes | None:
        """The record written last, ``None`` if there never was one.

        Raises ``DamagedRecord`` if no slot is intact, ``NewerFormat``, and ``StoreReadFailed``. A write after
        ``DamagedRecord`` starts the record anew. ``damage`` then says which slots are damaged, empty if none is. No
        loss of power leaves a damaged slot: it was intact once and may have been the newer one, so that what was
        read may be older than what was stored last.
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
        """Store ``record`` in place of the one before; it is on disk when this returns.

        Raises ``StoreWriteFailed``: the disk then holds this record or the one before, and the next call
        opens the file again to see which.
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
        """Close the store; closing a closed one does nothing."""
        with self.lock:
            self.is_open = False
            self._close_environment()
