"""Warnings about guarantees in a core machine's settings that cannot be met, as far as these settings show it."""

from __future__ import annotations

from collections.abc import Iterator

from rowanshift.controlplane.replication.failure_domains import FaultTolerance, can_be_tolerated
from rowanshift.process.node_settings import NodeSettingsFile


def fault_tolerance_warnings(file: NodeSettingsFile) -> Iterator[str]:
    """Yield a message for operators for each reason why ``faultTolerance`` may not be met."""
    settings = file.fault_tolerance
    tolerance = FaultTolerance(settings.machines, settings.zones, settings.regions)
    regions_by_zone = file.zones or {file.zone: file.region}
    if not can_be_tolerated(tolerance, regions_by_zone):
        yield (
            f"faultTolerance: after losing {settings.machines} machines, {settings.zones} zones and {settings.regions} "
            f"regions at once, no placement of machines in {len(regions_by_zone)} zones and "
            f"{len({*regions_by_zone.values()})} regions leaves a majority"
        )
    if tolerance.total and not file.quorum_member:
        yield (
            "quorumMember: false, so this machine does not count for faultTolerance; if it is false on all core "
            "machines, no machine may fail"
        )
