"""The worst tolerated fault: f disks are lost, and all other machines lose power at the same time."""

import unittest
from dataclasses import dataclass
from typing import NamedTuple

import trio
from loguru import logger

from rowanshift.controlplane import replication
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.simulation.fleet_settings import MODEL
from tests.support.replication_rig import FOURTH, ReplicationRig

CLOSING_FAULT_DELAYS_SECONDS = (
    0.0,
    0.05,
    0.2,
    1.0,
)  # upper bounds of the time from the preceding event to the closing fault
COUNTS_AS_FAILED_SECONDS = 4.0  # time after its start for which a machine counts as failed
NAMED_VERSION = 2  # of the model, named before the closing fault
CHANGE_PAUSE_SECONDS = 0.05
READ_BACK_LIMIT_SECONDS = 20.0


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


class ClosingRig(ReplicationRig):
    """A rig whose machines can all lose power at the same time, one of them with its disk."""

    uncounted: frozenset[int] | set[int] = frozenset()

    def start(self, me: int, bootstrap: bool = False) -> None:
        super().start(me, bootstrap)
        self.replica(me).quorum_member = me not in self.uncounted

    def inject_closing_fault(self, lost_disk: int, removed: int = 0) -> None:
        """Crash all machines and lose one disk; the others keep synced data. Restart all but the removed machine."""
        machines = self.cluster.machines
        for machine in machines:
            self.cluster.crash(machine, save_persisted=False)
        self.cluster.in_flight.clear()
        machines[lost_disk].disk = None
        for machine in machines:
            if machine != removed:
                self.start(machine)

    def read_back(self) -> bytes | None:
        """The state of the next primary; ``None`` if there is none within the time limit."""
        self.run(READ_BACK_LIMIT_SECONDS, lambda: self.primary() != 0)
        return self.replica(self.primary()).committed_state if self.primary() else None


class AfterARelease(unittest.TestCase):
    """With a spare in place, a machine leaves as planned, and the closing fault follows immediately."""

    def test_acknowledged_changes_survive_any_leave_followed_by_any_disk_loss(self) -> None:
        for leaving in (1, 2, 3):
            for lost_disk in {1, 2, 3, FOURTH} - {leaving}:
                with self.subTest(leaving=leaving, lost_disk=lost_disk):
                    rig = ClosingRig(spares=1)
                    rig.elect()
                    rig.run(6.0)
                    rig.commit()
                    acknowledged = rig.replica(rig.primary()).committed_state
                    self.leave(rig, leaving)
                    rig.inject_closing_fault(lost_disk, removed=leaving)
                    self.assertEqual(rig.read_back(), acknowledged)

    def leave(self, rig: ReplicationRig, leaving: int) -> None:
        replica = rig.replica(leaving)
        replica.leave(rig.cluster.now)
        rig.cluster.carry_out_actions(leaving)
        rig.run(3.0, lambda: replica.leave_granted)
        self.assertTrue(replica.leave_granted)

    def test_a_machine_is_not_released_while_its_former_vote_is_required(self) -> None:
        rig = ClosingRig(spares=1)
        rig.elect()
        rig.run(6.0)
        leaving = next(m for m in (1, 2, 3) if m not in rig.replica(rig.primary()).record.in_sync)
        self.leave(rig, leaving)
        self.assertNotIn(leaving, rig.replica(rig.primary()).record.members())


class Uncounted(unittest.TestCase):
    """A fourth machine that is no quorum member by its settings: it may be lost with its disk in addition to f."""

    def rig(self, uncounted: int = FOURTH, spares: int = 1) -> ClosingRig:
        rig = ClosingRig(spares=spares)
        rig.uncounted = {uncounted}
        rig.replica(uncounted).quorum_member = False
        rig.elect()
        rig.run(6.0)
        rig.commit()
        return rig

    def record(self, rig: ReplicationRig) -> replication.EpochRecord:
        return rig.replica(rig.primary()).record

    def test_it_gets_neither_copy_nor_vote_whichever_machine_is_down(self) -> None:
        for down in (1, 2, 3):
            with self.subTest(down=down):
                rig = self.rig()
                rig.cluster.crash(down, save_persisted=False)
                rig.run(6.0)
                self.assertEqual(rig.commit(), 2)
                self.assertNotIn(FOURTH, self.record(rig).members())

    def test_nothing_is_lost_when_it_is_lost_in_addition_to_f_disks(self) -> None:
        for down in (1, 2, 3):
            for lost_disk in (1, 2, 3):
                with self.subTest(down=down, lost_disk=lost_disk):
                    rig = self.rig()
                    rig.cluster.crash(down, save_persisted=False)
                    rig.run(6.0)
                    rig.start(down)
                    rig.run(6.0)
                    rig.commit()
                    acknowledged = rig.replica(rig.primary()).committed_state
                    rig.inject_closing_fault(lost_disk, removed=FOURTH)
                    self.assertEqual(rig.read_back(), acknowledged)

    def test_it_knows_the_record_and_the_primary(self) -> None:
        rig = self.rig()
        rig.cluster.crash(rig.primary(), save_persisted=False)
        rig.run(6.0)
        replica = rig.replica(FOURTH)
        self.assertFalse(replica.is_amnesic)
        self.assertEqual((replica.primary_hint, replica.record), (rig.primary(), self.record(rig)))

    def test_it_may_leave_immediately(self) -> None:
        rig = self.rig()
        rig.replica(FOURTH).leave(rig.cluster.now)
        self.assertTrue(rig.replica(FOURTH).leave_granted)

    def test_an_uncounted_initial_member_is_replaced_by_a_counted_spare(self) -> None:
        for uncounted in (1, 2, 3):
            with self.subTest(uncounted=uncounted):
                rig = self.rig(uncounted)
                self.assertEqual(self.record(rig).members(), {1, 2, 3, FOURTH} - {uncounted})
                self.assertEqual(rig.commit(), 2)

    def test_the_initial_members_continue_if_no_machine_counts(self) -> None:
        rig = ClosingRig()
        for machine in (1, 2, 3):
            rig.replica(machine).quorum_member = False
        rig.elect()
        rig.cluster.crash(self.record(rig).in_sync[0], save_persisted=False)
        rig.run(6.0)
        self.assertEqual(rig.commit(), 1)


class RandomFleet(unittest.TestCase):
    """The real programs under continuous changes: machines leave, are replaced or join, before the closing fault."""

    def test_the_newest_acknowledged_configuration_and_version_are_read_back(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                outcome = play(play_closing_fault, f"closing/{seed}")[0]
                self.assertGreaterEqual(outcome.read, outcome.acknowledged)
                self.assertEqual(outcome.version, NAMED_VERSION)
                self.assertGreater(outcome.acknowledged, 10)


@dataclass(frozen=True)
class ClosingOutcome:
    """The revisions of the configuration, and the version of the model after the fault."""

    acknowledged: int  # the last one acknowledged before the closing fault
    read: int  # read after it; 0: none
    version: int


class Survivors(NamedTuple):
    """The machines that restart after the closing fault, and the one of them that loses its disk in it."""

    returning: list[Unit]
    lost_disk: Unit


async def play_closing_fault(fleet: Fleet) -> ClosingOutcome:
    """Run continuous changes, a preceding event and the closing fault."""
    random_source = fleet.random_source
    await fleet.start()
    observer = fleet.spare(counts=False)
    changing = trio.CancelScope()
    fleet.nursery.start_soon(keep_changing, fleet, changing)
    returning, lost_disk = await random_source.choice(PRECEDING_EVENTS)(fleet)
    await fleet.name_version(NAMED_VERSION)
    await trio.sleep(random_source.choice(CLOSING_FAULT_DELAYS_SECONDS) * random_source.random())
    acknowledged = fleet.revision
    fleet.cut_power(observer, *fleet.routers)
    fleet.empty_disk(lost_disk)
    fleet.cut_power(*(unit for unit in returning if unit is not lost_disk))
    changing.cancel()
    await trio.sleep(1.0)
    fleet.back(*returning, *fleet.routers)
    read = (await fleet.operator.read_config(READ_BACK_LIMIT_SECONDS) or {}).get("revision", 0)
    primary = fleet.primary()
    return ClosingOutcome(acknowledged, read, primary.program.publication.versions().get(MODEL, 0) if primary else 0)


async def nothing(fleet: Fleet) -> Survivors:
    """No machine changes."""
    await trio.sleep(COUNTS_AS_FAILED_SECONDS)
    returning = fleet.cores[:3]
    return Survivors(returning, fleet.random_source.choice(returning))


async def leaves(fleet: Fleet) -> Survivors:
    """A spare is in place, and a machine leaves as planned."""
    spare, leaving = fleet.spare(), fleet.random_source.choice(fleet.cores[:3])
    await trio.sleep(COUNTS_AS_FAILED_SECONDS)
    fleet.terminate(leaving)
    await fleet.until(lambda: not leaving.machine.running)
    returning = [unit for unit in (*fleet.cores[:3], spare) if unit is not leaving]
    return Survivors(returning, fleet.random_source.choice(returning))


async def is_replaced(fleet: Fleet) -> Survivors:
    """A machine is lost, and its replacement has run until it no longer counts as failed."""
    lost = fleet.random_source.choice(fleet.cores[:3])
    await trio.sleep(COUNTS_AS_FAILED_SECONDS)
    fleet.empty_disk(lost)
    returning = [unit for unit in (*fleet.cores[:3], fleet.spare()) if unit is not lost]
    await trio.sleep(COUNTS_AS_FAILED_SECONDS)
    return Survivors(returning, fleet.random_source.choice(returning))


async def joins(fleet: Fleet) -> Survivors:
    """A machine is terminated, and another starts in its place and then loses its disk."""
    leaving = fleet.random_source.choice(fleet.cores[:3])
    await trio.sleep(COUNTS_AS_FAILED_SECONDS)
    fleet.terminate(leaving)
    await trio.sleep(fleet.random_source.random() * COUNTS_AS_FAILED_SECONDS)
    joined = fleet.spare()
    await trio.sleep(fleet.random_source.random() * COUNTS_AS_FAILED_SECONDS)
    return Survivors([*fleet.cores[:3], joined], joined)


# the order affects what each seed plays
PRECEDING_EVENTS = (is_replaced, joins, leaves, nothing)


async def keep_changing(fleet: Fleet, scope: trio.CancelScope) -> None:
    with scope:
        await fleet.keep_changing(CHANGE_PAUSE_SECONDS)


class UncountedFleet(unittest.TestCase):
    """The same with the real programs and their settings in the virtual network."""

    def test_acknowledged_changes_survive_the_loss_of_a_disk_and_an_uncounted_machine(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                revision, read = play(self._play, f"uncounted/{seed}")[0]
                self.assertEqual(read, revision)

    async def _play(self, fleet: Fleet) -> tuple[int, int]:
        await fleet.start()
        observer = fleet.spare(counts=False)
        await trio.sleep(COUNTS_AS_FAILED_SECONDS)
        down = fleet.backups()[1]
        fleet.cut_power(down)
        await trio.sleep(COUNTS_AS_FAILED_SECONDS)
        fleet.back(down)
        await trio.sleep(COUNTS_AS_FAILED_SECONDS)
        await fleet.put(config_of(fleet.sent + 1))
        counted = fleet.cores[:3]
        fleet.cut_power(observer, *fleet.routers)
        fleet.empty_disk(counted[0])
        fleet.cut_power(*counted[1:])
        await trio.sleep(1.0)
        fleet.back(*counted, *fleet.routers)
        return fleet.revision, (await fleet.operator.read_config(READ_BACK_LIMIT_SECONDS) or {}).get("revision", 0)


if __name__ == "__main__":
    unittest.main()
