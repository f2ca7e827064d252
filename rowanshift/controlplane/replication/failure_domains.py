"""Failure domains: which machines the worst tolerated loss takes, and how replicas and witnesses are spread against it.

A loss takes regions, zones and single machines at once, as many of each as ``faultTolerance`` in the settings says.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations
from typing import NamedTuple

from rowanshift.controlplane.replication.quorum import majority

MAX_WITNESSES = 15  # up to which witnesses are added so that a majority survives the loss of zones and regions


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """What may be lost at once: this many regions, zones and single machines, all of them together."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def domains(self) -> bool:
        """Whether zones or regions may be lost, not machines alone."""
        return bool(self.zones or self.regions)

    @property
    def total(self) -> int:
        """How many replicas may be lost if each is in a zone and a region of its own."""
        return self.machines + self.zones + self.regions


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Where a machine is, and whether it is a quorum member: one of those that the fault tolerance speaks of."""

    zone: str = ""
    region: str = ""
    quorum_member: bool = True


UNKNOWN_FAILURE_DOMAIN = FailureDomain()  # of machines that have not reported theirs: they are taken to share one zone
FailureDomains = Mapping[int, FailureDomain]  # by machine


class SharedDomains(NamedTuple):
    """How many of other machines share a machine's region and its zone."""

    in_region: int
    in_zone: int


def worst_case_losses(members: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """How many of the members the worst loss takes."""
    domains = [failure_domains.get(member, UNKNOWN_FAILURE_DOMAIN) for member in members]
    regions = {domain.region for domain in domains}
    return max(
        _losses_with_regions(lost_regions, domains, tolerance)
        for lost_regions in combinations(regions, min(tolerance.regions, len(regions)))
    )


def _losses_with_regions(
    lost_regions: Collection[str], domains: Sequence[FailureDomain], tolerance: FaultTolerance
) -> int:
    """How many are lost with these regions, the fullest zones of the others, and any machines left there."""
    remaining = [domain for domain in domains if domain.region not in lost_regions]
    zone_sizes = Counter((domain.region, domain.zone) for domain in remaining)
    lost_with_zones = sum(size for _, size in zone_sizes.most_common(tolerance.zones)) if tolerance.zones else 0
    lost_machines = min(tolerance.machines, len(remaining) - lost_with_zones)
    return len(domains) - len(remaining) + lost_with_zones + lost_machines


def surviving_replicas(members: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """How many of the members survive the worst loss."""
    return len(members) - worst_case_losses(members, failure_domains, tolerance)


def vote_margin(witnesses: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """How many witnesses beyond a majority survive the worst loss. Below 0 no majority survives it."""
    return surviving_replicas(witnesses, failure_domains, tolerance) - majority(witnesses)


def choose_backups(
    me: int, preferred: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> list[int]:
    """The fewest machines, preferred ones first, with which a replica survives the worst loss; ``me`` has one as well.

    Where no choice achieves that, as many as would if each were in a zone and a region of its own.
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
    """How many of the others share its region and its zone. Domains that can't be lost as a whole count as 0."""
    own = failure_domains.get(machine, UNKNOWN_FAILURE_DOMAIN)
    domains = [failure_domains.get(other, UNKNOWN_FAILURE_DOMAIN) for other in others]
    in_region = sum(other.region == own.region for other in domains) if tolerance.regions else 0
    in_zone = sum((other.region, other.zone) == (own.region, own.zone) for other in domains)
    return SharedDomains(in_region, in_zone if tolerance.domains else 0)


def witnesses_with_spare(
    witnesses: Collection[int], spares: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """The witnesses and the spare with which most survive the worst loss; the first of several."""
    best = max(spares, key=lambda spare: vote_margin([*witnesses, spare], failure_domains, tolerance))
    return tuple(sorted((*witnesses, best)))


def improved_witnesses(
    witnesses: Sequence[int], spares: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """Witnesses of which more survive the worst loss, by one exchange or addition.

    Empty if a majority of the present ones survives it, or if no change helps.
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
    """Whether a majority survives the worst loss with some number of machines, the same in each of these zones."""
    if not tolerance.domains:
        return True
    for machines_per_zone in range(1, MAX_WITNESSES + 1):
        domains = [FailureDomain(zone, region) for zone, region in regions_by_zone.items()] * machines_per_zone
        machines = range(len(domains))
        if domains and vote_margin(machines, dict(enumerate(domains)), tolerance) >= 0:
            return True
    return False
