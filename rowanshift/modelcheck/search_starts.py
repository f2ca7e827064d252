"""Where breadth-first search starts: a quiet primary, and three things under way."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel, fixed_random
from rowanshift.modelcheck.invariants import InvariantViolation

STEP = 0.1  # seconds between two ticks on the way to a start
MOST_STEPS = 4000


@dataclass
class Start:
    """A world, and how often each event that isn't the protocol's own may come from there."""

    cluster: ClusterModel
    budget: dict[str, int]


class Approach:
    """Takes a world to a start: messages come in order, saves land, nothing is lost."""

    def __init__(self, replica_class: type[replication.Replica], machine_count: int = 3, spares: int = 0) -> None:
        seeds = tuple(range(1, machine_count + 1))
        self.replica_class = replica_class
        self.cluster = ClusterModel(
            {machine_id: MachineModel(None) for machine_id in range(1, machine_count + spares + 1)}, 1, seeds
        )
        for machine_id in self.cluster.machines:
            self.start(machine_id, bootstrap=machine_id in seeds)

    def start(self, machine_id: int, bootstrap: bool = False) -> None:
        """Start a machine's process."""
        cluster, machine = self.cluster, self.cluster.machines[machine_id]
        machine.replica = self.replica_class(
            machine_id, 1, cluster.seeds, bootstrap, machine.disk, cluster.now, fixed_random
        )
        cluster.carry_out_actions(machine_id)

    def step(self) -> None:
        """Deliver a message, land a save, or let time pass if there is neither."""
        cluster = self.cluster
        saving = [machine_id for machine_id, machine in cluster.machines.items() if machine.pending_save is not None]
        if cluster.in_flight:
            if cluster.machines[cluster.in_flight[0][1]].replica is None:
                cluster.in_flight.pop(0)
            else:
                cluster.deliver(0)
        elif saving:
            cluster.complete_save(saving[0])
        else:
            cluster.now = round(cluster.now + STEP, 3)
            for machine_id, machine in cluster.machines.items():
                if machine.replica is not None:
                    cluster.tick(machine_id)

    def until(self, reached: Callable[[], bool]) -> None:
        """Go on until a condition holds."""
        for _ in range(MOST_STEPS):
            if reached():
                return
            self.step()
        raise InvariantViolation("START: it isn't reached")

    def primary(self) -> int:
        """The machine in office, or 0."""
        machines = self.cluster.machines.items()
        return next(
            (
                machine_id
                for machine_id, machine in machines
                if machine.replica is not None and machine.replica.is_primary
            ),
            0,
        )

    def at_rest(self) -> bool:
        """Whether nothing is in flight and no save is outstanding."""
        return not self.cluster.in_flight and all(
            machine.pending_save is None for machine in self.cluster.machines.values()
        )

    def commit(self) -> None:
        """Have a primary in office, and one change committed."""
        self.until(lambda: self.at_rest() and bool(self.primary()))
        self.cluster.propose(self.primary())
        self.until(lambda: self.at_rest() and self.cluster.commit_count == 1)


def quiet_primary(replica_class: type[replication.Replica] = replication.Replica) -> Start:
    """One primary in office, one commit complete, one change proposed and one read asked."""
    approach = Approach(replica_class)
    approach.commit()
    approach.cluster.propose(approach.primary())
    approach.cluster.read(approach.primary())
    return Start(approach.cluster, {"crash": 1, "empty": 1, "read": 1, "propose": 1})


def takeover(replica_class: type[replication.Replica] = replication.Replica) -> Start:
    """The primary's process ended with a change proposed; another machine's Prepares are on their way."""
    approach = Approach(replica_class)
    approach.commit()
    cluster, first = approach.cluster, approach.primary()
    cluster.propose(first)
    cluster.crash(first, save_persisted=True)
    approach.until(lambda: any(isinstance(message, replication.Prepare) for _, _, message in cluster.in_flight))
    return Start(cluster, {"crash": 1, "empty": 1, "read": 1, "propose": 1})


def membership_change(replica_class: type[replication.Replica] = replication.Replica) -> Start:
    """A witness is gone for good; the primary's Prepares of the epoch with a spare in its place are on their way."""
    approach = Approach(replica_class, spares=1)
    approach.commit()
    cluster, primary = approach.cluster, approach.primary()
    approach.until(lambda: not cluster.machines[4].replica.is_amnesic and cluster.now > 6 and approach.at_rest())
    gone = next(
        machine_id for machine_id in (1, 2, 3) if machine_id not in cluster.machines[primary].replica.record.in_sync
    )
    cluster.crash(gone, save_persisted=False)
    cluster.machines[gone].gone = cluster.machines[gone].lost = True

    def changing() -> bool:
        candidacy = cluster.machines[primary].replica._candidacy
        sent = any(isinstance(message, replication.Prepare) for _, _, message in cluster.in_flight)
        return candidacy is not None and bool(candidacy.witnesses) and sent

    approach.until(changing)
    return Start(cluster, {"crash": 1, "empty": 0, "read": 1, "propose": 1})


def recovery(replica_class: type[replication.Replica] = replication.Replica) -> Start:
    """A backup lost its disk; its RecoveryRequests are on their way while a change is proposed."""
    approach = Approach(replica_class)
    approach.commit()
    cluster, primary = approach.cluster, approach.primary()
    backup = next(
        machine_id for machine_id in cluster.machines[primary].replica.record.in_sync if machine_id != primary
    )
    cluster.crash(backup, save_persisted=False)
    cluster.machines[backup].disk, cluster.machines[backup].lost = None, True
    approach.start(backup)
    approach.until(lambda: any(isinstance(message, replication.RecoveryRequest) for _, _, message in cluster.in_flight))
    cluster.propose(approach.primary())
    return Start(cluster, {"crash": 1, "empty": 0, "read": 1, "propose": 1})


STARTS: dict[str, Callable[[type[replication.Replica]], Start]] = {
    "quiet-primary": quiet_primary,
    "takeover": takeover,
    "membership-change": membership_change,
    "recovery": recovery,
}
