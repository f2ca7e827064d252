"""Messages between replicas. Wire layouts are bound to their fields in ``controlplane/record_kinds.py``.

In each message ``epoch`` is the epoch that it is about. In replies ``promised`` is the highest epoch that the sender
promised; ``ok`` is False if that forbids what was asked.
"""

from __future__ import annotations

from dataclasses import dataclass

from rowanshift.controlplane.replication.records import EpochRecord, StateVersion


@dataclass(frozen=True, slots=True)
class PreVote:
    """Asks whether the receiver would promise this epoch. It changes nothing there."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Answers PreVote; nothing was promised."""

    epoch: int
    ok: bool


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for the promise to take part in no lower epoch (Paxos, phase 1)."""

    epoch: int


@dataclass(frozen=True, slots=True)
class PrepareReply:
    """Answers Prepare. ``accepted`` is the last record that the sender accepted."""

    epoch: int
    ok: bool
    promised: int
    accepted: EpochRecord


@dataclass(frozen=True, slots=True)
class Store:
    """Asks to store this state under a version of the epoch."""

    epoch: int
    version: StateVersion
    state: bytes


@dataclass(frozen=True, slots=True)
class StoreDelta:
    """Asks to store the state that ``delta`` makes of the one under ``base``.

    A machine that has another version doesn't answer, and gets a Store when the proposal is sent again.
    """

    epoch: int
    version: StateVersion
    base: StateVersion
    delta: bytes


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Answers Store and StoreDelta. ``ok``: a state of this version or a later one is on disk."""

    epoch: int
    version: StateVersion
    ok: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks to accept the record of this epoch (Paxos, phase 2)."""

    epoch: int
    record: EpochRecord


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Answers Accept. ``ok``: the record is on disk."""

    epoch: int
    ok: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent by the primary in rounds: it renews the lease, and confirms reads that wait for the round ``serial``."""

    epoch: int
    serial: int
    record: EpochRecord


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers Heartbeat. Not ``ok`` below a promise, or where an in-sync machine lacks the state."""

    epoch: int
    serial: int
    ok: bool
    promised: int
    version: StateVersion


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Asks the receiver to become a candidate now.

    If its sender is the primary of ``epoch``, it also gives up that epoch and its lease.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """Sent by an amnesic machine. ``serial`` tells replies to an earlier incarnation apart."""

    serial: int


@dataclass(frozen=True, slots=True)
class RecoveryReply:
    """What a machine has promised and accepted, for one that lost its disk or asked to join."""

    serial: int
    promised: int
    accepted: EpochRecord
    amnesic: bool


@dataclass(frozen=True, slots=True)
class FailureDomainReport:
    """Where the sender is: its zone and region.

    ``quorum_member``: it is one of the machines that the fault tolerance speaks of. ``no_quorum_members``: as far as
    it knows, no member of its epoch is.
    """

    zone: str
    region: str
    quorum_member: bool
    no_quorum_members: bool


@dataclass(frozen=True, slots=True)
class Join:
    """Sent by a spare: a machine that is no witness asks to become one."""

    machine: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Sent by a machine that stops soon: its replica and its vote are to be given to others first."""

    machine: int


@dataclass(frozen=True, slots=True)
class LeaveReply:
    """From the primary of ``epoch``. ``granted``: no record in force needs the leaving machine any more."""

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
