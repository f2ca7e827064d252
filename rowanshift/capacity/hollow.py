"""Simulated peers: a configuration and a server list of a given size, a ledger without a cloud API, and routers
without clients.

Hollow routers send real Poll records and read real Update records over loopback. The ledger is the real service
with f = 0, on one machine and without a disk.
"""

import random
from collections.abc import Callable
from typing import Any

import orjson
import trio

from rowanshift.capacity.meter import LoopbackRuntime, free_port
from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import put_version, unpack
from rowanshift.controlplane.endpoint_list import LIST_INTERVAL_SECONDS
from rowanshift.controlplane.errors import NotConfirmed, OutcomeUnknown
from rowanshift.controlplane.registered_server import RegisteredServer, parse_registered_server
from rowanshift.controlplane.replication import NotPrimary
from rowanshift.controlplane.service import ControlPlaneService
from rowanshift.dataplane.control_cache import ControlCache
from rowanshift.dataplane.control_client import LONG_POLL_SECONDS, ControlClient
from rowanshift.process.node_settings import RuleBounds, node_settings_of
from rowanshift.transport.buffer import RingBuffer
from rowanshift.transport.streams import Address, Stream, connect, receive, send_all
from rowanshift.wire.codec import FrameDecoder
from rowanshift.wire.control_updates import CONTROL_UPDATE_CODEC, Poll, Update

FIRST_ROUTER_ID = 127 << 24 | 1 << 16
PRIMARY_TIMEOUT_SECONDS = 10.0
CHANGE_TIMEOUT_SECONDS = 30.0
RETRY_INTERVAL_SECONDS = 0.1


def random_hex(random_source: random.Random, digits: int) -> str:
    return f"{random_source.getrandbits(4 * digits):0{digits}x}"


def model_names(count: int) -> list[str]:
    return [f"model-{i:02d}" for i in range(count)]


def random_tenant(random_source: random.Random) -> dict[str, Any]:
    """A tenant with one key of 128 random bits."""
    return {
        "name": f"tenant-{random_hex(random_source, 6)}",
        "apiKeys": [random_hex(random_source, 32)],
        "priority": random_source.randrange(4),
        "isolated": random_source.random() < 0.3,
    }


def random_route(random_source: random.Random, services: int) -> dict[str, Any]:
    return {
        "name": f"r-{random_hex(random_source, 7)}",
        "hostname": f"h{random_hex(random_source, 4)}.example",
        "pathPrefix": f"/{random_hex(random_source, 7)}/",
        "routeType": "streaming",
        "timeoutMs": 15000,
        "targetLatencyMs": 600,
        "priority": 1,
        "backend": f"pool-{random_source.randrange(services):02d}",
        "retries": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gap_aim_ms": 250,
    }


def generate_configuration(tenants: int, routes: int, pools: int, seed: int = 1) -> dict[str, Any]:
    """Returns a configuration of the given size; equal seeds give equal configurations."""
    random_source = random.Random(seed)
    services = [
        {
            "name": f"pool-{i:02d}",
            "healthCheck": "/health",
            "maxConnections": 360,
            "protocol": "h1",
            "engine": {"slots": 12, "models": [{"name": name}]},
        }
        for i, name in enumerate(model_names(pools))
    ]
    return {
        "revision": 1,
        "routes": [random_route(random_source, pools) for _ in range(routes)],
        "backends": services,
        "limits": {"maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [random_tenant(random_source) for _ in range(tenants)],
    }


def with_changed_tenant_key(config: dict[str, Any], revision: int) -> dict[str, Any]:
    """Returns the configuration with one tenant's key replaced, the most frequent kind of change."""
    made = config | {"revision": revision}
    if made["tenants"]:
        random_source = random.Random(revision)
        rows = list(made["tenants"])
        place = random_source.randrange(len(rows))
        rows[place] = rows[place] | {"apiKeys": [random_hex(random_source, 32)]}
        made["tenants"] = rows
    return made


def generate_server_list(servers: int, pools: int, zones: int) -> list[dict[str, Any]]:
    """Returns entries as in the platform's server list."""
    names = model_names(pools)
    return [
        {
            "id": f"i-{i * 2654435761 % (1 << 32):08x}",
            "backend": f"pool-{i % pools:02d}",
            "address": f"10.{64 + i // 60000}.{i // 250 % 240}.{i % 250 + 1}:8080",
            "zone": f"zone-{i % zones:02d}",
            "revision": "v1",
            "slots": 12,
            "state": "up",
            "warmupLeftMs": 0,
            "stage": "both",
            "models": [{"name": names[i % pools], "revision": 1, "adapters": []}],
        }
        for i in range(servers)
    ]


def generate_list_pages(entries: list[dict[str, Any]], page: int = 50) -> list[bytes]:
    """Returns the response bodies of one complete read of the server list."""
    return [
        orjson.dumps(
            {
                "instances": entries[at : at + page],
                "nextToken": None if at + page >= len(entries) else f"p-{at + page}",
            }
        )
        for at in range(0, len(entries), page)
    ]


def with_named_version(raw: bytes, model: str) -> bytes | None:
    """Returns the packed control state with version 1 set for a model, or None if it already was."""
    result = put_version(unpack(raw), model, 1)
    return None if result is None else result.pack()


class HollowLedger:
    """The real ledger service on one machine, holding a configuration, model versions and a server list."""

    def __init__(
        self, host: LoopbackRuntime, servers: int, tenants: int, routes: int, pools: int, zones: int = 10
    ) -> None:
        port, control = free_port(), free_port()
        self.host = host
        self.core_service = ControlPlaneService(
            node_settings_of(
                {
                    "nodeName": "hollow",
                    "machineClass": "core",
                    "ip": "127.0.0.1",
                    "zone": "z",
                    "bootstrap": True,
                    "listenAddresses": {"controlPlane": f"127.0.0.1:{control}"},
                    "internalPorts": [port, port + 1],
                    "seedNodes": [f"127.0.0.1:{port}"],
                }
            ),
            host,
            seed=1,
        )
        self.address: Address = ("127.0.0.1", port)
        self.entries, self.pages = generate_server_list(servers, pools, zones), []
        self.config = generate_configuration(tenants, routes, pools)
        self.models = model_names(pools)

    async def start(self, nursery: trio.Nursery) -> None:
        """Returns once the ledger is primary and holds the configuration, the versions and the server list."""
        nursery.start_soon(self.core_service.run)
        with trio.fail_after(PRIMARY_TIMEOUT_SECONDS):
            while not hasattr(self.core_service, "tasks") or not self.core_service.replica_runner.lease_remaining():
                await trio.sleep(0.02)
        await self.put_configuration(self.config)
        for name in self.models:
            await self.change(lambda raw, name=name: with_named_version(raw, name))
        nursery.start_soon(self.keep_list_applied)
        while not self.core_service.tasks.registry.serial:
            await trio.sleep(0.02)

    async def keep_list_applied(self) -> None:
        """Applies the server list whenever the registry is empty: at the start, and after the primary role was lost."""
        while True:
            self.core_service.publication.refresh()
            if not self.core_service.tasks.registry.serial and self.core_service.replica_runner.lease_remaining():
                self.core_service.tasks.registry.apply_list(self.registered_servers())
                self.core_service.updates.notify()
            await trio.sleep(LIST_INTERVAL_SECONDS if self.core_service.tasks.registry.serial else 0.1)

    def state(self) -> dict[str, Any]:
        """Returns the versions that routers must reach, and the number of the primary's epoch."""
        core_service, epoch = self.core_service, self.core_service.replica_runner.replica.record.epoch
        return {
            "registry": (epoch, core_service.tasks.registry.serial),
            "mark": core_service.publication.fingerprint,
            "epoch": epoch >> 32,
        }

    async def change(self, made: Callable[[bytes], bytes | None]) -> None:
        """Commits a change, and retries while the ledger is not primary: a stalled event loop loses the lease."""
        with trio.fail_after(CHANGE_TIMEOUT_SECONDS):
            while True:
                try:
                    await self.core_service.replica_runner.change(made, CHANGE_TIMEOUT_SECONDS)
                    return
                except (NotPrimary, NotConfirmed, OutcomeUnknown):
                    await trio.sleep(RETRY_INTERVAL_SECONDS)

    def registered_servers(self) -> list[RegisteredServer]:
        return [parse_registered_server(entry) for entry in self.entries]

    async def put_configuration(self, config: dict[str, Any]) -> None:
        body = orjson.dumps(config)

        def made(raw: bytes) -> bytes:
            control_state = unpack(raw)
            result = put_config(control_state, str(control_state.revision), body)
            return None if result is None else result.state.pack()

        await self.change(made)
        self.config = config

    async def change_config(self) -> None:
        await self.put_configuration(with_changed_tenant_key(self.config, self.config["revision"] + 1))

    async def change_roster(self) -> None:
        """Toggles the state of one server between up and draining, and applies the changed list."""
        entry = self.entries[0]
        entry["state"] = "up" if entry["state"] == "draining" else "draining"
        if self.core_service.tasks.registry.apply_list(self.registered_servers()):
            self.core_service.updates.notify()

    async def read_list(self) -> None:
        """Decodes and compares an unchanged server list, without the HTTP calls of a real read."""
        entries = []
        for body in self.pages or generate_list_pages(self.entries):
            entries += [parse_registered_server(entry) for entry in orjson.loads(body)["instances"]]
        self.core_service.tasks.registry.apply_list(entries)

    async def nothing(self) -> None:
        """Does nothing: measures the cost of a command itself."""

    def stop(self) -> None:
        self.core_service.request_shutdown(trio.current_time())


UNPACKED_UPDATES: dict[bytes, Any] = {}  # identical answers to several routers of this process
MAX_UNPACKED_UPDATES = 8
POLL_FIELDS = (
    "state_version",
    "fingerprint",
    "registry_version",
    "prefix_holdings_version",
    "peers_version",
    "announcements_version",
)  # fields that a Poll and an Update share


def unpack_update(kind: int, body: bytes) -> Any:
    """Decodes an answer. Large identical answers are decoded once, since the routers' own work is not measured."""
    if len(body) < 4096:
        return CONTROL_UPDATE_CODEC.unpack(kind, body)
    if body not in UNPACKED_UPDATES:
        if len(UNPACKED_UPDATES) >= MAX_UNPACKED_UPDATES:
            UNPACKED_UPDATES.clear()
        UNPACKED_UPDATES[body] = CONTROL_UPDATE_CODEC.unpack(kind, body)
    return UNPACKED_UPDATES[body]


class HollowRouter:
    """A router without clients. It sends real polls and keeps only the versions for its next poll."""

    def __init__(
        self, host: LoopbackRuntime, index: int, address: Address, on_update: Callable[["HollowRouter", Update], None]
    ) -> None:
        self.host, self.machine, self.address, self.on_update = host, FIRST_ROUTER_ID + index, address, on_update
        self.versions = {name: 0 if name == "fingerprint" else (0, 0) for name in POLL_FIELDS}
        self.polls = self.answers = 0

    @property
    def fingerprint(self) -> int:
        return self.versions["fingerprint"]

    @property
    def registry(self) -> tuple[int, int]:
        return self.versions["registry_version"]

    async def run(self, max_polls: int | None = None) -> None:
        """Polls until the connection ends, or ``max_polls`` times."""
        stream = self.host.stream()
        try:
            await connect(stream, self.address)
            frames, ring = FrameDecoder(), RingBuffer()
            while max_polls is None or self.polls < max_polls:
                self.polls += 1
                poll = Poll(self.machine, 1, **self.versions, long_poll_ms=int(1000 * LONG_POLL_SECONDS))
                await send_all(stream, CONTROL_UPDATE_CODEC.pack(poll, self.polls & 0xFFFFFFFF))
                answer = await self._answer(stream, frames, ring)
                if answer is None:
                    return
                self.answers += 1
                if isinstance(answer, Update):
                    self.versions = {name: getattr(answer, name) for name in POLL_FIELDS}
                    self.on_update(self, answer)
                else:
                    await trio.sleep(RETRY_INTERVAL_SECONDS)
        finally:
            stream.close()

    async def _answer(self, stream: Stream, frames: FrameDecoder, ring: RingBuffer) -> Any:
        """Returns the answer to the poll, or None at the end of the connection."""
        while True:
            if not await receive(stream, ring):
                return None
            for kind, _, body in frames.feed(ring.read()):
                return unpack_update(kind, body)


class Fleet:
    """Hollow routers in one process."""

    def __init__(self, host: LoopbackRuntime, address: Address, count: int) -> None:
        self.routers = [HollowRouter(host, i, address, self._on_update) for i in range(count)]
        self.goal: Callable[[HollowRouter], bool] = lambda router: bool(router.fingerprint and router.registry[1])
        self.pending = set(self.routers)
        self.all_reached = trio.Event()
        self.log: list[Update] | None = None  # records all answers unless it is None

    def _on_update(self, router: HollowRouter, answer: Update) -> None:
        if self.log is not None:
            self.log.append(answer)
        if router in self.pending and self.goal(router):
            self.pending.discard(router)
            if not self.pending:
                self.all_reached.set()

    async def start(self, nursery: trio.Nursery, max_polls: int | None = None) -> None:
        for router in self.routers:
            nursery.start_soon(router.run, max_polls)
            await trio.lowlevel.checkpoint()

    async def wait_for(self, goal: Callable[[HollowRouter], bool] | None, timeout_seconds: float) -> bool:
        """Waits until ``goal`` holds for every router; returns False on a time-out. ``None`` keeps the present
        goal, at first that each router has a configuration and a server list."""
        if goal is not None:
            self.goal = goal
            self.pending, self.all_reached = {router for router in self.routers if not goal(router)}, trio.Event()
        with trio.move_on_after(timeout_seconds):
            if self.pending:
                await self.all_reached.wait()
        return not self.pending

    @property
    def polls(self) -> int:
        return sum(router.polls for router in self.routers)

    @property
    def answers(self) -> int:
        return sum(router.answers for router in self.routers)


def real_channel(host: LoopbackRuntime, address: Address) -> ControlClient:
    """Returns a router's real control client, which parses the configuration and builds the hash rings."""
    random_source = random.Random(1)
    cache = ControlCache(RuleBounds(), random_source, lambda endpoint: None, lambda peers: None)
    return ControlClient(host, FIRST_ROUTER_ID, address[1], lambda: [address], cache, random_source)
