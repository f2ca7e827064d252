"""Simulation of the complete system on a virtual network and clock.

The programs of the core machines and the routers are the real ones. The platform, the model servers, the clients and
the operators are emulated. Faults are injected into the machines, and the rules judge the recorded events. Times are
in seconds of the virtual clock.

A run is a coroutine that takes a ``Fleet``: ``play`` builds a fleet, runs the coroutine, and returns its result and
the fleet. The same seed gives the same recorded events. Settings, machines, faults, load, and which violations the
faults allow are in the other ``fleet_*`` modules.
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
from rowanshift.invariants.breaches import Violation
from rowanshift.invariants.coordination_rules import check_coordination
from rowanshift.invariants.facts import Fact
from rowanshift.process.node_settings import COORDINATION_CONTRACT
from rowanshift.simulation.clock import DeterministicScheduling, VirtualClock
from rowanshift.simulation.fleet_excuses import FaultHistory, find_breaches, known_faults
from rowanshift.simulation.fleet_load import FleetLoad
from rowanshift.simulation.fleet_machines import FaultRecord, Unit
from rowanshift.simulation.fleet_settings import (
    APPLY_SECONDS,
    BOUNDS,
    CONTROL,
    DRAIN,
    FRONT,
    HISTORY,
    INNER,
    LIST_PORT,
    MAX_FAILED_PROBES,
    MODEL,
    ONCE,
    PROBE_SECONDS,
    READY,
    REPEATED,
    RESUMED,
    RULES,
    SERVER_PORT,
    SERVICE,
    START_SPREAD_SECONDS,
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
    "APPLY_SECONDS",
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
    """A simulated system with its machines, faults, load and recorded events.

    ``f`` core machines and ``lost_zones`` zones may be lost at once. ``counts``: whether the first core machines are
    quorum members. ``revoke``: seconds for which any machine may still accept a revoked key; 0 means no bound.
    ``coordinated``: whether applications may use locks, numbers and keys. ``traits`` are those of the model servers.
    Zones are sites of the network; clients have a site of their own.
    """

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
        self.fault_records: list[FaultRecord] = []
        self.open: dict[tuple[str, str], FaultRecord] = {}  # that have not ended, by kind and machine
        self.ended: list[tuple[float, str, str]] = []  # programs that ended unexpectedly: time, machine, reason
        self.patrons: list[Patron] = []
        self.revision = self.sent = 0  # of the configuration acknowledged last, and the highest one sent
        self.traits = dict(slots=8, queue=8, kv_tokens=20_000, load=0.4, gap=0.01, prefill=0.00002) | traits

        self.outside = self.standing("outside", zones)
        self.platform = self.standing("platform", zones)
        self.listing = PlatformList(self.platform, (self.platform.address, LIST_PORT), 40, 800, self.now, self.facts)
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
        """Return the seconds since the start of the run."""
        return self.clock.time

    def standing(self, name: str, zone: int) -> Machine:
        """Add a machine that is not part of the system, and into which no faults are injected."""
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
                "cloudApi": {"address": f"{self.platform.address}:{LIST_PORT}", "ratePerS": 40, "maxLagMs": 800},
            },
        )

    def spare(self, counts: bool = True) -> Unit:
        """Start another core machine, with an empty disk. Operators find it by a 307 response."""
        n, seeds = len(self.cores), self.cores[0].boot["seedNodes"]
        unit = self._unit(self.network.machine(f"core-{n}", n % self.zones), True, seeds)
        unit.boot |= {"bootstrap": False, "quorumMember": counts}
        self.cores.append(unit)
        self.units.append(unit)
        self._record_moment("started", unit)
        self.nursery.start_soon(self._keep_running, unit, 0.0)
        return unit

    def server(self, service: str = SERVICE) -> ModelServer:
        """Start another model server, and add it to the platform's list."""
        n = len(self.servers)
        machine = self.network.machine(f"server-{n}", n % self.zones)
        model_server = ModelServer(
            machine,
            (machine.address, SERVER_PORT),
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
        self.servers.append(model_server)
        self.nursery.start_soon(machine.run, model_server.run)
        self.listing.add(model_server)
        return model_server

    # running ----------------------------------------------

    async def start(self, config: dict[str, Any] | None = None) -> None:
        """Start all machines on empty disks and put the first configuration; return when the routers are ready."""
        for unit in self.units:
            self.nursery.start_soon(self._keep_running, unit, START_SPREAD_SECONDS * self.random_source.random())
        for unit in self.routers:
            self.nursery.start_soon(self._probe_readiness, unit)
        await self.put(config or config_of(1))
        await self.until(lambda: all(unit.program and unit.program.ready() for unit in self.routers))
        for unit in self.units:
            unit.boot["bootstrap"] = False

    async def _probe_readiness(self, unit: Unit) -> None:
        """The platform's load balancer: it sends new connections only to routers that report readiness."""
        address, front, failures = (unit.machine.address, READY), (unit.machine.address, FRONT), 0
        while True:
            await trio.sleep(PROBE_SECONDS)
            try:
                answer = await call(
                    self.outside, self.memory, address, b"GET", b"/readiness", timeout_seconds=PROBE_SECONDS
                )
                failures = 0 if answer.status == 200 else failures + 1
            except CallFailed:
                failures += 1
            if not failures and front not in self.ready:
                self.ready.append(front)
            elif failures >= MAX_FAILED_PROBES and front in self.ready and len(self.ready) > 1:
                self.ready.remove(front)

    def breaches(self) -> list[Violation]:
        """Return the rule violations that the faults do not allow. No fault allows one of a coordination rule."""
        found = find_breaches(
            self.facts, self._names_by_address(), FaultHistory(self.fault_records, self.f), self.rules
        )
        return [*found, *check_coordination(self.facts, HISTORY)]

    def violations(self) -> list[Violation]:
        """Return the requests and calls that did not end as they must, by the records of the machines that read them.

        Those that an unplanned fault allows are left out.
        """
        return rules.ended(self.facts, known_faults(self._names_by_address(), FaultHistory(self.fault_records, self.f)))

    def _names_by_address(self) -> dict[str, str]:
        """Machine names by the address for clients or operators."""
        return {unit.front or unit.control: unit.name for unit in self.units}

    def of(self, kind: type[rules.F]) -> list[rules.F]:
        """Return the recorded events of one type."""
        return rules.of_kind(self.facts, kind)


class ViolatedOutcomes(Exception):
    """Requests or calls of a run were closed in a way that the rules forbid."""


def play(
    main: Callable[[Fleet], Awaitable[T]], seed: str = "f", within: float = 300.0, strict: bool = True, **options: Any
) -> tuple[T, Fleet]:
    """Run ``main(fleet)`` to its end, for ``within`` virtual seconds at most; return its result and the fleet.

    Raises ``ViolatedOutcomes`` if requests or calls did not end as they must. Without ``strict``, the caller finds
    them among the violations instead.
    """
    clock = VirtualClock()

    async def run_fleet() -> tuple[T, Fleet]:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, clock, seed, **options)
            with trio.fail_after(within):
                result = await main(fleet)
            facts_of_run = list(fleet.facts)  # events caused by the cancellation below do not count
            nursery.cancel_scope.cancel()
        fleet.facts[:] = facts_of_run
        return result, fleet

    with DeterministicScheduling(seed):
        result, fleet = trio.run(run_fleet, clock=clock)
    if strict and (violations := fleet.violations()):
        raise ViolatedOutcomes("; ".join(map(str, violations)))
    return result, fleet
