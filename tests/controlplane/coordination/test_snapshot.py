"""Serialization of the coordination state: round trips, malformed bytes, and the size of a delta."""

import random
import unittest

from rowanshift.controlplane.coordination import snapshot
from rowanshift.controlplane.coordination.calls import NextNumber, PutKey, ReadEvents, TakeLock
from rowanshift.controlplane.coordination.snapshot import BadCoordinationState, unpack
from rowanshift.controlplane.coordination.state_machine import CoordinationStateMachine
from rowanshift.wire.delta import apply_delta, make_delta

HISTORY_SECONDS = 20.0
LOCKS, NUMBERS, KEYS = 80, 2, 300


def populated_state_machine(seed: int, puts: int = 400) -> CoordinationStateMachine:
    """A state machine with as many locks, numbers and keys as two deployments have."""
    random_source, state_machine = random.Random(seed), CoordinationStateMachine(b"", 0.0, HISTORY_SECONDS)
    for n in range(LOCKS):
        state_machine.apply(TakeLock(f"l{n}", f"a{n % 11}.{n}", 3000), 0.0)
    for n in range(NUMBERS):
        state_machine.apply(NextNumber(f"n{n}"), 0.0)
    for n in range(puts):
        key = f"g{random_source.randrange(3)}.{random_source.randrange(KEYS // 3)}"
        state_machine.apply(PutKey(key, f"{random_source.getrandbits(64):016x}", None), n * 0.1)
    return state_machine


class Snapshots(unittest.TestCase):
    def test_the_empty_state(self) -> None:
        state = unpack(b"", 0.0)
        self.assertEqual(unpack(state.pack(), 0.0).pack(), state.pack())
        self.assertEqual(state.byte_size, len(state.pack()))

    def test_a_packed_state_is_unpacked_unchanged(self) -> None:
        for seed in range(5):
            state_machine = populated_state_machine(seed)
            packed = state_machine.pack(40.0)
            state = unpack(packed, 0.0)
            self.assertEqual(state.pack(), packed)
            self.assertEqual(state.byte_size, len(packed))
            unpacked = CoordinationStateMachine(packed, 100.0, HISTORY_SECONDS)
            for call in (ReadEvents("g1.", 3), TakeLock("l1", "other", 1), NextNumber("n1")):
                self.assertEqual(unpacked.apply(call, 100.0), state_machine.apply(call, 1.0))

    def test_malformed_bytes_are_rejected(self) -> None:
        packed = populated_state_machine(1, puts=3).pack(0.0)
        end = packed.index(snapshot.RECORD_END)
        malformed = (
            b"x",
            b"XXXX" + packed[4:],
            packed[:4] + b"\0\7" + packed[6:],
            packed[:-1],
            packed + b"\0",
            packed[:end] + b"!!" + packed[end + 2 :],
        )
        for data in malformed:
            with self.subTest(data[:8]), self.assertRaises(BadCoordinationState):
                unpack(data, 0.0)

    def test_a_delta_is_small_after_a_small_change(self) -> None:
        state_machine = populated_state_machine(2)
        before = state_machine.pack(40.0)
        state_machine.apply(PutKey("g1.7", "0123456789abcdef", None), 40.1)
        state_machine.apply(TakeLock("l7", "a7.7", 3000), 40.1)
        after = state_machine.pack(40.1)
        delta = make_delta(before, after)
        self.assertEqual(apply_delta(before, delta, len(after)), after)
        self.assertLess(len(delta), 600)
        self.assertGreater(len(after), 20_000)


if __name__ == "__main__":
    unittest.main()
