"""Command line of the model checker: random walks, breadth-first search, and the search for planted faults.

python -m rowanshift.modelcheck walks --seeds 200 --steps 6000 --machines 3 --f 1
python -m rowanshift.modelcheck breadth --states 20000
python -m rowanshift.modelcheck faults --planted tests/support/planted_replication_faults.py
"""

from __future__ import annotations

import argparse
import runpy
import time
from collections.abc import Callable

from rowanshift.modelcheck.breadth_first_search import SearchResult, search_breadth_first
from rowanshift.modelcheck.fault_search import WALKS, find_fault
from rowanshift.modelcheck.random_walk import WalkResult
from rowanshift.modelcheck.search_starts import STARTS

DEFAULT_PLANTED = "tests/support/planted_replication_faults.py"


def run_walks(options: argparse.Namespace) -> bool:
    """Run random walks. Returns whether any of them violated an invariant or stalled."""
    failed_walks = commits = epochs = 0
    longest_recovery = 0.0
    for seed in range(options.first, options.first + options.seeds):
        result = WALKS[options.kind](seed, options.machines, options.f, options.spares).run(options.steps)
        commits, epochs = commits + result.commits, epochs + result.epochs
        longest_recovery = max(longest_recovery, result.longest_recovery)
        if result.violation or result.stall:
            failed_walks += 1
            print(walk_line(result))
    print(
        f"{options.seeds} walks, {commits} commits, {epochs} epochs begun, "
        f"longest calm {longest_recovery:.1f} s, {failed_walks} bad"
    )
    return bool(failed_walks)


def walk_line(result: WalkResult) -> str:
    """The line of a walk that violated an invariant or stalled. Its format is stable, since programs parse it."""
    return (
        f"Outcome(seed={result.seed}, steps={result.steps}, broken={result.violation!r}, committed={result.commits}, "
        f"epochs={result.epochs}, stalled={result.stall!r}, longest_calm={result.longest_recovery})"
    )


def run_breadth(options: argparse.Namespace) -> bool:
    """Search breadth first from each start. Returns whether an invariant was violated."""
    violated = False
    for start in STARTS:
        if options.start in ("", start):
            result = search_breadth_first(options.states, start, max_depth=options.events)
            violated |= bool(result.violation)
            print(f"{start:20} {search_line(result)}", flush=True)
    return violated


def search_line(result: SearchResult) -> str:
    """The line of a search. Its format is stable, since programs parse it."""
    return (
        f"BreadthResult(states={result.states}, depth={result.depth}, seconds={result.seconds}, "
        f"broken={result.violation!r})"
    )


def run_faults(options: argparse.Namespace) -> bool:
    """Search for each planted fault. Returns whether any was not detected."""
    missed = 0
    seeds = range(options.first, options.first + options.seeds)
    for fault, search in runpy.run_path(options.planted)["FAULTS"].items():
        if options.fault in ("", fault.__name__):
            started_at = time.monotonic()
            found = find_fault(fault, search, seeds, options.steps)
            missed, seconds = missed + (found is None), time.monotonic() - started_at
            text = f"{seconds:7.2f} s seed {found.seed} step {found.steps} {found.violation}" if found else "-"
            print(f"{fault.__name__:24} {text}", flush=True)
    return bool(missed)


COMMANDS: dict[str, Callable[[argparse.Namespace], bool]] = {
    "walks": run_walks,
    "breadth": run_breadth,
    "faults": run_faults,
}


def argument_parser() -> argparse.ArgumentParser:
    """Create the command line parser."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(prog="rowanshift.modelcheck", description=__doc__, formatter_class=raw)
    parser.add_argument("command", choices=COMMANDS)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--steps", type=int, default=8000)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--kind", choices=WALKS, default="protocol", help="the kind of walk")
    parser.add_argument("--f", type=int, default=1, help="number of failures to tolerate")
    parser.add_argument("--spares", type=int, default=0)
    parser.add_argument("--planted", default=DEFAULT_PLANTED, help="a Python file whose FAULTS are searched for")
    parser.add_argument("--fault", default="", help="search for the planted fault of this name only")
    parser.add_argument("--states", type=int, default=20_000)
    parser.add_argument("--start", default="", help="run the breadth-first search from this start only")
    parser.add_argument("--events", type=int, default=1000, help="maximum depth of a breadth-first search, in events")
    return parser


def main() -> int:
    """Run the command given on the command line. Returns 1 if it found a violation, a stall or an undetected fault."""
    options = argument_parser().parse_args()
    return int(COMMANDS[options.command](options))


if __name__ == "__main__":
    raise SystemExit(main())
