"""Actions: what a replica wants its caller to carry out, in the order in which ``Replica.drain`` returns them."""

from __future__ import annotations

from dataclasses import dataclass

from rowanshift.controlplane.replication.messages import Message
from rowanshift.controlplane.replication.records import DurableState


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another machine. It may be lost, duplicated or delayed."""

    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class Save:
    """Write this to disk in one step and sync it, then call ``saved`` or ``save_failed`` with the token."""

    token: int
    durable: DurableState


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """The proposed state is on the disks of all in-sync machines."""

    token: int


@dataclass(frozen=True, slots=True)
class ProposalFailed:
    """Leadership was lost before the proposal ended. Its outcome is unknown: it may be committed later or never."""

    token: int


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """``committed_state`` holds, as of now, every change that was committed anywhere when the read was requested."""

    token: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The in-sync machines did not confirm in time that this machine is the primary."""

    token: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """This machine has become primary, or is no longer primary."""

    primary: bool


Action = Send | Save | ProposalCommitted | ProposalFailed | ReadConfirmed | ReadFailed | RoleChanged
