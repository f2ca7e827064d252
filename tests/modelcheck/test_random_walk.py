"""Random walks of the cluster model, and the events that it rejects."""

from __future__ import annotations

import unittest

from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel
from rowanshift.modelcheck.errors import InvalidModelEvent, Invariant, InvariantViolation
from rowanshift.modelcheck.fault_search import WALKS
from rowanshift.modelcheck.invariants import LeaseHolder


class Reproducibility(unittest.TestCase):
    def test_a_seed_reproduces_its_walk(self) -> None:
        for kind, walk_class in WALKS.items():
            with self.subTest(kind=kind):
                results = [walk_class(900, 3, 1, 1).run(600) for _ in range(2)]
                self.assertEqual(results[0], results[1])
                self.assertEqual("", results[0].violation)

    def test_another_seed_gives_another_walk(self) -> None:
        self.assertNotEqual(WALKS["protocol"](900, 3, 1, 1).run(600), WALKS["protocol"](901, 3, 1, 1).run(600))


class ImpossibleEvents(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = ClusterModel({1: MachineModel()}, 0, (1,))

    def test_a_stopped_machine_accepts_no_tick_and_no_request(self) -> None:
        for event in (self.cluster.tick, self.cluster.propose, self.cluster.read):
            with self.subTest(event=event.__name__), self.assertRaises(InvalidModelEvent):
                event(1)

    def test_a_save_that_is_not_outstanding_cannot_complete(self) -> None:
        with self.assertRaises(InvalidModelEvent):
            self.cluster.complete_save(1)


class Violations(unittest.TestCase):
    def test_a_violation_names_its_invariant_first(self) -> None:
        invariants = ClusterModel({}, 1, (1, 2, 3)).invariants
        with self.assertRaises(InvariantViolation) as caught:
            invariants.check_leases([LeaseHolder(3, 1), LeaseHolder(4, 2)])
        self.assertIs(Invariant.ONE_LEASE_HOLDER, caught.exception.invariant)
        self.assertEqual("ONE-HOLDER: [(3, 1), (4, 2)]", str(caught.exception))

    def test_a_lease_of_a_lower_epoch_after_a_higher_one_is_a_violation(self) -> None:
        invariants = ClusterModel({}, 1, (1, 2, 3)).invariants
        invariants.check_leases([LeaseHolder(4, 2)])
        with self.assertRaises(InvariantViolation) as caught:
            invariants.check_leases([LeaseHolder(3, 1)])
        self.assertIs(Invariant.LEASE_EPOCHS_INCREASE, caught.exception.invariant)


if __name__ == "__main__":
    unittest.main()
