"""Scenarios of the control side: each named one is played, the form refuses what it can't use, seeds replay."""

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
from rowanshift.simulation.core_draw import KINDS, MORE, ORDERS, WHOLE, core_scenario
from rowanshift.simulation.core_play import CorePlayer, play_core
from rowanshift.simulation.core_scenario import WHAT, CoreScenario, CoreTrouble, core_scenario_of, is_core, load_core
from rowanshift.simulation.scenario import ScenarioError
from tests.support.helpers import invoke

NAMED = {path.stem: path for path in (Path(__file__).parents[2] / "examples/scenarios").glob("core-*.toml")}


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Named(unittest.TestCase):
    def kept(self, name):
        scenario = load_core(NAMED[name])
        self.assertEqual(scenario.name, name)
        run = play_core(scenario)
        self.assertEqual(([str(breach) for breach in run.breaches], run.unmet, run.error), ([], [], ""))

    def test_each_file_has_a_test(self):
        tests = {name.removeprefix("test_").replace("_", "-") for name in dir(self) if name.startswith("test_core_")}
        self.assertEqual(tests, NAMED.keys())


def _test_of(name):
    return lambda case: case.kept(name)


for _name in NAMED:
    setattr(Named, f"test_{_name.replace('-', '_')}", _test_of(_name))


class Form(unittest.TestCase):
    def refused(self, why, **data):
        with self.assertRaises(ScenarioError) as caught:
            core_scenario_of({"kind": "core"} | data, "day.toml")
        self.assertIn(why, str(caught.exception))
        self.assertIn("day.toml", str(caught.exception))

    def test_what_can_not_be_used_is_refused_with_place_and_reason(self):
        cut = {"at_s": 1.0, "what": "cut", "who": "primary"}
        self.refused("trouble[0]: what is 'storm'", trouble=[cut | {"what": "storm"}])
        self.refused("trouble[1]: at_s 20 is after the end at 12 s", trouble=[cut, cut | {"at_s": 20.0}])
        self.refused("trouble[0]: who is 'core-3', which the fleet does not have", trouble=[cut | {"who": "core-3"}])
        self.refused("trouble[0]: cut needs a machine in who", trouble=[cut | {"who": ""}])
        self.refused("trouble[0]: race befalls no machine", trouble=[cut | {"what": "race"}])
        self.refused("trouble[0]: part needs two machines", trouble=[cut | {"what": "part"}])
        self.refused("trouble[0]: slow_disk needs a value above 0", trouble=[cut | {"what": "slow_disk"}])
        self.refused("`$.trouble[0].ways`", trouble=[cut | {"ways": "up"}])
        self.refused("unknown field `weather`", weather="fair")
        self.refused("fleet.cores is below", fleet={"cores": 3, "lost_at_once": 2})
        self.refused("`$.seconds`", seconds=0.0)

    def test_files(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "day.toml"
            for text, why in ((b"kind = ", "not TOML"), (b"\xff", "not UTF-8")):
                path.write_bytes(text)
                with self.assertRaisesRegex(ScenarioError, why):
                    load_core(path)
            path.write_text('kind = "core"')
            self.assertEqual((load_core(path), is_core(path)), (CoreScenario(), True))
            path.write_text('name = "caches"')
            self.assertFalse(is_core(path))

    def test_every_trouble_can_be_played_and_is_drawn(self):
        for what in WHAT:
            self.assertTrue(hasattr(CorePlayer, f"_{what}"), what)
        self.assertEqual({*KINDS, *ORDERS, *WHOLE, *MORE, "hang_up"} | {"change", "roll"}, {*WHAT})

    def test_drawn_scenarios_pass_their_own_checks(self):
        for seed in range(50):
            data = msgspec.to_builtins(core_scenario(seed))
            self.assertEqual(core_scenario_of(data), core_scenario(seed))


class Plays(unittest.TestCase):
    def test_a_seed_replays(self):
        first, again, other = (play_core(core_scenario(seed)).digest for seed in (3, 3, 4))
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_what_is_expected_and_not_met_is_told(self):
        scenario = load_core(NAMED["core-primary-frozen-4s"])
        expect = msgspec.structs.replace(scenario.expect, changes=50, applied_s=0.01, served=1.0)
        run = play_core(msgspec.structs.replace(scenario, expect=expect))
        self.assertEqual(run.breaches, [])
        self.assertIn("configurations were acknowledged, 50 are expected", run.unmet[0])
        self.assertIn("after it was acknowledged", run.unmet[1])

    def test_a_primary_that_forgets_what_it_took_is_found(self):
        true = CHANGES[b"PUT"]

        def forgetting(state, if_match, body):
            return true(replace(state, orders=EMPTY_ORDER_HISTORY), if_match, body)

        trouble = [CoreTrouble(2.0, "send_again", value=1.0)]
        scenario = CoreScenario(seconds=6.0, trouble=trouble)
        self.assertFalse(play_core(scenario).failed())
        with mock.patch.dict(CHANGES, {b"PUT": forgetting}):
            run = play_core(scenario)
        self.assertIn("sent again", run.first())


class Command(unittest.TestCase):
    def test_a_file_and_its_events(self):
        with TemporaryDirectory() as folder:
            events = Path(folder) / "events"
            status, said = invoke("simulate", NAMED["core-primary-cut-off"], "--events", events)
            self.assertEqual(status, 0, said)
            self.assertIn("configurations acknowledged", said)
            kinds = {orjson.loads(line)["fact"] for line in events.read_text().splitlines()}
        self.assertLessEqual({"Asked", "ConfigSent", "OrderReplied", "PrimaryBecame", "Resumed"}, kinds)

    def test_one_line_a_seed_that_fails(self):
        failing = play_core(CoreScenario(seed=1, seconds=1.0))
        failing.unmet.append("it rained")
        with mock.patch("rowanshift.simulation.core_command.play_seeds", return_value=iter([failing])):
            status, said = invoke("simulate", "--core", "--seeds", "1:2")
        self.assertEqual(status, 1)
        self.assertEqual(said.splitlines()[0], "seed 1: it rained")
        self.assertIn("1 seeds, 1 failed", said)

    def test_seeds_over_workers(self):
        status, said = invoke("simulate", "--core", "--seeds", "0:2", "--workers", "2", "--json")
        rows = [orjson.loads(line) for line in said.splitlines()]
        self.assertEqual([row.get("seed") for row in rows], [0, 1, None])
        self.assertEqual(status, int(rows[-1]["failed"] > 0))


if __name__ == "__main__":
    unittest.main()
