"""The command line: parses the arguments and runs one command.

What a command needs is imported when it runs, so that each command starts with as few modules as possible.
"""

import errno
import os
import sys
from typing import NoReturn

from rowanshift.cli.exits import EXIT_INTERRUPTED, EXIT_UNUSABLE_INPUT
from rowanshift.cli.parser import build_parser

EXIT_OUTPUT_CLOSED = 1


def main(argv: list[str] | None = None) -> NoReturn:
    """Run the command that the arguments name and exit with its status.

    The status is 2 for arguments or input that can't be used, 130 after an interrupt, and 1 if the reader of the
    output has closed it.
    """
    parser = build_parser()
    arguments = parser.parse_args(argv)
    if "run" not in arguments:  # no command
        parser.print_help(sys.stderr)
        raise SystemExit(EXIT_UNUSABLE_INPUT)
    try:
        status = arguments.run(arguments)
        sys.stdout.flush()
    except KeyboardInterrupt:
        raise SystemExit(EXIT_INTERRUPTED) from None
    except OSError as error:
        if error.errno != errno.EPIPE:
            raise
        # what is still buffered must not fail when the interpreter flushes it at its end
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(EXIT_OUTPUT_CLOSED) from None
    raise SystemExit(status)
