"""A router on loopback between stand-ins, for tests of its operation."""

import random
import socket
import time

import trio

from rowanshift.cacheproxy.config import config_of
from rowanshift.cacheproxy.service import Phase, Service
from rowanshift.emulation.demo import ask
from rowanshift.emulation.discovery import DiscoveryAgent, server_row
from rowanshift.emulation.http import SharedState
from rowanshift.emulation.servers import Cache, CacheServerTraits, Origin
from rowanshift.invariants.events import EventStream
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from tests.support.helpers import ORIGIN

RAW = {
    "categories": [
        {"name": name, "semantics": "safe", "credit": 1, "due_time_us": 500_000, "expiry_us": 1_000_000}
        for name in ("read", "write")
    ],
    "tenants": [{"name": "demo", "quota_rps": 1000}],
    "zones": ["here"],
    "kinds": ["cache", "origin"],
    "domain": {"mode": "aside", "origin_kind": 1},
    "registry_mode": "push",
    "replicas_of_me": 1,
    "ordinal": 0,
    "limits": {
        "peers": False,
        "retry_after": True,
        "max_hand_offs": 4,
        "dial_timeout_us": 250_000,
        "conn_idle_us": 60_000_000,
        "max_retry_after_us": 1_000_000,
    },
    "guarantees": {
        "ask_within_us": 1,
        "overload_factor": 4.0,
        "overload_for_us": 1,
        "start_capacity": 0.2,
        "warm_within_us": 2_000_000,
    },
}


def free_addresses(count: int = 1, kind: int = socket.SOCK_STREAM) -> list[tuple[str, int]]:
    """Unused loopback addresses."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = [sock.getsockname() for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Rig:
    """Three caches, an origin, discovery and a router with a control port, all in one process."""

    def __init__(self, nursery: trio.Nursery, ready: int = 3, **changes) -> None:
        self.nursery, self.min_ready_caches = nursery, ready  # a router counts as started with so many caches
        listen, control, agent, *addresses = free_addresses(7)
        common = time.monotonic, EventStream(time.monotonic)
        shared_state, works = SharedState(), {"read": 0.001, "write": 0.001}
        self.rows = [server_row(f"cache:{n}", addresses[n], "here", "cache") for n in range(3)]
        self.rows.append(server_row(ORIGIN, addresses[3], "here", "origin"))
        self.caches = {
            f"cache:{n}": Cache(
                SYSTEM_RUNTIME,
                addresses[n],
                *common,
                f"cache:{n}",
                CacheServerTraits(dict(works)),
                shared_state,
                random.Random(n),
            )
            for n in range(3)
        }
        self.origin = Origin(
            SYSTEM_RUNTIME,
            addresses[3],
            *common,
            ORIGIN,
            CacheServerTraits(dict(works)),
            shared_state,
            random.Random(9),
        )
        self.agent = DiscoveryAgent(SYSTEM_RUNTIME, agent, *common, "n", self.rows)
        self.data = {
            "name": "n",
            "listen": "{}:{}".format(*listen),
            "discovery": "{}:{}".format(*agent),
            "control": "{}:{}".format(*control),
            "seed": "5eed",
            "limits": {"sockets": 256, "memory_mb": 96},
            "settings": RAW,
        } | changes
        self.request_count = 0

    async def start(self) -> None:
        for server in (*self.caches.values(), self.origin, self.agent):
            self.nursery.start_soon(server.run)
        await trio.sleep(0.01)
        self.service = await self.start_router()

    async def start_router(self, **changes) -> Service:
        """Starts a router, and waits until it serves and its caches are ready."""
        service = Service(config_of(self.data | {"known": self.known_list()} | changes))
        self.nursery.start_soon(service.run)
        with trio.fail_after(5):
            while service.phase is not Phase.SERVING:
                await trio.sleep(0.005)
            while len(service.driver.router.ready) < self.min_ready_caches:
                await trio.sleep(0.005)
        return service

    def known_list(self) -> dict:
        return {"generation": 1, "reset": True, "instances": self.rows}

    async def get(self, key: str, service: Service | None = None):
        self.request_count += 1
        address = (service or self.service).config.listen
        return await ask(address, "GET", f"/read/{key}", f"t{self.request_count}")

    async def command(self, line: str | bytes, service: Service | None = None) -> str:
        """The answer of the control port to a command."""
        stream = await trio.open_tcp_stream(*(service or self.service).config.control)
        async with stream:
            await stream.send_all(line if isinstance(line, bytes) else line.encode() + b"\n")
            return (b"".join([piece async for piece in stream])).decode()

    async def metrics(self) -> dict[str, int]:
        text = await self.command("STATS")
        assert text.endswith("\nEOT\n")
        return {name: int(n) for name, n in (line.rsplit(" ", 1) for line in text.splitlines()[:-1])}


def run_with_rig(script, **changes):
    """Runs ``script`` with a started rig and returns its result."""

    async def main():
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                rig = Rig(nursery, **changes)
                await rig.start()
                result = await script(rig)
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main)
