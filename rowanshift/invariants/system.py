"""Checks of the whole system's rules over events recorded by clients, model servers, the platform's list and the
operator. The events may be in any order. No I/O, and no queries to routers.

Times and durations are in seconds of the run's single clock. A check takes the recorded events and its bounds, and
returns the violations that it found. No check exempts disconnected machines: a caller that knows the faults of the run
must filter those violations out, and must pass the faults to checks that are evaluated per machine. Event classes and
checks are in separate modules by concern; this one exports them all and runs all checks at once.
"""

from rowanshift.invariants.breaches import (
    DEFAULT_BOUNDS,
    NO_FAULTS,
    Bounds,
    F,
    Facts,
    KnownFaults,
    Violation,
    by,
    by_id,
    of_kind,
)
from rowanshift.invariants.configuration_rules import (
    DENIALS,
    SentConfigurations,
    config,
    revoked,
    route,
    route_of,
    services_of,
    tenant_of,
)
from rowanshift.invariants.ending_rules import ended
from rowanshift.invariants.facts import (
    Answered,
    Asked,
    Began,
    CacheHit,
    CallCut,
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
    OrderReplied,
    Piece,
    PrimaryBecame,
    Reached,
    RequestCut,
    Resumed,
    RouterStarted,
    Signalled,
    Surplus,
    VersionNamed,
    digest_of,
)
from rowanshift.invariants.order_rules import acknowledged_by_deposed, refused_again
from rowanshift.invariants.planned_work_rules import lost, lost_on_kept_connections
from rowanshift.invariants.regression_rules import regressed
from rowanshift.invariants.request_rules import PROMISES, mixed, order, refused, twice, unasked
from rowanshift.invariants.retry_rules import budget
from rowanshift.invariants.server_rules import drain, one, stale, version, version_in_one_period, version_sums, wall

__all__ = [
    "DEFAULT_BOUNDS",
    "DENIALS",
    "PROMISES",
    "Answered",
    "Asked",
    "Began",
    "Bounds",
    "CacheHit",
    "CallCut",
    "ConfigAnswered",
    "ConfigRead",
    "ConfigSent",
    "F",
    "Fact",
    "Facts",
    "Finished",
    "KnownFaults",
    "Listed",
    "Listing",
    "Loaded",
    "Lost",
    "Made",
    "Moved",
    "OrderReplied",
    "Ordered",
    "Piece",
    "PrimaryBecame",
    "Reached",
    "RequestCut",
    "Resumed",
    "RouterStarted",
    "SentConfigurations",
    "Signalled",
    "Surplus",
    "VersionNamed",
    "Violation",
    "acknowledged_by_deposed",
    "budget",
    "by",
    "by_id",
    "check",
    "config",
    "digest_of",
    "drain",
    "ended",
    "lost",
    "lost_on_kept_connections",
    "mixed",
    "of_kind",
    "one",
    "order",
    "refused",
    "refused_again",
    "regressed",
    "revoked",
    "route",
    "route_of",
    "services_of",
    "stale",
    "tenant_of",
    "twice",
    "unasked",
    "version",
    "version_in_one_period",
    "version_sums",
    "wall",
]


def check(facts: Facts, bounds: Bounds = DEFAULT_BOUNDS, troubles: KnownFaults = NO_FAULTS) -> list[Violation]:
    """Run all checks. Returns the violations sorted by time; ``troubles`` are the faults known to the caller."""
    found = [
        *twice(facts),
        *refused(facts),
        *mixed(facts),
        *unasked(facts),
        *order(facts),
        *route(facts),
        *config(facts, bounds.config_apply),
        *revoked(facts, bounds.revoke),
        *stale(facts),
        *wall(facts, bounds.isolated),
        *version(facts, bounds.version),
        *one(facts, bounds.lease, thaw=bounds.thaw),
        *drain(facts, bounds.drain),
        *budget(facts, bounds),
        *lost(facts, bounds),
        *lost_on_kept_connections(facts, bounds, troubles),
        *ended(facts, troubles),
        *regressed(facts, bounds.revert_slack),
        *refused_again(facts),
        *acknowledged_by_deposed(facts, bounds.thaw),
    ]
    return sorted(found, key=lambda violation: violation.at)
