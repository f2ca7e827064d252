"""Faults of machines, disks and the network, as a drawn walk injects them."""

from __future__ import annotations

import random

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.world import Host, World

FAULT_KINDS = ("stand", "crash", "power", "quake", "empty", "pause", "cut", "split", "deaf", "slow", "fail", "gone")
ONE_WAY = (p.Prepare, p.Promised, p.Store, p.Stored, p.Accept, p.Accepted, p.Heartbeat, p.HeartbeatReply)
SPANS = (0.05, 0.5, 1.5, 4.0)  # seconds that a fault lasts


class FaultInjection:
    """The faults of a walk. What each draws, and in which order, is part of what a seed means."""

    world: World
    draw: random.Random
    timing: p.Timing
    calm: bool
    faults: list[str]
    deaf: dict[tuple[int, type], float]

    def inject_fault(self) -> None:
        """Some fault of some machine."""
        world, draw = self.world, self.draw
        me = draw.choice(sorted(world.hosts))
        primaries = [m for m, h in world.hosts.items() if h.replica is not None and h.replica.is_primary]
        if primaries and draw.random() < 0.4:
            me = draw.choice(primaries)
        host = world.hosts[me]
        if host.gone or host.replica is None:
            return
        kind = draw.choice(self.faults if draw.random() < 0.8 else FAULT_KINDS)
        span = draw.choice(SPANS)
        getattr(self, f"_inject_{kind}")(me, host, span)

    def _inject_crash(self, me: int, host: Host, span: float) -> None:
        self.world.crash(me, landed=self.draw.random() < 0.5)
        host.down_until = self.world.now + span

    def _inject_stand(self, me: int, host: Host, span: float) -> None:
        """A machine's timer fires now, and nobody minds."""
        world = self.world
        me = self.draw.choice(world.highest().in_sync or [me])
        replica = world.hosts[me].replica
        up = replica is not None and world.now >= world.hosts[me].paused_until
        if up and not (replica.is_primary or replica.is_amnesic or replica._candidacy):
            replica._stand()
            replica._enter("prepare")
            world.tick(me)

    def _inject_power(self, me: int, host: Host, span: float) -> None:
        """A machine with a save outstanding loses power."""
        world, draw = self.world, self.draw
        me = draw.choice([m for m, h in world.hosts.items() if h.save is not None] or [me])
        world.crash(me, landed=draw.random() < 0.2)
        world.hosts[me].down_until = world.now + draw.choice([0.02, span])

    def _inject_quake(self, me: int, host: Host, span: float) -> None:
        """All but one end and start again soon."""
        world, draw = self.world, self.draw
        for other, other_host in world.hosts.items():
            if other != me and other_host.replica is not None and draw.random() < 0.9:
                world.crash(other, landed=draw.random() < 0.5)
                other_host.down_until = world.now + 0.1 * draw.random()
        if draw.random() < 0.7:
            world.cuts.update({link: world.now + span for link in self.links() if me in link})

    def _inject_split(self, me: int, host: Host, span: float) -> None:
        """The network falls into two groups."""
        world = self.world
        side = {m for m in world.hosts if self.draw.random() < 0.5}
        world.cuts = {link: world.now + 2 * span for link in self.links() if len(side & {*link}) == 1}

    def _inject_deaf(self, me: int, host: Host, span: float) -> None:
        for what in self.draw.sample(ONE_WAY, self.draw.choice([1, 2, 3])):
            self.deaf[me, what] = self.world.now + span

    def _inject_empty(self, me: int, host: Host, span: float) -> None:
        """A disk is lost."""
        if self.may_lose(me):
            self.world.crash(me, landed=False)
            host.disk, host.lost, self.world.lost_at = None, True, self.world.now
            host.down_until = self.world.now + self.draw.choice([0.05, span])

    def _inject_gone(self, me: int, host: Host, span: float) -> None:
        """A machine is taken away for good, if a spare is left."""
        world = self.world
        if len(world.hosts) > len(world.seeds) and self.may_lose(me):
            left = [m for m, h in world.hosts.items() if not h.gone]
            if len(left) > len(world.seeds):
                world.crash(me, landed=False)
                host.gone, host.lost, world.lost_at = True, True, world.now

    def _inject_pause(self, me: int, host: Host, span: float) -> None:
        host.paused_until = self.world.now + span

    def _inject_slow(self, me: int, host: Host, span: float) -> None:
        host.slow_until = self.world.now + span

    def _inject_fail(self, me: int, host: Host, span: float) -> None:
        if host.save is not None:
            self.world.sync(me, ok=False)

    def _inject_cut(self, me: int, host: Host, span: float) -> None:
        for link in self.links():
            if me in link and self.draw.random() < 0.7:
                self.world.cuts[link] = self.world.now + span

    def links(self) -> list[tuple[int, int]]:
        """Every pair of machines, one for each direction."""
        return [(a, b) for a in self.world.hosts for b in self.world.hosts if a != b]

    def heal(self) -> None:
        """A lost disk is made good once its machine remembers and the in-sync machines hold the state."""
        world = self.world
        if world.now < world.lost_at + 2 * self.timing.recovery_wait:
            return
        record = world.highest()
        if record.number not in world.checks.epochs:
            return
        for member in record.in_sync:
            host = world.hosts[member]
            if host.disk is None or host.disk.version.epoch < record.number:
                return
        voters = {*record.witnesses, *record.former, *record.in_sync}
        for me, host in world.hosts.items():
            if host.lost and (me not in voters if host.gone else host.disk and not host.disk.amnesic):
                host.lost = False

    def may_lose(self, me: int) -> bool:
        """Whether one more disk may be lost: no more than f at once."""
        self.heal()
        return not self.calm and sum(host.lost for host in self.world.hosts.values()) < self.world.f
