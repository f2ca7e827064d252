"""Breadth-first search: all orders of events from a start, nearest first."""

from __future__ import annotations

import pickle
import time
from collections import deque
from dataclasses import dataclass

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.invariants import InvariantViolation
from rowanshift.modelcheck.world import Host, World, half


def settled(replica_class: type[p.Replica] = p.Replica) -> World:
    """Three machines, one primary in office, one commit complete, one proposed and one read asked."""
    world = World({me: Host(None) for me in (1, 2, 3)}, 1, (1, 2, 3))
    for me, host in world.hosts.items():
        host.replica = replica_class(me, 1, world.seeds, True, None, 0.0, half)
        world.collect(me)
    proposed = False
    for _ in range(400):
        if world.net:
            world.deliver(0)
        elif saving := [me for me, host in world.hosts.items() if host.save is not None]:
            world.sync(saving[0])
        else:
            primaries = [me for me, host in world.hosts.items() if host.replica.is_primary]
            if primaries and world.committed:
                world.propose(primaries[0])
                world.read(primaries[0])
                return world
            if primaries and not proposed:
                proposed = True
                world.propose(primaries[0])
            else:
                world.now += 0.1
                for me in world.hosts:
                    world.tick(me)
    raise InvariantViolation("SETTLED: no primary took office")


@dataclass
class BreadthResult:
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
        if host.replica is None:
            found.append(("start", me))
        elif budget["crash"]:
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


def breadth(states: int, replica_class: type[p.Replica] = p.Replica) -> BreadthResult:
    """All orders of events from `settled`, nearest first, until `states` different states have been seen."""
    began = time.monotonic()
    start = settled(replica_class)
    budget = {"crash": 1, "empty": 1, "read": 1, "propose": 1}
    queue = deque([(0, pickle.dumps((start, budget)))])
    seen = {digest(start, budget)}
    depth = 0
    while queue:
        depth, packed = queue.popleft()
        if len(seen) >= states:
            break
        world, budget = pickle.loads(packed)
        for event in events(world, budget):
            after, left = pickle.loads(packed)
            try:
                apply(after, left, event, replica_class)
            except InvariantViolation as broken:
                return BreadthResult(len(seen), depth, time.monotonic() - began, str(broken))
            key = digest(after, left)
            if key not in seen:
                seen.add(key)
                queue.append((depth + 1, pickle.dumps((after, left))))
    return BreadthResult(len(seen), depth, time.monotonic() - began)


def digest(world: World, budget: dict[str, int]) -> int:
    hosts = [(host.disk, host.save, host.replica and vars(host.replica)) for host in world.hosts.values()]
    checks = (world.checks.commits, world.checks.reads, world.checks.fence)
    return hash((repr(hosts), repr(sorted(map(repr, world.net))), world.now, repr(checks), repr(budget)))
