"""Planned leaves: a machine that ends gives leadership, copy and vote to others first; redundancy as a figure."""

import unittest
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication.core import ReplicaCore
from rowanshift.controlplane.replication.redundancy import RedundancyMonitor
from rowanshift.controlplane.replication.timing import Timing
from rowanshift.simulation.fleet import Fleet, play
from tests.controlplane.replication.test_replication import FOURTH, Rig, number, single


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Leaving(unittest.TestCase):
    def backup_of(self, rig: Rig) -> int:
        return next(m for m in rig.ledger(rig.primary()).record.in_sync if m != rig.primary())

    def leave(self, rig: Rig, machine: int, seconds: float = 2.0) -> float:
        """Have a machine leave; the seconds until it was released."""
        replica = rig.ledger(machine)
        replica.leave(rig.cluster.now)
        rig.cluster.carry_out_actions(machine)
        return rig.run(seconds, lambda: replica.leave_granted)

    def end(self, rig: Rig, machine: int) -> None:
        rig.cluster.crash(machine, save_persisted=False)

    def test_a_backup_is_replaced_before_it_is_released(self) -> None:
        rig = Rig()
        primary = rig.elect()
        rig.commit()
        leaving = self.backup_of(rig)
        self.assertLess(self.leave(rig, leaving), 0.7)
        self.assertNotIn(leaving, rig.ledger(primary).record.in_sync)
        self.end(rig, leaving)
        self.assertEqual(rig.commit(), 2)  # at once: it is nobody's backup

    def test_a_primary_gives_leadership_and_its_copy(self) -> None:
        rig = Rig()
        first = rig.elect()
        rig.commit()
        kept = rig.ledger(first).committed_state
        self.assertLess(self.leave(rig, first), 1.0)
        self.assertNotIn(rig.primary(), (0, first))
        record = rig.ledger(rig.primary()).record
        self.assertNotIn(first, record.in_sync)
        for member in record.in_sync:
            self.assertEqual(rig.cluster.machines[member].disk.state, kept)
        self.end(rig, first)
        self.assertEqual(rig.commit(), 2)

    def test_a_mere_witness_is_released_at_once(self) -> None:
        rig = Rig()
        primary = rig.elect()
        witness = next(m for m in (1, 2, 3) if m not in rig.ledger(primary).record.in_sync)
        self.assertLess(self.leave(rig, witness), 0.3)

    def test_who_holds_one_of_two_copies_is_not_released_while_nobody_can_take_it(self) -> None:
        rig = Rig()
        primary = rig.elect()
        leaving = self.backup_of(rig)
        third = next(m for m in (1, 2, 3) if m not in (primary, leaving))
        self.end(rig, third)
        self.leave(rig, leaving)
        self.assertFalse(rig.ledger(leaving).leave_granted)
        self.assertEqual(rig.commit(), 1)  # it goes on as a backup meanwhile
        rig.start(third)
        rig.run(2.0, lambda: rig.ledger(leaving).leave_granted)
        self.assertTrue(rig.ledger(leaving).leave_granted)

    def test_the_only_copy_is_given_on_before_its_machine_ends(self) -> None:
        rig = Rig(spares=1)
        primary = rig.elect()
        rig.commit()
        kept = rig.ledger(primary).committed_state
        rig.run(4.0)  # the spare recovers and asks to join
        leaving = self.backup_of(rig)
        self.end(rig, primary)
        self.leave(rig, leaving, 6.0)
        self.assertTrue(rig.ledger(leaving).leave_granted)
        self.end(rig, leaving)
        rig.run(4.0, lambda: rig.primary() != 0)
        self.assertEqual(rig.ledger(rig.primary()).committed_state, kept)

    def test_its_vote_goes_to_a_spare_before_it_is_released(self) -> None:
        rig = Rig(spares=1)
        primary = rig.elect()
        rig.run(4.0)
        leaving = next(m for m in (1, 2, 3) if m not in rig.ledger(primary).record.in_sync)
        self.leave(rig, leaving, 3.0)
        self.assertTrue(rig.ledger(leaving).leave_granted)
        self.assertEqual(set(rig.ledger(primary).record.witnesses), {1, 2, 3, FOURTH} - {leaving})

    def test_all_in_turn_lose_nothing_and_are_all_released(self) -> None:
        rig = Rig()
        rig.elect()
        for machine in (1, 2, 3):
            rig.commit()
            self.leave(rig, machine, 3.0)
            self.assertTrue(rig.ledger(machine).leave_granted, machine)
            self.end(rig, machine)
            rig.run(0.5)
            rig.start(machine)
            rig.run(2.5)
        self.assertEqual(rig.commit(), 4)

    def test_one_alone_is_released_at_once(self) -> None:
        rig = Rig(machines=1, f=0)
        rig.elect()
        self.leave(rig, 1)
        self.assertTrue(rig.ledger(1).leave_granted)

    def test_an_amnesic_machine_holds_nothing(self) -> None:
        replica = single(bootstrap=False)
        replica.leave(1.0)
        self.assertTrue(replica.leave_granted)

    def test_a_release_by_an_older_epoch_does_not_count(self) -> None:
        replica = single()
        replica.receive(3, replication.Prepare(number(5, 3)), 1.0)
        replica.leave(1.1)
        replica.receive(2, replication.LeaveReply(number(4, 2), True), 1.2)
        self.assertFalse(replica.leave_granted)
        replica.receive(3, replication.LeaveReply(number(5, 3), True), 1.3)
        self.assertTrue(replica.leave_granted)


class Redundancy(unittest.TestCase):
    def test_a_loss_and_its_repair(self) -> None:
        rig = Rig()
        primary = rig.elect()
        replica = rig.ledger(primary)
        self.assertEqual(replica.redundancy(), replication.Redundancy(2, 2, 3, 3, witnesses_changing=False))
        backup = next(m for m in replica.record.in_sync if m != primary)
        rig.cluster.crash(backup, save_persisted=False)
        rig.run(0.65)
        self.assertFalse(replica.redundancy().is_full)
        rig.run(1.0)
        self.assertEqual((replica.redundancy().replicas, replica.redundancy().witnesses), (2, 2))
        rig.start(backup)
        rig.run(0.5)
        self.assertTrue(replica.redundancy().is_full)

    def test_a_backup_is_no_machine(self) -> None:
        self.assertEqual(single().redundancy().replicas_wanted, 0)

    def test_the_watch_tells_changes_and_how_long_any_were_lacking(self) -> None:
        full, lacking = (
            replication.Redundancy(2, 2, 3, 3, witnesses_changing=False),
            replication.Redundancy(2, 2, 2, 3, witnesses_changing=False),
        )
        watch = RedundancyMonitor(10.0)
        self.assertEqual(watch.observe(full, 10.5).seconds_until_full, 0.5)
        self.assertIsNone(watch.observe(full, 11.0))
        self.assertEqual(watch.reduced_for_seconds(11.0), 0.0)
        self.assertIsNone(watch.observe(lacking, 12.0).seconds_until_full)
        self.assertIsNone(
            watch.observe(replication.Redundancy(1, 2, 2, 3, witnesses_changing=False), 12.5).seconds_until_full
        )
        self.assertEqual(watch.reduced_for_seconds(13.0), 1.0)
        self.assertEqual(watch.observe(full, 14.0).seconds_until_full, 2.0)

    def test_a_change_of_witnesses_under_way_is_not_full(self) -> None:
        self.assertFalse(replication.Redundancy(2, 2, 3, 3, witnesses_changing=True).is_full)


class FirstStart(unittest.TestCase):
    """All core machines killed before the first record is on any disk: their disks are empty, bootstrap is false."""

    def restarted(self, bootstrap: bool) -> Rig:
        rig = Rig()
        for machine in (1, 2, 3):
            rig.cluster.crash(machine, save_persisted=False)
            rig.cluster.machines[machine].disk = None
        for machine in (1, 2, 3):
            rig.start(machine, bootstrap)
        rig.run(30.0, lambda: rig.primary() != 0)
        return rig

    def test_they_never_serve_since_they_can_not_tell_it_from_the_loss_of_all_disks(self) -> None:
        rig = self.restarted(bootstrap=False)
        self.assertEqual(rig.primary(), 0)
        self.assertTrue(all(rig.ledger(machine).is_amnesic for machine in (1, 2, 3)))

    def test_staff_start_them_anew(self) -> None:
        rig = self.restarted(bootstrap=True)
        self.assertNotEqual(rig.primary(), 0)
        self.assertEqual(rig.commit(), 1)


def full(fleet: Fleet) -> bool:
    """Whether the primary that holds the lease sees all copies and witnesses that are wanted."""
    hosts = [unit.program.replica_runner for unit in fleet.cores if unit.machine.running and unit.program is not None]
    return any(host is not None and host.lease_remaining() and host.replica.redundancy().is_full for host in hosts)


class RepairTime(unittest.TestCase):
    """Redundancy is full again before the next loss may come: ``syncS``, 4 s on the small sites, a quarter to spare."""

    def repaired_after(self, trouble: str, role: str, slow: int = 1, seeds: range = range(4)) -> float:
        """The longest time from a machine's return, or its successor's start, over the seeds; in seconds."""

        async def main(fleet: Fleet) -> float:
            await fleet.start()
            await trio.sleep(1.5 + fleet.random_source.random())
            primary, backup = fleet.primary(), fleet.backups()[0]
            third = next(unit for unit in fleet.cores if unit not in (primary, backup))
            unit = {"primary": primary, "backup": backup, "witness": third}[role]
            for core in fleet.cores:
                fleet.slow_disk(core, slow)
            if trouble == "replace":
                fleet.cut_power(unit)
                await trio.sleep(1.0)
                fleet.spare()
            else:
                getattr(fleet, trouble)(unit)
                await trio.sleep(1.5)
                fleet.back(unit)
            began = fleet.now()
            await trio.sleep(0.1)
            self.assertTrue(await fleet.until(lambda: full(fleet)))
            return fleet.now() - began

        return max(play(main, str(seed))[0] for seed in seeds)

    def test_a_lost_disk(self) -> None:
        for role in ("primary", "backup", "witness"):
            with self.subTest(role):
                self.assertLess(self.repaired_after("empty_disk", role), 3.0)

    def test_a_lost_disk_while_all_disks_are_slow(self) -> None:
        self.assertLess(self.repaired_after("empty_disk", "backup", slow=30), 3.0)

    def test_a_machine_that_is_replaced(self) -> None:
        for role in ("primary", "witness"):
            with self.subTest(role):
                self.assertLess(self.repaired_after("replace", role), 3.0)

    def test_a_machine_told_to_stop(self) -> None:
        self.assertLess(self.repaired_after("terminate", "primary"), 3.0)

    def test_a_recovery_that_waits_too_long_is_found(self) -> None:
        late = Timing(recovery_delay_seconds=4.0)
        with mock.patch.object(ReplicaCore.__init__, "__defaults__", (0.0, late)):
            self.assertGreater(self.repaired_after("empty_disk", "backup", seeds=range(1)), 3.0)


if __name__ == "__main__":
    unittest.main()
