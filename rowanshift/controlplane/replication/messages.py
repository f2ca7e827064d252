"""What replicas say to each other, what each keeps on disk, and the epoch record that witnesses agree on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StateVersion:
    """Orders states of the control plane: by the epoch they were stored in, then by their place in it."""

    epoch: int
    sequence: int


NO_VERSION = StateVersion(0, 0)


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """A view: who is primary, which machines hold the state, whose majorities decide on the next record.

    ``former`` is not empty while a change of witnesses is under way: a majority of it is needed too.
    """

    epoch: int
    primary: int
    in_sync: tuple[int, ...]
    witnesses: tuple[int, ...]
    former: tuple[int, ...] = ()

    def sets(self) -> tuple[tuple[int, ...], ...]:
        """The witness sets a majority of each of which must promise, or accept, what follows this record."""
        return (self.witnesses, self.former) if self.former else (self.witnesses,)

    def members(self) -> set[int]:
        """Every machine that has a part in this epoch."""
        return {*self.in_sync, *self.witnesses, *self.former}


NO_RECORD = EpochRecord(0, 0, (), ())


@dataclass(frozen=True, slots=True)
class DurableState:
    """What a machine's disk holds, written whole. ``amnesic``: the disk was lost and promises are not recovered."""

    promised: int
    accepted: EpochRecord
    version: StateVersion
    state: bytes
    amnesic: bool


@dataclass(frozen=True, slots=True)
class PreVote:
    """Would you promise this number? Nothing is changed by it."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """The answer to PreVote; nothing was promised."""

    epoch: int
    ok: bool


@dataclass(frozen=True, slots=True)
class Prepare:
    """Promise to take part in no epoch below this number (Paxos, phase 1)."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PrepareReply:
    """The answer to Prepare; ``accepted``: the last record this machine accepted."""

    epoch: int
    ok: bool
    promised: int
    accepted: EpochRecord


@dataclass(frozen=True, slots=True)
class Store:
    """Keep this state under a version of epoch ``number``."""

    epoch: int
    version: StateVersion
    state: bytes


@dataclass(frozen=True, slots=True)
class StoreDelta:
    """Keep the state that ``delta`` makes of the one under ``base``; who lacks that one gets a Store later."""

    epoch: int
    version: StateVersion
    base: StateVersion
    delta: bytes


@dataclass(frozen=True, slots=True)
class StoreReply:
    """The answer to Store and StoreDelta; ``ok``: the state of this version is on disk."""

    epoch: int
    version: StateVersion
    ok: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Accept:
    """Accept the epoch record of this number (Paxos, phase 2)."""

    epoch: int
    record: EpochRecord


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """The answer to Accept; ``ok``: the record is on disk."""

    epoch: int
    ok: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The primary lives; also the round that a read waits for."""

    epoch: int
    serial: int
    record: EpochRecord


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The answer to a heartbeat; not ``ok`` below a promise, or where an in-sync machine lacks the state."""

    epoch: int
    serial: int
    ok: bool
    promised: int
    version: StateVersion


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Become a candidate now. From the primary of epoch ``number`` it also gives up that epoch and its lease."""

    epoch: int


@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """Asked by an amnesic machine; ``serial`` keeps answers to an earlier life apart."""

    serial: int


@dataclass(frozen=True, slots=True)
class RecoveryReply:
    """What a machine has promised and accepted, for one that lost its disk."""

    serial: int
    promised: int
    accepted: EpochRecord
    amnesic: bool


@dataclass(frozen=True, slots=True)
class FailureDomainReport:
    """The sender is in this zone and region; ``counts``: among the machines of which the fault tolerance speaks;
    ``no_quorum_members``: as far as the sender knows, no member of its epoch is."""

    zone: str
    region: str
    quorum_member: bool
    no_quorum_members: bool


@dataclass(frozen=True, slots=True)
class Join:
    """A machine that is no witness asks to become one."""

    machine: int


@dataclass(frozen=True, slots=True)
class Leave:
    """The sender ends soon: its copy and its vote are to be given to others first."""

    machine: int


@dataclass(frozen=True, slots=True)
class LeaveReply:
    """From the primary of epoch ``number``; ``released``: nothing in force needs the leaving machine any more."""

    epoch: int
    granted: bool


Message = (
    PreVote
    | PreVoteReply
    | Prepare
    | PrepareReply
    | Store
    | StoreDelta
    | StoreReply
    | Accept
    | AcceptReply
    | Heartbeat
    | HeartbeatReply
    | TransferLeadership
    | RecoveryRequest
    | RecoveryReply
    | FailureDomainReport
    | Join
    | Leave
    | LeaveReply
)
