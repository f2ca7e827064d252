"""The control state: its encoding, and changes of model versions."""

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


def random_state(random_source: random.Random) -> ControlState:
    names = ["", "m", "é" * 40, "x" * 3000, *(f"model-{random_source.randrange(50)}" for _ in range(20))]
    order_count = random_source.choice((0, 1, 64, random_source.randrange(300)))
    return ControlState(
        revision=random_source.choice((0, 1, 2**63 - 1, random_source.randrange(2**40))),
        config=random_source.randbytes(random_source.choice((0, 1, 5000))),
        versions={
            random_source.choice(names): random_source.randrange(1, 2**63) for _ in range(random_source.randrange(12))
        },
        orders=OrderHistory(random_source.randbytes(ORDER_ENTRY.size * order_count), random_source.randrange(2**40)),
    )


class PackedStates(unittest.TestCase):
    def test_a_packed_state_is_unpacked_unchanged(self) -> None:
        random_source = random.Random(23)
        for _ in range(400):
            state = random_state(random_source)
            self.assertEqual(unpack(state.pack()), state)

    def test_zero_bytes_are_the_empty_state(self) -> None:
        self.assertEqual(unpack(b""), ControlState())
        self.assertEqual(unpack(ControlState().pack()), ControlState())

    def test_equal_states_have_equal_bytes(self) -> None:
        one, two = ControlState(versions={"a": 1, "b": 2}), ControlState(versions={"b": 2, "a": 1})
        self.assertEqual(one.pack(), two.pack())

    def test_truncated_or_surplus_bytes_are_rejected(self) -> None:
        state = ControlState(
            7, b"{}", {"m": 2, "né": 3}, OrderHistory().with_order(5, bytes(32)).with_order(7, b"\1" * 32)
        )
        packed = state.pack()
        for length in range(1, len(packed)):
            with self.assertRaises(BadControlState):
                unpack(packed[:length])
        with self.assertRaises(BadControlState):
            unpack(packed + b"\0")

    def test_corrupt_bytes_are_decoded_or_rejected(self) -> None:
        random_source = random.Random(29)
        rejected = 0
        for _ in range(4000):
            packed = bytearray(random_state(random_source).pack())
            for _ in range(random_source.randrange(1, 4)):
                packed[random_source.randrange(min(len(packed), 60))] = random_source.randrange(256)
            try:
                unpack(bytes(packed))
            except BadControlState:
                rejected += 1
        self.assertGreater(rejected, 2000)

    def test_invalid_counts_and_headers_are_rejected(self) -> None:
        duplicate_model = bytearray(ControlState(versions={"a": 1, "b": 2}).pack())
        duplicate_model[duplicate_model.index(b"b")] = ord("a")
        too_many_orders = ControlState(
            orders=OrderHistory(bytes(ORDER_ENTRY.size * (MAX_REMEMBERED_ORDERS + 1)))
        ).pack()
        for packed in (
            bytes(duplicate_model),
            too_many_orders,
            b"RSSH",
            b"\0" * 40,
            b"XXXX" + ControlState().pack()[4:],
        ):
            with self.assertRaises(BadControlState):
                unpack(packed)


class PutVersions(unittest.TestCase):
    def test_versions_increase(self) -> None:
        state = ControlState()
        for revision in (1, 2, 9):
            previous, previous_copy = state, copy.deepcopy(state)
            changed = put_version(state, "m", revision)
            assert changed is not None
            state = changed
            self.assertEqual(state.versions, {"m": revision})
            self.assertEqual(previous, previous_copy)
        other = put_version(state, "n", 1)
        assert other is not None
        self.assertEqual(other.versions, {"m": 9, "n": 1})

    def test_a_version_that_is_not_newer_changes_nothing(self) -> None:
        state = ControlState(versions={"m": 5})
        for revision in (1, 4, 5):
            self.assertIsNone(put_version(state, "m", revision))

    def test_an_invalid_model_or_revision_is_rejected(self) -> None:
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
