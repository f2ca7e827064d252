"""The primary's use of version announcements: choice of the next server to load, and the ages sent to routers."""

import unittest

from loguru import logger

from rowanshift.controlplane.poll_endpoint import version_announcements
from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.controlplane.server_registry import (
    ANNOUNCEMENT_RETENTION_SECONDS,
    FAILED_LOAD_PENALTY_SECONDS,
    ServerRegistry,
)
from rowanshift.wire.control_updates import (
    ModelVersionAnnouncement,
)
from rowanshift.wire.version_announcements import (
    MAX_ANNOUNCED_AGE_MS,
)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def server(id: str, version: int, **fields: float) -> RegisteredServer:
    return RegisteredServer(id, "s", "10.0.0.1:80", "z", 1, False, {"m": version}, **fields)


class RegistryAnnouncements(unittest.TestCase):
    def registry(self, *servers: RegisteredServer) -> ServerRegistry:
        registry = ServerRegistry(rollout_seconds=5.0)
        registry.apply_list([*servers])
        return registry

    def test_a_failed_load_postpones_a_server_without_starving_it(self) -> None:
        for delay, first in ((FAILED_LOAD_PENALTY_SECONDS - 0.5, "b"), (FAILED_LOAD_PENALTY_SECONDS + 0.5, "a")):
            registry = self.registry(server("a", 1), server("b", 2))
            registry.record_versions({}, 0.0)  # a former primary announced no version
            registry.record_versions({"m": 2}, 100.0)
            registry.record_versions({"m": 3}, 100.0 + delay)
            registry.load_failed("a", "m", 100.0)
            self.assertEqual(registry.next_load({"m": 3}, 110.0)[0].id, first)

    def test_outdated_servers_and_their_lag(self) -> None:
        registry = self.registry(server("a", 2), server("b", 1, loading=True), server("c", 3))
        registry.record_versions({"m": 2}, 100.0)
        registry.record_versions({"m": 3}, 104.0)
        outdated = [
            (behind.id, behind.version, behind.lag_seconds, behind.loading)
            for behind in registry.servers_behind({"m": 3}, 105.0)
        ]
        self.assertEqual(outdated, [("b", 1, 5.0, True), ("a", 2, 1.0, False)])

    def test_announcements_are_kept_for_a_time_after_newer_ones(self) -> None:
        registry = self.registry()
        for version, at in ((2, 0.0), (3, 1.0), (4, 2.0)):
            registry.record_versions({"m": version}, at)
        registry.record_versions({"m": 4}, 1.0 + ANNOUNCEMENT_RETENTION_SECONDS)
        self.assertEqual([announcement.version for announcement in registry.announcements.all()], [3, 4])

    def test_ages_sent_to_routers(self) -> None:
        registry = self.registry()
        registry.record_versions({"m": 2}, 10.0)  # announced to a former primary
        announcements = [version_announcements(registry, now)[0] for now in (12.5, 9.0, 1e9)]
        self.assertEqual(
            announcements,
            [ModelVersionAnnouncement("m", 2, age, is_dated=False) for age in (2500, 0, MAX_ANNOUNCED_AGE_MS)],
        )
        registry.record_versions({"m": 3}, 11.0)
        self.assertEqual(
            version_announcements(registry, 12.5)[1], ModelVersionAnnouncement("m", 3, 1500, is_dated=True)
        )


if __name__ == "__main__":
    unittest.main()
