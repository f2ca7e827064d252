"""How long a key that was taken away may still be used, on any machine, in touch with the core or not."""

import dataclasses
import unittest
from unittest import mock

import orjson
import trio
from loguru import logger

from rowanshift.dataplane.freshness import Freshness
from rowanshift.dataplane.routing_table import parse_routing_table
from rowanshift.invariants.configuration_rules import revoked
from rowanshift.invariants.facts import Answered, Asked, Began, ConfigAnswered, ConfigSent
from rowanshift.process.node_settings import RuleBounds
from rowanshift.simulation.fleet import ONCE, REPEATED, RESUMED, Fleet, config_of, play, routes_of
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.simulation.fleet_settings import HOST, KEYS

REVOKE = 2.0  # seconds for which a key may still be used
KEY = KEYS["t1"][0]


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Known(unittest.TestCase):
    def test_by_the_age_of_what_is_known_as_the_request_came(self) -> None:
        freshness = Freshness(0.0, 1.5, 5.0)
        self.assertFalse(freshness.may_admit_key(0.0))
        freshness.confirm(10.0)
        self.assertEqual([freshness.may_admit_key(at) for at in (9.0, 15.0, 15.01)], [True, True, False])

    def test_a_doubt_takes_nothing_from_what_was_known(self) -> None:
        freshness = Freshness(0.0, 1.5, 5.0)
        freshness.confirm(10.0)
        freshness.mark_stale(14.0)
        self.assertEqual([freshness.may_admit_key(at) for at in (15.0, 15.01)], [True, False])

    def test_without_a_bound(self) -> None:
        self.assertTrue(Freshness(0.0, 1.5).may_admit_key(1e9))

    def test_the_settings(self) -> None:
        self.assertIsNone(RuleBounds(revoke_ms=4000).revocation_seconds)
        self.assertEqual(RuleBounds(revoke_strict=True, revoke_ms=4000).revocation_seconds, 4.0)


class AllKeyed(unittest.TestCase):
    """Whether a router that may not go by keys has anything left to serve."""

    def requires_keys(self, config: dict) -> bool:
        return parse_routing_table(1, orjson.dumps(config), {}).requires_keys

    def test_of_routes_and_tenants(self) -> None:
        config = config_of(1)
        self.assertTrue(self.requires_keys(config))
        config["routes"][0]["public"] = True
        self.assertFalse(self.requires_keys(config))
        self.assertFalse(self.requires_keys({name: value for name, value in config_of(1).items() if name != "tenants"}))


class Rule(unittest.TestCase):
    """The check itself, on facts made by hand."""

    def facts(self, sent_at: float, keys_after: dict, public: bool = False) -> list:
        routes = [route | {"public": public} for route in routes_of()]
        before, after = config_of(1, routes=routes), config_of(2, keys_after, routes=routes)
        return [
            ConfigSent(0.0, "c1", 0, 1, before),
            ConfigAnswered(0.1, "c1", 0, 1, 200),
            ConfigSent(1.0, "c2", 1, 2, after),
            ConfigAnswered(1.1, "c2", 1, 2, 200),
            *self.run_of(sent_at),
        ]

    def run_of(self, sent_at: float) -> list:
        asked = {"front": ("f", 1), "key": KEY, "host": HOST, "target": ONCE + "x"}
        asked |= {"id": "r", "call": "c"}
        began = {"id": "r", "instance": "i", "service": "llm", "host": HOST, "target": ONCE + "x"}
        return [filled(Asked, sent_at, asked), filled(Began, sent_at + 0.5, began)]

    def broken(self, *given: object, **more: object) -> int:
        return len(revoked(self.facts(*given, **more), REVOKE))

    def test_by_when_the_request_was_sent(self) -> None:
        without = {"t1": KEYS["t1"][1:]}
        self.assertEqual([self.broken(at, without) for at in (1.0, 3.05, 3.2)], [0, 0, 1])

    def test_a_key_that_is_held_and_a_public_route(self) -> None:
        self.assertEqual(self.broken(9.0, KEYS), 0)
        self.assertEqual(self.broken(9.0, {}, public=True), 0)

    def test_no_bound(self) -> None:
        self.assertEqual(revoked(self.facts(9.0, {}), None), [])


def filled(kind: type, at: float, given: dict) -> object:
    """A fact with what is given, and empty values of their types for the rest."""
    empty = {"str": "", "int": 0, "float": 0.0, "bool": False}
    rest = {
        field.name: empty.get(str(field.type), empty.get(getattr(field.type, "__name__", ""), ""))
        for field in dataclasses.fields(kind)
        if field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
    }
    return kind(**(rest | {"at": at} | given))


class OnAFleet(unittest.TestCase):
    """Revocations while machines are cut off, stand still, or hear in one direction only."""

    async def revoked_while(self, fleet: Fleet, trouble: str, victims: int, ways: str = "both") -> None:
        """A key is taken away while so many routers, and at times the primary, are out of touch for 6 s."""
        await fleet.start()
        for prefix in (ONCE, RESUMED, REPEATED):
            fleet.client(f"c{prefix.strip('/')}", prefix, KEY, pause=0.05)
        fleet.client("other", ONCE, KEYS["t3"][0], pause=0.1)
        await trio.sleep(1.0)
        units: list[Unit] = [*fleet.routers[:victims]]
        if trouble == "cut with the primary":
            units.append(fleet.primary())
        for unit in units:
            if trouble == "freeze":
                fleet.freeze(unit)
            else:
                fleet.cut(unit, fleet.cores, ways)
        await fleet.until(
            lambda: any(unit.program.replica_runner.lease_remaining() for unit in fleet.cores if unit not in units)
        )
        keys = KEYS | {"t1": KEYS["t1"][1:]}
        assert await fleet.put(config_of(2, keys)) == 200
        await trio.sleep(6.0)
        for unit in units:
            if trouble == "freeze":
                fleet.thaw(unit)
            else:
                fleet.join(unit, fleet.cores, ways)
        await trio.sleep(3.0)

    def played(self, trouble: str, victims: int, ways: str = "both", seed: int = 0) -> Fleet:
        async def main(fleet: Fleet) -> None:
            await self.revoked_while(fleet, trouble, victims, ways)

        return play(main, str(seed), routers=3, revoke=REVOKE)[1]

    def assert_kept(self, trouble: str, victims: int, ways: str = "both") -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.played(trouble, victims, ways, seed)
                self.assertEqual(fleet.breaches(), [])
                self.assertGreater(fleet.served(names=["other"]), 0.9)

    def test_a_router_is_cut_off(self) -> None:
        self.assert_kept("cut", 1)

    def test_two_of_three_are_cut_off(self) -> None:
        self.assert_kept("cut", 2)

    def test_the_primary_is_cut_off_with_a_router(self) -> None:
        self.assert_kept("cut with the primary", 1)

    def test_cut_in_one_direction(self) -> None:
        for ways in ("in", "out"):
            self.assert_kept("cut", 1, ways)

    def test_a_router_stands_still_and_goes_on(self) -> None:
        self.assert_kept("freeze", 1)

    def test_a_router_that_can_not_know_says_503_and_is_not_ready(self) -> None:
        async def main(fleet: Fleet) -> tuple[bool, bool, bool]:
            await fleet.start()
            unit = fleet.routers[0]
            fleet.cut(unit, fleet.cores)
            await trio.sleep(REVOKE - 0.7)
            early = unit.program.ready()
            await trio.sleep(1.5)
            late = unit.program.ready()
            fleet.client("late", ONCE, KEY, pause=0.1)
            await trio.sleep(1.0)
            fleet.join(unit, fleet.cores)
            await fleet.until(unit.program.ready)
            await trio.sleep(1.0)
            return early, late, unit.program.ready()

        ready, fleet = play(main, "503", routers=1, revoke=REVOKE)
        self.assertEqual(ready, (True, False, True))
        first = [fact for fact in fleet.of(Answered) if fact.status][:1]
        self.assertEqual([fact.status for fact in first], [503])
        self.assertIn(200, {fact.status for fact in fleet.of(Answered)})

    def test_a_router_that_goes_by_old_keys_is_found(self) -> None:
        with mock.patch.object(Freshness, "may_admit_key", lambda freshness, came_at: True):
            for trouble, victims in (("cut", 1), ("cut with the primary", 1)):
                rules = {breach.rule for breach in self.played(trouble, victims).breaches()}
                self.assertIn("CONFIG", rules, trouble)


if __name__ == "__main__":
    unittest.main()
