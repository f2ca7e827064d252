"""Open-loop clients: requests start at random times that do not depend on earlier requests.

A ``ClientGroup`` emulates the clients of one site. It spreads its requests over the routers it considers up, those of
its own site first, reuses connections, and retries a few times, at once or after a wait, each time under a new
X-Txn.
"""

import random
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

import httptools
import trio

from rowanshift.emulation.http import field_of, sent_at
from rowanshift.invariants.events import EventStream
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address, connect, send_all

READINESS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_OPEN_REQUESTS = 2000  # concurrent requests of one group; further ones are dropped and counted
IDLE_REUSE_SECONDS = 1.5  # an idle connection is not reused later than this after its last response


@dataclass(slots=True, frozen=True)
class RequestCategory:
    """A category of requests as clients send them. Times are in seconds.

    ``due`` is the response time up to which a request earns its ``credit``."""

    name: str
    share: float
    expiry: float
    due: float
    write: bool
    credit: float = 1.0


@dataclass(slots=True)
class ClientBehavior:
    """Retry, connection and key behaviour of the clients."""

    retries: int = 2
    wait: float = 0.0  # mean pause before a retry, varied by up to half; 0: no pause
    patience: float = 1.0  # time-out of an attempt as a fraction of the expiry
    one_off: float = 0.0  # fraction of requests sent on a new connection, and of connections closed after a response
    halves: float = 0.0  # fraction of requests of which only the first half is sent
    zipf: float = 0.9
    keys: int = 400


@dataclass(slots=True, eq=False)
class RouterEndpoint:
    """A router as seen by a group."""

    name: str
    address: Address
    site: int
    up: bool = True  # accepts new connections
    idle: list[tuple[float, Connection, str]] = field(default_factory=list)  # idle since, connection, last X-Txn


class ZipfKeys:
    """Draws keys by a Zipf distribution; ``shifted`` rotates the ranks, so that other keys become popular."""

    def __init__(self, count: int, exponent: float) -> None:
        self.count, self.shifted = count, 0
        self.cumulative_weights = list(accumulate((n + 1) ** -exponent for n in range(count)))
        self.hot: tuple[str, float] | None = None  # a key, and the fraction of requests that use it

    def draw(self, random_source: random.Random) -> str:
        if self.hot is not None and random_source.random() < self.hot[1]:
            return self.hot[0]
        n = bisect(self.cumulative_weights, random_source.random() * self.cumulative_weights[-1])
        return f"k{(min(n, self.count - 1) + self.shifted) % self.count}"


class ClientGroup:
    """The clients of one site."""

    def __init__(
        self,
        host: Runtime,
        name: str,
        site: int,
        now: Callable[[], float],
        events: EventStream,
        random_source: random.Random,
        endpoints: list[RouterEndpoint],
        categories: list[RequestCategory],
        customers: dict[str, float],
        rate: float,
        behavior: ClientBehavior,
    ) -> None:
        self.host, self.name, self.site, self.now, self.events, self.random_source = (
            host,
            name,
            site,
            now,
            events,
            random_source,
        )
        self.endpoints, self.categories, self.customers, self.behavior = endpoints, categories, customers, behavior
        self.rate = rate  # requests per second, without retries
        self.keys = ZipfKeys(behavior.keys, behavior.zipf)
        self.share_sums = list(accumulate(a.share for a in categories))
        self.customer_sums = list(accumulate(customers.values()))
        self.memory = MemoryBudget(4096)
        self.last_id = self.open = 0
        self.over = False  # no new requests or retries
        self.lean: str | None = None  # the router that receives all requests while it is up
        self.tries: dict[str, int] = {}  # attempts by outcome
        # requests, their total credit, and the credit earned in time
        self.first = self.credit = self.earned_credit = 0.0
        self.response_times: list[float] = []  # response times of requests answered in time, from their scheduled start
        self.dropped = 0

    async def run(self) -> None:
        async with self.host.nursery() as nursery:
            due = self.now()
            while not self.over:
                due += self.random_source.expovariate(max(self.rate, 1e-9))
                await self.host.pause(max(0.0, min(due - self.now(), 1.0)))
                if due > self.now() + 0.5:  # draw a new arrival: the rate may have changed during the pause
                    due = self.now()
                    continue
                if self.open >= MAX_OPEN_REQUESTS:
                    self.dropped += 1
                else:
                    self._start_request(nursery, due)

    def _start_request(self, nursery: Nursery, due: float) -> None:
        draw = self.random_source.random
        category = self.categories[min(bisect(self.share_sums, draw() * self.share_sums[-1]), len(self.categories) - 1)]
        customer = ""
        if self.customers:
            customer_names = [*self.customers]
            customer = customer_names[
                min(bisect(self.customer_sums, draw() * self.customer_sums[-1]), len(customer_names) - 1)
            ]
        nursery.start_soon(self._request_with_retries, category, customer, self.keys.draw(self.random_source), due)

    async def _request_with_retries(self, category: RequestCategory, customer: str, key: str, due: float) -> None:
        """Send one request, with its retries."""
        self.open += 1
        self.first += 1
        self.credit += category.credit
        try:
            for tries in range(self.behavior.retries + 1):
                outcome, retry_after = await self._attempt(category, customer, key, due if not tries else self.now())
                self.tries[outcome] = self.tries.get(outcome, 0) + 1
                if outcome == "200":
                    took = self.now() - due
                    if took <= category.due:
                        self.earned_credit += category.credit
                        self.response_times.append(took)
                    return
                if self.over:
                    return
                await self.host.pause(max(retry_after, self.behavior.wait * (0.5 + self.random_source.random())))
        finally:
            self.open -= 1

    def _choose_router(self) -> RouterEndpoint | None:
        up = [endpoint for endpoint in self.endpoints if endpoint.up]
        if self.lean is not None and any(endpoint.name == self.lean for endpoint in up):
            return next(endpoint for endpoint in up if endpoint.name == self.lean)
        near = [endpoint for endpoint in up if endpoint.site == self.site]
        return self.random_source.choice(near or up) if up else None

    async def _attempt(self, category: RequestCategory, customer: str, key: str, since: float) -> tuple[str, float]:
        """One attempt: its outcome, and the seconds to wait before a retry.

        A request that crossed the closing of a reused connection is sent once more on a new connection."""
        self.last_id += 1
        txn = f"{self.name}-{self.last_id}"
        if (endpoint := self._choose_router()) is None:
            return "nobody", 0.1
        left = category.expiry - (self.now() - since)
        for attempt in range(2):
            outcome, retry_after = await self._send_on_connection(
                endpoint, txn, category, customer, key, left, attempt > 0
            )
            if outcome != "crossed":
                break
        return outcome, retry_after

    async def _send_on_connection(
        self,
        endpoint: RouterEndpoint,
        txn: str,
        category: RequestCategory,
        customer: str,
        key: str,
        left: float,
        fresh: bool,
    ) -> tuple[str, float]:
        connection = (
            None
            if fresh or self.random_source.random() < self.behavior.one_off
            else self._reusable_connection(endpoint)
        )
        kept = connection is not None
        if connection is None:
            try:
                connection = Connection(self.host.stream(), httptools.HttpResponseParser, self.memory)
            except OSError:
                return "no descriptor", 0.1
        sent = False
        try:
            with trio.move_on_after(min(left, category.expiry * self.behavior.patience)):
                if not kept:
                    with trio.move_on_after(CONNECT_TIMEOUT_SECONDS) as connecting:
                        await connect(connection.stream, endpoint.address)
                    if connecting.cancelled_caught:
                        return "no way", 0.0
                request = self._encode_request(txn, category, customer, key, left)
                if self.behavior.halves and self.random_source.random() < self.behavior.halves:
                    await send_all(connection.stream, request[: len(request) // 2])
                    await self.host.pause(self.random_source.random() * 3)
                    return "half", 0.0
                await send_all(connection.stream, request)
                sent = True
                self.events.publish("asked", txn, endpoint.name, category.name, key, left)
                message = await self._read_response(connection)
                if message is None:
                    return self._disconnect_outcome(connection, txn, kept, fresh)
                at = sent_at(connection.stream, self.now())
                matches = message.body.startswith(f"{txn} ".encode())
                self.events.publish("answered", txn, message.status, at, matches)
                self._report_extra_response(connection, txn)
                if message.keep and connection.clean() and self.random_source.random() >= self.behavior.one_off:
                    endpoint.idle.append((self.now(), connection, txn))
                    connection = None
                retry_after = field_of(message, b"retry-after")
                return str(message.status), float(retry_after) if retry_after else 0.0
            if sent:
                self.events.publish("ended", txn, "left")
            return "left", 0.0
        except (OSError, MalformedMessage):
            if not sent:
                return "no way" if not kept else "crossed", 0.0
            return self._disconnect_outcome(connection, txn, kept, fresh)
        finally:
            if connection is not None:
                connection.close()

    def _disconnect_outcome(self, connection: Connection, txn: str, kept: bool, fresh: bool) -> tuple[str, float]:
        """The outcome of a request whose connection ended without a complete response.

        "crossed" means that the router closed an idle connection before it read the request."""
        taken = getattr(connection.stream, "taken", None)
        unread = not taken() if taken is not None else kept
        begun = connection.partial or connection.inbound.size
        if unread and not begun and not fresh:
            self.events.publish("ended", txn, "crossed")
            return "crossed", 0.0
        self.events.publish("ended", txn, "lost")
        return "lost", 0.0

    async def _read_response(self, connection: Connection) -> Message | None:
        while (message := connection.next()) is None:
            await connection.stream.wait_readable()
            if not connection.receive():
                return None
        connection.release()
        return message

    def _report_extra_response(self, connection: Connection, txn: str) -> None:
        """Report a second response that follows the one already read."""
        try:
            connection.receive()
            if (message := connection.next()) is not None:
                self.events.publish("answered", txn, message.status, self.now(), True)
        except (OSError, MalformedMessage):
            pass  # malformed data is covered by the parser's tests

    def _reusable_connection(self, endpoint: RouterEndpoint) -> Connection | None:
        while endpoint.idle:
            since, connection, txn = endpoint.idle.pop()
            if connection.stream.readable():
                self._report_extra_response(connection, txn)
            elif self.now() - since < IDLE_REUSE_SECONDS:
                return connection
            connection.close()
        return None

    def _encode_request(self, txn: str, category: RequestCategory, customer: str, key: str, left: float) -> bytes:
        method = "PUT" if category.write else "GET"
        lines = [
            f"{method} /{category.name}/{key} HTTP/1.1",
            "Host: app.svc",
            f"X-Txn: {txn}",
            f"X-Lane: {category.name}",
            f"X-Remaining-Ms: {int(left * 1000)}",
        ]
        if customer:
            lines.append(f"X-Org: {customer}")
        body = f"{key} by {txn}" if category.write else ""
        if category.write:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", body]).encode()

    # readiness and idle connections ---------------------------

    async def ready(self, endpoint: RouterEndpoint, within: float = 0.5) -> bool:
        """Whether a router answers its readiness check with 200."""
        with trio.move_on_after(within):
            connection = None
            try:
                connection = Connection(self.host.stream(), httptools.HttpResponseParser, self.memory)
                await connect(connection.stream, endpoint.address)
                await send_all(connection.stream, READINESS_REQUEST)
                message = await self._read_response(connection)
                return message is not None and message.status == 200
            except (OSError, MalformedMessage):
                return False
            finally:
                if connection is not None:
                    connection.close()
        return False

    async def open_idle_connections(self, endpoint: RouterEndpoint, count: int, hold_for: float) -> None:
        """Open ``count`` idle connections and close them after ``hold_for`` seconds."""
        async with self.host.nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self._hold_idle_connection, endpoint, hold_for)

    async def _hold_idle_connection(self, endpoint: RouterEndpoint, hold_for: float) -> None:
        try:
            stream = self.host.stream()
        except OSError:
            return
        try:
            with trio.move_on_after(hold_for):
                await connect(stream, endpoint.address)
                await stream.wait_readable()
        except OSError:
            pass
        finally:
            stream.close()

    def close(self) -> None:
        for endpoint in self.endpoints:
            while endpoint.idle:
                endpoint.idle.pop()[1].close()
