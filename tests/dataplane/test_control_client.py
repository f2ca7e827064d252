"""How routers find the next primary, what they refuse meanwhile, and in which order they apply updates."""

import unittest
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane.poll_endpoint import PollEndpoint
from rowanshift.dataplane import control_client
from rowanshift.dataplane.control_cache import ControlCache
from rowanshift.dataplane.freshness import Freshness
from rowanshift.dataplane.primary_search import PrimarySearch
from rowanshift.invariants.system import Answered
from rowanshift.simulation.fleet import ONCE, Fleet, Unit, config_of, play
from rowanshift.wire.control_updates import Poll, Update

APPLIED_WITHIN = 1.0  # seconds from a change's acknowledgement after a takeover; the operators' bound is 2


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


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


if __name__ == "__main__":
    unittest.main()
