"""Each coordination rule on small histories that satisfy or violate it."""

import unittest

from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyMissing,
    KeyPut,
    LockHeld,
    LockReleased,
    LockRenewed,
    LockTaken,
    NextNumber,
    NumberGiven,
    PutEvent,
    PutKey,
    ReadEvents,
    ReadKey,
    ReleaseLock,
    RenewLock,
    RevisionConflict,
    TakeLock,
)
from rowanshift.invariants.coordination_facts import CoordinationAnswered, CoordinationAsked
from rowanshift.invariants.coordination_rules import check_coordination
from rowanshift.invariants.facts import Fact

HISTORY_SECONDS = 20.0
ACK = LockRenewed()


class HistoryCase(unittest.TestCase):
    """A history of calls with the times at which they are sent and answered; ``rules`` names the violated rules."""

    def setUp(self) -> None:
        self.facts: list[Fact] = []

    def call(self, asked_at: float, call: Call, answered_at: float | None = None, answer: Answer | None = None) -> None:
        id = f"c{len(self.facts)}"
        self.facts.append(CoordinationAsked(asked_at, id, call))
        if answered_at is not None:
            self.facts.append(CoordinationAnswered(answered_at, id, 200 if answer is not None else 503, answer))

    def reject(self, asked_at: float, call: Call, answered_at: float, status: int) -> None:
        id = f"c{len(self.facts)}"
        self.facts += CoordinationAsked(asked_at, id, call), CoordinationAnswered(answered_at, id, status)

    def rules(self) -> list[str]:
        return [violation.rule for violation in check_coordination(self.facts, HISTORY_SECONDS)]

    def put(self, at: float, key: str, value: str, revision: int, expected: int | None = None) -> None:
        self.call(at, PutKey(key, value, expected), at + 0.1, KeyPut(revision))


class One(HistoryCase):
    def take(self, at: float, holder: str, token: int, hold_ms: int = 1000) -> None:
        self.call(at, TakeLock("l", holder, hold_ms), at + 0.1, LockTaken(token))

    def test_a_lock_passes_from_one_holder_to_another(self) -> None:
        self.take(0.0, "a", 1)
        self.call(0.5, TakeLock("l", "b", 1000), 0.6, LockHeld())
        self.take(1.0, "b", 2)
        self.assertEqual(self.rules(), [])

    def test_a_lock_held_by_two(self) -> None:
        self.take(0.0, "a", 1)
        self.take(0.8, "b", 2)
        self.assertEqual(self.rules(), ["ONE"])

    def test_a_renewal_extends_the_hold_from_its_sending_time(self) -> None:
        self.take(0.0, "a", 1)
        self.call(0.5, RenewLock("l", "a", 1, 1000), 0.6, ACK)
        self.take(1.45, "b", 2)
        self.assertEqual(self.rules(), [])
        self.call(1.46, RenewLock("l", "b", 2, 1000), 1.6, ACK)
        self.take(2.3, "c", 3)
        self.assertEqual(self.rules(), ["ONE"])

    def test_a_renewal_answered_too_late_has_no_effect(self) -> None:
        self.take(0.0, "a", 1)
        self.call(0.5, RenewLock("l", "a", 1, 1000), 1.2, ACK)
        self.take(1.0, "b", 2)
        self.assertEqual(self.rules(), [])

    def test_a_hold_ends_when_the_release_is_sent(self) -> None:
        self.take(0.0, "a", 1)
        self.call(0.2, ReleaseLock("l", "a", 1), 0.9, LockReleased())
        self.take(0.3, "b", 2)
        self.assertEqual(self.rules(), [])

    def test_tokens_must_increase_from_holder_to_holder(self) -> None:
        self.take(0.0, "a", 5)
        self.take(2.0, "b", 4)
        self.assertEqual(self.rules(), ["ONE"])

    def test_a_token_given_to_two_holders(self) -> None:
        self.take(0.0, "a", 5)
        self.take(2.0, "b", 5)
        self.assertEqual(self.rules(), ["ONE", "ONE"])

    def test_the_same_holder_may_get_its_token_again(self) -> None:
        self.take(0.0, "a", 5)
        self.take(0.2, "a", 5)
        self.assertEqual(self.rules(), [])


class Order(HistoryCase):
    def test_numbers(self) -> None:
        self.call(0.0, NextNumber("n"), 0.5, NumberGiven(2))
        self.call(0.1, NextNumber("n"), 0.2, NumberGiven(1))
        self.assertEqual(self.rules(), [])
        self.call(0.3, NextNumber("n"), 0.4, NumberGiven(1))
        self.assertEqual(self.rules(), ["ORDER", "ORDER"])

    def test_a_number_below_one_that_was_given_before(self) -> None:
        self.call(0.0, NextNumber("n"), 0.1, NumberGiven(7))
        self.call(0.2, NextNumber("n"), 0.3, NumberGiven(6))
        self.assertEqual(self.rules(), ["ORDER"])

    def test_revisions_of_a_group(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.put(0.2, "g.b", "2", 2)
        self.put(0.4, "h.a", "3", 1)
        self.put(0.6, "g.a", "1", 1)  # sent again
        self.assertEqual(self.rules(), [])
        self.put(0.8, "g.c", "4", 2)
        self.assertEqual(self.rules(), ["ORDER", "ORDER"])

    def test_a_put_over_a_later_revision(self) -> None:
        self.put(0.0, "g.a", "1", 1, 0)
        self.put(0.2, "g.a", "2", 2, 1)
        self.put(0.4, "g.a", "3", 3, 1)
        self.assertEqual(self.rules(), ["ORDER"])

    def test_a_retried_put_that_conflicts_with_itself(self) -> None:
        self.put(0.0, "g.a", "1", 1, 0)
        self.call(0.4, PutKey("g.a", "2", 0), 0.5, RevisionConflict(1))
        self.assertEqual(self.rules(), [])
        self.call(0.6, PutKey("g.a", "1", 0), 0.7, RevisionConflict(1))
        self.assertEqual(self.rules(), ["ORDER"])

    def watch(self, after: int, revision: int, *events: PutEvent) -> None:
        self.call(1.0, ReadEvents("g.", after), 1.1, Events(events, revision))

    def test_a_watch_with_all_puts(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.put(0.2, "g.b", "2", 2)
        self.put(0.4, "g.a", "3", 3)
        self.watch(1, 3, PutEvent("g.b", "2", 2), PutEvent("g.a", "3", 3))
        self.watch(0, 3)
        self.assertEqual(self.rules(), [])

    def test_a_watch_that_omits_a_put(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.put(0.2, "g.b", "2", 2)
        self.put(0.4, "g.a", "3", 3)
        self.watch(1, 3, PutEvent("g.a", "3", 3))
        self.assertEqual(self.rules(), ["ORDER"])

    def test_events_whose_revisions_do_not_increase(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.put(0.2, "g.b", "2", 2)
        self.watch(1, 2, PutEvent("g.b", "2", 2), PutEvent("g.a", "1", 1))
        self.assertEqual(self.rules(), ["ORDER"])


class Reads(HistoryCase):
    def read(self, at: float, answer: Answer, key: str = "g.a") -> None:
        self.call(at, ReadKey(key), at + 0.1, answer)

    def test_a_read_of_the_newest_put(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.read(0.05, KeyMissing())
        self.read(0.2, KeyFound("1", 1))
        self.assertEqual(self.rules(), [])

    def test_a_stale_read(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.put(0.2, "g.a", "2", 2)
        self.read(0.4, KeyFound("1", 1))
        self.assertEqual(self.rules(), ["STALE"])

    def test_a_key_that_is_missing_after_its_put(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.read(0.4, KeyMissing())
        self.assertEqual(self.rules(), ["STALE"])

    def test_a_value_that_was_never_put(self) -> None:
        self.read(0.4, KeyFound("1", 1))
        self.assertEqual(self.rules(), ["MIXED"])

    def test_a_value_of_another_key(self) -> None:
        self.put(0.0, "g.b", "1", 1)
        self.read(0.4, KeyFound("1", 1))
        self.assertEqual(self.rules(), ["MIXED"])

    def test_a_value_under_two_revisions(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.read(0.4, KeyFound("1", 2))
        self.assertIn("MIXED", self.rules())

    def test_a_conflict_with_the_revision_of_another_key(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.put(0.2, "g.b", "2", 2)
        self.call(0.4, PutKey("g.a", "3", 7), 0.5, RevisionConflict(1))
        self.assertEqual(self.rules(), [])
        self.call(0.6, PutKey("g.a", "4", 7), 0.7, RevisionConflict(2))
        self.assertEqual(self.rules(), ["MIXED"])

    def test_a_value_whose_put_was_rejected(self) -> None:
        self.reject(0.0, PutKey("g.a", "1", 0), 0.1, 503)
        self.read(0.4, KeyFound("1", 1))
        self.assertEqual(self.rules(), ["REFUSED"])

    def test_a_value_whose_put_was_rejected_once_and_left_inconclusive_once(self) -> None:
        self.reject(0.0, PutKey("g.a", "1", 0), 0.1, 503)
        self.call(0.2, PutKey("g.a", "1", 0))
        self.read(0.4, KeyFound("1", 1))
        self.assertEqual(self.rules(), [])

    def test_an_inconclusive_status_is_no_rejection(self) -> None:
        self.reject(0.0, PutKey("g.a", "1", 0), 0.1, 504)
        self.read(0.4, KeyFound("1", 1))
        self.assertEqual(self.rules(), [])


class Lost(HistoryCase):
    def test_a_watch_of_a_recently_returned_revision_is_dropped(self) -> None:
        self.call(0.0, ReadEvents("g.", 0), 0.1, Events((), 3))
        self.call(19.0, ReadEvents("g.", 3), 19.1, HistoryDropped())
        self.assertEqual(self.rules(), ["LOST"])

    def test_a_watch_of_a_revision_returned_long_ago_may_be_dropped(self) -> None:
        self.call(0.0, ReadEvents("g.", 0), 0.1, Events((), 3))
        self.call(20.2, ReadEvents("g.", 3), 20.3, HistoryDropped())
        self.assertEqual(self.rules(), [])

    def test_the_current_revision_lags_behind_an_acknowledged_put(self) -> None:
        self.put(0.0, "g.a", "1", 1)
        self.call(1.0, ReadEvents("g.", 0), 1.1, Events((), 0))
        self.assertEqual(self.rules(), ["LOST"])


if __name__ == "__main__":
    unittest.main()
