"""Connections that a leaving router takes: how long one waits for its first request. Times are seconds of the virtual
clock from the SIGTERM on."""

import math
import unittest
from unittest import mock

import trio
from loguru import logger

from rowanshift.dataplane.drain import NOTICE_SECONDS
from rowanshift.dataplane.frontend import FIRST_REQUEST_TIMEOUT_SECONDS, Frontend
from rowanshift.dataplane.service import SHUTDOWN_CHECK_SECONDS
from rowanshift.transport.descriptor_budget import MAX_CLIENT_FRACTION, RESERVED_DESCRIPTORS, DescriptorBudget
from rowanshift.transport.streams import connect
from tests.dataplane.test_drain_order_of_events import WITHIN, until_its_end
from tests.support.exchange_rig import FRONT, Behaviour, Client, Got, Rig, request_bytes

LATE = NOTICE_SECONDS + 0.2  # when the new connection comes
WAITING = 20  # connections
LEAST_DESCRIPTORS = RESERVED_DESCRIPTORS + 40  # of a process with room for 40 connections
KEEPS_IT_OPEN = 5.0  # seconds of a request that holds the router until then


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class NewConnections(unittest.TestCase):
    def got(self, silent_for: float) -> Got:
        """What a client gets that connects at ``LATE`` and sends its request ``silent_for`` seconds later."""
        answers: list[Got] = []

        async def clients(rig: Rig) -> None:
            await Client(rig).send(request_bytes("non_idempotent", "first", within=WITHIN))
            await trio.sleep(LATE)
            client = Client(rig)
            client.stream = rig.client_machine.stream()
            await connect(client.stream, (rig.router.address, FRONT))
            await trio.sleep(silent_for)
            try:
                answers.append(await client.ask("idempotent", "second", within=WITHIN))
            except OSError:
                answers.append(Got(ended=True))

        outcomes = until_its_end(clients, Behaviour(wait=KEEPS_IT_OPEN - 1.0))
        self.assertEqual(outcomes.violation_count(), 0, outcomes.summary())
        return answers[0]

    def test_a_first_request_that_comes_soon_is_refused_with_a_time_to_come_back(self) -> None:
        got = self.got(FIRST_REQUEST_TIMEOUT_SECONDS - 0.02)
        self.assertEqual((got.status, b"retry-after" in {name.lower() for name in got.fields}), (503, True))

    def test_a_connection_that_stays_silent_is_closed_unread(self) -> None:
        got = self.got(FIRST_REQUEST_TIMEOUT_SECONDS + 2 * SHUTDOWN_CHECK_SECONDS)
        self.assertEqual((got.status, got.ended), (0, True))

    def test_those_that_wait_to_be_accepted_at_the_end_are_refused_and_not_reset(self) -> None:
        """As after a standstill of the loop, which finds the signal's notice over and its listener full."""

        async def clients(rig: Rig) -> None:
            await trio.sleep(NOTICE_SECONDS - 0.3)
            for number in range(WAITING):
                await Client(rig).send(request_bytes("non_idempotent", f"r{number}", within=WITHIN))

        async def stands_still(*given: object) -> None:
            await trio.sleep_forever()

        with mock.patch.object(Frontend, "_accept", stands_still):
            outcomes = until_its_end(clients)
        self.assertEqual(outcomes.violation_count(), 0, outcomes.summary())
        self.assertIn(f"leaving_refusal={WAITING} ", outcomes.summary())


class Room(unittest.TestCase):
    def test_connections_are_taken_at_once_as_far_as_clients_have_room(self) -> None:
        budget = DescriptorBudget(LEAST_DESCRIPTORS)
        most = math.ceil(MAX_CLIENT_FRACTION * budget.limit)
        self.assertEqual([budget.try_acquire_client() for _ in range(most + 1)], [True] * most + [False])
        self.assertEqual(budget.clients, most)
        budget.release_client()
        self.assertTrue(budget.try_acquire_client())


if __name__ == "__main__":
    unittest.main()
