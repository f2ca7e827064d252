"""A router that got SIGTERM: what becomes of each request that it read, and when it ends.

Times are seconds of the virtual clock, told from the SIGTERM on. A request was read if the client's bytes were taken
from the connection. It ends in one of: a whole answer; a whole 503 with ``Retry-After``, if no server ran it; a whole
502 or 504, if one did. Its connection may be cut only if it was sent within ``EARLY`` and a server was still at work
on it in the last sixth of the grace.
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
LAST_SIXTH = GRACE * 5 / 6
EARLY = 3.0  # after it, a request may not be cut at all
ROUTE_TIMEOUT_MS = 30_000  # so that no request ends by its route
CLIENT_WITHIN = 25.0  # so that no client gives up
CLIENT_AIM = 6.0  # clients stay silent for four times as long
GAP, STRIDE = 0.25, 4  # seconds between events of a stream, and tokens in one
SERVERS = dict(slots=200, queue=200, kv_tokens=1_000_000, gap=GAP, stride=STRIDE, crowding=0.0)
PREFIXES = (RESUMED, ONCE, REPEATED)
SERVERS_SEE_IT = 0.5  # seconds in which servers notice that a connection was closed
ENDS_WITHIN = 5.0  # a router that got only short requests has ended by then
MAY_HAVE_RUN = (502, 504)


@pytest.fixture(autouse=True)
def quiet():
    logger.disable("rowanshift")
    yield
    logger.enable("rowanshift")


@dataclass(slots=True)
class Leave:
    """One router that is told to stop, and its clients."""

    fleet: Fleet
    nursery: trio.Nursery
    told_at: float = 0.0
    ended_at: float = 0.0  # of the router, from the SIGTERM on

    @property
    def unit(self):
        return self.fleet.routers[0]

    def now(self) -> float:
        return self.fleet.now() - self.told_at

    async def until(self, at: float) -> None:
        await trio.sleep(max(0.0, at - self.now()))

    async def see_its_end(self) -> None:
        await self.fleet.until(lambda: not self.unit.machine.running, 2 * GRACE)
        self.ended_at = self.now()

    def client(self, keeps: bool = False) -> Patron:
        fleet = self.fleet
        name = f"p{len(fleet.patrons)}"
        made = Patron(fleet.outside, name, fleet.now, fleet.facts, fleet.fronts[:1], fleet.random_source, keeps)
        fleet.patrons.append(made)
        return made

    def work(self, prefix: str, seconds: float) -> Work:
        """A request of which the answer lasts so long."""
        own = f"own-{self.fleet.now():.4f}"
        work = self.fleet.work(prefix, "key-1", own, out=STRIDE * (1 + round(seconds / GAP)))
        return replace(work, within=CLIENT_WITHIN, aim=CLIENT_AIM)

    def ask(self, prefix: str, seconds: float) -> None:
        """A request on a new connection."""
        self.nursery.start_soon(self.client().ask, self.work(prefix, seconds))

    async def ask_on_kept(self, prefix: str, first: float, second: float) -> None:
        """A request, and one more on its connection as soon as the first has its answer."""
        client = self.client(keeps=True)
        await client.ask(self.work(prefix, first))
        if client.kept:
            await client.ask(self.work(prefix, second))


def leave(clients: Callable[[Leave], Awaitable[None]], before: float = 0.5, **servers: float) -> tuple[Fleet, Leave]:
    """Plays clients of a router that gets SIGTERM ``before`` s after they began, until all have their ends."""

    async def main(fleet: Fleet) -> Leave:
        routes = [route | {"timeoutMs": ROUTE_TIMEOUT_MS} for route in routes_of()]
        await fleet.start(config_of(1, routes=routes))
        async with trio.open_nursery() as nursery:
            made = Leave(fleet, nursery, fleet.now() + before)
            nursery.start_soon(clients, made)
            await made.until(0.0)
            fleet.terminate(made.unit)
            nursery.start_soon(made.see_its_end)
        await trio.sleep(SERVERS_SEE_IT)
        return made

    made, fleet = play(main, **(SERVERS | servers))
    return fleet, made


def tries(fleet: Fleet) -> list[Try]:
    return [attempt for patron in fleet.patrons for attempt in patron.tries]


def read(fleet: Fleet) -> list[Try]:
    """Those that the router read."""
    return [attempt for attempt in tries(fleet) if attempt.taken and attempt.how != "no way"]


def end(attempt: Try, told_at: float) -> str:
    asked, ended = attempt.asked_at - told_at, attempt.ended_at - told_at
    return f"{attempt.id} sent at {asked:.2f} ended at {ended:.2f}: {attempt.how} {attempt.status}"


def answered(attempt: Try, fleet: Fleet) -> bool:
    """Whether it got a whole answer, or a whole refusal that tells the truth."""
    ran = any(fact.id == attempt.id for fact in fleet.of(Began))
    if attempt.status == 503:
        final = not ran and attempt.field(b"retry-after") != ""
    else:
        final = 200 <= attempt.status < 300 or (attempt.status in MAY_HAVE_RUN and ran)
    return attempt.how == "whole" and final


def may_be_cut(attempt: Try, fleet: Fleet, told_at: float) -> bool:
    """Whether it was sent early, and a server was still at work on it in the last sixth of the grace."""
    worked_until = [fact.at for fact in fleet.of(Finished) if fact.id == attempt.id]
    late_enough = min([attempt.ended_at, *worked_until]) >= told_at + LAST_SIXTH
    cut = attempt.how in ("broken", "closed")
    return cut and attempt.asked_at <= told_at + EARLY and bool(worked_until) and late_enough


def faults(fleet: Fleet, made: Leave) -> list[str]:
    """The requests that were read and did not end as they may."""
    return [
        end(attempt, made.told_at)
        for attempt in read(fleet)
        if not answered(attempt, fleet) and not may_be_cut(attempt, fleet, made.told_at)
    ]


class TestLeaving:
    def test_what_comes_late_is_not_cut_and_does_not_keep_it_from_ending(self):
        """One cause: it takes each request until its end, whatever is left of the grace."""

        async def new_connections(made: Leave) -> None:
            for n in range(34):
                made.ask(PREFIXES[n % 3], (0.5, 3.0, 5.0, 4.0)[n % 4])
                await trio.sleep(0.25)

        async def kept_connections(made: Leave) -> None:
            for n in range(12):  # the first answers end from the SIGTERM on until 6 s after it
                made.nursery.start_soon(made.ask_on_kept, PREFIXES[n % 3], 0.75 + 0.5 * n, 5.0)

        async def short_requests(made: Leave) -> None:
            while made.now() < GRACE:  # several are always open
                made.ask(PREFIXES[0], 0.25)
                await trio.sleep(0.05)

        found = []
        for clients in (new_connections, kept_connections, short_requests):
            fleet, made = leave(clients)
            assert len(read(fleet)) > 8
            found += [f"{clients.__name__}: {told}" for told in faults(fleet, made)]
        if made.ended_at > ENDS_WITHIN:  # with short requests alone
            found.append(f"short_requests: the router ended at {made.ended_at:.2f}")
        assert not found, "\n" + "\n".join(found)

    def test_a_request_without_a_byte_of_its_answer_is_answered_at_the_end(self):
        """Servers read the prompt for longer than the grace."""

        async def clients(made: Leave) -> None:
            for n in range(6):  # until 2 s after the SIGTERM
                made.ask(PREFIXES[n % 3], 0.5)
                await trio.sleep(0.5)

        async def wait_for_the_core(made: Leave) -> None:
            made.ask(ONCE, 15.0)  # without it the router would have ended
            await made.until(GRACE - 1.2)
            made.fleet.cut(made.unit, made.fleet.cores)
            made.unit.program.control_client.mark_stale()
            for _ in range(4):  # each waits until what is known is confirmed
                made.ask(REPEATED, 0.5)
                await trio.sleep(0.1)

        fleet, made = leave(clients, prefill_base=20.0)
        assert len(read(fleet)) == 6
        found = [end(attempt, made.told_at) for attempt in read(fleet) if not answered(attempt, fleet)]
        fleet, made = leave(wait_for_the_core)
        found += [end(attempt, made.told_at) for attempt in read(fleet)[1:] if not answered(attempt, fleet)]
        assert not found, "\n" + "\n".join(found)

    def test_a_stream_longer_than_the_grace_is_not_cut_before_the_last_sixth(self):
        async def clients(made: Leave) -> None:
            for at in (-0.4, 0.1, 0.5, 0.9):
                await made.until(at)
                made.ask(ONCE, 15.0)

        fleet, made = leave(clients)
        assert [attempt.how for attempt in read(fleet)] == ["broken"] * 4
        assert faults(fleet, made) == []

    def test_an_idle_router_ends_once_it_was_noticed(self):
        async def nobody(made: Leave) -> None:
            await trio.lowlevel.checkpoint()

        _, made = leave(nobody)
        assert 0.0 < made.ended_at < ENDS_WITHIN

    def test_streams_that_end_within_the_grace_are_whole(self):
        async def clients(made: Leave) -> None:
            for n in range(8):  # until 1.5 s after the SIGTERM
                made.ask(PREFIXES[n % 3], 4.0)
                await trio.sleep(0.25)

        fleet, made = leave(clients)
        assert [(attempt.how, attempt.status) for attempt in tries(fleet)] == [("whole", 200)] * 8
        assert made.ended_at < GRACE
