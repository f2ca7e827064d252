"""The client for model servers: servers with an invalid address in the endpoint list."""

import unittest

import trio
from loguru import logger

from rowanshift.controlplane.model_server_client import LoadOrder, ModelServerClient, address_of
from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.transport.call_client import CallFailed
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME

INVALID_ADDRESSES = (
    "",
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "10.0.0.1:x",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:\uff19",
)


def server(address: str) -> RegisteredServer:
    return RegisteredServer("i-1", "s", address, "z", 1, False, {"m": 1})


class Addresses(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")

    def test_an_address_with_a_port_is_split(self) -> None:
        self.assertEqual(address_of(server("10.0.0.1:8080")), ("10.0.0.1", 8080))

    def test_an_order_to_an_invalid_address_fails_unsent(self) -> None:
        """Guards against a ``ValueError`` that terminated the process of the primary."""
        client = ModelServerClient(SYSTEM_RUNTIME, MemoryBudget(1))
        for address in INVALID_ADDRESSES:
            with self.subTest(address), self.assertRaises(CallFailed) as caught:
                trio.run(client.order, server(address), LoadOrder("m", 2, "core-1", 7), 0.5)
            self.assertFalse(caught.exception.sent)

    def test_a_server_with_an_invalid_address_has_no_report(self) -> None:
        client = ModelServerClient(SYSTEM_RUNTIME, MemoryBudget(1))
        for address in INVALID_ADDRESSES:
            with self.subTest(address):
                self.assertIsNone(trio.run(client.report, server(address)))


if __name__ == "__main__":
    unittest.main()
