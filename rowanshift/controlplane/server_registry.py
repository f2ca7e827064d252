"""What the primary knows of the servers, and which of them takes new weights next. No I/O, no clock.

Of the list, of reports and of orders' answers the newest version counts: an incarnation never goes back.
"""

from dataclasses import dataclass, field
from math import ceil
from typing import Any

from rowanshift.wire.delivery import DRAINING, LOADING, UP, Row

AT_ONCE = 0.4  # part of a service's servers that may load at once, one at least
FIRST_LOAD = 1.5  # seconds that a load is taken to need, with all around it, until one has told
SMOOTHING = 0.3  # part of the time of loads that a new one makes up
MOST_TEXT, MOST_NUMBER = 1024, 1 << 53  # characters of a name; what numbers stay under
AGAIN = 0.6  # seconds until a server whose order failed is looked at again


class BadList(ValueError):
    """An answer of the platform that is no list."""


@dataclass(slots=True)
class Known:
    """One incarnation of a server."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    versions: dict[str, int]
    loading: bool = False
    not_before: float = 0.0  # when it may be ordered again
    failures: int = 0  # of loads
    began_at: float = 0.0  # when it was last ordered to load

    def row(self) -> Row:
        """The server as routers are told of it."""
        state = (DRAINING if self.draining else UP) | (LOADING if self.loading else 0)
        return Row(self.id, self.service, self.address, self.zone, self.slots, state, dict(self.versions))


def known_of(entry: dict[str, Any]) -> Known:
    """``BadList`` if the entry can't be read."""
    try:
        versions = {str(model["name"]): int(model.get("revision") or 0) for model in entry.get("models") or ()}
        known = Known(
            str(entry["id"]),
            str(entry["backend"]),
            str(entry["address"]),
            str(entry.get("zone") or ""),
            int(entry.get("slots") or 1),
            entry.get("state") == "draining",
            versions,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BadList(repr(error)) from error
    texts = (known.id, known.service, known.address, known.zone, *versions)
    if any(len(text) > MOST_TEXT for text in texts):
        raise BadList(f"a text of over {MOST_TEXT} characters")
    if not all(0 <= number < MOST_NUMBER for number in (known.slots, *versions.values())):
        raise BadList(f"{known.id}: slots or a revision out of range")
    return known


@dataclass(slots=True)
class ServerRegistry:
    """All servers that the platform's list names, with the version that each has."""

    servers: dict[str, Known] = field(default_factory=dict)
    serial: int = 0  # of its changes; 0: the list was not read yet
    roll_out_within: float = 0.0  # seconds in which all servers should have a named version; 0: as soon as may be
    load_takes: float = FIRST_LOAD  # seconds, smoothed
    named_at: dict[tuple[str, int], float] = field(default_factory=dict)  # when a model's version was first met here

    def take(self, entries: list[Known]) -> bool:
        """Takes a whole list in; whether anything changed."""
        before = {id: known.row() for id, known in self.servers.items()}
        made = {}
        for entry in entries:
            known = self.servers.get(entry.id)
            if known is not None:
                entry.loading, entry.not_before = known.loading, known.not_before
                entry.failures, entry.began_at = known.failures, known.began_at
                for model, version in known.versions.items():
                    entry.versions[model] = max(version, entry.versions.get(model, 0))
            made[entry.id] = entry
        self.servers = made
        if self.serial and before == {id: known.row() for id, known in made.items()}:
            return False
        self.serial += 1
        return True

    def rows(self) -> tuple[Row, ...]:
        """All servers as routers are told of them."""
        return tuple(known.row() for known in self.servers.values())

    def next_load(self, named: dict[str, int], now: float) -> tuple[Known, str, int] | None:
        """The next server to be ordered, with the model and version; None if none should be now."""
        for model, version in named.items():
            having = [known for known in self.servers.values() if model in known.versions and not known.draining]
            for service in dict.fromkeys(known.service for known in having):
                fellows = [known for known in having if known.service == service]
                behind = [
                    known
                    for known in fellows
                    if known.versions[model] < version and not known.loading and known.not_before <= now
                ]
                loading = sum(known.loading for known in fellows)
                begun = any(known.versions[model] >= version for known in fellows)
                self.named_at.setdefault((model, version), float("-inf") if begun else now)
                if behind and loading < self.at_once(model, version, len(behind), len(fellows), now):
                    return min(behind, key=lambda known: (known.failures, known.id)), model, version
        return None

    def at_once(self, model: str, version: int, behind: int, fellows: int, now: float) -> int:
        """How many of a service's servers may load at once: as few as bring those behind to the version in time, since
        each of them leaves its requests, and what it keeps, to the others. A roll-out that was begun by another primary
        may be late already: it goes on as fast as may be."""
        most = max(1, int(AT_ONCE * fellows))
        left = self.named_at[model, version] + self.roll_out_within - now
        if left <= self.load_takes:
            return most
        return min(most, ceil(behind * self.load_takes / left))

    def begin(self, known: Known, now: float) -> None:
        """A server is given an order to load: it gets no requests meanwhile."""
        known.loading, known.began_at = True, now
        self.serial += 1

    def loaded(self, id: str, model: str, version: int, now: float) -> None:
        """The server has the version now."""
        if (known := self.servers.get(id)) is not None:
            if known.loading:
                self.load_takes += SMOOTHING * (now - known.began_at - self.load_takes)
            known.versions[model] = max(version, known.versions.get(model, 0))
            known.loading, known.failures = False, 0
            self.serial += 1

    def failed(self, id: str, now: float) -> None:
        """A load failed: the server is looked at again later."""
        if (known := self.servers.get(id)) is not None:
            known.loading, known.not_before, known.failures = False, now + AGAIN, known.failures + 1
            self.serial += 1
