"""Long polls of routers and the control plane's updates: their records, and the layouts of those in bytes.

A router polls the primary with the versions of what it has. The update carries whatever is newer; a machine that is not
the primary answers with a ``Redirect``. Routers up to release 0.2 poll in former formats, which lack some fields: they
are answered in the format that they know.

Each part of what a router has (state, list of servers, prefix cache holdings, list of routers, announcements) is
identified by a ``PartVersion``; (0, 0) stands for having nothing yet.
"""

from typing import Any

import msgspec

from rowanshift.wire.codec import Codec
from rowanshift.wire.field_types import (
    BOOL,
    BYTES,
    TEXT,
    UINT64,
    UINT64_LIST,
    UINT64_PAIR,
    VERSION_MAP,
    FieldType,
    RecordLayout,
    RecordListType,
)

PartVersion = tuple[int, int]  # of a part of what a router has: the primary's epoch, and the number of changes in it

SERVER_UP, SERVER_DRAINING = 1, 2  # states of a server
SERVER_LOADING = 4  # a flag beside them: the server is loading new weights


class ServerRecord(msgspec.Struct, frozen=True):
    """One server as the primary's registry lists it."""

    id: str
    service: str
    address: str  # IP:PORT
    zone: str
    slots: int  # requests that it runs at once
    state: int  # SERVER_UP or SERVER_DRAINING, with SERVER_LOADING
    versions: dict[str, int]  # of the weights of each model


class ModelVersionAnnouncementOfFormat1(msgspec.Struct, frozen=True):
    """A version of a model's weights that was announced, and how long before the update was made."""

    model: str
    version: int
    age_ms: int  # at least so long ago


class ModelVersionAnnouncement(msgspec.Struct, frozen=True):
    """A version of a model's weights that was announced, and how long before the record was made."""

    model: str
    version: int
    age_ms: int
    is_dated: bool = True  # else it was announced so long ago or longer, and no machine that was asked knows when


class PollOfFormat1(msgspec.Struct, frozen=True):
    """A poll of routers up to 0.2, which leave the time that it is held to the primary."""

    machine: int  # the router's id
    incarnation: int  # drawn when the router started
    state_version: PartVersion  # epoch and sequence number of the control state that it has
    fingerprint: int  # of that state's content, 0: it has none
    registry_version: PartVersion  # of the list of servers
    prefix_holdings_version: PartVersion  # of what stores hold in their prefix caches
    peers_version: PartVersion  # of the list of routers

    def as_format_2(self, long_poll_ms: int) -> "PollOfFormat2":
        """The same poll with the time that it may be held, in milliseconds."""
        return PollOfFormat2(
            self.machine,
            self.incarnation,
            self.state_version,
            self.fingerprint,
            self.registry_version,
            self.prefix_holdings_version,
            self.peers_version,
            long_poll_ms,
        )


class PollOfFormat3(msgspec.Struct, frozen=True):
    """A poll of routers up to 0.2, which report no times of announcements."""

    machine: int  # the router's id
    incarnation: int  # drawn when the router started
    state_version: PartVersion  # epoch and sequence number of the control state that it has
    fingerprint: int  # of that state's content, 0: it has none
    registry_version: PartVersion  # of the list of servers
    prefix_holdings_version: PartVersion  # of what stores hold in their prefix caches
    peers_version: PartVersion  # of the list of routers
    long_poll_ms: int  # how long the poll may be held while there is nothing newer; 0: answer at once


class PollOfFormat2(PollOfFormat3, frozen=True):
    """A poll of routers up to 0.2, which don't know the age of announcements; the same fields."""


class Poll(PollOfFormat3, frozen=True):
    """A router asks for what is newer than what it has, and renews its membership.

    A primary that may be new is sent the announcements whose times the router knows.
    """

    announcements_version: PartVersion = (0, 0)  # of the announcements and their times
    announcements: tuple[ModelVersionAnnouncement, ...] = ()


class UpdateOfFormat1(msgspec.Struct, frozen=True):
    """The answer to ``PollOfFormat1`` and ``PollOfFormat2``: what is newer than what the router has."""

    state_version: PartVersion
    fingerprint: int
    has_state: bool  # else the router has this very state, and the next three fields are empty
    revision: int  # of the configuration
    config: bytes  # the configuration's JSON, compressed by zlib
    versions: dict[str, int]  # the newest that was announced, of each model
    registry_version: PartVersion
    has_server_records: bool
    # All servers. A primary may put in the bytes of ``SERVER_RECORDS.encode``, made once for many routers; an update
    # that was received holds the records.
    server_records: tuple[ServerRecord, ...] | bytes = ()
    member_count: int = 1  # routers that share budgets; 0: not known yet
    prefix_holdings_version: PartVersion = (0, 0)
    prefix_holdings_complete: bool = False  # the hashes are all that is stored; else they are what changed
    stored_block_hashes: bytes = b""  # of prefix blocks that stores hold, 8 bytes each
    removed_block_hashes: bytes = b""  # of those that they no longer hold, 8 bytes each
    peers_version: PartVersion = (0, 0)
    has_peers: bool = False
    peer_machines: tuple[int, ...] = ()  # the routers that are members now
    core_machines: tuple[int, ...] = ()  # replicas of the control plane that may be asked next time


class UpdateOfFormat2(UpdateOfFormat1, frozen=True):
    """The answer to ``PollOfFormat3``: with a state come all announcements whose deadlines may still be to come."""

    announcements: tuple[ModelVersionAnnouncementOfFormat1, ...] = ()


class Update(UpdateOfFormat1, frozen=True):
    """The answer to ``Poll``: all announcements whose deadlines may still be to come, where the router lacks one of
    them or its time."""

    announcements_version: PartVersion = (0, 0)
    has_announcements: bool = False
    announcements: tuple[ModelVersionAnnouncement, ...] = ()

    def received_server_records(self) -> tuple[ServerRecord, ...]:
        """The servers of an update that was received. Raises ``TypeError`` if they are encoded for sending."""
        if isinstance(self.server_records, bytes):
            raise TypeError("the servers of this update are encoded for sending")
        return self.server_records

    def as_format_1(self) -> UpdateOfFormat1:
        """The same update for a router that doesn't know the age of announcements."""
        return UpdateOfFormat1(*self._fields_of_format_1())

    def as_format_2(self) -> UpdateOfFormat2:
        """The same update for a router that doesn't know whether announcements are dated."""
        announcements = [
            ModelVersionAnnouncementOfFormat1(announcement.model, announcement.version, announcement.age_ms)
            for announcement in self.announcements
            if self.has_state
        ]
        values = [*self._fields_of_format_1(), tuple(announcements)]
        return UpdateOfFormat2(*values)

    def _fields_of_format_1(self) -> list[Any]:
        return [getattr(self, name) for name in UpdateOfFormat1.__struct_fields__]


class Redirect(msgspec.Struct, frozen=True):
    """The answer of a machine that is not the primary."""

    primary: int  # the primary's id as far as this machine knows, 0: not known
    core_machines: tuple[int, ...]  # replicas of the control plane that may be asked next time


SERVER_RECORDS = RecordListType(
    RecordLayout(
        ServerRecord,
        id=TEXT,
        service=TEXT,
        address=TEXT,
        zone=TEXT,
        slots=UINT64,
        state=UINT64,
        versions=VERSION_MAP,
    )
)
ANNOUNCEMENTS_OF_FORMAT_1 = RecordListType(
    RecordLayout(ModelVersionAnnouncementOfFormat1, model=TEXT, version=UINT64, age_ms=UINT64)
)
ANNOUNCEMENTS = RecordListType(
    RecordLayout(ModelVersionAnnouncement, model=TEXT, version=UINT64, age_ms=UINT64, is_dated=BOOL)
)
POLL_FIELDS_OF_FORMAT_1: dict[str, FieldType] = {
    "machine": UINT64,
    "incarnation": UINT64,
    "state_version": UINT64_PAIR,
    "fingerprint": UINT64,
    "registry_version": UINT64_PAIR,
    "prefix_holdings_version": UINT64_PAIR,
    "peers_version": UINT64_PAIR,
}
POLL_FIELDS_OF_FORMAT_3: dict[str, FieldType] = {**POLL_FIELDS_OF_FORMAT_1, "long_poll_ms": UINT64}
UPDATE_FIELDS_OF_FORMAT_1: dict[str, FieldType] = {
    "state_version": UINT64_PAIR,
    "fingerprint": UINT64,
    "has_state": BOOL,
    "revision": UINT64,
    "config": BYTES,
    "versions": VERSION_MAP,
    "registry_version": UINT64_PAIR,
    "has_server_records": BOOL,
    "server_records": SERVER_RECORDS,
    "member_count": UINT64,
    "prefix_holdings_version": UINT64_PAIR,
    "prefix_holdings_complete": BOOL,
    "stored_block_hashes": BYTES,
    "removed_block_hashes": BYTES,
    "peers_version": UINT64_PAIR,
    "has_peers": BOOL,
    "peer_machines": UINT64_LIST,
    "core_machines": UINT64_LIST,
}
CONTROL_UPDATE_LAYOUTS = {
    1: RecordLayout(PollOfFormat1, **POLL_FIELDS_OF_FORMAT_1),
    2: RecordLayout(UpdateOfFormat1, **UPDATE_FIELDS_OF_FORMAT_1),
    3: RecordLayout(Redirect, primary=UINT64, core_machines=UINT64_LIST),
    4: RecordLayout(PollOfFormat2, **POLL_FIELDS_OF_FORMAT_3),
    5: RecordLayout(PollOfFormat3, **POLL_FIELDS_OF_FORMAT_3),
    6: RecordLayout(UpdateOfFormat2, **UPDATE_FIELDS_OF_FORMAT_1, announcements=ANNOUNCEMENTS_OF_FORMAT_1),
    7: RecordLayout(Poll, **POLL_FIELDS_OF_FORMAT_3, announcements_version=UINT64_PAIR, announcements=ANNOUNCEMENTS),
    8: RecordLayout(
        Update,
        **UPDATE_FIELDS_OF_FORMAT_1,
        announcements_version=UINT64_PAIR,
        has_announcements=BOOL,
        announcements=ANNOUNCEMENTS,
    ),
}  # by the number of the kind, which never changes its meaning
CONTROL_UPDATE_CODEC = Codec(CONTROL_UPDATE_LAYOUTS)  # for a router, which exchanges no other records
