"""Drives `replication.Replica` itself through orders of events that a real day seldom has; checks what must hold.

    python -m rowanshift.controlplane.explorer walks --seeds 200 --steps 6000 --machines 3 --f 1
    python -m rowanshift.controlplane.explorer breadth --states 20000
    python -m rowanshift.controlplane.explorer faults

A walk draws every choice from its seed: which message in flight comes next, is lost or comes twice, which
save lands, who is killed, loses power or its disk, stands still, is cut off or has a clock that runs fast.
Sheets are lists of ids, four bytes each, that only grow, so "holds what was committed" is "begins with it".
Walks with an odd seed run under `CONTENDED` constants: several candidates are often under way at once.
"""

from __future__ import annotations

import argparse
import pickle
import random
import time
from collections import deque
from dataclasses import dataclass, field

from rowanshift.controlplane import replication as p

ControlState = bytes


class Broken(Exception):
    """An invariant doesn't hold; its name comes first."""


def half() -> float:
    """No draw: for breadth-first search, where all that happens must follow from the state."""
    return 0.5


class Invariants:
    """What is checked over the whole of a run, whoever lives or dies; named as in docs/control-plane.md."""

    def __init__(self, first: p.EpochRecord) -> None:
        self.last = first  # the newest record in force
        self.values: dict[p.StateVersion, ControlState] = {}
        self.proposed: dict[int, ControlState] = {}  # token -> sheet
        self.commits: dict[p.StateVersion, ControlState] = {
            p.NO_VERSION: b""
        }  # committed, by the version it was committed under
        self.longest: ControlState = b""
        self.offices: dict[int, ControlState] = {}  # epoch number -> sheet it began with
        self.reads: dict[int, ControlState] = {}  # token -> the longest sheet committed before it was asked
        self.observed: list[ControlState] = []
        self.fence = 0

    def durable(self, durable: p.DurableState) -> None:
        self.value(durable.version, durable.state)
        if durable.promised < durable.accepted.number:
            raise Broken("PROMISE: a record is accepted above the promise")

    def value(self, version: p.StateVersion, sheet: ControlState) -> None:
        if self.values.setdefault(version, sheet) != sheet:
            raise Broken(f"ONE-VALUE: two sheets under {version}")

    def sent(self, message: p.Message, disk: p.DurableState | None) -> None:
        """What a machine says it holds is on its disk."""
        if isinstance(message, p.Store):
            self.value(message.version, message.state)
        match message:
            case p.Promised(number, True) | p.Accepted(number, True) | p.Stored(number, _, True):
                held = disk is not None and disk.promised >= number
            case p.HeartbeatReply(number, _, True):
                held = disk is not None and disk.accepted.number >= number
            case _:
                return
        if isinstance(message, p.Accepted):
            held = held and disk.accepted.number >= message.number
        if isinstance(message, p.Stored):
            held = held and disk.version >= message.version
        if not held:
            raise Broken(f"DURABLE: {type(message).__name__} is sent before it is on disk")

    def office(self, record: p.EpochRecord, sheet: ControlState, accepted: dict[int, int]) -> None:
        """`accepted`: the number of the record on each machine's disk; of a lost one a high number."""
        number = record.number
        if number in self.offices:
            return
        before = self.last
        if number > before.number:
            self.last = record
            voters = {machine for machine, held in accepted.items() if held >= number}
            for members in (record.witnesses, before.witnesses):
                if not p.has_majority(voters, members):
                    raise Broken(f"DECIDED: {record} is in force and on the disks of {voters} alone")
        self.offices[number] = sheet
        self.committed(p.StateVersion(number, 0), sheet)

    def committed(self, version: p.StateVersion, sheet: ControlState) -> None:
        """Whatever is committed under a lower version is part of it, and it is part of what comes after."""
        for other, value in self.commits.items():
            low, high = (value, sheet) if other <= version else (sheet, value)
            if not high.startswith(low):
                raise Broken(f"KEPT: {other} and {version} are committed and don't build on one another")
        self.commits[version] = sheet
        self.longest = max(self.longest, sheet, key=len)
        for value in self.observed:
            if not (sheet.startswith(value) or value.startswith(sheet)):
                raise Broken("READ: a read gave what was never committed")

    def read(self, token: int, sheet: ControlState) -> None:
        if not sheet.startswith(self.reads.pop(token)):
            raise Broken("READ: older than a commit that was complete when it was asked")
        for value in self.commits.values():
            if not (sheet.startswith(value) or value.startswith(sheet)):
                raise Broken("READ: a read gave what was never committed")
        self.observed.append(sheet)

    def leases(self, holders: list[tuple[int, int]]) -> None:
        """`holders`: (epoch number, machine) of each that holds a valid lease right now."""
        if len(holders) > 1:
            raise Broken(f"ONE-HOLDER: {holders}")
        for number, _ in holders:
            if number < self.fence:
                raise Broken("FENCE: a lease is held under a lower number after a higher one")
            self.fence = number


@dataclass
class Host:
    """A machine: its disk survives a crash, its Replica doesn't."""

    replica: p.Replica | None
    disk: p.DurableState | None = None
    save: p.Save | None = None
    rate: float = 1.0  # of its steady clock
    offset: float = 0.0  # seconds
    paused_until: float = 0.0  # seconds of the world
    down_until: float = 0.0
    slow_until: float = 0.0  # saves land seldom
    ready: bool = True
    gone: bool = False
    lost: bool = False  # its disk, and not yet made good


@dataclass
class World:
    """Machines, what is in flight between them, and the clock that only the explorer sees."""

    hosts: dict[int, Host]
    f: int
    seeds: tuple[int, ...]
    now: float = 0.0  # seconds
    net: list[tuple[int, int, p.Message]] = field(default_factory=list)
    cuts: dict[tuple[int, int], float] = field(default_factory=dict)  # (from, to) -> until when
    tokens: int = 0
    committed: int = 0
    lost_at: float = -100.0
    offices: int = 0

    def __post_init__(self) -> None:
        self.checks = Invariants(p.EpochRecord(0, 0, self.seeds, self.seeds))

    def clock(self, host: Host) -> float:
        return host.offset + host.rate * self.now

    def highest(self) -> p.EpochRecord:
        """The newest record in force or on its way, as a machine that is up would see it."""
        records = [h.replica.record for h in self.hosts.values() if h.replica is not None]
        records += [h.disk.accepted for h in self.hosts.values() if h.disk is not None and not h.gone]
        return max(records, key=lambda record: record.number, default=p.NO_RECORD)

    def collect(self, me: int) -> None:
        """Take what machine `me` has decided, and check it."""
        host = self.hosts[me]
        replica = host.replica
        for action in replica.drain():
            match action:
                case p.Send(to, message):
                    self.checks.sent(message, host.disk)
                    if to in self.hosts and not self.hosts[to].gone:
                        self.net.append((me, to, message))
                case p.Save(_, durable):
                    if host.save is not None:
                        raise Broken("SAVE: two are outstanding")
                    self.checks.durable(durable)
                    host.save = action
                case p.Committed(token):
                    self.committed += 1
                    sheet = self.checks.proposed[token]
                    version = next(s for s, value in reversed(self.checks.values.items()) if value == sheet)
                    self.checks.committed(max(version, p.StateVersion(replica.record.number, 0)), sheet)
                case p.ReadConfirmed(token):
                    self.checks.read(token, replica.committed_state)
        if replica.is_primary and replica.record.number not in self.checks.offices:
            self.offices += 1
            accepted = {
                m: p.NUMBER_LIMIT if h.lost or h.disk is None else h.disk.accepted.number for m, h in self.hosts.items()
            }
            self.checks.office(replica.record, replica.committed_state, accepted)

    def check_leases(self) -> None:
        holders = []
        for me, host in self.hosts.items():
            if host.replica is not None and host.replica.is_primary:
                clock = self.clock(host)
                if host.replica.lease_until(clock) > clock:
                    holders.append((host.replica.record.number, me))
        self.checks.leases(holders)

    def deliver(self, index: int, keep: bool = False) -> None:
        sender, to, message = self.net[index] if keep else self.net.pop(index)
        host = self.hosts[to]
        host.replica.receive(sender, message, self.clock(host))
        self.collect(to)

    def sync(self, me: int, ok: bool = True) -> None:
        host = self.hosts[me]
        save, host.save = host.save, None
        if ok:
            host.disk = save.durable
            host.replica.saved(save.token, self.clock(host))
        else:
            host.replica.save_failed(save.token, self.clock(host))
        self.collect(me)

    def tick(self, me: int) -> None:
        host = self.hosts[me]
        host.replica.tick(self.clock(host))
        self.collect(me)

    def crash(self, me: int, landed: bool) -> None:
        """The process or the power goes; an outstanding save has landed or not."""
        host = self.hosts[me]
        if landed and host.save is not None:
            host.disk = host.save.durable
        host.replica = host.save = None

    def propose(self, me: int) -> None:
        host = self.hosts[me]
        self.tokens += 1
        token = self.tokens
        sheet = host.replica.committed_state + token.to_bytes(4, "big")
        try:
            host.replica.propose(token, sheet, self.clock(host))
        except p.ReplicationError:
            return
        self.checks.proposed[token] = sheet
        self.collect(me)

    def read(self, me: int) -> None:
        host = self.hosts[me]
        self.tokens += 1
        self.checks.reads[self.tokens] = self.checks.longest
        try:
            host.replica.confirm_read(self.tokens, self.clock(host))
        except p.ReplicationError:
            return
        self.collect(me)


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


KINDS = ("stand", "crash", "power", "quake", "empty", "pause", "cut", "split", "deaf", "slow", "fail", "gone")
ONE_WAY = (p.Prepare, p.Promised, p.Store, p.Stored, p.Accept, p.Accepted, p.Heartbeat, p.HeartbeatReply)


@dataclass
class Outcome:
    seed: int
    steps: int
    broken: str  # "" if all held
    committed: int
    offices: int
    stalled: str = ""  # "" if it healed once calm


class Walk:
    """A drawn walk. `spares` machines beyond the seeds wait for a place."""

    def __init__(self, seed: int, machines: int, f: int, spares: int = 0, make: type[p.Replica] = p.Replica) -> None:
        self.seed, self.make = seed, make
        self.timing = CONTENDED if seed % 2 else p.DEFAULT_TIMING
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
        self.kinds = draw.choices(KINDS, k=4)
        self.deaf: dict[tuple[int, type], float] = {}  # (to, kind of message) -> until when none of it comes
        self.late: list[tuple[float, tuple[int, int, p.Message]]] = []
        self.next_tick = 0.0
        self.calm = False
        self.steps = 0

    def start(self, me: int, bootstrap: bool = False) -> None:
        world, host = self.world, self.world.hosts[me]
        now = world.clock(host)
        host.replica = self.make(
            me, world.f, world.seeds, bootstrap, host.disk, now, self.draw.random, timing=self.timing
        )
        world.collect(me)

    def heal(self) -> None:
        """A lost disk is made good once its machine remembers and the in-sync machines hold the sheet."""
        world = self.world
        if world.now < world.lost_at + 2 * self.timing.recovery_wait:
            return
        record = world.highest()
        if record.number not in world.checks.offices:
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
        self.heal()
        return not self.calm and sum(host.lost for host in self.world.hosts.values()) < self.world.f

    def upset(self) -> None:
        """Some trouble on some machine."""
        world, draw = self.world, self.draw
        me = draw.choice(sorted(world.hosts))
        host = world.hosts[me]
        primaries = [m for m, h in world.hosts.items() if h.replica is not None and h.replica.is_primary]
        if primaries and draw.random() < 0.4:
            me = draw.choice(primaries)
            host = world.hosts[me]
        if host.gone or host.replica is None:
            return
        kind = draw.choice(self.kinds if draw.random() < 0.8 else KINDS)
        span = draw.choice([0.05, 0.5, 1.5, 4.0])
        if kind == "crash":
            world.crash(me, landed=draw.random() < 0.5)
            host.down_until = world.now + span
        elif kind == "stand":  # its timer fires now, and nobody minds
            me = draw.choice(world.highest().in_sync or [me])
            replica = world.hosts[me].replica
            up = replica is not None and world.now >= world.hosts[me].paused_until
            if up and not (replica.is_primary or replica.is_amnesic or replica._candidacy):
                replica._stand()
                replica._enter("prepare")
                world.tick(me)
        elif kind == "power":  # a machine with a save outstanding
            me = draw.choice([m for m, h in world.hosts.items() if h.save is not None] or [me])
            world.crash(me, landed=draw.random() < 0.2)
            world.hosts[me].down_until = world.now + draw.choice([0.02, span])
        elif kind == "quake":  # all but one end and start again soon
            for other, h in world.hosts.items():
                if other != me and h.replica is not None and draw.random() < 0.9:
                    world.crash(other, landed=draw.random() < 0.5)
                    h.down_until = world.now + 0.1 * draw.random()
            if draw.random() < 0.7:
                world.cuts.update({link: world.now + span for link in self.links() if me in link})
        elif kind == "split":  # two groups
            side = {m for m in world.hosts if draw.random() < 0.5}
            world.cuts = {link: world.now + 2 * span for link in self.links() if len(side & {*link}) == 1}
        elif kind == "deaf":
            for what in draw.sample(ONE_WAY, draw.choice([1, 2, 3])):
                self.deaf[me, what] = world.now + span
        elif kind == "empty" and self.may_lose(me):
            world.crash(me, landed=False)
            host.disk, host.lost, world.lost_at = None, True, world.now
            host.down_until = world.now + draw.choice([0.05, span])
        elif kind == "gone" and len(world.hosts) > len(world.seeds) and self.may_lose(me):
            spare = [m for m, h in world.hosts.items() if not h.gone]
            if len(spare) > len(world.seeds):
                world.crash(me, landed=False)
                host.gone, host.lost, world.lost_at = True, True, world.now
        elif kind == "pause":
            host.paused_until = world.now + span
        elif kind == "slow":
            host.slow_until = world.now + span
        elif kind == "fail" and host.save is not None:
            world.sync(me, ok=False)
        elif kind == "cut":
            for link in self.links():
                if me in link and draw.random() < 0.7:
                    world.cuts[link] = world.now + span

    def links(self) -> list[tuple[int, int]]:
        return [(a, b) for a in self.world.hosts for b in self.world.hosts if a != b]

    def step(self) -> None:
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
            self.upset()
        for me, host in world.hosts.items():
            up = host.replica is not None and now >= host.paused_until
            chance = 0.002 if now < host.slow_until and not self.calm else 0.3
            if up and host.save is not None and draw.random() < chance:
                world.sync(me)
            if up and host.replica.is_primary and draw.random() < 0.05:
                (world.propose if draw.random() < 0.5 else world.read)(me)
        for _ in range(3):
            self.carry()

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
        except Broken as broken:
            return Outcome(self.seed, self.steps, str(broken), world.committed, world.offices)
        return Outcome(self.seed, self.steps, "", world.committed, world.offices, stalled)

    def ailing(self) -> str:
        amnesic = [m for m, h in self.world.hosts.items() if h.replica is not None and h.replica.is_amnesic]
        return f"{amnesic} have amnesic" if amnesic else ""


# --- breadth first


def settled(make: type[p.Replica] = p.Replica) -> World:
    """Three machines, one primary in office, one commit complete, one proposed and one read asked."""
    world = World({me: Host(None) for me in (1, 2, 3)}, 1, (1, 2, 3))
    for me, host in world.hosts.items():
        host.replica = make(me, 1, world.seeds, True, None, 0.0, half)
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
    raise Broken("SETTLED: no primary took office")


@dataclass
class Breadth:
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


def apply(world: World, budget: dict[str, int], event: tuple, make: type[p.Replica]) -> None:
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
            host.replica = make(what[0], world.f, world.seeds, False, host.disk, world.now, half)
            world.collect(what[0])
        case "later":
            world.now = round(world.now + what[0], 3)
            for me, host in world.hosts.items():
                if host.replica is not None:
                    world.tick(me)
    world.check_leases()


def breadth(states: int, make: type[p.Replica] = p.Replica) -> Breadth:
    """All orders of events from `settled`, nearest first, until `states` different states have been seen."""
    began = time.monotonic()
    start = settled(make)
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
                apply(after, left, event, make)
            except Broken as broken:
                return Breadth(len(seen), depth, time.monotonic() - began, str(broken))
            key = digest(after, left)
            if key not in seen:
                seen.add(key)
                queue.append((depth + 1, pickle.dumps((after, left))))
    return Breadth(len(seen), depth, time.monotonic() - began)


def digest(world: World, budget: dict[str, int]) -> int:
    hosts = [(host.disk, host.save, host.replica and vars(host.replica)) for host in world.hosts.values()]
    checks = (world.checks.commits, world.checks.reads, world.checks.fence)
    return hash((repr(hosts), repr(sorted(map(repr, world.net))), world.now, repr(checks), repr(budget)))


# --- planted faults: a protocol with one thing wrong, which the walks must find


class AcknowledgesAlone(p.Replica):
    """The primary commits when its own disk has the sheet."""

    def _on_stored(self, sender, message):
        super()._on_stored(sender, message)
        proposal = self._proposal
        if proposal is not None and sender == self.me and message.ok and proposal.version == message.version:
            self._commit()


class EmptyDiskVotes(p.Replica):
    """A machine that lost its disk starts as if it were the first start."""

    def __init__(self, me, f, seeds, bootstrap, durable, now, chance, duty_wait=0.0, timing=p.DEFAULT_TIMING):
        super().__init__(me, f, seeds, True, durable, now, chance, duty_wait, timing)


class AcceptsBeforeSave(p.Replica):
    def _send_saved(self, to, message):
        (self._send if isinstance(message, p.Accepted) else super()._send_saved)(to, message)


class PromiseNotDurable(p.Replica):
    def _send_saved(self, to, message):
        (self._send if isinstance(message, p.Promised) else super()._send_saved)(to, message)


class CommitsBeforeOwnSave(p.Replica):
    """What is stored is acknowledged before it is on the disk of the one that stored it."""

    def _send_saved(self, to, message):
        (self._send if isinstance(message, p.Stored) else super()._send_saved)(to, message)


class OutOfSyncGoesOn(p.Replica):
    """A candidate goes on although it isn't in sync."""

    def _has_state(self, record):
        return True


class LostSheetGoesOn(p.Replica):
    """An in-sync machine stands although its disk was lost since."""

    def _has_state(self, record):
        return self.me in record.in_sync


class ReadsUnconfirmed(p.Replica):
    def confirm_read(self, token, now):
        if self._epoch is None:
            raise p.NotPrimary(0)
        self._actions.append(p.ReadConfirmed(token))


class ReadsProposed(p.Replica):
    """A read gives the sheet that is proposed and not committed."""

    def _send_proposal(self):
        self.committed_state = self._proposal.state
        super()._send_proposal()


class AcceptsLowerNumber(p.Replica):
    def _on_accept(self, sender, message):
        self._adopt(message.record)
        self._hold(sender)
        self._send_saved(sender, p.Accepted(message.number, True, message.number))


class IgnoresRecordsRead(p.Replica):
    """A candidate goes by the record it knew before."""

    def _on_promised(self, sender, message):
        own = self._candidacy.base if self._candidacy is not None else message.accepted
        super()._on_promised(sender, p.Promised(message.number, message.ok, message.promised, own))


class NewSetAlone(p.Replica):
    """A change of witnesses is decided by the new set, and the record names no former one."""

    def _deciding(self, c):
        return (c.record.witnesses,)

    def _next_witnesses(self, c):
        return super()._next_witnesses(c)[0], ()


class OldSetAlone(p.Replica):
    """A change of witnesses is decided by the old set, and the record names no former one."""

    def _deciding(self, c):
        return c.base.sets()

    def _next_witnesses(self, c):
        return super()._next_witnesses(c)[0], ()


class LeaseNotAwaited(p.Replica):
    """A witness promises to a candidate at any time."""

    def _blocked(self, candidate):
        return False


class RestartedDoesNotWait(p.Replica):
    """A witness that was started anew promises at once."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._held = float("-inf")
        self._stand_at = self._now


class StoresBelowPromise(p.Replica):
    def _on_store(self, sender, message):
        if message.version > self._durable.version:
            promised = max(self._durable.promised, message.number)
            self._change(promised=promised, version=message.version, state=message.state)
        self._send_saved(sender, p.Stored(message.number, message.version, True, message.number))


class RecallsFromOne(p.Replica):
    """One answer is enough to vote again after the disk was lost."""

    def _on_recovery_reply(self, sender, message):
        if self._durable.amnesic and not message.amnesic and message.serial == self._recovery_serial:
            self._change(promised=message.promised, accepted=message.accepted, amnesic=False)
            self._start_save()


class CountsAnyStored(p.Replica):
    """An answer to an earlier Store counts for the present proposal."""

    def _on_stored(self, sender, message):
        if self._proposal is not None and self._candidacy is None and message.ok:
            message = p.Stored(message.number, self._proposal.version, True, message.promised)
        super()._on_stored(sender, message)


class CountsAnyConfirmed(p.Replica):
    """An answer to an earlier Confirm counts for the round last asked."""

    def _on_heartbeat_reply(self, sender, message):
        super()._on_heartbeat_reply(
            sender, p.HeartbeatReply(message.number, self._serial, message.ok, message.promised, message.version)
        )


class KeepsLeaseHandingOver(p.Replica):
    """A primary with a slow disk nominates its backups and stays."""

    def _transfer_leadership(self):
        for member in sorted({*self._epoch.witnesses, *self._epoch.in_sync} - {self.me}):
            self._send(member, p.TransferLeadership(self._epoch.number))


@dataclass(frozen=True)
class Hunt:
    """Where a planted fault is looked for, and the first seed that finds it within 8000 steps."""

    seed: int
    machines: int = 3
    f: int = 1
    spares: int = 0
    kinds: tuple[str, ...] = ()  # of trouble; drawn by the seed if none are given


FAULTS: dict[type[p.Replica], Hunt] = {
    AcknowledgesAlone: Hunt(0),
    EmptyDiskVotes: Hunt(2),
    AcceptsBeforeSave: Hunt(0, 5, 1, 0, ("stand", "power", "power", "deaf")),
    PromiseNotDurable: Hunt(0, 5, 1, 0, ("stand", "power", "power", "deaf")),
    CommitsBeforeOwnSave: Hunt(0),
    OutOfSyncGoesOn: Hunt(1),
    LostSheetGoesOn: Hunt(2),
    ReadsUnconfirmed: Hunt(81),
    ReadsProposed: Hunt(3),
    AcceptsLowerNumber: Hunt(29, 5),
    IgnoresRecordsRead: Hunt(2, 3),
    NewSetAlone: Hunt(16, 3, 1, 1, ("pause", "cut", "deaf", "stand")),
    OldSetAlone: Hunt(1, 3, 1, 1, ("pause", "pause", "cut", "deaf")),
    LeaseNotAwaited: Hunt(4, 3, 1, 0, ("stand", "stand", "pause", "cut")),
    RestartedDoesNotWait: Hunt(4, 3, 1, 0, ("quake", "quake", "cut")),
    StoresBelowPromise: Hunt(16, 3, 1, 0, ("pause", "stand", "deaf")),
    RecallsFromOne: Hunt(74, 3, 1, 0, ("empty", "cut", "stand")),
    CountsAnyStored: Hunt(295),
    CountsAnyConfirmed: Hunt(6, 3, 1, 0, ("pause", "pause", "stand", "deaf")),
    KeepsLeaseHandingOver: Hunt(130, 3, 1, 0, ("slow", "fail", "pause")),
}


def find(fault: type[p.Replica], seeds, steps: int = 8000) -> Outcome | None:
    """The first walk that finds the planted fault."""
    hunt = FAULTS[fault]
    for seed in seeds:
        walk = Walk(seed, hunt.machines, hunt.f, hunt.spares, fault)
        walk.kinds = list(hunt.kinds) or walk.kinds
        outcome = walk.run(steps, calm=False)
        if outcome.broken:
            return outcome
    return None


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("what", choices=["walks", "breadth", "faults"])
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--steps", type=int, default=8000)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--f", type=int, default=1)
    parser.add_argument("--spares", type=int, default=0)
    parser.add_argument("--fault", default="", help="one planted fault's name")
    parser.add_argument("--states", type=int, default=20_000)
    given = parser.parse_args()
    seeds = range(given.first, given.first + given.seeds)
    if given.what == "breadth":
        result = breadth(given.states)
        print(result)
        return bool(result.broken)
    if given.what == "faults":
        missed = 0
        for fault in FAULTS:
            if given.fault not in ("", fault.__name__):
                continue
            found = find(fault, seeds, given.steps)
            missed += found is None
            at = f"seed {found.seed} step {found.steps} {found.broken}" if found else "-"
            print(f"{fault.__name__:22} {at}", flush=True)
        return bool(missed)
    bad = commits = offices = 0
    for seed in seeds:
        outcome = Walk(seed, given.machines, given.f, given.spares).run(given.steps)
        commits, offices = commits + outcome.committed, offices + outcome.offices
        if outcome.broken or outcome.stalled:
            bad += 1
            print(outcome)
    print(f"{given.seeds} walks, {commits} commits, {offices} offices taken, {bad} bad")
    return bool(bad)


if __name__ == "__main__":
    raise SystemExit(main())
