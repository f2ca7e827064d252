"""The load of a soak run: clients on all kinds of routes, and operators that change the configuration."""

import random
from collections.abc import Callable
from typing import Any

import orjson
import trio

from rowanshift.emulation.application_client import Application
from rowanshift.emulation.applications import Applications, Names
from rowanshift.emulation.model_server import Registry
from rowanshift.emulation.system_clients import Operator, Patron, Work
from rowanshift.invariants.facts import ConfigAnswered, ConfigRead, ConfigSent, Fact
from rowanshift.simulation.fleet_settings import (
    CATALOGUES,
    HOST,
    KEYS,
    MODEL,
    ONCE,
    REPEATED,
    RESUMED,
    SERVICE,
    config_of,
    routes_of,
)
from rowanshift.soak.layout import Layout
from rowanshift.soak.plan import Plan
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

OTHER_SERVICE = "other"  # the second service
PROBE_INTERVAL_S, MAX_MISSES = 0.5, 4  # of readiness probes; failures in a row until clients avoid the router
MEAN_PAUSE_S = 0.15  # between two requests of a client
ANSWER_TOKENS, ANSWER_TOKEN_WEIGHTS = (40, 200, 600), (6, 3, 1)  # lengths of answers and their relative frequency
KEEP_ALIVE_CLIENTS = 1, 2  # client numbers modulo 4 that keep their connections open
DEADLINE_S = 6.0  # of a request
MAX_REQUESTS = 200_000  # per run
MAX_EXTRA_ROUTES = 24  # beside the base routes
OPERATOR_TIMEOUT_S = 6.0  # for a call
SERIES_INTERVAL_S = 6.0  # mean interval between series of named versions
NAMES_PER_SERIES_RANGE = 1, 8  # bounds of the draw
REPEAT_PROBABILITY = 0.05  # that an accepted change is sent again unchanged
RACE_PROBABILITY = 0.05  # that two operators send different changes with the same revision and base at the same time
READ_INTERVAL_S = 1.0  # mean interval between an operator's reads of the configuration


class Balancer:
    """Directs clients to the routers whose readiness probes succeed, with the delay of a platform's load balancer."""

    def __init__(self, host: Runtime, layout: Layout) -> None:
        self.host, self.layout, self.memory = host, layout, MemoryBudget(4096)
        self.ready: list[Address] = []
        self.reported_ready: dict[str, bool] = dict.fromkeys(layout.routers, False)  # the last answer of each

    async def probe(self, name: str) -> None:
        """Probes one router at regular intervals until cancelled."""
        front, misses = self.layout.front(name), 0
        while True:
            self.reported_ready[name] = await self._is_ready(name)
            misses = 0 if self.reported_ready[name] else misses + 1
            if not misses and front not in self.ready:
                self.ready.append(front)
            elif misses >= MAX_MISSES and front in self.ready and len(self.ready) > 1:
                self.ready.remove(front)
            await trio.sleep(PROBE_INTERVAL_S)

    async def _is_ready(self, name: str) -> bool:
        address = self.layout.readiness(name)
        try:
            answer = await call(
                self.host, self.memory, address, b"GET", b"/readiness", timeout_seconds=PROBE_INTERVAL_S
            )
        except CallFailed:
            return False
        return answer.status == 200


def applications_of(
    plan: Plan, host: Runtime, layout: Layout, now: Callable[[], float], events: list[Fact]
) -> Applications:
    """The applications of a run. They call the core machines through the same relays as operators."""
    controls = layout.controls()

    def make(name: str) -> Application:
        return Application(host, name, now, events, controls, random.Random(f"{plan.seed}/{name}"))

    return Applications(make, Names(), plan.applications)


class Clients:
    """Clients that send one request after another until they are cancelled.

    A quarter chooses among the ready routers for each request. Half stays with the router of a kept connection for as
    long as that is open. A quarter uses all routers, whether or not they are ready. Keys and kinds of routes are spread
    over the clients.
    """

    def __init__(
        self,
        plan: Plan,
        host: Runtime,
        layout: Layout,
        balancer: Balancer,
        now: Callable[[], float],
        events: list[Fact],
    ) -> None:
        self.plan, self.host, self.layout, self.balancer, self.now, self.events = (
            plan,
            host,
            layout,
            balancer,
            now,
            events,
        )
        self.fronts = [layout.front(name) for name in layout.routers]
        self.requests = 0

    async def run(self) -> None:
        """Runs all clients until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(self.plan.clients):
                nursery.start_soon(self._send_requests, number)

    async def _send_requests(self, number: int) -> None:
        random_source = random.Random(f"{self.plan.seed}/client/{number}")
        name = f"c{number}"
        client = Patron(
            self.host, name, self.now, self.events, self.fronts, random_source, keeps=number % 4 in KEEP_ALIVE_CLIENTS
        )
        key = [keys[0] for keys in KEYS.values()][(number + number // 4) % len(KEYS)]
        prefix = (RESUMED, ONCE, REPEATED)[number % 3]
        try:
            while self.requests < MAX_REQUESTS:
                self.requests += 1
                client.fronts = self._candidate_fronts(number, client)
                await client.call(make_work(prefix, key, f"{name}-own-{client.calls}", random_source))
                await trio.sleep(MEAN_PAUSE_S * (0.5 + random_source.random()))
        finally:
            client.close()

    def _candidate_fronts(self, number: int, client: Patron) -> list[Address]:
        if number % 4 == 3:
            return self.fronts
        if client.kept:
            return [*client.kept]
        return self.balancer.ready or self.fronts


def make_work(prefix: str, key: str, unique: str, random_source: random.Random) -> Work:
    """Makes a request whose prompt has two shared parts and a unique one, with a random answer length."""
    tenant = next(name for name, keys in KEYS.items() if key in keys)
    prompt = ("preamble", 200), (f"catalogue-{random_source.randrange(CATALOGUES)}", 100), (unique, 30)
    return Work(
        HOST,
        f"{prefix}x",
        MODEL,
        prompt,
        random_source.choices(ANSWER_TOKENS, ANSWER_TOKEN_WEIGHTS)[0],
        key,
        tenant,
        repeatable=prefix != ONCE,
        resumable=prefix == RESUMED,
        within=DEADLINE_S,
        body=orjson.dumps({"own": unique}),
    )


def make_config(revision: int) -> dict[str, Any]:
    """Makes the configuration of a revision. One route alternates between two services, and the number of extra routes
    varies."""
    routes = routes_of()
    routes[1]["backend"] = (SERVICE, OTHER_SERVICE)[revision % 2]
    extra_routes = [
        routes[0] | {"name": f"more-{index}", "pathPrefix": f"/more-{index}/", "timeoutMs": 5000 + revision % 100}
        for index in range(revision % (MAX_EXTRA_ROUTES + 1))
    ]
    return config_of(revision, routes=[*routes, *extra_routes])


class Changes:
    """The operators' calls: a sequence of configurations, occasionally a repeated or conflicting one, and versions."""

    def __init__(
        self,
        plan: Plan,
        host: Runtime,
        layout: Layout,
        registry: Registry,
        now: Callable[[], float],
        events: list[Fact],
    ) -> None:
        self.plan, self.events = plan, events
        self.random_source = random.Random(f"{plan.seed}/operators")
        self.operator, self.second = (
            Operator(host, name, now, events, layout.controls(), random.Random(f"{plan.seed}/{name}"), registry)
            for name in ("op1", "op2")
        )
        self.acknowledged = self.sent = 0  # newest revisions
        self.acknowledged_count = 0  # number of acknowledged configurations

    async def put_first(self, within: float) -> bool:
        """Sends the first configuration; returns whether it was acknowledged."""
        return await self._put(1, within) == 200

    async def run(self) -> None:
        """Changes and reads the configuration and names versions until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._change)
            nursery.start_soon(self._name_versions)
            nursery.start_soon(self._read_repeatedly)

    async def _read_repeatedly(self) -> None:
        while True:
            await trio.sleep(READ_INTERVAL_S * self.random_source.uniform(0.5, 1.5))
            await self.read(OPERATOR_TIMEOUT_S)

    async def read(self, within: float) -> dict[str, Any] | None:
        """Reads the configuration from the core; a read without an answer is removed from the recorded events."""
        config = await self.operator.read_config(within)
        if config is None and self.events and type(self.events[-1]) is ConfigRead:
            self.events.pop()
        return config

    async def _change(self) -> None:
        while True:
            drawn = self.random_source.random()
            if drawn < RACE_PROBABILITY:
                await self._race()
            elif await self._put(self.sent + 1, OPERATOR_TIMEOUT_S) != 200:
                await self._refresh_acknowledged()
            elif drawn > 1 - REPEAT_PROBABILITY:
                await self._resend()
            await trio.sleep(self.random_source.uniform(0.5, 1.5) / self.plan.changes_per_second)

    async def _put(self, revision: int, within: float) -> int:
        self.sent = revision
        status = await self.operator.put_config(make_config(revision), self.acknowledged, within)
        if status == 200:
            self.acknowledged = revision
            self.acknowledged_count += 1
        return status

    async def _race(self) -> None:
        """Two operators concurrently send different configurations with the same revision and base."""
        self.sent += 1
        first_config = make_config(self.sent)
        second_config = first_config | {
            "routes": [*first_config["routes"][:-1], first_config["routes"][-1] | {"targetLatencyMs": 700}]
        }
        base = self.acknowledged
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.operator.put_config, first_config, base, OPERATOR_TIMEOUT_S)
            nursery.start_soon(self.second.put_config, second_config, base, OPERATOR_TIMEOUT_S)
        await self._refresh_acknowledged()

    async def _refresh_acknowledged(self) -> None:
        """Reads which revision is in force after an inconclusive answer."""
        if (config := await self.read(OPERATOR_TIMEOUT_S)) is not None:
            self.acknowledged = max(self.acknowledged, config.get("revision", 0))

    async def _resend(self) -> None:
        accepted = [event for event in self.events[-500:] if type(event) is ConfigAnswered and event.status == 200]
        if not accepted:
            return
        for event in reversed(self.events):
            if type(event) is ConfigSent and event.call == accepted[-1].call:
                await self.second.put_config(event.config, event.base, OPERATOR_TIMEOUT_S)
                return

    async def _name_versions(self) -> None:
        """Names versions in series, at shorter intervals than their time bound, until cancelled."""
        revision = 2
        while True:
            await trio.sleep(SERIES_INTERVAL_S * self.random_source.uniform(0.5, 1.5))
            for _ in range(self.random_source.randint(*NAMES_PER_SERIES_RANGE)):
                if 200 <= await self.second.name_version(MODEL, revision, OPERATOR_TIMEOUT_S) < 300:
                    revision += 1
                await trio.sleep(self.plan.names_apart)
