"""``rowanshift simulate`` for the control plane: a scenario from a file or a seed, or many seeds."""

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
from rowanshift.simulation.core_draw import draw_core_scenario
from rowanshift.simulation.core_play import CoreRunResult, run_core_scenario
from rowanshift.simulation.core_scenario import CoreScenario, target_names
from rowanshift.simulation.worker_pool import worker_pool

MAX_SHOWN_FAILURES = 5  # printed for one run
SEEDS_PER_PROCESS = 20  # after which a worker process is replaced

print_line = partial(print, flush=True)  # flushed, so that output into a pipe appears during the run


def run_seed(seed: int, applications: int = 0) -> CoreRunResult:
    """Run the scenario of a seed, with ``applications`` applications of each kind."""
    logger.disable("rowanshift")
    return run_core_scenario(draw_core_scenario(seed, applications))


def run_seeds(seeds: range, workers: int, applications: int = 0) -> Iterator[CoreRunResult]:
    """Yield the results of all seeds in order."""
    run_one_seed = partial(run_seed, applications=applications)
    if workers == 1:
        yield from map(run_one_seed, seeds)
        return
    with worker_pool(workers, SEEDS_PER_PROCESS) as pool:
        yield from pool.imap(run_one_seed, seeds)


def run_many(seeds: range, workers: int, as_json: bool, applications: int = 0) -> int:
    """Run all seeds, print a line for each failure and a summary; return the exit status."""
    started_at, digest, failed, simulated = time.perf_counter(), blake2b(digest_size=16), 0, 0.0
    for run in run_seeds(seeds, workers, applications):
        digest.update(run.digest.encode())
        failed, simulated = failed + run.failed(), simulated + run.seconds
        if as_json:
            print_line(orjson.dumps(as_json_object(run)).decode())
        elif run.failed():
            print_line(f"seed {run.seed}: {run.first_failure()}")
    wall_seconds = time.perf_counter() - started_at
    if as_json:
        summary = {
            "seeds": len(seeds),
            "failed": failed,
            "simulated_s": round(simulated, 3),
            "digest": digest.hexdigest(),
        }
        print_line(orjson.dumps(summary).decode())
    else:
        print_line(
            f"{len(seeds)} seeds, {failed} failed, {simulated / wall_seconds:.1f} simulated seconds per second, "
            f"digest {digest.hexdigest()}"
        )
    return 1 if failed else 0


def run_one(scenario: CoreScenario, events: Path | None, as_json: bool) -> int:
    """Run one scenario and print the result; return the exit status. Recorded events go to ``events`` as JSON lines."""
    facts: list[Fact] = []
    logger.disable("rowanshift")
    try:
        run = run_core_scenario(scenario, *([facts.append] if events else []))
    finally:
        logger.enable("rowanshift")
    if events is not None:
        try:
            events.write_bytes(b"".join(orjson.dumps(event_as_json_object(fact)) + b"\n" for fact in facts))
        except OSError as error:
            print(f"rowanshift: {events}: {error.strerror}", file=sys.stderr)
            return 2
    if as_json:
        print_line(orjson.dumps(as_json_object(run)).decode())
    else:
        _print_result(scenario, run)
    return 1 if run.failed() else 0


def _print_result(scenario: CoreScenario, run: CoreRunResult) -> None:
    print_line(f"{scenario.name}: {len(scenario.trouble)} faults")
    for fault in scenario.trouble:
        targets, trigger = ",".join(target_names(fault)), f", after the next {fault.after}" if fault.after else ""
        print_line(
            f"  {fault.at_s:8.3f} s  {fault.what:12} {targets:16} for {fault.for_s:g} s, {fault.value:g}{trigger}"
        )
    failures = [*map(str, run.breaches), *run.unmet, *([run.error] if run.error else [])]
    for line in failures[:MAX_SHOWN_FAILURES]:
        print_line(f"seed {run.seed}: {line}")
    if len(failures) > MAX_SHOWN_FAILURES:
        print_line(f"seed {run.seed}: {len(failures) - MAX_SHOWN_FAILURES} more")
    print_line(
        f"{run.changes} configurations acknowledged in {run.seconds:.1f} simulated seconds, {run.served:.4f} of the "
        f"calls served; {run.seconds / run.wall:.1f} simulated seconds per second; digest {run.digest}"
    )


def as_json_object(run: CoreRunResult) -> dict[str, Any]:
    """Return the result of a run for ``--json``."""
    return {
        "name": run.name,
        "seed": run.seed,
        "digest": run.digest,
        "seconds": run.seconds,
        "configurations": run.changes,
        "served": run.served,
        "error": run.error,
        "unmet": run.unmet,
        "broken": [
            {"rule": violation.rule, "at": violation.at, "ids": violation.ids, "why": violation.why}
            for violation in run.breaches
        ],
    }


def event_as_json_object(fact: Fact) -> dict[str, Any]:
    """Return a recorded event for JSON: its type and fields, with bytes as Latin-1. Infinite times become null."""
    fields: dict[str, Any] = {"fact": type(fact).__name__}
    for name in type(fact).__dataclass_fields__:
        value = getattr(fact, name)
        if isinstance(value, bytes):
            value = value.decode("latin-1")
        fields[name] = repr(value) if isinstance(value, msgspec.Struct) else value
    return fields
