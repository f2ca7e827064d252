"""Emulated cache servers and origin: cores, a bounded queue, cold starts, overload and faulty responses."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

import trio

from rowanshift.emulation.http import HttpServer, SharedState, answer, body_of, deserted, field_of, other
from rowanshift.invariants.events import EventStream
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

INTERVALS_PER_SPAN = 5  # number of consecutive intervals of an overload period that must all exceed the limit
MISS_COST_RATIO = 0.25  # work of a cache miss relative to a hit
WORK_VARIATION = 0.4  # work varies by up to this fraction of its mean


@dataclass(slots=True)
class OverloadDetector:
    """Detects an overload: incoming work above ``factor`` times the capacity for ``span`` seconds without a break."""

    factor: float
    span: float
    interval: int = -1  # number of the current interval; a span has ``INTERVALS_PER_SPAN`` of them
    work: float = 0.0  # of the current interval
    limit: float = 0.0  # of work per interval
    streak: int = 0  # consecutive intervals above the limit

    def add(self, now: float, work: float, capacity: float) -> bool:
        """Add incoming work and return whether the server is overloaded.

        ``work`` is in seconds of one core at speed 1, ``capacity`` is the work that can be done per second."""
        step = self.span / INTERVALS_PER_SPAN
        interval = int(now / step)
        if interval != self.interval:
            over = self.work > self.limit > 0
            self.streak = self.streak + 1 if over and interval == self.interval + 1 else 0
            self.interval, self.work = interval, 0.0
        self.work += work
        self.limit = self.factor * capacity * step
        return self.streak >= INTERVALS_PER_SPAN


@dataclass(slots=True)
class CacheServerTraits:
    """Capacity and limits of a server. Work is in seconds of one core at speed 1."""

    works: dict[str, float]  # mean work by category
    cores: int = 2
    speed: float = 1.0
    queue: int = 64  # requests waiting for a core; further ones are rejected
    connections: int = 600
    handshake: float = 0.001  # work of accepting a connection
    throws_away: bool = True  # drop waiting requests whose client has disconnected
    idle_for: float = 60.0
    size: int = 0  # minimum size of a response body in bytes
    overload_factor: float = 3.0
    overload_for: float = 3.0


@dataclass(slots=True)
class FaultyResponses:
    """The share of successful responses that are replaced by a fault, drawn evenly from ``ways``."""

    share: float = 0.0
    ways: tuple[str, ...] = ("half", "behind", "noise", "reset", "error")


@dataclass(slots=True, eq=False)
class CorePool:
    """The cores of a server, granted to waiting requests in order of arrival."""

    free: int
    waiting: deque[trio.Event] = field(default_factory=deque)

    async def acquire(self) -> None:
        if self.free:
            self.free -= 1
            return
        event = trio.Event()
        self.waiting.append(event)
        try:
            await event.wait()
        except trio.Cancelled:
            if event.is_set():
                self.release()
            else:
                self.waiting.remove(event)
            raise

    def release(self) -> None:
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.free += 1


class Server(HttpServer):
    """Base class of caches and the origin: queueing, rejection and faulty responses."""

    def __init__(
        self,
        host: Runtime,
        address: Address,
        now: Callable[[], float],
        events: EventStream,
        name: str,
        kind: CacheServerTraits,
        shared_state: SharedState,
        random_source: random.Random,
        zone: int = 0,
    ) -> None:
        super().__init__(host, address, now, events)
        self.name, self.kind, self.shared_state, self.random_source, self.zone = (
            name,
            kind,
            shared_state,
            random_source,
            zone,
        )
        self.idle_for = kind.idle_for
        self.core_pool = CorePool(kind.cores)
        self.slowed = 1.0  # factor of the speed; below 1 the server is slow
        self.draining = False
        self.spoiling = FaultyResponses()
        self.meter = OverloadDetector(kind.overload_factor, kind.overload_for)
        self.served = 0

    def capacity(self) -> float:
        """Work that can be done per second."""
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
        out = self.shared_state.out.setdefault(txn, [])
        for earlier in [row for row in out if deserted(row[1])]:
            self.events.publish("withdrawn", txn, earlier[0])
            out.remove(earlier)
        out.append((self.name, stream))
        self.events.publish("reached", txn, self.name, other(stream), first_at, self.zone)
        if (given_up_at := getattr(stream, "given_up_at", lambda: inf)()) < inf:
            self.events.publish("given_up", txn, self.name, given_up_at)
        work = self.kind.works[category] * (1 - WORK_VARIATION + 2 * WORK_VARIATION * self.random_source.random())
        work += self.kind.handshake if fresh else 0.0
        if self.add_load(txn, work):
            return False
        expiry = self.now() + int(field_of(message, b"x-remaining-ms") or 0) / 1000
        queue_full = len(self.core_pool.waiting) >= self.kind.queue or self.connections > self.kind.connections
        if self.draining or queue_full:
            return await self._reject(connection, txn)
        await self.core_pool.acquire()
        try:
            if self.now() > expiry:
                return await self._reject(connection, txn)
            if self.kind.throws_away and deserted(stream):
                return False
            status, body, extra_fields = self.find_response(message, txn, key)
            work = work * MISS_COST_RATIO if status == 404 else work
            await self.do_work(work)
        finally:
            self.core_pool.release()
        if status == 200 and self.spoiling.share and self.random_source.random() < self.spoiling.share:
            return await self._send_spoilt(connection, txn, body)
        if status == 200:
            body = self.finish(message, txn, key) or body
        self._record_reply(connection, txn, "served" if status == 200 else "miss")
        await self.reply(connection, status, body, *extra_fields)
        self.served += 1
        return True

    async def do_work(self, work: float) -> None:
        await self.host.pause(work / max(1e-6, self.speed()))

    def add_load(self, txn: str, work: float) -> bool:
        """Record incoming work and return whether the server has failed under its load."""
        return False

    def find_response(self, message: Message, txn: str, key: str) -> tuple[int, bytes, tuple[bytes, ...]]:
        """Status, body and extra header fields of the response, determined when the work begins."""
        raise NotImplementedError

    def finish(self, message: Message, txn: str, key: str) -> bytes:
        """Apply the effects of completed work. Returns the response body if it is known only now, else nothing."""
        return b""

    def _record_reply(self, connection: Connection, txn: str, outcome: str) -> None:
        out = self.shared_state.out.get(txn, [])
        out[:] = [row for row in out if row[1] is not connection.stream]
        self.events.publish("replied", txn, self.name, outcome, self.now())

    async def _reject(self, connection: Connection, txn: str) -> bool:
        self._record_reply(connection, txn, "away")
        await self.reply(connection, 503, b"", b"X-Turned-Away: 1")
        return True

    async def _send_spoilt(self, connection: Connection, txn: str, body: bytes) -> bool:
        way = self.random_source.choice(self.spoiling.ways)
        self._record_reply(connection, txn, "spoilt")
        response = answer(200, body, b"X-Found: hit")
        if way == "reset":
            return False
        if way == "error":
            await self.reply(connection, 500, b"no\n")
            return True
        await self.send(
            connection,
            {
                "half": response[: -max(1, len(body) // 2)],
                "noise": b"\x83\x00" + response,
                "behind": response + answer(200, b"stale\n"),
            }[way],
        )
        if way == "behind":
            return True
        if way == "half" and self.random_source.random() < 0.5:
            await self.host.pause(5)  # stall: neither more data nor the end of the connection
        return False


class Cache(Server):
    """A cache server: answers 404 for a key that it does not hold, and is filled after reads from the origin.

    After its start it warms up from ``start_share`` of its capacity to all of it within ``warm_within`` seconds.
    ``fall`` is called when it fails under overload while it warms up. It holds up to ``max_keys`` keys."""

    def __init__(
        self,
        *args,
        came_up: float = 0.0,
        start_share: float = 0.15,
        warm_within: float = 20.0,
        fall: Callable[["Cache"], None] = lambda cache: None,
        max_keys: int = 10_000,
    ) -> None:
        super().__init__(*args)
        self.came_up, self.start_share, self.warm_within = came_up, start_share, warm_within
        self.fall, self.max_keys = fall, max_keys
        self.store: dict[str, int] = {}
        self.shared_state.stores.append(self.store)

    def warmth(self) -> float:
        """The share of its capacity that is available; ``came_up`` is by the server's clock, 0 for long ago."""
        if not self.came_up:
            return 1.0
        elapsed_share = (self.now() - self.came_up) / self.warm_within
        return min(1.0, self.start_share + (1 - self.start_share) * elapsed_share)

    def capacity(self) -> float:
        return super().capacity() * self.warmth()

    def speed(self) -> float:
        return super().speed() * self.warmth()

    def add_load(self, txn: str, work: float) -> bool:
        warmth = self.warmth()
        nominal_capacity = self.kind.cores * self.kind.speed * warmth  # without an injected slowdown
        if warmth >= 1 or not self.meter.add(self.now(), work, nominal_capacity):
            return False
        self.events.publish("fell", self.name, round(warmth, 3))
        self.fall(self)
        return True

    def fill(self, key: str, version: int) -> None:
        """Store a key, and evict the oldest one when there are more than ``max_keys``."""
        self.store.pop(key, None)
        self.store[key] = version
        if len(self.store) > self.max_keys:
            del self.store[next(iter(self.store))]

    def find_response(self, message: Message, txn: str, key: str) -> tuple[int, bytes, tuple[bytes, ...]]:
        version = self.store.get(key)
        if version is not None:
            return 200, body_of(txn, self.name, key, version, self.kind.size), (b"X-Found: hit",)
        self.shared_state.missed.setdefault(txn, []).append((self, self.warmth() < 1))
        return 404, b"", (b"X-Found: miss",)


class Origin(Server):
    """The origin, which has every key. Under overload it stalls for ``stops_for`` seconds."""

    stops_for = 4.0
    stopped_until = 0.0
    interval = -1  # number of the time interval that the counts belong to
    cold_misses, requests = 0, 0  # this interval's misses at caches still warming up, and requests

    def add_load(self, txn: str, work: float) -> bool:
        now, step = self.now(), self.kind.overload_for
        interval = int(now / step)
        if interval != self.interval:
            self.interval, self.cold_misses, self.requests = interval, 0, 0
        self.requests += 1
        self.cold_misses += any(cold for _, cold in self.shared_state.missed.get(txn, ()))
        if self.meter.add(now, work, self.capacity()) and now >= self.stopped_until:
            self.stopped_until, self.meter.streak = now + self.stops_for, 0
            self.events.publish("stopped", self.name, round(self.cold_misses / self.requests, 3))
        return False

    async def do_work(self, work: float) -> None:
        await super().do_work(work)
        while (left := self.stopped_until - self.now()) > 0:
            await self.host.pause(left)

    def find_response(self, message: Message, txn: str, key: str) -> tuple[int, bytes, tuple[bytes, ...]]:
        version = self.shared_state.versions.get(key, 0)
        return 200, body_of(txn, self.name, key, version, self.kind.size), ()

    def finish(self, message: Message, txn: str, key: str) -> bytes:
        if message.method == b"PUT":
            self.shared_state.void(key)
            return body_of(txn, self.name, key, self.shared_state.versions[key])
        version = self.shared_state.versions.get(key, 0)
        for cache, _ in self.shared_state.missed.pop(txn, ()):
            cache.fill(key, version)
        return b""
