"""Processes that play seeds in parallel.

They are forked from a server process that has one thread. A process that is forked while other threads run (those of
a test runner, or of the pool itself when it replaces a worker) may inherit a lock that nobody in it will ever release.
"""

from multiprocessing import get_context
from multiprocessing.pool import Pool

START_METHOD = "forkserver"


def worker_pool(workers: int, tasks_each: int | None = None) -> Pool:
    """A pool of so many processes, each replaced after ``tasks_each`` tasks if that is given."""
    return get_context(START_METHOD).Pool(workers, maxtasksperchild=tasks_each)
