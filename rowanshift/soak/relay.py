"""A TCP relay and a datagram relay between two parts of the system, which can cut the link between them.

While a direction is held, its bytes are kept and forwarded afterwards, as TCP retransmits them after a real cut. New
connections wait at the relay until no direction is held. While answers are lost, the first bytes of each answer are
dropped and its connection is closed.

Limits: a caller's connection is established even during a cut, because the kernel's backlog accepts it. A target that
does not listen appears as a reset of an established connection rather than a refused one. Bytes already written to the
target's socket arrive during a cut. Packets are never lost, reordered or delayed.
"""

from contextlib import suppress

import trio

from rowanshift.soak.plan import Direction
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Stream, accepted, connect, send_all

BACKLOG = 128
MAX_CONNECTIONS = 512  # open at a time per relay; further ones are reset
DIAL_TIMEOUT_S = 1.0
CHUNK_BYTES = 65536
MAX_DATAGRAM_BYTES = 2048


class Gate:
    """Blocks one direction of a link for as long as at least one holder has not released it."""

    def __init__(self) -> None:
        self.holders = 0
        self.opened = trio.Event()
        self.opened.set()

    def hold(self) -> None:
        """Blocks the direction until the matching ``release``."""
        self.holders += 1
        if self.opened.is_set():
            self.opened = trio.Event()

    def release(self) -> None:
        """Undoes one ``hold``."""
        self.holders -= 1
        if not self.holders:
            self.opened.set()

    async def wait_released(self) -> None:
        """Waits until there is no holder."""
        while self.holders:
            await self.opened.wait()


class CuttableRelay:
    """The state that stream and datagram relays share: a gate for each direction, and whether answers are lost."""

    def __init__(self) -> None:
        self.towards, self.back = Gate(), Gate()
        self.answer_losses = 0  # number of faults in force that lose answers

    def cut(self, direction: Direction) -> None:
        """Cuts one direction or both, until the matching ``restore``."""
        for gate in self._gates(direction):
            gate.hold()

    def restore(self, direction: Direction) -> None:
        """Undoes one ``cut``."""
        for gate in self._gates(direction):
            gate.release()

    def _gates(self, direction: Direction) -> list[Gate]:
        if direction is Direction.BOTH:
            return [self.towards, self.back]
        return [self.towards if direction is Direction.TOWARDS else self.back]


class AnswerLost(Exception):
    """Raised to close a connection whose answer is dropped."""


class Relay(CuttableRelay):
    """Forwards the connections made to one address to another."""

    def __init__(self, host: Runtime, address: Address, target: Address) -> None:
        super().__init__()
        self.host, self.address, self.target = host, address, target
        self.open_connections = 0

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Accepts connections until cancelled; reports that it has started once it listens."""
        listener = self.host.listen(self.address, BACKLOG)
        try:
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    nursery.start_soon(self._serve, await accepted(listener, self.host.pause))
        finally:
            listener.close()

    async def _serve(self, caller: Stream) -> None:
        if self.open_connections >= MAX_CONNECTIONS:
            return caller.reset()
        self.open_connections += 1
        target: Stream | None = None
        try:
            await self.towards.wait_released()
            await self.back.wait_released()
            target = await self._dial()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, caller, target, self.towards)
                nursery.start_soon(self._pump, target, caller, self.back)
            caller.close()
        except* AnswerLost:
            caller.close()
        except* (OSError, trio.ClosedResourceError):
            caller.reset()
        finally:
            self.open_connections -= 1
            caller.close()
            if target is not None:
                target.reset()

    async def _dial(self) -> Stream:
        stream = self.host.stream()
        try:
            with trio.fail_after(DIAL_TIMEOUT_S):
                await connect(stream, self.target)
        except trio.TooSlowError:
            stream.close()
            raise TimeoutError(f"connection to {self.target} not established within {DIAL_TIMEOUT_S} s") from None
        except BaseException:
            stream.close()
            raise
        return stream

    async def _pump(self, source: Stream, sink: Stream, gate: Gate) -> None:
        buffer = memoryview(bytearray(CHUNK_BYTES))
        while True:
            await source.wait_readable()
            await gate.wait_released()
            try:
                count = source.recv_into(buffer)
            except BlockingIOError:
                continue
            if not count:
                with suppress(OSError):  # the sink's peer has closed the connection as well
                    sink.end()
                return
            if gate is self.back and self.answer_losses:
                raise AnswerLost
            await send_all(sink, buffer[:count])


class DatagramRelay(CuttableRelay):
    """Forwards datagrams between a caller and a target. The caller uses the relay's address as the target's."""

    def __init__(self, host: Runtime, address: Address, caller: Address, target: Address) -> None:
        super().__init__()
        self.host, self.address, self.caller, self.target = host, address, caller, target

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Forwards datagrams until cancelled; those in a direction that is held are dropped."""
        port = self.host.port(self.address)
        try:
            task_status.started()
            while True:
                with suppress(OSError):  # the port at the other end is closed
                    payload, sender = await port.receive(MAX_DATAGRAM_BYTES)
                    is_answer = sender == self.target
                    gate = self.back if is_answer else self.towards
                    if not gate.holders:
                        await port.send(payload, self.caller if is_answer else self.target)
        finally:
            port.close()
