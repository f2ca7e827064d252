"""The rules of the whole system as checks over facts, in any order, that clients, model servers, the
platform's list and the operator recorded. No I/O, and no question to a router.

Every time and duration is in seconds, by the one clock of the world. A check takes the facts and what it
needs of the bounds, and returns the rules that were broken. None of them excuses machines out of touch:
whoever knows of troubles leaves those facts out.
"""

import hashlib
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

PROMISES = frozenset([408, 421, 429, 503])  # the request has not run and never will
DENIALS = frozenset([401, 403, 404])


def digest_of(*parts: bytes | str) -> str:
    """What is the same for the same method, target and body, wherever they are seen."""
    made = hashlib.blake2s(digest_size=8)
    for part in parts:
        data = part.encode("latin-1") if isinstance(part, str) else part
        made.update(b"%d:" % len(data) + data)
    return made.hexdigest()


# facts ------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Fact:
    at: float


@dataclass(frozen=True, slots=True)
class Asked(Fact):
    """A client sent one try."""

    id: str
    host: str
    method: str
    target: str
    body: bytes
    tenant: str = ""  # that holds the key; none: no key is held
    key: str = ""
    repeatable: bool = False  # idempotent, or a stream that may be resumed
    since: int = 0  # Last-Event-Id
    front: str = ""  # the router
    call: str = ""  # what its retries share


@dataclass(frozen=True, slots=True)
class Piece(Fact):
    """One event as the client got it: the tokens after ``first``, up to ``last``."""

    id: str
    first: int
    last: int
    of: str  # digest of the request that the server worked on
    run: str
    final: bool = False


@dataclass(frozen=True, slots=True)
class Answered(Fact):
    """The end of an answer at the client; not whole: it broke off after its head, or the client left."""

    id: str
    status: int
    stamp: str = ""  # Response-Seal
    echoed: str = ""  # Request-Id
    whole: bool = True
    left: bool = False  # the client gave it up


@dataclass(frozen=True, slots=True)
class Lost(Fact):
    """A try that ended without the head of an answer."""

    id: str
    how: str  # no way, closed, left, garbled


@dataclass(frozen=True, slots=True)
class Surplus(Fact):
    """Bytes at a client that nothing was asked for."""

    id: str  # that the connection last carried
    data: bytes


@dataclass(frozen=True, slots=True)
class Reached(Fact):
    """A request came in whole at a server; ``refused`` is the status with which it was turned away, or 0."""

    id: str
    instance: str
    service: str
    sender: str = ""
    refused: int = 0


@dataclass(frozen=True, slots=True)
class Began(Fact):
    """A server began to work on a request."""

    id: str
    instance: str
    service: str
    run: str
    stamp: str
    host: str
    method: str
    target: str
    body: bytes
    tenant: str = ""
    key: str = ""  # an Authorization that was passed on
    model: str = ""
    revision: int = 0
    since: int = 0


@dataclass(frozen=True, slots=True)
class Made(Fact):
    """A server wrote one event."""

    id: str
    run: str
    first: int
    last: int
    model: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Finished(Fact):
    """A run is over: done, failed, deadline, reset, client gone."""

    id: str
    run: str
    how: str


@dataclass(frozen=True, slots=True)
class CacheHit(Fact):
    """A run used a cached part, which another or an earlier run had made."""

    id: str
    instance: str
    model: str
    revision: int
    tenant: str
    salt: str
    part: str
    made_revision: int
    made_tenant: str
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Moved(Fact):
    """Cache tokens that came from another server or store (``bad``: none did, and why)."""

    id: str
    instance: str
    source: str
    tokens: int
    bad: str = ""


@dataclass(frozen=True, slots=True)
class Ordered(Fact):
    """An order as a server took or refused it."""

    instance: str
    holder: str
    fence: int
    status: int
    operation: str = ""
    model: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Loaded(Fact):
    instance: str
    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listed(Fact):
    """From now on the platform's list shows a server as up, draining or gone."""

    instance: str
    state: str


@dataclass(frozen=True, slots=True)
class Listing(Fact):
    """A call for the list."""

    caller: str
    status: int


@dataclass(frozen=True, slots=True)
class ConfigSent(Fact):
    """The operator began to send a configuration. ``config`` is its JSON as an object."""

    call: str
    base: int
    revision: int
    config: dict[str, Any]
    valid: bool = True


@dataclass(frozen=True, slots=True)
class ConfigAnswered(Fact):
    """How that call ended; status 0: with no clear answer."""

    call: str
    base: int
    revision: int
    status: int


@dataclass(frozen=True, slots=True)
class ConfigRead(Fact):
    """GET /config, begun at ``since``; none: no answer came in time."""

    since: float
    config: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class VersionNamed(Fact):
    """POST /version-put was acknowledged."""

    model: str
    revision: int


Facts = Sequence[Fact]
F = TypeVar("F", bound=Fact)


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule: when, by which requests, servers or calls, and why."""

    rule: str
    at: float
    ids: tuple[str, ...]
    why: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s, {', '.join(self.ids)}: {self.why}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the checks need of the settings, in seconds."""

    config_apply: float = 2.0
    drain: float = 3.0
    version: float = 8.0
    lease: float = 3.0
    isolated: frozenset[str] | None = None  # tenants; none: as the configurations that were sent say


def of_kind(facts: Iterable[Fact], kind: type[F]) -> list[F]:
    """The facts of a kind in the order of their times."""
    return sorted((fact for fact in facts if type(fact) is kind), key=lambda fact: fact.at)


def by(facts: Iterable[F], name: Callable[[F], Any]) -> dict[Any, list[F]]:
    grouped: dict[Any, list[F]] = defaultdict(list)
    for fact in facts:
        grouped[name(fact)].append(fact)
    return grouped


def by_id(facts: Facts, kind: type[F]) -> dict[str, list[F]]:
    return by(of_kind(facts, kind), lambda fact: fact.id)


# requests and answers ---------------------------------------


def twice(facts: Facts) -> list[Breach]:
    """TWICE: a request that is not idempotent runs more than once."""
    asked = by_id(facts, Asked)
    return [
        Breach("TWICE", runs[1].at, (id,), f"ran as {', '.join(run.run for run in runs)}")
        for id, runs in by_id(facts, Began).items()
        if len(runs) > 1 and id in asked and not asked[id][0].repeatable
    ]


def refused(facts: Facts) -> list[Breach]:
    """REFUSED: a promise that a request never runs, which ran or runs later and may not be repeated."""
    asked, began = by_id(facts, Asked), by_id(facts, Began)
    return [
        Breach("REFUSED", end.at, (end.id,), f"{end.status}, yet it ran at {began[end.id][0].at:.3f} s")
        for end in of_kind(facts, Answered)
        if end.status in PROMISES and end.id in began and end.id in asked and not asked[end.id][0].repeatable
    ]


def mixed(facts: Facts) -> list[Breach]:
    """MIXED: a success without the stamp of a run of this request, with another's body or id, or unasked."""
    asked, began, pieces = by_id(facts, Asked), by_id(facts, Began), by_id(facts, Piece)
    broken = [
        Breach("MIXED", fact.at, (fact.id,), f"unasked-for bytes {fact.data[:40]!r}")
        for fact in of_kind(facts, Surplus)
    ]
    broken += [
        Breach("MIXED", fact.at, (fact.id,), "bytes that are no answer")
        for fact in of_kind(facts, Lost)
        if fact.how == "garbled"
    ]
    for id, ends in by_id(facts, Answered).items():
        ours = asked[id][0] if id in asked else None
        for n, end in enumerate(ends):
            if n:
                broken.append(Breach("MIXED", end.at, (id,), "a second answer"))
            if end.echoed not in ("", id):
                broken.append(Breach("MIXED", end.at, (id, end.echoed), "the answer to another request"))
            if not 200 <= end.status < 300:
                continue
            if end.stamp not in {run.stamp for run in began.get(id, ())}:
                broken.append(Breach("MIXED", end.at, (id,), f"stamp {end.stamp!r} is of no run of it"))
            if end.echoed == "":
                broken.append(Breach("MIXED", end.at, (id,), "a success without the id"))
        if ours is None:
            broken.append(Breach("MIXED", ends[0].at, (id,), "an answer to nothing"))
            continue
        expected = digest_of(ours.method, ours.target, ours.body)
        runs = {run.run for run in began.get(id, ())}
        for piece in pieces.get(id, ()):
            if piece.of != expected or piece.run not in runs:
                broken.append(Breach("MIXED", piece.at, (id,), f"a piece of {piece.run}, made of {piece.of}"))
    return broken


def unasked(facts: Facts) -> list[Breach]:
    """UNASKED: a run with an id, method, target, body or tenant that no client sent, or with its key."""
    asked, broken = by_id(facts, Asked), []
    for run in of_kind(facts, Began):
        if run.id not in asked:
            broken.append(Breach("UNASKED", run.at, (run.id, run.instance), "an id that no client sent"))
            continue
        ours = asked[run.id][0]
        wrong = [name for name in ("method", "target", "body", "host") if getattr(run, name) != getattr(ours, name)]
        if run.tenant != ours.tenant:
            wrong.append(f"tenant {run.tenant!r} for {ours.tenant!r}")
        if run.key:
            wrong.append("the key was passed on")
        if wrong:
            broken.append(Breach("UNASKED", run.at, (run.id, run.instance), ", ".join(wrong)))
    return broken


def order(facts: Facts) -> list[Breach]:
    """ORDER: a piece absent or twice, runs spliced where that isn't allowed, an end before the last piece."""
    asked, pieces, broken = by_id(facts, Asked), by_id(facts, Piece), []
    ends = {end.id: end for end in of_kind(facts, Answered)}
    for id, got in pieces.items():
        ours = asked.get(id, [None])[0]
        at = ours.since if ours else got[0].first
        for before, piece in zip([None, *got], got, strict=False):
            if piece.first != at:
                how = "twice" if piece.first < at else "absent"
                broken.append(Breach("ORDER", piece.at, (id,), f"tokens {at} to {piece.first} are {how}"))
            if before and before.run != piece.run and not (ours and ours.repeatable):
                broken.append(Breach("ORDER", piece.at, (id,), f"{piece.run} behind {before.run}"))
            at = piece.last
        end = ends.get(id)
        if end and end.whole and not got[-1].final:
            broken.append(Breach("ORDER", end.at, (id,), f"ended as complete after token {at}"))
    return broken


# configuration ----------------------------------------------


def route_of(config: dict[str, Any], host: str, target: str) -> dict[str, Any] | None:
    path = target.partition("?")[0]
    fits = [
        route
        for route in config.get("routes", ())
        if route["hostname"] == host and path.startswith(route["pathPrefix"])
    ]
    return max(fits, key=lambda route: len(route["pathPrefix"]), default=None)


def services_of(config: dict[str, Any], host: str, target: str, key: str) -> frozenset[str]:
    """The services that may run a request; none where its route or its key is not there."""
    route = route_of(config, host, target)
    if route is None or not (route.get("public") or tenant_of(config, key) is not None):
        return frozenset()
    if "trafficSplit" in route:
        return frozenset(part["backend"] for part in route["trafficSplit"] if part["weight"] > 0)
    return frozenset([route["backend"]])


def tenant_of(config: dict[str, Any], key: str) -> str | None:
    """The name of the tenant that holds a key; empty where the configuration has no tenants."""
    if not config.get("tenants"):
        return ""
    return next((tenant["name"] for tenant in config["tenants"] if key in tenant["apiKeys"]), None)


@dataclass(slots=True)
class Configs:
    """The configurations that were sent, and which of them may be in force when."""

    sent: list[ConfigSent] = field(default_factory=list)
    acked: list[ConfigAnswered] = field(default_factory=list)
    refused: frozenset[str] = frozenset()  # calls

    @classmethod
    def among(cls, facts: Facts) -> "Configs":
        answers = of_kind(facts, ConfigAnswered)
        return cls(
            of_kind(facts, ConfigSent),
            [answer for answer in answers if answer.status == 200],
            frozenset(answer.call for answer in answers if 400 <= answer.status < 500),
        )

    def newest_acked(self, at: float) -> int:
        return max((answer.revision for answer in self.acked if answer.at <= at), default=0)

    def may_rule(self, at: float, until: float) -> list[ConfigSent]:
        """Those sent by ``until`` that are not older than the newest that was acknowledged by ``at``."""
        oldest = self.newest_acked(at)
        return [
            sent for sent in self.sent if sent.at <= until and sent.revision >= oldest and sent.call not in self.refused
        ]


def route(facts: Facts) -> list[Breach]:
    """ROUTE: a service runs what no configuration ever sent lets it run, or with a key that none held."""
    configs, asked, broken = Configs.among(facts), by_id(facts, Asked), []
    for run in of_kind(facts, Began) if configs.sent else ():
        key = asked[run.id][0].key if run.id in asked else ""
        if not any(
            run.service in services_of(sent.config, run.host, run.target, key)
            for sent in configs.sent
            if sent.at <= run.at
        ):
            broken.append(
                Breach(
                    "ROUTE",
                    run.at,
                    (run.id, run.instance),
                    f"{run.service} may not run {run.host}{run.target} with this key",
                )
            )
    return broken


def config(facts: Facts, apply: float) -> list[Breach]:
    """CONFIG: acknowledged twice on one base, invalid ones, lost or altered ones, and old ones still in force
    ``apply`` seconds after a newer one was acknowledged."""
    configs, asked, broken = Configs.among(facts), by_id(facts, Asked), []
    sent = {one.call: one for one in configs.sent}
    for base, answers in by(configs.acked, lambda answer: answer.base).items():
        if (
            len({answer.revision for answer in answers}) > 1
            or len({digest_of(repr(sent[a.call].config)) for a in answers if a.call in sent}) > 1
        ):
            broken.append(
                Breach(
                    "CONFIG",
                    answers[-1].at,
                    tuple(answer.call for answer in answers),
                    f"two acknowledged on top of {base}",
                )
            )
    broken += [
        Breach("CONFIG", answer.at, (answer.call,), "an invalid one was acknowledged")
        for answer in configs.acked
        if answer.call in sent and not sent[answer.call].valid
    ]
    for read in of_kind(facts, ConfigRead):
        newest = configs.newest_acked(read.since)
        if read.config is None:
            broken.append(Breach("CONFIG", read.at, (), "the newest did not come"))
        elif (got := read.config.get("revision", 0)) < newest:
            broken.append(Breach("CONFIG", read.at, (str(got),), f"{got} read, {newest} was acknowledged"))
        elif got and read.config not in [one.config for one in configs.may_rule(0.0, read.at) if one.revision == got]:
            broken.append(Breach("CONFIG", read.at, (str(got),), "none like it was sent and not refused"))
    return broken + _applied(facts, configs, asked, apply)


def _applied(facts: Facts, configs: Configs, asked: dict[str, list[Asked]], apply: float) -> list[Breach]:
    broken: list[Breach] = []
    for run in of_kind(facts, Began) if configs.sent else ():
        if (ours := asked.get(run.id, [None])[0]) is None:
            continue
        rule = configs.may_rule(ours.at - apply, run.at)
        if rule and not any(run.service in services_of(one.config, run.host, run.target, ours.key) for one in rule):
            broken.append(Breach("CONFIG", run.at, (run.id, run.instance), f"{run.service}, by an older one"))
    for end in of_kind(facts, Answered) if configs.sent else ():
        if end.status not in DENIALS or (ours := asked.get(end.id, [None])[0]) is None:
            continue
        rule = configs.may_rule(ours.at - apply, end.at)
        if rule and all(services_of(one.config, ours.host, ours.target, ours.key) for one in rule):
            broken.append(Breach("CONFIG", end.at, (end.id,), f"{end.status}; route and key are there"))
    return broken


# servers ----------------------------------------------------


def stale(facts: Facts) -> list[Breach]:
    """STALE: a run on cache that was made under another version."""
    return [
        Breach(
            "STALE",
            hit.at,
            (hit.id, hit.instance),
            f"part {hit.part} of version {hit.made_revision} under {hit.revision}",
        )
        for hit in of_kind(facts, CacheHit)
        if hit.made_revision != hit.revision
    ]


def wall(facts: Facts, isolated: Collection[str] | None = None) -> list[Breach]:
    """WALL: a run on cache that another tenant's made, where one of the two is isolated."""
    if isolated is None:
        isolated = {
            tenant["name"]
            for sent in of_kind(facts, ConfigSent)
            for tenant in sent.config.get("tenants", ())
            if tenant.get("isolated")
        }
    return [
        Breach("WALL", hit.at, (hit.id, hit.instance), f"part {hit.part} of {hit.made_tenant!r} used by {hit.tenant!r}")
        for hit in of_kind(facts, CacheHit)
        if hit.made_tenant != hit.tenant and (hit.tenant in isolated or hit.made_tenant in isolated)
    ]


def version(facts: Facts, within: float) -> list[Breach]:
    """VERSION: a run's first token under an older version, ``within`` seconds after a newer one was named."""
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
            (name for name in named if name.model == model and name.at + within < at),
            key=lambda name: name.revision,
            default=None,
        )
        if newest is not None and revision < newest.revision:
            broken.append(
                Breach(
                    "VERSION",
                    at,
                    (id, run),
                    f"{model} {revision}; {newest.revision} was acknowledged at {newest.at:.3f} s",
                )
            )
    return broken


def one(facts: Facts, lease: float, everywhere: bool = False) -> list[Breach]:
    """ONE: at a server (or at all together, ``everywhere``), two holders with one fence, a lower fence taken
    after a higher one, or holders that take turns within ``lease`` seconds. What a server refused for its
    fence (412) is no turn."""
    broken: list[Breach] = []
    orders = [fact for fact in of_kind(facts, Ordered) if fact.status != 400]
    for where, got in by(orders, lambda fact: "all" if everywhere else fact.instance).items():
        holders: dict[int, str] = {}
        for fact in got:
            if holders.setdefault(fact.fence, fact.holder) != fact.holder:
                broken.append(
                    Breach(
                        "ONE", fact.at, (where, holders[fact.fence], fact.holder), f"two holders of fence {fact.fence}"
                    )
                )
        heard = [fact for fact in got if fact.status != 412]
        highest, turns = -1, []
        for fact in heard:
            if fact.fence < highest:
                broken.append(Breach("ONE", fact.at, (where, fact.holder), f"{fact.fence} after {highest}"))
            highest = max(highest, fact.fence)
            if not turns or turns[-1][0] != fact.holder:
                turns.append([fact.holder, fact.at, fact.at])
            turns[-1][2] = fact.at
        broken += [
            Breach("ONE", again[1], (where, again[0], between[0]), "holders take turns")
            for before, between, again in zip(turns, turns[1:], turns[2:], strict=False)
            if before[0] == again[0] and again[1] - before[2] < lease
        ]
    return broken


def drain(facts: Facts, within: float) -> list[Breach]:
    """DRAIN: a request reaches a server later than ``within`` seconds after the list showed it leaving."""
    left: dict[str, float] = {}
    for listed in of_kind(facts, Listed):
        if listed.state != "up":
            left.setdefault(listed.instance, listed.at)
    return [
        Breach("DRAIN", fact.at, (fact.id, fact.instance), f"it left at {left[fact.instance]:.3f} s")
        for fact in of_kind(facts, Reached)
        if fact.refused != 421 and fact.at > left.get(fact.instance, float("inf")) + within
    ]


def check(facts: Facts, bounds: Bounds = Bounds()) -> list[Breach]:
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
