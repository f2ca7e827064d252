"""The command ``controlplane check DIR``: what a core machine's data folder contains; nothing is changed."""

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
    """Describe the store in a folder, or in the folder within it where a core machine keeps its store.

    It succeeds if the store can be used and nothing in it is damaged. Raises ``UnusableInput`` if there is none.
    """
    if not (folder / DATA_FILE).is_file() and (folder / STORE_DIRECTORY / DATA_FILE).is_file():
        folder = folder / STORE_DIRECTORY
    if not (folder / DATA_FILE).is_file():
        raise UnusableInput(f"{folder}: no store here ({DATA_FILE} is absent)")
    report = check_store(folder, describe_record)
    return CommandOutput(report.text.splitlines(), report.sound)


def describe_record(record: bytes) -> str:
    """Lines about the newest record of a store. Raises ``DamagedRecord`` if it can't be read."""
    try:
        durable = decode_durable_state(record)
        if not isinstance(durable, DurableState):
            raise MalformedRecord(f"{type(durable).__name__} where a DurableState belongs")
        control_state = unpack(durable.state)
    except (MalformedRecord, BadControlState) as error:
        raise DamagedRecord(f"the record can't be read: {error}") from error
    return "\n".join(describe_durable_state(durable, control_state))


def describe_durable_state(durable: DurableState, control_state: ControlState) -> list[str]:
    """Lines about the promised and accepted epochs, the configuration and the announced versions."""
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
    """The IPs of machines, with commas between."""
    return ", ".join(map(ip_from_machine_id, machine_ids)) or "none"
