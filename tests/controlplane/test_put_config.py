"""``PUT /config``: which configurations may replace each other, and that an order is applied once."""

import unittest

import orjson

from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.configuration_reader import body_digest
from rowanshift.controlplane.control_state import (
    ControlState,
    put_version,
    unpack,
)
from rowanshift.controlplane.errors import (
    InvalidConfiguration,
    OrderTooOld,
    StaleMatch,
)
from rowanshift.controlplane.order_history import OrderHistory
from tests.support.configurations import configuration_body, state_after_put


class PutConfigurations(unittest.TestCase):
    def test_a_configuration_replaces_the_former_one(self) -> None:
        first = state_after_put(ControlState(), "0", configuration_body(3))
        self.assertEqual((first.revision, first.config), (3, configuration_body(3)))
        self.assertEqual(
            (first.orders.revisions(), first.orders.contains(body_digest(configuration_body(3)))), ([3], True)
        )
        change = put_config(first, "3", configuration_body(9))
        assert change is not None
        second, config = change
        self.assertEqual((second.revision, config.revision, len(second.orders)), (9, 9, 2))
        self.assertEqual(first.revision, 3)  # the former state is unchanged

    def test_a_repeated_order_is_acknowledged_again(self) -> None:
        state = state_after_put(state_after_put(ControlState(), "0", configuration_body(3)), "3", configuration_body(4))
        for repeated_body in (
            configuration_body(3),
            configuration_body(4),
            orjson.dumps(orjson.loads(configuration_body(3)), option=orjson.OPT_INDENT_2),
        ):
            for if_match in ("0", "3", "4", None):
                self.assertIsNone(put_config(state, if_match, repeated_body))

    def test_another_configuration_with_a_used_revision_is_rejected(self) -> None:
        state = state_after_put(ControlState(), "0", configuration_body(3))
        with self.assertRaises(StaleMatch):
            put_config(state, "0", configuration_body(3, colour=1))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "3", configuration_body(3, colour=1))

    def test_the_second_of_two_changes_on_the_same_base_is_stale(self) -> None:
        state = state_after_put(ControlState(), "0", configuration_body(3))
        state_after_first = state_after_put(state, "3", configuration_body(5))
        with self.assertRaises(StaleMatch) as caught:
            put_config(state_after_first, "3", configuration_body(6))
        self.assertEqual(caught.exception.current, 5)

    def test_an_invalid_configuration_is_reported_before_a_stale_match(self) -> None:
        state = state_after_put(ControlState(), "0", configuration_body(3))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "0", configuration_body(5, backends=[]))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "3", configuration_body(5)[:-1])

    def test_a_revision_that_is_not_above_the_current_one_is_rejected(self) -> None:
        state = state_after_put(ControlState(), "0", configuration_body(3))
        for revision in (1, 2):
            with self.assertRaises(InvalidConfiguration) as caught:
                put_config(state, "3", configuration_body(revision))
            self.assertEqual(caught.exception.path, "revision")

    def test_an_order_repeated_after_hundreds_of_others_is_acknowledged(self) -> None:
        state = ControlState()
        for revision in range(1, 1002):
            state = unpack(state_after_put(state, str(revision - 1), configuration_body(revision)).pack())
        for revision in (1, 2, 75, 149, 500, 1000, 1001):
            for if_match in (str(revision - 1), "1001", None):
                self.assertIsNone(put_config(state, if_match, configuration_body(revision)))
        with self.assertRaises(StaleMatch):
            put_config(state, "74", configuration_body(75, colour=1))  # another configuration with a used revision

    def test_an_order_older_than_the_history_is_not_rejected(self) -> None:
        state = ControlState(9, orders=OrderHistory(highest_dropped=4))
        for revision in (1, 4):
            with self.assertRaises(OrderTooOld):
                put_config(state, "0", configuration_body(revision))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "0", configuration_body(4, backends=[]))  # it cannot have been applied
        with self.assertRaises(StaleMatch):
            put_config(state, "4", configuration_body(5))

    def test_model_versions_are_kept(self) -> None:
        state = put_version(ControlState(), "m", 4)
        assert state is not None
        self.assertEqual(state_after_put(state, "0", configuration_body(1)).versions, {"m": 4})


if __name__ == "__main__":
    unittest.main()
