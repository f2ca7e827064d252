"""Errors of the model checker, and the names of the invariants that it checks."""

from __future__ import annotations

from enum import StrEnum


class Invariant(StrEnum):
    """Properties that must hold throughout a run. The values are the names in docs/control-plane.md."""

    COMMITS_ARE_KEPT = "KEPT"
    ONE_STATE_PER_VERSION = "ONE-VALUE"
    PROMISE_COVERS_ACCEPTED_RECORD = "PROMISE"
    SENT_ONLY_ONCE_DURABLE = "DURABLE"
    RECORD_DECIDED_BY_MAJORITIES = "DECIDED"
    READS_ARE_LINEARIZABLE = "READ"
    ONE_LEASE_HOLDER = "ONE-HOLDER"
    LEASE_EPOCHS_INCREASE = "FENCE"
    ONE_OUTSTANDING_SAVE = "SAVE"
    SAVES_SURVIVE_POWER_LOSS = "STORED"
    RELEASED_MACHINE_IS_NOT_IN_SYNC = "RELEASED"
    REDUNDANCY_IS_RESTORED = "REDUNDANCY"
    COMMITS_RESUME = "COMMIT"
    ONE_ACKNOWLEDGED_CHANGE_PER_BASE = "ONE-A-BASE"
    ACKNOWLEDGED_CHANGES_ARE_KEPT = "ACKNOWLEDGED"
    REFUSED_CHANGES_HAVE_NO_EFFECT = "REFUSED"
    CHANGES_APPLY_ONCE = "TAKEN-ONCE"
    ROUTERS_NEVER_GO_BACK = "MONOTONIC"
    POLL_ANSWERS_ARE_COMPLETE = "POLL"
    ROUTERS_ARE_FRESH = "ALIVE_SECONDS"


class ModelCheckError(Exception):
    """Base class of the model checker's errors."""


class InvariantViolation(ModelCheckError):
    """An invariant was violated, by the protocol or by a planted fault. The walk's seed reproduces it."""

    def __init__(self, invariant: Invariant, detail: str) -> None:
        super().__init__(f"{invariant}: {detail}")
        self.invariant, self.detail = invariant, detail


class StartNotReached(ModelCheckError):
    """The start state of a breadth-first search was not reached within `MAX_STEPS`. The start must be revised."""


class InvalidModelEvent(ModelCheckError):
    """An event was requested that is impossible in the current state, such as a delivery to a stopped machine."""
