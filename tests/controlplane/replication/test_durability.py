"""Order of saves and dependent messages, and the handling of failed saves."""

from __future__ import annotations

import unittest

from rowanshift.controlplane import replication
from tests.support.replication_rig import (
    DURABLE,
    OTHER,
    RECORD,
    THIRD,
    epoch_of,
    sent_messages,
    single_replica,
)


class Saves(unittest.TestCase):
    def test_a_promise_is_sent_only_after_it_is_saved(self):
        replica = single_replica()
        replica.receive(OTHER, replication.Prepare(epoch_of(1, OTHER)), 1.0)
        save, *more = replica.drain()
        self.assertEqual(([], epoch_of(1, OTHER)), (more, save.durable.promised))
        replica.saved(save.token, 1.1)
        self.assertEqual([True], [m.ok for m in sent_messages(replica)])

    def test_updates_during_a_save_are_combined_in_one_further_save(self):
        replica = single_replica()
        replica.receive(OTHER, replication.Prepare(epoch_of(1, OTHER)), 1.0)
        first = replica.drain()[0]
        replica.receive(THIRD, replication.Prepare(epoch_of(2, THIRD)), 1.0)
        replica.receive(
            THIRD, replication.Store(epoch_of(2, THIRD), replication.StateVersion(epoch_of(2, THIRD), 0), b"abcd"), 1.0
        )
        self.assertEqual([], replica.drain())
        replica.saved(first.token, 1.1)
        sent, second = replica.drain()
        self.assertEqual((OTHER, b"abcd"), (sent.to, second.durable.state))
        replica.saved(second.token, 1.2)
        self.assertEqual([replication.PrepareReply, replication.StoreReply], [type(m) for m in sent_messages(replica)])

    def test_replies_that_depend_on_a_failed_save_are_dropped(self):
        replica = single_replica()
        replica.receive(OTHER, replication.Prepare(epoch_of(1, OTHER)), 1.0)
        replica.save_failed(replica.drain()[0].token, 1.1)
        replica.tick(1.2)
        self.assertEqual([], [m for m in sent_messages(replica) if isinstance(m, replication.PrepareReply)])
        replica.receive(THIRD, replication.Prepare(epoch_of(0, THIRD)), 1.2)
        self.assertEqual([False], [m.ok for m in sent_messages(replica)])  # the promise may have reached the disk

    def test_a_record_is_not_exposed_before_it_is_saved(self):
        replica = single_replica()
        replica.receive(OTHER, replication.Heartbeat(RECORD.epoch, 1, RECORD), 1.0)
        self.assertEqual(0, replica.record.epoch)
        replica.saved(replica.drain()[0].token, 1.1)
        self.assertEqual(RECORD, replica.record)
        self.assertEqual([replication.HeartbeatReply], [type(m) for m in sent_messages(replica)])

    def test_durable_state_takes_precedence_over_bootstrap(self):
        self.assertEqual(RECORD, single_replica(DURABLE, bootstrap=True).record)


if __name__ == "__main__":
    unittest.main()
