"""What was read is answered before a process of the control plane ends: calls, polls, changes under way."""

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
CROSSING_SECONDS = 0.02  # in which a poll may cross the close of its connection


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class UnderWay(unittest.TestCase):
    """SIGTERM at a core machine while calls and polls are under way."""

    def assert_ended_well(self, fleet: Fleet, unit: Unit, since: float) -> None:
        """The program has ended by itself, within its grace, and without an error."""
        self.assertFalse(unit.machine.running)
        self.assertEqual(fleet.ended, [])
        self.assertLess(fleet.now() - since, GRACE_SECONDS)

    async def until_ended(self, fleet: Fleet, unit: Unit) -> None:
        await fleet.until(lambda: not unit.machine.running, within=2 * GRACE_SECONDS)

    def test_changes_and_polls_under_way_are_answered_when_nobody_can_release_the_machine(self) -> None:
        """The backup's disk hangs and the third machine is away: a change neither ends nor lets leadership go."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            await trio.sleep(1.0)
            unit, backup = fleet.primary(), fleet.backups()[0]
            fleet.kill(fleet.backups()[1])
            fleet.nursery.start_soon(fleet.hang_disk, backup, 60.0)
            answers: list[int] = []
            unanswered: list[float] = []
            for number in range(8):
                fleet.nursery.start_soon(self.keep_polling, fleet, unit.machine, 0.01 * number, unanswered)
                fleet.nursery.start_soon(self.keep_putting, fleet, unit.machine, 0.3 * number, answers, unanswered)
            await trio.sleep(1.0)
            since = fleet.now()
            fleet.terminate(unit)
            await self.until_ended(fleet, unit)
            self.assert_ended_well(fleet, unit, since)
            await trio.sleep(0.1)
            self.assertEqual(unanswered, [])
            self.assertEqual(set(answers), {503})

        play(main)

    async def keep_putting(
        self, fleet: Fleet, machine: Machine, after: float, answers: list[int], unanswered: list[float]
    ) -> None:
        """Sends an order to one machine again and again; notes for how long each was read that got no answer."""
        await trio.sleep(after)
        at, body = (machine.address, CONTROL), orjson.dumps(config_of(2))
        while machine.running:
            asked = trio.current_time()
            try:
                fields = [(b"If-Match", b"1")]
                answer = await call(
                    fleet.outside, fleet.memory, at, b"PUT", b"/config", body, fields, timeout_seconds=10.0
                )
                answers.append(answer.status)
            except CallFailed as error:
                if error.sent and (waited := trio.current_time() - asked) > CROSSING_SECONDS:
                    unanswered.append(waited)
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
            since = fleet.now()
            for number in range(8):
                fleet.nursery.start_soon(self.keep_polling, fleet, unit.machine, 0.01 * number, unanswered)
            await trio.sleep(0.5)
            fleet.terminate(unit)
            await self.until_ended(fleet, unit)
            self.assert_ended_well(fleet, unit, since + 0.5)
            await trio.sleep(0.1)
            self.assertEqual(unanswered, [])

        play(main, seed)

    async def keep_polling(self, fleet: Fleet, machine: Machine, after: float, unanswered: list[float]) -> None:
        """Polls as a router does; notes for how long each poll was held that got no answer."""
        await trio.sleep(after)
        caller = RecordClient(fleet.outside, CODEC, (machine.address, INNER[0]))
        poll = Poll(1, 0, (0, 0), 0, (0, 0), (0, 0), (0, 0), 1000)
        while machine.running:
            asked = trio.current_time()
            try:
                answer = await caller.call(poll, 3.0)
            except ConnectionFailed:
                if (waited := trio.current_time() - asked) > CROSSING_SECONDS:
                    unanswered.append(waited)
                return
            if isinstance(answer, Update):
                known = dict(
                    fingerprint=answer.fingerprint,
                    registry_version=answer.registry_version,
                    prefix_holdings_version=answer.prefix_holdings_version,
                )
                poll = replace(poll, state_version=answer.state_version, peers_version=answer.peers_version, **known)
            else:
                await trio.sleep(0.05)


class Signals(unittest.TestCase):
    def test_a_second_sigterm_and_sighup_change_nothing(self) -> None:
        async def main(fleet: Fleet) -> None:
            await fleet.start()
            await trio.sleep(1.0)
            unit, since = fleet.primary(), fleet.now()
            fleet.terminate(unit)
            unit.machine.signal(signal.SIGHUP)
            unit.machine.signal(signal.SIGTERM)
            await fleet.until(lambda: not unit.machine.running)
            self.assertLess(fleet.now() - since, GRACE_SECONDS)
            self.assertEqual(fleet.ended, [])
            await fleet.put(config_of(fleet.sent + 1))
            self.assertGreater(fleet.revision, 1)

        play(main)


class Process(unittest.TestCase):
    """A real process of the control plane that receives signals."""

    def run_until_signalled(
        self, event: str, signals: list[signal.Signals], data_is_a_file: bool = False
    ) -> tuple[int, str]:
        """The exit code, and what was logged after the line of this event, at which the signals were sent."""
        folder = Path(self.enterContext(TemporaryDirectory()))
        ip = f"127.{os.getpid() >> 8 & 0x7F}.{os.getpid() & 0xFF}.9"
        if data_is_a_file:
            (folder / "data").write_text("")
        boot = {
            "nodeName": "core-1",
            "machineClass": "core",
            "ip": ip,
            "zone": "z",
            "listenAddresses": {"controlPlane": f"{ip}:8500"},
            "internalPorts": [7400, 7401],
            "bootstrap": True,
            "seedNodes": [f"{ip}:8500"],
            "dataDir": str(folder / "data"),
        }
        (folder / "boot.json").write_bytes(orjson.dumps(boot))
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "rowanshift.py"), "controlplane", "--boot", str(folder / "boot.json")],
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            while event not in (line := process.stderr.readline()):
                self.assertNotEqual(line, "", "it ended before")
            for number in signals:
                process.send_signal(number)
            _, log = process.communicate(timeout=30)
        finally:
            process.kill()
            process.stderr.close()
        return process.returncode, log

    def test_it_ends_well_however_many_signals_come(self) -> None:
        for signals in ([signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM]):
            with self.subTest(signals=signals):
                code, log = self.run_until_signalled("event=started", signals)
                self.assertEqual(code, 0, log)
                self.assertIn("event=left released=True", log)
                self.assertNotIn("Traceback", log)

    def test_it_ends_well_while_its_disk_can_not_be_opened(self) -> None:
        code, log = self.run_until_signalled("event=disk_not_open", [signal.SIGTERM], data_is_a_file=True)
        self.assertEqual(code, 0, log)
        self.assertNotIn("Traceback", log)


if __name__ == "__main__":
    unittest.main()
