"""One incarnation of a model server as the platform's list names it. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rowanshift.controlplane.errors import BadEndpointList
from rowanshift.wire.control_updates import SERVER_DRAINING, SERVER_LOADING, SERVER_UP, ServerRecord

MAX_LISTED_TEXT_CHARACTERS = 1024  # of an id, an address or another text in the list
LISTED_NUMBER_LIMIT = 1 << 53  # what slots and revisions in the list stay under


@dataclass(slots=True, frozen=True)
class FailedLoads:
    """The loads of one model that failed at a server since the last one that succeeded."""

    failures: int = 0
    not_before: float = 0.0  # seconds of the steady clock; the model may be ordered there again from then on


NO_FAILED_LOADS = FailedLoads()


@dataclass(slots=True)
class RegisteredServer:
    """One incarnation of a server, with what the primary has learned of it beyond the list."""

    id: str
    service: str
    address: str  # IP:PORT
    zone: str
    slots: int
    draining: bool
    versions: dict[str, int]  # by model
    loading: bool = False
    failed_loads: dict[str, FailedLoads] = field(default_factory=dict)  # by model
    load_started_at: float = 0.0  # seconds of the steady clock, of its last load

    def record(self) -> ServerRecord:
        """The server as routers receive it."""
        state = (SERVER_DRAINING if self.draining else SERVER_UP) | (SERVER_LOADING if self.loading else 0)
        return ServerRecord(self.id, self.service, self.address, self.zone, self.slots, state, dict(self.versions))

    def failed_loads_of(self, model: str) -> FailedLoads:
        """The loads of a model that failed since the last one that succeeded."""
        return self.failed_loads.get(model, NO_FAILED_LOADS)


def parse_registered_server(entry: dict[str, Any]) -> RegisteredServer:
    """A server from its entry in the platform's list. Raises ``BadEndpointList`` if the entry can't be read."""
    try:
        versions = {str(model["name"]): int(model.get("revision") or 0) for model in entry.get("models") or ()}
        server = RegisteredServer(
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
    texts = (server.id, server.service, server.address, server.zone, *versions)
    if any(len(text) > MAX_LISTED_TEXT_CHARACTERS for text in texts):
        raise BadEndpointList(f"a text of over {MAX_LISTED_TEXT_CHARACTERS} characters")
    if not all(0 <= number < LISTED_NUMBER_LIMIT for number in (server.slots, *versions.values())):
        raise BadEndpointList(f"{server.id}: slots or a revision out of range")
    return server
