"""An incarnation of a model server from the platform's endpoint list. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rowanshift.controlplane.control_state import MAX_REVISION
from rowanshift.controlplane.errors import BadEndpointList
from rowanshift.wire.control_updates import SERVER_DRAINING, SERVER_LOADING, SERVER_UP, ServerRecord

MAX_LISTED_TEXT_CHARACTERS = 1024  # maximum length of an id, an address or another string in the list
LISTED_NUMBER_LIMIT = 1 << 53  # exclusive upper bound of slots in the list


@dataclass(slots=True, frozen=True)
class FailedLoads:
    """Failed loads of one model on a server since its last successful load."""

    failures: int = 0
    not_before: float = 0.0  # in seconds of the monotonic clock; earliest time of the next order for this model


NO_FAILED_LOADS = FailedLoads()


@dataclass(slots=True)
class RegisteredServer:
    """An incarnation of a server: its entry in the list and what the primary has learned about it."""

    id: str
    service: str
    address: str  # IP:PORT
    zone: str
    slots: int
    draining: bool
    versions: dict[str, int]  # by model
    loading: bool = False
    failed_loads: dict[str, FailedLoads] = field(default_factory=dict)  # by model
    load_started_at: float = 0.0  # start of its last load, in seconds of the monotonic clock

    def record(self) -> ServerRecord:
        """Return the record of this server that is sent to routers."""
        state = (SERVER_DRAINING if self.draining else SERVER_UP) | (SERVER_LOADING if self.loading else 0)
        return ServerRecord(self.id, self.service, self.address, self.zone, self.slots, state, dict(self.versions))

    def failed_loads_of(self, model: str) -> FailedLoads:
        """Return the failed loads of a model since its last successful load."""
        return self.failed_loads.get(model, NO_FAILED_LOADS)


def parse_registered_server(entry: dict[str, Any]) -> RegisteredServer:
    """Parse an entry of the platform's endpoint list. Raises ``BadEndpointList`` if the entry is invalid."""
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
        raise BadEndpointList(f"invalid entry: {error!r}") from error
    texts = (server.id, server.service, server.address, server.zone, *versions)
    if any(len(text) > MAX_LISTED_TEXT_CHARACTERS for text in texts):
        raise BadEndpointList(
            f"invalid entry: expected strings of at most {MAX_LISTED_TEXT_CHARACTERS} characters, found a longer one"
        )
    if not 0 <= server.slots < LISTED_NUMBER_LIMIT:
        raise BadEndpointList(f"{server.id}: expected slots from 0 to {LISTED_NUMBER_LIMIT - 1}, found {server.slots}")
    if not all(0 <= revision <= MAX_REVISION for revision in versions.values()):
        raise BadEndpointList(f"{server.id}: expected revisions from 0 to {MAX_REVISION}, found one out of range")
    return server
