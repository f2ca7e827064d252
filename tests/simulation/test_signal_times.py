"""The grace period of a process starts when its signal is handled, even if its event loop resumes much later."""

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

GRACE_SECONDS = BOUNDS["graceS"]
FREEZE_SECONDS = 3.0
EXIT_SECONDS = 0.05
LONG_STREAM_TOKENS = 4000  # of a stream that takes longer than the grace period
MAX_REQUEST_MS = 60_000  # timeout of the route and of the client


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class SignalHandlers(unittest.TestCase):
    def test_time_is_recorded_while_the_loop_is_blocked(self) -> None:
        async def main() -> float:
            with SYSTEM_RUNTIME.signals() as signals:
                threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGHUP)).start()
                began = trio.current_time()
                time.sleep(0.6)  # blocks the event loop
                received = await anext(signals)
                self.assertEqual(received.number, signal.SIGHUP)
                return received.at - began

        self.assertLess(trio.run(main), 0.4)

    def test_each_signal_is_queued_once_and_in_order(self) -> None:
        async def main() -> list[int]:
            with SYSTEM_RUNTIME.signals() as signals:
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
                    signal.raise_signal(number)
                received_numbers = [(await anext(signals)).number for _ in range(3)]
                signal.raise_signal(signal.SIGHUP)
                with trio.fail_after(5):
                    return [*received_numbers, (await anext(signals)).number]

        self.assertEqual(trio.run(main), [signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP])

    def test_former_handlers_are_restored(self) -> None:
        before = signal.getsignal(signal.SIGTERM)

        async def main() -> None:
            with SYSTEM_RUNTIME.signals():
                self.assertNotEqual(signal.getsignal(signal.SIGTERM), before)

        trio.run(main)
        self.assertEqual(signal.getsignal(signal.SIGTERM), before)


class GracePeriod(unittest.TestCase):
    """The event loop does not run while the signal is handled, as when the CPU quota of the process is used up."""

    def shutdown_seconds(self, choose, seed: str) -> float:
        """Return the seconds from the signal until the process ended by itself."""

        async def main(fleet: Fleet) -> float:
            await fleet.start(config_of(1, routes=[route | {"timeoutMs": MAX_REQUEST_MS} for route in routes_of()]))
            client = fleet.client("long", ONCE, "key-1", pause=1e6)
            long = replace(
                fleet.work(ONCE, "key-1", "own", out=LONG_STREAM_TOKENS),
                within=MAX_REQUEST_MS / 1000,
                aim=MAX_REQUEST_MS / 1000,
            )
            fleet.nursery.start_soon(client.ask, long)
            await trio.sleep(1.0)
            unit: Unit = choose(fleet)
            if unit.core:  # no machine can release it, so that it uses its whole grace period
                fleet.cut(unit)
            signalled_at = fleet.now()
            fleet.freeze(unit, handlers_run=True)
            fleet.terminate(unit)
            await trio.sleep(FREEZE_SECONDS)
            fleet.thaw(unit)
            await fleet.until(lambda: not unit.machine.running, 3 * GRACE_SECONDS)
            return fleet.now() - signalled_at

        return play(main, seed, routers=1, strict=False)[0]

    def test_router(self) -> None:
        self.assertLess(self.shutdown_seconds(lambda fleet: fleet.routers[0], "router"), GRACE_SECONDS + EXIT_SECONDS)

    def test_core_machine(self) -> None:
        self.assertLess(self.shutdown_seconds(Fleet.primary, "core"), GRACE_SECONDS + EXIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
