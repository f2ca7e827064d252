"""The options of ``rowanshift capacity``; imports little, because every start of the command line loads it."""

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
    parser.add_argument(
        "--only", default=",".join(PARTS), metavar="PART,...", help="parts to measure (default: %(default)s)"
    )
    for name, steps in (("routers", ROUTERS), ("servers", SERVERS), ("tenants", TENANTS), ("fanout", FANOUT)):
        parser.add_argument(
            f"--{name}",
            default=",".join(map(str, steps)),
            metavar="N,...",
            help="comma-separated steps (default: %(default)s)",
        )
    parser.add_argument(
        "--routes",
        type=int,
        default=TARGET.routes,
        metavar="N",
        help="number of routes in the sweeps by tenants (default: %(default)s)",
    )
    parser.add_argument(
        "--window", type=float, default=WINDOW, metavar="S", help="duration of the idle measurement, in seconds"
    )
    parser.add_argument("--limit", type=float, default=LIMIT, metavar="S", help="time limit of a step, in seconds")
    parser.add_argument("--seeds", type=int, default=SEEDS, metavar="N", help="number of simulations of each failure")
    parser.add_argument("--output", "-o", type=Path, metavar="FILE", help="write the results to this JSON file")
    parser.add_argument(
        "--plots", type=Path, metavar="DIR", help="write plots of the sweeps to this directory (needs matplotlib)"
    )
    parser.add_argument(
        "--results",
        type=Path,
        action="append",
        default=[],
        metavar="FILE",
        help="read results from a file instead of measuring (repeatable)",
    )
    parser.add_argument("--report", action="store_true", help="print each role's formulas and figures as Markdown")
