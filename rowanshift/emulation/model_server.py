"""Emulated model servers and KV stores: slots and a queue, event streams, a cache of prompt parts, transfers between
caches, fenced load orders and injected faults. Times are in seconds, except in messages with milliseconds."""

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
from rowanshift.invariants.events import EventStream
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
LOAD_METHODS = ("wait", "truncate", "retain")
MISS_SECONDS, DEAD_SOURCE_SECONDS = 0.001, 0.3  # duration of a transfer that brings nothing
MAX_TRANSFER_WAIT_SECONDS = 2.0
MAX_LONG_POLL_SECONDS = 1.0  # of a call of /kv-events
DEFAULT_PRIORITY = 5


def parse_target(message: Message) -> tuple[str, dict[str, str]]:
    """The path and the query parameters of a request."""
    path, _, query = message.target.decode("latin-1").partition("?")
    return path, dict(part.partition("=")[::2] for part in query.split("&") if part)


def integer_field(message: Message, name: bytes, default: int = 0) -> int:
    """The value of a header field, or the default if it is missing or not a decimal number."""
    text = field_of(message, name)
    return int(text) if text.isdigit() else default


def reset_connection(stream: Stream) -> None:
    """Close a connection so that the peer receives a reset."""
    if stream.closed():
        return
    if hasattr(stream, "drop"):
        stream.drop(True)
        return
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.close()


def peer_closed(stream: Stream) -> bool:
    """Whether the peer has closed the connection. Unread data does not count as the end of the connection."""
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
    """Capacity and timing of a server. Times are in seconds, sizes in tokens."""

    slots: int = 4
    queue: int = 4
    kv_tokens: int = 100_000
    token_bytes: int = 163_840
    link_mbps: float = 260_000.0
    stride: int = 4  # tokens per event
    gap: float = 0.005  # between events when a single run is active
    crowding: float = 0.05  # increase of the gap per additional run, as a fraction
    prefill_base: float = 0.002
    prefill: float = 0.00002  # per token that is not cached
    load: float = 0.5  # duration of loading a revision
    report_lag: float = 0.2  # age of the state that /report returns
    event_lag: float = 0.02  # delay until a cache event is visible
    drop_every_nth_event: int = 0  # one of so many cache events is dropped; 0: none
    max_events: int = 1000
    max_long_polls: int = 12  # concurrent calls of /kv-events; more are answered with 429
    connections: int = 360
    fencing: bool = True
    idle_for: float = 60.0
    health: str = "/health"


# cache ------------------------------------------------------

PartKey = tuple[str, str, str]  # model, salt, part


@dataclass(slots=True, eq=False)
class CachedPart:
    key: PartKey
    tokens: int
    revision: int  # revision of the model that computed it
    tenant: str  # tenant whose request computed it
    pins: int = 0  # number of runs using it


class KvCache:
    """Cached prompt parts in least recently used order, the memory reserved by runs, and a log of cache events.

    Parts in use are not evicted."""

    def __init__(self, now: Callable[[], float], traits: Traits, epoch: int) -> None:
        self.now, self.traits, self.epoch = now, traits, epoch
        self.parts: OrderedDict[PartKey, CachedPart] = OrderedDict()
        self.size = self.pinned = 0  # tokens of all parts, and of parts in use
        self.reserved = 0  # tokens reserved by runs, without cached parts
        self.last_event_number = 0
        self.events: deque[tuple[float, list[Any]]] = deque(maxlen=traits.max_events)
        self.changed = trio.Event()

    def in_use(self) -> int:
        """Tokens that cannot be evicted."""
        return self.reserved + self.pinned

    def cached_prefix(self, model: str, salt: str, prompt: list[tuple[str, int]]) -> list[CachedPart]:
        """The longest prefix of the prompt whose parts are all cached."""
        found: list[CachedPart] = []
        for name, _ in prompt:
            if (part := self.parts.get((model, salt, name))) is None:
                break
            found.append(part)
        return found

    def pin(self, part: CachedPart) -> None:
        self.parts.move_to_end(part.key)
        part.pins += 1
        if part.pins == 1:
            self.pinned += part.tokens

    def unpin(self, part: CachedPart) -> None:
        part.pins -= 1
        if part.pins == 0 and self.parts.get(part.key) is part:
            self.pinned -= part.tokens

    def reserve(self, tokens: int) -> bool:
        """Reserve memory, evicting unused parts. Returns false if too much memory is in use."""
        if self.in_use() + tokens > self.traits.kv_tokens:
            return False
        self.reserved += tokens
        self._evict()
        return True

    def _evict(self) -> None:
        for part in [*self.parts.values()]:
            if self.size + self.reserved <= self.traits.kv_tokens:
                return
            if not part.pins:
                self.drop(part)

    def add(self, part: CachedPart) -> CachedPart:
        """Add a part and return it. A part that is already cached under the key stays and is returned instead."""
        if (held := self.parts.get(part.key)) is not None:
            self.parts.move_to_end(part.key)
            return held
        self.parts[part.key] = part
        self.size += part.tokens
        self._add_event("+", part, part.tokens)
        self._evict()
        return part

    def drop(self, part: CachedPart) -> None:
        if self.parts.get(part.key) is part:
            del self.parts[part.key]
            self.size -= part.tokens
            self.pinned -= part.tokens if part.pins else 0
            self._add_event("-", part, 0)

    def drop_model(self, model: str) -> None:
        """Drop all parts of a model. Runs that use them continue, but the parts no longer count as memory in use."""
        for part in [part for part in self.parts.values() if part.key[0] == model]:
            self.drop(part)

    def _add_event(self, sign: str, part: CachedPart, tokens: int) -> None:
        model, salt, name = part.key
        self.last_event_number += 1
        if self.traits.drop_every_nth_event and self.last_event_number % self.traits.drop_every_nth_event == 0:
            return
        shown_at = self.now() + self.traits.event_lag
        self.events.append((shown_at, [self.last_event_number, sign, salt, name, tokens, model]))
        event, self.changed = self.changed, trio.Event()
        event.set()

    def events_since(self, number: int) -> dict[str, Any]:
        """The response to /kv-events: visible events after ``number``.

        ``lost`` means that events after it are no longer kept, or that it is from before a restart."""
        shown = [event for at, event in self.events if at <= self.now()]
        oldest = self.events[0][1][0] if self.events else self.last_event_number + 1
        full = len(self.events) == self.traits.max_events
        return {
            "bootEpoch": self.epoch,
            "nextToken": shown[-1][0] if shown else min(number, self.last_event_number),
            "lost": number > self.last_event_number or (full and number < oldest - 1),
            "events": [event for event in shown if event[0] > number],
        }

    def snapshot(self) -> dict[str, Any]:
        """The response to /kv-list: all cached parts."""
        held = [[salt, name, part.tokens, model] for (model, salt, name), part in self.parts.items()]
        return {"bootEpoch": self.epoch, "nextToken": self.last_event_number, "held": held}


@dataclass(slots=True)
class Registry:
    """All model servers and stores by address, and the newest revision announced by the operator for each model."""

    servers: dict[str, "KvServer"] = field(default_factory=dict)  # by IP:PORT, the latest server at that address
    newest: dict[str, int] = field(default_factory=dict)  # by model


class KvServer(HttpServer):
    """Base class of model servers and stores: process faults and the API of the cache.

    ``run`` is the process. It survives ``crash`` and ``restart``, and may be called again after its machine was
    killed."""

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
        super().__init__(host, address, clock, EventStream(clock))
        self.facts, self.registry, self.traits = facts, registry, traits or Traits()
        self.zone, self.region, self.name = zone, region, "{}:{}".format(*address)
        self.idle_for = self.traits.idle_for
        self.life = 0
        self.started = self.up = self.hung = False
        self.link_free_at = 0.0  # end of the last scheduled transfer; transfers to this server run one at a time
        self.restarted = trio.Event()  # set by ``restart``
        self.resumed = trio.Event()  # set at the end of a hang
        self.scope: trio.CancelScope | None = None
        self.nursery: Nursery | None = None
        self.streams: dict[Stream, None] = {}
        self.open_long_polls = 0
        self.boot()

    def boot(self) -> None:
        """Reset the state that a restart loses."""
        self.life += 1
        self.cache = KvCache(self.now, self.traits, 1000 * self.life + self.address[1] % 1000)

    def alive(self) -> bool:
        return self.up and getattr(self.host, "running", True)

    async def run(self) -> None:
        while True:
            if self.started:
                self.boot()
            self.started, self.up, self.restarted = True, True, trio.Event()
            self.connections = self.open_long_polls = 0
            self.streams.clear()
            self.registry.servers[self.name] = self
            async with self.host.nursery() as nursery:
                self.scope, self.nursery = nursery.cancel_scope, nursery
                nursery.start_soon(super().run)
            await self.restarted.wait()

    async def _serve(self, stream: Stream) -> None:
        if self.connections >= self.traits.connections:
            return reset_connection(stream)
        self.streams[stream] = None
        try:
            await super()._serve(stream)
        finally:
            self.streams.pop(stream, None)

    # faults -----------------------------------------------

    def crash(self) -> None:
        """Stop immediately and reset all connections."""
        if self.scope is not None and self.up:
            self.up = False
            for stream in [*self.streams]:
                reset_connection(stream)
            self.scope.cancel()

    def restart(self) -> None:
        """Start again, after a crash if the server is still up."""
        self.crash()
        self.restarted.set()

    def hang(self, hung: bool = True) -> None:
        """Answer nothing until ``hang(False)``; connections stay open."""
        self.hung = hung
        if hung:
            self.resumed = trio.Event()
        else:
            self.resumed.set()

    async def wait_while_hung(self) -> None:
        while self.hung:
            await self.resumed.wait()

    # cache API --------------------------------------------

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        await self.wait_while_hung()
        path, parameters = parse_target(message)
        if path == "/kv-list":
            await self.reply(connection, 200, orjson.dumps(self.cache.snapshot()), JSON)
        elif path == "/kv-events" and self.open_long_polls >= self.traits.max_long_polls:
            await self.reply(connection, 429, b"", NOT_EXECUTED)
        elif path == "/kv-events":
            self.open_long_polls += 1
            try:
                since = parameters.get("since", "0")
                since = int(since) if since.isdigit() else 0
                update = await self._poll_events(since, integer_field(message, b"wait-ms") / 1000)
            finally:
                self.open_long_polls -= 1
            await self.reply(connection, 200, orjson.dumps(update), JSON)
        else:
            await self.reply(connection, 404)
        return True

    async def _poll_events(self, since: int, wait: float) -> dict[str, Any]:
        cache = self.cache
        with trio.move_on_after(min(wait, MAX_LONG_POLL_SECONDS)):
            while not (update := cache.events_since(since))["events"] and not update["lost"]:
                due = min((at for at, event in cache.events if event[0] > since), default=inf)
                if due < inf:
                    await self.host.pause(max(due - self.now(), 1e-6))
                else:
                    await cache.changed.wait()
        return cache.events_since(since)

    def save_parts(self, parts: list[CachedPart]) -> None:
        for part in parts:
            self.cache.add(CachedPart(part.key, part.tokens, part.revision, part.tenant))


class KvStore(KvServer):
    """A KV store: keeps the parts that servers save to it, whatever their revision."""


# model servers ----------------------------------------------


@dataclass(slots=True, eq=False)
class Run:
    """A request at a server, from its arrival to the end of its response."""

    id: str
    message: Message
    stream: Stream
    model: str
    tenant: str
    salt: str
    prompt: list[tuple[str, int]]  # names of parts and their tokens
    max_output: int  # tokens
    last_event_id: int  # tokens that the client already has, by its Last-Event-Id
    deadline: float
    priority: int
    number: int
    admitted: trio.Event = field(default_factory=trio.Event)
    name: str = ""  # set when the run begins; sent with each event
    stamp: str = ""
    request_digest: str = ""
    revision: int = 0
    announced_revision: int = 0  # the last revision sent to the client
    reserved: int = 0
    pinned: list[CachedPart] = field(default_factory=list)
    response_started: bool = False
    outcome: str = "client gone"  # recorded when the run ends
    scope: trio.CancelScope | None = None

    def __lt__(self, run: "Run") -> bool:
        return (self.priority, self.number) < (run.priority, run.number)


class ModelServer(KvServer):
    """Answers requests with streams of events.

    The id of an event is the number of tokens completed with it. Its data names the request and the run, which the
    checks in ``rowanshift/invariants`` use."""

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
        self.initial_instance_id = self.instance_id = instance_id
        self.next_instance_id = ""
        self.service, self.models = service, dict(models)
        self.random_source = random_source or random.Random(instance_id)
        self.slowed = 1.0  # factor of the durations of prefill, output and loading
        self.lost_response_share = self.lost_order_response_share = 0.0  # shares of all and of order responses
        self.garbling: tuple[str, int] = ("", 0)  # kind of garbled response, and how many are left
        self.draining = False
        super().__init__(host, address, clock, facts, registry, traits, zone, region)

    def boot(self) -> None:
        super().boot()
        if self.life > 1:
            self.instance_id = self.next_instance_id or f"{self.initial_instance_id}-{self.life}"
        self.next_instance_id, self.draining, self.slowed = "", False, 1.0
        self.sequence = self.run_count = 0
        self.highest_fence = -1  # of all orders
        self.busy = ""  # the model being loaded
        self.waiting: list[Run] = []
        self.running: dict[Run, None] = {}
        self.run_ended = trio.Event()  # set at the end of any run
        self.reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=2000)
        self._record_report()

    # faults -----------------------------------------------

    def restart(self, instance_id: str = "") -> None:
        """Restart under another instance id. The loaded revisions are kept."""
        self.next_instance_id = instance_id
        super().restart()

    def drain(self) -> None:
        """Close connections after each response and fail the health check, but keep serving."""
        self.draining = True

    def answer_lost(self, share: float, orders: float = 0.0) -> None:
        """Lose these shares of responses to requests and orders: the work is done, but the connection is reset."""
        self.lost_response_share, self.lost_order_response_share = share, orders

    def garble(self, way: str, count: int = 1) -> None:
        """Garble the next ``count`` responses: ``break`` ends the connection after the first event, ``extra`` sends a
        second response after the complete one, ``noise`` sends bytes that are not HTTP."""
        if way not in ("break", "extra", "noise"):
            raise ValueError(f"unknown kind of garbled response: {way}")
        self.garbling = way, count

    # reports ----------------------------------------------

    def _record_report(self) -> None:
        """Record the current state for ``/report``, which returns it after ``report_lag``."""
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
        """The state recorded at a time, or the first one."""
        return next((report for since, report in reversed(self.reports) if since <= at), self.reports[0][1])

    def row(self, instance: str, state: str, at: float) -> dict[str, Any]:
        """Its entry in the platform's list, with its models at a time."""
        report = self.report(at)
        return {
            "id": instance,
            "backend": self.service,
            "address": self.name,
            "zone": self.zone,
            "revision": "v1",
            "slots": self.traits.slots,
            "state": state,
            "warmupLeftMs": 0,
            "stage": report["stage"],
            "models": report["models"],
        }

    # requests ---------------------------------------------

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        await self.wait_while_hung()
        path, _ = parse_target(message)
        if message.method == b"GET" and path == self.traits.health:
            full = len(self.running) >= self.traits.slots and len(self.waiting) >= self.traits.queue
            status = 503 if self.draining or full else 200
            await self.reply(connection, status, b"", *self._common_fields(), *([NOT_EXECUTED] if full else []))
        elif message.method == b"GET" and path == "/report":
            report = self.report(self.now() - self.traits.report_lag)
            await self.reply(connection, 200, orjson.dumps(report), JSON, *self._common_fields())
        elif message.method == b"POST" and path == "/order":
            return await self._handle_order(connection, message)
        elif path in ("/kv-events", "/kv-list"):
            return await super().handle(connection, message, first_at, fresh)
        else:
            return await self._handle_request(connection, message)
        return not self.draining

    def _common_fields(self) -> list[bytes]:
        fields = [f"Instance-Id: {self.instance_id}".encode(), b"Keep-Alive: timeout=%d" % self.idle_for]
        return [*fields, b"Connection: close"] if self.draining else fields

    def _expects_other_instance(self, message: Message) -> bool:
        expected = field_of(message, b"expect-instance")
        return expected not in ("", self.instance_id)

    async def _handle_request(self, connection: Connection, message: Message) -> bool:
        id, model = field_of(message, b"request-id"), field_of(message, b"model-name")
        wanted = field_of(message, b"expect-version")
        refused = 0
        if not id:
            refused = 400
        elif self._expects_other_instance(message) or (wanted and wanted != str(self.models.get(model, 0))):
            refused = 421
        else:
            run = self._parse_run(connection, message, id, model)
            if (
                run is None
                or run.model not in self.models
                or self.busy == run.model
                or sum(n for _, n in run.prompt) + run.max_output > self.traits.kv_tokens
                or (len(self.waiting) >= self.traits.queue and (self.waiting or len(self.running) >= self.traits.slots))
            ):
                refused = 400 if run is None else 503
        self.facts.append(Reached(self.now(), id, self.instance_id, self.service, other(connection.stream), refused))
        if refused:
            return await self._reject(connection, id, refused)
        keep = False
        try:
            async with self.host.nursery() as nursery:
                run.scope = nursery.cancel_scope
                nursery.start_soon(self._cancel_on_disconnect, connection.stream, run.scope)
                with suppress(OSError, trio.ClosedResourceError):
                    keep = await self._execute(connection, run)
                run.scope.cancel()
        finally:
            self._release(run)
        return keep and not self.draining

    def _parse_run(self, connection: Connection, message: Message, id: str, model: str) -> Run | None:
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
        size, max_output = counts if len(counts) == 2 else (0, 1)
        if size > (kept := sum(tokens for _, tokens in prompt)):
            prompt.append((f"own-{id}", size - kept))
        left = integer_field(message, b"deadline-remaining", 60_000) / 1000
        self.run_count += 1
        return Run(
            id,
            message,
            connection.stream,
            model or next(iter(self.models), ""),
            field_of(message, b"tenant-name"),
            field_of(message, b"cache-salt"),
            prompt,
            max_output,
            integer_field(message, b"last-event-id"),
            self.now() + left,
            integer_field(message, b"priority", DEFAULT_PRIORITY),
            self.run_count,
        )

    async def _reject(self, connection: Connection, id: str, status: int) -> bool:
        fields = [*self._common_fields(), NOT_EXECUTED]
        if id:
            fields.append(f"Request-Id: {id}".encode())
        await self.reply(connection, status, b"", *fields)
        return not self.draining

    async def _cancel_on_disconnect(self, stream: Stream, scope: trio.CancelScope) -> None:
        """Cancel a request when its client closes the connection."""
        try:
            await stream.wait_readable()
        except (OSError, trio.ClosedResourceError):
            pass
        else:
            if not peer_closed(stream):
                return
        scope.cancel()

    # runs -------------------------------------------------

    def _admit_waiting(self) -> None:
        """Start waiting runs by priority while a slot and memory are available."""
        if not self.alive():
            return
        while self.waiting and len(self.running) < self.traits.slots:
            run = self.waiting[0]
            hits = self.cache.cached_prefix(run.model, run.salt, run.prompt)
            for part in hits:
                self.cache.pin(part)
            need = sum(n for _, n in run.prompt[len(hits) :]) + run.max_output
            if not self.cache.reserve(need):
                for part in hits:
                    self.cache.unpin(part)
                break
            heappop(self.waiting)
            self.running[run] = None
            run.reserved, run.pinned = need, hits
            self._start_run(run)
            run.admitted.set()
        self._record_report()

    def _start_run(self, run: Run) -> None:
        now, message = self.now(), run.message
        run.name = f"{self.instance_id}/{run.number}"
        run.revision = run.announced_revision = self.models[run.model]
        method, target = message.method.decode(), message.target.decode("latin-1")
        run.request_digest = digest_of(method, target, message.body)
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
                run.last_event_id,
            )
        )
        self._record_hits(run, run.pinned)

    def _record_hits(self, run: Run, parts: list[CachedPart]) -> None:
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

    def _release(self, run: Run) -> None:
        """Release the slot and memory of a run and record how it ended."""
        if run in self.waiting:
            self.waiting.remove(run)
            heapify(self.waiting)
        if run in self.running:
            del self.running[run]
            self.cache.reserved -= run.reserved
            for part in run.pinned:
                self.cache.unpin(part)
            self.facts.append(Finished(self.now(), run.id, run.name, run.outcome if self.alive() else "crash"))
        event, self.run_ended = self.run_ended, trio.Event()
        event.set()
        self._admit_waiting()

    async def _execute(self, connection: Connection, run: Run) -> bool:
        heappush(self.waiting, run)
        self._admit_waiting()
        with trio.move_on_after(max(0.0, run.deadline - self.now())):
            await run.admitted.wait()
        if run not in self.running:
            return await self._reject(connection, run.id, 503)
        with trio.move_on_after(max(0.0, run.deadline - self.now())):
            await self._prefill(run)
            return await self._stream_events(connection, run)
        run.outcome = "deadline"
        if not run.response_started:
            await self.reply(connection, 504, b"", f"Request-Id: {run.id}".encode(), *self._common_fields())
            return True
        return False  # the response stays incomplete

    async def _prefill(self, run: Run) -> None:
        if source := field_of(run.message, b"kv-fetch"):
            await self._fetch_parts(run, source)
        left = run.prompt[len(run.pinned) :]
        tokens = sum(n for _, n in left)
        await self.host.pause((self.traits.prefill_base + self.traits.prefill * tokens) * self.slowed)
        if self.models[run.model] != run.revision:  # loaded meanwhile: these parts were computed with the old weights
            return
        for name, size in left:
            self._store_part(run, CachedPart((run.model, run.salt, name), size, run.revision, run.tenant))
        store = self.registry.servers.get(field_of(run.message, b"kv-save"))
        if store is not None and store.alive():
            store.save_parts(run.pinned)
        self._record_report()

    def _store_part(self, run: Run, part: CachedPart) -> CachedPart:
        """Turn reserved memory of a run into a cached part that the run uses."""
        run.reserved -= part.tokens
        self.cache.reserved -= part.tokens
        kept = self.cache.add(part)
        self.cache.pin(kept)
        run.pinned.append(kept)
        return kept

    async def _fetch_parts(self, run: Run, source: str) -> None:
        """Copy the following parts of the prompt from the cache of the source; one transfer at a time."""
        server = self.registry.servers.get(source)
        if server is None or not server.alive() or server.hung:
            await self.host.pause(DEAD_SOURCE_SECONDS)
            return self._record_transfer(run, source, 0, "dead source")
        here = len(run.pinned)
        found = server.cache.cached_prefix(run.model, run.salt, run.prompt)[here:]
        if not found:
            await self.host.pause(MISS_SECONDS)
            return self._record_transfer(run, source, 0, "miss")
        tokens = sum(part.tokens for part in found)
        distance_factor = 1 if server.zone == self.zone else 2 if server.region == self.region else 10
        took = tokens * self.traits.token_bytes * 8 / (self.traits.link_mbps * 1e6) * distance_factor
        begins = max(self.now(), self.link_free_at)
        if begins - self.now() > MAX_TRANSFER_WAIT_SECONDS:
            return self._record_transfer(run, source, 0, "the link is busy")
        self.link_free_at = begins + took
        # on a real clock, a fast transfer may already be over
        await self.host.pause(max(0.0, self.link_free_at - self.now()))
        if self.models[run.model] != run.revision:
            return
        self._record_hits(run, found)
        for part, (name, size) in zip(found, run.prompt[here:], strict=False):
            self._store_part(run, CachedPart((run.model, run.salt, name), size, part.revision, part.tenant))
        self._record_transfer(run, source, tokens)

    def _record_transfer(self, run: Run, source: str, tokens: int, failure: str = "") -> None:
        self.facts.append(Moved(self.now(), run.id, self.instance_id, source, tokens, failure))

    async def _stream_events(self, connection: Connection, run: Run) -> bool:
        head = b"\r\n".join(
            [
                b"HTTP/1.1 200 OK",
                f"Request-Id: {run.id}".encode(),
                f"Response-Seal: {run.stamp}".encode(),
                f"Versions: {run.announced_revision}".encode(),
                b"Content-Type: text/event-stream",
                *self._common_fields(),
                b"Transfer-Encoding: chunked",
                b"",
                b"",
            ]
        )
        garbling = ""
        if self.garbling[1]:
            garbling, left = self.garbling
            self.garbling = garbling, left - 1
        if self.random_source.random() < self.lost_response_share:
            garbling = "lost"
        at = run.last_event_id
        while at < run.max_output or not run.response_started:
            await self.wait_while_hung()
            first, at = at, min(at + self.traits.stride, run.max_output)
            data = self._encode_event(run, first, at) if at > first else b""
            data = head * (not run.response_started) + (framed(data, True) if data else b"")
            if at >= run.max_output:
                data += LAST_CHUNK
            if garbling == "noise":
                run.outcome = "failed"
                await self.send(connection, b"\x83\x00\x07 no answer\r\n\r\n")
                return False
            if garbling != "lost":
                run.response_started = True
                await self.send(connection, data)
            elif at >= run.max_output:
                break
            if garbling == "break":
                run.outcome = "failed"
                return False
            if at < run.max_output:
                await self.host.pause(
                    self.traits.gap * self.slowed * (1 + self.traits.crowding * (len(self.running) - 1))
                )
        run.outcome = "done"
        if garbling == "lost":
            run.outcome = "answer lost"
            reset_connection(connection.stream)
            return False
        if garbling == "extra":
            await self.send(connection, answer(200, b"surplus", b"Request-Id: nobody"))
        return True

    def _encode_event(self, run: Run, first: int, last: int) -> bytes:
        current_revision = self.models[run.model]
        self.facts.append(Made(self.now(), run.id, run.name, first, last, run.model, current_revision))
        line = b"" if current_revision == run.announced_revision else b"versions: %d\n" % current_revision
        run.announced_revision = current_revision
        data = orjson.dumps(
            {"of": run.request_digest, "run": run.name, "first": first, "final": last >= run.max_output}
        )
        return b"%sid: %d\ndata: %s\n\n" % (line, last, data)

    # orders -----------------------------------------------

    async def _handle_order(self, connection: Connection, message: Message) -> bool:
        try:
            body = orjson.loads(message.body)
        except orjson.JSONDecodeError:
            body = None
        body = body if isinstance(body, dict) else {}
        status = 421 if self._expects_other_instance(message) else self._take_order(body)
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
        if self.lost_order_response_share and self.random_source.random() < self.lost_order_response_share:
            reset_connection(connection.stream)
            return False
        await self.reply(connection, status, b"", *self._common_fields())
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
            and body.get("method") in LOAD_METHODS
            and 1 <= revision <= self.registry.newest.get(model, 1)
        ):
            return 400
        if self.traits.fencing and fence < self.highest_fence:
            return 412
        self.highest_fence = max(self.highest_fence, fence)
        if self.busy:
            return 409
        if self.models[model] == revision:
            return 200
        if body.get("expectedCount", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.busy = model
        self._record_report()
        self.nursery.start_soon(self._load_revision, model, revision, body["method"])
        return 202

    async def _load_revision(self, model: str, revision: int, method: str) -> None:
        for run in [run for run in self.waiting if run.model == model]:
            self.waiting.remove(run)
            run.admitted.set()  # wakes the run, which then rejects its request
        heapify(self.waiting)
        if method == "truncate":
            for run in [run for run in self.running if run.model == model]:
                run.outcome = "reset"
                reset_connection(run.stream)
                run.scope.cancel()
        while method != "retain" and any(run.model == model for run in self.running):
            await self.run_ended.wait()
        await self.host.pause(self.traits.load * self.slowed)
        self.models[model] = revision
        self.cache.drop_model(model)
        self.busy = ""
        self.facts.append(Loaded(self.now(), self.instance_id, model, revision))
        self._record_report()
        self._admit_waiting()
