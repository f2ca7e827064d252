"""Breadth-first search over all sequences of up to three events from each start."""

from __future__ import annotations

import unittest

from rowanshift.modelcheck.breadth_first_search import search_breadth_first


class BreadthFirst(unittest.TestCase):
    """No sequence of three events violates an invariant."""

    def search(self, start: str) -> None:
        result = search_breadth_first(100_000, start, max_depth=3)
        self.assertEqual(("", 3), (result.violation, result.depth), result)

    def test_from_an_idle_primary(self) -> None:
        self.search("quiet-primary")

    def test_from_a_takeover_in_progress(self) -> None:
        self.search("takeover")

    def test_from_a_membership_change_in_progress(self) -> None:
        self.search("membership-change")

    def test_from_a_recovery_in_progress(self) -> None:
        self.search("recovery")


if __name__ == "__main__":
    unittest.main()
