"""Checks of configurations: what they allow (ROUTE), and which of them are acknowledged, read and in force
(CONFIG)."""

from dataclasses import dataclass, field
from typing import Any

from rowanshift.invariants.breaches import Breach, Facts, by, by_id, of_kind
from rowanshift.invariants.facts import Answered, Asked, Began, ConfigAnswered, ConfigRead, ConfigSent, digest_of

DENIALS = frozenset([401, 403, 404])


def route_of(config: dict[str, Any], host: str, target: str) -> dict[str, Any] | None:
    """The route of a host and target in a configuration, None if there is none."""
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
        """The configurations that facts tell of."""
        answers = of_kind(facts, ConfigAnswered)
        return cls(
            of_kind(facts, ConfigSent),
            [answer for answer in answers if answer.status == 200],
            frozenset(answer.call for answer in answers if 400 <= answer.status < 500),
        )

    def newest_acked(self, at: float) -> int:
        """The highest revision acknowledged by a time, 0 if there was none."""
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


def revoked(facts: Facts, within: float | None) -> list[Breach]:
    """CONFIG: a request runs by a key that was taken away, though it was sent more than ``within`` seconds after that
    was acknowledged. It holds for every machine, in touch or not; with ``None`` there is no such rule."""
    if within is None:
        return []
    configs, asked, broken = Configs.among(facts), by_id(facts, Asked), []
    for run in of_kind(facts, Began):
        if (ours := asked.get(run.id, [None])[0]) is None:
            continue
        rule = configs.may_rule(ours.at - within, run.at)
        if rule and all(_takes_key_away(one.config, run.host, run.target, ours.key) for one in rule):
            why = f"its key was taken away over {within:g} s before it was sent at {ours.at:.3f} s"
            broken.append(Breach("CONFIG", run.at, (run.id, run.instance), why))
    return broken


def _takes_key_away(config: dict[str, Any], host: str, target: str, key: str) -> bool:
    route = route_of(config, host, target)
    return not (route and route.get("public")) and tenant_of(config, key) is None


def _applied(facts: Facts, configs: Configs, asked: dict[str, list[Asked]], apply: float) -> list[Breach]:
    broken: list[Breach] = []
    for run in of_kind(facts, Began) if configs.sent else ():
        if (ours := asked.get(run.id, [None])[0]) is None:
            continue
        rule = configs.may_rule(ours.at - apply, run.at)
        if rule and not any(run.service in services_of(one.config, run.host, run.target, ours.key) for one in rule):
            broken.append(
                Breach("CONFIG", run.at, (run.id, run.instance), f"{run.service}, by an older one", bounded=True)
            )
    for end in of_kind(facts, Answered) if configs.sent else ():
        if end.status not in DENIALS or (ours := asked.get(end.id, [None])[0]) is None:
            continue
        rule = configs.may_rule(ours.at - apply, end.at)
        if rule and all(services_of(one.config, ours.host, ours.target, ours.key) for one in rule):
            broken.append(Breach("CONFIG", end.at, (end.id,), f"{end.status}; route and key are there", bounded=True))
    return broken
