"""How a router finds the primary, how recent it takes its knowledge to be, and what it refuses by it."""

import random
import unittest
from collections.abc import Sequence
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane.poll_endpoint import PollEndpoint
from rowanshift.dataplane import control_client
from rowanshift.dataplane.control_cache import ControlCache
from rowanshift.dataplane.freshness import Freshness
from rowanshift.dataplane.primary_search import SUSPECT_SECONDS, PrimarySearch
from rowanshift.dataplane.version_deadlines import VERSION_LEAD_SECONDS, VersionDeadlines
from rowanshift.invariants.system import Answered
from rowanshift.process.node_settings import Bounds
from rowanshift.simulation.fleet import ONCE, Fleet, Unit, config_of, play
from rowanshift.wire.control_updates import ModelVersionAnnouncement, Poll, Update
from rowanshift.wire.version_announcements import VersionAnnouncement

APPLIED_WITHIN = 1.0  # seconds from a change's acknowledgement after a takeover; the operators' bound is 2


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class KnownAsOf(unittest.TestCase):
    def test_an_answer_counts_from_when_it_was_asked_for(self) -> None:
        freshness = Freshness(0.0, 1.5)
        self.assertTrue(freshness.confirm(10.0))
        self.assertEqual(
            (freshness.known_as_of, freshness.may_refuse(11.5), freshness.may_refuse(11.6)), (10, True, False)
        )

    def test_a_late_answer_to_an_earlier_poll_takes_nothing_back(self) -> None:
        freshness = Freshness(0.0, 1.5)
        freshness.confirm(10.0)
        freshness.confirm(9.0)
        self.assertEqual(freshness.known_as_of, 10.0)

    def test_a_doubt_is_ended_by_what_was_asked_after_it_began(self) -> None:
        freshness = Freshness(0.0, 1.5)
        freshness.confirm(10.0)
        freshness.mark_stale(10.5)
        self.assertFalse(freshness.confirm(10.4))
        self.assertEqual((freshness.is_stale, freshness.may_refuse(10.6)), (True, False))
        self.assertTrue(freshness.confirm(10.5))
        self.assertEqual((freshness.is_stale, freshness.may_refuse(10.6)), (False, True))

    def test_nothing_is_known_at_the_start(self) -> None:
        freshness = Freshness(3.0, 1.5)
        self.assertEqual((freshness.is_stale, freshness.may_refuse(3.0)), (True, False))


class Search(unittest.TestCase):
    def asked(self, search: PrimarySearch, machines: range, now: float) -> list[int]:
        search.begin(machines, now)
        return [search.next_machine() for _ in machines]

    def test_all_are_asked_once(self) -> None:
        search = PrimarySearch(random.Random(1).random)
        self.assertEqual(sorted(self.asked(search, range(1, 6), 0.0)), [1, 2, 3, 4, 5])
        self.assertIsNone(search.next_machine())

    def test_routers_ask_in_different_orders(self) -> None:
        firsts = {self.asked(PrimarySearch(random.Random(n).random), range(1, 6), 0.0)[0] for n in range(40)}
        self.assertEqual(firsts, {1, 2, 3, 4, 5})

    def test_who_was_silent_is_asked_last_until_that_is_long_ago(self) -> None:
        for seed in range(20):
            search = PrimarySearch(random.Random(seed).random)
            search.on_no_answer(2, 1.0)
            search.on_no_answer(4, 0.5)
            self.assertEqual(self.asked(search, range(1, 6), 2.0)[3:], [4, 2])
        orders = set()
        for seed in range(40):
            search = PrimarySearch(random.Random(seed).random)
            search.on_no_answer(2, 1.0)
            orders.add(self.asked(search, range(1, 6), 1.0 + SUSPECT_SECONDS)[0])
        self.assertIn(2, orders)

    def test_who_is_named_is_asked_next_and_once(self) -> None:
        search = PrimarySearch(random.Random(1).random)
        search.on_no_answer(5, 0.0)
        search.begin(range(1, 6), 0.0)
        first = search.next_machine()
        search.on_primary_hint(5)
        self.assertEqual(search.next_machine(), 5)
        search.on_primary_hint(first)
        rest = [search.next_machine() for _ in range(4)]
        self.assertEqual((first in rest, rest[-1]), (False, None))

    def test_one_that_no_list_holds_is_asked_when_it_is_named(self) -> None:
        search = PrimarySearch(random.Random(1).random)
        search.begin([1, 2], 0.0)
        search.on_primary_hint(9)
        self.assertEqual(search.next_machine(), 9)

    def test_who_is_named_between_searches_comes_first(self) -> None:
        for seed in range(20):
            search = PrimarySearch(random.Random(seed).random)
            search.on_primary_hint(3)
            self.assertEqual(self.asked(search, range(1, 6), 0.0)[0], 3)


def revisions(fleet: Fleet) -> set[int]:
    return {unit.program.control_cache.routing_table.revision for unit in fleet.routers}


def another_holds(fleet: Fleet, first: Unit) -> bool:
    """Whether a core machine other than this one holds the primary's lease."""
    return any(unit.program.replica_runner.lease_remaining() for unit in fleet.cores if unit is not first)


class Takeover(unittest.TestCase):
    """A router must have what the next primary acknowledges, however the one before went silent."""

    async def applied_after(self, fleet: Fleet, trouble: str, end: str) -> float:
        """Seconds from an acknowledgement by the next primary until all routers use the change."""
        await fleet.start()
        await trio.sleep(1.0 + fleet.random_source.random())
        first = fleet.primary()
        getattr(fleet, trouble)(first)
        await fleet.until(lambda: another_holds(fleet, first))
        assert await fleet.put(config_of(2)) == 200
        at = fleet.now()
        await fleet.until(lambda: revisions(fleet) == {2})
        took = fleet.now() - at
        getattr(fleet, end)(first)
        await trio.sleep(0.5)
        return took

    def all_applied(self, trouble: str, end: str, seeds: range = range(10)) -> list[float]:
        async def main(fleet: Fleet) -> float:
            return await self.applied_after(fleet, trouble, end)

        return [play(main, str(seed))[0] for seed in seeds]

    def test_the_primary_stands_still(self) -> None:
        self.assertLess(max(self.all_applied("freeze", "thaw")), APPLIED_WITHIN)

    def test_the_primary_is_cut_off(self) -> None:
        self.assertLess(max(self.all_applied("cut", "join")), APPLIED_WITHIN)

    def test_the_primary_is_killed(self) -> None:
        self.assertLess(max(self.all_applied("kill", "back")), APPLIED_WITHIN)

    def test_a_search_that_waits_for_one_machine_at_a_time_is_found(self) -> None:
        with (
            mock.patch.object(control_client, "SEARCH_STAGGER_SECONDS", 5.0),
            mock.patch.object(control_client, "POLL_ANSWER_SECONDS", 1.1),
            mock.patch.object(control_client, "SEARCH_ANSWER_SECONDS", 1.6),
            mock.patch.object(PrimarySearch, "on_no_answer", lambda search, machine, now: None),
        ):
            self.assertGreater(max(self.all_applied("freeze", "thaw")), APPLIED_WITHIN)


class Refusals(unittest.TestCase):
    """A 401 or 404 is final for the client: it is given by what is surely recent, else 503."""

    def statuses(self, out_of_touch: bool, seed: str = "f") -> set[int]:
        """What a client gets on a route that was added while its router was, or wasn't, cut off from the core."""

        async def main(fleet: Fleet) -> list[int]:
            await fleet.start(config_of(1, routes=[]))
            unit = fleet.routers[0]
            if out_of_touch:
                fleet.cut(unit, fleet.cores)
            await trio.sleep(2.5)
            tries = fleet.client("early", ONCE, "key-1").tries
            await trio.sleep(2.0)
            if out_of_touch:
                fleet.join(unit, fleet.cores)
            return [attempt.status for attempt in tries if attempt.front == fleet.fronts[0] and attempt.status]

        return set(play(main, seed, routers=1)[0])

    def test_in_touch_with_the_core(self) -> None:
        self.assertEqual(self.statuses(out_of_touch=False), {404})

    def test_out_of_touch_with_the_core(self) -> None:
        self.assertEqual(self.statuses(out_of_touch=True), {503})

    def test_a_router_that_refuses_by_what_may_be_old_is_found(self) -> None:
        with mock.patch.object(Freshness, "may_refuse", lambda freshness, now: True):
            self.assertEqual(self.statuses(out_of_touch=True), {404})


class Order(unittest.TestCase):
    """What a router takes is ordered by epoch and sequence and never goes back."""

    def test_an_answer_of_an_older_epoch_or_sequence_is_left(self) -> None:
        async def main(fleet: Fleet) -> list[tuple[int, int]]:
            taken: list[tuple[int, int]] = []
            apply = ControlCache.apply

            def noted(cache: ControlCache, update: Update, asked_at: float) -> bool:
                taken.append(update.state_version)
                return apply(cache, update, asked_at)

            with mock.patch.object(ControlCache, "apply", noted):
                await fleet.start()
                for revision in range(2, 8):
                    await fleet.put(config_of(revision))
                    if revision == 4:
                        fleet.kill(fleet.primary())
                await trio.sleep(1.0)
            return taken

        taken, fleet = play(main, "order", routers=1)
        self.assertEqual(taken, sorted(taken))
        self.assertGreater(len({epoch for epoch, _ in taken}), 1)
        self.assertGreater(len({sequence for _, sequence in taken}), 2)
        self.assertEqual([fact for fact in fleet.of(Answered) if fact.status >= 500], [])

    def test_an_answer_written_long_after_the_lease_was_looked_at_is_not_taken(self) -> None:
        """The old primary stands still between the look and the write, and writes when another is primary."""

        async def main(fleet: Fleet) -> set[int]:
            await fleet.start()
            first = fleet.primary()
            poll = PollEndpoint.answer

            async def stalled(endpoint: PollEndpoint, question: Poll) -> object:
                answer = await poll(endpoint, question)
                if endpoint is first.program.poll_endpoint and isinstance(answer, Update):
                    await first.machine.pause(3.0)
                return answer

            with mock.patch.object(PollEndpoint, "answer", stalled):
                await trio.sleep(0.6)
                fleet.cut(first)
                await fleet.until(lambda: another_holds(fleet, first))
                await fleet.put(config_of(2))
                await fleet.until(lambda: revisions(fleet) == {2})
                fleet.join(first)
                return await self.revisions_seen(fleet, 4.0)

        for seed in range(4):
            self.assertEqual(play(main, str(seed))[0], {2})

    async def revisions_seen(self, fleet: Fleet, seconds: float) -> set[int]:
        """All revisions that any router goes by within so many seconds."""
        seen: set[int] = set()
        until = fleet.now() + seconds
        while fleet.now() < until:
            seen |= revisions(fleet)
            await trio.sleep(0.005)
        return seen


class AnnouncedVersions(unittest.TestCase):
    """From when on only servers with the announced version are used, and what a restart makes of that."""

    def deadlines(self, **bounds: float) -> VersionDeadlines:
        return VersionDeadlines(Bounds(version_ms=15_000, contact_ms=4000, **bounds))

    def record(
        self,
        deadlines: VersionDeadlines,
        versions: dict[str, int],
        asked_at: float,
        announcements: Sequence[ModelVersionAnnouncement] = (),
        is_starting: bool = True,
    ) -> None:
        deadlines.record_announcements(versions, announcements, asked_at, known_versions={}, is_starting=is_starting)

    def test_shortly_before_the_bound(self) -> None:
        deadlines = self.deadlines()
        self.record(deadlines, {"m": 2}, 100.0, is_starting=False)
        self.assertEqual([deadlines.required_version("m", at) for at in (112.9, 113.1)], [0, 2])

    def test_heard_of_at_the_start(self) -> None:
        """Else each restart would begin the 15 s anew, which add up to more than ``versionAllMs``."""
        deadlines = self.deadlines(version_all_ms=22_000)
        self.record(deadlines, {"m": 2}, 100.0)
        self.assertEqual([deadlines.required_version("m", at) for at in (101.9, 102.1)], [0, 2])
        self.record(deadlines, {"m": 3}, 200.0, is_starting=False)
        self.assertEqual([deadlines.required_version("m", at) for at in (212.9, 213.1)], [2, 3])

    def test_heard_of_at_the_start_with_its_age(self) -> None:
        """Without a bound on sums a restart takes nothing away, and gives nothing: the age that was sent counts."""
        deadlines = self.deadlines()
        announcements = [ModelVersionAnnouncement("m", 2, 9000), ModelVersionAnnouncement("m", 3, 4000)]
        self.record(deadlines, {"m": 3}, 100.0, announcements)
        at = (103.9, 104.1, 108.9, 109.1)
        self.assertEqual([deadlines.required_version("m", time) for time in at], [0, 2, 2, 3])

    def test_a_shorter_bound_counts(self) -> None:
        deadlines = VersionDeadlines(Bounds(version_ms=3000, contact_ms=4000))
        self.record(deadlines, {"m": 2}, 100.0)
        self.assertEqual([deadlines.required_version("m", at) for at in (100.9, 101.1)], [0, 2])

    def test_overdue_shortly_before_the_bound(self) -> None:
        deadlines = self.deadlines()
        self.record(deadlines, {"m": 2}, 100.0)
        self.assertEqual([deadlines.seconds_overdue("m", 1, at) for at in (113.9, 114.5)], [None, 14.5])
        self.assertIsNone(deadlines.seconds_overdue("m", 2, 200.0))

    def restarted(self, seed: str) -> list:
        """The breaches where servers that load for good stay behind, and the router is restarted again and again."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            fleet.client("one", ONCE, "key-1", pause=0.1)
            for server in fleet.servers:
                server.traits.load = 1000.0
            fleet.servers[0].traits.load = 0.1
            await fleet.name_version(2)
            for _ in range(5):
                await trio.sleep(5.0)
                for unit in fleet.routers:
                    fleet.kill(unit)
                    fleet.back(unit)

        return play(main, seed, routers=1)[1].breaches()

    def test_restarts_do_not_add_up(self) -> None:
        self.assertEqual(self.restarted("adds up"), [])

    def test_restarts_that_add_up_are_found(self) -> None:
        def anew(
            deadlines: VersionDeadlines, versions: dict[str, int], names: tuple, asked_at: float, **_: object
        ) -> None:
            for model, version in versions.items():
                deadlines.announcements.record(VersionAnnouncement(model, version, asked_at + VERSION_LEAD_SECONDS))

        with mock.patch.object(VersionDeadlines, "record_announcements", anew):
            self.assertIn("VERSION", {breach.rule for breach in self.restarted("adds up")})


if __name__ == "__main__":
    unittest.main()
