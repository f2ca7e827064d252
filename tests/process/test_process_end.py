"""Shutdown of both roles at SIGTERM: real processes on loopback, started as in ``deploy/system.toml``.

A process exits with code 0 and without a traceback, whatever it is doing. Before it has installed its signal handlers,
the operating system ends it with -15, when it has not accepted any work yet.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import orjson
import pytest
import trio

from rowanshift.emulation import cluster
from rowanshift.emulation.system_clients import Patron, Work
from rowanshift.soak.processes import handles_signal
from rowanshift.transport.streams import Address

ROOT = Path(__file__).parents[2]
TIMEOUT_SECONDS = 15.0  # for each wait
POLL_SECONDS = 0.01
REPEATED_SIGNAL_SECONDS = 0.0005  # interval between signals that are repeated until the process ends
SIGNAL_INTERVAL_SECONDS = 0.1  # short enough for all signals to arrive during the shutdown
GRACE_SECONDS = 2  # short, so that a shutdown takes little time
ROUTER = 14  # last byte of the address of the router under test
EARLY_SIGNAL_SECONDS = (0.0, 0.1)  # from the start to SIGTERM, while modules are certainly being imported
LATE_SIGNAL_SECONDS = (0.2, 0.3, 0.4, 0.5)  # likewise, when the handlers may be installed
EXIT_WITHOUT_HANDLERS = -signal.SIGTERM
STREAMS, STREAM_TOKENS = 4, 4000  # as many as a server has slots; each lasts longer than the grace period


def random_network() -> str:
    """The first three bytes of random loopback addresses, to avoid conflicts with other runs."""
    return f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."


@dataclass(slots=True)
class Process:
    """A running process of a role, which logs to a file."""

    popen: subprocess.Popen
    log: Path

    def log_text(self) -> str:
        return self.log.read_text()

    def handles_sigterm(self) -> bool:
        """Whether the process has installed a handler for SIGTERM."""
        return handles_signal(self.popen.pid, signal.SIGTERM)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            assert self.popen.poll() is None and time.monotonic() < deadline, self.log_text()
            time.sleep(POLL_SECONDS)

    def wait_until_started(self) -> None:
        self.wait_until(lambda: "event=started" in self.log_text())

    def result(self) -> str:
        """Wait for the end; returns the exit code and the last error if the log contains a traceback."""
        try:
            code = self.popen.wait(TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return "no exit within the timeout"
        if "Traceback" not in self.log_text():
            return f"exit code {code}"
        errors = [line.strip(" |") for line in self.log_text().splitlines() if "Error" in line and "event=" not in line]
        return f"exit code {code} with a traceback: {errors[-1] if errors else self.log_text()}"


class Machine:
    """The settings of one machine, with which its process is started."""

    def __init__(self, folder: Path, is_core: bool, seed: str = "") -> None:
        """``seed`` is the IP of a router's core machine; if it is empty, the router's own IP, where nothing listens."""
        self.folder, self.is_core = folder, is_core
        self.ip = f"{random_network()}1"
        folder.mkdir()
        front = {"frontend": f"{self.ip}:{cluster.FRONT}", "readiness": f"{self.ip}:{cluster.READINESS}"}
        control = {"controlPlane": f"{self.ip}:{cluster.CONTROL}"}
        self.settings = folder / "settings.json"
        self.settings.write_bytes(
            orjson.dumps(
                {
                    "nodeName": "one",
                    "machineClass": "core" if is_core else "edge",
                    "ip": self.ip,
                    "zone": "z1",
                    "listenAddresses": control if is_core else front,
                    "internalPorts": cluster.INNER,
                    "seedNodes": [f"{seed or self.ip}:{cluster.CONTROL}"],
                    "bootstrap": is_core,
                    "dataDir": str(folder / "data") if is_core else None,
                    "bounds": {"graceS": GRACE_SECONDS},
                }
            )
        )

    def ports(self) -> list[Address]:
        """The addresses on which the process accepts connections."""
        numbers = (cluster.CONTROL, cluster.INNER[0]) if self.is_core else (cluster.FRONT, cluster.READINESS)
        return [(self.ip, number) for number in numbers]

    def start(self) -> Process:
        return start("controlplane" if self.is_core else "dataplane", self.settings, self.folder / "log")


def start(role: str, settings: Path, log: Path) -> Process:
    """Start a process of a role. The processes of a test share compiled modules, so that later ones start faster."""
    environment = os.environ | {"PYTHONPYCACHEPREFIX": str(log.parent.parent / "compiled")}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    with log.open("wb") as file:
        command = [sys.executable, "rowanshift.py", role, "--boot", str(settings)]
        return Process(subprocess.Popen(command, cwd=ROOT, stdout=file, stderr=file, env=environment), log)


# cases


def sigterm_without_traffic(machine: Machine) -> str:
    process = machine.start()
    try:
        process.wait_until_started()
        process.popen.send_signal(signal.SIGTERM)
        return process.result()
    finally:
        process.popen.kill()


def signals_until_the_end(machine: Machine) -> str:
    """Send SIGTERM and SIGHUP repeatedly until the process ends."""
    process = machine.start()
    try:
        process.wait_until_started()
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while process.popen.poll() is None and time.monotonic() < deadline:
            process.popen.send_signal(signal.SIGTERM)
            process.popen.send_signal(signal.SIGHUP)
            time.sleep(REPEATED_SIGNAL_SECONDS)
        return process.result()
    finally:
        process.popen.kill()


def sigterm_with_callers(machine: Machine, further_signals: Sequence[signal.Signals]) -> str:
    """SIGTERM with an idle connection, a partial request and an unread response; then more signals."""
    process = machine.start()
    callers: list[socket.socket] = []
    try:
        process.wait_until_started()
        for port in machine.ports():
            for sent in (b"", b"GET /status HTT", b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"):
                callers.append(socket.create_connection(port, TIMEOUT_SECONDS))
                callers[-1].sendall(sent)
        process.popen.send_signal(signal.SIGTERM)
        for number in further_signals:
            time.sleep(SIGNAL_INTERVAL_SECONDS)
            process.popen.send_signal(number)
        return process.result()
    finally:
        process.popen.kill()
        for caller in callers:
            caller.close()


def sigterm_with_a_router(folder: Path) -> str:
    """SIGTERM to a core machine during a router's long poll and an operator's configuration change."""
    machine = Machine(folder, is_core=True)
    process = machine.start()
    router = Machine(folder / "router", is_core=False, seed=machine.ip).start()
    try:
        process.wait_until_started()
        process.wait_until(lambda: put_config(machine.ports()[0], 1).startswith(b"HTTP/1.1 200"))
        process.wait_until(lambda: "event=configuration_applied" in router.log_text())
        with socket.create_connection(machine.ports()[0], TIMEOUT_SECONDS) as operator:
            operator.sendall(encode_config_put(2))
            process.popen.send_signal(signal.SIGTERM)
            return process.result()
    finally:
        process.popen.kill()
        router.popen.kill()
        router.popen.wait()


def encode_config_put(revision: int) -> bytes:
    body = orjson.dumps(cluster.CONFIG | {"revision": revision})
    return b"PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: %d\r\nContent-Length: %d\r\n\r\n%s" % (
        revision - 1,
        len(body),
        body,
    )


def put_config(control: Address, revision: int) -> bytes:
    """The beginning of the response; empty if there was none."""
    try:
        with socket.create_connection(control, TIMEOUT_SECONDS) as operator:
            operator.sendall(encode_config_put(revision))
            return operator.recv(64)
    except OSError:
        return b""


def sigterm_after(machine: Machine, seconds: float) -> str:
    """SIGTERM this many seconds after the start."""
    process = machine.start()
    try:
        time.sleep(seconds)
        process.popen.send_signal(signal.SIGTERM)
        return process.result()
    finally:
        process.popen.kill()


def sigterm_at_handlers(machine: Machine) -> str:
    """SIGTERM as soon as its handler is installed."""
    process = machine.start()
    try:
        process.wait_until(process.handles_sigterm)
        process.popen.send_signal(signal.SIGTERM)
        return process.result()
    finally:
        process.popen.kill()


def shutdown_results(folder: Path, is_core: bool) -> dict[str, str]:
    """The result of each case without streams, by the case's description."""
    folder_numbers = iter(range(100))

    def machine() -> Machine:
        return Machine(folder / f"{next(folder_numbers)}", is_core)

    return {
        "without traffic": sigterm_without_traffic(machine()),
        "with callers, SIGHUP and a second SIGTERM": sigterm_with_callers(
            machine(), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        ),
        "at its handlers": sigterm_at_handlers(machine()),
        "signalled to its end": signals_until_the_end(machine()),
    }


def sigterm_during_streams(folder: Path) -> tuple[str, int]:
    """The result of SIGTERM during streams that outlast the grace period, and the number of streams."""

    async def main() -> tuple[str, int]:
        system = cluster.SmallSystem(folder, random_network())
        settings = system.settings("edge", ROUTER)
        settings.write_bytes(orjson.dumps(orjson.loads(settings.read_bytes()) | {"bounds": {"graceS": GRACE_SECONDS}}))
        front, process = (f"{system.net}{ROUTER}", cluster.FRONT), None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(system.run)
            try:
                with trio.fail_after(TIMEOUT_SECONDS):
                    process = start("dataplane", settings, folder / "log")
                    await system.primary()
                    assert await system.operator.put_config(cluster.CONFIG, 0) == 200
                    while not is_ready((front[0], cluster.READINESS)):
                        await trio.sleep(10 * POLL_SECONDS)
                    patrons = [
                        Patron(system.host, f"p{n}", trio.current_time, [], [front], random.Random(n))
                        for n in range(STREAMS)
                    ]
                    for patron in patrons:
                        nursery.start_soon(patron.ask, streaming_work())
                    while sum(bool(patron.tries and patron.tries[0].pieces) for patron in patrons) < STREAMS:
                        await trio.sleep(POLL_SECONDS)
                process.popen.send_signal(signal.SIGTERM)
                return await trio.to_thread.run_sync(process.result), len(patrons)
            finally:
                if process is not None:
                    process.popen.kill()
                nursery.cancel_scope.cancel()

    return trio.run(main)


def is_ready(address: Address) -> bool:
    try:
        with socket.create_connection(address, TIMEOUT_SECONDS) as caller:
            caller.sendall(b"GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            return caller.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def streaming_work() -> Work:
    return Work(
        cluster.HOST,
        f"{cluster.PREFIX}x",
        cluster.MODEL,
        (("a1", 40), ("b2", 10)),
        out=STREAM_TOKENS,
        key=cluster.KEY,
        within=TIMEOUT_SECONDS,
    )


def unexpected_results(folder: Path, is_core: bool, seconds: Sequence[float]) -> list[str]:
    """Send SIGTERM after each of these times; returns the unexpected results."""
    results = []
    for delay in seconds:
        result = sigterm_after(Machine(folder / f"{delay}", is_core), delay)
        if result not in ("exit code 0", f"exit code {EXIT_WITHOUT_HANDLERS}"):
            results.append(f"SIGTERM {delay} s after the start: {result}")
    return results


class TestRouter:
    def test_shutdown_is_clean(self, tmp_path: Path) -> None:
        results = shutdown_results(tmp_path, is_core=False)
        (tmp_path / "streams").mkdir()
        results["under streams"], started = sigterm_during_streams(tmp_path / "streams")
        assert started == STREAMS
        unexpected = [f"{case}: {result}" for case, result in results.items() if result != "exit code 0"]
        unexpected += unexpected_results(tmp_path, False, LATE_SIGNAL_SECONDS)
        assert not unexpected, "\n" + "\n".join(unexpected)

    def test_a_sigterm_during_imports_leaves_no_traceback(self, tmp_path: Path) -> None:
        assert unexpected_results(tmp_path, False, EARLY_SIGNAL_SECONDS) == []


class TestCoreMachine:
    def test_shutdown_is_clean(self, tmp_path: Path) -> None:
        results = shutdown_results(tmp_path, is_core=True)
        results["with a router"] = sigterm_with_a_router(tmp_path / "with-a-router")
        unexpected = [f"{case}: {result}" for case, result in results.items() if result != "exit code 0"]
        assert not unexpected, "\n" + "\n".join(unexpected)

    def test_a_sigterm_during_the_start_leaves_no_traceback(self, tmp_path: Path) -> None:
        assert unexpected_results(tmp_path, True, EARLY_SIGNAL_SECONDS + LATE_SIGNAL_SECONDS) == []


CODE_WITH_EXIT_HANDLER = """
import atexit, signal, sys
from rowanshift import cli
atexit.register(lambda: print(signal.getsignal(signal.SIGTERM).name))
cli.main([sys.argv[1], "--boot", "/nonexistent"])
"""


@pytest.mark.parametrize("role", ["dataplane", "controlplane"])
def test_a_sigterm_does_not_kill_an_interpreter_that_is_exiting(role: str) -> None:
    """At exit the interpreter resets all handlers but SIG_IGN, so that a second SIGTERM would end it with -15."""
    ended = subprocess.run(
        [sys.executable, "-c", CODE_WITH_EXIT_HANDLER, role], cwd=ROOT, capture_output=True, text=True
    )
    assert (ended.returncode, ended.stdout) == (2, "SIG_IGN\n")
