"""What a replica wants done by its host, and the errors it raises."""

from __future__ import annotations

from dataclasses import dataclass

from rowanshift.controlplane.replication.messages import DurableState, Message


class ReplicationError(Exception):
    """The replica can't do what was asked of it."""


class NotPrimary(ReplicationError):
    """Asked of a machine that is not primary. Nothing was begun; ``hint`` is the primary's address or 0."""

    def __init__(self, hint: int) -> None:
        super().__init__(f"not primary; hint {hint}")
        self.hint = hint


class ProposalInProgress(ReplicationError):
    """A proposal is under way: the caller proposes one at a time, each made from ``committed_state``."""


class StateTooLarge(ReplicationError):
    """The state is over STATE_LIMIT_BYTES bytes."""


@dataclass(frozen=True, slots=True)
class Send:
    """Carry a message to another machine; it may be lost, doubled or late."""

    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class Save:
    """Write this to disk, whole and synced, then call ``saved`` (or ``save_failed``) with the token."""

    token: int
    durable: DurableState


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """The proposal is on the disks of all in-sync machines."""

    token: int


@dataclass(frozen=True, slots=True)
class ProposalFailed:
    """Leadership was lost while the proposal was under way: it may or may not be in force later."""

    token: int


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """``committed_state`` as it is now holds whatever had been committed anywhere when the read was asked."""

    token: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Nobody could confirm in time that this machine is the primary."""

    token: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """This machine has become primary, or is so no longer."""

    primary: bool


Action = Send | Save | ProposalCommitted | ProposalFailed | ReadConfirmed | ReadFailed | RoleChanged
