"""Faults of machines, disks and the network, as a drawn walk injects them."""

from __future__ import annotations

import random

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel

FAULT_KINDS = ("stand", "crash", "power", "quake", "empty", "pause", "cut", "split", "deaf", "slow", "fail", "gone")
ONE_WAY = (
    replication.Prepare,
    replication.Promised,
    replication.Store,
    replication.Stored,
    replication.Accept,
    replication.Accepted,
    replication.Heartbeat,
    replication.HeartbeatReply,
)
SPANS = (0.05, 0.5, 1.5, 4.0)  # seconds that a fault lasts


class FaultInjection:
    """The faults of a walk. What each draws, and in which order, is part of what a seed means."""

    cluster: ClusterModel
    random_source: random.Random
    timing: replication.Timing
    calm: bool
    faults: list[str]
    deaf: dict[tuple[int, type], float]

    def inject_fault(self) -> None:
        """Some fault of some machine."""
        cluster, random_source = self.cluster, self.random_source
        machine_id = random_source.choice(sorted(cluster.machines))
        primaries = [m for m, h in cluster.machines.items() if h.replica is not None and h.replica.is_primary]
        if primaries and random_source.random() < 0.4:
            machine_id = random_source.choice(primaries)
        machine = cluster.machines[machine_id]
        if machine.gone or machine.replica is None:
            return
        kind = random_source.choice(self.faults if random_source.random() < 0.8 else FAULT_KINDS)
        span = random_source.choice(SPANS)
        getattr(self, f"_inject_{kind}")(machine_id, machine, span)

    def _inject_crash(self, machine_id: int, machine: MachineModel, span: float) -> None:
        self.cluster.crash(machine_id, save_persisted=self.random_source.random() < 0.5)
        machine.down_until = self.cluster.now + span

    def _inject_stand(self, machine_id: int, machine: MachineModel, span: float) -> None:
        """A machine's timer fires now, and nobody minds."""
        cluster = self.cluster
        machine_id = self.random_source.choice(cluster.newest_record().in_sync or [machine_id])
        replica = cluster.machines[machine_id].replica
        up = replica is not None and cluster.now >= cluster.machines[machine_id].paused_until
        if up and not (replica.is_primary or replica.is_amnesic or replica._candidacy):
            replica._stand()
            replica._enter("prepare")
            cluster.tick(machine_id)

    def _inject_power(self, machine_id: int, machine: MachineModel, span: float) -> None:
        """A machine with a save outstanding loses power."""
        cluster, random_source = self.cluster, self.random_source
        machine_id = random_source.choice(
            [m for m, h in cluster.machines.items() if h.pending_save is not None] or [machine_id]
        )
        cluster.crash(machine_id, save_persisted=random_source.random() < 0.2)
        cluster.machines[machine_id].down_until = cluster.now + random_source.choice([0.02, span])

    def _inject_quake(self, machine_id: int, machine: MachineModel, span: float) -> None:
        """All but one end and start again soon."""
        cluster, random_source = self.cluster, self.random_source
        for other, other_machine in cluster.machines.items():
            if other != machine_id and other_machine.replica is not None and random_source.random() < 0.9:
                cluster.crash(other, save_persisted=random_source.random() < 0.5)
                other_machine.down_until = cluster.now + 0.1 * random_source.random()
        if random_source.random() < 0.7:
            cluster.cuts.update({link: cluster.now + span for link in self.links() if machine_id in link})

    def _inject_split(self, machine_id: int, machine: MachineModel, span: float) -> None:
        """The network falls into two groups."""
        cluster = self.cluster
        side = {m for m in cluster.machines if self.random_source.random() < 0.5}
        cluster.cuts = {link: cluster.now + 2 * span for link in self.links() if len(side & {*link}) == 1}

    def _inject_deaf(self, machine_id: int, machine: MachineModel, span: float) -> None:
        for what in self.random_source.sample(ONE_WAY, self.random_source.choice([1, 2, 3])):
            self.deaf[machine_id, what] = self.cluster.now + span

    def _inject_empty(self, machine_id: int, machine: MachineModel, span: float) -> None:
        """A disk is lost."""
        if self.may_lose(machine_id):
            self.cluster.crash(machine_id, save_persisted=False)
            machine.disk, machine.lost, self.cluster.lost_at = None, True, self.cluster.now
            machine.down_until = self.cluster.now + self.random_source.choice([0.05, span])

    def _inject_gone(self, machine_id: int, machine: MachineModel, span: float) -> None:
        """A machine is taken away for good, if a spare is left."""
        cluster = self.cluster
        if len(cluster.machines) > len(cluster.seeds) and self.may_lose(machine_id):
            left = [m for m, h in cluster.machines.items() if not h.gone]
            if len(left) > len(cluster.seeds):
                cluster.crash(machine_id, save_persisted=False)
                machine.gone, machine.lost, cluster.lost_at = True, True, cluster.now

    def _inject_pause(self, machine_id: int, machine: MachineModel, span: float) -> None:
        machine.paused_until = self.cluster.now + span

    def _inject_slow(self, machine_id: int, machine: MachineModel, span: float) -> None:
        machine.slow_until = self.cluster.now + span

    def _inject_fail(self, machine_id: int, machine: MachineModel, span: float) -> None:
        if machine.pending_save is not None:
            self.cluster.complete_save(machine_id, succeeded=False)

    def _inject_cut(self, machine_id: int, machine: MachineModel, span: float) -> None:
        for link in self.links():
            if machine_id in link and self.random_source.random() < 0.7:
                self.cluster.cuts[link] = self.cluster.now + span

    def links(self) -> list[tuple[int, int]]:
        """Every pair of machines, one for each direction."""
        return [(a, b) for a in self.cluster.machines for b in self.cluster.machines if a != b]

    def heal(self) -> None:
        """A lost disk is made good once its machine remembers and the in-sync machines hold the state."""
        cluster = self.cluster
        if cluster.now < cluster.lost_at + 2 * self.timing.recovery_wait:
            return
        record = cluster.newest_record()
        if record.number not in cluster.invariants.epochs:
            return
        for member in record.in_sync:
            machine = cluster.machines[member]
            if machine.disk is None or machine.disk.version.epoch < record.number:
                return
        voters = {*record.witnesses, *record.former, *record.in_sync}
        for machine_id, machine in cluster.machines.items():
            if machine.lost and (
                machine_id not in voters if machine.gone else machine.disk and not machine.disk.amnesic
            ):
                machine.lost = False

    def may_lose(self, machine_id: int) -> bool:
        """Whether one more disk may be lost: no more than f at once."""
        self.heal()
        return (
            not self.calm
            and sum(machine.lost for machine in self.cluster.machines.values()) < self.cluster.max_failures
        )
