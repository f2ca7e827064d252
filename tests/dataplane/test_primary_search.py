"""The order in which a router asks the replicas for the primary."""

import random
import unittest

from rowanshift.dataplane.primary_search import SUSPECT_SECONDS, PrimarySearch


class SearchOrder(unittest.TestCase):
    def search_order(self, search: PrimarySearch, machines: range, now: float) -> list[int]:
        search.begin(machines, now)
        return [search.next_machine() for _ in machines]

    def test_all_are_asked_once(self) -> None:
        search = PrimarySearch(random.Random(1).random)
        self.assertEqual(sorted(self.search_order(search, range(1, 6), 0.0)), [1, 2, 3, 4, 5])
        self.assertIsNone(search.next_machine())

    def test_routers_ask_in_different_orders(self) -> None:
        first_machines = {
            self.search_order(PrimarySearch(random.Random(n).random), range(1, 6), 0.0)[0] for n in range(40)
        }
        self.assertEqual(first_machines, {1, 2, 3, 4, 5})

    def test_a_machine_that_gave_no_answer_is_asked_last_for_a_while(self) -> None:
        for seed in range(20):
            search = PrimarySearch(random.Random(seed).random)
            search.on_no_answer(2, 1.0)
            search.on_no_answer(4, 0.5)
            self.assertEqual(self.search_order(search, range(1, 6), 2.0)[3:], [4, 2])
        orders = set()
        for seed in range(40):
            search = PrimarySearch(random.Random(seed).random)
            search.on_no_answer(2, 1.0)
            orders.add(self.search_order(search, range(1, 6), 1.0 + SUSPECT_SECONDS)[0])
        self.assertIn(2, orders)

    def test_a_hinted_primary_is_asked_next_and_only_once(self) -> None:
        search = PrimarySearch(random.Random(1).random)
        search.on_no_answer(5, 0.0)
        search.begin(range(1, 6), 0.0)
        first = search.next_machine()
        search.on_primary_hint(5)
        self.assertEqual(search.next_machine(), 5)
        search.on_primary_hint(first)
        rest = [search.next_machine() for _ in range(4)]
        self.assertEqual((first in rest, rest[-1]), (False, None))

    def test_a_hinted_primary_outside_the_list_is_asked(self) -> None:
        search = PrimarySearch(random.Random(1).random)
        search.begin([1, 2], 0.0)
        search.on_primary_hint(9)
        self.assertEqual(search.next_machine(), 9)

    def test_a_primary_hinted_between_searches_is_asked_first(self) -> None:
        for seed in range(20):
            search = PrimarySearch(random.Random(seed).random)
            search.on_primary_hint(3)
            self.assertEqual(self.search_order(search, range(1, 6), 0.0)[0], 3)


if __name__ == "__main__":
    unittest.main()
