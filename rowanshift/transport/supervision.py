"""Runs a task that follows something outside so that a fault of it ends neither its process nor the task for good."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from loguru import logger

FIRST_RESTART_SECONDS = 0.5
MAX_RESTART_SECONDS = 8.0


async def run_supervised(
    pause: Callable[[float], Awaitable[None]], name: str, task: Callable[..., Awaitable[None]], *args: Any
) -> None:
    """Run a task; after an unexpected error log it and begin the task again after a pause that doubles.

    ``pause`` sleeps for a number of seconds. A cancellation is no error.
    """
    failures, pause_seconds = 0, FIRST_RESTART_SECONDS
    while True:
        started_at = trio.current_time()
        try:
            await task(*args)
            return
        except Exception:
            failures += 1
            logger.exception("event=task_failed task={} failures={}", name, failures)
        if trio.current_time() > started_at + MAX_RESTART_SECONDS:
            pause_seconds = FIRST_RESTART_SECONDS
        await pause(pause_seconds)
        pause_seconds = min(2 * pause_seconds, MAX_RESTART_SECONDS)
