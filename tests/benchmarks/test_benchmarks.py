"""The benchmarks run and report what they measured; no test asserts a time of the machine."""

import importlib.util
import io
import json
import subprocess
import sys
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

import trio

from rowanshift.emulation.system_clients import Piece, Try

ROOT = Path(__file__).parents[2]
PROXY = ROOT / "benchmarks" / "proxy.py"
MIXED_VERSIONS = ROOT / "benchmarks" / "mixed_versions.py"
COST = ROOT / "benchmarks" / "cost.py"
REVISION = "HEAD" if (ROOT / ".git").exists() else "."  # a copy without a repository holds no revisions
SHORT = ["--rounds", "1", "--requests", "256", "--connections", "64", "--json"]


def load_module(name: str = "proxy"):
    spec = importlib.util.spec_from_file_location(f"{name}_benchmark", PROXY.with_name(f"{name}.py"))
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    with mock.patch.object(sys, "path", [str(PROXY.parent), *sys.path]):  # as when the file is run as a script
        spec.loader.exec_module(module)
    return module


def silent(port: int, rows: list[dict]) -> None:
    """A discovery server that accepts connections and never answers."""
    trio.run(trio.serve_tcp, lambda stream: trio.sleep_forever(), port)


class Proxy(unittest.TestCase):
    def test_a_short_run_reports_figures(self) -> None:
        done = subprocess.run([sys.executable, PROXY, *SHORT], capture_output=True, text=True, timeout=60)
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        result = json.loads(done.stdout)
        self.assertEqual(list(result), ["64"])
        self.assertEqual(list(result["64"]), ["this tree", "relay", "ratio to relay"])
        self.assertTrue(all(value > 0 for value in result["64"].values()), result)

    def test_a_run_that_measures_nothing_fails(self) -> None:
        proxy = load_module()
        stderr, stdout = io.StringIO(), io.StringIO()
        with (
            mock.patch.object(proxy, "serve_discovery", silent),
            redirect_stderr(stderr),
            redirect_stdout(stdout),
            self.assertRaises(SystemExit) as end,
        ):
            proxy.main(SHORT)
        self.assertEqual((end.exception.code, stdout.getvalue()), (1, ""))
        self.assertEqual(
            stderr.getvalue(),
            "benchmarks/proxy.py: this tree: only 0 of 256 served at 64 connections; nothing is measured\n",
        )

    def test_invalid_options_are_refused(self) -> None:
        for options in (["--requests", "255"], ["--rounds", "0"], ["--connections", "0"], ["--rounds", "x"]):
            with self.subTest(options), redirect_stderr(io.StringIO()), self.assertRaises(SystemExit) as end:
                load_module().main(options)
            self.assertEqual(end.exception.code, 2)


class Changes(unittest.TestCase):
    def test_a_short_run_keeps_up_and_costs_what_it_changes(self) -> None:
        changes = load_module("changes")
        measurements = changes.measure(40, 200, 300, whole=False)
        self.assertEqual((measurements.acknowledged + measurements.unclear, measurements.behind), (40, []))
        self.assertEqual(set(measurements.until_full), set(changes.FAULTS))
        self.assertLess(max(measurements.until_full.values()), 3.0)
        self.assertLess(
            measurements.bytes_sent["StoreDelta"], 0.1 * measurements.acknowledged * measurements.state_bytes
        )
        self.assertGreater(measurements.bytes_sent["StoreDelta"], 0)


class MixedVersions(unittest.TestCase):
    def run_tool(self, *options: str) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, MIXED_VERSIONS, *options], capture_output=True, text=True, timeout=180, cwd=ROOT
        )

    def test_a_revision_works_together_with_this_checkout(self) -> None:
        done = self.run_tool("--revision", REVISION, "--combinations", "mostly-old", "--requests", "10")
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        rows = [line.split("|") for line in done.stdout.splitlines()[2:]]
        self.assertEqual([row[2].strip() for row in rows], [REVISION, "."])
        for row in rows:
            sent, answered, complete = (int(cell) for cell in row[3:6])
            self.assertEqual((answered, complete), (sent, sent))
            self.assertGreaterEqual(sent, 10)
            self.assertEqual(row[9].split(), ["0"] * 5)

    def test_an_unknown_revision_is_refused(self) -> None:
        done = self.run_tool("--revision", "no-such-revision")
        self.assertEqual((done.returncode, done.stdout), (2, ""))
        self.assertIn("benchmarks/mixed_versions.py: no-such-revision: ", done.stderr)

    def test_a_stream_with_a_missing_or_repeated_event_is_not_complete(self) -> None:
        system = load_module("loopback_system")

        def stream(*bounds: tuple[int, int], final: bool = True) -> Try:
            pieces = [Piece(0.0, "r", first, last, "of", "run", last == 8 and final) for first, last in bounds]
            return Try("r", ("127.0.0.1", 1), 0.0, how="whole", status=200, pieces=pieces)

        self.assertTrue(system.is_complete(stream((0, 4), (4, 8)), 8))
        for attempt in (
            stream((0, 4)),
            stream((4, 8)),
            stream((0, 4), (0, 4), (4, 8)),
            stream((0, 4), (4, 8), final=False),
            stream(),
        ):
            self.assertFalse(system.is_complete(attempt, 8), attempt)


class Cost(unittest.TestCase):
    def run_tool(self, *options: str) -> subprocess.CompletedProcess:
        return subprocess.run([sys.executable, COST, *options], capture_output=True, text=True, timeout=180, cwd=ROOT)

    def test_a_short_run_compares_a_revision_with_this_checkout(self) -> None:
        short = ("--rounds", "1", "--requests", "20", "--streams", "4")
        done = self.run_tool("--revision", REVISION, *short, "--limit", "0.01")
        rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in done.stdout.splitlines()]
        self.assertEqual(rows[0][2:4], [REVISION, "."], done.stderr)
        names = [*dict.fromkeys(row[0] for row in rows[2:])]
        self.assertEqual(len(names), 8, done.stdout)
        for row in rows[2:]:
            self.assertTrue(all(float(cell) > 0 for cell in row[2:5]), row)
        exceeded = [f"benchmarks/cost.py: {name}: over 0.01 times the cost" for name in names[:6]]
        self.assertEqual((done.returncode, done.stderr.splitlines()), (1, exceeded))

    def test_unknown_revisions_and_invalid_options_are_refused(self) -> None:
        for options in (
            ("--revision", "no-such-revision"),
            ("--requests", "3"),
            ("--requests", "6"),
            ("--streams", "0"),
            ("--rounds", "0"),
        ):
            with self.subTest(options):
                done = self.run_tool(*options)
                self.assertEqual((done.returncode, done.stdout), (2, ""))
                self.assertIn("cost.py: ", done.stderr)

    def test_a_ratio_is_the_median_over_the_rounds(self) -> None:
        cost = load_module("cost")
        by_time, by_instructions = cost.cost("request", "us", "thousand"), cost.cost("request", "us", "thousand")
        for first, other in ((100, 103), (200, 190), (50, 52)):
            for side, used in enumerate((first, other)):
                by_time.add(side, cost.Usage(used * 1e-6, None))
                by_instructions.add(side, cost.Usage(1.0 + side, 1000 * used), 10)
        self.assertAlmostEqual(by_time.time.ratio(), 1.03)
        self.assertEqual((by_time.exceeds(1.02), by_time.exceeds(1.04)), (True, False))
        self.assertEqual(by_instructions.instructions.values[0], [10.0, 20.0, 5.0])
        self.assertEqual((by_instructions.exceeds(1.02), by_instructions.exceeds(1.04)), (True, False))

    def test_each_side_goes_first_in_every_second_round(self) -> None:
        self.assertEqual([load_module("cost").measurement_order(number) for number in range(4)], [(0, 1), (1, 0)] * 2)
