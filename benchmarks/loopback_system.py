"""Real processes of given source trees on loopback, with emulated model servers and an emulated platform list.

The processes are started as in the deploy file, ``python rowanshift.py ROLE --boot FILE`` at the root of their tree.
The only interfaces to them are settings, HTTP calls, logs and exit codes: nothing is imported from the trees. The model
servers, the platform list, the operator and the clients are those of this checkout and run in this process.
"""

import io
import os
import random
import signal
import subprocess
import sys
import tarfile
import urllib.request
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import trio
from process_usage import ProcessUsage

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rowanshift.emulation.cluster import Inside as EmulationHost
from rowanshift.emulation.model_server import ModelServer, Registry, Traits
from rowanshift.emulation.platform import PlatformList
from rowanshift.emulation.system_clients import Operator, Patron, Try, Work

ROOT = Path(__file__).resolve().parents[1]
WORKING_TREE = "."  # stands for the current files of this checkout
DEPENDENCIES = Path("target") / "deps"  # relative to a tree
CONTROL_PORT, INTERNAL_PORTS, FRONTEND_PORT, READINESS_PORT = 8500, (7400, 7401), 8080, 8081
SERVER_PORT, PLATFORM_PORT = 8082, 8083
FIRST_CORE, FIRST_ROUTER, FIRST_SERVER, PLATFORM = 1, 11, 21, 31  # last octets of the addresses
LIST_CALLS_PER_SECOND, LIST_LAG_MS = 4.0, 100.0
GRACE_SECONDS = 3
POLL_SECONDS = 0.01
START_TIMEOUT_SECONDS = 60.0  # until each router is ready; includes compiling the imported modules
READINESS_TIMEOUT_SECONDS = 1.0
MAX_RECORDED_EVENTS = 1000  # recorded by the emulation
MODEL, HOSTNAME, PATH_PREFIX, API_KEY = "bench-model", "bench.example", "/chat/", "bench-key"
PROMPT = (("a1", 40), ("b2", 10))  # prefix blocks and their tokens
REQUEST_TIMEOUT_SECONDS = 20.0


class RevisionError(Exception):
    """A revision cannot be checked out; the message is that of git."""


@dataclass(frozen=True, slots=True)
class SourceTree:
    """The files of one revision. ``name`` is the revision as given by the user."""

    name: str
    path: Path


def check_out(revision: str, folder: Path) -> SourceTree:
    """Extracts a git revision into a new directory and links this checkout's dependencies.

    ``WORKING_TREE`` is used in place. Raises ``RevisionError``.
    """
    if revision == WORKING_TREE:
        return SourceTree(revision, ROOT)
    archive = subprocess.run(["git", "-C", str(ROOT), "archive", "--format=tar", revision], capture_output=True)
    if archive.returncode:
        raise RevisionError(f"{revision}: {archive.stderr.decode(errors='replace').strip()}")
    path = folder / "tree"
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(path)
    if (ROOT / DEPENDENCIES).is_dir():
        (path / DEPENDENCIES.parent).mkdir(exist_ok=True)
        (path / DEPENDENCIES).symlink_to(ROOT / DEPENDENCIES)
    return SourceTree(revision, path)


def random_network_prefix() -> str:
    """Returns a random loopback prefix of three octets, unlikely to be used by another run."""
    return f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."


def configuration(revision: int, path_prefixes: Sequence[str] = (PATH_PREFIX,)) -> dict[str, Any]:
    """Returns a configuration with one streaming route per prefix."""
    return {
        "revision": revision,
        "routes": [route(prefix) for prefix in path_prefixes],
        "backends": [
            {
                "name": "llm",
                "healthCheck": "/health",
                "maxConnections": 360,
                "engine": {"slots": 32, "models": [{"name": MODEL}]},
            }
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "bench", "apiKeys": [API_KEY]}],
    }


def route(path_prefix: str) -> dict[str, Any]:
    """Returns a streaming route of the configuration."""
    return {
        "name": path_prefix.strip("/"),
        "hostname": HOSTNAME,
        "pathPrefix": path_prefix,
        "routeType": "streaming",
        "timeoutMs": 20_000,
        "targetLatencyMs": 2000,
        "priority": 1,
        "backend": "llm",
        "retries": 2,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 1000,
    }


def streamed_request(tokens_out: int, path_prefix: str = PATH_PREFIX) -> Work:
    """Returns a client request for a number of tokens, as a stream of events."""
    target = f"{path_prefix}completions"
    return Work(HOSTNAME, target, MODEL, PROMPT, out=tokens_out, key=API_KEY, within=REQUEST_TIMEOUT_SECONDS)


def is_complete(attempt: Try, tokens_out: int) -> bool:
    """Returns whether the answer was 200 and its events cover each token once, in order, up to the final one."""
    if attempt.status != 200 or not attempt.done() or not attempt.pieces:
        return False
    ends = [0, *(piece.last for piece in attempt.pieces)]
    in_order = all(piece.first == end for piece, end in zip(attempt.pieces, ends, strict=False))
    return in_order and ends[-1] == tokens_out and attempt.pieces[-1].final


@dataclass(slots=True)
class RequestCounts:
    """Outcomes of the requests through one router."""

    sent: int = 0
    answered_200: int = 0
    complete: int = 0  # complete streams
    others: dict[str, int] = field(default_factory=dict)  # outcomes of all other requests

    def add(self, attempt: Try, tokens_out: int) -> None:
        """Counts a finished request."""
        self.sent += 1
        self.answered_200 += attempt.status == 200
        if is_complete(attempt, tokens_out):
            self.complete += 1
        else:
            outcome = f"status {attempt.status}, {attempt.how}"
            self.others[outcome] = self.others.get(outcome, 0) + 1


class Machine:
    """A machine of the system: its settings file and its process."""

    def __init__(self, tree: SourceTree, role: str, ip: str, folder: Path, settings: dict[str, Any]) -> None:
        self.tree, self.role, self.ip = tree, role, ip
        self.settings_file, self.log_file = folder / f"{ip}.json", folder / f"{ip}.log"
        self.settings_file.write_bytes(orjson.dumps(settings))
        self.process: subprocess.Popen | None = None
        self.usage: ProcessUsage | None = None

    def environment(self) -> dict[str, str]:
        """Returns the environment of the process. As in a deployment, Python may write compiled modules."""
        return {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}

    def start(self) -> None:
        """Starts the process."""
        command = [sys.executable, "rowanshift.py", self.role, "--boot", str(self.settings_file)]
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=self.tree.path, env=self.environment(), stdout=log, stderr=log)
        self.usage = ProcessUsage(self.process.pid)

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def terminate(self) -> None:
        """Sends SIGTERM."""
        if self.running:
            self.process.send_signal(signal.SIGTERM)

    async def exit_code(self) -> int:
        """Waits until the process exits and returns its exit code."""
        while self.running:
            await trio.sleep(POLL_SECONDS)
        return self.process.returncode

    def kill(self) -> None:
        """Kills the process if it runs."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.usage.close()

    def log(self) -> str:
        """Returns the log of the process."""
        return self.log_file.read_text(errors="replace") if self.log_file.exists() else ""


class LoopbackSystem:
    """Core machines and routers, one for each given tree, with the emulated servers, platform and operator."""

    def __init__(
        self,
        folder: Path,
        core_trees: Sequence[SourceTree],
        router_trees: Sequence[SourceTree],
        servers: int = 3,
        traits: Traits | None = None,
    ) -> None:
        self.folder, self.network_prefix = folder, random_network_prefix()
        folder.mkdir(parents=True)
        self.host = EmulationHost()
        self.events: deque[Any] = deque(maxlen=MAX_RECORDED_EVENTS)
        self.random_source = random.Random()
        self.core_ips = [f"{self.network_prefix}{FIRST_CORE + n}" for n in range(len(core_trees))]
        self._add_emulation(servers, traits)
        self.core = [self._core_machine(tree, ip) for tree, ip in zip(core_trees, self.core_ips, strict=True)]
        self.routers = [
            self._router(tree, f"{self.network_prefix}{FIRST_ROUTER + n}") for n, tree in enumerate(router_trees)
        ]

    def _add_emulation(self, servers: int, traits: Traits | None) -> None:
        common, registry = (trio.current_time, self.events), Registry()
        platform_address = (f"{self.network_prefix}{PLATFORM}", PLATFORM_PORT)
        self.platform = PlatformList(self.host, platform_address, LIST_CALLS_PER_SECOND, LIST_LAG_MS, *common)
        addresses = [(f"{self.network_prefix}{FIRST_SERVER + n}", SERVER_PORT) for n in range(servers)]
        self.servers = [
            ModelServer(self.host, address, f"server-{n}", "llm", *common, registry, {MODEL: 1}, traits)
            for n, address in enumerate(addresses)
        ]
        controls = [(ip, CONTROL_PORT) for ip in self.core_ips]
        self.operator = Operator(self.host, "operator", *common, controls, self.random_source, registry)

    def _core_machine(self, tree: SourceTree, ip: str) -> Machine:
        settings = self._settings("core", ip) | {
            "listenAddresses": {"controlPlane": f"{ip}:{CONTROL_PORT}"},
            "bootstrap": True,
            "dataDir": str(self.folder / f"data-{ip}"),
        }
        return Machine(tree, "controlplane", ip, self.folder, settings)

    def _router(self, tree: SourceTree, ip: str) -> Machine:
        listen = {"frontend": f"{ip}:{FRONTEND_PORT}", "readiness": f"{ip}:{READINESS_PORT}"}
        return Machine(tree, "dataplane", ip, self.folder, self._settings("edge", ip) | {"listenAddresses": listen})

    def _settings(self, machine_class: str, ip: str) -> dict[str, Any]:
        return {
            "nodeName": ip,
            "machineClass": machine_class,
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "internalPorts": INTERNAL_PORTS,
            "seedNodes": [f"{seed}:{CONTROL_PORT}" for seed in self.core_ips],
            "faultTolerance": {"machines": (len(self.core_ips) - 1) // 2},
            "bounds": {"graceS": GRACE_SECONDS},
            "cloudApi": {
                "address": f"{self.network_prefix}{PLATFORM}:{PLATFORM_PORT}",
                "ratePerS": LIST_CALLS_PER_SECOND,
                "maxLagMs": LIST_LAG_MS,
            },
        }

    async def serve_emulation(self) -> None:
        """Runs the model servers and the platform's list until cancelled."""
        async with trio.open_nursery() as nursery:
            for emulated in (self.platform, *self.servers):
                nursery.start_soon(emulated.run)
            for server in self.servers:
                self.platform.add(server)

    def close(self) -> None:
        """Kills all processes and closes the sockets of the emulation."""
        for machine in (*self.core, *self.routers):
            machine.kill()
        self.host.close()

    async def start_serving(self, config: dict[str, Any]) -> None:
        """Starts all processes, puts a first configuration and waits until each router is ready."""
        for machine in (*self.core, *self.routers):
            machine.start()
        status = await self.operator.put_config(config, 0, within=START_TIMEOUT_SECONDS)
        if status != 200:
            raise RuntimeError(f"put of the first configuration returned status {status}, expected 200")
        for router in self.routers:
            await self.wait_until_ready(router)

    async def wait_until_ready(self, router: Machine) -> None:
        """Waits until a router reports that it is ready."""
        while not await trio.to_thread.run_sync(answers_200, f"http://{router.ip}:{READINESS_PORT}/readiness"):
            await trio.sleep(POLL_SECONDS)

    async def statuses(self) -> dict[str, dict[str, Any]]:
        """Returns the ``/status`` of each core machine that answers, by address."""
        found = {}
        for machine in self.core:
            if machine.running and (body := await trio.to_thread.run_sync(fetch_status, machine.ip)) is not None:
                found[machine.ip] = body
        return found

    async def primary(self) -> Machine:
        """Waits for a primary and returns its machine."""
        while True:
            for ip, status in (await self.statuses()).items():
                if status["primary"]:
                    return next(machine for machine in self.core if machine.ip == ip)
            await trio.sleep(POLL_SECONDS)

    def client(self, name: str, router: Machine) -> Patron:
        """Returns a client of one router with a persistent connection."""
        fronts = [(router.ip, FRONTEND_PORT)]
        return Patron(self.host, name, trio.current_time, self.events, fronts, self.random_source, keeps=True)


async def send_requests(client: Patron, work: Work, count: int, counts: RequestCounts) -> None:
    """Sends ``count`` requests one after another and counts their outcomes."""
    for _ in range(count):
        attempt = await client.ask(work)
        counts.add(attempt, work.out)
        client.tries.clear()  # bounds the memory of a long run


def answers_200(url: str) -> bool:
    """Returns whether a GET is answered 200 within the time-out."""
    try:
        with urllib.request.urlopen(url, timeout=READINESS_TIMEOUT_SECONDS) as answer:
            return answer.status == 200
    except OSError:
        return False


def fetch_status(ip: str) -> dict[str, Any] | None:
    """Returns the status of a core machine, or ``None`` if it does not answer."""
    try:
        with urllib.request.urlopen(f"http://{ip}:{CONTROL_PORT}/status", timeout=READINESS_TIMEOUT_SECONDS) as answer:
            return orjson.loads(answer.read())
    except OSError:
        return None
