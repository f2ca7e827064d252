"""Commands that query a running system or read its files, by calling ``rowanshift.admin`` and printing its output."""

import argparse
from collections.abc import Callable
from typing import TYPE_CHECKING, NoReturn

from rowanshift.cli.exits import EXIT_FAILED, fail, usage_error

if TYPE_CHECKING:
    from rowanshift.admin.output import CommandOutput


def print_output(command: Callable[..., "CommandOutput"], *parameters: object) -> int:
    """Run a command, print its lines and return its exit status; exits with the status of an ``AdminError``."""
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
        usage_error(arguments, "--at IP:PORT is missing, and ROWANSHIFT_CONTROL is not set")
    addresses: str = arguments.at
    return addresses


def status(arguments: argparse.Namespace) -> int:
    """Show the status of each core machine of a running system."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.status import status

    return print_output(status, addresses, arguments.json)


def members(arguments: argparse.Namespace) -> int:
    """List the routers of a running system that hold a lease."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.members import members

    return print_output(members, addresses)


def coordination(arguments: argparse.Namespace) -> int:
    """Show the replicas of the applications' locks, numbers and keys, and how many there are."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.coordination_status import coordination_status

    return print_output(coordination_status, addresses)


def duties(arguments: argparse.Namespace) -> int:
    """Show which machine reads the platform's list and orders loads, and which servers lack an announced version."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.singleton_tasks import singleton_tasks

    return print_output(singleton_tasks, addresses)


def config(arguments: argparse.Namespace) -> NoReturn:
    """Read, replace, patch, compare or check the configuration of a whole system."""
    usage_error(arguments, "a subcommand is missing: get, put, patch, diff or check expected")


def config_get(arguments: argparse.Namespace) -> int:
    """Print the configuration in force, including its API keys."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_get import get_configuration

    return print_output(get_configuration, addresses, arguments.output)


def config_put(arguments: argparse.Namespace) -> int:
    """Replace the configuration in force."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_change import put_configuration

    return print_output(put_configuration, addresses, arguments.file, arguments.if_match)


def config_patch(arguments: argparse.Namespace) -> int:
    """Add, replace or remove items of the configuration by name, with a patch of revision, upsert and remove."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_change import patch_configuration

    return print_output(patch_configuration, addresses, arguments.file, arguments.if_match)


def config_diff(arguments: argparse.Namespace) -> int:
    """Show how a configuration differs from the one in force."""
    addresses = control_addresses(arguments)
    from rowanshift.admin.configuration_diff import diff_configuration

    return print_output(diff_configuration, addresses, arguments.file, arguments.patch)


def config_check(arguments: argparse.Namespace) -> int:
    """Check a configuration as the control plane does, without a running system."""
    from rowanshift.admin.configuration_check import check_configuration

    return print_output(check_configuration, arguments.file)


def data_folder_check(arguments: argparse.Namespace) -> int:
    """Describe the contents of a core machine's data directory without changing it."""
    from rowanshift.admin.data_folder_check import check_data_folder

    return print_output(check_data_folder, arguments.folder)


def settings_check(arguments: argparse.Namespace) -> int:
    """Check the settings of a process and describe them."""
    from rowanshift.admin.settings_check import check_settings

    return print_output(check_settings, arguments.boot)
