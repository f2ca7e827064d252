"""Whether requests began on older weights than their bound allows: VERSION, over the records of a soak run.

The bound counts in calm stretches alone: no core machine, no link and no server was in trouble, nor up to ``CONTACT``
before, and the soak's own process was in time. Requests of a router that was told to stop, killed or paused don't count
from then until ``CONTACT`` after it is back.
"""

from collections import defaultdict

from rowanshift.invariants.breaches import Breach, Facts, by_id, of_kind
from rowanshift.invariants.facts import Asked
from rowanshift.invariants.server_rules import version_in_one_stretch, version_sums
from rowanshift.simulation.fleet_settings import CONTACT, VERSION, VERSION_ALL
from rowanshift.soak.plan import CORE_NAME_PREFIX, FaultKind
from rowanshift.soak.records import Lagged, LoadEnded, ProcessStarted, TroubleMet

Intervals = list[tuple[float, float]]  # seconds, from and to


def undisturbed_intervals(events: Facts) -> Intervals:
    """The stretches of the load in which nothing but routers was in trouble, for ``CONTACT`` at least."""
    disturbed = [(fault.at, fault.until + CONTACT) for fault in of_kind(events, TroubleMet) if _disturbs(fault)]
    disturbed += [(one.at - one.seconds, one.at) for one in of_kind(events, Lagged)]
    disturbed += [(one.at, one.at + CONTACT) for one in of_kind(events, ProcessStarted) if _is_core(one.machine)]
    ends = [one.at for one in of_kind(events, LoadEnded)]
    until = min(ends, default=max((event.at for event in events), default=0.0))
    undisturbed, since = [], 0.0
    for began, ended in sorted(disturbed):
        if began > since:
            undisturbed.append((since, min(began, until)))
        since = max(since, ended)
    return [*undisturbed, (since, until)] if since < until else undisturbed


def _is_core(machine: str) -> bool:
    return machine.startswith(CORE_NAME_PREFIX)


def _disturbs(fault: TroubleMet) -> bool:
    return bool(fault.links) or fault.trouble is FaultKind.WIPE or any(map(_is_core, fault.machines))


def version_violations(events: Facts) -> list[Breach]:
    """VERSION: a request that a router in touch passed on began on an older version, in a calm stretch that has lasted
    for the bound since a newer one was acknowledged, or once such stretches add up to the bound of their sum."""
    undisturbed = undisturbed_intervals(events)
    found = [*version_in_one_stretch(events, VERSION, undisturbed), *version_sums(events, VERSION_ALL, undisturbed)]
    asked = by_id(events, Asked)
    routers = {one.front: one.machine for one in of_kind(events, ProcessStarted) if one.front}
    unreachable = _unreachable_intervals(events)
    violations: dict[tuple[str, ...], Breach] = {}
    for violation in sorted(found, key=lambda violation: violation.at):
        router = routers.get(asked[violation.ids[0]][0].front) if violation.ids[0] in asked else None
        if not any(since <= violation.at <= until for since, until in unreachable.get(router, ())):
            violations.setdefault(violation.ids, violation)
    return [*violations.values()]


def _unreachable_intervals(events: Facts) -> dict[str, Intervals]:
    """When each machine was not in touch, by its own troubles and starts."""
    intervals: dict[str, Intervals] = defaultdict(list)
    for fault in of_kind(events, TroubleMet):
        for machine in fault.machines:
            intervals[machine].append((fault.at, fault.until + CONTACT))
    for started in of_kind(events, ProcessStarted):
        intervals[started.machine].append((started.at, started.at + CONTACT))
    return intervals
