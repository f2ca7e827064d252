"""Invariants of what the control plane answers to operators and routers."""

from __future__ import annotations

from bisect import bisect_left

from rowanshift.modelcheck.client_messages import CHANGE_ID_BYTES, ConfigChange, Status, Update
from rowanshift.modelcheck.errors import Invariant, InvariantViolation
from rowanshift.modelcheck.invariants import Invariants, StateBytes


def change_ids(history: bytes) -> list[bytes]:
    """The ids of the changes in a history."""
    return [history[at : at + CHANGE_ID_BYTES] for at in range(0, len(history), CHANGE_ID_BYTES)]


class ClientInvariants:
    """Checks of each answer at the moment it is given, whether or not it arrives.

    Every ``check_*`` method raises ``InvariantViolation``.
    """

    def __init__(self, invariants: Invariants) -> None:
        self.invariants = invariants
        self.acknowledged: list[bytes] = []  # ids of changes
        self.acknowledged_at: list[float] = []  # seconds of the model, rising
        self.acknowledged_by_base: dict[int, ConfigChange] = {}
        self.refused: set[bytes] = set()  # ids of changes
        self.in_force: set[bytes] = set()  # ids of the changes in the longest state committed
        self._checked_history = b""

    def check_proposal(self, base: StateBytes, change: ConfigChange, state: StateBytes) -> None:
        """Check a state that is proposed: a base with a change applied to it."""
        history = self.invariants.history(base)
        if change.change_id in change_ids(history):
            raise InvariantViolation(Invariant.CHANGES_APPLY_ONCE, f"{change} is taken a second time")
        self.invariants.histories[state] = history + change.change_id

    def check_new_commits(self) -> None:
        """Check what has been committed since the last call."""
        history = self.invariants.history(self.invariants.longest_commit)
        if history is self._checked_history:
            return
        new = change_ids(history)[len(self.in_force) :]
        self._checked_history = history
        self.in_force.update(new)
        if refused := self.refused.intersection(new):
            raise InvariantViolation(
                Invariant.REFUSED_CHANGES_HAVE_NO_EFFECT, f"{refused} were refused and are in force"
            )
        if not self.in_force.issuperset(self.acknowledged):
            detail = "a change that was acknowledged is in force no more"
            raise InvariantViolation(Invariant.ACKNOWLEDGED_CHANGES_ARE_KEPT, detail)

    def check_reply(self, change: ConfigChange, status: Status, now: float) -> None:
        """Check a machine's answer to a change, given at a time of the model."""
        self.check_new_commits()
        if status is Status.ACCEPTED:
            self._acknowledge(change, now)
        elif status in (Status.PRECONDITION_FAILED, Status.INVALID):
            if change.change_id in self.in_force:
                detail = f"{change} is in force and is answered {status.value}"
                raise InvariantViolation(Invariant.REFUSED_CHANGES_HAVE_NO_EFFECT, detail)
            self.refused.add(change.change_id)

    def _acknowledge(self, change: ConfigChange, now: float) -> None:
        if change.change_id not in self.in_force:
            detail = f"{change} is acknowledged and not in force"
            raise InvariantViolation(Invariant.ACKNOWLEDGED_CHANGES_ARE_KEPT, detail)
        if self.acknowledged_by_base.setdefault(change.base, change) != change:
            detail = f"{change} and {self.acknowledged_by_base[change.base]}"
            raise InvariantViolation(Invariant.ONE_ACKNOWLEDGED_CHANGE_PER_BASE, detail)
        if change.change_id not in self.acknowledged:
            self.acknowledged.append(change.change_id)
            self.acknowledged_at.append(now)

    def check_poll_answer(self, update: Update) -> None:
        """Check that a poll's answer contains all that was acknowledged before the poll was asked."""
        if (missing := self._missing(update.state, update.poll.asked_at)) is not None:
            raise InvariantViolation(Invariant.POLL_ANSWERS_ARE_COMPLETE, f"an answer {missing}")

    def check_freshness(self, state: StateBytes, as_of: float) -> None:
        """Check a state that a router counts as fresh as of a time."""
        if (missing := self._missing(state, as_of)) is not None:
            raise InvariantViolation(Invariant.ROUTERS_ARE_FRESH, f"a router {missing}")

    def check_router_update(self, before: StateBytes, state: StateBytes) -> None:
        """Check a state that a router applies in place of another."""
        if not self.invariants.builds_on(state, before):
            raise InvariantViolation(Invariant.ROUTERS_NEVER_GO_BACK, "a router went back")

    def _missing(self, state: StateBytes, as_of: float) -> str | None:
        """A text on a state that lacks a change acknowledged before a time; ``None`` if it lacks none."""
        required = self.acknowledged[: bisect_left(self.acknowledged_at, as_of)]
        if set(change_ids(self.invariants.history(state))).issuperset(required):
            return None
        return f"lacks what was acknowledged before {as_of:.3f} s"
