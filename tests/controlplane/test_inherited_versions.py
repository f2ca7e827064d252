"""Named versions that a primary takes over: when each was named, as routers tell that lived through it."""

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

CLOSE = 0.3  # seconds by which a date may differ from when the name was acknowledged
AGE = 2.5  # seconds from a name to the trouble


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def server(id: str, service: str, **versions: int) -> RegisteredServer:
    return RegisteredServer(id, service, "10.0.0.1:80", "z", 1, False, versions)


class LateFirstLoad(unittest.TestCase):
    """A primary that first chooses a load long after its takeover."""

    def test_an_inherited_version_is_due_since_the_takeover(self) -> None:
        registry = ServerRegistry(rollout_seconds=5.0)
        registry.record_versions({"m": 2}, 0.0)  # named by a former primary
        registry.record_versions({"m": 2, "n": 2}, 1.0)
        registry.apply_list([server("z", "s", m=1), server("y", "s", m=2), server("a", "t", n=1)])
        self.assertEqual(registry.next_load({"m": 2, "n": 2}, 20.0)[0].id, "z")


class DatesOfRouters(unittest.TestCase):
    """Which dates of routers a primary applies."""

    def registry(self) -> ServerRegistry:
        made = ServerRegistry(rollout_seconds=5.0)
        made.record_versions({"m": 5}, 100.0)
        return made

    def apply(self, registry: ServerRegistry, *names: ModelVersionAnnouncement) -> bool:
        return registry.apply_announcements(names, {"m": 5}, 100.0)

    def test_a_router_dates_an_inherited_version(self) -> None:
        registry = self.registry()
        self.assertTrue(self.apply(registry, ModelVersionAnnouncement("m", 5, 3000)))
        self.assertEqual(registry.announcements.find("m", 5), VersionAnnouncement("m", 5, 97.0))
        registry.record_versions({"m": 5}, 101.0)
        self.assertEqual(registry.announcements.find("m", 5), VersionAnnouncement("m", 5, 97.0))

    def test_older_announcements_that_the_takeover_had_hidden_return(self) -> None:
        registry = self.registry()
        self.apply(registry, ModelVersionAnnouncement("m", 4, 6000), ModelVersionAnnouncement("m", 5, 3000))
        self.assertEqual([name.version for name in registry.announcements.all()], [4, 5])

    def test_versions_not_in_force_and_undated_ones_are_ignored(self) -> None:
        registry = self.registry()
        self.assertFalse(
            self.apply(registry, ModelVersionAnnouncement("m", 6, 3000), ModelVersionAnnouncement("n", 1, 3000))
        )
        self.assertFalse(self.apply(registry, ModelVersionAnnouncement("m", 5, 3000, is_dated=False)))

    def test_small_differences_change_nothing(self) -> None:
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
        others = [ModelVersionAnnouncement(f"m{n}", 1, 0) for n in range(MAX_ANNOUNCEMENTS_PER_POLL)]
        self.assertFalse(self.apply(self.registry(), *others, ModelVersionAnnouncement("m", 5, 3000)))
        self.assertTrue(self.apply(self.registry(), *others[1:], ModelVersionAnnouncement("m", 5, 3000)))


def named_at(fleet: Fleet) -> float:
    """When the last version was acknowledged."""
    return max(fact.at for fact in fleet.of(VersionNamed))


def dated_at(unit: Unit) -> float:
    """When a program takes version 2 to have been named."""
    program = unit.program
    announcements = (
        program.tasks.registry.announcements if unit.core else program.control_cache.version_deadlines.announcements
    )
    return announcements.missing_since(MODEL, 1) or 0.0


class Takeovers(unittest.TestCase):
    """The date of a name outlives the primary that acknowledged it."""

    async def name(self, fleet: Fleet) -> None:
        """A version is named that no server loads, as no order is given."""
        await fleet.start()
        await fleet.name_version(2)
        await trio.sleep(AGE)

    def off_after(self, trouble, seed: str, routers: int = 2) -> float:
        """Seconds between the name's acknowledgement and its date at the primary that follows a trouble."""

        async def main(fleet: Fleet) -> float:
            await self.name(fleet)
            former = fleet.primary()
            await trouble(fleet, former)
            await fleet.until(lambda: fleet.primary() not in (None, former) or (former.lives > 1 and fleet.primary()))
            await trio.sleep(2.0)
            return abs(dated_at(fleet.primary()) - named_at(fleet))

        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            return play(main, seed, routers=routers)[0]

    def test_a_date_outlives_a_killed_primary(self) -> None:
        async def trouble(fleet: Fleet, primary: Unit) -> None:
            fleet.kill(primary)

        for seed in range(4):
            self.assertLess(self.off_after(trouble, str(seed)), CLOSE)

    def test_a_date_outlives_a_killed_core(self) -> None:
        async def trouble(fleet: Fleet, primary: Unit) -> None:
            fleet.kill(*fleet.cores)
            await trio.sleep(0.5)
            fleet.back(*fleet.cores)

        for seed in range(4):
            self.assertLess(self.off_after(trouble, str(seed)), CLOSE)

    def test_takeovers_in_series_do_not_add_up(self) -> None:
        async def trouble(fleet: Fleet, primary: Unit) -> None:
            for _ in range(6):
                fleet.kill(*fleet.cores)
                await trio.sleep(0.2)
                fleet.back(*fleet.cores)
                await fleet.until(fleet.primary)
                await trio.sleep(1.0)

        self.assertLess(self.off_after(trouble, "series"), CLOSE)

    def test_a_router_that_starts_after_a_takeover_knows_the_date(self) -> None:
        """It goes by the name's own date, not by a shorter time for names of which nobody knows it."""

        async def main(fleet: Fleet) -> float:
            await self.name(fleet)
            fleet.kill(fleet.primary())
            await fleet.until(fleet.primary)
            await trio.sleep(2.0)
            started = fleet.routers[0]
            fleet.kill(started)
            fleet.back(started)
            await fleet.until(lambda: started.lives > 1 and started.program and started.program.ready())
            await trio.sleep(1.0)
            return abs(dated_at(started) - named_at(fleet))

        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            for seed in range(4):
                self.assertLess(play(main, f"starts {seed}")[0], 2 * CLOSE)


if __name__ == "__main__":
    unittest.main()
