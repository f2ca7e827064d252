"""Owns the ``Router``: calls in as things happen, its ``Results`` out to both sides, and the wake timer."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import trio
from loguru import logger

from rowanshift.cacheproxy.clock import Clock
from rowanshift.cacheproxy.decision.router import Router
from rowanshift.cacheproxy.exchange import Exchange, HandOff, Reply
from rowanshift.cacheproxy.model import Answer, Entry, Learned, Settings, Verdict
from rowanshift.cacheproxy.servers import Servers

WAY_BACK = 0.01  # kept of a work item's time for the answer to reach the client
STATUS = {Answer.DEFERRED: 503, Answer.WRITTEN_OFF: 502}


class Driver:
    def __init__(self, settings: Settings, seed: int, clock: Clock, servers: Servers) -> None:
        self.clock, self.servers = clock, servers
        self.router = Router(settings, seed, clock.now())
        self.exchanges: dict[int, Exchange] = {}
        self.tell: Callable[[int | None, bytes], None] = lambda *_: None
        self.subscribe: Callable[[], None] = lambda: None
        self.waking = trio.CancelScope()
        self.wake_at = float("inf")
        servers.done, servers.silent, servers.spent = self.done, self.silent, self.spent

    # calls ------------------------------------------------

    def take(self, exchange: Exchange) -> None:
        self.exchanges[exchange.id] = exchange
        exchange.expiry -= WAY_BACK
        now = self.clock.now()
        self._call(
            self.router.take,
            now,
            exchange.id,
            exchange.category,
            exchange.customer,
            exchange.key,
            exchange.expiry - now,
            exchange.write,
        )

    def gone(self, exchange: Exchange) -> None:
        if exchange.end(None):
            del self.exchanges[exchange.id]
            self._call(self.router.abandoned, self.clock.now(), exchange.id)

    def done(self, ho: HandOff, verdict: Verdict, remark: int | None, reply: Reply | None) -> None:
        exchange, now = ho.exchange, self.clock.now()
        if verdict is Verdict.FINISHED:
            self._end(exchange.id, reply)
        self._call(
            self.router.answered, now, exchange.id, ho.number, ho.server, verdict, now - ho.at, exchange.ended, remark
        )

    def silent(self, ho: HandOff) -> None:
        self._call(self.router.overtaken, self.clock.now(), ho.exchange.id, ho.number)

    def list_changed(self, scope: str, entries: list[Entry]) -> None:
        self._call(self.router.list_changed, self.clock.now(), scope, entries)

    def spent(self, ho: HandOff) -> None:
        """Part of the work item's body is gone: it can't be sent again in full."""
        self._call(self.router.spent, self.clock.now(), ho.exchange.id)

    def take_up(self, learned: Learned) -> None:
        self._call(self.router.take_up, self.clock.now(), learned)

    def heard(self, ordinal: int, payload: bytes) -> None:
        self._call(self.router.heard, self.clock.now(), ordinal, payload)

    async def keep_waking(self) -> None:
        while True:
            with trio.CancelScope(deadline=self.clock.deadline(self.wake_at)) as self.waking:
                await trio.sleep_forever()
            if self.clock.now() >= self.wake_at:  # else it was set earlier, or came early and would be lost
                self.wake_at = float("inf")
                self._call(self.router.woken, self.clock.now())

    # results ----------------------------------------------

    def _call(self, call: Callable[..., None], now: float, *args: Any) -> None:
        """Makes a call and carries out what it wants."""
        self._each(call, [(now, *args)])
        unsent = self._carry_out(now)
        while unsent:  # for want of a descriptor
            self._each(
                self.router.answered,
                [
                    (now, ho.exchange.id, ho.number, ho.server, Verdict.MOOT, 0.0, ho.exchange.ended, None)
                    for ho in unsent
                ],
            )
            unsent = self._carry_out(now)

    @staticmethod
    def _each(call: Callable[..., None], rows: Iterable[tuple[Any, ...]]) -> None:
        """Makes calls, of which a failure must not end what the router holds besides."""
        for row in rows:
            try:
                call(*row)
            except Exception:
                logger.exception("a call of the router failed")

    def _carry_out(self, now: float) -> list[HandOff]:
        """Carries out what has gathered; returns the hand-offs that could not be sent."""
        results, unsent = self.router.drain(), []
        self._each(partial(self._hand_off, unsent), results.hand_offs)
        self._each(self.servers.withdraw, results.withdrawals)
        self._each(self._answer, results.answers)
        self._each(self.tell, results.messages)
        for line in results.log:
            logger.info("{}", line)
        if results.subscribe:
            self.subscribe()
        if results.wake is not None:
            self.wake_at = now + results.wake
            self.waking.deadline = self.clock.deadline(self.wake_at)
        return unsent

    def _hand_off(self, unsent: list[HandOff], id: int, until: float, server: str) -> None:
        """Starts a hand-off, or adds it to those that could not be."""
        exchange = self.exchanges[id]
        number, exchange.hand_offs = exchange.hand_offs, exchange.hand_offs + 1
        until = min(until or exchange.expiry, exchange.expiry)
        ho = HandOff(exchange, number, server, self.clock.now(), until)
        if not self.servers.hand_off(ho):
            unsent.append(ho)

    def _answer(self, id: int, answer: Answer, back: float) -> None:
        self._end(id, Reply(STATUS[answer], retry_after=back if answer is Answer.DEFERRED else 0.0))

    def _end(self, id: int, reply: Reply | None) -> None:
        if (exchange := self.exchanges.pop(id, None)) is not None:
            exchange.end(reply)
