"""The search for planted faults detects each of them."""

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
    """Each fault is detected with its stated seed, or with one below 40 if the protocol's timing has changed since."""

    def test_each_fault_is_detected(self) -> None:
        for fault, search in FAULTS.items():
            with self.subTest(fault=fault.__name__):
                self.assertIsNotNone(find_fault(fault, search, [search.seed, *range(40)]), "not found")


class PlannedSearch(unittest.TestCase):
    """The settings that a search applies to its walks."""

    def test_a_fault_replaces_its_base_class(self) -> None:
        implementations = DEFAULT_IMPLEMENTATIONS.with_subclass(AnswersPollsWithoutLease)
        self.assertIs(AnswersPollsWithoutLease, implementations.service)
        self.assertIs(replication.Replica, implementations.replica)
        implementations = DEFAULT_IMPLEMENTATIONS.with_subclass(ParentDirectoryNotSynced)
        self.assertIs(ParentDirectoryNotSynced, implementations.store)
        self.assertIs(ControlService, implementations.service)

    def test_a_fault_without_a_known_base_class_is_rejected(self) -> None:
        with self.assertRaises(TypeError):
            DEFAULT_IMPLEMENTATIONS.with_subclass(dict)

    def test_a_walk_has_the_fault_kinds_and_load_of_its_search(self) -> None:
        search = FaultSearch(0, fault_kinds=(FaultKind.PAUSE,), walk="clients", heavy_load=True)
        walk = search.create_walk(AnswersPollsWithoutLease, 7)
        self.assertIsInstance(walk, ClientWalk)
        self.assertEqual([FaultKind.PAUSE], walk.fault_kinds)
        self.assertEqual((HEAVY_REQUEST_RATE, 0.0), (walk.request_rate, walk.client_message_loss))


if __name__ == "__main__":
    unittest.main()
