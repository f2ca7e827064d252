"""The whole system in the virtual network: the ledger on its core machines and the routers, as they are,
between stand-ins of the platform, the model servers, the clients and the operator; the troubles that befall
them; and what the rules say of it. Times are in seconds by the network's clock.

A run is a coroutine that takes a ``Fleet``: ``play`` builds one, runs it, and gives what it returned and the
fleet. The same seed gives the same facts. Settings, machines, troubles, load and excuses have modules of their own.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, TypeVar

import trio

from rowanshift.emulation.model_server import ModelServer, Registry, Traits
from rowanshift.emulation.platform import PlatformList
from rowanshift.emulation.system_clients import Operator, Patron
from rowanshift.invariants import system as rules
from rowanshift.invariants.breaches import Breach
from rowanshift.invariants.coordination_rules import coordination
from rowanshift.invariants.facts import Fact
from rowanshift.process.node_settings import COORDINATION_CONTRACT
from rowanshift.simulation.clock import Determined, VirtualClock
from rowanshift.simulation.fleet_excuses import Excuses, breaches, troubles_of
from rowanshift.simulation.fleet_load import FleetLoad
from rowanshift.simulation.fleet_machines import Trouble, Unit
from rowanshift.simulation.fleet_settings import (
    APPLY,
    BOUNDS,
    CONTROL,
    DRAIN,
    FRONT,
    HISTORY,
    INNER,
    LISTED,
    MISSES,
    MODEL,
    ONCE,
    PROBE,
    READY,
    REPEATED,
    RESUMED,
    RULES,
    SERVED,
    SERVICE,
    START_APART,
    VERSION,
    config_of,
    routes_of,
)
from rowanshift.simulation.machine import Machine
from rowanshift.simulation.network import Network, Paths
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.memory_budget import MemoryBudget

T = TypeVar("T")

__all__ = [
    "APPLY",
    "DRAIN",
    "ONCE",
    "REPEATED",
    "RESUMED",
    "SERVICE",
    "VERSION",
    "Fleet",
    "ViolatedOutcomes",
    "config_of",
    "play",
    "routes_of",
]


class Fleet(FleetLoad):
    """``f`` core machines and ``lost_zones`` zones may be lost at once; ``counts``: whether the first core machines
    are among those of which this speaks. ``revoke``: seconds for which any machine may use a key that was taken away;
    0: there is no such bound. ``coordinated``: applications may call for locks, numbers and keys. Zones are sites of
    the network; clients have their own."""

    def __init__(
        self,
        nursery: trio.Nursery,
        clock: VirtualClock,
        seed: str,
        routers: int = 2,
        cores: int = 3,
        servers: int = 3,
        f: int = 1,
        zones: int = 3,
        revoke: float = 0.0,
        lost_zones: int = 0,
        counts: bool = True,
        coordinated: bool = False,
        **traits: Any,
    ) -> None:
        self.lost_zones, self.counts = lost_zones, counts
        self.contracts = [COORDINATION_CONTRACT] if coordinated else []
        self.nursery, self.clock, self.seed, self.f, self.zones = nursery, clock, seed, f, zones
        self.bounds = BOUNDS | {"revokeStrict": revoke > 0, "revokeMs": 1000 * revoke}
        self.rules = replace(RULES, revoke=revoke or None)
        self.random_source = random.Random(f"{seed}/fleet")
        self.network = Network(clock, seed, Paths(within=0.0004, across=0.003, jitter=0.2, partial=0.02))
        self.facts: list[Fact] = []
        self.registry, self.memory = Registry(), MemoryBudget(4096)
        self.troubles: list[Trouble] = []
        self.open: dict[tuple[str, str], Trouble] = {}  # that have not ended, by what and the machine
        self.ended: list[tuple[float, str, str]] = []  # programs that ended by themselves: when, whose, why
        self.patrons: list[Patron] = []
        self.revision = self.sent = 0  # acknowledged last, and sent last
        self.traits = dict(slots=8, queue=8, kv_tokens=20_000, load=0.4, gap=0.01, prefill=0.00002) | traits

        self.outside = self.standing("outside", zones)
        self.platform = self.standing("platform", zones)
        self.listing = PlatformList(self.platform, (self.platform.address, LISTED), 40, 800, self.now, self.facts)
        self.nursery.start_soon(self.platform.run, self.listing.run)
        machines = [self.network.machine(f"core-{n}", n % zones) for n in range(cores)]
        seeds = [f"{machine.address}:{CONTROL}" for machine in machines[:3]]
        self.cores = [self._unit(machine, True, seeds) for machine in machines]
        self.routers = [
            self._unit(self.network.machine(f"router-{n}", n % zones), False, seeds) for n in range(routers)
        ]
        self.units = [*self.cores, *self.routers]
        self.fronts = [(unit.machine.address, FRONT) for unit in self.routers]
        self.ready = list(self.fronts)
        self.servers: list[ModelServer] = []
        for _ in range(servers):
            self.server()
        controls = [(unit.machine.address, CONTROL) for unit in self.cores]
        self.operators = [
            Operator(
                self.outside,
                f"op{n}",
                self.now,
                self.facts,
                controls,
                random.Random(f"{seed}/operator/{n}"),
                self.registry,
            )
            for n in range(2)
        ]
        self.operator = self.operators[0]

    def now(self) -> float:
        return self.clock.time

    def standing(self, name: str, zone: int) -> Machine:
        """A machine of the world outside, which no trouble befalls."""
        machine = self.network.machine(name, zone, allowed=100_000)
        machine.running = True
        return machine

    def _unit(self, machine: Machine, core: bool, seeds: list[str]) -> Unit:
        ip = machine.address
        listen = (
            {"controlPlane": f"{ip}:{CONTROL}"} if core else {"frontend": f"{ip}:{FRONT}", "readiness": f"{ip}:{READY}"}
        )
        return Unit(
            machine,
            machine.site,
            core,
            {
                "nodeName": machine.name,
                "machineClass": "core" if core else "edge",
                "ip": ip,
                "zone": f"z{machine.site}",
                "region": "r",
                "zones": {f"z{n}": "r" for n in range(self.zones)},
                "listenAddresses": listen,
                "internalPorts": INNER,
                "seedNodes": seeds,
                "bootstrap": True,
                "dataDir": "/data" if core else None,
                "quorumMember": core and self.counts,
                "faultTolerance": {"machines": self.f, "zones": self.lost_zones},
                "bounds": self.bounds,
                "contracts": self.contracts,
                "cloudApi": {"address": f"{self.platform.address}:{LISTED}", "ratePerS": 40, "maxLagMs": 800},
            },
        )

    def spare(self, counts: bool = True) -> Unit:
        """One more core machine, with an empty disk, started now. Operators find it by a 307."""
        n, seeds = len(self.cores), self.cores[0].boot["seedNodes"]
        unit = self._unit(self.network.machine(f"core-{n}", n % self.zones), True, seeds)
        unit.boot |= {"bootstrap": False, "quorumMember": counts}
        self.cores.append(unit)
        self.units.append(unit)
        self._mark("started", unit)
        self.nursery.start_soon(self._live, unit, 0.0)
        return unit

    def server(self, service: str = SERVICE) -> ModelServer:
        """One more model server, in the list from now on."""
        n = len(self.servers)
        machine = self.network.machine(f"server-{n}", n % self.zones)
        made = ModelServer(
            machine,
            (machine.address, SERVED),
            f"i-{n}",
            service,
            self.now,
            self.facts,
            self.registry,
            {MODEL: 1},
            Traits(**self.traits),
            f"z{machine.site}",
            "r",
            random.Random(f"{self.seed}/server/{n}"),
        )
        self.servers.append(made)
        self.nursery.start_soon(machine.run, made.run)
        self.listing.add(made)
        return made

    # the life of a program --------------------------------

    async def start(self, config: dict[str, Any] | None = None) -> None:
        """Starts all on empty disks, and gives the first configuration; ready when this returns."""
        for unit in self.units:
            self.nursery.start_soon(self._live, unit, START_APART * self.random_source.random())
        for unit in self.routers:
            self.nursery.start_soon(self._probe, unit)
        await self.put(config or config_of(1))
        await self.until(lambda: all(unit.program and unit.program.ready() for unit in self.routers))
        for unit in self.units:
            unit.boot["bootstrap"] = False

    async def _probe(self, unit: Unit) -> None:
        """The platform's balancer: new connections go only to routers that say that they are ready."""
        address, front, missed = (unit.machine.address, READY), (unit.machine.address, FRONT), 0
        while True:
            await trio.sleep(PROBE)
            try:
                answer = await call(self.outside, self.memory, address, b"GET", b"/readiness", timeout_seconds=PROBE)
                missed = 0 if answer.status == 200 else missed + 1
            except CallFailed:
                missed += 1
            if not missed and front not in self.ready:
                self.ready.append(front)
            elif missed >= MISSES and front in self.ready and len(self.ready) > 1:
                self.ready.remove(front)

    def breaches(self) -> list[Breach]:
        """The rules that were broken, but for what troubles excuse; none excuses those of coordination."""
        found = breaches(self.facts, self._names(), Excuses(self.troubles, self.f), self.rules)
        return [*found, *coordination(self.facts, HISTORY)]

    def violations(self) -> list[Breach]:
        """Requests and calls that did not end as they must, by the count of the machines that had read them, but for
        what unplanned troubles excuse."""
        return rules.ended(self.facts, troubles_of(self._names(), Excuses(self.troubles, self.f)))

    def _names(self) -> dict[str, str]:
        """Machines' names by the address that clients or operators ask."""
        return {unit.front or unit.control: unit.name for unit in self.units}

    def of(self, kind: type[rules.F]) -> list[rules.F]:
        return rules.of_kind(self.facts, kind)


class ViolatedOutcomes(Exception):
    """Requests or calls of a run did not end as they must."""


def play(
    main: Callable[[Fleet], Awaitable[T]], seed: str = "f", within: float = 300.0, strict: bool = True, **given: Any
) -> tuple[T, Fleet]:
    """Runs ``main(fleet)`` to its end, for ``within`` virtual seconds at most. ``ViolatedOutcomes`` if requests or
    calls did not end as they must; without ``strict`` that is left to whoever asks for the breaches, which name them
    too."""
    clock = VirtualClock()

    async def all_of_it() -> tuple[T, Fleet]:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, clock, seed, **given)
            with trio.fail_after(within):
                result = await main(fleet)
            kept = list(fleet.facts)  # what the end of the run does is no fact
            nursery.cancel_scope.cancel()
        fleet.facts[:] = kept
        return result, fleet

    with Determined(seed):
        result, fleet = trio.run(all_of_it, clock=clock)
    if strict and (violations := fleet.violations()):
        raise ViolatedOutcomes("; ".join(map(str, violations)))
    return result, fleet
