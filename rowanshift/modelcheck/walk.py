"""Drawn walks: every choice comes from the seed, so that a walk can be run again."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.fault_injection import FAULT_KINDS, FaultInjection
from rowanshift.modelcheck.invariants import InvariantViolation
from rowanshift.modelcheck.world import Host, World

# seconds; without leases and waits, so that only numbers and majorities keep two primaries apart
CONTENDED = p.Timing(
    lease=0.0,
    block=0.0,
    lapse=1.5,
    silence_draw=1.0,
    retry=0.3,
    round=1.0,
    stand_limit=2.0,
    recovery_wait=2.5,
    renew_gap=0.2,
    witness_silence=1.0,
    change_gap=0.2,
    join_gap=0.3,
)

# a primary that hears of no other goes on for long: reads and orders must be safe from it all the same
STUBBORN = replace(CONTENDED, lapse=8.0)


@dataclass
class Outcome:
    """What a walk came to."""

    seed: int
    steps: int
    broken: str  # "" if all held
    committed: int
    epochs: int
    stalled: str = ""  # "" if it healed once calm
    longest_calm: float = 0.0  # seconds of calm that were needed until the next loss could be borne, if it is a matter


class Walk(FaultInjection):
    """A drawn walk. `spares` machines beyond the seeds wait for a place."""

    def __init__(
        self,
        seed: int,
        machines: int,
        f: int,
        spares: int = 0,
        replica_class: type[p.Replica] = p.Replica,
        timing: p.Timing | None = None,
    ) -> None:
        self.seed, self.replica_class = seed, replica_class
        self.timing = timing or (CONTENDED if seed % 2 else p.DEFAULT_TIMING)
        self.draw = draw = random.Random(seed)
        seeds = tuple(range(1, machines + 1))
        self.world = World({}, f, seeds)
        for me in range(1, machines + spares + 1):
            host = Host(None, rate=1 + draw.uniform(-0.1, 0.1), offset=draw.uniform(0, 1000))
            self.world.hosts[me] = host
            self.start(me, bootstrap=me <= machines)
            self.world.sync(me)  # a first start is over once its record is on disk
        self.pace = draw.choice([0.003, 0.006, 0.012]) * 3 / machines
        self.loss = draw.choice([0.0, 0.01, 0.05, 0.2])
        self.trouble = draw.choice([0.002, 0.005, 0.015])
        self.faults = draw.choices(FAULT_KINDS, k=4)
        self.deaf: dict[tuple[int, type], float] = {}  # (to, kind of message) -> until when none of it comes
        self.late: list[tuple[float, tuple[int, int, p.Message]]] = []
        self.next_tick = 0.0
        self.calm = False
        self.steps = 0

    def start(self, me: int, bootstrap: bool = False) -> None:
        """A machine's process begins."""
        world, host = self.world, self.world.hosts[me]
        now = world.clock(host)
        host.replica = self.replica_class(
            me, world.f, world.seeds, bootstrap, host.disk, now, self.draw.random, timing=self.timing
        )
        world.collect(me)

    def step(self) -> None:
        """A moment passes, with what the seed draws for it."""
        world, draw = self.world, self.draw
        self.steps += 1
        world.now += self.pace * 2 * draw.random()
        now = world.now
        world.check_leases()
        for me, host in world.hosts.items():
            if host.replica is None and not host.gone and now >= host.down_until:
                self.start(me)
        if now >= self.next_tick:
            self.next_tick = now + 0.05
            for me, host in world.hosts.items():
                if host.replica is not None and now >= host.paused_until and draw.random() < 0.9:
                    world.tick(me)
        if not self.calm and draw.random() < self.trouble:
            self.inject_fault()
        for me, host in world.hosts.items():
            up = host.replica is not None and now >= host.paused_until
            chance = 0.002 if now < host.slow_until and not self.calm else 0.3
            if up and host.save is not None and draw.random() < chance:
                world.sync(me)
            if up and host.replica.is_primary:
                self.use(me)
        for _ in range(3):
            self.carry()

    def use(self, me: int) -> None:
        """Ask something of a primary, now and then."""
        if self.draw.random() < 0.05:
            (self.world.propose if self.draw.random() < 0.5 else self.world.read)(me)

    def carry(self) -> None:
        """One message in flight comes, is lost, comes twice or is put off."""
        world, draw = self.world, self.draw
        while self.late and (self.late[0][0] <= world.now or self.calm):
            world.net.append(self.late.pop(0)[1])
        if not world.net:
            return
        index = draw.randrange(min(len(world.net), 8) if draw.random() < 0.9 else len(world.net))
        sender, to, message = world.net[index]
        host = world.hosts[to]
        fate = draw.random()
        until = max(world.cuts.get((sender, to), 0.0), self.deaf.get((to, type(message)), 0.0))
        cut = until > world.now
        if host.gone or (cut and not self.calm):
            if fate < 0.7 or host.gone:
                world.net.pop(index)
            else:
                self.put_off(index)
        elif world.now < host.paused_until:
            self.put_off(index, until=host.paused_until)
        elif host.replica is None:
            if fate < 0.1:
                world.net.pop(index)
            else:
                self.put_off(index)
        elif fate < self.loss and not self.calm:
            world.net.pop(index)
        elif fate < self.loss + 0.01 and not self.calm:
            self.put_off(index)
        else:
            world.deliver(index, keep=0.95 < fate < 0.97)

    def put_off(self, index: int, until: float = 0.0) -> None:
        """A message in flight arrives later."""
        until = until or self.world.now + self.draw.choice([0.02, 0.3, 2.0, 6.0])
        self.late.append((until, self.world.net.pop(index)))
        self.late.sort(key=lambda entry: entry[0])

    def run(self, steps: int, calm: bool = True) -> Outcome:
        """`steps` with trouble, then, if `calm`, up to 40 s without: all must remember and commit again."""
        world, stalled = self.world, ""
        try:
            for _ in range(steps):
                self.step()
            if calm:
                self.calm = True
                began, committed = world.now, world.committed
                while not (healed := world.committed > committed + 2 and not self.ailing()):
                    if world.now > began + 40:
                        break
                    self.step()
                stalled = "" if healed else f"after 40 s calm: {self.ailing() or 'nothing is committed'}"
        except InvariantViolation as broken:
            return Outcome(self.seed, self.steps, str(broken), world.committed, world.epochs)
        return Outcome(self.seed, self.steps, "", world.committed, world.epochs, stalled)

    def ailing(self) -> str:
        """What has not healed, empty if all has."""
        amnesic = [m for m, h in self.world.hosts.items() if h.replica is not None and h.replica.is_amnesic]
        return f"{amnesic} have amnesic" if amnesic else ""
