"""How soon the control plane serves again after all its processes were killed: three real processes on loopback.

    python benchmarks/restart.py --routes 3 3000 --rounds 8

Started as the deploy file says, with what its build put into ``target/deps``. Each line tells medians, in seconds from
the start of all: until the first says ``event=started``, until one says ``event=primary``, and until a reading
of the configuration is answered; and the processor time of one process until then.
"""

import argparse
import os
import random
import re
import resource
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import orjson

ROOT = Path(__file__).parents[1]
MACHINES = 3
CONTROL, INTERNAL = 8500, (7400, 7401)  # ports
LOOK = 0.005  # seconds between looks
WITHIN = 30.0  # seconds for anything that is waited for
SETTLES = 4.0  # seconds until the primary is settled
SAID = re.compile(r"event=(started|primary) ")


@dataclass(frozen=True, slots=True)
class Restart:
    """Seconds from the start of the processes, and processor seconds of one of them."""

    started: float
    primary: float
    read: float
    cpu: float


def configuration(routes: int) -> dict:
    """A configuration with so many routes."""
    route = {
        "hostname": "shop.example",
        "routeType": "streaming",
        "timeoutMs": 10000,
        "targetLatencyMs": 600,
        "priority": 3,
        "backend": "llm",
        "retries": 3,
        "public": False,
        "resumable": True,
    }
    rows = [route | {"name": f"r-{n}", "pathPrefix": f"/more-{n}/"} for n in range(routes)]
    backend = {"name": "llm", "healthCheck": "/health", "maxConnections": 360, "engine": {"models": [{"name": "m"}]}}
    return {"revision": 1, "routes": rows, "backends": [backend], "tenants": [], "limits": {}}


class Core:
    """Three control plane processes at addresses of their own."""

    def __init__(self, folder: Path, python: str) -> None:
        self.folder, self.python = folder, python
        self.net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."
        self.ips = [f"{self.net}{n}" for n in range(1, MACHINES + 1)]
        self.processes: list[subprocess.Popen] = []
        self.logs: list[Path] = []

    def start(self, bootstrap: bool, life: int) -> None:
        """All at once."""
        self.logs = []
        for ip in self.ips:
            settings, log = self.folder / f"{ip}.json", self.folder / f"{ip}.{life}.log"
            settings.write_bytes(orjson.dumps(self._settings(ip, bootstrap)))
            self.logs.append(log)
            environment = {"PATH": os.environ["PATH"], "HOME": os.environ["HOME"]}
            with log.open("wb") as file:
                command = [self.python, "rowanshift.py", "controlplane", "--boot", str(settings)]
                self.processes.append(subprocess.Popen(command, cwd=ROOT, stderr=file, env=environment))

    def _settings(self, ip: str, bootstrap: bool) -> dict:
        return {
            "nodeName": ip,
            "machineClass": "core",
            "ip": ip,
            "zone": "z",
            "listenAddresses": {"controlPlane": f"{ip}:{CONTROL}"},
            "internalPorts": INTERNAL,
            "seedNodes": [f"{seed}:{CONTROL}" for seed in self.ips],
            "bootstrap": bootstrap,
            "dataDir": str(self.folder / f"data-{ip}"),
            "faultTolerance": {"machines": 1},
        }

    def said(self) -> set[str]:
        """Which of the events any process has logged."""
        return {event for log in self.logs for event in SAID.findall(log.read_text())}

    def kill(self) -> float:
        """End all at once; the processor seconds that one used."""
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        for process in self.processes:
            process.wait()
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        self.processes = []
        return used / MACHINES

    def call(self, method: str, body: bytes | None = None) -> int:
        """Ask all machines in turn, once; the first 200, else the last status, 0 if none was reached."""
        status = 0
        for ip in self.ips:
            request = urllib.request.Request(f"http://{ip}:{CONTROL}/config", body, {"If-Match": "0"}, method=method)
            try:
                with urllib.request.urlopen(request, timeout=1.0) as answer:
                    answer.read()
                    return answer.status
            except urllib.error.HTTPError as error:
                status = error.code
            except OSError:
                continue
        return status


def until(so, began: float) -> float:
    """Seconds since then until it is so."""
    while not so():
        if time.monotonic() > began + WITHIN:
            raise TimeoutError("it did not come to that in time")
        time.sleep(LOOK)
    return time.monotonic() - began


def restarts(routes: int, rounds: int, python: str) -> list[Restart]:
    """So many restarts of a core that holds a configuration."""
    folder = Path(tempfile.mkdtemp())
    core, found = Core(folder, python), []
    try:
        core.start(True, 0)
        body = orjson.dumps(configuration(routes))
        until(lambda: core.call("PUT", body) == 200, time.monotonic())
        for life in range(1, rounds + 1):
            time.sleep(SETTLES)
            core.kill()
            began = time.monotonic()
            core.start(False, life)
            started = until(lambda: "started" in core.said(), began)
            primary = until(lambda: "primary" in core.said(), began)
            read = until(lambda: core.call("GET") == 200, began)
            found.append(Restart(started, primary, read, _cpu(core)))
        return found
    finally:
        core.kill()
        shutil.rmtree(folder)


def _cpu(core: Core) -> float:
    """Processor seconds of one of the processes so far, as the kernel tells them."""
    ticks = os.sysconf("SC_CLK_TCK")
    used = [
        Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13] for process in core.processes
    ]
    return sum(int(part) for parts in used for part in parts) / ticks / MACHINES


def main(arguments: Sequence[str]) -> int:
    """Measure and print; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", type=int, nargs="+", default=[3, 3000])
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--python", default="python3")
    given = parser.parse_args(arguments)
    print("| routes | started | primary | first reading, median and worst | processor time of one |")
    print("| --- | --- | --- | --- | --- |")
    for routes in given.routes:
        found = restarts(routes, given.rounds, given.python)
        middle = [
            statistics.median(getattr(one, name) for one in found) for name in ("started", "primary", "read", "cpu")
        ]
        worst = max(one.read for one in found)
        print(
            f"| {routes} | {middle[0]:.2f} | {middle[1]:.2f} | {middle[2]:.2f}, {worst:.2f} | {middle[3]:.2f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
