"""The announced versions of each model's weights with their times, by which routers and the primary decide.

No I/O and no clock: times are in seconds of the steady clock of the process that keeps the announcements. Each
announcement has a deadline of its own, counted from its own time: a later one neither extends nor replaces it.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from operator import attrgetter

import msgspec

MAX_ANNOUNCEMENTS_PER_MODEL = 64  # beyond these the two oldest are merged to one that is as strict as both
MAX_ANNOUNCED_MODELS = 1024  # of further models no announcements are kept
MAX_ANNOUNCED_AGE_MS = 24 * 3600 * 1000  # sent as the age of announcements that are older

_version_of = attrgetter("version")
_announced_at_of = attrgetter("announced_at")


class VersionAnnouncement(msgspec.Struct, frozen=True):
    """A version of a model's weights, and when it was announced.

    ``is_dated``: ``announced_at`` comes from a machine that knows the time; else it is a bound that stands in for it.
    """

    model: str
    version: int
    announced_at: float
    is_dated: bool = True


class VersionAnnouncements:
    """The announcements of each model, ordered so that both version and time rise.

    One with a higher version and no later time supersedes those with a lower version, which are dropped.
    """

    def __init__(self) -> None:
        self._by_model: dict[str, list[VersionAnnouncement]] = {}

    def record(self, announcement: VersionAnnouncement) -> bool:
        """Adds an announcement; whether that changed anything.

        Where its version is known already, the earlier time counts, but a dated one before one that is not. It is
        ignored if it is the first of a model beyond ``MAX_ANNOUNCED_MODELS``.
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
        """Adds announcements; whether that changed anything.

        The newest come first: the date of one may keep older ones that its former bound superseded.
        """
        changed = False
        for announcement in sorted(announcements, key=_version_of, reverse=True):
            changed |= self.record(announcement)
        return changed

    @staticmethod
    def _merge_oldest(announcements: list[VersionAnnouncement]) -> list[VersionAnnouncement]:
        """At most ``MAX_ANNOUNCEMENTS_PER_MODEL``: the newer of the two oldest is taken to be announced with the older,
        which is stricter than either."""
        while len(announcements) > MAX_ANNOUNCEMENTS_PER_MODEL:
            first, second = announcements[:2]
            is_dated = first.is_dated and second.is_dated
            announcements[:2] = [VersionAnnouncement(second.model, second.version, first.announced_at, is_dated)]
        return announcements

    def find(self, model: str, version: int) -> VersionAnnouncement | None:
        """The announcement of this very version, ``None`` if it is not known."""
        known = self._by_model.get(model, [])
        return next((announcement for announcement in known if announcement.version == version), None)

    def discard_superseded_before(self, time: float) -> None:
        """Drops those that a newer one, announced at that time or before, supersedes for all questions about later."""
        for model, known in self._by_model.items():
            superseded = bisect_right(known, time, key=_announced_at_of) - 1
            self._by_model[model] = known[max(0, superseded) :]

    def required_version(self, model: str, announced_by: float) -> int:
        """The newest version that was announced at that time or before; 0 if none was."""
        known = self._by_model.get(model, [])
        count = bisect_right(known, announced_by, key=_announced_at_of)
        return known[count - 1].version if count else 0

    def first_missing(self, model: str, version: int) -> VersionAnnouncement | None:
        """The oldest announcement of a newer version than a server has; ``None`` if there is none."""
        known = self._by_model.get(model, [])
        index = bisect_left(known, version + 1, key=_version_of)
        return known[index] if index < len(known) else None

    def missing_since(self, model: str, version: int) -> float | None:
        """When that one was announced; ``None`` if there is none."""
        announcement = self.first_missing(model, version)
        return None if announcement is None else announcement.announced_at

    def all(self) -> list[VersionAnnouncement]:
        """All announcements, those of a model from the oldest on."""
        return [announcement for known in self._by_model.values() for announcement in known]


def age_ms(seconds: float) -> int:
    """An age as records carry it: whole milliseconds, from 0 to ``MAX_ANNOUNCED_AGE_MS``."""
    return min(MAX_ANNOUNCED_AGE_MS, int(1000 * max(0.0, seconds)))
