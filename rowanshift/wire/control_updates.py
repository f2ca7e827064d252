"""What routers and the control plane say to each other."""

from dataclasses import dataclass, field, fields
from typing import Any

from rowanshift.wire.codec import Codec

UP, DRAINING = 1, 2  # states of a server
LOADING = 4  # it takes new weights


@dataclass(slots=True, frozen=True)
class ServerRecord:
    """One server as the registry names it."""

    id: str
    service: str
    address: str  # IP:PORT
    zone: str
    slots: int
    state: int  # UP or DRAINING, with LOADING
    versions: dict[str, int]  # of each model


@dataclass(slots=True, frozen=True)
class ModelVersionAnnouncementOfFormat1:
    """A version of a model's weights, and how long ago it was named."""

    model: str
    version: int
    age_ms: int  # at least so long ago, when the answer was made


@dataclass(slots=True, frozen=True)
class ModelVersionAnnouncement:
    """A version of a model's weights, and how long ago it was named, when the message was made."""

    model: str
    version: int
    age_ms: int
    is_dated: bool = True  # else it was named so long ago or longer, and nobody who was asked knows when


@dataclass(slots=True, frozen=True)
class PollOfFormat3:
    """A poll of routers up to 0.2, which tell no dates of named versions: what a router has, and its lease renewed."""

    machine: int  # its IP as a number
    incarnation: int  # drawn at its start
    state_version: tuple[int, int]  # epoch and sequence of the control state that it has; (0, 0): none
    fingerprint: int  # of that state's content
    registry_version: tuple[int, int]  # epoch and serial of the servers' list that it has
    prefix_holdings_version: tuple[int, int]  # the same of what stores keep
    peers_version: tuple[int, int]  # and of the members
    long_poll_ms: int  # how long the poll may be held while there is nothing newer; 0: answer at once


class PollOfFormat2(PollOfFormat3):
    """A poll of routers up to 0.2, which know of no ages of named versions; the same fields."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Poll(PollOfFormat3):
    """A router asks with what it has, and renews its lease with that.

    To a primary that may be new it tells the named versions whose dates it knows.
    """

    announcements_version: tuple[int, int] = (0, 0)  # epoch and serial of the dates that it has
    announcements: tuple[ModelVersionAnnouncement, ...] = ()


@dataclass(slots=True, frozen=True)
class PollOfFormat1:
    """A poll of routers up to 0.2, held as long as the primary likes."""

    machine: int
    incarnation: int
    state_version: tuple[int, int]
    fingerprint: int
    registry_version: tuple[int, int]
    prefix_holdings_version: tuple[int, int]
    peers_version: tuple[int, int]

    def upgraded(self, long_poll_ms: int) -> PollOfFormat2:
        """The same question with the time that it may be held."""
        has = (
            self.state_version,
            self.fingerprint,
            self.registry_version,
            self.prefix_holdings_version,
            self.peers_version,
        )
        return PollOfFormat2(self.machine, self.incarnation, *has, long_poll_ms)


@dataclass(slots=True, frozen=True)
class UpdateOfFormat1:
    """The answer to ``PollOfFormat1`` and ``PollOfFormat2``: whatever is newer than what the router has."""

    state_version: tuple[int, int]
    fingerprint: int
    has_state: bool  # else the router has this very one
    revision: int
    config: bytes  # compressed
    versions: dict[str, int]  # named, of each model
    registry_version: tuple[int, int]
    has_server_records: bool
    server_records: tuple[ServerRecord, ...] = field(default=())
    member_count: int = 1  # routers that share budgets; 0: not known yet
    prefix_holdings_version: tuple[int, int] = (0, 0)
    prefix_holdings_complete: bool = False  # else what changed
    stored_block_hashes: bytes = b""  # marks of parts that stores keep, 8 bytes each
    removed_block_hashes: bytes = b""  # and of those that they no longer do
    peers_version: tuple[int, int] = (0, 0)
    has_peers: bool = False
    peer_machines: tuple[int, ...] = ()  # routers that are members now
    core_machines: tuple[int, ...] = ()  # machines of the core that may be asked next time


@dataclass(slots=True, frozen=True)
class UpdateOfFormat2(UpdateOfFormat1):
    """The answer to ``PollOfFormat3``: with the state, all named versions whose deadlines may still be to come."""

    announcements: tuple[ModelVersionAnnouncementOfFormat1, ...] = ()


@dataclass(slots=True, frozen=True)
class Update(UpdateOfFormat1):
    """The answer to ``Poll``: all named versions whose deadlines may still be to come, where the asker lacks any of
    them or its date."""

    announcements_version: tuple[int, int] = (0, 0)
    has_announcements: bool = False
    announcements: tuple[ModelVersionAnnouncement, ...] = ()

    def of_format_1(self) -> UpdateOfFormat1:
        """The same answer for a router that knows of no ages."""
        return UpdateOfFormat1(*self._former_fields())

    def of_format_2(self) -> UpdateOfFormat2:
        """The same answer for a router that knows of no dates."""
        names = [
            ModelVersionAnnouncementOfFormat1(name.model, name.version, name.age_ms) for name in self.announcements
        ]
        return UpdateOfFormat2(*self._former_fields(), tuple(names) if self.has_state else ())

    def _former_fields(self) -> list[Any]:
        return [getattr(self, field.name) for field in fields(UpdateOfFormat1)]


@dataclass(slots=True, frozen=True)
class Redirect:
    """The machine asked is not the primary."""

    primary: int  # its IP as a number, 0: not known
    core_machines: tuple[int, ...]


KINDS: dict[int, tuple[type, str]] = {
    1: (PollOfFormat1, "qqpqppp"),
    2: (UpdateOfFormat1, "pq?qbvp?oqp?bbp?tt"),
    3: (Redirect, "qt"),
    4: (PollOfFormat2, "qqpqpppq"),
    5: (PollOfFormat3, "qqpqpppq"),
    6: (UpdateOfFormat2, "pq?qbvp?oqp?bbp?ttn"),
    7: (Poll, "qqpqpppqpy"),
    8: (Update, "pq?qbvp?oqp?bbp?ttp?y"),
}
NESTED: dict[str, tuple[type, str]] = {
    "o": (ServerRecord, "ssssqqv"),
    "n": (ModelVersionAnnouncementOfFormat1, "sqq"),
    "y": (ModelVersionAnnouncement, "sqq?"),
}
CODEC = Codec(KINDS, NESTED)  # all that a router needs
