"""The service on top of a replica: changes as `ReplicaRunner.change` makes them, polls as the control plane answers.

The real `put_config` works on packed states. All of it is lost when the process ends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rowanshift.controlplane import replication
from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import ControlState, unpack
from rowanshift.controlplane.errors import InvalidConfiguration, OrderTooOld, StaleMatch
from rowanshift.modelcheck.client_invariants import ClientInvariants
from rowanshift.modelcheck.client_messages import (
    ClientMessage,
    ConfigChange,
    GetConfig,
    Poll,
    PutConfig,
    Redirect,
    Reply,
    Status,
    Update,
    Version,
)
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel

CHANGE_LIMIT = 2.5  # seconds for a change, of which nobody knows the outcome afterwards
POLL_HELD = 1.0  # seconds that a poll is held


@dataclass
class Change:
    """A ``PUT /config`` that waits for its turn, for a confirmed read, or for its proposal."""

    operator: int
    order: ConfigChange
    deadline: float  # seconds of the machine's clock
    token: int = 0  # of what it waits for; 0: its turn
    proposed: bool = False
    committed_before: bytes = b""  # the longest state committed when its read was asked


@dataclass
class Query:
    """A ``GET /config`` that waits for its read to be confirmed."""

    operator: int
    token: int
    committed_before: bytes


@dataclass
class HeldPoll:
    """A router's question that waits for an answer."""

    router: int
    poll: Poll
    until: float  # seconds of the machine's clock


class ControlService:
    """One machine's service, as long as its process lives."""

    def __init__(self, machine_id: int, cluster: ClusterModel, invariants: ClientInvariants) -> None:
        self.machine_id, self.cluster, self.invariants = machine_id, cluster, invariants
        self.outbox: list[tuple[int, ClientMessage]] = []
        self.change: Change | None = None  # whose turn it is
        self.queue: deque[Change] = deque()
        self.queries: list[Query] = []
        self.polls: list[HeldPoll] = []
        self.outcomes: dict[int, bool] = {}

    @property
    def machine(self) -> MachineModel:
        """The machine."""
        return self.cluster.machines[self.machine_id]

    @property
    def replica(self) -> replication.Replica:
        """The replica below."""
        return self.machine.replica

    @property
    def now(self) -> float:
        """Seconds of the machine's clock."""
        return self.cluster.clock(self.machine)

    def outcome(self, token: int, succeeded: bool) -> None:
        """Note an outcome; who waits for it goes on some time later."""
        self.outcomes[token] = succeeded

    def receive(self, client: int, message: ClientMessage) -> None:
        """A client's question has come."""
        match message:
            case PutConfig(order):
                self.queue.append(Change(client, order, self.now + CHANGE_LIMIT))
            case GetConfig():
                token = self._confirm_read()
                if token:
                    self.queries.append(Query(client, token, self.cluster.invariants.longest))
                else:
                    self.outbox.append((client, Reply(Status.UNAVAILABLE)))
            case Poll():
                self.polls.append(HeldPoll(client, message, self.now + POLL_HELD))

    def run(self, wakes: Callable[[], bool]) -> None:
        """Whoever can go on does so, if it ``wakes``."""
        if self.change is not None and self.change.token in self.outcomes and wakes():
            self._go_on(self.change, self.outcomes.pop(self.change.token))
        self._end_late_changes()
        while self.change is None and self.queue and wakes():
            self._begin(self.queue.popleft())
        for query in [query for query in self.queries if query.token in self.outcomes and wakes()]:
            self._answer_query(query)
        for held in [held for held in self.polls if wakes()]:
            self._answer_poll(held)

    # changes

    def _new_token(self) -> int:
        self.cluster.last_token += 1
        return self.cluster.last_token

    def _confirm_read(self) -> int:
        """Ask for a confirmed read; its token, or 0 if this machine isn't the primary."""
        token = self._new_token()
        self.cluster.invariants.reads[token] = self.cluster.invariants.longest
        try:
            self.replica.confirm_read(token, self.now)
        except replication.NotPrimary:
            return 0
        self.cluster.carry_out_actions(self.machine_id)
        return token

    def _begin(self, change: Change) -> None:
        """A change has its turn."""
        change.committed_before = self.cluster.invariants.longest
        change.token = self._confirm_read()
        if change.token:
            self.change = change
        else:
            self._reply(change, Status.UNAVAILABLE)

    def _go_on(self, change: Change, succeeded: bool) -> None:
        """What a change has waited for has ended."""
        if not succeeded:
            self._reply(change, Status.UNAVAILABLE)
        elif change.proposed:
            self._reply(change, Status.ACCEPTED, change.order.revision)
        else:
            state = self.replica.committed_state
            self.cluster.invariants.read_given(change.committed_before, state)
            self._decide(change, state)

    def _decide(self, change: Change, state: bytes) -> None:
        """Take the order in, refuse it, or find that it was taken."""
        try:
            following = self._put(unpack(state), change.order)
        except OrderTooOld:
            self._reply(change, Status.UNAVAILABLE)
        except StaleMatch:
            self._reply(change, Status.PRECONDITION_FAILED)
        except InvalidConfiguration:
            self._reply(change, Status.INVALID)
        else:
            if following is None:
                self._reply(change, Status.ACCEPTED, unpack(state).revision)
            else:
                self._propose(change, state, following.pack())

    def _put(self, state: ControlState, order: ConfigChange) -> ControlState | None:
        changed = put_config(state, f'"{order.base}"', order.body)
        return None if changed is None else changed[0]

    def _propose(self, change: Change, base: bytes, state: bytes) -> None:
        change.token, change.proposed = self._new_token(), True
        self.invariants.check_proposal(base, change.order, state)
        self.cluster.invariants.proposed_states[change.token] = state
        try:
            self.replica.propose(change.token, state, self.now)
        except replication.ReplicationError:
            self._reply(change, Status.UNAVAILABLE)
            return
        self.cluster.carry_out_actions(self.machine_id)

    def _end_late_changes(self) -> None:
        """Nobody waits longer than the limit; a proposal under way goes on all the same."""
        for change in [*self.queue, *([self.change] if self.change else [])]:
            if self.now >= change.deadline:
                self._reply(change, Status.UNAVAILABLE)

    def _reply(self, change: Change, status: Status, revision: int = 0) -> None:
        if change is self.change:
            self.change = None
        elif change in self.queue:
            self.queue.remove(change)
        self.invariants.replied(change.order, status, self.cluster.now)
        self.outbox.append((change.operator, Reply(status, revision)))

    def _answer_query(self, query: Query) -> None:
        self.queries.remove(query)
        if not self.outcomes.pop(query.token):
            self.outbox.append((query.operator, Reply(Status.UNAVAILABLE)))
            return
        state = self.replica.committed_state
        self.cluster.invariants.read_given(query.committed_before, state)
        self.outbox.append((query.operator, Reply(Status.ACCEPTED, unpack(state).revision)))

    # polls

    def _holds_lease(self) -> bool:
        return self.replica.is_primary and self.replica.lease_until(self.now) > self.now

    def _state_to_tell(self) -> tuple[Version, bytes]:
        """The committed state and its version."""
        version = self.replica.committed_version
        return (version.epoch, version.sequence), self.replica.committed_state

    def _answer_poll(self, held: HeldPoll) -> None:
        """Answer a poll that is held, if there is news or it is time."""
        if not self._holds_lease():
            self.polls.remove(held)
            self.outbox.append((held.router, Redirect(held.poll)))
            return
        version, state = self._state_to_tell()
        if state != held.poll.state or self.now >= held.until:
            self.polls.remove(held)
            update = Update(held.poll, version, state)
            self.invariants.answered(update)
            self.outbox.append((held.router, update))
