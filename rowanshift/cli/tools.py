"""Commands that work without a running system: checks, migration, demos, simulations and measurements."""

import argparse
from importlib.util import find_spec
from pathlib import Path

from rowanshift import __version__
from rowanshift.cli.admin_commands import settings_check
from rowanshift.cli.exits import EXIT_UNUSABLE_INPUT, fail, usage_error
from rowanshift.cli.services import load_cache_proxy_config

EXAMPLE_CONFIGURATION = Path("examples/config.json")


def check(arguments: argparse.Namespace) -> int:
    """Check and describe a cache proxy's configuration, or the settings of a process of the whole system."""
    if arguments.boot is not None:
        return settings_check(arguments)
    config = load_cache_proxy_config(arguments)
    control_text = f"; calls on {config.control[0]}:{config.control[1]}" if config.control else ""
    print(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}; {len(config.names.categories)} categories, "
        f"{len(config.names.tenants)} tenants, {len(config.known.get('instances', ()))} servers known, "
        f"{config.settings.routers} routers{control_text}"
    )
    return 0


def version(arguments: argparse.Namespace) -> int:
    """Print the version."""
    print(__version__)
    return 0


def migrate(arguments: argparse.Namespace) -> int:
    """Convert the configuration of a router pool to one with a router per client."""
    from rowanshift.cacheproxy.migrate import Wanted, migrate

    wanted = Wanted(arguments.listen, arguments.routers, arguments.ordinal, tuple(arguments.zone))
    return migrate(arguments.old, arguments.output, wanted, arguments.dry_run)


def demo(arguments: argparse.Namespace) -> int:
    """Run a small system, or the cache proxy, between emulated servers and clients on loopback and show requests."""
    if arguments.router is None and arguments.config is None:
        from rowanshift.emulation import cluster

        return cluster.demo(arguments.stay)
    from rowanshift.emulation.demo import demo

    return demo(arguments.config or EXAMPLE_CONFIGURATION, arguments.stay, arguments.router is not False)


def capacity(arguments: argparse.Namespace) -> int:
    """Measure the cost of each role on loopback in increasing steps, and what that means at the stated size."""
    from rowanshift.capacity.command import capacity

    return capacity(arguments)


def fuzz(arguments: argparse.Namespace) -> int:
    """Send malformed messages to a small running system, and judge whether it goes on serving."""
    if find_spec("hypothesis") is None:
        fail("fuzz needs the package hypothesis (requirements-dev.txt)", EXIT_UNUSABLE_INPUT)
    from rowanshift.fuzz import command
    from rowanshift.simulation.command import UsageError, parse_seeds

    if arguments.short:
        return command.fuzz(command.SHORT_SEEDS, command.SHORT_EXAMPLES)
    try:
        return command.fuzz(parse_seeds(arguments.seeds), command.EXAMPLES)
    except UsageError as error:
        fail(error, EXIT_UNUSABLE_INPUT)


def soak(arguments: argparse.Namespace) -> int:
    """Run real processes of the whole system on loopback under random faults, and check the recorded events."""
    from rowanshift.soak import command
    from rowanshift.soak.plan import InvalidPlan

    try:
        return command.soak(command.plans(arguments), arguments.net or command.own_net(), arguments.found)
    except InvalidPlan as error:
        fail(error, EXIT_UNUSABLE_INPUT)


def simulate(arguments: argparse.Namespace) -> int:
    """Simulate fleets with faults on a virtual clock and check the rules after every step."""
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
            arguments.applications,
        )
    except UsageError as error:
        usage_error(arguments, str(error))
