"""The commands that ask a running system or read its files: they call ``rowanshift.admin`` and print its output."""

import argparse
from collections.abc import Callable
from typing import TYPE_CHECKING, NoReturn

from rowanshift.cli.exits import EXIT_FAILED, fail, usage_error

if TYPE_CHECKING:
    from rowanshift.admin.output import CommandOutput


def print_output(command: Callable[..., "CommandOutput"], *parameters: object) -> int:
    """Run a command and print its lines. Returns its exit status, and exits with that of an ``AdminError``."""
    from rowanshift.admin.errors import AdminError

    try:
        output = command(*parameters)
    except AdminError as error:
        fail(error, error.exit_status)
    print(*output.lines, sep="\n")
    return 0 if output.succeeded else EXIT_FAILED


def control_addresses(arguments: argparse.Namespace) -> str:
    """The value of ``--at``. Exits with status 2 if it is missing."""
    if arguments.at is None:
        usage_error(arguments, "--at IP:PORT is missing, and ROWANSHIFT_CONTROL names none")
    addresses: str = arguments.at
    return addresses


def status(arguments: argparse.Namespace) -> int:
    """Ask each core machine of a running system how it stands."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.status import status

    return print_output(status, addresses, arguments.json)


def members(arguments: argparse.Namespace) -> int:
    """List the routers of a running system that hold a lease."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.members import members

    return print_output(members, addresses)


def coordination(arguments: argparse.Namespace) -> int:
    """Say who is primary of the locks, numbers and keys of applications, and how many there are."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.coordination_status import coordination_status

    return print_output(coordination_status, addresses)


def duties(arguments: argparse.Namespace) -> int:
    """Say who reads the platform's list and who orders, and which servers are behind a named version."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.singleton_tasks import singleton_tasks

    return print_output(singleton_tasks, addresses)


def config(arguments: argparse.Namespace) -> NoReturn:
    """Get, put, compare or check the configuration of a whole system."""
    usage_error(arguments, "one of get, put, diff, check is missing")


def config_get(arguments: argparse.Namespace) -> int:
    """Print the configuration in force; it holds API keys."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_get import get_configuration

    return print_output(get_configuration, addresses, arguments.output)


def config_put(arguments: argparse.Namespace) -> int:
    """Put a configuration in force."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_change import put_configuration

    return print_output(put_configuration, addresses, arguments.file, arguments.if_match)


def config_patch(arguments: argparse.Namespace) -> int:
    """Add, replace or remove items of the configuration by their names: revision, upsert and remove, as JSON."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_change import patch_configuration

    return print_output(patch_configuration, addresses, arguments.file, arguments.if_match)


def config_diff(arguments: argparse.Namespace) -> int:
    """Say how a configuration differs from the one in force."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_diff import diff_configuration

    return print_output(diff_configuration, addresses, arguments.file, arguments.patch)


def config_check(arguments: argparse.Namespace) -> int:
    """Check a configuration as the control plane would, without one."""
    from rowanshift.admin.configuration_check import check_configuration

    return print_output(check_configuration, arguments.file)


def data_folder_check(arguments: argparse.Namespace) -> int:
    """Say what a core machine's disk holds; change nothing."""
    from rowanshift.admin.data_folder_check import check_data_folder

    return print_output(check_data_folder, arguments.folder)


def settings_check(arguments: argparse.Namespace) -> int:
    """Read the settings of a process, and say what is in them."""
    from rowanshift.admin.settings_check import check_settings

    return print_output(check_settings, arguments.boot)
