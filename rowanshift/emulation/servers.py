"""Cache servers and the origin: cores, a queue, speed, cold starts, falling over, and answers that are
spoilt."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

import trio

from rowanshift.emulation.http import HttpServer, Ledger, answer, body_of, deserted, field_of, other
from rowanshift.invariants.events import Events
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

PARTS = 5  # an overload lasts once so many equal parts of its time in a row were over
MISS_WORK = 0.25  # of a read's, that a miss takes
SPREAD = 0.4  # a work item's work is its mean, give or take so much


@dataclass(slots=True)
class Meter:
    """Tells when more than ``factor`` times the capacity came in for ``span`` seconds on end."""

    factor: float
    span: float
    part: int = -1  # the current part of the span
    work: float = 0.0
    room: float = 0.0
    streak: int = 0

    def add(self, now: float, work: float, capacity: float) -> bool:
        """Takes work in, in seconds of one core at speed 1; the capacity is what a second could take."""
        step = self.span / PARTS
        part = int(now / step)
        if part != self.part:
            over = self.work > self.room > 0
            self.streak = self.streak + 1 if over and part == self.part + 1 else 0
            self.part, self.work = part, 0.0
        self.work += work
        self.room = self.factor * capacity * step
        return self.streak >= PARTS


@dataclass(slots=True)
class Kind:
    """What a server can do. Works are in seconds of a core at speed 1."""

    works: dict[str, float]  # by category: mean
    cores: int = 2
    speed: float = 1.0
    queue: int = 64  # work items that wait for a core; more are turned away
    connections: int = 600
    handshake: float = 0.001  # work of a new connection
    throws_away: bool = True  # waiting work whose connection was given up
    idle_for: float = 60.0
    size: int = 0  # bytes of an answer at least
    overload_factor: float = 3.0
    overload_for: float = 3.0


@dataclass(slots=True)
class Spoiling:
    """The part of answers that go wrong, each way as likely as the others."""

    part: float = 0.0
    ways: tuple[str, ...] = ("half", "behind", "noise", "reset", "error")


@dataclass(slots=True, eq=False)
class Core:
    """A server's cores and who waits for them, in order."""

    free: int
    waiting: deque[trio.Event] = field(default_factory=deque)

    async def take(self) -> None:
        if self.free:
            self.free -= 1
            return
        event = trio.Event()
        self.waiting.append(event)
        try:
            await event.wait()
        except trio.Cancelled:
            if event.is_set():
                self.give()
            else:
                self.waiting.remove(event)
            raise

    def give(self) -> None:
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.free += 1


class Server(HttpServer):
    """What caches and the origin share."""

    def __init__(
        self,
        host: Runtime,
        address: Address,
        now: Callable[[], float],
        events: Events,
        name: str,
        kind: Kind,
        ledger: Ledger,
        random_source: random.Random,
        zone: int = 0,
    ) -> None:
        super().__init__(host, address, now, events)
        self.name, self.kind, self.ledger, self.random_source, self.zone = name, kind, ledger, random_source, zone
        self.idle_for = kind.idle_for
        self.core = Core(kind.cores)
        self.slowed = 1.0  # factor of its speed
        self.draining = False
        self.spoiling = Spoiling()
        self.meter = Meter(kind.overload_factor, kind.overload_for)
        self.served = 0

    def capacity(self) -> float:
        """Seconds of work that a second takes."""
        return self.kind.cores * self.kind.speed * self.slowed

    def speed(self) -> float:
        return self.kind.speed * self.slowed

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        stream, txn = connection.stream, field_of(message, b"x-txn")
        category, _, key = message.target.decode("latin-1").strip("/").partition("/")
        key = key.rpartition("/")[2]
        if category not in self.kind.works or not txn:
            await self.reply(connection, 404 if not txn else 400)
            return True
        out = self.ledger.out.setdefault(txn, [])
        for earlier in [row for row in out if deserted(row[1])]:
            self.events.tell("withdrawn", txn, earlier[0])
            out.remove(earlier)
        out.append((self.name, stream))
        self.events.tell("reached", txn, self.name, other(stream), first_at, self.zone)
        if (given_up_at := getattr(stream, "given_up_at", lambda: inf)()) < inf:
            self.events.tell("given_up", txn, self.name, given_up_at)
        work = self.kind.works[category] * (1 - SPREAD + 2 * SPREAD * self.random_source.random())
        work += self.kind.handshake if fresh else 0.0
        if self.overloaded(txn, work):
            return False
        expiry = self.now() + int(field_of(message, b"x-remaining-ms") or 0) / 1000
        full = len(self.core.waiting) >= self.kind.queue or self.connections > self.kind.connections
        if self.draining or full:
            return await self._turn_away(connection, txn)
        await self.core.take()
        try:
            if self.now() > expiry:
                return await self._turn_away(connection, txn)
            if self.kind.throws_away and deserted(stream):
                return False
            status, body, found = self.look(message, txn, key)
            work = work * MISS_WORK if status == 404 else work
            await self.busy(work)
        finally:
            self.core.give()
        if status == 200 and self.spoiling.part and self.random_source.random() < self.spoiling.part:
            return await self._spoil(connection, txn, body)
        if status == 200:
            body = self.done(message, txn, key) or body
        self._told(connection, txn, "served" if status == 200 else "miss")
        await self.reply(connection, status, body, *found)
        self.served += 1
        return True

    async def busy(self, work: float) -> None:
        await self.host.pause(work / max(1e-6, self.speed()))

    def overloaded(self, txn: str, work: float) -> bool:
        """Takes note of work that came in; whether the server is gone for it."""
        return False

    def look(self, message: Message, txn: str, key: str) -> tuple[int, bytes, tuple[bytes, ...]]:
        """Status, body and fields of the answer, by what the server has when it begins."""
        raise NotImplementedError

    def done(self, message: Message, txn: str, key: str) -> bytes:
        """What the work does when it is done; the body, where only that tells it."""
        return b""

    def _told(self, connection: Connection, txn: str, outcome: str) -> None:
        out = self.ledger.out.get(txn, [])
        out[:] = [row for row in out if row[1] is not connection.stream]
        self.events.tell("replied", txn, self.name, outcome, self.now())

    async def _turn_away(self, connection: Connection, txn: str) -> bool:
        self._told(connection, txn, "away")
        await self.reply(connection, 503, b"", b"X-Turned-Away: 1")
        return True

    async def _spoil(self, connection: Connection, txn: str, body: bytes) -> bool:
        way = self.random_source.choice(self.spoiling.ways)
        self._told(connection, txn, "spoilt")
        whole = answer(200, body, b"X-Found: hit")
        if way == "reset":
            return False
        if way == "error":
            await self.reply(connection, 500, b"no\n")
            return True
        await self.send(
            connection,
            {
                "half": whole[: -max(1, len(body) // 2)],
                "noise": b"\x83\x00" + whole,
                "behind": whole + answer(200, b"stale\n"),
            }[way],
        )
        if way == "behind":
            return True
        if way == "half" and self.random_source.random() < 0.5:
            await self.host.pause(5)  # neither more nor an end
        return False


class Cache(Server):
    """Keeps what it was filled with; one that lacks a key says so."""

    def __init__(
        self,
        *args,
        came_up: float = 0.0,
        start_share: float = 0.15,
        warm_within: float = 20.0,
        fall: Callable[["Cache"], None] = lambda cache: None,
        keeps: int = 10_000,
    ) -> None:
        super().__init__(*args)
        self.came_up, self.start_share, self.warm_within = came_up, start_share, warm_within
        self.fall, self.keeps = fall, keeps  # the last: keys; beyond them the oldest goes
        self.store: dict[str, int] = {}
        self.ledger.stores.append(self.store)

    def warmth(self) -> float:
        """The part of its capacity that it has; ``came_up`` is by this clock, 0 for long ago."""
        if not self.came_up:
            return 1.0
        part = (self.now() - self.came_up) / self.warm_within
        return min(1.0, self.start_share + (1 - self.start_share) * part)

    def capacity(self) -> float:
        return super().capacity() * self.warmth()

    def speed(self) -> float:
        return super().speed() * self.warmth()

    def overloaded(self, txn: str, work: float) -> bool:
        warmth = self.warmth()
        plain = self.kind.cores * self.kind.speed * warmth  # as if it were not slowed besides
        if warmth >= 1 or not self.meter.add(self.now(), work, plain):
            return False
        self.events.tell("fell", self.name, round(warmth, 3))
        self.fall(self)
        return True

    def fill(self, key: str, version: int) -> None:
        self.store.pop(key, None)
        self.store[key] = version
        if len(self.store) > self.keeps:
            del self.store[next(iter(self.store))]

    def look(self, message: Message, txn: str, key: str) -> tuple[int, bytes, tuple[bytes, ...]]:
        version = self.store.get(key)
        if version is not None:
            return 200, body_of(txn, self.name, key, version, self.kind.size), (b"X-Found: hit",)
        self.ledger.missed.setdefault(txn, []).append((self, self.warmth() < 1))
        return 404, b"", (b"X-Found: miss",)


class Origin(Server):
    """Has every key; stops for a while when it is sent far more than it can take."""

    stops_for = 4.0
    stopped_until = 0.0
    part = -1  # of time, in which it counts
    cold, came = 0, 0  # misses at cold caches among what came of late

    def overloaded(self, txn: str, work: float) -> bool:
        now, step = self.now(), self.kind.overload_for
        part = int(now / step)
        if part != self.part:
            self.part, self.cold, self.came = part, 0, 0
        self.came += 1
        self.cold += any(cold for _, cold in self.ledger.missed.get(txn, ()))
        if self.meter.add(now, work, self.capacity()) and now >= self.stopped_until:
            self.stopped_until, self.meter.streak = now + self.stops_for, 0
            self.events.tell("stopped", self.name, round(self.cold / self.came, 3))
        return False

    async def busy(self, work: float) -> None:
        await super().busy(work)
        while (left := self.stopped_until - self.now()) > 0:
            await self.host.pause(left)

    def look(self, message: Message, txn: str, key: str) -> tuple[int, bytes, tuple[bytes, ...]]:
        version = self.ledger.versions.get(key, 0)
        return 200, body_of(txn, self.name, key, version, self.kind.size), ()

    def done(self, message: Message, txn: str, key: str) -> bytes:
        if message.method == b"PUT":
            self.ledger.void(key)
            return body_of(txn, self.name, key, self.ledger.versions[key])
        version = self.ledger.versions.get(key, 0)
        for cache, _ in self.ledger.missed.pop(txn, ()):
            cache.fill(key, version)
        return b""
