"""How routers find a new primary, which refusals they give meanwhile, and the order in which they apply updates."""

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

MAX_APPLY_SECONDS = 1.0  # limit from the new primary's acknowledgement of a change; the operators' bound is 2 s


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
    """Routers apply what the next primary acknowledges in time, however its predecessor failed."""

    async def apply_time(self, fleet: Fleet, fault: str, recovery: str) -> float:
        """Seconds from an acknowledgement by the next primary until all routers use the change."""
        await fleet.start()
        await trio.sleep(1.0 + fleet.random_source.random())
        first = fleet.primary()
        getattr(fleet, fault)(first)
        await fleet.until(lambda: another_holds(fleet, first))
        assert await fleet.put(config_of(2)) == 200
        acknowledged_at = fleet.now()
        await fleet.until(lambda: revisions(fleet) == {2})
        elapsed = fleet.now() - acknowledged_at
        getattr(fleet, recovery)(first)
        await trio.sleep(0.5)
        return elapsed

    def apply_times(self, fault: str, recovery: str, seeds: range = range(10)) -> list[float]:
        async def main(fleet: Fleet) -> float:
            return await self.apply_time(fleet, fault, recovery)

        return [play(main, str(seed))[0] for seed in seeds]

    def test_the_primary_is_suspended(self) -> None:
        self.assertLess(max(self.apply_times("freeze", "thaw")), MAX_APPLY_SECONDS)

    def test_the_primary_is_cut_off(self) -> None:
        self.assertLess(max(self.apply_times("cut", "join")), MAX_APPLY_SECONDS)

    def test_the_primary_is_killed(self) -> None:
        self.assertLess(max(self.apply_times("kill", "back")), MAX_APPLY_SECONDS)

    def test_a_search_that_waits_for_one_machine_at_a_time_fails_the_check(self) -> None:
        with (
            mock.patch.object(control_client, "SEARCH_STAGGER_SECONDS", 5.0),
            mock.patch.object(control_client, "POLL_ANSWER_SECONDS", 1.1),
            mock.patch.object(control_client, "SEARCH_ANSWER_SECONDS", 1.6),
            mock.patch.object(PrimarySearch, "on_no_answer", lambda search, machine, now: None),
        ):
            self.assertGreater(max(self.apply_times("freeze", "thaw")), MAX_APPLY_SECONDS)


class Refusals(unittest.TestCase):
    """A 401 or 404 is final for the client, so it is based on recent state; otherwise the router sends a 503."""

    def statuses(self, cut_off: bool, seed: str = "f") -> set[int]:
        """The statuses of requests that match no route, by a router that is cut off from the core or not."""

        async def main(fleet: Fleet) -> list[int]:
            await fleet.start(config_of(1, routes=[]))
            unit = fleet.routers[0]
            if cut_off:
                fleet.cut(unit, fleet.cores)
            await trio.sleep(2.5)
            attempts = fleet.client("early", ONCE, "key-1").tries
            await trio.sleep(2.0)
            if cut_off:
                fleet.join(unit, fleet.cores)
            return [attempt.status for attempt in attempts if attempt.front == fleet.fronts[0] and attempt.status]

        return set(play(main, seed, routers=1)[0])

    def test_connected_to_the_core(self) -> None:
        self.assertEqual(self.statuses(cut_off=False), {404})

    def test_cut_off_from_the_core(self) -> None:
        self.assertEqual(self.statuses(cut_off=True), {503})

    def test_a_router_that_refuses_by_stale_state_fails_the_check(self) -> None:
        with mock.patch.object(Freshness, "may_refuse", lambda freshness, now: True):
            self.assertEqual(self.statuses(cut_off=True), {404})


class Order(unittest.TestCase):
    """A router applies updates in the order of epoch and sequence and never goes back."""

    def test_an_answer_of_an_older_epoch_or_sequence_is_ignored(self) -> None:
        async def main(fleet: Fleet) -> list[tuple[int, int]]:
            applied: list[tuple[int, int]] = []
            apply = ControlCache.apply

            def apply_and_record(cache: ControlCache, update: Update, asked_at: float) -> bool:
                applied.append(update.state_version)
                return apply(cache, update, asked_at)

            with mock.patch.object(ControlCache, "apply", apply_and_record):
                await fleet.start()
                for revision in range(2, 8):
                    await fleet.put(config_of(revision))
                    if revision == 4:
                        fleet.kill(fleet.primary())
                await trio.sleep(1.0)
            return applied

        applied, fleet = play(main, "order", routers=1)
        self.assertEqual(applied, sorted(applied))
        self.assertGreater(len({epoch for epoch, _ in applied}), 1)
        self.assertGreater(len({sequence for _, sequence in applied}), 2)
        self.assertEqual([fact for fact in fleet.of(Answered) if fact.status >= 500], [])

    def test_an_answer_written_long_after_the_lease_check_is_not_applied(self) -> None:
        """The old primary is stalled between its lease check and the write, and writes when another is primary."""

        async def main(fleet: Fleet) -> set[int]:
            await fleet.start()
            first = fleet.primary()
            poll = PollEndpoint.answer

            async def stalled(endpoint: PollEndpoint, request: Poll) -> object:
                answer = await poll(endpoint, request)
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
        """All revisions that any router uses within ``seconds``."""
        seen: set[int] = set()
        until = fleet.now() + seconds
        while fleet.now() < until:
            seen |= revisions(fleet)
            await trio.sleep(0.005)
        return seen


if __name__ == "__main__":
    unittest.main()
