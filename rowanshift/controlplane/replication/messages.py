"""Messages between replicas. ``controlplane/record_kinds.py`` defines their wire layouts.

``epoch`` is the epoch that a message concerns. In replies, ``promised`` is the highest epoch that the sender has
promised; ``ok`` is False if that promise forbids the request.
"""

from __future__ import annotations

import msgspec

from rowanshift.controlplane.replication.records import EpochRecord, StateVersion


class PreVote(msgspec.Struct, frozen=True):
    """Asks whether the receiver would promise this epoch, without changing its state."""

    epoch: int


class PreVoteReply(msgspec.Struct, frozen=True):
    """Reply to PreVote; it is not a promise."""

    epoch: int
    ok: bool


class Prepare(msgspec.Struct, frozen=True):
    """Asks for a promise to ignore all lower epochs (Paxos phase 1a)."""

    epoch: int


class PrepareReply(msgspec.Struct, frozen=True):
    """Reply to Prepare (Paxos phase 1b). ``accepted`` is the last record that the sender accepted."""

    epoch: int
    ok: bool
    promised: int
    accepted: EpochRecord


class Store(msgspec.Struct, frozen=True):
    """Asks to store this state as a version of the epoch."""

    epoch: int
    version: StateVersion
    state: bytes


class StoreDelta(msgspec.Struct, frozen=True):
    """Asks to store the state that results from applying ``delta`` to the state of version ``base``.

    A machine that holds another version doesn't reply, and receives a Store when the proposal is sent again.
    """

    epoch: int
    version: StateVersion
    base: StateVersion
    delta: bytes


class StoreReply(msgspec.Struct, frozen=True):
    """Reply to Store and StoreDelta. ``ok`` means that this version or a later one is on disk."""

    epoch: int
    version: StateVersion
    ok: bool
    promised: int


class Accept(msgspec.Struct, frozen=True):
    """Asks to accept the record of this epoch (Paxos phase 2a)."""

    epoch: int
    record: EpochRecord


class AcceptReply(msgspec.Struct, frozen=True):
    """Reply to Accept (Paxos phase 2b). ``ok`` means that the record is on disk."""

    epoch: int
    ok: bool
    promised: int


class Heartbeat(msgspec.Struct, frozen=True):
    """Sent by the primary in rounds: renews the lease and confirms the reads assigned to round ``serial``."""

    epoch: int
    serial: int
    record: EpochRecord


class HeartbeatReply(msgspec.Struct, frozen=True):
    """Reply to Heartbeat. ``ok`` is False for an epoch below the promise, or if an in-sync machine lacks the state."""

    epoch: int
    serial: int
    ok: bool
    promised: int
    version: StateVersion


class TransferLeadership(msgspec.Struct, frozen=True):
    """Asks the receiver to become a candidate now.

    If the sender is the primary of ``epoch``, it has stepped down and released its lease.
    """

    epoch: int


class RecoveryRequest(msgspec.Struct, frozen=True):
    """Sent by an amnesic machine. ``serial`` distinguishes its replies from those to an earlier incarnation."""

    serial: int


class RecoveryReply(msgspec.Struct, frozen=True):
    """The sender's promise and accepted record, for a machine that lost its disk or asked to join."""

    serial: int
    promised: int
    accepted: EpochRecord
    amnesic: bool


class FailureDomainReport(msgspec.Struct, frozen=True):
    """The sender's zone and region.

    ``quorum_member`` tells whether the fault tolerance covers the sender; ``no_quorum_members``, whether it covers no
    member of the sender's epoch, as far as the sender knows.
    """

    zone: str
    region: str
    quorum_member: bool
    no_quorum_members: bool


class Join(msgspec.Struct, frozen=True):
    """Sent by a spare, a machine that is not a witness, to ask to become one."""

    machine: int


class Leave(msgspec.Struct, frozen=True):
    """Sent by a machine that is about to stop, to ask the primary to replace it as replica and witness first."""

    machine: int


class LeaveReply(msgspec.Struct, frozen=True):
    """Reply to Leave from the primary of ``epoch``. ``granted``: the epoch no longer depends on the leaving machine."""

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
