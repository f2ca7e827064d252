"""Ablation study: runs days of a bench with one mechanism disabled at a time, and compares with the whole program.

    python benchmarks/ablate.py --bench BENCH --site SITE.toml --day trouble-1 --seeds 1:4 --out ablation.json

Each mechanism of ``benchmarks/ablation/mechanisms.toml`` is disabled in its own clone of the last commit, under
``--work``. Each outcome is written to ``--out`` when the day has run; a day that ``--out`` has for this commit is not
run again. The table on standard output has, for each site and day, the worth of the whole program and, for each
mechanism, the mean, least and largest difference over the seeds without it, and the rules broken.
"""

import argparse
import json
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path
from statistics import mean
from threading import Lock

ROOT = Path(__file__).parents[1]
MECHANISMS = ROOT / "benchmarks" / "ablation" / "mechanisms.toml"
BASELINE = "whole program"
RUN_TIMEOUT_SECONDS = 1800.0
MAX_JOBS = 8
FIGURES_ROW = re.compile(r"^(?P<day>\S+)\s+\d+/\d+\s+\S+\s+(?P<worth>\d\.\d+)\s+(?P<served>\d\.\d+)\s")
BROKEN_RULES = re.compile(r"^rules broken: (.*)$", re.MULTILINE)


class NoFigures(Exception):
    """A run that printed no row of figures; the message is the end of its output."""


class MechanismNotFound(Exception):
    """The text that a mechanism replaces does not occur exactly once in its file."""


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism, and the text replacement that disables it."""

    name: str
    what: str
    file: str
    old: str
    new: str

    def switched_off(self, text: str) -> str:
        """Returns the file's text with the mechanism disabled. Raises ``MechanismNotFound``."""
        if text.count(self.old) != 1:
            raise MechanismNotFound(
                f"{self.name}: its text occurs {text.count(self.old)} times in {self.file}, expected once"
            )
        return text.replace(self.old, self.new)


@dataclass(frozen=True, slots=True)
class DayRun:
    """One run of a day. ``mechanism`` names the disabled mechanism, or is ``BASELINE``."""

    mechanism: str
    site: str
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """The figures of a run; worth and served are shares between 0 and 1."""

    commit: str
    mechanism: str
    site: str
    day: str
    seed: int
    worth: float
    served: float
    broken: str  # rules broken, as the bench lists them; empty if none

    @property
    def day_run(self) -> DayRun:
        """The run that gave this outcome."""
        return DayRun(self.mechanism, self.site, self.day, self.seed)


def mechanisms(file: Path = MECHANISMS) -> list[Mechanism]:
    """Reads all mechanisms from a file."""
    return [Mechanism(**row) for row in tomllib.loads(file.read_text())["mechanism"]]


def parse_outcome(output: str, commit: str, day_run: DayRun) -> Outcome:
    """Parses the output of the bench. Raises ``NoFigures``."""
    rows = [row for line in output.splitlines() if (row := FIGURES_ROW.match(line))]
    if not rows:
        raise NoFigures(output[-500:])
    broken = BROKEN_RULES.search(output)
    rules = broken.group(1) if broken else ""
    figures = float(rows[0]["worth"]), float(rows[0]["served"])
    return Outcome(commit, day_run.mechanism, day_run.site, day_run.day, day_run.seed, *figures, rules)


def git(*arguments: str, at: Path = ROOT) -> str:
    """Runs git and returns its output."""
    return subprocess.run(["git", *arguments], cwd=at, check=True, capture_output=True, text=True).stdout.strip()


def clone(mechanism: Mechanism | None, work: Path, commit: str) -> Path:
    """Returns a clone of the commit with the mechanism disabled and any earlier edit undone."""
    tree = work / (mechanism.name if mechanism else "whole") / commit[:12]
    if not tree.exists():
        git("clone", "--quiet", str(ROOT), str(tree))
        git("checkout", "--quiet", commit, at=tree)
    git("checkout", "--quiet", "--", "rowanshift", at=tree)
    if mechanism is not None:
        file = tree / mechanism.file
        file.write_text(mechanism.switched_off(file.read_text()))
    return tree


class Ablation:
    """Runs days on the bench and stores each outcome as it arrives."""

    def __init__(self, bench: Path, work: Path, out: Path, commit: str) -> None:
        self.bench, self.work, self.out, self.commit = bench, work, out, commit
        self.outcomes = [Outcome(**row) for row in json.loads(out.read_text())] if out.exists() else []
        self.lock = Lock()

    def missing(self, wanted: Iterable[DayRun]) -> list[DayRun]:
        """Returns the runs without an outcome for this commit."""
        completed = {outcome.day_run for outcome in self.outcomes if outcome.commit == self.commit}
        return [day_run for day_run in wanted if day_run not in completed]

    def run(self, wanted: list[DayRun], made: list[Mechanism], jobs: int) -> None:
        """Runs what is missing, up to ``jobs`` at once; reports progress on standard error."""
        remaining = self.missing(wanted)
        by_name = {mechanism.name: mechanism for mechanism in made}
        trees = {
            name: clone(by_name.get(name), self.work, self.commit)
            for name in dict.fromkeys(day_run.mechanism for day_run in remaining)
        }
        with ThreadPoolExecutor(jobs) as pool:
            for number, message in enumerate(
                pool.map(lambda day_run: self._run_day(day_run, trees[day_run.mechanism]), remaining), 1
            ):
                print(f"{number} of {len(remaining)}: {message}", file=sys.stderr, flush=True)

    def _run_day(self, day_run: DayRun, tree: Path) -> str:
        command = [
            str(self.bench),
            "run",
            day_run.site,
            day_run.day,
            "--seed",
            str(day_run.seed),
            "--jobs",
            "1",
            "--no-cpu",
        ]
        reason = f"ablation, without {day_run.mechanism}" if day_run.mechanism != BASELINE else f"ablation, {BASELINE}"
        try:
            output = subprocess.run(
                [*command, "--why", reason], cwd=tree, capture_output=True, text=True, timeout=RUN_TIMEOUT_SECONDS
            )
            outcome = parse_outcome(output.stdout + output.stderr, self.commit, day_run)
        except (NoFigures, subprocess.TimeoutExpired) as error:
            return f"{day_run} gave no figures: {error}"
        self._store(outcome)
        return (
            f"{day_run.mechanism}, {Path(day_run.site).stem}, {day_run.day}, seed {day_run.seed}: {outcome.worth:.3f}"
        )

    def _store(self, outcome: Outcome) -> None:
        with self.lock:
            self.outcomes.append(outcome)
            made = self.out.with_suffix(".new")
            made.write_text(json.dumps([asdict(outcome) for outcome in self.outcomes], indent=1) + "\n")
            made.replace(self.out)


def format_table(outcomes: list[Outcome]) -> Iterator[str]:
    """Yields a Markdown table with one row per mechanism, site and day."""
    yield "| without | site | day | seeds | worth of the whole | difference, mean | least | largest | rules broken |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    baseline_outcomes = {
        (outcome.site, outcome.day, outcome.seed): outcome for outcome in outcomes if outcome.mechanism == BASELINE
    }
    groups: dict[tuple[str, str, str], list[Outcome]] = {}
    for outcome in outcomes:
        if outcome.mechanism != BASELINE and (outcome.site, outcome.day, outcome.seed) in baseline_outcomes:
            groups.setdefault((outcome.mechanism, outcome.site, outcome.day), []).append(outcome)
    for (mechanism, site, day), group in groups.items():
        baselines = [baseline_outcomes[outcome.site, outcome.day, outcome.seed].worth for outcome in group]
        differences = [outcome.worth - baseline for outcome, baseline in zip(group, baselines, strict=True)]
        broken = "; ".join(dict.fromkeys(outcome.broken for outcome in group if outcome.broken)) or "-"
        figures = (
            f"{mean(baselines):.3f} | {mean(differences):+.3f} | {min(differences):+.3f} | {max(differences):+.3f}"
        )
        yield f"| {mechanism} | {Path(site).stem} | {Path(day).stem} | {len(group)} | {figures} | {broken} |"


def parse_seeds(text: str) -> range:
    """Parses ``N`` or ``FIRST:LAST``, where ``LAST`` is excluded."""
    first, colon, last = text.partition(":")
    return range(int(first), int(last)) if colon else range(int(first), int(first) + 1)


def main(argv: list[str] | None = None) -> int:
    """Runs the days and prints the table; returns 1 if a requested run gave no outcome."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", type=Path, required=True, help="the operators' bench")
    parser.add_argument("--site", action="append", required=True, help="a site file (repeatable)")
    parser.add_argument("--day", action="append", required=True, help="a day's name or file (repeatable)")
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 4), help="N, or FIRST:LAST with LAST excluded")
    parser.add_argument("--mechanism", action="append", help="a mechanism to disable (repeatable; default: all)")
    parser.add_argument("--work", type=Path, required=True, help="directory for the clones, outside the repository")
    parser.add_argument("--out", type=Path, required=True, help="JSON file of all outcomes, read and updated")
    parser.add_argument("--jobs", type=int, choices=range(1, MAX_JOBS + 1), default=2, help="number of concurrent runs")
    arguments = parser.parse_args(argv)
    made = mechanisms()
    if unknown := set(arguments.mechanism or ()) - {mechanism.name for mechanism in made}:
        parser.error(f"no such mechanism: {', '.join(sorted(unknown))}")
    chosen = [mechanism for mechanism in made if not arguments.mechanism or mechanism.name in arguments.mechanism]
    names = [BASELINE, *(mechanism.name for mechanism in chosen)]
    sites = [str(Path(site).resolve()) for site in arguments.site]
    days = [str(Path(day).resolve()) if Path(day).exists() else day for day in arguments.day]
    wanted = [DayRun(name, site, day, seed) for site, day, seed, name in product(sites, days, arguments.seeds, names)]
    ablation = Ablation(arguments.bench.resolve(), arguments.work.resolve(), arguments.out, git("rev-parse", "HEAD"))
    ablation.run(wanted, chosen, arguments.jobs)
    print(*format_table([outcome for outcome in ablation.outcomes if outcome.commit == ablation.commit]), sep="\n")
    return 1 if ablation.missing(wanted) else 0


if __name__ == "__main__":
    raise SystemExit(main())
