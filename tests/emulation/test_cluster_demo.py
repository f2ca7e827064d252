"""Tests of the ``demo`` command: its streamed request, its options and how it ends."""

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
DEMO_PROGRAM = """
import signal
signal.signal(signal.SIGINT, signal.default_int_handler)  # the signal is ignored in background jobs
from rowanshift.emulation.cluster import demo
raise SystemExit(demo(True, {!r}))
"""


class DemoCommand(unittest.TestCase):
    def test_it_shows_one_streamed_request_and_exits(self) -> None:
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

    def test_it_runs_until_a_signal_and_removes_its_data(self) -> None:
        for signal_number, status in ((signal.SIGINT, 0), (signal.SIGTERM, 0)):
            with (
                tempfile.TemporaryDirectory() as temporary,
                subprocess.Popen(
                    [
                        sys.executable,
                        "-c",
                        DEMO_PROGRAM.format(unused_network()),
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
                    process.send_signal(signal_number)
                    process.stdout.read()
                    self.assertEqual(process.wait(TIMEOUT_SECONDS), status)
                    self.assertEqual(os.listdir(temporary), [])
                finally:
                    process.kill()

    def test_an_address_in_use_is_reported(self) -> None:
        network = unused_network()
        with socket.create_server((f"{network}1", cluster.CONTROL)):
            completed = subprocess.run(
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
        self.assertEqual(completed.returncode, 1, completed.stderr)
        self.assertRegex(completed.stderr, rf"rowanshift: .*{network}1:{cluster.CONTROL}")

    def test_the_options_select_the_demo(self) -> None:
        router_demo = mock.Mock(return_value=0)
        with (
            mock.patch.object(cluster, "demo", return_value=0) as system_demo,
            mock.patch.dict(sys.modules, {"rowanshift.emulation.demo": mock.Mock(demo=router_demo)}),
        ):
            invoke("demo", "--no-stay")
            invoke("demo")
            self.assertEqual(
                (system_demo.mock_calls, router_demo.mock_calls), ([mock.call(False), mock.call(True)], [])
            )
            invoke("demo", "--router")
            invoke("demo", "--no-router")
            invoke("demo", "-c", "x", "--no-stay")
            example = Path("examples/config.json")
            self.assertEqual(
                router_demo.mock_calls,
                [mock.call(example, True, True), mock.call(example, True, False), mock.call(Path("x"), False, True)],
            )
