"""The check that a router process never reverts to an older configuration: CONFIG."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass

from rowanshift.invariants.breaches import Facts, Violation, by_id, of_kind
from rowanshift.invariants.configuration_rules import DENIALS, SentConfigurations, services_of
from rowanshift.invariants.facts import Answered, Asked, Began, RouterStarted


@dataclass(frozen=True, slots=True)
class Handling:
    """How a router handled a request: a service began to process it, or it was denied (``service`` is "")."""

    at: float
    asked: Asked
    service: str
    instance: str


def revisions_for(configs: SentConfigurations, handling: Handling) -> list[int]:
    """The revisions of the configurations sent by then and not refused that allow a request to be handled like this."""
    asked = handling.asked
    found: list[int] = []
    for sent in configs.sent:
        if sent.at > handling.at or sent.call in configs.refused:
            continue
        services = services_of(sent.config, asked.host, asked.target, asked.key)
        if handling.service in services if handling.service else not services:
            found.append(sent.revision)
    return sorted(found)


def process_starts_of(facts: Facts) -> dict[str, list[float]]:
    """The start times of each router's processes, by the address at which it serves clients."""
    process_starts: dict[str, list[float]] = defaultdict(list)
    for started in of_kind(facts, RouterStarted):
        process_starts[started.front].append(started.at)
    return process_starts


def handlings_by_process(facts: Facts) -> dict[tuple[str, int], list[Handling]]:
    """The handlings by each process of each router, sorted by time."""
    asked, process_starts = by_id(facts, Asked), process_starts_of(facts)
    rows = [
        Handling(run.at, asked[run.id][0], run.service, run.instance)
        for run in of_kind(facts, Began)
        if run.id in asked
    ]
    rows += [
        Handling(end.at, asked[end.id][0], "", "")
        for end in of_kind(facts, Answered)
        if end.status in DENIALS and end.id in asked
    ]
    grouped: dict[tuple[str, int], list[Handling]] = defaultdict(list)
    for row in sorted(rows, key=lambda row: row.at):
        grouped[row.asked.front, bisect_right(process_starts.get(row.asked.front, []), row.asked.at)].append(row)
    return grouped


def regressed(facts: Facts, slack: float) -> list[Violation]:
    """CONFIG: a router process handles a request as only older configurations allow, although the request was sent over
    ``slack`` seconds after a server saw the effect of a newer one.

    The version of an effect is the oldest one that allows it and is not older than the effects seen before. At most
    one violation is reported per process.
    """
    configs, broken = SentConfigurations.among(facts), []
    for handlings in handlings_by_process(facts).values() if configs.sent else ():
        seen: list[tuple[float, int]] = []  # time of an effect, and the highest version known from then on
        for row in handlings:
            known_count = bisect_right(seen, (row.asked.at - slack, float("inf")))
            lowest = seen[known_count - 1][1] if known_count else 0
            revisions = revisions_for(configs, row)
            effect = next((revision for revision in revisions if revision >= lowest), None)
            if revisions and effect is None:
                ids = (row.asked.id, row.instance) if row.instance else (row.asked.id,)
                why = f"handled as only up to {revisions[-1]}; {lowest} was seen at {seen[known_count - 1][0]:.3f} s"
                broken.append(Violation("CONFIG", row.at, ids, why))
                break
            if row.service and effect is not None and (not seen or effect > seen[-1][1]):
                seen.append((row.at, effect))
    return broken
