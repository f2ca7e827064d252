"""What operators and routers may rely on."""

from __future__ import annotations

from bisect import bisect_left

from rowanshift.modelcheck.client_messages import ConfigChange, Status, Update
from rowanshift.modelcheck.invariants import ControlState, Invariants, InvariantViolation

KEY_BYTES = 4


def keys(history: bytes) -> list[bytes]:
    """The orders in a history."""
    return [history[at : at + KEY_BYTES] for at in range(0, len(history), KEY_BYTES)]


class ClientInvariants:
    """Checked at each answer, at the moment it is given, whether or not it arrives."""

    def __init__(self, invariants: Invariants) -> None:
        self.invariants = invariants
        self.acknowledged: list[bytes] = []
        self.acknowledged_at: list[float] = []  # seconds of the world, rising
        self.acknowledged_on: dict[int, ConfigChange] = {}  # base -> the order acknowledged on it
        self.refused: set[bytes] = set()
        self.in_force: set[bytes] = set()  # orders in the longest state committed
        self._seen = b""

    def check_proposal(self, base: ControlState, order: ConfigChange, state: ControlState) -> None:
        """A state with the order taken is proposed."""
        history = self.invariants.history(base)
        if order.key in keys(history):
            raise InvariantViolation(f"TAKEN-ONCE: {order} is taken a second time")
        self.invariants.lineage[state] = history + order.key

    def look(self) -> None:
        """Look at what has been committed since."""
        history = self.invariants.history(self.invariants.longest)
        if history is self._seen:
            return
        new = keys(history)[len(self.in_force) :]
        self._seen = history
        self.in_force.update(new)
        if refused := self.refused.intersection(new):
            raise InvariantViolation(f"REFUSED: {refused} were refused and are in force")
        if not self.in_force.issuperset(self.acknowledged):
            raise InvariantViolation("ACKNOWLEDGED: an order that was acknowledged is in force no more")

    def replied(self, order: ConfigChange, status: Status, now: float) -> None:
        """A machine gives an order's answer."""
        self.look()
        if status is Status.ACCEPTED:
            self._acknowledge(order, now)
        elif status in (Status.PRECONDITION_FAILED, Status.INVALID):
            if order.key in self.in_force:
                raise InvariantViolation(f"REFUSED: {order} is in force and is answered {status.value}")
            self.refused.add(order.key)

    def _acknowledge(self, order: ConfigChange, now: float) -> None:
        if order.key not in self.in_force:
            raise InvariantViolation(f"ACKNOWLEDGED: {order} is acknowledged and not in force")
        if self.acknowledged_on.setdefault(order.base, order) != order:
            raise InvariantViolation(f"ONE-A-BASE: {order} and {self.acknowledged_on[order.base]}")
        if order.key not in self.acknowledged:
            self.acknowledged.append(order.key)
            self.acknowledged_at.append(now)

    def answered(self, update: Update) -> None:
        """A machine answers a poll: all that was acknowledged before it was asked must be in the answer."""
        self._holds_all(update.state, update.poll.asked, "POLL: an answer")

    def counted_fresh(self, state: ControlState, as_of: float) -> None:
        """A router counts what it has as fresh as of a time."""
        self._holds_all(state, as_of, "FRESH: a router")

    def taken(self, before: ControlState, state: ControlState) -> None:
        """A router takes a state in place of another."""
        if not self.invariants.builds_on(state, before):
            raise InvariantViolation("MONOTONIC: a router went back")

    def _holds_all(self, state: ControlState, as_of: float, who: str) -> None:
        before = self.acknowledged[: bisect_left(self.acknowledged_at, as_of)]
        if not set(keys(self.invariants.history(state))).issuperset(before):
            raise InvariantViolation(f"{who} lacks what was acknowledged before {as_of:.3f} s")
