"""The check that every request and call that a process has read came to an end that counts: ENDING."""

from rowanshift.invariants.breaches import NO_TROUBLES, Breach, Facts, KnownTroubles, of_kind
from rowanshift.invariants.facts import CallCut, RequestCut


def ended(facts: Facts, troubles: KnownTroubles = NO_TROUBLES) -> list[Breach]:
    """ENDING: by its own count, a router cut a request that it had read, never closed or twice closed it, or a core
    machine left a call without an answer. Excused are cuts that the router's count excuses, and machines that met
    unplanned trouble."""
    broken = [
        Breach("ENDING", cut.at, (cut.id,), f"{cut.machine}: {cut.violation}, {cut.passed_on} bytes were passed on")
        for cut in of_kind(facts, RequestCut)
        if not cut.excused and not troubles.unplanned(cut.front, cut.came_at, cut.at)
    ]
    broken += [
        Breach("ENDING", cut.at, (cut.target,), f"{cut.machine}: a call was read and not answered")
        for cut in of_kind(facts, CallCut)
        if not troubles.unplanned(cut.control, cut.came_at, cut.at)
    ]
    return broken
