"""Until when a router uses servers with older weights than the announced ones."""

import unittest
from collections.abc import Sequence
from unittest import mock

import trio
from loguru import logger

from rowanshift.dataplane.version_deadlines import VERSION_LEAD_SECONDS, VersionDeadlines
from rowanshift.process.node_settings import RuleBounds
from rowanshift.simulation.fleet import ONCE, Fleet, play
from rowanshift.wire.control_updates import ModelVersionAnnouncement
from rowanshift.wire.version_announcements import VersionAnnouncement


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class AnnouncedVersions(unittest.TestCase):
    """From when on only servers with the announced version are used, also after a restart."""

    def deadlines(self, **bounds: float) -> VersionDeadlines:
        return VersionDeadlines(RuleBounds(version_ms=15_000, contact_ms=4000, **bounds))

    def record(
        self,
        deadlines: VersionDeadlines,
        versions: dict[str, int],
        asked_at: float,
        announcements: Sequence[ModelVersionAnnouncement] = (),
        is_starting: bool = True,
    ) -> None:
        deadlines.record_announcements(versions, announcements, asked_at, known_versions={}, is_starting=is_starting)

    def test_a_version_is_required_shortly_before_the_bound(self) -> None:
        deadlines = self.deadlines()
        self.record(deadlines, {"m": 2}, 100.0, is_starting=False)
        self.assertEqual([deadlines.required_version("m", at) for at in (112.9, 113.1)], [0, 2])

    def test_a_version_without_time_known_at_the_start_is_required_soon(self) -> None:
        """Otherwise each restart would begin the 15 s anew, which add up to more than ``versionAllMs``."""
        deadlines = self.deadlines(version_all_ms=22_000)
        self.record(deadlines, {"m": 2}, 100.0)
        self.assertEqual([deadlines.required_version("m", at) for at in (101.9, 102.1)], [0, 2])
        self.record(deadlines, {"m": 3}, 200.0, is_starting=False)
        self.assertEqual([deadlines.required_version("m", at) for at in (212.9, 213.1)], [2, 3])

    def test_a_version_with_its_age_known_at_the_start(self) -> None:
        """Without ``versionAllMs``, a restart neither shortens nor extends the time: the age that was sent counts."""
        deadlines = self.deadlines()
        announcements = [ModelVersionAnnouncement("m", 2, 9000), ModelVersionAnnouncement("m", 3, 4000)]
        self.record(deadlines, {"m": 3}, 100.0, announcements)
        at = (103.9, 104.1, 108.9, 109.1)
        self.assertEqual([deadlines.required_version("m", time) for time in at], [0, 2, 2, 3])

    def test_a_bound_shorter_than_the_time_to_contact(self) -> None:
        deadlines = VersionDeadlines(RuleBounds(version_ms=3000, contact_ms=4000))
        self.record(deadlines, {"m": 2}, 100.0)
        self.assertEqual([deadlines.required_version("m", at) for at in (100.9, 101.1)], [0, 2])

    def test_a_version_is_overdue_shortly_before_the_bound(self) -> None:
        deadlines = self.deadlines()
        self.record(deadlines, {"m": 2}, 100.0)
        self.assertEqual([deadlines.seconds_overdue("m", 1, at) for at in (113.9, 114.5)], [None, 14.5])
        self.assertIsNone(deadlines.seconds_overdue("m", 2, 200.0))

    def breaches_with_restarts(self, seed: str) -> list:
        """The breaches if all but one server never finish loading, and the router is restarted repeatedly."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            fleet.client("one", ONCE, "key-1", pause=0.1)
            for server in fleet.servers:
                server.traits.load = 1000.0
            fleet.servers[0].traits.load = 0.1
            await fleet.name_version(2)
            for _ in range(5):
                await trio.sleep(5.0)
                for unit in fleet.routers:
                    fleet.kill(unit)
                    fleet.back(unit)

        return play(main, seed, routers=1)[1].breaches()

    def test_restarts_do_not_extend_the_use_of_older_weights(self) -> None:
        self.assertEqual(self.breaches_with_restarts("adds up"), [])

    def test_restarts_that_extend_the_use_of_older_weights_are_detected(self) -> None:
        def record_without_age(
            deadlines: VersionDeadlines, versions: dict[str, int], names: tuple, asked_at: float, **_: object
        ) -> None:
            for model, version in versions.items():
                deadlines.announcements.record(VersionAnnouncement(model, version, asked_at + VERSION_LEAD_SECONDS))

        with mock.patch.object(VersionDeadlines, "record_announcements", record_without_age):
            self.assertIn("VERSION", {violation.rule for violation in self.breaches_with_restarts("adds up")})


if __name__ == "__main__":
    unittest.main()
