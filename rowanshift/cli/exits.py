"""Exit statuses of the command line, and functions that exit with a message."""

import argparse
import sys
from typing import NoReturn

EXIT_FAILED = 1
EXIT_UNUSABLE_INPUT = 2  # the status that argparse uses for invalid options
EXIT_INTERRUPTED = 130


def fail(error: object, status: int) -> NoReturn:
    """Print an error to the standard error output and exit with ``status``."""
    print(f"rowanshift: {error}", file=sys.stderr)
    raise SystemExit(status)


def usage_error(arguments: argparse.Namespace, message: str) -> NoReturn:
    """Print the usage of the command and an error, and exit with status 2."""
    parser: argparse.ArgumentParser = arguments.parser
    parser.error(message)
