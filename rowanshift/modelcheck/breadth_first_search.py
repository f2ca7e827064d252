"""Breadth-first search: all orders of events from a start, nearest first."""

from __future__ import annotations

import pickle
import time
from collections import deque
from dataclasses import dataclass

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, fixed_random
from rowanshift.modelcheck.invariants import InvariantViolation
from rowanshift.modelcheck.search_starts import STARTS


@dataclass
class BreadthResult:
    """What a search came to."""

    states: int
    depth: int  # every state up to this many events from the start has been seen
    seconds: float
    violation: str = ""


def events(cluster: ClusterModel, budget: dict[str, int]) -> list[tuple]:
    """Every event that can come next. A message lost is one that is never delivered."""
    found: list[tuple] = []
    seen = set()
    for index, entry in enumerate(cluster.in_flight):
        if entry not in seen and cluster.machines[entry[1]].replica is not None:
            seen.add(entry)
            found.append(("deliver", index))
    for machine_id, machine in cluster.machines.items():
        if machine.pending_save is not None:
            found.append(("complete_save", machine_id))
        if machine.replica is None and not machine.gone:
            found.append(("start", machine_id))
        elif machine.replica is not None and budget["crash"]:
            found.append(("crash", machine_id, False))
            if machine.pending_save is not None:
                found.append(("crash", machine_id, True))
        if machine.replica is not None and budget["empty"]:
            found.append(("empty", machine_id))
        if machine.replica is not None and machine.replica.is_primary and budget["read"]:
            found.append(("read", machine_id))
        if machine.replica is not None and machine.replica.is_primary and budget["propose"]:
            found.append(("propose", machine_id))
    found.extend(("later", span) for span in (0.25, 1.4))
    return found


def apply(
    cluster: ClusterModel, budget: dict[str, int], event: tuple, replica_class: type[replication.Replica]
) -> None:
    """Carry one event out in the world."""
    kind, *what = event
    if kind in budget:
        budget[kind] -= 1
    match kind:
        case "deliver":
            cluster.deliver(what[0])
        case "complete_save" | "read" | "propose":
            getattr(cluster, kind)(what[0])
        case "crash":
            cluster.crash(what[0], what[1])
        case "empty":
            cluster.crash(what[0], False)
            cluster.machines[what[0]].disk = None
        case "start":
            machine = cluster.machines[what[0]]
            machine.replica = replica_class(
                what[0], cluster.max_failures, cluster.seeds, False, machine.disk, cluster.now, fixed_random
            )
            cluster.carry_out_actions(what[0])
        case "later":
            cluster.now = round(cluster.now + what[0], 3)
            for machine_id, machine in cluster.machines.items():
                if machine.replica is not None:
                    cluster.tick(machine_id)
    cluster.check_leases()


def search_breadth_first(
    states: int,
    start: str = "quiet-primary",
    replica_class: type[replication.Replica] = replication.Replica,
    most_events: int = 1000,
) -> BreadthResult:
    """All orders of events from a start, nearest first, until so many states or so many events deep."""
    began = time.monotonic()
    first = STARTS[start](replica_class)
    queue = deque([(0, pickle.dumps((first.cluster, first.budget)))])
    seen = {digest(first.cluster, first.budget)}
    depth = 0
    while queue:
        depth, packed = queue.popleft()
        if len(seen) >= states or depth >= most_events:
            break
        cluster, budget = pickle.loads(packed)
        for event in events(cluster, budget):
            after, left = pickle.loads(packed)
            try:
                apply(after, left, event, replica_class)
            except InvariantViolation as violation:
                return BreadthResult(len(seen), depth, time.monotonic() - began, str(violation))
            key = digest(after, left)
            if key not in seen:
                seen.add(key)
                queue.append((depth + 1, pickle.dumps((after, left))))
    return BreadthResult(len(seen), depth, time.monotonic() - began)


def digest(cluster: ClusterModel, budget: dict[str, int]) -> int:
    """What two equal states of the world have in common."""
    machines = [
        (machine.disk, machine.pending_save, machine.replica and vars(machine.replica))
        for machine in cluster.machines.values()
    ]
    invariants = (cluster.invariants.commits, cluster.invariants.reads, cluster.invariants.fence)
    return hash(
        (repr(machines), repr(sorted(map(repr, cluster.in_flight))), cluster.now, repr(invariants), repr(budget))
    )
