"""The command ``check --boot FILE``."""

import unittest

import orjson

from rowanshift.emulation import cluster
from tests.support.helpers import invoke
from tests.support.small_system import temporary_folder, unused_network


class SettingsCheck(unittest.TestCase):
    def test_settings_are_described_or_rejected_with_a_reason(self) -> None:
        data = temporary_folder(self)
        system = cluster.SmallSystem(data, unused_network(), lambda: 0.0)
        core, edge = data / "core-1.json", data / "edge-11.json"
        code, output = invoke("check", "--boot", core)
        self.assertEqual(code, 0, output)
        for part in (
            "core-1: controlplane at",
            f"controlPlane {system.net}1:8500",
            "up to 1 machines, 0 zones, 0 regions may be lost at once",
            "a first start",
        ):
            self.assertIn(part, output)
        code, output = invoke("check", "--boot", edge)
        self.assertEqual((code, output[:22]), (0, "edge-11: dataplane at "))
        valid = orjson.loads(core.read_bytes())
        for change, reason in (
            ({"machineClass": "core_service"}, "machineClass: one of edge, core expected, not 'core_service'"),
            ({"machineClass": "edge"}, "listenAddresses.frontend: missing, but required by this role"),
            ({"ip": "::1"}, "ip: an IPv4 address expected, not '::1'"),
            ({"seedNodes": ["host:1"]}, "seedNodes[0]: an IPv4 address expected, not 'host'"),
            (
                {"internalPorts": [2, 1]},
                "internalPorts: two ports from 1 to 65535 in ascending order expected, not (2, 1)",
            ),
        ):
            edge.write_bytes(orjson.dumps(valid | change))
            self.assertEqual(invoke("check", "--boot", edge), (2, f"rowanshift: {reason}\n"))
        self.assertEqual(invoke("check", "--boot", data / "none")[0], 2)

    def test_fault_tolerance_that_can_not_be_kept_is_reported(self) -> None:
        data = temporary_folder(self)
        cluster.SmallSystem(data, unused_network(), lambda: 0.0)
        core = data / "core-1.json"
        valid = orjson.loads(core.read_bytes())
        zones = {f"z{number}": f"r{number % 2}" for number in range(4)}
        for change, reason in (
            ({"faultTolerance": {"machines": 1, "zones": 1}, "zones": zones}, ""),
            (
                {"faultTolerance": {"zones": 2}, "zones": zones},
                "can't be kept: faultTolerance: after losing 0 machines, 2",
            ),
            (
                {"faultTolerance": {"regions": 1}, "zones": zones},
                "1 regions at once, no placement of machines in 4 zones and 2",
            ),
            ({"quorumMember": False}, "can't be kept: quorumMember: false"),
            ({"quorumMember": False, "faultTolerance": {}}, ""),
        ):
            core.write_bytes(orjson.dumps(valid | change))
            code, output = invoke("check", "--boot", core)
            self.assertEqual(code, 0)
            self.assertIn(reason, output)
            self.assertEqual("can't be kept" in output, bool(reason), output)
