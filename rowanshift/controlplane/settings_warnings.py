"""What the settings of a core machine promise and can't be kept, as far as one machine's settings show it."""

from __future__ import annotations

from collections.abc import Iterator

from rowanshift.controlplane.replication.failure_domains import FaultTolerance, can_be_tolerated
from rowanshift.process.node_settings import NodeSettingsFile


def fault_tolerance_warnings(file: NodeSettingsFile) -> Iterator[str]:
    """Each reason why ``faultTolerance`` may not be kept, as a line for operators."""
    settings = file.fault_tolerance
    tolerance = FaultTolerance(settings.machines, settings.zones, settings.regions)
    regions_by_zone = file.zones or {file.zone: file.region}
    if not can_be_tolerated(tolerance, regions_by_zone):
        yield (
            f"faultTolerance: the loss of {settings.machines} machines, {settings.zones} zones and {settings.regions} "
            f"regions at once leaves no majority in {len(regions_by_zone)} zones of "
            f"{len({*regions_by_zone.values()})} regions, wherever machines are"
        )
    if tolerance.total and not file.quorum_member:
        yield (
            "quorumMember: false, so that faultTolerance doesn't speak of this machine; if it is so on all core "
            "machines, none of them may be lost"
        )
