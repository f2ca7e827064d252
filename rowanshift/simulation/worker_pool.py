"""Worker processes that run seeds in parallel.

They are forked from a single-threaded server process. A process that is forked while other threads run (those of a
test runner, or of the pool itself when it replaces a worker) may inherit a locked lock that is never released.
"""

from multiprocessing import get_context
from multiprocessing.pool import Pool

START_METHOD = "forkserver"


def worker_pool(workers: int, max_tasks_per_worker: int | None = None) -> Pool:
    """Return a pool of ``workers`` processes, each of which is replaced after ``tasks_each`` tasks if that is given."""
    return get_context(START_METHOD).Pool(workers, maxtasksperchild=max_tasks_per_worker)
