"""The check that a router never goes back to an older configuration within one life of its process: CONFIG."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass

from rowanshift.invariants.breaches import Breach, Facts, by_id, of_kind
from rowanshift.invariants.configuration_rules import DENIALS, Configs, services_of
from rowanshift.invariants.facts import Answered, Asked, Began, RouterStarted


@dataclass(frozen=True, slots=True)
class Handling:
    """How a router handled a request: a service began it, or it was denied (empty ``service``)."""

    at: float
    asked: Asked
    service: str
    instance: str


def revisions_for(configs: Configs, handling: Handling) -> list[int]:
    """The configurations sent by then, and not refused, under which the request is handled like that."""
    asked = handling.asked
    found: list[int] = []
    for sent in configs.sent:
        if sent.at > handling.at or sent.call in configs.refused:
            continue
        services = services_of(sent.config, asked.host, asked.target, asked.key)
        if handling.service in services if handling.service else not services:
            found.append(sent.revision)
    return sorted(found)


def lives_of(facts: Facts) -> dict[str, list[float]]:
    """When each life of a router began, by the address that clients ask."""
    lives: dict[str, list[float]] = defaultdict(list)
    for started in of_kind(facts, RouterStarted):
        lives[started.front].append(started.at)
    return lives


def handlings_by_life(facts: Facts) -> dict[tuple[str, int], list[Handling]]:
    """What each life of each router handled, in the order of the times."""
    asked, lives = by_id(facts, Asked), lives_of(facts)
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
        grouped[row.asked.front, bisect_right(lives.get(row.asked.front, []), row.asked.at)].append(row)
    return grouped


def regressed(facts: Facts, slack: float) -> list[Breach]:
    """CONFIG: within one life of a router, a request that was sent more than ``slack`` seconds after a server saw
    the effect of a version is handled as only older versions allow. The effect is the oldest version that allows
    what the server saw and is not older than what was known before; one breach a life."""
    configs, broken = Configs.among(facts), []
    for handled in handlings_by_life(facts).values() if configs.sent else ():
        seen: list[tuple[float, int]] = []  # when an effect was seen, and the highest version known since
        for row in handled:
            known = bisect_right(seen, (row.asked.at - slack, float("inf")))
            floor = seen[known - 1][1] if known else 0
            fits = revisions_for(configs, row)
            effect = next((revision for revision in fits if revision >= floor), None)
            if fits and effect is None:
                ids = (row.asked.id, row.instance) if row.instance else (row.asked.id,)
                why = f"handled as only up to {fits[-1]}; {floor} was seen at {seen[known - 1][0]:.3f} s"
                broken.append(Breach("CONFIG", row.at, ids, why))
                break
            if row.service and effect is not None and (not seen or effect > seen[-1][1]):
                seen.append((row.at, effect))
    return broken
