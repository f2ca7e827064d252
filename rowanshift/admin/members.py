"""The command ``members``: the routers that hold a lease."""

from __future__ import annotations

from rowanshift.admin.client import run_with_client
from rowanshift.admin.core_status import fetch_reports, ip_sort_key, primary_status
from rowanshift.admin.output import CommandOutput, format_table


def members(control_addresses: str) -> CommandOutput:
    """Show the routers that hold a lease, and the seconds since the primary last received a message from each."""
    status = primary_status(run_with_client(control_addresses, fetch_reports))
    ages = status.member_age_s
    rows = [(ip, f"{ages[ip]:.1f}") for ip in sorted(ages, key=ip_sort_key)]
    lines = format_table(("router", "heard s ago"), rows)
    return CommandOutput([*lines, f"{len(ages)} routers hold a lease of {status.machine}"])
