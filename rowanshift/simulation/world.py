"""Simulation of a cache proxy fleet: real routers between emulated clients, caches and origin, with injected faults.

A simulation is one trio run on a ``VirtualClock``. All random choices depend on the seed of the scenario only, so that
a seed reproduces a run byte for byte. The rules of ``invariants`` judge the recorded events.
"""

import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio
from loguru import logger

from rowanshift.cacheproxy.config import config_of, entry_of
from rowanshift.cacheproxy.decision.router import Router
from rowanshift.cacheproxy.service import Phase, Service
from rowanshift.cacheproxy.settings import settings_of
from rowanshift.emulation.clients import ClientBehavior, ClientGroup, RequestCategory, RouterEndpoint
from rowanshift.emulation.discovery import DiscoveryAgent, server_row
from rowanshift.emulation.http import SharedState
from rowanshift.emulation.servers import Cache, CacheServerTraits, FaultyResponses, Origin, Server
from rowanshift.invariants.checks import CacheProxyRules, RuleSettings, RuleViolation
from rowanshift.invariants.events import EventStream, Fact
from rowanshift.placement.hash_ring import stable_hash
from rowanshift.simulation.clock import DeterministicScheduling, VirtualClock
from rowanshift.simulation.machine import Machine
from rowanshift.simulation.network import START_UNIX_SECONDS, Network, Paths
from rowanshift.simulation.scenario import Fault, Scenario

HTTP_PORT, PEER_PORT, AGENT_PORT = 8080, 9100, 9500
CRASH_NOTICE_SECONDS = 1.5, 3.4  # range of the time until clients notice that a router was killed
SIGTERM_NOTICE_SECONDS = 0.2, 0.4  # range of the time until clients stop opening connections
QUIET_SECONDS = 1.0  # after the last response, before leaked resources are counted
MAX_IDLE_TIMERS = 64  # of a router without open requests
STUTTER_INTERVAL_SECONDS = 2.5


@dataclass(slots=True)
class SimulationResult:
    """The result of a run."""

    broken: list[RuleViolation]
    facts: int
    items: int  # work items, without retries
    seconds: float  # simulated
    finished: float  # fraction of the work items that finished in time
    earned: float  # fraction of the credit
    p99: float  # in seconds, of the work items that finished in time
    counts: dict[str, int]
    tries: dict[str, int]
    fetches: int


class ConfigFile:
    """The configuration file of a router, which ``Service`` reads again at SIGHUP."""

    def __init__(self, data: dict[str, Any]) -> None:
        self.data = data

    def read_bytes(self) -> bytes:
        return orjson.dumps(self.data)


@dataclass(eq=False)
class RouterHost:
    """A router's machine, its discovery agent, and its current process."""

    n: int
    machine: Machine
    agent: DiscoveryAgent
    endpoint: RouterEndpoint
    file: ConfigFile
    service: Service | None = None
    restart_after: float | None = None  # seconds from the end of the process until it is restarted
    start_requested: trio.Event = field(default_factory=trio.Event)
    extra_list_delay: float = 0.0  # seconds added to the usual delay of list changes
    next_list_change: float = 0.0  # when the latest pending list change arrives


@dataclass(eq=False)
class CacheHost:
    """A cache server with its name in the list, its machine and its process."""

    name: str
    machine: Machine
    kind: CacheServerTraits
    zone: int
    server: Server | None = None
    weight: float = 1.0
    came_up: float = 0.0
    leaving: bool = False
    is_down: bool = False
    held: dict[str, int] = field(default_factory=dict)


ServiceMaker = Callable[..., Service]


class CacheFleetSimulation:
    """A fleet with its clients, caches, origin and agents, which runs one scenario."""

    def __init__(
        self,
        scenario: Scenario,
        readers: list[Callable[[Fact], None]] | None = None,
        make_service: ServiceMaker = Service,
    ) -> None:
        self.scenario, self.make_service = scenario, make_service
        self.clock = VirtualClock()
        self.random_source = random.Random(f"{scenario.seed}/world")
        links = scenario.links
        self.network = Network(
            self.clock,
            str(scenario.seed),
            Paths(
                links.within_s,
                links.across_s,
                links.jitter,
                links.bandwidth,
                links.window,
                links.partial,
                links.lost,
                links.doubled,
                links.late,
            ),
        )
        self.events = EventStream(self.clock.current_time)
        fleet = scenario.fleet
        raw = self._router_settings(0)
        self.categories = settings_of(raw).categories
        self.rules = CacheProxyRules(
            RuleSettings(
                dict(zip((category.name for category in scenario.category), self.categories, strict=True)),
                fleet.grace_s,
            )
        )
        self.events.readers = [self.rules.process_event, *(readers or [])]
        self.network.on_undeliverable = self._record_undeliverable
        self.shared_state = SharedState()
        self.caches: dict[str, CacheHost] = {}
        self.routers: list[RouterHost] = []
        self.client_groups: list[ClientGroup] = []
        self.next_cache_number = 0
        self.stopping = trio.Event()
        self.errors: list[Exception] = []  # with which a router crashed

    # construction -----------------------------------------

    def _router_settings(self, ordinal: int) -> dict[str, Any]:
        scenario, fleet = self.scenario, self.scenario.fleet
        total_weight = sum(scenario.work.customers.values()) or 1.0
        return {
            "categories": [
                {
                    "name": category.name,
                    "semantics": category.semantics,
                    "group": category.group,
                    "window_us": int(category.window_s * 1e6),
                    "credit": category.credit,
                    "due_time_us": int(category.due_s * 1e6),
                    "expiry_us": int(category.expiry_s * 1e6),
                }
                for category in scenario.category
            ],
            "tenants": [
                {"name": name, "quota_rps": 1.3 * scenario.work.rate * weight / total_weight}
                for name, weight in scenario.work.customers.items()
            ],
            "zones": [f"z{n}" for n in range(fleet.sites)],
            "kinds": ["cache", "origin"],
            "domain": {"mode": "aside", "origin_kind": 1},
            "registry_mode": "ask" if fleet.ask else "push",
            "replicas_of_me": fleet.routers,
            "ordinal": ordinal,
            "limits": {
                "peers": fleet.peers,
                "retry_after": fleet.retry_after_s > 0,
                "max_retry_after_us": int(fleet.retry_after_s * 1e6),
                "max_hand_offs": fleet.max_hand_offs,
                "dial_timeout_us": int(fleet.dial_s * 1e6),
                "conn_idle_us": int(fleet.idle_s * 1e6),
            },
            "guarantees": {
                "ask_within_us": 3_000_000,
                "overload_factor": fleet.overload_factor,
                "overload_for_us": int(fleet.overload_for_s * 1e6),
                "start_capacity": fleet.start_share,
                "warm_within_us": int(fleet.warm_within_s * 1e6),
            },
        }

    def _server_kind(self, origin: bool = False) -> CacheServerTraits:
        scenario, fleet = self.scenario, self.scenario.fleet
        works = {
            category.name: scenario.work.origin_fetch_s if origin else category.work_s for category in scenario.category
        }
        speed = 1.0 if origin else self.random_source.uniform(fleet.slowest, fleet.fastest)
        return CacheServerTraits(
            works,
            fleet.origin_cores if origin else fleet.cores,
            speed,
            fleet.queue,
            fleet.connections,
            throws_away=fleet.throws_away,
            idle_for=fleet.idle_s,
            overload_factor=3.0 if origin else fleet.overload_factor,
            overload_for=fleet.overload_for_s,
        )

    def _build_fleet(self) -> None:
        scenario, fleet = self.scenario, self.scenario.fleet
        for n in range(fleet.caches):
            self._add_cache(n % fleet.sites)
        self.caches["origin"] = CacheHost(
            "origin", self.network.machine("origin", 0, 4096), self._server_kind(origin=True), 0
        )
        entries = [self._list_entry(host) for host in self.caches.values()]
        machines = [
            self.network.machine(
                f"r{n}", n % fleet.sites, fleet.descriptors, self.random_source.uniform(-1, 1) * fleet.skew_s
            )
            for n in range(fleet.routers)
        ]
        peers = [f"{machine.address}:{PEER_PORT}" for machine in machines]
        for n, machine in enumerate(machines):
            agent_machine = self.network.machine(f"agent-r{n}", machine.site)
            agent = DiscoveryAgent(
                agent_machine,
                (agent_machine.address, AGENT_PORT),
                self.clock.current_time,
                self.events,
                f"r{n}",
                entries,
            )
            config = {
                "name": f"r{n}",
                "listen": f"{machine.address}:{HTTP_PORT}",
                "discovery": f"{agent_machine.address}:{AGENT_PORT}",
                "seed": f"{scenario.seed % 2**32 * 1009 + n:x}",
                "limits": {"sockets": fleet.descriptors, "memory_mb": fleet.memory_mb},
                "settings": self._router_settings(n),
            }
            if fleet.peers:
                config |= {"peer_listen": f"{machine.address}:{PEER_PORT}", "peers": peers}
            endpoint = RouterEndpoint(f"r{n}", (machine.address, HTTP_PORT), machine.site)
            self.routers.append(RouterHost(n, machine, agent, endpoint, ConfigFile(config)))
        asked = [
            RequestCategory(
                category.name, category.share, category.expiry_s, category.due_s, category.write, category.credit
            )
            for category in scenario.category
        ]
        behavior = ClientBehavior(
            scenario.work.retries,
            scenario.work.wait_s,
            scenario.work.patience,
            scenario.work.one_off,
            scenario.work.halves,
            scenario.work.zipf,
            scenario.work.keys,
        )
        for site in range(min(fleet.sites, fleet.routers)):
            endpoints = [
                RouterEndpoint(host.endpoint.name, host.endpoint.address, host.endpoint.site) for host in self.routers
            ]
            self.client_groups.append(
                ClientGroup(
                    self.network.machine(f"crowd{site}", site, 50_000),
                    f"q{site}",
                    site,
                    self.clock.current_time,
                    self.events,
                    random.Random(f"{scenario.seed}/crowd{site}"),
                    endpoints,
                    asked,
                    scenario.work.customers,
                    scenario.work.rate / min(fleet.sites, fleet.routers),
                    behavior,
                )
            )
        if scenario.work.warm:
            self._warm_caches()

    def _warm_caches(self) -> None:
        """Give each cache the keys that the hash ring assigns to it."""
        config = config_of(self.routers[0].file.data | {"known": self._listed_instances(self.routers[0].agent)})
        router = Router(config.settings, 0, START_UNIX_SECONDS)
        entries = [entry_of(row, config.names) for row in config.known["instances"]]
        router.list_changed(START_UNIX_SECONDS, "cached", entries)
        for key in (f"k{n}" for n in range(self.scenario.work.keys)):
            if successors := router._walk(stable_hash(key) >> 32):
                self.caches[successors[0].entry.server].held[key] = 0

    def _add_cache(self, site: int, machine: Machine | None = None, name: str = "") -> CacheHost:
        name = name or f"c{self.next_cache_number}"
        self.next_cache_number += 1
        machine = machine or self.network.machine(f"m-{name}", site, 4096)
        host = self.caches[name] = CacheHost(name, machine, self._server_kind(), machine.site)
        return host

    def _list_entry(self, host: CacheHost, lifecycle: str = "active") -> dict[str, Any]:
        started = START_UNIX_SECONDS + host.came_up if host.came_up else 0.0
        return server_row(
            host.name,
            (host.machine.address, HTTP_PORT),
            f"z{host.zone}",
            "origin" if host.name == "origin" else "cache",
            started,
            lifecycle,
            host.weight,
        )

    @staticmethod
    def _listed_instances(agent: DiscoveryAgent) -> dict[str, Any]:
        return {"generation": agent.generation, "instances": [*agent.rows.values()]}

    # running ----------------------------------------------

    def run(self) -> SimulationResult:
        logger.disable("rowanshift")
        try:
            with DeterministicScheduling(f"{self.scenario.seed}/trio"):
                trio.run(self._main, clock=self.clock)
        finally:
            logger.enable("rowanshift")
        return self._result()

    async def _main(self) -> None:
        self._build_fleet()
        async with trio.open_nursery() as self.nursery:
            for host in [*self.caches.values()]:
                self._start_cache(host)
            for host in self.routers:
                self.nursery.start_soon(self._run_process, host.agent.host, host.agent.run)
                self.nursery.start_soon(self._run_router, host)
            await trio.sleep(0.5)
            for group in self.client_groups:
                self.nursery.start_soon(self._run_process, group.host, group.run)
            for fault in self.scenario.trouble:
                self.at(fault.at_s, self._inject, fault)
            await trio.sleep(max(0.0, self.scenario.seconds - self.clock.time))
            await self._shut_down()
            self.nursery.cancel_scope.cancel()

    async def _run_process(self, machine: Machine, main: Callable[[], Awaitable[None]]) -> None:
        await machine.run(main)

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call that acts on the fleet."""
        self.clock.at(when, self._run_unless_stopping, call, args)

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.clock.time + delay, call, *args)

    def _run_unless_stopping(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if not self.stopping.is_set():
            call(*args)
        self.clock.task_woken = True

    async def _run_router(self, host: RouterHost) -> None:
        """Run one process of a router after another, each until it ends or is killed."""
        machine = host.machine
        while True:
            host.file.data["known"] = self._listed_instances(host.agent)
            host.service = self.make_service(config_of(host.file.data), host.file, machine)
            self.events.publish("started", machine.name, machine.process_count + 1)
            for row in host.agent.rows.values():
                if row["lifecycle"] == "leaving":
                    self.events.publish("told", machine.name, row["instanceId"], "quiescing")
            if machine.process_count:
                self.nursery.start_soon(self._accept_when_ready, host)
            try:
                left_open = await machine.run(host.service.run)
            except Exception as error:
                self.errors.append(error)
                self.events.publish("down", machine.name, "crashed")
            else:
                if left_open is not None:
                    self.events.publish("left_over", machine.name, "descriptors", left_open)
                    self.events.publish("down", machine.name, "ended")
            if self.stopping.is_set():
                return
            if host.restart_after is None:
                host.start_requested = trio.Event()
                await host.start_requested.wait()
            else:
                await trio.sleep(host.restart_after)
            host.restart_after = None

    async def _accept_when_ready(self, host: RouterHost) -> None:
        """Let clients open connections again once the router reports readiness."""
        group, endpoints = self.client_groups[0], self._endpoints_of(host)
        for _ in range(200):
            await trio.sleep(0.1)
            if host.machine.running and await group.ready(host.endpoint):
                for endpoint in endpoints:
                    endpoint.up = True
                return

    def _endpoints_of(self, host: RouterHost) -> list[RouterEndpoint]:
        return [
            endpoint
            for group in self.client_groups
            for endpoint in group.endpoints
            if endpoint.name == host.endpoint.name
        ]

    def _record_undeliverable(self, machine: str, address: str) -> None:
        if machine.startswith("r"):
            self.events.publish("no_way", machine, address)

    def _stop_new_connections(self, host: RouterHost) -> None:
        for endpoint in self._endpoints_of(host):
            endpoint.up = False

    def _start_cache(self, host: CacheHost) -> None:
        fleet, name = self.scenario.fleet, host.name
        common = (
            host.machine,
            (host.machine.address, HTTP_PORT),
            self.clock.current_time,
            self.events,
            name,
            host.kind,
            self.shared_state,
            random.Random(f"{self.scenario.seed}/{name}/{host.came_up}"),
            host.zone,
        )
        if name == "origin":
            host.server = Origin(*common)
            host.server.stops_for = fleet.origin_stops_s
        else:
            host.server = Cache(
                *common,
                came_up=host.came_up,
                start_share=fleet.start_share,
                warm_within=fleet.warm_within_s,
                fall=self._stop_collapsed_cache,
            )
            host.server.store.update(host.held)
            host.held = {}
        self.nursery.start_soon(self._run_process, host.machine, host.server.run)

    def _stop_collapsed_cache(self, cache: Cache) -> None:
        """Kill a cache that collapsed under overload. It is not restarted."""
        host = self.caches[cache.name]
        host.is_down = True
        self.after(0.0, self._kill_cache, host)
        self._publish(host, "left")

    # shutdown ---------------------------------------------

    async def _shut_down(self) -> None:
        """Stop the clients, and check that idle routers hold no resources and end at SIGTERM."""
        for group in self.client_groups:
            group.over = True
        with trio.move_on_after(30):
            while any(group.open for group in self.client_groups):
                await trio.sleep(0.1)
        self.stopping.set()
        for host in self.routers:
            host.machine.resume()
            self.events.publish("went_on", host.machine.name)
        for group in self.client_groups:
            group.close()
        await trio.sleep(QUIET_SECONDS + max(category.expiry_s for category in self.scenario.category))
        for host in self.routers:
            service = host.service
            if host.machine.running and service is not None and service.phase is Phase.SERVING:
                for resource, count in open_resources(service).items():
                    self.events.publish("left_over", host.machine.name, resource, count)
                host.machine.signal(signal.SIGTERM)
        await trio.sleep(2.0)
        for host in self.routers:
            self.events.publish("left_over", host.machine.name, "process", int(host.machine.running))
        self.rules.end(self.clock.time)

    def _result(self) -> SimulationResult:
        first_tries = sum(group.first for group in self.client_groups)
        credit = sum(group.credit for group in self.client_groups)
        times = sorted(seconds for group in self.client_groups for seconds in group.response_times)
        tries: dict[str, int] = {}
        for group in self.client_groups:
            for result, count in group.tries.items():
                tries[result] = tries.get(result, 0) + count
        counts = self.rules.counts
        origin = self.caches["origin"].server
        return SimulationResult(
            self.rules.broken,
            sum(counts.values()),
            int(first_tries),
            self.clock.time,
            len(times) / max(1, first_tries),
            sum(group.earned_credit for group in self.client_groups) / max(1e-9, credit),
            times[int(0.99 * len(times))] if times else 0.0,
            counts,
            dict(sorted(tries.items())),
            origin.served if origin else 0,
        )

    # discovery --------------------------------------------

    def _publish(self, host: CacheHost, lifecycle: str = "active") -> None:
        """Publish the state of a server to all agents, with a delay of its own for each, but in order."""
        row = self._list_entry(host, lifecycle)
        for router in self.routers:
            delay_until_listed = (
                self.scenario.fleet.list_late_s * self.random_source.uniform(0.1, 1.0) + router.extra_list_delay
            )
            router.next_list_change = max(router.next_list_change + 1e-6, self.clock.time + delay_until_listed)
            self.at(router.next_list_change, self._update_agent, router, row)

    @staticmethod
    def _update_agent(router: RouterHost, row: dict[str, Any]) -> None:
        router.agent.change(row)

    # faults of caches, network and load --------------------

    def _inject(self, fault: Fault) -> None:
        targets = fault.who if isinstance(fault.who, list) else [fault.who] if fault.who else []
        self.events.publish("trouble", fault.what, ",".join(targets))
        getattr(self, f"_do_{fault.what}")(fault, targets)

    def _active_caches(self) -> list[CacheHost]:
        return [host for host in self.caches.values() if host.name != "origin" and not (host.leaving or host.is_down)]

    def _select_caches(self, targets: list[str], max_fraction: float = 0.3) -> Iterator[CacheHost]:
        """Yield the named caches that are active; without names, a random selection."""
        if targets in ([], ["some"]):
            live = self._active_caches()
            count = max(1, int(len(live) * self.random_source.uniform(0.05, max_fraction)))
            yield from self.random_source.sample(live, min(count, len(live)))
        for name in targets:
            host = self.caches.get(name)
            if host is not None and not host.leaving and not host.is_down:
                yield host

    def _select_routers(self, targets: list[str]) -> list[RouterHost]:
        if targets in ([], ["some"]):
            return [self.random_source.choice(self.routers)]
        return [host for host in self.routers if host.machine.name in targets]

    def _select_routers_or_all(self, targets: list[str]) -> list[RouterHost]:
        return self.routers if not targets else self._select_routers(targets)

    def _kill_cache(self, host: CacheHost) -> None:
        host.machine.kill()

    def _restart_cache(self, host: CacheHost) -> None:
        host.came_up, host.is_down = self.clock.time, False
        self._start_cache(host)
        self._publish(host)

    def _do_void(self, fault: Fault, targets: list[str]) -> None:
        for host in self._active_caches():
            store = host.server.store if host.server else {}
            for key in [entry_key for entry_key in store if self.random_source.random() < fault.value]:
                del store[key]

    def _do_die(self, fault: Fault, targets: list[str], method: str = "kill") -> None:
        for host in [*self._select_caches(targets)]:
            host.is_down = True
            getattr(host.machine, method)()
            self._publish(host, "left")
            self.after(max(0.5, fault.for_s), self._restart_cache, host)

    def _do_vanish(self, fault: Fault, targets: list[str]) -> None:
        self._do_die(fault, targets, "vanish")

    def _do_reborn(self, fault: Fault, targets: list[str]) -> None:
        for host in [*self._select_caches(targets, 0.15)]:
            host.is_down = True
            host.machine.kill()
            self._publish(host, "left")
            successor = self._add_cache(host.zone, host.machine)
            successor.is_down = True
            self.after(max(0.3, fault.for_s), self._restart_cache, successor)

    def _do_moved(self, fault: Fault, targets: list[str]) -> None:
        for host in [*self._select_caches(targets, 0.15)]:
            host.is_down = True
            host.machine.kill()
            host.machine = self.network.machine(f"m2-{host.name}-{self.clock.time:.3f}", host.zone, 4096)
            self.after(max(0.3, fault.for_s), self._restart_cache, host)

    def _select_machines(self, targets: list[str], max_fraction: float) -> list[Machine]:
        found = [host.machine for host in self.routers if host.machine.name in targets]
        if (not targets) or any(name == "some" or name in self.caches for name in targets):
            found += [host.machine for host in self._select_caches(targets, max_fraction)]
        return found

    def _do_stall(self, fault: Fault, targets: list[str], seconds: float = 0.0) -> None:
        for machine in self._select_machines(targets, 0.4):
            if machine.running and not machine.frozen:
                self.events.publish("stalled", machine.name)
                machine.freeze()
                self.after(seconds or fault.for_s, self._resume, machine)

    def _resume(self, machine: Machine) -> None:
        if machine.frozen:
            machine.resume()
            self.events.publish("went_on", machine.name)

    def _do_stutter(self, fault: Fault, targets: list[str]) -> None:
        names = [host.name for host in self._select_caches(targets, 0.47)]
        for n in range(int(fault.for_s / STUTTER_INTERVAL_SECONDS) + 1):
            self.after(n * STUTTER_INTERVAL_SECONDS, self._do_stall, fault, names, fault.value or 0.3)

    def _do_slow(self, fault: Fault, targets: list[str]) -> None:
        for host in [*self._select_caches(targets, 0.4)]:
            server = host.server
            server.slowed = fault.value or 0.3
            self.after(fault.for_s, setattr, server, "slowed", 1.0)

    def _do_drain(self, fault: Fault, targets: list[str], max_fraction: float = 0.2) -> None:
        for host in [*self._select_caches(targets, max_fraction)]:
            self._drain_cache(host)

    def _drain_cache(self, host: CacheHost) -> None:
        if host.leaving or host.is_down or len(self._active_caches()) <= 1:
            return
        host.leaving = True
        self._publish(host, "leaving")
        delay = self.scenario.fleet.leaves_after_s
        self.after(delay, self._remove_cache, host)

    def _remove_cache(self, host: CacheHost) -> None:
        host.is_down = True
        host.machine.kill()
        self._publish(host, "left")

    def _do_drain_lost(self, fault: Fault, targets: list[str]) -> None:
        self._do_lose(fault, [])
        self._do_drain(fault, targets)

    def _do_deploy(self, fault: Fault, targets: list[str]) -> None:
        live = self._active_caches()
        selected = self.random_source.sample(live, max(1, int(len(live) * (fault.value or 0.9))))
        for n, host in enumerate(selected):
            delay = fault.for_s * n / len(selected)
            self.after(delay, self._replace_cache, host)

    def _replace_cache(self, host: CacheHost) -> None:
        if host.is_down or host.leaving:
            return
        successor = self._add_cache(host.zone)
        successor.is_down = True
        self._restart_cache(successor)
        self._drain_cache(host)

    def _do_shrink(self, fault: Fault, targets: list[str]) -> None:
        live = self._active_caches()
        selected = self.random_source.sample(live, int(len(live) * (1 - (fault.value or 0.5))))
        for n, host in enumerate(selected):
            self.after(fault.for_s * n / max(1, len(selected)), self._drain_cache, host)

    def _do_grow(self, fault: Fault, targets: list[str]) -> None:
        count = int(fault.value or 3)
        for n in range(count):
            host = self._add_cache(n % self.scenario.fleet.sites)
            host.is_down = True
            self.after(fault.for_s * n / count, self._restart_cache, host)

    def _do_weights(self, fault: Fault, targets: list[str]) -> None:
        for host in [*self._select_caches(targets)]:
            host.weight = fault.value or 0.5
            self._publish(host)
            self.after(fault.for_s, self._restore_weight, host)

    def _restore_weight(self, host: CacheHost) -> None:
        host.weight = 1.0
        if not host.leaving and not host.is_down:
            self._publish(host)

    def _do_cut(self, fault: Fault, targets: list[str]) -> None:
        sites = self.scenario.fleet.sites
        if sites < 2:
            return
        site_pairs = [tuple(map(int, name.split("-"))) for name in targets]
        site_pairs = site_pairs or [tuple(self.random_source.sample(range(sites), 2))]
        for site, other_site in site_pairs:
            self.network.cut(site, other_site)
            self.after(fault.for_s, self.network.heal, site, other_site)

    def _do_lean(self, fault: Fault, targets: list[str]) -> None:
        name = self._select_routers(targets)[0].machine.name
        for group in self.client_groups:
            group.lean = name
            self.after(fault.for_s, setattr, group, "lean", None)

    def _do_rate(self, fault: Fault, targets: list[str]) -> None:
        for group in self.client_groups:
            group.rate *= fault.value or 2.0
            self.after(fault.for_s, self._reduce_rate, group, fault.value or 2.0)

    @staticmethod
    def _reduce_rate(group: ClientGroup, factor: float) -> None:
        group.rate /= factor

    def _do_hot(self, fault: Fault, targets: list[str]) -> None:
        key = f"k{self.random_source.randrange(self.scenario.work.keys)}"
        for group in self.client_groups:
            group.keys.hot = key, fault.value or 0.3
            self.after(fault.for_s, setattr, group.keys, "hot", None)

    def _do_shift(self, fault: Fault, targets: list[str]) -> None:
        offset = self.random_source.randrange(self.scenario.work.keys)
        for group in self.client_groups:
            group.keys.shifted += offset

    def _do_spoil(self, fault: Fault, targets: list[str]) -> None:
        for host in [*self._select_caches(targets)]:
            server = host.server
            server.spoiling = FaultyResponses(fault.value or 0.3)
            self.after(fault.for_s, setattr, server, "spoiling", FaultyResponses())

    def _do_flood(self, fault: Fault, targets: list[str]) -> None:
        group = self.client_groups[0]
        for host in self._select_routers(targets):
            self.nursery.start_soon(self._flood, group, host.endpoint, int(fault.value or 200), fault.for_s)

    @staticmethod
    async def _flood(group: ClientGroup, endpoint: RouterEndpoint, count: int, hold_for: float) -> None:
        await group.open_idle_connections(endpoint, count, hold_for)

    def _do_halves(self, fault: Fault, targets: list[str], setting: str = "halves") -> None:
        for group in self.client_groups:
            previous = getattr(group.behavior, setting)
            setattr(group.behavior, setting, fault.value or 0.1)
            self.after(fault.for_s, setattr, group.behavior, setting, previous)

    def _do_one_off(self, fault: Fault, targets: list[str]) -> None:
        self._do_halves(fault, targets, "one_off")

    # faults of routers and agents -------------------------

    def _do_kill(self, fault: Fault, targets: list[str]) -> None:
        for host in self._select_routers(targets):
            if host.machine.running and host.restart_after is None:
                host.restart_after = max(0.1, fault.for_s)
                host.machine.kill()
                self.events.publish("down", host.machine.name, "killed")
                self.after(
                    min(self.random_source.uniform(*CRASH_NOTICE_SECONDS), host.restart_after),
                    self._stop_new_connections,
                    host,
                )

    def _do_restart(self, fault: Fault, targets: list[str]) -> None:
        for host in self._select_routers(targets):
            if host.machine.running and host.restart_after is None:
                host.restart_after = max(0.1, fault.for_s)
                host.machine.signal(signal.SIGTERM)
                self.events.publish("signalled", host.machine.name, "SIGTERM")
                self.after(self.random_source.uniform(*SIGTERM_NOTICE_SECONDS), self._stop_new_connections, host)

    def _do_reload(self, fault: Fault, targets: list[str]) -> None:
        """Move the router to another agent, which counts list generations from another number."""
        for host in self._select_routers(targets):
            old = host.agent
            name = f"agent-{host.machine.name}-{self.clock.time:.3f}"
            agent_machine = self.network.machine(name, host.machine.site)
            agent = DiscoveryAgent(
                agent_machine,
                (agent_machine.address, AGENT_PORT),
                self.clock.current_time,
                self.events,
                host.machine.name,
                [*old.rows.values()],
            )
            agent.generation = agent.first = self.random_source.randrange(1, 2000)
            host.agent = agent
            host.file.data["discovery"] = f"{agent_machine.address}:{AGENT_PORT}"
            self.nursery.start_soon(self._run_process, agent_machine, agent.run)
            host.machine.signal(signal.SIGHUP)
            self.events.publish("signalled", host.machine.name, "SIGHUP")

    def _do_list_late(self, fault: Fault, targets: list[str]) -> None:
        for host in self._select_routers_or_all(targets):
            host.extra_list_delay = fault.value or 3.0
            self.after(fault.for_s, setattr, host, "extra_list_delay", 0.0)

    def _set_agent_flag(self, fault: Fault, targets: list[str], flag: str) -> None:
        for host in self._select_routers_or_all(targets):
            setattr(host.agent, flag, True)
            host.agent.wake()
            self.after(fault.for_s, setattr, host.agent, flag, False)

    def _do_list_silent(self, fault: Fault, targets: list[str]) -> None:
        self._set_agent_flag(fault, targets, "silent")

    def _do_list_broken(self, fault: Fault, targets: list[str]) -> None:
        self._set_agent_flag(fault, targets, "broken")

    def _do_list_failing(self, fault: Fault, targets: list[str]) -> None:
        self._set_agent_flag(fault, targets, "failing")

    def _do_list_over(self, fault: Fault, targets: list[str]) -> None:
        for host in self._select_routers_or_all(targets):
            host.agent.lose_state()

    def _do_lose(self, fault: Fault, targets: list[str]) -> None:
        for host in self._select_routers_or_all(targets):
            self.network.datagrams_lost_until[host.machine.name] = self.clock.time + fault.for_s


def open_resources(service: Service) -> dict[str, int]:
    """Return the resources that a router still holds, by name. All must be 0 while no request is open."""
    driver, clients = service.driver, service.clients
    router = driver.router
    listed = len(service.servers.targets)
    return {
        "exchanges": len(driver.exchanges),
        "open ids": len(clients.open),
        "hand-offs out": len(service.servers.out),
        "work items": len(router.items),
        "held": len(router.held),
        "clients' connections": service.budget.clients,
        "bytes of bodies": service.memory.capacity - service.memory.available,
        "timers": len(router.timers) if len(router.timers) > MAX_IDLE_TIMERS else 0,
        "hand-offs counted as out": sum(cache.inflight for cache in router.caches.values()) + router.fleet.inflight,
        "servers that are gone": max(0, len(router.caches) - 2 * listed - 4),
    }
