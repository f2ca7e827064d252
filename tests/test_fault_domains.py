"""Copies and witnesses over zones and regions, so that what may be lost at once leaves a copy and a majority."""

import unittest

import trio
from loguru import logger

from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.simulation.fleet_troubles import Unit
from rowanshift.wire.machines import machine_of

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
    in_sync = primary.program.replica_host.replica.record.in_sync
    return sorted((unit for unit in fleet.cores if machine_of(unit.machine.address) in in_sync), key=lambda unit: unit is not primary)


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
                self.assertTrue(await fleet.until(lambda spare=spare: takes_part(fleet, spare), REPLACED_WITHIN))
                fleet.empty_disk(unit)
                await trio.sleep(REPLACED_WITHIN)
            self.assertEqual(await fleet.put(config_of(9)), 200)
            return (await fleet.operator.read_config(READ_WITHIN) or {}).get("revision", 0)

        self.assertEqual(play(main, "nobody", routers=1, strict=False, counts=False)[0], 9)


def takes_part(fleet: Fleet, unit: Unit) -> bool:
    """Whether a machine that was started has recovered, and its vote is wanted or it has one."""
    host = getattr(unit.program, "replica_host", None)
    return host is not None and not host.replica.is_amnesic


if __name__ == "__main__":
    unittest.main()
