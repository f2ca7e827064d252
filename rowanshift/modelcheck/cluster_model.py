"""Machines, their disks, the messages in flight between them, and the clock that only the checker sees."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from rowanshift.controlplane import replication
from rowanshift.modelcheck.file_system import FileSystemModel, StoreModel
from rowanshift.modelcheck.invariants import ControlState, Invariants, InvariantViolation

MACHINE_BITS = (1 << 32) - 1  # of an epoch number: the machine that chose it


class Service(Protocol):
    """What runs on a machine on top of its replica."""

    def outcome(self, token: int, succeeded: bool) -> None:
        """A change or a read that was asked of the replica has ended."""


def fixed_random() -> float:
    """No draw: for breadth-first search, where all that happens must follow from the state."""
    return 0.5


@dataclass
class MachineModel:
    """A machine: its disk survives a crash, its Replica doesn't."""

    replica: replication.Replica | None
    disk: replication.DurableState | None = None
    pending_save: replication.Save | None = None
    rate: float = 1.0  # of its steady clock
    offset: float = 0.0  # seconds
    paused_until: float = 0.0  # seconds of the world
    down_until: float = 0.0
    slow_until: float = 0.0  # saves land seldom
    ready: bool = True
    gone: bool = False
    lost: bool = False  # its disk, and not yet made good
    service: Service | None = None  # what runs on top of the replica, if the walk has clients
    files: FileSystemModel | None = None  # what its disk is made of, if the walk has files
    store: type[StoreModel] = StoreModel  # how it keeps what is saved in them


@dataclass
class ClusterModel:
    """Machines, what is in flight between them, and the clock that only the checker sees."""

    machines: dict[int, MachineModel]
    max_failures: int
    seeds: tuple[int, ...]
    now: float = 0.0  # seconds
    in_flight: list[tuple[int, int, replication.Message]] = field(default_factory=list)
    cuts: dict[tuple[int, int], float] = field(default_factory=dict)  # (from, to) -> until when
    last_token: int = 0
    commit_count: int = 0
    lost_at: float = -100.0
    epoch_count: int = 0

    def __post_init__(self) -> None:
        self.invariants = Invariants(replication.EpochRecord(0, 0, self.seeds, self.seeds))

    def clock(self, machine: MachineModel) -> float:
        """A machine's steady clock."""
        return machine.offset + machine.rate * self.now

    def newest_record(self) -> replication.EpochRecord:
        """The newest record in force or on its way, as a machine that is up would see it."""
        records = [h.replica.record for h in self.machines.values() if h.replica is not None]
        records += [h.disk.accepted for h in self.machines.values() if h.disk is not None and not h.gone]
        return max(records, key=lambda record: record.number, default=replication.NO_RECORD)

    def carry_out_actions(self, machine_id: int) -> None:
        """Take what machine `me` has decided, and check it."""
        machine = self.machines[machine_id]
        replica = machine.replica
        for action in replica.drain():
            match action:
                case replication.Send(to, message):
                    self.invariants.sent(message, machine.disk)
                    if to in self.machines and not self.machines[to].gone:
                        self.in_flight.append((machine_id, to, message))
                case replication.Save(_, durable):
                    if machine.pending_save is not None:
                        raise InvariantViolation("SAVE: two are outstanding")
                    self.invariants.durable(durable)
                    machine.pending_save = action
                case replication.Committed(token):
                    self.commit_count += 1
                    state = self.invariants.proposed_states[token]
                    self.invariants.check_commit(self.version_committed(machine_id, state), state)
                    self.notify_service(machine, token, True)
                case replication.ReadConfirmed(token):
                    self.invariants.read(token, replica.committed_state)
                    self.notify_service(machine, token, True)
                case replication.Failed(token) | replication.ReadFailed(token):
                    self.notify_service(machine, token, False)
        if replica.is_primary and replica.record.number not in self.invariants.epochs:
            self.epoch_count += 1
            accepted = {
                m: replication.NUMBER_LIMIT if h.lost or h.disk is None else h.disk.accepted.number
                for m, h in self.machines.items()
            }
            self.invariants.office(replica.record, replica.committed_state, accepted)

    def version_committed(self, machine_id: int, state: ControlState) -> replication.StateVersion:
        """The version under which machine ``me`` has just committed a state it proposed."""
        stored = (
            version
            for version, value in reversed(self.invariants.values.items())
            if value == state and version.epoch & MACHINE_BITS == machine_id
        )
        return max(next(stored), replication.StateVersion(self.machines[machine_id].replica.record.number, 0))

    @staticmethod
    def notify_service(machine: MachineModel, token: int, succeeded: bool) -> None:
        """Pass an outcome to what asked for it, if that is more than the walk itself."""
        if machine.service is not None:
            machine.service.outcome(token, succeeded)

    def check_leases(self) -> None:
        """At most one valid lease is held."""
        holders = []
        for machine_id, machine in self.machines.items():
            if machine.replica is not None and machine.replica.is_primary:
                clock = self.clock(machine)
                if machine.replica.lease_until(clock) > clock:
                    holders.append((machine.replica.record.number, machine_id))
        self.invariants.leases(holders)

    def deliver(self, index: int, keep: bool = False) -> None:
        """A message in flight arrives; ``keep``: it will come once more."""
        sender, to, message = self.in_flight[index] if keep else self.in_flight.pop(index)
        machine = self.machines[to]
        machine.replica.receive(sender, message, self.clock(machine))
        self.carry_out_actions(to)

    def complete_save(self, machine_id: int, succeeded: bool = True) -> None:
        """A machine's save ends, on disk or refused."""
        machine = self.machines[machine_id]
        pending_save, machine.pending_save = machine.pending_save, None
        if succeeded:
            self.persist(machine, pending_save.durable)
            machine.replica.saved(pending_save.token, self.clock(machine))
        else:
            machine.replica.save_failed(pending_save.token, self.clock(machine))
        self.carry_out_actions(machine_id)

    def tick(self, machine_id: int) -> None:
        """A machine notices the time."""
        machine = self.machines[machine_id]
        machine.replica.tick(self.clock(machine))
        self.carry_out_actions(machine_id)

    def crash(self, machine_id: int, save_persisted: bool) -> None:
        """The process or the power goes; an outstanding save has landed or not."""
        machine = self.machines[machine_id]
        if save_persisted and machine.pending_save is not None:
            self.persist(machine, machine.pending_save.durable)
        machine.replica = machine.pending_save = machine.service = None

    @staticmethod
    def persist(machine: MachineModel, durable: replication.DurableState) -> None:
        """A save is on disk."""
        machine.disk = durable
        if machine.files is not None:
            machine.store.write(machine.files, durable)

    def propose(self, machine_id: int) -> None:
        """A machine is asked for a change."""
        machine = self.machines[machine_id]
        self.last_token += 1
        token = self.last_token
        state = machine.replica.committed_state + token.to_bytes(4, "big")
        try:
            machine.replica.propose(token, state, self.clock(machine))
        except replication.ReplicationError:
            return
        self.invariants.proposed_states[token] = state
        self.carry_out_actions(machine_id)

    def read(self, machine_id: int) -> None:
        """A machine is asked for a read."""
        machine = self.machines[machine_id]
        self.last_token += 1
        self.invariants.reads[self.last_token] = self.invariants.longest
        try:
            machine.replica.confirm_read(self.last_token, self.clock(machine))
        except replication.ReplicationError:
            return
        self.carry_out_actions(machine_id)
