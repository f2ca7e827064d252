"""Addresses to which nobody can connect: refused in a configuration, and harmless where they come from elsewhere.

Guards against one acknowledged configuration that ends each primary again and again.
"""

import unittest

import orjson
import trio
from loguru import logger

from rowanshift.controlplane.configuration_checks import check_configuration
from rowanshift.controlplane.configuration_reader import parse_configuration
from rowanshift.controlplane.control_state import ControlState
from rowanshift.controlplane.errors import InvalidConfiguration
from rowanshift.controlplane.state_publication import prefix_store_addresses
from rowanshift.process.addresses import parse_ip_port
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.transport.call_client import CallFailed, PersistentCaller, call
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.transport.supervision import FIRST_RESTART_SECONDS, run_supervised

UNUSABLE = (
    "127.0.0.1:81650",
    "127.0.0.1:0",
    "127.0.0.1",
    ":80",
    "store:80",
    "127.0.0.1:\uff180",
    "1.2.3:4",
    "127.0.0.1:-1",
)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def configuration(address: str) -> dict:
    return config_of(2) | {"backends": [*config_of(2)["backends"], {"name": "kept", "kvStoreAddress": address}]}


class InAConfiguration(unittest.TestCase):
    def test_each_is_refused_with_its_place_and_what_was_expected(self) -> None:
        for address in UNUSABLE:
            with self.assertRaises(InvalidConfiguration) as caught:
                check_configuration(parse_configuration(orjson.dumps(configuration(address))))
            self.assertIn("backends[2].kvStoreAddress", str(caught.exception))
            self.assertIn("expected IP:PORT", str(caught.exception))
        for address in ("127.0.0.1:1", "127.0.0.1:65535", ""):
            check_configuration(parse_configuration(orjson.dumps(configuration(address))))

    def test_the_operator_gets_a_400_and_the_configuration_stays(self) -> None:
        async def main(fleet: Fleet) -> tuple[int, int]:
            await fleet.start()
            status = await fleet.put(configuration(UNUSABLE[0]))
            return status, await fleet.put(configuration("127.0.0.1:8165"))

        (refused, accepted), _ = play(main, routers=1)
        self.assertEqual((refused, accepted), (400, 200))

    def test_one_that_an_earlier_program_has_stored_is_passed_over(self) -> None:
        for address in UNUSABLE:
            state = ControlState(revision=2, config=orjson.dumps(configuration(address)))
            self.assertEqual(prefix_store_addresses(state), set())


class AtASocket(unittest.TestCase):
    def test_a_call_fails_as_to_any_address_that_is_out_of_reach(self) -> None:
        address, memory = ("127.0.0.1", 81650), MemoryBudget(4)

        async def main() -> None:
            for calling in (
                call(SYSTEM_RUNTIME, memory, address, b"GET", b"/"),
                PersistentCaller(SYSTEM_RUNTIME, memory, address).call(b"GET", b"/"),
            ):
                with self.assertRaises(CallFailed):
                    await calling

        trio.run(main)

    def test_parsing(self) -> None:
        self.assertEqual(parse_ip_port("10.0.0.1:80"), ("10.0.0.1", 80))
        self.assertEqual([parse_ip_port(text) for text in UNUSABLE], [None] * len(UNUSABLE))


class Supervision(unittest.TestCase):
    def test_a_failing_task_begins_again_after_a_growing_pause(self) -> None:
        pauses: list[float] = []
        runs = 0

        async def pause(seconds: float) -> None:
            pauses.append(seconds)

        async def task() -> None:
            nonlocal runs
            runs += 1
            if runs <= 6:
                raise OverflowError("planted")

        trio.run(run_supervised, pause, "planted", task)
        self.assertEqual(pauses, [FIRST_RESTART_SECONDS * factor for factor in (1, 2, 4, 8, 16, 16)])

    def test_a_cancelled_task_ends(self) -> None:
        async def main() -> bool:
            with trio.move_on_after(0) as scope:
                await run_supervised(trio.sleep, "cancelled", trio.sleep_forever)
            return scope.cancelled_caught

        self.assertTrue(trio.run(main))


if __name__ == "__main__":
    unittest.main()
