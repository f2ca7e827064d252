"""The search for planted faults finds each of them."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_walk import ClientWalk
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.fault_injection import FaultKind
from rowanshift.modelcheck.fault_search import HEAVY_REQUEST_RATE, FaultSearch, find_fault
from rowanshift.modelcheck.implementations import DEFAULT_IMPLEMENTATIONS
from tests.support.planted_client_faults import FAULTS, AnswersPollsWithoutLease, ParentDirectoryNotSynced


class PlantedFaults(unittest.TestCase):
    """Each fault is found by its stated seed; by one near 0 if the protocol's times have changed since."""

    def test_each_is_found(self) -> None:
        for fault, search in FAULTS.items():
            with self.subTest(fault=fault.__name__):
                self.assertIsNotNone(find_fault(fault, search, [search.seed, *range(40)]), "not found")


class PlannedSearch(unittest.TestCase):
    """What a search sets in its walks."""

    def test_a_fault_takes_the_place_of_the_class_it_derives_from(self) -> None:
        implementations = DEFAULT_IMPLEMENTATIONS.with_subclass(AnswersPollsWithoutLease)
        self.assertIs(AnswersPollsWithoutLease, implementations.service)
        self.assertIs(replication.Replica, implementations.replica)
        implementations = DEFAULT_IMPLEMENTATIONS.with_subclass(ParentDirectoryNotSynced)
        self.assertIs(ParentDirectoryNotSynced, implementations.store)
        self.assertIs(ControlService, implementations.service)

    def test_a_fault_of_no_known_class_is_refused(self) -> None:
        with self.assertRaises(TypeError):
            DEFAULT_IMPLEMENTATIONS.with_subclass(dict)

    def test_the_kinds_of_faults_and_the_load_are_those_of_the_search(self) -> None:
        search = FaultSearch(0, fault_kinds=(FaultKind.PAUSE,), walk="clients", heavy_load=True)
        walk = search.create_walk(AnswersPollsWithoutLease, 7)
        self.assertIsInstance(walk, ClientWalk)
        self.assertEqual([FaultKind.PAUSE], walk.fault_kinds)
        self.assertEqual((HEAVY_REQUEST_RATE, 0.0), (walk.request_rate, walk.client_message_loss))


if __name__ == "__main__":
    unittest.main()
