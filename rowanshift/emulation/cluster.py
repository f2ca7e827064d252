"""``rowanshift demo``: a small system on loopback in one process, and one streamed request to it.

Three core machines, two routers, three emulated model servers and the platform API, each at its own address within
127.0.0.0/8, so that they can use the same ports as separate machines.
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

NETWORK_PREFIX = "127.0.0."  # first three bytes of the addresses
CORE, ROUTERS, SERVERS, PLATFORM = (1, 2, 3), (11, 12), (21, 22, 23), 31  # last bytes of the addresses
INNER, CONTROL, FRONT, READINESS, SERVER, LIST_PORT = (7400, 7401), 8500, 8080, 8081, 8082, 8083  # ports
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
PROMPT, OUTPUT_TOKENS = "a1:40,b2:10", 20  # prompt parts and their tokens; output tokens
START_TIMEOUT_SECONDS = 20.0  # until the streamed request is answered
POLL_SECONDS = 0.01
MAX_FACTS = 1000  # recorded events kept in memory

say = partial(print, flush=True)  # flushed so that a pipe shows the progress


class Inside(SystemCoreRuntime):
    """A runtime for services that share a process, which handles the signals. ``close`` closes their streams and
    listeners."""

    def __init__(self) -> None:
        self.opened: WeakSet = WeakSet()  # streams and listeners

    def stream(self) -> Stream:
        self.opened.add(made := super().stream())
        return made

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener:
        self.opened.add(made := super().listen(address, backlog, shared))
        return made

    def close(self) -> None:
        for resource in [*self.opened]:
            resource.close()

    @contextmanager
    def signals(self) -> Iterator[AsyncIterator[int]]:
        async def none() -> AsyncIterator[int]:
            await trio.sleep_forever()
            yield 0

        yield none()

    def settled(self) -> None:
        """Do nothing: the process is shared by several services."""


class SmallSystem:
    """A complete system on loopback sockets. ``folder`` receives the settings files and the core machines' data."""

    def __init__(self, folder: Path, net: str = NETWORK_PREFIX, clock: Callable[[], float] = trio.current_time) -> None:
        self.folder, self.net = folder, net
        self.host = Inside()
        self.facts: deque = deque(maxlen=MAX_FACTS)
        self.registry = Registry()
        self.random_source = random.Random()
        common = clock, self.facts
        self.platform = PlatformList(self.host, (f"{net}{PLATFORM}", LIST_PORT), LIST_RATE, LIST_LAG_MS, *common)
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
        """Write the settings file of a machine."""
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
            "cloudApi": {
                "address": f"{self.net}{PLATFORM}:{LIST_PORT}",
                "ratePerS": LIST_RATE,
                "maxLagMs": LIST_LAG_MS,
            },
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

    # waiting ----------------------------------------------

    async def primary(self) -> ControlPlaneService:
        """Wait for a primary that holds a lease, and return it."""
        while True:
            for core_service in self.core_services:
                if (node := getattr(core_service, "replica_runner", None)) is not None and node.lease_remaining():
                    return core_service
            await trio.sleep(POLL_SECONDS)

    async def wait_until_serving(self) -> None:
        """Wait until each router is ready: it has a configuration and knows servers."""
        while not all(hasattr(router, "control_client") and router.ready() for router in self.routers):
            await trio.sleep(POLL_SECONDS)


class PrintingStreamReader(StreamReader):
    """Prints each event when it arrives."""

    def _handle_event(self, event: bytes) -> None:
        super()._handle_event(event)
        piece = self.attempt.pieces[-1]
        took = 1000 * (piece.at - self.attempt.asked_at)
        made = f"tokens {piece.first + 1} to {piece.last} of run {piece.run}"
        say(f"  {took:7.1f} ms  id {piece.last:3}  {made}" + ("  (the last)" if piece.final else ""))


async def stream_request(system: SmallSystem, front: Address) -> Try:
    """Send one request to a router and print each event of its response."""
    now = trio.current_time
    attempt = Try("demo-1", front, now())
    reader = PrintingStreamReader(attempt, now, system.facts)
    body, sock, space = b"{}", system.host.stream(), memoryview(bytearray(1 << 16))
    head = (
        f"POST {PREFIX}hello HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {attempt.id}\r\n"
        f"Authorization: Bearer {KEY}\r\nModel-Name: {MODEL}\r\nToken-Count: 50,{OUTPUT_TOKENS}\r\n"
        f"Prompt-Prefix: {PROMPT}\r\nDeadline-Remaining: 5000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        await connect(sock, front)
        await send_all(sock, head.encode() + body)
        while not reader.complete:
            await sock.wait_readable()
            try:
                n = sock.recv_into(space)
            except BlockingIOError:
                continue
            if not n:
                raise ConnectionResetError("the router closed the connection before the end of its response")
            reader.feed(bytes(space[:n]))
    except httptools.HttpParserError as error:
        raise ConnectionResetError(f"malformed HTTP response from the router: {error}") from error
    finally:
        sock.close()
    return attempt


async def show_request(system: SmallSystem) -> None:
    started_at = trio.current_time()
    say(
        f"{len(CORE)} core machines, {len(ROUTERS)} routers, {len(SERVERS)} emulated model servers and the "
        f"platform API start at {system.net}x"
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
        raise ConnectionRefusedError(f"PUT /config returned status {status}")
    say(f"The operator's PUT /config: {status}; revision 1 is on {len(record.in_sync)} disks")
    await system.wait_until_serving()
    fronts = " and ".join("{}:{}".format(*front) for front in system.fronts)
    say(f"Ready after {trio.current_time() - started_at:.1f} s: {fronts}")
    say("POST {}hello at {}:{}".format(PREFIX, *system.fronts[0]))
    attempt = await stream_request(system, system.fronts[0])
    say(f"  {attempt.status}, {len(attempt.pieces)} events")
    if attempt.status != 200:
        raise ConnectionRefusedError(f"the streamed request returned status {attempt.status}")


def usage_hints(system: SmallSystem) -> str:
    controls = ",".join("{}:{}".format(*control) for control in system.controls)
    ip, port = system.fronts[1]
    return (
        "The system keeps running until Ctrl-C. In another shell:\n"
        f"  curl -N -d '{{}}' -H 'Host: {HOST}' -H 'Request-Id: 2' -H 'Authorization: Bearer {KEY}' "
        f"-H 'Model-Name: {MODEL}' -H 'Token-Count: 50,{OUTPUT_TOKENS}' -H 'Prompt-Prefix: {PROMPT}' "
        f"http://{ip}:{port}{PREFIX}hello\n"
        f"  rowanshift status --at {controls}\n  rowanshift duties --at {controls}"
    )


async def cancel_on_sigterm(scope: trio.CancelScope, task_status=trio.TASK_STATUS_IGNORED) -> None:
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        task_status.started()
        async for _ in signals:
            scope.cancel()


async def play(folder: Path, stay: bool, net: str = NETWORK_PREFIX) -> None:
    system = SmallSystem(folder, net)
    async with trio.open_nursery() as nursery:
        await nursery.start(cancel_on_sigterm, nursery.cancel_scope)
        nursery.start_soon(system.run)
        with trio.fail_after(START_TIMEOUT_SECONDS):
            await show_request(system)
        if stay:
            say(usage_hints(system))
            await trio.sleep_forever()
        nursery.cancel_scope.cancel()


def demo(stay: bool, net: str = NETWORK_PREFIX) -> int:
    """Run a small system with emulated servers and show one streamed request. Returns the exit status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr("WARNING")
    error: BaseException | None = None
    try:
        with tempfile.TemporaryDirectory(prefix="rowanshift-demo-") as folder:
            try:
                trio.run(play, Path(folder), stay, net)
            except* KeyboardInterrupt:
                pass
            except* (OSError, trio.TooSlowError) as group:
                error = group
    finally:
        logger.remove()
    if error is None:
        return 0
    error = first_of(error)
    message = (
        f"no streamed response within {START_TIMEOUT_SECONDS} s" if isinstance(error, trio.TooSlowError) else error
    )
    print(f"rowanshift: {message}", file=sys.stderr)
    return 1
