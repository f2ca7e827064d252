"""The model of the file system: the names and contents that survive a power loss."""

from __future__ import annotations

import random
import unittest

from rowanshift.controlplane import replication
from rowanshift.modelcheck.file_system import DATA_FILE, STORE_DIRECTORY, DirectoryEntry, FileSystemModel
from rowanshift.modelcheck.store_model import StoreModel

OTHER_FILE = DirectoryEntry(DATA_FILE.directory, "other")
RECORD = replication.DurableState(1, replication.NO_RECORD, replication.NO_VERSION, b"abcd", False)


class PowerLoss(unittest.TestCase):
    """Unsynced names and contents may be lost; synced ones are kept."""

    def outcomes(self, make_file_system) -> set[bool]:
        """For many power losses, the set of whether the record survived."""
        kept = set()
        for seed in range(40):
            file_system = make_file_system()
            file_system.lose_power(random.Random(seed))
            kept.add(file_system.read() == RECORD)
        return kept

    def opened(self, steps: int) -> FileSystemModel:
        """A file system with a synced record, written after ``steps`` steps of opening the store."""
        file_system = FileSystemModel()
        opening = StoreModel.open(file_system)
        for _ in range(steps):
            next(opening, None)
        file_system.write(RECORD)
        return file_system

    def test_a_name_is_durable_only_once_its_directory_is_synced(self) -> None:
        self.assertEqual({True, False}, self.outcomes(lambda: self.opened(2)))
        self.assertEqual({True, False}, self.outcomes(lambda: self.opened(3)))
        self.assertEqual({True}, self.outcomes(lambda: self.opened(4)))

    def test_a_later_process_makes_an_earlier_ones_names_durable_by_syncing_the_directory(self) -> None:
        def reopened() -> FileSystemModel:
            file_system = self.opened(2)
            for _ in StoreModel.open(file_system):
                pass
            return file_system

        self.assertEqual({True}, self.outcomes(reopened))

    def test_content_is_durable_only_once_it_is_synced(self) -> None:
        def unsynced() -> FileSystemModel:
            file_system = self.opened(4)
            file_system.write_unsynced(
                replication.DurableState(2, replication.NO_RECORD, replication.NO_VERSION, b"efgh", False)
            )
            return file_system

        self.assertEqual({True, False}, self.outcomes(unsynced))

    def test_a_rename_is_kept_or_lost_unless_its_directory_is_synced(self) -> None:
        found = set()
        for seed in range(40):
            file_system = self.opened(4)
            file_system.rename(DATA_FILE, OTHER_FILE)
            if seed % 2:
                file_system.sync_directory("store")
            file_system.lose_power(random.Random(seed))
            found.add((seed % 2, frozenset(file_system.visible)))
        self.assertIn((0, frozenset({STORE_DIRECTORY, DATA_FILE})), found)
        self.assertIn((0, frozenset({STORE_DIRECTORY, OTHER_FILE})), found)
        self.assertEqual({frozenset({STORE_DIRECTORY, OTHER_FILE})}, {shown for synced, shown in found if synced})


if __name__ == "__main__":
    unittest.main()
