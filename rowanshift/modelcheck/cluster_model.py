"""A model of the cluster: machines with their disks, the messages in flight between them, and the model time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_messages import ClientEnvelope, ClientMessage
from rowanshift.modelcheck.errors import InvalidModelEvent, Invariant, InvariantViolation
from rowanshift.modelcheck.file_system import FileSystemModel
from rowanshift.modelcheck.invariants import Invariants, LeaseHolder, StateBytes
from rowanshift.modelcheck.store_model import StoreModel

MACHINE_BITS = (1 << 32) - 1  # mask of an epoch for the id of the machine that chose it
ID_BYTES = 4  # length of a change id in the model's states


class MachineService(Protocol):
    """A service on top of a machine's replica. It lasts as long as the machine's process."""

    outbox: list[ClientEnvelope]

    def on_outcome(self, token: int, succeeded: bool) -> None:
        """Handle the outcome of a proposal or read that was submitted to the replica."""

    def receive(self, client: int, message: ClientMessage) -> None:
        """Accept a client's request."""

    def run(self, is_scheduled: Callable[[], bool]) -> None:
        """Continue each runnable task for which ``is_scheduled`` returns true."""


class Envelope(NamedTuple):
    """A message in flight from one machine to another."""

    sender: int
    recipient: int
    message: replication.Message


class Link(NamedTuple):
    """One direction of the connection between two machines."""

    sender: int
    recipient: int


def fixed_random() -> float:
    """Replaces ``random.random`` in breadth-first search, where the next state must depend on the state alone."""
    return 0.5


@dataclass
class MachineModel:
    """A machine. Its disk survives a crash of its process, its replica doesn't. Times are model time in seconds."""

    replica: replication.Replica | None = None  # None if the process doesn't run
    disk: replication.DurableState | None = None
    pending_save: replication.Save | None = None
    clock_rate: float = 1.0  # seconds of its monotonic clock per second of model time
    clock_offset: float = 0.0  # seconds
    paused_until: float = 0.0
    down_until: float = 0.0
    slow_disk_until: float = 0.0
    removed: bool = False  # permanently
    counts_as_failed: bool = False  # it lost its disk or was removed, and redundancy has not been restored since
    service: MachineService | None = None  # only in walks with clients
    file_system: FileSystemModel | None = None  # the storage below ``disk``, only in walks with changing members
    store: type[StoreModel] = StoreModel  # how the machine writes to its file system

    @property
    def running_replica(self) -> replication.Replica:
        """The replica of a machine whose process runs. Raises ``InvalidModelEvent`` if none does."""
        if self.replica is None:
            raise InvalidModelEvent("the machine has no running replica: its process is down")
        return self.replica

    @property
    def is_primary(self) -> bool:
        """Whether its process runs and regards itself as the primary."""
        return self.replica is not None and self.replica.is_primary

    def persist(self, durable: replication.DurableState) -> None:
        """Write a state to its disk."""
        self.disk = durable
        if self.file_system is not None:
            self.store.write(self.file_system, durable)


@dataclass
class ClusterModel:
    """Machines by id, the messages in flight between them, and the model time, which machines can't read."""

    machines: dict[int, MachineModel]
    max_failures: int
    seeds: tuple[int, ...]
    now: float = 0.0  # seconds
    in_flight: list[Envelope] = field(default_factory=list)
    cut_links: dict[Link, float] = field(default_factory=dict)  # model time at which each cut ends
    last_token: int = 0  # the last one assigned to a proposal or read
    commit_count: int = 0
    epoch_count: int = 0
    last_failure_at: float = -100.0  # time of the last loss of a disk or removal of a machine

    def __post_init__(self) -> None:
        self.invariants = Invariants(replication.EpochRecord(0, 0, self.seeds, self.seeds))

    def clock(self, machine: MachineModel) -> float:
        """The time of a machine's monotonic clock."""
        return machine.clock_offset + machine.clock_rate * self.now

    def new_token(self) -> int:
        """A token that no proposal or read has used."""
        self.last_token += 1
        return self.last_token

    def primaries(self) -> list[int]:
        """The running machines that regard themselves as the primary."""
        return [machine_id for machine_id, machine in self.machines.items() if machine.is_primary]

    def remaining_machines(self) -> list[int]:
        """The machines that have not been removed."""
        return [machine_id for machine_id, machine in self.machines.items() if not machine.removed]

    def newest_record(self) -> replication.EpochRecord:
        """The newest epoch record on any machine, whether in force or only proposed."""
        machines = self.machines.values()
        records = [machine.replica.record for machine in machines if machine.replica is not None]
        records += [machine.disk.accepted for machine in machines if machine.disk is not None and not machine.removed]
        return max(records, key=lambda record: record.epoch, default=replication.NO_RECORD)

    def carry_out_actions(self, machine_id: int) -> None:
        """Check and execute the pending actions of a machine's replica."""
        machine = self.machines[machine_id]
        replica = machine.running_replica
        for action in replica.drain():
            self._carry_out(machine_id, machine, replica, action)
        if replica.is_primary and replica.record.epoch not in self.invariants.epoch_start_states:
            self.epoch_count += 1
            self.invariants.check_new_epoch(replica.record, replica.committed_state, self._accepted_epochs())

    def _carry_out(
        self, machine_id: int, machine: MachineModel, replica: replication.Replica, action: replication.Action
    ) -> None:
        match action:
            case replication.Send(recipient, message):
                self.invariants.check_sent(message, machine.disk)
                if recipient in self.machines and not self.machines[recipient].removed:
                    self.in_flight.append(Envelope(machine_id, recipient, message))
            case replication.Save(_, durable):
                if machine.pending_save is not None:
                    raise InvariantViolation(
                        Invariant.ONE_OUTSTANDING_SAVE, "a save was started while another is outstanding"
                    )
                self.invariants.check_durable_state(durable)
                machine.pending_save = action
            case replication.ProposalCommitted(token):
                self.commit_count += 1
                state = self.invariants.proposed_states[token]
                self.invariants.check_commit(self._committed_version(machine_id, replica, state), state)
                self._notify_service(machine, token, succeeded=True)
            case replication.ReadConfirmed(token):
                self.invariants.check_confirmed_read(token, replica.committed_state)
                self._notify_service(machine, token, succeeded=True)
            case replication.ProposalFailed(token) | replication.ReadFailed(token):
                self._notify_service(machine, token, succeeded=False)

    def _accepted_epochs(self) -> dict[int, int]:
        """The epoch of the record on each machine's disk. A lost disk counts as holding the highest possible epoch."""
        return {
            machine_id: replication.EPOCH_LIMIT
            if machine.counts_as_failed or machine.disk is None
            else machine.disk.accepted.epoch
            for machine_id, machine in self.machines.items()
        }

    def _committed_version(
        self, machine_id: int, replica: replication.Replica, state: StateBytes
    ) -> replication.StateVersion:
        """The version under which a machine has just committed its proposed state."""
        stored_versions = (
            version
            for version, stored_state in reversed(self.invariants.states_by_version.items())
            if stored_state == state and version.epoch & MACHINE_BITS == machine_id
        )
        return max(next(stored_versions), replication.StateVersion(replica.record.epoch, 0))

    @staticmethod
    def _notify_service(machine: MachineModel, token: int, succeeded: bool) -> None:
        """Pass the outcome of a proposal or read to the machine's service, if it has one."""
        if machine.service is not None:
            machine.service.on_outcome(token, succeeded)

    def check_leases(self) -> None:
        """Check that at most one machine holds a valid lease."""
        holders = []
        for machine_id, machine in self.machines.items():
            if machine.replica is not None and machine.replica.is_primary:
                clock = self.clock(machine)
                if machine.replica.lease_until(clock) > clock:
                    holders.append(LeaseHolder(machine.replica.record.epoch, machine_id))
        self.invariants.check_leases(holders)

    def deliver(self, index: int, duplicate: bool = False) -> None:
        """Deliver a message in flight. ``duplicate``: it stays in flight and will be delivered again."""
        envelope = self.in_flight[index] if duplicate else self.in_flight.pop(index)
        machine = self.machines[envelope.recipient]
        machine.running_replica.receive(envelope.sender, envelope.message, self.clock(machine))
        self.carry_out_actions(envelope.recipient)

    def complete_save(self, machine_id: int, succeeded: bool = True) -> None:
        """Complete a machine's outstanding save successfully or with an error."""
        machine = self.machines[machine_id]
        save, machine.pending_save = machine.pending_save, None
        if save is None:
            raise InvalidModelEvent(f"machine {machine_id} has no save outstanding")
        if succeeded:
            machine.persist(save.durable)
            machine.running_replica.saved(save.token, self.clock(machine))
        else:
            machine.running_replica.save_failed(save.token, self.clock(machine))
        self.carry_out_actions(machine_id)

    def tick(self, machine_id: int) -> None:
        """Pass the current time to a machine's replica."""
        machine = self.machines[machine_id]
        machine.running_replica.tick(self.clock(machine))
        self.carry_out_actions(machine_id)

    def tick_all(self) -> None:
        """Pass the current time to every running replica."""
        for machine_id, machine in self.machines.items():
            if machine.replica is not None:
                self.tick(machine_id)

    def crash(self, machine_id: int, save_persisted: bool) -> None:
        """End a machine's process. ``save_persisted``: an outstanding save still reaches the disk."""
        machine = self.machines[machine_id]
        if save_persisted and machine.pending_save is not None:
            machine.persist(machine.pending_save.durable)
        machine.replica = machine.pending_save = machine.service = None

    def lose_disk(self, machine_id: int) -> None:
        """End a machine's process and discard its disk."""
        self.crash(machine_id, save_persisted=False)
        self.machines[machine_id].disk = None

    def propose(self, machine_id: int) -> None:
        """Propose a change at a machine. Does nothing if the replica rejects it."""
        machine = self.machines[machine_id]
        replica = machine.running_replica
        token = self.new_token()
        state = replica.committed_state + token.to_bytes(ID_BYTES, "big")
        try:
            replica.propose(token, state, self.clock(machine))
        except replication.ReplicationError:
            return
        self.invariants.proposed_states[token] = state
        self.carry_out_actions(machine_id)

    def read(self, machine_id: int) -> None:
        """Ask a machine for a confirmed read. Does nothing if the replica rejects it."""
        machine = self.machines[machine_id]
        token = self.new_token()
        self.invariants.pending_reads[token] = self.invariants.longest_commit
        try:
            machine.running_replica.confirm_read(token, self.clock(machine))
        except replication.ReplicationError:
            return
        self.carry_out_actions(machine_id)
