"""Until when a router may use servers with older weights than the announced ones. No I/O.

Times are those of the router's monotonic clock, in seconds.
"""

from collections.abc import Iterable, Mapping

from loguru import logger

from rowanshift.process.node_settings import RuleBounds
from rowanshift.wire.control_updates import ModelVersionAnnouncement
from rowanshift.wire.version_announcements import VersionAnnouncement, VersionAnnouncements, age_ms

VERSION_LEAD_SECONDS = 2.0  # time before its deadline from which on only the announced version is used
OVERDUE_LEAD_SECONDS = 1.0  # time before its deadline from which on requests must not begin on older weights
MIN_OLD_WEIGHTS_SECONDS = 0.5  # time after an announcement for which older weights may be used with any bound
ANNOUNCEMENT_RETENTION_FACTOR = 2  # multiple of the bound for which a superseded announcement is kept
STARTUP_OLD_WEIGHTS_FRACTION = 0.5  # fraction of ``contactMs`` for which a starting router uses older weights


class VersionDeadlines:
    """The version announcements that a router knows, and the versions that requests require because of them."""

    def __init__(self, bounds: RuleBounds) -> None:
        self.bounds = bounds
        # With the time of announcement or an earlier one; the router's decisions are based on these.
        self.announcements = VersionAnnouncements()
        # With the time of announcement or a later one, if that is known; these are reported to future primaries.
        self.dated_announcements = VersionAnnouncements()

    @property
    def old_weights_seconds(self) -> float:
        """How long after an announcement servers with older weights may be used."""
        return max(MIN_OLD_WEIGHTS_SECONDS, self.bounds.version_ms / 1000 - VERSION_LEAD_SECONDS)

    def required_version(self, model: str, now: float) -> int:
        """The lowest version of the model's weights that a server must have: the newest one whose deadline is near."""
        return self.announcements.required_version(model, now - self.old_weights_seconds)

    def seconds_overdue(self, model: str, version: int, now: float) -> float | None:
        """Seconds since the first announcement of a version newer than ``version``, if a request that begins on these
        weights now is near the bound or over it; else ``None``."""
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
        """Record the update that answered a poll sent at ``asked_at``.

        ``versions`` has the newest version of each model. A version without an announcement counts as announced when
        the poll was sent. If no machine knows the time of announcement, each restart would begin the allowed time
        anew. So if there is a bound on the sum (``version_all_ms``), a starting router uses older weights only for a
        fraction of ``contactMs``. ``known_versions`` are not logged again.
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
        """Record the times of announcement to be reported to future primaries. They are computed from when the update
        was received, so that a time that is passed on repeatedly never moves to an earlier one."""
        self.dated_announcements.record_all(
            VersionAnnouncement(announcement.model, announcement.version, received_at - announcement.age_ms / 1000)
            for announcement in announcements
            if announcement.is_dated
        )
        self.dated_announcements.discard_superseded_before(self._retained_since(received_at))

    def dates_to_report(self, now: float) -> tuple[ModelVersionAnnouncement, ...]:
        """The announcements whose times this router knows, in the form that a poll carries."""
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
