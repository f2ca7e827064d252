"""Announced versions of models and their times."""

import random
import unittest

from rowanshift.wire.version_announcements import (
    MAX_ANNOUNCED_MODELS,
    MAX_ANNOUNCEMENTS_PER_MODEL,
    VersionAnnouncement,
    VersionAnnouncements,
)


def announcements_of(*announced: tuple[int, float]) -> VersionAnnouncements:
    announcements = VersionAnnouncements()
    for version, announced_at in announced:
        announcements.record(VersionAnnouncement("m", version, announced_at))
    return announcements


class Announcements(unittest.TestCase):
    def test_each_announcement_has_its_own_time(self) -> None:
        announcements = announcements_of((2, 10.0), (3, 12.0), (5, 20.0))
        self.assertEqual(
            [announcements.required_version("m", time) for time in (9.9, 10.0, 12.0, 19.9, 20.0)], [0, 2, 3, 3, 5]
        )
        self.assertEqual(
            [announcements.missing_since("m", version) for version in range(1, 6)], [10.0, 12.0, 20.0, 20.0, None]
        )
        self.assertEqual((announcements.required_version("n", 99.0), announcements.missing_since("n", 0)), (0, None))

    def test_the_earlier_time_of_a_version_is_used(self) -> None:
        for order in ((10.0, 11.0), (11.0, 10.0)):
            announcements = announcements_of(*((2, time) for time in order))
            self.assertEqual(announcements.missing_since("m", 1), 10.0)

    def test_a_newer_version_with_an_earlier_time_supersedes_an_older_version(self) -> None:
        for order in (((2, 10.0), (3, 9.0)), ((3, 9.0), (2, 10.0))):
            self.assertEqual([announcement.version for announcement in announcements_of(*order).all()], [3])

    def test_queries_agree_with_a_plain_list_for_any_order_of_announcements(self) -> None:
        random_source = random.Random(1)
        for _ in range(200):
            announced = [
                (random_source.randrange(1, 12), float(random_source.randrange(20)))
                for _ in range(random_source.randrange(1, 12))
            ]
            announcements = announcements_of(*announced)
            for time in range(-1, 21):
                newest = max((version for version, announced_at in announced if announced_at <= time), default=0)
                self.assertEqual(announcements.required_version("m", time), newest, (announced, time))
            for version in range(12):
                since = min((announced_at for other, announced_at in announced if other > version), default=None)
                self.assertEqual(announcements.missing_since("m", version), since, (announced, version))

    def test_merging_the_oldest_announcements_is_no_less_strict(self) -> None:
        announced = [(version, float(version)) for version in range(1, MAX_ANNOUNCEMENTS_PER_MODEL + 2)]
        announcements = announcements_of(*announced)
        self.assertEqual(len(announcements.all()), MAX_ANNOUNCEMENTS_PER_MODEL)
        self.assertEqual(announcements.required_version("m", 1.0), 2)  # version 1 was required from that time on
        self.assertEqual(announcements.missing_since("m", 0), 1.0)
        self.assertEqual(announcements.required_version("m", 3.0), 3)

    def test_models_beyond_the_limit_are_ignored(self) -> None:
        announcements = VersionAnnouncements()
        for number in range(MAX_ANNOUNCED_MODELS + 1):
            announcements.record(VersionAnnouncement(f"m{number}", 1, 0.0))
        self.assertEqual(
            (len(announcements.all()), announcements.required_version(f"m{MAX_ANNOUNCED_MODELS}", 1.0)),
            (MAX_ANNOUNCED_MODELS, 0),
        )
        announcements.record(VersionAnnouncement("m0", 2, 1.0))
        self.assertEqual(announcements.required_version("m0", 1.0), 2)

    def test_discarded_announcements_do_not_affect_later_queries(self) -> None:
        announcements = announcements_of((2, 10.0), (3, 12.0), (5, 20.0))
        announcements.discard_superseded_before(12.5)
        self.assertEqual([announcement.version for announcement in announcements.all()], [3, 5])
        self.assertEqual([announcements.required_version("m", time) for time in (12.5, 20.0)], [3, 5])


if __name__ == "__main__":
    unittest.main()
