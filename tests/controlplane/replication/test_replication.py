"""The ledger's deciding module: tests on a small rig, drawn walks, and planted faults that must be found."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication import timing
from rowanshift.controlplane.replication.timing import LEASE_GUARD_SECONDS, PRE_VOTE_RETRY_SECONDS
from rowanshift.modelcheck.breadth_first_search import search_breadth_first
from rowanshift.modelcheck.cluster_model import ClusterModel, MachineModel, fixed_random
from rowanshift.modelcheck.fault_search import find_fault
from rowanshift.modelcheck.random_walk import RandomWalk
from tests.support.planted_replication_faults import FAULTS

ME, OTHER, THIRD, FOURTH = 1, 2, 3, 4


def never(sender: int, to: int, message: replication.Message) -> bool:
    return False


class Rig:
    """Machines whose messages arrive at once and whose saves land at once, unless a test says otherwise."""

    def __init__(self, machines: int = 3, f: int = 1, spares: int = 0, singleton_task_delay: float = 0.0) -> None:
        seeds = tuple(range(1, machines + 1))
        self.cluster = ClusterModel({}, f, seeds)
        self.singleton_task_delay = singleton_task_delay
        self.drop: Callable[[int, int, replication.Message], bool] = never
        self.stuck: set[int] = set()  # machines whose saves don't land
        self.paused: set[int] = set()
        self.events: list[tuple[float, int, replication.Action]] = []
        for me in range(1, machines + spares + 1):
            self.cluster.machines[me] = MachineModel(None)
            self.start(me, bootstrap=me <= machines)

    def start(self, me: int, bootstrap: bool = False) -> None:
        machine, cluster = self.cluster.machines[me], self.cluster
        ledger = replication.Replica(
            me,
            cluster.max_failures,
            cluster.seeds,
            bootstrap,
            machine.disk,
            cluster.now,
            fixed_random,
            self.singleton_task_delay,
        )
        drain = ledger.drain

        def noted() -> list[replication.Action]:
            actions = drain()
            self.events += [
                (cluster.now, me, a) for a in actions if not isinstance(a, replication.Send | replication.Save)
            ]
            return actions

        ledger.drain = noted
        machine.replica = ledger
        cluster.carry_out_actions(me)

    def settle(self) -> None:
        cluster = self.cluster
        for _ in range(2000):
            saving = [m for m, h in cluster.machines.items() if h.pending_save is not None and m not in self.stuck]
            moving = [i for i, entry in enumerate(cluster.in_flight) if entry.recipient not in self.paused]
            if moving:
                sender, to, message = cluster.in_flight[moving[0]]
                if cluster.machines[to].replica is None or self.drop(sender, to, message):
                    cluster.in_flight.pop(moving[0])
                else:
                    cluster.deliver(moving[0])
            elif saving:
                cluster.complete_save(saving[0])
            else:
                cluster.check_leases()
                return
        raise AssertionError("the machines never come to rest")

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Let `seconds` pass, or fewer once `until` holds; the seconds that passed."""
        began = self.cluster.now
        self.settle()
        while self.cluster.now < began + seconds and not until():
            self.cluster.now += 0.05
            for me, machine in self.cluster.machines.items():
                if machine.replica is not None and me not in self.paused:
                    self.cluster.tick(me)
            self.settle()
        return self.cluster.now - began

    def ledger(self, me: int) -> replication.Replica:
        return self.cluster.machines[me].replica

    def primary(self) -> int:
        """The machine that is primary by the highest number, or 0."""
        found = [
            (h.replica.record.epoch, me)
            for me, h in self.cluster.machines.items()
            if h.replica is not None and h.replica.is_primary
        ]
        return max(found, default=(0, 0))[1]

    def elect(self) -> int:
        self.run(3, lambda: bool(self.primary()))
        self.run(0.5)
        return self.primary()

    def commit(self) -> int:
        """Propose at the primary and settle; how many are committed."""
        self.cluster.propose(self.primary())
        self.settle()
        return self.cluster.commit_count

    def of(self, kind: type) -> list[tuple[float, int, replication.Action]]:
        return [event for event in self.events if isinstance(event[2], kind)]


def answers(ledger: replication.Replica) -> list[replication.Message]:
    return [action.message for action in ledger.drain() if isinstance(action, replication.Send)]


def single(
    durable: replication.DurableState | None = None, bootstrap: bool = True, now: float = 0.0
) -> replication.Replica:
    """One machine of three, its first save landed."""
    ledger = replication.Replica(ME, 1, (ME, OTHER, THIRD), bootstrap, durable, now, fixed_random)
    for action in ledger.drain():
        if isinstance(action, replication.Save):
            ledger.saved(action.token, now)
    return ledger


def number(round_: int, machine: int) -> int:
    return round_ << 32 | machine


RECORD = replication.EpochRecord(number(1, OTHER), OTHER, (ME, OTHER), (ME, OTHER, THIRD))
HELD = replication.DurableState(RECORD.epoch, RECORD, replication.StateVersion(RECORD.epoch, 3), b"abcd", False)


class Saves(unittest.TestCase):
    def test_a_promise_is_sent_only_once_it_is_saved(self):
        ledger = single()
        ledger.receive(OTHER, replication.Prepare(number(1, OTHER)), 1.0)
        save, *more = ledger.drain()
        self.assertEqual(([], number(1, OTHER)), (more, save.durable.promised))
        ledger.saved(save.token, 1.1)
        self.assertEqual([True], [m.ok for m in answers(ledger)])

    def test_one_save_is_outstanding_and_later_ones_go_together(self):
        ledger = single()
        ledger.receive(OTHER, replication.Prepare(number(1, OTHER)), 1.0)
        first = ledger.drain()[0]
        ledger.receive(THIRD, replication.Prepare(number(2, THIRD)), 1.0)
        ledger.receive(
            THIRD, replication.Store(number(2, THIRD), replication.StateVersion(number(2, THIRD), 0), b"abcd"), 1.0
        )
        self.assertEqual([], ledger.drain())
        ledger.saved(first.token, 1.1)
        sent, second = ledger.drain()
        self.assertEqual((OTHER, b"abcd"), (sent.to, second.durable.state))
        ledger.saved(second.token, 1.2)
        self.assertEqual([replication.PrepareReply, replication.StoreReply], [type(m) for m in answers(ledger)])

    def test_nothing_is_answered_after_a_failed_save(self):
        ledger = single()
        ledger.receive(OTHER, replication.Prepare(number(1, OTHER)), 1.0)
        ledger.save_failed(ledger.drain()[0].token, 1.1)
        ledger.tick(1.2)
        self.assertEqual([], [m for m in answers(ledger) if isinstance(m, replication.PrepareReply)])
        ledger.receive(THIRD, replication.Prepare(number(0, THIRD)), 1.2)
        self.assertEqual([False], [m.ok for m in answers(ledger)])  # the promise may have reached the disk

    def test_a_record_not_yet_saved_is_not_shown(self):
        ledger = single()
        ledger.receive(OTHER, replication.Heartbeat(RECORD.epoch, 1, RECORD), 1.0)
        self.assertEqual(0, ledger.record.epoch)
        ledger.saved(ledger.drain()[0].token, 1.1)
        self.assertEqual(RECORD, ledger.record)
        self.assertEqual([replication.HeartbeatReply], [type(m) for m in answers(ledger)])

    def test_a_durable_wins_over_bootstrap(self):
        self.assertEqual(RECORD, single(HELD, bootstrap=True).record)


class Witness(unittest.TestCase):
    def ask(
        self, ledger: replication.Replica, message: replication.Message, now: float, sender: int = THIRD
    ) -> replication.Message:
        ledger.receive(sender, message, now)
        actions = ledger.drain()
        for action in actions:
            if isinstance(action, replication.Save):
                ledger.saved(action.token, now)
        found = [a.message for a in (*actions, *ledger.drain()) if isinstance(a, replication.Send) and a.to == sender]
        return found[-1] if found else None

    def test_it_promises_no_lower_number(self):
        ledger = single()
        self.assertTrue(self.ask(ledger, replication.Prepare(number(2, THIRD)), 1.0).ok)
        self.assertTrue(self.ask(ledger, replication.Prepare(number(2, THIRD)), 1.0).ok)
        self.assertFalse(self.ask(ledger, replication.Prepare(number(1, THIRD)), 1.0).ok)

    def test_below_its_promise_it_neither_accepts_nor_stores_nor_confirms(self):
        ledger = single(HELD)
        high = number(2, THIRD)
        self.assertTrue(self.ask(ledger, replication.Prepare(high), 10.0).ok)
        low = RECORD.epoch
        store = replication.Store(low, replication.StateVersion(low, 4), b"abcdefgh")
        for message in (replication.Accept(low, RECORD), store, replication.Heartbeat(low, 9, RECORD)):
            answer = self.ask(ledger, message, 10.0, OTHER)
            self.assertEqual((False, high), (answer.ok, answer.promised))

    def test_it_promises_to_no_other_while_a_lease_may_be_held(self):
        ledger = single(HELD)
        self.assertTrue(self.ask(ledger, replication.Heartbeat(RECORD.epoch, 1, RECORD), 10.0, OTHER).ok)
        late = 10.0 + timing.LEASE_GUARD_SECONDS - 0.01
        self.assertFalse(self.ask(ledger, replication.PreVote(number(2, THIRD)), late).ok)
        self.assertFalse(self.ask(ledger, replication.Prepare(number(2, THIRD)), late).ok)
        self.assertTrue(self.ask(ledger, replication.Prepare(number(2, OTHER)), late, OTHER).ok)  # the holder itself
        self.assertTrue(self.ask(ledger, replication.Prepare(number(3, THIRD)), 10.0 + timing.LEASE_GUARD_SECONDS).ok)

    def test_it_waits_after_its_own_start(self):
        ledger = single(HELD, now=100.0)
        self.assertFalse(
            self.ask(ledger, replication.Prepare(number(2, THIRD)), 100.0 + timing.LEASE_GUARD_SECONDS - 0.01).ok
        )
        self.assertTrue(self.ask(ledger, replication.Prepare(number(2, THIRD)), 100.0 + timing.LEASE_GUARD_SECONDS).ok)

    def test_a_primary_that_hands_over_gives_up_its_lease(self):
        ledger = single(HELD)
        self.ask(ledger, replication.Heartbeat(RECORD.epoch, 1, RECORD), 10.0, OTHER)
        self.ask(ledger, replication.TransferLeadership(RECORD.epoch - 1), 10.0, OTHER)
        self.assertFalse(self.ask(ledger, replication.Prepare(number(2, THIRD)), 10.1).ok)
        self.ask(ledger, replication.TransferLeadership(RECORD.epoch), 10.1, OTHER)
        self.assertTrue(self.ask(ledger, replication.Prepare(number(2, THIRD)), 10.2).ok)

    def test_a_forgotten_one_takes_part_in_nothing(self):
        ledger = single(bootstrap=False)
        high = number(9, THIRD)
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
            self.assertIsNone(self.ask(ledger, message, 1.0), message)
        self.assertTrue(ledger.is_amnesic)

    def recalled(self, ledger: replication.Replica, now: float) -> int:
        """Tick; the serial it asks with, or 0."""
        ledger.tick(now)
        return next((m.serial for m in answers(ledger) if isinstance(m, replication.RecoveryRequest)), 0)

    def test_it_remembers_once_two_of_three_others_answered(self):
        ledger = single(bootstrap=False)
        self.assertEqual(0, self.recalled(ledger, timing.RECOVERY_DELAY_SECONDS - 0.1))
        serial = self.recalled(ledger, timing.RECOVERY_DELAY_SECONDS)
        self.ask(ledger, replication.RecoveryReply(serial, number(4, THIRD), RECORD, False), 3.0, OTHER)
        self.ask(ledger, replication.RecoveryReply(serial, number(4, THIRD), RECORD, False), 3.0, OTHER)
        self.ask(ledger, replication.RecoveryReply(serial + 1, number(4, THIRD), RECORD, False), 3.0, THIRD)
        self.ask(ledger, replication.RecoveryReply(serial, number(4, THIRD), RECORD, True), 3.0, THIRD)
        self.assertTrue(ledger.is_amnesic)
        self.ask(ledger, replication.RecoveryReply(serial, number(5, THIRD), replication.NO_RECORD, False), 3.0, THIRD)
        self.assertFalse(ledger.is_amnesic)
        self.assertFalse(self.ask(ledger, replication.Prepare(number(4, OTHER)), 9.0, OTHER).ok)
        self.assertEqual(RECORD, self.ask(ledger, replication.Prepare(number(6, OTHER)), 9.0, OTHER).accepted)


class Office(unittest.TestCase):
    def test_the_first_primary_commits_and_reads(self):
        rig = Rig()
        primary = rig.elect()
        self.assertEqual(1, rig.commit())
        rig.cluster.read(primary)
        rig.settle()
        self.assertEqual(1, len(rig.of(replication.ReadConfirmed)))
        self.assertEqual(2, len(rig.ledger(primary).record.in_sync))
        now = rig.cluster.now
        self.assertGreater(rig.ledger(primary).lease_until(now), now)

    def test_one_machine_alone_with_no_faults_to_bear(self):
        rig = Rig(machines=1, f=0)
        rig.elect()
        rig.cluster.read(1)
        self.assertEqual((1, 1), (rig.commit(), len(rig.of(replication.ReadConfirmed))))

    def test_a_takeover_keeps_what_was_committed(self):
        rig = Rig(singleton_task_delay=4.0)
        first = rig.elect()
        rig.commit()
        kept = rig.ledger(first).committed_state
        rig.cluster.crash(first, save_persisted=False)
        took = rig.run(5, lambda: bool(rig.primary()))
        self.assertLess(took, 2.0)
        second = rig.ledger(rig.primary())
        self.assertEqual(kept, second.committed_state)
        self.assertAlmostEqual(rig.cluster.now + 4.0, second.singleton_tasks_from, delta=0.01)
        self.assertEqual(2, rig.commit())

    def test_an_old_primary_confirms_no_read_after_a_takeover(self):
        rig = Rig()
        first = rig.elect()
        rig.paused = {first}
        rig.run(3, lambda: rig.primary() not in (0, first))
        self.assertNotEqual(first, rig.primary())
        rig.commit()
        rig.paused = set()
        rig.cluster.in_flight = [
            entry for entry in rig.cluster.in_flight if entry.recipient != first
        ]  # it has heard nothing of it
        self.assertTrue(rig.ledger(first).is_primary)
        now = rig.cluster.now
        self.assertLess(rig.ledger(first).lease_until(now), now)
        rig.cluster.read(first)
        rig.cluster.propose(first)
        token = rig.cluster.last_token
        rig.run(2)
        self.assertFalse(rig.ledger(first).is_primary)
        self.assertEqual([], [e for e in rig.of(replication.ReadConfirmed) if e[1] == first])
        self.assertEqual([token], [e[2].token for e in rig.of(replication.ProposalFailed)])
        self.assertEqual([token - 1], [e[2].token for e in rig.of(replication.ReadFailed)])

    def test_a_primary_without_a_majority_gives_up(self):
        rig = Rig()
        first = rig.elect()
        rig.drop = lambda sender, to, message: first in (sender, to)
        rig.run(timing.QUORUM_LOSS_SECONDS + 0.3)
        self.assertFalse(rig.ledger(first).is_primary)

    def test_a_silent_backup_is_replaced_and_the_proposal_goes_through(self):
        rig = Rig()
        primary = rig.elect()
        record = rig.ledger(primary).record
        backup = next(m for m in record.in_sync if m != primary)
        rig.cluster.crash(backup, save_persisted=False)
        self.assertEqual(0, rig.commit())
        rig.run(1.5, lambda: rig.cluster.commit_count == 1)
        self.assertEqual(1, rig.cluster.commit_count)
        after = rig.ledger(primary).record
        self.assertGreater(after.epoch, record.epoch)
        self.assertNotIn(backup, after.in_sync)
        self.assertEqual(1, len(rig.of(replication.RoleChanged)))  # primary all the while

    def test_a_backup_with_a_slow_disk_is_replaced(self):
        rig = Rig()
        primary = rig.elect()
        backup = next(m for m in rig.ledger(primary).record.in_sync if m != primary)
        rig.stuck = {backup}
        rig.commit()
        rig.run(1.5, lambda: rig.cluster.commit_count == 1)
        self.assertEqual(1, rig.cluster.commit_count)
        self.assertNotIn(backup, rig.ledger(primary).record.in_sync)

    def test_a_candidate_not_in_sync_nominates_one_that_is(self):
        rig = Rig()
        primary = rig.elect()
        rig.commit()
        record = rig.ledger(primary).record
        backup = next(m for m in record.in_sync if m != primary)
        rig.cluster.crash(primary, save_persisted=False)
        rig.ledger(backup)._candidacy_due_at = float("inf")
        rig.run(4, lambda: bool(rig.primary()))
        self.assertEqual(backup, rig.primary())

    def test_a_failed_save_hands_over(self):
        rig = Rig()
        first = rig.elect()
        rig.stuck = {first}
        rig.commit()
        rig.cluster.complete_save(first, succeeded=False)
        self.assertEqual([False], [e[2].primary for e in rig.of(replication.RoleChanged)][1:])
        self.assertEqual(1, len(rig.of(replication.ProposalFailed)))
        rig.run(1.0, lambda: bool(rig.primary()))
        self.assertNotIn(rig.primary(), (0, first))

    def test_a_slow_save_hands_over(self):
        rig = Rig()
        first = rig.elect()
        rig.stuck = {first}
        rig.commit()
        took = rig.run(4, lambda: rig.primary() not in (0, first))
        self.assertNotIn(rig.primary(), (0, first))
        self.assertLess(took, timing.SLOW_SAVE_SECONDS + 0.6)

    def test_a_lost_disk_is_made_good(self):
        rig = Rig()
        primary = rig.elect()
        rig.commit()
        backup = next(m for m in rig.ledger(primary).record.in_sync if m != primary)
        rig.cluster.crash(backup, save_persisted=False)
        rig.cluster.machines[backup].disk = None
        rig.start(backup)
        rig.run(6)
        self.assertFalse(rig.ledger(backup).is_amnesic)
        record = rig.ledger(primary).record
        for member in record.in_sync:
            self.assertEqual(rig.ledger(primary).committed_state, rig.cluster.machines[member].disk.state)

    def test_an_in_sync_machine_that_lost_its_disk_gets_the_sheet_anew(self):
        rig = Rig()
        primary = rig.elect()
        rig.commit()
        record = rig.ledger(primary).record
        backup = next(m for m in record.in_sync if m != primary)
        rig.cluster.crash(backup, save_persisted=False)
        rig.cluster.machines[backup].disk = replication.DurableState(
            record.epoch, record, replication.NO_VERSION, b"", False
        )
        rig.start(backup)
        rig.run(0.5)
        self.assertEqual(record, rig.ledger(primary).record)
        self.assertEqual(rig.ledger(primary).committed_state, rig.cluster.machines[backup].disk.state)

    def test_a_witness_that_is_gone_is_replaced_by_a_spare(self):
        rig = Rig(spares=1)
        primary = rig.elect()
        rig.run(4)
        self.assertFalse(rig.ledger(FOURTH).is_amnesic)
        gone = next(m for m in (1, 2, 3) if m not in rig.ledger(primary).record.in_sync)
        rig.cluster.crash(gone, save_persisted=False)
        rig.run(5)
        record = rig.ledger(primary).record
        self.assertEqual(({1, 2, 3, 4} - {gone}, ()), (set(record.witnesses), record.former))
        rig.start(gone)  # it learns that it is no witness any more
        rig.run(3)
        self.assertEqual(record.witnesses, rig.ledger(gone).record.witnesses)

    def test_a_change_of_witnesses_wants_a_majority_of_both_sets(self):
        candidacy = replication.Candidacy(
            number(5, ME),
            renewal=True,
            phase=replication.CandidacyPhase.ACCEPT,
            started_at=0.0,
            phase_started_at=0.0,
            sent_at=0.0,
            base=RECORD,
            record=replication.EpochRecord(number(5, ME), ME, (ME, OTHER), (ME, OTHER, FOURTH), (ME, OTHER, THIRD)),
        )
        witness_sets = single()._deciding_sets(candidacy)
        self.assertEqual({(ME, OTHER, THIRD), (ME, OTHER, FOURTH)}, set(witness_sets))

    def test_what_is_asked_of_the_wrong_machine_or_too_early_or_too_large(self):
        rig = Rig()
        primary = rig.elect()
        other = next(m for m in (1, 2, 3) if m != primary)
        with self.assertRaises(replication.NotPrimary) as caught:
            rig.ledger(other).propose(1, b"", rig.cluster.now)
        self.assertEqual(primary, caught.exception.primary_hint)
        with self.assertRaises(replication.NotPrimary):
            rig.ledger(other).confirm_read(1, rig.cluster.now)
        with self.assertRaises(replication.StateTooLarge):
            rig.ledger(primary).propose(1, bytes(replication.STATE_LIMIT_BYTES + 1), rig.cluster.now)
        rig.ledger(primary).propose(1, b"aaaa", rig.cluster.now)
        with self.assertRaises(replication.ProposalInProgress):
            rig.ledger(primary).propose(2, b"bbbb", rig.cluster.now)
        self.assertEqual(b"", rig.ledger(primary).committed_state)


class Explored(unittest.TestCase):
    def walk(self, seeds: range, machines: int, f: int, spares: int) -> None:
        committed = 0
        for seed in seeds:
            outcome = RandomWalk(seed, machines, f, spares).run(5000)
            self.assertEqual(("", ""), (outcome.violation, outcome.stall), outcome)
            committed += outcome.commits
        self.assertGreater(committed, 10 * len(seeds))

    def test_a_pre_vote_is_asked_again_soon(self):
        rig = Rig()
        rig.elect()
        for me in (1, 2, 3):
            rig.cluster.crash(me, save_persisted=False)
        former = next(me for me in (1, 2, 3) if rig.cluster.machines[me].disk.accepted.primary == me)
        rig.start(former)
        rig.run(0.25)
        self.assertEqual(rig.ledger(former)._candidacy.phase, replication.CandidacyPhase.PRE_VOTE)
        for me in {1, 2, 3} - {former}:
            rig.start(me)
        self.assertLessEqual(rig.run(1.0, lambda: rig.primary() == former), 2 * PRE_VOTE_RETRY_SECONDS)

    def test_only_the_former_primary_goes_on_at_once(self):
        rig = Rig()
        first = rig.elect()
        others = {1, 2, 3} - {first}
        for me in (1, 2, 3):
            rig.cluster.crash(me, save_persisted=False)
        for me in others:
            rig.start(me)
        self.assertGreaterEqual(rig.run(3.0, lambda: rig.primary() != 0), LEASE_GUARD_SECONDS)

    def test_walks_of_three(self):
        self.walk(range(1000, 1020), 3, 1, 0)

    def test_walks_of_three_and_a_spare(self):
        self.walk(range(1000, 1020), 3, 1, 1)

    def test_walks_of_five_and_two_spares(self):
        self.walk(range(1000, 1020), 5, 2, 2)

    def test_breadth(self):
        self.assertEqual("", search_breadth_first(1500).violation)

    def test_planted_faults_are_found(self):
        for fault, search in FAULTS.items():
            with self.subTest(fault=fault.__name__):
                self.assertIsNotNone(find_fault(fault, search, [search.seed, *range(60)]), "not found")


if __name__ == "__main__":
    unittest.main()
