"""A TCP relay, and one for datagrams, that stand between two parts of the system and cut the link between them.

While a direction is held, its bytes stay where they are and go on afterwards, as TCP brings them after a cut; new
connections wait at the relay until no direction is held. While answers are lost, the first bytes of each answer are
dropped and its connection is closed.

What it can't do: to a caller a connection comes up also during a cut, because the system's own backlog takes it; a
target that does not listen shows as a reset after the connection came up, not as one refused; bytes already handed to
the target's socket arrive during a cut; packets are neither lost, reordered nor delayed.
"""

from contextlib import suppress

import trio

from rowanshift.soak.plan import Direction
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Stream, accepted, connect, send_all

BACKLOG = 128
MAX_CONNECTIONS = 512  # of a relay at once; more are reset
DIAL_TIMEOUT_S = 1.0  # seconds
CHUNK_BYTES = 65536  # bytes
MAX_DATAGRAM_BYTES = 2048  # bytes


class Gate:
    """Whether bytes may pass; held by as many as have said so and not taken it back."""

    def __init__(self) -> None:
        self.holders = 0
        self.opened = trio.Event()
        self.opened.set()

    def hold(self) -> None:
        """Let nothing pass from now on."""
        self.holders += 1
        if self.opened.is_set():
            self.opened = trio.Event()

    def release(self) -> None:
        """Take one ``hold`` back."""
        self.holders -= 1
        if not self.holders:
            self.opened.set()

    async def wait_released(self) -> None:
        """Wait until nobody holds it."""
        while self.holders:
            await self.opened.wait()


class CuttableRelay:
    """What relays of streams and of datagrams share: the two directions, and whether answers are lost."""

    def __init__(self) -> None:
        self.towards, self.back = Gate(), Gate()
        self.answer_losses = 0  # troubles that lose answers now

    def cut(self, direction: Direction) -> None:
        """Hold a direction, or both."""
        for gate in self._gates(direction):
            gate.hold()

    def restore(self, direction: Direction) -> None:
        """Take one ``cut`` back."""
        for gate in self._gates(direction):
            gate.release()

    def _gates(self, direction: Direction) -> list[Gate]:
        if direction is Direction.BOTH:
            return [self.towards, self.back]
        return [self.towards if direction is Direction.TOWARDS else self.back]


class AnswerLost(Exception):
    """The answer that comes back is dropped."""


class Relay(CuttableRelay):
    """Passes the connections made to one address on to another."""

    def __init__(self, host: Runtime, address: Address, target: Address) -> None:
        super().__init__()
        self.host, self.address, self.target = host, address, target
        self.open_connections = 0

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Take connections, for good; started once it listens."""
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
            raise TimeoutError(f"{self.target} does not answer") from None
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
                with suppress(OSError):  # the other side has ended as well
                    sink.end()
                return
            if gate is self.back and self.answer_losses:
                raise AnswerLost
            await send_all(sink, buffer[:count])


class DatagramRelay(CuttableRelay):
    """Passes datagrams between two addresses. The caller sends to the relay's address as to the target's."""

    def __init__(self, host: Runtime, address: Address, caller: Address, target: Address) -> None:
        super().__init__()
        self.host, self.address, self.caller, self.target = host, address, caller, target

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Pass datagrams on, for good; those that come in a direction that is held are lost."""
        port = self.host.port(self.address)
        try:
            task_status.started()
            while True:
                with suppress(OSError):  # a port that is closed at the other side
                    payload, sender = await port.receive(MAX_DATAGRAM_BYTES)
                    is_answer = sender == self.target
                    gate = self.back if is_answer else self.towards
                    if not gate.holders:
                        await port.send(payload, self.caller if is_answer else self.target)
        finally:
            port.close()
