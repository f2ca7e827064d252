"""Random walks whose rounds each end in the worst tolerated fault: f disks are lost while all machines lose power.

Each round of a `MembershipWalk` is followed by this closing fault. Just before it a machine may leave as planned or be
removed. Disks keep what was synced; each unsynced name is kept or lost independently. Afterwards there must be a new
commit, and it must contain everything committed before (invariants `KEPT`, `REDUNDANCY` and `COMMIT`).
"""

from __future__ import annotations

from enum import Enum

from rowanshift.controlplane import replication
from rowanshift.modelcheck.implementations import DEFAULT_IMPLEMENTATIONS, Implementations
from rowanshift.modelcheck.membership_walk import JOIN_DELAYS_SECONDS, LEAVE_GRACE_SECONDS, MembershipWalk

CLOSING_FAULT_DELAYS_SECONDS = (
    0.0,
    0.02,
    0.1,
    0.3,
    1.0,
)  # upper bounds of the time from the preceding event to the closing fault
LEAVE_LIMIT_SECONDS = LEAVE_GRACE_SECONDS + 0.5  # until a leaving machine must have exited
FAILED_UNTIL_SYNCED_SECONDS = 4.0  # from the start of a machine until it no longer counts as failed, without faults


class PrecedingEvent(Enum):
    """An event that affects one machine just before the closing fault."""

    NOTHING = "nothing"
    LEAVE = "leave"
    REMOVAL = "removal"


class WorstCaseWalk(MembershipWalk):
    """A walk with membership changes whose rounds each end in a closing fault."""

    def run_round(self) -> None:
        """Run a round of a membership walk, restore redundancy, then inject the closing fault and await recovery."""
        super().run_round()
        self.fault_free = True
        self._run_seconds(FAILED_UNTIL_SYNCED_SECONDS)
        self.fault_free = False
        failures = self._precede_closing_fault()
        self._run_seconds(self.member_random.random() * self.member_random.choice(CLOSING_FAULT_DELAYS_SECONDS))
        self._inject_closing_fault(self.cluster.max_failures - failures)
        self._await_recovery()

    def _precede_closing_fault(self) -> int:
        """Inject a preceding event. Returns how many of the f tolerated failures it consumes."""
        event = self.member_random.choice(list(PrecedingEvent))
        if event is PrecedingEvent.NOTHING:
            return 0
        machine_id = self.member_random.choice(self.cluster.remaining_machines())
        if event is PrecedingEvent.REMOVAL:
            self._remove_machine(machine_id)
            return 1
        is_replaced = self._has_spare()
        self.fault_free = without_faults = self.member_random.random() < 0.5
        self._complete_leave(machine_id)
        self.fault_free = False
        if not without_faults:  # a fault may have affected the spare itself
            is_replaced = machine_id not in self.cluster.newest_record().members()
        return 0 if is_replaced and machine_id in self.leave_granted else 1

    def _complete_leave(self, machine_id: int) -> None:
        """Make a machine leave and run until it has exited or the time limit is reached."""
        cluster, machine = self.cluster, self.cluster.machines[machine_id]
        if machine.replica is None:
            self._remove_machine(machine_id)
            return
        self._begin_leave(machine_id, machine.replica)
        until = cluster.now + LEAVE_LIMIT_SECONDS
        while not machine.removed and cluster.now < until:
            self.step()

    def _inject_closing_fault(self, lost_disks: int) -> None:
        """Cut the power of all machines at the same time and replace ``lost_disks`` disks by empty ones."""
        present = self.cluster.remaining_machines()
        self.leaving.clear()
        for machine_id in present:
            self._cut_power(machine_id)
        for machine_id in self.member_random.sample(present, lost_disks):
            self._replace_disk(machine_id)
        delays = [self.member_random.choice(JOIN_DELAYS_SECONDS) for _ in self.joining]
        self.joining = [self.cluster.now + delay for delay in delays]

    def _has_spare(self) -> bool:
        """Whether there is a recovered machine that may become a witness and isn't one."""
        witnesses = self.cluster.newest_record().witnesses
        candidates = (each for each in self.cluster.remaining_machines() if self._may_be_witness(each))
        return any(self._is_recovered(machine_id) and machine_id not in witnesses for machine_id in candidates)

    def _may_be_witness(self, machine_id: int) -> bool:
        return True

    def _run_seconds(self, seconds: float) -> None:
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            self.step()


class ObserverWalk(WorstCaseWalk):
    """A worst-case walk with an additional observer: a non-voting machine that each closing fault removes beyond f."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 1,
        implementations: Implementations = DEFAULT_IMPLEMENTATIONS,
        timing: replication.Timing | None = None,
    ) -> None:
        self.observer = machine_count + spares + 1
        super().__init__(seed, machine_count, max_failures, spares + 1, implementations, timing)

    def _start_replica(self, machine_id: int, seeds: tuple[int, ...], bootstrap: bool) -> None:
        super()._start_replica(machine_id, seeds, bootstrap)
        self.cluster.machines[machine_id].running_replica.quorum_member = machine_id != self.observer

    def _may_be_witness(self, machine_id: int) -> bool:
        return machine_id != self.observer

    def _remove_machine(self, machine_id: int) -> None:
        super()._remove_machine(machine_id)
        if machine_id == self.observer:
            self.joining.pop()  # the next observer joins after the closing fault; the machine count stays the same

    def _inject_closing_fault(self, lost_disks: int) -> None:
        if not self.cluster.machines[self.observer].removed:
            self._remove_machine(self.observer)
        super()._inject_closing_fault(lost_disks)
        self._join()
        self.observer = max(self.cluster.machines)
