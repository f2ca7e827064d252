"""Logging of the system's processes: one line of key=value pairs per event, on standard error."""

import sys

from loguru import logger

from rowanshift.process.log_rate_limit import LogRateLimit


def log_to_stderr(level: str) -> None:
    """Log lines of this level and above to standard error, with a rate limit."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format="{time:HH:mm:ss.SSS} level={level} {message}",
        backtrace=False,
        diagnose=False,
        filter=LogRateLimit(),
    )
