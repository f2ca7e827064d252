"""Announced versions that a primary inherits: routers report the times at which they were announced."""

import unittest
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.controlplane.server_registry import (
    DATE_TOLERANCE_SECONDS,
    MAX_ANNOUNCEMENTS_PER_POLL,
    ServerRegistry,
)
from rowanshift.controlplane.version_rollout import VersionRollout
from rowanshift.invariants.facts import VersionNamed
from rowanshift.simulation.fleet import Fleet, play
from rowanshift.simulation.fleet_settings import MODEL
from rowanshift.simulation.fleet_troubles import Unit
from rowanshift.wire.control_updates import ModelVersionAnnouncement
from rowanshift.wire.version_announcements import VersionAnnouncement

MAX_DATE_ERROR_SECONDS = 0.3  # maximum difference between a date and the acknowledgement of the announcement
ANNOUNCEMENT_AGE_SECONDS = 2.5  # time from the announcement to the fault


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def server(id: str, service: str, **versions: int) -> RegisteredServer:
    return RegisteredServer(id, service, "10.0.0.1:80", "z", 1, False, versions)


class LateFirstLoad(unittest.TestCase):
    """A primary that chooses its first load long after its takeover."""

    def test_an_inherited_version_is_due_since_the_takeover(self) -> None:
        registry = ServerRegistry(rollout_seconds=5.0)
        registry.record_versions({"m": 2}, 0.0)  # announced to a former primary
        registry.record_versions({"m": 2, "n": 2}, 1.0)
        registry.apply_list([server("z", "s", m=1), server("y", "s", m=2), server("a", "t", n=1)])
        self.assertEqual(registry.next_load({"m": 2, "n": 2}, 20.0)[0].id, "z")


class DatesOfRouters(unittest.TestCase):
    """The announcement times from routers that a primary applies."""

    def registry(self) -> ServerRegistry:
        registry = ServerRegistry(rollout_seconds=5.0)
        registry.record_versions({"m": 5}, 100.0)
        return registry

    def apply(self, registry: ServerRegistry, *announcements: ModelVersionAnnouncement) -> bool:
        return registry.apply_announcements(announcements, {"m": 5}, 100.0)

    def test_a_router_dates_an_inherited_version(self) -> None:
        registry = self.registry()
        self.assertTrue(self.apply(registry, ModelVersionAnnouncement("m", 5, 3000)))
        self.assertEqual(registry.announcements.find("m", 5), VersionAnnouncement("m", 5, 97.0))
        registry.record_versions({"m": 5}, 101.0)
        self.assertEqual(registry.announcements.find("m", 5), VersionAnnouncement("m", 5, 97.0))

    def test_older_announcements_lost_in_the_takeover_are_restored(self) -> None:
        registry = self.registry()
        self.apply(registry, ModelVersionAnnouncement("m", 4, 6000), ModelVersionAnnouncement("m", 5, 3000))
        self.assertEqual([announcement.version for announcement in registry.announcements.all()], [4, 5])

    def test_versions_not_in_force_and_undated_ones_are_ignored(self) -> None:
        registry = self.registry()
        self.assertFalse(
            self.apply(registry, ModelVersionAnnouncement("m", 6, 3000), ModelVersionAnnouncement("n", 1, 3000))
        )
        self.assertFalse(self.apply(registry, ModelVersionAnnouncement("m", 5, 3000, is_dated=False)))

    def test_differences_within_the_tolerance_are_ignored(self) -> None:
        registry = self.registry()
        self.apply(registry, ModelVersionAnnouncement("m", 5, 3000))
        serial = registry.announcements_serial
        self.assertFalse(
            self.apply(registry, ModelVersionAnnouncement("m", 5, 3000 + int(900 * DATE_TOLERANCE_SECONDS)))
        )
        self.assertEqual(registry.announcements_serial, serial)
        self.assertTrue(
            self.apply(registry, ModelVersionAnnouncement("m", 5, 3000 + int(1100 * DATE_TOLERANCE_SECONDS)))
        )
        self.assertEqual(registry.announcements_serial, serial + 1)

    def test_announcements_beyond_the_limit_are_ignored(self) -> None:
        other_announcements = [ModelVersionAnnouncement(f"m{n}", 1, 0) for n in range(MAX_ANNOUNCEMENTS_PER_POLL)]
        self.assertFalse(self.apply(self.registry(), *other_announcements, ModelVersionAnnouncement("m", 5, 3000)))
        self.assertTrue(self.apply(self.registry(), *other_announcements[1:], ModelVersionAnnouncement("m", 5, 3000)))


def announced_at(fleet: Fleet) -> float:
    """Return the time at which the last announcement was acknowledged."""
    return max(fact.at for fact in fleet.of(VersionNamed))


def known_announcement_time(unit: Unit) -> float:
    """Return the time at which version 2 was announced, as known to a core machine or a router."""
    program = unit.program
    announcements = (
        program.tasks.registry.announcements if unit.core else program.control_cache.version_deadlines.announcements
    )
    return announcements.missing_since(MODEL, 1) or 0.0


class Takeovers(unittest.TestCase):
    """The announcement time of a version survives the primary that acknowledged it."""

    async def announce(self, fleet: Fleet) -> None:
        """Announce a version that no server loads, because no orders are sent."""
        await fleet.start()
        await fleet.name_version(2)
        await trio.sleep(ANNOUNCEMENT_AGE_SECONDS)

    def date_error_after(self, inject_fault, seed: str, routers: int = 2) -> float:
        """Return the error of the announcement time, in seconds, at the first primary after a fault."""

        async def main(fleet: Fleet) -> float:
            await self.announce(fleet)
            former_primary = fleet.primary()
            await inject_fault(fleet, former_primary)
            await fleet.until(
                lambda: (
                    fleet.primary() not in (None, former_primary)
                    or (former_primary.process_count > 1 and fleet.primary())
                )
            )
            await trio.sleep(2.0)
            return abs(known_announcement_time(fleet.primary()) - announced_at(fleet))

        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            return play(main, seed, routers=routers)[0]

    def test_a_date_survives_a_killed_primary(self) -> None:
        async def inject_fault(fleet: Fleet, primary: Unit) -> None:
            fleet.kill(primary)

        for seed in range(4):
            self.assertLess(self.date_error_after(inject_fault, str(seed)), MAX_DATE_ERROR_SECONDS)

    def test_a_date_survives_a_killed_core(self) -> None:
        async def inject_fault(fleet: Fleet, primary: Unit) -> None:
            fleet.kill(*fleet.cores)
            await trio.sleep(0.5)
            fleet.back(*fleet.cores)

        for seed in range(4):
            self.assertLess(self.date_error_after(inject_fault, str(seed)), MAX_DATE_ERROR_SECONDS)

    def test_errors_do_not_accumulate_over_takeovers(self) -> None:
        async def inject_fault(fleet: Fleet, primary: Unit) -> None:
            for _ in range(6):
                fleet.kill(*fleet.cores)
                await trio.sleep(0.2)
                fleet.back(*fleet.cores)
                await fleet.until(fleet.primary)
                await trio.sleep(1.0)

        self.assertLess(self.date_error_after(inject_fault, "series"), MAX_DATE_ERROR_SECONDS)

    def test_a_router_that_starts_after_a_takeover_knows_the_date(self) -> None:
        """It uses the announcement time itself, not the shorter deadline for versions without a known time."""

        async def main(fleet: Fleet) -> float:
            await self.announce(fleet)
            fleet.kill(fleet.primary())
            await fleet.until(fleet.primary)
            await trio.sleep(2.0)
            restarted_router = fleet.routers[0]
            fleet.kill(restarted_router)
            fleet.back(restarted_router)
            await fleet.until(
                lambda: (
                    restarted_router.process_count > 1 and restarted_router.program and restarted_router.program.ready()
                )
            )
            await trio.sleep(1.0)
            return abs(known_announcement_time(restarted_router) - announced_at(fleet))

        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            for seed in range(4):
                self.assertLess(play(main, f"starts {seed}")[0], 2 * MAX_DATE_ERROR_SECONDS)


if __name__ == "__main__":
    unittest.main()
