"""The check of a store: its report for each state of the store, and that it changes no file."""

import unittest
from collections.abc import Callable

from rowanshift.controlplane.store import DATA_FILE, SLOT_KEYS
from rowanshift.controlplane.store_check import check_store
from tests.support.store_case import StoreCase

PAGE_BYTES = 4096


class Reports(StoreCase):
    def report(self, describe: Callable[[bytes], str] | None = None) -> str:
        """The report, after verifying that no file was changed or created."""

        def state() -> dict[str, tuple[bytes, int]]:
            files = [path for path in sorted(self.base.rglob("*")) if path.is_file()]
            return {str(path): (path.read_bytes(), path.stat().st_mtime_ns) for path in files}

        before = state()
        text = check_store(self.path, describe).text
        self.assertEqual(state(), before)
        return text

    def test_each_state_of_a_store_is_reported(self) -> None:
        self.assertIn("no store here", self.report())
        self.assertFalse(self.path.exists())
        self.open_store().close()
        self.assertIn("no record stored yet", self.report())
        self.write_records(b"one", b"three")
        (self.path / "lock.mdb").unlink()
        report = self.report(lambda record: f"record {record!r}")
        self.assertIn("copy-0: intact, generation 1, 3 bytes", report)
        self.assertIn("newest record: copy-1, generation 2", report)
        self.assertIn("record b'three'", report)
        self.put_raw((SLOT_KEYS[1], b"rubbish"))
        report = self.report()
        self.assertIn("copy-1: damaged: 7 bytes, shorter than its header", report)
        self.assertIn("newest record: copy-0, generation 1", report)
        self.put_raw((SLOT_KEYS[0], b"rubbish"))
        self.assertIn("can't be used", self.report())
        (self.path / DATA_FILE).write_bytes(b"rubbish" * 5000)
        self.assertIn("can't be opened", self.report())

    def test_a_truncated_file_is_reported(self) -> None:
        self.write_records(bytes(50_000))
        data = (self.path / DATA_FILE).read_bytes()
        (self.path / DATA_FILE).write_bytes(data[: 3 * PAGE_BYTES])
        self.assertIn("cut short", self.report())


if __name__ == "__main__":
    unittest.main()
