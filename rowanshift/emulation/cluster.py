"""``rowanshift demo``: a small whole system on loopback in one process, and one streamed request shown.

Three core machines, two routers, three stand-in model servers and the platform's list, each at an address
of its own within 127.0.0.0/8, so that they can have the same ports as machines have.
"""

import random
import signal
import sys
import tempfile
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any
from weakref import WeakSet

import httptools
import orjson
import trio
from loguru import logger

from rowanshift.controlplane.machine_disk import SystemCoreRuntime
from rowanshift.controlplane.service import ControlPlaneService
from rowanshift.dataplane.service import DataPlaneService
from rowanshift.emulation.model_server import ModelServer, Registry
from rowanshift.emulation.platform import PlatformList
from rowanshift.emulation.system_clients import Operator, StreamReader, Try
from rowanshift.process.error_groups import first_of
from rowanshift.process.logs import log_to_stderr
from rowanshift.process.node_settings import load_node_settings
from rowanshift.transport.streams import Address, Listener, Stream, connect, send_all
from rowanshift.wire.machine_ids import ip_from_machine_id

NET = "127.0.0."  # the addresses' beginning
CORE, ROUTERS, SERVERS, PLATFORM = (1, 2, 3), (11, 12), (21, 22, 23), 31  # their last numbers
INNER, CONTROL, FRONT, READINESS, SERVER, LIST = (7400, 7401), 8500, 8080, 8081, 8082, 8083  # ports
LIST_RATE, LIST_LAG_MS = 4.0, 100.0
MODEL, HOST, PREFIX, KEY = "demo-model", "demo.example", "/chat/", "demo-key"
CONFIG: dict[str, Any] = {
    "revision": 1,
    "routes": [
        {
            "name": "chat",
            "hostname": HOST,
            "pathPrefix": PREFIX,
            "routeType": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 600,
            "priority": 1,
            "backend": "chat",
            "retries": 2,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 250,
        }
    ],
    "backends": [
        {
            "name": "chat",
            "healthCheck": "/health",
            "maxConnections": 360,
            "engine": {"slots": 4, "models": [{"name": MODEL}]},
        }
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "demo", "apiKeys": [KEY]}],
}
PROMPT, OUT = "a1:40,b2:10", 20  # parts with their tokens; tokens out
START_WITHIN = 20.0  # seconds until everything serves
LOOK = 0.01  # seconds
FACTS = 1000  # of the stand-ins that are kept

say = partial(print, flush=True)  # also into a pipe, while it goes on


class Inside(SystemCoreRuntime):
    """The machine, for services that share a process and are ended by it; ``close`` closes what they left."""

    def __init__(self) -> None:
        self.opened: WeakSet = WeakSet()  # streams and listeners

    def stream(self) -> Stream:
        self.opened.add(made := super().stream())
        return made

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener:
        self.opened.add(made := super().listen(address, backlog, shared))
        return made

    def close(self) -> None:
        for thing in [*self.opened]:
            thing.close()

    @contextmanager
    def signals(self) -> Iterator[AsyncIterator[int]]:
        async def none() -> AsyncIterator[int]:
            await trio.sleep_forever()
            yield 0

        yield none()

    def settled(self) -> None:
        """The process is not one service's alone."""


class SmallSystem:
    """All parts on real loopback sockets. ``folder`` gets settings files and the core's data."""

    def __init__(self, folder: Path, net: str = NET, clock: Callable[[], float] = trio.current_time) -> None:
        self.folder, self.net = folder, net
        self.host = Inside()
        self.facts: deque = deque(maxlen=FACTS)
        self.registry = Registry()
        self.random_source = random.Random()
        common = clock, self.facts
        self.platform = PlatformList(self.host, (f"{net}{PLATFORM}", LIST), LIST_RATE, LIST_LAG_MS, *common)
        self.servers = [
            ModelServer(self.host, (f"{net}{n}", SERVER), f"server-{n}", "chat", *common, self.registry, {MODEL: 1})
            for n in SERVERS
        ]
        self.core_services = [
            ControlPlaneService(load_node_settings(self.settings("core", n)), self.host) for n in CORE
        ]
        self.routers = [DataPlaneService(load_node_settings(self.settings("edge", n)), self.host) for n in ROUTERS]
        self.controls = [(f"{net}{n}", CONTROL) for n in CORE]
        self.fronts = [(f"{net}{n}", FRONT) for n in ROUTERS]
        self.operator = Operator(self.host, "operator", *common, self.controls, self.random_source, self.registry)

    def settings(self, kind: str, number: int) -> Path:
        """Writes the settings file of a machine, as the platform does."""
        ip = f"{self.net}{number}"
        listen = (
            {"controlPlane": f"{ip}:{CONTROL}"}
            if kind == "core"
            else {"frontend": f"{ip}:{FRONT}", "readiness": f"{ip}:{READINESS}"}
        )
        made = {
            "nodeName": f"{kind}-{number}",
            "machineClass": kind,
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "listenAddresses": listen,
            "internalPorts": INNER,
            "bootstrap": kind == "core",
            "seedNodes": [f"{self.net}{n}:{CONTROL}" for n in CORE],
            "faultTolerance": {"machines": 1},
            "cloudApi": {"address": f"{self.net}{PLATFORM}:{LIST}", "ratePerS": LIST_RATE, "maxLagMs": LIST_LAG_MS},
        }
        if kind == "core":
            made["dataDir"] = str(self.folder / f"core-{number}")
        path = self.folder / f"{kind}-{number}.json"
        path.write_bytes(orjson.dumps(made, option=orjson.OPT_INDENT_2))
        return path

    async def run(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                for part in (self.platform, *self.servers, *self.core_services, *self.routers):
                    nursery.start_soon(part.run)
                for server in self.servers:
                    self.platform.add(server)
        finally:
            for core_service in self.core_services:
                if (node := getattr(core_service, "replica_runner", None)) is not None and node.disk is not None:
                    node.disk.close()
                if core_service.coordination is not None and core_service.coordination.replica_runner.disk is not None:
                    core_service.coordination.replica_runner.disk.close()
            self.host.close()

    # what to wait for -------------------------------------

    async def primary(self) -> ControlPlaneService:
        """The core machine that is primary, once there is one that may also order."""
        while True:
            for core_service in self.core_services:
                if (node := getattr(core_service, "replica_runner", None)) is not None and node.lease_remaining():
                    return core_service
            await trio.sleep(LOOK)

    async def serving(self) -> None:
        """Until each router is ready: it has a configuration and knows of servers."""
        while not all(hasattr(router, "control_client") and router.ready() for router in self.routers):
            await trio.sleep(LOOK)


class Printed(StreamReader):
    """Prints each event as it comes."""

    def _event(self, event: bytes) -> None:
        super()._event(event)
        piece = self.attempt.pieces[-1]
        took = 1000 * (piece.at - self.attempt.asked_at)
        made = f"tokens {piece.first + 1} to {piece.last} of run {piece.run}"
        say(f"  {took:7.1f} ms  id {piece.last:3}  {made}" + ("  (the last)" if piece.final else ""))


async def stream(system: SmallSystem, front: Address) -> Try:
    """One streamed request at a router, printed event by event."""
    now = trio.current_time
    attempt = Try("demo-1", front, now())
    reader = Printed(attempt, now, system.facts)
    body, sock, space = b"{}", system.host.stream(), memoryview(bytearray(1 << 16))
    head = (
        f"POST {PREFIX}hello HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {attempt.id}\r\n"
        f"Authorization: Bearer {KEY}\r\nModel-Name: {MODEL}\r\nToken-Count: 50,{OUT}\r\n"
        f"Prompt-Prefix: {PROMPT}\r\nDeadline-Remaining: 5000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        await connect(sock, front)
        await send_all(sock, head.encode() + body)
        while not reader.whole:
            await sock.wait_readable()
            try:
                n = sock.recv_into(space)
            except BlockingIOError:
                continue
            if not n:
                raise ConnectionResetError("the router ended the connection")
            reader.feed(bytes(space[:n]))
    except httptools.HttpParserError as error:
        raise ConnectionResetError(f"no answer that can be read: {error}") from error
    finally:
        sock.close()
    return attempt


async def show(system: SmallSystem) -> None:
    began = trio.current_time()
    say(
        f"{len(CORE)} core machines, {len(ROUTERS)} routers, {len(SERVERS)} stand-in model servers and the "
        f"platform's list start at {system.net}x"
    )
    core_service = await system.primary()
    record = core_service.replica_runner.replica.record
    say(
        f"Primary: {core_service.settings.ip}, epoch {record.epoch}; "
        f"in sync: {', '.join(map(ip_from_machine_id, record.in_sync))}; "
        f"witnesses: {', '.join(map(ip_from_machine_id, record.witnesses))}"
    )
    status = await system.operator.put_config(CONFIG, 0)
    if status != 200:
        raise ConnectionRefusedError(f"the configuration was answered {status}")
    say(f"The operator's PUT /config: {status}; revision 1 is on {len(record.in_sync)} disks")
    await system.serving()
    fronts = " and ".join("{}:{}".format(*front) for front in system.fronts)
    say(f"Ready after {trio.current_time() - began:.1f} s: {fronts}")
    say("POST {}hello at {}:{}".format(PREFIX, *system.fronts[0]))
    attempt = await stream(system, system.fronts[0])
    say(f"  {attempt.status}, {len(attempt.pieces)} events")
    if attempt.status != 200:
        raise ConnectionRefusedError(f"the request was answered {attempt.status}")


def hints(system: SmallSystem) -> str:
    controls = ",".join("{}:{}".format(*control) for control in system.controls)
    ip, port = system.fronts[1]
    return (
        "It goes on until Ctrl-C. In another shell:\n"
        f"  curl -N -d '{{}}' -H 'Host: {HOST}' -H 'Request-Id: 2' -H 'Authorization: Bearer {KEY}' "
        f"-H 'Model-Name: {MODEL}' -H 'Token-Count: 50,{OUT}' -H 'Prompt-Prefix: {PROMPT}' "
        f"http://{ip}:{port}{PREFIX}hello\n"
        f"  rowanshift status --at {controls}\n  rowanshift duties --at {controls}"
    )


async def end_on_sigterm(scope: trio.CancelScope, task_status=trio.TASK_STATUS_IGNORED) -> None:
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        task_status.started()
        async for _ in signals:
            scope.cancel()


async def play(folder: Path, stay: bool, net: str = NET) -> None:
    system = SmallSystem(folder, net)
    async with trio.open_nursery() as nursery:
        await nursery.start(end_on_sigterm, nursery.cancel_scope)
        nursery.start_soon(system.run)
        with trio.fail_after(START_WITHIN):
            await show(system)
        if stay:
            say(hints(system))
            await trio.sleep_forever()
        nursery.cancel_scope.cancel()


def demo(stay: bool, net: str = NET) -> int:
    """Shows one streamed request of a whole system between stand-ins; the exit status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr("WARNING")
    why: BaseException | None = None
    try:
        with tempfile.TemporaryDirectory(prefix="rowanshift-demo-") as folder:
            try:
                trio.run(play, Path(folder), stay, net)
            except* KeyboardInterrupt:
                pass
            except* (OSError, trio.TooSlowError) as group:
                why = group
    finally:
        logger.remove()
    if why is None:
        return 0
    why = first_of(why)
    said = f"nothing serves after {START_WITHIN} s" if isinstance(why, trio.TooSlowError) else why
    print(f"rowanshift: {said}", file=sys.stderr)
    return 1
