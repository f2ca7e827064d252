"""The named versions of each model's weights, and when each was named: what both roles decide by. No I/O, no clock.

Every name has a deadline of its own, counted from its own time: a later name neither extends nor replaces it. Times
are in seconds of the steady clock of the process that keeps the names.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

MAX_ANNOUNCEMENTS_PER_MODEL = 64  # that are kept of one model; then the two oldest become one, as strict as both
MAX_ANNOUNCED_AGE_MS = 24 * 3600 * 1000  # that is told of a name; older ones are told as this old
MAX_ANNOUNCED_MODELS = 1024  # with names; of further ones only the newest version is known, without a time


@dataclass(frozen=True, slots=True)
class VersionAnnouncement:
    """A version of a model's weights, and when it was named.

    ``is_dated``: by whoever knows when that was; else ``announced_at`` is a bound that stands in for it until then.
    """

    version: int
    announced_at: float
    is_dated: bool = True


class VersionAnnouncements:
    """For each model its names, both version and time rising.

    A name with a higher version and no later time makes a lower one pointless, so that only rising ones are kept.
    """

    def __init__(self) -> None:
        self._names: dict[str, list[VersionAnnouncement]] = {}

    def record(self, model: str, version: int, announced_at: float, is_dated: bool = True) -> bool:
        """Take a name in; whether that changed anything.

        Of one that is known already the earlier time counts, but a dated one before one that is not.
        """
        names = self._names.get(model, [])
        if not names and len(self._names) >= MAX_ANNOUNCED_MODELS:
            return False
        known = self.find(model, version)
        if known is not None and known.is_dated and not is_dated:
            return False
        if known is not None and is_dated and not known.is_dated:
            names = [name for name in names if name is not known]
        if any(name.version >= version and name.announced_at <= announced_at for name in names):
            return False
        later = [name for name in names if name.version > version]
        earlier = [name for name in names if name.version < version and name.announced_at < announced_at]
        self._names[model] = self._limited([*earlier, VersionAnnouncement(version, announced_at, is_dated), *later])
        return True

    def record_all(self, told: Iterable[tuple[str, VersionAnnouncement]]) -> bool:
        """Take names in, the newest first: a date for one may keep older ones that its bound made pointless. Whether
        that changed anything."""
        changed = False
        for model, name in sorted(told, key=lambda pair: -pair[1].version):
            changed |= self.record(model, name.version, name.announced_at, name.is_dated)
        return changed

    @staticmethod
    def _limited(names: list[VersionAnnouncement]) -> list[VersionAnnouncement]:
        """At most ``MAX_ANNOUNCEMENTS_PER_MODEL``: whoever lacks the two oldest is held to the newer of them from the
        older's time."""
        while len(names) > MAX_ANNOUNCEMENTS_PER_MODEL:
            first, second = names[:2]
            names[:2] = [VersionAnnouncement(second.version, first.announced_at, first.is_dated and second.is_dated)]
        return names

    def find(self, model: str, version: int) -> VersionAnnouncement | None:
        """The name of this very version, ``None`` if it is not known."""
        return next((name for name in self._names.get(model, []) if name.version == version), None)

    def discard_superseded_before(self, time: float) -> None:
        """Drop names that a newer one, named at that time or before, makes pointless to whoever asks for later."""
        for model, names in self._names.items():
            self._names[model] = names[max(0, bisect_right(names, time, key=lambda name: name.announced_at) - 1) :]

    def required_version(self, model: str, named_by: float) -> int:
        """The newest version that was named at that time or before; 0 if none was."""
        names = self._names.get(model, [])
        known = bisect_right(names, named_by, key=lambda name: name.announced_at)
        return names[known - 1].version if known else 0

    def first_missing(self, model: str, version: int) -> VersionAnnouncement | None:
        """The oldest known name newer than ``version``; ``None`` if there is none."""
        names = self._names.get(model, [])
        first = bisect_left(names, version + 1, key=lambda name: name.version)
        return names[first] if first < len(names) else None

    def missing_since(self, model: str, version: int) -> float | None:
        """When that name was named; ``None`` if there is none."""
        name = self.first_missing(model, version)
        return None if name is None else name.announced_at

    def all(self) -> list[tuple[str, VersionAnnouncement]]:
        """Each name with its model, those of a model from the oldest on."""
        return [(model, name) for model, names in self._names.items() for name in names]


def age_ms(age: float) -> int:
    """An age of so many seconds as it is told, in whole milliseconds."""
    return min(MAX_ANNOUNCED_AGE_MS, int(1000 * max(0.0, age)))
