"""The command ``duties``: the singleton tasks of the primary and the rollout of announced versions."""

from __future__ import annotations

from collections.abc import Iterator

from rowanshift.admin.client import run_with_client
from rowanshift.admin.core_status import CoreStatus, ListedServer, fetch_reports, primary_status
from rowanshift.admin.output import CommandOutput, format_table
from rowanshift.wire.control_updates import SERVER_DRAINING, SERVER_LOADING

NO_MACHINE = "nobody now"


def singleton_tasks(control_addresses: str) -> CommandOutput:
    """Show which machine reads the platform's list and orders loads, and the rollout of each announced version."""
    status = primary_status(run_with_client(control_addresses, fetch_reports))
    lines = task_table(status)
    lines.append(lease_line(status))
    loading = [server.id for server in status.servers if server.state & SERVER_LOADING]
    lines.append(f"loading: {', '.join(loading) or 'none'}")
    for model, version in sorted((status.versions or {}).items()):
        lines.append(rollout_line(model, version, status.servers))
    lines += longest_lag_lines(status)
    return CommandOutput(lines)


def task_table(status: CoreStatus) -> list[str]:
    """A table with a row per singleton task."""
    rows = [
        ("reads the list", status.machine if status.reads_list else NO_MACHINE, f"{status.calls} calls"),
        ("orders", status.machine if status.may_order else NO_MACHINE, f"{status.orders} orders"),
    ]
    return format_table(("duty", "held by", "so far"), rows)


def lease_line(status: CoreStatus) -> str:
    """Describe the fencing token (the epoch), the remaining lease time and the size of the list."""
    listed = f"{len(status.servers)} servers listed" if status.list_read else "the list was not read yet"
    return f"fence {status.epoch}; the lease holds for {status.lease_s} s; {listed}"


def rollout_line(model: str, version: int, servers: list[ListedServer]) -> str:
    """Describe how many servers with the model have the version, and which have an earlier one."""
    serving = [server for server in servers if model in server.versions]
    behind = [server for server in serving if server.versions[model] < version]
    line = f"{model} version {version}: {len(serving) - len(behind)} of {len(serving)} servers"
    if not behind:
        return line
    return f"{line}; behind: {', '.join(describe_server_behind(server, model) for server in behind)}"


def describe_server_behind(server: ListedServer, model: str) -> str:
    """A server's id and the version that it has."""
    draining = ", draining" if server.state & SERVER_DRAINING else ""
    return f"{server.id} ({server.versions[model]}{draining})"


def longest_lag_lines(status: CoreStatus) -> Iterator[str]:
    """A line about the server that has been behind longest, which the document lists first, if there is one."""
    if status.behind:
        longest = status.behind[0]
        yield f"longest behind: {longest.id}, for {longest.lacks_for_s} s"
