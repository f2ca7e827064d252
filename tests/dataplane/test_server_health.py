"""Passive health checks of model servers, separately and on a simulated fleet."""

import unittest

import trio
from loguru import logger

from rowanshift.dataplane.server_health import (
    COUNT_HALF_LIFE_SECONDS,
    FAILING_FRACTION,
    FIRST_BYTES_GRACE_SECONDS,
    MAX_TRACKED_SERVERS,
    MIN_FAILED_REQUESTS,
    MIN_MEASURED_PROMPT_TOKENS,
    OVERDUE_PACE_FACTOR,
    PROBE_INTERVAL_SECONDS,
    ServerHealthTracker,
)
from rowanshift.simulation.fleet import ONCE, Fleet, play


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Tracker(unittest.TestCase):
    def setUp(self) -> None:
        self.health = ServerHealthTracker()

    def record(self, succeeded: int, failed: int, now: float = 0.0) -> None:
        for _ in range(succeeded):
            self.health.record_success(7, 1, 0.01, now)
        for _ in range(failed):
            self.health.record_failure(7, now)

    def test_an_unknown_server_is_healthy(self) -> None:
        self.assertFalse(self.health.should_avoid(7, 0.0, may_probe=False))

    def test_failing_fraction(self) -> None:
        for succeeded, failed, avoided in ((0, 1, False), (0, 2, True), (7, 3, False), (6, 3, True), (100, 20, False)):
            with self.subTest(succeeded=succeeded, failed=failed):
                self.setUp()
                self.record(succeeded, failed)
                self.assertEqual(self.health.should_avoid(7, 0.0, may_probe=False), avoided)
                self.assertEqual(
                    failed >= MIN_FAILED_REQUESTS and failed > FAILING_FRACTION * (succeeded + failed), avoided
                )

    def test_both_counts_decay(self) -> None:
        self.record(0, 3)
        self.assertTrue(self.health.should_avoid(7, 0.9 * COUNT_HALF_LIFE_SECONDS, may_probe=False))
        self.assertFalse(self.health.should_avoid(7, 1.1 * COUNT_HALF_LIFE_SECONDS, may_probe=False))

    def test_probes_are_sent_at_the_interval(self) -> None:
        self.record(0, 9)
        times = [0.0, 0.1, PROBE_INTERVAL_SECONDS - 0.01, PROBE_INTERVAL_SECONDS + 0.01]
        self.assertEqual([self.health.should_avoid(7, at, may_probe=True) for at in times], [False, True, True, False])

    def test_a_server_is_healthy_after_successful_probes(self) -> None:
        self.record(0, 4)
        for n in range(5):
            self.health.record_success(7, 1, 0.01, 0.3 * n)
        self.assertFalse(self.health.should_avoid(7, 1.5, may_probe=False))

    def test_silence_counts_as_failure_and_slowness_does_not(self) -> None:
        self.assertTrue(self.health.record_overdue(7, 0.0, 1.0))
        self.health.record_success(7, 1, 0.1, 1.5)
        self.assertFalse(self.health.record_overdue(7, 1.2, 2.0))
        self.assertTrue(self.health.record_overdue(7, 1.6, 2.2))
        self.health.record_late_response(7, 2.3)
        self.assertFalse(self.health.record_overdue(7, 2.2, 2.9))

    def test_the_due_time_of_first_bytes_is_learned_from_long_prompts(self) -> None:
        before = self.health.first_bytes_due_seconds(MIN_MEASURED_PROMPT_TOKENS)
        for _ in range(200):
            self.health.record_success(7, MIN_MEASURED_PROMPT_TOKENS - 1, 9.0, 0.0)
        self.assertEqual(self.health.first_bytes_due_seconds(MIN_MEASURED_PROMPT_TOKENS), before)
        for _ in range(200):
            self.health.record_success(7, MIN_MEASURED_PROMPT_TOKENS, 0.5, 0.0)
        self.assertAlmostEqual(
            self.health.first_bytes_due_seconds(MIN_MEASURED_PROMPT_TOKENS),
            FIRST_BYTES_GRACE_SECONDS + OVERDUE_PACE_FACTOR * 0.5,
            delta=0.01,
        )

    def test_tracked_servers_are_bounded(self) -> None:
        for server in range(MAX_TRACKED_SERVERS + 9):
            self.health.record_failure(server, 0.0)
        self.assertEqual(len(self.health.servers), MAX_TRACKED_SERVERS)
        self.assertNotIn(8, self.health.servers)


class OnAFleet(unittest.TestCase):
    """Two of six model servers send no responses for 4 s, and each of twenty routers has only few requests."""

    def failing_servers(self, seed: str) -> int:
        """The number of servers that their owners consider failing after four seconds."""

        async def main(fleet: Fleet) -> None:
            await fleet.start()
            for n in range(200):
                fleet.client(f"c{n}", ONCE, "key-1", pause=5.0, out=4)
            await trio.sleep(6.0)
            for server in fleet.servers[4:]:
                server.hang()
            await trio.sleep(4.0)

        _, fleet = play(main, seed, routers=20, servers=6, zones=1)
        self.assertEqual(fleet.breaches(), [])
        owners = [unit.program.loads.server_loads.health for unit in fleet.routers]
        return sum(health.is_failing for tracker in owners for health in tracker.servers.values())

    def test_the_owners_detect_both_failing_servers(self) -> None:
        self.assertEqual([self.failing_servers(seed) for seed in "ab"], [2, 2])


if __name__ == "__main__":
    unittest.main()
