"""The soak's check of the rule VERSION: what it counts, what it leaves out, and an injected bug that it detects."""

import unittest
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane.version_rollout import VersionRollout
from rowanshift.dataplane.control_cache import ControlCache
from rowanshift.invariants.facts import Asked, Began, VersionNamed
from rowanshift.simulation.fleet import ONCE, Fleet, play
from rowanshift.simulation.fleet_settings import CONTACT, MODEL, VERSION, VERSION_ALL
from rowanshift.soak import plan, versions
from rowanshift.soak.plan import FaultKind, Link
from rowanshift.soak.records import Lagged, LoadEnded, ProcessStarted, TroubleMet

FRONT = "127.0.0.11:8180"
STARTED = ProcessStarted(0.0, "router-1", 1, "router-1.1.log", FRONT)
NAMED = VersionNamed(10.0, MODEL, 2)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def request_events(at: float, revision: int = 1) -> list:
    """The events of a request that begins immediately on the weights of a version."""
    name = f"r{at}"
    asked = Asked(at, name, "h", "POST", "/once/x", b"", front=FRONT)
    return [asked, Began(at, name, "i", "s", f"run-{name}", "", "h", "POST", "/", b"", model=MODEL, revision=revision)]


class VersionRule(unittest.TestCase):
    def violation_count(self, *events) -> int:
        return len(versions.version_violations([STARTED, NAMED, LoadEnded(60.0), *events]))

    def test_older_weights_violate_the_rule_after_the_bound(self) -> None:
        self.assertEqual(self.violation_count(*request_events(10.0 + VERSION - 0.1)), 0)
        self.assertEqual(self.violation_count(*request_events(10.0 + VERSION + 0.1)), 1)
        self.assertEqual(self.violation_count(*request_events(10.0 + VERSION + 0.1, revision=2)), 0)

    def test_a_fault_of_the_core_or_of_a_link_restarts_the_bound(self) -> None:
        late = request_events(10.0 + VERSION + 2.0)
        for fault in (
            TroubleMet(11.0, 11.5, FaultKind.KILL, ("core-2",)),
            TroubleMet(11.0, 11.5, FaultKind.ROLL, ("core-2", "router-2")),
            TroubleMet(11.0, 11.5, FaultKind.WIPE, ("core-1",)),
            TroubleMet(11.0, 11.5, FaultKind.CUT, links=(Link("system", "server-1"),)),
            ProcessStarted(11.0, "core-1", 2, "core-1.2.log"),
            Lagged(12.0, 0.5),
        ):
            self.assertEqual(self.violation_count(fault, *late), 0, fault)
            self.assertEqual(self.violation_count(fault, *request_events(15.0 + VERSION + CONTACT)), 1, fault)

    def test_only_requests_of_unreachable_routers_are_exempt(self) -> None:
        late = request_events(10.0 + VERSION + 4.0)
        self.assertEqual(self.violation_count(TroubleMet(20.0, 20.5, FaultKind.PAUSE, ("router-1",)), *late), 0)
        self.assertEqual(self.violation_count(TroubleMet(18.0, 18.5, FaultKind.PAUSE, ("router-1",)), *late), 1)
        self.assertEqual(self.violation_count(TroubleMet(20.0, 20.5, FaultKind.PAUSE, ("router-2",)), *late), 1)
        self.assertEqual(self.violation_count(ProcessStarted(20.0, "router-1", 2, "l", FRONT), *late), 0)

    def test_undisturbed_intervals_add_up(self) -> None:
        faults = [TroubleMet(at, at + 0.1, FaultKind.KILL, ("core-1",)) for at in (16.0, 25.0, 34.0)]
        second_interval_at = 16.0 + 0.1 + CONTACT  # 6 s were undisturbed before the first fault
        self.assertEqual(
            self.violation_count(*faults, *request_events(second_interval_at + VERSION_ALL - 6.0 - 0.1)), 0
        )
        self.assertEqual(
            self.violation_count(*faults, *request_events(second_interval_at + VERSION_ALL - 6.0 + 0.1)), 1
        )


class PlantedFault(unittest.TestCase):
    """No server is ordered to load new weights, and routers accept servers with any weights."""

    def found(self, **planted) -> set[str]:
        async def main(fleet: Fleet) -> None:
            await fleet.start()
            fleet.client("one", ONCE, "key-1", pause=0.1)
            await fleet.name_version(2)
            await trio.sleep(VERSION + CONTACT)

        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            fleet = play(main, "planted", routers=1, strict=False)[1]
        started = [ProcessStarted(0.0, "router-1", 1, "router-1.1.log", unit.front) for unit in fleet.routers]
        return {violation.rule for violation in versions.version_violations([*started, *fleet.facts])}

    def test_the_planted_fault_is_detected(self) -> None:
        with mock.patch.object(ControlCache, "required_version", lambda cache, model, now: 0):
            self.assertEqual(self.found(), {"VERSION"})
        self.assertEqual(self.found(), set())


class Plans(unittest.TestCase):
    def test_the_fault_free_window_of_a_long_run_outlasts_the_bounds(self) -> None:
        self.assertGreater(plan.FAULT_FREE_S, CONTACT + VERSION_ALL)
        for seed in range(50):
            since, until = plan.fault_free_window(seed, 60.0)
            drawn = plan.draw(seed, 60.0)
            self.assertFalse([one for one in drawn.troubles if one.at <= until and one.until >= since])
            self.assertTrue(drawn.troubles)

    def test_a_short_run_has_no_fault_free_window(self) -> None:
        self.assertIsNone(plan.fault_free_window(1, plan.FAULT_FREE_MIN_RUN_S - 0.1))


if __name__ == "__main__":
    unittest.main()
