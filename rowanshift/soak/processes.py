"""Starts, signals and ends the system's processes, and keeps their logs and exit codes.

Each is started as the deployment's file says, ``python rowanshift.py ROLE --boot FILE`` at the project's root, with a
log that names each request that was read. It is signalled by its own process id alone, and it dies with the soak's
process, whatever ends that.
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

PROJECT_ROOT = Path(__file__).parents[2]  # of the project
PROGRAM = "rowanshift.py"
PASSED_VARIABLES = ("PATH", "HOME", "LANG")  # of the environment
POLL_INTERVAL_S = 0.02  # seconds between looks whether processes have ended
LOG_LEVEL = "DEBUG"  # of the logs
HANDLER_TIMEOUT_S = 10.0  # seconds from a start in which the interpreter comes up; no program can heed a signal before
REAP_TIMEOUT_S = 5.0  # seconds in which a killed process is over
MAX_LOG_BYTES = 16 << 20  # bytes of a life's log; a larger one ends the run
PR_SET_PDEATHSIG = 1  # of prctl: the signal that the end of the parent brings

_libc = ctypes.CDLL(None, use_errno=True)


class LogTooLarge(Exception):
    """A process wrote more than ``LARGEST_LOG`` bytes of log."""


def _die_with_parent(parent: int) -> None:
    """Have the kernel kill this process when its parent ends; end at once if the parent ended before it was asked."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)


def heeds(pid: int, number: signal.Signals) -> bool:
    """Whether a process has a handler for a signal, or is over."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return True
    handled_mask = next((line.split()[1] for line in status.splitlines() if line.startswith("SigCgt:")), "0")
    return bool(int(handled_mask, 16) >> (number - 1) & 1)


class Process:
    """A machine's process, one life after another."""

    def __init__(self, name: str, layout: Layout, now: Callable[[], float], events: list[Fact]) -> None:
        self.name, self.layout, self.now, self.events = name, layout, now, events
        self.is_router = name in layout.routers
        self.role = "dataplane" if self.is_router else "controlplane"
        self.life = 0
        self.started_at = 0.0
        self.popen: subprocess.Popen | None = None
        self.ended = trio.Event()  # this life
        self.ended.set()

    @property
    def running(self) -> bool:
        """Whether a life of it is not known to be over."""
        return self.popen is not None

    @property
    def log(self) -> Path:
        """The log of the newest life."""
        return self.layout.folder / "logs" / f"{self.name}.{self.life}.log"

    @property
    def front(self) -> str:
        """IP:PORT that clients ask; empty for a core machine."""
        return "{}:{}".format(*self.layout.front(self.name)) if self.is_router else ""

    def start(self) -> None:
        """Begin a life, unless one goes on."""
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
        """Wait until this life heeds SIGTERM, as the system says, or it is over, or ``BORN_WITHIN`` has passed."""
        while self.popen is not None and self.now() < self.started_at + HANDLER_TIMEOUT_S:
            if heeds(self.popen.pid, signal.SIGTERM):
                return
            await trio.sleep(POLL_INTERVAL_S)
            self.poll()

    def send(self, number: signal.Signals) -> bool:
        """Signal it; whether there was a process to signal."""
        self.poll()
        if self.popen is None:
            return False
        self.events.append(ProcessSignalled(self.now(), self.name, self.life, number.name))
        if self.is_router and number in (signal.SIGTERM, signal.SIGHUP):
            self.events.append(Signalled(self.now(), self.name, self.front, number.name))
        self.popen.send_signal(number)
        return True

    def kill(self) -> bool:
        """Kill it and wait for its end, which takes milliseconds; whether there was a process to kill."""
        killed = self.send(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(REAP_TIMEOUT_S)
            self.poll()
        return killed

    def poll(self) -> None:
        """Notice whether it is over."""
        if self.popen is None or (code := self.popen.poll()) is None:
            return
        self.popen = None
        self.events.append(ProcessEnded(self.now(), self.name, self.life, code))
        self.ended.set()

    def wipe_disk(self) -> None:
        """Lose the disk of a machine that does not run."""
        shutil.rmtree(self.layout.disk(self.name), ignore_errors=True)


class Processes:
    """All processes of a run. Whoever leaves the ``with`` block leaves none behind."""

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
        """Notice ends as they come, and logs that grow too large, for good."""
        while True:
            for process in self.by_name.values():
                process.poll()
                if process.running and process.log.stat().st_size > MAX_LOG_BYTES:
                    raise LogTooLarge(process.log.name)
            await trio.sleep(POLL_INTERVAL_S)
