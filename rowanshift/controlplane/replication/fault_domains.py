"""Which machines a loss that is to be borne may take at once, and how copies and votes are spread against it.

A loss takes regions, zones and single machines together, as ``faultTolerance`` in the settings says. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from rowanshift.controlplane.replication.quorum import majority

MOST_WITNESSES = 15  # that zones and regions may make necessary


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
    counts: bool = True


UNKNOWN_FAILURE_DOMAIN = FailureDomain()  # of machines that have not said: they are taken to share one zone
Places = Mapping[int, FailureDomain]  # by machine


def most_lost(members: Collection[int], places: Places, tolerance: FaultTolerance) -> int:
    """How many of the members the worst loss takes."""
    places_of = [places.get(member, UNKNOWN_FAILURE_DOMAIN) for member in members]
    regions = {place.region for place in places_of}
    return max(
        _lost_with(regions_lost, places_of, tolerance)
        for regions_lost in combinations(regions, min(tolerance.regions, len(regions)))
    )


def _lost_with(regions_lost: Collection[str], places: Sequence[FailureDomain], tolerance: FaultTolerance) -> int:
    """How many go where it takes these regions, and then the fullest zones and any machines of the others."""
    left = [place for place in places if place.region not in regions_lost]
    zones = Counter((place.region, place.zone) for place in left)
    in_zones = sum(size for _, size in zones.most_common(tolerance.zones)) if tolerance.zones else 0
    return len(places) - len(left) + in_zones + min(tolerance.machines, len(left) - in_zones)


def copies_left(members: Collection[int], places: Places, tolerance: FaultTolerance) -> int:
    """How many of the members the worst loss leaves."""
    return len(members) - most_lost(members, places, tolerance)


def vote_margin(witnesses: Collection[int], places: Places, tolerance: FaultTolerance) -> int:
    """How many witnesses beyond a majority the worst loss leaves; below 0: it takes the majority."""
    return copies_left(witnesses, places, tolerance) - majority(witnesses)


def choose_backups(me: int, preferred: Sequence[int], places: Places, tolerance: FaultTolerance) -> list[int]:
    """As few of the machines, preferred ones first, as leave a copy after the worst loss, this machine's counted.

    Where no choice leaves one, as many as would do if each were in a zone and a region of its own.
    """
    chosen: list[int] = []
    remaining = list(preferred)
    while remaining and copies_left([me, *chosen], places, tolerance) < 1:
        best = min(remaining, key=lambda machine: _in_same_domains(machine, [me, *chosen], places, tolerance))
        remaining.remove(best)
        chosen.append(best)
    if copies_left([me, *chosen], places, tolerance) < 1:
        return chosen[: tolerance.total]
    return chosen


def _in_same_domains(machine: int, others: Sequence[int], places: Places, tolerance: FaultTolerance) -> tuple[int, int]:
    """How many of the others share its region and its zone, as far as such may be lost."""
    place = places.get(machine, UNKNOWN_FAILURE_DOMAIN)
    places_of = [places.get(other, UNKNOWN_FAILURE_DOMAIN) for other in others]
    in_region = sum(other.region == place.region for other in places_of) if tolerance.regions else 0
    in_zone = sum((other.region, other.zone) == (place.region, place.zone) for other in places_of)
    return in_region, in_zone if tolerance.domains else 0


def choose_witness(
    witnesses: Collection[int], spares: Sequence[int], places: Places, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """The witnesses with one more: the first of the spares of which none leaves more."""
    best = max(spares, key=lambda spare: vote_margin([*witnesses, spare], places, tolerance))
    return tuple(sorted((*witnesses, best)))


def better_witnesses(
    witnesses: Sequence[int], spares: Sequence[int], places: Places, tolerance: FaultTolerance
) -> tuple[int, ...]:
    """Witnesses that bear more of the worst loss, by one exchange or one more; empty if these bear it or none do."""
    if vote_margin(witnesses, places, tolerance) >= 0:
        return ()
    exchanged = [tuple(sorted({*witnesses, spare} - {witness})) for witness in witnesses for spare in spares]
    best = max(exchanged, key=lambda group: vote_margin(group, places, tolerance), default=())
    if best and vote_margin(best, places, tolerance) > vote_margin(witnesses, places, tolerance):
        return best
    if len(witnesses) >= MOST_WITNESSES or not spares:
        return ()
    return choose_witness(witnesses, spares, places, tolerance)


def bearable(tolerance: FaultTolerance, zones: Mapping[str, str]) -> bool:
    """Whether any number of machines in these zones (name to region), as many in each, could bear the worst loss."""
    if not tolerance.domains:
        return True
    for a_zone in range(1, MOST_WITNESSES + 1):
        places = [FailureDomain(zone, region) for zone, region in zones.items() for _ in range(a_zone)]
        machines = range(len(places))
        if places and vote_margin(machines, dict(enumerate(places)), tolerance) >= 0:
            return True
    return False
