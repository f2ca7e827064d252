"""The check of the retry budget that all routers share: BUDGET."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from rowanshift.invariants.breaches import Bounds, Facts, Violation, of_kind
from rowanshift.invariants.configuration_rules import SentConfigurations, route_of
from rowanshift.invariants.facts import Asked, Reached


@dataclass(slots=True)
class ServiceTimes:
    """The sorted times in seconds at which requests for a service were sent and retries arrived at it."""

    asked: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)


def backends_of(configs: SentConfigurations, asked: Asked, apply: float) -> frozenset[str]:
    """The services named by the route of a request in any configuration that may be in force when it is sent."""
    names: set[str] = set()
    for sent in configs.possibly_in_force(asked.at - apply, asked.at):
        found = route_of(sent.config, asked.host, asked.target)
        if found is None:
            continue
        if "trafficSplit" in found:
            names |= {part["backend"] for part in found["trafficSplit"] if part["weight"] > 0}
        else:
            names.add(found["backend"])
    return frozenset(names)


def times_by_service(facts: Facts, apply: float) -> dict[str, ServiceTimes]:
    """Collect the times of requests and retries by service.

    A request counts for each service that its route may name. An arrival counts as a retry if a request with its id has
    arrived at any server before, whether or not that refused it.
    """
    configs, times = SentConfigurations.among(facts), defaultdict(ServiceTimes)
    for asked in of_kind(facts, Asked):
        for service in backends_of(configs, asked, apply):
            times[service].asked.append(asked.at)
    seen: set[str] = set()
    for reached in of_kind(facts, Reached):
        if reached.id in seen:
            times[reached.service].repeats.append(reached.at)
        seen.add(reached.id)
    return times


def count_within(times: list[float], end: float, window: float) -> int:
    """How many of the sorted times are in the window up to and including ``end``, excluding its start."""
    return bisect_right(times, end) - bisect_right(times, end - window)


def budget(facts: Facts, bounds: Bounds) -> list[Violation]:
    """BUDGET: in some window a service receives more retries than ``retry_ratio`` times its requests plus the slack.

    The requests are those of the same window, of the previous one or of the one half a window earlier, whichever has
    the most. Only the first window that violates the bound is reported for each service.
    """
    broken: list[Violation] = []
    for service, times in times_by_service(facts, bounds.config_apply).items():
        if len(times.repeats) > bounds.retry_slack:
            broken += _first_violation(service, times, bounds)
    return broken


def _first_violation(service: str, times: ServiceTimes, bounds: Bounds) -> list[Violation]:
    window = bounds.retry_window
    ends = {at + shift * window for at in times.asked for shift in (0.0, 0.5, 1.0, 1.5, 2.0)}
    ends |= {at + shift * window for at in times.repeats for shift in (0.0, 1.0)}
    for end in sorted(ends):  # between these times the counts of the windows don't change
        repeats = count_within(times.repeats, end, window)
        requests = max(count_within(times.asked, end - shift * window, window) for shift in (0.0, 0.5, 1.0))
        allowed = bounds.retry_ratio * requests + bounds.retry_slack
        if repeats > allowed:
            why = f"{repeats} repeats within {window:g} s, but {allowed:g} are allowed for {requests} requests"
            return [Violation("BUDGET", end, (service,), why)]
    return []
