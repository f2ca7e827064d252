"""The disk of a machine of the core: one whole record, kept in lmdb as two copies in turn.

A write replaces the older copy in one synced transaction, so that the newer one is whole whatever becomes of
the write. A copy is a header, ``HEADER``, which stays the same in every format, and a body: the copy's
generation, which rises by one with each write, and the record. The header's crc covers the format, the
length and the body, so that a damaged copy is not mistaken for one of a newer format.

All calls block; callers run them in a thread. lmdb trusts its own pages: damage to those, other than a file
cut short, is not found here.
"""

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

MAGIC = b"RSLG"
FORMAT = 1
HEADER = Struct(">4sHII")  # magic, format, crc, length of the body
COVERED = Struct(">HI")  # what the crc covers of the header: format, length
GENERATION = Struct(">Q")
KEYS = (b"copy-0", b"copy-1")
DATA_FILE = "data.mdb"
DAMAGE = (lmdb.InvalidError, lmdb.VersionMismatchError, lmdb.CorruptedError, lmdb.PageNotFoundError)


class StoreError(Exception):
    """The store can't do what was asked; the text says why."""


class NewerFormat(StoreError):
    """A newer program wrote this; it is left as it is."""

    def __init__(self, found: int) -> None:
        super().__init__(f"the record has format {found}, this program knows {FORMAT}")
        self.found = found


class DamagedRecord(StoreError):
    """Something is stored, and no copy of it is whole."""


class StoreWriteFailed(StoreError):
    """The disk refused a write: the record may or may not be stored."""


class StoreReadFailed(StoreError):
    """What is stored can't be read now; nothing says that it is damaged."""


class StoreClosed(StoreError):
    """The store isn't open."""


@dataclass(frozen=True, slots=True)
class Copy:
    """One of the two copies as found. ``damage`` is empty for a whole one."""

    key: bytes
    format: int = 0
    generation: int = 0
    record: bytes = b""
    damage: str = ""


def encoded(generation: int, record: bytes) -> bytes:
    """A copy as it is stored."""
    body = GENERATION.pack(generation) + record
    return HEADER.pack(MAGIC, FORMAT, crc32(body, crc32(COVERED.pack(FORMAT, len(body)))), len(body)) + body


def decoded(key: bytes, stored: bytes) -> Copy:
    """What a stored copy holds, or what is wrong with it."""
    if len(stored) < HEADER.size:
        return Copy(key, damage=f"{len(stored)} bytes, shorter than its header")
    magic, version, crc, length = HEADER.unpack_from(stored)
    body = stored[HEADER.size :]
    if magic != MAGIC:
        return Copy(key, damage="another magic number")
    if len(body) != length:
        return Copy(key, version, damage=f"{len(body)} bytes after the header, {length} expected")
    if crc32(body, crc32(COVERED.pack(version, length))) != crc:
        return Copy(key, version, damage="the checksum differs")
    if version > FORMAT:
        return Copy(key, version)
    if version < FORMAT or length < GENERATION.size:
        return Copy(key, version, damage="a format that never was")
    return Copy(key, version, *GENERATION.unpack_from(body), record=body[GENERATION.size :])


def check_size(env: Any, path: Path) -> None:
    """Raise ``DamagedRecord`` if the file is cut short: reading past its end would end the process."""
    wanted = (env.info()["last_pgno"] + 1) * env.stat()["psize"]
    size = (path / DATA_FILE).stat().st_size
    if size < wanted:
        raise DamagedRecord(f"{path / DATA_FILE} is cut short: {size} bytes of {wanted}")


def copies_in(env: Any) -> list[Copy]:
    """The copies that an open environment holds, none to two. May raise ``lmdb.Error``."""
    with env.begin() as txn:
        found = [(key, txn.get(key)) for key in KEYS]
    return [decoded(key, bytes(stored)) for key, stored in found if stored is not None]


def damage_of(copies: list[Copy]) -> str:
    """What is wrong with the copies, empty if nothing is."""
    return "; ".join(f"{copy.key.decode()}: {copy.damage}" for copy in copies if copy.damage)


def newest(copies: list[Copy]) -> Copy | None:
    """The newest whole copy, ``None`` if nothing is stored. Raises ``NewerFormat`` and ``DamagedRecord``."""
    whole = [copy for copy in copies if not copy.damage]
    for copy in whole:
        if copy.format > FORMAT:
            raise NewerFormat(copy.format)
    if copies and not whole:
        raise DamagedRecord(damage_of(copies))
    return max(whole, key=lambda copy: copy.generation, default=None)


def directories_to_sync(path: Path) -> list[Path]:
    """The directories whose names must last for a file in ``path`` to last: ``path``, its parent, absent ones above.

    A name is safe only once its directory was synced after it was made. Who made it, in which life of the process,
    and whether it was synced then can't be seen, so that these are synced at each opening.
    """
    directories = [path, path.parent]
    while not directories[-1].exists():
        directories.append(directories[-1].parent)
    return directories


def sync(path: Path) -> None:
    """Sync a directory, so that the names in it outlast a loss of power."""
    handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class Store:
    """One record on disk, in the directory ``path``, which ``open`` makes where it is absent.

    ``map_mb`` bounds the file, in MiB; it must hold three records. ``opened`` opens lmdb, for tests.
    """

    def __init__(self, path: str | Path, map_mb: int = 64, opened: Callable[..., Any] = lmdb.open) -> None:
        self.path = Path(path)
        self.map_mb = map_mb
        self.opened = opened
        self.lock = Lock()
        self.env: Any = None
        self.wanted = False  # between open and close, also while the environment is down after a failure
        self.key = KEYS[1]  # of the newest copy
        self.generation = 0
        self.damage = ""  # of the copies found by the last read; see there

    def open(self) -> None:
        """Open the store, and make its directory.

        Raises ``NewerFormat``, ``DamagedRecord`` (the file itself is damaged; a damaged record is told by
        ``read``), and ``StoreWriteFailed`` where the directory or the file can't be made.
        """
        with self.lock:
            self.wanted = True
            try:
                self.up()
            except BaseException:
                self.wanted = False
                raise

    def up(self) -> None:
        """The environment opened, and the newest copy known."""
        if not self.wanted:
            raise StoreClosed(f"{self.path} isn't open")
        if self.env is not None:
            return
        try:
            directories = directories_to_sync(self.path)
            self.path.mkdir(parents=True, exist_ok=True)
            self.env = self.opened(
                str(self.path),
                map_size=self.map_mb << 20,
                max_dbs=0,
                lock=True,
                sync=True,
                metasync=True,
                writemap=False,
                map_async=False,
            )
            for directory in directories:
                sync(directory)
            check_size(self.env, self.path)
            self.key, self.generation = KEYS[1], 0
            with suppress(DamagedRecord):
                copy = newest(copies_in(self.env))
                if copy is not None:
                    self.key, self.generation = copy.key, copy.generation
        except DAMAGE as error:
            self.down()
            raise DamagedRecord(f"{self.path}: {error}") from error
        except (lmdb.Error, OSError) as error:
            self.down()
            raise StoreWriteFailed(f"{self.path} can't be opened: {error}") from error
        except BaseException:
            self.down()
            raise

    def down(self) -> None:
        """Close the environment; the next call opens it anew."""
        env, self.env = self.env, None
        if env is not None:
            env.close()

    def read(self) -> bytes | None:
        """The record written last, ``None`` if there never was one.

        Raises ``DamagedRecord`` if no copy is whole, ``NewerFormat``, and ``StoreReadFailed``. A write after
        ``DamagedRecord`` starts the record anew. ``damage`` then tells which copies are damaged, empty if
        none is. No loss of power leaves a damaged copy: it was whole once and may have been the newer one,
        so that what was read may be older than what was stored last.
        """
        with self.lock:
            self.up()
            try:
                copies = copies_in(self.env)
            except DAMAGE as error:
                raise DamagedRecord(f"{self.path}: {error}") from error
            except (lmdb.Error, OSError) as error:
                raise StoreReadFailed(f"{self.path}: {error}") from error
            self.damage = damage_of(copies)
            copy = newest(copies)
            return None if copy is None else copy.record

    def write(self, record: bytes) -> None:
        """Store ``record`` in place of the one before; it is on disk when this returns.

        Raises ``StoreWriteFailed``: the disk then holds this record or the one before, and the next call
        opens the file anew to see which.
        """
        with self.lock:
            self.up()
            key, generation = KEYS[self.key == KEYS[0]], self.generation + 1
            txn = None
            try:
                txn = self.env.begin(write=True)
                txn.put(key, encoded(generation, record))
                txn.commit()
            except (lmdb.Error, OSError) as error:
                if txn is not None:
                    with suppress(lmdb.Error, OSError):
                        txn.abort()
                self.down()
                raise StoreWriteFailed(f"{self.path}: {error}") from error
            self.key, self.generation = key, generation

    def close(self) -> None:
        """Close the store; closing a closed one does nothing."""
        with self.lock:
            self.wanted = False
            self.down()
