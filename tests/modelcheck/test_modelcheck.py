"""The control plane under operators, routers, changing members, losses of power: walks, searches, planted faults."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from rowanshift.controlplane import order_history, replication
from rowanshift.controlplane.configuration import parse
from rowanshift.modelcheck.breadth_first_search import search_breadth_first
from rowanshift.modelcheck.client_messages import ConfigChange, Status
from rowanshift.modelcheck.client_walk import ClientWalk
from rowanshift.modelcheck.fault_search import find_fault
from rowanshift.modelcheck.file_system import DATA_FILE, STORE_DIRECTORY, DirectoryEntry, FileSystemModel
from rowanshift.modelcheck.membership_walk import MembershipWalk
from rowanshift.modelcheck.store_model import StoreModel
from tests.support.planted_client_faults import FAULTS

OTHER_FILE = DirectoryEntry(DATA_FILE.directory, "other")
RECORD = replication.DurableState(1, replication.NO_RECORD, replication.NO_VERSION, b"abcd", False)


class ClientWalks(unittest.TestCase):
    """Operators and routers over machines that fail and come back."""

    def walk(self, seeds: range, machines: int, f: int, spares: int, least_acknowledged: int) -> None:
        acknowledged = updates = 0
        for seed in seeds:
            walk = ClientWalk(seed, machines, f, spares)
            outcome = walk.run(5000)
            self.assertEqual(("", ""), (outcome.violation, outcome.stall), outcome)
            acknowledged += len(walk.client_invariants.acknowledged)
            updates += sum(router.update_count for router in walk.routers.values())
        self.assertGreater(acknowledged, least_acknowledged)
        self.assertGreater(updates, least_acknowledged)

    def test_three_machines(self):
        self.walk(range(2000, 2016), 3, 1, 0, 100)

    def test_three_machines_and_a_spare(self):
        self.walk(range(2000, 2016), 3, 1, 1, 100)

    def test_five_machines_and_two_spares(self):
        self.walk(range(2000, 2012), 5, 2, 2, 70)

    def test_orders_that_nobody_remembers_are_neither_refused_nor_taken_again(self):
        with mock.patch.object(order_history, "MAX_REMEMBERED_ORDERS", 3):
            self.walk(range(2020, 2036), 3, 1, 0, 100)

    def test_an_order_of_the_model_is_a_valid_configuration(self):
        self.assertEqual(7, parse(ConfigChange(3, 6, 7).body).revision)
        self.assertNotEqual(ConfigChange(3, 6, 7).body, ConfigChange(4, 6, 7).body)

    def test_statuses_are_those_of_the_api(self):
        self.assertEqual([200, 400, 412, 503], [status.value for status in Status])


class MemberWalks(unittest.TestCase):
    """Machines that leave for good and join with empty disks, lost disks, losses of power."""

    def walk(self, seeds: range, machines: int, f: int, spares: int) -> None:
        for seed in seeds:
            walk = MembershipWalk(seed, machines, f, spares)
            outcome = walk.run(8000)
            self.assertEqual("", outcome.violation, outcome)
            self.assertGreater(len(walk.cluster.machines), machines + spares)

    def test_three_machines_and_a_spare(self):
        self.walk(range(3000, 3010), 3, 1, 1)

    def test_five_machines_and_a_spare(self):
        self.walk(range(3000, 3008), 5, 2, 1)


class BreadthFirst(unittest.TestCase):
    """All orders of events up to three from each start."""

    def search(self, start: str) -> None:
        result = search_breadth_first(100_000, start, max_depth=3)
        self.assertEqual(("", 3), (result.violation, result.depth), result)

    def test_from_a_quiet_primary(self):
        self.search("quiet-primary")

    def test_from_a_takeover_under_way(self):
        self.search("takeover")

    def test_from_a_change_of_members_under_way(self):
        self.search("membership-change")

    def test_from_a_recovery_under_way(self):
        self.search("recovery")


class PlantedFaults(unittest.TestCase):
    """Each fault is found by its stated seed; by one near 0 if the protocol's times have changed since."""

    def test_each_is_found(self):
        for fault, search in FAULTS.items():
            with self.subTest(fault=fault.__name__):
                self.assertIsNotNone(find_fault(fault, search, [search.seed, *range(40)]), "not found")


class Files(unittest.TestCase):
    """The disk of the model."""

    def outcomes(self, files_made) -> set[bool]:
        """Whether the record was still there, over many losses of power."""
        kept = set()
        for seed in range(40):
            files = files_made()
            files.lose_power(random.Random(seed))
            kept.add(files.read() == RECORD)
        return kept

    def opened(self, steps: int) -> FileSystemModel:
        """A record, synced, after so many steps of opening."""
        files = FileSystemModel()
        opening = StoreModel.open(files)
        for _ in range(steps):
            next(opening, None)
        files.write(RECORD)
        return files

    def test_a_name_lasts_only_once_its_directory_is_synced(self):
        self.assertEqual({True, False}, self.outcomes(lambda: self.opened(2)))
        self.assertEqual({True, False}, self.outcomes(lambda: self.opened(3)))
        self.assertEqual({True}, self.outcomes(lambda: self.opened(4)))

    def test_a_directory_synced_by_a_later_life_keeps_an_earlier_ones_names(self):
        def reopened() -> FileSystemModel:
            files = self.opened(2)
            for _ in StoreModel.open(files):
                pass
            return files

        self.assertEqual({True}, self.outcomes(reopened))

    def test_what_is_written_lasts_only_once_it_is_synced(self):
        def unsynced() -> FileSystemModel:
            files = self.opened(4)
            files.write_unsynced(
                replication.DurableState(2, replication.NO_RECORD, replication.NO_VERSION, b"efgh", False)
            )
            return files

        self.assertEqual({True, False}, self.outcomes(unsynced))

    def test_a_rename_is_kept_or_lost_unless_its_directory_is_synced(self):
        found = set()
        for seed in range(40):
            files = self.opened(4)
            files.rename(DATA_FILE, OTHER_FILE)
            if seed % 2:
                files.sync_directory("store")
            files.lose_power(random.Random(seed))
            found.add((seed % 2, frozenset(files.visible)))
        self.assertIn((0, frozenset({STORE_DIRECTORY, DATA_FILE})), found)
        self.assertIn((0, frozenset({STORE_DIRECTORY, OTHER_FILE})), found)
        self.assertEqual({frozenset({STORE_DIRECTORY, OTHER_FILE})}, {shown for synced, shown in found if synced})


if __name__ == "__main__":
    unittest.main()
