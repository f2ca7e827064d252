"""The command ``coordination``: the replicas of the coordination state, and what its primary holds."""

from __future__ import annotations

from rowanshift.admin.client import run_with_client
from rowanshift.admin.core_status import CoordinationReport, MachineReport, fetch_reports
from rowanshift.admin.output import NO_VALUE, CommandOutput, format_table

HEADER = ("machine", "role", "epoch", "watches", "calls", "calls a batch", "saves")


def coordination_status(control_addresses: str) -> CommandOutput:
    """Show each machine's part in coordination. It fails where no machine is the primary of it."""
    reports = run_with_client(control_addresses, fetch_reports)
    lines = format_table(HEADER, [_row(report) for report in reports])
    primaries = [found for report in reports if (found := _coordination(report)) is not None and found.primary]
    if not primaries:
        return CommandOutput([*lines, "no machine is primary of the coordination state"], succeeded=False)
    newest = max(primaries, key=lambda found: found.epoch)
    return CommandOutput([*lines, _content(newest)])


def _coordination(report: MachineReport) -> CoordinationReport | None:
    return None if report.status is None else report.status.coordination


def _row(report: MachineReport) -> tuple[object, ...]:
    found = _coordination(report)
    if found is None:
        why = report.error or "no application calls here"
        return (report.machine, why, *[NO_VALUE] * (len(HEADER) - 2))
    calls_a_batch = f"{found.calls / found.batches:.1f}" if found.batches else NO_VALUE
    return report.machine, _role(found), found.epoch, found.waiting_watches, found.calls, calls_a_batch, found.saves


def _role(found: CoordinationReport) -> str:
    if found.primary:
        return "primary"
    return "amnesic" if found.amnesic else "replica"


def _content(primary: CoordinationReport) -> str:
    return (
        f"{primary.locks} locks, {primary.numbers} names of numbers, {primary.keys} keys in {primary.groups} groups, "
        f"{primary.puts_kept} puts kept, {primary.state_bytes} bytes; in sync: {', '.join(primary.in_sync)}"
    )
