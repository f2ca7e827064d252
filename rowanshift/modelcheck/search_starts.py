"""Start states of breadth-first search: an idle primary, and three procedures in progress."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel, fixed_random
from rowanshift.modelcheck.errors import StartNotReached

MAX_FAILURES = 1
STEP_SECONDS = 0.1  # between two ticks while a start state is being reached
MAX_STEPS = 4000
SPARE_READY_SECONDS = 6.0  # until a spare may replace a member


@dataclass
class EventBudget:
    """How many more events of each kind that comes from outside the protocol may happen."""

    crashes: int = 1
    disk_losses: int = 1
    reads: int = 1
    proposals: int = 1


@dataclass
class SearchState:
    """A state that a search starts from or visits."""

    cluster: ClusterModel
    budget: EventBudget


class DirectedRun:
    """Drives a cluster to a start state: messages arrive in order, saves complete, and no faults are injected."""

    def __init__(self, replica_class: type[replication.Replica], machine_count: int = 3, spares: int = 0) -> None:
        seeds = tuple(range(1, machine_count + 1))
        machine_ids = range(1, machine_count + spares + 1)
        self.replica_class = replica_class
        self.cluster = ClusterModel({machine_id: MachineModel() for machine_id in machine_ids}, MAX_FAILURES, seeds)
        for machine_id in machine_ids:
            start_machine(self.cluster, machine_id, replica_class, bootstrap=machine_id in seeds)

    def step(self) -> None:
        """Deliver a message, complete a save, or advance the clock if there is neither."""
        cluster = self.cluster
        saving = [each for each, machine in cluster.machines.items() if machine.pending_save is not None]
        if cluster.in_flight:
            if cluster.machines[cluster.in_flight[0].recipient].replica is None:
                cluster.in_flight.pop(0)
            else:
                cluster.deliver(0)
        elif saving:
            cluster.complete_save(saving[0])
        else:
            advance_clock(cluster, STEP_SECONDS)

    def run_until(self, is_reached: Callable[[], bool]) -> None:
        """Run until a condition holds. Raises ``StartNotReached`` if that takes more than `MAX_STEPS`."""
        for _ in range(MAX_STEPS):
            if is_reached():
                return
            self.step()
        raise StartNotReached(f"the start state of the search was not reached within {MAX_STEPS} steps")

    def primary(self) -> int:
        """The first machine that is a primary, or 0 if there is none."""
        return next(iter(self.cluster.primaries()), 0)

    def is_quiet(self) -> bool:
        """Whether no message is in flight and no save is outstanding."""
        machines = self.cluster.machines.values()
        return not self.cluster.in_flight and all(machine.pending_save is None for machine in machines)

    def is_sent(self, message_type: type) -> bool:
        """Whether a message of a type is in flight."""
        return any(isinstance(envelope.message, message_type) for envelope in self.cluster.in_flight)

    def commit(self) -> None:
        """Run until there is a primary, and commit one change."""
        self.run_until(lambda: self.is_quiet() and bool(self.primary()))
        self.cluster.propose(self.primary())
        self.run_until(lambda: self.is_quiet() and self.cluster.commit_count == 1)


def start_machine(
    cluster: ClusterModel, machine_id: int, replica_class: type[replication.Replica], bootstrap: bool = False
) -> None:
    """Start a machine's process, without randomness."""
    machine = cluster.machines[machine_id]
    machine.replica = replica_class(
        machine_id, cluster.max_failures, cluster.seeds, bootstrap, machine.disk, cluster.now, fixed_random
    )
    cluster.carry_out_actions(machine_id)


def advance_clock(cluster: ClusterModel, seconds: float) -> None:
    """Advance the time and tick every replica. The time is rounded so that equal times compare equal."""
    cluster.now = round(cluster.now + seconds, 3)
    cluster.tick_all()


def quiet_primary(replica_class: type[replication.Replica] = replication.Replica) -> SearchState:
    """A primary has committed a change, proposed another one and received a read request."""
    run = DirectedRun(replica_class)
    run.commit()
    run.cluster.propose(run.primary())
    run.cluster.read(run.primary())
    return SearchState(run.cluster, EventBudget())


def takeover(replica_class: type[replication.Replica] = replication.Replica) -> SearchState:
    """The primary's process crashed after it proposed a change; another machine's Prepares are in flight."""
    run = DirectedRun(replica_class)
    run.commit()
    first_primary = run.primary()
    run.cluster.propose(first_primary)
    run.cluster.crash(first_primary, save_persisted=True)
    run.run_until(lambda: run.is_sent(replication.Prepare))
    return SearchState(run.cluster, EventBudget())


def membership_change(replica_class: type[replication.Replica] = replication.Replica) -> SearchState:
    """A witness was removed; the primary's Prepares for an epoch with a spare in its place are in flight."""
    run = DirectedRun(replica_class, spares=1)
    run.commit()
    machines, primary = run.cluster.machines, run.primary()
    spare = max(machines)
    run.run_until(
        lambda: (
            not machines[spare].running_replica.is_amnesic and run.cluster.now > SPARE_READY_SECONDS and run.is_quiet()
        )
    )
    in_sync = machines[primary].running_replica.record.in_sync
    removed = next(machine_id for machine_id in run.cluster.seeds if machine_id not in in_sync)
    run.cluster.crash(removed, save_persisted=False)
    machines[removed].removed = machines[removed].counts_as_failed = True

    def is_changing() -> bool:
        candidacy = machines[primary].running_replica._candidacy
        return candidacy is not None and bool(candidacy.wanted_witnesses) and run.is_sent(replication.Prepare)

    run.run_until(is_changing)
    return SearchState(run.cluster, EventBudget(disk_losses=0))


def recovery(replica_class: type[replication.Replica] = replication.Replica) -> SearchState:
    """A backup lost its disk; its RecoveryRequests and a proposed change are in flight."""
    run = DirectedRun(replica_class)
    run.commit()
    machines, primary = run.cluster.machines, run.primary()
    backup = next(each for each in machines[primary].running_replica.record.in_sync if each != primary)
    run.cluster.lose_disk(backup)
    machines[backup].counts_as_failed = True
    start_machine(run.cluster, backup, replica_class)
    run.run_until(lambda: run.is_sent(replication.RecoveryRequest))
    run.cluster.propose(run.primary())
    return SearchState(run.cluster, EventBudget(disk_losses=0))


# keys are the names on the command line
STARTS: dict[str, Callable[[type[replication.Replica]], SearchState]] = {
    "quiet-primary": quiet_primary,
    "takeover": takeover,
    "membership-change": membership_change,
    "recovery": recovery,
}
