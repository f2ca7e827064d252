"""The options of ``rowanshift capacity``; it imports little, as every command does until it is run."""

import argparse
from pathlib import Path

from rowanshift.capacity.deployment import TARGET

UNUSABLE = 2  # exit status
ROUTERS, SERVERS = (10, 30, 100, 300, 1000), (100, 300, 1000, 3000, 10_000)
TENANTS, FANOUT = (100, 1000, 10_000, 20_000, 43_000), (10, 30, 100)
PARTS = (
    "routers",
    "servers",
    "tenants",
    "fanout",
    "router-servers",
    "router-tenants",
    "delivery",
    "failures",
)
SEEDS = 50
WINDOW, LIMIT = 5.0, 90.0  # seconds


def add_options(parser: argparse.ArgumentParser) -> None:
    """The options of ``rowanshift capacity``."""
    parser.add_argument("--only", default=",".join(PARTS), metavar="PART,...", help="what to measure: %(default)s")
    for name, steps in (("routers", ROUTERS), ("servers", SERVERS), ("tenants", TENANTS), ("fanout", FANOUT)):
        parser.add_argument(
            f"--{name}",
            default=",".join(map(str, steps)),
            metavar="N,...",
            help="steps; %(default)s if not given",
        )
    parser.add_argument(
        "--routes",
        type=int,
        default=TARGET.routes,
        metavar="N",
        help="routes beside many tenants; %(default)s if not given",
    )
    parser.add_argument("--window", type=float, default=WINDOW, metavar="S", help="seconds that idle is measured")
    parser.add_argument("--limit", type=float, default=LIMIT, metavar="S", help="seconds that a step may take")
    parser.add_argument("--seeds", type=int, default=SEEDS, metavar="N", help="plays of each failure")
    parser.add_argument("--output", "-o", type=Path, metavar="FILE", help="write the results there, as JSON")
    parser.add_argument("--plots", type=Path, metavar="DIR", help="draw the sweeps there (needs matplotlib)")
    parser.add_argument(
        "--results",
        type=Path,
        action="append",
        default=[],
        metavar="FILE",
        help="take results from a file, measure nothing; repeat it",
    )
    parser.add_argument("--report", action="store_true", help="print each role's formulas and figures as Markdown")
