"""A streamed message body: a bounded buffer between one source and one sink.

Of HTTP it knows only chunked framing; it does not depend on what the source and the sink are.
"""

from collections import deque

import trio

from rowanshift.transport.memory_budget import MemoryBudget

HIGH_WATER_BYTES = 256 * 1024  # buffered bytes at which the source pauses
LOW_WATER_BYTES = 64 * 1024  # buffered bytes at which it resumes
SCARCE_HIGH_WATER_BYTES = 32 * 1024  # the high-water mark while memory for bodies is scarce; the size of one read
SCARCE_MEMORY_FRACTION = 0.25  # memory for bodies is scarce while less than this part of it is available
LAST_CHUNK = b"0\r\n\r\n"


class Flow:
    """The pieces of one body, passed from a source task to a sink task with backpressure.

    The source puts pieces and ends or aborts the flow; the sink pops them or cancels it. ``buffered`` counts the bytes
    of ``pieces``, ``size`` all bytes that were put.
    """

    __slots__ = ("aborted", "buffered", "cancelled", "ended", "memory", "pieces", "size", "waiting")

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.pieces: deque[bytes] = deque()
        self.buffered = 0
        self.size = 0
        self.ended = self.aborted = self.cancelled = False
        self.waiting = trio.Event()

    # methods of the source

    def put(self, piece: bytes) -> None:
        """Append bytes that were read; check ``is_full`` before the next read."""
        if self.cancelled:
            return
        self.pieces.append(piece)
        self.size += len(piece)
        self.buffered += len(piece)
        self.memory.acquire(len(piece))
        self._wake()

    def end(self) -> None:
        """The body is complete."""
        self.ended = True
        self._wake()

    def abort(self) -> None:
        """The source failed: buffered pieces may still be sent, but the body is incomplete."""
        if not self.ended:
            self.aborted = True
            self._wake()

    def is_full(self) -> bool:
        """Whether the source should wait."""
        scarce = self.memory.available < SCARCE_MEMORY_FRACTION * self.memory.capacity
        return self.buffered >= (SCARCE_HIGH_WATER_BYTES if scarce else HIGH_WATER_BYTES) and not self.cancelled

    async def wait_until_writable(self) -> None:
        """Wait until the source may read more."""
        if self.is_full():
            while (self.buffered > LOW_WATER_BYTES and not self.cancelled) or self.is_full():
                await self._wait()

    # methods of the sink

    def pop(self) -> bytes:
        """Remove and return the first piece."""
        piece = self.pieces.popleft()
        self.buffered -= len(piece)
        self.memory.release(len(piece))
        self._wake()
        return piece

    async def wait_until_readable(self) -> None:
        """Wait until there is a piece, or no more will come."""
        while not (self.pieces or self.is_finished()):
            await self._wait()

    def is_finished(self) -> bool:
        """Whether no more pieces will come."""
        return self.ended or self.aborted or self.cancelled

    def is_drained(self) -> bool:
        """Whether the complete body was popped."""
        return self.ended and not self.pieces

    def cancel(self) -> None:
        """The sink needs no more: discard buffered pieces and all later ones."""
        self.cancelled = True
        self.pieces.clear()
        self.memory.release(self.buffered)
        self.buffered = 0
        self._wake()

    def _wake(self) -> None:
        self.waiting.set()

    async def _wait(self) -> None:
        if self.waiting.is_set():
            self.waiting = trio.Event()
        await self.waiting.wait()


def framed(piece: bytes, chunked: bool) -> bytes:
    """Return a piece as it is sent: as an HTTP/1.1 chunk if ``chunked``, else unchanged."""
    return b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece
