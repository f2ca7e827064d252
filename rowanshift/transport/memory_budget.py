"""Budget of the memory for bodies of requests and responses, over all connections of a process."""

MIB = 2**20
PROCESS_BYTES = 48 * MIB  # used by the program itself, with the maximum number of connections
MIN_CAPACITY_BYTES = 4 * MIB
LARGEST_RESPONSES = 8  # responses of the maximum size that fit into the budget at once


class MemoryBudget:
    """Bytes of bodies in transit: half of the process's memory limit less ``PROCESS_BYTES``.

    ``capacity`` and ``available`` are bytes; ``available`` is negative after more was acquired than was available.
    ``largest_response`` is the maximum size of a response that is buffered completely. ``minimum_available`` is the
    lowest value that ``available`` has had.
    """

    def __init__(self, limit_mib: float) -> None:
        self.limit_mib = limit_mib
        self.capacity = self.available = max(MIN_CAPACITY_BYTES, int(limit_mib * MIB - PROCESS_BYTES) // 2)
        self.largest_response = self.available // LARGEST_RESPONSES
        self.minimum_available = self.available

    def divide(self, processes: int) -> None:
        """Reduce the budget to the share of one of ``processes`` processes.

        Bytes that are acquired already stay acquired until they are released.
        """
        body_bytes = int(self.limit_mib * MIB - processes * PROCESS_BYTES) // 2
        capacity = max(MIN_CAPACITY_BYTES, body_bytes // processes)
        self.available += capacity - self.capacity
        self.capacity = capacity
        self.largest_response = capacity // LARGEST_RESPONSES

    def try_acquire(self, size: int) -> bool:
        """Acquire ``size`` bytes if they are available; returns whether they were."""
        if size > self.available:
            return False
        self.available -= size
        self.minimum_available = min(self.minimum_available, self.available)
        return True

    def acquire(self, size: int) -> None:
        """Acquire ``size`` bytes that have been read already, even if not available; the reader then pauses."""
        self.available -= size
        self.minimum_available = min(self.minimum_available, self.available)

    def release(self, size: int) -> None:
        """Release ``size`` bytes that were acquired."""
        self.available += size
