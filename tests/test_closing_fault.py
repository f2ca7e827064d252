"""The worst loss that is to be borne: f disks gone, and all other machines without power at the same moment."""

import unittest

from test_replication import FOURTH, Rig

from rowanshift.modelcheck.closing_walk import ClosingWalk

SEEDS = {(3, 1, 1): range(5000, 5006), (5, 2, 1): range(5000, 5003)}  # by machines, f, spares
STEPS = 8000
READ_BACK_WITHIN = 20.0  # seconds


class ClosingRig(Rig):
    """A rig whose machines may all lose power at one moment, some of them with their disks."""

    def strike(self, wiped: int, gone: int = 0) -> None:
        """Disks keep what was synced, but for the one that is wiped; a machine that is gone stays away."""
        hosts = self.world.hosts
        for machine in hosts:
            self.world.crash(machine, landed=False)
        self.world.net.clear()
        hosts[wiped].disk = None
        for machine in hosts:
            if machine != gone:
                self.start(machine)

    def read_back(self) -> bytes | None:
        """The state of the next primary, None if there is none in time."""
        self.run(READ_BACK_WITHIN, lambda: self.primary() != 0)
        return self.ledger(self.primary()).committed_state if self.primary() else None


class AfterARelease(unittest.TestCase):
    """A spare has long been there; a machine leaves as planned, and all is lost that may be lost right after it."""

    def test_what_was_acknowledged_is_there_whoever_left_and_whichever_disk_is_lost(self) -> None:
        for leaving in (1, 2, 3):
            for wiped in {1, 2, 3, FOURTH} - {leaving}:
                with self.subTest(leaving=leaving, wiped=wiped):
                    rig = ClosingRig(spares=1)
                    rig.elect()
                    rig.run(6.0)
                    rig.commit()
                    kept = rig.ledger(rig.primary()).committed_state
                    self.leave(rig, leaving)
                    rig.strike(wiped, gone=leaving)
                    self.assertEqual(rig.read_back(), kept)

    def leave(self, rig: Rig, leaving: int) -> None:
        replica = rig.ledger(leaving)
        replica.leave(rig.world.now)
        rig.world.collect(leaving)
        rig.run(3.0, lambda: replica.released)
        self.assertTrue(replica.released)

    def test_a_machine_is_not_released_while_its_former_vote_is_asked_for(self) -> None:
        rig = ClosingRig(spares=1)
        rig.elect()
        rig.run(6.0)
        leaving = next(m for m in (1, 2, 3) if m not in rig.ledger(rig.primary()).record.in_sync)
        self.leave(rig, leaving)
        self.assertNotIn(leaving, rig.ledger(rig.primary()).record.members())


class ClosingWalks(unittest.TestCase):
    def test_nothing_is_lost(self) -> None:
        for (machines, f, spares), seeds in SEEDS.items():
            for seed in seeds:
                with self.subTest(machines=machines, seed=seed):
                    outcome = ClosingWalk(seed, machines, f, spares).run(STEPS)
                    self.assertEqual("", outcome.broken)
                    self.assertGreater(outcome.committed, 0)


if __name__ == "__main__":
    unittest.main()
