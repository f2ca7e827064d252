"""Builds settings, server lists and routers of the cache proxy for tests, and runs the command line."""

import signal
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO

from rowanshift.cacheproxy.decision.router import Router
from rowanshift.cacheproxy.model import Category, Entry, Semantics, Settings, Verdict
from rowanshift.cli import main

RERUNNABLE, TICKETED, EXCLUSIVE, ZONAL = range(4)
ORIGIN = "origin:1"
CATEGORIES = [
    Category(1.0, 0.5, Semantics.RERUNNABLE, "all", 5.0),
    Category(3.0, 0.5, Semantics.TICKETED, "all", 5.0),
    Category(8.0, 0.5, Semantics.EXCLUSIVE, "all", 5.0),
    Category(3.0, 0.5, Semantics.TICKETED, "zone", 5.0),
]


def make_settings(**changes) -> Settings:
    defaults = dict(
        categories=CATEGORIES,
        quotas=[30.0, 30.0],
        routers=3,
        ordinal=0,
        aside=True,
        origin_kind=1,
        ask=False,
        ask_within=10.0,
        live_heft=False,
        peers=False,
        retry_after=2.0,
        max_hand_offs=4,
        overload_factor=2.0,
        overload_for=3.0,
        start_share=0.2,
        warm_within=20.0,
    )
    return Settings(**defaults | changes)


def make_entry(n: int | str, health: str = "live", came_up=0.0, heft=1.0, zone=0) -> Entry:
    server = ORIGIN if n == "origin" else f"cache:{n}"
    return Entry(server, 0, heft, zone, health, int(n == "origin"), came_up)


def make_router(
    caches: int = 5, now: float = 100.0, entries: list[Entry] | None = None, seed: int = 7, **changes
) -> Router:
    new_router = Router(make_settings(**changes), seed, now)
    entries_or_default = [make_entry(n) for n in range(caches)] if entries is None else entries
    new_router.list_changed(now, "cached", [*entries_or_default, make_entry("origin")])
    new_router.drain()
    return new_router


def request_decision(r: Router, id: int, key: str = "k", category: int = RERUNNABLE, write: bool = False, left=2.0):
    r.take(r.now, id, category, 0, key, left, write)
    return r.drain()


def report_response(r: Router, id: int, server: str, verdict: Verdict, after: float = 0.02, number: int = 0):
    r.answered(r.now + after, id, number, server, verdict, after, verdict == Verdict.FINISHED, None)
    return r.drain()


def invoke(*arguments) -> tuple[int, str]:
    """Run the command line in this process; return its exit status and its output on stdout and stderr."""
    output = StringIO()
    former_handlers = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP)}
    with redirect_stdout(output), redirect_stderr(output):
        try:
            main([str(a) for a in arguments])
        except SystemExit as end:
            return end.code or 0, output.getvalue()
        finally:
            for number, handler in former_handlers.items():
                signal.signal(number, handler)
    raise AssertionError("the command line returned without SystemExit")
