"""Which rule violations the injected faults of a run allow.

The rules speak of routers in contact with the core, of a stable core, and of unplanned faults; this module derives
these from the recorded faults. Times are in seconds of the virtual clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rowanshift.invariants import system as rules
from rowanshift.invariants.breaches import Bounds, Violation
from rowanshift.invariants.facts import Asked, Fact
from rowanshift.simulation.fleet_machines import FaultRecord
from rowanshift.simulation.fleet_settings import (
    APPLY_SECONDS,
    CONTACT,
    DRAIN,
    RULES,
    UNSTABLE_CORE_SLACK_SECONDS,
    VERSION,
)

RULE_SECONDS = {"CONFIG": APPLY_SECONDS, "VERSION": VERSION, "DRAIN": DRAIN}  # time bounds of the rules that have one
CUT_OFF = "cut off"
PLANNED = frozenset(["SIGTERM", "shutting down", "started"])  # records of planned operations

ExemptionCheck = Callable[[str, float, float], bool]  # whether a router is exempt within a span of time


@dataclass(frozen=True, slots=True)
class FaultHistory:
    """The recorded faults of a run, and how many core machines (``f``) may be lost at once."""

    records: list[FaultRecord]
    f: int

    def contact_disturbed(self, router: str, since: float, until: float) -> bool:
        """Whether a fault disturbed the contact of a router with the core in this span, or ``CONTACT`` before it."""
        return any(
            record.disturbs_contact and (record.core or record.machine == router)
            for record in self._overlapping(since, until)
        )

    def majority_disturbed(self, router: str, since: float, until: float) -> bool:
        """Whether the router, or more core machines than may be lost, had a fault in this span.

        The ``CONTACT`` seconds before the span count as well.
        """
        overlapping = list(self._overlapping(since, until))
        return (
            any(record.machine == router for record in overlapping)
            or len({record.machine for record in overlapping if record.core}) > self.f
        )

    def had_unplanned_fault(self, router: str, since: float, until: float) -> bool:
        """Whether the router had an unplanned fault in this span, or ``CONTACT`` before it."""
        return any(
            record.machine == router and record.kind not in PLANNED for record in self._overlapping(since, until)
        )

    def stable_periods(self, until: float) -> list[tuple[float, float]]:
        """The periods up to a time in which the core was stable and no machine was cut off."""
        disturbed = sorted(
            (record.since, record.until + CONTACT)
            for record in self.records
            if (record.core and record.disturbs_contact) or record.kind == CUT_OFF
        )
        stable, since = [], 0.0
        for begins, ends in disturbed:
            if begins > since:
                stable.append((since, min(begins, until)))
            since = max(since, ends)
        return [*stable, (since, until)] if since < until else stable

    def _overlapping(self, since: float, until: float) -> Iterable[FaultRecord]:
        return (record for record in self.records if record.since <= until and record.until >= since - CONTACT)


def known_faults(names_by_address: dict[str, str], faults: FaultHistory) -> rules.KnownFaults:
    """The faults of a run, in the form that the rules take.

    ``names_by_address`` maps the addresses for clients and operators to machine names.
    """
    return rules.KnownFaults(
        lambda address, since, until: faults.contact_disturbed(names_by_address[address], since, until),
        lambda address, since, until: faults.had_unplanned_fault(names_by_address[address], since, until),
    )


def find_breaches(
    facts: list[Fact], names_by_address: dict[str, str], faults: FaultHistory, bounds: Bounds = RULES
) -> list[Violation]:
    """The rule violations that no fault allows, ordered by time.

    ``names_by_address`` maps the addresses for clients and operators to machine names. Rules with a time bound apply
    only to routers in contact with the core. While the core is unstable but a majority of it runs, the bound of a
    configuration is ``UNSTABLE_CORE_SLACK_SECONDS`` longer. A lost request is a violation only if its router had no
    unplanned fault.
    """
    asked = {fact.id: fact for fact in facts if type(fact) is Asked}

    def router_of(violation: Violation) -> str | None:
        return next((names_by_address[asked[id].front] for id in violation.ids if id in asked), None)

    def is_exempt(violation: Violation, exempts: ExemptionCheck, extra_seconds: float = 0.0) -> bool:
        router = router_of(violation)
        if not violation.bounded or router is None:
            return False
        return exempts(router, violation.at - RULE_SECONDS[violation.rule] - extra_seconds, violation.at)

    def lost_to_fault(violation: Violation) -> bool:
        return violation.rule == "LOST" and faults.had_unplanned_fault(
            router_of(violation), asked[violation.ids[0]].at, violation.at
        )

    found = [
        violation
        for violation in rules.check(facts, bounds, known_faults(names_by_address, faults))
        if not is_exempt(violation, faults.contact_disturbed) and not lost_to_fault(violation)
    ]
    found += [
        violation
        for violation in rules.config(facts, APPLY_SECONDS + UNSTABLE_CORE_SLACK_SECONDS)
        if not is_exempt(violation, faults.majority_disturbed, UNSTABLE_CORE_SLACK_SECONDS) and violation not in found
    ]
    stable_periods = faults.stable_periods(max((fact.at for fact in facts), default=0.0))
    found += [
        violation
        for violation in rules.version_in_one_period(facts, bounds.version, stable_periods)
        if not is_exempt(violation, faults.contact_disturbed, -RULE_SECONDS[violation.rule]) and violation not in found
    ]
    found += [
        violation
        for violation in rules.version_sums(facts, bounds.version_all, stable_periods)
        if not is_exempt(violation, faults.contact_disturbed, -RULE_SECONDS[violation.rule])
    ]
    return sorted(found, key=lambda violation: violation.at)
