"""Actions: operations that a replica asks its caller to execute, in the order that ``Replica.drain`` returns."""

from __future__ import annotations

import msgspec

from rowanshift.controlplane.replication.messages import Message
from rowanshift.controlplane.replication.records import DurableState


class Send(msgspec.Struct, frozen=True):
    """Send a message to another machine. It may be lost, duplicated or delayed."""

    to: int
    message: Message


class Save(msgspec.Struct, frozen=True):
    """Write the durable state to disk atomically and sync it, then call ``saved`` or ``save_failed`` with the token."""

    token: int
    durable: DurableState


class ProposalCommitted(msgspec.Struct, frozen=True):
    """The proposed state is on the disks of all in-sync machines."""

    token: int


class ProposalFailed(msgspec.Struct, frozen=True):
    """Leadership was lost before the proposal completed. Its outcome is unknown: it may still be committed."""

    token: int


class ReadConfirmed(msgspec.Struct, frozen=True):
    """The read is linearizable: ``committed_state`` now includes every change committed before it was requested."""

    token: int


class ReadFailed(msgspec.Struct, frozen=True):
    """The in-sync machines did not confirm within the read timeout that this machine is the primary."""

    token: int


class RoleChanged(msgspec.Struct, frozen=True):
    """This machine has become primary, or is no longer primary."""

    primary: bool


Action = Send | Save | ProposalCommitted | ProposalFailed | ReadConfirmed | ReadFailed | RoleChanged
