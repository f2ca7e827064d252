"""A model of the control service on top of a replica: changes in the manner of `ReplicaRunner.change`, and long polls.

It applies the real `put_config` to packed states. All its data is in memory and is lost when the process ends.
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
    ClientEnvelope,
    ClientMessage,
    ConfigChange,
    GetConfig,
    Poll,
    PutConfig,
    Redirect,
    Reply,
    Status,
    Update,
)
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel

CHANGE_LIMIT_SECONDS = 2.5  # time limit of a change, after which its outcome is unknown
LONG_POLL_SECONDS = 1.0


@dataclass
class PendingChange:
    """A ``PUT /config`` that is queued, or waits for its confirmed read or its proposal."""

    operator: int
    change: ConfigChange
    deadline: float  # seconds of the machine's clock
    token: int = 0  # of the read or proposal that it waits for; 0 while it is queued
    proposed: bool = False
    committed_before: bytes = b""  # the longest state committed when its read was requested


@dataclass
class PendingQuery:
    """A ``GET /config`` that waits for its read to be confirmed."""

    operator: int
    token: int
    committed_before: bytes  # the longest state committed when its read was requested


@dataclass
class PendingPoll:
    """A router's long poll that has not been answered yet."""

    router: int
    poll: Poll
    deadline: float  # seconds of the machine's clock


class ControlService:
    """The service of one machine. It lasts as long as the machine's process."""

    def __init__(self, machine_id: int, cluster: ClusterModel, client_invariants: ClientInvariants) -> None:
        self.machine_id, self.cluster, self.client_invariants = machine_id, cluster, client_invariants
        self.outbox: list[ClientEnvelope] = []
        self.current: PendingChange | None = None
        self.queue: deque[PendingChange] = deque()
        self.queries: list[PendingQuery] = []
        self.polls: list[PendingPoll] = []
        self.outcomes: dict[int, bool] = {}  # by token

    @property
    def machine(self) -> MachineModel:
        """The machine on which the service runs."""
        return self.cluster.machines[self.machine_id]

    @property
    def replica(self) -> replication.Replica:
        """The replica that the service uses."""
        return self.machine.running_replica

    @property
    def now(self) -> float:
        """The time of the machine's clock in seconds."""
        return self.cluster.clock(self.machine)

    def on_outcome(self, token: int, succeeded: bool) -> None:
        """Store the outcome of a proposal or read. The task that waits for it continues in a later ``run``."""
        self.outcomes[token] = succeeded

    def receive(self, client: int, message: ClientMessage) -> None:
        """Queue a client's request."""
        match message:
            case PutConfig(change):
                self.queue.append(PendingChange(client, change, self.now + CHANGE_LIMIT_SECONDS))
            case GetConfig():
                token = self._confirm_read()
                if token:
                    self.queries.append(PendingQuery(client, token, self.cluster.invariants.longest_commit))
                else:
                    self._send(client, Reply(Status.UNAVAILABLE))
            case Poll():
                self.polls.append(PendingPoll(client, message, self.now + LONG_POLL_SECONDS))

    def run(self, is_scheduled: Callable[[], bool]) -> None:
        """Continue each runnable task for which ``is_scheduled`` returns true."""
        if self.current is not None and self.current.token in self.outcomes and is_scheduled():
            self._continue(self.current, self.outcomes.pop(self.current.token))
        self._expire_changes()
        while self.current is None and self.queue and is_scheduled():
            self._begin(self.queue.popleft())
        for query in [query for query in self.queries if query.token in self.outcomes and is_scheduled()]:
            self._answer_query(query)
        for pending in [pending for pending in self.polls if is_scheduled()]:
            self._answer_poll(pending)

    def _send(self, client: int, message: ClientMessage) -> None:
        self.outbox.append(ClientEnvelope(self.machine_id, client, message))

    # changes

    def _confirm_read(self) -> int:
        """Request a confirmed read. Returns its token, or 0 if this machine isn't the primary."""
        token = self.cluster.new_token()
        self.cluster.invariants.pending_reads[token] = self.cluster.invariants.longest_commit
        try:
            self.replica.confirm_read(token, self.now)
        except replication.NotPrimary:
            return 0
        self.cluster.carry_out_actions(self.machine_id)
        return token

    def _begin(self, pending: PendingChange) -> None:
        """Request the confirmed read that precedes a change."""
        pending.committed_before = self.cluster.invariants.longest_commit
        pending.token = self._confirm_read()
        if pending.token:
            self.current = pending
        else:
            self._reply(pending, Status.UNAVAILABLE)

    def _continue(self, pending: PendingChange, succeeded: bool) -> None:
        """Continue a change whose read or proposal has ended."""
        if not succeeded:
            self._reply(pending, Status.UNAVAILABLE)
        elif pending.proposed:
            self._reply(pending, Status.ACCEPTED, pending.change.revision)
        else:
            state = self.replica.committed_state
            self.cluster.invariants.check_read(pending.committed_before, state)
            self._decide(pending, state)

    def _decide(self, pending: PendingChange, state: bytes) -> None:
        """Propose a change, reject it, or acknowledge it if it is already in force."""
        try:
            following = self._put(unpack(state), pending.change)
        except OrderTooOld:
            self._reply(pending, Status.UNAVAILABLE)
        except StaleMatch:
            self._reply(pending, Status.PRECONDITION_FAILED)
        except InvalidConfiguration:
            self._reply(pending, Status.INVALID)
        else:
            if following is None:
                self._reply(pending, Status.ACCEPTED, unpack(state).revision)
            else:
                self._propose(pending, state, following.pack())

    def _put(self, state: ControlState, change: ConfigChange) -> ControlState | None:
        """The state with a change applied; ``None`` if it is already in force. Raises the errors of `put_config`."""
        changed = put_config(state, f'"{change.base}"', change.body)
        return None if changed is None else changed[0]

    def _propose(self, pending: PendingChange, base: bytes, state: bytes) -> None:
        pending.token, pending.proposed = self.cluster.new_token(), True
        self.client_invariants.check_proposal(base, pending.change, state)
        self.cluster.invariants.proposed_states[pending.token] = state
        try:
            self.replica.propose(pending.token, state, self.now)
        except replication.ReplicationError:
            self._reply(pending, Status.UNAVAILABLE)
            return
        self.cluster.carry_out_actions(self.machine_id)

    def _expire_changes(self) -> None:
        """Answer the changes that have reached their deadline. A pending proposal is not cancelled."""
        for pending in [*self.queue, *([self.current] if self.current else [])]:
            if self.now >= pending.deadline:
                self._reply(pending, Status.UNAVAILABLE)

    def _reply(self, pending: PendingChange, status: Status, revision: int = 0) -> None:
        if pending is self.current:
            self.current = None
        elif pending in self.queue:
            self.queue.remove(pending)
        self.client_invariants.check_reply(pending.change, status, self.cluster.now)
        self._send(pending.operator, Reply(status, revision))

    # reads and polls

    def _answer_query(self, query: PendingQuery) -> None:
        self.queries.remove(query)
        if not self.outcomes.pop(query.token):
            self._send(query.operator, Reply(Status.UNAVAILABLE))
            return
        state = self.replica.committed_state
        self.cluster.invariants.check_read(query.committed_before, state)
        self._send(query.operator, Reply(Status.ACCEPTED, unpack(state).revision))

    def _holds_lease(self) -> bool:
        return self.replica.is_primary and self.replica.lease_until(self.now) > self.now

    def _published_state(self) -> tuple[replication.StateVersion, bytes]:
        """The version and state that polls are answered with: the committed ones."""
        return self.replica.committed_version, self.replica.committed_state

    def _answer_poll(self, pending: PendingPoll) -> None:
        """Answer a poll if the state differs from the router's, its deadline has come or the lease is lost."""
        if not self._holds_lease():
            self.polls.remove(pending)
            self._send(pending.router, Redirect(pending.poll))
            return
        version, state = self._published_state()
        if state != pending.poll.state or self.now >= pending.deadline:
            self.polls.remove(pending)
            update = Update(pending.poll, version, state)
            self.client_invariants.check_poll_answer(update)
            self._send(pending.router, update)
