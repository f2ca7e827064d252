"""Random walks whose rounds each end in the worst tolerated loss: f disks lost while all other machines lose power.

Each round of a `MembershipWalk` is followed by a closing fault. Just before it a machine may leave as planned, or be
removed. Disks keep what was synced; each name that was not synced is kept or lost independently. What was committed
must be part of what is committed afterwards, and there must be such a commit: `KEPT`, `REDUNDANCY` and `COMMIT`.
"""

from __future__ import annotations

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import MachineModel
from rowanshift.modelcheck.file_system import FileSystemModel
from rowanshift.modelcheck.membership_walk import DOWN_TIMES, GRACE, JOIN_DELAYS, MembershipWalk

BEFORE = ("nothing", "leave", "gone")  # what befalls a machine just before the closing fault
APART = (0.0, 0.02, 0.1, 0.3, 1.0)  # seconds from that to the closing fault, at most
RELEASE_WITHIN = GRACE + 0.5  # seconds for a machine that leaves to end
SYNCED = 4.0  # seconds of calm after its start until a machine no longer counts as lost


class WorstCaseWalk(MembershipWalk):
    """A walk of members whose rounds each end in a closing fault."""

    def round(self) -> None:
        """A round of the members' walk, time in which its losses are made good, then the closing fault and a calm."""
        super().round()
        self.calm = True
        self._go_on(SYNCED)
        self.calm = False
        self._close()

    def _close(self) -> None:
        random_source = self.membership_random
        lost = self._before()
        self._go_on(random_source.random() * random_source.choice(APART))
        self._strike(self.cluster.max_failures - lost)
        self._calm_down()

    def _before(self) -> int:
        """Something that befalls a machine first; how many of the f losses that uses up."""
        what = self.membership_random.choice(BEFORE)
        if what == "nothing":
            return 0
        machine_id = self.membership_random.choice(self._present())
        if what == "gone":
            self._end(machine_id)
            return 1
        replaced = self._has_spare()
        self.calm = in_calm = self.membership_random.random() < 0.5
        self._leave(machine_id)
        self.calm = False
        if not in_calm:  # the spare may have been in trouble itself
            replaced = machine_id not in self.cluster.newest_record().members()
        return 0 if replaced and machine_id in self.released else 1

    def _leave(self, machine_id: int) -> None:
        """Tell a machine to stop, and go on until it has ended."""
        cluster, machine = self.cluster, self.cluster.machines[machine_id]
        if machine.replica is None:
            self._end(machine_id)
            return
        self.leaving[machine_id] = cluster.now + GRACE
        machine.replica.leave(cluster.clock(machine))
        cluster.carry_out_actions(machine_id)
        until = cluster.now + RELEASE_WITHIN
        while not machine.gone and cluster.now < until:
            self.step()

    def _strike(self, disks: int) -> None:
        """All machines lose power at one moment, and so many of them their disk."""
        random_source, cluster = self.membership_random, self.cluster
        present = self._present()
        self.leaving.clear()
        for machine_id in present:
            self.cut_power(machine_id)
        for machine_id in random_source.sample(present, disks):
            machine = cluster.machines[machine_id]
            machine.disk, machine.files, machine.lost = None, FileSystemModel(), True
            machine.down_until = cluster.now + random_source.choice(DOWN_TIMES)
        if self.joining:
            self.joining = [cluster.now + random_source.choice(JOIN_DELAYS) for _ in self.joining]

    def _present(self) -> list[int]:
        return [machine_id for machine_id, machine in self.cluster.machines.items() if not machine.gone]

    def _has_spare(self) -> bool:
        """Whether a machine that lives is no witness."""
        witnesses = self.cluster.newest_record().witnesses
        return any(self._lives(machine_id) and machine_id not in witnesses for machine_id in self._present())

    def _go_on(self, seconds: float) -> None:
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            self.step()


class ObserverWalk(WorstCaseWalk):
    """A closing walk with one machine more, which doesn't count: it goes for good in each closing fault, beyond f."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 1,
        replica_class: type[replication.Replica] = replication.Replica,
        timing: replication.Timing | None = None,
    ) -> None:
        self.uncounted = machine_count + spares + 1
        super().__init__(seed, machine_count, max_failures, spares + 1, replica_class, timing=timing)

    def _start_replica(self, machine_id: int, machine: MachineModel, bootstrap: bool) -> None:
        super()._start_replica(machine_id, machine, bootstrap)
        machine.replica.counts = machine_id != self.uncounted

    def _has_spare(self) -> bool:
        witnesses = self.cluster.newest_record().witnesses
        return any(
            self._lives(machine_id) and machine_id not in {*witnesses, self.uncounted} for machine_id in self._present()
        )

    def _end(self, machine_id: int) -> None:
        super()._end(machine_id)
        if machine_id == self.uncounted:
            self.joining.pop()  # the next one comes after the closing fault: the machines don't grow in number

    def _strike(self, disks: int) -> None:
        if not self.cluster.machines[self.uncounted].gone:
            self._end(self.uncounted)
        super()._strike(disks)
        self._join()
        self.uncounted = max(self.cluster.machines)
