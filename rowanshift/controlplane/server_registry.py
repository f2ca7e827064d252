"""The primary's registry of servers, and the choice of the server to load a new model version next. No I/O, no clock.

The version of a model on a server is the newest one from the endpoint list, the server's reports and its responses to
orders; it never decreases for an incarnation. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple

from rowanshift.controlplane.registered_server import FailedLoads, RegisteredServer
from rowanshift.wire.control_updates import ModelVersionAnnouncement, ServerRecord
from rowanshift.wire.version_announcements import VersionAnnouncement, VersionAnnouncements

MAX_LOADING_FRACTION = 0.4  # fraction of a service's servers that may load at once; at least one may
INITIAL_LOAD_SECONDS = 1.5  # estimated duration of a load, with its overhead, until one has succeeded
LOAD_TIME_SMOOTHING = 0.3  # weight of a new load in the moving average of load durations
FAILED_LOAD_RETRY_SECONDS = 0.6  # delay after a failed load until the server may be ordered again
FAILED_LOAD_PENALTY_SECONDS = 2.0  # each failed load postpones the due time of a server by this time
ANNOUNCEMENT_RETENTION_SECONDS = 60.0  # time for which an announcement is kept after a newer one
DATE_TOLERANCE_SECONDS = 0.25  # a router's announcement time must be earlier than the known one by more than this
MAX_ANNOUNCEMENTS_PER_POLL = 256  # further announcements in a poll are ignored


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
    version: int  # the version that it has
    lag_seconds: float  # time since the first announcement of a version that it lacks
    loading: bool


@dataclass(slots=True)
class ServerRegistry:
    """All servers in the platform's endpoint list, with their model versions."""

    servers: dict[str, RegisteredServer] = field(default_factory=dict)  # by id
    serial: int = 0  # incremented with each change; 0: the list has not been read yet
    rollout_seconds: float = 0.0  # time in which an announced version should be on all servers; 0: as soon as possible
    load_seconds: float = INITIAL_LOAD_SECONDS  # moving average of the duration of a load
    announcement_retention: float = ANNOUNCEMENT_RETENTION_SECONDS
    announcements: VersionAnnouncements = field(default_factory=VersionAnnouncements)
    announcements_serial: int = 1  # incremented with each change of the announcements
    # versions of the first call of record_versions, by model; removed once the model's servers have been examined
    inherited_versions: dict[str, int] | None = None
    # models whose inherited version a former primary had begun to roll out
    overdue_models: set[str] = field(default_factory=set)

    def apply_list(self, entries: list[RegisteredServer]) -> bool:
        """Replace the servers by a complete list; return whether anything changed."""
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
        """Return the records of all servers that are sent to routers."""
        return tuple(server.record() for server in self.servers.values())

    # version announcements

    def record_versions(self, versions: dict[str, int], now: float) -> None:
        """Record the announced versions; those of the first call were announced to a former primary, if at all."""
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
        """Apply the announcement times that a router knows; return whether anything changed.

        Routers keep these times across changes of the primary and restarts of all core machines, so they can date the
        versions that a primary has inherited. Only versions up to those in ``versions``, the current ones, are
        accepted.
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
        """Return whether an announcement time is earlier than the known one by more than the message delay."""
        known = self.announcements.find(announcement.model, announcement.version)
        if known is None or not known.is_dated:
            return True
        return announcement.announced_at < known.announced_at - DATE_TOLERANCE_SECONDS

    # choice of the next server to load

    def next_load(self, versions: dict[str, int], now: float) -> PendingLoad | None:
        """Return the load that should be ordered now, or None.

        The server with the earliest due time comes first, regardless of versions that were announced later.
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
        """Yield the servers of each service that run a model and are not draining."""
        running = [server for server in self.servers.values() if model in server.versions and not server.draining]
        for service in dict.fromkeys(server.service for server in running):
            service_servers = [server for server in running if server.service == service]
            self._mark_overdue(model, service_servers)
            yield service_servers

    def _most_urgent(
        self, model: str, version: int, service_servers: list[RegisteredServer], now: float
    ) -> RegisteredServer | None:
        """Return the server of a service that should be ordered to load now, or None."""
        outdated = [server for server in service_servers if server.versions[model] < version]
        ready = [
            server for server in outdated if not server.loading and server.failed_loads_of(model).not_before <= now
        ]
        if not ready:
            return None
        due_times = [self._due_at(model, server) for server in outdated]
        loading = sum(server.loading for server in service_servers)
        if loading >= self.concurrent_loads(due_times, len(service_servers), now):
            return None
        return min(ready, key=lambda server: (self._due_at(model, server), server.id))

    def _mark_overdue(self, model: str, service_servers: list[RegisteredServer]) -> None:
        """Mark a model as overdue if a former primary had begun to roll out its inherited version.

        Such a rollout may already be late, so it continues as fast as possible unless its announcement time is known.
        """
        version = (self.inherited_versions or {}).pop(model, None)
        if version is not None and any(server.versions[model] >= version for server in service_servers):
            self.overdue_models.add(model)

    def _due_at(self, model: str, server: RegisteredServer) -> float:
        """Return the time by which a server should have a newer version.

        It is ``rollout_seconds`` after the first announcement of a version that the server lacks. Failed loads postpone
        it, so that a server that fails permanently does not delay the others.
        """
        announcement = self.announcements.first_missing(model, server.versions[model])
        if announcement is None:
            return float("inf")
        is_overdue = model in self.overdue_models and not announcement.is_dated
        rollout_seconds = 0.0 if is_overdue else self.rollout_seconds
        penalty = FAILED_LOAD_PENALTY_SECONDS * server.failed_loads_of(model).failures
        return announcement.announced_at + rollout_seconds + penalty

    def concurrent_loads(self, due_times: list[float], server_count: int, now: float) -> int:
        """Return how many of a service's servers may load at once.

        This is the smallest number that completes all missing and running loads by their due times, because the
        other servers must take over the requests of each loading server without its cache.
        """
        most = max(1, int(MAX_LOADING_FRACTION * server_count))
        needed = (
            ceil(count * self.load_seconds / max(due_time - now, self.load_seconds))
            for count, due_time in enumerate(sorted(due_times), 1)
        )
        return min(most, max(needed))

    def servers_behind(self, versions: dict[str, int], now: float) -> list[ServerBehind]:
        """Return the servers that lack an announced version, sorted by decreasing lag."""
        behind = []
        for model, version in versions.items():
            for server in self.servers.values():
                if not server.draining and server.versions.get(model, version) < version:
                    since = self.announcements.missing_since(model, server.versions[model])
                    lag_seconds = 0.0 if since is None else now - since
                    behind.append(ServerBehind(server.id, model, server.versions[model], lag_seconds, server.loading))
        return sorted(behind, key=lambda server: -server.lag_seconds)

    # progress of loads

    def load_started(self, server: RegisteredServer, now: float) -> None:
        """Mark a server as loading: routers send it no requests until the load has ended."""
        server.loading, server.load_started_at = True, now
        self.serial += 1

    def load_succeeded(self, server_id: str, model: str, version: int, now: float) -> None:
        """Record that a server has loaded a version."""
        if (server := self.servers.get(server_id)) is not None:
            if server.loading:
                self.load_seconds += LOAD_TIME_SMOOTHING * (now - server.load_started_at - self.load_seconds)
            server.versions[model] = max(version, server.versions.get(model, 0))
            server.loading = False
            server.failed_loads.pop(model, None)
            self.serial += 1

    def load_failed(self, server_id: str, model: str, now: float) -> None:
        """Record a failed load: the server may be ordered again for this model after a delay."""
        if (server := self.servers.get(server_id)) is not None:
            server.loading = False
            failures = server.failed_loads_of(model).failures + 1
            server.failed_loads[model] = FailedLoads(failures, now + FAILED_LOAD_RETRY_SECONDS)
            self.serial += 1
