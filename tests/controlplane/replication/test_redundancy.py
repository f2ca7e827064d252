"""Redundancy observed by the primary, its monitor, and the duration of repairs."""

from __future__ import annotations

import unittest
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication.core import ReplicaCore
from rowanshift.controlplane.replication.redundancy import RedundancyMonitor
from rowanshift.controlplane.replication.timing import Timing
from rowanshift.simulation.fleet import Fleet, play
from tests.support.replication_rig import (
    ReplicationRig,
    single_replica,
)


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class Redundancy(unittest.TestCase):
    def test_loss_and_replacement_of_a_backup(self) -> None:
        rig = ReplicationRig()
        primary = rig.elect()
        replica = rig.replica(primary)
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

    def test_a_machine_that_is_not_primary_reports_no_redundancy(self) -> None:
        self.assertEqual(single_replica().redundancy().replicas_wanted, 0)

    def test_the_monitor_reports_changes_and_the_time_of_reduced_redundancy(self) -> None:
        full, reduced = (
            replication.Redundancy(2, 2, 3, 3, witnesses_changing=False),
            replication.Redundancy(2, 2, 2, 3, witnesses_changing=False),
        )
        monitor = RedundancyMonitor(10.0)
        self.assertEqual(monitor.observe(full, 10.5).seconds_until_full, 0.5)
        self.assertIsNone(monitor.observe(full, 11.0))
        self.assertEqual(monitor.reduced_for_seconds(11.0), 0.0)
        self.assertIsNone(monitor.observe(reduced, 12.0).seconds_until_full)
        self.assertIsNone(
            monitor.observe(replication.Redundancy(1, 2, 2, 3, witnesses_changing=False), 12.5).seconds_until_full
        )
        self.assertEqual(monitor.reduced_for_seconds(13.0), 1.0)
        self.assertEqual(monitor.observe(full, 14.0).seconds_until_full, 2.0)

    def test_redundancy_is_not_full_during_a_change_of_witnesses(self) -> None:
        self.assertFalse(replication.Redundancy(2, 2, 3, 3, witnesses_changing=True).is_full)


def is_redundancy_full(fleet: Fleet) -> bool:
    """Whether a primary that holds the lease observes full redundancy."""
    runners = [unit.program.replica_runner for unit in fleet.cores if unit.machine.running and unit.program is not None]
    return any(
        runner is not None and runner.lease_remaining() and runner.replica.redundancy().is_full for runner in runners
    )


class RepairTime(unittest.TestCase):
    """Redundancy is restored within three quarters of ``syncS`` (4 s on small sites), before the next allowed loss."""

    def longest_repair_seconds(self, fault: str, role: str, disk_slowdown: int = 1, seeds: range = range(4)) -> float:
        """The longest time in seconds, over all seeds, from a machine's restart or replacement to full redundancy."""

        async def main(fleet: Fleet) -> float:
            await fleet.start()
            await trio.sleep(1.5 + fleet.random_source.random())
            primary, backup = fleet.primary(), fleet.backups()[0]
            witness = next(unit for unit in fleet.cores if unit not in (primary, backup))
            unit = {"primary": primary, "backup": backup, "witness": witness}[role]
            for core in fleet.cores:
                fleet.slow_disk(core, disk_slowdown)
            if fault == "replace":
                fleet.cut_power(unit)
                await trio.sleep(1.0)
                fleet.spare()
            else:
                getattr(fleet, fault)(unit)
                await trio.sleep(1.5)
                fleet.back(unit)
            started_at = fleet.now()
            await trio.sleep(0.1)
            self.assertTrue(await fleet.until(lambda: is_redundancy_full(fleet)))
            return fleet.now() - started_at

        return max(play(main, str(seed))[0] for seed in seeds)

    def test_repair_after_a_disk_loss(self) -> None:
        for role in ("primary", "backup", "witness"):
            with self.subTest(role):
                self.assertLess(self.longest_repair_seconds("empty_disk", role), 3.0)

    def test_repair_after_a_disk_loss_while_all_disks_are_slow(self) -> None:
        self.assertLess(self.longest_repair_seconds("empty_disk", "backup", disk_slowdown=30), 3.0)

    def test_repair_by_a_replacement_machine(self) -> None:
        for role in ("primary", "witness"):
            with self.subTest(role):
                self.assertLess(self.longest_repair_seconds("replace", role), 3.0)

    def test_repair_after_a_terminated_machine_returns(self) -> None:
        self.assertLess(self.longest_repair_seconds("terminate", "primary"), 3.0)

    def test_an_excessive_recovery_delay_is_detected(self) -> None:
        slow_recovery = Timing(recovery_delay_seconds=4.0)
        with mock.patch.object(ReplicaCore.__init__, "__defaults__", (0.0, slow_recovery)):
            self.assertGreater(self.longest_repair_seconds("empty_disk", "backup", seeds=range(1)), 3.0)


if __name__ == "__main__":
    unittest.main()
