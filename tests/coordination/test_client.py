"""The client library against core machines in the simulated network, with takeovers and outages."""

import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane.coordination import limits
from rowanshift.controlplane.coordination.calls import HistoryDropped
from rowanshift.coordination import (
    CoordinationClient,
    HistoryGone,
    KeyValue,
    LockNotFree,
    LockWasLost,
    PutConflict,
    Refused,
    Unavailable,
)
from rowanshift.simulation.fleet import Fleet, play
from rowanshift.simulation.fleet_settings import CONTROL

HOLD_SECONDS = 1.5


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class ClientTestCase(unittest.TestCase):
    def run_test(self, main: Callable[[], Awaitable[None]]) -> None:
        async def run(fleet: Fleet) -> None:
            self.fleet = fleet
            await fleet.start()
            self.client = self.new_client()
            await main()

        play(run, routers=1, coordinated=True)

    def new_client(self, repeat_seconds: float = 6.0) -> CoordinationClient:
        addresses = [(unit.machine.address, CONTROL) for unit in self.fleet.cores]
        return CoordinationClient(addresses, self.fleet.outside, repeat_seconds, random.Random(7))

    def kill_primary(self) -> None:
        self.fleet.kill(*self.fleet.coordinators())


class Locks(ClientTestCase):
    def test_a_lock_is_renewed_during_its_block_and_free_right_after_it(self) -> None:
        async def main() -> None:
            async with self.client.lock("l", "a", HOLD_SECONDS) as first:
                await trio.sleep(3 * HOLD_SECONDS)
                with self.assertRaises(LockNotFree):
                    async with self.client.lock("l", "b", HOLD_SECONDS, wait_seconds=0.0):
                        raise AssertionError("the lock has two holders")
            started_at = trio.current_time()
            async with self.client.lock("l", "b", HOLD_SECONDS) as second:
                self.assertLess(trio.current_time() - started_at, 0.3)
            self.assertGreater(second.token, first.token)

        self.run_test(main)

    def test_a_block_is_cancelled_when_its_hold_ends_by_the_local_clock(self) -> None:
        async def main() -> None:
            with self.assertRaises(LockWasLost):
                async with self.client.lock("l", "a", HOLD_SECONDS) as hold:
                    self.fleet.kill(*self.fleet.cores)
                    await trio.sleep(60.0)
            self.assertGreaterEqual(trio.current_time(), hold.ends_at)
            self.assertLess(trio.current_time(), hold.ends_at + 1.1)

        self.run_test(main)

    def test_a_hold_survives_a_takeover(self) -> None:
        async def main() -> None:
            async with self.client.lock("l", "a", 3.0) as hold:
                self.kill_primary()
                await trio.sleep(6.0)
                with self.assertRaises(LockNotFree):
                    async with self.client.lock("l", "b", 3.0, wait_seconds=0.0):
                        raise AssertionError("the lock has two holders")
            self.assertGreater(hold.ends_at, 6.0)

        self.run_test(main)

    def test_a_block_is_cancelled_once_another_holder_has_the_lock(self) -> None:
        async def main() -> None:
            with self.assertRaises(LockWasLost):
                async with self.client.lock("l", "a", HOLD_SECONDS) as hold:
                    await self.client._release(hold)
                    async with self.new_client().lock("l", "b", HOLD_SECONDS):
                        await trio.sleep(60.0)

        self.run_test(main)

    def test_an_error_in_the_block_is_raised_unwrapped_and_releases_the_lock(self) -> None:
        async def main() -> None:
            with self.assertRaisesRegex(ValueError, "of the block"):
                async with self.client.lock("l", "a", HOLD_SECONDS):
                    raise ValueError("of the block")
            async with self.client.lock("l", "b", HOLD_SECONDS, wait_seconds=0.0):
                pass

        self.run_test(main)

    def test_cancelling_a_block_from_outside_releases_the_lock(self) -> None:
        async def main() -> None:
            with trio.move_on_after(0.5):
                async with self.client.lock("l", "a", HOLD_SECONDS):
                    await trio.sleep(60.0)
            async with self.client.lock("l", "b", HOLD_SECONDS, wait_seconds=0.0):
                pass

        self.run_test(main)


class Values(ClientTestCase):
    def test_numbers_increase_across_takeovers(self) -> None:
        async def main() -> None:
            values = []
            for _ in range(3):
                values.append(await self.client.next_number("n"))
                self.kill_primary()
                values.append(await self.client.next_number("n"))
                self.fleet.back(*self.fleet.cores)
                await trio.sleep(3.0)
            self.assertEqual(values, sorted(set(values)))

        self.run_test(main)

    def test_keys_are_put_and_read(self) -> None:
        async def main() -> None:
            self.assertIsNone(await self.client.read("g.a"))
            self.assertEqual(await self.client.put("g.a", "1", 0), 1)
            self.assertEqual(await self.client.put("g.a", "1", 0), 1)
            with self.assertRaises(PutConflict) as conflict:
                await self.client.put("g.a", "2", 0)
            self.assertEqual(conflict.exception.revision, 1)
            self.assertEqual(await self.client.put("g.a/ä", "3"), 2)
            self.assertEqual(await self.client.read("g.a/ä"), KeyValue("3", 2))

        self.run_test(main)

    def test_a_watch_has_no_gap_across_a_takeover(self) -> None:
        async def main() -> None:
            await self.client.put("g.a", "0")
            seen: list[int] = []

            async def watch() -> None:
                async for event in self.new_client(20.0).watch("g."):
                    seen.append(event.revision)

            self.fleet.nursery.start_soon(watch)
            await trio.sleep(1.0)
            for number in range(1, 7):
                if number == 3:
                    self.kill_primary()
                await self.client.put("g.a", str(number))
            self.assertTrue(await self.fleet.until(lambda: len(seen) == 6))
            self.assertEqual(seen, [2, 3, 4, 5, 6, 7])

        self.run_test(main)


class Failures(ClientTestCase):
    def test_a_call_over_a_limit_is_refused_with_the_reason(self) -> None:
        async def main() -> None:
            with self.assertRaisesRegex(Refused, "400: value: at most 4096 bytes expected"):
                await self.client.put("g.a", "v" * (limits.MAX_VALUE_BYTES + 1))

        self.run_test(main)

    def test_without_a_reachable_machine_a_call_ends_in_time(self) -> None:
        async def main() -> None:
            self.fleet.kill(*self.fleet.cores)
            started_at = trio.current_time()
            with self.assertRaises(Unavailable):
                await self.new_client(2.0).next_number("n")
            self.assertLess(trio.current_time() - started_at, 4.0)

        self.run_test(main)

    def test_a_watch_from_a_revision_before_the_history_raises_an_error(self) -> None:
        async def main() -> None:
            dropped = mock.AsyncMock(return_value=HistoryDropped())
            with mock.patch.object(self.client, "call", dropped), self.assertRaises(HistoryGone):
                await anext(self.client.watch("g.", 3))

        self.run_test(main)


if __name__ == "__main__":
    unittest.main()
