"""Replication of changes to backups as deltas."""

import unittest

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import Envelope, fixed_random
from rowanshift.modelcheck.implementations import Implementations
from rowanshift.modelcheck.random_walk import RandomWalk
from rowanshift.wire.delta import COPY, LITERAL, OPERATION
from tests.support.replication_rig import ReplicationRig

ROW = b'{"name":"r-%05d"},'
ROWS = 3000


def state(changed: int) -> bytes:
    """A state larger than DELTA_MIN_STATE_BYTES whose middle row contains ``changed``."""
    rows = [ROW % n for n in range(ROWS)]
    rows[ROWS // 2] = ROW % changed
    return b"".join(rows)


class AlwaysSendsDelta(replication.Replica):
    """Sends every change as a delta. States of the model checker only grow, so a delta appends to the old state."""

    def _delta_of(self, state: bytes, version: replication.StateVersion) -> replication.StoreDelta | None:
        base = self.committed_state
        appended = state[len(base) :]
        delta = OPERATION.pack(COPY, 0, len(base)) + OPERATION.pack(LITERAL, 0, len(appended)) + appended
        return replication.StoreDelta(self._own_record.epoch, version, self.committed_version, delta)


class DeltaCase(unittest.TestCase):
    def recorded_store_types(self, rig: ReplicationRig) -> list[type]:
        """A list to which the type of each Store or StoreDelta sent from now on is appended."""
        store_types: list[type] = []

        def record_store_type(sender: int, to: int, message: replication.Message) -> bool:
            if isinstance(message, replication.Store | replication.StoreDelta):
                store_types.append(type(message))
            return False

        rig.drop = record_store_type
        return store_types

    def propose(self, rig: ReplicationRig, new_state: bytes) -> None:
        primary = rig.primary()
        rig.cluster.last_token += 1
        rig.replica(primary).propose(rig.cluster.last_token, new_state, rig.cluster.now)
        rig.cluster.invariants.proposed_states[rig.cluster.last_token] = new_state
        for action in rig.replica(primary).drain():
            self.carry_out(rig, primary, action)
        rig.run(0.05)

    def carry_out(self, rig: ReplicationRig, me: int, action: replication.Action) -> None:
        if isinstance(action, replication.Send):
            rig.cluster.in_flight.append(Envelope(me, action.to, action.message))
        elif isinstance(action, replication.Save):
            rig.cluster.machines[me].pending_save = action

    def backup(self, rig: ReplicationRig) -> int:
        return next(m for m in rig.replica(rig.primary()).record.in_sync if m != rig.primary())


class Deltas(DeltaCase):
    def test_the_first_state_is_sent_in_full_and_changes_as_deltas(self) -> None:
        rig = ReplicationRig()
        rig.cluster.invariants.check_commit = lambda *_: None  # it expects states that only grow, as the model's do
        rig.elect()
        store_types = self.recorded_store_types(rig)
        self.propose(rig, state(90001))
        self.assertEqual(set(store_types), {replication.Store})
        store_types.clear()
        self.propose(rig, state(90002))
        self.assertEqual(store_types, [replication.StoreDelta])
        for member in rig.replica(rig.primary()).record.in_sync:
            self.assertEqual(rig.cluster.machines[member].disk.state, state(90002))

    def test_the_full_state_is_sent_after_a_delta_is_lost(self) -> None:
        rig = ReplicationRig()
        rig.cluster.invariants.check_commit = lambda *_: None
        rig.elect()
        self.propose(rig, state(90001))
        rig.drop = lambda sender, to, message: isinstance(message, replication.StoreDelta)
        self.propose(rig, state(90002))
        self.assertEqual(rig.cluster.machines[self.backup(rig)].disk.state, state(90001))
        rig.run(0.3)
        self.assertEqual(rig.cluster.machines[self.backup(rig)].disk.state, state(90002))
        self.assertEqual(rig.replica(rig.primary()).committed_state, state(90002))

    def test_a_small_or_entirely_new_state_is_sent_in_full(self) -> None:
        rig = ReplicationRig()
        rig.cluster.invariants.check_commit = lambda *_: None
        rig.elect()
        store_types = self.recorded_store_types(rig)
        for new_state in (b"small", b"smaller", state(90001), bytes(100_000), state(90002)):
            self.propose(rig, new_state)
        self.assertEqual(set(store_types), {replication.Store})

    def test_a_delta_with_another_base_is_ignored(self) -> None:
        """Random walks don't cover this, because a backup that lost its disk is replaced before it may reply again."""
        rig = ReplicationRig()
        rig.cluster.invariants.check_commit = lambda *_: None
        rig.elect()
        self.propose(rig, state(90001))
        replica, primary = rig.replica(self.backup(rig)), rig.primary()
        durable = replica._durable
        base = replication.StateVersion(durable.version.epoch, durable.version.sequence + 1)
        version = replication.StateVersion(durable.version.epoch, durable.version.sequence + 2)
        delta = OPERATION.pack(COPY, 0, 10)
        replica.receive(primary, replication.StoreDelta(durable.version.epoch, version, base, delta), rig.cluster.now)
        self.assertEqual((replica.drain(), replica._durable), ([], durable))
        replica.receive(
            primary, replication.StoreDelta(durable.version.epoch, base, durable.version, delta), rig.cluster.now
        )
        self.assertEqual(replica._durable.state, state(90001)[:10])

    def test_a_delta_below_the_promise_is_refused(self) -> None:
        rig = ReplicationRig()
        rig.cluster.invariants.check_commit = lambda *_: None
        rig.elect()
        self.propose(rig, state(90001))
        replica = rig.replica(self.backup(rig))
        version = replication.StateVersion(0, 5)
        replica.receive(
            rig.primary(), replication.StoreDelta(0, version, replica._durable.version, b""), rig.cluster.now
        )
        answers = [a.message for a in replica.drain() if isinstance(a, replication.Send)]
        self.assertEqual([(type(m), m.ok) for m in answers], [(replication.StoreReply, False)])


class AppliesToAnyBase(replication.Replica):
    """Planted fault: a backup applies a delta to its state even if the delta has another base."""

    def _on_store_delta(self, sender: int, message: replication.StoreDelta) -> None:
        durable = self._durable.version
        super()._on_store_delta(sender, replication.StoreDelta(message.epoch, message.version, durable, message.delta))


class UnknownBase(unittest.TestCase):
    def state_after(self, replica_class: type[replication.Replica]) -> bytes:
        """The state of a backup after a delta whose base it never stored."""
        epoch = 1 << 32 | 2
        replica = replica_class(1, 1, (1, 2, 3), True, None, 0.0, fixed_random)
        replica.receive(2, replication.Store(epoch, replication.StateVersion(epoch, 1), state(1)), 1.0)
        delta = OPERATION.pack(COPY, 0, 10)
        replica.receive(
            2,
            replication.StoreDelta(
                epoch, replication.StateVersion(epoch, 3), replication.StateVersion(epoch, 2), delta
            ),
            1.1,
        )
        return replica._durable.state

    def test_a_delta_with_an_unknown_base_has_no_effect(self) -> None:
        self.assertEqual(self.state_after(replication.Replica), state(1))

    def test_a_replica_that_applies_a_delta_to_any_base_is_detected(self) -> None:
        self.assertNotEqual(self.state_after(AppliesToAnyBase), state(1))


class Walks(unittest.TestCase):
    def test_walks_in_which_all_changes_are_deltas(self) -> None:
        committed = 0
        for seed in range(3000, 3012):
            outcome = RandomWalk(seed, 3, 1, 1, implementations=Implementations(replica=AlwaysSendsDelta)).run(5000)
            self.assertEqual((outcome.violation, outcome.stall), ("", ""))
            committed += outcome.commits
        self.assertGreater(committed, 300)


if __name__ == "__main__":
    unittest.main()
