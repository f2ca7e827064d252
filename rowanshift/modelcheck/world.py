"""Machines, their disks, the messages in flight between them, and the clock that only the checker sees."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.files import FileSystem, StoreModel
from rowanshift.modelcheck.invariants import ControlState, Invariants, InvariantViolation

MACHINE_BITS = (1 << 32) - 1  # of an epoch number: the machine that chose it


class Service(Protocol):
    """What runs on a machine on top of its replica."""

    def outcome(self, token: int, succeeded: bool) -> None:
        """A change or a read that was asked of the replica has ended."""


def half() -> float:
    """No draw: for breadth-first search, where all that happens must follow from the state."""
    return 0.5


@dataclass
class Host:
    """A machine: its disk survives a crash, its Replica doesn't."""

    replica: p.Replica | None
    disk: p.DurableState | None = None
    save: p.Save | None = None
    rate: float = 1.0  # of its steady clock
    offset: float = 0.0  # seconds
    paused_until: float = 0.0  # seconds of the world
    down_until: float = 0.0
    slow_until: float = 0.0  # saves land seldom
    ready: bool = True
    gone: bool = False
    lost: bool = False  # its disk, and not yet made good
    service: Service | None = None  # what runs on top of the replica, if the walk has clients
    files: FileSystem | None = None  # what its disk is made of, if the walk has files
    store: type[StoreModel] = StoreModel  # how it keeps what is saved in them


@dataclass
class World:
    """Machines, what is in flight between them, and the clock that only the checker sees."""

    hosts: dict[int, Host]
    f: int
    seeds: tuple[int, ...]
    now: float = 0.0  # seconds
    net: list[tuple[int, int, p.Message]] = field(default_factory=list)
    cuts: dict[tuple[int, int], float] = field(default_factory=dict)  # (from, to) -> until when
    tokens: int = 0
    committed: int = 0
    lost_at: float = -100.0
    epochs: int = 0

    def __post_init__(self) -> None:
        self.checks = Invariants(p.EpochRecord(0, 0, self.seeds, self.seeds))

    def clock(self, host: Host) -> float:
        """A machine's steady clock."""
        return host.offset + host.rate * self.now

    def highest(self) -> p.EpochRecord:
        """The newest record in force or on its way, as a machine that is up would see it."""
        records = [h.replica.record for h in self.hosts.values() if h.replica is not None]
        records += [h.disk.accepted for h in self.hosts.values() if h.disk is not None and not h.gone]
        return max(records, key=lambda record: record.number, default=p.NO_RECORD)

    def collect(self, me: int) -> None:
        """Take what machine `me` has decided, and check it."""
        host = self.hosts[me]
        replica = host.replica
        for action in replica.drain():
            match action:
                case p.Send(to, message):
                    self.checks.sent(message, host.disk)
                    if to in self.hosts and not self.hosts[to].gone:
                        self.net.append((me, to, message))
                case p.Save(_, durable):
                    if host.save is not None:
                        raise InvariantViolation("SAVE: two are outstanding")
                    self.checks.durable(durable)
                    host.save = action
                case p.Committed(token):
                    self.committed += 1
                    state = self.checks.proposed[token]
                    self.checks.committed(self.version_committed(me, state), state)
                    self.tell_service(host, token, True)
                case p.ReadConfirmed(token):
                    self.checks.read(token, replica.committed_state)
                    self.tell_service(host, token, True)
                case p.Failed(token) | p.ReadFailed(token):
                    self.tell_service(host, token, False)
        if replica.is_primary and replica.record.number not in self.checks.epochs:
            self.epochs += 1
            accepted = {
                m: p.NUMBER_LIMIT if h.lost or h.disk is None else h.disk.accepted.number for m, h in self.hosts.items()
            }
            self.checks.office(replica.record, replica.committed_state, accepted)

    def version_committed(self, me: int, state: ControlState) -> p.StateVersion:
        """The version under which machine ``me`` has just committed a state it proposed."""
        stored = (
            version
            for version, value in reversed(self.checks.values.items())
            if value == state and version.epoch & MACHINE_BITS == me
        )
        return max(next(stored), p.StateVersion(self.hosts[me].replica.record.number, 0))

    @staticmethod
    def tell_service(host: Host, token: int, succeeded: bool) -> None:
        """Pass an outcome to what asked for it, if that is more than the walk itself."""
        if host.service is not None:
            host.service.outcome(token, succeeded)

    def check_leases(self) -> None:
        """At most one valid lease is held."""
        holders = []
        for me, host in self.hosts.items():
            if host.replica is not None and host.replica.is_primary:
                clock = self.clock(host)
                if host.replica.lease_until(clock) > clock:
                    holders.append((host.replica.record.number, me))
        self.checks.leases(holders)

    def deliver(self, index: int, keep: bool = False) -> None:
        """A message in flight arrives; ``keep``: it will come once more."""
        sender, to, message = self.net[index] if keep else self.net.pop(index)
        host = self.hosts[to]
        host.replica.receive(sender, message, self.clock(host))
        self.collect(to)

    def sync(self, me: int, ok: bool = True) -> None:
        """A machine's save ends, on disk or refused."""
        host = self.hosts[me]
        save, host.save = host.save, None
        if ok:
            self.land(host, save.durable)
            host.replica.saved(save.token, self.clock(host))
        else:
            host.replica.save_failed(save.token, self.clock(host))
        self.collect(me)

    def tick(self, me: int) -> None:
        """A machine notices the time."""
        host = self.hosts[me]
        host.replica.tick(self.clock(host))
        self.collect(me)

    def crash(self, me: int, landed: bool) -> None:
        """The process or the power goes; an outstanding save has landed or not."""
        host = self.hosts[me]
        if landed and host.save is not None:
            self.land(host, host.save.durable)
        host.replica = host.save = host.service = None

    @staticmethod
    def land(host: Host, durable: p.DurableState) -> None:
        """A save is on disk."""
        host.disk = durable
        if host.files is not None:
            host.store.write(host.files, durable)

    def propose(self, me: int) -> None:
        """A machine is asked for a change."""
        host = self.hosts[me]
        self.tokens += 1
        token = self.tokens
        state = host.replica.committed_state + token.to_bytes(4, "big")
        try:
            host.replica.propose(token, state, self.clock(host))
        except p.ReplicationError:
            return
        self.checks.proposed[token] = state
        self.collect(me)

    def read(self, me: int) -> None:
        """A machine is asked for a read."""
        host = self.hosts[me]
        self.tokens += 1
        self.checks.reads[self.tokens] = self.checks.longest
        try:
            host.replica.confirm_read(self.tokens, self.clock(host))
        except p.ReplicationError:
            return
        self.collect(me)
