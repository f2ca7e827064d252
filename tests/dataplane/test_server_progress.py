"""Which servers fail to answer, as the owners of their sums tell all routers."""

import unittest

import trio
from loguru import logger

from rowanshift.dataplane.server_progress import (
    BAD_SHARE,
    GRACE,
    HALF_LIFE,
    LEAST_BAD,
    LEAST_TOKENS,
    MOST_SERVERS,
    PATIENCE,
    PROBE_EVERY,
    ServerProgress,
)
from rowanshift.simulation.fleet import ONCE, Fleet, play


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Alone(unittest.TestCase):
    def setUp(self) -> None:
        self.progress = ServerProgress()

    def ended(self, good: int, bad: int, now: float = 0.0) -> None:
        for _ in range(good):
            self.progress.ended_well(7, 1, 0.01, now)
        for _ in range(bad):
            self.progress.ended_badly(7, now)

    def test_of_no_server_anything_is_known_at_first(self) -> None:
        self.assertFalse(self.progress.avoids(7, 0.0, wanted=False))

    def test_over_the_share(self) -> None:
        for good, bad, avoided in ((0, 1, False), (0, 2, True), (7, 3, False), (6, 3, True), (100, 20, False)):
            with self.subTest(good=good, bad=bad):
                self.setUp()
                self.ended(good, bad)
                self.assertEqual(self.progress.avoids(7, 0.0, wanted=False), avoided)
                self.assertEqual(bad >= LEAST_BAD and bad > BAD_SHARE * (good + bad), avoided)

    def test_both_counts_fade(self) -> None:
        self.ended(0, 3)
        self.assertTrue(self.progress.avoids(7, 0.9 * HALF_LIFE, wanted=False))
        self.assertFalse(self.progress.avoids(7, 1.1 * HALF_LIFE, wanted=False))

    def test_probes(self) -> None:
        self.ended(0, 9)
        asked = [0.0, 0.1, PROBE_EVERY - 0.01, PROBE_EVERY + 0.01]
        self.assertEqual([self.progress.avoids(7, at, wanted=True) for at in asked], [False, True, True, False])

    def test_probes_that_end_well_end_it(self) -> None:
        self.ended(0, 4)
        for n in range(5):
            self.progress.ended_well(7, 1, 0.01, 0.3 * n)
        self.assertFalse(self.progress.avoids(7, 1.5, wanted=False))

    def test_silence_counts_and_slowness_does_not(self) -> None:
        self.assertTrue(self.progress.overdue(7, 0.0, 1.0))
        self.progress.ended_well(7, 1, 0.1, 1.5)
        self.assertFalse(self.progress.overdue(7, 1.2, 2.0))
        self.assertTrue(self.progress.overdue(7, 1.6, 2.2))
        self.progress.answered_late(7, 2.3)
        self.assertFalse(self.progress.overdue(7, 2.2, 2.9))

    def test_what_is_due_is_learnt_from_long_prompts(self) -> None:
        before = self.progress.due_within(LEAST_TOKENS)
        for _ in range(200):
            self.progress.ended_well(7, LEAST_TOKENS - 1, 9.0, 0.0)
        self.assertEqual(self.progress.due_within(LEAST_TOKENS), before)
        for _ in range(200):
            self.progress.ended_well(7, LEAST_TOKENS, 0.5, 0.0)
        self.assertAlmostEqual(self.progress.due_within(LEAST_TOKENS), GRACE + PATIENCE * 0.5, delta=0.01)

    def test_it_is_bounded(self) -> None:
        for server in range(MOST_SERVERS + 9):
            self.progress.ended_badly(server, 0.0)
        self.assertEqual(len(self.progress.records), MOST_SERVERS)
        self.assertNotIn(8, self.progress.records)


class OnAFleet(unittest.TestCase):
    """Two of six model servers answer nothing for some seconds, and each of twenty routers sees few requests."""

    def suspects(self, seed: str) -> int:
        """Servers that the owners of their sums take for silent after four seconds."""

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
        owners = [unit.program.loads.sums.progress for unit in fleet.routers]
        return sum(record.suspect for progress in owners for record in progress.records.values())

    def test_the_owners_of_their_sums_suspect_them(self) -> None:
        self.assertEqual([self.suspects(seed) for seed in "ab"], [2, 2])


if __name__ == "__main__":
    unittest.main()
