"""Calls between processes and to the platform, servers and stores: a response that arrives after its call timed out is
never taken as the response to the next call. Tested at every byte boundary."""

import unittest
import unittest.mock
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from loguru import logger

from rowanshift.simulation.clock import DeterministicScheduling, VirtualClock
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
TIMEOUT_SECONDS = 0.05  # timeout of a call
BODY = b"{}"


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


@dataclass(slots=True)
class Delayed:
    """A response that stops after ``cut`` bytes; the rest and ``surplus`` follow after ``pause`` seconds."""

    cut: int
    pause: float
    surplus: bytes = b""
    then_reset: bool = False


def http_answer(request: bytes) -> bytes:
    """A response whose body is the target of the call, which contains the call's number."""
    return Response(200, request.split(b" ")[1]).encode(True)


def record_answer(request: bytes) -> bytes:
    """The same record, with the number of its call."""
    return request


class Peer:
    """A peer that answers each call on each connection; ``delayed`` says how the first ones are answered."""

    def __init__(
        self, nursery: trio.Nursery, network: Network, is_complete: Callable[[bytes], bool], answer: Any
    ) -> None:
        self.nursery, self.is_complete, self.answer = nursery, is_complete, answer
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
                while not self.is_complete(data):
                    await stream.wait_readable()
                    space = bytearray(4096)
                    if not (count := stream.recv_into(memoryview(space))):
                        return
                    data += bytes(space[:count])
                answer = self.answer(data)
                delayed = self.delayed.pop(0) if self.delayed else Delayed(len(answer), 0.0)
                await send_all(stream, answer[: delayed.cut])
                await trio.sleep(delayed.pause)
                if delayed.then_reset:
                    return stream.drop(True)
                await send_all(stream, answer[delayed.cut :] + delayed.surplus)
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            if not stream.closed():
                stream.close()


def http_request_is_complete(data: bytes) -> bool:
    return data.endswith(b"\r\n\r\n")


def record_is_complete(data: bytes) -> bool:
    return len(data) >= FRAME_HEADER.size and len(data) >= FRAME_HEADER.size + FRAME_HEADER.unpack_from(data)[-1]


def play(is_complete: Any, answer: Any, main: Callable[[Peer], Awaitable[Any]]) -> Any:
    clock = VirtualClock()

    async def run() -> Any:
        async with trio.open_nursery() as nursery:
            peer = Peer(nursery, Network(clock, "calls", Paths(jitter=0.0, partial=0.0)), is_complete, answer)
            nursery.start_soon(peer.run)
            await trio.sleep(0.01)
            got = await main(peer)
            nursery.cancel_scope.cancel()
        return got

    with DeterministicScheduling("calls"):
        return trio.run(run, clock=clock)


PAUSE_SECONDS = (
    TIMEOUT_SECONDS - 0.002,
    TIMEOUT_SECONDS - 0.001,
    TIMEOUT_SECONDS - 0.0004,
    TIMEOUT_SECONDS,
    TIMEOUT_SECONDS + 0.0004,
    TIMEOUT_SECONDS + 0.01,
)


class PersistentCalls(unittest.TestCase):
    """``PersistentCaller``: one call after another on one connection."""

    async def result(self, caller: PersistentCaller, target: bytes) -> str:
        try:
            message = await caller.call(b"GET", target, timeout_seconds=TIMEOUT_SECONDS)
        except CallFailed as failure:
            return f"failed, sent {failure.sent}"
        return "own" if message.body == target else f"another's: {message.body!r}"

    def sweep(self, *delayed: Delayed, rest: float = 0.0) -> list[tuple[str, ...]]:
        """The results of three consecutive calls, for each way in which the first is answered."""

        async def main(peer: Peer) -> list[tuple[str, ...]]:
            results = []
            for n, each in enumerate(delayed):
                caller = PersistentCaller(peer.caller_machine, MemoryBudget(64), peer.address)
                peer.delayed[:] = [each]
                got = []
                for m in range(3):
                    got.append(await self.result(caller, b"/%d/%d" % (n, m)))
                    await trio.sleep(rest)
                results.append(tuple(got))
                caller.close()
            return results

        return play(http_request_is_complete, http_answer, main)

    SIZE = len(http_answer(b"GET /0/0 HTTP/1.1"))

    def test_a_response_delayed_after_each_byte(self) -> None:
        for pause in PAUSE_SECONDS:
            for rest in (0.0, 0.003, 0.02):
                for got in self.sweep(*(Delayed(cut, pause) for cut in range(self.SIZE)), rest=rest):
                    self.assertIn(got[0], ("own", "failed, sent True"))
                    self.assertEqual(got[1:], ("own", "own"), (pause, rest))

    def test_a_connection_that_breaks_after_each_byte(self) -> None:
        broken = [Delayed(cut, 0.001, then_reset=True) for cut in range(self.SIZE)]
        self.assertEqual(set(self.sweep(*broken, rest=0.01)), {("failed, sent True", "own", "own")})

    def test_surplus_bytes_after_a_response(self) -> None:
        surplus = http_answer(b"GET /another HTTP/1.1")
        results = self.sweep(*(Delayed(self.SIZE - 1, 0.001, surplus[:k]) for k in range(1, len(surplus) + 1)))
        self.assertEqual(set(results), {("own", "own", "own")})

    def test_surplus_bytes_before_the_next_call(self) -> None:
        surplus = http_answer(b"GET /another HTTP/1.1")
        delayed = [Delayed(self.SIZE + 9, pause, surplus) for pause in (0.001, 0.002, 0.004)]
        self.assertEqual(set(self.sweep(*delayed, rest=0.01)), {("own", "own", "own")})


class Calls(unittest.TestCase):
    """``call``: each call on its own connection."""

    def test_a_response_delayed_after_each_byte(self) -> None:
        async def main(peer: Peer) -> list[str]:
            wrong, memory = [], MemoryBudget(64)
            for pause in PAUSE_SECONDS:
                for cut in range(PersistentCalls.SIZE):
                    peer.delayed[:] = [Delayed(cut, pause)]
                    for target in (b"/0/0", b"/0/1"):
                        try:
                            got = await call(
                                peer.caller_machine,
                                memory,
                                peer.address,
                                b"GET",
                                target,
                                timeout_seconds=TIMEOUT_SECONDS,
                            )
                            if got.body != target:
                                wrong.append(f"{cut} {pause}: {got}")
                        except CallFailed:
                            if target == b"/0/1":
                                wrong.append(f"{cut} {pause}: the second failed")
            return wrong

        self.assertEqual(play(http_request_is_complete, http_answer, main), [])


class Records(unittest.TestCase):
    """``RecordClient``: records between processes, each answered with its number."""

    SIZE = len(CONTROL_UPDATE_CODEC.pack(Redirect(1, ()), 1))

    def sweep(self, *delayed: Delayed, rest: float = 0.0) -> list[tuple[str, ...]]:
        async def main(peer: Peer) -> list[tuple[str, ...]]:
            results, caller = [], RecordClient(peer.caller_machine, CONTROL_UPDATE_CODEC, peer.address)
            for n, each in enumerate(delayed):
                peer.delayed[:] = [each]
                got = []
                for m in range(3):
                    record = Redirect(n * 10 + m, ())
                    try:
                        answer = await caller.call(record, TIMEOUT_SECONDS)
                        got.append("own" if answer == record else f"another's: {answer}")
                    except ConnectionFailed:
                        got.append("failed")
                    await trio.sleep(rest)
                results.append(tuple(got))
            return results

        return play(record_is_complete, record_answer, main)

    def test_a_response_delayed_after_each_byte(self) -> None:
        for pause in PAUSE_SECONDS:
            for rest in (0.0, 0.003, 0.02):
                for got in self.sweep(*(Delayed(cut, pause) for cut in range(self.SIZE)), rest=rest):
                    self.assertIn(got[0], ("own", "failed"))
                    self.assertEqual(got[1:], ("own", "own"), (pause, rest))

    def test_a_surplus_response_is_recognized_by_its_number(self) -> None:
        for number in (0, 1, 2, 77):
            surplus = CONTROL_UPDATE_CODEC.pack(Redirect(999, ()), number)
            for got in self.sweep(*(Delayed(self.SIZE, 0.001, surplus) for _ in range(3)), rest=0.01)[1:]:
                self.assertEqual(got, ("own", "own", "own"), number)

    def test_a_part_of_a_surplus_response(self) -> None:
        """The next call fails or gets its own response, never that of another call."""
        surplus = CONTROL_UPDATE_CODEC.pack(Redirect(999, ()), 77)
        for rest in (0.0, 0.01):
            for got in self.sweep(*(Delayed(self.SIZE, 0.001, surplus[:k]) for k in range(1, len(surplus))), rest=rest):
                self.assertEqual(set(got) - {"own", "failed"}, set())
                self.assertEqual(got[2], "own")


class InjectedFaults(unittest.TestCase):
    """Injected faults that the tests above must find."""

    def assert_found(self, case: type[unittest.TestCase], test: str, patch: Any) -> None:
        with patch:
            result = unittest.TestResult()
            case(test).run(result)
        self.assertTrue(result.failures or result.errors, "the test did not find the fault")

    def test_a_connection_is_kept_after_a_call_timed_out(self) -> None:
        original = PersistentCaller.close

        def close(caller: PersistentCaller) -> None:
            if caller.connection is None or caller.connection.stream.readable():
                original(caller)

        patch = unittest.mock.patch.object(PersistentCaller, "close", close)
        self.assert_found(PersistentCalls, "test_a_response_delayed_after_each_byte", patch)

    def test_a_connection_with_surplus_bytes_is_kept(self) -> None:
        patch = unittest.mock.patch.object(Connection, "clean", lambda connection: True)
        self.assert_found(PersistentCalls, "test_surplus_bytes_after_a_response", patch)

    def test_the_number_of_a_response_is_not_compared(self) -> None:
        original = RecordClient.call

        async def call(caller: RecordClient, record: Any, timeout_seconds: float) -> Any:
            caller.number = -1 if caller.reader is None else caller.number
            caller.number = 0 if caller.number < 0 else caller.number - 1  # all calls get the same number
            return await original(caller, record, timeout_seconds)

        patch = unittest.mock.patch.object(RecordClient, "call", call)
        self.assert_found(Records, "test_a_surplus_response_is_recognized_by_its_number", patch)


if __name__ == "__main__":
    unittest.main()
