"""The client library against core machines in the virtual network, over takeovers and outages."""

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


class ClientCase(unittest.TestCase):
    def play(self, main: Callable[[], Awaitable[None]]) -> None:
        async def run(fleet: Fleet) -> None:
            self.fleet = fleet
            await fleet.start()
            self.client = self.new_client()
            await main()

        play(run, routers=1, coordinated=True)

    def new_client(self, repeat_seconds: float = 6.0) -> CoordinationClient:
        addresses = [(unit.machine.address, CONTROL) for unit in self.fleet.cores]
        return CoordinationClient(addresses, self.fleet.outside, repeat_seconds, random.Random(7))

    def kill_coordinator(self) -> None:
        self.fleet.kill(*self.fleet.coordinators())


class Locks(ClientCase):
    def test_a_lock_is_held_on_and_then_free_at_once(self) -> None:
        async def main() -> None:
            async with self.client.lock("l", "a", HOLD_SECONDS) as first:
                await trio.sleep(3 * HOLD_SECONDS)
                with self.assertRaises(LockNotFree):
                    async with self.client.lock("l", "b", HOLD_SECONDS, wait_seconds=0.0):
                        raise AssertionError("two hold it")
            began = trio.current_time()
            async with self.client.lock("l", "b", HOLD_SECONDS) as second:
                self.assertLess(trio.current_time() - began, 0.3)
            self.assertGreater(second.token, first.token)

        self.play(main)

    def test_the_block_ends_with_the_hold_by_the_holders_clock(self) -> None:
        async def main() -> None:
            with self.assertRaises(LockWasLost):
                async with self.client.lock("l", "a", HOLD_SECONDS) as hold:
                    self.fleet.kill(*self.fleet.cores)
                    await trio.sleep(60.0)
            self.assertGreaterEqual(trio.current_time(), hold.ends_at)
            self.assertLess(trio.current_time(), hold.ends_at + 1.1)

        self.play(main)

    def test_a_hold_outlasts_a_takeover(self) -> None:
        async def main() -> None:
            async with self.client.lock("l", "a", 3.0) as hold:
                self.kill_coordinator()
                await trio.sleep(6.0)
                with self.assertRaises(LockNotFree):
                    async with self.client.lock("l", "b", 3.0, wait_seconds=0.0):
                        raise AssertionError("two hold it")
            self.assertGreater(hold.ends_at, 6.0)

        self.play(main)

    def test_a_lock_that_another_was_given_ends_the_block(self) -> None:
        async def main() -> None:
            with self.assertRaises(LockWasLost):
                async with self.client.lock("l", "a", HOLD_SECONDS) as hold:
                    await self.client._release(hold)
                    async with self.new_client().lock("l", "b", HOLD_SECONDS):
                        await trio.sleep(60.0)

        self.play(main)

    def test_an_error_in_the_block_comes_out_as_it_is_and_frees_the_lock(self) -> None:
        async def main() -> None:
            with self.assertRaisesRegex(ValueError, "of the block"):
                async with self.client.lock("l", "a", HOLD_SECONDS):
                    raise ValueError("of the block")
            async with self.client.lock("l", "b", HOLD_SECONDS, wait_seconds=0.0):
                pass

        self.play(main)

    def test_a_block_that_is_cancelled_from_outside_frees_the_lock(self) -> None:
        async def main() -> None:
            with trio.move_on_after(0.5):
                async with self.client.lock("l", "a", HOLD_SECONDS):
                    await trio.sleep(60.0)
            async with self.client.lock("l", "b", HOLD_SECONDS, wait_seconds=0.0):
                pass

        self.play(main)


class Values(ClientCase):
    def test_numbers_rise_over_takeovers(self) -> None:
        async def main() -> None:
            values = []
            for _ in range(3):
                values.append(await self.client.next_number("n"))
                self.kill_coordinator()
                values.append(await self.client.next_number("n"))
                self.fleet.back(*self.fleet.cores)
                await trio.sleep(3.0)
            self.assertEqual(values, sorted(set(values)))

        self.play(main)

    def test_keys(self) -> None:
        async def main() -> None:
            self.assertIsNone(await self.client.read("g.a"))
            self.assertEqual(await self.client.put("g.a", "1", 0), 1)
            self.assertEqual(await self.client.put("g.a", "1", 0), 1)
            with self.assertRaises(PutConflict) as conflict:
                await self.client.put("g.a", "2", 0)
            self.assertEqual(conflict.exception.revision, 1)
            self.assertEqual(await self.client.put("g.a/ä", "3"), 2)
            self.assertEqual(await self.client.read("g.a/ä"), KeyValue("3", 2))

        self.play(main)

    def test_a_watch_has_no_gap_over_a_takeover(self) -> None:
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
                    self.kill_coordinator()
                await self.client.put("g.a", str(number))
            self.assertTrue(await self.fleet.until(lambda: len(seen) == 6))
            self.assertEqual(seen, [2, 3, 4, 5, 6, 7])

        self.play(main)


class Failures(ClientCase):
    def test_a_call_over_a_limit_is_refused_with_the_reason(self) -> None:
        async def main() -> None:
            with self.assertRaisesRegex(Refused, "400: value: 4096 bytes at most"):
                await self.client.put("g.a", "v" * (limits.MAX_VALUE_BYTES + 1))

        self.play(main)

    def test_without_a_machine_a_call_ends_in_its_time(self) -> None:
        async def main() -> None:
            self.fleet.kill(*self.fleet.cores)
            began = trio.current_time()
            with self.assertRaises(Unavailable):
                await self.new_client(2.0).next_number("n")
            self.assertLess(trio.current_time() - began, 4.0)

        self.play(main)

    def test_a_watch_from_a_revision_that_is_no_longer_kept(self) -> None:
        async def main() -> None:
            dropped = mock.AsyncMock(return_value=HistoryDropped())
            with mock.patch.object(self.client, "call", dropped), self.assertRaises(HistoryGone):
                await anext(self.client.watch("g.", 3))

        self.play(main)


if __name__ == "__main__":
    unittest.main()
