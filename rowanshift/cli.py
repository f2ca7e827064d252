"""The command line. What a command needs is imported when it is run, so that each starts with the least."""

import argparse
import errno
import os
import signal
import sys
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

from rowanshift import __version__

if TYPE_CHECKING:
    from rowanshift.admin.commands import Shown
    from rowanshift.cacheproxy.config import Config

Command = Callable[[argparse.Namespace], int | None]
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
            raise argparse.ArgumentTypeError(
                f"{value} is not {least} or more" if most is None else f"{value} is not within {least} and {most}"
            )
        return value

    parse.__name__ = "whole number"
    return parse


def loaded(arguments: argparse.Namespace) -> "Config":
    from rowanshift.cacheproxy.config import ConfigError, load

    if arguments.config is None:
        arguments.parser.error("--config FILE is missing, and BALANCER_CONFIG names none")
    try:
        return load(arguments.config)
    except ConfigError as error:
        fail(error, UNUSABLE)


def end_well(number: int, frame: object) -> NoReturn:
    """End at once, as nothing has been taken yet, or nothing is left: no handler of an import may swallow it."""
    os._exit(0)


def heed_signals_early() -> None:
    """Until a service heeds them itself, and once it has ended: SIGTERM ends the process well, SIGHUP does nothing."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, end_well)


def ignore_signals_at_the_end() -> None:
    """The service has ended. As it ends itself, the interpreter takes back every handler but this one, and a further
    SIGTERM would end the process with -15."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def serve(arguments: argparse.Namespace) -> int:
    """Run a router until SIGTERM; SIGHUP has it read its configuration again."""
    heed_signals_early()

    import trio
    from loguru import logger

    from rowanshift.cacheproxy.service import Service
    from rowanshift.process.error_groups import first_of
    from rowanshift.process.log_rate_limit import LogRateLimit

    config = loaded(arguments)
    logger.remove()
    try:
        logger.add(
            sys.stderr,
            level=arguments.level,
            format="{time:HH:mm:ss.SSS} {level: <7} {message}",
            backtrace=False,
            diagnose=False,
            filter=LogRateLimit(),
        )
    except ValueError as error:  # no such level
        fail(error, UNUSABLE)
    ended: list[BaseException] = []  # SystemExit within except* is shown as a group by Python 3.11.2
    try:
        trio.run(Service(config, arguments.config).run)
    except* OSError as group:
        ended.append(first_of(group))
    ignore_signals_at_the_end()
    if ended:
        fail(ended[0], 1)
    return 0


def check(arguments: argparse.Namespace) -> int:
    """Read a configuration, or the settings of a process of the whole system, and say what is in it."""
    if arguments.boot is not None:
        from rowanshift.admin import commands as staff

        return show(staff.boot_check, arguments.boot)
    c = loaded(arguments)
    print(
        f"{c.name}: listens on {c.listen[0]}:{c.listen[1]}; {len(c.names.categories)} categories, "
        f"{len(c.names.tenants)} tenants, {len(c.known.get('instances', ()))} servers known, "
        f"{c.settings.routers} routers" + (f"; calls on {c.control[0]}:{c.control[1]}" if c.control else "")
    )
    return 0


def version(arguments: argparse.Namespace) -> int:
    """Print the version."""
    print(__version__)
    return 0


def migrate(arguments: argparse.Namespace) -> int:
    """Write the counterpart of a pool's configuration where each client has a router of its own."""
    from rowanshift.cacheproxy.migrate import Wanted, migrate

    wanted = Wanted(arguments.listen, arguments.routers, arguments.ordinal, tuple(arguments.zone))
    return migrate(arguments.old, arguments.output, wanted, arguments.dry_run)


def demo(arguments: argparse.Namespace) -> int:
    """Run a small whole system, or a router for caches, between stand-ins on loopback and show requests."""
    if arguments.router is None and arguments.config is None:
        from rowanshift.emulation.cluster import demo

        return demo(arguments.stay)
    from rowanshift.emulation.demo import demo

    file = arguments.config or Path("examples/config.json")
    return demo(file, arguments.stay, arguments.router is not False)


def simulate(arguments: argparse.Namespace) -> int:
    """Play fleets with their troubles on a virtual clock and check the rules after every step."""
    from rowanshift.simulation.command import UsageError, simulate

    try:
        return simulate(
            arguments.file,
            arguments.seeds,
            arguments.seed,
            arguments.size,
            arguments.workers,
            arguments.events,
            arguments.shrink,
            arguments.json,
            arguments.core,
        )
    except UsageError as error:
        arguments.parser.error(str(error))


def dataplane(arguments: argparse.Namespace) -> int | None:
    """Run a router of the data plane: the role of the edge machines."""
    return run_role("dataplane", arguments)


def controlplane(arguments: argparse.Namespace) -> int | None:
    """Run a replica of the control plane: the role of the core machines."""
    return run_role("controlplane", arguments)


FORMER_ROLES = {"counter": dataplane, "ledger": controlplane}  # their names until 0.2: aliases for one release


def show(command: Callable[..., "Shown"], *given: object) -> int:
    """Runs a command for staff and prints what it has to say; its exit status."""
    from rowanshift.admin.commands import StaffError

    try:
        shown = command(*given)
    except StaffError as error:
        fail(error, error.status)
    print(*shown.lines, sep="\n")
    return 0 if shown.well else 1


def asking(command: str, *names: str) -> Callable[[argparse.Namespace], int]:
    """What runs a command that asks a running system, with these arguments after the address."""

    def run(arguments: argparse.Namespace) -> int:
        from rowanshift.admin import commands as staff

        if arguments.at is None:
            arguments.parser.error("--at IP:PORT is missing, and ROWANSHIFT_CONTROL names none")
        return show(getattr(staff, command), arguments.at, *(getattr(arguments, name) for name in names))

    return run


def status(arguments: argparse.Namespace) -> int:
    """Ask each core machine of a running system how it stands."""
    return asking("status", "json")(arguments)


def members(arguments: argparse.Namespace) -> int:
    """List the routers of a running system that hold a lease."""
    return asking("members")(arguments)


def duties(arguments: argparse.Namespace) -> int:
    """Say who reads the platform's list and who orders, and which servers are behind a named version."""
    return asking("duties")(arguments)


def config(arguments: argparse.Namespace) -> int:
    """Get, put, compare or check the configuration of a whole system."""
    arguments.parser.error("one of get, put, diff, check is missing")


def config_check(arguments: argparse.Namespace) -> int:
    """Check a configuration as the control plane would, without one."""
    from rowanshift.admin import commands as staff

    return show(staff.config_check, arguments.file)


def store_check(arguments: argparse.Namespace) -> int:
    """Say what a core machine's disk holds; change nothing."""
    from rowanshift.admin import commands as staff

    return show(staff.store_check, arguments.folder)


def capacity(arguments: argparse.Namespace) -> int:
    """Measure what each role costs in growing steps on loopback, and what that reaches at the stated size."""
    from rowanshift.capacity.command import capacity

    return capacity(arguments)


def soak(arguments: argparse.Namespace) -> int:
    """Play real processes of the whole system on loopback under drawn troubles, and check what was recorded."""
    from rowanshift.soak import command
    from rowanshift.soak.plan import BadPlan

    try:
        return command.soak(command.plans(arguments), arguments.net or command.own_net(), arguments.found)
    except BadPlan as error:
        fail(error, UNUSABLE)


def run_role(name: str, arguments: argparse.Namespace) -> int | None:
    """Run a role's service until SIGTERM. Signals are heeded before the settings are read and all else is imported."""
    heed_signals_early()

    from rowanshift.process.node_settings import NodeSettingsError, load_node_settings

    try:
        boot = load_node_settings(arguments.boot)
        service = import_module(f"rowanshift.{name}.service")
        return service.run(boot, arguments.level, arguments.role if arguments.role != name else "")
    except NodeSettingsError as error:
        fail(error, UNUSABLE)
    finally:
        ignore_signals_at_the_end()


def add_file(parser: argparse.ArgumentParser, *flags: str, variable: str, what: str) -> None:
    """A file that an option names, or else the environment."""
    parser.add_argument(
        *flags,
        type=Path,
        metavar="FILE",
        default=os.environ.get(variable) or None,
        help=f"{what} [environment: {variable}]",
    )


def add_level(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--level", type=str.upper, default="INFO", help="what to log; %(default)s if not given")


def add_at(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--at",
        metavar="IP:PORT",
        default=os.environ.get("ROWANSHIFT_CONTROL") or None,
        help="the control address of a core machine, or several with commas between [environment: ROWANSHIFT_CONTROL]",
    )


def add_config(parser: argparse.ArgumentParser) -> None:
    """The commands under ``config``."""
    under = parser.add_subparsers(title="commands", metavar="COMMAND")

    def add(name: str, run: Callable[[argparse.Namespace], int], what: str) -> argparse.ArgumentParser:
        made = under.add_parser(name, help=what, description=what, allow_abbrev=False)
        made.set_defaults(run=run, parser=made)
        if run is not config_check:
            add_at(made)
        if name != "get":
            made.add_argument("file", type=Path, metavar="FILE", help="a configuration, as JSON")
        return made

    get = add("get", asking("config_get", "output"), "Print the configuration in force; it holds API keys.")
    get.add_argument("--output", "-o", type=Path, metavar="FILE", help="where it goes instead")
    put = add("put", asking("config_put", "file", "if_match"), "Put a configuration in force.")
    what = "Add, replace or remove items of the configuration by their names: revision, upsert and remove, as JSON."
    patch = add("patch", asking("config_patch", "file", "if_match"), what)
    for change in (put, patch):
        change.add_argument(
            "--if-match",
            type=whole_number(0),
            metavar="N",
            help="the revision that it builds on; the current one if not given",
        )
    diff = add("diff", asking("config_diff", "file", "patch"), "Say how a configuration differs from the one in force.")
    diff.add_argument("--patch", action="store_true", help="FILE is a patch: say what it would change")
    add("check", config_check, config_check.__doc__)


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="rowanshift", description="Spreads keys over cache servers before a slow origin.", allow_abbrev=False
    )
    commands = top.add_subparsers(title="commands", metavar="COMMAND")

    def add(command: Command, name: str = "") -> argparse.ArgumentParser:
        under = commands.add_parser(
            name or command.__name__, help=command.__doc__, description=command.__doc__, allow_abbrev=False
        )
        under.set_defaults(run=command, parser=under)
        return under

    roles = {dataplane.__name__: dataplane, controlplane.__name__: controlplane}
    for name, command in (roles | FORMER_ROLES).items():
        under = add(command, name)
        under.set_defaults(role=name)
        add_file(under, "--boot", variable="ROWANSHIFT_BOOT", what="the process's settings, as JSON")
        add_level(under)
        if command is controlplane:
            more = under.add_subparsers(title="commands", metavar="[COMMAND]")
            tool = more.add_parser(
                "check", help=store_check.__doc__, description=store_check.__doc__, allow_abbrev=False
            )
            tool.add_argument("folder", type=Path, metavar="DIR", help="its data directory")
            tool.set_defaults(run=store_check, parser=tool)
    for command in (status, members, duties):
        under = add(command)
        add_at(under)
        if command is status:
            under.add_argument("--json", action="store_true", help="all that they say, as JSON")
    add_config(add(config))
    for command in (serve, check):
        under = add(command)
        add_file(under, "--config", "-c", variable="BALANCER_CONFIG", what="the configuration, as JSON")
        if command is serve:
            add_level(under)
        else:
            under.add_argument(
                "--boot",
                type=Path,
                metavar="FILE",
                help="the settings of a process of the whole system instead, as JSON",
            )
    add(version)

    under = add(migrate)
    under.add_argument("old", type=Path, help="the configuration of the old shape, as JSON")
    under.add_argument("--output", "-o", type=Path, metavar="FILE", required=True, help="where its counterpart goes")
    under.add_argument("--dry-run", action="store_true", help="change nothing; say what would be")
    under.add_argument("--listen", metavar="ADDRESS", help="where the client's own router listens")
    under.add_argument("--routers", type=whole_number(1), metavar="N", help="how many routers there will be")
    under.add_argument("--ordinal", type=whole_number(0), metavar="N", help="this router's number among them")
    under.add_argument("--zone", action="append", default=[], help="a location of the new shape; repeat it")

    under = add(demo)
    under.add_argument(
        "--config",
        "-c",
        type=Path,
        metavar="FILE",
        help="the configuration for --router; examples/config.json if not given",
    )
    under.add_argument("--stay", action=argparse.BooleanOptionalAction, default=True, help="go on until Ctrl-C")
    under.add_argument(
        "--router",
        action=argparse.BooleanOptionalAction,
        help="a router for caches between its stand-ins; with --no-router the stand-ins alone",
    )

    from rowanshift.capacity.options import add_options

    add_options(add(capacity))

    from rowanshift.soak import options

    options.add_options(add(soak))

    under = add(simulate)
    under.add_argument("file", type=Path, nargs="?", help="a scenario as TOML")
    under.add_argument("--seeds", default="", help="N, or FIRST:LAST without the last")
    under.add_argument("--seed", type=whole_number(0), metavar="N", help="one seed, with its troubles and figures")
    under.add_argument("--core", action="store_true", help="seeds are of the control side's worst days")
    under.add_argument("--size", default="small", help="small or grown; %(default)s if not given")
    under.add_argument("--workers", type=whole_number(1, 256), metavar="N", default=1, help="processes")
    under.add_argument("--events", type=Path, metavar="FILE", help="write all facts there, as JSON lines")
    under.add_argument("--shrink", type=Path, metavar="FILE", help="cut what fails down, and write it there")
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
