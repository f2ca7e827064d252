"""Compatibility with data folders written by revision 34514ad, which the README.md beside them describes."""

import contextlib
import hashlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from rowanshift.controlplane.control_state import unpack
from rowanshift.controlplane.durable_state import decode_durable_state
from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.controlplane.replication import DurableState, EpochRecord, StateVersion
from rowanshift.controlplane.store import Store

ROOT = Path(__file__).parents[2]
DATA = ROOT / "tests" / "data" / "data-folder-of-34514ad"
ORDERS = json.loads((DATA / "orders.json").read_text())
ADDRESS = "127.77.34.9"
MACHINE_ID = 2135761417  # of ADDRESS
EPOCH = 6430728713
FOLDERS = ("format-1", "format-2")
VERSIONS = {
    "format-1": {"chat-model": 5, "modèle-é": 3},
    "format-2": {"chat-model": 5, "embed-model": 9, "modèle-é": 3},
}
REVISIONS = {"format-1": 4, "format-2": 7}
CONFIGURATION_SHA256 = {
    "format-1": "8e20af9deb7dd2ed5a5b6a1e75b9c3e7da2845d1e57074ea2c89770092839fe4",
    "format-2": "2abf57c714318a0ff3f16207975ad52705369c253747d94cbe626907ac948bc8",
}
ORDER_ENTRIES = {
    3: "0000000000000003dda338f139010d77ad4936de5047a0fe",
    4: "00000000000000048956562624c5954fa26ebd2a819055fd",
    7: "0000000000000007af45c03e6ee09b4ec12c1b2cc968ada5",
}
PATCHED_CONFIGURATION = (
    b'{"revision":7,"routes":[{"name":"chat","hostname":"chat.example","pathPrefix":"/chat/","routeType":"streaming",'
    b'"timeoutMs":5000,"targetLatencyMs":600,"priority":1,"backend":"llm","retries":2,"sticky":true,"resumable":true},'
    b'{"name":"complete","hostname":"chat.example","pathPrefix":"/complete/","routeType":"streaming","timeoutMs":9000,'
    b'"targetLatencyMs":600,"priority":1,"backend":"llm","retries":2,"sticky":true,"resumable":true}],'
    b'"backends":[{"name":"llm","healthCheck":"/health","maxConnections":360,'
    b'"engine":{"slots":4,"models":[{"name":"chat-model"}]}}],'
    b'"tenants":[{"name":"demo","apiKeys":["demo-key","second-key"]}],"limits":{"maxBodyBytes":1048576}}'
)
SERVING_TIMEOUT_SECONDS = 20.0


def copy_data_folder(name: str, tmp_path: Path) -> Path:
    """A copy of a data folder, because opening a store creates files in it."""
    return shutil.copytree(DATA / name, tmp_path / name)


def read_stored_record(folder: Path) -> bytes:
    store = Store(folder / "ledger")
    store.open()
    try:
        record = store.read()
        assert (store.damage, record is None) == ("", False)
        return record
    finally:
        store.close()


@pytest.mark.parametrize("name", FOLDERS)
def test_the_durable_state_is_decoded_unchanged(name: str, tmp_path: Path) -> None:
    durable = decode_durable_state(read_stored_record(copy_data_folder(name, tmp_path)))
    assert isinstance(durable, DurableState)
    assert durable.promised == EPOCH
    assert durable.accepted == EpochRecord(EPOCH, MACHINE_ID, (MACHINE_ID,), (MACHINE_ID,), ())
    assert durable.version == StateVersion(EPOCH, 7)
    assert durable.amnesic is False


@pytest.mark.parametrize("name", FOLDERS)
def test_the_durable_state_is_written_back_with_identical_bytes(name: str, tmp_path: Path) -> None:
    folder = copy_data_folder(name, tmp_path)
    record = read_stored_record(folder)
    packed = CODEC.pack(decode_durable_state(record))
    assert packed == record
    store = Store(folder / "ledger")
    store.open()
    store.write(packed)
    store.close()
    assert read_stored_record(folder) == record


@pytest.mark.parametrize("name", FOLDERS)
def test_configuration_versions_and_orders_are_decoded_unchanged(name: str, tmp_path: Path) -> None:
    state = unpack(decode_durable_state(read_stored_record(copy_data_folder(name, tmp_path))).state)
    assert state.revision == REVISIONS[name]
    assert hashlib.sha256(state.config).hexdigest() == CONFIGURATION_SHA256[name]
    assert state.versions == VERSIONS[name]
    entries = [entry for revision, entry in ORDER_ENTRIES.items() if revision <= REVISIONS[name]]
    assert (state.orders.entries.hex(), state.orders.highest_dropped) == ("".join(entries), 0)


def test_the_configuration_made_by_a_patch_has_identical_bytes(tmp_path: Path) -> None:
    assert (
        unpack(decode_durable_state(read_stored_record(copy_data_folder("format-2", tmp_path))).state).config
        == PATCHED_CONFIGURATION
    )


def test_a_control_state_of_format_1_holds_the_body_of_the_put(tmp_path: Path) -> None:
    state = unpack(decode_durable_state(read_stored_record(copy_data_folder("format-1", tmp_path))).state)
    assert json.loads(state.config) == ORDERS[1]["body"]


def test_a_control_state_of_format_2_is_packed_with_identical_bytes(tmp_path: Path) -> None:
    packed = decode_durable_state(read_stored_record(copy_data_folder("format-2", tmp_path))).state
    assert packed[:6] == b"RSSH\0\2"
    assert unpack(packed).pack() == packed


def test_a_control_state_of_format_1_is_packed_in_format_2(tmp_path: Path) -> None:
    packed = decode_durable_state(read_stored_record(copy_data_folder("format-1", tmp_path))).state
    assert packed[:6] == b"RSSH\0\1"
    state = unpack(packed)
    assert state.pack()[:6] == b"RSSH\0\2"
    digest = "983e1057d4f225b1b3f43ffce11942090372c411e4ad980eeff4f301743b5c77"
    assert hashlib.sha256(state.pack()).hexdigest() == digest
    assert unpack(state.pack()) == state


@pytest.mark.parametrize("name", FOLDERS)
def test_the_check_of_a_data_folder_reports_it_as_sound(name: str, tmp_path: Path) -> None:
    folder = copy_data_folder(name, tmp_path)
    command = [sys.executable, str(ROOT / "rowanshift.py"), "controlplane", "check", str(folder)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30, env=os.environ | {"PYTHONUTF8": "1"})
    assert (result.returncode, result.stderr) == (0, "")
    for line in (
        f"promised {EPOCH}",
        f"epoch {EPOCH}, primary {ADDRESS}",
        f"in sync: {ADDRESS}; witnesses: {ADDRESS}",
        f"state of epoch {EPOCH}, sequence 7: revision {REVISIONS[name]}, ",
        *(f"named: {model} version {version}" for model, version in VERSIONS[name].items()),
    ):
        assert line in result.stdout
    assert [path.name for path in (folder / "ledger").iterdir()] == ["data.mdb"]


# Tests of a control plane process on a copied folder.


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.create_server((ADDRESS, 0))) for _ in range(count)]
        return sorted(sock.getsockname()[1] for sock in sockets)


def settings(folder: Path, ports: list[int]) -> bytes:
    control, *internal = ports
    return json.dumps(
        {
            "nodeName": "core-9",
            "machineClass": "core",
            "ip": ADDRESS,
            "zone": "z1",
            "region": "r1",
            "listenAddresses": {"controlPlane": f"{ADDRESS}:{control}"},
            "internalPorts": internal,
            "bootstrap": False,
            "seedNodes": [f"{ADDRESS}:{control}"],
            "dataDir": str(folder),
            "faultTolerance": {"machines": 0},
        }
    ).encode()


class CoreProcess:
    """A running control plane process with an HTTP client."""

    def __init__(self, process: subprocess.Popen, control_port: int) -> None:
        self.process, self.control_port = process, control_port

    def call(self, method: str, path: str, body: object = None, if_match: str | None = None) -> tuple[int, bytes]:
        """The status and body of the response, after retries until the process is the primary."""
        url = f"http://{ADDRESS}:{self.control_port}{path}"
        data = None if body is None else json.dumps(body).encode()
        headers = {} if if_match is None else {"If-Match": if_match}
        deadline = time.monotonic() + SERVING_TIMEOUT_SECONDS
        while True:
            try:
                with urllib.request.urlopen(
                    urllib.request.Request(url, data, headers, method=method), timeout=5
                ) as answer:
                    return answer.status, answer.read()
            except urllib.error.HTTPError as error:
                if error.code != 503:
                    return error.code, error.read()
            except OSError:
                assert self.process.poll() is None, f"the process exited with status {self.process.returncode}"
            assert time.monotonic() < deadline, f"no response other than 503 within {SERVING_TIMEOUT_SECONDS} s"
            time.sleep(0.02)


@contextlib.contextmanager
def running_core(folder: Path) -> Iterator[CoreProcess]:
    """Run a control plane process on a data folder, and terminate it with SIGTERM."""
    ports = free_ports(3)
    settings_file = folder.with_suffix(".json")
    settings_file.write_bytes(settings(folder, ports))
    command = [sys.executable, str(ROOT / "rowanshift.py"), "controlplane", "--boot", str(settings_file)]
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        yield CoreProcess(process, ports[0])
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("name", FOLDERS)
def test_a_core_machine_serves_from_the_data_folder(name: str, tmp_path: Path) -> None:
    folder = copy_data_folder(name, tmp_path)
    packed = decode_durable_state(read_stored_record(folder)).state
    config = unpack(packed).config
    acknowledged = (200, b'{"revision":%d}' % REVISIONS[name])
    with running_core(folder) as core:
        assert core.call("GET", "/config") == (200, config)
        for order in ORDERS:
            if order["body"]["revision"] <= REVISIONS[name]:  # accepted before the restart, so acknowledged again
                assert core.call(order["method"], "/config", order["body"], order["ifMatch"]) == acknowledged
        conflicting_body = ORDERS[0]["body"] | {"tenants": []}
        assert core.call("PUT", "/config", conflicting_body, "0")[0] == 412
        status = json.loads(core.call("GET", "/status")[1])
        assert (status["versions"], status["revision"]) == (VERSIONS[name], REVISIONS[name])
        assert status["epoch"] > EPOCH
        assert core.call("GET", "/config") == (200, config)
    assert decode_durable_state(read_stored_record(folder)).state == packed


def test_a_change_rewrites_a_control_state_of_format_1_in_format_2(tmp_path: Path) -> None:
    folder = copy_data_folder("format-1", tmp_path)
    with running_core(folder) as core:
        assert core.call("POST", "/version-put", {"model": "embed-model", "revision": 9})[0] == 200
        patch_order = ORDERS[2]
        assert core.call("PATCH", "/config", patch_order["body"], patch_order["ifMatch"]) == (200, b'{"revision":7}')
    packed = decode_durable_state(read_stored_record(folder)).state
    assert packed == decode_durable_state(read_stored_record(copy_data_folder("format-2", tmp_path))).state
