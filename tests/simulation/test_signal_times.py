"""From when a process's grace counts: from the moment its signal was handled, however late its loop goes on."""

import os
import signal
import threading
import time
import unittest
from dataclasses import replace

import trio
from loguru import logger

from rowanshift.simulation.fleet import ONCE, Fleet, config_of, play, routes_of
from rowanshift.simulation.fleet_settings import BOUNDS
from rowanshift.simulation.fleet_troubles import Unit
from rowanshift.transport.runtime import SYSTEM_RUNTIME

GRACE = BOUNDS["graceS"]
STANDSTILL = 3.0  # seconds
EXIT_TAKES = 0.05
LONG = 4000  # tokens of a stream that outlasts the grace
LONGEST_MS = 60_000  # for its route and its client


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Handler(unittest.TestCase):
    def test_it_notes_the_time_while_the_loop_stands_still(self) -> None:
        async def main() -> float:
            with SYSTEM_RUNTIME.signals() as signals:
                threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGHUP)).start()
                began = trio.current_time()
                time.sleep(0.6)  # the loop stands still
                received = await anext(signals)
                self.assertEqual(received.number, signal.SIGHUP)
                return received.at - began

        self.assertLess(trio.run(main), 0.4)

    def test_all_kinds_come_in_their_order_and_once_until_they_are_taken(self) -> None:
        async def main() -> list[int]:
            with SYSTEM_RUNTIME.signals() as signals:
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                    signal.raise_signal(number)
                taken = [(await anext(signals)).number for _ in range(3)]
                signal.raise_signal(signal.SIGHUP)
                with trio.fail_after(5):
                    return [*taken, (await anext(signals)).number]

        self.assertEqual(trio.run(main), [signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP])

    def test_former_handlers_are_back_afterwards(self) -> None:
        before = signal.getsignal(signal.SIGTERM)

        async def main() -> None:
            with SYSTEM_RUNTIME.signals():
                self.assertNotEqual(signal.getsignal(signal.SIGTERM), before)

        trio.run(main)
        self.assertEqual(signal.getsignal(signal.SIGTERM), before)


class Grace(unittest.TestCase):
    """The loop of a process stands still as its signal is handled, as it does where its processor's quota is spent."""

    def took(self, choose, seed: str) -> float:
        """Seconds from the signal until the process ended by itself."""

        async def main(fleet: Fleet) -> float:
            await fleet.start(config_of(1, routes=[route | {"timeoutMs": LONGEST_MS} for route in routes_of()]))
            client = fleet.client("long", ONCE, "key-1", pause=1e6)
            long = replace(fleet.work(ONCE, "key-1", "own", out=LONG), within=LONGEST_MS / 1000, aim=LONGEST_MS / 1000)
            fleet.nursery.start_soon(client.ask, long)
            await trio.sleep(1.0)
            unit: Unit = choose(fleet)
            if unit.core:  # nobody can release it, so that it stays as long as it may
                fleet.cut(unit)
            told_at = fleet.now()
            fleet.freeze(unit, handlers_run=True)
            fleet.terminate(unit)
            await trio.sleep(STANDSTILL)
            fleet.thaw(unit)
            await fleet.until(lambda: not unit.machine.running, 3 * GRACE)
            return fleet.now() - told_at

        return play(main, seed, routers=1, strict=False)[0]

    def test_of_a_router(self) -> None:
        self.assertLess(self.took(lambda fleet: fleet.routers[0], "router"), GRACE + EXIT_TAKES)

    def test_of_a_core_machine(self) -> None:
        self.assertLess(self.took(Fleet.primary, "core"), GRACE + EXIT_TAKES)


if __name__ == "__main__":
    unittest.main()
