"""Locks of the coordination state: acquisition, renewal, expiry, release, fencing tokens and takeovers."""

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
FREE_AFTER_SECONDS = HOLD_SECONDS + LOCK_MARGIN_SECONDS


class LockTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.state_machine = CoordinationStateMachine(b"", 0.0, HISTORY_SECONDS)

    def apply(self, call: Call, now: float) -> Answer:
        return self.state_machine.apply(call, now).answer

    def effect(self, call: Call, now: float) -> Effect:
        return self.state_machine.apply(call, now).effect

    def acquire(self, holder: str, now: float, hold_ms: int = HOLD_MS, lock: str = "l") -> Answer:
        return self.apply(TakeLock(lock, holder, hold_ms), now)

    def take_over(self, now: float) -> None:
        """Another machine becomes primary; its own clock is at ``now``."""
        self.state_machine = CoordinationStateMachine(self.state_machine.pack(now), now, HISTORY_SECONDS)


class Holds(LockTestCase):
    def test_a_lock_is_free_once_its_hold_and_the_margin_have_passed(self) -> None:
        self.assertEqual(self.acquire("a", 10.0), LockTaken(1))
        self.assertEqual(self.acquire("b", 10.0 + HOLD_SECONDS), LockHeld())
        self.assertEqual(self.acquire("b", 10.0 + FREE_AFTER_SECONDS), LockTaken(2))

    def test_a_renewal_extends_the_hold_from_its_own_call(self) -> None:
        self.acquire("a", 10.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 12.0), LockRenewed())
        self.assertEqual(self.acquire("b", 10.0 + FREE_AFTER_SECONDS), LockHeld())
        self.assertEqual(self.acquire("b", 12.0 + FREE_AFTER_SECONDS), LockTaken(2))

    def test_a_shorter_hold_does_not_shorten_a_longer_one(self) -> None:
        self.acquire("a", 10.0)
        self.apply(RenewLock("l", "a", 1, 100), 10.5)
        self.assertEqual(self.acquire("a", 10.6, 100), LockTaken(2))
        self.assertEqual(self.acquire("b", 12.0), LockHeld())

    def test_an_expired_hold_is_renewed_if_no_other_holder_had_the_lock_since(self) -> None:
        self.acquire("a", 10.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 20.0), LockRenewed())
        self.assertEqual(self.acquire("b", 21.0), LockHeld())

    def test_a_hold_is_lost_once_another_holder_has_the_lock(self) -> None:
        self.acquire("a", 10.0)
        self.acquire("b", 20.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 20.1), LockLost())
        self.assertEqual(self.apply(RenewLock("l", "b", 1, HOLD_MS), 20.1), LockLost())
        self.assertEqual(self.apply(RenewLock("never", "a", 1, HOLD_MS), 20.1), LockLost())

    def test_a_renewal_is_replicated_only_if_it_lasts_longer_than_a_new_primary_waits(self) -> None:
        self.acquire("a", 10.0)
        self.assertIs(self.effect(RenewLock("l", "a", 1, HOLD_MS), 11.0), Effect.MEMORY)
        self.assertIs(self.effect(RenewLock("l", "a", 1, HOLD_MS + 1), 11.0), Effect.STATE)
        self.assertIs(self.effect(TakeLock("l", "b", HOLD_MS), 11.0), Effect.NONE)


class Tokens(LockTestCase):
    def test_a_token_is_greater_than_all_tokens_of_all_locks(self) -> None:
        tokens = [self.acquire(holder, 0.0, lock=lock) for holder, lock in (("a", "l"), ("b", "m"), ("a", "l"))]
        self.assertEqual(tokens, [LockTaken(1), LockTaken(2), LockTaken(3)])

    def test_each_token_of_consecutive_holds_by_one_holder_can_renew(self) -> None:
        self.acquire("a", 0.0)
        self.acquire("a", 0.1)  # as after a delayed first answer
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 0.2), LockRenewed())
        self.assertEqual(self.apply(RenewLock("l", "a", 2, HOLD_MS), 0.2), LockRenewed())
        self.assertEqual(self.apply(RenewLock("l", "a", 3, HOLD_MS), 0.2), LockLost())

    def test_a_delayed_release_does_not_end_a_later_hold(self) -> None:
        self.acquire("a", 0.0)
        self.acquire("a", 0.1)
        self.assertEqual(self.apply(ReleaseLock("l", "a", 1), 0.2), LockReleased())
        self.assertEqual(self.acquire("b", 0.3), LockHeld())
        self.assertEqual(self.apply(ReleaseLock("l", "a", 2), 0.4), LockReleased())
        self.assertEqual(self.acquire("b", 0.5), LockTaken(3))

    def test_a_release_by_another_holder_changes_nothing(self) -> None:
        self.acquire("a", 0.0)
        self.assertIs(self.effect(ReleaseLock("l", "b", 1), 0.1), Effect.NONE)
        self.assertIs(self.effect(ReleaseLock("l", "a", 1), 0.1), Effect.STATE)
        self.assertIs(self.effect(ReleaseLock("l", "a", 1), 0.2), Effect.NONE)


class Takeovers(LockTestCase):
    def test_a_new_primary_waits_for_holds_that_the_former_primary_may_have_granted(self) -> None:
        self.acquire("a", 10.0)
        self.apply(RenewLock("l", "a", 1, HOLD_MS), 12.0)
        self.take_over(500.0)
        self.assertEqual(self.acquire("b", 500.0 + HOLD_SECONDS), LockHeld())
        self.assertEqual(self.acquire("b", 500.0 + FREE_AFTER_SECONDS), LockTaken(2))

    def test_a_new_primary_knows_of_a_longer_renewal(self) -> None:
        self.acquire("a", 10.0)
        self.apply(RenewLock("l", "a", 1, 2 * HOLD_MS), 12.0)
        self.take_over(500.0)
        self.assertEqual(self.acquire("b", 500.0 + FREE_AFTER_SECONDS), LockHeld())

    def test_a_new_primary_waits_for_the_longest_of_consecutive_holds(self) -> None:
        self.acquire("a", 10.0, 2 * HOLD_MS)
        self.acquire("a", 10.1)
        self.take_over(500.0)
        self.assertEqual(self.acquire("b", 500.0 + FREE_AFTER_SECONDS), LockHeld())

    def test_the_holder_can_renew_at_a_new_primary_and_tokens_keep_increasing(self) -> None:
        self.acquire("a", 10.0)
        self.take_over(500.0)
        self.assertEqual(self.apply(RenewLock("l", "a", 1, HOLD_MS), 500.1), LockRenewed())
        self.assertEqual(self.acquire("a", 500.2), LockTaken(2))


class Limits(LockTestCase):
    def fill(self, now: float) -> None:
        for number in range(limits.MAX_LOCKS):
            self.assertIsInstance(self.acquire("a", now, lock=f"full-{number}"), LockTaken)

    def test_the_number_of_held_locks_is_limited(self) -> None:
        self.fill(0.0)
        self.assertIsInstance(self.acquire("a", 1.0, lock="more"), LimitReached)
        self.assertIsInstance(self.acquire("a", 1.0, lock="full-0"), LockTaken)

    def test_expired_holds_are_removed_at_the_limit(self) -> None:
        self.fill(0.0)
        self.assertIsInstance(self.acquire("a", FREE_AFTER_SECONDS, lock="more"), LockTaken)
        self.assertEqual(len(self.state_machine.state.locks), 1)


if __name__ == "__main__":
    unittest.main()
