"""The command ``controlplane check DIR``: describes a core machine's data directory without changing it."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from rowanshift.admin.errors import UnusableInput
from rowanshift.admin.output import CommandOutput
from rowanshift.controlplane.control_state import ControlState, unpack
from rowanshift.controlplane.durable_state import decode_durable_state
from rowanshift.controlplane.errors import BadControlState
from rowanshift.controlplane.replication import DurableState
from rowanshift.controlplane.store import DATA_FILE, STORE_DIRECTORY, DamagedRecord
from rowanshift.controlplane.store_check import check_store
from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.machine_ids import ip_from_machine_id


def check_data_folder(folder: Path) -> CommandOutput:
    """Describe the store in a directory, or in the subdirectory where a core machine keeps its store.

    The command succeeds if the store is usable and undamaged. Raises ``UnusableInput`` if there is no store.
    """
    if not (folder / DATA_FILE).is_file() and (folder / STORE_DIRECTORY / DATA_FILE).is_file():
        folder = folder / STORE_DIRECTORY
    if not (folder / DATA_FILE).is_file():
        raise UnusableInput(f"{folder}: no store here ({DATA_FILE} is absent)")
    report = check_store(folder, describe_record)
    return CommandOutput(report.text.splitlines(), report.sound)


def describe_record(record: bytes) -> str:
    """Describe the newest record of a store, a line per item. Raises ``DamagedRecord`` if it can't be decoded."""
    try:
        durable = decode_durable_state(record)
        if not isinstance(durable, DurableState):
            raise MalformedRecord(f"{type(durable).__name__} where a DurableState belongs")
        control_state = unpack(durable.state)
    except (MalformedRecord, BadControlState) as error:
        raise DamagedRecord(f"the record can't be decoded: {error}") from error
    return "\n".join(describe_durable_state(durable, control_state))


def describe_durable_state(durable: DurableState, control_state: ControlState) -> list[str]:
    """Describe the promised and accepted epochs, the configuration and the announced versions."""
    accepted = durable.accepted
    lost = "; has lost its disk and not recovered yet" if durable.amnesic else ""
    primary = ip_from_machine_id(accepted.primary) if accepted.primary else "none"
    members = f"in sync: {format_machines(accepted.in_sync)}; witnesses: {format_machines(accepted.witnesses)}"
    if accepted.former:
        members += f"; former witnesses: {format_machines(accepted.former)}"
    configuration = "no configuration yet"
    if control_state.revision:
        configuration = f"revision {control_state.revision}, {len(control_state.config)} bytes"
    return [
        f"promised {durable.promised}{lost}",
        f"epoch {accepted.epoch}, primary {primary}",
        members,
        f"state of epoch {durable.version.epoch}, sequence {durable.version.sequence}: {configuration}",
        *(f"named: {model} version {version}" for model, version in sorted(control_state.versions.items())),
    ]


def format_machines(machine_ids: Iterable[int]) -> str:
    """The IPs of machines, separated by commas."""
    return ", ".join(map(ip_from_machine_id, machine_ids)) or "none"
