"""Responses are never mixed up, whatever clients do on their connections: pipelining, surplus bytes, disconnecting."""

import unittest

import trio
from loguru import logger

from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.transport.streams import connect, send_all
from tests.support.exchange_case import breaches, outcome
from tests.support.exchange_rig import (
    CLIENT_DEADLINE_SECONDS,
    KINDS,
    REPEATABLE,
    AfterCut,
    Behaviour,
    Client,
    Rig,
    ServerRequest,
    body_for,
    complete_body,
    complete_response,
    head,
    play,
    request_bytes,
)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Pipelined(unittest.TestCase):
    """Two requests on one connection, the second sent before the first is answered."""

    def test_cut_at_each_byte(self) -> None:
        async def main(rig: Rig) -> list[str]:
            rig.request_count, wrong = 1000, []
            size = len(request_bytes("idempotent", "r1000"))
            for cut in range(1, 2 * size):
                first_id, second_id, client = rig.next_id(), rig.next_id(), Client(rig)
                data = request_bytes("idempotent", first_id) + request_bytes("stream", second_id)
                rig.behaviours[:] = [Behaviour(wait=0.02)]
                await client.send(data[:cut])
                await trio.sleep(0.005)
                await client.send(data[cut:])
                for kind, id in (("idempotent", first_id), ("stream", second_id)):
                    got = await client.answer()
                    found = [breach for breach in breaches(rig, kind, id, got) if "after the response" not in breach]
                    if found or outcome(kind, id, got) != "success":
                        wrong.append(f"{cut}: {id} {got} {found}")
                if rest := await client.read_unrequested(0.01):
                    wrong.append(f"{cut}: {rest}")
                client.close()
            return wrong

        self.assertEqual(play(main)[:3], [])

    def test_surplus_bytes_that_are_no_request(self) -> None:
        for garbage in (b"\x00\x01\x02\x03", b"\r\n\r\nnonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"GET"):

            async def main(rig: Rig, garbage: bytes = garbage) -> list[str]:
                wrong = []
                for kind in KINDS:
                    for after in (0.0, 0.0005, 0.001, 0.01, 0.025):
                        id, client = rig.next_id(), Client(rig)
                        rig.behaviours[:] = [Behaviour(wait=0.02)]
                        await client.send(request_bytes(kind, id) + (b"" if after else garbage))
                        if after:
                            await trio.sleep(after)
                            await client.send(garbage)
                        got = await client.answer()
                        got.trailing = b""
                        found = breaches(rig, kind, id, got)
                        if found or outcome(kind, id, got) != "success":
                            wrong.append(f"{kind} {after}: {got} {found}")
                        rest = await client.read_unrequested(0.1)
                        if rest and not rest.startswith(b"HTTP/1.1 400 "):
                            wrong.append(f"{kind} {after}: {rest!r}")
                        client.close()
                return wrong

            self.assertEqual(play(main), [], garbage)

    def test_a_pipelined_request_that_expects_100_continue(self) -> None:
        """100 Continue for the second request must not precede the response to the first."""

        async def main(rig: Rig) -> tuple[bytes, bytes]:
            first_id, second_id, client = rig.next_id(), rig.next_id(), Client(rig)
            second = request_bytes("non_idempotent", second_id, CLIENT_DEADLINE_SECONDS, "POST", "Expect: 100-continue")
            cut = second.index(b"\r\n\r\n") + 4
            rig.behaviours[:] = [Behaviour(wait=0.02)]
            await client.send(request_bytes("idempotent", first_id) + second[:cut])
            first = await client.read_unrequested(0.5)
            client.data.clear()
            await client.send(second[cut:])
            return first, await client.read_unrequested(0.5)

        first, second = play(main)
        self.assertTrue(first.startswith(b"HTTP/1.1 200 "), first)
        self.assertTrue(first.endswith(body_for("r1") + b"HTTP/1.1 100 Continue\r\n\r\n"), first)
        self.assertTrue(second.startswith(b"HTTP/1.1 200 ") and second.endswith(body_for("r2")), second)


class Framing(unittest.TestCase):
    """Responses whose end a client could misjudge."""

    def test_no_content(self) -> None:
        """No byte follows the head of a 204."""

        async def main(rig: Rig) -> list[str]:
            wrong = []
            for kind in KINDS:
                for more in ((), (b"Content-Length: 0",)):
                    id, client = rig.next_id(), Client(rig)
                    rig.behaviours[:] = [Behaviour(lambda asked, more=more: head(asked, 204, *more))]
                    got = await client.ask(kind, id)
                    rest = await client.read_unrequested(0.1)
                    if got.status != 204 or got.trailing or rest or b"transfer-encoding" in got.fields:
                        wrong.append(f"{kind}: {got} {rest!r}")
                    client.close()
            return wrong

        self.assertEqual(play(main), [])

    def test_a_truncated_stream_to_an_http_1_0_client(self) -> None:
        """In HTTP/1.0 a stream ends with the connection, so a truncated one must end with a reset."""

        async def main(rig: Rig) -> list[str]:
            wrong = []
            size = len(complete_response(ServerRequest("r1", {}, b"", "stream")))
            for cut in range(100, size + 1):
                id, client = rig.next_id(), Client(rig)
                rig.behaviours[:] = [Behaviour(cut=cut, then=AfterCut.RESET)] if cut < size else []
                request = request_bytes("stream", id).replace(b" HTTP/1.1", b" HTTP/1.0", 1)
                await client.send(request)
                data, reset = bytearray(), False
                try:
                    while True:
                        space = bytearray(4096)
                        await client.stream.wait_readable()
                        if not (count := client.stream.recv_into(memoryview(space))):
                            break
                        data += space[:count]
                except OSError:
                    reset = True
                complete = bytes(data).endswith(complete_body("stream", id))
                if b" 200 " in data[:20] and reset == complete:
                    wrong.append(f"{cut} of {size}: reset {reset}, {bytes(data)!r}")
                client.close()
            return wrong

        self.assertEqual(play(main)[:2], [])


class Resets(unittest.TestCase):
    def test_a_real_socket(self) -> None:
        """The peer of a real connection sees an error instead of a regular end."""

        async def main() -> None:
            listener = SYSTEM_RUNTIME.listen(("127.0.0.1", 0), 1)
            client_end = SYSTEM_RUNTIME.stream()
            await connect(client_end, listener.sock.getsockname())
            await listener.wait()
            server_end = listener.accept()
            await send_all(server_end, b"a part")
            server_end.reset()
            self.assertTrue(server_end.closed())
            await client_end.wait_readable()
            with self.assertRaises(ConnectionResetError):
                while client_end.recv_into(memoryview(bytearray(100))):
                    await client_end.wait_readable()
            client_end.close()
            listener.close()

        trio.run(main)


class DisconnectingClients(unittest.TestCase):
    """A client that disconnects at any moment of its exchange does not affect others."""

    def test_the_next_request_on_the_same_server_connection(self) -> None:
        async def main(rig: Rig) -> list[str]:
            wrong = []
            for step in range(60):
                for kind in KINDS:
                    gone_id, id, client, other = rig.next_id(), rig.next_id(), Client(rig), Client(rig)
                    rig.behaviours[:] = [Behaviour(cut=100, pause=0.003)]
                    await client.send(request_bytes(kind, gone_id))
                    await trio.sleep(step * 0.0002)
                    client.close()
                    got = await other.ask(kind, id)
                    found = breaches(rig, kind, id, got)
                    if found or outcome(kind, id, got) != "success":
                        wrong.append(f"{kind} {step}: {got} {found}")
                    if kind not in REPEATABLE and rig.runs[gone_id] > 1:
                        wrong.append(f"{gone_id} ran {rig.runs[gone_id]} times")
                    other.close()
                    rig.behaviours.clear()
                    await trio.sleep(0.05)
            return wrong

        self.assertEqual(play(main, servers=1)[:3], [])


if __name__ == "__main__":
    unittest.main()
