"""The argument parser, with the options of every command. The docstring of a command's function is its help text."""

import argparse
import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from rowanshift.cli import admin_commands, services, tools

if TYPE_CHECKING:
    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]

Command = Callable[[argparse.Namespace], int | None]

ROLES: dict[str, Command] = {"dataplane": services.dataplane, "controlplane": services.controlplane}
FORMER_ROLES: dict[str, Command] = {  # aliases with the role names before 0.2, kept for one release
    "counter": services.dataplane,
    "ledger": services.controlplane,
}
MAX_APPLICATIONS = 20
MAX_SIMULATION_WORKERS = 256


def integer_within(minimum: int, maximum: int | None = None) -> Callable[[str], int]:
    """An argparse type for an integer from ``minimum`` to ``maximum``, or without an upper bound."""

    def parse(text: str) -> int:
        value = int(text)
        if maximum is None and value < minimum:
            raise argparse.ArgumentTypeError(f"{minimum} or more expected, not {value}")
        if maximum is not None and not minimum <= value <= maximum:
            raise argparse.ArgumentTypeError(f"{minimum} to {maximum} expected, not {value}")
        return value

    parse.__name__ = "whole number"  # argparse names the type in its errors
    return parse


def build_parser() -> argparse.ArgumentParser:
    """The parser of all commands.

    It sets ``run`` to the function of the command and ``parser`` to the command's own parser.
    """
    parser = argparse.ArgumentParser(
        prog="rowanshift",
        description="HTTP routers for model servers and caches, with a replicated control plane.",
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(title="commands", metavar="COMMAND")
    add_roles(commands)
    add_system_queries(commands)
    add_configuration_commands(commands)
    add_cache_proxy_commands(commands)
    add_command(commands, "version", tools.version)
    add_migrate(commands)
    add_demo(commands)
    add_measurements(commands)
    add_simulate(commands)
    return parser


def add_command(commands: "Subparsers", name: str, command: Command) -> argparse.ArgumentParser:
    """Add a command and return its parser."""
    parser = commands.add_parser(name, help=command.__doc__, description=command.__doc__, allow_abbrev=False)
    parser.set_defaults(run=command, parser=parser)
    return parser


def add_roles(commands: "Subparsers") -> None:
    """Add the roles; ``controlplane`` has a subcommand that checks its data directory."""
    for name, command in (ROLES | FORMER_ROLES).items():
        parser = add_command(commands, name, command)
        parser.set_defaults(role=name)
        add_file_option(
            parser, "--boot", variable="ROWANSHIFT_BOOT", description="the settings of the process, as JSON"
        )
        add_level_option(parser)
        if command is services.controlplane:
            subcommands = parser.add_subparsers(title="commands", metavar="[COMMAND]")
            check = add_command(subcommands, "check", admin_commands.data_folder_check)
            check.add_argument("folder", type=Path, metavar="DIR", help="the data directory")


def add_system_queries(commands: "Subparsers") -> None:
    """Add the commands that show the state of a running system."""
    status = add_command(commands, "status", admin_commands.status)
    add_control_addresses_option(status)
    status.add_argument("--json", action="store_true", help="print the complete status documents as JSON")
    add_control_addresses_option(add_command(commands, "members", admin_commands.members))
    add_control_addresses_option(add_command(commands, "duties", admin_commands.duties))
    add_control_addresses_option(add_command(commands, "coordination", admin_commands.coordination))


def add_configuration_commands(commands: "Subparsers") -> None:
    """Add ``config`` and its subcommands."""
    subcommands = add_command(commands, "config", admin_commands.config).add_subparsers(
        title="commands", metavar="COMMAND"
    )
    get = add_command(subcommands, "get", admin_commands.config_get)
    add_control_addresses_option(get)
    get.add_argument("--output", "-o", type=Path, metavar="FILE", help="write the configuration to this file")
    for name, change in (("put", admin_commands.config_put), ("patch", admin_commands.config_patch)):
        parser = add_command(subcommands, name, change)
        add_control_addresses_option(parser)
        add_configuration_argument(parser)
        parser.add_argument(
            "--if-match",
            type=integer_within(0),
            metavar="N",
            help="the revision that the change is based on; the current one if not given",
        )
    diff = add_command(subcommands, "diff", admin_commands.config_diff)
    add_control_addresses_option(diff)
    add_configuration_argument(diff)
    diff.add_argument("--patch", action="store_true", help="FILE is a patch: show what it would change")
    add_configuration_argument(add_command(subcommands, "check", admin_commands.config_check))


def add_cache_proxy_commands(commands: "Subparsers") -> None:
    """Add the cache proxy and the check of its configuration."""
    serve = add_command(commands, "serve", services.serve)
    check = add_command(commands, "check", tools.check)
    for parser in (serve, check):
        add_file_option(parser, "--config", "-c", variable="BALANCER_CONFIG", description="the configuration, as JSON")
    add_level_option(serve)
    check.add_argument(
        "--boot", type=Path, metavar="FILE", help="check the settings of a process of the whole system instead, as JSON"
    )


def add_migrate(commands: "Subparsers") -> None:
    """Add the conversion of configurations of the old format."""
    parser = add_command(commands, "migrate", tools.migrate)
    parser.add_argument("old", type=Path, help="the configuration of the old format, as JSON")
    parser.add_argument(
        "--output", "-o", type=Path, metavar="FILE", required=True, help="where to write the converted configuration"
    )
    parser.add_argument("--dry-run", action="store_true", help="write nothing; show what would be written")
    parser.add_argument("--listen", metavar="ADDRESS", help="the listen address of the client's own router")
    parser.add_argument(
        "--routers", type=integer_within(1), metavar="N", help="the number of routers after the migration"
    )
    parser.add_argument("--ordinal", type=integer_within(0), metavar="N", help="the number of this router, from 0")
    parser.add_argument("--zone", action="append", default=[], help="a zone of the new configuration; may be repeated")


def add_demo(commands: "Subparsers") -> None:
    """Add the demos."""
    parser = add_command(commands, "demo", tools.demo)
    parser.add_argument(
        "--config",
        "-c",
        type=Path,
        metavar="FILE",
        help="the configuration for --router; examples/config.json if not given",
    )
    parser.add_argument("--stay", action=argparse.BooleanOptionalAction, default=True, help="keep running until Ctrl-C")
    parser.add_argument(
        "--router",
        action=argparse.BooleanOptionalAction,
        help="run the cache proxy between emulated servers and clients; with --no-router, the emulation alone",
    )


def add_measurements(commands: "Subparsers") -> None:
    """Add the commands that run real processes: capacity measurements and fault-injection tests."""
    from rowanshift.capacity import options as capacity_options
    from rowanshift.soak import options as soak_options

    capacity_options.add_options(add_command(commands, "capacity", tools.capacity))
    soak_options.add_options(add_command(commands, "soak", tools.soak))
    fuzz = add_command(commands, "fuzz", tools.fuzz)
    fuzz.add_argument("--seeds", default="10", help="N seeds, or FIRST:LAST with LAST excluded")
    fuzz.add_argument("--short", action="store_true", help="a few fixed seeds, in about a minute")


def add_simulate(commands: "Subparsers") -> None:
    """Add the simulation of fleets on a virtual clock."""
    parser = add_command(commands, "simulate", tools.simulate)
    parser.add_argument("file", type=Path, nargs="?", help="a scenario, as TOML")
    parser.add_argument("--seeds", default="", help="N seeds, or FIRST:LAST with LAST excluded")
    parser.add_argument(
        "--seed", type=integer_within(0), metavar="N", help="run one seed and show its faults and figures"
    )
    parser.add_argument("--core", action="store_true", help="run the seeds as fault scenarios of the control plane")
    parser.add_argument(
        "--applications",
        type=integer_within(0, MAX_APPLICATIONS),
        metavar="N",
        default=0,
        help="with --core: the number of clients each for locks, for numbers and for keys",
    )
    parser.add_argument(
        "--size", default="small", help="the size of the fleet, small or grown; %(default)s if not given"
    )
    parser.add_argument(
        "--workers",
        type=integer_within(1, MAX_SIMULATION_WORKERS),
        metavar="N",
        default=1,
        help="the number of processes",
    )
    parser.add_argument(
        "--events", type=Path, metavar="FILE", help="write all recorded events to this file, as JSON lines"
    )
    parser.add_argument(
        "--shrink", type=Path, metavar="FILE", help="reduce a failing scenario and write it to this file"
    )
    parser.add_argument("--json", action="store_true", help="print the results as JSON")


def add_file_option(parser: argparse.ArgumentParser, *flags: str, variable: str, description: str) -> None:
    """Add an option for a file, whose default is taken from an environment variable."""
    parser.add_argument(
        *flags,
        type=Path,
        metavar="FILE",
        default=os.environ.get(variable) or None,
        help=f"{description} [environment: {variable}]",
    )


def add_level_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the minimum log level."""
    parser.add_argument(
        "--level", type=str.upper, default="INFO", help="the minimum log level; %(default)s if not given"
    )


def add_control_addresses_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the control addresses of a running system."""
    parser.add_argument(
        "--at",
        metavar="IP:PORT",
        default=os.environ.get("ROWANSHIFT_CONTROL") or None,
        help="the control address of a core machine, or several separated by commas [environment: ROWANSHIFT_CONTROL]",
    )


def add_configuration_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for a file with a configuration or a patch."""
    parser.add_argument("file", type=Path, metavar="FILE", help="a configuration, as JSON")
