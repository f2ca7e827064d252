"""The options of ``rowanshift soak``. Imports only what parsing needs, so that every command line starts quickly."""

import argparse
import ipaddress
from pathlib import Path

DEFAULT_SECONDS = 60.0  # of load per run
DEFAULT_FOUND = Path("found")


def loopback_prefix(text: str) -> str:
    """Parses the first three numbers of a loopback address; the result ends with a dot."""
    prefix = text.rstrip(".")
    try:
        is_loopback = ipaddress.ip_address(f"{prefix}.0") in ipaddress.ip_network("127.0.0.0/8")
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise argparse.ArgumentTypeError(f"expected a loopback prefix like 127.80.0., got {text!r}")
    return f"{prefix}."


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of ``rowanshift soak`` to its parser."""
    parser.add_argument(
        "--seeds", default="1", help="N: seeds 0 to N-1; FIRST:LAST: seeds FIRST to LAST-1 (default: %(default)s)"
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_SECONDS,
        metavar="S",
        help="seconds of load per run (default: %(default)s)",
    )
    parser.add_argument("--short", action="store_true", help="run the short form, about 20 s per seed")
    parser.add_argument("--routers", type=int, metavar="N", help="number of routers (default: drawn from 4 to 6)")
    parser.add_argument("--plan", type=Path, metavar="FILE", help="run the plan in this file instead of drawn ones")
    parser.add_argument(
        "--net",
        type=loopback_prefix,
        metavar="127.A.B.",
        help="prefix of all addresses (default: derived from the process id)",
    )
    parser.add_argument(
        "--found",
        type=Path,
        default=DEFAULT_FOUND,
        metavar="DIR",
        help="folder for the files of failing runs (default: %(default)s)",
    )
