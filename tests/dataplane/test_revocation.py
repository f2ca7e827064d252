"""How long a revoked key may still be used, at any router, connected to the core or not."""

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

REVOKE = 2.0  # seconds for which a revoked key may still be used
KEY = KEYS["t1"][0]


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class KeyAdmission(unittest.TestCase):
    def test_admission_depends_on_the_age_of_the_state_when_the_request_arrived(self) -> None:
        freshness = Freshness(0.0, 1.5, 5.0)
        self.assertFalse(freshness.may_admit_key(0.0))
        freshness.confirm(10.0)
        self.assertEqual([freshness.may_admit_key(at) for at in (9.0, 15.0, 15.01)], [True, True, False])

    def test_stale_state_does_not_shorten_the_admission_by_key(self) -> None:
        freshness = Freshness(0.0, 1.5, 5.0)
        freshness.confirm(10.0)
        freshness.mark_stale(14.0)
        self.assertEqual([freshness.may_admit_key(at) for at in (15.0, 15.01)], [True, False])

    def test_without_a_bound_keys_are_admitted_at_any_age(self) -> None:
        self.assertTrue(Freshness(0.0, 1.5).may_admit_key(1e9))

    def test_settings_of_the_bound(self) -> None:
        self.assertIsNone(RuleBounds(revoke_ms=4000).revocation_seconds)
        self.assertEqual(RuleBounds(revoke_strict=True, revoke_ms=4000).revocation_seconds, 4.0)


class AllKeyed(unittest.TestCase):
    """Whether a router that may not admit keys has no route left that it can serve."""

    def requires_keys(self, config: dict) -> bool:
        return parse_routing_table(1, orjson.dumps(config), {}).requires_keys

    def test_keys_are_required_unless_a_route_is_public_or_there_are_no_tenants(self) -> None:
        config = config_of(1)
        self.assertTrue(self.requires_keys(config))
        config["routes"][0]["public"] = True
        self.assertFalse(self.requires_keys(config))
        self.assertFalse(self.requires_keys({name: value for name, value in config_of(1).items() if name != "tenants"}))


class Rule(unittest.TestCase):
    """The rule that detects late use of a revoked key, on constructed facts."""

    def facts(self, sent_at: float, keys_after: dict, public: bool = False) -> list:
        routes = [route | {"public": public} for route in routes_of()]
        before, after = config_of(1, routes=routes), config_of(2, keys_after, routes=routes)
        return [
            ConfigSent(0.0, "c1", 0, 1, before),
            ConfigAnswered(0.1, "c1", 0, 1, 200),
            ConfigSent(1.0, "c2", 1, 2, after),
            ConfigAnswered(1.1, "c2", 1, 2, 200),
            *self.request_facts(sent_at),
        ]

    def request_facts(self, sent_at: float) -> list:
        asked = {"front": ("f", 1), "key": KEY, "host": HOST, "target": ONCE + "x"}
        asked |= {"id": "r", "call": "c"}
        began = {"id": "r", "instance": "i", "service": "llm", "host": HOST, "target": ONCE + "x"}
        return [fact_with_defaults(Asked, sent_at, asked), fact_with_defaults(Began, sent_at + 0.5, began)]

    def violations(self, *args: object, **kwargs: object) -> int:
        return len(revoked(self.facts(*args, **kwargs), REVOKE))

    def test_the_time_of_sending_decides(self) -> None:
        without = {"t1": KEYS["t1"][1:]}
        self.assertEqual([self.violations(at, without) for at in (1.0, 3.05, 3.2)], [0, 0, 1])

    def test_a_valid_key_and_a_public_route_are_no_violation(self) -> None:
        self.assertEqual(self.violations(9.0, KEYS), 0)
        self.assertEqual(self.violations(9.0, {}, public=True), 0)

    def test_without_a_bound_there_is_no_violation(self) -> None:
        self.assertEqual(revoked(self.facts(9.0, {}), None), [])


def fact_with_defaults(kind: type, at: float, given: dict) -> object:
    """A fact with the given fields, and empty values for its other required fields."""
    empty = {"str": "", "int": 0, "float": 0.0, "bool": False}
    rest = {
        field.name: empty.get(str(field.type), empty.get(getattr(field.type, "__name__", ""), ""))
        for field in dataclasses.fields(kind)
        if field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
    }
    return kind(**(rest | {"at": at} | given))


class OnAFleet(unittest.TestCase):
    """Revocations while machines are partitioned, suspended, or partitioned in one direction only."""

    async def revoke_during_fault(self, fleet: Fleet, fault: str, victims: int, ways: str = "both") -> None:
        """Revoke a key while ``victims`` routers, and in one case the primary, are partitioned or suspended for 6 s."""
        await fleet.start()
        for prefix in (ONCE, RESUMED, REPEATED):
            fleet.client(f"c{prefix.strip('/')}", prefix, KEY, pause=0.05)
        fleet.client("other", ONCE, KEYS["t3"][0], pause=0.1)
        await trio.sleep(1.0)
        units: list[Unit] = [*fleet.routers[:victims]]
        if fault == "cut with the primary":
            units.append(fleet.primary())
        for unit in units:
            if fault == "freeze":
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
            if fault == "freeze":
                fleet.thaw(unit)
            else:
                fleet.join(unit, fleet.cores, ways)
        await trio.sleep(3.0)

    def simulated(self, fault: str, victims: int, ways: str = "both", seed: int = 0) -> Fleet:
        async def main(fleet: Fleet) -> None:
            await self.revoke_during_fault(fleet, fault, victims, ways)

        return play(main, str(seed), routers=3, revoke=REVOKE)[1]

    def assert_no_breaches(self, fault: str, victims: int, ways: str = "both") -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.simulated(fault, victims, ways, seed)
                self.assertEqual(fleet.breaches(), [])
                self.assertGreater(fleet.served(names=["other"]), 0.9)

    def test_a_router_is_cut_off(self) -> None:
        self.assert_no_breaches("cut", 1)

    def test_two_of_three_routers_are_cut_off(self) -> None:
        self.assert_no_breaches("cut", 2)

    def test_the_primary_is_cut_off_with_a_router(self) -> None:
        self.assert_no_breaches("cut with the primary", 1)

    def test_a_router_is_cut_off_in_one_direction(self) -> None:
        for ways in ("in", "out"):
            self.assert_no_breaches("cut", 1, ways)

    def test_a_router_is_suspended_and_resumed(self) -> None:
        self.assert_no_breaches("freeze", 1)

    def test_a_router_that_can_not_confirm_its_state_answers_503_and_is_not_ready(self) -> None:
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

    def test_a_router_that_admits_revoked_keys_is_detected(self) -> None:
        with mock.patch.object(Freshness, "may_admit_key", lambda freshness, arrived_at: True):
            for fault, victims in (("cut", 1), ("cut with the primary", 1)):
                rules = {violation.rule for violation in self.simulated(fault, victims).breaches()}
                self.assertIn("CONFIG", rules, fault)


if __name__ == "__main__":
    unittest.main()
