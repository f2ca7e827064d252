"""Faults that tests plant in the router, to check that the rules find them. Each takes a ``MonkeyPatch``."""

from rowanshift.cacheproxy import clients, config, discovery, driver, servers, service
from rowanshift.cacheproxy.decision import router as choice
from rowanshift.cacheproxy.decision.router import Router
from rowanshift.cacheproxy.exchange import HandOff, Reply
from rowanshift.cacheproxy.model import Answer, Semantics, Verdict
from rowanshift.transport.http_connection import Connection


def answers_twice(patch):
    def encode_reply(reply, keep_alive, chunked=False, original=clients.encode_reply):
        return original(reply, keep_alive, chunked) * 2

    patch.setattr(clients, "encode_reply", encode_reply)


def sends_after_the_grace(patch):
    patch.setitem(config.HEALTH_OF_LIFECYCLE, "leaving", "live")


def resends_an_exclusive_one(patch):
    def came_back(self, item, cache, verdict, remark, original=Router._came_back):
        exclusive = item.category.semantics is Semantics.EXCLUSIVE
        if exclusive and verdict in (Verdict.RESET, Verdict.TIMED_OUT, Verdict.ERROR):
            return self._forward(item)
        return original(self, item, cache, verdict, remark)

    patch.setattr(Router, "_came_back", came_back)


def resends_a_ticketed_one_anywhere(patch):
    patch.setattr(choice, "group_of", lambda cache, item: 0)


def defers_what_may_have_run(patch):
    def give_up(self, item):
        self.results.answers.append((item.id, Answer.DEFERRED, 0.0))
        self._end(item, False)

    patch.setattr(Router, "give_up", give_up)


def holds_to_the_expiry(patch):
    def answer(self, id, answer, retry_after, original=driver.Driver._answer):
        async def later():
            wait = self.exchanges[id].expiry - self.clock.now() - 0.02 if id in self.exchanges else 0
            await self.servers.runtime.pause(max(0.0, wait))
            original(self, id, answer, retry_after)

        self.servers.nursery.start_soon(later)

    patch.setattr(driver.Driver, "_answer", answer)


def ignores_cold_room(patch):
    """Also ignores the limit on hand-offs in progress, which with three routers is enough to protect a cold cache."""
    patch.setattr(Router, "_cold_room", lambda self, cache: True)
    patch.setattr(Router, "warmth", lambda self, cache: 1.0)
    patch.setattr(
        Router,
        "_room",
        lambda self, cache, part=1.0, original=Router._room: cache is not self.origin or original(self, cache, part),
    )


def has_no_origin_gate(patch):
    patch.setattr(Router, "_cold_room", lambda self, cache: True)
    patch.setattr(Router, "_room", lambda self, cache, part=1.0: True)


def loses_what_it_held_at_a_reload(patch):
    def reload(self, discovery_, original=service.Service._reload):
        for exchange in [*self.driver.exchanges.values()]:
            exchange.ended = True
        self.driver.exchanges.clear()
        original(self, discovery_)

    patch.setattr(service.Service, "_reload", reload)


def keeps_a_connection_with_bytes_left_over(patch):
    patch.setattr(Connection, "clean", lambda self: True)


def leaks_a_descriptor(patch):
    def close(self, original=Connection.close):
        if not self.reads_requests and self.error is not None:
            self.release()
        else:
            original(self)

    patch.setattr(Connection, "close", close)


def trusts_an_old_generation(patch):
    def apply_update(self, data, scope="", original=discovery.Discovery.apply_update):
        if scope or data["generation"] > self.generation:
            original(self, data, scope)

    patch.setattr(discovery.Discovery, "apply_update", apply_update)


def answers_and_goes_on(patch):
    def on_result(self, hand_off, verdict, remark, reply, original=driver.Driver.on_result):
        if verdict is Verdict.MISS and hand_off.exchange.end(Reply(502)):
            hand_off.exchange.ended = False
        original(self, hand_off, verdict, remark, reply)

    patch.setattr(driver.Driver, "on_result", on_result)


def sends_a_second_copy(patch):
    def hand_off(self, unsent, id, deadline, server, original=driver.Driver._hand_off):
        original(self, unsent, id, deadline, server)
        exchange = self.exchanges[id]
        if exchange.hand_offs == 2:
            self.servers.hand_off(HandOff(exchange, 77, server, self.clock.now(), exchange.expiry))

    patch.setattr(driver.Driver, "_hand_off", hand_off)


def forgets_to_give_memory_back(patch):
    def release(self, original=Connection.release):
        if not self.reads_requests:
            original(self)

    patch.setattr(Connection, "release", release)


def keeps_exchanges_of_gone_clients(patch):
    def abandon(self, exchange):
        exchange.end(None)

    patch.setattr(driver.Driver, "abandon", abandon)


def dials_on_after_a_drain(patch):
    def drain(self, server):
        if (target := self.targets.get(server)) is not None:
            for link in [*target.idle]:
                self._close(link)

    patch.setattr(servers.Servers, "drain", drain)


FAULTS = {
    fault.__name__: fault
    for fault in (
        answers_twice,
        sends_after_the_grace,
        resends_an_exclusive_one,
        resends_a_ticketed_one_anywhere,
        defers_what_may_have_run,
        holds_to_the_expiry,
        ignores_cold_room,
        has_no_origin_gate,
        loses_what_it_held_at_a_reload,
        keeps_a_connection_with_bytes_left_over,
        leaks_a_descriptor,
        trusts_an_old_generation,
        answers_and_goes_on,
        sends_a_second_copy,
        forgets_to_give_memory_back,
        keeps_exchanges_of_gone_clients,
        dials_on_after_a_drain,
    )
}
