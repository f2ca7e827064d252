"""Errors that a replica raises to its caller. None of them leaves anything begun."""

from __future__ import annotations

from rowanshift.controlplane.replication.timing import STATE_LIMIT_BYTES


class ReplicationError(Exception):
    """Base class: the replica can't carry out the call, and its state is as it was before."""


class NotPrimary(ReplicationError):
    """The call needs the primary, and this machine is not it. The caller redirects to ``primary_hint`` or tries later.

    ``primary_hint`` is the id of the machine that was primary as far as was heard here lately, or 0.
    """

    def __init__(self, primary_hint: int) -> None:
        known = f"machine {primary_hint} may be" if primary_hint else "no primary is known"
        super().__init__(f"this machine is not the primary; {known}")
        self.primary_hint = primary_hint


class ProposalInProgress(ReplicationError):
    """Another proposal has not ended yet. The caller waits for its outcome: the next state is made from that one."""

    def __init__(self) -> None:
        super().__init__("a proposal is in progress; propose again once it has ended")


class StateTooLarge(ReplicationError):
    """The proposed state exceeds ``STATE_LIMIT_BYTES``. The caller refuses the change that led to it."""

    def __init__(self, size_bytes: int = 0) -> None:
        super().__init__(f"the state is {size_bytes} bytes large, the limit is {STATE_LIMIT_BYTES}")
        self.size_bytes = size_bytes
