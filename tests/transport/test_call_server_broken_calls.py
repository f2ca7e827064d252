"""Calls that break off or are malformed: the server goes on serving, and a rejected caller reads why."""

import unittest

import trio
from loguru import logger
from test_call_server_shutdown import ServerCase

from rowanshift.transport.call_client import call
from rowanshift.transport.streams import connect, send_all

BODY = b"{}"
CALL = b"POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n%s\r\n" + BODY
CALLS = (CALL % b"", CALL % b"Expect: 100-continue\r\n", b"nonsense\r\n\r\n", CALL % b"Host: b\r\n")


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class BrokenCalls(ServerCase):
    """A connection that is reset at each step of a call, also before the server has read it."""

    async def reset_after(self, data: bytes, seconds: float, frozen: bool) -> None:
        stream = self.fleet.outside.stream()
        await connect(stream, self.address)
        await trio.sleep(0.01)
        if frozen:  # the server finds the call and the reset at the same time
            self.machine.freeze()
        await send_all(stream, data)
        await trio.sleep(seconds)
        stream.drop(True)
        await trio.sleep(0.01)
        if frozen:
            self.machine.resume()

    def test_a_reset_at_any_step_ends_nothing_but_its_connection(self) -> None:
        """Guards against the end of a core process, or of a router at its readiness port."""

        async def main() -> None:
            for data in CALLS:
                for size in range(0, len(data) + 1, 5):
                    for seconds in (0.0, 0.02):
                        for frozen in (False, True):
                            await self.reset_after(data[: size or len(data)], seconds, frozen)
            results: list[int | str] = []
            await self.ask(results)
            self.assertEqual(results, [200])
            self.assertEqual(self.server.connection_count, 0)

        self.play(main, 0.05)

    def test_a_caller_of_a_body_over_the_limit_reads_the_rejection(self) -> None:
        """Guards against a caller that learns nothing, since its long body is refused before it was written."""

        async def main() -> None:
            response = await call(
                self.fleet.outside,
                self.fleet.memory,
                self.address,
                b"POST",
                b"/slow",
                bytes(4 << 20),
                timeout_seconds=2.0,
            )
            self.assertEqual(response.status, 413)

        self.play(main, 0.05)


del ServerCase  # its subclass here is what is collected

if __name__ == "__main__":
    unittest.main()
