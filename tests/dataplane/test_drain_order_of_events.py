"""Orders of events around SIGTERM in which a request could get a wrong response, each simulated at one frontend in
the virtual network. Times are in seconds since SIGTERM."""

import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from unittest import mock

import trio
from loguru import logger

from rowanshift.dataplane.drain import END_RESERVE_SECONDS, EXIT_RESERVE_SECONDS, Drain, request_kind
from rowanshift.dataplane.load_datagrams import DatagramKind
from rowanshift.dataplane.load_index import ReportedRequest
from rowanshift.dataplane.request_outcomes import EXCUSED_GRACE_FRACTION, RequestOutcomes
from rowanshift.dataplane.service import DataPlaneService
from rowanshift.dataplane.upstream import UpstreamPool
from tests.support.exchange_rig import (
    AfterCut,
    Behaviour,
    Client,
    EmptyLoadIndex,
    ReceivedResponse,
    Rig,
    ServerRequest,
    chunk,
    head,
    play,
    request_bytes,
)

GRACE = 8.0
WORK_ENDS_AT = GRACE - END_RESERVE_SECONDS
RECENT_DURATION = 5.5  # seconds that recent requests of the same kind took
WITHIN = 7.9  # the timeout of a client in seconds, longer than the router runs
NO_TOKENS = request_kind("s", 0)  # the kind of all requests of the rig


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


async def shut_down(rig: Rig) -> None:
    """Run the shutdown of the service from SIGTERM on; the process exits when the simulation ends."""
    service = SimpleNamespace(drain=rig.front.drain, shutdown_requested_at=trio.current_time())
    await DataPlaneService._shut_down(service, rig.front, rig.front.descriptors)


def until_its_end(
    clients: Callable[[Rig], Awaitable[None]], *behaviours: Behaviour, longest: float = 0.0
) -> RequestOutcomes:
    """The request outcomes of a router that gets SIGTERM when ``clients`` start."""

    async def main(rig: Rig) -> RequestOutcomes:
        rig.behaviours += behaviours
        if longest:
            rig.front.drain.durations.record(NO_TOKENS, longest, trio.current_time())
        rig.nursery.start_soon(clients, rig)
        await shut_down(rig)
        return rig.front.outcomes

    return play(main, servers=2)


class Silence(unittest.TestCase):
    """A silent server does not make a draining router abandon a request early."""

    def response(self, longest: float) -> ReceivedResponse:
        """The response to a repeatable request that a server answers late, but before the router exits."""
        answers: list[ReceivedResponse] = []

        async def clients(rig: Rig) -> None:
            await trio.sleep(1.5)
            answers.append(await Client(rig).ask("idempotent", "r1", within=WITHIN))

        until_its_end(clients, Behaviour(wait=4.0), longest=longest)
        return answers[0]

    def test_a_silent_server_is_waited_for_if_no_other_server_may_be_used(self) -> None:
        for longest in (0.0, RECENT_DURATION):
            with self.subTest(longest=longest):
                self.assertEqual(self.response(longest).status, 200)


class LastResponses(unittest.TestCase):
    def test_a_request_read_just_before_the_exit_is_refused_at_once(self) -> None:
        """Its route is unknown, and the control state can't be confirmed before the process exits."""
        for path in ("idempotent", "nowhere"):

            async def clients(rig: Rig, path: str = path) -> None:
                rig.front.state.may_refuse = lambda: False
                rig.front.state.wait_until_may_refuse = trio.sleep
                data = request_bytes(path, "r1", within=WITHIN)
                client = Client(rig)
                await client.send(data[:-1])
                await trio.sleep(WORK_ENDS_AT + 0.1)
                await client.send(data[-1:])

            with self.subTest(path=path):
                outcomes = until_its_end(clients)
                self.assertEqual(outcomes.violation_count(), 0, outcomes.summary())
                self.assertIn("leaving_refusal=1", outcomes.summary())

    def test_all_requests_are_answered_if_abandoning_them_takes_long(self) -> None:
        """A slow processor takes longer to end all requests than the time reserved for last responses."""
        requests, seconds_each = 40, 0.01
        original_close = UpstreamPool.close

        async def clients(rig: Rig) -> None:
            rig.front.forwarder.loads = rig.front.forwarder.attempts.loads = SlowLoads()

            def close(*given: object) -> None:
                rig.clock.time += seconds_each
                original_close(*given)

            rig.nursery.start_soon(patch_close, close)
            for number in range(requests):
                await Client(rig).send(request_bytes("stream", f"r{number}", within=WITHIN))

        async def patch_close(close: Callable[..., None]) -> None:
            await trio.sleep(WORK_ENDS_AT - 0.1)
            UpstreamPool.close = close

        with mock.patch.object(UpstreamPool, "close", original_close):
            outcomes = until_its_end(clients, *[Behaviour(cut=0, then=AfterCut.SILENCE)] * requests)
        self.assertEqual(outcomes.violation_count() + outcomes.excused, 0, outcomes.summary())

    def test_how_long_the_process_stays_for_last_responses(self) -> None:
        drain = Drain(GRACE)
        drain.begin(100.0)
        clients_read_until, last = 107.55, 100.0 + GRACE - EXIT_RESERVE_SECONDS
        for now, open_requests, stays in (
            (107.54, 0, True),
            (clients_read_until, 0, False),
            (clients_read_until, 1, True),
            (last - 0.001, 1, True),
            (last, 1, False),
        ):
            with self.subTest(now=now, open=open_requests):
                self.assertEqual(drain.must_keep_running(now, open_requests, clients_read_until), stays)
        self.assertFalse(drain.must_keep_running(last, 0, last + 1.0))


class SlowLoads(EmptyLoadIndex):
    """Reports each end as a router does: it yields to the event loop once and can't be cancelled."""

    async def report_end(self, request: ReportedRequest, end_kind: DatagramKind) -> None:
        with trio.CancelScope(shield=True):
            await trio.lowlevel.checkpoint()


class SlowClient(unittest.TestCase):
    def run_slow_client(self, within: float) -> RequestOutcomes:
        """The outcomes with a request, sent 4 s after SIGTERM, whose client reads only a part of a long response."""

        async def clients(rig: Rig) -> None:
            await Client(rig).send(request_bytes("stream", "open", within=WITHIN))  # keeps the router running
            await trio.sleep(4.0)
            await Client(rig).send(request_bytes("stream", "r1", within=within))

        async def main(rig: Rig) -> RequestOutcomes:
            rig.behaviours += [Behaviour(cut=0, then=AfterCut.SILENCE), Behaviour(answer=long_stream)]
            rig.nursery.start_soon(clients, rig)
            await shut_down(rig)
            return rig.front.outcomes

        return play(main, servers=2, window=1 << 12)

    def test_a_cut_after_the_deadline_does_not_count_as_cut_by_the_router(self) -> None:
        outcomes = self.run_slow_client(within=3.0)
        self.assertEqual(outcomes.violation_count(), 0, outcomes.summary())
        self.assertIn("leaving_time_up=1", outcomes.summary())


def long_stream(asked: ServerRequest) -> bytes:
    events = b"".join(chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 4000)) for number in range(1, 40))
    return head(asked, 200, b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked") + events + chunk(b"")


class ShortGracePeriod(unittest.TestCase):
    def test_no_request_is_abandoned_before_the_last_sixth(self) -> None:
        """A request that is cut off is excused only in the last sixth of the grace period."""
        for grace in (1.0, 2.0, 3.0, 4.0, 5.0, GRACE, 30.0):
            with self.subTest(grace=grace):
                drain = Drain(grace)
                drain.begin(100.0)
                self.assertGreaterEqual(drain.work_ends_at, 100.0 + EXCUSED_GRACE_FRACTION * grace)


if __name__ == "__main__":
    unittest.main()
