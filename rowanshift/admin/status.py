"""The command ``status``: the role, epoch and lease of each core machine."""

from __future__ import annotations

from collections.abc import Sequence

import orjson

from rowanshift.admin.client import run_with_client
from rowanshift.admin.core_status import CoreStatus, MachineReport, fetch_reports
from rowanshift.admin.output import NO_VALUE, CommandOutput, format_table

HEADER = ("machine", "name", "role", "epoch", "primary", "in sync", "lease s", "save ms", "revision", "note")
NO_PRIMARY_HINT = "0.0.0.0"
MILLISECONDS_PER_SECOND = 1000


def status(control_addresses: str, as_json: bool) -> CommandOutput:
    """Show the status of every core machine, as a table or as JSON documents.

    The command succeeds if a machine is primary.
    """
    reports = run_with_client(control_addresses, fetch_reports)
    has_primary = any(report.status is not None and report.status.primary for report in reports)
    if as_json:
        documents = {"machines": [report.document for report in reports]}
        return CommandOutput([orjson.dumps(documents, option=orjson.OPT_INDENT_2).decode()], has_primary)
    lines = format_table(HEADER, [table_row(report) for report in reports])
    if not has_primary:
        lines.append("no primary")
    return CommandOutput(lines, has_primary)


def table_row(report: MachineReport) -> Sequence[object]:
    """The cells of one machine, in the order of ``HEADER``."""
    status = report.status
    if status is None:
        unknown = [NO_VALUE] * (len(HEADER) - 4)
        return (report.machine, NO_VALUE, "no answer", *unknown, report.error)
    return (
        status.machine,
        status.name,
        replica_role(status),
        status.epoch,
        NO_VALUE if status.primary_hint == NO_PRIMARY_HINT else status.primary_hint,
        ",".join(status.in_sync) or NO_VALUE,
        status.lease_s,
        f"{mean_save_milliseconds(status):.1f}",
        NO_VALUE if status.revision is None else status.revision,
        "its disk was lost" if status.amnesic else "",
    )


def replica_role(status: CoreStatus) -> str:
    """The machine's role in the latest epoch known to it."""
    if status.primary:
        return "primary"
    if status.machine in status.in_sync:
        return "backup"
    return "witness" if status.machine in status.witnesses else "spare"


def mean_save_milliseconds(status: CoreStatus) -> float:
    """The mean duration of a write to the machine's disk; 0 if there was none."""
    return MILLISECONDS_PER_SECOND * status.save_seconds / status.saves if status.saves else 0.0
