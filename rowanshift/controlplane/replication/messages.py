"""Messages between replicas. Wire layouts are bound to their fields in ``controlplane/record_kinds.py``.

In each message ``epoch`` is the epoch that it is about. In replies ``promised`` is the highest epoch that the sender
promised; ``ok`` is False if that forbids what was asked.
"""

from __future__ import annotations

import msgspec

from rowanshift.controlplane.replication.records import EpochRecord, StateVersion


class PreVote(msgspec.Struct, frozen=True):
    """Asks whether the receiver would promise this epoch. It changes nothing there."""

    epoch: int


class PreVoteReply(msgspec.Struct, frozen=True):
    """Answers PreVote; nothing was promised."""

    epoch: int
    ok: bool


class Prepare(msgspec.Struct, frozen=True):
    """Asks for the promise to take part in no lower epoch (Paxos, phase 1)."""

    epoch: int


class PrepareReply(msgspec.Struct, frozen=True):
    """Answers Prepare. ``accepted`` is the last record that the sender accepted."""

    epoch: int
    ok: bool
    promised: int
    accepted: EpochRecord


class Store(msgspec.Struct, frozen=True):
    """Asks to store this state under a version of the epoch."""

    epoch: int
    version: StateVersion
    state: bytes


class StoreDelta(msgspec.Struct, frozen=True):
    """Asks to store the state that ``delta`` makes of the one under ``base``.

    A machine that has another version doesn't answer, and gets a Store when the proposal is sent again.
    """

    epoch: int
    version: StateVersion
    base: StateVersion
    delta: bytes


class StoreReply(msgspec.Struct, frozen=True):
    """Answers Store and StoreDelta. ``ok``: a state of this version or a later one is on disk."""

    epoch: int
    version: StateVersion
    ok: bool
    promised: int


class Accept(msgspec.Struct, frozen=True):
    """Asks to accept the record of this epoch (Paxos, phase 2)."""

    epoch: int
    record: EpochRecord


class AcceptReply(msgspec.Struct, frozen=True):
    """Answers Accept. ``ok``: the record is on disk."""

    epoch: int
    ok: bool
    promised: int


class Heartbeat(msgspec.Struct, frozen=True):
    """Sent by the primary in rounds: it renews the lease, and confirms reads that wait for the round ``serial``."""

    epoch: int
    serial: int
    record: EpochRecord


class HeartbeatReply(msgspec.Struct, frozen=True):
    """Answers Heartbeat. Not ``ok`` below a promise, or where an in-sync machine lacks the state."""

    epoch: int
    serial: int
    ok: bool
    promised: int
    version: StateVersion


class TransferLeadership(msgspec.Struct, frozen=True):
    """Asks the receiver to become a candidate now.

    If its sender is the primary of ``epoch``, it also gives up that epoch and its lease.
    """

    epoch: int


class RecoveryRequest(msgspec.Struct, frozen=True):
    """Sent by an amnesic machine. ``serial`` tells replies to an earlier incarnation apart."""

    serial: int


class RecoveryReply(msgspec.Struct, frozen=True):
    """What a machine has promised and accepted, for one that lost its disk or asked to join."""

    serial: int
    promised: int
    accepted: EpochRecord
    amnesic: bool


class FailureDomainReport(msgspec.Struct, frozen=True):
    """Where the sender is: its zone and region.

    ``quorum_member``: it is one of the machines that the fault tolerance speaks of. ``no_quorum_members``: as far as
    it knows, no member of its epoch is.
    """

    zone: str
    region: str
    quorum_member: bool
    no_quorum_members: bool


class Join(msgspec.Struct, frozen=True):
    """Sent by a spare: a machine that is no witness asks to become one."""

    machine: int


class Leave(msgspec.Struct, frozen=True):
    """Sent by a machine that stops soon: its replica and its vote are to be given to others first."""

    machine: int


class LeaveReply(msgspec.Struct, frozen=True):
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
