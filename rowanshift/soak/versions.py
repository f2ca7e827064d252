"""The rule VERSION over the recorded events of a soak run: no request begins on older weights than its bound allows.

The bound applies only in undisturbed intervals, in which no fault affected a core machine, a link or a server, nor
within ``CONTACT`` before, and in which the soak process itself was not delayed. Requests of a router that was stopped,
killed, paused or reloaded do not count from then until ``CONTACT`` after the fault is over.
"""

from collections import defaultdict

from rowanshift.invariants.breaches import Facts, Violation, by_id, of_kind
from rowanshift.invariants.facts import Asked
from rowanshift.invariants.server_rules import version_in_one_period, version_sums
from rowanshift.simulation.fleet_settings import CONTACT, VERSION, VERSION_ALL
from rowanshift.soak.plan import CORE_NAME_PREFIX, FaultKind
from rowanshift.soak.records import Lagged, LoadEnded, ProcessStarted, TroubleMet

Intervals = list[tuple[float, float]]  # start and end in seconds


def undisturbed_intervals(events: Facts) -> Intervals:
    """The intervals of the load in which faults affected routers at most. Each begins ``CONTACT`` after any other
    fault or the start of a core machine's process."""
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


def version_violations(events: Facts) -> list[Violation]:
    """VERSION: a request forwarded by a reachable router began on an older version although a newer one had been
    acknowledged for the bound within one undisturbed interval, or for the bound of their sum over several."""
    undisturbed = undisturbed_intervals(events)
    found = [*version_in_one_period(events, VERSION, undisturbed), *version_sums(events, VERSION_ALL, undisturbed)]
    asked = by_id(events, Asked)
    routers = {one.front: one.machine for one in of_kind(events, ProcessStarted) if one.front}
    unreachable = _unreachable_intervals(events)
    violations: dict[tuple[str, ...], Violation] = {}
    for violation in sorted(found, key=lambda violation: violation.at):
        router = routers.get(asked[violation.ids[0]][0].front) if violation.ids[0] in asked else None
        if not any(since <= violation.at <= until for since, until in unreachable.get(router, ())):
            violations.setdefault(violation.ids, violation)
    return [*violations.values()]


def _unreachable_intervals(events: Facts) -> dict[str, Intervals]:
    """The intervals in which each machine counts as unreachable because of its own faults and starts."""
    intervals: dict[str, Intervals] = defaultdict(list)
    for fault in of_kind(events, TroubleMet):
        for machine in fault.machines:
            intervals[machine].append((fault.at, fault.until + CONTACT))
    for started in of_kind(events, ProcessStarted):
        intervals[started.machine].append((started.at, started.at + CONTACT))
    return intervals
