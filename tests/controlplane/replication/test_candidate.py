"""Candidacies: takeovers, nominations, and the conditions for becoming a candidate."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication import timing
from tests.support.replication_rig import (
    FOURTH,
    ME,
    OTHER,
    RECORD,
    THIRD,
    ReplicationRig,
    epoch_of,
    single_replica,
)


class Takeover(unittest.TestCase):
    def test_a_takeover_keeps_what_was_committed(self):
        rig = ReplicationRig(singleton_task_delay=4.0)
        first = rig.elect()
        rig.commit()
        committed_state_before = rig.replica(first).committed_state
        rig.cluster.crash(first, save_persisted=False)
        seconds = rig.run(5, lambda: bool(rig.primary()))
        self.assertLess(seconds, 2.0)
        second = rig.replica(rig.primary())
        self.assertEqual(committed_state_before, second.committed_state)
        self.assertAlmostEqual(rig.cluster.now + 4.0, second.singleton_tasks_from, delta=0.01)
        self.assertEqual(2, rig.commit())

    def test_a_candidate_that_lacks_the_state_nominates_an_in_sync_machine(self):
        rig = ReplicationRig()
        primary = rig.elect()
        rig.commit()
        record = rig.replica(primary).record
        backup = next(m for m in record.in_sync if m != primary)
        rig.cluster.crash(primary, save_persisted=False)
        rig.replica(backup)._candidacy_due_at = float("inf")
        rig.run(4, lambda: bool(rig.primary()))
        self.assertEqual(backup, rig.primary())

    def test_a_change_of_witnesses_requires_majorities_of_both_sets(self):
        candidacy = replication.Candidacy(
            epoch_of(5, ME),
            renewal=True,
            phase=replication.CandidacyPhase.ACCEPT,
            started_at=0.0,
            phase_started_at=0.0,
            sent_at=0.0,
            base=RECORD,
            record=replication.EpochRecord(epoch_of(5, ME), ME, (ME, OTHER), (ME, OTHER, FOURTH), (ME, OTHER, THIRD)),
        )
        witness_sets = single_replica()._deciding_sets(candidacy)
        self.assertEqual({(ME, OTHER, THIRD), (ME, OTHER, FOURTH)}, set(witness_sets))

    def test_an_unanswered_pre_vote_is_resent_soon(self):
        rig = ReplicationRig()
        rig.elect()
        for me in (1, 2, 3):
            rig.cluster.crash(me, save_persisted=False)
        former = next(me for me in (1, 2, 3) if rig.cluster.machines[me].disk.accepted.primary == me)
        rig.start(former)
        rig.run(0.25)
        self.assertEqual(rig.replica(former)._candidacy.phase, replication.CandidacyPhase.PRE_VOTE)
        for me in {1, 2, 3} - {former}:
            rig.start(me)
        self.assertLessEqual(rig.run(1.0, lambda: rig.primary() == former), 2 * timing.PRE_VOTE_RETRY_SECONDS)

    def test_only_the_former_primary_becomes_a_candidate_at_once(self):
        rig = ReplicationRig()
        first = rig.elect()
        others = {1, 2, 3} - {first}
        for me in (1, 2, 3):
            rig.cluster.crash(me, save_persisted=False)
        for me in others:
            rig.start(me)
        self.assertGreaterEqual(rig.run(3.0, lambda: rig.primary() != 0), timing.LEASE_GUARD_SECONDS)


if __name__ == "__main__":
    unittest.main()
