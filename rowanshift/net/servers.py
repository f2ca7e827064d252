"""The server side: connection pools, dialling, and each hand-off to one ``Verdict``."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio
from loguru import logger

from rowanshift.model import Verdict
from rowanshift.net.budget import Budget
from rowanshift.net.clock import Clock
from rowanshift.net.connection import Connection, Oversize, end_to_end
from rowanshift.net.exchange import HandOff, Reply

REMARKS = {b"hit": 1, b"miss": 2, b"pending": 3}
SPARE = 0.8  # part of the idle time that a connection is kept for: the server may close at the latest then

Done = Callable[[HandOff, Verdict, int | None, Reply | None], None]


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a server, and what it is to carry next."""

    server: str
    connection: Connection
    since: float = 0.0  # idle
    job: HandOff | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: bool = False


def verdict_of(head: h11.Response) -> Verdict:
    match head.status_code:
        case 200:
            return Verdict.FINISHED
        case 404:
            return Verdict.MISS
        case 503 | 504 if (b"x-turned-away", b"1") in head.headers:
            return Verdict.FULL
    return Verdict.ERROR


class Servers:
    def __init__(self, clock: Clock, dial_within: float, idle_for: float, budget: Budget,
                 nursery: trio.Nursery) -> None:
        self.clock, self.budget, self.nursery = clock, budget, nursery
        self.dial_within, self.idle_for = dial_within, SPARE * idle_for
        self.addresses: dict[str, tuple[str, int]] = {}
        self.idle: dict[str, list[Link]] = {}  # the newest last
        self.dialling: dict[str, set[trio.CancelScope]] = {}
        self.out: dict[tuple[int, int], trio.CancelScope] = {}  # of hand-offs without an outcome
        self.withdrawn: set[tuple[int, int]] = set()
        self.done: Done = lambda *_: None
        budget.reclaim.insert(0, self.drop_idle)

    # calls ------------------------------------------------

    def locate(self, server: str, address: tuple[str, int]) -> None:
        if self.addresses.get(server) != address:
            self.leave(server)
            self.addresses[server] = address

    def leave(self, server: str) -> None:
        """Closes idle connections to a server, and those that are not up yet: where the time for dialling
        is longer than the grace of a drain, their hand-offs would come too late."""
        for link in self.idle.pop(server, ()):
            self._end(link)
        for scope in self.dialling.pop(server, ()):
            scope.cancel()

    def drop_idle(self) -> bool:
        """Closes the connection that has stood idle longest, if there is one."""
        oldest = min((links[0] for links in self.idle.values() if links), key=lambda k: k.since, default=None)
        if oldest is None:
            return False
        self.idle[oldest.server].remove(oldest)
        self._end(oldest)
        return True

    def hand_off(self, ho: HandOff) -> bool:
        """Starts a hand-off, of which ``done`` will tell; False if no descriptor is left for it."""
        links = self.idle.get(ho.server, [])
        while links:
            link = links.pop()
            if not link.connection.readable():  # else the server has ended it
                link.job = ho
                link.scope.cancel()
                return True
            self._end(link)
        if not self.budget.take_server():
            return False
        try:
            sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            logger.warning("no socket: {}", error)
            self.budget.give_server()
            return False
        self.nursery.start_soon(self._serve, Link(ho.server, Connection(sock, h11.CLIENT), job=ho))
        return True

    def withdraw(self, id: int, number: int) -> None:
        if (scope := self.out.get((id, number))) is not None:
            self.withdrawn.add((id, number))
            scope.cancel()

    # one connection ---------------------------------------

    async def _serve(self, link: Link) -> None:
        """Carries one hand-off after another, from dialling to the close."""
        try:
            fresh = True
            while link.job is not None:
                ho, link.job = link.job, None
                verdict, remark, reply = await self._carry(ho, link.connection, fresh)
                fresh, keep = False, link.connection.renew()
                if keep:  # first back to the pool: what ``done`` sets off may use it
                    link.since, link.scope = self.clock.now(), trio.CancelScope()
                    self.idle.setdefault(ho.server, []).append(link)
                self.done(ho, verdict, remark, reply)
                if keep and link.job is None and not link.ended:
                    await self._rest(link)
        finally:
            self._end(link)

    def _end(self, link: Link) -> None:
        """Closes a connection now: its descriptor may be wanted in the same turn of the loop."""
        if not link.ended:
            link.ended = True
            link.scope.cancel()
            link.connection.close()
            self.budget.give_server()

    async def _rest(self, link: Link) -> None:
        """Stands idle until there is a job, the server ends the connection, or time is up."""
        link.scope.deadline = trio.current_time() + self.idle_for
        with link.scope:
            try:
                await link.connection.fill()
            except (OSError, trio.ClosedResourceError) as error:
                logger.debug("idle connection to {}: {!r}", link.server, error)
        if link.job is None and link in (links := self.idle.get(link.server, [])):
            links.remove(link)

    async def _carry(self, ho: HandOff, connection: Connection,
                     fresh: bool) -> tuple[Verdict, int | None, Reply | None]:
        """One hand-off to its verdict; the connection can carry another only after a whole answer."""
        mark = ho.exchange.id, ho.number
        written = False
        with trio.CancelScope(deadline=self.clock.deadline(ho.until)) as scope:
            self.out[mark] = scope
            try:
                if fresh and not await self._dial(ho, connection):
                    return Verdict.UNREACHABLE, None, None
                await connection.send(self._request(ho), ho.exchange.body)
                written = True
                message = await connection.message()
                if message is not None:
                    head, body = message
                    remark = REMARKS.get(dict(head.headers).get(b"x-found"))
                    return verdict_of(head), remark, Reply(head.status_code, body, end_to_end(head))
            except Oversize:
                return Verdict.ERROR, None, None
            except (OSError, h11.ProtocolError) as error:
                logger.debug("{}: {!r}", ho.server, error)
            except Exception:
                logger.exception("a hand-off to {} failed", ho.server)
            finally:
                del self.out[mark]
                withdrawn = mark in self.withdrawn
                self.withdrawn.discard(mark)
        if withdrawn:
            verdict = Verdict.WITHDRAWN
        elif written:
            verdict = Verdict.TIMED_OUT if scope.cancelled_caught else Verdict.RESET
        elif scope.cancelled_caught and ho.until >= ho.exchange.expiry:
            verdict = Verdict.MOOT  # the work item's time ran out first, which tells nothing of the server
        else:
            verdict = Verdict.UNREACHABLE  # by the bytes, it can't have run
        return verdict, None, None

    async def _dial(self, ho: HandOff, connection: Connection) -> bool:
        with trio.move_on_after(self.dial_within) as scope:
            dialling = self.dialling.setdefault(ho.server, set())
            dialling.add(scope)
            try:
                await connection.sock.connect(self.addresses[ho.server])
                return True
            finally:
                dialling.discard(scope)
        return False

    def _request(self, ho: HandOff) -> h11.Request:
        exchange = ho.exchange
        left = max(1, int((ho.until - self.clock.now()) * 1000))
        headers = [*exchange.headers, (b"X-Remaining-Ms", str(left).encode())]
        if exchange.body or exchange.write:
            headers.append((b"Content-Length", str(len(exchange.body)).encode()))
        return h11.Request(method=exchange.method, target=exchange.target, headers=headers)
