"""The command ``coordination``, with given machine reports."""

import unittest
from unittest import mock

from rowanshift.admin import coordination_status
from rowanshift.admin.core_status import CoordinationReport, CoreStatus, MachineReport, failed_report


def report(machine: str, coordination: CoordinationReport | None) -> MachineReport:
    status = mock.Mock(spec=CoreStatus, coordination=coordination)
    return MachineReport(machine, {}, status)


def replica(**fields: object) -> CoordinationReport:
    defaults = {
        "primary": False,
        "epoch": 7,
        "in_sync": ["10.0.0.1", "10.0.0.2"],
        "amnesic": False,
        "locks": None,
        "numbers": None,
        "groups": None,
        "keys": None,
        "puts_kept": None,
        "state_bytes": None,
        "waiting_watches": 0,
        "calls": 0,
        "batches": 0,
        "saves": 3,
    }
    return CoordinationReport(**defaults | fields)


class Command(unittest.TestCase):
    def output(self, *reports: MachineReport) -> coordination_status.CommandOutput:
        with mock.patch.object(coordination_status, "run_with_client", return_value=[*reports]):
            return coordination_status.coordination_status("10.0.0.1:8500")

    def test_a_primary_and_its_replicas(self) -> None:
        primary = replica(
            primary=True, locks=2, numbers=1, groups=3, keys=4, puts_kept=5, state_bytes=600, calls=9, batches=3
        )
        output = self.output(report("10.0.0.1", primary), report("10.0.0.2", replica(amnesic=True)))
        self.assertTrue(output.succeeded)
        self.assertEqual(output.lines[1].split(), ["10.0.0.1", "primary", "7", "0", "9", "3.0", "3"])
        self.assertEqual(output.lines[2].split(), ["10.0.0.2", "amnesic", "7", "0", "0", "-", "3"])
        content = "2 locks, 1 names of numbers, 4 keys in 3 groups, 5 puts kept, 600 bytes"
        self.assertEqual(output.lines[-1], f"{content}; in sync: 10.0.0.1, 10.0.0.2")

    def test_the_command_fails_without_a_primary(self) -> None:
        output = self.output(report("10.0.0.1", replica()), failed_report("10.0.0.2", OSError("refused")))
        self.assertFalse(output.succeeded)
        self.assertIn("refused", output.lines[2])

    def test_a_machine_without_the_coordination_service(self) -> None:
        output = self.output(report("10.0.0.1", None))
        self.assertFalse(output.succeeded)
        self.assertIn("no application calls here", output.lines[1])


if __name__ == "__main__":
    unittest.main()
