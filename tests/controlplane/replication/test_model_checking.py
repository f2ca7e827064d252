"""The model checker finds no violation of the protocol's invariants, and detects each planted fault."""

from __future__ import annotations

import unittest

from rowanshift.modelcheck.breadth_first_search import search_breadth_first
from rowanshift.modelcheck.fault_search import find_fault
from rowanshift.modelcheck.random_walk import RandomWalk
from tests.support.planted_replication_faults import FAULTS


class ModelChecked(unittest.TestCase):
    def walk(self, seeds: range, machines: int, f: int, spares: int) -> None:
        committed = 0
        for seed in seeds:
            outcome = RandomWalk(seed, machines, f, spares).run(5000)
            self.assertEqual(("", ""), (outcome.violation, outcome.stall), outcome)
            committed += outcome.commits
        self.assertGreater(committed, 10 * len(seeds))

    def test_walks_of_three_machines(self):
        self.walk(range(1000, 1020), 3, 1, 0)

    def test_walks_of_three_machines_and_a_spare(self):
        self.walk(range(1000, 1020), 3, 1, 1)

    def test_walks_of_five_machines_and_two_spares(self):
        self.walk(range(1000, 1020), 5, 2, 2)

    def test_a_breadth_first_search(self):
        self.assertEqual("", search_breadth_first(1500).violation)

    def test_planted_faults_are_found(self):
        for fault, search in FAULTS.items():
            with self.subTest(fault=fault.__name__):
                self.assertIsNotNone(find_fault(fault, search, [search.seed, *range(60)]), "not found")


if __name__ == "__main__":
    unittest.main()
