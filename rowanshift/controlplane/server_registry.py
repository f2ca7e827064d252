"""What the primary knows of the servers, and which of them takes new weights next. No I/O, no clock.

Of the list, of reports and of orders' answers the newest version counts: an incarnation never goes back.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import ceil
from typing import Any

from rowanshift.controlplane.errors import BadEndpointList
from rowanshift.wire.control_updates import DRAINING, LOADING, UP, ModelVersionAnnouncement, ServerRecord
from rowanshift.wire.version_announcements import VersionAnnouncement, VersionAnnouncements

AT_ONCE = 0.4  # part of a service's servers that may load at once, one at least
FIRST_LOAD = 1.5  # seconds that a load is taken to need, with all around it, until one has told
SMOOTHING = 0.3  # part of the time of loads that a new one makes up
MOST_TEXT, MOST_NUMBER = 1024, 1 << 53  # characters of a name; what numbers stay under
AGAIN = 0.6  # seconds until a server whose order failed is looked at again
FAILED_LATER = 2.0  # seconds by which each failed load puts a server back behind others
NAMES_KEPT_FOR = 60.0  # seconds for which the time of a name is known after a newer one
DATED_EARLIER = 0.25  # seconds by which a router's date of a name must lie before a known one to be news
MOST_TOLD = 256  # names of one router's poll that are looked at


@dataclass(slots=True, frozen=True)
class FailedLoads:
    """Loads of one model that failed at a server since the last that went well."""

    failures: int = 0
    not_before: float = 0.0  # when the model may be ordered there again


NO_FAILED_LOADS = FailedLoads()


@dataclass(slots=True)
class RegisteredServer:
    """One incarnation of a server."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    versions: dict[str, int]
    loading: bool = False
    failed_loads: dict[str, FailedLoads] = field(default_factory=dict)  # by model
    began_at: float = 0.0  # when it was last ordered to load

    def row(self) -> ServerRecord:
        """The server as routers are told of it."""
        state = (DRAINING if self.draining else UP) | (LOADING if self.loading else 0)
        return ServerRecord(self.id, self.service, self.address, self.zone, self.slots, state, dict(self.versions))


def parse_registered_server(entry: dict[str, Any]) -> RegisteredServer:
    """``BadEndpointList`` if the entry can't be read."""
    try:
        versions = {str(model["name"]): int(model.get("revision") or 0) for model in entry.get("models") or ()}
        known = RegisteredServer(
            str(entry["id"]),
            str(entry["backend"]),
            str(entry["address"]),
            str(entry.get("zone") or ""),
            int(entry.get("slots") or 1),
            entry.get("state") == "draining",
            versions,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BadEndpointList(repr(error)) from error
    texts = (known.id, known.service, known.address, known.zone, *versions)
    if any(len(text) > MOST_TEXT for text in texts):
        raise BadEndpointList(f"a text of over {MOST_TEXT} characters")
    if not all(0 <= number < MOST_NUMBER for number in (known.slots, *versions.values())):
        raise BadEndpointList(f"{known.id}: slots or a revision out of range")
    return known


@dataclass(slots=True, frozen=True)
class ServerBehind:
    """A server that lacks a named version."""

    id: str
    model: str
    version: int  # that it has
    lacks_for: float  # seconds since the first name that it lacks
    loading: bool


@dataclass(slots=True)
class ServerRegistry:
    """All servers that the platform's list names, with the version that each has."""

    servers: dict[str, RegisteredServer] = field(default_factory=dict)
    serial: int = 0  # of its changes; 0: the list was not read yet
    roll_out_within: float = 0.0  # seconds in which all servers should have a named version; 0: as soon as may be
    load_takes: float = FIRST_LOAD  # seconds, smoothed
    names_kept_for: float = NAMES_KEPT_FOR
    names: VersionAnnouncements = field(default_factory=VersionAnnouncements)  # since when each version has been named
    names_serial: int = 1  # of the changes of names
    inherited: dict[str, int] | None = None  # of the first call, until the servers of the model were looked at
    late_models: set[str] = field(default_factory=set)  # whose inherited version a former primary had begun to roll out

    def take(self, entries: list[RegisteredServer]) -> bool:
        """Takes a whole list in; whether anything changed."""
        before = {id: known.row() for id, known in self.servers.items()}
        made = {}
        for entry in entries:
            known = self.servers.get(entry.id)
            if known is not None:
                entry.loading, entry.began_at = known.loading, known.began_at
                entry.failed_loads = known.failed_loads
                for model, version in known.versions.items():
                    entry.versions[model] = max(version, entry.versions.get(model, 0))
            made[entry.id] = entry
        self.servers = made
        if self.serial and before == {id: known.row() for id, known in made.items()}:
            return False
        self.serial += 1
        return True

    def rows(self) -> tuple[ServerRecord, ...]:
        """All servers as routers are told of them."""
        return tuple(known.row() for known in self.servers.values())

    def note(self, named: dict[str, int], now: float) -> None:
        """Take down which versions are named: those of the first call were named by a former primary, if any."""
        is_dated = self.inherited is not None
        if self.inherited is None:
            self.inherited = dict(named)
        new = [name for name in named.items() if self.names.find(*name) is None]
        self.names_serial += self.names.record_all(
            (model, VersionAnnouncement(version, now, is_dated)) for model, version in new
        )
        self.names.discard_superseded_before(now - self.names_kept_for)

    def take_dates(self, told: Sequence[ModelVersionAnnouncement], named: dict[str, int], now: float) -> bool:
        """Take in when versions were named, as a router tells that knows it; whether anything changed.

        Routers outlive primaries, and the whole core: what a primary has inherited is dated by them.
        """
        dated = [
            (name.model, VersionAnnouncement(name.version, now - name.age_ms / 1000))
            for name in told[:MOST_TOLD]
            if name.is_dated and name.version <= named.get(name.model, 0)
        ]
        changed = self.names.record_all(pair for pair in dated if self._is_newer(*pair))
        self.names_serial += changed
        return changed

    def _is_newer(self, model: str, told: VersionAnnouncement) -> bool:
        """Whether a date differs from what is known by more than messages take."""
        known = self.names.find(model, told.version)
        return known is None or not known.is_dated or told.announced_at < known.announced_at - DATED_EARLIER

    def next_load(self, named: dict[str, int], now: float) -> tuple[RegisteredServer, str, int] | None:
        """The next server to be ordered, with the model and version; None if none should be now.

        It is the one whose time to have a newer version ends first, whatever was named since.
        """
        self.note(named, now)
        urgent = []
        for model, version in named.items():
            having = [known for known in self.servers.values() if model in known.versions and not known.draining]
            for service in dict.fromkeys(known.service for known in having):
                fellows = [known for known in having if known.service == service]
                self._note_late(model, fellows)
                if (found := self._most_urgent(model, version, fellows, now)) is not None:
                    urgent.append((self._due(model, found), found.id, found, model, version))
        if not urgent:
            return None
        _, _, known, model, version = min(urgent, key=lambda load: load[:2])
        return known, model, version

    def _most_urgent(
        self, model: str, version: int, fellows: list[RegisteredServer], now: float
    ) -> RegisteredServer | None:
        """The server of a service that should be ordered now; None if none should be."""
        lacking = [known for known in fellows if known.versions[model] < version]
        behind = [known for known in lacking if not known.loading and failed_loads(known, model).not_before <= now]
        if not behind:
            return None
        dues = [self._due(model, known) for known in lacking]
        if sum(known.loading for known in fellows) >= self.at_once(dues, len(fellows), now):
            return None
        return min(behind, key=lambda known: (self._due(model, known), known.id))

    def _note_late(self, model: str, fellows: list[RegisteredServer]) -> None:
        """A roll-out that was begun by another primary may be late already: it goes on as fast as may be, unless
        somebody knows when its version was named."""
        version = (self.inherited or {}).pop(model, None)
        if version is not None and any(known.versions[model] >= version for known in fellows):
            self.late_models.add(model)

    def _due(self, model: str, known: RegisteredServer) -> float:
        """When a server should have a newer version: ``roll_out_within`` after the first name that it lacks; somewhat
        later where loads failed, so that one which fails for good doesn't keep the others waiting."""
        name = self.names.first_missing(model, known.versions[model])
        if name is None:
            return float("inf")
        within = 0.0 if model in self.late_models and not name.is_dated else self.roll_out_within
        return name.announced_at + within + FAILED_LATER * failed_loads(known, model).failures

    def at_once(self, dues: list[float], fellows: int, now: float) -> int:
        """How many of a service's servers may load at once: as few as bring each of those that lack a version, or load
        it now, to it when it is due, since each of them leaves its requests, and what it keeps, to the others."""
        most = max(1, int(AT_ONCE * fellows))
        needed = (
            ceil(count * self.load_takes / max(due - now, self.load_takes)) for count, due in enumerate(sorted(dues), 1)
        )
        return min(most, max(needed))

    def behind(self, named: dict[str, int], now: float) -> list[ServerBehind]:
        """The servers that lack a named version, those first that have lacked one longest."""
        found = []
        for model, version in named.items():
            for known in self.servers.values():
                if not known.draining and known.versions.get(model, version) < version:
                    since = self.names.missing_since(model, known.versions[model])
                    lacks_for = 0.0 if since is None else now - since
                    found.append(ServerBehind(known.id, model, known.versions[model], lacks_for, known.loading))
        return sorted(found, key=lambda server: -server.lacks_for)

    def begin(self, known: RegisteredServer, now: float) -> None:
        """A server is given an order to load: it gets no requests meanwhile."""
        known.loading, known.began_at = True, now
        self.serial += 1

    def loaded(self, id: str, model: str, version: int, now: float) -> None:
        """The server has the version now."""
        if (known := self.servers.get(id)) is not None:
            if known.loading:
                self.load_takes += SMOOTHING * (now - known.began_at - self.load_takes)
            known.versions[model] = max(version, known.versions.get(model, 0))
            known.loading = False
            known.failed_loads.pop(model, None)
            self.serial += 1

    def failed(self, id: str, model: str, now: float) -> None:
        """A load failed: the server is looked at again for that model later."""
        if (known := self.servers.get(id)) is not None:
            known.loading = False
            known.failed_loads[model] = FailedLoads(failed_loads(known, model).failures + 1, now + AGAIN)
            self.serial += 1


def failed_loads(known: RegisteredServer, model: str) -> FailedLoads:
    """The loads of a model that failed at a server since the last that went well."""
    return known.failed_loads.get(model, NO_FAILED_LOADS)
