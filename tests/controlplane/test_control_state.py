"""The control state: its bytes, and what a change makes of it."""

import copy
import random
import unittest
from struct import Struct
from typing import Any
from unittest import mock

import orjson

from rowanshift.controlplane import order_history
from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.configuration_reader import body_digest
from rowanshift.controlplane.control_state import (
    ControlState,
    put_version,
    unpack,
)
from rowanshift.controlplane.errors import (
    BadControlState,
    InvalidConfiguration,
    InvalidVersion,
    OrderTooOld,
    StaleMatch,
)
from rowanshift.controlplane.order_history import MAX_REMEMBERED_ORDERS, ORDER_ENTRY, OrderHistory

ORDER_FORMAT_1 = Struct(">Q32s")


def body(revision: int, **more: Any) -> bytes:
    return orjson.dumps(
        {
            "revision": revision,
            "routes": [{"name": "r", "hostname": "h.test", "pathPrefix": "/", "backend": "s", "timeoutMs": 10}],
            "backends": [{"name": "s"}],
        }
        | more
    )


def after(state: ControlState, if_match: str | None, sent: bytes) -> ControlState:
    """The state after a change that is neither refused nor taken already."""
    made = put_config(state, if_match, sent)
    assert made is not None
    return made[0]


def drawn(draw: random.Random) -> ControlState:
    names = ["", "m", "é" * 40, "x" * 3000, *(f"model-{draw.randrange(50)}" for _ in range(20))]
    recent = draw.choice((0, 1, 64, draw.randrange(300)))
    return ControlState(
        revision=draw.choice((0, 1, 2**63 - 1, draw.randrange(2**40))),
        config=draw.randbytes(draw.choice((0, 1, 5000))),
        versions={draw.choice(names): draw.randrange(1, 2**63) for _ in range(draw.randrange(12))},
        orders=OrderHistory(draw.randbytes(ORDER_ENTRY.size * recent), draw.randrange(2**40)),
    )


class Packed(unittest.TestCase):
    def test_round_trips(self) -> None:
        draw = random.Random(23)
        for _ in range(400):
            state = drawn(draw)
            self.assertEqual(unpack(state.pack()), state)

    def test_no_bytes_are_the_empty_state(self) -> None:
        self.assertEqual(unpack(b""), ControlState())
        self.assertEqual(unpack(ControlState().pack()), ControlState())

    def test_equal_states_have_equal_bytes(self) -> None:
        one, two = ControlState(versions={"a": 1, "b": 2}), ControlState(versions={"b": 2, "a": 1})
        self.assertEqual(one.pack(), two.pack())

    def test_cut_short_or_too_long(self) -> None:
        state = ControlState(
            7, b"{}", {"m": 2, "né": 3}, OrderHistory().with_order(5, bytes(32)).with_order(7, b"\1" * 32)
        )
        packed = state.pack()
        for length in range(1, len(packed)):
            with self.assertRaises(BadControlState):
                unpack(packed[:length])
        with self.assertRaises(BadControlState):
            unpack(packed + b"\0")

    def test_any_bytes_are_read_or_refused(self) -> None:
        draw = random.Random(29)
        refused = 0
        for _ in range(4000):
            packed = bytearray(drawn(draw).pack())
            for _ in range(draw.randrange(1, 4)):
                packed[draw.randrange(min(len(packed), 60))] = draw.randrange(256)
            try:
                unpack(bytes(packed))
            except BadControlState:
                refused += 1
        self.assertGreater(refused, 2000)

    def test_what_no_sheet_holds(self) -> None:
        twice = bytearray(ControlState(versions={"a": 1, "b": 2}).pack())
        twice[twice.index(b"b")] = ord("a")
        many = ControlState(orders=OrderHistory(bytes(ORDER_ENTRY.size * (MAX_REMEMBERED_ORDERS + 1)))).pack()
        for packed in (bytes(twice), many, b"RSSH", b"\0" * 40, b"XXXX" + ControlState().pack()[4:]):
            with self.assertRaises(BadControlState):
                unpack(packed)


class Configurations(unittest.TestCase):
    def test_one_after_the_other(self) -> None:
        first = after(ControlState(), "0", body(3))
        self.assertEqual((first.revision, first.config), (3, body(3)))
        self.assertEqual((first.orders.revisions(), first.orders.contains(body_digest(body(3)))), ([3], True))
        made = put_config(first, "3", body(9))
        assert made is not None
        second, config = made
        self.assertEqual((second.revision, config.revision, len(second.orders)), (9, 9, 2))
        self.assertEqual(first.revision, 3)  # the state before is as it was

    def test_a_retry_of_one_taken(self) -> None:
        state = after(after(ControlState(), "0", body(3)), "3", body(4))
        for sent in (body(3), body(4), orjson.dumps(orjson.loads(body(3)), option=orjson.OPT_INDENT_2)):
            for if_match in ("0", "3", "4", None):
                self.assertIsNone(put_config(state, if_match, sent))

    def test_another_under_a_number_that_was_taken(self) -> None:
        state = after(ControlState(), "0", body(3))
        with self.assertRaises(StaleMatch):
            put_config(state, "0", body(3, colour=1))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "3", body(3, colour=1))

    def test_one_of_two_on_top_of_the_same_wins(self) -> None:
        state = after(ControlState(), "0", body(3))
        won = after(state, "3", body(5))
        with self.assertRaises(StaleMatch) as caught:
            put_config(won, "3", body(6))
        self.assertEqual(caught.exception.current, 5)

    def test_invalid_goes_before_stale(self) -> None:
        state = after(ControlState(), "0", body(3))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "0", body(5, backends=[]))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "3", body(5)[:-1])

    def test_revision_not_above(self) -> None:
        state = after(ControlState(), "0", body(3))
        for revision in (1, 2):
            with self.assertRaises(InvalidConfiguration) as caught:
                put_config(state, "3", body(revision))
            self.assertEqual(caught.exception.path, "revision")

    def test_an_order_comes_again_after_hundreds_of_others(self) -> None:
        state = ControlState()
        for revision in range(1, 1002):
            state = unpack(after(state, str(revision - 1), body(revision)).pack())
        for revision in (1, 2, 75, 149, 500, 1000, 1001):
            for if_match in (str(revision - 1), "1001", None):
                self.assertIsNone(put_config(state, if_match, body(revision)))
        with self.assertRaises(StaleMatch):
            put_config(state, "74", body(75, colour=1))  # the other operator's, under the same number

    def test_beyond_what_is_remembered_nothing_is_refused(self) -> None:
        state = ControlState(9, orders=OrderHistory(highest_dropped=4))
        for revision in (1, 4):
            with self.assertRaises(OrderTooOld):
                put_config(state, "0", body(revision))
        with self.assertRaises(InvalidConfiguration):
            put_config(state, "0", body(4, backends=[]))  # it can't have been taken
        with self.assertRaises(StaleMatch):
            put_config(state, "4", body(5))

    def test_version_announcements_stay(self) -> None:
        state = put_version(ControlState(), "m", 4)
        assert state is not None
        self.assertEqual(after(state, "0", body(1)).versions, {"m": 4})


class History(unittest.TestCase):
    def test_the_oldest_go_and_their_revisions_are_kept_in_mind(self) -> None:
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

    def test_a_fingerprint_is_looked_for_at_its_places_only(self) -> None:
        history = OrderHistory().with_order(0x0101010101010101, b"\1" * 16).with_order(1, b"\2" * 8 + b"\3" * 8)
        self.assertTrue(history.contains(b"\1" * 32))
        shifted = history.entries[3:19]
        self.assertIn(shifted, history.entries)
        self.assertFalse(OrderHistory(history.entries[ORDER_ENTRY.size :]).contains(b"\0" * 8 + b"\2" * 8))

    def test_a_full_history_fits_and_is_quick_to_search(self) -> None:
        history = OrderHistory(random.Random(5).randbytes(ORDER_ENTRY.size * MAX_REMEMBERED_ORDERS))
        self.assertEqual(len(history), MAX_REMEMBERED_ORDERS)
        self.assertEqual(len(history.with_order(1, bytes(32))), MAX_REMEMBERED_ORDERS)
        self.assertLess(len(ControlState(orders=history).pack()), 500_000)

    def test_what_was_taken_under_format_1_is_known(self) -> None:
        old = [(3, body_digest(body(3))), (4, body_digest(body(4)))]
        packed = Struct(">4sHQIIH").pack(b"RSSH", 1, 4, len(body(4)), 0, 2) + body(4)
        state = unpack(packed + b"".join(ORDER_FORMAT_1.pack(*order) for order in old))
        self.assertEqual((state.revision, state.config, state.orders.revisions()), (4, body(4), [3, 4]))
        self.assertIsNone(put_config(state, "0", body(3)))
        self.assertEqual(unpack(state.pack()), state)


class Versions(unittest.TestCase):
    def test_they_rise(self) -> None:
        state = ControlState()
        for revision in (1, 2, 9):
            before, old = state, copy.deepcopy(state)
            made = put_version(state, "m", revision)
            assert made is not None
            state = made
            self.assertEqual(state.versions, {"m": revision})
            self.assertEqual(before, old)
        other = put_version(state, "n", 1)
        assert other is not None
        self.assertEqual(other.versions, {"m": 9, "n": 1})

    def test_that_or_a_newer_one_already(self) -> None:
        state = ControlState(versions={"m": 5})
        for revision in (1, 4, 5):
            self.assertIsNone(put_version(state, "m", revision))

    def test_refused(self) -> None:
        for model in (None, 5, b"m", [], "", "x" * 70_000, "\ud800"):
            with self.subTest(model=model), self.assertRaises(InvalidVersion) as caught:
                put_version(ControlState(), model, 1)
            self.assertEqual((caught.exception.path, caught.exception.status), ("model", 400))
        for revision in (None, 0, -1, "1", 1.0, True, 2**63, []):
            with self.subTest(revision=revision), self.assertRaises(InvalidVersion) as caught:
                put_version(ControlState(), "m", revision)
            self.assertEqual(caught.exception.path, "revision")


if __name__ == "__main__":
    unittest.main()
