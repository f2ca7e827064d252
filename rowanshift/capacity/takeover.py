"""Time without a primary after a fault: real replicas in a seeded simulation on a virtual clock.

Machines run the real ``Replica``. Message delays and save times are drawn at random up to the maxima below.
"""

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count, pairwise
from typing import Any

from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.controlplane.replication import ProposalCommitted, Replica, Save, Send
from rowanshift.placement.hash_ring import HashRing, stable_hash

TICK_SECONDS = 0.05
SINGLETON_TASK_DELAY_SECONDS = 3.3  # the service's lease of 3 s and its margin
MAX_DELAY_IN_REGION_SECONDS, MAX_DELAY_BETWEEN_REGIONS_SECONDS = 0.0005, 0.020
MAX_SAVE_SECONDS = 0.010
SETTLE_SECONDS = 6.0  # by then the first primary holds its lease
MAX_WAIT_SECONDS = 30.0
FAULTS = ("primary_killed", "primary_cut_off", "backup_killed", "witness_killed")
RING_KEYS = 1000


@dataclass(slots=True)
class ReplicaSimulation:
    """Core machines, assigned to the regions in turn."""

    seed: int
    f: int = 2
    machines: int = 5
    regions: int = 3
    now: float = 0.0  # seconds
    sent: Counter[str] = field(default_factory=Counter)  # messages by kind
    bytes: int = 0  # length of their frames
    saves: int = 0
    ledgers: dict[int, Replica] = field(default_factory=dict)
    isolated: set[int] = field(default_factory=set)
    committed: list[float] = field(default_factory=list)
    random_source: random.Random = field(init=False)
    sequence: Any = field(init=False)  # orders events of equal time by their scheduling
    events: list[tuple[float, int, Callable[..., None], tuple]] = field(init=False)

    def __post_init__(self) -> None:
        self.random_source, self.sequence, self.events = random.Random(self.seed), count(), []
        names = tuple(range(1, self.machines + 1))
        for machine in names:
            self.ledgers[machine] = Replica(
                machine, self.f, names, True, None, 0.0, self.random_source.random, SINGLETON_TASK_DELAY_SECONDS
            )
            self.schedule(self.random_source.random() * TICK_SECONDS, self.tick, machine)
            self.act(machine)

    def schedule(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        heappush(self.events, (when, next(self.sequence), callback, args))

    def run_until(self, end: float, done: Callable[[], bool] = lambda: False) -> bool:
        """Runs until ``done()`` holds or the clock reaches ``end``; returns whether ``done()`` holds."""
        if done():
            return True
        while self.events and self.events[0][0] <= end:
            self.now, _, callback, args = heappop(self.events)
            callback(*args)
            if done():
                return True
        self.now = end
        return False

    def tick(self, machine: int) -> None:
        if machine in self.ledgers:
            self.ledgers[machine].tick(self.now)
            self.act(machine)
            self.schedule(self.now + TICK_SECONDS, self.tick, machine)

    def act(self, machine: int) -> None:
        for action in self.ledgers[machine].drain():
            match action:
                case Send(to, message):
                    self.sent[type(message).__name__] += 1
                    self.bytes += len(CODEC.pack(message))
                    if machine not in self.isolated and to not in self.isolated:
                        far = machine % self.regions != to % self.regions
                        delay = (MAX_DELAY_BETWEEN_REGIONS_SECONDS if far else MAX_DELAY_IN_REGION_SECONDS) * (
                            0.5 + self.random_source.random() / 2
                        )
                        self.schedule(self.now + delay, self.receive, machine, to, message)
                case Save(token, _):
                    self.saves += 1
                    self.schedule(self.now + MAX_SAVE_SECONDS * self.random_source.random(), self.saved, machine, token)
                case ProposalCommitted():
                    self.committed.append(self.now)

    def receive(self, sender: int, to: int, message: Any) -> None:
        if to in self.ledgers:
            self.ledgers[to].receive(sender, message, self.now)
            self.act(to)

    def saved(self, machine: int, token: int) -> None:
        if machine in self.ledgers:
            self.ledgers[machine].saved(token, self.now)
            self.act(machine)

    def lease_holder(self) -> int:
        """Returns the machine that holds the primary's lease, or 0."""
        return next(
            (
                machine
                for machine, ledger in self.ledgers.items()
                if machine not in self.isolated and ledger.is_primary and ledger.lease_until(self.now) > self.now
            ),
            0,
        )

    def runs_singleton_tasks(self) -> bool:
        machine = self.lease_holder()
        return bool(machine) and self.ledgers[machine].singleton_tasks_from <= self.now

    def propose(self) -> None:
        """Proposes a change at the lease holder, unless one is pending there."""
        machine = self.lease_holder()
        if machine and self.ledgers[machine]._proposal is None:
            self.ledgers[machine].propose(len(self.committed), b"sheet", self.now)
            self.act(machine)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Seconds from a fault until a machine holds the lease, runs the singleton tasks, and commits a change; and
    the number of new epochs."""

    holder_s: float
    orders_s: float
    commit_s: float
    epochs: int


def simulate_fault(seed: int, fault: str, f: int = 2, machines: int = 5) -> Outcome:
    """Simulates one fault at a time drawn from the seed."""
    simulation = ReplicaSimulation(seed, f, machines)
    simulation.run_until(SETTLE_SECONDS)
    simulation.run_until(MAX_WAIT_SECONDS, simulation.runs_singleton_tasks)
    simulation.run_until(simulation.now + simulation.random_source.random())
    holder = simulation.lease_holder()
    before = simulation.ledgers[holder].record
    candidates = {
        "backup_killed": [m for m in before.in_sync if m != holder],
        "witness_killed": [m for m in before.witnesses if m not in before.in_sync],
    }.get(fault, [holder])
    victim = simulation.random_source.choice(candidates)
    at = simulation.now
    if fault == "primary_cut_off":
        simulation.isolated.add(victim)
    else:
        del simulation.ledgers[victim]
    simulation.run_until(at + MAX_WAIT_SECONDS, lambda: bool(simulation.lease_holder()))
    holder_s = simulation.now - at
    simulation.committed.clear()
    while not simulation.committed and simulation.now < at + MAX_WAIT_SECONDS:
        simulation.propose()
        simulation.run_until(simulation.now + TICK_SECONDS / 5, lambda: bool(simulation.committed))
    commit_s = simulation.now - at
    if not simulation.runs_singleton_tasks():
        simulation.run_until(at + MAX_WAIT_SECONDS, simulation.runs_singleton_tasks)
        orders_s = simulation.now - at
    else:
        orders_s = holder_s
    epochs = (simulation.ledgers[simulation.lease_holder()].record.epoch >> 32) - (before.epoch >> 32)
    return Outcome(holder_s, orders_s, commit_s, epochs)


def takeovers(seeds: int, f: int = 2, machines: int = 5) -> dict[str, dict[str, float]]:
    """Returns, for each fault over all seeds, the mean and the maximum of each time and the mean number of epochs."""
    metrics_by_fault = {}
    for fault in FAULTS:
        outcomes = [simulate_fault(seed, fault, f, machines) for seed in range(seeds)]
        metrics_by_fault[fault] = {"epochs_mean": sum(outcome.epochs for outcome in outcomes) / seeds}
        for name in ("holder_s", "orders_s", "commit_s"):
            values = [getattr(outcome, name) for outcome in outcomes]
            metrics_by_fault[fault] |= {
                f"{name[:-2]}_mean_s": round(sum(values) / seeds, 4),
                f"{name[:-2]}_longest_s": round(max(values), 4),
            }
    return metrics_by_fault


def ring_moves(servers: int, points: int, seeds: int) -> dict[str, float]:
    """Returns the mean and the largest share of keys that move when one of the servers leaves the ring."""
    ring = HashRing(str)
    names = [f"i-{stable_hash(str(i)):016x}" for i in range(servers)]
    ring.set_point_counts(dict.fromkeys(names, points))
    key_hashes = [stable_hash(f"key {i}") >> 32 for i in range(RING_KEYS)]
    at = time.process_time()
    homes = Counter(ring.successors(key_hash, 1)[0] for key_hash in key_hashes)
    cpu_seconds_per_lookup = (time.process_time() - at) / RING_KEYS
    random_source = random.Random(seeds)
    leaving = random_source.sample(names, min(seeds, servers))
    # When a server leaves, exactly its share of the ring moves.
    circle = [*ring.sorted_points, ring.sorted_points[0] + (1 << 64)]
    shares: Counter[str] = Counter()
    for low, high in pairwise(circle):
        shares[ring.owner_by_point[high % (1 << 64)]] += high - low
    total = sum(shares.values())
    leaving_shares = [shares[name] / total for name in leaving]
    return {
        "mean": sum(leaving_shares) / len(leaving_shares),
        "largest": max(leaving_shares),
        "largest_of_all": max(shares.values()) / total,
        "homes_seen": len(homes),
        "points": len(ring.sorted_points),
        "walk_cpu_s": round(cpu_seconds_per_lookup, 8),
    }
