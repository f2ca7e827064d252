"""A call server that shuts down answers the calls it has read and refuses new ones."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from rowanshift.simulation.fleet import Fleet, play
from rowanshift.transport import call_server
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.call_server import CallServer
from rowanshift.transport.http_connection import Message
from rowanshift.transport.http_response import Response
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.transport.streams import connect, send_all

PORT = 700
IDLE_SHUTDOWN_SECONDS = 0.5  # maximum shutdown time of a server without open calls


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class SlowResource:
    """A resource that responds after ``seconds``; ``begun`` is set by its first call."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.calls = 0
        self.begun = trio.Event()

    async def call(self, message: Message) -> Response:
        self.calls += 1
        self.begun.set()
        await trio.sleep(self.seconds)
        return Response(200, b"{}")


class ServerCase(unittest.TestCase):
    """A ``CallServer`` on a machine of the virtual network, and its callers on another."""

    def play(self, main: Callable[["ServerCase"], Awaitable[None]], seconds: float) -> None:
        async def run(fleet: Fleet) -> None:
            self.fleet, self.machine = fleet, fleet.standing("called", 0)
            self.resource = SlowResource(seconds)
            self.server = CallServer({b"/slow": self.resource}, fleet.memory, 1 << 20)
            self.address = (self.machine.address, PORT)
            self.ended = trio.Event()
            fleet.nursery.start_soon(self.serve, fleet.nursery)
            await trio.sleep(0.1)
            await main()

        play(run)

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.server.serve(self.machine.listen(self.address, 64), nursery, trio.sleep)
        self.ended.set()

    async def ask(self, results: list[int | str]) -> None:
        try:
            answer = await call(
                self.fleet.outside, self.fleet.memory, self.address, b"GET", b"/slow", timeout_seconds=10.0
            )
            results.append(answer.status)
        except CallFailed as error:
            results.append(str(error))

    async def shut_down(self, timeout_seconds: float) -> float:
        """Shut the server down; returns the seconds that this took."""
        started = trio.current_time()
        await self.server.shut_down(timeout_seconds, trio.sleep)
        return trio.current_time() - started


class CallServerShutdown(ServerCase):
    def test_calls_that_were_read_are_answered_before_the_server_ends(self) -> None:
        async def main() -> None:
            results: list[int | str] = []
            self.fleet.nursery.start_soon(self.ask, results)
            await self.resource.begun.wait()
            elapsed = await self.shut_down(2.0)
            await trio.sleep(0.1)
            self.assertEqual(results, [200])
            self.assertTrue(0.9 < elapsed < 1.2, elapsed)

        self.play(main, 1.0)

    def test_a_call_that_is_not_answered_in_time_gets_a_504(self) -> None:
        async def main() -> None:
            results: list[int | str] = []
            self.fleet.nursery.start_soon(self.ask, results)
            await self.resource.begun.wait()
            elapsed = await self.shut_down(0.5)
            await trio.sleep(0.1)
            self.assertEqual(results, [504])  # a 503 would promise that the call was not executed
            self.assertLess(elapsed, 0.5 + 2 * call_server.LAST_WRITES_SECONDS)

        self.play(main, 30.0)

    def test_a_call_read_during_the_shutdown_is_refused_and_not_executed(self) -> None:
        async def main() -> None:
            results: list[int | str] = []
            self.fleet.nursery.start_soon(self.ask, results)
            await self.resource.begun.wait()
            stream = self.fleet.outside.stream()
            await connect(stream, self.address)
            await send_all(stream, b"GET /slow HTTP/1.1\r\nHost: a\r\n")  # incomplete so far
            await trio.sleep(0.1)
            self.fleet.nursery.start_soon(self.shut_down, 2.0)
            await trio.sleep(0.1)
            await send_all(stream, b"\r\n")
            await stream.wait_readable()
            space = bytearray(4096)
            response = bytes(space[: stream.recv_into(memoryview(space))])
            self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
            self.assertIn(b"Retry-After: 0.3\r\n", response)
            self.assertIn(b"Connection: close\r\n", response)
            await trio.sleep(1.0)
            self.assertEqual((results, self.resource.calls), ([200], 1))

        self.play(main, 1.0)

    def test_connections_in_the_backlog_are_accepted_and_the_listener_is_closed(self) -> None:
        async def main() -> None:
            results: list[int | str] = []
            for _ in range(3):
                self.fleet.nursery.start_soon(self.ask, results)
            self.machine.freeze()
            await trio.sleep(0.2)
            self.server.accept_scope.cancel()
            self.server.shutting_down = True
            self.machine.resume()
            await trio.sleep(1.0)
            self.assertEqual(results, [503] * 3)
            self.assertTrue(self.ended.is_set())
            await self.ask(results)
            self.assertNotIn(results[-1], (200, 503))  # the listener is closed

        self.play(main, 0.1)

    def test_idle_connections_do_not_delay_the_shutdown(self) -> None:
        async def main() -> None:
            stream = self.fleet.outside.stream()
            await connect(stream, self.address)
            await trio.sleep(0.1)
            self.assertLess(await self.shut_down(5.0), IDLE_SHUTDOWN_SECONDS)
            self.assertEqual(self.server.connection_count, 0)

        self.play(main, 0.1)

    def test_a_connection_closed_before_its_task_starts_is_not_logged(self) -> None:
        async def main() -> None:
            logged: list[str] = []
            sink = logger.add(logged.append, format="{message}")
            logger.enable("rowanshift")
            try:
                async with trio.open_nursery() as nursery:
                    server = CallServer({}, self.fleet.memory)
                    listener = SYSTEM_RUNTIME.listen(("127.0.0.1", 0), 4)
                    stream = SYSTEM_RUNTIME.stream()
                    await connect(stream, listener.sock.getsockname())
                    nursery.start_soon(server.serve, listener, nursery, trio.sleep)
                    await listener.wait()
                    server.accept_scope.cancel()
                    while not server.connection_count:
                        await trio.lowlevel.checkpoint()
                    server._close_idle(1)
                stream.close()
            finally:
                logger.disable("rowanshift")
                logger.remove(sink)
            self.assertEqual(logged, [])

        self.play(main, 0.1)

    def test_an_idle_connection_is_closed_for_a_new_call(self) -> None:
        async def main() -> None:
            for _ in range(call_server.MAX_CALLERS):
                await connect(self.fleet.outside.stream(), self.address)
            await trio.sleep(0.1)
            self.assertEqual(self.server.connection_count, call_server.MAX_CALLERS)
            results: list[int | str] = []
            await self.ask(results)
            self.assertEqual(results, [200])

        self.play(main, 0.1)


if __name__ == "__main__":
    unittest.main()
