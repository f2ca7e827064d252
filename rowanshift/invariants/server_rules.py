"""Checks at the model servers: the cache that a run used (STALE, WALL), the version under which it ran (VERSION), the
senders of orders (ONE), and requests that reached a leaving server (DRAIN)."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from rowanshift.invariants.breaches import Facts, Violation, by, of_kind
from rowanshift.invariants.facts import (
    Began,
    CacheHit,
    ConfigSent,
    Listed,
    Made,
    Ordered,
    Reached,
    Resumed,
    VersionNamed,
)

MIN_PERIOD_SECONDS = 2.0  # ``version_sums`` ignores shorter fault-free periods


def stale(facts: Facts) -> list[Violation]:
    """STALE: a run used cache contents that were produced under another version."""
    return [
        Violation(
            "STALE",
            hit.at,
            (hit.id, hit.instance),
            f"used part {hit.part} of version {hit.made_revision} while running version {hit.revision}",
        )
        for hit in of_kind(facts, CacheHit)
        if hit.made_revision != hit.revision
    ]


def wall(facts: Facts, isolated: Collection[str] | None = None) -> list[Violation]:
    """WALL: a run used cache contents of another tenant although one of the two is isolated."""
    if isolated is None:
        isolated = {
            tenant["name"]
            for sent in of_kind(facts, ConfigSent)
            for tenant in sent.config.get("tenants", ())
            if tenant.get("isolated")
        }
    return [
        Violation(
            "WALL", hit.at, (hit.id, hit.instance), f"part {hit.part} of {hit.made_tenant!r} used by {hit.tenant!r}"
        )
        for hit in of_kind(facts, CacheHit)
        if hit.made_tenant != hit.tenant and (hit.tenant in isolated or hit.made_tenant in isolated)
    ]


def version(facts: Facts, within: float) -> list[Violation]:
    """VERSION: a run's first token came from an older version over ``within`` seconds after a newer one was named."""
    return _runs_on_older_version(facts, lambda named_at, at: at - named_at > within)


def version_sums(facts: Facts, total: float, calm: Sequence[tuple[float, float]]) -> list[Violation]:
    """VERSION: the same once the fault-free periods since then, ``calm``, add up to over ``total`` seconds.

    Periods shorter than ``MIN_PERIOD_SECONDS`` don't count. A ``total`` of 0 disables the rule.
    """

    def is_overdue(named_at: float, at: float) -> bool:
        periods = [min(until, at) - max(since, named_at) for since, until in calm]
        return sum(period for period in periods if period >= MIN_PERIOD_SECONDS) > total

    return _runs_on_older_version(facts, is_overdue) if total else []


def version_in_one_period(facts: Facts, within: float, calm: Sequence[tuple[float, float]]) -> list[Violation]:
    """VERSION: the same once one of the fault-free periods, ``calm``, has lasted over ``within`` seconds since then."""

    def is_overdue(named_at: float, at: float) -> bool:
        return any(since <= at <= until and at - max(since, named_at) > within for since, until in calm)

    return _runs_on_older_version(facts, is_overdue)


def _runs_on_older_version(facts: Facts, is_overdue: Callable[[float, float], bool]) -> list[Violation]:
    """The runs on weights older than the newest that had to be in use.

    ``is_overdue`` decides that from the times of the acknowledgement and of the run's first token, or of its start if
    it has no token.
    """
    named, seen, broken = of_kind(facts, VersionNamed), set(), []
    runs = [(made.at, made.run, made.id, made.model, made.revision) for made in of_kind(facts, Made)]
    started = {run for _, run, *_ in runs}
    runs += [
        (began.at, began.run, began.id, began.model, began.revision)
        for began in of_kind(facts, Began)
        if began.run not in started
    ]
    for at, run, id, model, revision in sorted(runs):
        if run in seen:
            continue
        seen.add(run)
        newest = max(
            (name for name in named if name.model == model and name.at < at and is_overdue(name.at, at)),
            key=lambda name: name.revision,
            default=None,
        )
        if newest is not None and revision < newest.revision:
            broken.append(
                Violation(
                    "VERSION",
                    at,
                    (id, run),
                    f"ran {model} {revision}, but {newest.revision} was acknowledged at {newest.at:.3f} s",
                    bounded=True,
                )
            )
    return broken


def one(facts: Facts, lease: float, everywhere: bool = False, thaw: float = 0.0) -> list[Violation]:
    """ONE: at one server (or across all servers, ``everywhere``) two holders use the same fencing token, a lower token
    passes after a higher one, or holders alternate within ``lease`` seconds.

    Orders that a server refused for their token (412) don't count as alternation. Orders that arrive within ``thaw``
    seconds after a pause or a link cut of their holder are ignored, since they may have been sent before.
    """
    resumed = by(of_kind(facts, Resumed), lambda fact: fact.machine)
    orders = [
        fact
        for fact in of_kind(facts, Ordered)
        if fact.status != 400 and not any(one.at <= fact.at <= one.at + thaw for one in resumed.get(fact.holder, ()))
    ]
    broken: list[Violation] = []
    for where, received_orders in by(orders, lambda fact: "all" if everywhere else fact.instance).items():
        broken += _shared_fences(where, received_orders)
        not_fenced_off = [fact for fact in received_orders if fact.status != 412]
        broken += _falling_fences(where, not_fenced_off)
        broken += _turns(where, not_fenced_off, lease)
    return broken


def _shared_fences(where: str, orders: list[Ordered]) -> list[Violation]:
    holders: dict[int, str] = {}
    return [
        Violation(
            "ONE", fact.at, (where, holders[fact.fence], fact.holder), f"two holders use fencing token {fact.fence}"
        )
        for fact in orders
        if holders.setdefault(fact.fence, fact.holder) != fact.holder
    ]


def _falling_fences(where: str, orders: list[Ordered]) -> list[Violation]:
    broken, highest = [], -1
    for fact in orders:
        if fact.fence < highest:
            broken.append(
                Violation("ONE", fact.at, (where, fact.holder), f"fencing token {fact.fence} passed after {highest}")
            )
        highest = max(highest, fact.fence)
    return broken


@dataclass(slots=True)
class Turn:
    """Consecutive orders of one holder, with the times of the first and the last."""

    holder: str
    since: float
    until: float


def _turns(where: str, orders: list[Ordered], lease: float) -> list[Violation]:
    turns: list[Turn] = []
    for fact in orders:
        if not turns or turns[-1].holder != fact.holder:
            turns.append(Turn(fact.holder, fact.at, fact.at))
        turns[-1].until = fact.at
    broken: list[Violation] = []
    for n, again in enumerate(turns):
        mine = [turn for turn in turns[:n] if turn.holder == again.holder]
        if mine and again.since - mine[-1].until < lease:
            between = turns[n - 1].holder
            broken.append(Violation("ONE", again.since, (where, again.holder, between), "holders take turns"))
    return broken


def drain(facts: Facts, within: float) -> list[Violation]:
    """DRAIN: a request reaches a server over ``within`` seconds after the platform's list showed it as leaving."""
    leaving_since: dict[str, float] = {}
    for listed in of_kind(facts, Listed):
        if listed.state != "up":
            leaving_since.setdefault(listed.instance, listed.at)
    return [
        Violation(
            "DRAIN",
            fact.at,
            (fact.id, fact.instance),
            f"the list showed the server as leaving at {leaving_since[fact.instance]:.3f} s",
            bounded=True,
        )
        for fact in of_kind(facts, Reached)
        if fact.refused != 421 and fact.at > leaving_since.get(fact.instance, float("inf")) + within
    ]
