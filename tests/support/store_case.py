"""A test case with a store in a temporary directory, and lmdb wrappers that call a hook at named points of a write."""

import shutil
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb

from rowanshift.controlplane.store import Store


class FaultyTransaction:
    """A write transaction that calls ``fail_point`` with a name before and after each operation."""

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
    """An lmdb environment that calls ``fail_point`` at each named point of its write transactions."""

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
    """A test case with a store in a temporary directory."""

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
        """Write records in sequence and close the store."""
        store = self.open_store()
        for record in records:
            store.write(record)
        store.close()

    def read(self, path: Path | None = None) -> bytes | None:
        """The record read by a newly opened store."""
        store = self.open_store(path)
        try:
            return store.read()
        finally:
            store.close()

    def put_raw(self, *slots_to_put: tuple[bytes, bytes]) -> None:
        """Put bytes into lmdb directly, bypassing the store."""
        self.path.mkdir(parents=True, exist_ok=True)
        environment = lmdb.open(str(self.path), map_size=64 << 20)
        with environment.begin(write=True) as transaction:
            for key, value in slots_to_put:
                transaction.put(key, value)
        environment.close()

    def stored_slots(self) -> dict[bytes, bytes]:
        """The stored bytes of each slot, by key."""
        environment = lmdb.open(str(self.path), readonly=True, lock=False)
        with environment.begin() as transaction:
            slots = {bytes(key): bytes(value) for key, value in transaction.cursor()}
        environment.close()
        return slots
