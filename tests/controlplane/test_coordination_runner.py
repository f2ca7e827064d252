"""Batches of coordination calls against a fake replica runner: which answer each call gets, and when."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
import trio.testing

from rowanshift.controlplane import coordination_runner, coordination_watches
from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    KeyFound,
    KeyPut,
    LimitReached,
    LockHeld,
    LockRenewed,
    LockTaken,
    NextNumber,
    NumberGiven,
    PutEvent,
    PutKey,
    ReadKey,
    RenewLock,
    TakeLock,
)
from rowanshift.controlplane.coordination_runner import CALL_TIMEOUT_SECONDS, CoordinationRunner
from rowanshift.controlplane.errors import NotConfirmed, OutcomeUnknown
from rowanshift.controlplane.replication import NotPrimary

HISTORY_SECONDS = 20.0
OTHER_MACHINE = 7  # the primary while this machine is not


class FakeReplicaRunner:
    """Commits and confirms with the outcome that the test sets; each waits until ``gate`` is set."""

    def __init__(self) -> None:
        self.replica = mock.Mock(committed_state=b"", primary_hint=OTHER_MACHINE)
        self.role_changes = 0
        self.commits: list[bytes] = []
        self.confirms = 0
        self.gate = trio.Event()
        self.gate.set()
        self.succeeds = True
        self.error: Exception | None = None

    async def commit(self, state: bytes, role_changes: int) -> bool:
        assert role_changes == self.role_changes
        self.commits.append(state)
        return await self._outcome()

    async def confirm(self) -> bool:
        self.confirms += 1
        return await self._outcome()

    async def _outcome(self) -> bool:
        await self.gate.wait()
        if self.error is not None:
            raise self.error
        return self.succeeds


class RunnerTestCase(unittest.TestCase):
    def run_test(self, main: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            self.replica_runner = FakeReplicaRunner()
            self.runner = CoordinationRunner(self.replica_runner, HISTORY_SECONDS)
            self.become_primary()
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.runner.run)
                await main()
                self.nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))

    def become_primary(self) -> None:
        self.replica_runner.role_changes += 1
        self.runner.on_role_change(True)

    def step_down(self) -> None:
        self.replica_runner.role_changes += 1
        self.runner.on_role_change(False)

    def start_call(self, call: Call) -> list[Answer | Exception]:
        """Make a call in a separate task, which appends its answer or its error to the returned list."""
        found: list[Answer | Exception] = []

        async def record_call() -> None:
            try:
                found.append(await self.runner.call(call))
            except (NotPrimary, NotConfirmed, OutcomeUnknown) as error:
                found.append(error)

        self.nursery.start_soon(record_call)
        return found

    def start_watch(self, group: str, after: int, wait_seconds: float) -> list[Answer | Exception]:
        found: list[Answer | Exception] = []

        async def record_watch() -> None:
            try:
                found.append(await self.runner.watch(group, after, wait_seconds))
            except NotPrimary as error:
                found.append(error)

        self.nursery.start_soon(record_watch)
        return found


class Batches(RunnerTestCase):
    def test_calls_that_arrive_during_a_commit_share_the_next(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            first = self.start_call(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            others = [self.start_call(NextNumber("n")) for _ in range(5)] + [self.start_call(ReadKey("g.a"))]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(first, [])
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(first, [NumberGiven(1)])
            self.assertEqual({answer[0].value for answer in others[:5]}, {2, 3, 4, 5, 6})
            self.assertEqual((len(self.replica_runner.commits), self.replica_runner.confirms), (2, 0))

        self.run_test(main)

    def test_calls_without_a_replicated_change_are_only_confirmed(self) -> None:
        async def main() -> None:
            self.assertEqual(await self.runner.call(TakeLock("l", "a", 1000)), LockTaken(1))
            self.assertEqual(await self.runner.call(RenewLock("l", "a", 1, 1000)), LockRenewed())
            self.assertEqual(await self.runner.call(TakeLock("l", "b", 1000)), LockHeld())
            self.assertEqual((len(self.replica_runner.commits), self.replica_runner.confirms), (1, 2))

        self.run_test(main)

    def test_the_number_of_queued_calls_is_limited(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            self.start_call(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            found = [self.start_call(ReadKey("g.a")) for _ in range(3)]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(
                [answer[0] for answer in found if answer], [LimitReached("limit of 2 queued calls reached")]
            )

        with mock.patch.object(coordination_runner, "MAX_QUEUED_CALLS", 2):
            self.run_test(main)


class Failures(RunnerTestCase):
    def test_after_a_failed_commit_changes_have_unknown_outcomes_and_reads_are_not_confirmed(self) -> None:
        async def main() -> None:
            self.replica_runner.succeeds = False
            found = [self.start_call(call) for call in (NextNumber("n"), ReadKey("g.a"))]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual([type(answer[0]) for answer in found], [OutcomeUnknown, NotConfirmed])

        self.run_test(main)

    def test_a_read_without_confirmation_fails(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            found = self.start_call(ReadKey("g.a"))
            await trio.sleep(CALL_TIMEOUT_SECONDS + 0.1)
            self.assertIsInstance(found[0], NotConfirmed)

        self.run_test(main)

    def test_a_renewal_without_confirmation_has_an_unknown_outcome(self) -> None:
        async def main() -> None:
            await self.runner.call(TakeLock("l", "a", 1000))
            self.replica_runner.gate = trio.Event()
            found = self.start_call(RenewLock("l", "a", 1, 1000))
            await trio.sleep(CALL_TIMEOUT_SECONDS + 0.1)
            self.assertIsInstance(found[0], OutcomeUnknown)

        self.run_test(main)

    def test_a_call_that_times_out_in_the_queue_never_takes_effect(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            first = self.start_call(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            second = self.start_call(NextNumber("n"))
            await trio.sleep(CALL_TIMEOUT_SECONDS + 0.1)
            self.assertEqual([type(found[0]) for found in (first, second)], [OutcomeUnknown, NotConfirmed])
            self.replica_runner.gate.set()
            self.assertEqual(await self.runner.call(NextNumber("n")), NumberGiven(2))

        self.run_test(main)

    def test_a_state_that_was_never_proposed_changes_nothing(self) -> None:
        async def main() -> None:
            self.replica_runner.error = NotPrimary(OTHER_MACHINE)
            found = self.start_call(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsInstance(found[0], NotPrimary)

        self.run_test(main)

    def test_the_end_of_the_primary_role_fails_pending_calls_and_discards_uncommitted_changes(self) -> None:
        async def main() -> None:
            await self.runner.call(NextNumber("n"))
            self.replica_runner.replica.committed_state = self.replica_runner.commits[-1]
            self.replica_runner.gate = trio.Event()
            first = self.start_call(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            queued = self.start_call(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            self.replica_runner.succeeds = False
            self.step_down()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(queued[0].primary_hint, OTHER_MACHINE)
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsInstance(first[0], OutcomeUnknown)
            with self.assertRaises(NotPrimary):
                await self.runner.call(NextNumber("n"))
            self.replica_runner.succeeds = True
            self.become_primary()
            self.assertEqual(await self.runner.call(NextNumber("n")), NumberGiven(2))

        self.run_test(main)


class Watches(RunnerTestCase):
    async def put(self, key: str, value: str) -> None:
        self.assertIsInstance(await self.runner.call(PutKey(key, value, None)), KeyPut)

    def test_a_watch_receives_a_put_once_it_is_committed(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found, other = self.start_watch("g.", 1, 5.0), self.start_watch("h.", 1, 5.0)
            await trio.testing.wait_all_tasks_blocked()
            self.replica_runner.gate = trio.Event()
            put = self.start_call(PutKey("g.a", "2", 1))
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual((found, put), ([], []))
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(found, [Events((PutEvent("g.a", "2", 2),), 2)])
            self.assertEqual(other, [])

        self.run_test(main)

    def test_a_watch_that_times_out_returns_the_current_revision(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found = self.start_watch("g.", 1, 2.0)
            await trio.sleep(1.9)
            self.assertEqual(found, [])
            await trio.sleep(0.2)
            self.assertEqual(found, [Events((), 1)])
            self.assertEqual(self.runner.watches.count, 0)

        self.run_test(main)

    def test_a_put_in_the_same_batch_as_the_watch_is_not_missed(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            self.replica_runner.gate = trio.Event()
            self.start_call(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            found = self.start_watch("g.", 1, 5.0)
            await trio.testing.wait_all_tasks_blocked()
            self.start_call(PutKey("g.a", "2", 1))
            await trio.testing.wait_all_tasks_blocked()
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(found, [Events((PutEvent("g.a", "2", 2),), 2)])

        self.run_test(main)

    def test_watches_end_with_the_primary_role(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found = self.start_watch("g.", 1, 5.0)
            await trio.testing.wait_all_tasks_blocked()
            self.step_down()
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsInstance(found[0], NotPrimary)

        self.run_test(main)

    def test_the_number_of_waiting_watches_is_limited(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found = [self.start_watch("g.", 1, 5.0) for _ in range(3)]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(
                [answer[0] for answer in found if answer], [LimitReached("limit of waiting watches reached")]
            )
            self.assertEqual(await self.runner.call(ReadKey("g.a")), KeyFound("1", 1))

        with mock.patch.object(coordination_watches, "MAX_WAITING_WATCHES", 2):
            self.run_test(main)


if __name__ == "__main__":
    unittest.main()
