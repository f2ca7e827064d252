"""The options of ``rowanshift soak``; it imports little, as every command does until it is run."""

import argparse
import ipaddress
from pathlib import Path

DEFAULT_SECONDS = 60.0  # of load in a run
DEFAULT_FOUND = Path("found")


def loopback_prefix(text: str) -> str:
    """The first three numbers of loopback addresses, with a dot at the end."""
    prefix = text.rstrip(".")
    try:
        is_loopback = ipaddress.ip_address(f"{prefix}.0") in ipaddress.ip_network("127.0.0.0/8")
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise argparse.ArgumentTypeError(f"{text!r} is not like 127.80.0.")
    return f"{prefix}."


def add_options(parser: argparse.ArgumentParser) -> None:
    """The options of ``rowanshift soak``."""
    parser.add_argument("--seeds", default="1", help="N, or FIRST:LAST without the last; %(default)s if not given")
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_SECONDS, metavar="S", help="of load in a run; %(default)s if not given"
    )
    parser.add_argument("--short", action="store_true", help="the short form, about 20 s a seed")
    parser.add_argument("--routers", type=int, metavar="N", help="drawn from 4 to 6 if not given")
    parser.add_argument("--plan", type=Path, metavar="FILE", help="play this plan instead of drawn ones")
    parser.add_argument(
        "--net",
        type=loopback_prefix,
        metavar="127.A.B.",
        help="how all addresses begin; by the process id if not given",
    )
    parser.add_argument(
        "--found",
        type=Path,
        default=DEFAULT_FOUND,
        metavar="DIR",
        help="where failing runs are kept; %(default)s if not given",
    )
