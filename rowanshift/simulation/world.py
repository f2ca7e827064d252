"""A fleet in one process: real routers between stand-ins on the virtual network, with its troubles and the
rules.

One trio run on a ``VirtualClock``. Everything is drawn from the scenario's seed, so that a seed replays
byte for byte.
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
from rowanshift.emulation.clients import Asked, Crowd, Door, Habits
from rowanshift.emulation.discovery import Agent, row_of
from rowanshift.emulation.http import Ledger
from rowanshift.emulation.servers import Cache, Kind, Origin, Server, Spoiling
from rowanshift.invariants.checks import Broken, Rules, Terms
from rowanshift.invariants.events import Events, Fact
from rowanshift.placement.hash_ring import stable_hash
from rowanshift.simulation.clock import Determined, VirtualClock
from rowanshift.simulation.machine import Machine
from rowanshift.simulation.network import EPOCH, Network, Paths
from rowanshift.simulation.scenario import Scenario, Trouble

PORT, PEERS, AGENT = 8080, 9100, 9500
NOTICED = 1.5, 3.4  # seconds until clients know that a router died
STOPS_DIALLING = 0.2, 0.4  # after a SIGTERM
QUIET_FOR = 1.0  # after the last answer, before what is left over is counted
MOST_TIMERS = 64  # of a quiet router
STUTTER_EVERY = 2.5


@dataclass(slots=True)
class Outcome:
    """What a run came to."""

    broken: list[Broken]
    facts: int
    items: int  # first tries
    seconds: float  # simulated
    finished: float  # part of the first tries that was finished in time
    earned: float  # part of the credit
    p99: float  # seconds, of those finished in time
    counts: dict[str, int]
    tries: dict[str, int]
    fetches: int


class ConfigFile:
    """A router's file, as ``Service`` reads it again at SIGHUP."""

    def __init__(self, data: dict[str, Any]) -> None:
        self.data = data

    def read_bytes(self) -> bytes:
        return orjson.dumps(self.data)


@dataclass(eq=False)
class RouterPlace:
    """A router's machine, its agent, and the process on it, one after another."""

    n: int
    machine: Machine
    agent: Agent
    door: Door
    file: ConfigFile
    service: Service | None = None
    restart_after: float | None = None  # once it has ended
    begin: trio.Event = field(default_factory=trio.Event)
    delay: float = 0.0  # of the list, besides what is usual
    list_at: float = 0.0  # of the last change on its way


@dataclass(eq=False)
class CachePlace:
    """A cache server by the name that the list has, the machine it is on, and its process."""

    name: str
    machine: Machine
    kind: Kind
    zone: int
    server: Server | None = None
    weight: float = 1.0
    came_up: float = 0.0
    leaving: bool = False
    gone: bool = False
    held: dict[str, int] = field(default_factory=dict)


ServiceMaker = Callable[..., Service]


class World:
    def __init__(
        self, scenario: Scenario, readers: list[Callable[[Fact], None]] | None = None, make: ServiceMaker = Service
    ) -> None:
        self.scenario, self.make = scenario, make
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
        self.events = Events(self.clock.current_time)
        fleet = scenario.fleet
        raw = self._settings(0)
        self.categories = settings_of(raw).categories
        self.rules = Rules(
            Terms(dict(zip((c.name for c in scenario.category), self.categories, strict=True)), fleet.grace_s)
        )
        self.events.readers = [self.rules.see, *(readers or [])]
        self.network.no_way = self._no_way
        self.ledger = Ledger()
        self.caches: dict[str, CachePlace] = {}
        self.routers: list[RouterPlace] = []
        self.crowds: list[Crowd] = []
        self.names = 0
        self.over = trio.Event()
        self.errors: list[Exception] = []  # that ended a router

    # building ---------------------------------------------

    def _settings(self, ordinal: int) -> dict[str, Any]:
        s, fleet = self.scenario, self.scenario.fleet
        whole = sum(s.work.customers.values()) or 1.0
        return {
            "categories": [
                {
                    "name": c.name,
                    "semantics": c.semantics,
                    "group": c.group,
                    "window_us": int(c.window_s * 1e6),
                    "credit": c.credit,
                    "due_time_us": int(c.due_s * 1e6),
                    "expiry_us": int(c.expiry_s * 1e6),
                }
                for c in s.category
            ],
            "tenants": [
                {"name": name, "quota_rps": 1.3 * s.work.rate * part / whole} for name, part in s.work.customers.items()
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

    def _kind(self, origin: bool = False) -> Kind:
        s, fleet = self.scenario, self.scenario.fleet
        works = {c.name: s.work.origin_fetch_s if origin else c.work_s for c in s.category}
        speed = 1.0 if origin else self.random_source.uniform(fleet.slowest, fleet.fastest)
        return Kind(
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

    def _build(self) -> None:
        s, fleet = self.scenario, self.scenario.fleet
        for n in range(fleet.caches):
            self._new_cache(n % fleet.sites)
        self.caches["origin"] = CachePlace(
            "origin", self.network.machine("origin", 0, 4096), self._kind(origin=True), 0
        )
        rows = [self._row(place) for place in self.caches.values()]
        machines = [
            self.network.machine(
                f"r{n}", n % fleet.sites, fleet.descriptors, self.random_source.uniform(-1, 1) * fleet.skew_s
            )
            for n in range(fleet.routers)
        ]
        peers = [f"{m.address}:{PEERS}" for m in machines]
        for n, machine in enumerate(machines):
            beside = self.network.machine(f"agent-r{n}", machine.site)
            agent = Agent(beside, (beside.address, AGENT), self.clock.current_time, self.events, f"r{n}", rows)
            config = {
                "name": f"r{n}",
                "listen": f"{machine.address}:{PORT}",
                "discovery": f"{beside.address}:{AGENT}",
                "seed": f"{s.seed % 2**32 * 1009 + n:x}",
                "limits": {"sockets": fleet.descriptors, "memory_mb": fleet.memory_mb},
                "settings": self._settings(n),
            }
            if fleet.peers:
                config |= {"peer_listen": f"{machine.address}:{PEERS}", "peers": peers}
            door = Door(f"r{n}", (machine.address, PORT), machine.site)
            self.routers.append(RouterPlace(n, machine, agent, door, ConfigFile(config)))
        asked = [Asked(c.name, c.share, c.expiry_s, c.due_s, c.write, c.credit) for c in s.category]
        habits = Habits(
            s.work.retries, s.work.wait_s, s.work.patience, s.work.one_off, s.work.halves, s.work.zipf, s.work.keys
        )
        for site in range(min(fleet.sites, fleet.routers)):
            doors = [Door(p.door.name, p.door.address, p.door.site) for p in self.routers]
            self.crowds.append(
                Crowd(
                    self.network.machine(f"crowd{site}", site, 50_000),
                    f"q{site}",
                    site,
                    self.clock.current_time,
                    self.events,
                    random.Random(f"{s.seed}/crowd{site}"),
                    doors,
                    asked,
                    s.work.customers,
                    s.work.rate / min(fleet.sites, fleet.routers),
                    habits,
                )
            )
        if s.work.warm:
            self._warm()

    def _warm(self) -> None:
        """Gives each cache the keys whose ring home it is."""
        config = config_of(self.routers[0].file.data | {"known": self._known(self.routers[0].agent)})
        probe = Router(config.settings, 0, EPOCH)
        entries = [entry_of(row, config.names) for row in config.known["instances"]]
        probe.list_changed(EPOCH, "cached", entries)
        for key in (f"k{n}" for n in range(self.scenario.work.keys)):
            if walk := probe._walk(stable_hash(key) >> 32):
                self.caches[walk[0].entry.server].held[key] = 0

    def _new_cache(self, site: int, machine: Machine | None = None, name: str = "") -> CachePlace:
        name = name or f"c{self.names}"
        self.names += 1
        machine = machine or self.network.machine(f"m-{name}", site, 4096)
        place = self.caches[name] = CachePlace(name, machine, self._kind(), machine.site)
        return place

    def _row(self, place: CachePlace, lifecycle: str = "active") -> dict[str, Any]:
        started = EPOCH + place.came_up if place.came_up else 0.0
        return row_of(
            place.name,
            (place.machine.address, PORT),
            f"z{place.zone}",
            "origin" if place.name == "origin" else "cache",
            started,
            lifecycle,
            place.weight,
        )

    @staticmethod
    def _known(agent: Agent) -> dict[str, Any]:
        return {"generation": agent.generation, "instances": [*agent.rows.values()]}

    # running ----------------------------------------------

    def run(self) -> Outcome:
        logger.disable("rowanshift")
        try:
            with Determined(f"{self.scenario.seed}/trio"):
                trio.run(self._main, clock=self.clock)
        finally:
            logger.enable("rowanshift")
        return self._outcome()

    async def _main(self) -> None:
        self._build()
        async with trio.open_nursery() as self.nursery:
            for place in [*self.caches.values()]:
                self._start_cache(place)
            for place in self.routers:
                self.nursery.start_soon(self._process, place.agent.host, place.agent.run)
                self.nursery.start_soon(self._router, place)
            await trio.sleep(0.5)
            for crowd in self.crowds:
                self.nursery.start_soon(self._process, crowd.host, crowd.run)
            for trouble in self.scenario.trouble:
                self.at(trouble.at_s, self._trouble, trouble)
            await trio.sleep(max(0.0, self.scenario.seconds - self.clock.time))
            await self._wind_up()
            self.nursery.cancel_scope.cancel()

    async def _process(self, machine: Machine, main: Callable[[], Awaitable[None]]) -> None:
        await machine.run(main)

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Has something happen to the fleet; what it wakes runs next."""
        self.clock.at(when, self._do, call, args)

    def after(self, wait: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.clock.time + wait, call, *args)

    def _do(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if not self.over.is_set():
            call(*args)
        self.clock.woken = True

    async def _router(self, place: RouterPlace) -> None:
        """The processes of one router, each until it ends or is killed."""
        machine = place.machine
        while True:
            place.file.data["known"] = self._known(place.agent)
            place.service = self.make(config_of(place.file.data), place.file, machine)
            self.events.tell("started", machine.name, machine.life + 1)
            for row in place.agent.rows.values():
                if row["lifecycle"] == "leaving":
                    self.events.tell("told", machine.name, row["instanceId"], "quiescing")
            if machine.life:
                self.nursery.start_soon(self._reopen, place)
            try:
                left_open = await machine.run(place.service.run)
            except Exception as error:
                self.errors.append(error)
                self.events.tell("down", machine.name, "crashed")
            else:
                if left_open is not None:
                    self.events.tell("left_over", machine.name, "descriptors", left_open)
                    self.events.tell("down", machine.name, "ended")
            if self.over.is_set():
                return
            if place.restart_after is None:
                place.begin = trio.Event()
                await place.begin.wait()
            else:
                await trio.sleep(place.restart_after)
            place.restart_after = None

    async def _reopen(self, place: RouterPlace) -> None:
        """Clients come back once the router says that it is ready."""
        crowd, doors = self.crowds[0], self._doors(place)
        for _ in range(200):
            await trio.sleep(0.1)
            if place.machine.running and await crowd.ready(place.door):
                for door in doors:
                    door.up = True
                return

    def _doors(self, place: RouterPlace) -> list[Door]:
        return [door for crowd in self.crowds for door in crowd.doors if door.name == place.door.name]

    def _no_way(self, machine: str, address: str) -> None:
        if machine.startswith("r"):
            self.events.tell("no_way", machine, address)

    def _close_doors(self, place: RouterPlace) -> None:
        for door in self._doors(place):
            door.up = False

    def _start_cache(self, place: CachePlace) -> None:
        fleet, name = self.scenario.fleet, place.name
        common = (
            place.machine,
            (place.machine.address, PORT),
            self.clock.current_time,
            self.events,
            name,
            place.kind,
            self.ledger,
            random.Random(f"{self.scenario.seed}/{name}/{place.came_up}"),
            place.zone,
        )
        if name == "origin":
            place.server = Origin(*common)
            place.server.stops_for = fleet.origin_stops_s
        else:
            place.server = Cache(
                *common,
                came_up=place.came_up,
                start_share=fleet.start_share,
                warm_within=fleet.warm_within_s,
                fall=self._fall,
            )
            place.server.store.update(place.held)
            place.held = {}
        self.nursery.start_soon(self._process, place.machine, place.server.run)

    def _fall(self, cache: Cache) -> None:
        """It was pushed over, and stays down."""
        place = self.caches[cache.name]
        place.gone = True
        self.after(0.0, self._kill_cache, place)
        self._list(place, "left")

    # the end ----------------------------------------------

    async def _wind_up(self) -> None:
        """Clients stop asking; once all is quiet, routers must hold nothing, and end when told to."""
        for crowd in self.crowds:
            crowd.over = True
        with trio.move_on_after(30):
            while any(crowd.open for crowd in self.crowds):
                await trio.sleep(0.1)
        self.over.set()
        for place in self.routers:
            place.machine.go_on()
            self.events.tell("went_on", place.machine.name)
        for crowd in self.crowds:
            crowd.close()
        await trio.sleep(QUIET_FOR + max(c.expiry_s for c in self.scenario.category))
        for place in self.routers:
            service = place.service
            if place.machine.running and service is not None and service.phase is Phase.SERVING:
                for what, count in held_by(service).items():
                    self.events.tell("left_over", place.machine.name, what, count)
                place.machine.signal(signal.SIGTERM)
        await trio.sleep(2.0)
        for place in self.routers:
            self.events.tell("left_over", place.machine.name, "process", int(place.machine.running))
        self.rules.end(self.clock.time)

    def _outcome(self) -> Outcome:
        first = sum(crowd.first for crowd in self.crowds)
        credit = sum(crowd.credit for crowd in self.crowds)
        times = sorted(t for crowd in self.crowds for t in crowd.times)
        tries: dict[str, int] = {}
        for crowd in self.crowds:
            for how, n in crowd.tries.items():
                tries[how] = tries.get(how, 0) + n
        counts = self.rules.counts
        origin = self.caches["origin"].server
        return Outcome(
            self.rules.broken,
            sum(counts.values()),
            int(first),
            self.clock.time,
            len(times) / max(1, first),
            sum(c.earned for c in self.crowds) / max(1e-9, credit),
            times[int(0.99 * len(times))] if times else 0.0,
            counts,
            dict(sorted(tries.items())),
            origin.served if origin else 0,
        )

    # the list ---------------------------------------------

    def _list(self, place: CachePlace, lifecycle: str = "active") -> None:
        """Tells all agents of a server, each in its own time but in order."""
        row = self._row(place, lifecycle)
        for router in self.routers:
            late = self.scenario.fleet.list_late_s * self.random_source.uniform(0.1, 1.0) + router.delay
            router.list_at = max(router.list_at + 1e-6, self.clock.time + late)
            self.at(router.list_at, self._tell_agent, router, row)

    @staticmethod
    def _tell_agent(router: RouterPlace, row: dict[str, Any]) -> None:
        router.agent.change(row)

    # troubles ---------------------------------------------

    def _trouble(self, trouble: Trouble) -> None:
        who = trouble.who if isinstance(trouble.who, list) else [trouble.who] if trouble.who else []
        self.events.tell("trouble", trouble.what, ",".join(who))
        getattr(self, f"_do_{trouble.what}")(trouble, who)

    def _live(self) -> list[CachePlace]:
        return [p for p in self.caches.values() if p.name != "origin" and not (p.leaving or p.gone)]

    def _places(self, who: list[str], most: float = 0.3) -> Iterator[CachePlace]:
        """The caches that are named and still there; some of them, where none is."""
        if who in ([], ["some"]):
            live = self._live()
            count = max(1, int(len(live) * self.random_source.uniform(0.05, most)))
            yield from self.random_source.sample(live, min(count, len(live)))
        for name in who:
            place = self.caches.get(name)
            if place is not None and not place.leaving and not place.gone:
                yield place

    def _some_routers(self, who: list[str]) -> list[RouterPlace]:
        if who in ([], ["some"]):
            return [self.random_source.choice(self.routers)]
        return [place for place in self.routers if place.machine.name in who]

    def _all_or(self, who: list[str]) -> list[RouterPlace]:
        return self.routers if not who else self._some_routers(who)

    def _kill_cache(self, place: CachePlace) -> None:
        place.machine.kill()

    def _come_back(self, place: CachePlace) -> None:
        place.came_up, place.gone = self.clock.time, False
        self._start_cache(place)
        self._list(place)

    def _do_void(self, trouble: Trouble, who: list[str]) -> None:
        for place in self._live():
            store = place.server.store if place.server else {}
            for key in [k for k in store if self.random_source.random() < trouble.value]:
                del store[key]

    def _do_die(self, trouble: Trouble, who: list[str], how: str = "kill") -> None:
        for place in [*self._places(who)]:
            place.gone = True
            getattr(place.machine, how)()
            self._list(place, "left")
            self.after(max(0.5, trouble.for_s), self._come_back, place)

    def _do_vanish(self, trouble: Trouble, who: list[str]) -> None:
        self._do_die(trouble, who, "vanish")

    def _do_reborn(self, trouble: Trouble, who: list[str]) -> None:
        for place in [*self._places(who, 0.15)]:
            place.gone = True
            place.machine.kill()
            self._list(place, "left")
            successor = self._new_cache(place.zone, place.machine)
            successor.gone = True
            self.after(max(0.3, trouble.for_s), self._come_back, successor)

    def _do_moved(self, trouble: Trouble, who: list[str]) -> None:
        for place in [*self._places(who, 0.15)]:
            place.gone = True
            place.machine.kill()
            place.machine = self.network.machine(f"m2-{place.name}-{self.clock.time:.3f}", place.zone, 4096)
            self.after(max(0.3, trouble.for_s), self._come_back, place)

    def _machines(self, who: list[str], most: float) -> list[Machine]:
        found = [place.machine for place in self.routers if place.machine.name in who]
        if (not who) or any(name == "some" or name in self.caches for name in who):
            found += [place.machine for place in self._places(who, most)]
        return found

    def _do_stall(self, trouble: Trouble, who: list[str], seconds: float = 0.0) -> None:
        for machine in self._machines(who, 0.4):
            if machine.running and not machine.frozen:
                self.events.tell("stalled", machine.name)
                machine.stand_still()
                self.after(seconds or trouble.for_s, self._go_on, machine)

    def _go_on(self, machine: Machine) -> None:
        if machine.frozen:
            machine.go_on()
            self.events.tell("went_on", machine.name)

    def _do_stutter(self, trouble: Trouble, who: list[str]) -> None:
        names = [place.name for place in self._places(who, 0.47)]
        for n in range(int(trouble.for_s / STUTTER_EVERY) + 1):
            self.after(n * STUTTER_EVERY, self._do_stall, trouble, names, trouble.value or 0.3)

    def _do_slow(self, trouble: Trouble, who: list[str]) -> None:
        for place in [*self._places(who, 0.4)]:
            server = place.server
            server.slowed = trouble.value or 0.3
            self.after(trouble.for_s, setattr, server, "slowed", 1.0)

    def _do_drain(self, trouble: Trouble, who: list[str], most: float = 0.2) -> None:
        for place in [*self._places(who, most)]:
            self._leave(place)

    def _leave(self, place: CachePlace) -> None:
        if place.leaving or place.gone or len(self._live()) <= 1:
            return
        place.leaving = True
        self._list(place, "leaving")
        wait = self.scenario.fleet.leaves_after_s
        self.after(wait, self._left, place)

    def _left(self, place: CachePlace) -> None:
        place.gone = True
        place.machine.kill()
        self._list(place, "left")

    def _do_drain_lost(self, trouble: Trouble, who: list[str]) -> None:
        self._do_lose(trouble, [])
        self._do_drain(trouble, who)

    def _do_deploy(self, trouble: Trouble, who: list[str]) -> None:
        live = self._live()
        chosen = self.random_source.sample(live, max(1, int(len(live) * (trouble.value or 0.9))))
        for n, place in enumerate(chosen):
            wait = trouble.for_s * n / len(chosen)
            self.after(wait, self._replace, place)

    def _replace(self, place: CachePlace) -> None:
        if place.gone or place.leaving:
            return
        successor = self._new_cache(place.zone)
        successor.gone = True
        self._come_back(successor)
        self._leave(place)

    def _do_shrink(self, trouble: Trouble, who: list[str]) -> None:
        live = self._live()
        chosen = self.random_source.sample(live, int(len(live) * (1 - (trouble.value or 0.5))))
        for n, place in enumerate(chosen):
            self.after(trouble.for_s * n / max(1, len(chosen)), self._leave, place)

    def _do_grow(self, trouble: Trouble, who: list[str]) -> None:
        count = int(trouble.value or 3)
        for n in range(count):
            place = self._new_cache(n % self.scenario.fleet.sites)
            place.gone = True
            self.after(trouble.for_s * n / count, self._come_back, place)

    def _do_weights(self, trouble: Trouble, who: list[str]) -> None:
        for place in [*self._places(who)]:
            place.weight = trouble.value or 0.5
            self._list(place)
            self.after(trouble.for_s, self._plain_weight, place)

    def _plain_weight(self, place: CachePlace) -> None:
        place.weight = 1.0
        if not place.leaving and not place.gone:
            self._list(place)

    def _do_cut(self, trouble: Trouble, who: list[str]) -> None:
        sites = self.scenario.fleet.sites
        if sites < 2:
            return
        pairs = [tuple(map(int, name.split("-"))) for name in who]
        pairs = pairs or [tuple(self.random_source.sample(range(sites), 2))]
        for one, another in pairs:
            self.network.cut(one, another)
            self.after(trouble.for_s, self.network.heal, one, another)

    def _do_lean(self, trouble: Trouble, who: list[str]) -> None:
        name = self._some_routers(who)[0].machine.name
        for crowd in self.crowds:
            crowd.lean = name
            self.after(trouble.for_s, setattr, crowd, "lean", None)

    def _do_rate(self, trouble: Trouble, who: list[str]) -> None:
        for crowd in self.crowds:
            crowd.rate *= trouble.value or 2.0
            self.after(trouble.for_s, self._slower, crowd, trouble.value or 2.0)

    @staticmethod
    def _slower(crowd: Crowd, factor: float) -> None:
        crowd.rate /= factor

    def _do_hot(self, trouble: Trouble, who: list[str]) -> None:
        key = f"k{self.random_source.randrange(self.scenario.work.keys)}"
        for crowd in self.crowds:
            crowd.keys.hot = key, trouble.value or 0.3
            self.after(trouble.for_s, setattr, crowd.keys, "hot", None)

    def _do_shift(self, trouble: Trouble, who: list[str]) -> None:
        by = self.random_source.randrange(self.scenario.work.keys)
        for crowd in self.crowds:
            crowd.keys.shifted += by

    def _do_spoil(self, trouble: Trouble, who: list[str]) -> None:
        for place in [*self._places(who)]:
            server = place.server
            server.spoiling = Spoiling(trouble.value or 0.3)
            self.after(trouble.for_s, setattr, server, "spoiling", Spoiling())

    def _do_flood(self, trouble: Trouble, who: list[str]) -> None:
        crowd = self.crowds[0]
        for place in self._some_routers(who):
            self.nursery.start_soon(self._flood, crowd, place.door, int(trouble.value or 200), trouble.for_s)

    @staticmethod
    async def _flood(crowd: Crowd, door: Door, count: int, hold_for: float) -> None:
        await crowd.flood(door, count, hold_for)

    def _do_halves(self, trouble: Trouble, who: list[str], name: str = "halves") -> None:
        for crowd in self.crowds:
            before = getattr(crowd.habits, name)
            setattr(crowd.habits, name, trouble.value or 0.1)
            self.after(trouble.for_s, setattr, crowd.habits, name, before)

    def _do_one_off(self, trouble: Trouble, who: list[str]) -> None:
        self._do_halves(trouble, who, "one_off")

    # routers ----------------------------------------------

    def _do_kill(self, trouble: Trouble, who: list[str]) -> None:
        for place in self._some_routers(who):
            if place.machine.running and place.restart_after is None:
                place.restart_after = max(0.1, trouble.for_s)
                place.machine.kill()
                self.events.tell("down", place.machine.name, "killed")
                self.after(min(self.random_source.uniform(*NOTICED), place.restart_after), self._close_doors, place)

    def _do_restart(self, trouble: Trouble, who: list[str]) -> None:
        for place in self._some_routers(who):
            if place.machine.running and place.restart_after is None:
                place.restart_after = max(0.1, trouble.for_s)
                place.machine.signal(signal.SIGTERM)
                self.events.tell("signalled", place.machine.name, "SIGTERM")
                self.after(self.random_source.uniform(*STOPS_DIALLING), self._close_doors, place)

    def _do_reload(self, trouble: Trouble, who: list[str]) -> None:
        """Moves the router to a second agent beside it, which counts in its own way."""
        for place in self._some_routers(who):
            old = place.agent
            name = f"agent-{place.machine.name}-{self.clock.time:.3f}"
            beside = self.network.machine(name, place.machine.site)
            agent = Agent(
                beside,
                (beside.address, AGENT),
                self.clock.current_time,
                self.events,
                place.machine.name,
                [*old.rows.values()],
            )
            agent.generation = agent.first = self.random_source.randrange(1, 2000)
            place.agent = agent
            place.file.data["discovery"] = f"{beside.address}:{AGENT}"
            self.nursery.start_soon(self._process, beside, agent.run)
            place.machine.signal(signal.SIGHUP)
            self.events.tell("signalled", place.machine.name, "SIGHUP")

    def _do_list_late(self, trouble: Trouble, who: list[str]) -> None:
        for place in self._all_or(who):
            place.delay = trouble.value or 3.0
            self.after(trouble.for_s, setattr, place, "delay", 0.0)

    def _agents(self, trouble: Trouble, who: list[str], name: str) -> None:
        for place in self._all_or(who):
            setattr(place.agent, name, True)
            place.agent.wake()
            self.after(trouble.for_s, setattr, place.agent, name, False)

    def _do_list_silent(self, trouble: Trouble, who: list[str]) -> None:
        self._agents(trouble, who, "silent")

    def _do_list_broken(self, trouble: Trouble, who: list[str]) -> None:
        self._agents(trouble, who, "broken")

    def _do_list_failing(self, trouble: Trouble, who: list[str]) -> None:
        self._agents(trouble, who, "failing")

    def _do_list_over(self, trouble: Trouble, who: list[str]) -> None:
        for place in self._all_or(who):
            place.agent.start_over()

    def _do_lose(self, trouble: Trouble, who: list[str]) -> None:
        for place in self._all_or(who):
            self.network.lose_all_until[place.machine.name] = self.clock.time + trouble.for_s


def held_by(service: Service) -> dict[str, int]:
    """What a router still has when nothing is open on it, by name; all of it should be nothing."""
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
        "timers": len(router.timers) if len(router.timers) > MOST_TIMERS else 0,
        "hand-offs counted as out": sum(c.inflight for c in router.caches.values()) + router.fleet.inflight,
        "servers that are gone": max(0, len(router.caches) - 2 * listed - 4),
    }
