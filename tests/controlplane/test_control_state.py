"""The control state: its bytes, and the versions put into it."""

import copy
import random
import unittest

from rowanshift.controlplane.control_state import (
    ControlState,
    put_version,
    unpack,
)
from rowanshift.controlplane.errors import (
    BadControlState,
    InvalidVersion,
)
from rowanshift.controlplane.order_history import MAX_REMEMBERED_ORDERS, ORDER_ENTRY, OrderHistory


def random_state(draw: random.Random) -> ControlState:
    names = ["", "m", "é" * 40, "x" * 3000, *(f"model-{draw.randrange(50)}" for _ in range(20))]
    recent = draw.choice((0, 1, 64, draw.randrange(300)))
    return ControlState(
        revision=draw.choice((0, 1, 2**63 - 1, draw.randrange(2**40))),
        config=draw.randbytes(draw.choice((0, 1, 5000))),
        versions={draw.choice(names): draw.randrange(1, 2**63) for _ in range(draw.randrange(12))},
        orders=OrderHistory(draw.randbytes(ORDER_ENTRY.size * recent), draw.randrange(2**40)),
    )


class PackedStates(unittest.TestCase):
    def test_a_packed_state_is_unpacked_as_it_was(self) -> None:
        draw = random.Random(23)
        for _ in range(400):
            state = random_state(draw)
            self.assertEqual(unpack(state.pack()), state)

    def test_no_bytes_are_the_empty_state(self) -> None:
        self.assertEqual(unpack(b""), ControlState())
        self.assertEqual(unpack(ControlState().pack()), ControlState())

    def test_equal_states_have_equal_bytes(self) -> None:
        one, two = ControlState(versions={"a": 1, "b": 2}), ControlState(versions={"b": 2, "a": 1})
        self.assertEqual(one.pack(), two.pack())

    def test_bytes_cut_short_or_too_long_are_refused(self) -> None:
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
            packed = bytearray(random_state(draw).pack())
            for _ in range(draw.randrange(1, 4)):
                packed[draw.randrange(min(len(packed), 60))] = draw.randrange(256)
            try:
                unpack(bytes(packed))
            except BadControlState:
                refused += 1
        self.assertGreater(refused, 2000)

    def test_counts_that_no_state_has_are_refused(self) -> None:
        twice = bytearray(ControlState(versions={"a": 1, "b": 2}).pack())
        twice[twice.index(b"b")] = ord("a")
        many = ControlState(orders=OrderHistory(bytes(ORDER_ENTRY.size * (MAX_REMEMBERED_ORDERS + 1)))).pack()
        for packed in (bytes(twice), many, b"RSSH", b"\0" * 40, b"XXXX" + ControlState().pack()[4:]):
            with self.assertRaises(BadControlState):
                unpack(packed)


class PutVersions(unittest.TestCase):
    def test_versions_rise(self) -> None:
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

    def test_a_version_that_is_not_newer_changes_nothing(self) -> None:
        state = ControlState(versions={"m": 5})
        for revision in (1, 4, 5):
            self.assertIsNone(put_version(state, "m", revision))

    def test_an_invalid_model_or_revision_is_refused(self) -> None:
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
