"""Numbers, keys and the history of puts: revisions, conflicts, repeated puts, limits and watches."""

import unittest
from unittest import mock

from rowanshift.controlplane.coordination import limits
from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyMissing,
    KeyPut,
    LimitReached,
    NextNumber,
    NumberGiven,
    PutEvent,
    PutKey,
    ReadEvents,
    ReadKey,
    RevisionConflict,
    group_of,
)
from rowanshift.controlplane.coordination.state_machine import (
    HISTORY_FACTOR,
    MIN_HISTORY_SECONDS,
    CoordinationStateMachine,
    Effect,
)

HISTORY_SECONDS = 20.0
RETENTION_SECONDS = max(MIN_HISTORY_SECONDS, HISTORY_FACTOR * HISTORY_SECONDS)


class StateTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.state_machine = CoordinationStateMachine(b"", 0.0, HISTORY_SECONDS)

    def apply(self, call: Call, now: float = 0.0) -> Answer:
        return self.state_machine.apply(call, now).answer

    def put(self, key: str, value: str, expected: int | None = None, now: float = 0.0) -> Answer:
        return self.apply(PutKey(key, value, expected), now)

    def commit(self, now: float = 0.0) -> set[str]:
        self.state_machine.pack(now)
        return self.state_machine.mark_committed()


class Numbers(StateTestCase):
    def test_numbers_increase_across_takeovers(self) -> None:
        values = [self.apply(NextNumber(name)) for name in ("n", "n", "m")]
        self.assertEqual(values, [NumberGiven(1), NumberGiven(2), NumberGiven(1)])
        self.state_machine = CoordinationStateMachine(self.state_machine.pack(0.0), 7.0, HISTORY_SECONDS)
        self.assertEqual(self.apply(NextNumber("n")), NumberGiven(3))

    def test_the_number_of_sequences_is_limited(self) -> None:
        for number in range(limits.MAX_NUMBER_NAMES):
            self.apply(NextNumber(f"n{number}"))
        self.assertIsInstance(self.apply(NextNumber("more")), LimitReached)
        self.assertEqual(self.apply(NextNumber("n0")), NumberGiven(2))


class Puts(StateTestCase):
    def test_keys_of_a_group_share_one_revision_counter(self) -> None:
        answers = [self.put("g.a", "1"), self.put("g.b", "2"), self.put("h.a", "3"), self.put("g.a", "4")]
        self.assertEqual(answers, [KeyPut(1), KeyPut(2), KeyPut(1), KeyPut(3)])
        self.assertEqual(self.apply(ReadKey("g.a")), KeyFound("4", 3))
        self.assertEqual(self.apply(ReadKey("g.c")), KeyMissing())

    def test_a_put_with_another_expected_revision_changes_nothing(self) -> None:
        self.put("g.a", "1", 0)
        for expected in (0, 2):
            applied = self.state_machine.apply(PutKey("g.a", "2", expected), 0.0)
            self.assertEqual((applied.answer, applied.effect), (RevisionConflict(1), Effect.NONE))
        self.assertEqual(self.put("g.b", "3", 1), RevisionConflict(0))
        self.assertEqual(self.put("g.a", "2", 1), KeyPut(2))

    def test_a_repeated_put_returns_its_first_revision(self) -> None:
        self.put("g.a", "1", 0)
        self.put("g.a", "2", 1)
        for call in (PutKey("g.a", "1", 0), PutKey("g.a", "2", 1)):
            applied = self.state_machine.apply(call, 1.0)
            self.assertEqual((applied.answer, applied.effect), (KeyPut(call.expected_revision + 1), Effect.NONE))
        self.state_machine = CoordinationStateMachine(self.state_machine.pack(1.0), 50.0, HISTORY_SECONDS)
        self.assertEqual(self.put("g.a", "1", 0, 50.0), KeyPut(1))

    def test_the_latest_put_of_a_key_is_recognized_after_it_has_left_the_history(self) -> None:
        self.put("g.a", "1", 0)
        self.commit(10 * RETENTION_SECONDS)
        self.assertEqual(self.put("g.a", "1", 0, 10 * RETENTION_SECONDS), KeyPut(1))

    def test_a_put_of_the_same_value_to_another_key_is_no_repetition(self) -> None:
        self.assertEqual([self.put("g.a", "1"), self.put("g.b", "1")], [KeyPut(1), KeyPut(2)])

    def test_the_number_of_groups_is_limited(self) -> None:
        for number in range(limits.MAX_GROUPS):
            self.put(f"g{number}.a", "1")
        self.assertEqual(self.put("more.a", "1"), LimitReached(f"limit of {limits.MAX_GROUPS} key groups reached"))
        self.assertEqual(self.put("g0.a", "2"), KeyPut(2))

    @mock.patch.object(limits, "MAX_KEYS", 50)
    def test_the_number_of_keys_is_limited(self) -> None:
        for number in range(limits.MAX_KEYS):
            self.put(f"g.{number}", "1")
        self.assertEqual(self.put("g.more", "1"), LimitReached("limit of 50 keys reached"))
        self.assertEqual(self.put("g.0", "2"), KeyPut(51))

    @mock.patch.object(limits, "MAX_HISTORY_ENTRIES", 50)
    def test_the_number_of_puts_in_the_history_is_limited(self) -> None:
        for number in range(limits.MAX_HISTORY_ENTRIES):
            self.put("g.a", str(number))
        refused = self.put("g.a", "more")
        self.assertEqual(refused, LimitReached(f"limit of {limits.MAX_HISTORY_ENTRIES} puts in the history reached"))
        self.commit(2 * RETENTION_SECONDS)
        self.assertEqual(self.put("g.a", "more", now=2 * RETENTION_SECONDS), KeyPut(limits.MAX_HISTORY_ENTRIES + 1))

    def test_the_size_of_the_state_is_limited(self) -> None:
        value = "v" * limits.MAX_VALUE_BYTES
        answers = [self.put(f"g.{number}", value) for number in range(limits.MAX_STATE_BYTES // limits.MAX_VALUE_BYTES)]
        self.assertEqual(answers[-1], LimitReached(f"limit of {limits.MAX_STATE_BYTES} bytes reached"))
        max_bytes = limits.MAX_STATE_BYTES + 2 * (limits.MAX_VALUE_BYTES + 2 * limits.MAX_NAME_BYTES)
        self.assertLessEqual(len(self.state_machine.pack(0.0)), max_bytes)
        self.assertIsInstance(self.apply(NextNumber("n")), LimitReached)


class Watches(StateTestCase):
    def test_events_are_all_puts_of_the_group_after_a_revision(self) -> None:
        for key, value in (("g.a", "1"), ("h.a", "2"), ("g.b", "3"), ("g.a", "4")):
            self.put(key, value)
        events = PutEvent("g.b", "3", 2), PutEvent("g.a", "4", 3)
        self.assertEqual(self.apply(ReadEvents("g.", 1)), Events(events, 3))
        self.assertEqual(self.apply(ReadEvents("g.", 3)), Events((), 3))
        self.assertEqual(self.apply(ReadEvents("none.", 0)), Events((), 0))

    def test_after_0_returns_only_the_current_revision(self) -> None:
        self.put("g.a", "1")
        self.assertEqual(self.apply(ReadEvents("g.", 0)), Events((), 1))

    def test_watches_see_only_committed_puts(self) -> None:
        self.put("g.a", "1")
        self.commit()
        self.put("g.a", "2")
        self.assertEqual(self.state_machine.committed_events("g.", 1), Events((), 1))
        self.assertEqual(self.commit(), {"g."})
        self.assertEqual(self.state_machine.committed_events("g.", 1), Events((PutEvent("g.a", "2", 2),), 2))
        self.assertEqual(self.commit(), set())

    def test_puts_are_kept_for_the_retention_time_and_then_dropped(self) -> None:
        for now, value in ((0.0, "1"), (5.0, "2")):
            self.put("g.a", value, now=now)
        self.commit(RETENTION_SECONDS)
        self.assertIsInstance(self.apply(ReadEvents("g.", 1)), Events)
        self.commit(RETENTION_SECONDS + 6.0)
        self.assertEqual(self.apply(ReadEvents("g.", 1)), HistoryDropped())
        self.assertEqual(self.apply(ReadEvents("g.", 2)), Events((), 2))
        self.assertEqual(self.put("g.a", "3", 2, RETENTION_SECONDS + 7.0), KeyPut(3))
        self.assertEqual(self.apply(ReadEvents("g.", 2)), Events((PutEvent("g.a", "3", 3),), 3))

    def test_a_new_primary_restarts_the_retention_time_of_each_put(self) -> None:
        self.put("g.a", "1")
        self.put("g.a", "2")
        packed = self.state_machine.pack(RETENTION_SECONDS - 1.0)
        self.state_machine = CoordinationStateMachine(packed, 900.0, HISTORY_SECONDS)
        self.commit(900.0 + RETENTION_SECONDS - 1.0)
        self.assertEqual(self.apply(ReadEvents("g.", 1)), Events((PutEvent("g.a", "2", 2),), 2))
        self.assertEqual(self.state_machine.committed_events("g.", 1), Events((PutEvent("g.a", "2", 2),), 2))


class Groups(unittest.TestCase):
    def test_a_group_is_the_key_up_to_its_first_dot(self) -> None:
        groups = [group_of(key) for key in ("g1.a", "g1.a.b", "g1.", "plain", ".a")]
        self.assertEqual(groups, ["g1.", "g1.", "g1.", "plain", "."])


if __name__ == "__main__":
    unittest.main()
