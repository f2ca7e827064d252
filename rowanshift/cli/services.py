"""The commands that run a service until SIGTERM: the roles of a running system, and the cache proxy."""

import argparse
import os
import signal
import sys
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

from rowanshift.cli.exits import EXIT_FAILED, EXIT_UNUSABLE_INPUT, fail, usage_error

if TYPE_CHECKING:
    from rowanshift.cacheproxy.config import Config


def exit_at_once(number: int, frame: object) -> NoReturn:
    """Signal handler that ends the process with status 0, whatever module is being imported."""
    os._exit(0)


def handle_signals_early() -> None:
    """Exit with status 0 on SIGTERM and ignore SIGHUP until the service installs its own handlers."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, exit_at_once)


def ignore_sigterm_at_exit() -> None:
    """Ignore SIGTERM once the service has ended.

    At exit the interpreter resets all signal handlers except for ignored signals, so that a further SIGTERM would
    otherwise end the process with status -15.
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def dataplane(arguments: argparse.Namespace) -> int | None:
    """Run a router of the data plane, the role of edge machines."""
    return run_role("dataplane", arguments)


def controlplane(arguments: argparse.Namespace) -> int | None:
    """Run a replica of the control plane, the role of core machines."""
    return run_role("controlplane", arguments)


def run_role(name: str, arguments: argparse.Namespace) -> int | None:
    """Run the service of the package ``name`` and return its exit status.

    Signal handlers are installed before the settings are read and other modules are imported.
    """
    handle_signals_early()

    from rowanshift.process.node_settings import NodeSettingsError, load_node_settings

    try:
        settings = load_node_settings(arguments.boot)
        service = import_module(f"rowanshift.{name}.service")
        former_name = arguments.role if arguments.role != name else ""
        status: int | None = service.run(settings, arguments.level, former_name)
        return status
    except NodeSettingsError as error:
        fail(error, EXIT_UNUSABLE_INPUT)
    finally:
        ignore_sigterm_at_exit()


def load_cache_proxy_config(arguments: argparse.Namespace) -> "Config":
    """Load the file given by ``--config``. Exits with status 2 if the option is missing or the file is unusable."""
    from rowanshift.cacheproxy.config import ConfigError, load

    if arguments.config is None:
        usage_error(arguments, "--config FILE is missing, and BALANCER_CONFIG is not set")
    try:
        return load(arguments.config)
    except ConfigError as error:
        fail(error, EXIT_UNUSABLE_INPUT)


def log_to_stderr(level: str) -> None:
    """Log to standard error only. Exits with status 2 if the level does not exist."""
    from loguru import logger

    from rowanshift.process.log_rate_limit import LogRateLimit

    logger.remove()
    try:
        logger.add(
            sys.stderr,
            level=level,
            format="{time:HH:mm:ss.SSS} {level: <7} {message}",
            backtrace=False,
            diagnose=False,
            filter=LogRateLimit(),
        )
    except ValueError as error:  # unknown level
        fail(error, EXIT_UNUSABLE_INPUT)


def serve(arguments: argparse.Namespace) -> int:
    """Run the cache proxy until SIGTERM; SIGHUP reloads its configuration."""
    handle_signals_early()

    import trio

    from rowanshift.cacheproxy.service import Service
    from rowanshift.process.error_groups import first_of

    config = load_cache_proxy_config(arguments)
    log_to_stderr(arguments.level)
    errors: list[BaseException] = []  # Python 3.11.2 reports a SystemExit raised within except* as a group
    file: Path = arguments.config
    try:
        trio.run(Service(config, file).run)
    except* OSError as group:
        errors.append(first_of(group))
    ignore_sigterm_at_exit()
    if errors:
        fail(errors[0], EXIT_FAILED)
    return 0
