"""What was read is answered before a process of the control plane ends: calls, polls, changes under way."""

import os
import signal
import subprocess
import sys
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
import trio
from loguru import logger

from rowanshift.admin import commands as staff
from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.simulation.fleet_settings import BOUNDS, CONTROL, INNER
from rowanshift.simulation.machine import Machine
from rowanshift.transport import call_server
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.call_server import CallServer
from rowanshift.transport.http_connection import Message
from rowanshift.transport.http_response import Response
from rowanshift.transport.record_links import ConnectionFailed, RecordClient
from rowanshift.transport.streams import connect, send_all
from rowanshift.wire.control_updates import Poll, Update

ROOT = Path(__file__).parents[2]
PORT = 700
GRACE = BOUNDS["graceS"]  # seconds
CROSSING = 0.02  # seconds in which a poll may cross the close of its connection
ENDS_WITHIN = 0.5  # seconds for a server that has nothing to answer


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Slow:
    """A resource that answers after so many seconds; ``begun`` is set by its first call."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.calls = 0
        self.begun = trio.Event()

    async def call(self, message: Message) -> Response:
        self.calls += 1
        self.begun.set()
        await trio.sleep(self.seconds)
        return Response(200, b"{}")


class ServerCase(unittest.TestCase):
    """A ``CallServer`` on a machine of the virtual network, and its callers on another."""

    def played(self, main: Callable[["ServerCase"], Awaitable[None]], seconds: float) -> None:
        async def all_of_it(fleet: Fleet) -> None:
            self.fleet, self.machine = fleet, fleet.standing("called", 0)
            self.resource = Slow(seconds)
            self.server = CallServer({b"/slow": self.resource}, fleet.memory, 1 << 20)
            self.at = (self.machine.address, PORT)
            self.ended = trio.Event()
            fleet.nursery.start_soon(self.serve, fleet.nursery)
            await trio.sleep(0.1)
            await main()

        play(all_of_it)

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.server.serve(self.machine.listen(self.at, 64), nursery, trio.sleep)
        self.ended.set()

    async def ask(self, answers: list[int | str]) -> None:
        try:
            answer = await call(self.fleet.outside, self.fleet.memory, self.at, b"GET", b"/slow", within=10.0)
            answers.append(answer.status)
        except CallFailed as error:
            answers.append(str(error))

    async def leave(self, within: float) -> float:
        """Have the server leave; the seconds that this took."""
        began = trio.current_time()
        await self.server.shut_down(within, trio.sleep)
        return trio.current_time() - began


class Calls(ServerCase):
    def test_what_was_read_is_answered_before_the_server_ends(self) -> None:
        async def main() -> None:
            answers: list[int | str] = []
            self.fleet.nursery.start_soon(self.ask, answers)
            await self.resource.begun.wait()
            took = await self.leave(2.0)
            await trio.sleep(0.1)
            self.assertEqual(answers, [200])
            self.assertTrue(0.9 < took < 1.2, took)

        self.played(main, 1.0)

    def test_what_can_not_be_answered_in_time_is_told_so(self) -> None:
        async def main() -> None:
            answers: list[int | str] = []
            self.fleet.nursery.start_soon(self.ask, answers)
            await self.resource.begun.wait()
            took = await self.leave(0.5)
            await trio.sleep(0.1)
            self.assertEqual(answers, [503])
            self.assertLess(took, 0.5 + 2 * call_server.LAST_WRITES_SECONDS)

        self.played(main, 30.0)

    def test_a_call_that_comes_meanwhile_is_refused_at_once_and_not_begun(self) -> None:
        async def main() -> None:
            answers: list[int | str] = []
            self.fleet.nursery.start_soon(self.ask, answers)
            await self.resource.begun.wait()
            stream = self.fleet.outside.stream()
            await connect(stream, self.at)
            await send_all(stream, b"GET /slow HTTP/1.1\r\nHost: a\r\n")  # not whole yet
            await trio.sleep(0.1)
            self.fleet.nursery.start_soon(self.leave, 2.0)
            await trio.sleep(0.1)
            await send_all(stream, b"\r\n")
            await stream.wait_readable()
            space = bytearray(4096)
            said = bytes(space[: stream.recv_into(memoryview(space))])
            self.assertTrue(said.startswith(b"HTTP/1.1 503 "), said)
            self.assertIn(b"Retry-After: 0.3\r\n", said)
            self.assertIn(b"Connection: close\r\n", said)
            await trio.sleep(1.0)
            self.assertEqual((answers, self.resource.calls), ([200], 1))

        self.played(main, 1.0)

    def test_connections_that_wait_to_be_accepted_are_taken_in_and_the_listener_is_closed(self) -> None:
        async def main() -> None:
            answers: list[int | str] = []
            for _ in range(3):
                self.fleet.nursery.start_soon(self.ask, answers)
            self.machine.stand_still()
            await trio.sleep(0.2)
            self.server.accepting.cancel()
            self.server.shutting_down = True
            self.machine.go_on()
            await trio.sleep(1.0)
            self.assertEqual(answers, [503] * 3)
            self.assertTrue(self.ended.is_set())
            await self.ask(answers)
            self.assertNotIn(answers[-1], (200, 503))  # nobody listens

        self.played(main, 0.1)

    def test_idle_connections_hold_up_nothing(self) -> None:
        async def main() -> None:
            stream = self.fleet.outside.stream()
            await connect(stream, self.at)
            await trio.sleep(0.1)
            self.assertLess(await self.leave(5.0), ENDS_WITHIN)
            self.assertEqual(self.server.open, 0)

        self.played(main, 0.1)

    def test_a_connection_that_is_closed_before_its_task_begins_is_no_failure(self) -> None:
        async def main() -> None:
            said: list[str] = []
            sink = logger.add(said.append, format="{message}")
            logger.enable("rowanshift")
            try:
                async with trio.open_nursery() as nursery:
                    server = CallServer({}, self.fleet.memory)
                    listener = staff.SYSTEM_RUNTIME.listen(("127.0.0.1", 0), 4)
                    stream = staff.SYSTEM_RUNTIME.stream()
                    await connect(stream, listener.sock.getsockname())
                    nursery.start_soon(server.serve, listener, nursery, trio.sleep)
                    await listener.wait()
                    server.accepting.cancel()
                    while not server.open:
                        await trio.lowlevel.checkpoint()
                    server._close_idle(1)
                stream.close()
            finally:
                logger.disable("rowanshift")
                logger.remove(sink)
            self.assertEqual(said, [])

        self.played(main, 0.1)

    def test_an_idle_connection_makes_room_for_a_call(self) -> None:
        async def main() -> None:
            for _ in range(call_server.MAX_CALLERS):
                await connect(self.fleet.outside.stream(), self.at)
            await trio.sleep(0.1)
            self.assertEqual(self.server.open, call_server.MAX_CALLERS)
            answers: list[int | str] = []
            await self.ask(answers)
            self.assertEqual(answers, [200])

        self.played(main, 0.1)


class ControlPlane(unittest.TestCase):
    """Whole programs: SIGTERM while something is under way."""

    def ended_well(self, fleet: Fleet, unit: Unit, since: float) -> None:
        """The program has ended by itself, within its grace, and without an error."""
        self.assertFalse(unit.machine.running)
        self.assertEqual(fleet.ended, [])
        self.assertLess(fleet.now() - since, GRACE)

    async def until_ended(self, fleet: Fleet, unit: Unit) -> None:
        await fleet.until(lambda: not unit.machine.running, within=2 * GRACE)

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
            self.ended_well(fleet, unit, since)
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
                answer = await call(fleet.outside, fleet.memory, at, b"PUT", b"/config", body, fields, within=10.0)
                answers.append(answer.status)
            except CallFailed as error:
                if error.sent and (held := trio.current_time() - asked) > CROSSING:
                    unanswered.append(held)
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
            self.ended_well(fleet, unit, since + 0.5)
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
                answer = await caller.ask(poll, 3.0)
            except ConnectionFailed:
                if (held := trio.current_time() - asked) > CROSSING:
                    unanswered.append(held)
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
            self.assertLess(fleet.now() - since, GRACE)
            self.assertEqual(fleet.ended, [])
            await fleet.put(config_of(fleet.sent + 1))
            self.assertGreater(fleet.revision, 1)

        play(main)


class Process(unittest.TestCase):
    """A real process of the control plane, told to stop."""

    def shutdown_requested(
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
            _, said = process.communicate(timeout=30)
        finally:
            process.kill()
            process.stderr.close()
        return process.returncode, said

    def test_it_ends_well_however_many_signals_come(self) -> None:
        for signals in ([signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM]):
            with self.subTest(signals=signals):
                code, said = self.shutdown_requested("event=started", signals)
                self.assertEqual(code, 0, said)
                self.assertIn("event=left released=True", said)
                self.assertNotIn("Traceback", said)

    def test_it_ends_well_while_its_disk_can_not_be_opened(self) -> None:
        code, said = self.shutdown_requested("event=disk_not_open", [signal.SIGTERM], data_is_a_file=True)
        self.assertEqual(code, 0, said)
        self.assertNotIn("Traceback", said)


if __name__ == "__main__":
    unittest.main()
