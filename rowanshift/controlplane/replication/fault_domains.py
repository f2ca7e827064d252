"""Which machines a loss that is to be borne may take at once, and how copies and votes are spread against it.

A loss takes regions, zones and single machines together, as ``faultTolerance`` in the settings says. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from rowanshift.controlplane.replication.quorum import majority

MAX_WITNESSES = 15  # that zones and regions may make necessary


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """What may be lost at once: so many machines, zones and regions, all of them together."""

    machines: int = 0
    zones: int = 0
    regions: int = 0

    @property
    def domains(self) -> bool:
        """Whether more than single machines may go at once."""
        return bool(self.zones or self.regions)

    @property
    def total(self) -> int:
        """Copies that may go where each is in a zone and a region of its own."""
        return self.machines + self.zones + self.regions


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """Where a machine is, and whether it is one of those of which the fault tolerance speaks."""

    zone: str = ""
    region: str = ""
    quorum_member: bool = True


UNKNOWN_FAILURE_DOMAIN = FailureDomain()  # of machines that have not said: they are taken to share one zone
FailureDomains = Mapping[int, FailureDomain]  # by machine


def worst_case_losses(members: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """How many of the members the worst loss takes."""
    domains_of = [failure_domains.get(member, UNKNOWN_FAILURE_DOMAIN) for member in members]
    regions = {failure_domain.region for failure_domain in domains_of}
    return max(
        _lost_with(regions_lost, domains_of, tolerance)
        for regions_lost in combinations(regions, min(tolerance.regions, len(regions)))
    )


def _lost_with(
    regions_lost: Collection[str], failure_domains: Sequence[FailureDomain], tolerance: FaultTolerance
) -> int:
    """How many go where it takes these regions, and then the fullest zones and any machines of the others."""
    left = [failure_domain for failure_domain in failure_domains if failure_domain.region not in regions_lost]
    zones = Counter((failure_domain.region, failure_domain.zone) for failure_domain in left)
    in_zones = sum(size for _, size in zones.most_common(tolerance.zones)) if tolerance.zones else 0
    return len(failure_domains) - len(left) + in_zones + min(tolerance.machines, len(left) - in_zones)


def surviving_replicas(members: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """How many of the members the worst loss leaves."""
    return len(members) - worst_case_losses(members, failure_domains, tolerance)


def vote_margin(witnesses: Collection[int], failure_domains: FailureDomains, tolerance: FaultTolerance) -> int:
    """How many witnesses beyond a majority the worst loss leaves; below 0: it takes the majority."""
    return surviving_replicas(witnesses, failure_domains, tolerance) - majority(witnesses)


def choose_backups(
    me: int, preferred: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> list[int]:
    """As few of the machines, preferred ones first, as leave a copy after the worst loss, this machine's counted.

    Where no choice leaves one, as many as would do if each were in a zone and a region of its own.
    """
    chosen: list[int] = []
    remaining = list(preferred)
    while remaining and surviving_replicas([me, *chosen], failure_domains, tolerance) < 1:
        best = min(remaining, key=lambda machine: _in_same_domains(machine, [me, *chosen], failure_domains, tolerance))
        remaining.remove(best)
        chosen.append(best)
    if surviving_replicas([me, *chosen], failure_domains, tolerance) < 1:
        return chosen[: tolerance.total]
    return chosen


def _in_same_domains(
    machine: int, others: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> tuple[int, int]:
    """How many of the others share its region and its zone, as far as such may be lost."""
    failure_domain = failure_domains.get(machine, UNKNOWN_FAILURE_DOMAIN)
    domains_of = [failure_domains.get(other, UNKNOWN_FAILURE_DOMAIN) for other in others]
    in_region = sum(other.region == failure_domain.region for other in domains_of) if tolerance.regions else 0
    in_zone = sum((other.region, other.zone) == (failure_domain.region, failure_domain.zone) for other in domains_of)
    return in_region, in_zone if tolerance.domains else 0


def witnesses_with_spare(
    witnesses: Collection[int], spares: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """The witnesses with one more: the first of the spares of which none leaves more."""
    best = max(spares, key=lambda spare: vote_margin([*witnesses, spare], failure_domains, tolerance))
    return tuple(sorted((*witnesses, best)))


def improved_witnesses(
    witnesses: Sequence[int], spares: Sequence[int], failure_domains: FailureDomains, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """Witnesses that bear more of the worst loss, by one exchange or one more; empty if these bear it or none do."""
    if vote_margin(witnesses, failure_domains, tolerance) >= 0:
        return ()
    exchanged = [tuple(sorted({*witnesses, spare} - {witness})) for witness in witnesses for spare in spares]
    best = max(exchanged, key=lambda group: vote_margin(group, failure_domains, tolerance), default=())
    if best and vote_margin(best, failure_domains, tolerance) > vote_margin(witnesses, failure_domains, tolerance):
        return best
    if len(witnesses) >= MAX_WITNESSES or not spares:
        return ()
    return witnesses_with_spare(witnesses, spares, failure_domains, tolerance)


def can_be_tolerated(tolerance: FaultTolerance, zones: Mapping[str, str]) -> bool:
    """Whether any number of machines in these zones (name to region), as many in each, could bear the worst loss."""
    if not tolerance.domains:
        return True
    for a_zone in range(1, MAX_WITNESSES + 1):
        failure_domains = [FailureDomain(zone, region) for zone, region in zones.items() for _ in range(a_zone)]
        machines = range(len(failure_domains))
        if failure_domains and vote_margin(machines, dict(enumerate(failure_domains)), tolerance) >= 0:
            return True
    return False
