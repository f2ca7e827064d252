"""A small running system on loopback for the tests of commands, and helpers of these tests."""

import random
import re
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from pathlib import Path

import orjson
import trio
from loguru import logger

from rowanshift.emulation import cluster
from tests.support.helpers import invoke

TIMEOUT_SECONDS = 30.0  # limit of each wait
POLL_SECONDS = 0.02


def unused_network() -> str:
    """Return a random loopback /24 prefix, such as ``127.20.30.``, that other test runs are unlikely to use."""
    return f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."


def temporary_folder(case: unittest.TestCase) -> Path:
    """Create a folder that is removed at the end of the test."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return Path(folder.name)


class TrioThread:
    """Context manager that runs a coroutine and its tasks in a thread; exiting raises their errors."""

    def __init__(self, run) -> None:
        self.run, self.started, self.error = run, threading.Event(), None
        self.thread = threading.Thread(target=self._main, daemon=True)

    def _main(self) -> None:
        try:
            trio.run(self._run)
        except BaseException as error:
            self.error = error
            self.started.set()

    async def _run(self) -> None:
        self.token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            with trio.fail_after(TIMEOUT_SECONDS):
                self.result = await self.run(nursery)
            self.started.set()
            await trio.sleep_forever()

    def __enter__(self):
        self.thread.start()
        if not self.started.wait(TIMEOUT_SECONDS + 5):
            raise TimeoutError("the thread did not start in time")
        if self.error is not None:
            raise self.error
        return self.result

    def call(self, function, *arguments):
        return trio.from_thread.run(function, *arguments, trio_token=self.token)

    def __exit__(self, *_) -> None:
        self.token.run_sync_soon(self.scope.cancel)
        self.thread.join(TIMEOUT_SECONDS)
        if self.error is not None:
            raise self.error


class SmallSystemCase(unittest.TestCase):
    """A test case with one small system for all its tests, and helpers that run commands against it."""

    @classmethod
    def setUpClass(cls) -> None:
        logger.remove()
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)

        async def start(nursery: trio.Nursery) -> cluster.SmallSystem:
            system = cluster.SmallSystem(cls.folder / "machines", unused_network())
            nursery.start_soon(system.run)
            await system.primary()
            return system

        (cls.folder / "machines").mkdir()
        cls.thread = TrioThread(start)
        cls.system = cls.enterClassContext(cls.thread)
        cls.controls = ["{}:{}".format(*control) for control in cls.system.controls]

    def invoke(self, *arguments, at: str = ""):
        """Run a command against the system; return its exit status and output."""
        return invoke(*arguments, "--at", at or ",".join(self.controls))

    def wait_in_system(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds that is evaluated in the thread of the system."""

        async def wait() -> None:
            with trio.fail_after(TIMEOUT_SECONDS):
                while not condition():
                    await trio.sleep(POLL_SECONDS)

        self.thread.call(wait)

    def wait_for_output(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds that is evaluated in the calling thread, for example by running commands."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")

    def write(self, name: str, config: dict) -> Path:
        path = self.folder / name
        path.write_bytes(orjson.dumps(config))
        return path

    def put(self, path: Path) -> None:
        """Put a configuration, which must be accepted."""
        revision = orjson.loads(path.read_bytes())["revision"]
        self.assertEqual(self.invoke("config", "put", path), (0, f"revision {revision} is in force\n"))

    def next_configuration(self, **changes) -> dict:
        """Return a configuration with the next revision."""
        return cluster.CONFIG | {"revision": self.revision() + 1} | changes

    def revision(self) -> int:
        return next((document["revision"] for document in self.statuses() if document["primary"]), 0)

    def statuses(self) -> list[dict]:
        return orjson.loads(self.invoke("status", "--json")[1])["machines"]

    def wait_for_duties(self, pattern: str) -> str:
        """Wait until the output of ``duties`` matches a pattern, and return it."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            code, text = self.invoke("duties")
            if code == 0 and re.search(pattern, text):
                return text
        raise AssertionError(f"the output of duties did not match {pattern!r} in time: {text}")
