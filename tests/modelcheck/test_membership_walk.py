"""Walks in which machines leave permanently, join with empty disks, and lose disks and power."""

from __future__ import annotations

import unittest

from rowanshift.modelcheck.membership_walk import MembershipWalk


class MembershipWalks(unittest.TestCase):
    """No invariant is violated during membership changes."""

    def walk(self, seeds: range, machines: int, f: int, spares: int) -> None:
        for seed in seeds:
            walk = MembershipWalk(seed, machines, f, spares)
            outcome = walk.run(8000)
            self.assertEqual("", outcome.violation, outcome)
            self.assertGreater(len(walk.cluster.machines), machines + spares)

    def test_three_machines_and_a_spare(self) -> None:
        self.walk(range(3000, 3010), 3, 1, 1)

    def test_five_machines_and_a_spare(self) -> None:
        self.walk(range(3000, 3008), 5, 2, 1)


if __name__ == "__main__":
    unittest.main()
