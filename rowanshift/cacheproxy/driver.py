"""Drives the ``Router``: reports events to it, carries out its ``Results`` on both sides, and runs its timer."""

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

REPLY_MARGIN_SECONDS = 0.01  # This part of a request's time is reserved for the reply to reach the client.
STATUS_OF_ANSWER = {Answer.DEFERRED: 503, Answer.WRITTEN_OFF: 502}


class Driver:
    """Connects the decision module with the clients, the servers and the peers."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, servers: Servers) -> None:
        self.clock, self.servers = clock, servers
        self.router = Router(settings, seed, clock.now())
        self.exchanges: dict[int, Exchange] = {}
        self.send_to_peers: Callable[[int | None, bytes], None] = lambda *_: None
        self.subscribe: Callable[[], None] = lambda: None
        self.wake_scope = trio.CancelScope()
        self.wake_at = float("inf")
        servers.on_result, servers.on_overtaken, servers.on_body_consumed = (
            self.on_result,
            self.on_overtaken,
            self.on_body_consumed,
        )

    # events reported to the router

    def submit(self, exchange: Exchange) -> None:
        """Accepts a request for routing."""
        self.exchanges[exchange.id] = exchange
        exchange.expiry -= REPLY_MARGIN_SECONDS
        now = self.clock.now()
        self._call(
            self.router.take,
            now,
            exchange.id,
            exchange.category,
            exchange.tenant,
            exchange.key,
            exchange.expiry - now,
            exchange.write,
        )

    def abandon(self, exchange: Exchange) -> None:
        """Ends an exchange whose client no longer waits for the reply."""
        if exchange.end(None):
            del self.exchanges[exchange.id]
            self._call(self.router.client_left, self.clock.now(), exchange.id)

    def on_result(self, hand_off: HandOff, verdict: Verdict, remark: int | None, reply: Reply | None) -> None:
        """A hand-off has ended."""
        exchange, now = hand_off.exchange, self.clock.now()
        if verdict is Verdict.FINISHED:
            self._end(exchange.id, reply)
        self._call(
            self.router.answered,
            now,
            exchange.id,
            hand_off.number,
            hand_off.server,
            verdict,
            now - hand_off.started_at,
            exchange.ended,
            remark,
        )

    def on_overtaken(self, hand_off: HandOff) -> None:
        """The server has answered many later hand-offs, but not this one."""
        self._call(self.router.connection_stuck, self.clock.now(), hand_off.exchange.id, hand_off.number)

    def list_changed(self, scope: str, entries: list[Entry]) -> None:
        """The list of servers has changed, as a whole or in part."""
        self._call(self.router.list_changed, self.clock.now(), scope, entries)

    def on_body_consumed(self, hand_off: HandOff) -> None:
        """Part of a streamed request body was sent and dropped: the request can't be sent again in full."""
        self._call(self.router.body_consumed, self.clock.now(), hand_off.exchange.id)

    def restore_learned(self, learned: Learned) -> None:
        """Applies the state that the previous process of this router has learned."""
        self._call(self.router.restore, self.clock.now(), learned)

    def on_peer_message(self, ordinal: int, payload: bytes) -> None:
        """A message from another router has arrived."""
        self._call(self.router.tally_received, self.clock.now(), ordinal, payload)

    async def run_wake_timer(self) -> None:
        """Wakes the router whenever ``wake_at`` has come."""
        while True:
            with trio.CancelScope(deadline=self.clock.deadline(self.wake_at)) as self.wake_scope:
                await trio.sleep_forever()
            if self.clock.now() >= self.wake_at:  # The scope may also end early, or because the timer was moved.
                self.wake_at = float("inf")
                self._call(self.router.timer_expired, self.clock.now())

    # results of the router

    def _call(self, call: Callable[..., None], now: float, *args: Any) -> None:
        """Calls the router and applies the results."""
        self._call_each(call, [(now, *args)])
        unsent = self._apply_results(now)
        while unsent:  # No descriptor or no address was available for these.
            self._call_each(
                self.router.answered,
                [
                    (
                        now,
                        hand_off.exchange.id,
                        hand_off.number,
                        hand_off.server,
                        Verdict.MOOT,
                        0.0,
                        hand_off.exchange.ended,
                        None,
                    )
                    for hand_off in unsent
                ],
            )
            unsent = self._apply_results(now)

    @staticmethod
    def _call_each(call: Callable[..., None], rows: Iterable[tuple[Any, ...]]) -> None:
        """Calls with each row of arguments; an exception in one call is logged and does not stop the others."""
        for row in rows:
            try:
                call(*row)
            except Exception:
                logger.exception("event=router_call_failed")

    def _apply_results(self, now: float) -> list[HandOff]:
        """Applies the router's pending results; returns the hand-offs that could not be started."""
        results = self.router.drain()
        unsent: list[HandOff] = []
        self._call_each(partial(self._hand_off, unsent), results.hand_offs)
        self._call_each(self.servers.withdraw, results.withdrawals)
        self._call_each(self._answer, results.answers)
        self._call_each(self.send_to_peers, results.messages)
        for line in results.log:
            logger.info("{}", line)
        if results.subscribe:
            self.subscribe()
        if results.wake is not None:
            self.wake_at = now + results.wake
            self.wake_scope.deadline = self.clock.deadline(self.wake_at)
        return unsent

    def _hand_off(self, unsent: list[HandOff], id: int, deadline: float, server: str) -> None:
        """Starts a hand-off, or appends it to ``unsent`` if it can't be started."""
        exchange = self.exchanges[id]
        number, exchange.hand_offs = exchange.hand_offs, exchange.hand_offs + 1
        deadline = min(deadline or exchange.expiry, exchange.expiry)
        hand_off = HandOff(exchange, number, server, self.clock.now(), deadline)
        if not self.servers.hand_off(hand_off):
            unsent.append(hand_off)

    def _answer(self, id: int, answer: Answer, retry_after: float) -> None:
        self._end(id, Reply(STATUS_OF_ANSWER[answer], retry_after=retry_after if answer is Answer.DEFERRED else 0.0))

    def _end(self, id: int, reply: Reply | None) -> None:
        if (exchange := self.exchanges.pop(id, None)) is not None:
            exchange.end(reply)
