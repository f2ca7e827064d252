"""Starts, signals and stops the system's processes, and records their logs and exit codes.

Each process is started as in a deployment, with ``python rowanshift.py ROLE --boot FILE`` in the project's root, at a
log level that names each request read. Signals go to that process id only. The kernel kills the process when the soak
process ends, for whatever reason.
"""

import ctypes
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import trio

from rowanshift.invariants.facts import Fact, RouterStarted, Signalled
from rowanshift.soak.layout import Layout
from rowanshift.soak.records import ProcessEnded, ProcessSignalled, ProcessStarted

PROJECT_ROOT = Path(__file__).parents[2]
PROGRAM = "rowanshift.py"
PASSED_VARIABLES = ("PATH", "HOME", "LANG")  # environment variables that the processes inherit
POLL_INTERVAL_S = 0.02  # between checks whether processes have exited
LOG_LEVEL = "DEBUG"  # the checker needs the event of each request read
HANDLER_TIMEOUT_S = 10.0  # from a start until its signal handlers; none can exist before the interpreter has started
REAP_TIMEOUT_S = 5.0  # for the exit of a killed process
MAX_LOG_BYTES = 16 << 20  # per life; a larger log aborts the run
PR_SET_PDEATHSIG = 1  # prctl option: the signal sent to this process when its parent ends

_libc = ctypes.CDLL(None, use_errno=True)


class LogTooLarge(Exception):
    """A process wrote more than ``MAX_LOG_BYTES`` to its log."""


def _die_with_parent(parent: int) -> None:
    """Has the kernel kill this process when its parent ends. Exits at once if the parent has already ended, as the
    kernel sends no signal then."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """Whether a process has a handler for a signal, or has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return True
    handled_mask = next((line.split()[1] for line in status.splitlines() if line.startswith("SigCgt:")), "0")
    return bool(int(handled_mask, 16) >> (number - 1) & 1)


class Process:
    """The process of a machine, which may be restarted; each start begins a new life."""

    def __init__(self, name: str, layout: Layout, now: Callable[[], float], events: list[Fact]) -> None:
        self.name, self.layout, self.now, self.events = name, layout, now, events
        self.is_router = name in layout.routers
        self.role = "dataplane" if self.is_router else "controlplane"
        self.life = 0
        self.started_at = 0.0
        self.popen: subprocess.Popen | None = None
        self.ended = trio.Event()  # set when the current life has exited
        self.ended.set()

    @property
    def running(self) -> bool:
        """Whether it was started and its exit has not been noticed."""
        return self.popen is not None

    @property
    def log(self) -> Path:
        """The path of the log of the newest life."""
        return self.layout.folder / "logs" / f"{self.name}.{self.life}.log"

    @property
    def front(self) -> str:
        """IP:PORT to which clients send requests; empty for a core machine."""
        return "{}:{}".format(*self.layout.front(self.name)) if self.is_router else ""

    def start(self) -> None:
        """Starts a new life unless the process runs already."""
        if self.popen is not None:
            return
        self.life += 1
        self.ended = trio.Event()
        environment = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        settings = str(self.layout.settings_path(self.name))
        command = [sys.executable, PROGRAM, self.role, "--boot", settings, "--level", LOG_LEVEL]
        with self.log.open("wb") as log:
            self.popen = subprocess.Popen(
                command,
                cwd=PROJECT_ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=partial(_die_with_parent, os.getpid()),
            )
        self.started_at = self.now()
        self.events.append(ProcessStarted(self.now(), self.name, self.life, self.log.name, self.front))
        if self.is_router:
            self.events.append(RouterStarted(self.now(), self.name, self.front))

    async def wait_for_handler(self) -> None:
        """Waits until the operating system reports a SIGTERM handler for this life, until it has exited, or until
        ``HANDLER_TIMEOUT_S`` after its start."""
        while self.popen is not None and self.now() < self.started_at + HANDLER_TIMEOUT_S:
            if handles_signal(self.popen.pid, signal.SIGTERM):
                return
            await trio.sleep(POLL_INTERVAL_S)
            self.poll()

    def send(self, number: signal.Signals) -> bool:
        """Sends a signal to the process; returns whether one was running."""
        self.poll()
        if self.popen is None:
            return False
        self.events.append(ProcessSignalled(self.now(), self.name, self.life, number.name))
        if self.is_router and number in (signal.SIGTERM, signal.SIGHUP):
            self.events.append(Signalled(self.now(), self.name, self.front, number.name))
        self.popen.send_signal(number)
        return True

    def kill(self) -> bool:
        """Kills the process and waits for its exit, which takes milliseconds; returns whether one was running."""
        killed = self.send(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(REAP_TIMEOUT_S)
            self.poll()
        return killed

    def poll(self) -> None:
        """Records the exit of the process if it has exited."""
        if self.popen is None or (code := self.popen.poll()) is None:
            return
        self.popen = None
        self.events.append(ProcessEnded(self.now(), self.name, self.life, code))
        self.ended.set()

    def wipe_disk(self) -> None:
        """Deletes the data folder of a machine whose process does not run."""
        shutil.rmtree(self.layout.disk(self.name), ignore_errors=True)


class Processes:
    """All processes of a run. Leaving the ``with`` block kills those that still run."""

    def __init__(self, layout: Layout, now: Callable[[], float], events: list[Fact]) -> None:
        (layout.folder / "logs").mkdir(parents=True, exist_ok=True)
        self.by_name = {name: Process(name, layout, now, events) for name in layout.machines}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.by_name.values():
            if process.popen is not None:
                process.popen.kill()
        for process in self.by_name.values():
            if process.popen is not None:
                process.popen.wait(REAP_TIMEOUT_S)

    async def watch(self) -> None:
        """Records exits as they happen and raises ``LogTooLarge`` for an oversized log; runs until cancelled."""
        while True:
            for process in self.by_name.values():
                process.poll()
                if process.running and process.log.stat().st_size > MAX_LOG_BYTES:
                    raise LogTooLarge(process.log.name)
            await trio.sleep(POLL_INTERVAL_S)
