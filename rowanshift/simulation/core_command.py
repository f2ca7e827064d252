"""``rowanshift simulate`` for the control side: a scenario from a file or a seed, or many seeds."""

import sys
import time
from collections.abc import Iterator
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec
import orjson
from loguru import logger

from rowanshift.invariants.facts import Fact
from rowanshift.simulation.core_draw import core_scenario
from rowanshift.simulation.core_play import CoreRun, play_core
from rowanshift.simulation.core_scenario import CoreScenario, names_of
from rowanshift.simulation.worker_pool import worker_pool

MOST_SHOWN = 5  # things that went wrong, of one run
SEEDS_A_PROCESS = 20  # until a process is replaced

say = partial(print, flush=True)  # also into a pipe, while it goes on


def play_seed(seed: int, applications: int = 0) -> CoreRun:
    """Plays the scenario of a seed, with so many applications of each kind."""
    logger.disable("rowanshift")
    return play_core(core_scenario(seed, applications))


def play_seeds(seeds: range, workers: int, applications: int = 0) -> Iterator[CoreRun]:
    """Runs of all seeds, in their order."""
    play = partial(play_seed, applications=applications)
    if workers == 1:
        yield from map(play, seeds)
        return
    with worker_pool(workers, SEEDS_A_PROCESS) as pool:
        yield from pool.imap(play, seeds)


def play_many(seeds: range, workers: int, as_json: bool, applications: int = 0) -> int:
    """Plays all seeds, prints a line for each that fails and a last one for all; the exit status."""
    began, digest, failed, simulated = time.perf_counter(), blake2b(digest_size=16), 0, 0.0
    for run in play_seeds(seeds, workers, applications):
        digest.update(run.digest.encode())
        failed, simulated = failed + run.failed(), simulated + run.seconds
        if as_json:
            say(orjson.dumps(as_object(run)).decode())
        elif run.failed():
            say(f"seed {run.seed}: {run.first()}")
    wall = time.perf_counter() - began
    if as_json:
        last = {"seeds": len(seeds), "failed": failed, "simulated_s": round(simulated, 3), "digest": digest.hexdigest()}
        say(orjson.dumps(last).decode())
    else:
        say(
            f"{len(seeds)} seeds, {failed} failed, {simulated / wall:.1f} simulated seconds a second, "
            f"digest {digest.hexdigest()}"
        )
    return 1 if failed else 0


def play_one(scenario: CoreScenario, events: Path | None, as_json: bool) -> int:
    """Plays one scenario and prints what came of it; with ``events`` its facts are written there, as JSON lines."""
    facts: list[Fact] = []
    logger.disable("rowanshift")
    try:
        run = play_core(scenario, *([facts.append] if events else []))
    finally:
        logger.enable("rowanshift")
    if events is not None:
        try:
            events.write_bytes(b"".join(orjson.dumps(fact_as_object(fact)) + b"\n" for fact in facts))
        except OSError as error:
            print(f"rowanshift: {events}: {error.strerror}", file=sys.stderr)
            return 2
    if as_json:
        say(orjson.dumps(as_object(run)).decode())
    else:
        _tell(scenario, run)
    return 1 if run.failed() else 0


def _tell(scenario: CoreScenario, run: CoreRun) -> None:
    say(f"{scenario.name}: {len(scenario.trouble)} troubles")
    for trouble in scenario.trouble:
        who, after = ",".join(names_of(trouble)), f", after the next {trouble.after}" if trouble.after else ""
        say(f"  {trouble.at_s:8.3f} s  {trouble.what:12} {who:16} for {trouble.for_s:g} s, {trouble.value:g}{after}")
    wrong = [*map(str, run.breaches), *run.unmet, *([run.error] if run.error else [])]
    for line in wrong[:MOST_SHOWN]:
        say(f"seed {run.seed}: {line}")
    if len(wrong) > MOST_SHOWN:
        say(f"seed {run.seed}: {len(wrong) - MOST_SHOWN} more")
    say(
        f"{run.changes} configurations acknowledged in {run.seconds:.1f} simulated seconds, {run.served:.4f} of the "
        f"calls served; {run.seconds / run.wall:.1f} simulated seconds a second; digest {run.digest}"
    )


def as_object(run: CoreRun) -> dict[str, Any]:
    """What came of a run, for programs."""
    return {
        "name": run.name,
        "seed": run.seed,
        "digest": run.digest,
        "seconds": run.seconds,
        "configurations": run.changes,
        "served": run.served,
        "error": run.error,
        "unmet": run.unmet,
        "broken": [{"rule": b.rule, "at": b.at, "ids": b.ids, "why": b.why} for b in run.breaches],
    }


def fact_as_object(fact: Fact) -> dict[str, Any]:
    """A fact by its fields, with its kind; bytes as Latin-1, and times without end as null."""
    named: dict[str, Any] = {"fact": type(fact).__name__}
    for name in type(fact).__dataclass_fields__:
        value = getattr(fact, name)
        if isinstance(value, bytes):
            value = value.decode("latin-1")
        named[name] = repr(value) if isinstance(value, msgspec.Struct) else value
    return named
