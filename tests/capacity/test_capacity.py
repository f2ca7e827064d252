"""The capacity command: formulas checked exactly against the messages and bytes of a small run; fits; bad input.

No test asserts a time.
"""

import contextlib
import io
import json
import tempfile
import unittest
import zlib
from pathlib import Path
from unittest import mock

import orjson
import trio
from loguru import logger

from rowanshift.capacity import plots, sizes
from rowanshift.capacity.delivery import encode_difference
from rowanshift.capacity.errors import BadResults, DoesNotFit, NoPlots
from rowanshift.capacity.fit import fit_line
from rowanshift.capacity.hollow import Fleet, HollowLedger, generate_configuration, with_changed_tenant_key
from rowanshift.capacity.meter import LoopbackRuntime
from rowanshift.capacity.results import FORMAT_VERSION, Results, Step, Sweep, encode_results, read_results
from rowanshift.capacity.roles import figures_from_record_sizes
from rowanshift.capacity.sweep import Shape
from rowanshift.capacity.takeover import ReplicaSimulation
from rowanshift.cli import main
from rowanshift.controlplane.configuration_reader import parse_configuration
from rowanshift.controlplane.control_state import unpack
from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.controlplane.replication import EpochRecord, Heartbeat, HeartbeatReply, StateVersion, Store, StoreReply
from rowanshift.wire.control_updates import Redirect, Update

ROUTERS, SERVERS, TENANTS, ROUTES, POOLS = 3, 5, 4, 3, 2


def setUpModule() -> None:
    logger.remove()


async def small_run() -> dict:
    """Each router polls four times: it receives everything, then each change or the end of a held poll."""
    host_of_ledger, host = LoopbackRuntime(), LoopbackRuntime()
    async with trio.open_nursery() as nursery:
        ledger = HollowLedger(host_of_ledger, SERVERS, TENANTS, ROUTES, POOLS)
        await ledger.start(nursery)
        fleet = Fleet(host, ledger.address, ROUTERS)
        fleet.log = []
        with trio.fail_after(20):
            async with trio.open_nursery() as routers:
                await fleet.start(routers, max_polls=4)
                await fleet.wait_for(None, 10)
                await ledger.change_config()
                await ledger.change_roster()
        control_state = ledger.core_service.replica_runner.replica.committed_state
        counts = {
            "log": fleet.log,
            "polls": fleet.polls,
            "answers": fleet.answers,
            "sent": host.count.sent,
            "received": host.count.received,
            "at_ledger": (host_of_ledger.count.received, host_of_ledger.count.sent),
            "sheet": control_state,
        }
        ledger.stop()
        nursery.cancel_scope.cancel()
    return counts


def length(answer: Update) -> int:
    """Returns the length of an answer's frame by the formulas."""
    rows = sum(sizes.server_record(r.id, r.service, r.address, r.zone, r.versions) for r in answer.server_records)
    members = len(getattr(answer, "machines", ()))
    block_hashes = (len(answer.stored_block_hashes) + len(answer.removed_block_hashes)) // 8
    names = [name.model for name in answer.announcements]
    return sizes.update(
        len(answer.core_machines), len(answer.config), answer.versions, rows, block_hashes, members, names
    )


class FormulasTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.run_ = trio.run(small_run)

    def test_messages_and_bytes_of_a_small_run_are_those_of_the_formulas(self) -> None:
        run = self.run_
        self.assertEqual((run["polls"], run["answers"]), (4 * ROUTERS, 4 * ROUTERS))
        self.assertEqual(run["sent"], 4 * ROUTERS * sizes.poll())
        redirects = run["answers"] - len(run["log"])  # the lease may expire on a busy machine
        update_bytes = sum(length(answer) for answer in run["log"])
        self.assertEqual(run["received"], update_bytes + redirects * (sizes.empty_frame(Redirect) + 8))

    def test_the_small_run_sends_configurations_and_server_records(self) -> None:
        log = self.run_["log"]
        self.assertEqual(sum(answer.has_state for answer in log), 2 * ROUTERS)
        self.assertEqual(sum(answer.has_server_records for answer in log), 2 * ROUTERS)
        self.assertEqual({len(answer.server_records) for answer in log}, {0, SERVERS})

    def test_both_ends_count_the_same_bytes(self) -> None:
        self.assertEqual(self.run_["at_ledger"], (self.run_["sent"], self.run_["received"]))

    def test_control_state_length_matches_its_formula(self) -> None:
        packed = self.run_["sheet"]
        control_state = unpack(packed)
        self.assertEqual(
            len(packed),
            sizes.control_state(len(control_state.config), control_state.versions, len(control_state.orders)),
        )

    def test_records_between_core_machines_are_as_long_as_their_formulas(self) -> None:
        record = EpochRecord(7, 1, (1, 2), (1, 2, 3))
        for length, made in (
            (sizes.heartbeat(2, 3), Heartbeat(7, 1, record)),
            (sizes.heartbeat_reply(), HeartbeatReply(7, 1, True, 7, StateVersion(7, 0))),
            (sizes.store(9), Store(7, StateVersion(7, 0), b"9 bytes..")),
            (sizes.store_reply(), StoreReply(7, StateVersion(7, 0), True, 7)),
        ):
            with self.subTest(type(made).__name__):
                self.assertEqual(len(CODEC.pack(made)), length)

    def test_a_quiet_core_sends_one_heartbeat_a_round_to_each_other_machine(self) -> None:
        simulation = ReplicaSimulation(3, f=1, machines=3)
        simulation.run_until(6.0)
        ledger = simulation.ledgers[simulation.lease_holder()]
        simulation.sent.clear()
        bytes_before, round_before = simulation.bytes, ledger._heartbeat_round
        simulation.run_until(9.0)
        rounds = ledger._heartbeat_round - round_before
        self.assertGreater(rounds, 5)
        self.assertEqual(dict(simulation.sent), {"Heartbeat": 2 * rounds, "HeartbeatReply": 2 * rounds})
        self.assertEqual(
            simulation.bytes - bytes_before, 2 * rounds * (sizes.heartbeat(2, 3) + sizes.heartbeat_reply())
        )


class DeliveryTest(unittest.TestCase):
    def test_a_generated_configuration_is_valid_and_the_same_for_a_seed(self) -> None:
        made = generate_configuration(TENANTS, ROUTES, POOLS)
        self.assertEqual(len(parse_configuration(orjson.dumps(made)).tenants), TENANTS)
        self.assertEqual(made, generate_configuration(TENANTS, ROUTES, POOLS))

    def test_a_difference_carries_the_changed_rows_alone(self) -> None:
        before = generate_configuration(50, ROUTES, POOLS)
        after = with_changed_tenant_key(before, 2)
        made = orjson.loads(zlib.decompress(encode_difference(before, after)))
        self.assertEqual(list(made), ["tenants"])
        [row] = made["tenants"]["put"]
        self.assertIn(row, after["tenants"])
        self.assertNotIn(row, before["tenants"])
        less = after | {"routes": after["routes"][1:]}
        gone = orjson.loads(zlib.decompress(encode_difference(after, less)))
        self.assertEqual(gone, {"routes": {"put": [], "gone": [after["routes"][0]["name"]]}})


class FitTest(unittest.TestCase):
    def test_points_on_a_line_give_the_line(self) -> None:
        fit = fit_line([10, 100, 1000], [5 + 2 * x for x in (10, 100, 1000)])
        self.assertEqual(fit.refused, "")
        self.assertAlmostEqual(fit.slope, 2)
        self.assertAlmostEqual(fit.intercept, 5)
        self.assertAlmostEqual(fit.residual, 0)

    def test_a_metric_that_stays_the_same_is_a_line(self) -> None:
        self.assertEqual(fit_line([1, 2, 3], [7, 7, 7]).refused, "")
        self.assertEqual(fit_line([1, 2, 3], [0, 0, 0]).refused, "")

    def test_quadratic_growth_is_refused(self) -> None:
        self.assertIn("off the line", fit_line([10, 100, 300, 1000], [100, 10_000, 90_000, 1_000_000]).refused)

    def test_two_points_are_no_line(self) -> None:
        self.assertIn("2 points", fit_line([10, 100], [1, 2]).refused)


class ResultsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def file(self, data: bytes) -> Path:
        path = self.folder / "results.json"
        path.write_bytes(data)
        return path

    def results(self) -> Results:
        sweep = Sweep("some", "servers", {"routers": 10}, [Step(x, {"rss": 3.0 * x}) for x in (10, 100, 1000)])
        sweep.fit()
        return Results([sweep], {"shared": True})

    def test_encoded_results_are_read_back(self) -> None:
        self.assertEqual(read_results(self.file(encode_results(self.results()))), self.results())

    def test_another_format_is_refused(self) -> None:
        data = json.loads(encode_results(self.results())) | {"format": FORMAT_VERSION + 1}
        with self.assertRaisesRegex(BadResults, f"format {FORMAT_VERSION + 1}, this version reads {FORMAT_VERSION}"):
            read_results(self.file(json.dumps(data).encode()))

    def test_malformed_results_are_refused(self) -> None:
        for data in (b"", b"nonsense", b"[]", b"{}", b'{"format":1,"sweeps":3}', b"\xff"):
            with self.subTest(data), self.assertRaises(BadResults):
                read_results(self.file(data))


class CommandTest(unittest.TestCase):
    def ends(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as ended,
        ):
            main(["capacity", *arguments])
        return ended.exception.code, out.getvalue(), err.getvalue()

    def test_bad_input_ends_with_2_and_one_message(self) -> None:
        for arguments, says in (
            (("--servers", "", "--only", "servers"), "increasing integers"),
            (("--servers", "0", "--only", "servers"), "0 servers"),
            (("--servers", "10,many", "--only", "servers"), "comma-separated integers"),
            (("--routers", "100,10", "--only", "routers"), "increasing integers"),
            (("--routers", "5000", "--only", "routers"), "5000 routers: 1 to 2000"),
            (("--only", "strange"), "not strange"),
            (("--only", ""), "not nothing"),
            (("--window", "0"), "--window takes"),
            (("--only", "failures", "--seeds", "0"), "0 seeds"),
            (("--results", "/nonexistent.json"), "/nonexistent.json: No such file"),
        ):
            with self.subTest(arguments):
                code, out, err = self.ends(*arguments)
                self.assertEqual((code, out), (2, ""))
                self.assertIn(says, err)
                self.assertTrue(err.splitlines()[-1].startswith("rowanshift: "))
                self.assertNotIn("Traceback", err)

    def test_a_step_over_half_of_the_memory_is_refused(self) -> None:
        with mock.patch("rowanshift.capacity.sweep.half_of_memory", return_value=300 << 20):
            with self.assertRaisesRegex(DoesNotFit, "half of the memory is 300 MiB"):
                Shape(servers=10_000).check()
            code, _, err = self.ends("--only", "servers")
        self.assertEqual(code, 2)
        self.assertIn("half of the memory", err)

    def test_a_step_with_too_few_descriptors_is_refused(self) -> None:
        with (
            mock.patch("rowanshift.capacity.sweep.descriptor_limit", return_value=100),
            self.assertRaisesRegex(DoesNotFit, "descriptors, the limit is 100"),
        ):
            Shape(routers=100).check()

    def test_plots_without_matplotlib_end_with_2(self) -> None:
        with mock.patch.dict("sys.modules", {"matplotlib": None}):
            with self.assertRaises(NoPlots):
                plots.load_pyplot()
            code, _, err = self.ends("--plots", "/nonexistent")
        self.assertEqual(code, 2)
        self.assertIn("rowanshift[plots]", err)

    def test_sweeps_with_lines_are_drawn(self) -> None:
        sweep = Sweep("some", "servers", {}, [Step(x, {"rss": 3.0 * x}) for x in (10, 100, 1000)])
        sweep.fit()
        with tempfile.TemporaryDirectory() as folder:
            made = plots.plot_sweeps(Results([sweep, Sweep("none", "f", {}, [Step(1, {"s": 1.0})])]), Path(folder))
            self.assertEqual([path.name for path in made], ["some.png"])
            self.assertTrue(made[0].read_bytes().startswith(b"\x89PNG"))

    def test_delivery_is_reported_and_stored(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "out.json"
            code, out, err = self.ends("--only", "delivery", "--tenants", "1,2,3", "--routes", "4", "-o", str(path))
            self.assertEqual(code, 0, err)
            self.assertIn("delivery-tenants: by tenants", out)
            self.assertIn("delivery, tenants 3: begins", err)
            self.assertEqual([step.x for step in read_results(path).sweep("delivery-tenants").steps], [1, 2, 3])
            code, out, _ = self.ends("--results", str(path), "--report")
            self.assertEqual(code, 0)
            self.assertIn("| router | configurations, whole |", out)


class RolesTest(unittest.TestCase):
    def test_figures_at_the_stated_size_follow_from_the_sizes(self) -> None:
        figures = {(figure.role, figure.what): figure for figure in figures_from_record_sizes()}
        self.assertEqual(figures["router", "polls"].value, 2.0)  # each is held for half a second
        self.assertEqual(figures["router", "kept parts, whole"].value, 8 * 200_000_000)
        self.assertTrue(figures["router", "kept parts, whole"].fits.startswith("no"))
        self.assertEqual(figures["list reader", "calls of one reading"].value, 200)


if __name__ == "__main__":
    unittest.main()
