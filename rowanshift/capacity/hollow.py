"""Hollow parts: a configuration and a list of a given size, a ledger without clouds, routers without clients.

Hollow routers speak the real Poll and read the real Update over loopback; the ledger is the real one, f = 0,
one machine and no disk.
"""

import random
from collections.abc import Callable
from typing import Any

import orjson
import trio

from rowanshift.capacity.meter import Loopback, free_port
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

MACHINE = 127 << 24 | 1 << 16  # the first hollow router's
SERVES_WITHIN = 10.0  # seconds for the ledger to be primary
CHANGE_WITHIN = 30.0  # seconds for a change to be committed
AGAIN = 0.1  # seconds


def token(random_source: random.Random, digits: int) -> str:
    return f"{random_source.getrandbits(4 * digits):0{digits}x}"


def models(count: int) -> list[str]:
    return [f"model-{i:02d}" for i in range(count)]


def tenant(random_source: random.Random) -> dict[str, Any]:
    """A tenant with one key of 128 random bits."""
    return {
        "name": f"tenant-{token(random_source, 6)}",
        "apiKeys": [token(random_source, 32)],
        "priority": random_source.randrange(4),
        "isolated": random_source.random() < 0.3,
    }


def route(random_source: random.Random, services: int) -> dict[str, Any]:
    return {
        "name": f"r-{token(random_source, 7)}",
        "hostname": f"h{token(random_source, 4)}.example",
        "pathPrefix": f"/{token(random_source, 7)}/",
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


def configuration(tenants: int, routes: int, pools: int, seed: int = 1) -> dict[str, Any]:
    """A configuration of this size, the same for the same seed."""
    random_source = random.Random(seed)
    services = [
        {
            "name": f"pool-{i:02d}",
            "healthCheck": "/health",
            "maxConnections": 360,
            "protocol": "h1",
            "engine": {"slots": 12, "models": [{"name": name}]},
        }
        for i, name in enumerate(models(pools))
    ]
    return {
        "revision": 1,
        "routes": [route(random_source, pools) for _ in range(routes)],
        "backends": services,
        "limits": {"maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [tenant(random_source) for _ in range(tenants)],
    }


def changed(config: dict[str, Any], revision: int) -> dict[str, Any]:
    """The same with one tenant's key replaced, as most changes do."""
    made = config | {"revision": revision}
    if made["tenants"]:
        random_source = random.Random(revision)
        rows = list(made["tenants"])
        place = random_source.randrange(len(rows))
        rows[place] = rows[place] | {"apiKeys": [token(random_source, 32)]}
        made["tenants"] = rows
    return made


def listing(servers: int, pools: int, zones: int) -> list[dict[str, Any]]:
    """Entries of the platform's list."""
    names = models(pools)
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


def pages(entries: list[dict[str, Any]], page: int = 50) -> list[bytes]:
    """The bodies of one reading of the list."""
    return [
        orjson.dumps(
            {
                "instances": entries[at : at + page],
                "nextToken": None if at + page >= len(entries) else f"p-{at + page}",
            }
        )
        for at in range(0, len(entries), page)
    ]


def named(raw: bytes, model: str) -> bytes | None:
    """The sheet with version 1 named for a model."""
    taken = put_version(unpack(raw), model, 1)
    return None if taken is None else taken.pack()


class HollowLedger:
    """The real ledger service, one machine, filled with a configuration, versions and a list."""

    def __init__(self, host: Loopback, servers: int, tenants: int, routes: int, pools: int, zones: int = 10) -> None:
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
        self.entries, self.pages = listing(servers, pools, zones), []
        self.config = configuration(tenants, routes, pools)
        self.models = models(pools)

    async def start(self, nursery: trio.Nursery) -> None:
        """Returns once it is primary and filled."""
        nursery.start_soon(self.core_service.run)
        with trio.fail_after(SERVES_WITHIN):
            while not hasattr(self.core_service, "tasks") or not self.core_service.replica_runner.lease_remaining():
                await trio.sleep(0.02)
        await self.put(self.config)
        for name in self.models:
            await self.change(lambda raw, name=name: named(raw, name))
        nursery.start_soon(self.fill)
        while not self.core_service.tasks.registry.serial:
            await trio.sleep(0.02)

    async def fill(self) -> None:
        """Takes the list in where it is not known: at first, and after the primacy was lost."""
        while True:
            self.core_service.publication.refresh()
            if not self.core_service.tasks.registry.serial and self.core_service.replica_runner.lease_remaining():
                self.core_service.tasks.registry.apply_list(self.known())
                self.core_service.updates.notify()
            await trio.sleep(LIST_INTERVAL_SECONDS if self.core_service.tasks.registry.serial else 0.1)

    def state(self) -> dict[str, Any]:
        """What routers are to know now, and how often the primacy was taken."""
        core_service, number = self.core_service, self.core_service.replica_runner.replica.record.epoch
        return {
            "registry": (number, core_service.tasks.registry.serial),
            "mark": core_service.publication.fingerprint,
            "epoch": number >> 32,
        }

    async def change(self, made: Callable[[bytes], bytes | None]) -> None:
        """A change, again while the ledger is not primary: one whose loop stood still loses its lease."""
        with trio.fail_after(CHANGE_WITHIN):
            while True:
                try:
                    await self.core_service.replica_runner.change(made, CHANGE_WITHIN)
                    return
                except (NotPrimary, NotConfirmed, OutcomeUnknown):
                    await trio.sleep(AGAIN)

    def known(self) -> list[RegisteredServer]:
        return [parse_registered_server(entry) for entry in self.entries]

    async def put(self, config: dict[str, Any]) -> None:
        body = orjson.dumps(config)

        def made(raw: bytes) -> bytes:
            sheet = unpack(raw)
            taken = put_config(sheet, str(sheet.revision), body)
            return None if taken is None else taken.state.pack()

        await self.change(made)
        self.config = config

    async def change_config(self) -> None:
        await self.put(changed(self.config, self.config["revision"] + 1))

    async def change_roster(self) -> None:
        """One server's state turns, as the next reading of the list shows it."""
        entry = self.entries[0]
        entry["state"] = "up" if entry["state"] == "draining" else "draining"
        if self.core_service.tasks.registry.apply_list(self.known()):
            self.core_service.updates.notify()

    async def read_list(self) -> None:
        """A reading of the list that shows nothing new, without the calls: decoding and comparing."""
        entries = []
        for body in self.pages or pages(self.entries):
            entries += [parse_registered_server(entry) for entry in orjson.loads(body)["instances"]]
        self.core_service.tasks.registry.apply_list(entries)

    async def nothing(self) -> None:
        """For what a command costs by itself."""

    def stop(self) -> None:
        self.core_service.request_shutdown(trio.current_time())


UNPACKED: dict[bytes, Any] = {}  # answers that many routers of this process get alike
MOST_UNPACKED = 8
ASKED_WITH = (
    "state_version",
    "fingerprint",
    "registry_version",
    "prefix_holdings_version",
    "peers_version",
    "announcements_version",
)  # of a Poll and an Update


def unpacked(kind: int, body: bytes) -> Any:
    """The record in an answer; those alike are read once, as the routers' own work isn't measured."""
    if len(body) < 4096:
        return CONTROL_UPDATE_CODEC.unpack(kind, body)
    if body not in UNPACKED:
        if len(UNPACKED) >= MOST_UNPACKED:
            UNPACKED.clear()
        UNPACKED[body] = CONTROL_UPDATE_CODEC.unpack(kind, body)
    return UNPACKED[body]


class HollowRouter:
    """A router without clients: real polls; of the answers it keeps what it asks with next time."""

    def __init__(
        self, host: Loopback, number: int, address: Address, told: Callable[["HollowRouter", Update], None]
    ) -> None:
        self.host, self.machine, self.address, self.told = host, MACHINE + number, address, told
        self.has = {name: 0 if name == "fingerprint" else (0, 0) for name in ASKED_WITH}
        self.polls = self.answers = 0

    @property
    def fingerprint(self) -> int:
        return self.has["fingerprint"]

    @property
    def registry(self) -> tuple[int, int]:
        return self.has["registry_version"]

    async def run(self, most: int | None = None) -> None:
        """Polls, ``most`` times if that is given."""
        stream = self.host.stream()
        try:
            await connect(stream, self.address)
            frames, ring = FrameDecoder(), RingBuffer()
            while most is None or self.polls < most:
                self.polls += 1
                poll = Poll(self.machine, 1, **self.has, long_poll_ms=int(1000 * LONG_POLL_SECONDS))
                await send_all(stream, CONTROL_UPDATE_CODEC.pack(poll, self.polls & 0xFFFFFFFF))
                answer = await self._answer(stream, frames, ring)
                if answer is None:
                    return
                self.answers += 1
                if isinstance(answer, Update):
                    self.has = {name: getattr(answer, name) for name in ASKED_WITH}
                    self.told(self, answer)
                else:
                    await trio.sleep(AGAIN)
        finally:
            stream.close()

    async def _answer(self, stream: Stream, frames: FrameDecoder, ring: RingBuffer) -> Any:
        """The answer to the poll, None at the end of the connection."""
        while True:
            if not await receive(stream, ring):
                return None
            for kind, _, body in frames.feed(ring.read()):
                return unpacked(kind, body)


class Fleet:
    """Hollow routers that share a process."""

    def __init__(self, host: Loopback, address: Address, count: int) -> None:
        self.routers = [HollowRouter(host, i, address, self._heard) for i in range(count)]
        self.goal: Callable[[HollowRouter], bool] = lambda router: bool(router.fingerprint and router.registry[1])
        self.pending = set(self.routers)
        self.all = trio.Event()
        self.log: list[Update] | None = None  # of all answers, if it is given

    def _heard(self, router: HollowRouter, answer: Update) -> None:
        if self.log is not None:
            self.log.append(answer)
        if router in self.pending and self.goal(router):
            self.pending.discard(router)
            if not self.pending:
                self.all.set()

    async def start(self, nursery: trio.Nursery, most: int | None = None) -> None:
        for router in self.routers:
            nursery.start_soon(router.run, most)
            await trio.lowlevel.checkpoint()

    async def until(self, goal: Callable[[HollowRouter], bool] | None, within: float) -> bool:
        """Waits until it is true of every router, at most so many seconds; whether it is. None: they know
        something."""
        if goal is not None:
            self.goal = goal
            self.pending, self.all = {router for router in self.routers if not goal(router)}, trio.Event()
        with trio.move_on_after(within):
            if self.pending:
                await self.all.wait()
        return not self.pending

    @property
    def polls(self) -> int:
        return sum(router.polls for router in self.routers)

    @property
    def answers(self) -> int:
        return sum(router.answers for router in self.routers)


def real_channel(host: Loopback, address: Address) -> ControlClient:
    """A router's whole knowledge: the real channel, which reads the configuration and lays the rings."""
    random_source = random.Random(1)
    cache = ControlCache(RuleBounds(), random_source, lambda endpoint: None, lambda peers: None)
    return ControlClient(host, MACHINE, address[1], lambda: [address], cache, random_source)
