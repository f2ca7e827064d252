"""The command ``coordination``: the replicas of the coordination state and the contents of its primary."""

from __future__ import annotations

from rowanshift.admin.client import run_with_client
from rowanshift.admin.core_status import CoordinationReport, MachineReport, fetch_reports
from rowanshift.admin.output import NO_VALUE, CommandOutput, format_table

HEADER = ("machine", "role", "epoch", "watches", "calls", "calls a batch", "saves")


def coordination_status(control_addresses: str) -> CommandOutput:
    """Show each machine's coordination replica. The command fails if no machine is the primary."""
    reports = run_with_client(control_addresses, fetch_reports)
    lines = format_table(HEADER, [_row(report) for report in reports])
    primaries = [
        replica for report in reports if (replica := _coordination_report(report)) is not None and replica.primary
    ]
    if not primaries:
        return CommandOutput([*lines, "no machine is primary of the coordination state"], succeeded=False)
    newest = max(primaries, key=lambda replica: replica.epoch)
    return CommandOutput([*lines, _describe_contents(newest)])


def _coordination_report(report: MachineReport) -> CoordinationReport | None:
    return None if report.status is None else report.status.coordination


def _row(report: MachineReport) -> tuple[object, ...]:
    replica = _coordination_report(report)
    if replica is None:
        reason = report.error or "no application calls here"
        return (report.machine, reason, *[NO_VALUE] * (len(HEADER) - 2))
    calls_a_batch = f"{replica.calls / replica.batches:.1f}" if replica.batches else NO_VALUE
    return (
        report.machine,
        _role(replica),
        replica.epoch,
        replica.waiting_watches,
        replica.calls,
        calls_a_batch,
        replica.saves,
    )


def _role(replica: CoordinationReport) -> str:
    if replica.primary:
        return "primary"
    return "amnesic" if replica.amnesic else "replica"


def _describe_contents(primary: CoordinationReport) -> str:
    return (
        f"{primary.locks} locks, {primary.numbers} names of numbers, {primary.keys} keys in {primary.groups} groups, "
        f"{primary.puts_kept} puts kept, {primary.state_bytes} bytes; in sync: {', '.join(primary.in_sync)}"
    )
