"""Open-loop clients: work comes at its own times, whatever becomes of what came before.

A ``Crowd`` stands for the clients of one site. It deals its requests over the routers that it takes for
alive, those of its own site first, keeps connections, and asks again as clients do: at once or after a
wait, a few times, each time under a new X-Txn.
"""

import random
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

import httptools
import trio

from rowanshift.emulation.http import field_of, sent_at
from rowanshift.invariants.events import Events
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address, connect, send_all

READY = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
DIAL_WITHIN = 1.0
MOST_OPEN = 2000  # requests of one crowd at once; more are dropped and counted
KEPT_FOR = 1.5  # seconds that a kept connection is used again after its last answer


@dataclass(slots=True, frozen=True)
class Asked:
    """A category as clients ask it. Times in seconds."""

    name: str
    share: float
    expiry: float
    due: float
    write: bool
    credit: float = 1.0


@dataclass(slots=True)
class Habits:
    """How clients behave."""

    retries: int = 2
    wait: float = 0.0  # before a retry, give or take half; 0: at once
    patience: float = 1.0  # part of the expiry after which a try is given up
    one_off: float = 0.0  # part of the requests on a connection of their own, closed after it
    halves: float = 0.0  # part of the requests of which only a half is sent
    zipf: float = 0.9
    keys: int = 400


@dataclass(slots=True, eq=False)
class Door:
    """A router as a crowd sees it."""

    name: str
    address: Address
    site: int
    up: bool = True  # takes new connections
    idle: list[tuple[float, Connection, str]] = field(default_factory=list)  # since, and what it last carried


class Keys:
    """Zipf keys; a shift turns the order, so that others are popular."""

    def __init__(self, count: int, exponent: float) -> None:
        self.count, self.shifted = count, 0
        self.sums = list(accumulate((n + 1) ** -exponent for n in range(count)))
        self.hot: tuple[str, float] | None = None  # one key, and the part of all reads that goes to it

    def draw(self, random_source: random.Random) -> str:
        if self.hot is not None and random_source.random() < self.hot[1]:
            return self.hot[0]
        n = bisect(self.sums, random_source.random() * self.sums[-1])
        return f"k{(min(n, self.count - 1) + self.shifted) % self.count}"


class Crowd:
    def __init__(
        self,
        host: Runtime,
        name: str,
        site: int,
        now: Callable[[], float],
        events: Events,
        random_source: random.Random,
        doors: list[Door],
        asked: list[Asked],
        customers: dict[str, float],
        rate: float,
        habits: Habits,
    ) -> None:
        self.host, self.name, self.site, self.now, self.events, self.random_source = (
            host,
            name,
            site,
            now,
            events,
            random_source,
        )
        self.doors, self.asked, self.customers, self.habits = doors, asked, customers, habits
        self.rate = rate  # first tries a second
        self.keys = Keys(habits.keys, habits.zipf)
        self.shares = list(accumulate(a.share for a in asked))
        self.parts = list(accumulate(customers.values()))
        self.memory = MemoryBudget(4096)
        self.ids = self.open = 0
        self.over = False  # asks nothing new
        self.lean: str | None = None  # a router that gets everything
        self.tries: dict[str, int] = {}  # by how they ended
        self.first = self.credit = self.earned = 0.0  # first tries, and credit asked for and earned
        self.times: list[float] = []  # of first tries that were finished in time, from when they were due
        self.dropped = 0

    async def run(self) -> None:
        async with self.host.nursery() as nursery:
            due = self.now()
            while not self.over:
                due += self.random_source.expovariate(max(self.rate, 1e-9))
                await self.host.pause(max(0.0, min(due - self.now(), 1.0)))
                if due > self.now() + 0.5:  # the rate may change meanwhile
                    due = self.now()
                    continue
                if self.open >= MOST_OPEN:
                    self.dropped += 1
                else:
                    self._begin(nursery, due)

    def _begin(self, nursery: Nursery, due: float) -> None:
        draw = self.random_source.random
        what = self.asked[min(bisect(self.shares, draw() * self.shares[-1]), len(self.asked) - 1)]
        customer = ""
        if self.customers:
            names = [*self.customers]
            customer = names[min(bisect(self.parts, draw() * self.parts[-1]), len(names) - 1)]
        nursery.start_soon(self._ask, what, customer, self.keys.draw(self.random_source), due)

    async def _ask(self, what: Asked, customer: str, key: str, due: float) -> None:
        """One request with its retries."""
        self.open += 1
        self.first += 1
        self.credit += what.credit
        try:
            for tries in range(self.habits.retries + 1):
                how, back = await self._try(what, customer, key, due if not tries else self.now())
                self.tries[how] = self.tries.get(how, 0) + 1
                if how == "200":
                    took = self.now() - due
                    if took <= what.due:
                        self.earned += what.credit
                        self.times.append(took)
                    return
                if self.over:
                    return
                await self.host.pause(max(back, self.habits.wait * (0.5 + self.random_source.random())))
        finally:
            self.open -= 1

    def _door(self) -> Door | None:
        up = [door for door in self.doors if door.up]
        if self.lean is not None and any(door.name == self.lean for door in up):
            return next(door for door in up if door.name == self.lean)
        near = [door for door in up if door.site == self.site]
        return self.random_source.choice(near or up) if up else None

    async def _try(self, what: Asked, customer: str, key: str, since: float) -> tuple[str, float]:
        """One try: how it ended, and when to come back."""
        self.ids += 1
        txn = f"{self.name}-{self.ids}"
        if (door := self._door()) is None:
            return "nobody", 0.1
        left = what.expiry - (self.now() - since)
        for again in range(2):
            how, back = await self._on_one(door, txn, what, customer, key, left, again > 0)
            if how != "crossed":
                break
        return how, back

    async def _on_one(
        self, door: Door, txn: str, what: Asked, customer: str, key: str, left: float, fresh: bool
    ) -> tuple[str, float]:
        connection = None if fresh or self.random_source.random() < self.habits.one_off else self._kept(door)
        kept = connection is not None
        if connection is None:
            try:
                connection = Connection(self.host.stream(), httptools.HttpResponseParser, self.memory)
            except OSError:
                return "no descriptor", 0.1
        asked = False
        try:
            with trio.move_on_after(min(left, what.expiry * self.habits.patience)):
                if not kept:
                    with trio.move_on_after(DIAL_WITHIN) as dialling:
                        await connect(connection.stream, door.address)
                    if dialling.cancelled_caught:
                        return "no way", 0.0
                request = self._request(txn, what, customer, key, left)
                if self.habits.halves and self.random_source.random() < self.habits.halves:
                    await send_all(connection.stream, request[: len(request) // 2])
                    await self.host.pause(self.random_source.random() * 3)
                    return "half", 0.0
                await send_all(connection.stream, request)
                asked = True
                self.events.tell("asked", txn, door.name, what.name, key, left)
                message = await self._answer(connection)
                if message is None:
                    return self._broke(connection, txn, kept, fresh)
                at = sent_at(connection.stream, self.now())
                made = message.body.startswith(f"{txn} ".encode())
                self.events.tell("answered", txn, message.status, at, made)
                self._second(connection, txn)
                if message.keep and connection.clean() and self.random_source.random() >= self.habits.one_off:
                    door.idle.append((self.now(), connection, txn))
                    connection = None
                back = field_of(message, b"retry-after")
                return str(message.status), float(back) if back else 0.0
            if asked:
                self.events.tell("ended", txn, "left")
            return "left", 0.0
        except (OSError, MalformedMessage):
            if not asked:
                return "no way" if not kept else "crossed", 0.0
            return self._broke(connection, txn, kept, fresh)
        finally:
            if connection is not None:
                connection.close()

    def _broke(self, connection: Connection, txn: str, kept: bool, fresh: bool) -> tuple[str, float]:
        """A connection that ended with no whole answer: it may have crossed the request, unread."""
        taken = getattr(connection.stream, "taken", None)
        unread = not taken() if taken is not None else kept
        begun = connection.partial or connection.inbound.size
        if unread and not begun and not fresh:
            self.events.tell("ended", txn, "crossed")
            return "crossed", 0.0
        self.events.tell("ended", txn, "lost")
        return "lost", 0.0

    async def _answer(self, connection: Connection) -> Message | None:
        while (message := connection.next()) is None:
            await connection.stream.wait_readable()
            if not connection.receive():
                return None
        connection.release()
        return message

    def _second(self, connection: Connection, txn: str) -> None:
        """Looks for another answer behind the one that was read."""
        try:
            connection.receive()
            if (message := connection.next()) is not None:
                self.events.tell("answered", txn, message.status, self.now(), True)
        except (OSError, MalformedMessage):
            pass  # what is no answer is for the parser's tests

    def _kept(self, door: Door) -> Connection | None:
        while door.idle:
            since, connection, txn = door.idle.pop()
            if connection.stream.readable():
                self._second(connection, txn)
            elif self.now() - since < KEPT_FOR:
                return connection
            connection.close()
        return None

    def _request(self, txn: str, what: Asked, customer: str, key: str, left: float) -> bytes:
        method = "PUT" if what.write else "GET"
        lines = [
            f"{method} /{what.name}/{key} HTTP/1.1",
            "Host: app.svc",
            f"X-Txn: {txn}",
            f"X-Lane: {what.name}",
            f"X-Remaining-Ms: {int(left * 1000)}",
        ]
        if customer:
            lines.append(f"X-Org: {customer}")
        body = f"{key} by {txn}" if what.write else ""
        if what.write:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", body]).encode()

    # what is asked of routers besides -------------------------

    async def ready(self, door: Door, within: float = 0.5) -> bool:
        """Whether a router says that it serves."""
        with trio.move_on_after(within):
            connection = None
            try:
                connection = Connection(self.host.stream(), httptools.HttpResponseParser, self.memory)
                await connect(connection.stream, door.address)
                await send_all(connection.stream, READY)
                message = await self._answer(connection)
                return message is not None and message.status == 200
            except (OSError, MalformedMessage):
                return False
            finally:
                if connection is not None:
                    connection.close()
        return False

    async def flood(self, door: Door, count: int, hold_for: float) -> None:
        """Opens connections that ask nothing, and lets them go after a while."""
        async with self.host.nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self._idle, door, hold_for)

    async def _idle(self, door: Door, hold_for: float) -> None:
        try:
            stream = self.host.stream()
        except OSError:
            return
        try:
            with trio.move_on_after(hold_for):
                await connect(stream, door.address)
                await stream.wait_readable()
        except OSError:
            pass
        finally:
            stream.close()

    def close(self) -> None:
        for door in self.doors:
            while door.idle:
                door.idle.pop()[1].close()
