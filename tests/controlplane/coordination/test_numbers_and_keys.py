"""Numbers, keys and the history of puts: revisions, conflicts, puts sent again, and what watches get."""

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
KEPT_SECONDS = max(MIN_HISTORY_SECONDS, HISTORY_FACTOR * HISTORY_SECONDS)


class StateCase(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = CoordinationStateMachine(b"", 0.0, HISTORY_SECONDS)

    def apply(self, call: Call, now: float = 0.0) -> Answer:
        return self.machine.apply(call, now).answer

    def put(self, key: str, value: str, expected: int | None = None, now: float = 0.0) -> Answer:
        return self.apply(PutKey(key, value, expected), now)

    def commit(self, now: float = 0.0) -> set[str]:
        self.machine.pack(now)
        return self.machine.committed()


class Numbers(StateCase):
    def test_numbers_of_a_name_rise_over_takeovers(self) -> None:
        values = [self.apply(NextNumber(name)) for name in ("n", "n", "m")]
        self.assertEqual(values, [NumberGiven(1), NumberGiven(2), NumberGiven(1)])
        self.machine = CoordinationStateMachine(self.machine.pack(0.0), 7.0, HISTORY_SECONDS)
        self.assertEqual(self.apply(NextNumber("n")), NumberGiven(3))

    def test_no_more_names_than_the_limit(self) -> None:
        for n in range(limits.MAX_NUMBER_NAMES):
            self.apply(NextNumber(f"n{n}"))
        self.assertIsInstance(self.apply(NextNumber("more")), LimitReached)
        self.assertEqual(self.apply(NextNumber("n0")), NumberGiven(2))


class Puts(StateCase):
    def test_keys_of_a_group_share_one_count_of_revisions(self) -> None:
        answers = [self.put("g.a", "1"), self.put("g.b", "2"), self.put("h.a", "3"), self.put("g.a", "4")]
        self.assertEqual(answers, [KeyPut(1), KeyPut(2), KeyPut(1), KeyPut(3)])
        self.assertEqual(self.apply(ReadKey("g.a")), KeyFound("4", 3))
        self.assertEqual(self.apply(ReadKey("g.c")), KeyMissing())

    def test_a_put_over_another_revision_than_expected_changes_nothing(self) -> None:
        self.put("g.a", "1", 0)
        for expected in (0, 2):
            applied = self.machine.apply(PutKey("g.a", "2", expected), 0.0)
            self.assertEqual((applied.answer, applied.effect), (RevisionConflict(1), Effect.NONE))
        self.assertEqual(self.put("g.b", "3", 1), RevisionConflict(0))
        self.assertEqual(self.put("g.a", "2", 1), KeyPut(2))

    def test_a_put_that_comes_again_gets_its_first_revision(self) -> None:
        self.put("g.a", "1", 0)
        self.put("g.a", "2", 1)
        for call in (PutKey("g.a", "1", 0), PutKey("g.a", "2", 1)):
            applied = self.machine.apply(call, 1.0)
            self.assertEqual((applied.answer, applied.effect), (KeyPut(call.expected_revision + 1), Effect.NONE))
        self.machine = CoordinationStateMachine(self.machine.pack(1.0), 50.0, HISTORY_SECONDS)
        self.assertEqual(self.put("g.a", "1", 0, 50.0), KeyPut(1))

    def test_the_newest_put_of_a_key_is_known_however_long_ago_it_was(self) -> None:
        self.put("g.a", "1", 0)
        self.commit(10 * KEPT_SECONDS)
        self.assertEqual(self.put("g.a", "1", 0, 10 * KEPT_SECONDS), KeyPut(1))

    def test_the_same_value_at_another_key_is_another_put(self) -> None:
        self.assertEqual([self.put("g.a", "1"), self.put("g.b", "1")], [KeyPut(1), KeyPut(2)])

    def test_a_limit_on_groups(self) -> None:
        for n in range(limits.MAX_GROUPS):
            self.put(f"g{n}.a", "1")
        self.assertEqual(self.put("more.a", "1"), LimitReached(f"there are {limits.MAX_GROUPS} groups of keys"))
        self.assertEqual(self.put("g0.a", "2"), KeyPut(2))

    @mock.patch.object(limits, "MAX_KEYS", 50)
    def test_a_limit_on_keys(self) -> None:
        for n in range(limits.MAX_KEYS):
            self.put(f"g.{n}", "1")
        self.assertEqual(self.put("g.more", "1"), LimitReached("there are 50 keys"))
        self.assertEqual(self.put("g.0", "2"), KeyPut(51))

    @mock.patch.object(limits, "MAX_HISTORY_ENTRIES", 50)
    def test_a_limit_on_the_puts_that_are_kept(self) -> None:
        for n in range(limits.MAX_HISTORY_ENTRIES):
            self.put("g.a", str(n))
        refused = self.put("g.a", "more")
        self.assertEqual(refused, LimitReached(f"{limits.MAX_HISTORY_ENTRIES} puts are kept for watches"))
        self.commit(2 * KEPT_SECONDS)
        self.assertEqual(self.put("g.a", "more", now=2 * KEPT_SECONDS), KeyPut(limits.MAX_HISTORY_ENTRIES + 1))

    def test_a_limit_on_the_bytes_of_the_state(self) -> None:
        value = "v" * limits.MAX_VALUE_BYTES
        answers = [self.put(f"g.{n}", value) for n in range(limits.MAX_STATE_BYTES // limits.MAX_VALUE_BYTES)]
        self.assertEqual(answers[-1], LimitReached(f"the state has {limits.MAX_STATE_BYTES} bytes"))
        most = limits.MAX_STATE_BYTES + 2 * (limits.MAX_VALUE_BYTES + 2 * limits.MAX_NAME_BYTES)
        self.assertLessEqual(len(self.machine.pack(0.0)), most)
        self.assertIsInstance(self.apply(NextNumber("n")), LimitReached)


class Watches(StateCase):
    def test_events_are_all_puts_of_the_group_after_a_revision(self) -> None:
        for key, value in (("g.a", "1"), ("h.a", "2"), ("g.b", "3"), ("g.a", "4")):
            self.put(key, value)
        events = PutEvent("g.b", "3", 2), PutEvent("g.a", "4", 3)
        self.assertEqual(self.apply(ReadEvents("g.", 1)), Events(events, 3))
        self.assertEqual(self.apply(ReadEvents("g.", 3)), Events((), 3))
        self.assertEqual(self.apply(ReadEvents("none.", 0)), Events((), 0))

    def test_after_0_asks_only_for_the_present_revision(self) -> None:
        self.put("g.a", "1")
        self.assertEqual(self.apply(ReadEvents("g.", 0)), Events((), 1))

    def test_what_is_not_committed_is_not_shown_to_watches(self) -> None:
        self.put("g.a", "1")
        self.commit()
        self.put("g.a", "2")
        self.assertEqual(self.machine.committed_events("g.", 1), Events((), 1))
        self.assertEqual(self.commit(), {"g."})
        self.assertEqual(self.machine.committed_events("g.", 1), Events((PutEvent("g.a", "2", 2),), 2))
        self.assertEqual(self.commit(), set())

    def test_puts_are_kept_for_longer_than_the_bound_and_then_dropped(self) -> None:
        for now, value in ((0.0, "1"), (5.0, "2")):
            self.put("g.a", value, now=now)
        self.commit(KEPT_SECONDS)
        self.assertIsInstance(self.apply(ReadEvents("g.", 1)), Events)
        self.commit(KEPT_SECONDS + 6.0)
        self.assertEqual(self.apply(ReadEvents("g.", 1)), HistoryDropped())
        self.assertEqual(self.apply(ReadEvents("g.", 2)), Events((), 2))
        self.assertEqual(self.put("g.a", "3", 2, KEPT_SECONDS + 7.0), KeyPut(3))
        self.assertEqual(self.apply(ReadEvents("g.", 2)), Events((PutEvent("g.a", "3", 3),), 3))

    def test_a_new_primary_keeps_each_put_for_the_whole_time_again(self) -> None:
        self.put("g.a", "1")
        self.put("g.a", "2")
        packed = self.machine.pack(KEPT_SECONDS - 1.0)
        self.machine = CoordinationStateMachine(packed, 900.0, HISTORY_SECONDS)
        self.commit(900.0 + KEPT_SECONDS - 1.0)
        self.assertEqual(self.apply(ReadEvents("g.", 1)), Events((PutEvent("g.a", "2", 2),), 2))
        self.assertEqual(self.machine.committed_events("g.", 1), Events((PutEvent("g.a", "2", 2),), 2))


class Groups(unittest.TestCase):
    def test_a_group_is_the_name_up_to_its_first_dot(self) -> None:
        groups = [group_of(key) for key in ("g1.a", "g1.a.b", "g1.", "plain", ".a")]
        self.assertEqual(groups, ["g1.", "g1.", "g1.", "plain", "."])


if __name__ == "__main__":
    unittest.main()
