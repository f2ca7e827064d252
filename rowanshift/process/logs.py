"""The log of a process of the system: one line of key=value pairs for each event, on standard error."""

import sys

from loguru import logger

from rowanshift.process.log_rate_limit import LogRateLimit


def log_to_stderr(level: str) -> None:
    """Log to standard error from this level on, limited by rate."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format="{time:HH:mm:ss.SSS} level={level} {message}",
        backtrace=False,
        diagnose=False,
        filter=LogRateLimit(),
    )
