"""A ring buffer of bytes: one a direction a connection."""

CAPACITY = 32 * 1024
SPARE = 16


class RingBuffer:
    """Holds its bytes in a buffer while there are any: most connections are idle most of the time."""

    __slots__ = ("capacity", "size", "start", "view")
    spare: list[memoryview] = []  # noqa: RUF012 - buffers of CAPACITY that no ring has in use

    def __init__(self, capacity: int = CAPACITY) -> None:
        self.view: memoryview | None = None
        self.capacity, self.start, self.size = capacity, 0, 0

    def __len__(self) -> int:
        return self.size

    def full(self) -> bool:
        return self.size == self.capacity

    def space(self) -> memoryview:
        """The first free run; empty when the ring is full."""
        if self.view is None:
            pooled = self.capacity == CAPACITY and self.spare
            self.view = self.spare.pop() if pooled else memoryview(bytearray(self.capacity))
        end = self.start + self.size
        if end >= self.capacity:
            return self.view[end - self.capacity : self.start]
        return self.view[end:]

    def filled(self, n: int) -> None:
        """So many bytes have been put into ``space()``."""
        self.size += n
        self._rest()

    def held(self) -> memoryview:
        """The first run of held bytes."""
        if self.view is None:
            return memoryview(b"")
        return self.view[self.start : min(self.start + self.size, self.capacity)]

    def drop(self, n: int) -> None:
        """So many bytes of ``held()`` are done with."""
        self.size -= n
        self.start = (self.start + n) % self.capacity if self.size else 0
        self._rest()

    def _rest(self) -> None:
        if not self.size and self.view is not None:
            if self.capacity == CAPACITY and len(self.spare) < SPARE:
                self.spare.append(self.view)
            self.view = None

    def write(self, data: bytes | memoryview) -> int:
        """Takes what fits and returns how much."""
        taken = 0
        while taken < len(data) and (space := self.space()):
            n = min(len(space), len(data) - taken)
            space[:n] = data[taken : taken + n]
            self.filled(n)
            taken += n
        return taken

    def read(self) -> bytes:
        """Takes out all that is held."""
        data = bytes(self.held())
        self.drop(len(data))
        if self.size:
            data += self.read()
        return data
