"""Routers' polls on a core machine: how long they are held, the contents of updates, and redirects."""

import unittest
from types import SimpleNamespace

import trio
import trio.testing

from rowanshift.controlplane.control_state import ControlState
from rowanshift.controlplane.poll_endpoint import (
    LONG_POLL_SECONDS,
    PRIMARY_CHECK_SECONDS,
    PRIMARY_SEARCH_SECONDS,
    PollEndpoint,
    convert_answer,
)
from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.controlplane.router_membership import RouterMembership
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.controlplane.state_publication import StatePublication, UpdateSignal
from rowanshift.kv_index.prefix_holdings import PrefixHoldings
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.wire.control_updates import (
    Poll,
    PollOfFormat2,
    PollOfFormat3,
    Redirect,
    Update,
    UpdateOfFormat1,
    UpdateOfFormat2,
)

EPOCH = 7
CONFIG = b'{"revision":3}'
NO_VERSIONS = (0, 0), 0, (0, 0), (0, 0), (0, 0)
CORE_MACHINES = (1, 2, 3)


class FakeReplica(SimpleNamespace):
    """The replica of machine 1; a test makes it the primary, a backup of machine 2, or a backup without a primary."""

    def __init__(self) -> None:
        super().__init__(
            is_primary=True,
            primary_hint=1,
            committed_state=ControlState(3, CONFIG, {"m": 2}).pack(),
            committed_version=SimpleNamespace(epoch=EPOCH, sequence=5),
            record=SimpleNamespace(epoch=EPOCH, witnesses=(3, 1), in_sync=(2, 1)),
        )

    def lease_remaining(self) -> float:
        return 1.0 if self.is_primary else 0.0


class PollCase(unittest.TestCase):
    def setUp(self) -> None:
        self.updates = UpdateSignal()
        self.replica = FakeReplica()
        runner = SimpleNamespace(replica=self.replica, lease_remaining=self.replica.lease_remaining)
        self.registry = ServerRegistry()
        self.registry.apply_list([RegisteredServer("a", "s", "10.0.0.1:80", "z", 1, False, {"m": 1})])
        publication = StatePublication(
            self.replica, self.updates, lambda state: self.registry.record_versions(state.versions, 0.0)
        )
        tasks = SimpleNamespace(registry=self.registry, holdings=PrefixHoldings())
        membership = RouterMembership(self.updates)
        self.endpoint = PollEndpoint(SYSTEM_RUNTIME, runner, publication, membership, tasks, self.updates)
        self.membership = membership

    def answers_to(self, *steps: object) -> list[tuple[float, object]]:
        """Send polls in sequence and return each answer with the seconds for which the poll was held.

        A step is a poll, or a function that creates a poll from the last answer.
        """

        async def main() -> list[tuple[float, object]]:
            answers: list[tuple[float, object]] = []
            for step in steps:
                poll = step(answers[-1][1]) if callable(step) else step
                sent_at = trio.current_time()
                answer = await self.endpoint.answer(poll)
                answers.append((trio.current_time() - sent_at, answer))
            return answers

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def poll_of(update: Update, long_poll_ms: int = 1000) -> Poll:
    """Return the poll of a router that has applied ``update``."""
    return Poll(
        9,
        1,
        update.state_version,
        update.fingerprint,
        update.registry_version,
        update.prefix_holdings_version,
        update.peers_version,
        long_poll_ms,
        update.announcements_version,
    )


class Answers(PollCase):
    def test_a_router_without_data_gets_everything_immediately(self) -> None:
        ((held, update),) = self.answers_to(Poll(9, 1, *NO_VERSIONS, 1000))
        self.assertEqual(held, 0.0)
        self.assertEqual((update.state_version, update.revision, update.versions), ((EPOCH, 5), 3, {"m": 2}))
        self.assertTrue(update.has_state and update.has_server_records and update.has_announcements)
        self.assertEqual(update.core_machines, CORE_MACHINES)

    def test_a_poll_is_held_while_there_is_nothing_new(self) -> None:
        answers = self.answers_to(Poll(9, 1, *NO_VERSIONS, 1000), poll_of, lambda update: poll_of(update, 300))
        self.assertAlmostEqual(answers[1][0], LONG_POLL_SECONDS)
        self.assertAlmostEqual(answers[2][0], 0.3)
        update = answers[1][1]
        self.assertFalse(update.has_state or update.has_server_records or update.has_announcements)
        self.assertEqual((update.config, update.server_records, update.announcements), (b"", (), ()))

    def test_a_held_poll_is_answered_with_the_changed_part(self) -> None:
        async def main() -> tuple[float, Update]:
            first = await self.endpoint.answer(Poll(9, 1, *NO_VERSIONS, 1000))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.change_registry, 0.25)
                sent_at = trio.current_time()
                second = await self.endpoint.answer(poll_of(first))
            return trio.current_time() - sent_at, second

        held, update = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertAlmostEqual(held, 0.25)
        self.assertTrue(update.has_server_records)
        self.assertFalse(update.has_state)

    async def change_registry(self, after: float) -> None:
        await trio.sleep(after)
        self.registry.apply_list([])
        self.updates.notify()

    def test_serials_of_another_epoch_are_ignored(self) -> None:
        def of_another_epoch(update: Update) -> Poll:
            self.replica.record.epoch = EPOCH + 1
            return poll_of(update)

        answers = self.answers_to(Poll(9, 1, *NO_VERSIONS, 1000), of_another_epoch)
        held, update = answers[1]
        self.assertEqual((held, update.has_state), (0.0, False))
        self.assertTrue(update.has_server_records and update.has_announcements)

    def test_each_poll_counts_for_the_membership(self) -> None:
        self.answers_to(Poll(9, 1, *NO_VERSIONS, 1000))
        self.assertEqual([*self.membership.polled_at], [9])


class Redirects(PollCase):
    def test_a_backup_redirects_to_the_primary_immediately(self) -> None:
        self.replica.is_primary, self.replica.primary_hint = False, 2
        self.assertEqual(self.answers_to(Poll(9, 1, *NO_VERSIONS, 1000)), [(0.0, Redirect(2, CORE_MACHINES))])
        self.assertEqual(self.membership.polled_at, {})

    def test_a_machine_that_knows_no_primary_waits_for_one(self) -> None:
        self.replica.is_primary, self.replica.primary_hint = False, 0
        ((held, answer),) = self.answers_to(Poll(9, 1, *NO_VERSIONS, 1000))
        self.assertGreaterEqual(held, PRIMARY_SEARCH_SECONDS)
        self.assertLess(held, PRIMARY_SEARCH_SECONDS + 1.5 * PRIMARY_CHECK_SECONDS)
        self.assertEqual(answer, Redirect(0, CORE_MACHINES))

    def test_a_leaving_machine_holds_no_poll(self) -> None:
        async def main() -> tuple[float, object]:
            first = await self.endpoint.answer(Poll(9, 1, *NO_VERSIONS, 1000))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.leave, 0.25)
                sent_at = trio.current_time()
                second = await self.endpoint.answer(poll_of(first))
            return trio.current_time() - sent_at, second

        held, answer = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertAlmostEqual(held, 0.25)
        self.assertEqual(answer, Redirect(0, CORE_MACHINES))

    async def leave(self, after: float) -> None:
        await trio.sleep(after)
        self.endpoint.leave()


class Formats(PollCase):
    def test_a_former_router_gets_an_answer_in_its_format(self) -> None:
        ((_, update),) = self.answers_to(Poll(9, 1, *NO_VERSIONS, 1000))
        for poll_type, answer_type in (
            (PollOfFormat2, UpdateOfFormat1),
            (PollOfFormat3, UpdateOfFormat2),
        ):
            self.assertIs(type(convert_answer(poll_type(9, 1, *NO_VERSIONS, 1000), update)), answer_type)
        self.assertIs(convert_answer(Poll(9, 1, *NO_VERSIONS, 1000), update), update)

    def test_a_redirect_is_the_same_in_all_formats(self) -> None:
        redirect = Redirect(2, CORE_MACHINES)
        self.assertIs(convert_answer(PollOfFormat2(9, 1, *NO_VERSIONS, 1000), redirect), redirect)


if __name__ == "__main__":
    unittest.main()
