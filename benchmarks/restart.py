"""Recovery time of the control plane after all its processes were killed: three real processes on loopback.

    python benchmarks/restart.py --routes 3 3000 --rounds 8

The processes are started as in the deploy file, with the dependencies that its build installed in ``target/deps``. Each
row has medians, in seconds from the start of all processes: until the first logs ``event=started``, until one logs
``event=primary``, and until a read of the configuration is answered; and the processor time of one process until then.
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
CONTROL_PORT, INTERNAL_PORTS = 8500, (7400, 7401)
POLL_SECONDS = 0.005
TIMEOUT_SECONDS = 30.0  # of each wait
SETTLE_SECONDS = 4.0  # until the primary is stable
EVENT_PATTERN = re.compile(r"event=(started|primary) ")


@dataclass(frozen=True, slots=True)
class Restart:
    """Seconds from the start of the processes, and processor seconds of one of them."""

    started: float
    primary: float
    read: float
    cpu: float


def configuration(routes: int) -> dict:
    """Returns a configuration with the given number of routes."""
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
    """Three control plane processes, each at its own loopback address."""

    def __init__(self, folder: Path, python: str) -> None:
        self.folder, self.python = folder, python
        self.network_prefix = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."
        self.ips = [f"{self.network_prefix}{n}" for n in range(1, MACHINES + 1)]
        self.processes: list[subprocess.Popen] = []
        self.logs: list[Path] = []

    def start(self, bootstrap: bool, generation: int) -> None:
        """Starts all processes at once."""
        self.logs = []
        for ip in self.ips:
            settings, log = self.folder / f"{ip}.json", self.folder / f"{ip}.{generation}.log"
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
            "listenAddresses": {"controlPlane": f"{ip}:{CONTROL_PORT}"},
            "internalPorts": INTERNAL_PORTS,
            "seedNodes": [f"{seed}:{CONTROL_PORT}" for seed in self.ips],
            "bootstrap": bootstrap,
            "dataDir": str(self.folder / f"data-{ip}"),
            "faultTolerance": {"machines": 1},
        }

    def logged_events(self) -> set[str]:
        """Returns the events that any process has logged."""
        return {event for log in self.logs for event in EVENT_PATTERN.findall(log.read_text())}

    def kill(self) -> float:
        """Kills all processes at once; returns the mean processor seconds of one."""
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
        """Calls the machines in turn until one answers 200; else returns the last status, or 0 if none was reached."""
        status = 0
        for ip in self.ips:
            request = urllib.request.Request(
                f"http://{ip}:{CONTROL_PORT}/config", body, {"If-Match": "0"}, method=method
            )
            try:
                with urllib.request.urlopen(request, timeout=1.0) as answer:
                    answer.read()
                    return answer.status
            except urllib.error.HTTPError as error:
                status = error.code
            except OSError:
                continue
        return status


def seconds_until(condition, start_time: float) -> float:
    """Polls until the condition holds; returns the seconds since ``start_time``."""
    while not condition():
        if time.monotonic() > start_time + TIMEOUT_SECONDS:
            raise TimeoutError("the awaited condition did not hold in time")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - start_time


def measure_restarts(routes: int, rounds: int, python: str) -> list[Restart]:
    """Restarts a core that holds a configuration, ``rounds`` times."""
    folder = Path(tempfile.mkdtemp())
    core, results = Core(folder, python), []
    try:
        core.start(True, 0)
        body = orjson.dumps(configuration(routes))
        seconds_until(lambda: core.call("PUT", body) == 200, time.monotonic())
        for generation in range(1, rounds + 1):
            time.sleep(SETTLE_SECONDS)
            core.kill()
            start_time = time.monotonic()
            core.start(False, generation)
            started = seconds_until(lambda: "started" in core.logged_events(), start_time)
            primary = seconds_until(lambda: "primary" in core.logged_events(), start_time)
            read = seconds_until(lambda: core.call("GET") == 200, start_time)
            results.append(Restart(started, primary, read, _mean_cpu_seconds(core)))
        return results
    finally:
        core.kill()
        shutil.rmtree(folder)


def _mean_cpu_seconds(core: Core) -> float:
    """Returns the mean processor seconds of a process so far, from /proc."""
    ticks = os.sysconf("SC_CLK_TCK")
    used = [
        Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13] for process in core.processes
    ]
    return sum(int(part) for parts in used for part in parts) / ticks / MACHINES


def main(arguments: Sequence[str]) -> int:
    """Measures, prints the table and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", type=int, nargs="+", default=[3, 3000])
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--python", default="python3")
    options = parser.parse_args(arguments)
    print("| routes | started | primary | first reading, median and worst | processor time of one |")
    print("| --- | --- | --- | --- | --- |")
    for routes in options.routes:
        results = measure_restarts(routes, options.rounds, options.python)
        medians = [
            statistics.median(getattr(result, name) for result in results)
            for name in ("started", "primary", "read", "cpu")
        ]
        worst = max(result.read for result in results)
        print(
            f"| {routes} | {medians[0]:.2f} | {medians[1]:.2f} | {medians[2]:.2f}, {worst:.2f} | {medians[3]:.2f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
