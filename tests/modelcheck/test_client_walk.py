"""Walks with operators and routers over machines that fail and recover."""

from __future__ import annotations

import unittest
from unittest import mock

from rowanshift.controlplane import order_history
from rowanshift.controlplane.configuration_reader import parse_configuration
from rowanshift.modelcheck.client_messages import ConfigChange, Status
from rowanshift.modelcheck.client_walk import ClientWalk


class ClientWalks(unittest.TestCase):
    """No invariant is violated, and operators and routers make progress."""

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

    def test_three_machines(self) -> None:
        self.walk(range(2000, 2016), 3, 1, 0, 100)

    def test_three_machines_and_a_spare(self) -> None:
        self.walk(range(2000, 2016), 3, 1, 1, 100)

    def test_five_machines_and_two_spares(self) -> None:
        self.walk(range(2000, 2012), 5, 2, 2, 70)

    def test_changes_dropped_from_the_history_are_neither_refused_nor_applied_again(self) -> None:
        with mock.patch.object(order_history, "MAX_REMEMBERED_ORDERS", 3):
            self.walk(range(2020, 2036), 3, 1, 0, 100)

    def test_a_modelled_change_is_a_valid_configuration(self) -> None:
        self.assertEqual(7, parse_configuration(ConfigChange(3, 6, 7).body).revision)
        self.assertNotEqual(ConfigChange(3, 6, 7).body, ConfigChange(4, 6, 7).body)

    def test_statuses_are_those_of_the_api(self) -> None:
        self.assertEqual([200, 400, 412, 503], [status.value for status in Status])


if __name__ == "__main__":
    unittest.main()
