"""The rules of the whole system as checks over facts, in any order, that clients, model servers, the
platform's list and the operator recorded. No I/O, and no question to a router.

Every time and duration is in seconds, by the one clock of the world. A check takes the facts and what it
needs of the bounds, and returns the rules that were broken. None of them excuses machines out of touch:
whoever knows of troubles leaves those facts out. Facts and checks live in modules by concern; this one names
them all, and runs all checks at once.
"""

from rowanshift.invariants.breaches import DEFAULT_BOUNDS, Bounds, Breach, F, Facts, by, by_id, of_kind
from rowanshift.invariants.configuration_rules import DENIALS, Configs, config, route, route_of, services_of, tenant_of
from rowanshift.invariants.facts import (
    Answered,
    Asked,
    Began,
    CacheHit,
    ConfigAnswered,
    ConfigRead,
    ConfigSent,
    Fact,
    Finished,
    Listed,
    Listing,
    Loaded,
    Lost,
    Made,
    Moved,
    Ordered,
    Piece,
    Reached,
    Surplus,
    VersionNamed,
    digest_of,
)
from rowanshift.invariants.request_rules import PROMISES, mixed, order, refused, twice, unasked
from rowanshift.invariants.server_rules import drain, one, stale, version, wall

__all__ = [
    "DEFAULT_BOUNDS",
    "DENIALS",
    "PROMISES",
    "Answered",
    "Asked",
    "Began",
    "Bounds",
    "Breach",
    "CacheHit",
    "ConfigAnswered",
    "ConfigRead",
    "ConfigSent",
    "Configs",
    "F",
    "Fact",
    "Facts",
    "Finished",
    "Listed",
    "Listing",
    "Loaded",
    "Lost",
    "Made",
    "Moved",
    "Ordered",
    "Piece",
    "Reached",
    "Surplus",
    "VersionNamed",
    "by",
    "by_id",
    "check",
    "config",
    "digest_of",
    "drain",
    "mixed",
    "of_kind",
    "one",
    "order",
    "refused",
    "route",
    "route_of",
    "services_of",
    "stale",
    "tenant_of",
    "twice",
    "unasked",
    "version",
    "wall",
]


def check(facts: Facts, bounds: Bounds = DEFAULT_BOUNDS) -> list[Breach]:
    """Every rule here, in the order of the times."""
    found = [
        *twice(facts),
        *refused(facts),
        *mixed(facts),
        *unasked(facts),
        *order(facts),
        *route(facts),
        *config(facts, bounds.config_apply),
        *stale(facts),
        *wall(facts, bounds.isolated),
        *version(facts, bounds.version),
        *one(facts, bounds.lease),
        *drain(facts, bounds.drain),
    ]
    return sorted(found, key=lambda breach: breach.at)
