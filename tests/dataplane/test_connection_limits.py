"""Limits of the configuration at kept connections: those in force when a request's head is complete bind it.

Guards against a 413 for a request that the configuration in force allows, on a connection that had rested.
"""

import unittest
from dataclasses import replace

import trio
from loguru import logger

from rowanshift.dataplane.frontend import LIMITS_CHECK_SECONDS, MAX_LINGER_SECONDS
from tests.support.exchange_rig import Client, ReceivedResponse, Rig, play, request_bytes

KIND = "idempotent"
SMALL_BYTES, LARGE_BYTES, BODY_BYTES = 64 << 10, 1 << 20, 200_000
SHORT_SECONDS, LONG_SECONDS = 5.0, 15.0
REST_SECONDS = 1.0


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def set_limits(rig: Rig, **limits: float) -> None:
    rig.state.routing_table = replace(rig.state.routing_table, **limits)


class BodyLimit(unittest.TestCase):
    def asked(self, before: int, after: int, change_after_head: bool = False) -> ReceivedResponse:
        """The response to a long request on a connection that has rested over a change of the limit."""

        async def main(rig: Rig) -> ReceivedResponse:
            set_limits(rig, max_body_bytes=before)
            client = Client(rig)
            await client.ask(KIND, rig.next_id())
            await trio.sleep(REST_SECONDS)
            data = request_bytes(KIND, rig.next_id(), body="x" * BODY_BYTES)
            if change_after_head:
                await client.send(data[:1000])
                await trio.sleep(REST_SECONDS)
            set_limits(rig, max_body_bytes=after)
            await client.send(data[1000 if change_after_head else 0 :])
            return await client.answer()

        return play(main)

    def test_a_raised_limit_holds_at_once(self) -> None:
        self.assertEqual(self.asked(SMALL_BYTES, LARGE_BYTES).status, 200)

    def test_a_lowered_limit_holds_at_once(self) -> None:
        self.assertEqual(self.asked(LARGE_BYTES, SMALL_BYTES).status, 413)

    def test_the_limit_at_the_end_of_the_head_binds_the_body(self) -> None:
        self.assertEqual(self.asked(LARGE_BYTES, SMALL_BYTES, change_after_head=True).status, 200)


class Rejections(unittest.TestCase):
    """A client that goes on sending behind a 413 reads it."""

    def sent_after_rejection(self, pause: float, pieces: int) -> tuple[int, int]:
        """How many pieces of a body that is too long a client could send, and the status that it then read."""

        async def main(rig: Rig) -> tuple[int, int]:
            set_limits(rig, max_body_bytes=SMALL_BYTES)
            client, count = Client(rig), 0
            data = request_bytes(KIND, rig.next_id(), body="x" * BODY_BYTES)
            await client.send(data[:1000])
            for _ in range(pieces):
                await trio.sleep(pause)
                try:
                    await client.send(b"x" * 1000)
                except OSError:
                    break
                count += 1
            return count, (await client.answer()).status

        return play(main)

    def test_input_is_read_until_a_pause(self) -> None:
        self.assertEqual(self.sent_after_rejection(0.3, 10), (10, 413))

    def test_input_is_not_read_without_end(self) -> None:
        count, _ = self.sent_after_rejection(0.3, 100)
        self.assertLessEqual(count, MAX_LINGER_SECONDS / 0.3 + 2)


class Timeouts(unittest.TestCase):
    def closed_after(self, sent: bytes, changed_after: float, name: str, before: float, after: float) -> float:
        """The seconds until a connection is closed on which ``sent`` has arrived, with a changed timeout."""

        async def main(rig: Rig) -> float:
            set_limits(rig, **{name: before})
            client = Client(rig)
            await client.ask(KIND, rig.next_id())
            began = rig.now()
            if sent:
                await client.send(sent)
            await trio.sleep(changed_after)
            set_limits(rig, **{name: after})
            while await client._more():
                pass
            return rig.now() - began

        return play(main)

    def test_idle_connections(self) -> None:
        raised = self.closed_after(b"", REST_SECONDS, "idle_timeout", SHORT_SECONDS, LONG_SECONDS)
        self.assertAlmostEqual(raised, LONG_SECONDS, delta=0.1)
        lowered = self.closed_after(b"", REST_SECONDS, "idle_timeout", LONG_SECONDS, SHORT_SECONDS)
        self.assertAlmostEqual(lowered, SHORT_SECONDS, delta=0.1)
        late = self.closed_after(b"", SHORT_SECONDS + REST_SECONDS, "idle_timeout", LONG_SECONDS, SHORT_SECONDS)
        self.assertLessEqual(late, SHORT_SECONDS + REST_SECONDS + LIMITS_CHECK_SECONDS + 0.1)

    def test_heads_that_come_slowly(self) -> None:
        raised = self.closed_after(b"POST /", REST_SECONDS, "header_timeout", 2.0, 4.0)
        self.assertAlmostEqual(raised, 4.5, delta=0.6)  # after the 408 the rest of the input is read for half a second
        lowered = self.closed_after(b"POST /", REST_SECONDS, "header_timeout", 4.0, 2.0)
        self.assertAlmostEqual(lowered, 2.5, delta=0.6)


if __name__ == "__main__":
    unittest.main()
