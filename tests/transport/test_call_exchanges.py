"""Calls between processes and to the platform, servers and stores: an answer that comes after its call was given up
never answers the next call, at every byte boundary."""

import unittest
import unittest.mock
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from loguru import logger

from rowanshift.simulation.clock import Determined, VirtualClock
from rowanshift.simulation.network import End, Network, Paths
from rowanshift.transport.call_client import CallFailed, PersistentCaller, call
from rowanshift.transport.http_connection import Connection
from rowanshift.transport.http_response import Response
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.record_links import ConnectionFailed, RecordClient
from rowanshift.transport.streams import send_all
from rowanshift.wire.codec import FRAME_HEADER
from rowanshift.wire.control_updates import CONTROL_UPDATE_CODEC, Redirect

PORT = 80
WITHIN = 0.05  # seconds that a call waits
BODY = b"{}"


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


@dataclass(slots=True)
class Delayed:
    """An answer that stops after ``cut`` bytes, and goes on, with the surplus behind it, after ``pause`` seconds."""

    cut: int
    pause: float
    surplus: bytes = b""
    then_reset: bool = False


def http_answer(asked: bytes) -> bytes:
    """Names the target of the call, after its number."""
    return Response(200, asked.split(b" ")[1]).encode(True)


def record_answer(asked: bytes) -> bytes:
    """The record back, under the number of its call."""
    return asked


class Peer:
    """The other side: answers each call on each connection, the first of them as it is told."""

    def __init__(self, nursery: trio.Nursery, network: Network, whole: Callable[[bytes], bool], answer: Any) -> None:
        self.nursery, self.whole, self.answer = nursery, whole, answer
        self.machine, self.caller_machine = network.machine("peer"), network.machine("caller")
        self.machine.running = self.caller_machine.running = True
        self.delayed: list[Delayed] = []
        self.connections = 0

    @property
    def address(self) -> tuple[str, int]:
        return self.machine.address, PORT

    async def run(self) -> None:
        listener = self.machine.listen(self.address, 64)
        while True:
            await listener.wait()
            self.connections += 1
            self.nursery.start_soon(self._serve, listener.accept())

    async def _serve(self, stream: End) -> None:
        try:
            while True:
                data = b""
                while not self.whole(data):
                    await stream.wait_readable()
                    space = bytearray(4096)
                    if not (n := stream.recv_into(memoryview(space))):
                        return
                    data += bytes(space[:n])
                answer = self.answer(data)
                told = self.delayed.pop(0) if self.delayed else Delayed(len(answer), 0.0)
                await send_all(stream, answer[: told.cut])
                await trio.sleep(told.pause)
                if told.then_reset:
                    return stream.drop(True)
                await send_all(stream, answer[told.cut :] + told.surplus)
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            if not stream.closed():
                stream.close()


def http_whole(data: bytes) -> bool:
    return data.endswith(b"\r\n\r\n")


def record_whole(data: bytes) -> bool:
    return len(data) >= FRAME_HEADER.size and len(data) >= FRAME_HEADER.size + FRAME_HEADER.unpack_from(data)[-1]


def play(whole: Any, answer: Any, main: Callable[[Peer], Awaitable[Any]]) -> Any:
    clock = VirtualClock()

    async def run() -> Any:
        async with trio.open_nursery() as nursery:
            peer = Peer(nursery, Network(clock, "calls", Paths(jitter=0.0, partial=0.0)), whole, answer)
            nursery.start_soon(peer.run)
            await trio.sleep(0.01)
            got = await main(peer)
            nursery.cancel_scope.cancel()
        return got

    with Determined("calls"):
        return trio.run(run, clock=clock)


PAUSES = (WITHIN - 0.002, WITHIN - 0.001, WITHIN - 0.0004, WITHIN, WITHIN + 0.0004, WITHIN + 0.01)


class Lines(unittest.TestCase):
    """``PersistentCaller``: one call after another on one connection."""

    async def told(self, line: PersistentCaller, target: bytes) -> str:
        try:
            message = await line.call(b"GET", target, timeout_seconds=WITHIN)
        except CallFailed as failure:
            return f"failed, sent {failure.sent}"
        return "own" if message.body == target else f"another's: {message.body!r}"

    def sweep(self, *delayed: Delayed, rest: float = 0.0) -> list[tuple[str, ...]]:
        """What three calls in a row got, for each way in which the first is answered."""

        async def main(peer: Peer) -> list[tuple[str, ...]]:
            made = []
            for n, each in enumerate(delayed):
                line = PersistentCaller(peer.caller_machine, MemoryBudget(64), peer.address)
                peer.delayed[:] = [each]
                got = []
                for m in range(3):
                    got.append(await self.told(line, b"/%d/%d" % (n, m)))
                    await trio.sleep(rest)
                made.append(tuple(got))
                line.close()
            return made

        return play(http_whole, http_answer, main)

    SIZE = len(http_answer(b"GET /0/0 HTTP/1.1"))

    def test_an_answer_that_comes_late_after_each_byte(self) -> None:
        for pause in PAUSES:
            for rest in (0.0, 0.003, 0.02):
                for got in self.sweep(*(Delayed(cut, pause) for cut in range(self.SIZE)), rest=rest):
                    self.assertIn(got[0], ("own", "failed, sent True"))
                    self.assertEqual(got[1:], ("own", "own"), (pause, rest))

    def test_a_connection_that_breaks_after_each_byte(self) -> None:
        broken = [Delayed(cut, 0.001, then_reset=True) for cut in range(self.SIZE)]
        self.assertEqual(set(self.sweep(*broken, rest=0.01)), {("failed, sent True", "own", "own")})

    def test_surplus_bytes_behind_an_answer(self) -> None:
        surplus = http_answer(b"GET /another HTTP/1.1")
        made = self.sweep(*(Delayed(self.SIZE - 1, 0.001, surplus[:k]) for k in range(1, len(surplus) + 1)))
        self.assertEqual(set(made), {("own", "own", "own")})

    def test_surplus_bytes_that_come_before_the_next_call(self) -> None:
        surplus = http_answer(b"GET /another HTTP/1.1")
        delayed = [Delayed(self.SIZE + 9, pause, surplus) for pause in (0.001, 0.002, 0.004)]
        self.assertEqual(set(self.sweep(*delayed, rest=0.01)), {("own", "own", "own")})


class Calls(unittest.TestCase):
    """``call``: each on a connection of its own."""

    def test_an_answer_that_comes_late_after_each_byte(self) -> None:
        async def main(peer: Peer) -> list[str]:
            wrong, memory = [], MemoryBudget(64)
            for pause in PAUSES:
                for cut in range(Lines.SIZE):
                    peer.delayed[:] = [Delayed(cut, pause)]
                    for target in (b"/0/0", b"/0/1"):
                        try:
                            got = await call(
                                peer.caller_machine, memory, peer.address, b"GET", target, timeout_seconds=WITHIN
                            )
                            if got.body != target:
                                wrong.append(f"{cut} {pause}: {got}")
                        except CallFailed:
                            if target == b"/0/1":
                                wrong.append(f"{cut} {pause}: the second failed")
            return wrong

        self.assertEqual(play(http_whole, http_answer, main), [])


class Records(unittest.TestCase):
    """``RecordClient``: records between processes, each answered under its number."""

    SIZE = len(CONTROL_UPDATE_CODEC.pack(Redirect(1, ()), 1))

    def sweep(self, *delayed: Delayed, rest: float = 0.0) -> list[tuple[str, ...]]:
        async def main(peer: Peer) -> list[tuple[str, ...]]:
            made, caller = [], RecordClient(peer.caller_machine, CONTROL_UPDATE_CODEC, peer.address)
            for n, each in enumerate(delayed):
                peer.delayed[:] = [each]
                got = []
                for m in range(3):
                    record = Redirect(n * 10 + m, ())
                    try:
                        answer = await caller.call(record, WITHIN)
                        got.append("own" if answer == record else f"another's: {answer}")
                    except ConnectionFailed:
                        got.append("failed")
                    await trio.sleep(rest)
                made.append(tuple(got))
            return made

        return play(record_whole, record_answer, main)

    def test_an_answer_that_comes_late_after_each_byte(self) -> None:
        for pause in PAUSES:
            for rest in (0.0, 0.003, 0.02):
                for got in self.sweep(*(Delayed(cut, pause) for cut in range(self.SIZE)), rest=rest):
                    self.assertIn(got[0], ("own", "failed"))
                    self.assertEqual(got[1:], ("own", "own"), (pause, rest))

    def test_a_surplus_answer_is_known_by_its_number(self) -> None:
        for number in (0, 1, 2, 77):
            surplus = CONTROL_UPDATE_CODEC.pack(Redirect(999, ()), number)
            for got in self.sweep(*(Delayed(self.SIZE, 0.001, surplus) for _ in range(3)), rest=0.01)[1:]:
                self.assertEqual(got, ("own", "own", "own"), number)

    def test_a_part_of_a_surplus_answer(self) -> None:
        """The next call fails or gets its own answer: it never gets another's."""
        surplus = CONTROL_UPDATE_CODEC.pack(Redirect(999, ()), 77)
        for rest in (0.0, 0.01):
            for got in self.sweep(*(Delayed(self.SIZE, 0.001, surplus[:k]) for k in range(1, len(surplus))), rest=rest):
                self.assertEqual(set(got) - {"own", "failed"}, set())
                self.assertEqual(got[2], "own")


class Planted(unittest.TestCase):
    """Faults that the tests above find."""

    def finds(self, case: type[unittest.TestCase], test: str, patch: Any) -> None:
        with patch:
            result = unittest.TestResult()
            case(test).run(result)
        self.assertTrue(result.failures or result.errors, "nothing was found")

    def test_a_line_keeps_its_connection_after_a_call_was_given_up(self) -> None:
        true = PersistentCaller.close

        def close(line: PersistentCaller) -> None:
            if line.connection is None or line.connection.stream.readable():
                true(line)

        patch = unittest.mock.patch.object(PersistentCaller, "close", close)
        self.finds(Lines, "test_an_answer_that_comes_late_after_each_byte", patch)

    def test_a_line_keeps_a_connection_with_surplus_bytes(self) -> None:
        patch = unittest.mock.patch.object(Connection, "clean", lambda connection: True)
        self.finds(Lines, "test_surplus_bytes_behind_an_answer", patch)

    def test_the_number_of_a_record_is_not_compared(self) -> None:
        true = RecordClient.call

        async def call(caller: RecordClient, record: Any, timeout_seconds: float) -> Any:
            caller.number = -1 if caller.reader is None else caller.number
            caller.number = 0 if caller.number < 0 else caller.number - 1  # all calls bear one number
            return await true(caller, record, timeout_seconds)

        patch = unittest.mock.patch.object(RecordClient, "call", call)
        self.finds(Records, "test_a_surplus_answer_is_known_by_its_number", patch)


if __name__ == "__main__":
    unittest.main()
