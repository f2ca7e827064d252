"""How a process of either role ends at SIGTERM: real processes, started as ``deploy/system.toml`` does, on loopback.

It ends with exit code 0 and without a traceback, whatever it is doing. Before it has set its handlers up, the system
ends it (-15): nothing was taken in yet.
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
from rowanshift.soak.processes import heeds
from rowanshift.transport.streams import Address

ROOT = Path(__file__).parents[2]
WITHIN = 15.0  # seconds for anything that is waited for
LOOK = 0.01  # seconds between looks
BETWEEN = 0.0005  # seconds between signals that go on to the end
APART = 0.1  # seconds between signals, all within the leave
GRACE_S = 2  # of the settings here, so that an end takes little time
ROUTER = 14  # last number of the address of the router that is a process of its own
EARLY_STEPS = (0.0, 0.1)  # seconds from a start to the SIGTERM, while imports surely run
LATE_STEPS = (0.2, 0.3, 0.4, 0.5)  # the same, when handlers may be there
BEFORE_HANDLERS = -signal.SIGTERM
STREAMS, STREAM_TOKENS = 4, 4000  # a server's slots; each is longer than the grace


def net() -> str:
    """Addresses that no other run uses."""
    return f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."


@dataclass(slots=True)
class Process:
    """A running process of a role; its log is in a file."""

    running: subprocess.Popen
    log: Path

    def said(self) -> str:
        return self.log.read_text()

    def handles_sigterm(self) -> bool:
        """Whether it has a handler of its own."""
        return heeds(self.running.pid, signal.SIGTERM)

    def until(self, so: Callable[[], bool]) -> None:
        ends = time.monotonic() + WITHIN
        while not so():
            assert self.running.poll() is None and time.monotonic() < ends, self.said()
            time.sleep(LOOK)

    def until_started(self) -> None:
        self.until(lambda: "event=started" in self.said())

    def end(self) -> str:
        """How it ended: its exit code, and what is wrong with its log."""
        try:
            code = self.running.wait(WITHIN)
        except subprocess.TimeoutExpired:
            self.running.kill()
            self.running.wait()
            return "it did not end"
        if "Traceback" not in self.said():
            return f"exit code {code}"
        errors = [line.strip(" |") for line in self.said().splitlines() if "Error" in line and "event=" not in line]
        return f"exit code {code} with a traceback: {errors[-1] if errors else self.said()}"


class Machine:
    """One machine's settings, and processes that are started on it."""

    def __init__(self, folder: Path, core: bool, seed: str = "") -> None:
        """``seed``: IP of the core machine that a router asks; its own, where nobody answers, if empty."""
        self.folder, self.core = folder, core
        self.ip = f"{net()}1"
        folder.mkdir()
        front = {"frontend": f"{self.ip}:{cluster.FRONT}", "readiness": f"{self.ip}:{cluster.READINESS}"}
        control = {"controlPlane": f"{self.ip}:{cluster.CONTROL}"}
        self.settings = folder / "settings.json"
        self.settings.write_bytes(
            orjson.dumps(
                {
                    "nodeName": "one",
                    "machineClass": "core" if core else "edge",
                    "ip": self.ip,
                    "zone": "z1",
                    "listenAddresses": control if core else front,
                    "internalPorts": cluster.INNER,
                    "seedNodes": [f"{seed or self.ip}:{cluster.CONTROL}"],
                    "bootstrap": core,
                    "dataDir": str(folder / "data") if core else None,
                    "bounds": {"graceS": GRACE_S},
                }
            )
        )

    def ports(self) -> list[Address]:
        """Where it takes connections."""
        numbers = (cluster.CONTROL, cluster.INNER[0]) if self.core else (cluster.FRONT, cluster.READINESS)
        return [(self.ip, number) for number in numbers]

    def start(self) -> Process:
        return start("controlplane" if self.core else "dataplane", self.settings, self.folder / "log")


def start(role: str, settings: Path, log: Path) -> Process:
    """A process of a role. Those of one test share what Python compiles, so that later ones start soon."""
    environment = os.environ | {"PYTHONPYCACHEPREFIX": str(log.parent.parent / "compiled")}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    with log.open("wb") as file:
        command = [sys.executable, "rowanshift.py", role, "--boot", str(settings)]
        return Process(subprocess.Popen(command, cwd=ROOT, stdout=file, stderr=file, env=environment), log)


# cases ------------------------------------------------------


def without_traffic(machine: Machine) -> str:
    process = machine.start()
    try:
        process.until_started()
        process.running.send_signal(signal.SIGTERM)
        return process.end()
    finally:
        process.running.kill()


def signalled_to_its_end(machine: Machine) -> str:
    """SIGTERM and SIGHUP without a pause, until the process is gone."""
    process = machine.start()
    try:
        process.until_started()
        ends = time.monotonic() + WITHIN
        while process.running.poll() is None and time.monotonic() < ends:
            process.running.send_signal(signal.SIGTERM)
            process.running.send_signal(signal.SIGHUP)
            time.sleep(BETWEEN)
        return process.end()
    finally:
        process.running.kill()


def with_callers(machine: Machine, later: Sequence[signal.Signals]) -> str:
    """SIGTERM while connections are idle, half a request has come, and nobody reads; then more signals."""
    process = machine.start()
    callers: list[socket.socket] = []
    try:
        process.until_started()
        for port in machine.ports():
            for sent in (b"", b"GET /status HTT", b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"):
                callers.append(socket.create_connection(port, WITHIN))
                callers[-1].sendall(sent)
        process.running.send_signal(signal.SIGTERM)
        for number in later:
            time.sleep(APART)
            process.running.send_signal(number)
        return process.end()
    finally:
        process.running.kill()
        for caller in callers:
            caller.close()


def with_a_router(folder: Path) -> str:
    """SIGTERM to a core machine while a router's poll is held, and an operator's change is under way."""
    machine = Machine(folder, core=True)
    process = machine.start()
    router = Machine(folder / "router", core=False, seed=machine.ip).start()
    try:
        process.until_started()
        process.until(lambda: put_config(machine.ports()[0], 1).startswith(b"HTTP/1.1 200"))
        process.until(lambda: "event=configuration_applied" in router.said())
        with socket.create_connection(machine.ports()[0], WITHIN) as operator:
            operator.sendall(config_call(2))
            process.running.send_signal(signal.SIGTERM)
            return process.end()
    finally:
        process.running.kill()
        router.running.kill()
        router.running.wait()


def config_call(revision: int) -> bytes:
    body = orjson.dumps(cluster.CONFIG | {"revision": revision})
    return b"PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: %d\r\nContent-Length: %d\r\n\r\n%s" % (
        revision - 1,
        len(body),
        body,
    )


def put_config(control: Address, revision: int) -> bytes:
    """The beginning of the answer; empty if there was none."""
    try:
        with socket.create_connection(control, WITHIN) as operator:
            operator.sendall(config_call(revision))
            return operator.recv(64)
    except OSError:
        return b""


def after(machine: Machine, seconds: float) -> str:
    """SIGTERM so long after the start."""
    process = machine.start()
    try:
        time.sleep(seconds)
        process.running.send_signal(signal.SIGTERM)
        return process.end()
    finally:
        process.running.kill()


def at_handlers(machine: Machine) -> str:
    """SIGTERM as soon as there is a handler for it."""
    process = machine.start()
    try:
        process.until(process.handles_sigterm)
        process.running.send_signal(signal.SIGTERM)
        return process.end()
    finally:
        process.running.kill()


def ends_of(folder: Path, core: bool) -> dict[str, str]:
    """How a role ends in each case without streams."""
    made = iter(range(100))

    def machine() -> Machine:
        return Machine(folder / f"{next(made)}", core)

    return {
        "without traffic": without_traffic(machine()),
        "with callers, SIGHUP and a second SIGTERM": with_callers(
            machine(), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        ),
        "at its handlers": at_handlers(machine()),
        "signalled to its end": signalled_to_its_end(machine()),
    }


def under_streams(folder: Path) -> tuple[str, int]:
    """How a router ends in the middle of streams that are longer than its grace, and how many it had begun."""

    async def main() -> tuple[str, int]:
        system = cluster.SmallSystem(folder, net())
        settings = system.settings("edge", ROUTER)
        settings.write_bytes(orjson.dumps(orjson.loads(settings.read_bytes()) | {"bounds": {"graceS": GRACE_S}}))
        front, process = (f"{system.net}{ROUTER}", cluster.FRONT), None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(system.run)
            try:
                with trio.fail_after(WITHIN):
                    process = start("dataplane", settings, folder / "log")
                    await system.primary()
                    assert await system.operator.put_config(cluster.CONFIG, 0) == 200
                    while not is_ready((front[0], cluster.READINESS)):
                        await trio.sleep(10 * LOOK)
                    patrons = [
                        Patron(system.host, f"p{n}", trio.current_time, [], [front], random.Random(n))
                        for n in range(STREAMS)
                    ]
                    for patron in patrons:
                        nursery.start_soon(patron.ask, streamed())
                    while sum(bool(patron.tries and patron.tries[0].pieces) for patron in patrons) < STREAMS:
                        await trio.sleep(LOOK)
                process.running.send_signal(signal.SIGTERM)
                return await trio.to_thread.run_sync(process.end), len(patrons)
            finally:
                if process is not None:
                    process.running.kill()
                nursery.cancel_scope.cancel()

    return trio.run(main)


def is_ready(address: Address) -> bool:
    try:
        with socket.create_connection(address, WITHIN) as caller:
            caller.sendall(b"GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            return caller.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def streamed() -> Work:
    return Work(
        cluster.HOST,
        f"{cluster.PREFIX}x",
        cluster.MODEL,
        (("a1", 40), ("b2", 10)),
        out=STREAM_TOKENS,
        key=cluster.KEY,
        within=WITHIN,
    )


def steps(folder: Path, core: bool, seconds: Sequence[float]) -> list[str]:
    """How it ends after each of these times; wrong ones only."""
    found = []
    for at in seconds:
        end = after(Machine(folder / f"{at}", core), at)
        if end not in ("exit code 0", f"exit code {BEFORE_HANDLERS}"):
            found.append(f"SIGTERM {at} s after its start: {end}")
    return found


class TestRouter:
    def test_its_end_is_regular(self, tmp_path: Path) -> None:
        found = ends_of(tmp_path, core=False)
        (tmp_path / "streams").mkdir()
        found["under streams"], begun = under_streams(tmp_path / "streams")
        assert begun == STREAMS
        wrong = [f"{case}: {end}" for case, end in found.items() if end != "exit code 0"]
        wrong += steps(tmp_path, False, LATE_STEPS)
        assert not wrong, "\n" + "\n".join(wrong)

    def test_a_sigterm_while_imports_run_leaves_no_traceback(self, tmp_path: Path) -> None:
        assert steps(tmp_path, False, EARLY_STEPS) == []


class TestCoreMachine:
    def test_its_end_is_regular(self, tmp_path: Path) -> None:
        found = ends_of(tmp_path, core=True)
        found["with a router"] = with_a_router(tmp_path / "with-a-router")
        wrong = [f"{case}: {end}" for case, end in found.items() if end != "exit code 0"]
        assert not wrong, "\n" + "\n".join(wrong)

    def test_a_sigterm_during_its_start_leaves_no_traceback(self, tmp_path: Path) -> None:
        assert steps(tmp_path, True, EARLY_STEPS + LATE_STEPS) == []


AS_IT_ENDS = """
import atexit, signal, sys
from rowanshift import cli
atexit.register(lambda: print(signal.getsignal(signal.SIGTERM).name))
cli.main([sys.argv[1], "--boot", "/nonexistent"])
"""


@pytest.mark.parametrize("role", ["dataplane", "controlplane"])
def test_no_signal_ends_an_interpreter_that_ends(role: str) -> None:
    """It takes back every handler but that which ignores, so that a second SIGTERM would end it with -15."""
    ended = subprocess.run([sys.executable, "-c", AS_IT_ENDS, role], cwd=ROOT, capture_output=True, text=True)
    assert (ended.returncode, ended.stdout) == (2, "SIG_IGN\n")
