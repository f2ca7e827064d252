"""Drawn walks: every choice comes from the seed, so that a walk can be run again."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel
from rowanshift.modelcheck.fault_injection import FAULT_KINDS, FaultInjection
from rowanshift.modelcheck.invariants import InvariantViolation

# seconds; without leases and waits, so that only numbers and majorities keep two primaries apart
CONTENDED = replication.Timing(
    lease=0.0,
    block=0.0,
    lapse=1.5,
    silence_draw=1.0,
    retry=0.3,
    round=1.0,
    stand_limit=2.0,
    recovery_wait=2.5,
    renew_gap=0.2,
    witness_silence=1.0,
    change_gap=0.2,
    join_gap=0.3,
)

# a primary that hears of no other goes on for long: reads and orders must be safe from it all the same
STUBBORN = replace(CONTENDED, lapse=8.0)


@dataclass
class WalkResult:
    """What a walk came to."""

    seed: int
    steps: int
    violation: str  # "" if all held
    commits: int
    epochs: int
    stall: str = ""  # "" if it healed once calm
    longest_calm: float = 0.0  # seconds of calm that were needed until the next loss could be borne, if it is a matter


class RandomWalk(FaultInjection):
    """A drawn walk. `spares` machines beyond the seeds wait for a place."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 0,
        replica_class: type[replication.Replica] = replication.Replica,
        timing: replication.Timing | None = None,
    ) -> None:
        self.seed, self.replica_class = seed, replica_class
        self.timing = timing or (CONTENDED if seed % 2 else replication.DEFAULT_TIMING)
        self.random_source = random_source = random.Random(seed)
        seeds = tuple(range(1, machine_count + 1))
        self.cluster = ClusterModel({}, max_failures, seeds)
        for machine_id in range(1, machine_count + spares + 1):
            machine = MachineModel(
                None, rate=1 + random_source.uniform(-0.1, 0.1), offset=random_source.uniform(0, 1000)
            )
            self.cluster.machines[machine_id] = machine
            self.start(machine_id, bootstrap=machine_id <= machine_count)
            self.cluster.complete_save(machine_id)  # a first start is over once its record is on disk
        self.pace = random_source.choice([0.003, 0.006, 0.012]) * 3 / machine_count
        self.loss = random_source.choice([0.0, 0.01, 0.05, 0.2])
        self.trouble = random_source.choice([0.002, 0.005, 0.015])
        self.faults = random_source.choices(FAULT_KINDS, k=4)
        self.deaf: dict[tuple[int, type], float] = {}  # (to, kind of message) -> until when none of it comes
        self.late: list[tuple[float, tuple[int, int, replication.Message]]] = []
        self.next_tick = 0.0
        self.calm = False
        self.steps = 0

    def start(self, machine_id: int, bootstrap: bool = False) -> None:
        """A machine's process begins."""
        cluster, machine = self.cluster, self.cluster.machines[machine_id]
        now = cluster.clock(machine)
        machine.replica = self.replica_class(
            machine_id,
            cluster.max_failures,
            cluster.seeds,
            bootstrap,
            machine.disk,
            now,
            self.random_source.random,
            timing=self.timing,
        )
        cluster.carry_out_actions(machine_id)

    def step(self) -> None:
        """A moment passes, with what the seed draws for it."""
        cluster, random_source = self.cluster, self.random_source
        self.steps += 1
        cluster.now += self.pace * 2 * random_source.random()
        now = cluster.now
        cluster.check_leases()
        for machine_id, machine in cluster.machines.items():
            if machine.replica is None and not machine.gone and now >= machine.down_until:
                self.start(machine_id)
        if now >= self.next_tick:
            self.next_tick = now + 0.05
            for machine_id, machine in cluster.machines.items():
                if machine.replica is not None and now >= machine.paused_until and random_source.random() < 0.9:
                    cluster.tick(machine_id)
        if not self.calm and random_source.random() < self.trouble:
            self.inject_fault()
        for machine_id, machine in cluster.machines.items():
            up = machine.replica is not None and now >= machine.paused_until
            chance = 0.002 if now < machine.slow_until and not self.calm else 0.3
            if up and machine.pending_save is not None and random_source.random() < chance:
                cluster.complete_save(machine_id)
            if up and machine.replica.is_primary:
                self.use(machine_id)
        for _ in range(3):
            self.carry()

    def use(self, machine_id: int) -> None:
        """Ask something of a primary, now and then."""
        if self.random_source.random() < 0.05:
            (self.cluster.propose if self.random_source.random() < 0.5 else self.cluster.read)(machine_id)

    def carry(self) -> None:
        """One message in flight comes, is lost, comes twice or is put off."""
        cluster, random_source = self.cluster, self.random_source
        while self.late and (self.late[0][0] <= cluster.now or self.calm):
            cluster.in_flight.append(self.late.pop(0)[1])
        if not cluster.in_flight:
            return
        index = random_source.randrange(
            min(len(cluster.in_flight), 8) if random_source.random() < 0.9 else len(cluster.in_flight)
        )
        sender, to, message = cluster.in_flight[index]
        machine = cluster.machines[to]
        fate = random_source.random()
        until = max(cluster.cuts.get((sender, to), 0.0), self.deaf.get((to, type(message)), 0.0))
        cut = until > cluster.now
        if machine.gone or (cut and not self.calm):
            if fate < 0.7 or machine.gone:
                cluster.in_flight.pop(index)
            else:
                self.put_off(index)
        elif cluster.now < machine.paused_until:
            self.put_off(index, until=machine.paused_until)
        elif machine.replica is None:
            if fate < 0.1:
                cluster.in_flight.pop(index)
            else:
                self.put_off(index)
        elif fate < self.loss and not self.calm:
            cluster.in_flight.pop(index)
        elif fate < self.loss + 0.01 and not self.calm:
            self.put_off(index)
        else:
            cluster.deliver(index, keep=0.95 < fate < 0.97)

    def put_off(self, index: int, until: float = 0.0) -> None:
        """A message in flight arrives later."""
        until = until or self.cluster.now + self.random_source.choice([0.02, 0.3, 2.0, 6.0])
        self.late.append((until, self.cluster.in_flight.pop(index)))
        self.late.sort(key=lambda entry: entry[0])

    def run(self, steps: int, calm: bool = True) -> WalkResult:
        """`steps` with trouble, then, if `calm`, up to 40 s without: all must remember and commit again."""
        cluster, stall = self.cluster, ""
        try:
            for _ in range(steps):
                self.step()
            if calm:
                self.calm = True
                began, committed = cluster.now, cluster.commit_count
                while not (healed := cluster.commit_count > committed + 2 and not self.ailing()):
                    if cluster.now > began + 40:
                        break
                    self.step()
                stall = "" if healed else f"after 40 s calm: {self.ailing() or 'nothing is committed'}"
        except InvariantViolation as violation:
            return WalkResult(self.seed, self.steps, str(violation), cluster.commit_count, cluster.epoch_count)
        return WalkResult(self.seed, self.steps, "", cluster.commit_count, cluster.epoch_count, stall)

    def ailing(self) -> str:
        """What has not healed, empty if all has."""
        amnesic = [m for m, h in self.cluster.machines.items() if h.replica is not None and h.replica.is_amnesic]
        return f"{amnesic} have amnesic" if amnesic else ""
