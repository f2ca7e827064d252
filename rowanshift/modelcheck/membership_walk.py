"""Random walks with membership changes and power losses: machines leave permanently, others join with empty disks.

A walk consists of rounds. Each has a phase with faults, including up to f failures (a machine leaves or is removed and
another replaces it, or a disk is lost), and then a phase without faults. Within the first `REDUNDANCY_LIMIT_SECONDS` of
the latter the control plane must be able to tolerate the next failures. A joining machine is given the addresses of
some machines that are present at that time; the initial machines have no special role.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from enum import Enum

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_walk import ClientWalk
from rowanshift.modelcheck.errors import Invariant, InvariantViolation
from rowanshift.modelcheck.file_system import FileSystemModel
from rowanshift.modelcheck.implementations import DEFAULT_IMPLEMENTATIONS, Implementations
from rowanshift.modelcheck.random_walk import WalkResult, machine_with_drawn_clock
from rowanshift.modelcheck.store_model import StoreModel

REDUNDANCY_LIMIT_SECONDS = 15.0  # without faults, until redundancy must be restored
COMMIT_LIMIT_SECONDS = 40.0  # without faults, until a change must commit; operators make few requests
LEAVE_GRACE_SECONDS = 6.5  # maximum wait of a leaving machine for its release
RELEASE_TO_EXIT_SECONDS = 0.1  # from the release of a machine to its exit
JOIN_DELAYS_SECONDS = (0.0, 0.5, 2.0)  # from a failure to the start of the machine's replacement
FAULT_PHASE_STEPS = (100, 300, 800)
POWER_OFF_SECONDS = (0.02, 0.3, 1.5)  # downtimes after a power loss
POWER_LOSSES_PER_FAULT = 0.25
SAVE_PERSISTED_PROBABILITY = 0.3  # that a save that is outstanding at a power loss still reaches the disk
COMMON_POWER_LOSS_PROBABILITY = 0.2  # that a power loss affects all machines instead of one
STORE_OPEN_CRASH_PROBABILITY = 0.1  # per step, of each machine that is opening its store


class Failure(Enum):
    """The failures of one machine in a round."""

    LEAVE = "leave"
    REMOVAL = "removal"
    DISK_LOSS = "disk loss"


class MembershipWalk(ClientWalk):
    """A walk with clients in which machines leave and join."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 1,
        implementations: Implementations = DEFAULT_IMPLEMENTATIONS,
        timing: replication.Timing | None = None,
    ) -> None:
        self.opening_stores: dict[int, Iterator[None]] = {}  # by machine id
        self.leaving: dict[int, float] = {}  # by machine id: model time in seconds at which it exits
        self.leave_granted: set[int] = set()  # machines that have been released
        self.joining: list[float] = []  # model times in seconds at which machines join
        self.member_random = random.Random(f"members of {seed}")
        self.rounds = 0
        self.longest_recovery = 0.0  # seconds until the next failures could be tolerated
        self.is_first_start = True
        super().__init__(seed, machine_count, max_failures, spares, implementations, timing)
        self.is_first_start = False

    # starts and ends of machines

    def start(self, machine_id: int, bootstrap: bool = False) -> None:
        """Open the store, one step per call, then start the replica with the stored state."""
        machine = self.cluster.machines[machine_id]
        if machine.file_system is None:
            machine.file_system, machine.store = FileSystemModel(), self.implementations.store
        if self.is_first_start:
            for _ in machine.store.open(machine.file_system):
                pass
        elif not self._open_store(machine_id, machine.store, machine.file_system):
            return
        machine.disk = machine.file_system.read()
        seeds = self.cluster.seeds if bootstrap else self._present_seeds(machine_id)
        self._start_replica(machine_id, seeds, bootstrap)

    def _open_store(self, machine_id: int, store: type[StoreModel], file_system: FileSystemModel) -> bool:
        """Begin to open a machine's store or perform the next step of that. Returns whether the store is open."""
        opening = self.opening_stores.get(machine_id)
        if opening is None:
            self.opening_stores[machine_id] = store.open(file_system)
            return False
        try:
            next(opening)
        except StopIteration:
            del self.opening_stores[machine_id]
            return True
        return False

    def _present_seeds(self, machine_id: int) -> tuple[int, ...]:
        """A random selection of the present machines, whose addresses a starting machine is given."""
        others = [each for each in self.cluster.remaining_machines() if each != machine_id and each not in self.leaving]
        seed_count = min(len(others), 2 * self.cluster.max_failures + 1)
        return tuple(sorted(self.member_random.sample(others, seed_count)))

    def _join(self) -> None:
        machine_id = max(self.cluster.machines) + 1
        self.cluster.machines[machine_id] = machine_with_drawn_clock(self.member_random)

    def _remove_machine(self, machine_id: int) -> None:
        """Remove a machine permanently and schedule the join of its replacement."""
        self.cluster.crash(machine_id, save_persisted=False)
        self.opening_stores.pop(machine_id, None)
        self.leaving.pop(machine_id, None)
        machine = self.cluster.machines[machine_id]
        machine.removed = machine.counts_as_failed = True
        self.joining.append(self.cluster.now + self.member_random.choice(JOIN_DELAYS_SECONDS))

    def _begin_leave(self, machine_id: int, replica: replication.Replica) -> None:
        """Ask a running machine to leave."""
        self.leaving[machine_id] = self.cluster.now + LEAVE_GRACE_SECONDS
        replica.leave(self.cluster.clock(self.cluster.machines[machine_id]))
        self.cluster.carry_out_actions(machine_id)

    def _cut_power(self, machine_id: int) -> None:
        """Cut a machine's power and check that its saved state is still on its disk."""
        cluster, machine = self.cluster, self.cluster.machines[machine_id]
        cluster.crash(machine_id, save_persisted=self.member_random.random() < SAVE_PERSISTED_PROBABILITY)
        self.opening_stores.pop(machine_id, None)
        if machine.file_system is not None:
            machine.file_system.lose_power(self.member_random)
            if machine.file_system.read() != machine.disk:
                detail = f"machine {machine_id} lost its saved state at a power loss"
                raise InvariantViolation(Invariant.SAVES_SURVIVE_POWER_LOSS, detail)
        self._stay_down(machine_id)

    def _replace_disk(self, machine_id: int) -> None:
        """Replace the disk of a stopped machine by an empty one."""
        machine = self.cluster.machines[machine_id]
        machine.disk, machine.file_system, machine.counts_as_failed = None, FileSystemModel(), True
        self._stay_down(machine_id)

    def _stay_down(self, machine_id: int) -> None:
        seconds = self.member_random.choice(POWER_OFF_SECONDS)
        self.cluster.machines[machine_id].down_until = self.cluster.now + seconds

    def may_fail(self, machine_id: int) -> bool:
        """Always false: the rounds cause all failures, so random faults must not add any."""
        return False

    # steps

    def step(self) -> None:
        """Perform one step, including the joins, leaves and power losses that are due in it."""
        for machine_id in list(self.leaving):
            self._advance_leave(machine_id)
        for due in [due for due in self.joining if self.cluster.now >= due]:
            self.joining.remove(due)
            self._join()
        if not self.fault_free and self.member_random.random() < self.fault_rate * POWER_LOSSES_PER_FAULT:
            self._cut_power_of_some()
        for machine_id in list(self.opening_stores):
            if not self.fault_free and self.member_random.random() < STORE_OPEN_CRASH_PROBABILITY:
                del self.opening_stores[machine_id]
                self._stay_down(machine_id)
        super().step()

    def _advance_leave(self, machine_id: int) -> None:
        """Remove a leaving machine soon after its release, or when its grace period or its process ends."""
        replica, now = self.cluster.machines[machine_id].replica, self.cluster.now
        if replica is not None and replica.leave_granted and machine_id not in self.leave_granted:
            self.leave_granted.add(machine_id)
            self.leaving[machine_id] = min(self.leaving[machine_id], now + RELEASE_TO_EXIT_SECONDS)
            record = self.cluster.invariants.newest_record
            if machine_id in record.in_sync and not replica.is_amnesic:
                detail = f"machine {machine_id} is released although it is in sync in {record}"
                raise InvariantViolation(Invariant.RELEASED_MACHINE_IS_NOT_IN_SYNC, detail)
        if replica is None or now >= self.leaving[machine_id]:
            self._remove_machine(machine_id)

    def _cut_power_of_some(self) -> None:
        present = self.cluster.remaining_machines()
        is_common = self.member_random.random() < COMMON_POWER_LOSS_PROBABILITY
        for machine_id in present if is_common else [self.member_random.choice(present)]:
            self._cut_power(machine_id)

    # rounds

    def run_round(self) -> None:
        """Run with faults and up to f failures, then without faults until the cluster has recovered."""
        self.rounds += 1
        self._run_steps(self.member_random.choice(FAULT_PHASE_STEPS))
        for _ in range(self.member_random.randint(1, self.cluster.max_failures)):
            self._fail_one_machine()
            self._run_steps(self.member_random.choice(FAULT_PHASE_STEPS))
        self._await_recovery()

    def _run_steps(self, steps: int) -> None:
        for _ in range(steps):
            self.step()

    def _fail_one_machine(self) -> None:
        machines = self.cluster.machines
        present = self.cluster.remaining_machines()
        candidates = [each for each in present if not machines[each].counts_as_failed and each not in self.leaving]
        machine_id = self.member_random.choice(candidates)
        failure, replica = self.member_random.choice(list(Failure)), machines[machine_id].replica
        self.cluster.last_failure_at = self.cluster.now
        if failure is Failure.LEAVE and replica is not None:
            self._begin_leave(machine_id, replica)
        elif failure is Failure.DISK_LOSS:
            self.cluster.crash(machine_id, save_persisted=False)
            self.opening_stores.pop(machine_id, None)
            self._replace_disk(machine_id)
        else:
            self._remove_machine(machine_id)

    def missing_redundancy(self) -> str:
        """Why the next failures can't be tolerated yet; empty if they can."""
        cluster = self.cluster
        record = cluster.newest_record()
        if self.leaving or self.joining or record.epoch not in cluster.invariants.epoch_start_states:
            return "the newest epoch is not in force, or machines are still leaving or joining"
        copies = [member for member in record.in_sync if self._is_recovered(member) and self._holds(member, record)]
        if len(copies) < max(cluster.max_failures + 1, len(record.in_sync)):
            return f"only machines {copies} hold a copy of the state, for {record}"
        live = [witness for witness in record.witnesses if self._is_recovered(witness)]
        if record.former or len(live) < replication.majority(record.witnesses) + cluster.max_failures:
            return f"only witnesses {live} are available, or former ones remain, in {record}"
        unrecovered = [each for each in cluster.remaining_machines() if not self._is_recovered(each)]
        return f"machines {unrecovered} have not recovered" if unrecovered else ""

    def _is_recovered(self, machine_id: int) -> bool:
        """Whether a machine runs and is not amnesic, that is, knows its promises."""
        replica = self.cluster.machines[machine_id].replica
        return replica is not None and not replica.is_amnesic

    def _holds(self, machine_id: int, record: replication.EpochRecord) -> bool:
        """Whether a machine's disk holds a state of the record's epoch or a later one."""
        disk = self.cluster.machines[machine_id].disk
        return disk is not None and disk.version.epoch >= record.epoch

    def _await_recovery(self) -> None:
        """Run without faults until the next failures can be tolerated and a change is committed."""
        cluster = self.cluster
        self.fault_free = True
        for machine in cluster.machines.values():
            machine.paused_until = min(machine.paused_until, cluster.now)
            machine.down_until = min(machine.down_until, cluster.now)
        started_at, commits_before = cluster.now, cluster.commit_count
        while missing := self.missing_redundancy():
            if cluster.now > started_at + REDUNDANCY_LIMIT_SECONDS:
                detail = f"after {REDUNDANCY_LIMIT_SECONDS} s without faults: {missing}"
                raise InvariantViolation(Invariant.REDUNDANCY_IS_RESTORED, detail)
            self.step()
        self.longest_recovery = max(self.longest_recovery, cluster.now - started_at)
        while cluster.commit_count == commits_before:
            if cluster.now > started_at + COMMIT_LIMIT_SECONDS:
                raise InvariantViolation(
                    Invariant.COMMITS_RESUME, f"no commit in {COMMIT_LIMIT_SECONDS} s without faults"
                )
            self.step()
        for machine in cluster.machines.values():
            machine.counts_as_failed = machine.counts_as_failed and machine.removed
        self.fault_free = False

    def run(self, steps: int, recover: bool = True) -> WalkResult:
        """Run complete rounds until ``steps`` are done. ``recover`` has no effect: every round ends recovered."""
        cluster, violation = self.cluster, ""
        try:
            while self.steps < steps:
                self.run_round()
        except InvariantViolation as violated:
            violation = str(violated)
        commits, epochs = cluster.commit_count, cluster.epoch_count
        return WalkResult(self.seed, self.steps, violation, commits, epochs, longest_recovery=self.longest_recovery)
