"""Announced versions of each model's weights and the times of the announcements, used by routers and the primary.

No I/O and no clock: times are seconds of the steady clock of the process that keeps the announcements. The deadline of
each announcement counts from its own time; a later announcement neither extends nor replaces it.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from operator import attrgetter

import msgspec

MAX_ANNOUNCEMENTS_PER_MODEL = 64  # above this, the two oldest are merged into one that is at least as strict
MAX_ANNOUNCED_MODELS = 1024  # announcements of further models are ignored
MAX_ANNOUNCED_AGE_MS = 24 * 3600 * 1000  # larger ages are sent as this value

_version_of = attrgetter("version")
_announced_at_of = attrgetter("announced_at")


class VersionAnnouncement(msgspec.Struct, frozen=True):
    """A version of a model's weights, and when it was announced.

    ``is_dated`` is True if ``announced_at`` comes from a machine that knows the time, False if it is only a bound.
    """

    model: str
    version: int
    announced_at: float
    is_dated: bool = True


class VersionAnnouncements:
    """The announcements of each model, in ascending order of both version and time.

    An announcement supersedes those with a lower version and the same or a later time, which are dropped.
    """

    def __init__(self) -> None:
        self._by_model: dict[str, list[VersionAnnouncement]] = {}

    def record(self, announcement: VersionAnnouncement) -> bool:
        """Add an announcement. Returns whether that changed anything.

        If the version is already known, a dated announcement takes precedence over one that is not dated, then the
        earlier time over the later. The first announcement of a model beyond ``MAX_ANNOUNCED_MODELS`` is ignored.
        """
        model, version = announcement.model, announcement.version
        current = self._by_model.get(model, [])
        if not current and len(self._by_model) >= MAX_ANNOUNCED_MODELS:
            return False
        known = self.find(model, version)
        if known is not None and known.is_dated and not announcement.is_dated:
            return False
        if known is not None and announcement.is_dated and not known.is_dated:
            current = [other for other in current if other is not known]
        if any(other.version >= version and other.announced_at <= announcement.announced_at for other in current):
            return False
        newer = [other for other in current if other.version > version]
        older = [
            other for other in current if other.version < version and other.announced_at < announcement.announced_at
        ]
        self._by_model[model] = self._merge_oldest([*older, announcement, *newer])
        return True

    def record_all(self, announcements: Iterable[VersionAnnouncement]) -> bool:
        """Add announcements. Returns whether that changed anything.

        The newest are added first: replacing the bound of a newer announcement by its date may make room for older
        ones that the bound superseded.
        """
        changed = False
        for announcement in sorted(announcements, key=_version_of, reverse=True):
            changed |= self.record(announcement)
        return changed

    @staticmethod
    def _merge_oldest(announcements: list[VersionAnnouncement]) -> list[VersionAnnouncement]:
        """Merge the oldest until ``MAX_ANNOUNCEMENTS_PER_MODEL`` are left. A merged announcement has the higher version
        and the earlier time of the two, which is stricter than either."""
        while len(announcements) > MAX_ANNOUNCEMENTS_PER_MODEL:
            first, second = announcements[:2]
            is_dated = first.is_dated and second.is_dated
            announcements[:2] = [VersionAnnouncement(second.model, second.version, first.announced_at, is_dated)]
        return announcements

    def find(self, model: str, version: int) -> VersionAnnouncement | None:
        """The announcement of exactly this version, ``None`` if unknown."""
        known = self._by_model.get(model, [])
        return next((announcement for announcement in known if announcement.version == version), None)

    def discard_superseded_before(self, time: float) -> None:
        """Drop announcements that can't affect queries about ``time`` or later: a newer one was announced by then."""
        for model, known in self._by_model.items():
            superseded = bisect_right(known, time, key=_announced_at_of) - 1
            self._by_model[model] = known[max(0, superseded) :]

    def required_version(self, model: str, announced_by: float) -> int:
        """The newest version announced at or before the given time; 0 if there is none."""
        known = self._by_model.get(model, [])
        count = bisect_right(known, announced_by, key=_announced_at_of)
        return known[count - 1].version if count else 0

    def first_missing(self, model: str, version: int) -> VersionAnnouncement | None:
        """The oldest announcement of a version newer than ``version``; ``None`` if there is none."""
        known = self._by_model.get(model, [])
        index = bisect_left(known, version + 1, key=_version_of)
        return known[index] if index < len(known) else None

    def missing_since(self, model: str, version: int) -> float | None:
        """The time of the ``first_missing`` announcement; ``None`` if there is none."""
        announcement = self.first_missing(model, version)
        return None if announcement is None else announcement.announced_at

    def all(self) -> list[VersionAnnouncement]:
        """All announcements, in ascending order within each model."""
        return [announcement for known in self._by_model.values() for announcement in known]


def age_ms(seconds: float) -> int:
    """Convert an age in seconds to its encoding in records: whole milliseconds up to ``MAX_ANNOUNCED_AGE_MS``."""
    return min(MAX_ANNOUNCED_AGE_MS, int(1000 * max(0.0, seconds)))
