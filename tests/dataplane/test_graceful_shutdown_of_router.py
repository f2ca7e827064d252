"""A router that got SIGTERM: the end of each request that it read, and the time at which the router ends.

Times are in seconds of the virtual clock since the SIGTERM. A request was read if the client's bytes were received
from the connection. It must end in a complete response, a complete 503 with ``Retry-After`` if no server ran it, or a
complete 502 or 504 if one did. Its connection may be cut only if the request was sent within
``CUT_ALLOWED_ARRIVAL_SECONDS`` and a server was still working on it in the last sixth of the grace period.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import pytest
import trio
from loguru import logger

from rowanshift.emulation.system_clients import Patron, Try, Work
from rowanshift.invariants.facts import Began, Finished
from rowanshift.simulation.fleet import ONCE, REPEATED, RESUMED, Fleet, config_of, play, routes_of
from rowanshift.simulation.fleet_settings import BOUNDS

GRACE = float(BOUNDS["graceS"])
LAST_SIXTH_SECONDS = GRACE * 5 / 6
CUT_ALLOWED_ARRIVAL_SECONDS = 3.0  # a request sent later may not be cut at all
ROUTE_TIMEOUT_MS = 30_000  # so that no request reaches its route's timeout
CLIENT_DEADLINE_SECONDS = 25.0  # so that no client reaches its deadline
CLIENT_TARGET_LATENCY_SECONDS = 6.0  # clients wait four times as long for a response
EVENT_INTERVAL_SECONDS, TOKENS_PER_EVENT = 0.25, 4  # shape of the servers' streams
SERVERS = dict(
    slots=200, queue=200, kv_tokens=1_000_000, gap=EVENT_INTERVAL_SECONDS, stride=TOKENS_PER_EVENT, crowding=0.0
)
PREFIXES = (RESUMED, ONCE, REPEATED)
SERVERS_NOTICE_SECONDS = 0.5  # servers notice within this time that a connection was closed
SHORT_SHUTDOWN_SECONDS = 5.0  # a router with only short requests ends within this time
MAY_HAVE_RUN = (502, 504)


@pytest.fixture(autouse=True)
def quiet():
    logger.disable("rowanshift")
    yield
    logger.enable("rowanshift")


@dataclass(slots=True)
class Shutdown:
    """A router that gets SIGTERM, and its clients."""

    fleet: Fleet
    nursery: trio.Nursery
    signal_at: float = 0.0
    ended_at: float = 0.0  # end of the router, in seconds since the SIGTERM

    @property
    def unit(self):
        return self.fleet.routers[0]

    def now(self) -> float:
        return self.fleet.now() - self.signal_at

    async def until(self, at: float) -> None:
        await trio.sleep(max(0.0, at - self.now()))

    async def wait_for_end(self) -> None:
        await self.fleet.until(lambda: not self.unit.machine.running, 2 * GRACE)
        self.ended_at = self.now()

    def client(self, keeps: bool = False) -> Patron:
        fleet = self.fleet
        name = f"p{len(fleet.patrons)}"
        client = Patron(fleet.outside, name, fleet.now, fleet.facts, fleet.fronts[:1], fleet.random_source, keeps)
        fleet.patrons.append(client)
        return client

    def work(self, prefix: str, seconds: float) -> Work:
        """A request whose response takes ``seconds``."""
        own = f"own-{self.fleet.now():.4f}"
        work = self.fleet.work(
            prefix, "key-1", own, out=TOKENS_PER_EVENT * (1 + round(seconds / EVENT_INTERVAL_SECONDS))
        )
        return replace(work, within=CLIENT_DEADLINE_SECONDS, aim=CLIENT_TARGET_LATENCY_SECONDS)

    def ask(self, prefix: str, seconds: float) -> None:
        """Send a request on a new connection."""
        self.nursery.start_soon(self.client().ask, self.work(prefix, seconds))

    async def ask_on_kept(self, prefix: str, first: float, second: float) -> None:
        """Send a request, and another one on its connection as soon as the first is answered."""
        client = self.client(keeps=True)
        await client.ask(self.work(prefix, first))
        if client.kept:
            await client.ask(self.work(prefix, second))


def shut_down_router(
    clients: Callable[[Shutdown], Awaitable[None]], before: float = 0.5, **servers: float
) -> tuple[Fleet, Shutdown]:
    """Run clients of a router that gets SIGTERM ``before`` s after their start, until all of them have ended."""

    async def main(fleet: Fleet) -> Shutdown:
        routes = [route | {"timeoutMs": ROUTE_TIMEOUT_MS} for route in routes_of()]
        await fleet.start(config_of(1, routes=routes))
        async with trio.open_nursery() as nursery:
            shutdown = Shutdown(fleet, nursery, fleet.now() + before)
            nursery.start_soon(clients, shutdown)
            await shutdown.until(0.0)
            fleet.terminate(shutdown.unit)
            nursery.start_soon(shutdown.wait_for_end)
        await trio.sleep(SERVERS_NOTICE_SECONDS)
        return shutdown

    shutdown, fleet = play(main, **(SERVERS | servers))
    return fleet, shutdown


def attempts(fleet: Fleet) -> list[Try]:
    return [attempt for patron in fleet.patrons for attempt in patron.tries]


def read_attempts(fleet: Fleet) -> list[Try]:
    """The attempts whose requests the router read."""
    return [attempt for attempt in attempts(fleet) if attempt.taken and attempt.how != "no way"]


def describe(attempt: Try, signal_at: float) -> str:
    sent, ended = attempt.asked_at - signal_at, attempt.ended_at - signal_at
    return f"{attempt.id} sent at {sent:.2f} ended at {ended:.2f}: {attempt.how} {attempt.status}"


def is_answered(attempt: Try, fleet: Fleet) -> bool:
    """Whether it got a complete response, or a complete refusal whose status matches what servers did."""
    ran = any(fact.id == attempt.id for fact in fleet.of(Began))
    if attempt.status == 503:
        final = not ran and attempt.field(b"retry-after") != ""
    else:
        final = 200 <= attempt.status < 300 or (attempt.status in MAY_HAVE_RUN and ran)
    return attempt.how == "whole" and final


def may_be_cut(attempt: Try, fleet: Fleet, signal_at: float) -> bool:
    """Whether it was sent early, and a server was still working on it in the last sixth of the grace period."""
    worked_until = [fact.at for fact in fleet.of(Finished) if fact.id == attempt.id]
    late_enough = min([attempt.ended_at, *worked_until]) >= signal_at + LAST_SIXTH_SECONDS
    was_cut = attempt.how in ("broken", "closed")
    return (
        was_cut and attempt.asked_at <= signal_at + CUT_ALLOWED_ARRIVAL_SECONDS and bool(worked_until) and late_enough
    )


def faults(fleet: Fleet, shutdown: Shutdown) -> list[str]:
    """Descriptions of the requests that were read and ended in a way that is not allowed."""
    return [
        describe(attempt, shutdown.signal_at)
        for attempt in read_attempts(fleet)
        if not is_answered(attempt, fleet) and not may_be_cut(attempt, fleet, shutdown.signal_at)
    ]


class TestGracefulShutdown:
    def test_late_requests_are_not_cut_and_do_not_delay_the_end(self):
        """Guards against accepting every request until the end, however little of the grace period remains."""

        async def new_connections(shutdown: Shutdown) -> None:
            for n in range(34):
                shutdown.ask(PREFIXES[n % 3], (0.5, 3.0, 5.0, 4.0)[n % 4])
                await trio.sleep(0.25)

        async def kept_connections(shutdown: Shutdown) -> None:
            for n in range(12):  # the first responses end between the SIGTERM and 6 s after it
                shutdown.nursery.start_soon(shutdown.ask_on_kept, PREFIXES[n % 3], 0.75 + 0.5 * n, 5.0)

        async def short_requests(shutdown: Shutdown) -> None:
            while shutdown.now() < GRACE:  # several are always open
                shutdown.ask(PREFIXES[0], 0.25)
                await trio.sleep(0.05)

        found = []
        for clients in (new_connections, kept_connections, short_requests):
            fleet, shutdown = shut_down_router(clients)
            assert len(read_attempts(fleet)) > 8
            found += [f"{clients.__name__}: {fault}" for fault in faults(fleet, shutdown)]
        if shutdown.ended_at > SHORT_SHUTDOWN_SECONDS:  # the last run had only short requests
            found.append(f"short_requests: the router ended at {shutdown.ended_at:.2f}")
        assert not found, "\n" + "\n".join(found)

    def test_a_request_without_a_response_byte_is_answered_at_the_end(self):
        """Servers process the prompt for longer than the grace period."""

        async def clients(shutdown: Shutdown) -> None:
            for n in range(6):  # the last one is sent 2 s after the SIGTERM
                shutdown.ask(PREFIXES[n % 3], 0.5)
                await trio.sleep(0.5)

        async def wait_for_the_core(shutdown: Shutdown) -> None:
            shutdown.ask(ONCE, 15.0)  # keeps the router from ending earlier
            await shutdown.until(GRACE - 1.2)
            shutdown.fleet.cut(shutdown.unit, shutdown.fleet.cores)
            shutdown.unit.program.control_client.mark_stale()
            for _ in range(4):  # each waits until the control state is confirmed
                shutdown.ask(REPEATED, 0.5)
                await trio.sleep(0.1)

        fleet, shutdown = shut_down_router(clients, prefill_base=20.0)
        assert len(read_attempts(fleet)) == 6
        found = [
            describe(attempt, shutdown.signal_at) for attempt in read_attempts(fleet) if not is_answered(attempt, fleet)
        ]
        fleet, shutdown = shut_down_router(wait_for_the_core)
        found += [
            describe(attempt, shutdown.signal_at)
            for attempt in read_attempts(fleet)[1:]
            if not is_answered(attempt, fleet)
        ]
        assert not found, "\n" + "\n".join(found)

    def test_a_stream_longer_than_the_grace_period_is_not_cut_before_its_last_sixth(self):
        async def clients(shutdown: Shutdown) -> None:
            for at in (-0.4, 0.1, 0.5, 0.9):
                await shutdown.until(at)
                shutdown.ask(ONCE, 15.0)

        fleet, shutdown = shut_down_router(clients)
        assert [attempt.how for attempt in read_attempts(fleet)] == ["broken"] * 4
        assert faults(fleet, shutdown) == []

    def test_an_idle_router_ends_after_the_notice_period(self):
        async def no_clients(shutdown: Shutdown) -> None:
            await trio.lowlevel.checkpoint()

        _, shutdown = shut_down_router(no_clients)
        assert 0.0 < shutdown.ended_at < SHORT_SHUTDOWN_SECONDS

    def test_streams_that_end_within_the_grace_period_are_complete(self):
        async def clients(shutdown: Shutdown) -> None:
            for n in range(8):  # the last one is sent 1.25 s after the SIGTERM
                shutdown.ask(PREFIXES[n % 3], 4.0)
                await trio.sleep(0.25)

        fleet, shutdown = shut_down_router(clients)
        assert [(attempt.how, attempt.status) for attempt in attempts(fleet)] == [("whole", 200)] * 8
        assert shutdown.ended_at < GRACE
