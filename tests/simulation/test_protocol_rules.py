"""Rules of the protocol's page that no other test would see broken: see the table in docs/system.md."""

import unittest

import trio
from loguru import logger

from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.dataplane.routing_table import RoutingTable
from rowanshift.invariants.facts import Ordered
from rowanshift.simulation import fleet as fleets
from rowanshift.simulation.fleet import ONCE, SERVICE, Fleet
from rowanshift.simulation.fleet_settings import CONTACT, MODEL, READY
from rowanshift.transport.call_client import call
from tests.support.exchange_case import exchange, outcome
from tests.support.exchange_rig import (
    KINDS,
    REPEATABLE,
    Behaviour,
    Client,
    Rig,
    Then,
    plain,
    play,
    rejection,
    request_bytes,
)

RETRIES, TIMEOUT = 3, 8.0  # of the rig's routes
FULL = Behaviour(rejection(503, b"Not-Executed: 1"), runs=False)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Attempts(unittest.TestCase):
    def test_no_more_servers_than_the_route_allows(self) -> None:
        async def main(rig: Rig, kind: str) -> int:
            return (await exchange(rig, kind, *[FULL] * 6)).attempts

        for kind in KINDS:
            self.assertEqual(play(lambda rig, kind=kind: main(rig, kind), servers=6), RETRIES)

    def test_a_later_attempt_is_handed_what_is_left_then(self) -> None:
        async def main(rig: Rig, kind: str) -> list[int]:
            handed = []

            def failing(asked):
                handed.append(int(asked.fields[b"deadline-remaining"]))
                return plain(asked, 500)

            rig.behaviours[:] = [Behaviour(failing, wait=1.0), Behaviour(failing)]
            await Client(rig).ask(kind, rig.next_id())
            return handed

        for kind in REPEATABLE:
            first, second = play(lambda rig, kind=kind: main(rig, kind))
            self.assertLess(second, first - 990)

    def test_a_client_is_answered_at_its_routes_time_out(self) -> None:
        async def main(rig: Rig, kind: str) -> tuple[str, float]:
            rig.behaviours[:] = [Behaviour(cut=0, then=Then.SILENCE)]
            id, client = rig.next_id(), Client(rig)
            await client.send(request_bytes(kind, id, within=60.0))
            got = await client.answer(2 * TIMEOUT)
            return outcome(kind, id, got), got.at

        for kind in KINDS:
            end, at = play(lambda rig, kind=kind: main(rig, kind), servers=1)
            self.assertEqual(end, "own 504")
            self.assertLess(at, TIMEOUT + 0.5)

    def test_a_router_that_knows_no_configuration_says_when_to_come_again(self) -> None:
        async def main(rig: Rig) -> tuple[int, bool]:
            rig.state.routing_table = RoutingTable()
            got = await Client(rig).ask("idempotent", rig.next_id())
            return got.status, b"retry-after" in got.fields

        self.assertEqual(play(main), (503, True))


class Readiness(unittest.TestCase):
    def test_a_router_that_was_told_to_stop_is_not_ready_while_it_serves_on(self) -> None:
        async def main(fleet: Fleet) -> tuple[int, int]:
            await fleet.start()
            fleet.client("long", ONCE, "key-1", out=300)
            await trio.sleep(0.5)
            unit = fleet.routers[0]
            address = unit.machine.address, READY
            before = await call(fleet.outside, fleet.memory, address, b"GET", b"/readiness")
            fleet.terminate(unit)
            await trio.sleep(0.1)
            after = await call(fleet.outside, fleet.memory, address, b"GET", b"/readiness")
            return before.status, after.status

        self.assertEqual(fleets.play(main, "readiness", routers=1, strict=False)[0], (200, 503))


class Orders(unittest.TestCase):
    """What becomes of an order to a server."""

    def orders(self, prepare) -> tuple[bool, list[Ordered]]:
        """Whether an order of version 2 to the first server went well, and the orders that it took."""

        async def main(fleet: Fleet) -> tuple[bool, list[Ordered]]:
            await fleet.start()
            await trio.sleep(CONTACT + 1.0)  # until the primary may give orders
            tasks, server = fleet.primary().program.tasks, fleet.servers[0]
            fleet.registry.newest[MODEL] = 2
            known = RegisteredServer(server.instance_id, SERVICE, server.name, "z", 1, False, {MODEL: 1})
            tasks.registry.servers[known.id] = known
            prepare(server, known)
            tasks.registry.servers.setdefault(known.id, known)
            return await tasks.rollout._order(known, MODEL, 2), fleet.of(Ordered)

        return fleets.play(main, "orders", routers=1, load=1.0)[0]

    def test_one_that_is_meant_for_an_earlier_incarnation_is_not_taken(self) -> None:
        def gone(server, known: RegisteredServer) -> None:
            known.id = "i-earlier"

        well, orders = self.orders(gone)
        self.assertEqual((well, orders), (False, []))

    def test_one_whose_answer_is_lost_is_followed_and_not_given_again(self) -> None:
        well, orders = self.orders(lambda server, known: server.answer_lost(0.0, orders=1.0))
        self.assertEqual((well, len(orders)), (True, 1))

    def test_one_that_meets_another_under_way_waits_for_it(self) -> None:
        def busy(server, known: RegisteredServer) -> None:
            earlier = {"operation": "revision", "model": MODEL, "revision": 2, "method": "retain"}
            server._take_order(earlier | {"leaseHolder": "core-0", "fenceToken": 1})

        well, orders = self.orders(busy)
        self.assertEqual((well, [order.status for order in orders]), (True, [409]))


if __name__ == "__main__":
    unittest.main()
