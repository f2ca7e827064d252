"""Connections accepted by a router that is shutting down: how long each may take to send its first request.

Times are in seconds of the virtual clock since the SIGTERM.
"""

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
from tests.support.exchange_rig import FRONTEND_PORT, Behaviour, Client, ReceivedResponse, Rig, request_bytes

CONNECT_AT_SECONDS = NOTICE_SECONDS + 0.2  # time at which the new connection is opened
WAITING_CONNECTIONS = 20
DESCRIPTORS = RESERVED_DESCRIPTORS + 40  # limit of a process with room for 40 connections
OPEN_UNTIL_SECONDS = 5.0  # an open request keeps the router running until then


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class NewConnections(unittest.TestCase):
    def got(self, silent_for: float) -> ReceivedResponse:
        """The response to a client that connects late and sends its request ``silent_for`` seconds later."""
        answers: list[ReceivedResponse] = []

        async def clients(rig: Rig) -> None:
            await Client(rig).send(request_bytes("non_idempotent", "first", within=WITHIN))
            await trio.sleep(CONNECT_AT_SECONDS)
            client = Client(rig)
            client.stream = rig.client_machine.stream()
            await connect(client.stream, (rig.router.address, FRONTEND_PORT))
            await trio.sleep(silent_for)
            try:
                answers.append(await client.ask("idempotent", "second", within=WITHIN))
            except OSError:
                answers.append(ReceivedResponse(closed=True))

        outcomes = until_its_end(clients, Behaviour(wait=OPEN_UNTIL_SECONDS - 1.0))
        self.assertEqual(outcomes.violation_count(), 0, outcomes.summary())
        return answers[0]

    def test_a_first_request_that_arrives_soon_is_refused_with_retry_after(self) -> None:
        got = self.got(FIRST_REQUEST_TIMEOUT_SECONDS - 0.02)
        self.assertEqual((got.status, b"retry-after" in {name.lower() for name in got.fields}), (503, True))

    def test_a_connection_that_stays_silent_is_closed_unread(self) -> None:
        got = self.got(FIRST_REQUEST_TIMEOUT_SECONDS + 2 * SHUTDOWN_CHECK_SECONDS)
        self.assertEqual((got.status, got.closed), (0, True))

    def test_connections_in_the_backlog_at_the_end_are_refused_and_not_reset(self) -> None:
        """As after a stall of the event loop that lasts beyond the notice period and fills the listener's backlog."""

        async def clients(rig: Rig) -> None:
            await trio.sleep(NOTICE_SECONDS - 0.3)
            for number in range(WAITING_CONNECTIONS):
                await Client(rig).send(request_bytes("non_idempotent", f"r{number}", within=WITHIN))

        async def accept_nothing(*arguments: object) -> None:
            await trio.sleep_forever()

        with mock.patch.object(Frontend, "_accept", accept_nothing):
            outcomes = until_its_end(clients)
        self.assertEqual(outcomes.violation_count(), 0, outcomes.summary())
        self.assertIn(f"leaving_refusal={WAITING_CONNECTIONS} ", outcomes.summary())


class DescriptorLimits(unittest.TestCase):
    def test_connections_are_accepted_up_to_the_limit_for_clients(self) -> None:
        budget = DescriptorBudget(DESCRIPTORS)
        limit = math.ceil(MAX_CLIENT_FRACTION * budget.limit)
        self.assertEqual([budget.try_acquire_client() for _ in range(limit + 1)], [True] * limit + [False])
        self.assertEqual(budget.clients, limit)
        budget.release_client()
        self.assertTrue(budget.try_acquire_client())


if __name__ == "__main__":
    unittest.main()
