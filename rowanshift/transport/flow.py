"""One body on its way: a bounded buffer between a source and a sink, and how it ended. It knows neither which
server nor why, and nothing of HTTP."""

from collections import deque

import trio

from rowanshift.transport.memory_budget import MemoryBudget

HIGH, LOW = 256 * 1024, 64 * 1024  # bytes held, at which the source waits and goes on
SHORT = 32 * 1024  # the upper mark while memory for bodies is short: one read
SCARCE = 0.25  # part of that memory, under which it is short


class Flow:
    """Its source puts pieces and ends it, or cuts it off; its sink takes them, or gives it up. Each side has
    one task, which waits for the other."""

    __slots__ = ("cut", "ended", "given_up", "held", "memory", "pieces", "size", "waiting")

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.pieces: deque[bytes] = deque()
        self.held = 0  # bytes in them
        self.size = 0  # bytes put so far
        self.ended = self.cut = self.given_up = False
        self.waiting = trio.Event()

    # the source -------------------------------------------

    def put(self, piece: bytes) -> None:
        """Takes what was read already; ``full`` tells when to read no more."""
        if self.given_up:
            return
        self.pieces.append(piece)
        self.size += len(piece)
        self.held += len(piece)
        self.memory.acquire(len(piece))
        self._wake()

    def end(self) -> None:
        self.ended = True
        self._wake()

    def cut_off(self) -> None:
        """The source broke off: what is held may go on, but the body is not whole."""
        if not self.ended:
            self.cut = True
            self._wake()

    def full(self) -> bool:
        short = self.memory.available < SCARCE * self.memory.capacity
        return self.held >= (SHORT if short else HIGH) and not self.given_up

    async def room(self) -> None:
        """Waits until the source may read on."""
        if self.full():
            while (self.held > LOW and not self.given_up) or self.full():
                await self._wait()

    # the sink ---------------------------------------------

    def take(self) -> bytes:
        piece = self.pieces.popleft()
        self.held -= len(piece)
        self.memory.release(len(piece))
        self._wake()
        return piece

    async def more(self) -> None:
        """Waits until there is a piece, or no more will come."""
        while not (self.pieces or self.over()):
            await self._wait()

    def over(self) -> bool:
        return self.ended or self.cut or self.given_up

    def drained(self) -> bool:
        return self.ended and not self.pieces

    def give_up(self) -> None:
        """The sink is gone: what is held is dropped, and so is what comes."""
        self.given_up = True
        self.pieces.clear()
        self.memory.release(self.held)
        self.held = 0
        self._wake()

    # ------------------------------------------------------

    def _wake(self) -> None:
        self.waiting.set()

    async def _wait(self) -> None:
        if self.waiting.is_set():
            self.waiting = trio.Event()
        await self.waiting.wait()


def framed(piece: bytes, chunked: bool) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece


LAST_CHUNK = b"0\r\n\r\n"
