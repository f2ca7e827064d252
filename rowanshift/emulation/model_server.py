"""Model servers and their store: slots and a queue, streams of events, cached parts that are kept and moved,
orders under fences, and what may go wrong. Times are in seconds, except where the wire has milliseconds."""

import random
import socket
import struct
from collections import OrderedDict, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import inf
from typing import Any

import orjson
import trio

from rowanshift.emulation.http import HttpServer, answer, field_of, other
from rowanshift.invariants.events import Events
from rowanshift.invariants.system import (
    Began,
    CacheHit,
    Fact,
    Finished,
    Loaded,
    Made,
    Moved,
    Ordered,
    Reached,
    digest_of,
)
from rowanshift.transport.flow import LAST_CHUNK, framed
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address, Stream

JSON = b"Content-Type: application/json"
NOT_EXECUTED = b"Not-Executed: 1"
METHODS = ("wait", "truncate", "retain")
MISS, DEAD_SOURCE = 0.001, 0.3  # seconds that a move costs that brings nothing
LONGEST_MOVE_WAIT = 2.0
LONGEST_HELD = 1.0  # seconds of a call for events
DEFAULT_PRIORITY = 5


def query_of(message: Message) -> tuple[str, dict[str, str]]:
    path, _, query = message.target.decode("latin-1").partition("?")
    return path, dict(part.partition("=")[::2] for part in query.split("&") if part)


def number_of(message: Message, name: bytes, default: int = 0) -> int:
    text = field_of(message, name)
    return int(text) if text.isdigit() else default


def reset(stream: Stream) -> None:
    """Closes a connection so that the other side sees a reset."""
    if stream.closed():
        return
    if hasattr(stream, "drop"):
        stream.drop(True)
        return
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.close()


def gone(stream: Stream) -> bool:
    """Whether the other side has ended its sending; more that it sent is no end."""
    if stream.closed():
        return True
    if hasattr(stream, "deserted"):
        return stream.deserted()
    try:
        return stream.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


@dataclass(slots=True)
class Traits:
    """What a server can do. Times in seconds, sizes in tokens."""

    slots: int = 4
    queue: int = 4
    kv_tokens: int = 100_000
    token_bytes: int = 163_840
    link_mbps: float = 260_000.0
    stride: int = 4  # tokens in an event
    gap: float = 0.005  # between events of a run alone
    crowding: float = 0.05  # by which each other run lengthens it
    prefill_base: float = 0.002
    prefill: float = 0.00002  # a token that is not kept
    load: float = 0.5
    report_lag: float = 0.2
    event_lag: float = 0.02
    lose_event_every: int = 0  # each so-many-th event is never told; 0: none
    events_kept: int = 1000
    held_calls: int = 12  # for events at once
    connections: int = 360
    fencing: bool = True
    idle_for: float = 60.0
    health: str = "/health"


# cached parts -----------------------------------------------

Key = tuple[str, str, str]  # model, salt, part


@dataclass(slots=True, eq=False)
class Part:
    key: Key
    tokens: int
    revision: int  # of the model that it was made under
    tenant: str  # whose request made it
    pins: int = 0  # runs that use it


class KvCache:
    """Parts, the longest unused first, and what runs hold besides; tells of its changes."""

    def __init__(self, now: Callable[[], float], traits: Traits, epoch: int) -> None:
        self.now, self.traits, self.epoch = now, traits, epoch
        self.parts: OrderedDict[Key, Part] = OrderedDict()
        self.size = self.pinned = 0  # tokens of parts, and of those in use
        self.reserved = 0  # tokens of runs beside parts
        self.number = 0
        self.events: deque[tuple[float, list[Any]]] = deque(maxlen=traits.events_kept)
        self.changed = trio.Event()

    def in_use(self) -> int:
        return self.reserved + self.pinned

    def prefix(self, model: str, salt: str, prompt: list[tuple[str, int]]) -> list[Part]:
        """The parts from the first on that are kept without a gap."""
        found: list[Part] = []
        for name, _ in prompt:
            if (part := self.parts.get((model, salt, name))) is None:
                break
            found.append(part)
        return found

    def pin(self, part: Part) -> None:
        self.parts.move_to_end(part.key)
        part.pins += 1
        if part.pins == 1:
            self.pinned += part.tokens

    def unpin(self, part: Part) -> None:
        part.pins -= 1
        if part.pins == 0 and self.parts.get(part.key) is part:
            self.pinned -= part.tokens

    def reserve(self, tokens: int) -> bool:
        """Makes room, if what gives way is enough for it."""
        if self.in_use() + tokens > self.traits.kv_tokens:
            return False
        self.reserved += tokens
        self._shrink()
        return True

    def _shrink(self) -> None:
        for part in [*self.parts.values()]:
            if self.size + self.reserved <= self.traits.kv_tokens:
                return
            if not part.pins:
                self.drop(part)

    def keep(self, part: Part) -> Part:
        """Takes a part in; one that is held already remains as it was first made."""
        if (held := self.parts.get(part.key)) is not None:
            self.parts.move_to_end(part.key)
            return held
        self.parts[part.key] = part
        self.size += part.tokens
        self._tell("+", part, part.tokens)
        self._shrink()
        return part

    def drop(self, part: Part) -> None:
        if self.parts.get(part.key) is part:
            del self.parts[part.key]
            self.size -= part.tokens
            self.pinned -= part.tokens if part.pins else 0
            self._tell("-", part, 0)

    def drop_model(self, model: str) -> None:
        """Running requests work on with what they have of it, which no longer counts."""
        for part in [part for part in self.parts.values() if part.key[0] == model]:
            self.drop(part)

    def _tell(self, sign: str, part: Part, tokens: int) -> None:
        model, salt, name = part.key
        self.number += 1
        if self.traits.lose_event_every and self.number % self.traits.lose_event_every == 0:
            return
        shown_at = self.now() + self.traits.event_lag
        self.events.append((shown_at, [self.number, sign, salt, name, tokens, model]))
        event, self.changed = self.changed, trio.Event()
        event.set()

    def since(self, number: int) -> dict[str, Any]:
        shown = [event for at, event in self.events if at <= self.now()]
        oldest = self.events[0][1][0] if self.events else self.number + 1
        full = len(self.events) == self.traits.events_kept
        return {
            "bootEpoch": self.epoch,
            "nextToken": shown[-1][0] if shown else min(number, self.number),
            "lost": number > self.number or (full and number < oldest - 1),
            "events": [event for event in shown if event[0] > number],
        }

    def whole(self) -> dict[str, Any]:
        held = [[salt, name, part.tokens, model] for (model, salt, name), part in self.parts.items()]
        return {"bootEpoch": self.epoch, "nextToken": self.number, "held": held}


@dataclass(slots=True)
class Registry:
    """What all model servers and stores know of each other, and the versions that the operator has named."""

    servers: dict[str, "KvServer"] = field(default_factory=dict)  # by IP:PORT, the last that was given it
    newest: dict[str, int] = field(default_factory=dict)  # by model


class KvServer(HttpServer):
    """What model servers and stores share: lives, and calls about cached parts. ``run`` is the process: it
    goes on after ``crash`` and ``restart``, and may be run anew after its machine was killed."""

    def __init__(
        self,
        host: Runtime,
        address: Address,
        clock: Callable[[], float],
        facts: list[Fact],
        registry: Registry,
        traits: Traits | None = None,
        zone: str = "z1",
        region: str = "r1",
    ) -> None:
        super().__init__(host, address, clock, Events(clock))
        self.facts, self.registry, self.traits = facts, registry, traits or Traits()
        self.zone, self.region, self.name = zone, region, "{}:{}".format(*address)
        self.idle_for = self.traits.idle_for
        self.life = 0
        self.started = self.up = self.hung = False
        self.link_free_at = 0.0  # of its moves, one at a time
        self.begin = trio.Event()  # of the next life, after a crash
        self.go_on = trio.Event()  # after a hang
        self.scope: trio.CancelScope | None = None
        self.nursery: Nursery | None = None
        self.streams: dict[Stream, None] = {}
        self.held_calls = 0
        self.boot()

    def boot(self) -> None:
        """What a start does away with."""
        self.life += 1
        self.cache = KvCache(self.now, self.traits, 1000 * self.life + self.address[1] % 1000)

    def alive(self) -> bool:
        return self.up and getattr(self.host, "running", True)

    async def run(self) -> None:
        while True:
            if self.started:
                self.boot()
            self.started, self.up, self.begin = True, True, trio.Event()
            self.connections = self.held_calls = 0
            self.streams.clear()
            self.registry.servers[self.name] = self
            async with self.host.nursery() as nursery:
                self.scope, self.nursery = nursery.cancel_scope, nursery
                nursery.start_soon(super().run)
            await self.begin.wait()

    async def _serve(self, stream: Stream) -> None:
        if self.connections >= self.traits.connections:
            return reset(stream)
        self.streams[stream] = None
        try:
            await super()._serve(stream)
        finally:
            self.streams.pop(stream, None)

    # troubles ---------------------------------------------

    def crash(self) -> None:
        """Ends at once; every connection is reset."""
        if self.scope is not None and self.up:
            self.up = False
            for stream in [*self.streams]:
                reset(stream)
            self.scope.cancel()

    def restart(self) -> None:
        """Starts anew, after a crash or with one."""
        self.crash()
        self.begin.set()

    def hang(self, hung: bool = True) -> None:
        """Answers nothing more until ``hang(False)``; connections stay."""
        self.hung = hung
        if hung:
            self.go_on = trio.Event()
        else:
            self.go_on.set()

    async def hung_up(self) -> None:
        while self.hung:
            await self.go_on.wait()

    # about parts ------------------------------------------

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        await self.hung_up()
        path, asked = query_of(message)
        if path == "/kv-list":
            await self.reply(connection, 200, orjson.dumps(self.cache.whole()), JSON)
        elif path == "/kv-events" and self.held_calls >= self.traits.held_calls:
            await self.reply(connection, 429, b"", NOT_EXECUTED)
        elif path == "/kv-events":
            self.held_calls += 1
            try:
                since = asked.get("since", "0")
                since = int(since) if since.isdigit() else 0
                told = await self._events(since, number_of(message, b"wait-ms") / 1000)
            finally:
                self.held_calls -= 1
            await self.reply(connection, 200, orjson.dumps(told), JSON)
        else:
            await self.reply(connection, 404)
        return True

    async def _events(self, since: int, wait: float) -> dict[str, Any]:
        cache = self.cache
        with trio.move_on_after(min(wait, LONGEST_HELD)):
            while not (told := cache.since(since))["events"] and not told["lost"]:
                due = min((at for at, event in cache.events if event[0] > since), default=inf)
                if due < inf:
                    await self.host.pause(max(due - self.now(), 1e-6))
                else:
                    await cache.changed.wait()
        return cache.since(since)

    def save(self, parts: list[Part]) -> None:
        for part in parts:
            self.cache.keep(Part(part.key, part.tokens, part.revision, part.tenant))


class KvStore(KvServer):
    """Keeps what servers send it; knows nothing of versions."""


# model servers ----------------------------------------------


@dataclass(slots=True, eq=False)
class Run:
    """A request at a server, from its arrival to the end of its answer."""

    id: str
    message: Message
    stream: Stream
    model: str
    tenant: str
    salt: str
    prompt: list[tuple[str, int]]  # parts and their tokens
    out: int  # tokens, at most
    since: int  # Last-Event-Id
    deadline: float
    priority: int
    number: int
    turn: trio.Event = field(default_factory=trio.Event)
    name: str = ""  # once it has begun: told with each event
    stamp: str = ""
    of: str = ""
    revision: int = 0
    told: int = 0  # revision that the client was last told
    reserved: int = 0
    pinned: list[Part] = field(default_factory=list)
    headed: bool = False  # its answer has begun
    how: str = "client gone"  # it ended
    scope: trio.CancelScope | None = None

    def __lt__(self, run: "Run") -> bool:
        return (self.priority, self.number) < (run.priority, run.number)


class ModelServer(KvServer):
    """Answers requests with streams of events. An event's id is the number of tokens that it completes; its
    data tells which request and run made it, for the checks in ``rules/system.py``."""

    def __init__(
        self,
        host: Runtime,
        address: Address,
        instance_id: str,
        service: str,
        clock: Callable[[], float],
        facts: list[Fact],
        registry: Registry,
        models: dict[str, int],
        traits: Traits | None = None,
        zone: str = "z1",
        region: str = "r1",
        random_source: random.Random | None = None,
    ) -> None:
        self.first_id = self.instance_id = instance_id
        self.next_id = ""
        self.service, self.models = service, dict(models)
        self.random_source = random_source or random.Random(instance_id)
        self.slowed = 1.0  # factor of its times
        self.lost_share = self.lost_orders = 0.0  # parts of answers that are lost
        self.garbling: tuple[str, int] = ("", 0)
        self.draining = False
        super().__init__(host, address, clock, facts, registry, traits, zone, region)

    def boot(self) -> None:
        super().boot()
        if self.life > 1:
            self.instance_id = self.next_id or f"{self.first_id}-{self.life}"
        self.next_id, self.draining, self.slowed = "", False, 1.0
        self.sequence = self.numbers = 0
        self.fence = -1  # the highest seen
        self.busy = ""  # the model that is being loaded
        self.waiting: list[Run] = []
        self.running: dict[Run, None] = {}
        self.ended = trio.Event()  # of any run
        self.reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=2000)
        self._note()

    # troubles ---------------------------------------------

    def restart(self, instance_id: str = "") -> None:
        """Starts anew under another id, with the weights that it had."""
        self.next_id = instance_id
        super().restart()

    def drain(self) -> None:
        """Says on every answer that it is leaving, and serves on."""
        self.draining = True

    def answer_lost(self, share: float, orders: float = 0.0) -> None:
        """These parts of the answers, and of those to orders, are lost: the work is done, the connection
        reset."""
        self.lost_share, self.lost_orders = share, orders

    def garble(self, way: str, count: int = 1) -> None:
        """Spoils so many answers: ``break`` breaks off after the first event, ``extra`` sends another answer
        behind the whole one, ``noise`` sends bytes that are no answer."""
        if way not in ("break", "extra", "noise"):
            raise ValueError(f"no way to garble: {way}")
        self.garbling = way, count

    # what it tells of itself ------------------------------

    def _note(self) -> None:
        """Keeps how it stands for ``/report``, which tells it late."""
        self.reports.append(
            (
                self.now(),
                {
                    "stage": "both",
                    "models": [
                        {"name": name, "revision": revision, "adapters": []} for name, revision in self.models.items()
                    ],
                    "busy": bool(self.busy),
                    "sequence": self.sequence,
                    "queued": len(self.waiting),
                    "active": len(self.running),
                    "kvInUse": self.cache.in_use(),
                    "kvSize": self.traits.kv_tokens,
                    "handles": 0,
                },
            )
        )

    def report(self, at: float) -> dict[str, Any]:
        """How it stood at a time, or at its start."""
        return next((told for since, told in reversed(self.reports) if since <= at), self.reports[0][1])

    def row(self, instance: str, state: str, at: float) -> dict[str, Any]:
        """Its entry in the platform's list, with the models that it had at a time."""
        told = self.report(at)
        return {
            "id": instance,
            "backend": self.service,
            "address": self.name,
            "zone": self.zone,
            "revision": "v1",
            "slots": self.traits.slots,
            "state": state,
            "warmupLeftMs": 0,
            "stage": told["stage"],
            "models": told["models"],
        }

    # requests ---------------------------------------------

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        await self.hung_up()
        path, _ = query_of(message)
        if message.method == b"GET" and path == self.traits.health:
            full = len(self.running) >= self.traits.slots and len(self.waiting) >= self.traits.queue
            status = 503 if self.draining or full else 200
            await self.reply(connection, status, b"", *self._fields(), *([NOT_EXECUTED] if full else []))
        elif message.method == b"GET" and path == "/report":
            told = self.report(self.now() - self.traits.report_lag)
            await self.reply(connection, 200, orjson.dumps(told), JSON, *self._fields())
        elif message.method == b"POST" and path == "/order":
            return await self._order(connection, message)
        elif path in ("/kv-events", "/kv-list"):
            return await super().handle(connection, message, first_at, fresh)
        else:
            return await self._request(connection, message)
        return not self.draining

    def _fields(self) -> list[bytes]:
        fields = [f"Instance-Id: {self.instance_id}".encode(), b"Keep-Alive: timeout=%d" % self.idle_for]
        return [*fields, b"Connection: close"] if self.draining else fields

    def _unexpected(self, message: Message) -> bool:
        expected = field_of(message, b"expect-instance")
        return expected not in ("", self.instance_id)

    async def _request(self, connection: Connection, message: Message) -> bool:
        id, model = field_of(message, b"request-id"), field_of(message, b"model-name")
        wanted = field_of(message, b"expect-version")
        refused = 0
        if not id:
            refused = 400
        elif self._unexpected(message) or (wanted and wanted != str(self.models.get(model, 0))):
            refused = 421
        else:
            run = self._read(connection, message, id, model)
            if (
                run is None
                or run.model not in self.models
                or self.busy == run.model
                or sum(n for _, n in run.prompt) + run.out > self.traits.kv_tokens
                or (len(self.waiting) >= self.traits.queue and (self.waiting or len(self.running) >= self.traits.slots))
            ):
                refused = 400 if run is None else 503
        self.facts.append(Reached(self.now(), id, self.instance_id, self.service, other(connection.stream), refused))
        if refused:
            return await self._turn_away(connection, id, refused)
        keep = False
        try:
            async with self.host.nursery() as nursery:
                run.scope = nursery.cancel_scope
                nursery.start_soon(self._watch, connection.stream, run.scope)
                with suppress(OSError, trio.ClosedResourceError):
                    keep = await self._work(connection, run)
                run.scope.cancel()
        finally:
            self._leave(run)
        return keep and not self.draining

    def _read(self, connection: Connection, message: Message, id: str, model: str) -> Run | None:
        try:
            counts = [int(n) for n in field_of(message, b"token-count").split(",") if n]
            prompt = [
                (name, int(tokens))
                for name, _, tokens in (
                    part.partition(":") for part in field_of(message, b"prompt-prefix").split(",") if part
                )
            ]
        except ValueError:
            return None
        size, out = counts if len(counts) == 2 else (0, 1)
        if size > (kept := sum(tokens for _, tokens in prompt)):
            prompt.append((f"own-{id}", size - kept))
        left = number_of(message, b"deadline-remaining", 60_000) / 1000
        self.numbers += 1
        return Run(
            id,
            message,
            connection.stream,
            model or next(iter(self.models), ""),
            field_of(message, b"tenant-name"),
            field_of(message, b"cache-salt"),
            prompt,
            out,
            number_of(message, b"last-event-id"),
            self.now() + left,
            number_of(message, b"priority", DEFAULT_PRIORITY),
            self.numbers,
        )

    async def _turn_away(self, connection: Connection, id: str, status: int) -> bool:
        fields = [*self._fields(), NOT_EXECUTED]
        if id:
            fields.append(f"Request-Id: {id}".encode())
        await self.reply(connection, status, b"", *fields)
        return not self.draining

    async def _watch(self, stream: Stream, scope: trio.CancelScope) -> None:
        """Drops a request whose connection was closed."""
        try:
            await stream.wait_readable()
        except (OSError, trio.ClosedResourceError):
            pass
        else:
            if not gone(stream):
                return
        scope.cancel()

    # a run ------------------------------------------------

    def _admit(self) -> None:
        """Lets the most urgent begin while a slot and memory are free."""
        if not self.alive():
            return
        while self.waiting and len(self.running) < self.traits.slots:
            run = self.waiting[0]
            hits = self.cache.prefix(run.model, run.salt, run.prompt)
            for part in hits:
                self.cache.pin(part)
            need = sum(n for _, n in run.prompt[len(hits) :]) + run.out
            if not self.cache.reserve(need):
                for part in hits:
                    self.cache.unpin(part)
                break
            heappop(self.waiting)
            self.running[run] = None
            run.reserved, run.pinned = need, hits
            self._begin(run)
            run.turn.set()
        self._note()

    def _begin(self, run: Run) -> None:
        now, message = self.now(), run.message
        run.name = f"{self.instance_id}/{run.number}"
        run.revision = run.told = self.models[run.model]
        method, target = message.method.decode(), message.target.decode("latin-1")
        run.of = digest_of(method, target, message.body)
        run.stamp = f"{digest_of(self.instance_id)}.{run.number:x}.{digest_of(run.id)}"
        self.facts.append(
            Began(
                now,
                run.id,
                self.instance_id,
                self.service,
                run.name,
                run.stamp,
                field_of(message, b"host"),
                method,
                target,
                message.body,
                run.tenant,
                field_of(message, b"authorization"),
                run.model,
                run.revision,
                run.since,
            )
        )
        self._hits(run, run.pinned)

    def _hits(self, run: Run, parts: list[Part]) -> None:
        self.facts += [
            CacheHit(
                self.now(),
                run.id,
                self.instance_id,
                run.model,
                run.revision,
                run.tenant,
                run.salt,
                part.key[2],
                part.revision,
                part.tenant,
                part.tokens,
            )
            for part in parts
        ]

    def _leave(self, run: Run) -> None:
        """Gives back what a run held, however it ended."""
        if run in self.waiting:
            self.waiting.remove(run)
            heapify(self.waiting)
        if run in self.running:
            del self.running[run]
            self.cache.reserved -= run.reserved
            for part in run.pinned:
                self.cache.unpin(part)
            self.facts.append(Finished(self.now(), run.id, run.name, run.how if self.alive() else "crash"))
        event, self.ended = self.ended, trio.Event()
        event.set()
        self._admit()

    async def _work(self, connection: Connection, run: Run) -> bool:
        heappush(self.waiting, run)
        self._admit()
        with trio.move_on_after(max(0.0, run.deadline - self.now())):
            await run.turn.wait()
        if run not in self.running:
            return await self._turn_away(connection, run.id, 503)
        with trio.move_on_after(max(0.0, run.deadline - self.now())):
            await self._prefill(run)
            return await self._stream(connection, run)
        run.how = "deadline"
        if not run.headed:
            await self.reply(connection, 504, b"", f"Request-Id: {run.id}".encode(), *self._fields())
            return True
        return False  # the answer is broken off

    async def _prefill(self, run: Run) -> None:
        if source := field_of(run.message, b"kv-fetch"):
            await self._fetch(run, source)
        left = run.prompt[len(run.pinned) :]
        tokens = sum(n for _, n in left)
        await self.host.pause((self.traits.prefill_base + self.traits.prefill * tokens) * self.slowed)
        if self.models[run.model] != run.revision:  # loaded meanwhile: what it read is of the old weights
            return
        for name, size in left:
            self._take_in(run, Part((run.model, run.salt, name), size, run.revision, run.tenant))
        store = self.registry.servers.get(field_of(run.message, b"kv-save"))
        if store is not None and store.alive():
            store.save(run.pinned)
        self._note()

    def _take_in(self, run: Run, part: Part) -> Part:
        """Makes a part of what a run had reserved for it."""
        run.reserved -= part.tokens
        self.cache.reserved -= part.tokens
        kept = self.cache.keep(part)
        self.cache.pin(kept)
        run.pinned.append(kept)
        return kept

    async def _fetch(self, run: Run, source: str) -> None:
        """Moves what the source keeps of the prompt beyond what is kept here; one move at a time."""
        server = self.registry.servers.get(source)
        if server is None or not server.alive() or server.hung:
            await self.host.pause(DEAD_SOURCE)
            return self._moved(run, source, 0, "dead source")
        here = len(run.pinned)
        found = server.cache.prefix(run.model, run.salt, run.prompt)[here:]
        if not found:
            await self.host.pause(MISS)
            return self._moved(run, source, 0, "miss")
        tokens = sum(part.tokens for part in found)
        far = 1 if server.zone == self.zone else 2 if server.region == self.region else 10
        took = tokens * self.traits.token_bytes * 8 / (self.traits.link_mbps * 1e6) * far
        begins = max(self.now(), self.link_free_at)
        if begins - self.now() > LONGEST_MOVE_WAIT:
            return self._moved(run, source, 0, "the link is busy")
        self.link_free_at = begins + took
        await self.host.pause(max(0.0, self.link_free_at - self.now()))  # a fast move may be over by this look
        if self.models[run.model] != run.revision:
            return
        self._hits(run, found)
        for part, (name, size) in zip(found, run.prompt[here:], strict=False):
            self._take_in(run, Part((run.model, run.salt, name), size, part.revision, part.tenant))
        self._moved(run, source, tokens)

    def _moved(self, run: Run, source: str, tokens: int, bad: str = "") -> None:
        self.facts.append(Moved(self.now(), run.id, self.instance_id, source, tokens, bad))

    async def _stream(self, connection: Connection, run: Run) -> bool:
        head = b"\r\n".join(
            [
                b"HTTP/1.1 200 OK",
                f"Request-Id: {run.id}".encode(),
                f"Response-Seal: {run.stamp}".encode(),
                f"Versions: {run.told}".encode(),
                b"Content-Type: text/event-stream",
                *self._fields(),
                b"Transfer-Encoding: chunked",
                b"",
                b"",
            ]
        )
        garbling = ""
        if self.garbling[1]:
            garbling, left = self.garbling
            self.garbling = garbling, left - 1
        if self.random_source.random() < self.lost_share:
            garbling = "lost"
        at = run.since
        while at < run.out or not run.headed:
            await self.hung_up()
            first, at = at, min(at + self.traits.stride, run.out)
            data = self._event(run, first, at) if at > first else b""
            data = head * (not run.headed) + (framed(data, True) if data else b"")
            if at >= run.out:
                data += LAST_CHUNK
            if garbling == "noise":
                run.how = "failed"
                await self.send(connection, b"\x83\x00\x07 no answer\r\n\r\n")
                return False
            if garbling != "lost":
                run.headed = True
                await self.send(connection, data)
            elif at >= run.out:
                break
            if garbling == "break":
                run.how = "failed"
                return False
            if at < run.out:
                await self.host.pause(
                    self.traits.gap * self.slowed * (1 + self.traits.crowding * (len(self.running) - 1))
                )
        run.how = "done"
        if garbling == "lost":
            run.how = "answer lost"
            reset(connection.stream)
            return False
        if garbling == "extra":
            await self.send(connection, answer(200, b"surplus", b"Request-Id: nobody"))
        return True

    def _event(self, run: Run, first: int, last: int) -> bytes:
        now_is = self.models[run.model]
        self.facts.append(Made(self.now(), run.id, run.name, first, last, run.model, now_is))
        line = b"" if now_is == run.told else b"versions: %d\n" % now_is
        run.told = now_is
        data = orjson.dumps({"of": run.of, "run": run.name, "first": first, "final": last >= run.out})
        return b"%sid: %d\ndata: %s\n\n" % (line, last, data)

    # orders -----------------------------------------------

    async def _order(self, connection: Connection, message: Message) -> bool:
        try:
            body = orjson.loads(message.body)
        except orjson.JSONDecodeError:
            body = None
        body = body if isinstance(body, dict) else {}
        status = 421 if self._unexpected(message) else self._take_order(body)
        if status not in (400, 421):
            self.facts.append(
                Ordered(
                    self.now(),
                    self.instance_id,
                    body["leaseHolder"],
                    body["fenceToken"],
                    status,
                    body["operation"],
                    body["model"],
                    body["revision"],
                )
            )
        if self.lost_orders and self.random_source.random() < self.lost_orders:
            reset(connection.stream)
            return False
        await self.reply(connection, status, b"", *self._fields())
        return not self.draining

    def _take_order(self, body: dict[str, Any]) -> int:
        holder, fence, model, revision = (body.get(name) for name in ("leaseHolder", "fenceToken", "model", "revision"))
        if not (
            holder
            and isinstance(holder, str)
            and type(fence) is int
            and type(revision) is int
            and body.get("operation") == "revision"
            and isinstance(model, str)
            and model in self.models
            and body.get("method") in METHODS
            and 1 <= revision <= self.registry.newest.get(model, 1)
        ):
            return 400
        if self.traits.fencing and fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        if self.busy:
            return 409
        if self.models[model] == revision:
            return 200
        if body.get("expectedCount", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.busy = model
        self._note()
        self.nursery.start_soon(self._load, model, revision, body["method"])
        return 202

    async def _load(self, model: str, revision: int, method: str) -> None:
        for run in [run for run in self.waiting if run.model == model]:
            self.waiting.remove(run)
            run.turn.set()  # it finds that it does not run
        heapify(self.waiting)
        if method == "truncate":
            for run in [run for run in self.running if run.model == model]:
                run.how = "reset"
                reset(run.stream)
                run.scope.cancel()
        while method != "retain" and any(run.model == model for run in self.running):
            await self.ended.wait()
        await self.host.pause(self.traits.load * self.slowed)
        self.models[model] = revision
        self.cache.drop_model(model)
        self.busy = ""
        self.facts.append(Loaded(self.now(), self.instance_id, model, revision))
        self._note()
        self._admit()
