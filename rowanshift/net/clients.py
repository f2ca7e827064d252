"""The client side: the listener, requests to exchanges, final answers, and clients that go away."""

from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote

import h11
import trio
from loguru import logger

from rowanshift.net.budget import Budget
from rowanshift.net.clock import Clock
from rowanshift.net.config import Names
from rowanshift.net.connection import Connection, Oversize, end_to_end
from rowanshift.net.exchange import Exchange, Reply

READY = b"/-/ready"
LEFT = b"x-remaining-ms"
IDLE_FOR = 120.0  # seconds that a client's connection may stand idle
LAST_LOOK = 0.02  # of a connection that was accepted at the very end
REQUEST_WITHIN = 5.0  # a request's first byte to its last
REPLY_WITHIN = 10.0
OVERDUE = 0.03  # after the expiry
LONGEST_LEFT_MS = 3_600_000
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BACKLOG = 1024


class BadRequest(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Decider(Protocol):
    def take(self, exchange: Exchange) -> None: ...

    def gone(self, exchange: Exchange) -> None: ...


def exchange_of(id: int, head: h11.Request, body: bytes, names: Names, came_at: float) -> Exchange:
    """The work item that a request stands for; its time counts from when its last byte came."""
    if head.method not in (b"GET", b"PUT"):
        raise BadRequest(405, "GET reads and PUT writes")
    fields = dict(head.headers)
    if not fields.get(b"x-txn"):
        raise BadRequest(400, "X-Txn is missing")
    first, *rest = head.target.split(b"?", 1)[0].strip(b"/").split(b"/")
    category = fields.get(b"x-lane", first)
    if category != first or (position := names.categories.get(category)) is None:
        raise BadRequest(400, "unknown category, or X-Lane and the path differ")
    customer = names.tenants.get(fields.get(b"x-org")) if names.tenants else 0
    if customer is None:
        raise BadRequest(400, "unknown tenant")
    left = fields.get(LEFT, b"")
    if not left.isdigit() or len(left) > 9 or int(left) > LONGEST_LEFT_MS:
        raise BadRequest(400, "X-Remaining-Ms is no whole number of milliseconds")
    key = unquote(rest[-1].decode("ascii")) if rest and rest[-1] else None
    passed_on = [field for field in end_to_end(head) if field[0] != LEFT]
    return Exchange(id, position, customer, key, head.method == b"PUT", came_at + int(left) / 1000,
                    head.method, head.target, passed_on, body)


class Clients:
    def __init__(self, names: Names, driver: Decider, clock: Clock, budget: Budget) -> None:
        self.names, self.driver, self.clock, self.budget = names, driver, clock, budget
        self.ids = 0
        self.ready = False  # whether to say so to those who ask
        self.leaving = False  # answers close their connections
        self.finishing = False  # and nothing is waited for
        self.idle: dict[Connection, trio.CancelScope] = {}  # the longest idle first
        budget.reclaim.append(self.drop_idle)

    # the listener -----------------------------------------

    async def accept(self, listener: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        """Accepts for good; an error of one ``accept`` ends nothing."""
        while True:
            await self.budget.take_client()
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                self.budget.give_client()
                logger.warning("accept: {}", error)
                await trio.sleep(0.02)
            except BaseException:
                self.budget.give_client()
                raise
            else:
                nursery.start_soon(self.serve, sock)

    def drop_idle(self) -> bool:
        """Closes the connection that has stood idle longest and has no request under way, if there is one."""
        for connection, scope in self.idle.items():
            if not connection.readable():
                del self.idle[connection]
                scope.cancel()
                self._end(connection)
                return True
        return False

    def leave(self) -> None:
        """Closes what is idle, after a last look; what else is open closes with its answer."""
        self.leaving = self.finishing = True
        for scope in self.idle.values():
            scope.cancel()

    def _end(self, connection: Connection) -> None:
        """Closes a connection now: its descriptor may be wanted in the same turn of the loop."""
        if not connection.closed():
            connection.close()
            self.budget.give_client()

    # one connection ---------------------------------------

    async def serve(self, sock: trio.socket.SocketType) -> None:
        connection = Connection(sock, h11.SERVER)
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            while await self._more(connection) and await self._one(connection):
                pass
        except (OSError, h11.LocalProtocolError):
            pass  # the client broke off
        except Exception:
            logger.exception("a client's connection failed")
        finally:
            self.idle.pop(connection, None)
            self._end(connection)

    async def _more(self, connection: Connection) -> bool:
        """Waits for the first bytes of a request, for as long as the connection may stand idle."""
        if connection.has_input():
            return True
        with trio.move_on_after(LAST_LOOK if self.finishing else IDLE_FOR) as self.idle[connection]:
            await trio.lowlevel.wait_readable(connection.sock)
        self.idle.pop(connection, None)  # before anything is read: what was read must be answered
        return not connection.closed() and connection.readable() and await connection.fill()

    async def _one(self, connection: Connection) -> bool:
        """Reads one request and answers it; False once the connection must close."""
        try:
            with trio.move_on_after(REQUEST_WITHIN) as scope:
                message = await connection.message()
            if scope.cancelled_caught:
                raise BadRequest(408, "the request took too long")
            if message is None:
                return False
            head, body = message
            if head.target == READY:
                ready = Reply(200, b"ready\n") if self.ready else Reply(503, b"not ready\n")
                return await self._send(connection, ready)
            self.ids += 1
            exchange = exchange_of(self.ids, head, body, self.names, self.clock.now() - connection.age())
        except BadRequest as error:
            keep = error.status in (400, 405)
            return await self._send(connection, Reply(error.status, f"{error}\n".encode()), keep)
        except Oversize:
            return await self._send(connection, Reply(413, b"64 KiB at most\n"), False)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or 400
            return await self._send(connection, Reply(status, b"malformed request\n"), False)
        reply = await self._reply(connection, exchange)
        return reply is not None and await self._send(connection, reply)

    async def _reply(self, connection: Connection, exchange: Exchange) -> Reply | None:
        """Waits for the end of the work item, with an eye on the client; None if it has gone away."""
        self.driver.take(exchange)
        overdue = self.clock.deadline(exchange.expiry + OVERDUE)
        while not exchange.ended:
            with trio.CancelScope(deadline=overdue) as scope:
                exchange.wake = scope.cancel
                if not connection.inbound.space():
                    await trio.sleep_forever()
                elif not await self._stays(connection):
                    self.driver.gone(exchange)
                    return None
            if (late := trio.current_time() - overdue) >= 0 and not exchange.ended:
                # after a standstill the hand-off's time is up in the same turn: its outcome goes first
                await trio.sleep(0.005)
                if not exchange.ended:
                    logger.error("work item {} was left without an answer: {:.3f} s late, {} hand-offs",
                                 exchange.id, late, exchange.hand_offs)
                    self.driver.gone(exchange)
                    return Reply(504)
        return exchange.reply

    @staticmethod
    async def _stays(connection: Connection) -> bool:
        try:
            return await connection.fill()
        except OSError:
            return False

    async def _send(self, connection: Connection, reply: Reply, keep: bool = True) -> bool:
        keep = keep and not self.leaving
        headers = [*reply.headers, (b"Content-Length", str(len(reply.body)).encode())]
        if reply.retry_after:
            headers.append((b"Retry-After", f"{reply.retry_after:.3f}".encode()))
        if not keep:
            headers.append((b"Connection", b"close"))
        with trio.move_on_after(REPLY_WITHIN) as scope:
            reason = REASONS.get(reply.status, b"")
            await connection.send(h11.Response(status_code=reply.status, reason=reason, headers=headers),
                                  reply.body)
        return not scope.cancelled_caught and connection.renew()
