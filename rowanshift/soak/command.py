"""``rowanshift soak``: plays plans, prints a line for each, and keeps what a failing one left."""

import argparse
import os
import shlex
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import trio

from rowanshift.invariants.breaches import Breach, Facts, of_kind
from rowanshift.invariants.coordination_facts import CoordinationAnswered, CoordinationAsked
from rowanshift.invariants.facts import Answered, Asked, ConfigAnswered, ConfigSent
from rowanshift.process.error_groups import first_of
from rowanshift.soak import checker, plan, records
from rowanshift.soak.plan import BadPlan, Plan
from rowanshift.soak.processes import LogTooLarge
from rowanshift.soak.records import Lagged, Stalled, TroubleMet
from rowanshift.soak.run import Run, TooManyFacts

WELL, BROKEN, UNUSABLE, INTERRUPTED = 0, 1, 2, 130  # exit codes
MOST_SEEDS = 10_000
MOST_SHOWN = 20  # breaches of a seed that are printed
PLAN, RECORDS, COMMAND, BREACHES = "plan.json", "records.jsonl", "command.txt", "breaches.txt"


class Told(Exception):
    """SIGTERM came to the soak itself."""


@dataclass(frozen=True, slots=True)
class Result:
    """What a run showed."""

    plan: Plan
    seconds: float  # of wall time
    facts: Facts
    breaches: list[Breach]

    def line(self) -> str:
        """The run in a line of key=value pairs."""
        met = Counter(str(one.trouble) for one in of_kind(self.facts, TroubleMet))
        ends = of_kind(self.facts, Answered)
        whole = sum(end.whole and 200 <= end.status < 300 for end in ends)
        refused = sum(end.whole and not 200 <= end.status < 300 for end in ends)
        changes = of_kind(self.facts, ConfigAnswered)
        rules = Counter(breach.rule for breach in self.breaches)
        pairs = {
            "seed": self.plan.seed,
            "wall_s": f"{self.seconds:.1f}",
            "troubles": shown(met),
            "overlap": overlap(self.facts),
            "coordination": len(of_kind(self.facts, CoordinationAsked)),
            "settled": sum(end.answer is not None for end in of_kind(self.facts, CoordinationAnswered)),
            "requests": len(of_kind(self.facts, Asked)),
            "whole": whole,
            "refused": refused,
            "changes": len(of_kind(self.facts, ConfigSent)),
            "acknowledged": sum(answer.status == 200 for answer in changes),
            "lag_ms": round(1000 * max((one.seconds for one in of_kind(self.facts, Lagged)), default=0.0)),
            "breaches": shown(rules),
        }
        return " ".join(f"{name}={value}" for name, value in pairs.items())


def shown(counts: Counter) -> str:
    """A sum and its parts, without blanks."""
    parts = ",".join(f"{name.replace(' ', '-')}:{count}" for name, count in sorted(counts.items()))
    return f"{counts.total()}({parts})" if parts else "0"


def overlap(facts: Facts) -> int:
    """The most troubles that there were at one moment."""
    met = of_kind(facts, TroubleMet)
    return max((sum(one.at <= moment.at < one.until for one in met) for moment in met), default=0)


async def _until_told(run: Run) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(_on_signals)
        await run.play()
        nursery.cancel_scope.cancel()


async def _on_signals(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
    """Ends the run at a signal. A KeyboardInterrupt would be lost where it is raised in a callback, as those of a fork
    are."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            raise Told


def play(drawn: Plan, folder: Path, net: str) -> Result:
    """Plays a plan with all its files under a folder, and checks what was recorded."""
    facts: list = []

    async def all_of_it() -> None:
        run = Run(drawn, folder, net)
        try:
            await _until_told(run)
        finally:
            facts.extend(run.facts)

    began = time.monotonic()
    (folder / PLAN).write_bytes(plan.to_json(drawn))
    try:
        trio.run(all_of_it)
    except* (LogTooLarge, TooManyFacts, trio.TooSlowError) as group:
        why = repr(first_of(group))
        facts.append(Stalled(facts[-1].at if facts else 0.0, f"the run was ended: {why}"))
    finally:
        records.write(folder / RECORDS, facts)
    seconds = time.monotonic() - began
    return Result(drawn, seconds, facts, checker.check(facts, folder / "logs"))


def keep(result: Result, folder: Path, found: Path, net: str) -> Path:
    """Moves what a failing run left to where it is kept, with its plan and command line."""
    place = found / f"soak-{result.plan.seed}-{time.strftime('%Y%m%d-%H%M%S')}-{os.getpid()}"
    place.mkdir(parents=True)
    for name in (PLAN, RECORDS, "logs"):
        shutil.move(folder / name, place / name)
    (place / BREACHES).write_text("".join(f"{breach}\n" for breach in result.breaches))
    command = ["rowanshift", "soak", "--plan", str(place / PLAN), "--net", net]
    (place / COMMAND).write_text(shlex.join(command) + "\n")
    return place


def own_net() -> str:
    """Addresses that two soaks at once do not share, as far as their process ids tell."""
    number = os.getpid()
    return f"127.{100 + number % 100}.{number // 100 % 250}."


def plans(arguments: argparse.Namespace) -> list[Plan]:
    """The plans that are asked for; ``BadPlan`` if they can't be used."""
    file, seeds = arguments.plan, arguments.seeds
    if file is not None:
        try:
            return [plan.from_json(file.read_bytes())]
        except OSError as error:
            raise BadPlan(f"{file}: {error.strerror}") from error
    first, colon, last = seeds.partition(":")
    try:
        numbers = range(int(first), int(last)) if colon else range(int(first))
    except ValueError:
        raise BadPlan(f"--seeds: N or FIRST:LAST expected, not {seeds!r}") from None
    if not 0 < len(numbers) <= MOST_SEEDS or numbers[0] < 0:
        raise BadPlan(f"--seeds: 1 to {MOST_SEEDS} seeds of 0 or more expected, not {seeds!r}")
    if arguments.short:
        return [plan.draw_short(seed) for seed in numbers]
    return [plan.draw(seed, arguments.seconds, arguments.routers) for seed in numbers]


def soak(wanted: list[Plan], net: str, found: Path) -> int:
    """Plays plans one after another and prints a line for each; the exit code."""
    code, ended = WELL, None
    try:
        for drawn in wanted:
            code = max(code, soak_one(drawn, net, found))
    except* (KeyboardInterrupt, Told):
        ended = INTERRUPTED
    except* OSError as group:
        print(f"rowanshift: {first_of(group)}", file=sys.stderr)
        ended = UNUSABLE
    return code if ended is None else ended


def soak_one(drawn: Plan, net: str, found: Path) -> int:
    """Plays one plan, prints its line and keeps what it left if it failed; the exit code."""
    with tempfile.TemporaryDirectory(prefix="rowanshift-soak-") as temporary:
        folder = Path(temporary)
        result = play(drawn, folder, net)
        print(result.line(), flush=True)
        if not result.breaches:
            return WELL
        place = keep(result, folder, found, net)
        for breach in result.breaches[:MOST_SHOWN]:
            print(f"  {breach}", flush=True)
        print(f"  kept: {place}; again: {(place / COMMAND).read_text().strip()}", flush=True)
        return BROKEN
