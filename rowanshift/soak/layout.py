"""The addresses and settings files of the machines of a soak run, and the relays on the links between them.

Each machine has its own address within 127.0.0.0/8, and its own internal and control ports. A process connects to other
machines at its own port numbers, because in a real deployment all machines use the same ones; here a relay listens at
that address and port. The address thus identifies a relay's target and the port its caller, so that each link can be
cut separately.
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
    numbered_names,
    router_name,
    server_name,
)
from rowanshift.soak.relay import DatagramRelay, Relay
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

# The last numbers of the addresses.
FIRST_CORE_NUMBER, FIRST_ROUTER_NUMBER, FIRST_SERVER_NUMBER, PLATFORM_NUMBER = 1, 11, 81, 91
INTERNAL_PORT_BASE, CONTROL_PORT_BASE = 7400, 8500  # a machine's port is this plus the last number of its address
OPERATORS_CONTROL_PORT = 8699  # relays from operators to core machines
FRONT_PORT, CLIENTS_FRONT_PORT, READINESS_PORT = 8080, 8180, 8081
SERVER_PORT, SYSTEM_SERVER_PORT = 8082, 8182
PLATFORM_PORT, SYSTEM_PLATFORM_PORT = 8083, 8183
LIST_RATE_PER_S, LIST_LAG_MS = 40.0, 800.0
FAULT_TOLERANCE = 1  # machines
GRACE_S = float(BOUNDS["graceS"])
MEMORY_MB, MAX_DESCRIPTORS = 300, 4100


@dataclass(frozen=True, slots=True)
class LinkRelay:
    """A relay and the link whose traffic it forwards."""

    link: Link
    relay: Relay | DatagramRelay


class Layout:
    """The addresses and files of a run. ``net`` is the prefix of its addresses: three numbers, each with a dot."""

    def __init__(self, plan: Plan, folder: Path, net: str) -> None:
        self.folder, self.net = folder, net
        self.contracts = [COORDINATION_CONTRACT] if plan.applications else []
        self.cores, self.routers = numbered_names(core_name, plan.cores), numbered_names(router_name, plan.routers)
        self.servers = numbered_names(server_name, plan.servers)
        self.numbers = {
            **{name: FIRST_CORE_NUMBER + n for n, name in enumerate(self.cores)},
            **{name: FIRST_ROUTER_NUMBER + n for n, name in enumerate(self.routers)},
            **{name: FIRST_SERVER_NUMBER + n for n, name in enumerate(self.servers)},
            PLATFORM: PLATFORM_NUMBER,
        }

    @property
    def machines(self) -> list[str]:
        """The machines that run a process, core machines first."""
        return [*self.cores, *self.routers]

    def ip(self, name: str) -> str:
        """A machine's address."""
        return f"{self.net}{self.numbers[name]}"

    def internal(self, name: str, caller: str | None = None) -> Address:
        """A machine's internal address; with a caller, the relay at which that machine connects to it."""
        return self.ip(name), INTERNAL_PORT_BASE + self.numbers[caller or name]

    def control(self, name: str, caller: str | None = None) -> Address:
        """A core machine's control address; with a caller, the relay to which that core machine redirects operators."""
        return self.ip(name), CONTROL_PORT_BASE + self.numbers[caller or name]

    def front(self, name: str) -> Address:
        """The relay at which clients reach a router."""
        return self.ip(name), CLIENTS_FRONT_PORT

    def readiness(self, name: str) -> Address:
        """A router's readiness address, which is reached without a relay."""
        return self.ip(name), READINESS_PORT

    def server(self, name: str) -> Address:
        """The address on which a model server listens."""
        return self.ip(name), SERVER_PORT

    def listed_server(self, name: str) -> Address:
        """A model server's address in the platform's list, which is its relay."""
        return self.ip(name), SYSTEM_SERVER_PORT

    def platform(self) -> Address:
        """The address on which the platform's list of servers listens."""
        return self.ip(PLATFORM), PLATFORM_PORT

    def controls(self) -> list[Address]:
        """The relays at which operators reach the core machines."""
        return [(self.ip(name), OPERATORS_CONTROL_PORT) for name in self.cores]

    # files ------------------------------------------------

    def settings_path(self, name: str) -> Path:
        """The path of a machine's settings file."""
        return self.folder / f"{name}.json"

    def disk(self, name: str) -> Path:
        """The data folder of a core machine."""
        return self.folder / "disks" / name

    def write_settings(self, name: str, bootstrap: bool, random_source: random.Random) -> None:
        """Writes a machine's settings file, with its seed nodes in random order."""
        temporary = self.folder / f"{name}.json.new"
        temporary.write_bytes(orjson.dumps(self.settings(name, bootstrap, random_source), option=orjson.OPT_INDENT_2))
        temporary.replace(self.settings_path(name))

    def settings(self, name: str, bootstrap: bool, random_source: random.Random) -> dict[str, Any]:
        """The content of a machine's settings file."""
        ip, core = self.ip(name), name in self.cores
        port = self.internal(name)[1]
        listen = (
            {"controlPlane": "{}:{}".format(*self.control(name))}
            if core
            else {"frontend": f"{ip}:{FRONT_PORT}", "readiness": f"{ip}:{READINESS_PORT}"}
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
            "limits": {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS},
            "faultTolerance": {"machines": FAULT_TOLERANCE},
            "bounds": BOUNDS,
            "contracts": self.contracts,
            "cloudApi": {
                "address": f"{self.ip(PLATFORM)}:{SYSTEM_PLATFORM_PORT}",
                "ratePerS": LIST_RATE_PER_S,
                "maxLagMs": LIST_LAG_MS,
            },
        }

    # relays -----------------------------------------------

    def link_relays(self, host: Runtime) -> Iterator[LinkRelay]:
        """All relays of the run; the caller has to start them."""

        def stream_relay(link: Link, address: Address, target: Address) -> LinkRelay:
            return LinkRelay(link, Relay(host, address, target))

        for router in self.routers:
            yield stream_relay(Link(CLIENTS, router), self.front(router), (self.ip(router), FRONT_PORT))
        for core, address in zip(self.cores, self.controls(), strict=True):
            yield stream_relay(Link(OPERATORS, core), address, self.control(core))
        for core in self.cores:
            for caller in self.machines:
                if caller == core:
                    continue
                yield stream_relay(Link(caller, core), self.internal(core, caller), self.internal(core))
                if caller in self.cores:  # for operators that the caller redirects
                    yield stream_relay(Link(OPERATORS, core), self.control(core, caller), self.control(core))
        for server in self.servers:
            yield stream_relay(Link(SYSTEM, server), self.listed_server(server), self.server(server))
        yield stream_relay(Link(SYSTEM, PLATFORM), (self.ip(PLATFORM), SYSTEM_PLATFORM_PORT), self.platform())
        yield from self._datagram_relays(host)

    def _datagram_relays(self, host: Runtime) -> Iterator[LinkRelay]:
        for caller in self.routers:
            for target in self.routers:
                if caller != target:
                    address = self.internal(target, caller)
                    relay = DatagramRelay(host, address, self.internal(caller), self.internal(target))
                    yield LinkRelay(Link(caller, target), relay)


def relays_by_link(link_relays: list[LinkRelay]) -> Callable[[Link], list[Relay | DatagramRelay]]:
    """Returns a function that gives the relays of a link."""
    relays: dict[Link, list[Relay | DatagramRelay]] = {}
    for link_relay in link_relays:
        relays.setdefault(link_relay.link, []).append(link_relay.relay)
    return lambda link: relays[link]
