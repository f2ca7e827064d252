"""A ring buffer of bytes: one per direction of a connection."""

RING_CAPACITY_BYTES = 32 * 1024
MAX_SPARE_BUFFERS = 16


class RingBuffer:
    """A queue of bytes in a buffer of fixed size, ``capacity`` bytes.

    It has a buffer only while it is not empty, since most connections are idle most of the time. Buffers of the usual
    size are pooled over all rings.
    """

    __slots__ = ("capacity", "size", "start", "view")
    spare: list[memoryview] = []  # noqa: RUF012 - the pool is shared by all rings

    def __init__(self, capacity: int = RING_CAPACITY_BYTES) -> None:
        self.view: memoryview | None = None
        self.capacity, self.start, self.size = capacity, 0, 0

    def __len__(self) -> int:
        return self.size

    def full(self) -> bool:
        """Whether nothing more can be written."""
        return self.size == self.capacity

    def free_run(self) -> memoryview:
        """The first contiguous run of free bytes, to be written to and then committed; empty when the ring is full."""
        if self.view is None:
            pooled = self.capacity == RING_CAPACITY_BYTES and self.spare
            self.view = self.spare.pop() if pooled else memoryview(bytearray(self.capacity))
        end = self.start + self.size
        if end >= self.capacity:
            return self.view[end - self.capacity : self.start]
        return self.view[end:]

    def commit(self, count: int) -> None:
        """Append the first ``count`` bytes of ``free_run()``, which have been written."""
        self.size += count
        self._release_if_empty()

    def filled_run(self) -> memoryview:
        """The first contiguous run of the queue's bytes."""
        if self.view is None:
            return memoryview(b"")
        return self.view[self.start : min(self.start + self.size, self.capacity)]

    def consume(self, count: int) -> None:
        """Remove the first ``count`` bytes of ``filled_run()``."""
        self.size -= count
        self.start = (self.start + count) % self.capacity if self.size else 0
        self._release_if_empty()

    def _release_if_empty(self) -> None:
        if not self.size and self.view is not None:
            if self.capacity == RING_CAPACITY_BYTES and len(self.spare) < MAX_SPARE_BUFFERS:
                self.spare.append(self.view)
            self.view = None

    def write(self, data: bytes | memoryview) -> int:
        """Append as much of ``data`` as fits; returns the number of bytes."""
        written = 0
        while written < len(data) and (free := self.free_run()):
            count = min(len(free), len(data) - written)
            free[:count] = data[written : written + count]
            self.commit(count)
            written += count
        return written

    def read(self) -> bytes:
        """Remove and return all bytes."""
        data = bytes(self.filled_run())
        self.consume(len(data))
        if self.size:
            data += self.read()
        return data
