"""``rowanshift simulate``: many seeds, one scenario, or a failing one cut down."""

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

from rowanshift.invariants.checks import Broken
from rowanshift.invariants.events import Fact, named
from rowanshift.simulation.core_command import play_many, play_one
from rowanshift.simulation.core_draw import core_scenario
from rowanshift.simulation.core_scenario import is_core, load_core
from rowanshift.simulation.draw import SIZES, scenario
from rowanshift.simulation.scenario import Scenario, ScenarioError, dump, load
from rowanshift.simulation.shrink import Shrinker
from rowanshift.simulation.worker_pool import worker_pool
from rowanshift.simulation.world import World

MOST_SHOWN = 3  # broken rules of one seed
SEEDS_A_PROCESS = 50  # until a process is replaced
DEFAULT_SIZE = "small"

say = partial(print, flush=True)  # also into a pipe, while it goes on


class UsageError(Exception):
    """Options that do not go together, or a value of one that can't be used."""


@dataclass(slots=True)
class Run:
    """What is kept of one seed."""

    seed: int
    digest: str = ""
    items: int = 0
    seconds: float = 0.0
    finished: float = 0.0
    p99: float = 0.0
    broken: list[Broken] = field(default_factory=list)
    error: str = ""
    wall: float = 0.0


def play(given: Scenario, *readers: Callable[[Fact], None], make: Callable[..., Any] | None = None) -> Run:
    """Runs one scenario; a crash of the run itself is told and kept apart from broken rules."""
    digest, began = blake2b(digest_size=16), time.perf_counter()
    run = Run(given.seed)

    def hashed(fact: Fact) -> None:
        digest.update(repr(fact).encode())

    try:
        world = World(given, [hashed, *readers], **({"make": make} if make else {}))
        outcome = world.run()
    except Exception:
        run.error = traceback.format_exc()
    else:
        run.items, run.seconds, run.broken = outcome.items, outcome.seconds, outcome.broken
        run.finished, run.p99 = outcome.finished, outcome.p99
        if world.errors:
            run.error = "".join(traceback.format_exception(world.errors[0]))
    run.digest, run.wall = digest.hexdigest(), time.perf_counter() - began
    return run


def _play_seed(job: tuple[int, str]) -> Run:
    return play(scenario(*job))


def play_all(seeds: range, size: str, workers: int) -> Iterator[Run]:
    """Runs of all seeds, in their order."""
    jobs = [(seed, size) for seed in seeds]
    if workers == 1:
        yield from map(_play_seed, jobs)
        return
    with worker_pool(workers, SEEDS_A_PROCESS) as pool:
        yield from pool.imap(_play_seed, jobs)


def seeds_of(text: str) -> range:
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
    """Plays what is asked for; the exit status. Raises ``UsageError``."""
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
        return _core(file, seeds, seed, size, workers, events, shrink, as_json, applications)
    if applications:
        raise UsageError("--applications goes with --core")
    if seeds:
        return _many(seeds_of(seeds), size, workers, as_json)
    try:
        given = load(file) if file is not None else scenario(seed, size)
    except ScenarioError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    return _one(given, events, shrink, as_json)


def _core(
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
    """Plays what is asked for of the control side."""
    if shrink or size != DEFAULT_SIZE:
        raise UsageError("--shrink and --size don't go with scenarios of the control side")
    if seeds:
        return play_many(seeds_of(seeds), workers, as_json, applications)
    try:
        given = load_core(file) if file is not None else core_scenario(seed, applications)
    except ScenarioError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    return play_one(given, events, as_json)


def _one(given: Scenario, events: Path | None, shrink: Path | None, as_json: bool) -> int:
    try:
        out: TextIO | None = events.open("w") if events else None
    except OSError as error:
        print(f"rowanshift: {events}: {error.strerror}", file=sys.stderr)
        return 2

    def write(fact: Fact) -> None:
        out.write(orjson.dumps(named(fact)).decode() + "\n")

    try:
        run = play(given, *([write] if out else []))
    finally:
        if out:
            out.close()
    if as_json:
        say(orjson.dumps(_as_object(run)).decode())
    else:
        say(f"{given.name}: {len(given.trouble)} troubles")
        for trouble in given.trouble:
            who = ",".join(trouble.who) if isinstance(trouble.who, list) else trouble.who
            say(f"  {trouble.at_s:8.3f} s  {trouble.what:12} {who:8} for {trouble.for_s:g} s, {trouble.value:g}")
        _tell(run, sys.stdout)
        say(
            f"{run.items} work items in {run.seconds:.1f} simulated seconds, {run.finished:.4f} "
            f"finished in time, p99 {run.p99:.3f} s; {run.seconds / run.wall:.1f} simulated seconds a "
            f"second; digest {run.digest}"
        )
    if (run.broken or run.error) and shrink is not None:
        least = Shrinker(lambda one: _fails_alike(run, play(one)), lambda line: print(line, file=sys.stderr))
        why = f"cut down from {given.name}\n" + "\n".join(map(str, run.broken[:1]))
        text = dump(least.shrink(given), why)
        shrink.write_text(text)
        print(f"written to {shrink}", file=sys.stderr)
    return 1 if run.broken or run.error else 0


def _fails_alike(first: Run, other: Run) -> bool:
    """Whether the same rule is broken, or the run crashes as the first did."""
    if first.broken:
        return any(b.rule == first.broken[0].rule for b in other.broken)
    return bool(other.error)


def _tell(run: Run, out: TextIO) -> None:
    for broken in run.broken[:MOST_SHOWN]:
        print(f"seed {run.seed}: {broken}", file=out)
    if len(run.broken) > MOST_SHOWN:
        print(f"seed {run.seed}: {len(run.broken) - MOST_SHOWN} more", file=out)
    if run.error:
        print(f"seed {run.seed}: {run.error}", file=out)


def _as_object(run: Run) -> dict[str, Any]:
    return {
        "seed": run.seed,
        "digest": run.digest,
        "work_items": run.items,
        "seconds": run.seconds,
        "finished_in_time": run.finished,
        "p99_s": run.p99,
        "error": run.error,
        "broken": [{"rule": b.rule, "at": b.at, "who": b.who, "why": b.why} for b in run.broken],
    }


def _many(seeds: range, size: str, workers: int, as_json: bool) -> int:
    began, digest, rules = time.perf_counter(), blake2b(digest_size=16), Counter()
    items, simulated, failed = 0, 0.0, 0
    with Progress(transient=True, disable=not sys.stderr.isatty()) as progress:
        task = progress.add_task("seeds", total=len(seeds))
        for n, run in enumerate(play_all(seeds, size, workers), 1):
            progress.update(task, advance=1)
            digest.update(run.digest.encode())
            items, simulated = items + run.items, simulated + run.seconds
            failed += bool(run.broken or run.error)
            rules.update(b.rule for b in run.broken)
            if as_json:
                say(orjson.dumps(_as_object(run)).decode())
            else:
                _tell(run, sys.stdout)
                if not sys.stderr.isatty() and n % 100 == 0:
                    print(f"{n} of {len(seeds)} seeds", file=sys.stderr)
    wall = time.perf_counter() - began
    told = ", ".join(f"rule {rule}: {n}" for rule, n in sorted(rules.items())) or "none"
    last = {
        "seeds": len(seeds),
        "failed": failed,
        "work_items": items,
        "broken_rules": dict(rules),
        "simulated_s_a_wall_s": round(simulated / wall, 1),
        "digest": digest.hexdigest(),
    }
    say(
        orjson.dumps(last, option=orjson.OPT_NON_STR_KEYS).decode()
        if as_json
        else f"{len(seeds)} seeds, {items} work items, {failed} seeds failed (broken rules: {told}), "
        f"{simulated / wall:.1f} simulated seconds a second, digest {digest.hexdigest()}"
    )
    return 1 if failed else 0
