"""Records of the long polls of routers and of the control plane's updates, and their wire layouts.

A router polls the primary with the versions of the parts that it holds (state, list of servers, prefix cache holdings,
list of routers, announcements). The update carries the parts that are newer; a machine that is not the primary replies
with a ``Redirect``. Routers up to release 0.2 poll in older formats, which lack some fields, and receive replies in the
corresponding format.

Each part has a ``PartVersion`` of its own; (0, 0) means that the router does not hold the part yet.
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

PartVersion = tuple[int, int]  # the epoch of the primary that published the part, and the number of changes in it

SERVER_UP, SERVER_DRAINING = 1, 2  # the states of a server
SERVER_LOADING = 4  # flag added to the state while the server loads new weights


class ServerRecord(msgspec.Struct, frozen=True):
    """A model server in the primary's registry."""

    id: str
    service: str
    address: str  # IP:PORT
    zone: str
    slots: int  # the number of requests that it processes concurrently
    state: int  # SERVER_UP or SERVER_DRAINING, possibly combined with SERVER_LOADING
    versions: dict[str, int]  # version of the weights, by model


class ModelVersionAnnouncementOfFormat1(msgspec.Struct, frozen=True):
    """An announced version of a model's weights, and its age when the update was made."""

    model: str
    version: int
    age_ms: int  # lower bound of the age


class ModelVersionAnnouncement(msgspec.Struct, frozen=True):
    """An announced version of a model's weights, and its age when the record was made."""

    model: str
    version: int
    age_ms: int
    is_dated: bool = True  # if False, ``age_ms`` is a lower bound because the time of the announcement is unknown


class PollOfFormat1(msgspec.Struct, frozen=True):
    """A poll of routers up to 0.2 that leave the choice of the long-poll time to the primary."""

    machine: int  # id of the router
    incarnation: int  # random number chosen when the router started
    state_version: PartVersion  # epoch and sequence number of the control state that the router holds
    fingerprint: int  # fingerprint of that state's content; 0 if the router holds no state
    registry_version: PartVersion  # version of the list of servers
    prefix_holdings_version: PartVersion  # version of the prefix cache holdings of the stores
    peers_version: PartVersion  # version of the list of routers

    def as_format_2(self, long_poll_ms: int) -> "PollOfFormat2":
        """This poll in format 2, with the given long-poll time in milliseconds."""
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
    """A poll of routers up to 0.2 that don't report the times of announcements."""

    machine: int  # id of the router
    incarnation: int  # random number chosen when the router started
    state_version: PartVersion  # epoch and sequence number of the control state that the router holds
    fingerprint: int  # fingerprint of that state's content; 0 if the router holds no state
    registry_version: PartVersion  # version of the list of servers
    prefix_holdings_version: PartVersion  # version of the prefix cache holdings of the stores
    peers_version: PartVersion  # version of the list of routers
    long_poll_ms: int  # how long the primary may delay the reply while it has nothing newer; 0 for an immediate reply


class PollOfFormat2(PollOfFormat3, frozen=True):
    """A poll of routers up to 0.2 that can't decode the ages of announcements; its fields are those of format 3."""


class Poll(PollOfFormat3, frozen=True):
    """A router's request for parts newer than those it holds; it also renews the router's membership.

    A router that polls a primary that may be new includes the announcements whose times it knows.
    """

    announcements_version: PartVersion = (0, 0)  # version of the announcements and their times
    announcements: tuple[ModelVersionAnnouncement, ...] = ()


class UpdateOfFormat1(msgspec.Struct, frozen=True):
    """The reply to ``PollOfFormat1`` and ``PollOfFormat2``: the parts newer than those the router holds."""

    state_version: PartVersion
    fingerprint: int
    has_state: bool  # if False, the router already holds this state, and the next three fields are empty
    revision: int  # revision of the configuration
    config: bytes  # the configuration as JSON, compressed by zlib
    versions: dict[str, int]  # newest announced version of the weights, by model
    registry_version: PartVersion
    has_server_records: bool
    # All servers. To encode them only once for many routers, a primary may set this to the bytes returned by
    # ``SERVER_RECORDS.encode``; a received update always holds records.
    server_records: tuple[ServerRecord, ...] | bytes = ()
    member_count: int = 1  # number of routers that share budgets; 0 if not known yet
    prefix_holdings_version: PartVersion = (0, 0)
    prefix_holdings_complete: bool = False  # whether the hashes are all stored ones; if False, only the changes
    stored_block_hashes: bytes = b""  # hashes of prefix blocks that stores hold, 8 bytes each
    removed_block_hashes: bytes = b""  # hashes of prefix blocks that they no longer hold, 8 bytes each
    peers_version: PartVersion = (0, 0)
    has_peers: bool = False
    peer_machines: tuple[int, ...] = ()  # ids of the current member routers
    core_machines: tuple[int, ...] = ()  # ids of control plane replicas that the router may poll next


class UpdateOfFormat2(UpdateOfFormat1, frozen=True):
    """The reply to ``PollOfFormat3``: a state is accompanied by all announcements whose deadlines may be ahead."""

    announcements: tuple[ModelVersionAnnouncementOfFormat1, ...] = ()


class Update(UpdateOfFormat1, frozen=True):
    """The reply to ``Poll``. If the router lacks an announcement or its time, it includes all announcements whose
    deadlines may not have passed yet."""

    announcements_version: PartVersion = (0, 0)
    has_announcements: bool = False
    announcements: tuple[ModelVersionAnnouncement, ...] = ()

    def received_server_records(self) -> tuple[ServerRecord, ...]:
        """The servers of a received update. Raises ``TypeError`` if they are encoded for sending."""
        if isinstance(self.server_records, bytes):
            raise TypeError(
                "server_records holds bytes encoded for sending; records are available in a received update only"
            )
        return self.server_records

    def as_format_1(self) -> UpdateOfFormat1:
        """This update for a router that can't decode the ages of announcements."""
        return UpdateOfFormat1(*self._fields_of_format_1())

    def as_format_2(self) -> UpdateOfFormat2:
        """This update for a router that can't decode ``is_dated`` of announcements."""
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
    """The reply of a machine that is not the primary."""

    primary: int  # id of the primary as far as known, 0 if unknown
    core_machines: tuple[int, ...]  # ids of control plane replicas that the router may poll next


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
}  # by the number of the kind; a number is never reused for another layout
CONTROL_UPDATE_CODEC = Codec(CONTROL_UPDATE_LAYOUTS)  # for routers, which exchange no other records
