"""``rowanshift simulate``: runs many seeds or one scenario, and can shrink a failing one."""

import sys
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Any, TextIO

import orjson
from rich.progress import Progress

from rowanshift.invariants.checks import RuleViolation
from rowanshift.invariants.events import Fact, event_as_dict
from rowanshift.simulation.core_command import run_many, run_one
from rowanshift.simulation.core_draw import draw_core_scenario
from rowanshift.simulation.core_scenario import is_core, load_core
from rowanshift.simulation.draw import SIZES, draw_scenario
from rowanshift.simulation.scenario import Scenario, ScenarioError, dump, load
from rowanshift.simulation.shrink import Shrinker
from rowanshift.simulation.worker_pool import worker_pool
from rowanshift.simulation.world import CacheFleetSimulation

MAX_SHOWN_FAILURES = 3  # broken rules printed for one seed
SEEDS_PER_PROCESS = 50  # after which a worker process is replaced
DEFAULT_SIZE = "small"

print_line = partial(print, flush=True)  # flushed, so that output into a pipe appears during the run


class UsageError(Exception):
    """A combination of options that is not allowed, or an invalid value of an option."""


@dataclass(slots=True)
class SeedResult:
    """The result of one seed."""

    seed: int
    digest: str = ""
    items: int = 0
    seconds: float = 0.0
    finished: float = 0.0
    p99: float = 0.0
    broken: list[RuleViolation] = field(default_factory=list)
    error: str = ""
    wall: float = 0.0


def run_scenario(
    scenario: Scenario, *readers: Callable[[Fact], None], make_service: Callable[..., Any] | None = None
) -> SeedResult:
    """Run one scenario. A crash of the run itself is reported as ``error``, apart from broken rules."""
    digest, started_at = blake2b(digest_size=16), time.perf_counter()
    run = SeedResult(scenario.seed)

    def add_to_digest(fact: Fact) -> None:
        digest.update(repr(fact).encode())

    try:
        simulation = CacheFleetSimulation(
            scenario, [add_to_digest, *readers], **({"make_service": make_service} if make_service else {})
        )
        outcome = simulation.run()
    except Exception:
        run.error = traceback.format_exc()
    else:
        run.items, run.seconds, run.broken = outcome.items, outcome.seconds, outcome.broken
        run.finished, run.p99 = outcome.finished, outcome.p99
        if simulation.errors:
            run.error = "".join(traceback.format_exception(simulation.errors[0]))
    run.digest, run.wall = digest.hexdigest(), time.perf_counter() - started_at
    return run


def _run_seed(job: tuple[int, str]) -> SeedResult:
    return run_scenario(draw_scenario(*job))


def run_seeds(seeds: range, size: str, workers: int) -> Iterator[SeedResult]:
    """Yield the results of all seeds in order."""
    jobs = [(seed, size) for seed in seeds]
    if workers == 1:
        yield from map(_run_seed, jobs)
        return
    with worker_pool(workers, SEEDS_PER_PROCESS) as pool:
        yield from pool.imap(_run_seed, jobs)


def parse_seeds(text: str) -> range:
    """Parse the value of ``--seeds``."""
    first, colon, last = text.partition(":")
    try:
        seeds = range(int(first), int(last) if colon else int(first) + 1)
    except ValueError:
        raise UsageError(f"--seeds takes N or FIRST:LAST, not {text!r}") from None
    if not 0 < len(seeds) <= 1_000_000 or seeds[0] < 0:
        raise UsageError("--seeds takes 1 to 1,000,000 seeds from 0 up")
    return seeds


def simulate(
    file: Path | None,
    seeds: str,
    seed: int | None,
    size: str,
    workers: int,
    events: Path | None,
    shrink: Path | None,
    as_json: bool,
    core: bool = False,
    applications: int = 0,
) -> int:
    """Run the command; return its exit status. Raises ``UsageError``."""
    if size not in SIZES:
        raise UsageError(f"--size is {size!r}, not one of {', '.join(SIZES)}")
    if sum((file is not None, bool(seeds), seed is not None)) != 1:
        raise UsageError("give a file, --seed or --seeds")
    if seeds and (events or shrink):
        raise UsageError("--events and --shrink go with one seed or file")
    try:
        core = core or (file is not None and is_core(file))
    except ScenarioError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    if core:
        return _simulate_core(file, seeds, seed, size, workers, events, shrink, as_json, applications)
    if applications:
        raise UsageError("--applications needs --core")
    if seeds:
        return _simulate_seeds(parse_seeds(seeds), size, workers, as_json)
    try:
        scenario = load(file) if file is not None else draw_scenario(seed, size)
    except ScenarioError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    return _simulate_one(scenario, events, shrink, as_json)


def _simulate_core(
    file: Path | None,
    seeds: str,
    seed: int | None,
    size: str,
    workers: int,
    events: Path | None,
    shrink: Path | None,
    as_json: bool,
    applications: int,
) -> int:
    """Run the command for the control plane; return its exit status."""
    if shrink or size != DEFAULT_SIZE:
        raise UsageError("--shrink and --size don't go with control plane scenarios")
    if seeds:
        return run_many(parse_seeds(seeds), workers, as_json, applications)
    try:
        scenario = load_core(file) if file is not None else draw_core_scenario(seed, applications)
    except ScenarioError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    return run_one(scenario, events, as_json)


def _simulate_one(scenario: Scenario, events: Path | None, shrink: Path | None, as_json: bool) -> int:
    try:
        out: TextIO | None = events.open("w") if events else None
    except OSError as error:
        print(f"rowanshift: {events}: {error.strerror}", file=sys.stderr)
        return 2

    def write(fact: Fact) -> None:
        out.write(orjson.dumps(event_as_dict(fact)).decode() + "\n")

    try:
        run = run_scenario(scenario, *([write] if out else []))
    finally:
        if out:
            out.close()
    if as_json:
        print_line(orjson.dumps(_as_json_object(run)).decode())
    else:
        print_line(f"{scenario.name}: {len(scenario.trouble)} faults")
        for fault in scenario.trouble:
            targets = ",".join(fault.who) if isinstance(fault.who, list) else fault.who
            print_line(f"  {fault.at_s:8.3f} s  {fault.what:12} {targets:8} for {fault.for_s:g} s, {fault.value:g}")
        _print_failures(run, sys.stdout)
        print_line(
            f"{run.items} work items in {run.seconds:.1f} simulated seconds, {run.finished:.4f} "
            f"finished in time, p99 {run.p99:.3f} s; {run.seconds / run.wall:.1f} simulated seconds per "
            f"second; digest {run.digest}"
        )
    if (run.broken or run.error) and shrink is not None:
        shrinker = Shrinker(
            lambda smaller: _fails_the_same_way(run, run_scenario(smaller)), lambda line: print(line, file=sys.stderr)
        )
        comment = f"shrunk from {scenario.name}\n" + "\n".join(map(str, run.broken[:1]))
        text = dump(shrinker.shrink(scenario), comment)
        shrink.write_text(text)
        print(f"written to {shrink}", file=sys.stderr)
    return 1 if run.broken or run.error else 0


def _fails_the_same_way(first: SeedResult, other: SeedResult) -> bool:
    """Return whether the same rule is broken as in the first run, or both runs crash."""
    if first.broken:
        return any(broken_rule.rule == first.broken[0].rule for broken_rule in other.broken)
    return bool(other.error)


def _print_failures(run: SeedResult, out: TextIO) -> None:
    for broken in run.broken[:MAX_SHOWN_FAILURES]:
        print(f"seed {run.seed}: {broken}", file=out)
    if len(run.broken) > MAX_SHOWN_FAILURES:
        print(f"seed {run.seed}: {len(run.broken) - MAX_SHOWN_FAILURES} more", file=out)
    if run.error:
        print(f"seed {run.seed}: {run.error}", file=out)


def _as_json_object(run: SeedResult) -> dict[str, Any]:
    return {
        "seed": run.seed,
        "digest": run.digest,
        "work_items": run.items,
        "seconds": run.seconds,
        "finished_in_time": run.finished,
        "p99_s": run.p99,
        "error": run.error,
        "broken": [
            {"rule": broken_rule.rule, "at": broken_rule.at, "who": broken_rule.who, "why": broken_rule.why}
            for broken_rule in run.broken
        ],
    }


def _simulate_seeds(seeds: range, size: str, workers: int, as_json: bool) -> int:
    started_at, digest, rules = time.perf_counter(), blake2b(digest_size=16), Counter()
    items, simulated, failed = 0, 0.0, 0
    with Progress(transient=True, disable=not sys.stderr.isatty()) as progress:
        task = progress.add_task("seeds", total=len(seeds))
        for count, run in enumerate(run_seeds(seeds, size, workers), 1):
            progress.update(task, advance=1)
            digest.update(run.digest.encode())
            items, simulated = items + run.items, simulated + run.seconds
            failed += bool(run.broken or run.error)
            rules.update(broken_rule.rule for broken_rule in run.broken)
            if as_json:
                print_line(orjson.dumps(_as_json_object(run)).decode())
            else:
                _print_failures(run, sys.stdout)
                if not sys.stderr.isatty() and count % 100 == 0:
                    print(f"{count} of {len(seeds)} seeds", file=sys.stderr)
    wall_seconds = time.perf_counter() - started_at
    rule_counts = ", ".join(f"rule {rule}: {count}" for rule, count in sorted(rules.items())) or "none"
    summary = {
        "seeds": len(seeds),
        "failed": failed,
        "work_items": items,
        "broken_rules": dict(rules),
        "simulated_s_a_wall_s": round(simulated / wall_seconds, 1),
        "digest": digest.hexdigest(),
    }
    print_line(
        orjson.dumps(summary, option=orjson.OPT_NON_STR_KEYS).decode()
        if as_json
        else f"{len(seeds)} seeds, {items} work items, {failed} seeds failed (broken rules: {rule_counts}), "
        f"{simulated / wall_seconds:.1f} simulated seconds per second, digest {digest.hexdigest()}"
    )
    return 1 if failed else 0
