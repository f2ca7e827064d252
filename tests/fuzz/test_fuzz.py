"""The fuzzer on the system as it is, and with a planted fault for each judge."""

import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane.api import ConfigResource
from rowanshift.dataplane import frontend
from rowanshift.dataplane.frontend import Frontend
from rowanshift.fuzz import system
from rowanshift.fuzz.command import SHORT_EXAMPLES, SHORT_SEEDS, play_seed
from rowanshift.transport.call_server import CallServer
from rowanshift.transport.http_response import Response
from rowanshift.transport.memory_budget import MemoryBudget

SEED, EXAMPLES = 5, 30


def setUpModule() -> None:
    logger.remove()


class ShortForm(unittest.TestCase):
    def test_no_seed_finds_a_breach(self) -> None:
        for seed in SHORT_SEEDS:
            self.assertIsNone(trio.run(play_seed, seed, SHORT_EXAMPLES), seed)


class PlantedFaults(unittest.TestCase):
    def assert_found(self, expected: str, *patches: Any) -> None:
        for patch in patches:
            self.enterContext(patch)
        found = trio.run(play_seed, SEED, EXAMPLES)
        self.assertIsNotNone(found)
        self.assertIn(expected, found or "")

    def test_a_role_ends(self) -> None:
        async def reject(stream: Any, error: Exception) -> None:
            raise ConnectionResetError("planted")

        self.assert_found("a role ended", mock.patch.object(CallServer, "_reject_malformed", staticmethod(reject)))

    def test_a_connection_stays_open(self) -> None:
        async def reject(front: Frontend, writer: Any, error: Exception) -> None:
            writer.connection.release()
            await trio.sleep_forever()

        self.assert_found(
            "hang",
            mock.patch.object(Frontend, "_reject_malformed", reject),
            mock.patch.object(system, "ANSWER_SECONDS", 1.0),
        )

    def test_an_error_is_logged(self) -> None:
        original: Callable[..., Any] = frontend.parse_request

        def parse_request(message: Any, now: float) -> Any:
            if message.method != b"POST" or not message.fields[-1][1].isascii():
                raise KeyError("planted")
            return original(message, now)

        self.assert_found("an error of ours was logged", mock.patch.object(frontend, "parse_request", parse_request))

    def test_memory_does_not_come_back(self) -> None:
        original = MemoryBudget.release

        def release(budget: MemoryBudget, size: int) -> None:
            original(budget, max(0, size - 1))

        self.assert_found(
            "bytes of bodies are still held",
            mock.patch.object(MemoryBudget, "release", release),
            mock.patch.object(system, "MEMORY_SECONDS", 0.2),
        )

    def test_what_was_acknowledged_is_gone(self) -> None:
        async def call(resource: ConfigResource, message: Any) -> Response:
            response = await original(resource, message)
            if message.method == b"GET" and response.status == 200:
                return Response(200, b'{"revision":0}')
            return response

        original = ConfigResource.call
        self.assert_found("acknowledged revision", mock.patch.object(ConfigResource, "call", call))


if __name__ == "__main__":
    unittest.main()
