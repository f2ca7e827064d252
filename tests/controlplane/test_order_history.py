"""The history of applied orders: capacity, lookup by digest, and conversion from format 1."""

import random
import unittest
from struct import Struct
from unittest import mock

from rowanshift.controlplane import order_history
from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.configuration_reader import body_digest
from rowanshift.controlplane.control_state import (
    ControlState,
    unpack,
)
from rowanshift.controlplane.errors import (
    OrderTooOld,
)
from rowanshift.controlplane.order_history import MAX_REMEMBERED_ORDERS, ORDER_ENTRY, OrderHistory
from tests.support.configurations import configuration_body

ORDER_FORMAT_1 = Struct(">Q32s")


class OrderHistories(unittest.TestCase):
    def test_the_oldest_orders_are_dropped_and_the_highest_revision_is_kept(self) -> None:
        with mock.patch.object(order_history, "MAX_REMEMBERED_ORDERS", 3):
            history = OrderHistory()
            for revision in (2, 5, 7, 9, 12):
                history = history.with_order(revision, bytes([revision]) * 32)
        self.assertEqual((history.revisions(), history.highest_dropped), ([7, 9, 12], 5))
        self.assertTrue(history.contains(bytes([7]) * 32))
        self.assertFalse(history.contains(bytes([5]) * 32))
        history.check_not_dropped(6)
        with self.assertRaises(OrderTooOld):
            history.check_not_dropped(5)

    def test_a_fingerprint_is_found_only_at_its_offset(self) -> None:
        history = OrderHistory().with_order(0x0101010101010101, b"\1" * 16).with_order(1, b"\2" * 8 + b"\3" * 8)
        self.assertTrue(history.contains(b"\1" * 32))
        shifted = history.entries[3:19]
        self.assertIn(shifted, history.entries)
        self.assertFalse(OrderHistory(history.entries[ORDER_ENTRY.size :]).contains(b"\0" * 8 + b"\2" * 8))

    def test_a_full_history_fits_into_the_state(self) -> None:
        history = OrderHistory(random.Random(5).randbytes(ORDER_ENTRY.size * MAX_REMEMBERED_ORDERS))
        self.assertEqual(len(history), MAX_REMEMBERED_ORDERS)
        self.assertEqual(len(history.with_order(1, bytes(32))), MAX_REMEMBERED_ORDERS)
        self.assertLess(len(ControlState(orders=history).pack()), 500_000)

    def test_orders_of_format_1_are_recognized(self) -> None:
        former_orders = [(3, body_digest(configuration_body(3))), (4, body_digest(configuration_body(4)))]
        packed = Struct(">4sHQIIH").pack(b"RSSH", 1, 4, len(configuration_body(4)), 0, 2) + configuration_body(4)
        state = unpack(packed + b"".join(ORDER_FORMAT_1.pack(*order) for order in former_orders))
        self.assertEqual((state.revision, state.config, state.orders.revisions()), (4, configuration_body(4), [3, 4]))
        self.assertIsNone(put_config(state, "0", configuration_body(3)))
        self.assertEqual(unpack(state.pack()), state)


if __name__ == "__main__":
    unittest.main()
