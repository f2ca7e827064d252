"""What a client does on its connection never mixes answers: pipelining, surplus bytes, HTTP/1.0, signals."""

import unittest

import trio
from loguru import logger

from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.transport.streams import connect, send_all
from tests.support.exchange_case import breaches, outcome
from tests.support.exchange_rig import (
    KINDS,
    REPEATABLE,
    WITHIN,
    Asked,
    Behaviour,
    Client,
    Rig,
    Then,
    body_of,
    head,
    play,
    request_bytes,
    whole_answer,
    whole_body,
)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Pipelined(unittest.TestCase):
    """Two requests on one connection, the second begun before the first is answered."""

    def test_cut_at_each_byte(self) -> None:
        async def main(rig: Rig) -> list[str]:
            rig.asked, wrong = 1000, []
            size = len(request_bytes("idempotent", "r1000"))
            for cut in range(1, 2 * size):
                one, other, client = rig.next_id(), rig.next_id(), Client(rig)
                data = request_bytes("idempotent", one) + request_bytes("stream", other)
                rig.behaviours[:] = [Behaviour(wait=0.02)]
                await client.send(data[:cut])
                await trio.sleep(0.005)
                await client.send(data[cut:])
                for kind, id in (("idempotent", one), ("stream", other)):
                    got = await client.answer()
                    found = [breach for breach in breaches(rig, kind, id, got) if "after the answer" not in breach]
                    if found or outcome(kind, id, got) != "success":
                        wrong.append(f"{cut}: {id} {got} {found}")
                if rest := await client.leftover(0.01):
                    wrong.append(f"{cut}: {rest}")
                client.close()
            return wrong

        self.assertEqual(play(main)[:3], [])

    def test_surplus_bytes_that_are_no_request(self) -> None:
        for junk in (b"\x00\x01\x02\x03", b"\r\n\r\nnonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"GET"):

            async def main(rig: Rig, junk: bytes = junk) -> list[str]:
                wrong = []
                for kind in KINDS:
                    for after in (0.0, 0.0005, 0.001, 0.01, 0.025):
                        id, client = rig.next_id(), Client(rig)
                        rig.behaviours[:] = [Behaviour(wait=0.02)]
                        await client.send(request_bytes(kind, id) + (b"" if after else junk))
                        if after:
                            await trio.sleep(after)
                            await client.send(junk)
                        got = await client.answer()
                        got.rest = b""
                        found = breaches(rig, kind, id, got)
                        if found or outcome(kind, id, got) != "success":
                            wrong.append(f"{kind} {after}: {got} {found}")
                        rest = await client.leftover(0.1)
                        if rest and not rest.startswith(b"HTTP/1.1 400 "):
                            wrong.append(f"{kind} {after}: {rest!r}")
                        client.close()
                return wrong

            self.assertEqual(play(main), [], junk)

    def test_a_second_request_that_waits_for_leave(self) -> None:
        """100 Continue belongs to the second request: it must not stand before the answer to the first."""

        async def main(rig: Rig) -> tuple[bytes, bytes]:
            one, other, client = rig.next_id(), rig.next_id(), Client(rig)
            second = request_bytes("non_idempotent", other, WITHIN, "POST", "Expect: 100-continue")
            cut = second.index(b"\r\n\r\n") + 4
            rig.behaviours[:] = [Behaviour(wait=0.02)]
            await client.send(request_bytes("idempotent", one) + second[:cut])
            first = await client.leftover(0.5)
            client.data.clear()
            await client.send(second[cut:])
            return first, await client.leftover(0.5)

        first, second = play(main)
        self.assertTrue(first.startswith(b"HTTP/1.1 200 "), first)
        self.assertTrue(first.endswith(body_of("r1") + b"HTTP/1.1 100 Continue\r\n\r\n"), first)
        self.assertTrue(second.startswith(b"HTTP/1.1 200 ") and second.endswith(body_of("r2")), second)


class Framing(unittest.TestCase):
    """Answers whose end a client would see elsewhere than it is."""

    def test_no_content(self) -> None:
        """No byte follows the head of a 204."""

        async def main(rig: Rig) -> list[str]:
            wrong = []
            for kind in KINDS:
                for more in ((), (b"Content-Length: 0",)):
                    id, client = rig.next_id(), Client(rig)
                    rig.behaviours[:] = [Behaviour(lambda asked, more=more: head(asked, 204, *more))]
                    got = await client.ask(kind, id)
                    rest = await client.leftover(0.1)
                    if got.status != 204 or got.rest or rest or b"transfer-encoding" in got.fields:
                        wrong.append(f"{kind}: {got} {rest!r}")
                    client.close()
            return wrong

        self.assertEqual(play(main), [])

    def test_a_stream_to_an_old_client_that_breaks_off(self) -> None:
        """HTTP/1.0 ends a stream by the connection's end: one that is not whole must end by a reset."""

        async def main(rig: Rig) -> list[str]:
            wrong = []
            size = len(whole_answer(Asked("r1", {}, b"", "stream")))
            for cut in range(100, size + 1):
                id, client = rig.next_id(), Client(rig)
                rig.behaviours[:] = [Behaviour(cut=cut, then=Then.RESET)] if cut < size else []
                asked = request_bytes("stream", id).replace(b" HTTP/1.1", b" HTTP/1.0", 1)
                await client.send(asked)
                data, reset = bytearray(), False
                try:
                    while True:
                        space = bytearray(4096)
                        await client.stream.wait_readable()
                        if not (n := client.stream.recv_into(memoryview(space))):
                            break
                        data += space[:n]
                except OSError:
                    reset = True
                whole = bytes(data).endswith(whole_body("stream", id))
                if b" 200 " in data[:20] and reset == whole:
                    wrong.append(f"{cut} of {size}: reset {reset}, {bytes(data)!r}")
                client.close()
            return wrong

        self.assertEqual(play(main)[:2], [])


class Resets(unittest.TestCase):
    def test_a_real_socket(self) -> None:
        """The other side of a real connection sees an error, and not a regular end."""

        async def main() -> None:
            listener = SYSTEM_RUNTIME.listen(("127.0.0.1", 0), 1)
            near = SYSTEM_RUNTIME.stream()
            await connect(near, listener.sock.getsockname())
            await listener.wait()
            far = listener.accept()
            await send_all(far, b"a part")
            far.reset()
            self.assertTrue(far.closed())
            await near.wait_readable()
            with self.assertRaises(ConnectionResetError):
                while near.recv_into(memoryview(bytearray(100))):
                    await near.wait_readable()
            near.close()
            listener.close()

        trio.run(main)


class GoneClients(unittest.TestCase):
    """A client that goes at any moment of its exchange harms no other."""

    def test_the_next_on_the_same_server_connection(self) -> None:
        async def main(rig: Rig) -> list[str]:
            wrong = []
            for step in range(60):
                for kind in KINDS:
                    gone, id, client, other = rig.next_id(), rig.next_id(), Client(rig), Client(rig)
                    rig.behaviours[:] = [Behaviour(cut=100, pause=0.003)]
                    await client.send(request_bytes(kind, gone))
                    await trio.sleep(step * 0.0002)
                    client.close()
                    got = await other.ask(kind, id)
                    found = breaches(rig, kind, id, got)
                    if found or outcome(kind, id, got) != "success":
                        wrong.append(f"{kind} {step}: {got} {found}")
                    if kind not in REPEATABLE and rig.runs[gone] > 1:
                        wrong.append(f"{gone} ran {rig.runs[gone]} times")
                    other.close()
                    rig.behaviours.clear()
                    await trio.sleep(0.05)
            return wrong

        self.assertEqual(play(main, servers=1)[:3], [])


if __name__ == "__main__":
    unittest.main()
