"""Placement over zones and regions: a replica and a majority of witnesses survive the worst tolerated loss."""

import random
import unittest

import trio
from loguru import logger

from rowanshift.controlplane import replication
from rowanshift.controlplane.replication.failure_domains import (
    MAX_WITNESSES,
    FailureDomain,
    FaultTolerance,
    can_be_tolerated,
    choose_backups,
    improved_witnesses,
    surviving_replicas,
    vote_margin,
    worst_case_losses,
)
from rowanshift.controlplane.replication.timing import (
    FAILURE_DOMAIN_INTERVAL_SECONDS,
    NO_QUORUM_MEMBERS_LIFETIME_SECONDS,
)
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.simulation.fleet_settings import CONTROL
from rowanshift.simulation.fleet_troubles import Unit
from rowanshift.wire.machine_ids import machine_id_from_ip
from tests.support.replication_rig import sent_messages

SPREAD_SECONDS = 12.0  # time for the primary to spread replicas and witnesses over the zones
READ_TIMEOUT_SECONDS = 30.0
REPLACEMENT_SECONDS = 10.0  # time for a new machine to recover and join


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def in_sync_units_of(fleet: Fleet) -> list[Unit]:
    """The units of the in-sync machines, the primary first."""
    primary = fleet.primary()
    in_sync = primary.program.replica_runner.replica.record.in_sync
    in_sync_units = [unit for unit in fleet.cores if machine_id_from_ip(unit.machine.address) in in_sync]
    return sorted(in_sync_units, key=lambda unit: unit is not primary)


class Losses(unittest.TestCase):
    """The worst tolerated loss right after an acknowledgement, while all other machines lose power."""

    def revision_after_loss(self, seed: str, machines: int, **fleet_options: int) -> int:
        """The revision read after the loss of the primary's zone and ``machines`` more replicas; 9 was acknowledged."""

        async def main(fleet: Fleet) -> int:
            await fleet.start()
            await trio.sleep(SPREAD_SECONDS)
            self.assertEqual(await fleet.put(config_of(9)), 200)
            zone = in_sync_units_of(fleet)[0].zone
            lost = [unit for unit in fleet.cores if unit.zone == zone]
            lost += [unit for unit in in_sync_units_of(fleet) if unit not in lost][:machines]
            others = [unit for unit in fleet.cores if unit not in lost]
            fleet.empty_disk(*lost)
            fleet.cut_power(*others)
            await trio.sleep(1.0)
            fleet.back(*others)
            return (await fleet.operator.read_config(READ_TIMEOUT_SECONDS) or {}).get("revision", 0)

        return play(main, seed, routers=1, strict=False, zones=3, **fleet_options)[0]

    def test_loss_of_a_zone(self) -> None:
        for seed in range(3):
            self.assertEqual(self.revision_after_loss(f"zone {seed}", 0, cores=6, f=0, lost_zones=1), 9)

    def test_loss_of_a_zone_and_a_machine(self) -> None:
        for seed in range(3):
            self.assertEqual(self.revision_after_loss(f"both {seed}", 1, cores=9, f=1, lost_zones=1), 9)


class NoQuorumMembers(unittest.TestCase):
    """With ``quorumMember`` false on all core machines, they are members all the same, and can be replaced."""

    def test_each_of_the_first_members_is_replaced_in_turn(self) -> None:
        async def main(fleet: Fleet) -> int:
            await fleet.start()
            first = list(fleet.cores)
            for unit in first:
                spare = fleet.spare(counts=False)
                fleet.operator.controls.append((spare.machine.address, CONTROL))
                self.assertTrue(await fleet.until(lambda spare=spare: has_recovered(fleet, spare), REPLACEMENT_SECONDS))
                fleet.empty_disk(unit)
                await trio.sleep(REPLACEMENT_SECONDS)
            self.assertEqual(await fleet.put(config_of(9)), 200)
            return (await fleet.operator.read_config(READ_TIMEOUT_SECONDS) or {}).get("revision", 0)

        self.assertEqual(play(main, "nobody", routers=1, strict=False, counts=False)[0], 9)

    def test_a_member_is_lost_before_its_successor_starts(self) -> None:
        async def main(fleet: Fleet) -> int:
            await fleet.start()
            await trio.sleep(REPLACEMENT_SECONDS)
            for unit in list(fleet.cores):
                fleet.empty_disk(unit)
                await trio.sleep(1.0)
                spare = fleet.spare(counts=False)
                fleet.operator.controls.append((spare.machine.address, CONTROL))
                await trio.sleep(REPLACEMENT_SECONDS)
            self.assertEqual(await fleet.put(config_of(9)), 200)
            return (await fleet.operator.read_config(READ_TIMEOUT_SECONDS) or {}).get("revision", 0)

        self.assertEqual(play(main, "gone before", routers=1, strict=False, counts=False)[0], 9)

    def test_a_machine_that_is_no_quorum_member_does_not_join_a_group_of_quorum_members(self) -> None:
        async def main(fleet: Fleet) -> set[int]:
            await fleet.start()
            fleet.cut_power(fleet.backups()[-1])
            spare = fleet.spare(counts=False)
            await trio.sleep(2 * REPLACEMENT_SECONDS)
            self.assertTrue(has_recovered(fleet, spare))
            return fleet.primary().program.replica_runner.replica.record.members() & {
                machine_id_from_ip(spare.machine.address)
            }

        self.assertEqual(play(main, "stays out", routers=1, strict=False)[0], set())

    def test_an_unmet_tolerance_is_reported(self) -> None:
        async def main(fleet: Fleet) -> str:
            await fleet.start()
            await trio.sleep(REPLACEMENT_SECONDS)
            return fleet.primary().program.replica_runner.replica.unmet_tolerance()

        self.assertIn("no member is a quorum member", play(main, "told", routers=1, counts=False)[0])
        self.assertEqual(play(main, "told", routers=1)[0], "")


class QuorumMembership(unittest.TestCase):
    """Which machines are assumed to be quorum members, depending on reports."""

    def replica_of_no_quorum_member(self) -> replication.Replica:
        failure_domain = replication.FailureDomain("z", "r", quorum_member=False)
        replica = replication.Replica(4, 1, (1, 2, 3), False, None, 0.0, lambda: 0.5, failure_domain=failure_domain)
        record = replication.EpochRecord(1 << 32 | 1, 1, (1, 2), (1, 2, 3))
        replica._durable = replication.DurableState(record.epoch, record, replication.NO_VERSION, b"", amnesic=False)
        return replica

    def test_a_machine_without_a_report_is_assumed_to_be_a_quorum_member(self) -> None:
        replica = self.replica_of_no_quorum_member()
        for machine in (1, 2):
            replica.receive(machine, replication.FailureDomainReport("z", "r", False, False), 1.0)
        self.assertTrue(replica._is_observer())
        replica.receive(3, replication.FailureDomainReport("z", "r", False, False), 1.0)
        self.assertFalse(replica._is_observer())

    def test_a_report_of_a_member_expires(self) -> None:
        replica = self.replica_of_no_quorum_member()
        replica.receive(1, replication.FailureDomainReport("z", "r", False, True), 1.0)
        self.assertFalse(replica._is_observer())
        replica.tick(1.0 + NO_QUORUM_MEMBERS_LIFETIME_SECONDS + 0.1)
        self.assertTrue(replica._is_observer())

    def test_a_report_of_a_machine_that_is_no_member_is_ignored(self) -> None:
        replica = self.replica_of_no_quorum_member()
        replica.receive(9, replication.FailureDomainReport("z", "r", False, True), 1.0)
        self.assertTrue(replica._is_observer())

    def test_reports_are_sent_at_their_interval(self) -> None:
        replica = self.replica_of_no_quorum_member()
        replica.drain()
        for at, expected in (
            (1.0, 3),
            (1.0 + FAILURE_DOMAIN_INTERVAL_SECONDS - 0.1, 0),
            (1.0 + FAILURE_DOMAIN_INTERVAL_SECONDS, 3),
        ):
            replica.tick(at)
            sent = sent_reports(replica)
            self.assertEqual(len(sent), expected, at)

    def test_a_quorum_member_reports_nothing_until_it_receives_a_report(self) -> None:
        replica = replication.Replica(1, 1, (1, 2, 3), True, None, 0.0, lambda: 0.5)
        for at, matters in ((1.0, False), (2.0, True)):
            if matters:
                replica.receive(2, replication.FailureDomainReport("z", "r", False, False), at)
            replica.tick(at)
            sent = sent_reports(replica)
            self.assertEqual(bool(sent), matters)


class Placement(unittest.TestCase):
    """Choice of backups and witnesses."""

    def failure_domains(self, *zones: str) -> dict[int, FailureDomain]:
        """Failure domains of machines 1, 2, ..., each given as the letters of a region and a zone."""
        return {number: FailureDomain(zone[1], zone[0]) for number, zone in enumerate(zones, 1)}

    def test_losses_in_the_worst_case(self) -> None:
        failure_domains = self.failure_domains("aa", "aa", "ab", "ba", "bb", "ca")
        for tolerance, expected_losses in (
            (FaultTolerance(), 0),
            (FaultTolerance(2), 2),
            (FaultTolerance(9), 6),
            (FaultTolerance(0, 1), 2),
            (FaultTolerance(1, 1), 3),
            (FaultTolerance(0, 0, 1), 3),
            (FaultTolerance(0, 1, 1), 4),
            (FaultTolerance(1, 1, 1), 5),
            (FaultTolerance(0, 0, 3), 6),
        ):
            self.assertEqual(worst_case_losses(failure_domains, failure_domains, tolerance), expected_losses, tolerance)

    def test_without_lost_zones_or_regions_the_preferred_machines_are_chosen(self) -> None:
        random_source = random.Random(1)
        for _ in range(200):
            machines = random_source.sample(range(2, 12), random_source.randrange(1, 8))
            failure_domains = {machine: FailureDomain(random_source.choice("abc")) for machine in machines}
            for f in range(4):
                chosen = choose_backups(1, machines, failure_domains, FaultTolerance(f))
                self.assertEqual(chosen, machines[:f])

    def test_a_replica_survives_if_any_choice_of_backups_allows_it(self) -> None:
        """Compares with the choice of all machines, for random zones and regions."""
        random_source = random.Random(2)
        for _ in range(300):
            failure_domains = {
                machine: FailureDomain(random_source.choice("abc"), random_source.choice("xy"))
                for machine in range(1, 7)
            }
            tolerance = FaultTolerance(
                random_source.randrange(2), random_source.randrange(2), random_source.randrange(2)
            )
            chosen = choose_backups(1, [2, 3, 4, 5, 6], failure_domains, tolerance)
            left = surviving_replicas([1, *chosen], failure_domains, tolerance)
            self.assertEqual(
                left > 0,
                surviving_replicas([*failure_domains], failure_domains, tolerance) > 0,
                (failure_domains, tolerance),
            )

    def test_witnesses_are_exchanged_until_a_majority_survives(self) -> None:
        failure_domains = self.failure_domains("aa", "aa", "aa", "ab", "ac")
        tolerance = FaultTolerance(0, 1)
        witnesses = improved_witnesses([1, 2, 3], [4, 5], failure_domains, tolerance)
        self.assertGreater(len({failure_domains[witness].zone for witness in witnesses}), 1)
        self.assertGreaterEqual(
            vote_margin(improved_witnesses(witnesses, [4, 5], failure_domains, tolerance), failure_domains, tolerance),
            0,
        )
        self.assertEqual(improved_witnesses([1, 4, 5], [2], failure_domains, tolerance), ())

    def test_the_number_of_witnesses_is_limited(self) -> None:
        failure_domains = {machine: FailureDomain("a", "r") for machine in range(MAX_WITNESSES + 1)}
        witnesses_at_limit = list(range(MAX_WITNESSES))
        self.assertEqual(
            improved_witnesses(witnesses_at_limit, [MAX_WITNESSES], failure_domains, FaultTolerance(0, 1)), ()
        )
        self.assertEqual(
            len(improved_witnesses(witnesses_at_limit[:-1], [MAX_WITNESSES], failure_domains, FaultTolerance(0, 1))),
            MAX_WITNESSES,
        )

    def test_whether_given_zones_can_meet_a_tolerance(self) -> None:
        three, two = {"a": "r", "b": "r", "c": "r"}, {"a": "r", "b": "r"}
        self.assertTrue(can_be_tolerated(FaultTolerance(1, 1), three))
        self.assertTrue(can_be_tolerated(FaultTolerance(3), two))
        self.assertFalse(can_be_tolerated(FaultTolerance(0, 1), two))
        self.assertFalse(can_be_tolerated(FaultTolerance(0, 0, 1), three))


def sent_reports(replica: replication.Replica) -> list[replication.Message]:
    return [message for message in sent_messages(replica) if isinstance(message, replication.FailureDomainReport)]


def has_recovered(fleet: Fleet, unit: Unit) -> bool:
    """Whether a machine that was started runs a replica that has recovered."""
    replica_runner = getattr(unit.program, "replica_runner", None)
    return replica_runner is not None and not replica_runner.replica.is_amnesic


if __name__ == "__main__":
    unittest.main()
