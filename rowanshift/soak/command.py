"""``rowanshift soak``: runs plans, prints a summary line for each, and keeps the files of failing runs."""

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

from rowanshift.invariants.breaches import Facts, Violation, of_kind
from rowanshift.invariants.coordination_facts import CoordinationAnswered, CoordinationAsked
from rowanshift.invariants.facts import Answered, Asked, ConfigAnswered, ConfigSent
from rowanshift.process.error_groups import first_of
from rowanshift.soak import checker, plan, records
from rowanshift.soak.plan import InvalidPlan, Plan
from rowanshift.soak.processes import LogTooLarge
from rowanshift.soak.records import Lagged, Stalled, TroubleMet
from rowanshift.soak.run import Run, TooManyEvents

EXIT_OK, EXIT_VIOLATIONS, EXIT_UNUSABLE, EXIT_INTERRUPTED = 0, 1, 2, 130  # exit codes
MAX_SEEDS = 10_000
MAX_VIOLATIONS_SHOWN = 20  # per run
PLAN_FILE, RECORDS_FILE, COMMAND_FILE, BREACHES_FILE = "plan.json", "records.jsonl", "command.txt", "breaches.txt"


class Interrupted(Exception):
    """SIGTERM or SIGINT was sent to the soak process itself."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """The recorded events of a run and the violations found in them."""

    plan: Plan
    seconds: float  # of wall time
    events: Facts
    violations: list[Violation]

    def summary_line(self) -> str:
        """The run as one line of key=value pairs."""
        injected = Counter(str(one.trouble) for one in of_kind(self.events, TroubleMet))
        ends = of_kind(self.events, Answered)
        complete = sum(end.whole and 200 <= end.status < 300 for end in ends)
        refused = sum(end.whole and not 200 <= end.status < 300 for end in ends)
        changes = of_kind(self.events, ConfigAnswered)
        rules = Counter(violation.rule for violation in self.violations)
        pairs = {
            "seed": self.plan.seed,
            "wall_s": f"{self.seconds:.1f}",
            "troubles": format_counts(injected),
            "overlap": max_overlap(self.events),
            "coordination": len(of_kind(self.events, CoordinationAsked)),
            "settled": sum(end.answer is not None for end in of_kind(self.events, CoordinationAnswered)),
            "requests": len(of_kind(self.events, Asked)),
            "whole": complete,
            "refused": refused,
            "changes": len(of_kind(self.events, ConfigSent)),
            "acknowledged": sum(answer.status == 200 for answer in changes),
            "lag_ms": round(1000 * max((one.seconds for one in of_kind(self.events, Lagged)), default=0.0)),
            "breaches": format_counts(rules),
        }
        return " ".join(f"{name}={value}" for name, value in pairs.items())


def format_counts(counts: Counter) -> str:
    """The total and the count of each name, without blanks, for example ``3(kill:1,stop:2)``."""
    parts = ",".join(f"{name.replace(' ', '-')}:{count}" for name, count in sorted(counts.items()))
    return f"{counts.total()}({parts})" if parts else "0"


def max_overlap(events: Facts) -> int:
    """The largest number of faults that were in force at the same time."""
    injected = of_kind(events, TroubleMet)
    return max((sum(one.at <= moment.at < one.until for one in injected) for moment in injected), default=0)


async def _run_until_signal(run: Run) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(_raise_on_signal)
        await run.execute()
        nursery.cancel_scope.cancel()


async def _raise_on_signal(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
    """Ends the run at a signal. Signals are received here because a KeyboardInterrupt is lost if it is raised in a
    callback, such as those that run at a fork."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            raise Interrupted


def run_plan(to_run: Plan, folder: Path, net: str) -> RunResult:
    """Runs a plan with all its files in ``folder``, and checks the recorded events."""
    events: list = []

    async def main() -> None:
        run = Run(to_run, folder, net)
        try:
            await _run_until_signal(run)
        finally:
            events.extend(run.events)

    began = time.monotonic()
    (folder / PLAN_FILE).write_bytes(plan.to_json(to_run))
    try:
        trio.run(main)
    except* (LogTooLarge, TooManyEvents, trio.TooSlowError) as group:
        why = repr(first_of(group))
        events.append(Stalled(events[-1].at if events else 0.0, f"run aborted: {why}"))
    finally:
        records.write(folder / RECORDS_FILE, events)
    seconds = time.monotonic() - began
    return RunResult(to_run, seconds, events, checker.check(events, folder / "logs"))


def keep_files(result: RunResult, folder: Path, found: Path, net: str) -> Path:
    """Moves the files of a failing run to a folder of its own under ``found``, and adds the violations and the command
    line that repeats the run."""
    kept = found / f"soak-{result.plan.seed}-{time.strftime('%Y%m%d-%H%M%S')}-{os.getpid()}"
    kept.mkdir(parents=True)
    for name in (PLAN_FILE, RECORDS_FILE, "logs"):
        shutil.move(folder / name, kept / name)
    (kept / BREACHES_FILE).write_text("".join(f"{violation}\n" for violation in result.violations))
    command = ["rowanshift", "soak", "--plan", str(kept / PLAN_FILE), "--net", net]
    (kept / COMMAND_FILE).write_text(shlex.join(command) + "\n")
    return kept


def own_net() -> str:
    """An address prefix derived from the process id, so that soaks which run at the same time rarely share one."""
    number = os.getpid()
    return f"127.{100 + number % 100}.{number // 100 % 250}."


def plans(arguments: argparse.Namespace) -> list[Plan]:
    """The plans that the command line requests; raises ``InvalidPlan`` if the file or the seeds are not usable."""
    file, seeds = arguments.plan, arguments.seeds
    if file is not None:
        try:
            return [plan.from_json(file.read_bytes())]
        except OSError as error:
            raise InvalidPlan(f"{file}: {error.strerror}") from error
    first, colon, last = seeds.partition(":")
    try:
        numbers = range(int(first), int(last)) if colon else range(int(first))
    except ValueError:
        raise InvalidPlan(f"--seeds: expected N or FIRST:LAST, got {seeds!r}") from None
    if not 0 < len(numbers) <= MAX_SEEDS or numbers[0] < 0:
        raise InvalidPlan(f"--seeds: expected 1 to {MAX_SEEDS} seeds, none below 0, got {seeds!r}")
    if arguments.short:
        return [plan.draw_short(seed) for seed in numbers]
    return [plan.draw(seed, arguments.seconds, arguments.routers) for seed in numbers]


def soak(requested: list[Plan], net: str, found: Path) -> int:
    """Runs plans one after another and prints a summary line for each; returns the exit code."""
    code, ended = EXIT_OK, None
    try:
        for to_run in requested:
            code = max(code, run_and_report(to_run, net, found))
    except* (KeyboardInterrupt, Interrupted):
        ended = EXIT_INTERRUPTED
    except* OSError as group:
        print(f"rowanshift: {first_of(group)}", file=sys.stderr)
        ended = EXIT_UNUSABLE
    return code if ended is None else ended


def run_and_report(to_run: Plan, net: str, found: Path) -> int:
    """Runs one plan, prints its summary line, and keeps its files if it failed; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="rowanshift-soak-") as temporary:
        folder = Path(temporary)
        result = run_plan(to_run, folder, net)
        print(result.summary_line(), flush=True)
        if not result.violations:
            return EXIT_OK
        kept = keep_files(result, folder, found, net)
        for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
            print(f"  {violation}", flush=True)
        print(f"  files kept in {kept}; repeat with: {(kept / COMMAND_FILE).read_text().strip()}", flush=True)
        return EXIT_VIOLATIONS
