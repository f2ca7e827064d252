"""Budget of the memory for bodies of requests and responses, over all connections of a process."""

MIB = 2**20
PROCESS_BYTES = 48 * MIB  # the program itself, with as many connections as it may have
MIN_CAPACITY_BYTES = 4 * MIB
LARGEST_RESPONSES = 8  # so many of the largest responses have room at once


class MemoryBudget:
    """Bytes of bodies that are on their way; half of what the process's limit leaves beside the program.

    ``capacity`` and ``available`` are bytes; ``available`` is negative after more was acquired than there was.
    ``largest_response`` is the longest response that may be read as one message. ``minimum_available`` is the lowest
    value that ``available`` ever had.
    """

    def __init__(self, limit_mib: float) -> None:
        self.limit_mib = limit_mib
        self.capacity = self.available = max(MIN_CAPACITY_BYTES, int(limit_mib * MIB - PROCESS_BYTES) // 2)
        self.largest_response = self.available // LARGEST_RESPONSES
        self.minimum_available = self.available

    def divide(self, processes: int) -> None:
        """Keep this process's part of a limit that so many processes have together.

        What is acquired already stays acquired until it is released.
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
        """Acquire ``size`` bytes that have been read already, available or not; the reader then reads no more."""
        self.available -= size
        self.minimum_available = min(self.minimum_available, self.available)

    def release(self, size: int) -> None:
        """Release ``size`` bytes that were acquired."""
        self.available += size
