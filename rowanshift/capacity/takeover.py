"""How long nobody holds the primary's duties: the ledger's own decisions, played on a virtual clock by seed.

Machines are the real ``Replica``; messages take a drawn share of ``DELAY``, saves one of ``SAVE``.
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

TICK = 0.05  # seconds
DUTY_WAIT = 3.3  # seconds: the service's lease of 3 s and its margin
DELAY_NEAR, DELAY_FAR = 0.0005, 0.020  # seconds, the most within a region and between two
SAVE = 0.010  # seconds, the most
SETTLED = 6.0  # seconds until a first primary holds its lease surely
LONGEST = 30.0  # seconds looked at
TROUBLES = ("primary_killed", "primary_cut_off", "backup_killed", "witness_killed")
KEYS = 1000  # of a ring that is looked at


@dataclass(slots=True)
class Play:
    """Some core machines, spread over the regions in turn."""

    seed: int
    f: int = 2
    machines: int = 5
    regions: int = 3
    now: float = 0.0  # seconds
    sent: Counter[str] = field(default_factory=Counter)  # messages by kind
    bytes: int = 0  # their frames
    saves: int = 0
    ledgers: dict[int, Replica] = field(default_factory=dict)
    cut: set[int] = field(default_factory=set)
    committed: list[float] = field(default_factory=list)
    random_source: random.Random = field(init=False)
    order: Any = field(init=False)  # keeps what is due at once in the order it was set
    due: list[tuple[float, int, Callable[..., None], tuple]] = field(init=False)

    def __post_init__(self) -> None:
        self.random_source, self.order, self.due = random.Random(self.seed), count(), []
        names = tuple(range(1, self.machines + 1))
        for me in names:
            self.ledgers[me] = Replica(me, self.f, names, True, None, 0.0, self.random_source.random, DUTY_WAIT)
            self.at(self.random_source.random() * TICK, self.tick, me)
            self.act(me)

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        heappush(self.due, (when, next(self.order), what, args))

    def until(self, end: float, done: Callable[[], bool] = lambda: False) -> bool:
        """Plays on to that time, or until it is done; whether it is."""
        if done():
            return True
        while self.due and self.due[0][0] <= end:
            self.now, _, what, args = heappop(self.due)
            what(*args)
            if done():
                return True
        self.now = end
        return False

    def tick(self, me: int) -> None:
        if me in self.ledgers:
            self.ledgers[me].tick(self.now)
            self.act(me)
            self.at(self.now + TICK, self.tick, me)

    def act(self, me: int) -> None:
        for action in self.ledgers[me].drain():
            match action:
                case Send(to, message):
                    self.sent[type(message).__name__] += 1
                    self.bytes += len(CODEC.pack(message))
                    if me not in self.cut and to not in self.cut:
                        far = me % self.regions != to % self.regions
                        delay = (DELAY_FAR if far else DELAY_NEAR) * (0.5 + self.random_source.random() / 2)
                        self.at(self.now + delay, self.receive, me, to, message)
                case Save(token, _):
                    self.saves += 1
                    self.at(self.now + SAVE * self.random_source.random(), self.saved, me, token)
                case ProposalCommitted():
                    self.committed.append(self.now)

    def receive(self, sender: int, to: int, message: Any) -> None:
        if to in self.ledgers:
            self.ledgers[to].receive(sender, message, self.now)
            self.act(to)

    def saved(self, me: int, token: int) -> None:
        if me in self.ledgers:
            self.ledgers[me].saved(token, self.now)
            self.act(me)

    def holder(self) -> int:
        """The machine that holds the primary's lease, or 0."""
        return next(
            (
                me
                for me, ledger in self.ledgers.items()
                if me not in self.cut and ledger.is_primary and ledger.lease_until(self.now) > self.now
            ),
            0,
        )

    def on_duty(self) -> bool:
        me = self.holder()
        return bool(me) and self.ledgers[me].singleton_tasks_from <= self.now

    def propose(self) -> None:
        """A change is asked for and waited for."""
        me = self.holder()
        if me and self.ledgers[me]._proposal is None:
            self.ledgers[me].propose(len(self.committed), b"sheet", self.now)
            self.act(me)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Seconds after a trouble without a holder of the lease, without one that gives orders, and without a
    commit; how many epochs it took."""

    holder_s: float
    orders_s: float
    commit_s: float
    epochs: int


def play(seed: int, trouble: str, f: int = 2, machines: int = 5) -> Outcome:
    """One trouble, at a time drawn from the seed."""
    world = Play(seed, f, machines)
    world.until(SETTLED)
    world.until(LONGEST, world.on_duty)
    world.until(world.now + world.random_source.random())
    holder = world.holder()
    before = world.ledgers[holder].record
    others = {
        "backup_killed": [m for m in before.in_sync if m != holder],
        "witness_killed": [m for m in before.witnesses if m not in before.in_sync],
    }.get(trouble, [holder])
    victim = world.random_source.choice(others)
    at = world.now
    if trouble == "primary_cut_off":
        world.cut.add(victim)
    else:
        del world.ledgers[victim]
    world.until(at + LONGEST, lambda: bool(world.holder()))
    holder_s = world.now - at
    world.committed.clear()
    while not world.committed and world.now < at + LONGEST:
        world.propose()
        world.until(world.now + TICK / 5, lambda: bool(world.committed))
    commit_s = world.now - at
    if not world.on_duty():
        world.until(at + LONGEST, world.on_duty)
        orders_s = world.now - at
    else:
        orders_s = holder_s
    epochs = (world.ledgers[world.holder()].record.epoch >> 32) - (before.epoch >> 32)
    return Outcome(holder_s, orders_s, commit_s, epochs)


def takeovers(seeds: int, f: int = 2, machines: int = 5) -> dict[str, dict[str, float]]:
    """By trouble, over so many seeds: mean and longest of each time, and the mean of epochs."""
    made = {}
    for trouble in TROUBLES:
        plays = [play(seed, trouble, f, machines) for seed in range(seeds)]
        made[trouble] = {"epochs_mean": sum(one.epochs for one in plays) / seeds}
        for name in ("holder_s", "orders_s", "commit_s"):
            values = [getattr(one, name) for one in plays]
            made[trouble] |= {
                f"{name[:-2]}_mean_s": round(sum(values) / seeds, 4),
                f"{name[:-2]}_longest_s": round(max(values), 4),
            }
    return made


def ring_moves(servers: int, points: int, seeds: int) -> dict[str, float]:
    """Share of keys whose home changes when one of so many servers leaves: mean and largest over seeds."""
    ring = HashRing(str)
    names = [f"i-{stable_hash(str(i)):016x}" for i in range(servers)]
    ring.set_point_counts(dict.fromkeys(names, points))
    marks = [stable_hash(f"key {i}") >> 32 for i in range(KEYS)]
    at = time.process_time()
    homes = Counter(ring.successors(mark, 1)[0] for mark in marks)
    walk = (time.process_time() - at) / KEYS
    random_source = random.Random(seeds)
    gone = random_source.sample(names, min(seeds, servers))
    # a server's share of the circle is what its leaving moves
    circle = [*ring.sorted_points, ring.sorted_points[0] + (1 << 64)]
    shares: Counter[str] = Counter()
    for low, high in pairwise(circle):
        shares[ring.owner_by_point[high % (1 << 64)]] += high - low
    total = sum(shares.values())
    own = [shares[name] / total for name in gone]
    return {
        "mean": sum(own) / len(own),
        "largest": max(own),
        "largest_of_all": max(shares.values()) / total,
        "homes_seen": len(homes),
        "points": len(ring.sorted_points),
        "walk_cpu_s": round(walk, 8),
    }
