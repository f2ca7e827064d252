"""The command ``controlplane check DIR``."""

import unittest

import orjson

from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import put_version, unpack
from rowanshift.controlplane.record_kinds import CODEC, Hello
from rowanshift.controlplane.replication import DurableState, EpochRecord, StateVersion
from rowanshift.controlplane.store import Store
from rowanshift.emulation import cluster
from tests.support.helpers import invoke
from tests.support.small_system import temporary_folder


class DataFolderCheck(unittest.TestCase):
    def test_a_data_directory_is_described_and_not_changed(self) -> None:
        control_state = put_version(put_config(unpack(b""), "0", orjson.dumps(cluster.CONFIG))[0], "m", 7)
        first, second, third = 1 << 24, 2 << 24, 3 << 24
        durable = DurableState(
            43,
            EpochRecord(41, first, (first, second), (first, second, third)),
            StateVersion(41, 3),
            control_state.pack(),
            True,
        )
        data = temporary_folder(self)
        store = Store(data / "ledger")
        store.open()
        store.write(CODEC.pack(durable))
        store.close()
        before = {path: path.read_bytes() for path in data.rglob("*") if path.is_file()}
        for folder in (data, data / "ledger"):
            code, output = invoke("controlplane", "check", folder)
            self.assertEqual(code, 0, output)
            for part in (
                "promised 43; has lost its disk",
                "epoch 41, primary 1.0.0.0",
                "in sync: 1.0.0.0, 2.0.0.0",
                "witnesses: 1.0.0.0, 2.0.0.0, 3.0.0.0",
                "state of epoch 41, sequence 3: revision 1",
                "named: m version 7",
            ):
                self.assertIn(part, output)
            self.assertNotIn(cluster.KEY, output)
        self.assertEqual({path: path.read_bytes() for path in data.rglob("*") if path.is_file()}, before)

    def test_a_directory_without_a_store_or_with_a_damaged_one(self) -> None:
        data = temporary_folder(self)
        code, output = invoke("controlplane", "check", data)
        self.assertEqual((code, output), (2, f"rowanshift: {data}: no store here (data.mdb is absent)\n"))
        for record, reason in ((CODEC.pack(Hello(1)), "Hello where a DurableState belongs"), (b"noise", "cut short")):
            with self.subTest(reason):
                store = Store(data)
                store.open()
                store.write(record)
                store.close()
                code, output = invoke("controlplane", "check", data)
                self.assertEqual(code, 1)
                self.assertIn(reason, output)
        (data / "data.mdb").write_bytes(b"no store")
        code, output = invoke("controlplane", "check", data)
        self.assertEqual(code, 1)
        self.assertIn("can't be opened", output)
