"""The command line: parses the arguments and runs one command.

Each command imports its modules when it runs, so that it loads as few as possible at start-up.
"""

import errno
import os
import sys
from typing import NoReturn

from rowanshift.cli.exits import EXIT_INTERRUPTED, EXIT_UNUSABLE_INPUT
from rowanshift.cli.parser import build_parser

EXIT_OUTPUT_CLOSED = 1


def main(argv: list[str] | None = None) -> NoReturn:
    """Run the command given by the arguments and exit with its status.

    The status is 2 for invalid arguments or unusable input, 130 after an interrupt, and 1 if the reader of the output
    has closed the pipe.
    """
    parser = build_parser()
    arguments = parser.parse_args(argv)
    if "run" not in arguments:  # no command was given
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
        # buffered output must not cause an error when the interpreter flushes it at exit
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(EXIT_OUTPUT_CLOSED) from None
    raise SystemExit(status)
