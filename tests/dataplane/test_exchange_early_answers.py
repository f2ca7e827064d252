"""Servers that answer a long request before they have read it, or end its connection: the second table of
``docs/exchanges.md``. Guards against a 503 for a request that ran, and against running one twice."""

import unittest
from collections.abc import Callable

import trio
from loguru import logger

from rowanshift.dataplane.upstream import UpstreamPool
from tests.support.exchange_case import Case, Exchange, exchange, outcome
from tests.support.exchange_rig import (
    CLIENT_DEADLINE_SECONDS,
    KINDS,
    REPEATABLE,
    STREAM_KINDS,
    AfterCut,
    Behaviour,
    Client,
    Rig,
    ServerRequest,
    complete_response,
    plain,
    play,
    rejection,
    request_bytes,
)

WINDOW_BYTES = 2000  # a server that doesn't read holds the router up after so many
BODY = "".join(f"{number:08d}" for number in range(1000))  # several windows
READ_ON_SECONDS = 1.0
AT_ONCE_SECONDS = 0.3
NOT_REPEATABLE = tuple(kind for kind in KINDS if kind not in REPEATABLE)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class EarlyCase(Case):
    """Plays one long request whose first server does as told; the others answer regularly."""

    def result(self, kind: str, *behaviours: Behaviour, servers: int = 3) -> Exchange:
        async def main(rig: Rig) -> Exchange:
            free = rig.memory.available
            result = await exchange(rig, kind, *behaviours, body=BODY)
            await trio.sleep(2 * READ_ON_SECONDS)
            if rig.memory.available != free:
                result.breaches.append(f"memory: {free - rig.memory.available} bytes are still held")
            for id, body in rig.bodies_read_on.items():
                if not BODY.encode().startswith(body):
                    result.breaches.append(f"UNASKED: other bytes within the body of {id}")
            return result

        return play(main, servers, WINDOW_BYTES)

    def assert_result(self, result: Exchange, kind: str, wanted: str, attempts: int, kept: bool) -> None:
        got = (outcome(kind, result.id, result.got), result.attempts, result.connection_kept, result.breaches)
        self.assertEqual(got, (wanted, attempts, kept, []), (kind, result.got))


class EarlyAnswers(EarlyCase):
    """A complete response before the body is read; then the server reads on, closes, resets or stays silent."""

    ENDINGS = (
        Behaviour(early=0, read_on_after=READ_ON_SECONDS),
        Behaviour(early=0, then=AfterCut.CLOSE),
        Behaviour(early=0, then=AfterCut.RESET),
        Behaviour(early=0, read_on_after=1000.0),
        Behaviour(early=len(BODY) - 1, read_on_after=READ_ON_SECONDS),
    )

    def played(self, answer: Callable[[ServerRequest], bytes], runs: bool, kind: str) -> list[Exchange]:
        results = []
        for ending in self.ENDINGS:
            # after CLOSE and RESET a behaviour leaves out the last byte, which is of no response here
            padding = b"" if ending.then is AfterCut.GO_ON else b" "

            def padded(asked: ServerRequest, padding: bytes = padding) -> bytes:
                return answer(asked) + padding

            behaviour = Behaviour(
                padded,
                cut=100_000 if padding else None,
                then=ending.then,
                early=ending.early,
                runs=runs,
                read_on_after=ending.read_on_after,
            )
            results.append(self.result(kind, behaviour))
        return results

    def test_a_success_reaches_the_client_at_once_and_runs_once(self) -> None:
        for kind in KINDS:
            for ending, result in zip(self.ENDINGS, self.played(complete_response, True, kind), strict=True):
                self.assert_result(result, kind, "success", 1, kept=bool(ending.early))
                self.assertLess(result.got.at, AT_ONCE_SECONDS)

    def test_a_rejection_that_proves_that_it_has_not_run_is_followed_by_another_server(self) -> None:
        for status, *more in ((503, b"Not-Executed: 1"), (429, b"Not-Executed: 1"), (421,)):
            for kind in KINDS:
                for result in self.played(rejection(status, *more), False, kind):
                    self.assertEqual(outcome(kind, result.id, result.got), "success", (kind, status))
                    self.assertEqual((result.runs, result.breaches), (1, []))
                    self.assertLess(result.got.at, AT_ONCE_SECONDS)

    def test_an_error_is_relayed_or_retried_as_after_a_whole_request(self) -> None:
        for kind in KINDS:
            for result in self.played(rejection(500), True, kind):
                wanted = "success" if kind in REPEATABLE else "server 500"
                self.assertEqual(outcome(kind, result.id, result.got), wanted)
                self.assertEqual(result.breaches, [])
            for result in self.played(rejection(503), True, kind):
                wanted = "success" if kind in REPEATABLE else "own 502"
                self.assertEqual(outcome(kind, result.id, result.got), wanted)
                self.assertEqual(result.breaches, [])
            for result in self.played(rejection(413), True, kind):
                self.assertEqual(outcome(kind, result.id, result.got), "server 413")

    def test_a_response_that_breaks_off(self) -> None:
        for kind in KINDS:
            for then in (AfterCut.CLOSE, AfterCut.RESET):
                result = self.result(kind, Behaviour(early=0, cut=30, then=then))
                self.assert_result(
                    result, kind, "success" if kind in REPEATABLE else "own 502", 1 + (kind in REPEATABLE), kept=False
                )


class EarlyStreams(EarlyCase):
    """Events that a server sends while the body is still due."""

    def test_each_event_is_relayed_as_it_arrives(self) -> None:
        for kind in STREAM_KINDS:

            async def main(rig: Rig, kind: str = kind) -> tuple[float, str, bytes]:
                id, client = rig.next_id(), Client(rig)
                size = complete_response(ServerRequest(id, {}, b"", kind)).index(b"id: 2")
                rig.behaviours[:] = [Behaviour(early=100, cut=size, pause=1.0, read_on_after=0.0)]
                await client.send(request_bytes(kind, id, body=BODY))
                sent_at = rig.now()
                while b"id: 1" not in client.data:
                    await client._more()
                first_after = rig.now() - sent_at
                got = await client.answer()
                await trio.sleep(1.0)
                return first_after, outcome(kind, id, got), rig.bodies_read_on[id]

            first_after, got, body = play(main, 3, WINDOW_BYTES)
            self.assertLess(first_after, AT_ONCE_SECONDS)
            self.assertEqual(got, "success")
            self.assertTrue(BODY.encode().startswith(body))

    def test_the_body_is_written_while_the_response_is_read(self) -> None:
        """A server that reads on while it streams gets the whole body, and its connection is kept."""
        for kind in STREAM_KINDS:
            result = self.result(kind, Behaviour(early=4000))
            self.assertEqual(outcome(kind, result.id, result.got), "success")
            self.assertEqual((result.attempts, result.breaches), (1, []))


class EndsWithoutAnAnswer(EarlyCase):
    """The head is written, the body only in part, and no response comes."""

    def test_closed_or_reset(self) -> None:
        for kind in KINDS:
            for then in (AfterCut.CLOSE, AfterCut.RESET):
                result = self.result(kind, Behaviour(early=0, cut=0, then=then))
                wanted = "success" if kind in REPEATABLE else "own 502"
                self.assert_result(result, kind, wanted, 1 + (kind in REPEATABLE), kept=False)

    def test_the_deadline_passes(self) -> None:
        for kind in NOT_REPEATABLE:
            result = self.result(kind, Behaviour(early=0, cut=0, then=AfterCut.SILENCE))
            self.assert_result(result, kind, "own 504", 1, kept=False)
            self.assertGreater(result.got.at, CLIENT_DEADLINE_SECONDS - 0.1)

    def test_a_silent_server_is_left_for_another_if_that_is_allowed(self) -> None:
        for kind in REPEATABLE:
            result = self.result(kind, Behaviour(early=0, cut=0, then=AfterCut.SILENCE))
            self.assert_result(result, kind, "success", 2, kept=False)

    def test_a_server_that_reads_slowly_is_not_silent(self) -> None:
        async def main(rig: Rig) -> tuple[int, str]:
            id, client = rig.next_id(), Client(rig)
            rig.behaviours[:] = [Behaviour(early=0, cut=0, then=AfterCut.GO_ON, runs=True)]
            for server in rig.servers:
                server.bytes_per_read, server.read_pause = 1000, 0.4
            got = await client.ask("idempotent", id, body=BODY, within=8.0)
            return len(rig.arrivals[id]), outcome("idempotent", id, got)

        attempts, _ = play(main, 3, WINDOW_BYTES)
        self.assertEqual(attempts, 1)


class EndsByTheRouterSide(EarlyCase):
    """The client leaves, or the router does, while a part of the body is not written."""

    def left(self, leave: Callable[[Rig, Client], None], kind: str, then: AfterCut) -> tuple[Rig, Client, str]:
        async def main(rig: Rig) -> tuple[Rig, Client, str]:
            id, client = rig.next_id(), Client(rig)
            rig.behaviours[:] = [Behaviour(early=0, cut=0, then=then)]
            await client.send(request_bytes(kind, id, body=BODY))
            await trio.sleep(0.1)
            leave(rig, client)
            got = "" if client.stream.closed() else outcome(kind, id, await client.answer())
            await trio.sleep(1.0)
            return len(rig.arrivals[id]), got, [stream.peer.state for stream in rig.arrivals[id]]

        return play(main, 3, WINDOW_BYTES)

    def test_the_client_disconnects(self) -> None:
        """No other server gets the request, and its connection is closed."""
        for kind in KINDS:
            arrivals, _, states = self.left(lambda rig, client: client.close(), kind, AfterCut.SILENCE)
            self.assertEqual((arrivals, states), (1, ["closed"]), kind)

    def test_the_router_leaves(self) -> None:
        for kind in KINDS:
            arrivals, got, _ = self.left(lambda rig, client: rig.front.abandon_open_requests(), kind, AfterCut.SILENCE)
            self.assertEqual((arrivals, got), (1, "own 502"), kind)


class MemoryOfResponses(EarlyCase):
    """Bytes of a response that nobody gets don't stay counted in the memory for bodies."""

    def held_after(self, kind: str, behaviour: Behaviour, leave_after: float = 0.0) -> int:
        async def main(rig: Rig) -> int:
            free, client = rig.memory.available, Client(rig)
            rig.behaviours[:] = [behaviour]
            await client.send(request_bytes(kind, rig.next_id()))
            if leave_after:
                await trio.sleep(leave_after)
                client.close()
            else:
                await client.answer()
            await trio.sleep(5.0)
            client.close()
            await trio.sleep(5.0)
            return free - rig.memory.available

        return play(main)

    def test_of_another_request(self) -> None:
        for kind in KINDS:
            behaviour = Behaviour(lambda asked: complete_response(asked, "other"))
            self.assertEqual(self.held_after(kind, behaviour), 0, kind)

    def test_behind_a_complete_one(self) -> None:
        for kind in KINDS:
            surplus = plain(ServerRequest("other", {}, b"", kind))
            self.assertEqual(self.held_after(kind, Behaviour(surplus=surplus)), 0, kind)

    def test_of_a_client_that_left(self) -> None:
        for kind in KINDS:
            behaviour = Behaviour(wait=0.2, cut=150, pause=1.0)
            self.assertEqual(self.held_after(kind, behaviour, leave_after=0.19), 0, kind)


class EndedWhileIdle(EarlyCase):
    """A kept connection that its server has ended as the request is written: nothing can have reached the server."""

    def asked(self, kind: str, body: str, end: Callable[[object], None]) -> list:
        async def main(rig: Rig) -> list:
            results = []
            for _ in range(6):
                await exchange(rig, kind)  # leaves idle connections
                id, client = rig.next_id(), Client(rig)
                # the end of sending is under way while the request is written
                take_idle = rig.upstream.take_idle

                def take(pool: UpstreamPool, *arguments: object, take_idle=take_idle, rig=rig):
                    connection = take_idle(*arguments)
                    if connection is not None:
                        end(connection.http.stream.peer)
                    return connection

                rig.upstream.take_idle = take.__get__(rig.upstream)
                got = await client.ask(kind, id, body=body)
                rig.upstream.take_idle = take_idle
                results.append((outcome(kind, id, got), rig.runs[id]))
                client.close()
                await trio.sleep(5.0)
            return results

        return play(main, 2, WINDOW_BYTES)

    def test_a_closed_connection_makes_no_502(self) -> None:
        for kind in KINDS:
            for body in ("", BODY):
                self.assertEqual(self.asked(kind, body, lambda peer: peer.close()), [("success", 1)] * 6, (kind, body))

    def test_a_reset_alone_proves_nothing(self) -> None:
        for body in ("", BODY):
            results = self.asked("non_idempotent", body, lambda peer: peer.drop(True))
            self.assertIn(("own 502", 0), results)


if __name__ == "__main__":
    unittest.main()
