"""Injection of machine, disk and network faults into a random walk."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, Link, MachineModel

FAULT_SECONDS = (0.05, 0.5, 1.5, 4.0)  # durations of faults
RESTART_SECONDS = 0.02  # minimum downtime after a power loss
MASS_RESTART_SECONDS = 0.1  # maximum downtime of the machines in a mass restart
NEW_DISK_SECONDS = 0.05  # minimum downtime before a machine starts with an empty disk
PRIMARY_SHARE = 0.4  # of the faults, whose target is drawn from the primaries and not from all machines
WALK_KINDS_SHARE = 0.8  # of the faults, whose kind is drawn from the walk's own kinds and not from all kinds
SAVE_PERSISTED_PROBABILITY = 0.5  # that a save that is outstanding at a crash still reaches the disk
SAVE_PERSISTED_AT_POWER_LOSS_PROBABILITY = 0.2
MASS_RESTART_PROBABILITY = 0.9  # of each other machine, to be restarted
MASS_RESTART_CUT_PROBABILITY = 0.7  # that the machine which isn't restarted is isolated from the network
GROUP_PROBABILITY = 0.5  # of each machine, to be in the first group of a partition
LINK_CUT_PROBABILITY = 0.7  # of each link of the machine
BLOCKED_TYPE_COUNTS = (1, 2, 3)  # how many message types one fault blocks
BLOCKABLE_MESSAGES = (
    replication.Prepare,
    replication.PrepareReply,
    replication.Store,
    replication.StoreReply,
    replication.Accept,
    replication.AcceptReply,
    replication.Heartbeat,
    replication.HeartbeatReply,
)


class FaultKind(Enum):
    """The kinds of faults. Their order affects the walk of each seed."""

    FORCED_CANDIDACY = "forced candidacy"
    CRASH = "crash"
    POWER_LOSS = "power loss"
    MASS_RESTART = "mass restart"
    DISK_LOSS = "disk loss"
    PAUSE = "pause"
    LINK_CUTS = "link cuts"
    PARTITION = "partition"
    MESSAGE_BLOCK = "message block"
    SLOW_DISK = "slow disk"
    SAVE_ERROR = "save error"
    REMOVAL = "removal"


class MessageBlock(NamedTuple):
    """A message type that is not delivered to a machine."""

    recipient: int
    message_type: type


@dataclass(frozen=True)
class Fault:
    """The machine that a fault affects, and the duration of the fault."""

    machine_id: int
    machine: MachineModel
    seconds: float


class FaultInjection:
    """The faults of a walk. The random draws of each fault and their order affect the walk of each seed."""

    cluster: ClusterModel
    random_source: random.Random
    timing: replication.Timing
    fault_free: bool
    fault_kinds: list[FaultKind]
    blocked_messages: dict[MessageBlock, float]  # model time at which each block ends

    def inject_fault(self) -> None:
        """Inject a random fault at a random machine, with a preference for primaries."""
        cluster, random_source = self.cluster, self.random_source
        machine_id = random_source.choice(sorted(cluster.machines))
        primaries = cluster.primaries()
        if primaries and random_source.random() < PRIMARY_SHARE:
            machine_id = random_source.choice(primaries)
        machine = cluster.machines[machine_id]
        if machine.removed or machine.replica is None:
            return
        use_walk_kinds = random_source.random() < WALK_KINDS_SHARE
        kind = random_source.choice(self.fault_kinds if use_walk_kinds else list(FaultKind))
        fault = Fault(machine_id, machine, random_source.choice(FAULT_SECONDS))
        self._injector(kind)(fault)

    def _injector(self, kind: FaultKind) -> Callable[[Fault], None]:
        injectors = {
            FaultKind.FORCED_CANDIDACY: self._force_candidacy,
            FaultKind.CRASH: self._crash,
            FaultKind.POWER_LOSS: self._cut_power_while_saving,
            FaultKind.MASS_RESTART: self._restart_all_others,
            FaultKind.DISK_LOSS: self._lose_disk,
            FaultKind.PAUSE: self._pause,
            FaultKind.LINK_CUTS: self._cut_links,
            FaultKind.PARTITION: self._partition,
            FaultKind.MESSAGE_BLOCK: self._block_messages,
            FaultKind.SLOW_DISK: self._slow_disk,
            FaultKind.SAVE_ERROR: self._fail_save,
            FaultKind.REMOVAL: self._remove,
        }
        return injectors[kind]

    def _crash(self, fault: Fault) -> None:
        self.cluster.crash(fault.machine_id, save_persisted=self.random_source.random() < SAVE_PERSISTED_PROBABILITY)
        fault.machine.down_until = self.cluster.now + fault.seconds

    def _force_candidacy(self, fault: Fault) -> None:
        """Start the candidacy of an in-sync machine immediately, without a pre-vote."""
        cluster = self.cluster
        machine_id = self.random_source.choice(cluster.newest_record().in_sync or [fault.machine_id])
        machine = cluster.machines[machine_id]
        replica = machine.replica
        if replica is None or cluster.now < machine.paused_until:
            return
        if not (replica.is_primary or replica.is_amnesic or replica._candidacy):
            replica._start_candidacy()
            if replica._candidacy is not None:
                replica._enter_phase(replica._candidacy, replication.CandidacyPhase.PREPARE)
            cluster.tick(machine_id)

    def _cut_power_while_saving(self, fault: Fault) -> None:
        """Cut the power of a machine with an outstanding save, or of the fault's machine if there is none."""
        cluster, random_source = self.cluster, self.random_source
        saving = [each for each, machine in cluster.machines.items() if machine.pending_save is not None]
        machine_id = random_source.choice(saving or [fault.machine_id])
        persisted = random_source.random() < SAVE_PERSISTED_AT_POWER_LOSS_PROBABILITY
        cluster.crash(machine_id, save_persisted=persisted)
        cluster.machines[machine_id].down_until = cluster.now + random_source.choice([RESTART_SECONDS, fault.seconds])

    def _restart_all_others(self, fault: Fault) -> None:
        """Crash most machines except one and restart them soon after; usually isolate that one from the network."""
        cluster, random_source = self.cluster, self.random_source
        for other_id, other in cluster.machines.items():
            if other_id == fault.machine_id or other.replica is None:
                continue
            if random_source.random() < MASS_RESTART_PROBABILITY:
                cluster.crash(other_id, save_persisted=random_source.random() < SAVE_PERSISTED_PROBABILITY)
                other.down_until = cluster.now + MASS_RESTART_SECONDS * random_source.random()
        if random_source.random() < MASS_RESTART_CUT_PROBABILITY:
            until = cluster.now + fault.seconds
            cluster.cut_links.update({link: until for link in self.links() if fault.machine_id in link})

    def _partition(self, fault: Fault) -> None:
        """Split the network into two groups."""
        cluster = self.cluster
        group = {machine_id for machine_id in cluster.machines if self.random_source.random() < GROUP_PROBABILITY}
        until = cluster.now + 2 * fault.seconds
        cluster.cut_links = {link: until for link in self.links() if len(group & {*link}) == 1}

    def _block_messages(self, fault: Fault) -> None:
        """Block the delivery of some message types to a machine."""
        type_count = self.random_source.choice(BLOCKED_TYPE_COUNTS)
        for message_type in self.random_source.sample(BLOCKABLE_MESSAGES, type_count):
            self.blocked_messages[MessageBlock(fault.machine_id, message_type)] = self.cluster.now + fault.seconds

    def _lose_disk(self, fault: Fault) -> None:
        if self.may_fail(fault.machine_id):
            self.cluster.lose_disk(fault.machine_id)
            fault.machine.counts_as_failed = True
            self.cluster.last_failure_at = self.cluster.now
            seconds = self.random_source.choice([NEW_DISK_SECONDS, fault.seconds])
            fault.machine.down_until = self.cluster.now + seconds

    def _remove(self, fault: Fault) -> None:
        """Remove a machine permanently if a spare is left."""
        cluster = self.cluster
        if len(cluster.machines) <= len(cluster.seeds) or not self.may_fail(fault.machine_id):
            return
        if len(cluster.remaining_machines()) > len(cluster.seeds):
            cluster.crash(fault.machine_id, save_persisted=False)
            fault.machine.removed = fault.machine.counts_as_failed = True
            cluster.last_failure_at = cluster.now

    def _pause(self, fault: Fault) -> None:
        fault.machine.paused_until = self.cluster.now + fault.seconds

    def _slow_disk(self, fault: Fault) -> None:
        fault.machine.slow_disk_until = self.cluster.now + fault.seconds

    def _fail_save(self, fault: Fault) -> None:
        if fault.machine.pending_save is not None:
            self.cluster.complete_save(fault.machine_id, succeeded=False)

    def _cut_links(self, fault: Fault) -> None:
        """Cut most of a machine's links, each direction independently."""
        for link in self.links():
            if fault.machine_id in link and self.random_source.random() < LINK_CUT_PROBABILITY:
                self.cluster.cut_links[link] = self.cluster.now + fault.seconds

    def links(self) -> list[Link]:
        """The links between all pairs of machines, one per direction."""
        machine_ids = list(self.cluster.machines)
        return [Link(sender, recipient) for sender in machine_ids for recipient in machine_ids if sender != recipient]

    def clear_restored_failures(self) -> None:
        """Stop counting machines as failed once redundancy is restored.

        That requires every in-sync machine to have a state of the newest epoch on disk, and the failed machine to have
        recovered its promises or, if it was removed, to have no vote in the newest record.
        """
        cluster = self.cluster
        if cluster.now < cluster.last_failure_at + 2 * self.timing.recovery_delay_seconds:
            return
        record = cluster.newest_record()
        if record.epoch not in cluster.invariants.epoch_start_states:
            return
        for member in record.in_sync:
            disk = cluster.machines[member].disk
            if disk is None or disk.version.epoch < record.epoch:
                return
        for machine_id, machine in cluster.machines.items():
            if machine.removed:
                restored = machine_id not in record.members()
            else:
                restored = machine.disk is not None and not machine.disk.amnesic
            machine.counts_as_failed = machine.counts_as_failed and not restored

    def may_fail(self, machine_id: int) -> bool:
        """Whether another machine may lose its disk or be removed without exceeding the tolerated failures."""
        self.clear_restored_failures()
        failed = sum(machine.counts_as_failed for machine in self.cluster.machines.values())
        return not self.fault_free and failed < self.cluster.max_failures
