"""The log of a process of the whole system: a line of key=value pairs an event, on standard error."""

import sys

from loguru import logger

from rowanshift.process.log_rate_limit import Lines


def log_to_stderr(level: str) -> None:
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format="{time:HH:mm:ss.SSS} level={level} {message}",
        backtrace=False,
        diagnose=False,
        filter=Lines(),
    )
