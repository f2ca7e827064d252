"""Commits and reads of a primary, the conditions for stepping down, and replacement of failed machines."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication import timing
from tests.support.replication_rig import (
    FOURTH,
    ReplicationRig,
)


class Primary(unittest.TestCase):
    def test_the_first_primary_commits_and_reads(self):
        rig = ReplicationRig()
        primary = rig.elect()
        self.assertEqual(1, rig.commit())
        rig.cluster.read(primary)
        rig.settle()
        self.assertEqual(1, len(rig.actions_of(replication.ReadConfirmed)))
        self.assertEqual(2, len(rig.replica(primary).record.in_sync))
        now = rig.cluster.now
        self.assertGreater(rig.replica(primary).lease_until(now), now)

    def test_a_single_machine_without_tolerated_failures_commits_and_reads(self):
        rig = ReplicationRig(machines=1, max_failures=0)
        rig.elect()
        rig.cluster.read(1)
        self.assertEqual((1, 1), (rig.commit(), len(rig.actions_of(replication.ReadConfirmed))))

    def test_an_old_primary_confirms_no_read_after_a_takeover(self):
        rig = ReplicationRig()
        first = rig.elect()
        rig.paused = {first}
        rig.run(3, lambda: rig.primary() not in (0, first))
        self.assertNotEqual(first, rig.primary())
        rig.commit()
        rig.paused = set()
        rig.cluster.in_flight = [
            entry for entry in rig.cluster.in_flight if entry.recipient != first
        ]  # the old primary does not learn of the takeover
        self.assertTrue(rig.replica(first).is_primary)
        now = rig.cluster.now
        self.assertLess(rig.replica(first).lease_until(now), now)
        rig.cluster.read(first)
        rig.cluster.propose(first)
        token = rig.cluster.last_token
        rig.run(2)
        self.assertFalse(rig.replica(first).is_primary)
        self.assertEqual([], [e for e in rig.actions_of(replication.ReadConfirmed) if e.machine == first])
        self.assertEqual([token], [e.action.token for e in rig.actions_of(replication.ProposalFailed)])
        self.assertEqual([token - 1], [e.action.token for e in rig.actions_of(replication.ReadFailed)])

    def test_a_primary_without_a_majority_steps_down(self):
        rig = ReplicationRig()
        first = rig.elect()
        rig.drop = lambda sender, to, message: first in (sender, to)
        rig.run(timing.QUORUM_LOSS_SECONDS + 0.3)
        self.assertFalse(rig.replica(first).is_primary)

    def test_an_unresponsive_backup_is_replaced_and_the_proposal_committed(self):
        rig = ReplicationRig()
        primary = rig.elect()
        record = rig.replica(primary).record
        backup = next(m for m in record.in_sync if m != primary)
        rig.cluster.crash(backup, save_persisted=False)
        self.assertEqual(0, rig.commit())
        rig.run(1.5, lambda: rig.cluster.commit_count == 1)
        self.assertEqual(1, rig.cluster.commit_count)
        after = rig.replica(primary).record
        self.assertGreater(after.epoch, record.epoch)
        self.assertNotIn(backup, after.in_sync)
        self.assertEqual(1, len(rig.actions_of(replication.RoleChanged)))  # it remained primary throughout

    def test_a_backup_with_a_slow_disk_is_replaced(self):
        rig = ReplicationRig()
        primary = rig.elect()
        backup = next(m for m in rig.replica(primary).record.in_sync if m != primary)
        rig.stalled_disks = {backup}
        rig.commit()
        rig.run(1.5, lambda: rig.cluster.commit_count == 1)
        self.assertEqual(1, rig.cluster.commit_count)
        self.assertNotIn(backup, rig.replica(primary).record.in_sync)

    def test_a_failed_save_transfers_leadership(self):
        rig = ReplicationRig()
        first = rig.elect()
        rig.stalled_disks = {first}
        rig.commit()
        rig.cluster.complete_save(first, succeeded=False)
        self.assertEqual([False], [e.action.primary for e in rig.actions_of(replication.RoleChanged)][1:])
        self.assertEqual(1, len(rig.actions_of(replication.ProposalFailed)))
        rig.run(1.0, lambda: bool(rig.primary()))
        self.assertNotIn(rig.primary(), (0, first))

    def test_a_slow_save_transfers_leadership(self):
        rig = ReplicationRig()
        first = rig.elect()
        rig.stalled_disks = {first}
        rig.commit()
        seconds = rig.run(4, lambda: rig.primary() not in (0, first))
        self.assertNotIn(rig.primary(), (0, first))
        self.assertLess(seconds, timing.SLOW_SAVE_SECONDS + 0.6)

    def test_a_lost_witness_is_replaced_by_a_spare(self):
        rig = ReplicationRig(spares=1)
        primary = rig.elect()
        rig.run(4)
        self.assertFalse(rig.replica(FOURTH).is_amnesic)
        lost_witness = next(m for m in (1, 2, 3) if m not in rig.replica(primary).record.in_sync)
        rig.cluster.crash(lost_witness, save_persisted=False)
        rig.run(5)
        record = rig.replica(primary).record
        self.assertEqual(({1, 2, 3, 4} - {lost_witness}, ()), (set(record.witnesses), record.former))
        rig.start(lost_witness)  # it learns that it is no longer a witness
        rig.run(3)
        self.assertEqual(record.witnesses, rig.replica(lost_witness).record.witnesses)

    def test_calls_to_a_non_primary_concurrent_proposals_and_large_states_are_refused(self):
        rig = ReplicationRig()
        primary = rig.elect()
        other = next(m for m in (1, 2, 3) if m != primary)
        with self.assertRaises(replication.NotPrimary) as caught:
            rig.replica(other).propose(1, b"", rig.cluster.now)
        self.assertEqual(primary, caught.exception.primary_hint)
        with self.assertRaises(replication.NotPrimary):
            rig.replica(other).confirm_read(1, rig.cluster.now)
        with self.assertRaises(replication.StateTooLarge):
            rig.replica(primary).propose(1, bytes(replication.STATE_LIMIT_BYTES + 1), rig.cluster.now)
        rig.replica(primary).propose(1, b"aaaa", rig.cluster.now)
        with self.assertRaises(replication.ProposalInProgress):
            rig.replica(primary).propose(2, b"bbbb", rig.cluster.now)
        self.assertEqual(b"", rig.replica(primary).committed_state)


if __name__ == "__main__":
    unittest.main()
