"""Which addresses the machines of a soak run have, their settings files, and where relays stand between them.

Each machine has an address of its own within 127.0.0.0/8, and internal and control ports of its own. A process
dials other machines at its own ports, as all machines of a real deployment have the same; here a relay stands there.
So the address tells a relay's target, the port tells its caller, and each link can be cut by itself.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from rowanshift.process.node_settings import COORDINATION_CONTRACT
from rowanshift.simulation.fleet_settings import BOUNDS
from rowanshift.soak.plan import (
    CLIENTS,
    OPERATORS,
    PLATFORM,
    SYSTEM,
    Link,
    Plan,
    core_name,
    names,
    router_name,
    server_name,
)
from rowanshift.soak.relay import DatagramRelay, Relay
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

FIRST_CORE, FIRST_ROUTER, FIRST_SERVER, PLATFORM_NUMBER = 1, 11, 81, 91  # last numbers of the addresses
INTERNAL, CONTROL = 7400, 8500  # ports; a machine's own is so much above as its last number
OPERATORS_CONTROL = 8699  # where operators call core machines
FRONT, CLIENTS_FRONT, READINESS = 8080, 8180, 8081
SERVED, SYSTEM_SERVED = 8082, 8182
LISTED, SYSTEM_LISTED = 8083, 8183
LIST_RATE, LIST_LAG_MS = 40.0, 800.0
FAULT_TOLERANCE = 1  # machines
GRACE = float(BOUNDS["graceS"])  # seconds
MEMORY_MB, DESCRIPTORS = 300, 4100


@dataclass(frozen=True, slots=True)
class Wire:
    """A relay and the link that it carries."""

    link: Link
    relay: Relay | DatagramRelay


class Layout:
    """The addresses of a run under ``net``, the first three numbers of its addresses with their dots."""

    def __init__(self, plan: Plan, folder: Path, net: str) -> None:
        self.folder, self.net = folder, net
        self.contracts = [COORDINATION_CONTRACT] if plan.applications else []
        self.cores, self.routers = names(core_name, plan.cores), names(router_name, plan.routers)
        self.servers = names(server_name, plan.servers)
        self.numbers = {
            **{name: FIRST_CORE + n for n, name in enumerate(self.cores)},
            **{name: FIRST_ROUTER + n for n, name in enumerate(self.routers)},
            **{name: FIRST_SERVER + n for n, name in enumerate(self.servers)},
            PLATFORM: PLATFORM_NUMBER,
        }

    @property
    def machines(self) -> list[str]:
        """The machines that run a process, core first."""
        return [*self.cores, *self.routers]

    def ip(self, name: str) -> str:
        """A machine's address."""
        return f"{self.net}{self.numbers[name]}"

    def internal(self, name: str, caller: str | None = None) -> Address:
        """A machine's internal address, or where a caller dials it."""
        return self.ip(name), INTERNAL + self.numbers[caller or name]

    def control(self, name: str, caller: str | None = None) -> Address:
        """A core machine's control address, or the one that another core machine redirects to."""
        return self.ip(name), CONTROL + self.numbers[caller or name]

    def front(self, name: str) -> Address:
        """Where clients call a router."""
        return self.ip(name), CLIENTS_FRONT

    def readiness(self, name: str) -> Address:
        """Where a router says whether it is ready; no relay stands there."""
        return self.ip(name), READINESS

    def server(self, name: str) -> Address:
        """Where a model server listens."""
        return self.ip(name), SERVED

    def listed(self, name: str) -> Address:
        """Where the platform's list says that a model server is."""
        return self.ip(name), SYSTEM_SERVED

    def platform(self) -> Address:
        """Where the platform's list listens."""
        return self.ip(PLATFORM), LISTED

    def controls(self) -> list[Address]:
        """Where operators call the core."""
        return [(self.ip(name), OPERATORS_CONTROL) for name in self.cores]

    # files ------------------------------------------------

    def settings_path(self, name: str) -> Path:
        """A machine's settings file."""
        return self.folder / f"{name}.json"

    def disk(self, name: str) -> Path:
        """A core machine's disk."""
        return self.folder / "disks" / name

    def write_settings(self, name: str, bootstrap: bool, random_source: random.Random) -> None:
        """Writes a machine's settings file; the seeds come in any order."""
        made = self.folder / f"{name}.json.new"
        made.write_bytes(orjson.dumps(self.settings(name, bootstrap, random_source), option=orjson.OPT_INDENT_2))
        made.replace(self.settings_path(name))

    def settings(self, name: str, bootstrap: bool, random_source: random.Random) -> dict[str, Any]:
        """What a machine's settings file holds."""
        ip, core = self.ip(name), name in self.cores
        port = self.internal(name)[1]
        listen = (
            {"controlPlane": "{}:{}".format(*self.control(name))}
            if core
            else {"frontend": f"{ip}:{FRONT}", "readiness": f"{ip}:{READINESS}"}
        )
        seeds = random_source.sample(self.cores, len(self.cores))
        return {
            "nodeName": name,
            "machineClass": "core" if core else "edge",
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "listenAddresses": listen,
            "internalPorts": [port, port],
            "bootstrap": bootstrap and core,
            "quorumMember": core,
            "seedNodes": ["{}:{}".format(*self.control(seed)) for seed in seeds],
            "dataDir": str(self.disk(name)) if core else None,
            "limits": {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS},
            "faultTolerance": {"machines": FAULT_TOLERANCE},
            "bounds": BOUNDS,
            "contracts": self.contracts,
            "cloudApi": {
                "address": f"{self.ip(PLATFORM)}:{SYSTEM_LISTED}",
                "ratePerS": LIST_RATE,
                "maxLagMs": LIST_LAG_MS,
            },
        }

    # relays -----------------------------------------------

    def wires(self, host: Runtime) -> Iterator[Wire]:
        """All relays of the run, not running yet."""

        def relay(link: Link, address: Address, target: Address) -> Wire:
            return Wire(link, Relay(host, address, target))

        for router in self.routers:
            yield relay(Link(CLIENTS, router), self.front(router), (self.ip(router), FRONT))
        for core, address in zip(self.cores, self.controls(), strict=True):
            yield relay(Link(OPERATORS, core), address, self.control(core))
        for core in self.cores:
            for caller in self.machines:
                if caller == core:
                    continue
                yield relay(Link(caller, core), self.internal(core, caller), self.internal(core))
                if caller in self.cores:  # an operator whom the caller has redirected
                    yield relay(Link(OPERATORS, core), self.control(core, caller), self.control(core))
        for server in self.servers:
            yield relay(Link(SYSTEM, server), self.listed(server), self.server(server))
        yield relay(Link(SYSTEM, PLATFORM), (self.ip(PLATFORM), SYSTEM_LISTED), self.platform())
        yield from self._datagrams(host)

    def _datagrams(self, host: Runtime) -> Iterator[Wire]:
        for caller in self.routers:
            for target in self.routers:
                if caller != target:
                    address = self.internal(target, caller)
                    relay = DatagramRelay(host, address, self.internal(caller), self.internal(target))
                    yield Wire(Link(caller, target), relay)


def relays_by_link(wires: list[Wire]) -> Callable[[Link], list[Relay | DatagramRelay]]:
    """What gives the relays that carry a link."""
    carried: dict[Link, list[Relay | DatagramRelay]] = {}
    for wire in wires:
        carried.setdefault(wire.link, []).append(wire.relay)
    return lambda link: carried[link]
