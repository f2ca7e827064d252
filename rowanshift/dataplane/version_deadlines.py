"""Until when a router may use servers with older weights than those announced. No I/O.

Times are those of the router's steady clock, in seconds.
"""

from collections.abc import Iterable, Mapping

from loguru import logger

from rowanshift.process.node_settings import RuleBounds
from rowanshift.wire.control_updates import ModelVersionAnnouncement
from rowanshift.wire.version_announcements import VersionAnnouncement, VersionAnnouncements, age_ms

VERSION_LEAD_SECONDS = 2.0  # before its deadline, from when only an announced version is used
OVERDUE_LEAD_SECONDS = 1.0  # before its deadline, from when requests must not begin on older weights
MIN_OLD_WEIGHTS_SECONDS = 0.5  # after an announcement in which older weights may be used, however short the bound
ANNOUNCEMENT_RETENTION_FACTOR = 2  # times the bound, for which an announcement is known after a newer one
STARTUP_OLD_WEIGHTS_FRACTION = 0.5  # of ``contactMs``, in which a router that starts uses older weights


class VersionDeadlines:
    """The announcements that a router has heard of, and what follows for requests."""

    def __init__(self, bounds: RuleBounds) -> None:
        self.bounds = bounds
        # each with its time or one before it: by these the router decides
        self.announcements = VersionAnnouncements()
        # each with its time or one after it, where that is known: these are reported to primaries to come
        self.dated_announcements = VersionAnnouncements()

    @property
    def old_weights_seconds(self) -> float:
        """For how long after an announcement servers with older weights may be used."""
        return max(MIN_OLD_WEIGHTS_SECONDS, self.bounds.version_ms / 1000 - VERSION_LEAD_SECONDS)

    def required_version(self, model: str, now: float) -> int:
        """The least version of its weights that a server must have: the newest whose deadline has come near."""
        return self.announcements.required_version(model, now - self.old_weights_seconds)

    def seconds_overdue(self, model: str, version: int, now: float) -> float | None:
        """Seconds since the first announcement that weights of ``version`` lack, if so many that a request which begins
        on them now is near the bound or over it; else ``None``."""
        since = self.announcements.missing_since(model, version)
        if since is None or now - since < self.bounds.version_ms / 1000 - OVERDUE_LEAD_SECONDS:
            return None
        return now - since

    def record_announcements(
        self,
        versions: Mapping[str, int],
        announcements: Iterable[ModelVersionAnnouncement],
        asked_at: float,
        *,
        known_versions: Mapping[str, int],
        is_starting: bool,
    ) -> None:
        """Records an update to a poll that was sent at ``asked_at``.

        ``versions`` is the newest version of each model. One that has no announcement counts as announced when the poll
        was sent. Where no machine knows the time, and such times add up, a router that starts uses older weights only
        for a part of the time in which it is not yet in touch. ``known_versions`` are not logged again.
        """
        received = {(announcement.model, announcement.version): announcement for announcement in announcements}
        undated = [
            ModelVersionAnnouncement(model, version, 0, is_dated=False)
            for model, version in versions.items()
            if (model, version) not in received
        ]
        latest = asked_at
        if self.bounds.version_all_ms and is_starting:
            latest += STARTUP_OLD_WEIGHTS_FRACTION * self.bounds.contact_ms / 1000 - self.old_weights_seconds
        to_record = []
        for announcement in [*received.values(), *undated]:
            announced_at = asked_at - announcement.age_ms / 1000
            if not announcement.is_dated:
                announced_at = min(announced_at, latest)
            to_record.append(
                VersionAnnouncement(announcement.model, announcement.version, announced_at, announcement.is_dated)
            )
            if announcement.version > known_versions.get(announcement.model, 0):
                _log_announcement(announcement)
        self.announcements.record_all(to_record)
        self.announcements.discard_superseded_before(self._retained_since(asked_at))

    def record_dates(self, announcements: Iterable[ModelVersionAnnouncement], received_at: float) -> None:
        """Records the dates to be reported to primaries to come, counted from when the update was received: a date that
        is passed on again and again doesn't move to earlier times by that."""
        self.dated_announcements.record_all(
            VersionAnnouncement(announcement.model, announcement.version, received_at - announcement.age_ms / 1000)
            for announcement in announcements
            if announcement.is_dated
        )
        self.dated_announcements.discard_superseded_before(self._retained_since(received_at))

    def dates_to_report(self, now: float) -> tuple[ModelVersionAnnouncement, ...]:
        """The announcements whose dates this router knows, as a poll carries them."""
        return tuple(
            ModelVersionAnnouncement(announcement.model, announcement.version, age_ms(now - announcement.announced_at))
            for announcement in self.dated_announcements.all()
        )

    def _retained_since(self, now: float) -> float:
        return now - ANNOUNCEMENT_RETENTION_FACTOR * self.bounds.version_ms / 1000


def _log_announcement(announcement: ModelVersionAnnouncement) -> None:
    logger.info(
        "event=version_announced model={} version={} age_s={:.3f}",
        announcement.model,
        announcement.version,
        announcement.age_ms / 1000,
    )
