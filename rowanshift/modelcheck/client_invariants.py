"""Invariants of the control plane's answers to operators and routers."""

from __future__ import annotations

from bisect import bisect_left

from rowanshift.modelcheck.client_messages import CHANGE_ID_BYTES, ConfigChange, Status, Update
from rowanshift.modelcheck.errors import Invariant, InvariantViolation
from rowanshift.modelcheck.invariants import Invariants, StateBytes


def change_ids(history: bytes) -> list[bytes]:
    """The ids of the changes in a history."""
    return [history[at : at + CHANGE_ID_BYTES] for at in range(0, len(history), CHANGE_ID_BYTES)]


class ClientInvariants:
    """Checks each answer at the moment it is sent, whether or not it arrives.

    Every ``check_*`` method raises ``InvariantViolation``.
    """

    def __init__(self, invariants: Invariants) -> None:
        self.invariants = invariants
        self.acknowledged: list[bytes] = []  # change ids, in the order of acknowledgement
        self.acknowledged_at: list[float] = []  # model time in seconds, ascending
        self.acknowledged_by_base: dict[int, ConfigChange] = {}
        self.refused: set[bytes] = set()  # change ids
        self.in_force: set[bytes] = set()  # ids of the changes in the longest committed state
        self._checked_history = b""

    def check_proposal(self, base: StateBytes, change: ConfigChange, state: StateBytes) -> None:
        """Check a proposed state, which is ``base`` with ``change`` applied to it."""
        history = self.invariants.history(base)
        if change.change_id in change_ids(history):
            raise InvariantViolation(Invariant.CHANGES_APPLY_ONCE, f"{change} is applied a second time")
        self.invariants.histories[state] = history + change.change_id

    def check_new_commits(self) -> None:
        """Check the changes that have been committed since the last call."""
        history = self.invariants.history(self.invariants.longest_commit)
        if history is self._checked_history:
            return
        new = change_ids(history)[len(self.in_force) :]
        self._checked_history = history
        self.in_force.update(new)
        if refused := self.refused.intersection(new):
            raise InvariantViolation(
                Invariant.REFUSED_CHANGES_HAVE_NO_EFFECT, f"changes {refused} are in force although they were refused"
            )
        if not self.in_force.issuperset(self.acknowledged):
            detail = "an acknowledged change is no longer in force"
            raise InvariantViolation(Invariant.ACKNOWLEDGED_CHANGES_ARE_KEPT, detail)

    def check_reply(self, change: ConfigChange, status: Status, now: float) -> None:
        """Check a machine's answer to a change; ``now`` is the model time."""
        self.check_new_commits()
        if status is Status.ACCEPTED:
            self._acknowledge(change, now)
        elif status in (Status.PRECONDITION_FAILED, Status.INVALID):
            if change.change_id in self.in_force:
                detail = f"{change} is in force but was answered {status.value}"
                raise InvariantViolation(Invariant.REFUSED_CHANGES_HAVE_NO_EFFECT, detail)
            self.refused.add(change.change_id)

    def _acknowledge(self, change: ConfigChange, now: float) -> None:
        if change.change_id not in self.in_force:
            detail = f"{change} is acknowledged but not in force"
            raise InvariantViolation(Invariant.ACKNOWLEDGED_CHANGES_ARE_KEPT, detail)
        if self.acknowledged_by_base.setdefault(change.base, change) != change:
            detail = f"both {change} and {self.acknowledged_by_base[change.base]} are acknowledged"
            raise InvariantViolation(Invariant.ONE_ACKNOWLEDGED_CHANGE_PER_BASE, detail)
        if change.change_id not in self.acknowledged:
            self.acknowledged.append(change.change_id)
            self.acknowledged_at.append(now)

    def check_poll_answer(self, update: Update) -> None:
        """Check that a poll's answer contains every change acknowledged before the poll was sent."""
        if (missing := self._describe_missing_changes(update.state, update.poll.asked_at)) is not None:
            raise InvariantViolation(Invariant.POLL_ANSWERS_ARE_COMPLETE, f"the answer to a poll {missing}")

    def check_freshness(self, state: StateBytes, as_of: float) -> None:
        """Check a state that a router regards as up to date as of a time."""
        if (missing := self._describe_missing_changes(state, as_of)) is not None:
            raise InvariantViolation(Invariant.ROUTERS_ARE_FRESH, f"a router {missing}")

    def check_router_update(self, before: StateBytes, state: StateBytes) -> None:
        """Check a state that replaces another one at a router."""
        if not self.invariants.builds_on(state, before):
            raise InvariantViolation(
                Invariant.ROUTERS_NEVER_GO_BACK, "a router applied a state that lacks changes of its previous state"
            )

    def _describe_missing_changes(self, state: StateBytes, as_of: float) -> str | None:
        """Describe that a state lacks changes acknowledged before a time; ``None`` if it contains them all."""
        required = self.acknowledged[: bisect_left(self.acknowledged_at, as_of)]
        if set(change_ids(self.invariants.history(state))).issuperset(required):
            return None
        return f"lacks changes acknowledged before {as_of:.3f} s"
