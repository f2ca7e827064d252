"""A cluster of replicas for tests, in which messages and saves complete at once unless a test blocks them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel, fixed_random

ME, OTHER, THIRD, FOURTH = 1, 2, 3, 4
TICK_SECONDS = 0.05
MAX_STEPS = 2000  # limit for delivering all messages and completing all saves


class RecordedAction(NamedTuple):
    """An action of a machine that is neither a Send nor a Save."""

    at: float
    machine: int
    action: replication.Action


def _drop_nothing(sender: int, recipient: int, message: replication.Message) -> bool:
    return False


class ReplicationRig:
    """Replicas on the cluster model, executed step by step in a fixed order."""

    def __init__(
        self, machines: int = 3, max_failures: int = 1, spares: int = 0, singleton_task_delay: float = 0.0
    ) -> None:
        seeds = tuple(range(1, machines + 1))
        self.cluster = ClusterModel({}, max_failures, seeds)
        self.singleton_task_delay = singleton_task_delay
        self.drop: Callable[[int, int, replication.Message], bool] = _drop_nothing
        self.stalled_disks: set[int] = set()  # machines whose saves never complete
        self.paused: set[int] = set()
        self.actions: list[RecordedAction] = []
        for me in range(1, machines + spares + 1):
            self.cluster.machines[me] = MachineModel(None)
            self.start(me, bootstrap=me <= machines)

    def start(self, me: int, bootstrap: bool = False) -> None:
        """Start a machine's replica from its durable state."""
        machine, cluster = self.cluster.machines[me], self.cluster
        replica = replication.Replica(
            me,
            cluster.max_failures,
            cluster.seeds,
            bootstrap,
            machine.disk,
            cluster.now,
            fixed_random,
            self.singleton_task_delay,
        )
        drain = replica.drain

        def drain_and_record() -> list[replication.Action]:
            actions = drain()
            self.actions += [
                RecordedAction(cluster.now, me, action)
                for action in actions
                if not isinstance(action, replication.Send | replication.Save)
            ]
            return actions

        replica.drain = drain_and_record
        machine.replica = replica
        cluster.carry_out_actions(me)

    def settle(self) -> None:
        """Deliver messages and complete saves until none are pending."""
        for _ in range(MAX_STEPS):
            if not self._deliver_next() and not self._complete_next_save():
                self.cluster.check_leases()
                return
        raise AssertionError(f"messages or saves are still pending after {MAX_STEPS} steps")

    def _deliver_next(self) -> bool:
        cluster = self.cluster
        deliverable = [i for i, entry in enumerate(cluster.in_flight) if entry.recipient not in self.paused]
        if not deliverable:
            return False
        sender, recipient, message = cluster.in_flight[deliverable[0]]
        if cluster.machines[recipient].replica is None or self.drop(sender, recipient, message):
            cluster.in_flight.pop(deliverable[0])
        else:
            cluster.deliver(deliverable[0])
        return True

    def _complete_next_save(self) -> bool:
        for me, machine in self.cluster.machines.items():
            if machine.pending_save is not None and me not in self.stalled_disks:
                self.cluster.complete_save(me)
                return True
        return False

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Advance the time by ``seconds``, or until ``until`` returns True. Returns the seconds that passed."""
        started_at = self.cluster.now
        self.settle()
        while self.cluster.now < started_at + seconds and not until():
            self.cluster.now += TICK_SECONDS
            for me, machine in self.cluster.machines.items():
                if machine.replica is not None and me not in self.paused:
                    self.cluster.tick(me)
            self.settle()
        return self.cluster.now - started_at

    def replica(self, me: int) -> replication.Replica:
        """The replica of a machine."""
        return self.cluster.machines[me].replica

    def primary(self) -> int:
        """The primary of the highest epoch, 0 if there is none."""
        found = [
            (machine.replica.record.epoch, me)
            for me, machine in self.cluster.machines.items()
            if machine.replica is not None and machine.replica.is_primary
        ]
        return max(found, default=(0, 0))[1]

    def backup(self) -> int:
        """An in-sync machine that is not the primary."""
        primary = self.primary()
        return next(member for member in self.replica(primary).record.in_sync if member != primary)

    def witness_not_in_sync(self) -> int:
        """One of the first three machines that is not in sync."""
        in_sync = self.replica(self.primary()).record.in_sync
        return next(machine for machine in (1, 2, 3) if machine not in in_sync)

    def elect(self) -> int:
        """Run until there is a primary, then for another 0.5 s. Returns the primary."""
        self.run(3, lambda: bool(self.primary()))
        self.run(0.5)
        return self.primary()

    def commit(self) -> int:
        """Propose a state at the primary and settle. Returns the number of proposals committed since the start."""
        self.cluster.propose(self.primary())
        self.settle()
        return self.cluster.commit_count

    def actions_of(self, kind: type) -> list[RecordedAction]:
        """The recorded actions of a type."""
        return [recorded for recorded in self.actions if isinstance(recorded.action, kind)]


def sent_messages(replica: replication.Replica) -> list[replication.Message]:
    """The messages that a replica has requested to send since the last call."""
    return [action.message for action in replica.drain() if isinstance(action, replication.Send)]


def single_replica(
    durable: replication.DurableState | None = None, bootstrap: bool = True, now: float = 0.0
) -> replication.Replica:
    """The replica of one machine of three, with its first save completed."""
    replica = replication.Replica(ME, 1, (ME, OTHER, THIRD), bootstrap, durable, now, fixed_random)
    for action in replica.drain():
        if isinstance(action, replication.Save):
            replica.saved(action.token, now)
    return replica


def reply_to(
    replica: replication.Replica, message: replication.Message, now: float, sender: int = THIRD
) -> replication.Message | None:
    """Deliver a message, complete saves, and return the last message sent back; None if there is none."""
    replica.receive(sender, message, now)
    actions = replica.drain()
    for action in actions:
        if isinstance(action, replication.Save):
            replica.saved(action.token, now)
    found = [a.message for a in (*actions, *replica.drain()) if isinstance(a, replication.Send) and a.to == sender]
    return found[-1] if found else None


def epoch_of(election_round: int, machine: int) -> int:
    """The epoch that a machine chooses in the given round of elections."""
    return election_round << 32 | machine


RECORD = replication.EpochRecord(epoch_of(1, OTHER), OTHER, (ME, OTHER), (ME, OTHER, THIRD))
DURABLE = replication.DurableState(
    RECORD.epoch, RECORD, replication.StateVersion(RECORD.epoch, 3), b"abcd", amnesic=False
)
