"""The command line. What a command needs is imported when it is run, so that each starts with the least."""

import argparse
import errno
import os
import sys
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

from rowanshift import __version__

if TYPE_CHECKING:
    from rowanshift.net.config import Config

UNUSABLE = 2  # exit status: an input that can't be used, as argparse has it
INTERRUPTED = 130


def fail(error: object, status: int) -> NoReturn:
    print(f"rowanshift: {error}", file=sys.stderr)
    raise SystemExit(status)


def whole_number(least: int, most: int | None = None):
    """A type for argparse: a whole number within bounds."""
    def parse(text: str) -> int:
        value = int(text)
        if value < least or (most is not None and value > most):
            raise argparse.ArgumentTypeError(f"{value} is not {least} or more" if most is None else
                                             f"{value} is not within {least} and {most}")
        return value

    parse.__name__ = "whole number"
    return parse


def loaded(arguments: argparse.Namespace) -> "Config":
    from rowanshift.net.config import ConfigError, load

    if arguments.config is None:
        arguments.parser.error("--config FILE is missing, and BALANCER_CONFIG names none")
    try:
        return load(arguments.config)
    except ConfigError as error:
        fail(error, UNUSABLE)


def serve(arguments: argparse.Namespace) -> int:
    """Run a router until SIGTERM; SIGHUP has it read its configuration again."""
    import signal

    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the service heeds it, and while it ends

    import trio
    from loguru import logger

    from rowanshift.net.lines import Lines
    from rowanshift.net.service import Service

    config = loaded(arguments)
    logger.remove()
    try:
        logger.add(sys.stderr, level=arguments.level, format="{time:HH:mm:ss.SSS} {level: <7} {message}",
                   backtrace=False, diagnose=False, filter=Lines())
    except ValueError as error:  # no such level
        fail(error, UNUSABLE)
    try:
        trio.run(Service(config, arguments.config).run)
    except* OSError as group:
        fail(group.exceptions[0], 1)
    return 0


def check(arguments: argparse.Namespace) -> int:
    """Read a configuration and say what is in it."""
    c = loaded(arguments)
    print(f"{c.name}: listens on {c.listen[0]}:{c.listen[1]}; {len(c.names.categories)} categories, "
          f"{len(c.names.tenants)} tenants, {len(c.known.get('instances', ()))} servers known, "
          f"{c.settings.routers} routers"
          + (f"; calls on {c.control[0]}:{c.control[1]}" if c.control else ""))
    return 0


def version(arguments: argparse.Namespace) -> int:
    """Print the version."""
    print(__version__)
    return 0


def migrate(arguments: argparse.Namespace) -> int:
    """Write the counterpart of a pool's configuration where each client has a router of its own."""
    from rowanshift.migrate import Wanted, migrate

    wanted = Wanted(arguments.listen, arguments.routers, arguments.ordinal, tuple(arguments.zone))
    return migrate(arguments.old, arguments.output, wanted, arguments.dry_run)


def demo(arguments: argparse.Namespace) -> int:
    """Run a router between stand-ins on loopback and show some reads."""
    from rowanshift.standins.demo import demo

    return demo(arguments.config, arguments.stay, arguments.router)


def simulate(arguments: argparse.Namespace) -> int:
    """Play fleets with their troubles on a virtual clock and check the rules after every step."""
    from rowanshift.virtual.command import UsageError, simulate

    try:
        return simulate(arguments.file, arguments.seeds, arguments.seed, arguments.size, arguments.workers,
                        arguments.events, arguments.shrink, arguments.json)
    except UsageError as error:
        arguments.parser.error(str(error))


def counter(arguments: argparse.Namespace) -> int | None:
    """Run the data plane: the role of the edge machines."""
    return run_role("counter", arguments)


def ledger(arguments: argparse.Namespace) -> int | None:
    """Run the control state and its takeovers: the role of the core machines."""
    return run_role("ledger", arguments)


def run_role(name: str, arguments: argparse.Namespace) -> int | None:
    from rowanshift.boot import BootError, load_boot

    try:
        boot = load_boot(arguments.boot)
        return import_module(f"rowanshift.{name}.service").run(boot, arguments.level)
    except BootError as error:
        fail(error, UNUSABLE)


def add_file(parser: argparse.ArgumentParser, *flags: str, variable: str, what: str) -> None:
    """A file that an option names, or else the environment."""
    parser.add_argument(*flags, type=Path, metavar="FILE", default=os.environ.get(variable) or None,
                        help=f"{what} [environment: {variable}]")


def add_level(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--level", type=str.upper, default="INFO",
                        help="what to log; %(default)s if not given")


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="rowanshift", description="Spreads keys over cache servers before a slow origin.",
        allow_abbrev=False)
    commands = top.add_subparsers(title="commands", metavar="COMMAND")

    def add(command) -> argparse.ArgumentParser:
        under = commands.add_parser(command.__name__, help=command.__doc__, description=command.__doc__,
                                    allow_abbrev=False)
        under.set_defaults(run=command, parser=under)
        return under

    for command in (counter, ledger):
        under = add(command)
        add_file(under, "--boot", variable="ROWANSHIFT_BOOT", what="the process's settings, as JSON")
        add_level(under)
    for command in (serve, check):
        under = add(command)
        add_file(under, "--config", "-c", variable="BALANCER_CONFIG", what="the configuration, as JSON")
        if command is serve:
            add_level(under)
    add(version)

    under = add(migrate)
    under.add_argument("old", type=Path, help="the configuration of the old shape, as JSON")
    under.add_argument("--output", "-o", type=Path, metavar="FILE", required=True,
                       help="where its counterpart goes")
    under.add_argument("--dry-run", action="store_true", help="change nothing; say what would be")
    under.add_argument("--listen", metavar="ADDRESS", help="where the client's own router listens")
    under.add_argument("--routers", type=whole_number(1), metavar="N", help="how many routers there will be")
    under.add_argument("--ordinal", type=whole_number(0), metavar="N", help="this router's number among them")
    under.add_argument("--zone", action="append", default=[], help="a location of the new shape; repeat it")

    under = add(demo)
    under.add_argument("--config", "-c", type=Path, metavar="FILE", default="examples/config.json",
                       help="the router's configuration; %(default)s if not given")
    under.add_argument("--stay", action=argparse.BooleanOptionalAction, default=True,
                       help="go on until Ctrl-C")
    under.add_argument("--router", action=argparse.BooleanOptionalAction, default=True,
                       help="run a router too, not the stand-ins alone")

    under = add(simulate)
    under.add_argument("file", type=Path, nargs="?", help="a scenario as TOML")
    under.add_argument("--seeds", default="", help="N, or FIRST:LAST without the last")
    under.add_argument("--seed", type=whole_number(0), metavar="N",
                       help="one seed, with its troubles and figures")
    under.add_argument("--size", default="small", help="small or grown; %(default)s if not given")
    under.add_argument("--workers", type=whole_number(1, 256), metavar="N", default=1, help="processes")
    under.add_argument("--events", type=Path, metavar="FILE", help="write all facts there, as JSON lines")
    under.add_argument("--shrink", type=Path, metavar="FILE",
                       help="cut what fails down, and write it there")
    under.add_argument("--json", action="store_true", help="results as JSON")
    return top


def main(argv: list[str] | None = None) -> NoReturn:
    top = parser()
    arguments = top.parse_args(argv)
    if "run" not in arguments:  # no command
        top.print_help(sys.stderr)
        raise SystemExit(UNUSABLE)
    try:
        status = arguments.run(arguments)
        sys.stdout.flush()
    except KeyboardInterrupt:
        raise SystemExit(INTERRUPTED) from None
    except OSError as error:
        if error.errno != errno.EPIPE:
            raise
        # who read has gone; what is still held must not fail when the interpreter ends
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(1) from None
    raise SystemExit(status)
