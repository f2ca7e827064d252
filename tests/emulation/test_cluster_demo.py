"""The demos: one streamed request of the whole system on loopback, and how the command starts and ends."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio

from rowanshift.emulation import cluster
from tests.support.helpers import invoke
from tests.support.small_system import TIMEOUT_SECONDS, temporary_folder, unused_network

ROOT = Path(__file__).parents[2]
PROGRAM = """
import signal
signal.signal(signal.SIGINT, signal.default_int_handler)  # which is ignored where the tests run in the background
from rowanshift.emulation.cluster import demo
raise SystemExit(demo(True, {!r}))
"""


class Demo(unittest.TestCase):
    def test_one_streamed_request_is_shown_and_it_ends(self) -> None:
        output = []
        with mock.patch.object(cluster, "say", output.append):
            trio.run(cluster.play, temporary_folder(self), False, unused_network())
        text = "\n".join(output)
        self.assertRegex(text, r"Primary: 127\.\S+, epoch \d+; in sync: 127\.\S+, 127\.\S+; witnesses: ")
        self.assertIn("PUT /config: 200; revision 1 is on 2 disks", text)
        events = [line for line in output if "  id " in line]
        self.assertEqual(len(events), 5, text)
        self.assertEqual([line.endswith("(the last)") for line in events], [False] * 4 + [True])
        self.assertEqual(output[-1], "  200, 5 events")

    def test_the_command_goes_on_until_it_is_ended_and_removes_its_data(self) -> None:
        for number, status in ((signal.SIGINT, 0), (signal.SIGTERM, 0)):
            with (
                tempfile.TemporaryDirectory() as temporary,
                subprocess.Popen(
                    [
                        sys.executable,
                        "-c",
                        PROGRAM.format(unused_network()),
                    ],
                    cwd=ROOT,
                    env=os.environ | {"TMPDIR": temporary},
                    stdout=subprocess.PIPE,
                    text=True,
                ) as process,
            ):
                try:
                    lines = iter(process.stdout.readline, "")
                    self.assertTrue(any("Ctrl-C" in line for line in lines))
                    self.assertEqual(len(os.listdir(temporary)), 1)
                    process.send_signal(number)
                    process.stdout.read()
                    self.assertEqual(process.wait(TIMEOUT_SECONDS), status)
                    self.assertEqual(os.listdir(temporary), [])
                finally:
                    process.kill()

    def test_an_address_in_use_is_reported(self) -> None:
        network = unused_network()
        with socket.create_server((f"{network}1", cluster.CONTROL)):
            done = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    f"from rowanshift.emulation.cluster import demo; raise SystemExit(demo(False, {network!r}))",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
            )
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertRegex(done.stderr, rf"rowanshift: .*{network}1:{cluster.CONTROL}")

    def test_which_demo_is_run(self) -> None:
        old = mock.Mock(return_value=0)
        with (
            mock.patch.object(cluster, "demo", return_value=0) as new,
            mock.patch.dict(sys.modules, {"rowanshift.emulation.demo": mock.Mock(demo=old)}),
        ):
            invoke("demo", "--no-stay")
            invoke("demo")
            self.assertEqual((new.mock_calls, old.mock_calls), ([mock.call(False), mock.call(True)], []))
            invoke("demo", "--router")
            invoke("demo", "--no-router")
            invoke("demo", "-c", "x", "--no-stay")
            example = Path("examples/config.json")
            self.assertEqual(
                old.mock_calls,
                [mock.call(example, True, True), mock.call(example, True, False), mock.call(Path("x"), False, True)],
            )
