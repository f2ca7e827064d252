"""Actions: what a replica wants its caller to carry out, in the order in which ``Replica.drain`` returns them."""

from __future__ import annotations

import msgspec

from rowanshift.controlplane.replication.messages import Message
from rowanshift.controlplane.replication.records import DurableState


class Send(msgspec.Struct, frozen=True):
    """Send a message to another machine. It may be lost, duplicated or delayed."""

    to: int
    message: Message


class Save(msgspec.Struct, frozen=True):
    """Write this to disk in one step and sync it, then call ``saved`` or ``save_failed`` with the token."""

    token: int
    durable: DurableState


class ProposalCommitted(msgspec.Struct, frozen=True):
    """The proposed state is on the disks of all in-sync machines."""

    token: int


class ProposalFailed(msgspec.Struct, frozen=True):
    """Leadership was lost before the proposal ended. Its outcome is unknown: it may be committed later or never."""

    token: int


class ReadConfirmed(msgspec.Struct, frozen=True):
    """``committed_state`` holds, as of now, every change that was committed anywhere when the read was requested."""

    token: int


class ReadFailed(msgspec.Struct, frozen=True):
    """The in-sync machines did not confirm in time that this machine is the primary."""

    token: int


class RoleChanged(msgspec.Struct, frozen=True):
    """This machine has become primary, or is no longer primary."""

    primary: bool


Action = Send | Save | ProposalCommitted | ProposalFailed | ReadConfirmed | ReadFailed | RoleChanged
