"""Planned leaves: a machine hands leadership, its replica and its vote over to others before it stops."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from tests.support.replication_rig import (
    FOURTH,
    ReplicationRig,
    epoch_of,
    single_replica,
)


class Leaving(unittest.TestCase):
    def leave(self, rig: ReplicationRig, machine: int, seconds: float = 2.0) -> float:
        """Ask a machine to leave and wait for the grant. Returns the seconds that passed."""
        replica = rig.replica(machine)
        replica.leave(rig.cluster.now)
        rig.cluster.carry_out_actions(machine)
        return rig.run(seconds, lambda: replica.leave_granted)

    def stop(self, rig: ReplicationRig, machine: int) -> None:
        rig.cluster.crash(machine, save_persisted=False)

    def test_a_backup_is_replaced_before_its_leave_is_granted(self) -> None:
        rig = ReplicationRig()
        primary = rig.elect()
        rig.commit()
        leaving = rig.backup()
        self.assertLess(self.leave(rig, leaving), 0.7)
        self.assertNotIn(leaving, rig.replica(primary).record.in_sync)
        self.stop(rig, leaving)
        self.assertEqual(rig.commit(), 2)  # no wait for the stopped machine: it is no longer a backup

    def test_a_primary_transfers_leadership_and_is_replaced_as_a_replica(self) -> None:
        rig = ReplicationRig()
        first = rig.elect()
        rig.commit()
        committed_state_before = rig.replica(first).committed_state
        self.assertLess(self.leave(rig, first), 1.0)
        self.assertNotIn(rig.primary(), (0, first))
        record = rig.replica(rig.primary()).record
        self.assertNotIn(first, record.in_sync)
        for member in record.in_sync:
            self.assertEqual(rig.cluster.machines[member].disk.state, committed_state_before)
        self.stop(rig, first)
        self.assertEqual(rig.commit(), 2)

    def test_a_witness_that_is_not_in_sync_may_leave_at_once(self) -> None:
        rig = ReplicationRig()
        rig.elect()
        witness = rig.witness_not_in_sync()
        self.assertLess(self.leave(rig, witness), 0.3)

    def test_a_backup_may_not_leave_while_no_machine_can_replace_it(self) -> None:
        rig = ReplicationRig()
        primary = rig.elect()
        leaving = rig.backup()
        third = next(m for m in (1, 2, 3) if m not in (primary, leaving))
        self.stop(rig, third)
        self.leave(rig, leaving)
        self.assertFalse(rig.replica(leaving).leave_granted)
        self.assertEqual(rig.commit(), 1)  # it remains a backup meanwhile
        rig.start(third)
        rig.run(2.0, lambda: rig.replica(leaving).leave_granted)
        self.assertTrue(rig.replica(leaving).leave_granted)

    def test_the_only_replica_is_replicated_before_its_machine_leaves(self) -> None:
        rig = ReplicationRig(spares=1)
        primary = rig.elect()
        rig.commit()
        committed_state_before = rig.replica(primary).committed_state
        rig.run(4.0)  # the spare recovers and asks to join
        leaving = rig.backup()
        self.stop(rig, primary)
        self.leave(rig, leaving, 6.0)
        self.assertTrue(rig.replica(leaving).leave_granted)
        self.stop(rig, leaving)
        rig.run(4.0, lambda: rig.primary() != 0)
        self.assertEqual(rig.replica(rig.primary()).committed_state, committed_state_before)

    def test_a_spare_becomes_a_witness_before_a_witness_may_leave(self) -> None:
        rig = ReplicationRig(spares=1)
        primary = rig.elect()
        rig.run(4.0)
        leaving = rig.witness_not_in_sync()
        self.leave(rig, leaving, 3.0)
        self.assertTrue(rig.replica(leaving).leave_granted)
        self.assertEqual(set(rig.replica(primary).record.witnesses), {1, 2, 3, FOURTH} - {leaving})

    def test_no_committed_state_is_lost_when_all_machines_leave_in_turn(self) -> None:
        rig = ReplicationRig()
        rig.elect()
        for machine in (1, 2, 3):
            rig.commit()
            self.leave(rig, machine, 3.0)
            self.assertTrue(rig.replica(machine).leave_granted, machine)
            self.stop(rig, machine)
            rig.run(0.5)
            rig.start(machine)
            rig.run(2.5)
        self.assertEqual(rig.commit(), 4)

    def test_a_single_machine_may_leave_at_once(self) -> None:
        rig = ReplicationRig(machines=1, max_failures=0)
        rig.elect()
        self.leave(rig, 1)
        self.assertTrue(rig.replica(1).leave_granted)

    def test_an_amnesic_machine_may_leave_at_once(self) -> None:
        replica = single_replica(bootstrap=False)
        replica.leave(1.0)
        self.assertTrue(replica.leave_granted)

    def test_a_grant_of_an_older_epoch_is_ignored(self) -> None:
        replica = single_replica()
        replica.receive(3, replication.Prepare(epoch_of(5, 3)), 1.0)
        replica.leave(1.1)
        replica.receive(2, replication.LeaveReply(epoch_of(4, 2), True), 1.2)
        self.assertFalse(replica.leave_granted)
        replica.receive(3, replication.LeaveReply(epoch_of(5, 3), True), 1.3)
        self.assertTrue(replica.leave_granted)


if __name__ == "__main__":
    unittest.main()
