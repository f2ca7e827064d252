"""Each request that a router has read ends in exactly one way, and what must not happen to one is counted."""

import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any
from unittest import mock

import trio
from loguru import logger

from rowanshift.dataplane import drain
from rowanshift.dataplane.request_outcomes import (
    EndedRequest,
    OpenRequest,
    Phase,
    RequestOutcome,
    RequestOutcomes,
    Violation,
)
from rowanshift.emulation.system_clients import Patron
from rowanshift.invariants.facts import CallCut, RequestCut
from rowanshift.simulation.fleet import ONCE, REPEATED, RESUMED, Fleet, ViolatedOutcomes, config_of, play
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.transport.call_server import CallOutcome, CallOutcomes, CutCall
from rowanshift.transport.streams import connect, send_all
from tests.support.exchange_rig import FRONT, KINDS, Behaviour, Client, Rig, Then, rejection, request_bytes
from tests.support.exchange_rig import play as play_exchange

GRACE = 6.0  # seconds
MIDWAY = 200  # bytes of an answer, in the middle of its events
LONG = 3.0  # seconds in which an exchange is surely over


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Counts(unittest.TestCase):
    def setUp(self) -> None:
        self.endings = RequestOutcomes()

    def opened(self, now: float = 1.0, nth: int = 1) -> OpenRequest:
        return self.endings.opened("r", now, nth, now)

    def test_an_ending_is_counted_once_in_the_phase_of_its_end(self) -> None:
        early, late = self.opened(), self.opened()
        self.endings.closed(early, RequestOutcome.WHOLE_ANSWER, 2.0)
        self.endings.begin_leave(3.0, GRACE)
        self.endings.closed(late, RequestOutcome.REFUSAL, 4.0, status=503)
        self.assertEqual(self.endings.endings[Phase.SERVING], {RequestOutcome.WHOLE_ANSWER: 1})
        self.assertEqual(self.endings.endings[Phase.LEAVING], {RequestOutcome.REFUSAL: 1})
        self.assertEqual((self.endings.violated(), self.endings.process_ended(5.0)), (0, []))

    def test_only_a_cut_by_the_router_is_a_violation_by_itself(self) -> None:
        for ending in RequestOutcome:
            with self.subTest(ending=ending):
                endings = RequestOutcomes()
                ended = endings.closed(endings.opened("r", 0.0, 1, 0.0), ending, 1.0)
                cut = ending is RequestOutcome.CUT_BY_ROUTER
                self.assertEqual(endings.violated(), int(cut))
                self.assertEqual(ended.violation, Violation.CUT_BY_ROUTER if cut else None)

    def test_a_request_closed_twice(self) -> None:
        request = self.opened()
        self.endings.closed(request, RequestOutcome.WHOLE_ANSWER, 2.0)
        ended = self.endings.closed(request, RequestOutcome.REFUSAL, 3.0)
        self.assertEqual(ended.violation, Violation.CLOSED_TWICE)
        self.assertEqual(self.endings.violations[Phase.SERVING], {Violation.CLOSED_TWICE: 1})
        self.assertEqual(self.endings.endings[Phase.SERVING], {RequestOutcome.WHOLE_ANSWER: 1})

    def test_a_request_never_closed(self) -> None:
        request = self.opened()
        self.endings.begin_leave(3.0, GRACE)
        self.assertEqual([ended.request for ended in self.endings.process_ended(9.0)], [request])
        self.assertEqual(self.endings.violations[Phase.LEAVING], {Violation.NEVER_CLOSED: 1})
        self.assertEqual(self.endings.process_ended(9.0), [])
        self.assertEqual(
            self.endings.closed(request, RequestOutcome.WHOLE_ANSWER, 9.0).violation, Violation.CLOSED_TWICE
        )

    def test_times_of_the_leave(self) -> None:
        request = self.endings.opened("r", 8.0, 2, 11.0)
        self.endings.begin_leave(10.0, GRACE)
        self.endings.begin_leave(12.0, GRACE)  # a second signal changes nothing
        ended = self.endings.closed(request, RequestOutcome.CUT_BY_ROUTER, 15.0, passed_on=7)
        self.assertEqual((ended.since_signal, ended.grace_left), (5.0, 1.0))
        self.assertEqual((ended.came_since_signal, ended.grace_left_at_arrival), (1.0, 5.0))
        self.assertEqual((ended.connected_since_signal, request.kept, ended.passed_on), (-2.0, True, 7))

    def test_no_times_of_a_leave_while_serving(self) -> None:
        ended = self.endings.closed(self.opened(), RequestOutcome.WHOLE_ANSWER, 2.0)
        self.assertEqual((ended.since_signal, ended.grace_left, ended.came_since_signal), (None, None, None))

    def test_connections_since_the_signal(self) -> None:
        leave = self.endings.begin_leave(10.0, GRACE)
        for at in (10.5, 11.0, 12.0):
            leave.connected(at)
        self.assertEqual((leave.connections, leave.first_connection_at, leave.last_connection_at), (3, 10.5, 12.0))


class Excused(unittest.TestCase):
    """A cut after the signal at 10 s, of a grace of 6 s: excused from 15 s on, of requests up to 13 s."""

    def cut(self, came: float, at: float, leaves: bool = True) -> RequestOutcomes:
        endings, told = RequestOutcomes(), []
        endings.watch = told.append
        request = endings.opened("r", came, 1, came)
        if leaves:
            endings.begin_leave(10.0, GRACE)
        ended = endings.closed(request, RequestOutcome.CUT_BY_ROUTER, at)
        self.assertEqual(told, [ended])
        self.assertEqual((endings.excused, endings.violated()), (int(ended.excused), int(not ended.excused)))
        return endings

    def test_each_side_of_each_bound(self) -> None:
        for came, at, excused in (
            (9.0, 15.0, 1),
            (13.0, 15.0, 1),
            (13.01, 15.0, 0),
            (13.0, 14.99, 0),
            (13.0, 18.0, 1),
            (9.0, 11.0, 0),
        ):
            with self.subTest(came=came, at=at):
                self.assertEqual(self.cut(came, at).excused, excused)

    def test_never_while_serving(self) -> None:
        self.assertEqual(self.cut(9.0, 15.0, leaves=False).excused, 0)

    def test_other_violations_are_not(self) -> None:
        endings = RequestOutcomes()
        endings.begin_leave(10.0, GRACE)
        request = endings.opened("r", 10.0, 1, 10.0)
        endings.closed(request, RequestOutcome.CUT_BY_ROUTER, 15.5)
        endings.closed(request, RequestOutcome.CUT_BY_ROUTER, 15.5)
        endings.opened("s", 10.0, 1, 10.0)
        endings.process_ended(16.0)
        self.assertEqual(endings.excused, 1)
        self.assertEqual(endings.violations[Phase.LEAVING], {Violation.CLOSED_TWICE: 1, Violation.NEVER_CLOSED: 1})

    def test_the_counts_name_it(self) -> None:
        self.assertIn("leaving_cut_by_router=1 excused=1 violations=0", self.cut(10.0, 15.0).counts())
        told = self.cut(13.5, 15.0).counts()
        self.assertIn("leaving_cut_by_router=1 leaving_violation_cut_by_router=1 excused=0 violations=1", told)


class AtAFrontend(unittest.TestCase):
    """Each ending, as an exchange in the virtual network comes to it."""

    def ending(self, main: Callable[[Rig, Client], Awaitable[Any]], *behaviours: Behaviour) -> RequestOutcome:
        """The ending of the one request that ``main`` sends by a client."""

        async def run(rig: Rig) -> RequestOutcomes:
            rig.behaviours += behaviours
            await main(rig, Client(rig))
            await trio.sleep(LONG)
            return rig.front.endings

        endings = play_exchange(run, servers=2)
        (ending,) = endings.endings[Phase.SERVING].elements()
        self.assertEqual(len(endings.open), 0)
        self.assertEqual(endings.violated(), int(ending is RequestOutcome.CUT_BY_ROUTER))
        return ending

    def of_one(self, kind: str, *behaviours: Behaviour) -> RequestOutcome:
        """The ending of a request whose client waits for it."""

        async def main(rig: Rig, client: Client) -> None:
            await client.ask(kind, "r1")

        return self.ending(main, *behaviours)

    def test_a_whole_answer(self) -> None:
        for kind in KINDS:
            self.assertEqual(self.of_one(kind), RequestOutcome.WHOLE_ANSWER)

    def test_a_whole_answer_of_a_second_server(self) -> None:
        self.assertEqual(self.of_one("idempotent", Behaviour(cut=0, then=Then.RESET)), RequestOutcome.WHOLE_ANSWER)
        self.assertEqual(self.of_one("resumable", Behaviour(cut=MIDWAY, then=Then.RESET)), RequestOutcome.WHOLE_ANSWER)

    def test_a_refusal(self) -> None:
        self.assertEqual(self.of_one("non_idempotent", Behaviour(cut=0, then=Then.RESET)), RequestOutcome.REFUSAL)

    def test_a_refusal_of_a_request_that_is_not_well_formed(self) -> None:
        async def main(rig: Rig, client: Client) -> None:
            await client.send(b"GET /idempotent/ HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertEqual((await client.answer()).status, 400)

        self.assertEqual(self.ending(main), RequestOutcome.REFUSAL)

    def test_a_server_that_breaks_off(self) -> None:
        for then in (Then.RESET, Then.CLOSE):
            self.assertEqual(self.of_one("stream", Behaviour(cut=MIDWAY, then=then)), RequestOutcome.SERVER_BROKE_OFF)

    def test_its_time_is_up(self) -> None:
        silent = Behaviour(cut=MIDWAY, then=Then.SILENCE)
        self.assertEqual(self.of_one("stream", silent), RequestOutcome.TIME_UP)

    def test_the_client_leaves(self) -> None:
        async def main(rig: Rig, client: Client) -> None:
            await client.send(request_bytes("stream", "r1"))
            await trio.sleep(0.1)
            client.close()

        for cut in (0, MIDWAY):
            self.assertEqual(self.ending(main, Behaviour(cut=cut, then=Then.SILENCE)), RequestOutcome.CLIENT_LEFT)

    def test_a_server_that_is_given_up_after_its_answer_had_begun(self) -> None:
        """It says nothing for long, and no other takes its stream up."""
        silent = Behaviour(cut=MIDWAY, then=Then.SILENCE)
        refused = Behaviour(rejection(503, b"Not-Executed: 1"))
        self.assertEqual(self.of_one("resumable", silent, refused), RequestOutcome.CUT_BY_ROUTER)

    def test_a_request_that_is_cancelled(self) -> None:
        """Before its answer has begun, and in the middle of it."""
        for cut in (0, MIDWAY):

            async def main(rig: Rig, cut: int = cut) -> RequestOutcomes:
                rig.behaviours.append(Behaviour(cut=cut, then=Then.SILENCE))
                stream = rig.client_machine.stream()
                await connect(stream, (rig.router.address, FRONT))
                await send_all(stream, request_bytes("stream", "r1"))
                await trio.sleep(0.1)
                self.assertEqual(len(rig.front.endings.open), 1)
                return rig.front.endings

            endings = play_exchange(main, servers=1)
            self.assertEqual(endings.endings[Phase.SERVING], {RequestOutcome.CUT_BY_ROUTER: 1})
            self.assertEqual(endings.violations[Phase.SERVING], {Violation.CUT_BY_ROUTER: 1})
            self.assertEqual(len(endings.open), 0)


class WhileLeaving(unittest.TestCase):
    def lines(self) -> list[str]:
        """What a router logs that gets SIGTERM while one client goes on asking."""
        lines: list[str] = []

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            unit = fleet.routers[0]
            kept = Patron(fleet.outside, "kept", fleet.now, fleet.facts, fleet.fronts[:1], fleet.random_source, True)
            await kept.ask(fleet.work(REPEATED, "key-1", "own-0"))
            fleet.terminate(unit)
            await trio.sleep(0.5)
            await kept.ask(fleet.work(REPEATED, "key-1", "own-1"))
            new = Patron(fleet.outside, "new", fleet.now, fleet.facts, fleet.fronts[:1], fleet.random_source, False)
            await new.ask(fleet.work(ONCE, "key-1", "own-2"))
            await fleet.until(lambda: not unit.machine.running)

        sink = logger.add(lambda message: lines.append(message.record["message"]), level="INFO")
        logger.enable("rowanshift")
        try:
            play(main)
        finally:
            logger.disable("rowanshift")
            logger.remove(sink)
        return lines

    def test_what_is_logged(self) -> None:
        lines = self.lines()
        ended = [line for line in lines if "event=request_ended_while_leaving" in line]
        self.assertEqual(len(ended), 2)
        self.assertRegex(ended[0], r"ending=whole_answer request=\S+ .*connection=kept nth=2 bytes=[1-9]")
        self.assertRegex(ended[0], r" since_signal=0\.\d+ grace_left=7\.\d+ came_since_signal=0\.5")
        self.assertRegex(ended[1], r"connection=new nth=1 ")
        self.assertTrue(any("event=first_connection_while_leaving" in line for line in lines))
        stopped = next(line for line in lines if "event=stopped counts=" in line)
        self.assertIn("serving_whole_answer=1 leaving_whole_answer=2 excused=0 violations=0", stopped)
        left = next(line for line in lines if "event=leave_ended" in line)
        self.assertRegex(left, r"new_connections=1 first_connection=0\.\d+ last_connection=0\.\d+ ")
        self.assertRegex(left, r"requests_on_kept=1 requests_on_new=1 last_request=0\.\d+ idle_closed=\d+ longest_st")


class InPlays(unittest.TestCase):
    """Each play of a fleet fails by what the machines themselves counted; faults are put into the code for it."""

    async def scenario(self, fleet: Fleet, trouble: Callable[[Fleet, Unit], None] = Fleet.terminate) -> None:
        await fleet.start()
        for n in range(6):
            fleet.client(f"c{n}", ONCE, "key-1", 0.05, 400)
        await trio.sleep(1)
        router = fleet.routers[0]
        await fleet.until(lambda: router.program.front.open >= 2)
        trouble(fleet, router)
        await trio.sleep(7.5)

    def found(self, why: str) -> None:
        """A play fails for this; one that is not strict reports it as a breach."""
        with self.assertRaisesRegex(ViolatedOutcomes, f"ENDING .*{why}"):
            play(self.scenario)
        breaches = play(self.scenario, strict=False)[1].breaches()
        self.assertIn("ENDING", {breach.rule for breach in breaches if why in breach.why})

    def test_nothing_is_found_without_a_fault(self) -> None:
        play(self.scenario)

    def test_requests_that_are_cut_at_sigterm(self) -> None:
        with mock.patch.multiple(drain, NOTICE=0.05, END_RESERVE=8.0, END_PART=1.0):
            self.found("cut_by_router")

    def test_a_router_that_is_asked_on_until_it_ends(self) -> None:
        """Short requests by clients that know of no other router, from before SIGTERM until after the grace."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            router = fleet.routers[0]
            patrons = [
                Patron(
                    fleet.outside, f"p{n}", fleet.now, fleet.facts, fleet.fronts[:1], fleet.random_source, n % 2 == 0
                )
                for n in range(12)
            ]
            for n, patron in enumerate(patrons):
                fleet.nursery.start_soon(ask_on, fleet, patron, (RESUMED, ONCE, REPEATED)[n % 3])
            await trio.sleep(1.5)
            fleet.terminate(router)
            await trio.sleep(9.0)

        async def ask_on(fleet: Fleet, patron: Patron, prefix: str) -> None:
            while True:
                await patron.ask(fleet.work(prefix, "key-1", f"{patron.name}-{patron.ids}"))
                await trio.sleep(0.05)

        _, fleet = play(main, strict=False)
        self.assertEqual([str(breach) for breach in fleet.breaches()], [])

    def test_a_request_that_is_never_closed(self) -> None:
        true = RequestOutcomes.closed

        def forgetting(endings, request, *more, **named):
            if endings.leave is not None:
                return EndedRequest(request, RequestOutcome.WHOLE_ANSWER, 0.0, Phase.SERVING)
            return true(endings, request, *more, **named)

        with mock.patch.object(RequestOutcomes, "closed", forgetting):
            self.found("never_closed")

    def test_a_request_that_is_closed_twice(self) -> None:
        true = RequestOutcomes.closed

        def twice(endings, request, *more, **named):
            true(endings, request, *more, **named)
            return true(endings, request, *more, **named)

        with mock.patch.object(RequestOutcomes, "closed", twice):
            self.found("closed_twice")

    def test_unplanned_trouble_of_the_router_excuses(self) -> None:
        for trouble in (Fleet.kill, Fleet.cut_power):
            with self.subTest(trouble.__name__):
                _, fleet = play(partial(self.scenario, trouble=trouble))
                self.assertGreater(len(fleet.of(RequestCut)), 0)

    def test_trouble_of_another_does_not_excuse(self) -> None:
        def trouble(fleet: Fleet, router: Unit) -> None:
            fleet.kill(fleet.routers[1])
            fleet.terminate(router)

        with (
            mock.patch.multiple(drain, NOTICE=0.05, END_RESERVE=8.0, END_PART=1.0),
            self.assertRaisesRegex(ViolatedOutcomes, "router-0: cut_by_router"),
        ):
            play(partial(self.scenario, trouble=trouble))


class Calls(unittest.TestCase):
    """A call of a core machine's API that was read and not answered."""

    async def scenario(self, fleet: Fleet, trouble: Callable[[Fleet, Unit], None]) -> None:
        """An operator sends a configuration, which takes the primary's disk a second, and trouble comes meanwhile."""
        await fleet.start()
        unit = fleet.primary()
        unit.machine.drive.hang(1.0)
        fleet.nursery.start_soon(fleet.put, config_of(2))
        self.assertTrue(await fleet.until(lambda: unit.program.calls.not_answered > 0, 0.8))
        trouble(fleet, unit)
        await trio.sleep(2.0)

    def stopped(self, fleet: Fleet, unit: Unit) -> None:
        """Its program ends by itself, at once."""
        unit.wanted = False
        unit.machine.scope.cancel()

    def test_a_call_that_is_cut(self) -> None:
        with self.assertRaisesRegex(ViolatedOutcomes, "core-.*a call was read and not answered"):
            play(partial(self.scenario, trouble=self.stopped))

    def test_unplanned_trouble_of_the_machine_excuses(self) -> None:
        def trouble(fleet: Fleet, unit: Unit) -> None:
            fleet.freeze(unit)
            fleet.thaw(unit)
            self.stopped(fleet, unit)

        _, fleet = play(partial(self.scenario, trouble=trouble))
        self.assertEqual([cut.target for cut in fleet.of(CallCut)], ["/config"])
        play(partial(self.scenario, trouble=Fleet.kill))

    def test_a_core_machine_that_is_told_to_stop(self) -> None:
        play(partial(self.scenario, trouble=Fleet.terminate))

    def test_the_count(self) -> None:
        endings, told = CallOutcomes(), []
        endings.watch = told.append
        for ending in CallOutcome:
            endings.opened()
            endings.closed(ending, "/config", 1.0, 2.0)
        endings.opened()
        self.assertEqual((endings.read, endings.not_answered, told), (4, 2, [CutCall("/config", 1.0, 2.0)]))


if __name__ == "__main__":
    unittest.main()
