"""Copies and witnesses over zones and regions, so that what may be lost at once leaves a copy and a majority."""

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

SETTLES = 12.0  # seconds in which copies and witnesses are spread
READ_WITHIN = 30.0  # seconds
REPLACED_WITHIN = 10.0  # seconds for a machine to be taken in


def setUpModule() -> None:
    logger.disable("rowanshift")


def tearDownModule() -> None:
    logger.enable("rowanshift")


def copies(fleet: Fleet) -> list[Unit]:
    """The machines that hold the newest state, the primary first."""
    primary = fleet.primary()
    in_sync = primary.program.replica_runner.replica.record.in_sync
    holding = [unit for unit in fleet.cores if machine_id_from_ip(unit.machine.address) in in_sync]
    return sorted(holding, key=lambda unit: unit is not primary)


class Losses(unittest.TestCase):
    """The worst loss that the settings allow comes right after an acknowledgement, and all others lose power."""

    def read_after(self, seed: str, machines: int, **given: int) -> int:
        """The revision read once a zone of a copy and so many further copies are gone for good; 9 was acknowledged."""

        async def main(fleet: Fleet) -> int:
            await fleet.start()
            await trio.sleep(SETTLES)
            self.assertEqual(await fleet.put(config_of(9)), 200)
            zone = copies(fleet)[0].zone
            lost = [unit for unit in fleet.cores if unit.zone == zone]
            lost += [unit for unit in copies(fleet) if unit not in lost][:machines]
            others = [unit for unit in fleet.cores if unit not in lost]
            fleet.empty_disk(*lost)
            fleet.cut_power(*others)
            await trio.sleep(1.0)
            fleet.back(*others)
            return (await fleet.operator.read_config(READ_WITHIN) or {}).get("revision", 0)

        return play(main, seed, routers=1, strict=False, zones=3, **given)[0]

    def test_a_zone(self) -> None:
        for seed in range(3):
            self.assertEqual(self.read_after(f"zone {seed}", 0, cores=6, f=0, lost_zones=1), 9)

    def test_a_zone_and_a_machine(self) -> None:
        for seed in range(3):
            self.assertEqual(self.read_after(f"both {seed}", 1, cores=9, f=1, lost_zones=1), 9)


class NobodyCounts(unittest.TestCase):
    """All core machines have ``quorumMember`` false: they must do, and those that come must be able to take part."""

    def test_each_of_the_first_members_is_replaced_in_turn(self) -> None:
        async def main(fleet: Fleet) -> int:
            await fleet.start()
            first = list(fleet.cores)
            for unit in first:
                spare = fleet.spare(counts=False)
                fleet.operator.controls.append((spare.machine.address, CONTROL))
                self.assertTrue(await fleet.until(lambda spare=spare: takes_part(fleet, spare), REPLACED_WITHIN))
                fleet.empty_disk(unit)
                await trio.sleep(REPLACED_WITHIN)
            self.assertEqual(await fleet.put(config_of(9)), 200)
            return (await fleet.operator.read_config(READ_WITHIN) or {}).get("revision", 0)

        self.assertEqual(play(main, "nobody", routers=1, strict=False, counts=False)[0], 9)

    def test_one_is_gone_before_its_successor_starts(self) -> None:
        async def main(fleet: Fleet) -> int:
            await fleet.start()
            await trio.sleep(REPLACED_WITHIN)
            for unit in list(fleet.cores):
                fleet.empty_disk(unit)
                await trio.sleep(1.0)
                spare = fleet.spare(counts=False)
                fleet.operator.controls.append((spare.machine.address, CONTROL))
                await trio.sleep(REPLACED_WITHIN)
            self.assertEqual(await fleet.put(config_of(9)), 200)
            return (await fleet.operator.read_config(READ_WITHIN) or {}).get("revision", 0)

        self.assertEqual(play(main, "gone before", routers=1, strict=False, counts=False)[0], 9)

    def test_one_that_does_not_count_stays_out_where_others_do(self) -> None:
        async def main(fleet: Fleet) -> set[int]:
            await fleet.start()
            fleet.cut_power(fleet.backups()[-1])
            spare = fleet.spare(counts=False)
            await trio.sleep(2 * REPLACED_WITHIN)
            self.assertTrue(takes_part(fleet, spare))
            return fleet.primary().program.replica_runner.replica.record.members() & {
                machine_id_from_ip(spare.machine.address)
            }

        self.assertEqual(play(main, "stays out", routers=1, strict=False)[0], set())

    def test_it_is_told(self) -> None:
        async def main(fleet: Fleet) -> str:
            await fleet.start()
            await trio.sleep(REPLACED_WITHIN)
            return fleet.primary().program.replica_runner.replica.unmet_tolerance()

        self.assertIn("no core machine counts", play(main, "told", routers=1, counts=False)[0])
        self.assertEqual(play(main, "told", routers=1)[0], "")


class Belief(unittest.TestCase):
    """Who is taken to count, by what machines say."""

    def replica(self) -> replication.Replica:
        failure_domain = replication.FailureDomain("z", "r", quorum_member=False)
        made = replication.Replica(4, 1, (1, 2, 3), False, None, 0.0, lambda: 0.5, failure_domain=failure_domain)
        record = replication.EpochRecord(1 << 32 | 1, 1, (1, 2), (1, 2, 3))
        made._durable = replication.DurableState(record.epoch, record, replication.NO_VERSION, b"", amnesic=False)
        return made

    def test_one_that_says_nothing_counts(self) -> None:
        made = self.replica()
        for machine in (1, 2):
            made.receive(machine, replication.FailureDomainReport("z", "r", False, False), 1.0)
        self.assertTrue(made._is_observer())
        made.receive(3, replication.FailureDomainReport("z", "r", False, False), 1.0)
        self.assertFalse(made._is_observer())

    def test_a_member_is_believed_for_a_while(self) -> None:
        made = self.replica()
        made.receive(1, replication.FailureDomainReport("z", "r", False, True), 1.0)
        self.assertFalse(made._is_observer())
        made.tick(1.0 + NO_QUORUM_MEMBERS_LIFETIME_SECONDS + 0.1)
        self.assertTrue(made._is_observer())

    def test_one_that_is_no_member_is_not(self) -> None:
        made = self.replica()
        made.receive(9, replication.FailureDomainReport("z", "r", False, True), 1.0)
        self.assertTrue(made._is_observer())

    def test_it_is_told_again_after_a_while_and_not_sooner(self) -> None:
        made = self.replica()
        made.drain()
        for at, told in (
            (1.0, 3),
            (1.0 + FAILURE_DOMAIN_INTERVAL_SECONDS - 0.1, 0),
            (1.0 + FAILURE_DOMAIN_INTERVAL_SECONDS, 3),
        ):
            made.tick(at)
            sent = [
                action
                for action in made.drain()
                if isinstance(getattr(action, "message", None), replication.FailureDomainReport)
            ]
            self.assertEqual(len(sent), told, at)

    def test_a_machine_that_counts_tells_nothing_until_it_matters(self) -> None:
        made = replication.Replica(1, 1, (1, 2, 3), True, None, 0.0, lambda: 0.5)
        for at, matters in ((1.0, False), (2.0, True)):
            if matters:
                made.receive(2, replication.FailureDomainReport("z", "r", False, False), at)
            made.tick(at)
            sent = [
                action
                for action in made.drain()
                if isinstance(getattr(action, "message", None), replication.FailureDomainReport)
            ]
            self.assertEqual(bool(sent), matters)


class Choice(unittest.TestCase):
    """The pure choice."""

    def failure_domains(self, *zones: str) -> dict[int, FailureDomain]:
        """Machine by machine, a region and a zone as two letters."""
        return {number: FailureDomain(zone[1], zone[0]) for number, zone in enumerate(zones, 1)}

    def test_what_the_worst_loss_takes(self) -> None:
        failure_domains = self.failure_domains("aa", "aa", "ab", "ba", "bb", "ca")
        for tolerance, taken in (
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
            self.assertEqual(worst_case_losses(failure_domains, failure_domains, tolerance), taken, tolerance)

    def test_without_domains_the_preferred_are_chosen(self) -> None:
        random_source = random.Random(1)
        for _ in range(200):
            machines = random_source.sample(range(2, 12), random_source.randrange(1, 8))
            failure_domains = {machine: FailureDomain(random_source.choice("abc")) for machine in machines}
            for f in range(4):
                chosen = choose_backups(1, machines, failure_domains, FaultTolerance(f))
                self.assertEqual(chosen, machines[:f])

    def test_a_choice_survives_wherever_any_does(self) -> None:
        """Against all choices of machines, for drawn places."""
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

    def test_votes_move_to_where_a_loss_leaves_a_majority(self) -> None:
        failure_domains = self.failure_domains("aa", "aa", "aa", "ab", "ac")
        tolerance = FaultTolerance(0, 1)
        witnesses = improved_witnesses([1, 2, 3], [4, 5], failure_domains, tolerance)
        self.assertGreater(len({failure_domains[witness].zone for witness in witnesses}), 1)
        self.assertGreaterEqual(
            vote_margin(improved_witnesses(witnesses, [4, 5], failure_domains, tolerance), failure_domains, tolerance),
            0,
        )
        self.assertEqual(improved_witnesses([1, 4, 5], [2], failure_domains, tolerance), ())

    def test_no_more_votes_than_the_limit(self) -> None:
        failure_domains = {machine: FailureDomain("a", "r") for machine in range(MAX_WITNESSES + 1)}
        everyone = list(range(MAX_WITNESSES))
        self.assertEqual(improved_witnesses(everyone, [MAX_WITNESSES], failure_domains, FaultTolerance(0, 1)), ())
        self.assertEqual(
            len(improved_witnesses(everyone[:-1], [MAX_WITNESSES], failure_domains, FaultTolerance(0, 1))),
            MAX_WITNESSES,
        )

    def test_what_zones_can_bear(self) -> None:
        three, two = {"a": "r", "b": "r", "c": "r"}, {"a": "r", "b": "r"}
        self.assertTrue(can_be_tolerated(FaultTolerance(1, 1), three))
        self.assertTrue(can_be_tolerated(FaultTolerance(3), two))
        self.assertFalse(can_be_tolerated(FaultTolerance(0, 1), two))
        self.assertFalse(can_be_tolerated(FaultTolerance(0, 0, 1), three))


def takes_part(fleet: Fleet, unit: Unit) -> bool:
    """Whether a machine that was started has recovered, and its vote is wanted or it has one."""
    host = getattr(unit.program, "replica_runner", None)
    return host is not None and not host.replica.is_amnesic


if __name__ == "__main__":
    unittest.main()
