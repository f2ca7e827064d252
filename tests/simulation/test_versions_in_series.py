"""Named versions that follow each other faster than their bound: what routers may use, and who is loaded first."""

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

NAMES_APART = 2.0  # seconds between two names, far less than their bound
SERVERS = 5
LOAD_TAKES = 0.8  # seconds
ROLL_OUT_WITHIN = 0.6 * VERSION


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


async def name_in_series(fleet: Fleet, names: int) -> None:
    """Names so many versions, one each ``NAMES_APART``."""
    for revision in range(2, 2 + names):
        fleet.nursery.start_soon(fleet.name_version, revision)
        await trio.sleep(NAMES_APART)


class Routers(unittest.TestCase):
    """No request begins on weights whose own bound is over, whatever was named since."""

    def rules_broken(self, scenario, seed: str) -> set[str]:
        """What breaks where no server is ever ordered to load."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            fleet.client("one", ONCE, "key-1", pause=0.1)
            await scenario(fleet)

        with mock.patch.object(VersionRollout, "_may_order", lambda rollout: False):
            fleet = play(main, seed, routers=1)[1]
        return {breach.rule for breach in fleet.breaches()}

    def test_each_name_has_a_deadline_of_its_own(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await name_in_series(fleet, 6)

        self.assertEqual(self.rules_broken(scenario, "in series"), set())

    def test_a_name_counts_from_its_acknowledgement_at_a_router_that_stood_still(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            router = fleet.routers[0]
            fleet.freeze(router)
            await fleet.name_version(2)
            await trio.sleep(VERSION - CONTACT)
            fleet.thaw(router)
            await trio.sleep(CONTACT + VERSION)

        self.assertEqual(self.rules_broken(scenario, "stood still"), set())


class Orders(unittest.TestCase):
    """What a server is ordered to load."""

    def test_a_name_that_comes_before_the_order_goes_out_is_loaded_at_once(self) -> None:
        async def main(fleet: Fleet) -> None:
            await fleet.start()
            await trio.sleep(CONTACT)  # until the primary may give orders
            await fleet.name_version(2)
            await trio.sleep(0.1)  # a server is chosen, and its order waits for the requests that run there
            await fleet.name_version(3)
            await fleet.until(lambda: fleet.rolled_out(3))

        fleet = play(main, "before the order", routers=1)[1]
        self.assertEqual({fact.revision for fact in fleet.of(Loaded)}, {3})
        self.assertEqual(fleet.breaches(), [])


class RollOut(unittest.TestCase):
    """Which server loads next."""

    def longest_behind(self, names: int) -> float:
        """The longest time in seconds for which any server lacked a version that was named."""
        registry = ServerRegistry(rollout_seconds=ROLL_OUT_WITHIN)
        registry.apply_list(
            [RegisteredServer(f"i{n}", "s", f"10.0.0.1:{n}", "z", 1, False, {MODEL: 1}) for n in range(SERVERS)]
        )
        named_at = {2 + n: n * NAMES_APART for n in range(names)}
        loads: dict[str, tuple[float, int]] = {}  # when the load of a server ends, and its version
        longest, step, now = 0.0, 0.05, 0.0
        while now < names * NAMES_APART:
            for id in [id for id, (ends_at, _) in loads.items() if ends_at <= now]:
                registry.load_succeeded(id, MODEL, loads.pop(id)[1], now)
            newest = max(version for version, at in named_at.items() if at <= now)
            while (order := registry.next_load({MODEL: newest}, now)) is not None:
                server, _, version = order
                registry.load_started(server, now)
                loads[server.id] = now + LOAD_TAKES, version
            for server in registry.servers.values():
                lacking = [at for version, at in named_at.items() if version > server.versions[MODEL] and at <= now]
                longest = max(longest, now - min(lacking, default=now))
            now += step
        return longest

    def test_no_server_starves_while_names_come(self) -> None:
        self.assertLessEqual(self.longest_behind(12), ROLL_OUT_WITHIN + LOAD_TAKES)


if __name__ == "__main__":
    unittest.main()
