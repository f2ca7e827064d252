"""The record on disk: intact after every loss of power; damage and newer formats are found."""

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

PAGE = 4096
METAS = 2  # lmdb's first pages; one of them is written last, and says which pages count


class ReadAndWrite(StoreCase):
    def test_an_empty_store_has_no_record(self) -> None:
        self.assertIsNone(self.read())
        self.assertIsNone(self.read())

    def test_the_newest_is_read_after_each_reopening(self) -> None:
        draw = random.Random(7)
        for size in [0, 1, PAGE, 100_000, 0, 3, 700_000, *(draw.randrange(200_000) for _ in range(120))]:
            record = draw.randbytes(size)
            store = self.open_store()
            store.write(record)
            self.assertEqual(store.read(), record)
            store.close()
            self.assertEqual(self.read(), record)
        self.assertLess((self.path / DATA_FILE).stat().st_size, 64 << 20)

    def test_slots_alternate_and_generations_rise(self) -> None:
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

        def remember(path: str, **given: Any) -> Any:
            options.update(given)
            return lmdb.open(path, **given)

        self.open_store(open_lmdb=remember)
        self.assertTrue(options["sync"] and options["metasync"])
        self.assertFalse(options["writemap"] or options["map_async"])
        self.assertEqual(options["map_size"], 64 << 20)


class PowerLoss(StoreCase):
    def test_the_old_or_the_new_record_is_found_after_a_loss_at_each_point(self) -> None:
        """What a machine finds that lost power at each point of each of the first writes."""
        images: list[tuple[str, Path, set[bytes | None]]] = []
        allowed: set[bytes | None] = {None}

        def point(name: str) -> None:
            image = self.base / f"image-{len(images)}"
            shutil.copytree(self.path, image)
            images.append((name, image, {self.record} if name == "after commit" else set(allowed)))

        store = self.open_store(open_lmdb=lambda path, **given: FaultyEnvironment(lmdb.open(path, **given), point))
        draw = random.Random(11)
        for number in range(8):
            self.record = b"%d " % number + draw.randbytes(draw.choice((10, 3000, 30_000)))
            before = len(images)
            store.write(self.record)
            self.assertEqual(
                [name for name, _, _ in images[before:]],
                ["before begin", "before put", "after put", "before commit", "after commit"],
            )
            allowed = {self.record}
        store.close()
        for number, (name, image, records) in enumerate(images):
            with self.subTest(point=number, name=name):
                self.assertIn(self.read(image), records)
                again = self.open_store(image)  # and goes on from there
                again.write(b"later")
                again.close()
                self.assertEqual(self.read(image), b"later")

    def test_a_write_of_which_some_pages_are_on_disk_counts_as_none(self) -> None:
        """Before the page that counts is written, any part of any others may be on disk or not."""
        draw = random.Random(13)
        store = self.open_store()
        old, tried = None, 0
        for _ in range(12):
            record = draw.randbytes(draw.choice((5, 2500, 20_000)))
            before = (self.path / DATA_FILE).read_bytes()
            store.write(record)
            after = (self.path / DATA_FILE).read_bytes()
            before += bytes(len(after) - len(before))
            pages = [at for at in range(0, len(after), PAGE) if before[at : at + PAGE] != after[at : at + PAGE]]
            metas = [at for at in pages if at < METAS * PAGE]
            self.assertEqual(len(metas), 1)
            for _ in range(10):
                torn = bytearray(before)
                for at in pages:
                    if at not in metas and draw.random() < 0.6:
                        end = at + draw.choice((512, PAGE // 2, PAGE))
                        torn[at:end] = after[at:end]
                image = self.base / "image"
                image.mkdir()
                (image / DATA_FILE).write_bytes(torn)
                self.assertEqual(self.read(image), old)
                shutil.rmtree(image)
                tried += 1
            old = record
        self.assertEqual(tried, 120)


class Killed(Exception):
    """The process ends at a numbered point."""


class DirectorySync(StoreCase):
    """A file outlasts a loss of power once its name was synced after it was made, by whichever process."""

    def setUp(self) -> None:
        super().setUp()
        (self.base / "data").mkdir()  # the platform's, and safe
        self.safe: set[Path] = set()  # names that a loss of power leaves
        self.stop_at = -1  # the number of the sync at which the process ends

    def sync(self, directory: Path) -> None:
        if self.stop_at == 0:
            raise Killed
        self.stop_at -= 1
        self.safe |= {directory / child.name for child in directory.iterdir()}

    def run_process(self, stop_at: int, store_type: type[Store] = Store) -> None:
        """A process, which ends at a sync of its opening or after a write."""
        self.stop_at = stop_at
        store = store_type(self.path)
        with mock.patch.object(store_module, "sync_directory", self.sync), suppress(Killed):
            store.open()
            store.write(b"acknowledged")
        store.close()

    def unsynced_names(self) -> set[Path]:
        """Names that a loss of power may take and without which the record is lost."""
        return {self.path, self.path / DATA_FILE} - self.safe

    def test_killed_at_each_sync_of_the_first_opening(self) -> None:
        for stop_at in range(3):
            with self.subTest(stop_at=stop_at):
                shutil.rmtree(self.path, ignore_errors=True)
                self.safe.clear()
                self.run_process(stop_at)
                self.run_process(-1)
                self.assertEqual(self.read(), b"acknowledged")
                self.assertEqual(self.unsynced_names(), set())

    def test_a_store_that_syncs_new_files_only_is_found(self) -> None:
        def new_only(path: Path) -> list[Path]:
            return [] if (path / DATA_FILE).exists() else [path, path.parent]

        with mock.patch.object(store_module, "directories_to_sync", new_only):
            self.run_process(0)
            self.run_process(-1)
        self.assertEqual(self.unsynced_names(), {self.path, self.path / DATA_FILE})


class RefusedWrites(StoreCase):
    def failing_store(self, message: str) -> tuple[Store, list[str]]:
        """A store whose disk fails at the point in the list, once."""
        plan: list[str] = []

        def point(name: str) -> None:
            if plan and plan[0] == name:
                plan.pop()
                raise lmdb.DiskError(message)

        return self.open_store(open_lmdb=lambda path, **given: FaultyEnvironment(lmdb.open(path, **given), point)), plan

    def test_a_write_that_fails_at_any_point_leaves_the_old_or_the_new_record(self) -> None:
        for name in ("before begin", "before put", "after put", "before commit", "after commit"):
            with self.subTest(name):
                store, plan = self.failing_store("no space")
                store.write(b"old")
                generation = store.generation
                plan.append(name)
                with self.assertRaises(StoreWriteFailed):
                    store.write(b"new")
                kept = store.read()
                self.assertEqual(kept, b"new" if name == "after commit" else b"old")
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

    def test_a_directory_that_cannot_be_made_is_a_failed_write(self) -> None:
        (self.base / "file").write_text("")
        store = Store(self.base / "file" / "ledger")
        with self.assertRaises(StoreWriteFailed):
            store.open()
        with self.assertRaises(StoreClosed):
            store.read()


class DamagedSlots(StoreCase):
    def flip_bit(self, path: Path, record: bytes) -> None:
        """Flip a bit of a record wherever it lies in the file; pages no longer used hold it as well."""
        data = bytearray((path / DATA_FILE).read_bytes())
        at = data.find(record[:64])
        self.assertGreaterEqual(at, 0)
        while at >= 0:
            data[at + len(record) // 2] ^= 4
            at = data.find(record[:64], at + 1)
        (path / DATA_FILE).write_bytes(data)

    def test_either_slot_is_read_while_the_other_is_damaged(self) -> None:
        draw = random.Random(17)
        for size in (300, 9000):  # within a page, and on pages of its own
            old, new = draw.randbytes(size), draw.randbytes(size)
            shutil.rmtree(self.path, ignore_errors=True)
            self.write_records(b"first", old, new)
            for hit, left in ((old, new), (new, old)):
                image = self.base / "image"
                shutil.copytree(self.path, image)
                self.flip_bit(image, hit)
                store = self.open_store(image)
                self.assertEqual(store.read(), left)
                self.assertIn("the checksum differs", store.damage)
                store.write(b"next")  # takes the damaged one's place
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

    def test_any_flipped_bit_of_a_slot_is_found(self) -> None:
        stored = encode_slot(5, b"record")
        for bit in range(len(stored) * 8):
            broken = bytearray(stored)
            broken[bit // 8] ^= 1 << bit % 8
            self.assertTrue(store_module.decode_slot(SLOT_KEYS[0], bytes(broken)).damage, bit)
        for length in range(len(stored)):
            self.assertTrue(store_module.decode_slot(SLOT_KEYS[0], stored[:length]).damage, length)
        self.assertTrue(store_module.decode_slot(SLOT_KEYS[0], stored + b"\0").damage)

    def test_one_slot_alone_and_damaged(self) -> None:
        self.put_raw((SLOT_KEYS[0], b"rubbish"))
        with self.assertRaises(DamagedRecord):
            self.read()

    def test_a_file_that_is_not_lmdbs_is_left_as_it_is(self) -> None:
        self.path.mkdir(parents=True)
        (self.path / DATA_FILE).write_bytes(b"rubbish" * 5000)
        with self.assertRaises(DamagedRecord):
            self.open_store()
        self.assertEqual((self.path / DATA_FILE).read_bytes(), b"rubbish" * 5000)

    def test_a_file_cut_short_at_any_page_is_damaged(self) -> None:
        draw = random.Random(19)
        self.write_records(*(draw.randbytes(20_000) for _ in range(4)))
        data = (self.path / DATA_FILE).read_bytes()
        for length in [*range(PAGE, len(data), PAGE), PAGE // 2, len(data) - 1]:
            (self.path / DATA_FILE).write_bytes(data[:length])
            with self.subTest(length=length), self.assertRaises(DamagedRecord):
                self.read()


class NewerFormats(StoreCase):
    def newer_slot(self, payload: bytes) -> bytes:
        """A whole copy of the next format: its header is as ever, what follows may be anything."""
        version = store_module.FORMAT + 1
        covered = store_module.CHECKSUMMED_FIELDS.pack(version, len(payload)) + payload
        return HEADER.pack(store_module.MAGIC, version, store_module.crc32(covered), len(payload)) + payload

    def test_what_a_newer_program_wrote_is_left_as_it_is(self) -> None:
        cases = {
            "both": ((SLOT_KEYS[0], self.newer_slot(b"x")), (SLOT_KEYS[1], self.newer_slot(b"another shape"))),
            "beside an older one": ((SLOT_KEYS[0], self.newer_slot(b"")), (SLOT_KEYS[1], encode_slot(900, b"old"))),
        }
        for name, puts in cases.items():
            with self.subTest(name):
                shutil.rmtree(self.path, ignore_errors=True)
                self.put_raw(*puts)
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
