"""Drawn walks whose machines change: some leave for good, others join with empty disks, and power fails.

A walk goes in rounds. Each has some trouble, up to f losses in it (a machine leaves or is taken away for good and
another joins in its place, or a disk is lost), and then a calm. Within `REDUNDANT_WITHIN` of calm the control plane
must be able to bear the next losses. A machine that joins knows some machines that live at that time, none of the
first ones for their own sake.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_walk import ClientWalk
from rowanshift.modelcheck.cluster_model import MachineModel
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.file_system import FileSystemModel, StoreModel
from rowanshift.modelcheck.invariants import InvariantViolation
from rowanshift.modelcheck.random_walk import WalkResult
from rowanshift.modelcheck.router_model import RouterModel

REDUNDANT_WITHIN = 15.0  # seconds of calm
COMMIT_WITHIN = 40.0  # seconds of calm; operators ask seldom
GRACE = 6.5  # seconds that a machine told to stop waits for its release
FAREWELL = 0.1  # seconds from its release to its end
JOIN_DELAYS = (0.0, 0.5, 2.0)  # seconds from a loss to the start of the machine that takes its place
TROUBLE_STEPS = (100, 300, 800)
DOWN_TIMES = (0.02, 0.3, 1.5)  # seconds that a machine without power is down


class MembershipWalk(ClientWalk):
    """A walk with clients whose machines come and go."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 1,
        replica_class: type[replication.Replica] = replication.Replica,
        service_class: type[ControlService] = ControlService,
        router_class: type[RouterModel] = RouterModel,
        store_class: type[StoreModel] = StoreModel,
        timing: replication.Timing | None = None,
    ) -> None:
        self.store_class = store_class
        self.opening: dict[int, Iterator[None]] = {}
        self.leaving: dict[int, float] = {}  # machine -> seconds of the world at which it ends
        self.released: set[int] = set()  # of these
        self.joining: list[float] = []  # seconds of the world at which a machine joins
        self.membership_random = random.Random(f"members of {seed}")
        self.rounds = 0
        self.longest_calm = 0.0  # seconds until the next loss could be borne
        self.first_start = True
        super().__init__(seed, machine_count, max_failures, spares, replica_class, service_class, router_class, timing)
        self.first_start = False

    # starts and ends of machines

    def start(self, machine_id: int, bootstrap: bool = False) -> None:
        """Open the store, one step at a time, then start the replica with what is in it."""
        machine = self.cluster.machines[machine_id]
        if machine.files is None:
            machine.files, machine.store = FileSystemModel(), self.store_class
        if self.first_start:
            for _ in self.store_class.open(machine.files):
                pass
        elif machine_id not in self.opening:
            self.opening[machine_id] = self.store_class.open(machine.files)
            return
        elif next(self.opening[machine_id], self) is not self:
            return
        self.opening.pop(machine_id, None)
        machine.disk = machine.files.read()
        self._start_replica(machine_id, machine, bootstrap)

    def _start_replica(self, machine_id: int, machine: MachineModel, bootstrap: bool) -> None:
        cluster = self.cluster
        seeds = cluster.seeds if bootstrap else self._seeds_of_today(machine_id)
        machine.replica = self.replica_class(
            machine_id,
            cluster.max_failures,
            seeds,
            bootstrap,
            machine.disk,
            cluster.clock(machine),
            self.random_source.random,
            timing=self.timing,
        )
        cluster.carry_out_actions(machine_id)

    def _seeds_of_today(self, machine_id: int) -> tuple[int, ...]:
        others = [
            m for m, h in self.cluster.machines.items() if not h.gone and m != machine_id and m not in self.leaving
        ]
        return tuple(sorted(self.membership_random.sample(others, min(len(others), 2 * self.cluster.max_failures + 1))))

    def _join(self) -> None:
        random_source = self.membership_random
        machine_id = max(self.cluster.machines) + 1
        self.cluster.machines[machine_id] = MachineModel(
            None, rate=1 + random_source.uniform(-0.1, 0.1), offset=random_source.uniform(0, 1000)
        )

    def _end(self, machine_id: int) -> None:
        self.cluster.crash(machine_id, save_persisted=False)
        self.opening.pop(machine_id, None)
        self.leaving.pop(machine_id, None)
        machine = self.cluster.machines[machine_id]
        machine.gone = machine.lost = True
        self.joining.append(self.cluster.now + self.membership_random.choice(JOIN_DELAYS))

    def cut_power(self, machine_id: int) -> None:
        """A machine loses power: what it said was on its disk must be there."""
        cluster, machine = self.cluster, self.cluster.machines[machine_id]
        cluster.crash(machine_id, save_persisted=self.membership_random.random() < 0.3)
        self.opening.pop(machine_id, None)
        if machine.files is not None:
            machine.files.lose_power(self.membership_random)
            if machine.files.read() != machine.disk:
                raise InvariantViolation(f"STORED: a loss of power took what machine {machine_id} had saved")
        machine.down_until = cluster.now + self.membership_random.choice(DOWN_TIMES)

    def may_lose(self, machine_id: int) -> bool:
        """Losses come by the rounds alone."""
        return False

    # rounds

    def step(self) -> None:
        """One step, with what changes among the machines in it."""
        random_source, cluster = self.membership_random, self.cluster
        for machine_id in list(self.leaving):
            self._follow_leave(machine_id)
        for at in [at for at in self.joining if cluster.now >= at]:
            self.joining.remove(at)
            self._join()
        if not self.calm and random_source.random() < self.trouble / 4:
            self._cut_power_of_some()
        for machine_id in list(self.opening):
            if not self.calm and random_source.random() < 0.1:  # the process ends while it opens the store
                del self.opening[machine_id]
                cluster.machines[machine_id].down_until = cluster.now + random_source.choice(DOWN_TIMES)
        super().step()

    def _follow_leave(self, machine_id: int) -> None:
        """A machine told to stop ends soon after its release, or when its grace or its process is over."""
        replica, now = self.cluster.machines[machine_id].replica, self.cluster.now
        if replica is not None and replica.released and machine_id not in self.released:
            self.released.add(machine_id)
            self.leaving[machine_id] = min(self.leaving[machine_id], now + FAREWELL)
            if machine_id in self.cluster.invariants.last.in_sync and not replica.is_amnesic:
                raise InvariantViolation(
                    f"RELEASED: {machine_id} is released and a copy of {self.cluster.invariants.last}"
                )
        if replica is None or now >= self.leaving[machine_id]:
            self._end(machine_id)

    def _cut_power_of_some(self) -> None:
        present = [machine_id for machine_id, machine in self.cluster.machines.items() if not machine.gone]
        some = present if self.membership_random.random() < 0.2 else [self.membership_random.choice(present)]
        for machine_id in some:
            self.cut_power(machine_id)

    def lose(self) -> None:
        """One machine or disk is lost."""
        random_source, machines = self.membership_random, self.cluster.machines
        machine_id = random_source.choice(
            [m for m, h in machines.items() if not h.gone and not h.lost and m not in self.leaving]
        )
        machine, kind = machines[machine_id], random_source.choice(["leave", "gone", "empty"])
        self.cluster.lost_at = self.cluster.now
        if kind == "leave" and machine.replica is not None:
            self.leaving[machine_id] = self.cluster.now + GRACE
            machine.replica.leave(self.cluster.clock(machine))
            self.cluster.carry_out_actions(machine_id)
        elif kind == "empty":
            self.cluster.crash(machine_id, save_persisted=False)
            self.opening.pop(machine_id, None)
            machine.disk, machine.files, machine.lost = None, FileSystemModel(), True
            machine.down_until = self.cluster.now + random_source.choice(DOWN_TIMES)
        else:
            self._end(machine_id)

    def lacking(self) -> str:
        """What keeps the next losses from being borne; empty if nothing does."""
        cluster = self.cluster
        record = cluster.newest_record()
        if self.leaving or self.joining or record.number not in cluster.invariants.epochs:
            return "an epoch is not in force, or machines come and go"
        copies = [
            machine_id for machine_id in record.in_sync if self._lives(machine_id) and self._holds(machine_id, record)
        ]
        if len(copies) < max(cluster.max_failures + 1, len(record.in_sync)):
            return f"copies at {copies} alone of {record}"
        live = [machine_id for machine_id in record.witnesses if self._lives(machine_id)]
        if record.former or len(live) < replication.majority(record.witnesses) + cluster.max_failures:
            return f"witnesses {live} alone of {record}"
        amnesic = [
            machine_id
            for machine_id, machine in cluster.machines.items()
            if not machine.gone and not self._lives(machine_id)
        ]
        return f"{amnesic} take no part" if amnesic else ""

    def _lives(self, machine_id: int) -> bool:
        replica = self.cluster.machines[machine_id].replica
        return replica is not None and not replica.is_amnesic

    def _holds(self, machine_id: int, record: replication.EpochRecord) -> bool:
        disk = self.cluster.machines[machine_id].disk
        return disk is not None and disk.version.epoch >= record.number

    def round(self) -> None:
        """Trouble, up to f losses in it, and a calm."""
        random_source = self.membership_random
        self.rounds += 1
        for _ in range(random_source.choice(TROUBLE_STEPS)):
            self.step()
        for _ in range(random_source.randint(1, self.cluster.max_failures)):
            self.lose()
            for _ in range(random_source.choice(TROUBLE_STEPS)):
                self.step()
        self._calm_down()

    def _calm_down(self) -> None:
        cluster = self.cluster
        self.calm = True
        for machine in cluster.machines.values():
            machine.paused_until, machine.down_until = (
                min(machine.paused_until, cluster.now),
                min(machine.down_until, cluster.now),
            )
        began, committed = cluster.now, cluster.commit_count
        while lacking := self.lacking():
            if cluster.now > began + REDUNDANT_WITHIN:
                raise InvariantViolation(f"REDUNDANCY: after {REDUNDANT_WITHIN} s of calm {lacking}")
            self.step()
        self.longest_calm = max(self.longest_calm, cluster.now - began)
        while cluster.commit_count == committed:
            if cluster.now > began + COMMIT_WITHIN:
                raise InvariantViolation(f"COMMIT: none in {COMMIT_WITHIN} s of calm")
            self.step()
        for machine in cluster.machines.values():
            machine.lost = machine.lost and machine.gone
        self.calm = False

    def run(self, steps: int, calm: bool = True) -> WalkResult:
        """Whole rounds until so many steps are done; each ends in a calm, whatever ``calm`` says."""
        cluster, violation = self.cluster, ""
        try:
            while self.steps < steps:
                self.round()
        except InvariantViolation as violated:
            violation = str(violated)
        return WalkResult(
            self.seed, self.steps, violation, cluster.commit_count, cluster.epoch_count, "", self.longest_calm
        )
