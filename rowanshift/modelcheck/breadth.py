"""Breadth-first search: all orders of events from a start, nearest first."""

from __future__ import annotations

import pickle
import time
from collections import deque
from dataclasses import dataclass

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.invariants import InvariantViolation
from rowanshift.modelcheck.starts import STARTS
from rowanshift.modelcheck.world import World, half


@dataclass
class BreadthResult:
    """What a search came to."""

    states: int
    depth: int  # every state up to this many events from the start has been seen
    seconds: float
    broken: str = ""


def events(world: World, budget: dict[str, int]) -> list[tuple]:
    """Every event that can come next. A message lost is one that is never delivered."""
    found: list[tuple] = []
    seen = set()
    for index, entry in enumerate(world.net):
        if entry not in seen and world.hosts[entry[1]].replica is not None:
            seen.add(entry)
            found.append(("deliver", index))
    for me, host in world.hosts.items():
        if host.save is not None:
            found.append(("sync", me))
        if host.replica is None and not host.gone:
            found.append(("start", me))
        elif host.replica is not None and budget["crash"]:
            found.append(("crash", me, False))
            if host.save is not None:
                found.append(("crash", me, True))
        if host.replica is not None and budget["empty"]:
            found.append(("empty", me))
        if host.replica is not None and host.replica.is_primary and budget["read"]:
            found.append(("read", me))
        if host.replica is not None and host.replica.is_primary and budget["propose"]:
            found.append(("propose", me))
    found.extend(("later", span) for span in (0.25, 1.4))
    return found


def apply(world: World, budget: dict[str, int], event: tuple, replica_class: type[p.Replica]) -> None:
    """Carry one event out in the world."""
    kind, *what = event
    if kind in budget:
        budget[kind] -= 1
    match kind:
        case "deliver":
            world.deliver(what[0])
        case "sync" | "read" | "propose":
            getattr(world, kind)(what[0])
        case "crash":
            world.crash(what[0], what[1])
        case "empty":
            world.crash(what[0], False)
            world.hosts[what[0]].disk = None
        case "start":
            host = world.hosts[what[0]]
            host.replica = replica_class(what[0], world.f, world.seeds, False, host.disk, world.now, half)
            world.collect(what[0])
        case "later":
            world.now = round(world.now + what[0], 3)
            for me, host in world.hosts.items():
                if host.replica is not None:
                    world.tick(me)
    world.check_leases()


def breadth(
    states: int,
    start: str = "quiet-primary",
    replica_class: type[p.Replica] = p.Replica,
    most_events: int = 1000,
) -> BreadthResult:
    """All orders of events from a start, nearest first, until so many states or so many events deep."""
    began = time.monotonic()
    first = STARTS[start](replica_class)
    queue = deque([(0, pickle.dumps((first.world, first.budget)))])
    seen = {digest(first.world, first.budget)}
    depth = 0
    while queue:
        depth, packed = queue.popleft()
        if len(seen) >= states or depth >= most_events:
            break
        world, budget = pickle.loads(packed)
        for event in events(world, budget):
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


def digest(world: World, budget: dict[str, int]) -> int:
    """What two equal states of the world have in common."""
    hosts = [(host.disk, host.save, host.replica and vars(host.replica)) for host in world.hosts.values()]
    checks = (world.checks.commits, world.checks.reads, world.checks.fence)
    return hash((repr(hosts), repr(sorted(map(repr, world.net))), world.now, repr(checks), repr(budget)))
