"""Process signals with the time at which each was handled, even if the event loop processes it later."""

import signal
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from types import FrameType

import trio


@dataclass(frozen=True, slots=True)
class ReceivedSignal:
    """A signal, and trio's time at which its handler ran."""

    number: int
    at: float


class SignalReceiver:
    """An async iterator over received signals; of each number at most one is pending, the first."""

    def __init__(self) -> None:
        self.pending: dict[int, ReceivedSignal] = {}  # keyed by number, in order of arrival
        self.clock = trio.lowlevel.current_clock()
        self.token = trio.lowlevel.current_trio_token()
        self.waiting = trio.lowlevel.ParkingLot()

    def handle(self, number: int, frame: FrameType | None) -> None:
        """Record a signal; the interpreter calls this between two bytecode instructions of the main thread."""
        self.pending.setdefault(number, ReceivedSignal(number, self.clock.current_time()))
        self.token.run_sync_soon(self.waiting.unpark_all, idempotent=True)

    def __aiter__(self) -> "SignalReceiver":
        return self

    async def __anext__(self) -> ReceivedSignal:
        """Wait for the next signal."""
        while not self.pending:
            await self.waiting.park()
        received = [*self.pending.values()]  # copied in one bytecode instruction: a handler may run between two
        return self.pending.pop(received[0].number)


@contextmanager
def received_signals(numbers: Sequence[int]) -> Iterator[AsyncIterator[ReceivedSignal]]:
    """Handle these signals within the block; afterwards the previous handlers are restored."""
    receiver = SignalReceiver()
    previous_handlers = {number: signal.signal(number, receiver.handle) for number in numbers}
    try:
        yield receiver
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
