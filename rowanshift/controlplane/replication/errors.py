"""Errors that a replica raises to its caller. A call that raises one has no effect."""

from __future__ import annotations

from rowanshift.controlplane.replication.timing import STATE_LIMIT_BYTES


class ReplicationError(Exception):
    """Base class: the replica can't execute the call, and its state is unchanged."""


class NotPrimary(ReplicationError):
    """The call requires the primary. The caller redirects to ``primary_hint`` or retries later.

    ``primary_hint`` is the id of the machine last known here as primary, or 0 if none is known.
    """

    def __init__(self, primary_hint: int) -> None:
        known = f"machine {primary_hint} may be the primary" if primary_hint else "no primary is known"
        super().__init__(f"this machine is not the primary; {known}")
        self.primary_hint = primary_hint


class ProposalInProgress(ReplicationError):
    """Another proposal is in progress. The caller waits for its outcome and derives the next state from the result."""

    def __init__(self) -> None:
        super().__init__("another proposal is in progress; retry once it has completed")


class StateTooLarge(ReplicationError):
    """The proposed state exceeds ``STATE_LIMIT_BYTES``. The caller rejects the change that led to it."""

    def __init__(self, size_bytes: int = 0) -> None:
        super().__init__(f"the proposed state has {size_bytes} bytes, more than the limit of {STATE_LIMIT_BYTES} bytes")
        self.size_bytes = size_bytes
