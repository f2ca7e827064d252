"""Breadth-first search: all orders of events up to three from each start."""

from __future__ import annotations

import unittest

from rowanshift.modelcheck.breadth_first_search import search_breadth_first


class BreadthFirst(unittest.TestCase):
    """No order of three events violates an invariant."""

    def search(self, start: str) -> None:
        result = search_breadth_first(100_000, start, max_depth=3)
        self.assertEqual(("", 3), (result.violation, result.depth), result)

    def test_from_a_quiet_primary(self) -> None:
        self.search("quiet-primary")

    def test_from_a_takeover_under_way(self) -> None:
        self.search("takeover")

    def test_from_a_change_of_members_under_way(self) -> None:
        self.search("membership-change")

    def test_from_a_recovery_under_way(self) -> None:
        self.search("recovery")


if __name__ == "__main__":
    unittest.main()
