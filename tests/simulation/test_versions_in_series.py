"""Versions announced faster than one can be rolled out: what routers may use, and which server loads first."""

import unittest
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.controlplane.version_rollout import VersionRollout
from rowanshift.invariants.facts import Loaded
from rowanshift.simulation.fleet import ONCE, Fleet, play
from rowanshift.simulation.fleet_settings import CONTACT, MODEL, VERSION

ANNOUNCEMENT_INTERVAL = 2.0  # seconds between two announcements, far less than the bound of a version
SERVERS = 5
LOAD_SECONDS = 0.8
ROLLOUT_SECONDS = 0.6 * VERSION


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


async def announce_in_series(fleet: Fleet, count: int) -> None:
    """Announce ``count`` versions at intervals of ``ANNOUNCEMENT_INTERVAL``."""
    for revision in range(2, 2 + count):
        fleet.nursery.start_soon(fleet.name_version, revision)
        await trio.sleep(ANNOUNCEMENT_INTERVAL)


class RouterDeadlines(unittest.TestCase):
    """No request starts on weights whose deadline has passed, no matter which versions were announced later."""

    def broken_rules(self, scenario, seed: str) -> set[str]:
        """Return the rules that break if no server is ever ordered to load."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            fleet.client("one", ONCE, "key-1", pause=0.1)
            await scenario(fleet)

        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            fleet = play(main, seed, routers=1)[1]
        return {violation.rule for violation in fleet.breaches()}

    def test_each_version_has_its_own_deadline(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await announce_in_series(fleet, 6)

        self.assertEqual(self.broken_rules(scenario, "in series"), set())

    def test_deadline_counts_from_the_acknowledgement_at_a_frozen_router(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            router = fleet.routers[0]
            fleet.freeze(router)
            await fleet.name_version(2)
            await trio.sleep(VERSION - CONTACT)
            fleet.thaw(router)
            await trio.sleep(CONTACT + VERSION)

        self.assertEqual(self.broken_rules(scenario, "stood still"), set())


class LoadOrders(unittest.TestCase):
    """Which version a server is ordered to load."""

    def test_newer_version_replaces_a_waiting_order(self) -> None:
        async def main(fleet: Fleet) -> None:
            await fleet.start()
            await trio.sleep(CONTACT)  # until the primary may send orders
            await fleet.name_version(2)
            await trio.sleep(0.1)  # a server is selected, and its order waits for the running requests
            await fleet.name_version(3)
            await fleet.until(lambda: fleet.is_rolled_out(3))

        fleet = play(main, "before the order", routers=1)[1]
        self.assertEqual({fact.revision for fact in fleet.of(Loaded)}, {3})
        self.assertEqual(fleet.breaches(), [])


class LoadSequence(unittest.TestCase):
    """Which server loads next during a rollout."""

    def max_seconds_behind(self, count: int) -> float:
        """Return the longest time in seconds for which any server lacked an announced version."""
        registry = ServerRegistry(rollout_seconds=ROLLOUT_SECONDS)
        registry.apply_list(
            [RegisteredServer(f"i{n}", "s", f"10.0.0.1:{n}", "z", 1, False, {MODEL: 1}) for n in range(SERVERS)]
        )
        announced_at = {2 + n: n * ANNOUNCEMENT_INTERVAL for n in range(count)}
        loads: dict[str, tuple[float, int]] = {}  # by server: end time of the load, and the version
        max_seconds, step_seconds, now = 0.0, 0.05, 0.0
        while now < count * ANNOUNCEMENT_INTERVAL:
            for id in [id for id, (ends_at, _) in loads.items() if ends_at <= now]:
                registry.load_succeeded(id, MODEL, loads.pop(id)[1], now)
            newest = max(version for version, at in announced_at.items() if at <= now)
            while (order := registry.next_load({MODEL: newest}, now)) is not None:
                server, _, version = order
                registry.load_started(server, now)
                loads[server.id] = now + LOAD_SECONDS, version
            for server in registry.servers.values():
                missing_since = [
                    at for version, at in announced_at.items() if version > server.versions[MODEL] and at <= now
                ]
                max_seconds = max(max_seconds, now - min(missing_since, default=now))
            now += step_seconds
        return max_seconds

    def test_no_server_starves_during_announcements(self) -> None:
        self.assertLessEqual(self.max_seconds_behind(12), ROLLOUT_SECONDS + LOAD_SECONDS)


if __name__ == "__main__":
    unittest.main()
