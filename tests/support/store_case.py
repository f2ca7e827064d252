"""A store in a directory of its own, and lmdb with writes that fail or stop at numbered points."""

import shutil
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb

from rowanshift.controlplane.store import Store


class FaultyTransaction:
    """A write transaction that stops at each numbered point."""

    def __init__(self, transaction: Any, fail_point: Callable[[str], None]) -> None:
        self.transaction = transaction
        self.fail_point = fail_point

    def put(self, key: bytes, value: bytes) -> None:
        self.fail_point("before put")
        self.transaction.put(key, value)
        self.fail_point("after put")

    def commit(self) -> None:
        self.fail_point("before commit")
        self.transaction.commit()
        self.fail_point("after commit")

    def abort(self) -> None:
        self.transaction.abort()


class FaultyEnvironment:
    """An lmdb environment whose write transactions stop at each numbered point."""

    def __init__(self, environment: Any, fail_point: Callable[[str], None]) -> None:
        self.environment = environment
        self.fail_point = fail_point

    def begin(self, write: bool = False) -> Any:
        if not write:
            return self.environment.begin()
        self.fail_point("before begin")
        return FaultyTransaction(self.environment.begin(write=True), self.fail_point)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.environment, name)


class StoreCase(unittest.TestCase):
    """A store in a directory of its own."""

    def setUp(self) -> None:
        self.base = Path(tempfile.mkdtemp(prefix="rowanshift-store-"))
        self.addCleanup(shutil.rmtree, self.base)
        self.path = self.base / "data" / "ledger"

    def open_store(self, path: Path | None = None, **options: Any) -> Store:
        """An open store, closed after the test."""
        store = Store(path or self.path, **options)
        store.open()
        self.addCleanup(store.close)
        return store

    def write_records(self, *records: bytes) -> None:
        """Write records one after the other and close the store."""
        store = self.open_store()
        for record in records:
            store.write(record)
        store.close()

    def read(self, path: Path | None = None) -> bytes | None:
        """The record that a store opened now finds."""
        store = self.open_store(path)
        try:
            return store.read()
        finally:
            store.close()

    def put_raw(self, *puts: tuple[bytes, bytes]) -> None:
        """Put stored bytes past the store."""
        self.path.mkdir(parents=True, exist_ok=True)
        environment = lmdb.open(str(self.path), map_size=64 << 20)
        with environment.begin(write=True) as transaction:
            for key, value in puts:
                transaction.put(key, value)
        environment.close()

    def stored_slots(self) -> dict[bytes, bytes]:
        """The bytes of each slot."""
        environment = lmdb.open(str(self.path), readonly=True, lock=False)
        with environment.begin() as transaction:
            found = {bytes(key): bytes(value) for key, value in transaction.cursor()}
        environment.close()
        return found
