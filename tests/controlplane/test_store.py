"""The record on disk stays intact after a power loss at any point; damage and newer formats are detected."""

import random
import shutil
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any
from unittest import mock

import lmdb

from rowanshift.controlplane import store as store_module
from rowanshift.controlplane.store import (
    DATA_FILE,
    HEADER,
    SLOT_KEYS,
    DamagedRecord,
    NewerFormat,
    Store,
    StoreClosed,
    StoreWriteFailed,
    encode_slot,
)
from rowanshift.controlplane.store_check import check_store
from tests.support.store_case import FaultyEnvironment, StoreCase

PAGE_BYTES = 4096
META_PAGE_COUNT = 2  # lmdb's first pages; a commit writes one of them last, which activates the other pages


class ReadAndWrite(StoreCase):
    def test_an_empty_store_has_no_record(self) -> None:
        self.assertIsNone(self.read())
        self.assertIsNone(self.read())

    def test_the_newest_record_is_read_after_each_reopening(self) -> None:
        random_source = random.Random(7)
        for size in [0, 1, PAGE_BYTES, 100_000, 0, 3, 700_000, *(random_source.randrange(200_000) for _ in range(120))]:
            record = random_source.randbytes(size)
            store = self.open_store()
            store.write(record)
            self.assertEqual(store.read(), record)
            store.close()
            self.assertEqual(self.read(), record)
        self.assertLess((self.path / DATA_FILE).stat().st_size, 64 << 20)

    def test_slots_alternate_and_generations_increase(self) -> None:
        self.write_records(b"one", b"two")
        self.write_records(b"three")
        self.assertEqual(
            self.stored_slots(), {SLOT_KEYS[0]: encode_slot(3, b"three"), SLOT_KEYS[1]: encode_slot(2, b"two")}
        )

    def test_a_closed_store_refuses_calls(self) -> None:
        store = Store(self.path)
        for call in (store.read, lambda: store.write(b"x")):
            with self.assertRaises(StoreClosed):
                call()
        store.open()
        store.close()
        store.close()
        with self.assertRaises(StoreClosed):
            store.read()
        self.assertEqual([p.name for p in self.base.iterdir()], ["data"])

    def test_lmdb_is_opened_with_synced_writes(self) -> None:
        options: dict[str, Any] = {}

        def open_and_record_options(path: str, **given: Any) -> Any:
            options.update(given)
            return lmdb.open(path, **given)

        self.open_store(open_lmdb=open_and_record_options)
        self.assertTrue(options["sync"] and options["metasync"])
        self.assertFalse(options["writemap"] or options["map_async"])
        self.assertEqual(options["map_size"], 64 << 20)


class PowerLoss(StoreCase):
    def test_the_old_or_the_new_record_is_read_after_a_power_loss_at_each_point(self) -> None:
        """Opens copies of the files taken at each point of each of the first writes."""
        images: list[tuple[str, Path, set[bytes | None]]] = []
        allowed_records: set[bytes | None] = {None}

        def take_image(name: str) -> None:
            image = self.base / f"image-{len(images)}"
            shutil.copytree(self.path, image)
            images.append((name, image, {self.record} if name == "after commit" else set(allowed_records)))

        store = self.open_store(open_lmdb=lambda path, **given: FaultyEnvironment(lmdb.open(path, **given), take_image))
        random_source = random.Random(11)
        for number in range(8):
            self.record = b"%d " % number + random_source.randbytes(random_source.choice((10, 3000, 30_000)))
            before = len(images)
            store.write(self.record)
            self.assertEqual(
                [name for name, _, _ in images[before:]],
                ["before begin", "before put", "after put", "before commit", "after commit"],
            )
            allowed_records = {self.record}
        store.close()
        for number, (name, image, records) in enumerate(images):
            with self.subTest(point=number, name=name):
                self.assertIn(self.read(image), records)
                reopened = self.open_store(image)  # the store can be written again
                reopened.write(b"later")
                reopened.close()
                self.assertEqual(self.read(image), b"later")

    def test_a_write_of_which_only_some_pages_reached_the_disk_has_no_effect(self) -> None:
        """Before the meta page is written, any part of any of the other pages may have reached the disk."""
        random_source = random.Random(13)
        store = self.open_store()
        old, checked = None, 0
        for _ in range(12):
            record = random_source.randbytes(random_source.choice((5, 2500, 20_000)))
            before = (self.path / DATA_FILE).read_bytes()
            store.write(record)
            after = (self.path / DATA_FILE).read_bytes()
            before += bytes(len(after) - len(before))
            pages = [
                offset
                for offset in range(0, len(after), PAGE_BYTES)
                if before[offset : offset + PAGE_BYTES] != after[offset : offset + PAGE_BYTES]
            ]
            meta_pages = [offset for offset in pages if offset < META_PAGE_COUNT * PAGE_BYTES]
            self.assertEqual(len(meta_pages), 1)
            for _ in range(10):
                torn = bytearray(before)
                for offset in pages:
                    if offset not in meta_pages and random_source.random() < 0.6:
                        end = offset + random_source.choice((512, PAGE_BYTES // 2, PAGE_BYTES))
                        torn[offset:end] = after[offset:end]
                image = self.base / "image"
                image.mkdir()
                (image / DATA_FILE).write_bytes(torn)
                self.assertEqual(self.read(image), old)
                shutil.rmtree(image)
                checked += 1
            old = record
        self.assertEqual(checked, 120)


class ProcessKilled(Exception):
    """Raised to end the process at a chosen sync."""


class DirectorySync(StoreCase):
    """A file survives a power loss once its directory has been synced after its creation, by any process."""

    def setUp(self) -> None:
        super().setUp()
        (self.base / "data").mkdir()  # created by the platform and durable
        self.durable_paths: set[Path] = set()  # paths that survive a power loss
        self.stop_at = -1  # number of syncs until the process is killed, -1 for never

    def sync(self, directory: Path) -> None:
        if self.stop_at == 0:
            raise ProcessKilled
        self.stop_at -= 1
        self.durable_paths |= {directory / child.name for child in directory.iterdir()}

    def run_process(self, stop_at: int, store_type: type[Store] = Store) -> None:
        """Run a process that opens the store and writes, and kill it at sync ``stop_at`` of the opening (-1: never)."""
        self.stop_at = stop_at
        store = store_type(self.path)
        with mock.patch.object(store_module, "sync_directory", self.sync), suppress(ProcessKilled):
            store.open()
            store.write(b"acknowledged")
        store.close()

    def paths_not_durable(self) -> set[Path]:
        """Paths that the record depends on and that may not survive a power loss."""
        return {self.path, self.path / DATA_FILE} - self.durable_paths

    def test_the_files_are_durable_after_a_kill_at_each_sync_of_the_first_opening(self) -> None:
        for stop_at in range(3):
            with self.subTest(stop_at=stop_at):
                shutil.rmtree(self.path, ignore_errors=True)
                self.durable_paths.clear()
                self.run_process(stop_at)
                self.run_process(-1)
                self.assertEqual(self.read(), b"acknowledged")
                self.assertEqual(self.paths_not_durable(), set())

    def test_a_store_that_syncs_only_new_files_is_detected(self) -> None:
        def directories_of_new_files(path: Path) -> list[Path]:
            return [] if (path / DATA_FILE).exists() else [path, path.parent]

        with mock.patch.object(store_module, "directories_to_sync", directories_of_new_files):
            self.run_process(0)
            self.run_process(-1)
        self.assertEqual(self.paths_not_durable(), {self.path, self.path / DATA_FILE})


class RefusedWrites(StoreCase):
    def failing_store(self, message: str) -> tuple[Store, list[str]]:
        """A store and a list; the disk fails once at the point put into the list."""
        failing_points: list[str] = []

        def fail_at_planned_point(name: str) -> None:
            if failing_points and failing_points[0] == name:
                failing_points.pop()
                raise lmdb.DiskError(message)

        return self.open_store(
            open_lmdb=lambda path, **given: FaultyEnvironment(lmdb.open(path, **given), fail_at_planned_point)
        ), failing_points

    def test_a_write_that_fails_at_any_point_leaves_the_old_or_the_new_record(self) -> None:
        for name in ("before begin", "before put", "after put", "before commit", "after commit"):
            with self.subTest(name):
                store, failing_points = self.failing_store("no space")
                store.write(b"old")
                generation = store.generation
                failing_points.append(name)
                with self.assertRaises(StoreWriteFailed):
                    store.write(b"new")
                record_read = store.read()
                self.assertEqual(record_read, b"new" if name == "after commit" else b"old")
                store.write(b"third")
                self.assertEqual(store.read(), b"third")
                self.assertEqual(store.generation, generation + 1 + (name == "after commit"))
                store.close()
                self.assertEqual(self.read(), b"third")

    def test_a_record_larger_than_the_map_is_refused(self) -> None:
        store = self.open_store(map_size_mib=1)
        store.write(b"old")
        with self.assertRaises(StoreWriteFailed):
            store.write(bytes(2 << 20))
        self.assertEqual(store.read(), b"old")
        store.write(b"new")
        self.assertEqual(store.read(), b"new")

    def test_a_directory_that_cannot_be_created_is_a_failed_write(self) -> None:
        (self.base / "file").write_text("")
        store = Store(self.base / "file" / "ledger")
        with self.assertRaises(StoreWriteFailed):
            store.open()
        with self.assertRaises(StoreClosed):
            store.read()


class DamagedSlots(StoreCase):
    def flip_bit(self, path: Path, record: bytes) -> None:
        """Flip a bit in each copy of a record in the file, including those on pages no longer in use."""
        data = bytearray((path / DATA_FILE).read_bytes())
        offset = data.find(record[:64])
        self.assertGreaterEqual(offset, 0)
        while offset >= 0:
            data[offset + len(record) // 2] ^= 4
            offset = data.find(record[:64], offset + 1)
        (path / DATA_FILE).write_bytes(data)

    def test_either_slot_is_read_while_the_other_is_damaged(self) -> None:
        random_source = random.Random(17)
        for size in (300, 9000):  # within a page, and on overflow pages
            old, new = random_source.randbytes(size), random_source.randbytes(size)
            shutil.rmtree(self.path, ignore_errors=True)
            self.write_records(b"first", old, new)
            for damaged, intact in ((old, new), (new, old)):
                image = self.base / "image"
                shutil.copytree(self.path, image)
                self.flip_bit(image, damaged)
                store = self.open_store(image)
                self.assertEqual(store.read(), intact)
                self.assertIn("checksum mismatch", store.damage)
                store.write(b"next")  # replaces the damaged slot
                self.assertEqual((store.read(), store.damage), (b"next", ""))
                store.close()
                shutil.rmtree(image)
            self.flip_bit(self.path, old)
            self.flip_bit(self.path, new)
            store = self.open_store()
            with self.assertRaises(DamagedRecord):
                store.read()
            store.write(b"anew")
            self.assertEqual(store.read(), b"anew")
            store.write(b"and on")
            self.assertEqual(store.read(), b"and on")
            store.close()
            self.assertEqual(self.read(), b"and on")

    def test_any_flipped_bit_or_truncation_of_a_slot_is_detected(self) -> None:
        stored = encode_slot(5, b"record")
        for bit_index in range(len(stored) * 8):
            broken = bytearray(stored)
            broken[bit_index // 8] ^= 1 << bit_index % 8
            self.assertTrue(store_module.decode_slot(SLOT_KEYS[0], bytes(broken)).damage, bit_index)
        for length in range(len(stored)):
            self.assertTrue(store_module.decode_slot(SLOT_KEYS[0], stored[:length]).damage, length)
        self.assertTrue(store_module.decode_slot(SLOT_KEYS[0], stored + b"\0").damage)

    def test_a_single_damaged_slot_is_a_damaged_record(self) -> None:
        self.put_raw((SLOT_KEYS[0], b"rubbish"))
        with self.assertRaises(DamagedRecord):
            self.read()

    def test_a_file_that_is_not_an_lmdb_file_is_left_unchanged(self) -> None:
        self.path.mkdir(parents=True)
        (self.path / DATA_FILE).write_bytes(b"rubbish" * 5000)
        with self.assertRaises(DamagedRecord):
            self.open_store()
        self.assertEqual((self.path / DATA_FILE).read_bytes(), b"rubbish" * 5000)

    def test_a_file_truncated_at_any_page_is_damaged(self) -> None:
        random_source = random.Random(19)
        self.write_records(*(random_source.randbytes(20_000) for _ in range(4)))
        data = (self.path / DATA_FILE).read_bytes()
        for length in [*range(PAGE_BYTES, len(data), PAGE_BYTES), PAGE_BYTES // 2, len(data) - 1]:
            (self.path / DATA_FILE).write_bytes(data[:length])
            with self.subTest(length=length), self.assertRaises(DamagedRecord):
                self.read()


class NewerFormats(StoreCase):
    def newer_slot(self, payload: bytes) -> bytes:
        """An intact slot of the next format: the header is the same in all formats, the body is arbitrary."""
        version = store_module.FORMAT + 1
        covered = store_module.CHECKSUMMED_FIELDS.pack(version, len(payload)) + payload
        return HEADER.pack(store_module.MAGIC, version, store_module.crc32(covered), len(payload)) + payload

    def test_a_record_of_a_newer_program_is_left_unchanged(self) -> None:
        cases = {
            "both": ((SLOT_KEYS[0], self.newer_slot(b"x")), (SLOT_KEYS[1], self.newer_slot(b"another shape"))),
            "next to an older one": ((SLOT_KEYS[0], self.newer_slot(b"")), (SLOT_KEYS[1], encode_slot(900, b"old"))),
        }
        for name, slots in cases.items():
            with self.subTest(name):
                shutil.rmtree(self.path, ignore_errors=True)
                self.put_raw(*slots)
                before = (self.path / DATA_FILE).read_bytes()
                store = Store(self.path)
                with self.assertRaises(NewerFormat) as caught:
                    store.open()
                self.assertEqual(caught.exception.found, store_module.FORMAT + 1)
                with self.assertRaises(StoreClosed):
                    store.write(b"x")
                self.assertEqual((self.path / DATA_FILE).read_bytes(), before)
                self.assertIn("newer", check_store(self.path).text)


if __name__ == "__main__":
    unittest.main()
