"""Failure domains: the worst tolerated loss, and a placement of replicas and witnesses that survives it.

A loss takes regions, zones and single machines at the same time, at most as many of each as the setting
``faultTolerance`` allows.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from typing import NamedTuple

from rowanshift.controlplane.replication.quorum import majority

MAX_WITNESSES = 15  # limit for adding witnesses so that a majority survives the loss of zones and regions


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """The tolerated loss: this many regions, zones and single machines, all at the same time."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def domains(self) -> bool:
        """Whether the tolerated loss includes whole zones or regions."""
        return bool(self.zones or self.regions)

    @property
    def total(self) -> int:
        """The number of replicas that may be lost if each is in a separate zone and region."""
        return self.machines + self.zones + self.regions


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A machine's location, and whether it is a quorum member: a machine that the fault tolerance covers."""

    zone: str = ""
    region: str = ""
    quorum_member: bool = True


UNKNOWN_FAILURE_DOMAIN = FailureDomain()  # assumed for machines without a report, which thus share one zone
FailureDomains = Mapping[int, FailureDomain]  # by machine


class SharedDomains(NamedTuple):
    """The numbers of other machines in the same region and in the same zone as a machine."""

    in_region: int
    in_zone: int


def worst_case_losses(members: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """The number of members lost in the worst tolerated loss."""
    domains = [failure_domains.get(member, UNKNOWN_FAILURE_DOMAIN) for member in members]
    regions = {domain.region for domain in domains}
    return max(
        _losses_with_regions(lost_regions, domains, tolerance)
        for lost_regions in combinations(regions, min(tolerance.regions, len(regions)))
    )


def _losses_with_regions(
    lost_regions: Collection[str], domains: Sequence[FailureDomain], tolerance: FaultTolerance
) -> int:
    """The number lost with these regions, the largest zones elsewhere, and single machines among the rest."""
    remaining = [domain for domain in domains if domain.region not in lost_regions]
    zone_sizes = Counter((domain.region, domain.zone) for domain in remaining)
    lost_with_zones = sum(size for _, size in zone_sizes.most_common(tolerance.zones)) if tolerance.zones else 0
    lost_machines = min(tolerance.machines, len(remaining) - lost_with_zones)
    return len(domains) - len(remaining) + lost_with_zones + lost_machines


def surviving_replicas(members: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """The number of members that survive the worst tolerated loss."""
    return len(members) - worst_case_losses(members, failure_domains, tolerance)


def vote_margin(witnesses: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """The number of witnesses beyond a majority that survive the worst loss; negative if no majority survives."""
    return surviving_replicas(witnesses, failure_domains, tolerance) - majority(witnesses)


def choose_backups(
    me: int, preferred: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> list[int]:
    """The fewest machines that, together with ``me``, keep a replica alive in the worst loss, preferred ones first.

    Where no choice achieves that, returns as many as would suffice if each were in a separate zone and region.
    """
    chosen: list[int] = []
    remaining = list(preferred)
    while remaining and surviving_replicas([me, *chosen], failure_domains, tolerance) < 1:
        best = min(remaining, key=lambda machine: _shared_domains(machine, [me, *chosen], failure_domains, tolerance))
        remaining.remove(best)
        chosen.append(best)
    if surviving_replicas([me, *chosen], failure_domains, tolerance) < 1:
        return chosen[: tolerance.total]
    return chosen


def _shared_domains(
    machine: int, others: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> SharedDomains:
    """Count the others in its region and in its zone; 0 for domains that the tolerance doesn't lose as a whole."""
    own = failure_domains.get(machine, UNKNOWN_FAILURE_DOMAIN)
    domains = [failure_domains.get(other, UNKNOWN_FAILURE_DOMAIN) for other in others]
    in_region = sum(other.region == own.region for other in domains) if tolerance.regions else 0
    in_zone = sum((other.region, other.zone) == (own.region, own.zone) for other in domains)
    return SharedDomains(in_region, in_zone if tolerance.domains else 0)


def witnesses_with_spare(
    witnesses: Collection[int], spares: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """The witnesses plus the spare with the highest vote margin; the first spare of several equal ones."""
    best = max(spares, key=lambda spare: vote_margin([*witnesses, spare], failure_domains, tolerance))
    return tuple(sorted((*witnesses, best)))


def improved_witnesses(
    witnesses: Sequence[int], spares: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """A witness set with a higher vote margin, obtained by exchanging or adding one witness.

    Empty if a majority of the current set survives the worst loss, or if no change improves it.
    """
    margin = vote_margin(witnesses, failure_domains, tolerance)
    if margin >= 0:
        return ()
    exchanged = [tuple(sorted({*witnesses, spare} - {witness})) for witness in witnesses for spare in spares]
    best = max(exchanged, key=lambda group: vote_margin(group, failure_domains, tolerance), default=())
    if best and vote_margin(best, failure_domains, tolerance) > margin:
        return best
    if len(witnesses) >= MAX_WITNESSES or not spares:
        return ()
    return witnesses_with_spare(witnesses, spares, failure_domains, tolerance)


def can_be_tolerated(tolerance: FaultTolerance, regions_by_zone: Mapping[str, str]) -> bool:
    """Whether some number of machines per zone, the same in each, lets a majority survive the worst loss."""
    if not tolerance.domains:
        return True
    for machines_per_zone in range(1, MAX_WITNESSES + 1):
        domains = [FailureDomain(zone, region) for zone, region in regions_by_zone.items()] * machines_per_zone
        machines = range(len(domains))
        if domains and vote_margin(machines, dict(enumerate(domains)), tolerance) >= 0:
            return True
    return False
