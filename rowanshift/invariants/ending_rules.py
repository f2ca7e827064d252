"""The check that every request and call which a process has read ends properly: ENDING."""

from rowanshift.invariants.breaches import NO_FAULTS, Facts, KnownFaults, Violation, of_kind
from rowanshift.invariants.facts import CallCut, RequestCut


def ended(facts: Facts, troubles: KnownFaults = NO_FAULTS) -> list[Violation]:
    """ENDING: by its own records, a router cut a request that it had read or closed it never or twice, or a core
    machine did not answer a call. Cuts that the router's records excuse, and unplanned faults, are exempt."""
    broken = [
        Violation(
            "ENDING",
            cut.at,
            (cut.id,),
            f"{cut.machine}: {cut.violation}, after {cut.passed_on} bytes of the answer were passed on",
        )
        for cut in of_kind(facts, RequestCut)
        if not cut.excused and not troubles.unplanned(cut.front, cut.came_at, cut.at)
    ]
    broken += [
        Violation("ENDING", cut.at, (cut.target,), f"{cut.machine}: a call was read and not answered")
        for cut in of_kind(facts, CallCut)
        if not troubles.unplanned(cut.control, cut.came_at, cut.at)
    ]
    return broken
