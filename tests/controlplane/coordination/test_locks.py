"""Locks of the coordination state: who holds one until when, and which tokens its calls bear."""

import unittest

from rowanshift.controlplane.coordination import limits
from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    LimitReached,
    LockHeld,
    LockLost,
    LockReleased,
    LockRenewed,
    LockTaken,
    ReleaseLock,
    RenewLock,
    TakeLock,
)
from rowanshift.controlplane.coordination.state_machine import LOCK_MARGIN_SECONDS, CoordinationStateMachine, Effect

HISTORY_SECONDS = 20.0
HOLD_MS = 3000
HOLD_SECONDS = 3.0
FREE_AFTER = HOLD_SECONDS + LOCK_MARGIN_SECONDS


class LockCase(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = CoordinationStateMachine(b"", 0.0, HISTORY_SECONDS)

    def apply(self, call: Call, now: float) -> Answer:
        return self.machine.apply(call, now).answer

    def effect(self, call: Call, now: float) -> Effect:
        return self.machine.apply(call, now).effect

    def take(self, holder: str, now: float, hold_ms: int = HOLD_MS, lock: str = "l") -> Answer:
        return self.apply(TakeLock(lock, holder, hold_ms), now)

    def take_over(self, now: float) -> None:
        """Another machine becomes primary, with its own clock at ``now``."""
        self.machine = CoordinationStateMachine(self.machine.pack(now), now, HISTORY_SECONDS)


class Holds(LockCase):
    def test_a_lock_is_free_once_its_hold_has_surely_ended_and_no_sooner(self) -> None:
        self.assertEqual(self.take("a", 10.0), LockTaken(1))
        self.assertEqual(self.take("b", 10.0 + HOLD_SECONDS), LockHeld())
        self.assertEqual(self.take("b", 10.0 + FREE_AFTER), LockTaken(2))

    def test_a_renewal_counts_from_its_own_call(self) -> None:
        self.take("a", 10.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 12.0), LockRenewed())
        self.assertEqual(self.take("b", 10.0 + FREE_AFTER), LockHeld())
        self.assertEqual(self.take("b", 12.0 + FREE_AFTER), LockTaken(2))

    def test_a_shorter_hold_does_not_end_a_longer_one_sooner(self) -> None:
        self.take("a", 10.0)
        self.apply(RenewLock("l", "a", 1, 100), 10.5)
        self.assertEqual(self.take("a", 10.6, 100), LockTaken(2))
        self.assertEqual(self.take("b", 12.0), LockHeld())

    def test_a_hold_that_has_ended_goes_on_if_nobody_was_given_the_lock_since(self) -> None:
        self.take("a", 10.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 20.0), LockRenewed())
        self.assertEqual(self.take("b", 21.0), LockHeld())

    def test_a_hold_is_lost_once_another_was_given_the_lock(self) -> None:
        self.take("a", 10.0)
        self.take("b", 20.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 20.1), LockLost())
        self.assertEqual(self.apply(RenewLock("l", "b", 1, HOLD_MS), 20.1), LockLost())
        self.assertEqual(self.apply(RenewLock("never", "a", 1, HOLD_MS), 20.1), LockLost())

    def test_a_renewal_is_replicated_only_where_it_holds_longer_than_a_new_primary_waits(self) -> None:
        self.take("a", 10.0)
        self.assertIs(self.effect(RenewLock("l", "a", 1, HOLD_MS), 11.0), Effect.MEMORY)
        self.assertIs(self.effect(RenewLock("l", "a", 1, HOLD_MS + 1), 11.0), Effect.STATE)
        self.assertIs(self.effect(TakeLock("l", "b", HOLD_MS), 11.0), Effect.NONE)


class Tokens(LockCase):
    def test_a_token_is_above_all_that_were_given_for_any_lock(self) -> None:
        tokens = [self.take(holder, 0.0, lock=lock) for holder, lock in (("a", "l"), ("b", "m"), ("a", "l"))]
        self.assertEqual(tokens, [LockTaken(1), LockTaken(2), LockTaken(3)])

    def test_tokens_of_one_stay_of_a_holder_are_all_good_for_a_renewal(self) -> None:
        self.take("a", 0.0)
        self.take("a", 0.1)  # its first answer may have come late
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 0.2), LockRenewed())
        self.assertEqual(self.apply(RenewLock("l", "a", 2, HOLD_MS), 0.2), LockRenewed())
        self.assertEqual(self.apply(RenewLock("l", "a", 3, HOLD_MS), 0.2), LockLost())

    def test_a_delayed_release_does_not_end_a_hold_that_was_taken_later(self) -> None:
        self.take("a", 0.0)
        self.take("a", 0.1)
        self.assertEqual(self.apply(ReleaseLock("l", "a", 1), 0.2), LockReleased())
        self.assertEqual(self.take("b", 0.3), LockHeld())
        self.assertEqual(self.apply(ReleaseLock("l", "a", 2), 0.4), LockReleased())
        self.assertEqual(self.take("b", 0.5), LockTaken(3))

    def test_a_release_by_another_changes_nothing(self) -> None:
        self.take("a", 0.0)
        self.assertIs(self.effect(ReleaseLock("l", "b", 1), 0.1), Effect.NONE)
        self.assertIs(self.effect(ReleaseLock("l", "a", 1), 0.1), Effect.STATE)
        self.assertIs(self.effect(ReleaseLock("l", "a", 1), 0.2), Effect.NONE)


class Takeovers(LockCase):
    def test_a_new_primary_waits_out_what_the_former_one_may_have_granted(self) -> None:
        self.take("a", 10.0)
        self.apply(RenewLock("l", "a", 1, HOLD_MS), 12.0)
        self.take_over(500.0)
        self.assertEqual(self.take("b", 500.0 + HOLD_SECONDS), LockHeld())
        self.assertEqual(self.take("b", 500.0 + FREE_AFTER), LockTaken(2))

    def test_a_longer_renewal_is_known_to_a_new_primary(self) -> None:
        self.take("a", 10.0)
        self.apply(RenewLock("l", "a", 1, 2 * HOLD_MS), 12.0)
        self.take_over(500.0)
        self.assertEqual(self.take("b", 500.0 + FREE_AFTER), LockHeld())

    def test_the_longest_hold_of_a_stay_is_kept(self) -> None:
        self.take("a", 10.0, 2 * HOLD_MS)
        self.take("a", 10.1)
        self.take_over(500.0)
        self.assertEqual(self.take("b", 500.0 + FREE_AFTER), LockHeld())

    def test_the_holder_goes_on_at_a_new_primary_and_tokens_go_on_rising(self) -> None:
        self.take("a", 10.0)
        self.take_over(500.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 500.1), LockRenewed())
        self.assertEqual(self.take("a", 500.2), LockTaken(2))


class Limits(LockCase):
    def fill(self, now: float) -> None:
        for n in range(limits.MAX_LOCKS):
            self.assertIsInstance(self.take("a", now, lock=f"full-{n}"), LockTaken)

    def test_no_more_locks_than_the_limit_are_held_at_once(self) -> None:
        self.fill(0.0)
        self.assertIsInstance(self.take("a", 1.0, lock="more"), LimitReached)
        self.assertIsInstance(self.take("a", 1.0, lock="full-0"), LockTaken)

    def test_ended_holds_make_room(self) -> None:
        self.fill(0.0)
        self.assertIsInstance(self.take("a", FREE_AFTER, lock="more"), LockTaken)
        self.assertEqual(len(self.machine.state.locks), 1)


if __name__ == "__main__":
    unittest.main()
