"""The settings file: read, checked, and what is wrong named with its place."""

import json
import random
import unittest
from copy import deepcopy
from pathlib import Path
from tempfile import TemporaryDirectory

from rowanshift.process.node_settings import (
    MAX_FILE_BYTES,
    NodeSettings,
    NodeSettingsError,
    address_of,
    load_node_settings,
    node_settings_of,
)

GOOD = {
    "nodeName": "c1",
    "machineClass": "small",
    "ip": "10.0.0.1",
    "zone": "z1",
    "region": "r",
    "listenAddresses": {"clients": "10.0.0.1:8080", "operator": "10.0.0.1:9000"},
    "internalPorts": [7000, 7009],
    "seedNodes": ["10.0.0.2:7000", "10.0.0.3:7000"],
    "bootstrap": True,
    "quorumMember": True,
    "zones": {"10.0.0.2": "z2"},
    "dataDir": "/data",
    "heartbeatMs": 500,
    "limits": {"memoryMb": 128, "maxFds": 512},
    "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
    "bounds": {"contactMs": 1000, "retryBudgetRatio": 0.1, "retryWindowS": 5},
    "cloudApi": {"address": "10.0.0.9:80", "ratePerS": 2, "maxLagMs": 300},
}
NEEDED = ("nodeName", "machineClass", "ip", "zone", "listenAddresses", "internalPorts", "seedNodes")


def changed(value, *place):
    made = deepcopy(GOOD)
    inner = made
    for name in place[:-1]:
        inner = inner[name]
    inner[place[-1]] = value
    return made


class Good(unittest.TestCase):
    def test_a_whole_file(self):
        with TemporaryDirectory() as folder:
            path = Path(folder, "boot.json")
            path.write_text(json.dumps(GOOD))
            boot = load_node_settings(path)
            self.assertEqual(load_node_settings(str(path)).file, boot.file)
        self.assertEqual((boot.name, boot.ip, boot.zone, boot.region), ("c1", "10.0.0.1", "z1", "r"))
        self.assertEqual(boot.required_address("clients"), ("10.0.0.1", 8080))
        self.assertEqual(boot.internal_address, ("10.0.0.1", 7000))
        self.assertEqual(boot.seeds, [("10.0.0.2", 7000), ("10.0.0.3", 7000)])
        self.assertEqual(
            (boot.cloud_api_address, boot.data_directory, boot.path), (("10.0.0.9", 80), Path("/data"), path)
        )
        self.assertEqual((boot.limits.memory_mb, boot.limits.max_fds), (128, 512))
        self.assertEqual((boot.bounds.contact_ms, boot.bounds.retry_budget_ratio), (1000, 0.1))
        self.assertEqual(boot.bounds.lease_ms, 3000)
        self.assertEqual(boot.file.fault_tolerance.machines, 1)

    def test_what_may_be_missing(self):
        boot = node_settings_of({name: GOOD[name] for name in NEEDED})
        self.assertIsInstance(boot, NodeSettings)
        self.assertIsNone(boot.cloud_api_address)
        self.assertIsNone(boot.data_directory)
        self.assertEqual((boot.file.heartbeat_ms, boot.bounds.retry_window_s), (1000, 10))

    def test_unknown_fields_are_ignored(self):
        expected = node_settings_of(GOOD).file
        for place in ((), ("limits",), ("bounds",), ("faultTolerance",), ("cloudApi",)):
            for value in (None, 1, "x", [], {"a": [{}]}):
                self.assertEqual(node_settings_of(changed(value, *place, "somethingNew")).file, expected)

    def test_the_first_and_the_last_port(self):
        self.assertEqual(node_settings_of(changed([1, 65535], "internalPorts")).internal_address, ("10.0.0.1", 1))
        self.assertEqual(node_settings_of(changed([7, 7], "internalPorts")).internal_address, ("10.0.0.1", 7))
        self.assertEqual([address_of(f"h:{port}", "x")[1] for port in (1, 65535)], [1, 65535])


class Wrong(unittest.TestCase):
    def error(self, data):
        with self.assertRaises(NodeSettingsError) as caught:
            node_settings_of(data)
        self.assertTrue(str(caught.exception).startswith(caught.exception.place))
        return str(caught.exception)

    def test_each_field_of_a_wrong_type(self):
        for name in GOOD:
            for value in ([[]], 0.5, {"x": []}):
                if name == "heartbeatMs" and value == 0.5:
                    continue
                inner = isinstance(value, dict) and name in ("limits", "bounds", "faultTolerance")
                if inner:  # a field that is not known
                    continue
                self.assertIn(name, self.error(changed(value, name)), (name, value))

    def test_each_inner_field_of_a_wrong_type(self):
        for outer in ("limits", "bounds", "faultTolerance", "cloudApi"):
            for inner in GOOD[outer]:
                text = self.error(changed([], outer, inner))
                self.assertIn(f"{outer}.{inner}", text)

    def test_each_needed_field_missing(self):
        for name in NEEDED:
            self.assertIn(name, self.error({key: value for key, value in GOOD.items() if key != name}))
        self.assertIn("cloudApi", self.error(changed({}, "cloudApi")))

    def test_addresses(self):
        for text in (
            "",
            ":",
            "10.0.0.1",
            "10.0.0.1:",
            ":80",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:-1",
            "10.0.0.1:x",
            "10.0.0.1:8 0",
            "10.0.0.1:+80",
            "10.0.0.1:\u00b2",
            "10.0.0.1:" + "9" * 5000,
        ):
            for place, at in (
                ("listenAddresses.clients", ("listenAddresses", "clients")),
                ("seedNodes[1]", ("seedNodes", 1)),
                ("cloudApi.address", ("cloudApi", "address")),
            ):
                with self.subTest(text[:32], place=place):
                    self.assertIn(f"{place}:", self.error(changed(text, *at)))

    def test_internal_ports(self):
        for ports in ([0, 5], [9, 8], [1, 65536], [-1, 3], [1], [1, 2, 3], ["1", "2"], None):
            self.assertIn("internalPorts", self.error(changed(ports, "internalPorts")))

    def test_fault_tolerance(self):
        self.assertIn("faultTolerance.machines", self.error(changed(-1, "faultTolerance", "machines")))

    def test_an_address_that_a_role_needs(self):
        with self.assertRaises(NodeSettingsError) as caught:
            node_settings_of(GOOD).required_address("nowhere")
        self.assertEqual(caught.exception.place, "listenAddresses.nowhere")


class Files(unittest.TestCase):
    def setUp(self):
        self.folder = TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name, "boot.json")

    def refused(self, data):
        self.path.write_bytes(data)
        with self.assertRaises(NodeSettingsError) as caught:
            load_node_settings(self.path)
        self.assertIn(str(self.path), str(caught.exception))

    def test_none_named(self):
        for path in (None, ""):
            with self.assertRaises(NodeSettingsError) as caught:
                load_node_settings(path)
            self.assertEqual(caught.exception.place, "ROWANSHIFT_BOOT")

    def test_missing_or_no_file(self):
        for path in (self.path, self.folder.name, self.path / "below"):
            with self.assertRaises(NodeSettingsError) as caught:
                load_node_settings(path)
            self.assertEqual(caught.exception.place, str(path))

    def test_too_large(self):
        self.refused(json.dumps(GOOD).encode() + b" " * MAX_FILE_BYTES)

    def test_no_object(self):
        for data in (b"", b"null", b"[]", b"1", b'"x"', b"{", b"{}", b"\xff\xfe", b'{"nodeName": "\xff"}'):
            self.refused(data)

    def test_deeply_nested(self):
        self.refused(b"[" * 200_000)

    def test_cut_short_anywhere(self):
        data = json.dumps(GOOD).encode()
        for end in range(0, len(data), 7):
            with self.assertRaises(NodeSettingsError):
                node_settings_of(data[:end])

    def test_random_bytes(self):
        random_source = random.Random(1)
        for _ in range(2000):
            with self.assertRaises(NodeSettingsError):
                node_settings_of(random_source.randbytes(random_source.randrange(60)))

    def test_single_bytes_changed(self):
        random_source, data = random.Random(2), json.dumps(GOOD).encode()
        for _ in range(4000):
            spoilt = bytearray(data)
            spoilt[random_source.randrange(len(spoilt))] = random_source.randrange(256)
            try:
                node_settings_of(bytes(spoilt))
            except NodeSettingsError as error:
                self.assertTrue(error.place and error.reason)


if __name__ == "__main__":
    unittest.main()
