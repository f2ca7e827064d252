"""What the settings of a core machine promise that can't be kept, as far as one machine's settings show it."""

from collections.abc import Iterator

from rowanshift.controlplane.replication.fault_domains import FaultTolerance, bearable
from rowanshift.process.node_settings import File


def fault_tolerance_doubts(file: File) -> Iterator[str]:
    """Each reason why ``faultTolerance`` may not be kept, as a line for staff."""
    told = file.fault_tolerance
    tolerance = FaultTolerance(told.machines, told.zones, told.regions)
    zones = file.zones or {file.zone: file.region}
    if not bearable(tolerance, zones):
        yield (
            f"faultTolerance: the loss of {told.machines} machines, {told.zones} zones and {told.regions} regions at "
            f"once leaves no majority in {len(zones)} zones of {len({*zones.values()})} regions, wherever machines are"
        )
    if tolerance.total and not file.quorum_member:
        yield (
            "quorumMember: false, so that faultTolerance doesn't speak of this machine; if it is so on all core "
            "machines, none of them may be lost"
        )
