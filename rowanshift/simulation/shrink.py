"""Reduces a failing scenario to fewer faults and servers and a shorter time, as long as it still fails."""

from collections.abc import Callable
from math import ceil

from msgspec.structs import replace

from rowanshift.simulation.scenario import Fault, Scenario

MAX_ATTEMPTS = 200  # runs of a smaller scenario
PADDING_SECONDS = 4.0  # to keep after the start of the last fault
MIN_SECONDS = 6.0


class Shrinker:
    """Shrinks a scenario. ``fails`` runs a scenario and returns whether it still fails in the same way."""

    def __init__(
        self,
        fails: Callable[[Scenario], bool],
        report: Callable[[str], None] = lambda line: None,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self.fails, self.report, self.attempts_left = fails, report, max_attempts

    def shrink(self, scenario: Scenario) -> Scenario:
        """Repeat all reductions until none succeeds, or the attempts are used up."""
        previous = None
        while scenario != previous and self.attempts_left > 0:
            previous = scenario
            for reduce in (self._drop_faults, self._shorten, self._reduce_fleet, self._reset_settings):
                scenario = reduce(scenario)
        return replace(scenario, name=f"{scenario.name}-least")

    def _try(self, scenario: Scenario, smaller: Scenario) -> Scenario:
        if smaller == scenario or self.attempts_left <= 0:
            return scenario
        self.attempts_left -= 1
        if not self.fails(smaller):
            return scenario
        self.report(
            f"{len(smaller.trouble)} faults, {smaller.fleet.caches} caches, {smaller.fleet.routers} "
            f"routers, {smaller.seconds:.1f} s: still fails"
        )
        return smaller

    def _drop_faults(self, scenario: Scenario) -> Scenario:
        """Leave out ever shorter series of consecutive faults."""
        size = max(1, len(scenario.trouble) // 2)
        while size >= 1:
            start = 0
            while start < len(scenario.trouble):
                remaining = scenario.trouble[:start] + scenario.trouble[start + size :]
                smaller = self._try(scenario, replace(scenario, trouble=remaining))
                start = start if smaller is not scenario else start + size
                scenario = smaller
            size //= 2
        return scenario

    def _shorten(self, scenario: Scenario) -> Scenario:
        last = max((fault.at_s for fault in scenario.trouble), default=0.0)
        for fraction in (0.3, 0.5, 0.7, 0.85):
            seconds = max(MIN_SECONDS, last + 0.1, fraction * scenario.seconds)
            if seconds < scenario.seconds:
                smaller = self._try(scenario, replace(scenario, seconds=round(seconds, 3)))
                if smaller is not scenario:
                    return smaller
        shorter = [
            replace(fault, for_s=round(fault.for_s / 2, 3)) if fault.for_s > 0.2 else fault
            for fault in scenario.trouble
        ]
        return self._try(scenario, replace(scenario, trouble=shorter))

    def _reduce_fleet(self, scenario: Scenario) -> Scenario:
        for name in ("caches", "routers", "sites"):
            while (count := getattr(scenario.fleet, name)) > 1:
                half = max(1, ceil(count / 2))
                smaller = scenario
                for fewer in dict.fromkeys((half, count - 1)):
                    smaller = self._with_count(scenario, name, fewer)
                    if smaller is not scenario:
                        break
                if smaller is scenario:
                    break
                scenario = smaller
        return scenario

    def _with_count(self, scenario: Scenario, name: str, count: int) -> Scenario:
        fleet = replace(scenario.fleet, **{name: count})
        faults = [fault for fault in scenario.trouble if self._targets_exist(fault, fleet.routers, fleet.sites)]
        return self._try(scenario, replace(scenario, fleet=fleet, trouble=faults))

    @staticmethod
    def _targets_exist(fault: Fault, routers: int, sites: int) -> bool:
        targets = [fault.who] if isinstance(fault.who, str) else fault.who
        removed_routers = {f"r{n}" for n in range(routers, 1000)}
        named_sites = [int(site) for name in targets if name and fault.what == "cut" for site in name.split("-")]
        has_removed_site = max(named_sites, default=0) >= sites
        return (
            not has_removed_site
            and not removed_routers.intersection(targets)
            and not (fault.what == "cut" and sites < 2)
        )

    def _reset_settings(self, scenario: Scenario) -> Scenario:
        """Reset one setting after another to its default."""
        for table in ("links", "work", "fleet"):
            defaults = type(getattr(scenario, table))()
            for name in defaults.__struct_fields__:
                if name in ("caches", "routers", "sites"):
                    continue
                changed = replace(getattr(scenario, table), **{name: getattr(defaults, name)})
                if changed != getattr(scenario, table):
                    scenario = self._try(scenario, replace(scenario, **{table: changed}))
        return scenario
