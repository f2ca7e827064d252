"""Recovery of replicas after the loss of their disks."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication import timing
from tests.support.replication_rig import (
    ME,
    OTHER,
    RECORD,
    THIRD,
    ReplicationRig,
    epoch_of,
    reply_to,
    sent_messages,
    single_replica,
)


class Recovery(unittest.TestCase):
    def test_an_amnesic_replica_ignores_all_other_messages(self):
        replica = single_replica(bootstrap=False)
        high = epoch_of(9, THIRD)
        record = replication.EpochRecord(high, THIRD, (ME, THIRD), (ME, OTHER, THIRD))
        store = replication.Store(high, replication.StateVersion(high, 0), b"")
        for message in (
            replication.PreVote(high),
            replication.Prepare(high),
            store,
            replication.Accept(high, record),
            replication.Heartbeat(high, 1, record),
            replication.TransferLeadership(high),
        ):
            self.assertIsNone(reply_to(replica, message, 1.0), message)
        self.assertTrue(replica.is_amnesic)

    def test_two_valid_replies_recover_one_of_three_machines(self):
        replica = single_replica(bootstrap=False)
        self.assertEqual(0, self.recovery_serial(replica, timing.RECOVERY_DELAY_SECONDS - 0.1))
        serial = self.recovery_serial(replica, timing.RECOVERY_DELAY_SECONDS)
        reply_to(replica, replication.RecoveryReply(serial, epoch_of(4, THIRD), RECORD, False), 3.0, OTHER)
        reply_to(replica, replication.RecoveryReply(serial, epoch_of(4, THIRD), RECORD, False), 3.0, OTHER)
        reply_to(replica, replication.RecoveryReply(serial + 1, epoch_of(4, THIRD), RECORD, False), 3.0, THIRD)
        reply_to(replica, replication.RecoveryReply(serial, epoch_of(4, THIRD), RECORD, True), 3.0, THIRD)
        self.assertTrue(replica.is_amnesic)
        reply_to(
            replica, replication.RecoveryReply(serial, epoch_of(5, THIRD), replication.NO_RECORD, False), 3.0, THIRD
        )
        self.assertFalse(replica.is_amnesic)
        self.assertFalse(reply_to(replica, replication.Prepare(epoch_of(4, OTHER)), 9.0, OTHER).ok)
        self.assertEqual(RECORD, reply_to(replica, replication.Prepare(epoch_of(6, OTHER)), 9.0, OTHER).accepted)

    def recovery_serial(self, replica: replication.Replica, now: float) -> int:
        """The serial of the recovery request sent at ``now``, 0 if none is sent."""
        replica.tick(now)
        return next((m.serial for m in sent_messages(replica) if isinstance(m, replication.RecoveryRequest)), 0)

    def test_a_machine_whose_disk_was_lost_recovers_and_stores_the_state(self):
        rig = ReplicationRig()
        primary = rig.elect()
        rig.commit()
        backup = next(m for m in rig.replica(primary).record.in_sync if m != primary)
        rig.cluster.crash(backup, save_persisted=False)
        rig.cluster.machines[backup].disk = None
        rig.start(backup)
        rig.run(6)
        self.assertFalse(rig.replica(backup).is_amnesic)
        record = rig.replica(primary).record
        for member in record.in_sync:
            self.assertEqual(rig.replica(primary).committed_state, rig.cluster.machines[member].disk.state)

    def test_an_in_sync_machine_that_lacks_the_state_receives_it_again(self):
        rig = ReplicationRig()
        primary = rig.elect()
        rig.commit()
        record = rig.replica(primary).record
        backup = next(m for m in record.in_sync if m != primary)
        rig.cluster.crash(backup, save_persisted=False)
        rig.cluster.machines[backup].disk = replication.DurableState(
            record.epoch, record, replication.NO_VERSION, b"", False
        )
        rig.start(backup)
        rig.run(0.5)
        self.assertEqual(record, rig.replica(primary).record)
        self.assertEqual(rig.replica(primary).committed_state, rig.cluster.machines[backup].disk.state)


class FirstStart(unittest.TestCase):
    """All core machines were killed before the first record was saved, so all disks are empty at the restart."""

    def restarted(self, bootstrap: bool) -> ReplicationRig:
        rig = ReplicationRig()
        for machine in (1, 2, 3):
            rig.cluster.crash(machine, save_persisted=False)
            rig.cluster.machines[machine].disk = None
        for machine in (1, 2, 3):
            rig.start(machine, bootstrap)
        rig.run(30.0, lambda: rig.primary() != 0)
        return rig

    def test_no_primary_is_elected_if_all_machines_are_amnesic(self) -> None:
        rig = self.restarted(bootstrap=False)
        self.assertEqual(rig.primary(), 0)
        self.assertTrue(all(rig.replica(machine).is_amnesic for machine in (1, 2, 3)))

    def test_a_start_with_bootstrap_elects_a_primary(self) -> None:
        rig = self.restarted(bootstrap=True)
        self.assertNotEqual(rig.primary(), 0)
        self.assertEqual(rig.commit(), 1)


if __name__ == "__main__":
    unittest.main()
