"""Several attempts at one request: after a silence, on forgotten connections, and with streams taken up elsewhere."""

import unittest

import trio
from loguru import logger

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.silence_monitor import SERVER_SILENCE_SECONDS
from rowanshift.dataplane.upstream import ABANDON_CHECK_SECONDS, ServerConnection
from tests.support.exchange_case import Case, Exchange, breaches, exchange, outcome
from tests.support.exchange_rig import (
    KINDS,
    REPEATABLE,
    WITHIN,
    Asked,
    Behaviour,
    Client,
    Got,
    Rig,
    Then,
    play,
    rejection,
    request_bytes,
    whole_answer,
)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Forgotten(Case):
    """A kept connection that its server no longer knows: what is sent on it is reset."""

    def asked_on(self, kind: str, servers: int, window: int = 1 << 16) -> tuple[list, int]:
        """What came of requests when the first server had forgotten its connections, and how many met one."""

        async def main(rig: Rig) -> tuple[list, int]:
            made, met = [], 0
            for _ in range(8):
                await exchange(rig, kind)  # connections are kept from here on
                id, client = rig.next_id(), Client(rig)
                for stream in rig.servers[0].connections:
                    stream.drop(False)  # without a word
                rig.servers[0].connections.clear()
                sends = rig.upstream.requests_sent
                got = await client.ask(kind, id)
                met += rig.upstream.requests_sent - sends > rig.runs[id]
                made.append((outcome(kind, id, got), rig.runs[id], breaches(rig, kind, id, got)))
                client.close()
                await trio.sleep(5.0)
            return made, met

        return play(main, servers, window)

    def test_a_repeatable_request_goes_elsewhere(self) -> None:
        for kind in REPEATABLE:
            made, met = self.asked_on(kind, 2)
            self.assertEqual(made, [("success", 1, [])] * 8)
            self.assertGreater(met, 0)

    def test_another_is_not_sent_again_and_no_promise_is_made(self) -> None:
        for kind in ("non_idempotent", "stream"):
            made, met = self.asked_on(kind, 2)
            self.assertEqual({each[0] for each in made}, {"success", "own 502"})
            self.assertEqual([each[2] for each in made], [[]] * 8)
            self.assertEqual(met, sum(each[0] == "own 502" for each in made))

    def test_one_whose_last_byte_was_kept_back_goes_elsewhere(self) -> None:
        for kind in KINDS:
            made, met = self.asked_on(kind, 2, 40)
            self.assertEqual(made, [("success", 1, [])] * 8)
            self.assertGreater(met, 0)


class OverdueWeights(Case):
    """A server whose weights become overdue while a request waits there, or while its connection comes up."""

    HEARD_EVERY = 0.2  # seconds in which the server is heard of by other requests
    OVERDUE_AFTER = 0.8  # seconds from the send

    def waited(self, kind: str, overdue: bool) -> tuple[str, float]:
        """What became of a request that its first server, which answers others, leaves waiting; and when."""

        async def main(rig: Rig) -> tuple[str, float]:
            sent_at = rig.now()
            if overdue:
                rig.state.overdue_at = sent_at + self.OVERDUE_AFTER

            async def hear() -> None:
                while True:
                    for endpoint in rig.endpoints:
                        endpoint.on_bytes_received(rig.now())
                    await trio.sleep(self.HEARD_EVERY)

            rig.nursery.start_soon(hear)
            made = await exchange(rig, kind, Behaviour(then=Then.SILENCE, cut=0))
            return outcome(kind, made.id, made.got), made.got.at

        return play(main, 2)

    def test_a_repeatable_request_goes_elsewhere_before_the_bound(self) -> None:
        for kind in REPEATABLE:
            how, took = self.waited(kind, overdue=True)
            self.assertEqual(how, "success")
            self.assertLess(took, self.OVERDUE_AFTER + ABANDON_CHECK_SECONDS + 0.1)

    def test_it_waits_on_while_the_weights_are_allowed(self) -> None:
        for kind in REPEATABLE:
            _, took = self.waited(kind, overdue=False)
            self.assertGreater(took, SERVER_SILENCE_SECONDS + ABANDON_CHECK_SECONDS)

    def test_another_request_is_never_sent_twice(self) -> None:
        how, _ = self.waited("non_idempotent", overdue=True)
        self.assertEqual(how, "own 504")

    def test_a_begin_on_overdue_weights_is_logged_a_few_times_a_second_at_most(self) -> None:
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
        self.assertEqual(len(found), 1)  # all five lie within one pause between lines
        self.assertRegex(found[0], r"request=r1 server=s\d model= version=0 lacks_for=0\.0")

    def test_what_was_chosen_is_asked_again_once_its_connection_is_up(self) -> None:
        async def main(rig: Rig) -> list[tuple[str, bool]]:
            rig.endpoints[1].versions = {"": 2}
            connect = rig.upstream.connect

            async def named_meanwhile(endpoint: Endpoint, until: float) -> ServerConnection:
                connection = await connect(endpoint, until)
                rig.state.least_version = 2
                return connection

            rig.upstream.connect = named_meanwhile
            ended = []
            for _ in range(4):
                made = await exchange(rig, "non_idempotent")
                at_the_first = any(end in rig.servers[0].connections for end in rig.arrivals[made.id])
                ended.append((outcome("non_idempotent", made.id, made.got), at_the_first))
                rig.drop_kept()
                rig.state.least_version = 0
            return ended

        self.assertEqual(play(main, 2), [("success", False)] * 4)


class Silence(Case):
    """A server's silence ends no answer sooner, but where another server is surely there."""

    def late(self, kind: str, servers: int, tokens: int | None, *behaviours: Behaviour) -> tuple[str, float, int]:
        """The outcome, when it was there, and how many servers ran it."""

        async def main(rig: Rig) -> Exchange:
            rig.retry_budget.tokens = tokens
            return await exchange(rig, kind, *behaviours)

        made = play(main, servers)
        self.assertEqual(made.breaches, [])
        return outcome(kind, made.id, made.got), made.got.at, made.runs

    def test_no_other_server_is_there(self) -> None:
        for kind in REPEATABLE:
            got, at, runs = self.late(kind, 1, None, Behaviour(wait=3.0))
            self.assertEqual((got, runs), ("success", 1), f"{kind} after {at} s")

    def test_the_budget_grants_no_attempt(self) -> None:
        for kind in REPEATABLE:
            got, at, runs = self.late(kind, 3, 0, Behaviour(wait=3.0))
            self.assertEqual((got, runs), ("success", 1), f"{kind} after {at} s")

    def test_another_server_is_there(self) -> None:
        for kind in REPEATABLE:
            got, at, runs = self.late(kind, 2, 1, Behaviour(then=Then.SILENCE, cut=0))
            self.assertEqual((got, runs), ("success", 2), f"{kind} after {at} s")
            self.assertLess(at, 2.5)

    def test_another_server_comes_back_meanwhile(self) -> None:
        async def main(rig: Rig) -> tuple[str, float]:
            for endpoint in rig.endpoints:
                endpoint.backed_off_until = rig.now() + 2.6
            rig.endpoints[0].backed_off_until = 0.0
            made = await exchange(rig, "idempotent", Behaviour(then=Then.SILENCE, cut=0))
            return outcome("idempotent", made.id, made.got), made.got.at

        got, at = play(main, 2)
        self.assertEqual(got, "success")
        self.assertTrue(2.5 < at < 3.5, at)

    def test_what_cannot_go_again_is_waited_for(self) -> None:
        for kind in ("non_idempotent", "stream"):
            got, at, runs = self.late(kind, 3, None, Behaviour(wait=3.0))
            self.assertEqual((got, runs), ("success", 1), f"{kind} after {at} s")

    def test_a_pause_within_a_body_that_has_begun(self) -> None:
        size = len(whole_answer(Asked("r1", {}, b"", "idempotent")))
        for cut in range(size - 10, size):
            paused = Behaviour(cut=cut, pause=2.5)
            got, at, runs = self.late("idempotent", 3, None, paused)
            self.assertEqual((got, runs), ("success", 2 if cut == size - 10 else 1), f"{cut} of {size}, after {at} s")

    def test_a_pause_between_events_with_no_other_server(self) -> None:
        size = len(whole_answer(Asked("r1", {}, b"", "resumable")))
        for cut in range(0, size, 5):
            got, at, runs = self.late("resumable", 1, None, Behaviour(cut=cut, pause=2.5))
            self.assertEqual((got, runs), ("success", 1), f"{cut} of {size}, after {at} s")

    def test_the_other_server_cannot_be_reached(self) -> None:
        """It is named and looks well, but its connection does not come up: the silent one is waited for."""

        async def main(rig: Rig, kind: str, pause: float) -> tuple[Got, int]:
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
                self.assertEqual((got.status, got.whole, runs), (200, True, 1), f"{kind}, {pause} s")

    def test_the_silent_server_answers_while_the_other_is_dialled(self) -> None:
        async def main(rig: Rig, pause: float) -> tuple[str, int]:
            made = await exchange(rig, "idempotent", Behaviour(cut=0, pause=pause))
            self.assertEqual(made.breaches, [])
            return outcome("idempotent", made.id, made.got), made.attempts

        for step in range(60):
            got, attempts = play(lambda rig, step=step: main(rig, 1.498 + step * 0.0001), 2)
            self.assertEqual(got, "success")
            self.assertLessEqual(attempts, 2)

    def test_the_budget_is_drawn_on_once_for_one_attempt(self) -> None:
        async def main(rig: Rig) -> int:
            await exchange(rig, "idempotent", Behaviour(then=Then.SILENCE, cut=0))
            return rig.retry_budget.withdrawn

        self.assertEqual(play(main), 1)


class SeveralAttempts(Case):
    """What the client is told when all attempts have failed, each in its own way."""

    def ends(self, kind: str, *behaviours: Behaviour, tokens: int | None = None, servers: int = 3) -> tuple[str, int]:
        async def main(rig: Rig) -> Exchange:
            rig.retry_budget.tokens = tokens
            return await exchange(rig, kind, *behaviours)

        made = play(main, servers)
        self.assertEqual([breach for breach in made.breaches if not breach.startswith("next")], [])
        return outcome(kind, made.id, made.got), made.attempts

    FULL = Behaviour(rejection(503, b"Not-Executed: 1"), runs=False)
    WRONG = Behaviour(rejection(421), runs=False)
    FAILED = Behaviour(rejection(500))
    LOST = Behaviour(cut=0, then=Then.RESET)

    def test_all_reject_it(self) -> None:
        for kind in KINDS:
            self.assertEqual(self.ends(kind, self.FULL, self.WRONG, self.FULL), ("own 503", 3))

    def test_one_may_have_run_it_and_the_rest_reject_it(self) -> None:
        for kind in REPEATABLE:
            for first in (self.FAILED, self.LOST):
                for then in (self.FULL, self.WRONG):
                    self.assertEqual(self.ends(kind, first, then, self.FULL), ("own 502", 3))
                    self.assertEqual(self.ends(kind, first, then, tokens=1), ("own 502", 2))
                    self.assertEqual(self.ends(kind, first, then, servers=2), ("own 502", 2))

    def test_one_rejects_it_and_the_next_may_have_run_it(self) -> None:
        for kind in ("non_idempotent", "stream"):
            for first in (self.FULL, self.WRONG):
                self.assertEqual(self.ends(kind, first, self.LOST), ("own 502", 2))
                self.assertEqual(self.ends(kind, first, self.FAILED), ("server 500", 2))

    def test_the_last_of_several_errors_is_passed_on(self) -> None:
        for kind in REPEATABLE:
            self.assertEqual(self.ends(kind, self.FAILED, self.FAILED, self.FAILED), ("server 500", 3))
            self.assertEqual(self.ends(kind, self.FAILED, tokens=0), ("own 502", 1))
            self.assertEqual(self.ends(kind, self.FAILED, servers=1), ("own 502", 1))

    def test_the_time_is_up_after_a_rejection_that_followed_a_run(self) -> None:
        for kind in REPEATABLE:
            full = Behaviour(rejection(503, b"Not-Executed: 1"), runs=False, wait=WITHIN)
            self.assertEqual(self.ends(kind, self.FAILED, full, tokens=1), ("own 504", 2))


class StreamsTakenUp(Case):
    """A resumable stream broken off at each byte, and an answer to its resume that is no success."""

    def test_a_resume_that_is_not_taken_up(self) -> None:
        answers = {
            "400": Behaviour(rejection(400)),
            "500": Behaviour(rejection(500)),
            "503": Behaviour(rejection(503)),
            "503, not executed": Behaviour(rejection(503, b"Not-Executed: 1"), runs=False),
            "421": Behaviour(rejection(421), runs=False),
            "reset": Behaviour(cut=0, then=Then.RESET),
            "another id": Behaviour(lambda asked: whole_answer(asked, "other")),
        }
        size = len(whole_answer(Asked("r1001", {}, b"", "resumable")))
        for name, answer in answers.items():
            for tail, attempts, wanted in (((), 3, "success"), ((answer,), 3, "cut")):

                async def main(rig: Rig, answer: Behaviour = answer, tail: tuple = tail) -> list:
                    rig.asked, made = 1000, []
                    for cut in range(size - 60, size):
                        first = Behaviour(cut=cut, then=Then.RESET)
                        made.append(await exchange(rig, "resumable", first, answer, *tail))
                        await trio.sleep(1.0)
                    return made

                for made in play(main):
                    got = (outcome("resumable", made.id, made.got), made.attempts, made.breaches)
                    if got != (wanted, attempts, []):
                        self.wrong.append(f"{name}, {tail}: {got}: {made.got}")

    def test_a_stream_that_breaks_at_each_byte_of_two_servers(self) -> None:
        size = len(whole_answer(Asked("r1001", {}, b"", "resumable")))

        async def main(rig: Rig) -> list:
            rig.asked, made = 1000, []
            for first in range(0, size, 3):
                for second in range(90, size, 37):
                    breaks = [Behaviour(cut=first, then=Then.CLOSE), Behaviour(cut=second, then=Then.RESET)]
                    made.append(await exchange(rig, "resumable", *breaks))
            return made

        for made in play(main):
            if made.breaches or outcome("resumable", made.id, made.got) != "success":
                self.wrong.append(str(made))


if __name__ == "__main__":
    unittest.main()
