"""Promises, acceptances and refusals of a witness."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication import timing
from tests.support.replication_rig import (
    DURABLE,
    OTHER,
    RECORD,
    THIRD,
    epoch_of,
    reply_to,
    single_replica,
)


class Witness(unittest.TestCase):
    def test_no_lower_epoch_is_promised_after_a_higher_one(self):
        replica = single_replica()
        self.assertTrue(reply_to(replica, replication.Prepare(epoch_of(2, THIRD)), 1.0).ok)
        self.assertTrue(reply_to(replica, replication.Prepare(epoch_of(2, THIRD)), 1.0).ok)
        self.assertFalse(reply_to(replica, replication.Prepare(epoch_of(1, THIRD)), 1.0).ok)

    def test_below_its_promise_nothing_is_accepted_stored_or_confirmed(self):
        replica = single_replica(DURABLE)
        high = epoch_of(2, THIRD)
        self.assertTrue(reply_to(replica, replication.Prepare(high), 10.0).ok)
        low = RECORD.epoch
        store = replication.Store(low, replication.StateVersion(low, 4), b"abcdefgh")
        for message in (replication.Accept(low, RECORD), store, replication.Heartbeat(low, 9, RECORD)):
            answer = reply_to(replica, message, 10.0, OTHER)
            self.assertEqual((False, high), (answer.ok, answer.promised))

    def test_no_promise_to_another_machine_while_a_lease_may_be_held(self):
        replica = single_replica(DURABLE)
        self.assertTrue(reply_to(replica, replication.Heartbeat(RECORD.epoch, 1, RECORD), 10.0, OTHER).ok)
        late = 10.0 + timing.LEASE_GUARD_SECONDS - 0.01
        self.assertFalse(reply_to(replica, replication.PreVote(epoch_of(2, THIRD)), late).ok)
        self.assertFalse(reply_to(replica, replication.Prepare(epoch_of(2, THIRD)), late).ok)
        self.assertTrue(
            reply_to(replica, replication.Prepare(epoch_of(2, OTHER)), late, OTHER).ok
        )  # the lease holder itself
        self.assertTrue(
            reply_to(replica, replication.Prepare(epoch_of(3, THIRD)), 10.0 + timing.LEASE_GUARD_SECONDS).ok
        )

    def test_a_restarted_witness_waits_for_the_lease_guard(self):
        replica = single_replica(DURABLE, now=100.0)
        self.assertFalse(
            reply_to(replica, replication.Prepare(epoch_of(2, THIRD)), 100.0 + timing.LEASE_GUARD_SECONDS - 0.01).ok
        )
        self.assertTrue(
            reply_to(replica, replication.Prepare(epoch_of(2, THIRD)), 100.0 + timing.LEASE_GUARD_SECONDS).ok
        )

    def test_a_transfer_of_leadership_releases_the_lease(self):
        replica = single_replica(DURABLE)
        reply_to(replica, replication.Heartbeat(RECORD.epoch, 1, RECORD), 10.0, OTHER)
        reply_to(replica, replication.TransferLeadership(RECORD.epoch - 1), 10.0, OTHER)
        self.assertFalse(reply_to(replica, replication.Prepare(epoch_of(2, THIRD)), 10.1).ok)
        reply_to(replica, replication.TransferLeadership(RECORD.epoch), 10.1, OTHER)
        self.assertTrue(reply_to(replica, replication.Prepare(epoch_of(2, THIRD)), 10.2).ok)


if __name__ == "__main__":
    unittest.main()
