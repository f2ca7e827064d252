"""Protocol rules that no other test checks; docs/system.md lists them in a table."""

import unittest

import trio
from loguru import logger

from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.dataplane.routing_table import RoutingTable
from rowanshift.invariants.facts import Ordered
from rowanshift.simulation import fleet as fleet_simulation
from rowanshift.simulation.fleet import ONCE, SERVICE, Fleet
from rowanshift.simulation.fleet_settings import CONTACT, MODEL, READY
from rowanshift.transport.call_client import call
from tests.support.exchange_case import exchange, outcome
from tests.support.exchange_rig import (
    KINDS,
    REPEATABLE,
    AfterCut,
    Behaviour,
    Client,
    Rig,
    plain,
    play,
    rejection,
    request_bytes,
)

RETRIES, TIMEOUT_SECONDS = 3, 8.0  # of the routes of ``Rig``; seconds
FULL_SERVER = Behaviour(rejection(503, b"Not-Executed: 1"), runs=False)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Attempts(unittest.TestCase):
    def test_attempts_are_limited_by_the_route(self) -> None:
        async def main(rig: Rig, kind: str) -> int:
            return (await exchange(rig, kind, *[FULL_SERVER] * 6)).attempts

        for kind in KINDS:
            self.assertEqual(play(lambda rig, kind=kind: main(rig, kind), servers=6), RETRIES)

    def test_later_attempt_gets_the_remaining_deadline(self) -> None:
        async def main(rig: Rig, kind: str) -> list[int]:
            remaining_times = []

            def failing(asked):
                remaining_times.append(int(asked.fields[b"deadline-remaining"]))
                return plain(asked, 500)

            rig.behaviours[:] = [Behaviour(failing, wait=1.0), Behaviour(failing)]
            await Client(rig).ask(kind, rig.next_id())
            return remaining_times

        for kind in REPEATABLE:
            first, second = play(lambda rig, kind=kind: main(rig, kind))
            self.assertLess(second, first - 990)

    def test_client_gets_504_at_the_route_timeout(self) -> None:
        async def main(rig: Rig, kind: str) -> tuple[str, float]:
            rig.behaviours[:] = [Behaviour(cut=0, then=AfterCut.SILENCE)]
            id, client = rig.next_id(), Client(rig)
            await client.send(request_bytes(kind, id, within=60.0))
            response = await client.answer(2 * TIMEOUT_SECONDS)
            return outcome(kind, id, response), response.at

        for kind in KINDS:
            end, at = play(lambda rig, kind=kind: main(rig, kind), servers=1)
            self.assertEqual(end, "own 504")
            self.assertLess(at, TIMEOUT_SECONDS + 0.5)

    def test_router_without_a_configuration_sends_retry_after(self) -> None:
        async def main(rig: Rig) -> tuple[int, bool]:
            rig.state.routing_table = RoutingTable()
            response = await Client(rig).ask("idempotent", rig.next_id())
            return response.status, b"retry-after" in response.fields

        self.assertEqual(play(main), (503, True))


class Readiness(unittest.TestCase):
    def test_router_is_not_ready_during_shutdown(self) -> None:
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

        self.assertEqual(fleet_simulation.play(main, "readiness", routers=1, strict=False)[0], (200, 503))


class Orders(unittest.TestCase):
    """How the control plane follows up an order to a model server."""

    def order_version_2(self, prepare) -> tuple[bool, list[Ordered]]:
        """Order version 2 at the first server; return whether it succeeded, and the orders that reached the server."""

        async def main(fleet: Fleet) -> tuple[bool, list[Ordered]]:
            await fleet.start()
            await trio.sleep(CONTACT + 1.0)  # until the primary may send orders
            tasks, server = fleet.primary().program.tasks, fleet.servers[0]
            fleet.registry.newest[MODEL] = 2
            registered = RegisteredServer(server.instance_id, SERVICE, server.name, "z", 1, False, {MODEL: 1})
            tasks.registry.servers[registered.id] = registered
            prepare(server, registered)
            tasks.registry.servers.setdefault(registered.id, registered)
            return await tasks.rollout._order(registered, MODEL, 2), fleet.of(Ordered)

        return fleet_simulation.play(main, "orders", routers=1, load=1.0)[0]

    def test_order_for_an_earlier_incarnation_is_refused(self) -> None:
        def address_earlier_incarnation(server, registered: RegisteredServer) -> None:
            registered.id = "i-earlier"

        succeeded, orders = self.order_version_2(address_earlier_incarnation)
        self.assertEqual((succeeded, orders), (False, []))

    def test_order_with_a_lost_response_is_not_sent_again(self) -> None:
        succeeded, orders = self.order_version_2(lambda server, registered: server.answer_lost(0.0, orders=1.0))
        self.assertEqual((succeeded, len(orders)), (True, 1))

    def test_order_waits_for_another_in_progress(self) -> None:
        def start_earlier_load(server, registered: RegisteredServer) -> None:
            earlier = {"operation": "revision", "model": MODEL, "revision": 2, "method": "retain"}
            server._take_order(earlier | {"leaseHolder": "core-0", "fenceToken": 1})

        succeeded, orders = self.order_version_2(start_earlier_load)
        self.assertEqual((succeeded, [order.status for order in orders]), (True, [409]))


if __name__ == "__main__":
    unittest.main()
