"""HEAD, whose responses end with their head whatever its fields say, and statuses without a body.

Guards against a 504 at the route's timeout for a HEAD that its server answered at once.
"""

import unittest

from loguru import logger

from tests.support.exchange_rig import Behaviour, Client, Rig, ServerRequest, head, play, request_bytes

AT_ONCE_SECONDS = 0.3
FRAMINGS = ((b"Content-Length: 1234567",), (b"Transfer-Encoding: chunked",), ())


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Head(unittest.TestCase):
    def received(self, kind: str, method: str, status: int, framing: tuple[bytes, ...]) -> tuple[bytes, bytes]:
        """All bytes that a client got for two requests on one connection, the second of them a regular one."""

        async def main(rig: Rig) -> tuple[bytes, bytes]:
            def answer(asked: ServerRequest) -> bytes:
                return head(asked, status, *framing)

            client, id = Client(rig), rig.next_id()
            rig.behaviours[:] = [Behaviour(answer) for _ in rig.servers]
            began = rig.now()
            await client.send(request_bytes(kind, id, 4.0, method))
            while b"\r\n\r\n" not in client.data and await client._more():
                pass
            self.assertLess(rig.now() - began, AT_ONCE_SECONDS, (kind, method, status, framing))
            first = await client.read_unrequested(0.5)
            client.data.clear()
            rig.behaviours.clear()
            second = await client.ask("idempotent", rig.next_id())
            return first, second.body

        return play(main)

    def test_responses_to_head(self) -> None:
        for kind in ("idempotent", "non_idempotent", "stream"):
            for status in (200, 404, 500):
                for framing in FRAMINGS:
                    first, second = self.received(kind, "HEAD", status, framing)
                    self.assertEqual(first[9:12], b"%d" % status, (kind, framing))
                    self.assertTrue(first.endswith(b"\r\n\r\n"), first)
                    self.assertEqual(first.count(b"\r\n\r\n"), 1)
                    self.assertEqual(b"Content-Length: 1234567" in first, bool(framing) and b"1234567" in framing[0])
                    self.assertTrue(second.startswith(b"body of "))

    def test_statuses_without_a_body(self) -> None:
        for status in (204, 304):
            for framing in ((), (b"Content-Length: 1234567",))[: 1 + (status == 304)]:
                first, second = self.received("idempotent", "POST", status, framing)
                self.assertEqual(first[9:12], b"%d" % status)
                self.assertEqual(first.count(b"\r\n\r\n"), 1)
                self.assertTrue(second.startswith(b"body of "))

    def test_a_refusal_of_head_has_no_body(self) -> None:
        async def main(rig: Rig) -> bytes:
            client = Client(rig)
            await client.send(request_bytes("none", rig.next_id(), 4.0, "HEAD"))
            return await client.read_unrequested(0.5)

        got = play(main)
        self.assertEqual(got[9:12], b"404")
        self.assertTrue(got.endswith(b"\r\n\r\n"), got)

    def test_bytes_behind_a_response_to_head_reach_no_client(self) -> None:
        async def main(rig: Rig) -> tuple[bytes, bytes]:
            client, id = Client(rig), rig.next_id()
            rig.behaviours[:] = [Behaviour(lambda asked: head(asked, 200, b"Content-Length: 4") + b"more")]
            await client.send(request_bytes("idempotent", id, 4.0, "HEAD"))
            first = await client.read_unrequested(0.5)
            client.data.clear()
            return first, (await client.ask("idempotent", rig.next_id())).body

        first, second = play(main)
        self.assertTrue(first.endswith(b"\r\n\r\n"), first)
        self.assertTrue(second.startswith(b"body of "))


if __name__ == "__main__":
    unittest.main()
