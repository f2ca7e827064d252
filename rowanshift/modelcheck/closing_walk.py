"""Drawn walks that end in the worst loss that is to be borne: f disks gone, all other machines without power at once.

Each round of a `MemberWalk` is followed by a closing fault. Just before it a machine may leave as planned, or be taken
away. Disks keep what was synced, and each unsynced name is kept or lost by itself. What was committed must be part of
what is committed afterwards, and there must be such a commit: `KEPT`, `REDUNDANCY` and `COMMIT` of the walk.
"""

from __future__ import annotations

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.files import FileSystem
from rowanshift.modelcheck.member_walk import DOWN_TIMES, GRACE, JOIN_DELAYS, MemberWalk
from rowanshift.modelcheck.world import Host

BEFORE = ("nothing", "leave", "gone")  # what befalls a machine just before the closing fault
APART = (0.0, 0.02, 0.1, 0.3, 1.0)  # seconds from that to the closing fault, at most
RELEASE_WITHIN = GRACE + 0.5  # seconds for a machine that leaves to end
SYNCED = 4.0  # seconds of calm after its start until a machine no longer counts as lost


class ClosingWalk(MemberWalk):
    """A walk of members whose rounds each end in a closing fault."""

    def round(self) -> None:
        """A round of the members' walk, time in which its losses are made good, then the closing fault and a calm."""
        super().round()
        self.calm = True
        self._go_on(SYNCED)
        self.calm = False
        self._close()

    def _close(self) -> None:
        draw = self.member_draw
        lost = self._before()
        self._go_on(draw.random() * draw.choice(APART))
        self._strike(self.world.f - lost)
        self._calm_down()

    def _before(self) -> int:
        """Something that befalls a machine first; how many of the f losses that uses up."""
        what = self.member_draw.choice(BEFORE)
        if what == "nothing":
            return 0
        me = self.member_draw.choice(self._present())
        if what == "gone":
            self._end(me)
            return 1
        replaced = self._has_spare()
        self.calm = in_calm = self.member_draw.random() < 0.5
        self._leave(me)
        self.calm = False
        if not in_calm:  # the spare may have been in trouble itself
            replaced = me not in self.world.highest().members()
        return 0 if replaced and me in self.released else 1

    def _leave(self, me: int) -> None:
        """Tell a machine to stop, and go on until it has ended."""
        world, host = self.world, self.world.hosts[me]
        if host.replica is None:
            self._end(me)
            return
        self.leaving[me] = world.now + GRACE
        host.replica.leave(world.clock(host))
        world.collect(me)
        until = world.now + RELEASE_WITHIN
        while not host.gone and world.now < until:
            self.step()

    def _strike(self, disks: int) -> None:
        """All machines lose power at one moment, and so many of them their disk."""
        draw, world = self.member_draw, self.world
        present = self._present()
        self.leaving.clear()
        for me in present:
            self.cut_power(me)
        for me in draw.sample(present, disks):
            host = world.hosts[me]
            host.disk, host.files, host.lost = None, FileSystem(), True
            host.down_until = world.now + draw.choice(DOWN_TIMES)
        if self.joining:
            self.joining = [world.now + draw.choice(JOIN_DELAYS) for _ in self.joining]

    def _present(self) -> list[int]:
        return [me for me, host in self.world.hosts.items() if not host.gone]

    def _has_spare(self) -> bool:
        """Whether a machine that lives is no witness."""
        witnesses = self.world.highest().witnesses
        return any(self._lives(me) and me not in witnesses for me in self._present())

    def _go_on(self, seconds: float) -> None:
        until = self.world.now + seconds
        while self.world.now < until:
            self.step()


class UncountedWalk(ClosingWalk):
    """A closing walk with one machine more, which doesn't count: it goes for good in each closing fault, beyond f."""

    def __init__(
        self,
        seed: int,
        machines: int,
        f: int,
        spares: int = 1,
        replica_class: type[p.Replica] = p.Replica,
        timing: p.Timing | None = None,
    ) -> None:
        self.uncounted = machines + spares + 1
        super().__init__(seed, machines, f, spares + 1, replica_class, timing=timing)

    def _start_replica(self, me: int, host: Host, bootstrap: bool) -> None:
        super()._start_replica(me, host, bootstrap)
        host.replica.counts = me != self.uncounted

    def _has_spare(self) -> bool:
        witnesses = self.world.highest().witnesses
        return any(self._lives(me) and me not in {*witnesses, self.uncounted} for me in self._present())

    def _end(self, me: int) -> None:
        super()._end(me)
        if me == self.uncounted:
            self.joining.pop()  # the next one comes after the closing fault: the machines don't grow in number

    def _strike(self, disks: int) -> None:
        if not self.world.hosts[self.uncounted].gone:
            self._end(self.uncounted)
        super()._strike(disks)
        self._join()
        self.uncounted = max(self.world.hosts)
