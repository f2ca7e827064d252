"""Walks whose rounds each end in the worst tolerated fault."""

from __future__ import annotations

import unittest

from rowanshift.modelcheck.worst_case_walk import ObserverWalk, WorstCaseWalk

SEEDS = {(3, 1, 1): range(5000, 5006), (5, 2, 1): range(5000, 5003)}  # by machines, failures and spares
STEPS = 8000


class WorstCaseWalks(unittest.TestCase):
    def test_nothing_is_lost(self) -> None:
        for (machines, f, spares), seeds in SEEDS.items():
            for seed in seeds:
                with self.subTest(machines=machines, seed=seed):
                    self.assert_nothing_is_lost(WorstCaseWalk(seed, machines, f, spares))

    def test_nothing_is_lost_with_an_observer(self) -> None:
        for seed in range(5000, 5004):
            with self.subTest(seed=seed):
                self.assert_nothing_is_lost(ObserverWalk(seed, 3, 1, 1))

    def assert_nothing_is_lost(self, walk: WorstCaseWalk) -> None:
        outcome = walk.run(STEPS)
        self.assertEqual("", outcome.violation)
        self.assertGreater(outcome.commits, 0)


if __name__ == "__main__":
    unittest.main()
