"""Where breadth-first search starts: a quiet primary, and three things under way."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.invariants import InvariantViolation
from rowanshift.modelcheck.world import Host, World, half

STEP = 0.1  # seconds between two ticks on the way to a start
MOST_STEPS = 4000


@dataclass
class Start:
    """A world, and how often each event that isn't the protocol's own may come from there."""

    world: World
    budget: dict[str, int]


class Approach:
    """Takes a world to a start: messages come in order, saves land, nothing is lost."""

    def __init__(self, replica_class: type[p.Replica], machines: int = 3, spares: int = 0) -> None:
        seeds = tuple(range(1, machines + 1))
        self.replica_class = replica_class
        self.world = World({me: Host(None) for me in range(1, machines + spares + 1)}, 1, seeds)
        for me in self.world.hosts:
            self.start(me, bootstrap=me in seeds)

    def start(self, me: int, bootstrap: bool = False) -> None:
        """Start a machine's process."""
        world, host = self.world, self.world.hosts[me]
        host.replica = self.replica_class(me, 1, world.seeds, bootstrap, host.disk, world.now, half)
        world.collect(me)

    def step(self) -> None:
        """Deliver a message, land a save, or let time pass if there is neither."""
        world = self.world
        saving = [me for me, host in world.hosts.items() if host.save is not None]
        if world.net:
            if world.hosts[world.net[0][1]].replica is None:
                world.net.pop(0)
            else:
                world.deliver(0)
        elif saving:
            world.sync(saving[0])
        else:
            world.now = round(world.now + STEP, 3)
            for me, host in world.hosts.items():
                if host.replica is not None:
                    world.tick(me)

    def until(self, reached: Callable[[], bool]) -> None:
        """Go on until a condition holds."""
        for _ in range(MOST_STEPS):
            if reached():
                return
            self.step()
        raise InvariantViolation("START: it isn't reached")

    def primary(self) -> int:
        """The machine in office, or 0."""
        hosts = self.world.hosts.items()
        return next((me for me, host in hosts if host.replica is not None and host.replica.is_primary), 0)

    def at_rest(self) -> bool:
        """Whether nothing is in flight and no save is outstanding."""
        return not self.world.net and all(host.save is None for host in self.world.hosts.values())

    def commit(self) -> None:
        """Have a primary in office, and one change committed."""
        self.until(lambda: self.at_rest() and bool(self.primary()))
        self.world.propose(self.primary())
        self.until(lambda: self.at_rest() and self.world.committed == 1)


def quiet_primary(replica_class: type[p.Replica] = p.Replica) -> Start:
    """One primary in office, one commit complete, one change proposed and one read asked."""
    approach = Approach(replica_class)
    approach.commit()
    approach.world.propose(approach.primary())
    approach.world.read(approach.primary())
    return Start(approach.world, {"crash": 1, "empty": 1, "read": 1, "propose": 1})


def takeover(replica_class: type[p.Replica] = p.Replica) -> Start:
    """The primary's process ended with a change proposed; another machine's Prepares are on their way."""
    approach = Approach(replica_class)
    approach.commit()
    world, first = approach.world, approach.primary()
    world.propose(first)
    world.crash(first, landed=True)
    approach.until(lambda: any(isinstance(message, p.Prepare) for _, _, message in world.net))
    return Start(world, {"crash": 1, "empty": 1, "read": 1, "propose": 1})


def membership_change(replica_class: type[p.Replica] = p.Replica) -> Start:
    """A witness is gone for good; the primary's Prepares of the epoch with a spare in its place are on their way."""
    approach = Approach(replica_class, spares=1)
    approach.commit()
    world, primary = approach.world, approach.primary()
    approach.until(lambda: not world.hosts[4].replica.is_amnesic and world.now > 6 and approach.at_rest())
    gone = next(me for me in (1, 2, 3) if me not in world.hosts[primary].replica.record.in_sync)
    world.crash(gone, landed=False)
    world.hosts[gone].gone = world.hosts[gone].lost = True

    def changing() -> bool:
        candidacy = world.hosts[primary].replica._candidacy
        sent = any(isinstance(message, p.Prepare) for _, _, message in world.net)
        return candidacy is not None and bool(candidacy.witnesses) and sent

    approach.until(changing)
    return Start(world, {"crash": 1, "empty": 0, "read": 1, "propose": 1})


def recovery(replica_class: type[p.Replica] = p.Replica) -> Start:
    """A backup lost its disk; its RecoveryRequests are on their way while a change is proposed."""
    approach = Approach(replica_class)
    approach.commit()
    world, primary = approach.world, approach.primary()
    backup = next(me for me in world.hosts[primary].replica.record.in_sync if me != primary)
    world.crash(backup, landed=False)
    world.hosts[backup].disk, world.hosts[backup].lost = None, True
    approach.start(backup)
    approach.until(lambda: any(isinstance(message, p.RecoveryRequest) for _, _, message in world.net))
    world.propose(approach.primary())
    return Start(world, {"crash": 1, "empty": 0, "read": 1, "propose": 1})


STARTS: dict[str, Callable[[type[p.Replica]], Start]] = {
    "quiet-primary": quiet_primary,
    "takeover": takeover,
    "membership-change": membership_change,
    "recovery": recovery,
}
