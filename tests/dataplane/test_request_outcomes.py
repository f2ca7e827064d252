"""Each request that a router has read gets exactly one outcome, and violations are counted."""

import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any
from unittest import mock

import trio
from loguru import logger

from rowanshift.dataplane import drain
from rowanshift.dataplane.request_outcomes import (
    ClosedRequest,
    ProcessPhase,
    RequestOutcome,
    RequestOutcomes,
    ShutdownTimes,
    TrackedRequest,
    Violation,
)
from rowanshift.emulation.system_clients import Patron
from rowanshift.invariants.facts import CallCut, RequestCut
from rowanshift.simulation.fleet import ONCE, REPEATED, RESUMED, Fleet, ViolatedOutcomes, config_of, play
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.transport.call_server import CallOutcome, CallOutcomes, CutCall
from rowanshift.transport.streams import connect, send_all
from tests.support.exchange_rig import FRONTEND_PORT, KINDS, AfterCut, Behaviour, Client, Rig, rejection, request_bytes
from tests.support.exchange_rig import play as play_exchange

GRACE = 6.0  # seconds
MID_STREAM_BYTES = 200  # a cut after these bytes is in the middle of a stream's events
SETTLE_SECONDS = 3.0  # an exchange has certainly ended after this time


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class Counts(unittest.TestCase):
    def setUp(self) -> None:
        self.outcomes = RequestOutcomes()

    def track(self, now: float = 1.0, number_on_connection: int = 1) -> TrackedRequest:
        return self.outcomes.track("r", now, number_on_connection, now)

    def test_an_outcome_is_counted_once_in_the_phase_of_its_end(self) -> None:
        early, late = self.track(), self.track()
        self.outcomes.close(early, RequestOutcome.COMPLETED, 2.0)
        self.outcomes.begin_shutdown(3.0, GRACE)
        self.outcomes.close(late, RequestOutcome.REFUSED, 4.0, status=503)
        self.assertEqual(self.outcomes.outcomes[ProcessPhase.SERVING], {RequestOutcome.COMPLETED: 1})
        self.assertEqual(self.outcomes.outcomes[ProcessPhase.SHUTTING_DOWN], {RequestOutcome.REFUSED: 1})
        self.assertEqual((self.outcomes.violation_count(), self.outcomes.close_remaining(5.0)), (0, []))

    def test_only_the_outcome_cut_by_router_is_a_violation(self) -> None:
        for outcome in RequestOutcome:
            with self.subTest(outcome=outcome):
                outcomes = RequestOutcomes()
                ended = outcomes.close(outcomes.track("r", 0.0, 1, 0.0), outcome, 1.0)
                cut = outcome is RequestOutcome.CUT_BY_ROUTER
                self.assertEqual(outcomes.violation_count(), int(cut))
                self.assertEqual(ended.violation, Violation.CUT_BY_ROUTER if cut else None)

    def test_a_request_closed_twice(self) -> None:
        request = self.track()
        self.outcomes.close(request, RequestOutcome.COMPLETED, 2.0)
        ended = self.outcomes.close(request, RequestOutcome.REFUSED, 3.0)
        self.assertEqual(ended.violation, Violation.CLOSED_TWICE)
        self.assertEqual(self.outcomes.violations[ProcessPhase.SERVING], {Violation.CLOSED_TWICE: 1})
        self.assertEqual(self.outcomes.outcomes[ProcessPhase.SERVING], {RequestOutcome.COMPLETED: 1})

    def test_a_request_never_closed(self) -> None:
        request = self.track()
        self.outcomes.begin_shutdown(3.0, GRACE)
        self.assertEqual([ended.request for ended in self.outcomes.close_remaining(9.0)], [request])
        self.assertEqual(self.outcomes.violations[ProcessPhase.SHUTTING_DOWN], {Violation.NEVER_CLOSED: 1})
        self.assertEqual(self.outcomes.close_remaining(9.0), [])
        self.assertEqual(self.outcomes.close(request, RequestOutcome.COMPLETED, 9.0).violation, Violation.CLOSED_TWICE)

    def test_times_of_the_shutdown(self) -> None:
        request = self.outcomes.track("r", 8.0, 2, 11.0)
        self.outcomes.begin_shutdown(10.0, GRACE)
        self.outcomes.begin_shutdown(12.0, GRACE)  # a second signal changes nothing
        ended = self.outcomes.close(request, RequestOutcome.CUT_BY_ROUTER, 15.0, bytes_written=7)
        self.assertEqual(ended.shutdown, ShutdownTimes(5.0, 1.0, 1.0, 5.0, -2.0))
        self.assertEqual((request.reused_connection, ended.bytes_written), (True, 7))

    def test_no_shutdown_times_while_serving(self) -> None:
        ended = self.outcomes.close(self.track(), RequestOutcome.COMPLETED, 2.0)
        self.assertIsNone(ended.shutdown)

    def test_connections_since_the_signal(self) -> None:
        shutdown = self.outcomes.begin_shutdown(10.0, GRACE)
        for at in (10.5, 11.0, 12.0):
            shutdown.record_connection(at)
        self.assertEqual(
            (shutdown.new_connections, shutdown.first_connection_at, shutdown.last_connection_at), (3, 10.5, 12.0)
        )


class Excused(unittest.TestCase):
    """With the signal at 10 s and a grace period of 6 s, a cut is excused from 15 s on for requests read by 13 s."""

    def cut(self, received_at: float, at: float, is_shutting_down: bool = True) -> RequestOutcomes:
        outcomes, reported = RequestOutcomes(), []
        outcomes.on_violation = reported.append
        request = outcomes.track("r", received_at, 1, received_at)
        if is_shutting_down:
            outcomes.begin_shutdown(10.0, GRACE)
        ended = outcomes.close(request, RequestOutcome.CUT_BY_ROUTER, at)
        self.assertEqual(reported, [ended])
        self.assertEqual((outcomes.excused, outcomes.violation_count()), (int(ended.excused), int(not ended.excused)))
        return outcomes

    def test_both_sides_of_each_bound(self) -> None:
        for received_at, at, excused in (
            (9.0, 15.0, 1),
            (13.0, 15.0, 1),
            (13.01, 15.0, 0),
            (13.0, 14.99, 0),
            (13.0, 18.0, 1),
            (9.0, 11.0, 0),
        ):
            with self.subTest(received_at=received_at, at=at):
                self.assertEqual(self.cut(received_at, at).excused, excused)

    def test_never_while_serving(self) -> None:
        self.assertEqual(self.cut(9.0, 15.0, is_shutting_down=False).excused, 0)

    def test_other_violations_are_never_excused(self) -> None:
        outcomes = RequestOutcomes()
        outcomes.begin_shutdown(10.0, GRACE)
        request = outcomes.track("r", 10.0, 1, 10.0)
        outcomes.close(request, RequestOutcome.CUT_BY_ROUTER, 15.5)
        outcomes.close(request, RequestOutcome.CUT_BY_ROUTER, 15.5)
        outcomes.track("s", 10.0, 1, 10.0)
        outcomes.close_remaining(16.0)
        self.assertEqual(outcomes.excused, 1)
        self.assertEqual(
            outcomes.violations[ProcessPhase.SHUTTING_DOWN], {Violation.CLOSED_TWICE: 1, Violation.NEVER_CLOSED: 1}
        )

    def test_the_summary_counts_excused_requests(self) -> None:
        self.assertIn("leaving_cut_by_router=1 excused=1 violations=0", self.cut(10.0, 15.0).summary())
        reported = self.cut(13.5, 15.0).summary()
        self.assertIn("leaving_cut_by_router=1 leaving_violation_cut_by_router=1 excused=0 violations=1", reported)


class FrontendOutcomes(unittest.TestCase):
    """Each outcome of an exchange in the virtual network."""

    def outcome_of(self, main: Callable[[Rig, Client], Awaitable[Any]], *behaviours: Behaviour) -> RequestOutcome:
        """The outcome of the only request, which ``main`` sends."""

        async def run(rig: Rig) -> RequestOutcomes:
            rig.behaviours += behaviours
            await main(rig, Client(rig))
            await trio.sleep(SETTLE_SECONDS)
            return rig.front.outcomes

        outcomes = play_exchange(run, servers=2)
        (outcome,) = outcomes.outcomes[ProcessPhase.SERVING].elements()
        self.assertEqual(len(outcomes.open), 0)
        self.assertEqual(outcomes.violation_count(), int(outcome is RequestOutcome.CUT_BY_ROUTER))
        return outcome

    def outcome_of_request(self, kind: str, *behaviours: Behaviour) -> RequestOutcome:
        """The outcome of a request whose client waits for it."""

        async def main(rig: Rig, client: Client) -> None:
            await client.ask(kind, "r1")

        return self.outcome_of(main, *behaviours)

    def test_a_complete_response(self) -> None:
        for kind in KINDS:
            self.assertEqual(self.outcome_of_request(kind), RequestOutcome.COMPLETED)

    def test_a_complete_response_from_a_second_server(self) -> None:
        self.assertEqual(
            self.outcome_of_request("idempotent", Behaviour(cut=0, then=AfterCut.RESET)), RequestOutcome.COMPLETED
        )
        self.assertEqual(
            self.outcome_of_request("resumable", Behaviour(cut=MID_STREAM_BYTES, then=AfterCut.RESET)),
            RequestOutcome.COMPLETED,
        )

    def test_a_refusal(self) -> None:
        self.assertEqual(
            self.outcome_of_request("non_idempotent", Behaviour(cut=0, then=AfterCut.RESET)), RequestOutcome.REFUSED
        )

    def test_a_refusal_of_a_malformed_request(self) -> None:
        async def main(rig: Rig, client: Client) -> None:
            await client.send(b"GET /idempotent/ HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertEqual((await client.answer()).status, 400)

        self.assertEqual(self.outcome_of(main), RequestOutcome.REFUSED)

    def test_a_server_that_ends_a_response_early(self) -> None:
        for then in (AfterCut.RESET, AfterCut.CLOSE):
            self.assertEqual(
                self.outcome_of_request("stream", Behaviour(cut=MID_STREAM_BYTES, then=then)),
                RequestOutcome.SERVER_BROKE_OFF,
            )

    def test_the_deadline_passes(self) -> None:
        silent = Behaviour(cut=MID_STREAM_BYTES, then=AfterCut.SILENCE)
        self.assertEqual(self.outcome_of_request("stream", silent), RequestOutcome.TIMED_OUT)

    def test_the_client_disconnects(self) -> None:
        async def main(rig: Rig, client: Client) -> None:
            await client.send(request_bytes("stream", "r1"))
            await trio.sleep(0.1)
            client.close()

        for cut in (0, MID_STREAM_BYTES):
            self.assertEqual(
                self.outcome_of(main, Behaviour(cut=cut, then=AfterCut.SILENCE)), RequestOutcome.CLIENT_DISCONNECTED
            )

    def test_a_server_that_is_abandoned_after_its_response_started(self) -> None:
        """The server stays silent and no other server resumes the stream."""
        silent = Behaviour(cut=MID_STREAM_BYTES, then=AfterCut.SILENCE)
        refused = Behaviour(rejection(503, b"Not-Executed: 1"))
        self.assertEqual(self.outcome_of_request("resumable", silent, refused), RequestOutcome.CUT_BY_ROUTER)

    def test_a_request_that_is_cancelled(self) -> None:
        """Before its response has started, and in the middle of it."""
        for cut in (0, MID_STREAM_BYTES):

            async def main(rig: Rig, cut: int = cut) -> RequestOutcomes:
                rig.behaviours.append(Behaviour(cut=cut, then=AfterCut.SILENCE))
                stream = rig.client_machine.stream()
                await connect(stream, (rig.router.address, FRONTEND_PORT))
                await send_all(stream, request_bytes("stream", "r1"))
                await trio.sleep(0.1)
                self.assertEqual(len(rig.front.outcomes.open), 1)
                return rig.front.outcomes

            outcomes = play_exchange(main, servers=1)
            self.assertEqual(outcomes.outcomes[ProcessPhase.SERVING], {RequestOutcome.CUT_BY_ROUTER: 1})
            self.assertEqual(outcomes.violations[ProcessPhase.SERVING], {Violation.CUT_BY_ROUTER: 1})
            self.assertEqual(len(outcomes.open), 0)


class DuringShutdown(unittest.TestCase):
    def lines(self) -> list[str]:
        """The log of a router that gets SIGTERM while a client keeps sending requests."""
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

    def test_logged_events(self) -> None:
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


class InSimulations(unittest.TestCase):
    """A simulated run fails if the machines themselves counted violations; the tests inject faults to check that."""

    async def scenario(self, fleet: Fleet, fault: Callable[[Fleet, Unit], None] = Fleet.terminate) -> None:
        await fleet.start()
        for n in range(6):
            fleet.client(f"c{n}", ONCE, "key-1", 0.05, 400)
        await trio.sleep(1)
        router = fleet.routers[0]
        await fleet.until(lambda: router.program.frontend.open_requests >= 2)
        fault(fleet, router)
        await trio.sleep(7.5)

    def assert_found(self, text: str) -> None:
        """A strict run fails with this text; one that is not strict reports it as a violation."""
        with self.assertRaisesRegex(ViolatedOutcomes, f"ENDING .*{text}"):
            play(self.scenario)
        breaches = play(self.scenario, strict=False)[1].breaches()
        self.assertIn("ENDING", {violation.rule for violation in breaches if text in violation.why})

    def test_nothing_is_found_without_a_fault(self) -> None:
        play(self.scenario)

    def test_requests_cut_at_sigterm(self) -> None:
        with mock.patch.multiple(drain, NOTICE_SECONDS=0.05, END_RESERVE_SECONDS=8.0, END_RESERVE_MAX_FRACTION=1.0):
            self.assert_found("cut_by_router")

    def test_a_router_that_gets_requests_until_it_ends(self) -> None:
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
        self.assertEqual([str(violation) for violation in fleet.breaches()], [])

    def test_a_request_that_is_never_closed(self) -> None:
        original = RequestOutcomes.close

        def close_without_recording(outcomes, request, *arguments, **keywords):
            if outcomes.shutdown is not None:
                return ClosedRequest(request, RequestOutcome.COMPLETED, 0.0)
            return original(outcomes, request, *arguments, **keywords)

        with mock.patch.object(RequestOutcomes, "close", close_without_recording):
            self.assert_found("never_closed")

    def test_a_request_that_is_closed_twice(self) -> None:
        original = RequestOutcomes.close

        def close_twice(outcomes, request, *arguments, **keywords):
            original(outcomes, request, *arguments, **keywords)
            return original(outcomes, request, *arguments, **keywords)

        with mock.patch.object(RequestOutcomes, "close", close_twice):
            self.assert_found("closed_twice")

    def test_unplanned_failures_of_the_router_excuse_cuts(self) -> None:
        for fault in (Fleet.kill, Fleet.cut_power):
            with self.subTest(fault.__name__):
                _, fleet = play(partial(self.scenario, fault=fault))
                self.assertGreater(len(fleet.of(RequestCut)), 0)

    def test_failures_of_another_router_do_not_excuse_cuts(self) -> None:
        def fault(fleet: Fleet, router: Unit) -> None:
            fleet.kill(fleet.routers[1])
            fleet.terminate(router)

        with (
            mock.patch.multiple(drain, NOTICE_SECONDS=0.05, END_RESERVE_SECONDS=8.0, END_RESERVE_MAX_FRACTION=1.0),
            self.assertRaisesRegex(ViolatedOutcomes, "router-0: cut_by_router"),
        ):
            play(partial(self.scenario, fault=fault))


class Calls(unittest.TestCase):
    """Calls to a core machine's API that were read and not answered."""

    async def scenario(self, fleet: Fleet, fault: Callable[[Fleet, Unit], None]) -> None:
        """An operator sends a configuration, which takes the primary's disk a second; ``fault`` happens meanwhile."""
        await fleet.start()
        unit = fleet.primary()
        unit.machine.drive.hang(1.0)
        fleet.nursery.start_soon(fleet.put, config_of(2))
        self.assertTrue(await fleet.until(lambda: unit.program.calls.not_answered > 0, 0.8))
        fault(fleet, unit)
        await trio.sleep(2.0)

    def end_program(self, fleet: Fleet, unit: Unit) -> None:
        """End the unit's program immediately."""
        unit.should_run = False
        unit.machine.scope.cancel()

    def test_a_call_that_is_cut(self) -> None:
        with self.assertRaisesRegex(ViolatedOutcomes, "core-.*a call was read and not answered"):
            play(partial(self.scenario, fault=self.end_program))

    def test_unplanned_failures_of_the_machine_excuse_cuts(self) -> None:
        def fault(fleet: Fleet, unit: Unit) -> None:
            fleet.freeze(unit)
            fleet.thaw(unit)
            self.end_program(fleet, unit)

        _, fleet = play(partial(self.scenario, fault=fault))
        self.assertEqual([cut.target for cut in fleet.of(CallCut)], ["/config"])
        play(partial(self.scenario, fault=Fleet.kill))

    def test_a_core_machine_that_gets_sigterm(self) -> None:
        play(partial(self.scenario, fault=Fleet.terminate))

    def test_counters(self) -> None:
        outcomes, reported = CallOutcomes(), []
        outcomes.watch = reported.append
        for outcome in CallOutcome:
            outcomes.record_read()
            outcomes.record_end(outcome, "/config", 1.0, 2.0)
        outcomes.record_read()
        self.assertEqual((outcomes.read, outcomes.not_answered, reported), (4, 2, [CutCall("/config", 1.0, 2.0)]))


if __name__ == "__main__":
    unittest.main()
