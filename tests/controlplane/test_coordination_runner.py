"""Batches of coordination calls at a replica that is driven by hand: which answer each call gets, and when."""

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
OTHER = 7  # the machine that is primary where this one isn't


class FakeReplicaRunner:
    """Commits and confirms as the test says; ``gate`` holds up what is asked while it is not set."""

    def __init__(self) -> None:
        self.replica = mock.Mock(committed_state=b"", primary_hint=OTHER)
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


class RunnerCase(unittest.TestCase):
    def play(self, main: Callable[[], Awaitable[None]]) -> None:
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

    def ask(self, call: Call) -> list[Answer | Exception]:
        """Ask in a task of its own; the list gets the answer or the error."""
        found: list[Answer | Exception] = []

        async def call_and_keep() -> None:
            try:
                found.append(await self.runner.call(call))
            except (NotPrimary, NotConfirmed, OutcomeUnknown) as error:
                found.append(error)

        self.nursery.start_soon(call_and_keep)
        return found

    def watch(self, group: str, after: int, wait_seconds: float) -> list[Answer | Exception]:
        found: list[Answer | Exception] = []

        async def watch_and_keep() -> None:
            try:
                found.append(await self.runner.watch(group, after, wait_seconds))
            except NotPrimary as error:
                found.append(error)

        self.nursery.start_soon(watch_and_keep)
        return found


class Batches(RunnerCase):
    def test_calls_that_come_during_a_commit_share_the_next(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            first = self.ask(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            others = [self.ask(NextNumber("n")) for _ in range(5)] + [self.ask(ReadKey("g.a"))]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(first, [])
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(first, [NumberGiven(1)])
            self.assertEqual({answer[0].value for answer in others[:5]}, {2, 3, 4, 5, 6})
            self.assertEqual((len(self.replica_runner.commits), self.replica_runner.confirms), (2, 0))

        self.play(main)

    def test_what_changes_nothing_that_is_replicated_is_confirmed_alone(self) -> None:
        async def main() -> None:
            self.assertEqual(await self.runner.call(TakeLock("l", "a", 1000)), LockTaken(1))
            self.assertEqual(await self.runner.call(RenewLock("l", "a", 1, 1000)), LockRenewed())
            self.assertEqual(await self.runner.call(TakeLock("l", "b", 1000)), LockHeld())
            self.assertEqual((len(self.replica_runner.commits), self.replica_runner.confirms), (1, 2))

        self.play(main)

    def test_a_limit_on_the_calls_that_wait(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            self.ask(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            found = [self.ask(ReadKey("g.a")) for _ in range(3)]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual([answer[0] for answer in found if answer], [LimitReached("2 calls wait")])

        with mock.patch.object(coordination_runner, "MAX_QUEUED_CALLS", 2):
            self.play(main)


class Failures(RunnerCase):
    def test_a_commit_that_fails_leaves_the_outcome_unknown_and_reads_undone(self) -> None:
        async def main() -> None:
            self.replica_runner.succeeds = False
            found = [self.ask(call) for call in (NextNumber("n"), ReadKey("g.a"))]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual([type(answer[0]) for answer in found], [OutcomeUnknown, NotConfirmed])

        self.play(main)

    def test_a_read_that_nobody_confirms_gets_no_answer(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            found = self.ask(ReadKey("g.a"))
            await trio.sleep(CALL_TIMEOUT_SECONDS + 0.1)
            self.assertIsInstance(found[0], NotConfirmed)

        self.play(main)

    def test_a_renewal_that_nobody_confirms_is_unknown_as_it_counts_at_this_machine(self) -> None:
        async def main() -> None:
            await self.runner.call(TakeLock("l", "a", 1000))
            self.replica_runner.gate = trio.Event()
            found = self.ask(RenewLock("l", "a", 1, 1000))
            await trio.sleep(CALL_TIMEOUT_SECONDS + 0.1)
            self.assertIsInstance(found[0], OutcomeUnknown)

        self.play(main)

    def test_a_call_that_is_given_up_while_it_waits_never_takes_effect(self) -> None:
        async def main() -> None:
            self.replica_runner.gate = trio.Event()
            first = self.ask(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            second = self.ask(NextNumber("n"))
            await trio.sleep(CALL_TIMEOUT_SECONDS + 0.1)
            self.assertEqual([type(found[0]) for found in (first, second)], [OutcomeUnknown, NotConfirmed])
            self.replica_runner.gate.set()
            self.assertEqual(await self.runner.call(NextNumber("n")), NumberGiven(2))

        self.play(main)

    def test_a_state_that_was_never_proposed_is_no_change(self) -> None:
        async def main() -> None:
            self.replica_runner.error = NotPrimary(OTHER)
            found = self.ask(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsInstance(found[0], NotPrimary)

        self.play(main)

    def test_the_end_of_the_role_ends_what_waits_and_forgets_what_was_not_committed(self) -> None:
        async def main() -> None:
            await self.runner.call(NextNumber("n"))
            self.replica_runner.replica.committed_state = self.replica_runner.commits[-1]
            self.replica_runner.gate = trio.Event()
            first = self.ask(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            queued = self.ask(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            self.replica_runner.succeeds = False
            self.step_down()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(queued[0].primary_hint, OTHER)
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsInstance(first[0], OutcomeUnknown)
            with self.assertRaises(NotPrimary):
                await self.runner.call(NextNumber("n"))
            self.replica_runner.succeeds = True
            self.become_primary()
            self.assertEqual(await self.runner.call(NextNumber("n")), NumberGiven(2))

        self.play(main)


class Watches(RunnerCase):
    async def put(self, key: str, value: str) -> None:
        self.assertIsInstance(await self.runner.call(PutKey(key, value, None)), KeyPut)

    def test_a_watch_gets_a_put_once_it_is_committed(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found, other = self.watch("g.", 1, 5.0), self.watch("h.", 1, 5.0)
            await trio.testing.wait_all_tasks_blocked()
            self.replica_runner.gate = trio.Event()
            put = self.ask(PutKey("g.a", "2", 1))
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual((found, put), ([], []))
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(found, [Events((PutEvent("g.a", "2", 2),), 2)])
            self.assertEqual(other, [])

        self.play(main)

    def test_a_watch_ends_with_its_time_and_the_present_revision(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found = self.watch("g.", 1, 2.0)
            await trio.sleep(1.9)
            self.assertEqual(found, [])
            await trio.sleep(0.2)
            self.assertEqual(found, [Events((), 1)])
            self.assertEqual(self.runner.watches.count, 0)

        self.play(main)

    def test_a_put_in_the_same_batch_as_the_watch_is_not_missed(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            self.replica_runner.gate = trio.Event()
            self.ask(NextNumber("n"))
            await trio.testing.wait_all_tasks_blocked()
            found = self.watch("g.", 1, 5.0)
            await trio.testing.wait_all_tasks_blocked()
            self.ask(PutKey("g.a", "2", 1))
            await trio.testing.wait_all_tasks_blocked()
            self.replica_runner.gate.set()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(found, [Events((PutEvent("g.a", "2", 2),), 2)])

        self.play(main)

    def test_watches_end_with_the_role(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found = self.watch("g.", 1, 5.0)
            await trio.testing.wait_all_tasks_blocked()
            self.step_down()
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsInstance(found[0], NotPrimary)

        self.play(main)

    def test_a_limit_on_the_watches_that_wait(self) -> None:
        async def main() -> None:
            await self.put("g.a", "1")
            found = [self.watch("g.", 1, 5.0) for _ in range(3)]
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual([answer[0] for answer in found if answer], [LimitReached("too many watches wait")])
            self.assertEqual(await self.runner.call(ReadKey("g.a")), KeyFound("1", 1))

        with mock.patch.object(coordination_watches, "MAX_WAITING_WATCHES", 2):
            self.play(main)


if __name__ == "__main__":
    unittest.main()
