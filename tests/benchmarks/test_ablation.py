"""The ablation tool: each mechanism can be disabled in this tree, and outcomes are formatted as a table."""

import importlib.util
import json
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
BENCH_OUTPUT = """built in 0.4 s
day                  own/srv  score  worth served refused failed  weakest part
trouble-1               9/10   1.00  0.753  0.925   0.000  0.034  worst windows 0.38; prices 0.067
rules broken: VERSION 12, LOST 1
"""


def load_module():
    spec = importlib.util.spec_from_file_location("ablate", ROOT / "benchmarks" / "ablate.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


ablate = load_module()
MECHANISMS = {mechanism.name: mechanism for mechanism in ablate.mechanisms()}


@pytest.mark.parametrize("name", MECHANISMS)
def test_each_mechanism_can_be_disabled_in_this_tree(name: str) -> None:
    mechanism = MECHANISMS[name]
    text = (ROOT / mechanism.file).read_text()
    off = mechanism.switched_off(text)
    assert off != text
    compile(off, mechanism.file, "exec")


def test_a_text_that_does_not_occur_once_is_refused() -> None:
    for text in ("", 2 * MECHANISMS["shadows"].old):
        with pytest.raises(ablate.MechanismNotFound, match="shadows"):
            MECHANISMS["shadows"].switched_off(text)


def outcome(mechanism: str, seed: int, worth: float, broken: str = ""):
    return ablate.Outcome("c", mechanism, "/x/site.toml", "trouble-1", seed, worth, 0.9, broken)


def test_the_output_of_the_bench_is_parsed() -> None:
    day_run = ablate.DayRun(ablate.BASELINE, "/x/site.toml", "trouble-1", 7)
    made = ablate.parse_outcome(BENCH_OUTPUT, "c", day_run)
    assert (made.worth, made.served, made.broken, made.day_run) == (0.753, 0.925, "VERSION 12, LOST 1", day_run)
    with pytest.raises(ablate.NoFigures, match="no core"):
        ablate.parse_outcome("no core was free", "c", day_run)


def test_the_table_compares_each_seed_with_the_whole_program() -> None:
    rows = [outcome(ablate.BASELINE, 1, 0.8), outcome(ablate.BASELINE, 2, 0.9)]
    rows += [outcome("hold", 1, 0.7), outcome("hold", 2, 0.92, "LOST 1"), outcome("hold", 3, 0.1)]
    assert [*ablate.format_table(rows)][2:] == [
        "| hold | site | trouble-1 | 2 | 0.850 | -0.040 | -0.100 | +0.020 | LOST 1 |"
    ]


def test_runs_stored_for_this_commit_are_not_repeated(tmp_path: Path) -> None:
    out = tmp_path / "out.json"
    tool = ablate.Ablation(Path("bench"), tmp_path, out, "c")
    tool._store(outcome("hold", 1, 0.7))
    assert [row["worth"] for row in json.loads(out.read_text())] == [0.7]
    runs = [ablate.DayRun("hold", "/x/site.toml", "trouble-1", seed) for seed in (1, 2)]
    assert ablate.Ablation(Path("bench"), tmp_path, out, "c").missing(runs) == runs[1:]
    assert ablate.Ablation(Path("bench"), tmp_path, out, "later").missing(runs) == runs


def test_an_unknown_mechanism_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture) -> None:
    needed = ["--bench", "b", "--site", "s", "--day", "d", "--work", str(tmp_path), "--out", str(tmp_path / "o")]
    with pytest.raises(SystemExit) as ended:
        ablate.main([*needed, "--mechanism", "luck"])
    assert ended.value.code == 2
    assert "no such mechanism: luck" in capsys.readouterr().err
