"""Control plane scenarios: each file passes, invalid ones are rejected, and a seed always gives the same run."""

import unittest
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import msgspec
import orjson
from loguru import logger

from rowanshift.controlplane.configuration_change import CHANGES
from rowanshift.controlplane.order_history import EMPTY_ORDER_HISTORY
from rowanshift.simulation.core_draw import (
    CORE_FAULTS,
    EXTRA_FAULTS,
    OPERATOR_ACTIONS,
    WHOLE_CORE_FAULTS,
    draw_core_scenario,
)
from rowanshift.simulation.core_play import CoreScenarioRunner, run_core_scenario
from rowanshift.simulation.core_scenario import (
    FAULT_KINDS,
    CoreFault,
    CoreScenario,
    is_core,
    load_core,
    parse_core_scenario,
)
from rowanshift.simulation.scenario import ScenarioError
from tests.support.helpers import invoke

SCENARIO_FILES = {path.stem: path for path in (Path(__file__).parents[2] / "examples/scenarios").glob("core-*.toml")}


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class ScenarioFiles(unittest.TestCase):
    def assert_passes(self, name):
        scenario = load_core(SCENARIO_FILES[name])
        self.assertEqual(scenario.name, name)
        run = run_core_scenario(scenario)
        self.assertEqual(([str(violation) for violation in run.breaches], run.unmet, run.error), ([], [], ""))

    def test_each_file_has_a_test(self):
        tests = {name.removeprefix("test_").replace("_", "-") for name in dir(self) if name.startswith("test_core_")}
        self.assertEqual(tests, SCENARIO_FILES.keys())


def _make_test(name):
    return lambda case: case.assert_passes(name)


for _name in SCENARIO_FILES:
    setattr(ScenarioFiles, f"test_{_name.replace('-', '_')}", _make_test(_name))


class ScenarioValidation(unittest.TestCase):
    def assert_rejected(self, message, **data):
        with self.assertRaises(ScenarioError) as caught:
            parse_core_scenario({"kind": "core"} | data, "scenario.toml")
        self.assertIn(message, str(caught.exception))
        self.assertIn("scenario.toml", str(caught.exception))

    def test_invalid_fields_are_rejected_with_location_and_reason(self):
        cut = {"at_s": 1.0, "what": "cut", "who": "primary"}
        self.assert_rejected("trouble[0]: what is 'storm'", trouble=[cut | {"what": "storm"}])
        self.assert_rejected("trouble[1]: at_s 20 is after the end at 12 s", trouble=[cut, cut | {"at_s": 20.0}])
        self.assert_rejected(
            "trouble[0]: who is 'core-3', which the fleet does not have", trouble=[cut | {"who": "core-3"}]
        )
        self.assert_rejected("trouble[0]: cut needs a machine or role in who", trouble=[cut | {"who": ""}])
        self.assert_rejected("trouble[0]: race applies to no machine", trouble=[cut | {"what": "race"}])
        self.assert_rejected("trouble[0]: part needs exactly two machines", trouble=[cut | {"what": "part"}])
        self.assert_rejected("trouble[0]: slow_disk needs a value above 0", trouble=[cut | {"what": "slow_disk"}])
        self.assert_rejected("`$.trouble[0].ways`", trouble=[cut | {"ways": "up"}])
        self.assert_rejected("unknown field `weather`", weather="fair")
        self.assert_rejected("fleet.cores is below", fleet={"cores": 3, "lost_at_once": 2})
        self.assert_rejected("`$.seconds`", seconds=0.0)

    def test_loading_files(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "scenario.toml"
            for text, message in ((b"kind = ", "not TOML"), (b"\xff", "not UTF-8")):
                path.write_bytes(text)
                with self.assertRaisesRegex(ScenarioError, message):
                    load_core(path)
            path.write_text('kind = "core"')
            self.assertEqual((load_core(path), is_core(path)), (CoreScenario(), True))
            path.write_text('name = "caches"')
            self.assertFalse(is_core(path))

    def test_every_fault_kind_is_implemented_and_drawn(self):
        for what in FAULT_KINDS:
            self.assertTrue(hasattr(CoreScenarioRunner, f"_{what}"), what)
        self.assertEqual(
            {*CORE_FAULTS, *OPERATOR_ACTIONS, *WHOLE_CORE_FAULTS, *EXTRA_FAULTS, "hang_up"} | {"change", "roll"},
            {*FAULT_KINDS},
        )

    def test_drawn_scenarios_are_valid(self):
        for seed in range(50):
            data = msgspec.to_builtins(draw_core_scenario(seed))
            self.assertEqual(parse_core_scenario(data), draw_core_scenario(seed))


class Runs(unittest.TestCase):
    def test_same_seed_gives_same_run(self):
        first, again, other = (run_core_scenario(draw_core_scenario(seed)).digest for seed in (3, 3, 4))
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_unmet_expectations_are_reported(self):
        scenario = load_core(SCENARIO_FILES["core-primary-frozen-4s"])
        expect = msgspec.structs.replace(scenario.expect, changes=50, applied_s=0.01, served=1.0)
        run = run_core_scenario(msgspec.structs.replace(scenario, expect=expect))
        self.assertEqual(run.breaches, [])
        self.assertIn("configurations were acknowledged, 50 are expected", run.unmet[0])
        self.assertIn("after it was acknowledged", run.unmet[1])

    def test_primary_without_its_order_history_is_found(self):
        original = CHANGES[b"PUT"]

        def put_without_history(state, if_match, body):
            return original(replace(state, orders=EMPTY_ORDER_HISTORY), if_match, body)

        trouble = [CoreFault(2.0, "send_again", value=1.0)]
        scenario = CoreScenario(seconds=6.0, trouble=trouble)
        self.assertFalse(run_core_scenario(scenario).failed())
        with mock.patch.dict(CHANGES, {b"PUT": put_without_history}):
            run = run_core_scenario(scenario)
        self.assertIn("sent again", run.first_failure())


class Command(unittest.TestCase):
    def test_file_and_its_events(self):
        with TemporaryDirectory() as folder:
            events = Path(folder) / "events"
            status, output = invoke("simulate", SCENARIO_FILES["core-primary-cut-off"], "--events", events)
            self.assertEqual(status, 0, output)
            self.assertIn("configurations acknowledged", output)
            kinds = {orjson.loads(line)["fact"] for line in events.read_text().splitlines()}
        self.assertLessEqual({"Asked", "ConfigSent", "OrderReplied", "PrimaryBecame", "Resumed"}, kinds)

    def test_one_line_per_failing_seed(self):
        failing = run_core_scenario(CoreScenario(seed=1, seconds=1.0))
        failing.unmet.append("planted failure")
        with mock.patch("rowanshift.simulation.core_command.run_seeds", return_value=iter([failing])):
            status, output = invoke("simulate", "--core", "--seeds", "1:2")
        self.assertEqual(status, 1)
        self.assertEqual(output.splitlines()[0], "seed 1: planted failure")
        self.assertIn("1 seeds, 1 failed", output)

    def test_seeds_on_two_workers(self):
        status, output = invoke("simulate", "--core", "--seeds", "0:2", "--workers", "2", "--json")
        rows = [orjson.loads(line) for line in output.splitlines()]
        self.assertEqual([row.get("seed") for row in rows], [0, 1, None])
        self.assertEqual(status, int(rows[-1]["failed"] > 0))


if __name__ == "__main__":
    unittest.main()
