"""The status document of a core machine: the field names that operators' tools read, and their values."""

import unittest

import trio
from loguru import logger

from rowanshift.controlplane.status import (
    ControlPlaneStatus,
    RedundancyStatus,
    ServerBehindStatus,
    ServerStatus,
    collect_status,
)
from rowanshift.simulation.fleet import Fleet, play

FIELDS = [
    "name",
    "machine",
    "primary",
    "primaryHint",
    "epoch",
    "inSync",
    "witnesses",
    "amnesic",
    "leaseS",
    "redundancy",
    "revision",
    "versions",
    "known",
    "members",
    "memberAgeS",
    "readsList",
    "listRead",
    "mayOrder",
    "servers",
    "behind",
    "calls",
    "orders",
    "saves",
    "saveSeconds",
    "coordination",
]
REDUNDANCY_FIELDS = ["copies", "copiesWanted", "witnesses", "witnessesWanted", "full", "spread", "lackingS"]


def status(**fields: object) -> ControlPlaneStatus:
    """Return the status of a primary with one registered and one outdated server; ``fields`` override its values."""
    defaults = {
        "name": "core-1",
        "machine": "10.0.0.1",
        "primary": True,
        "primary_hint": "10.0.0.1",
        "epoch": 7,
        "in_sync": ["10.0.0.1"],
        "witnesses": ["10.0.0.1"],
        "amnesic": False,
        "lease_s": 0.5,
        "redundancy": RedundancyStatus(1, 2, 3, 3, False, True, 0.25),
        "revision": 3,
        "versions": {"m": 2},
        "known": [],
        "members": ["10.0.1.1"],
        "member_age_s": {"10.0.1.1": 0.1},
        "reads_list": True,
        "list_read": True,
        "may_order": True,
        "servers": [ServerStatus("i-1", "s", "10.0.2.1:80", 1, {"m": 1})],
        "behind": [ServerBehindStatus("i-1", "m", 1, 0.5, False)],
        "calls": 1,
        "orders": 2,
        "saves": 3,
        "save_seconds": 0.01,
    }
    return ControlPlaneStatus(**(defaults | fields))


class FieldNames(unittest.TestCase):
    def test_the_names_in_the_document(self) -> None:
        self.assertEqual(list(status().as_json()), FIELDS)

    def test_the_names_in_the_redundancy(self) -> None:
        self.assertEqual(list(status().as_json()["redundancy"]), REDUNDANCY_FIELDS)

    def test_servers_and_outdated_servers(self) -> None:
        document = status().as_json()
        self.assertEqual(
            document["servers"],
            [{"id": "i-1", "service": "s", "address": "10.0.2.1:80", "state": 1, "versions": {"m": 1}}],
        )
        self.assertEqual(
            document["behind"], [{"id": "i-1", "model": "m", "version": 1, "lacksForS": 0.5, "loading": False}]
        )

    def test_values_that_only_the_primary_knows_are_null_elsewhere(self) -> None:
        document = status(primary=False, redundancy=None, revision=None, versions=None).as_json()
        self.assertEqual([document[name] for name in ("redundancy", "revision", "versions")], [None, None, None])


class Collected(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")

    def test_the_primary_lists_members_and_servers_and_a_backup_does_not(self) -> None:
        async def main(fleet: Fleet) -> list[ControlPlaneStatus]:
            await fleet.start()
            await trio.sleep(4.0)  # until the membership is known
            primary = fleet.primary()
            programs = primary.program, next(unit for unit in fleet.cores if unit is not primary).program
            return [
                collect_status(
                    program.settings,
                    program.replica_runner,
                    program.publication,
                    program.membership,
                    program.tasks,
                    trio.current_time(),
                )
                for program in programs
            ]

        primary, backup = play(main, "status", routers=2)[0]
        self.assertEqual((primary.primary, backup.primary), (True, False))
        self.assertEqual(len(primary.members), 2)
        self.assertTrue(primary.servers and primary.list_read and primary.reads_list)
        self.assertEqual(backup.members, [])
        self.assertEqual((backup.redundancy, backup.revision, backup.versions), (None, None, None))
        self.assertEqual(backup.primary_hint, primary.machine)
        self.assertEqual((primary.lease_s > 0, backup.lease_s), (True, 0.0))


if __name__ == "__main__":
    unittest.main()
