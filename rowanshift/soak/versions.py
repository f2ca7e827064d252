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
from rowanshift.soak.plan import CORE_NAME, TroubleKind
from rowanshift.soak.records import Lagged, LoadEnded, ProcessStarted, TroubleMet

Spans = list[tuple[float, float]]  # seconds, from and to


def calm_stretches(facts: Facts) -> Spans:
    """The stretches of the load in which nothing but routers was in trouble, for ``CONTACT`` at least."""
    rough = [(met.at, met.until + CONTACT) for met in of_kind(facts, TroubleMet) if _unsettles(met)]
    rough += [(one.at - one.seconds, one.at) for one in of_kind(facts, Lagged)]
    rough += [(one.at, one.at + CONTACT) for one in of_kind(facts, ProcessStarted) if _is_core(one.machine)]
    ends = [one.at for one in of_kind(facts, LoadEnded)]
    until = min(ends, default=max((fact.at for fact in facts), default=0.0))
    calm, since = [], 0.0
    for begins, over in sorted(rough):
        if begins > since:
            calm.append((since, min(begins, until)))
        since = max(since, over)
    return [*calm, (since, until)] if since < until else calm


def _is_core(machine: str) -> bool:
    return machine.startswith(CORE_NAME)


def _unsettles(met: TroubleMet) -> bool:
    return bool(met.links) or met.trouble is TroubleKind.WIPE or any(map(_is_core, met.machines))


def versions(facts: Facts) -> list[Breach]:
    """VERSION: a request that a router in touch passed on began on an older version, in a calm stretch that has lasted
    for the bound since a newer one was acknowledged, or once such stretches add up to the bound of their sum."""
    calm = calm_stretches(facts)
    found = [*version_in_one_stretch(facts, VERSION, calm), *version_sums(facts, VERSION_ALL, calm)]
    asked = by_id(facts, Asked)
    routers = {one.front: one.machine for one in of_kind(facts, ProcessStarted) if one.front}
    away = _away(facts)
    broken: dict[tuple[str, ...], Breach] = {}
    for breach in sorted(found, key=lambda breach: breach.at):
        router = routers.get(asked[breach.ids[0]][0].front) if breach.ids[0] in asked else None
        if not any(since <= breach.at <= until for since, until in away.get(router, ())):
            broken.setdefault(breach.ids, breach)
    return [*broken.values()]


def _away(facts: Facts) -> dict[str, Spans]:
    """When each machine was not in touch, by its own troubles and starts."""
    spans: dict[str, Spans] = defaultdict(list)
    for met in of_kind(facts, TroubleMet):
        for machine in met.machines:
            spans[machine].append((met.at, met.until + CONTACT))
    for started in of_kind(facts, ProcessStarted):
        spans[started.machine].append((started.at, started.at + CONTACT))
    return spans
