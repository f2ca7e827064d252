"""Several attempts at one request: after a server's silence, on stale connections, and of resumed streams."""

import unittest

import trio
from loguru import logger

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.server_exchange import ABANDON_CHECK_SECONDS, ServerConnection
from rowanshift.dataplane.silence_monitor import SERVER_SILENCE_SECONDS
from tests.support.exchange_case import Case, Exchange, breaches, exchange, outcome
from tests.support.exchange_rig import (
    CLIENT_DEADLINE_SECONDS,
    KINDS,
    REPEATABLE,
    AfterCut,
    Behaviour,
    Client,
    ReceivedResponse,
    Rig,
    ServerRequest,
    complete_response,
    play,
    rejection,
    request_bytes,
)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Forgotten(Case):
    """An idle connection whose server has lost its state: a request on it is answered with a reset."""

    def asked_on(self, kind: str, servers: int, window: int = 1 << 16) -> tuple[list, int]:
        """The results of requests after the first server lost its connections, and how many used such a connection."""

        async def main(rig: Rig) -> tuple[list, int]:
            results, stale_count = [], 0
            for _ in range(8):
                await exchange(rig, kind)  # leaves idle connections
                id, client = rig.next_id(), Client(rig)
                for stream in rig.servers[0].connections:
                    stream.drop(False)  # the router gets neither a FIN nor a reset
                rig.servers[0].connections.clear()
                sends = rig.upstream.requests_sent
                got = await client.ask(kind, id)
                stale_count += rig.upstream.requests_sent - sends > rig.runs[id]
                results.append((outcome(kind, id, got), rig.runs[id], breaches(rig, kind, id, got)))
                client.close()
                await trio.sleep(5.0)
            return results, stale_count

        return play(main, servers, window)

    def test_a_repeatable_request_goes_elsewhere(self) -> None:
        for kind in REPEATABLE:
            results, stale_count = self.asked_on(kind, 2)
            self.assertEqual(results, [("success", 1, [])] * 8)
            self.assertGreater(stale_count, 0)

    def test_another_request_is_not_sent_again_and_gets_a_502(self) -> None:
        for kind in ("non_idempotent", "stream"):
            results, stale_count = self.asked_on(kind, 2)
            self.assertEqual({each[0] for each in results}, {"success", "own 502"})
            self.assertEqual([each[2] for each in results], [[]] * 8)
            self.assertEqual(stale_count, sum(each[0] == "own 502" for each in results))

    def test_a_request_whose_head_was_not_written_completely_goes_elsewhere(self) -> None:
        for kind in KINDS:
            results, stale_count = self.asked_on(kind, 2, 40)
            self.assertEqual(results, [("success", 1, [])] * 8)
            self.assertGreater(stale_count, 0)


class OverdueWeights(Case):
    """A server whose weights become overdue while a request waits there, or while its connection is established."""

    RECEIVE_INTERVAL_SECONDS = 0.2  # interval of bytes that the server sends for other requests
    OVERDUE_AFTER_SECONDS = 0.8  # delay from the sending of the request

    def waited(self, kind: str, overdue: bool) -> tuple[str, float]:
        """The outcome of a request whose first server answers only other requests, and the seconds until it."""

        async def main(rig: Rig) -> tuple[str, float]:
            sent_at = rig.now()
            if overdue:
                rig.state.overdue_at = sent_at + self.OVERDUE_AFTER_SECONDS

            async def receive_bytes() -> None:
                while True:
                    for endpoint in rig.endpoints:
                        endpoint.on_bytes_received(rig.now())
                    await trio.sleep(self.RECEIVE_INTERVAL_SECONDS)

            rig.nursery.start_soon(receive_bytes)
            result = await exchange(rig, kind, Behaviour(then=AfterCut.SILENCE, cut=0))
            return outcome(kind, result.id, result.got), result.got.at

        return play(main, 2)

    def test_a_repeatable_request_goes_elsewhere_before_the_bound(self) -> None:
        for kind in REPEATABLE:
            how, took = self.waited(kind, overdue=True)
            self.assertEqual(how, "success")
            self.assertLess(took, self.OVERDUE_AFTER_SECONDS + ABANDON_CHECK_SECONDS + 0.1)

    def test_it_waits_on_while_the_weights_are_allowed(self) -> None:
        for kind in REPEATABLE:
            _, took = self.waited(kind, overdue=False)
            self.assertGreater(took, SERVER_SILENCE_SECONDS + ABANDON_CHECK_SECONDS)

    def test_another_request_is_never_sent_twice(self) -> None:
        how, _ = self.waited("non_idempotent", overdue=True)
        self.assertEqual(how, "own 504")

    def test_warnings_of_overdue_weights_are_rate_limited(self) -> None:
        async def main(rig: Rig) -> None:
            rig.state.overdue_at = rig.now()
            for _ in range(5):
                await exchange(rig, "stream")

        lines: list[str] = []
        sink = logger.add(lines.append, level="WARNING", format="{message}")
        logger.enable("rowanshift")
        try:
            play(main, 2)
        finally:
            logger.disable("rowanshift")
            logger.remove(sink)
        found = [line for line in lines if "event=begun_on_older_weights" in line]
        self.assertEqual(len(found), 1)  # all five requests are within the minimum interval between warnings
        self.assertRegex(found[0], r"request=r1 server=s\d model= version=0 lacks_for=0\.0")

    def test_the_choice_is_checked_again_once_the_connection_is_up(self) -> None:
        async def main(rig: Rig) -> list[tuple[str, bool]]:
            rig.endpoints[1].versions = {"": 2}
            connect = rig.upstream.connect

            async def connect_then_raise_version(endpoint: Endpoint, deadline: float) -> ServerConnection:
                connection = await connect(endpoint, deadline)
                rig.state.least_version = 2
                return connection

            rig.upstream.connect = connect_then_raise_version
            results = []
            for _ in range(4):
                result = await exchange(rig, "non_idempotent")
                ran_at_first = any(end in rig.servers[0].connections for end in rig.arrivals[result.id])
                results.append((outcome("non_idempotent", result.id, result.got), ran_at_first))
                rig.close_idle_connections()
                rig.state.least_version = 0
            return results

        self.assertEqual(play(main, 2), [("success", False)] * 4)


class Silence(Case):
    """A silent server is abandoned only if another server is certainly available."""

    def result(self, kind: str, servers: int, tokens: int | None, *behaviours: Behaviour) -> tuple[str, float, int]:
        """The outcome, the seconds until it, and the number of servers that ran the request."""

        async def main(rig: Rig) -> Exchange:
            rig.retry_budget.tokens = tokens
            return await exchange(rig, kind, *behaviours)

        result = play(main, servers)
        self.assertEqual(result.breaches, [])
        return outcome(kind, result.id, result.got), result.got.at, result.runs

    def test_no_other_server_is_available(self) -> None:
        for kind in REPEATABLE:
            got, at, runs = self.result(kind, 1, None, Behaviour(wait=3.0))
            self.assertEqual((got, runs), ("success", 1), f"{kind} after {at} s")

    def test_the_budget_grants_no_attempt(self) -> None:
        for kind in REPEATABLE:
            got, at, runs = self.result(kind, 3, 0, Behaviour(wait=3.0))
            self.assertEqual((got, runs), ("success", 1), f"{kind} after {at} s")

    def test_another_server_is_available(self) -> None:
        for kind in REPEATABLE:
            got, at, runs = self.result(kind, 2, 1, Behaviour(then=AfterCut.SILENCE, cut=0))
            self.assertEqual((got, runs), ("success", 2), f"{kind} after {at} s")
            self.assertLess(at, 2.5)

    def test_another_server_becomes_available_meanwhile(self) -> None:
        async def main(rig: Rig) -> tuple[str, float]:
            for endpoint in rig.endpoints:
                endpoint.backed_off_until = rig.now() + 2.6
            rig.endpoints[0].backed_off_until = 0.0
            result = await exchange(rig, "idempotent", Behaviour(then=AfterCut.SILENCE, cut=0))
            return outcome("idempotent", result.id, result.got), result.got.at

        got, at = play(main, 2)
        self.assertEqual(got, "success")
        self.assertTrue(2.5 < at < 3.5, at)

    def test_a_request_that_may_not_be_repeated_waits(self) -> None:
        for kind in ("non_idempotent", "stream"):
            got, at, runs = self.result(kind, 3, None, Behaviour(wait=3.0))
            self.assertEqual((got, runs), ("success", 1), f"{kind} after {at} s")

    def test_a_pause_within_a_response_body(self) -> None:
        size = len(complete_response(ServerRequest("r1", {}, b"", "idempotent")))
        for cut in range(size - 10, size):
            paused = Behaviour(cut=cut, pause=2.5)
            got, at, runs = self.result("idempotent", 3, None, paused)
            self.assertEqual((got, runs), ("success", 2 if cut == size - 10 else 1), f"{cut} of {size}, after {at} s")

    def test_a_pause_between_events_with_no_other_server(self) -> None:
        size = len(complete_response(ServerRequest("r1", {}, b"", "resumable")))
        for cut in range(0, size, 5):
            got, at, runs = self.result("resumable", 1, None, Behaviour(cut=cut, pause=2.5))
            self.assertEqual((got, runs), ("success", 1), f"{cut} of {size}, after {at} s")

    def test_a_server_that_was_silent_before_is_left_as_soon(self) -> None:
        """The silence counts from the server's last byte, also for a request that is sent during it."""

        async def main(rig: Rig) -> float:
            rig.behaviours[:] = [Behaviour(then=AfterCut.SILENCE, cut=0), Behaviour(then=AfterCut.SILENCE, cut=0)]
            first, second = Client(rig), Client(rig)
            rig.endpoints[1].versions = {"": -1}  # it takes no requests yet
            began = rig.now()
            await first.send(request_bytes("non_idempotent", rig.next_id()))
            await trio.sleep(0.7)  # later, no new request would go to the silent server
            await second.send(request_bytes("idempotent", rig.next_id()))
            await trio.sleep(0.1)
            rig.endpoints[1].versions = {"": 0}
            got = await second.answer()
            self.assertEqual(got.status, 200)
            return rig.now() - began

        took = play(main, 2)
        self.assertLess(took, SERVER_SILENCE_SECONDS + ABANDON_CHECK_SECONDS + 0.1)

    def test_the_other_server_cannot_be_reached(self) -> None:
        """The other server is listed but does not accept connections: the router waits for the silent one."""

        async def main(rig: Rig, kind: str, pause: float) -> tuple[ReceivedResponse, int]:
            id, client = rig.next_id(), Client(rig)
            rig.behaviours[:] = [Behaviour(cut=0, pause=pause)]
            await client.send(request_bytes(kind, id))
            await trio.sleep(0.1)
            for server in rig.servers:
                if server.machine is not rig.arrivals[id][0].machine:
                    server.listener.close()
            got = await client.answer()
            self.assertEqual(breaches(rig, kind, id, got), [])
            return got, rig.runs[id]

        for kind in REPEATABLE:
            for pause in (1.6, 2.0, 2.5, 3.0):
                got, runs = play(lambda rig, kind=kind, pause=pause: main(rig, kind, pause), 2)
                self.assertEqual((got.status, got.complete, runs), (200, True, 1), f"{kind}, {pause} s")

    def test_the_silent_server_answers_while_connecting_to_another(self) -> None:
        async def main(rig: Rig, pause: float) -> tuple[str, int]:
            result = await exchange(rig, "idempotent", Behaviour(cut=0, pause=pause))
            self.assertEqual(result.breaches, [])
            return outcome("idempotent", result.id, result.got), result.attempts

        for step in range(60):
            got, attempts = play(lambda rig, step=step: main(rig, 1.498 + step * 0.0001), 2)
            self.assertEqual(got, "success")
            self.assertLessEqual(attempts, 2)

    def test_one_attempt_is_withdrawn_from_the_budget_once(self) -> None:
        async def main(rig: Rig) -> int:
            await exchange(rig, "idempotent", Behaviour(then=AfterCut.SILENCE, cut=0))
            return rig.retry_budget.withdrawn

        self.assertEqual(play(main), 1)


class SeveralAttempts(Case):
    """The client's response after several failed attempts of different kinds."""

    def result(self, kind: str, *behaviours: Behaviour, tokens: int | None = None, servers: int = 3) -> tuple[str, int]:
        async def main(rig: Rig) -> Exchange:
            rig.retry_budget.tokens = tokens
            return await exchange(rig, kind, *behaviours)

        result = play(main, servers)
        self.assertEqual([breach for breach in result.breaches if not breach.startswith("next")], [])
        return outcome(kind, result.id, result.got), result.attempts

    AT_CAPACITY = Behaviour(rejection(503, b"Not-Executed: 1"), runs=False)
    MISDIRECTED = Behaviour(rejection(421), runs=False)
    FAILED = Behaviour(rejection(500))
    RESET = Behaviour(cut=0, then=AfterCut.RESET)

    def test_all_reject_it(self) -> None:
        for kind in KINDS:
            self.assertEqual(self.result(kind, self.AT_CAPACITY, self.MISDIRECTED, self.AT_CAPACITY), ("own 503", 3))

    def test_one_server_may_have_run_it_and_the_others_reject_it(self) -> None:
        for kind in REPEATABLE:
            for first in (self.FAILED, self.RESET):
                for then in (self.AT_CAPACITY, self.MISDIRECTED):
                    self.assertEqual(self.result(kind, first, then, self.AT_CAPACITY), ("own 502", 3))
                    self.assertEqual(self.result(kind, first, then, tokens=1), ("own 502", 2))
                    self.assertEqual(self.result(kind, first, then, servers=2), ("own 502", 2))

    def test_one_server_rejects_it_and_the_next_may_have_run_it(self) -> None:
        for kind in ("non_idempotent", "stream"):
            for first in (self.AT_CAPACITY, self.MISDIRECTED):
                self.assertEqual(self.result(kind, first, self.RESET), ("own 502", 2))
                self.assertEqual(self.result(kind, first, self.FAILED), ("server 500", 2))

    def test_the_last_of_several_errors_is_relayed(self) -> None:
        for kind in REPEATABLE:
            self.assertEqual(self.result(kind, self.FAILED, self.FAILED, self.FAILED), ("server 500", 3))
            self.assertEqual(self.result(kind, self.FAILED, tokens=0), ("own 502", 1))
            self.assertEqual(self.result(kind, self.FAILED, servers=1), ("own 502", 1))

    def test_the_deadline_passes_after_a_rejection_that_followed_a_run(self) -> None:
        for kind in REPEATABLE:
            at_capacity = Behaviour(rejection(503, b"Not-Executed: 1"), runs=False, wait=CLIENT_DEADLINE_SECONDS)
            self.assertEqual(self.result(kind, self.FAILED, at_capacity, tokens=1), ("own 504", 2))


class StreamsTakenUp(Case):
    """A resumable stream truncated at each byte, also when the attempt to resume it fails."""

    def test_a_resume_that_fails(self) -> None:
        answers = {
            "400": Behaviour(rejection(400)),
            "500": Behaviour(rejection(500)),
            "503": Behaviour(rejection(503)),
            "503, not executed": Behaviour(rejection(503, b"Not-Executed: 1"), runs=False),
            "421": Behaviour(rejection(421), runs=False),
            "reset": Behaviour(cut=0, then=AfterCut.RESET),
            "another id": Behaviour(lambda asked: complete_response(asked, "other")),
        }
        size = len(complete_response(ServerRequest("r1001", {}, b"", "resumable")))
        for name, answer in answers.items():
            for tail, attempts, wanted in (((), 3, "success"), ((answer,), 3, "cut")):

                async def main(rig: Rig, answer: Behaviour = answer, tail: tuple = tail) -> list:
                    rig.request_count, results = 1000, []
                    for cut in range(size - 60, size):
                        first = Behaviour(cut=cut, then=AfterCut.RESET)
                        results.append(await exchange(rig, "resumable", first, answer, *tail))
                        await trio.sleep(1.0)
                    return results

                for result in play(main):
                    got = (outcome("resumable", result.id, result.got), result.attempts, result.breaches)
                    if got != (wanted, attempts, []):
                        self.mismatches.append(f"{name}, {tail}: {got}: {result.got}")

    def test_a_stream_that_breaks_at_each_byte_of_two_servers(self) -> None:
        size = len(complete_response(ServerRequest("r1001", {}, b"", "resumable")))

        async def main(rig: Rig) -> list:
            rig.request_count, results = 1000, []
            for first in range(0, size, 3):
                for second in range(90, size, 37):
                    breaks = [Behaviour(cut=first, then=AfterCut.CLOSE), Behaviour(cut=second, then=AfterCut.RESET)]
                    results.append(await exchange(rig, "resumable", *breaks))
            return results

        for result in play(main):
            if result.breaches or outcome("resumable", result.id, result.got) != "success":
                self.mismatches.append(str(result))


if __name__ == "__main__":
    unittest.main()
