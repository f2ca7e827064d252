"""Graceful shutdown of a core machine: calls, polls and changes that were read are answered before it ends."""

import os
import signal
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
import trio
from loguru import logger
from msgspec.structs import replace

from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.simulation.fleet_settings import BOUNDS, CONTROL, INNER
from rowanshift.simulation.machine import Machine
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.record_links import ConnectionFailed, RecordClient
from rowanshift.wire.control_updates import Poll, Update

ROOT = Path(__file__).parents[2]
GRACE_SECONDS = BOUNDS["graceS"]
CROSSING_SECONDS = 0.02  # time in which a request may be sent while the server closes its connection


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class PendingRequests(unittest.TestCase):
    """SIGTERM to a core machine with pending calls and polls."""

    def assert_clean_exit(self, fleet: Fleet, unit: Unit, signalled_at: float) -> None:
        """Check that the process has exited by itself, within its grace period, and without an error."""
        self.assertFalse(unit.machine.running)
        self.assertEqual(fleet.ended, [])
        self.assertLess(fleet.now() - signalled_at, GRACE_SECONDS)

    async def wait_until_ended(self, fleet: Fleet, unit: Unit) -> None:
        await fleet.until(lambda: not unit.machine.running, within=2 * GRACE_SECONDS)

    def test_pending_changes_and_polls_are_answered_when_the_machine_cannot_be_released(self) -> None:
        """The disk of one backup hangs and the other one is down: a change neither completes nor allows a handover."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            await trio.sleep(1.0)
            unit, backup = fleet.primary(), fleet.backups()[0]
            fleet.kill(fleet.backups()[1])
            fleet.nursery.start_soon(fleet.hang_disk, backup, 60.0)
            answers: list[int] = []
            unanswered: list[float] = []
            for number in range(8):
                fleet.nursery.start_soon(self.poll_repeatedly, fleet, unit.machine, 0.01 * number, unanswered)
                fleet.nursery.start_soon(self.put_repeatedly, fleet, unit.machine, 0.3 * number, answers, unanswered)
            await trio.sleep(1.0)
            signalled_at = fleet.now()
            fleet.terminate(unit)
            await self.wait_until_ended(fleet, unit)
            self.assert_clean_exit(fleet, unit, signalled_at)
            await trio.sleep(0.1)
            self.assertEqual(unanswered, [])
            self.assertEqual(set(answers), {503})

        play(main)

    async def put_repeatedly(
        self, fleet: Fleet, machine: Machine, after: float, answers: list[int], unanswered: list[float]
    ) -> None:
        """Send an order to one machine repeatedly; record how long each unanswered order was pending."""
        await trio.sleep(after)
        address, body = (machine.address, CONTROL), orjson.dumps(config_of(2))
        while machine.running:
            sent_at = trio.current_time()
            try:
                fields = [(b"If-Match", b"1")]
                answer = await call(
                    fleet.outside, fleet.memory, address, b"PUT", b"/config", body, fields, timeout_seconds=10.0
                )
                answers.append(answer.status)
            except CallFailed as error:
                if error.sent and (pending_seconds := trio.current_time() - sent_at) > CROSSING_SECONDS:
                    unanswered.append(pending_seconds)
            await trio.sleep(0.05)

    def test_polls_that_were_read_are_answered(self) -> None:
        for role in ("primary", "backup"):
            for seed in range(3):
                with self.subTest(role=role, seed=seed):
                    self.play_polls(role, f"polls/{seed}")

    def play_polls(self, role: str, seed: str) -> None:
        async def main(fleet: Fleet) -> None:
            await fleet.start()
            await trio.sleep(1.0)
            unit = fleet.primary() if role == "primary" else fleet.backups()[0]
            unanswered: list[float] = []
            signalled_at = fleet.now()
            for number in range(8):
                fleet.nursery.start_soon(self.poll_repeatedly, fleet, unit.machine, 0.01 * number, unanswered)
            await trio.sleep(0.5)
            fleet.terminate(unit)
            await self.wait_until_ended(fleet, unit)
            self.assert_clean_exit(fleet, unit, signalled_at + 0.5)
            await trio.sleep(0.1)
            self.assertEqual(unanswered, [])

        play(main, seed)

    async def poll_repeatedly(self, fleet: Fleet, machine: Machine, after: float, unanswered: list[float]) -> None:
        """Poll as a router does; record how long each unanswered poll was pending."""
        await trio.sleep(after)
        client = RecordClient(fleet.outside, CODEC, (machine.address, INNER[0]))
        poll = Poll(1, 0, (0, 0), 0, (0, 0), (0, 0), (0, 0), 1000)
        while machine.running:
            sent_at = trio.current_time()
            try:
                answer = await client.call(poll, 3.0)
            except ConnectionFailed:
                if (pending_seconds := trio.current_time() - sent_at) > CROSSING_SECONDS:
                    unanswered.append(pending_seconds)
                return
            if isinstance(answer, Update):
                known_versions = dict(
                    fingerprint=answer.fingerprint,
                    registry_version=answer.registry_version,
                    prefix_holdings_version=answer.prefix_holdings_version,
                )
                poll = replace(
                    poll, state_version=answer.state_version, peers_version=answer.peers_version, **known_versions
                )
            else:
                await trio.sleep(0.05)


class Signals(unittest.TestCase):
    def test_a_second_sigterm_and_sighup_have_no_effect(self) -> None:
        async def main(fleet: Fleet) -> None:
            await fleet.start()
            await trio.sleep(1.0)
            unit, signalled_at = fleet.primary(), fleet.now()
            fleet.terminate(unit)
            unit.machine.signal(signal.SIGHUP)
            unit.machine.signal(signal.SIGTERM)
            await fleet.until(lambda: not unit.machine.running)
            self.assertLess(fleet.now() - signalled_at, GRACE_SECONDS)
            self.assertEqual(fleet.ended, [])
            await fleet.put(config_of(fleet.sent + 1))
            self.assertGreater(fleet.revision, 1)

        play(main)


class Process(unittest.TestCase):
    """A real control plane process that receives signals."""

    def run_until_signalled(
        self, event: str, signals: list[signal.Signals], data_is_a_file: bool = False
    ) -> tuple[int, str]:
        """Send signals when ``event`` is logged; return the exit code and the log after that line."""
        directory = Path(self.enterContext(TemporaryDirectory()))
        ip = f"127.{os.getpid() >> 8 & 0x7F}.{os.getpid() & 0xFF}.9"
        if data_is_a_file:
            (directory / "data").write_text("")
        boot = {
            "nodeName": "core-1",
            "machineClass": "core",
            "ip": ip,
            "zone": "z",
            "listenAddresses": {"controlPlane": f"{ip}:8500"},
            "internalPorts": [7400, 7401],
            "bootstrap": True,
            "seedNodes": [f"{ip}:8500"],
            "dataDir": str(directory / "data"),
        }
        (directory / "boot.json").write_bytes(orjson.dumps(boot))
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "rowanshift.py"), "controlplane", "--boot", str(directory / "boot.json")],
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            while event not in (line := process.stderr.readline()):
                self.assertNotEqual(line, "", f"the process ended before it logged {event}")
            for number in signals:
                process.send_signal(number)
            _, log = process.communicate(timeout=30)
        finally:
            process.kill()
            process.stderr.close()
        return process.returncode, log

    def test_the_process_exits_cleanly_after_one_or_more_signals(self) -> None:
        for signals in ([signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM]):
            with self.subTest(signals=signals):
                code, log = self.run_until_signalled("event=started", signals)
                self.assertEqual(code, 0, log)
                self.assertIn("event=left released=True", log)
                self.assertNotIn("Traceback", log)

    def test_the_process_exits_cleanly_while_its_disk_cannot_be_opened(self) -> None:
        code, log = self.run_until_signalled("event=disk_not_open", [signal.SIGTERM], data_is_a_file=True)
        self.assertEqual(code, 0, log)
        self.assertNotIn("Traceback", log)


if __name__ == "__main__":
    unittest.main()
