"""What the primary makes of the announcements: which server loads next, and what routers get."""

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


def server(id: str, version: int, **more: float) -> RegisteredServer:
    return RegisteredServer(id, "s", "10.0.0.1:80", "z", 1, False, {"m": version}, **more)


class RegistryAnnouncements(unittest.TestCase):
    def registry(self, *servers: RegisteredServer) -> ServerRegistry:
        made = ServerRegistry(rollout_seconds=5.0)
        made.apply_list([*servers])
        return made

    def test_a_failure_puts_a_server_back_and_does_not_starve_it(self) -> None:
        for apart, first in ((FAILED_LOAD_PENALTY_SECONDS - 0.5, "b"), (FAILED_LOAD_PENALTY_SECONDS + 0.5, "a")):
            made = self.registry(server("a", 1), server("b", 2))
            made.record_versions({}, 0.0)  # no former primary has left a name
            made.record_versions({"m": 2}, 100.0)
            made.record_versions({"m": 3}, 100.0 + apart)
            made.load_failed("a", "m", 100.0)
            self.assertEqual(made.next_load({"m": 3}, 110.0)[0].id, first)

    def test_servers_behind_and_for_how_long(self) -> None:
        made = self.registry(server("a", 2), server("b", 1, loading=True), server("c", 3))
        made.record_versions({"m": 2}, 100.0)
        made.record_versions({"m": 3}, 104.0)
        found = [(row.id, row.version, row.lag_seconds, row.loading) for row in made.servers_behind({"m": 3}, 105.0)]
        self.assertEqual(found, [("b", 1, 5.0, True), ("a", 2, 1.0, False)])

    def test_names_are_kept_for_a_while_after_newer_ones(self) -> None:
        made = self.registry()
        for version, at in ((2, 0.0), (3, 1.0), (4, 2.0)):
            made.record_versions({"m": version}, at)
        made.record_versions({"m": 4}, 1.0 + ANNOUNCEMENT_RETENTION_SECONDS)
        self.assertEqual([name.version for name in made.announcements.all()], [3, 4])

    def test_ages_as_routers_are_told_them(self) -> None:
        registry = self.registry()
        registry.record_versions({"m": 2}, 10.0)  # a former primary named it
        told = [version_announcements(registry, now)[0] for now in (12.5, 9.0, 1e9)]
        self.assertEqual(
            told, [ModelVersionAnnouncement("m", 2, age, is_dated=False) for age in (2500, 0, MAX_ANNOUNCED_AGE_MS)]
        )
        registry.record_versions({"m": 3}, 11.0)
        self.assertEqual(
            version_announcements(registry, 12.5)[1], ModelVersionAnnouncement("m", 3, 1500, is_dated=True)
        )


if __name__ == "__main__":
    unittest.main()
