"""The settings file: reading, validation, and errors that name the place of the fault."""

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
    load_node_settings,
    node_settings_of,
    parse_address,
)

VALID = {
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
REQUIRED_FIELDS = ("nodeName", "machineClass", "ip", "zone", "listenAddresses", "internalPorts", "seedNodes")


def with_value(value, *place):
    copied = deepcopy(VALID)
    inner = copied
    for name in place[:-1]:
        inner = inner[name]
    inner[place[-1]] = value
    return copied


class ValidSettings(unittest.TestCase):
    def test_a_complete_file(self):
        with TemporaryDirectory() as folder:
            path = Path(folder, "boot.json")
            path.write_text(json.dumps(VALID))
            settings = load_node_settings(path)
            self.assertEqual(load_node_settings(str(path)).file, settings.file)
        self.assertEqual((settings.name, settings.ip, settings.zone, settings.region), ("c1", "10.0.0.1", "z1", "r"))
        self.assertEqual(settings.required_address("clients"), ("10.0.0.1", 8080))
        self.assertEqual(settings.internal_address, ("10.0.0.1", 7000))
        self.assertEqual(settings.seeds, [("10.0.0.2", 7000), ("10.0.0.3", 7000)])
        self.assertEqual(
            (settings.cloud_api_address, settings.data_directory, settings.path),
            (("10.0.0.9", 80), Path("/data"), path),
        )
        self.assertEqual((settings.limits.memory_mb, settings.limits.max_fds), (128, 512))
        self.assertEqual((settings.bounds.contact_ms, settings.bounds.retry_budget_ratio), (1000, 0.1))
        self.assertEqual(settings.bounds.lease_ms, 3000)
        self.assertEqual(settings.file.fault_tolerance.machines, 1)

    def test_optional_fields_may_be_missing(self):
        settings = node_settings_of({name: VALID[name] for name in REQUIRED_FIELDS})
        self.assertIsInstance(settings, NodeSettings)
        self.assertIsNone(settings.cloud_api_address)
        self.assertIsNone(settings.data_directory)
        self.assertEqual((settings.file.heartbeat_ms, settings.bounds.retry_window_s), (1000, 10))

    def test_unknown_fields_are_ignored(self):
        expected = node_settings_of(VALID).file
        for place in ((), ("limits",), ("bounds",), ("faultTolerance",), ("cloudApi",)):
            for value in (None, 1, "x", [], {"a": [{}]}):
                self.assertEqual(node_settings_of(with_value(value, *place, "somethingNew")).file, expected)

    def test_the_lowest_and_the_highest_port(self):
        self.assertEqual(node_settings_of(with_value([1, 65535], "internalPorts")).internal_address, ("10.0.0.1", 1))
        self.assertEqual(node_settings_of(with_value([7, 7], "internalPorts")).internal_address, ("10.0.0.1", 7))
        self.assertEqual([parse_address(f"h:{port}", "x")[1] for port in (1, 65535)], [1, 65535])


class InvalidSettings(unittest.TestCase):
    def error(self, data):
        with self.assertRaises(NodeSettingsError) as raised:
            node_settings_of(data)
        self.assertTrue(str(raised.exception).startswith(raised.exception.place))
        return str(raised.exception)

    def test_a_wrong_type_in_each_field(self):
        for name in VALID:
            for value in ([[]], 0.5, {"x": []}):
                if name == "heartbeatMs" and value == 0.5:
                    continue
                inner = isinstance(value, dict) and name in ("limits", "bounds", "faultTolerance")
                if inner:  # an unknown field, which is ignored
                    continue
                self.assertIn(name, self.error(with_value(value, name)), (name, value))

    def test_a_wrong_type_in_each_nested_field(self):
        for outer in ("limits", "bounds", "faultTolerance", "cloudApi"):
            for inner in VALID[outer]:
                text = self.error(with_value([], outer, inner))
                self.assertIn(f"{outer}.{inner}", text)

    def test_each_required_field_missing(self):
        for name in REQUIRED_FIELDS:
            self.assertIn(name, self.error({key: value for key, value in VALID.items() if key != name}))
        self.assertIn("cloudApi", self.error(with_value({}, "cloudApi")))

    def test_invalid_addresses(self):
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
            for place, path in (
                ("listenAddresses.clients", ("listenAddresses", "clients")),
                ("seedNodes[1]", ("seedNodes", 1)),
                ("cloudApi.address", ("cloudApi", "address")),
            ):
                with self.subTest(text[:32], place=place):
                    self.assertIn(f"{place}:", self.error(with_value(text, *path)))

    def test_invalid_internal_ports(self):
        for ports in ([0, 5], [9, 8], [1, 65536], [-1, 3], [1], [1, 2, 3], ["1", "2"], None):
            self.assertIn("internalPorts", self.error(with_value(ports, "internalPorts")))

    def test_a_negative_fault_tolerance(self):
        self.assertIn("faultTolerance.machines", self.error(with_value(-1, "faultTolerance", "machines")))

    def test_a_missing_required_address(self):
        with self.assertRaises(NodeSettingsError) as raised:
            node_settings_of(VALID).required_address("nowhere")
        self.assertEqual(raised.exception.place, "listenAddresses.nowhere")


class SettingsFiles(unittest.TestCase):
    def setUp(self):
        self.folder = TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name, "boot.json")

    def assert_rejected(self, data):
        self.path.write_bytes(data)
        with self.assertRaises(NodeSettingsError) as raised:
            load_node_settings(self.path)
        self.assertIn(str(self.path), str(raised.exception))

    def test_no_file_is_named(self):
        for path in (None, ""):
            with self.assertRaises(NodeSettingsError) as raised:
                load_node_settings(path)
            self.assertEqual(raised.exception.place, "ROWANSHIFT_BOOT")

    def test_a_missing_file_or_a_directory(self):
        for path in (self.path, self.folder.name, self.path / "below"):
            with self.assertRaises(NodeSettingsError) as raised:
                load_node_settings(path)
            self.assertEqual(raised.exception.place, str(path))

    def test_a_file_that_is_too_large(self):
        self.assert_rejected(json.dumps(VALID).encode() + b" " * MAX_FILE_BYTES)

    def test_a_file_without_a_settings_object(self):
        for data in (b"", b"null", b"[]", b"1", b'"x"', b"{", b"{}", b"\xff\xfe", b'{"nodeName": "\xff"}'):
            self.assert_rejected(data)

    def test_deeply_nested_json(self):
        self.assert_rejected(b"[" * 200_000)

    def test_truncated_settings(self):
        data = json.dumps(VALID).encode()
        for end in range(0, len(data), 7):
            with self.assertRaises(NodeSettingsError):
                node_settings_of(data[:end])

    def test_random_bytes(self):
        random_source = random.Random(1)
        for _ in range(2000):
            with self.assertRaises(NodeSettingsError):
                node_settings_of(random_source.randbytes(random_source.randrange(60)))

    def test_single_changed_bytes(self):
        random_source, data = random.Random(2), json.dumps(VALID).encode()
        for _ in range(4000):
            corrupted = bytearray(data)
            corrupted[random_source.randrange(len(corrupted))] = random_source.randrange(256)
            try:
                node_settings_of(bytes(corrupted))
            except NodeSettingsError as error:
                self.assertTrue(error.place and error.reason)


if __name__ == "__main__":
    unittest.main()
