"""What the primary knows of the servers, and which of them loads a new model version next. No I/O, no clock.

The newest version counts, of the list, of reports and of the answers to orders: an incarnation never goes back. Times
are in seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple

from rowanshift.controlplane.registered_server import FailedLoads, RegisteredServer
from rowanshift.wire.control_updates import ModelVersionAnnouncement, ServerRecord
from rowanshift.wire.version_announcements import VersionAnnouncement, VersionAnnouncements

MAX_LOADING_FRACTION = 0.4  # of a service's servers that may load at once, one at least
INITIAL_LOAD_SECONDS = 1.5  # that a load is reckoned to need, with all around it, until one has succeeded
LOAD_TIME_SMOOTHING = 0.3  # weight of a new load in the smoothed time of loads
FAILED_LOAD_RETRY_SECONDS = 0.6  # until a server whose load failed may be ordered again
FAILED_LOAD_PENALTY_SECONDS = 2.0  # by which each failed load puts a server back behind others
ANNOUNCEMENT_RETENTION_SECONDS = 60.0  # for which a version's announcement is kept after a newer one
DATE_TOLERANCE_SECONDS = 0.25  # by which a router's date of an announcement must lie before a known one to count
MAX_ANNOUNCEMENTS_PER_POLL = 256  # of one router that are looked at


class PendingLoad(NamedTuple):
    """A server that should be ordered now to load a version of a model."""

    server: RegisteredServer
    model: str
    version: int


@dataclass(slots=True, frozen=True)
class ServerBehind:
    """A server that lacks an announced version."""

    id: str
    model: str
    version: int  # that it has
    lag_seconds: float  # since the first announcement of a version that it lacks
    loading: bool


@dataclass(slots=True)
class ServerRegistry:
    """All servers of the platform's list, with the version that each has."""

    servers: dict[str, RegisteredServer] = field(default_factory=dict)  # by id
    serial: int = 0  # of its changes; 0: the list was not read yet
    rollout_seconds: float = 0.0  # in which all servers should have an announced version; 0: as soon as possible
    load_seconds: float = INITIAL_LOAD_SECONDS  # that a load takes, smoothed
    announcement_retention: float = ANNOUNCEMENT_RETENTION_SECONDS
    announcements: VersionAnnouncements = field(default_factory=VersionAnnouncements)
    announcements_serial: int = 1  # of the changes of the announcements
    inherited_versions: dict[str, int] | None = None  # of the first call, until the model's servers were looked at
    overdue_models: set[str] = field(default_factory=set)  # whose inherited version another primary began to roll out

    def apply_list(self, entries: list[RegisteredServer]) -> bool:
        """Replace the servers by a complete list; whether anything changed."""
        records_before = {id: server.record() for id, server in self.servers.items()}
        servers = {}
        for entry in entries:
            known = self.servers.get(entry.id)
            if known is not None:
                entry.loading, entry.load_started_at = known.loading, known.load_started_at
                entry.failed_loads = known.failed_loads
                for model, version in known.versions.items():
                    entry.versions[model] = max(version, entry.versions.get(model, 0))
            servers[entry.id] = entry
        self.servers = servers
        if self.serial and records_before == {id: server.record() for id, server in servers.items()}:
            return False
        self.serial += 1
        return True

    def records(self) -> tuple[ServerRecord, ...]:
        """All servers as routers receive them."""
        return tuple(server.record() for server in self.servers.values())

    # announcements of versions

    def record_versions(self, versions: dict[str, int], now: float) -> None:
        """Record the announced versions; those of the first call were announced to a former primary, if any."""
        is_dated = self.inherited_versions is not None
        if self.inherited_versions is None:
            self.inherited_versions = dict(versions)
        new = [
            (model, version) for model, version in versions.items() if self.announcements.find(model, version) is None
        ]
        self.announcements_serial += self.announcements.record_all(
            VersionAnnouncement(model, version, now, is_dated) for model, version in new
        )
        self.announcements.discard_superseded_before(now - self.announcement_retention)

    def apply_announcements(
        self, announcements: Sequence[ModelVersionAnnouncement], versions: dict[str, int], now: float
    ) -> bool:
        """Apply the dates of announcements that a router knows; whether anything changed.

        Routers outlive primaries, and the complete core: they date what a primary has inherited. ``versions`` are
        those in force; dates of others are ignored.
        """
        dated = [
            VersionAnnouncement(announcement.model, announcement.version, now - announcement.age_ms / 1000)
            for announcement in announcements[:MAX_ANNOUNCEMENTS_PER_POLL]
            if announcement.is_dated and announcement.version <= versions.get(announcement.model, 0)
        ]
        changed = self.announcements.record_all(
            announcement for announcement in dated if self._is_earlier(announcement)
        )
        self.announcements_serial += changed
        return changed

    def _is_earlier(self, announcement: VersionAnnouncement) -> bool:
        """Whether a date lies before the known one by more than a message takes."""
        known = self.announcements.find(announcement.model, announcement.version)
        if known is None or not known.is_dated:
            return True
        return announcement.announced_at < known.announced_at - DATE_TOLERANCE_SECONDS

    # which server loads next

    def next_load(self, versions: dict[str, int], now: float) -> PendingLoad | None:
        """The next load to be ordered; None if none should be now.

        It is that of the server whose time to have a newer version ends first, whatever was announced since.
        """
        self.record_versions(versions, now)
        pending = [
            PendingLoad(server, model, version)
            for model, version in versions.items()
            for service_servers in self._servers_by_service(model)
            if (server := self._most_urgent(model, version, service_servers, now)) is not None
        ]
        return min(pending, key=lambda load: (self._due_at(load.model, load.server), load.server.id), default=None)

    def _servers_by_service(self, model: str) -> Iterator[list[RegisteredServer]]:
        """The servers that run a model and don't drain, service by service."""
        running = [server for server in self.servers.values() if model in server.versions and not server.draining]
        for service in dict.fromkeys(server.service for server in running):
            service_servers = [server for server in running if server.service == service]
            self._mark_overdue(model, service_servers)
            yield service_servers

    def _most_urgent(
        self, model: str, version: int, service_servers: list[RegisteredServer], now: float
    ) -> RegisteredServer | None:
        """The server of a service that should be ordered now; None if none should be."""
        lacking = [server for server in service_servers if server.versions[model] < version]
        ready = [server for server in lacking if not server.loading and server.failed_loads_of(model).not_before <= now]
        if not ready:
            return None
        due_times = [self._due_at(model, server) for server in lacking]
        loading = sum(server.loading for server in service_servers)
        if loading >= self.concurrent_loads(due_times, len(service_servers), now):
            return None
        return min(ready, key=lambda server: (self._due_at(model, server), server.id))

    def _mark_overdue(self, model: str, service_servers: list[RegisteredServer]) -> None:
        """A rollout that another primary began may be late already: it goes on as fast as possible, unless the date of
        its announcement is known."""
        version = (self.inherited_versions or {}).pop(model, None)
        if version is not None and any(server.versions[model] >= version for server in service_servers):
            self.overdue_models.add(model)

    def _due_at(self, model: str, server: RegisteredServer) -> float:
        """When a server should have a newer version: ``rollout_seconds`` after the first announcement of one that it
        lacks; later where loads failed, so that one which fails for good doesn't keep the others waiting."""
        announcement = self.announcements.first_missing(model, server.versions[model])
        if announcement is None:
            return float("inf")
        is_overdue = model in self.overdue_models and not announcement.is_dated
        rollout_seconds = 0.0 if is_overdue else self.rollout_seconds
        penalty = FAILED_LOAD_PENALTY_SECONDS * server.failed_loads_of(model).failures
        return announcement.announced_at + rollout_seconds + penalty

    def concurrent_loads(self, due_times: list[float], server_count: int, now: float) -> int:
        """How many of a service's servers may load at once: as few as bring each of those that lack a version, or load
        it now, to it when it is due, since each of them leaves its requests, and its cache, to the others."""
        most = max(1, int(MAX_LOADING_FRACTION * server_count))
        needed = (
            ceil(count * self.load_seconds / max(due_at - now, self.load_seconds))
            for count, due_at in enumerate(sorted(due_times), 1)
        )
        return min(most, max(needed))

    def servers_behind(self, versions: dict[str, int], now: float) -> list[ServerBehind]:
        """The servers that lack an announced version, those first that have lacked one longest."""
        behind = []
        for model, version in versions.items():
            for server in self.servers.values():
                if not server.draining and server.versions.get(model, version) < version:
                    since = self.announcements.missing_since(model, server.versions[model])
                    lag_seconds = 0.0 if since is None else now - since
                    behind.append(ServerBehind(server.id, model, server.versions[model], lag_seconds, server.loading))
        return sorted(behind, key=lambda server: -server.lag_seconds)

    # the course of a load

    def load_started(self, server: RegisteredServer, now: float) -> None:
        """A server will be ordered to load: routers send it no requests meanwhile."""
        server.loading, server.load_started_at = True, now
        self.serial += 1

    def load_succeeded(self, server_id: str, model: str, version: int, now: float) -> None:
        """The server has the version now."""
        if (server := self.servers.get(server_id)) is not None:
            if server.loading:
                self.load_seconds += LOAD_TIME_SMOOTHING * (now - server.load_started_at - self.load_seconds)
            server.versions[model] = max(version, server.versions.get(model, 0))
            server.loading = False
            server.failed_loads.pop(model, None)
            self.serial += 1

    def load_failed(self, server_id: str, model: str, now: float) -> None:
        """A load failed: the server may be ordered again for that model later."""
        if (server := self.servers.get(server_id)) is not None:
            server.loading = False
            failures = server.failed_loads_of(model).failures + 1
            server.failed_loads[model] = FailedLoads(failures, now + FAILED_LOAD_RETRY_SECONDS)
            self.serial += 1
