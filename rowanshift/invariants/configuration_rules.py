"""Checks of configurations: whether requests run only as some configuration allows (ROUTE), and which configurations
are acknowledged, returned by reads and in force (CONFIG)."""

from dataclasses import dataclass, field
from typing import Any

from rowanshift.invariants.breaches import Facts, Violation, by, by_id, of_kind
from rowanshift.invariants.facts import Answered, Asked, Began, ConfigAnswered, ConfigRead, ConfigSent, digest_of

DENIALS = frozenset([401, 403, 404])


def route_of(config: dict[str, Any], host: str, target: str) -> dict[str, Any] | None:
    """The route of a configuration for a host and target; None if there is none."""
    path = target.partition("?")[0]
    matches = [
        route
        for route in config.get("routes", ())
        if route["hostname"] == host and path.startswith(route["pathPrefix"])
    ]
    return max(matches, key=lambda route: len(route["pathPrefix"]), default=None)


def services_of(config: dict[str, Any], host: str, target: str, key: str) -> frozenset[str]:
    """The services that may run a request; empty if the configuration lacks its route or its key."""
    route = route_of(config, host, target)
    if route is None or not (route.get("public") or tenant_of(config, key) is not None):
        return frozenset()
    if "trafficSplit" in route:
        return frozenset(part["backend"] for part in route["trafficSplit"] if part["weight"] > 0)
    return frozenset([route["backend"]])


def tenant_of(config: dict[str, Any], key: str) -> str | None:
    """The name of the tenant with a key; "" if the configuration has no tenants, None if no tenant has the key."""
    if not config.get("tenants"):
        return ""
    return next((tenant["name"] for tenant in config["tenants"] if key in tenant["apiKeys"]), None)


@dataclass(slots=True)
class SentConfigurations:
    """The configurations that were sent, and their answers."""

    sent: list[ConfigSent] = field(default_factory=list)
    acknowledged: list[ConfigAnswered] = field(default_factory=list)
    refused: frozenset[str] = frozenset()  # ids of calls

    @classmethod
    def among(cls, facts: Facts) -> "SentConfigurations":
        """Collect the configurations from recorded events."""
        answers = of_kind(facts, ConfigAnswered)
        return cls(
            of_kind(facts, ConfigSent),
            [answer for answer in answers if answer.status == 200],
            frozenset(answer.call for answer in answers if 400 <= answer.status < 500),
        )

    def newest_acked(self, at: float) -> int:
        """The highest revision acknowledged up to a time; 0 if there is none."""
        return max((answer.revision for answer in self.acknowledged if answer.at <= at), default=0)

    def possibly_in_force(self, at: float, until: float) -> list[ConfigSent]:
        """The configurations that may be in force between ``at`` and ``until``.

        These were sent up to ``until``, were not refused, and are not older than the newest acknowledged up to ``at``.
        """
        oldest = self.newest_acked(at)
        return [
            sent for sent in self.sent if sent.at <= until and sent.revision >= oldest and sent.call not in self.refused
        ]


def route(facts: Facts) -> list[Violation]:
    """ROUTE: a service runs a request that no configuration sent so far allows it to run with that key."""
    configs, asked, broken = SentConfigurations.among(facts), by_id(facts, Asked), []
    for run in of_kind(facts, Began) if configs.sent else ():
        key = asked[run.id][0].key if run.id in asked else ""
        if not any(
            run.service in services_of(sent.config, run.host, run.target, key)
            for sent in configs.sent
            if sent.at <= run.at
        ):
            broken.append(
                Violation(
                    "ROUTE",
                    run.at,
                    (run.id, run.instance),
                    f"no configuration sent so far lets {run.service} run {run.host}{run.target} with this key",
                )
            )
    return broken


def config(facts: Facts, apply: float) -> list[Violation]:
    """CONFIG: two configurations are acknowledged on one base, an invalid one is acknowledged, a read returns an old
    or altered one, or an old one is in force over ``apply`` seconds after a newer one was acknowledged."""
    configs, asked, broken = SentConfigurations.among(facts), by_id(facts, Asked), []
    sent = {sent_config.call: sent_config for sent_config in configs.sent}
    for base, answers in by(configs.acknowledged, lambda answer: answer.base).items():
        if (
            len({answer.revision for answer in answers}) > 1
            or len({digest_of(repr(sent[a.call].config)) for a in answers if a.call in sent}) > 1
        ):
            broken.append(
                Violation(
                    "CONFIG",
                    answers[-1].at,
                    tuple(answer.call for answer in answers),
                    f"two different configurations were acknowledged on top of {base}",
                )
            )
    broken += [
        Violation("CONFIG", answer.at, (answer.call,), "an invalid configuration was acknowledged")
        for answer in configs.acknowledged
        if answer.call in sent and not sent[answer.call].valid
    ]
    for read in of_kind(facts, ConfigRead):
        newest = configs.newest_acked(read.since)
        if read.config is None:
            broken.append(Violation("CONFIG", read.at, (), "a read of the configuration was not answered"))
        elif (read_revision := read.config.get("revision", 0)) < newest:
            broken.append(
                Violation(
                    "CONFIG",
                    read.at,
                    (str(read_revision),),
                    f"revision {read_revision} was read, but {newest} was acknowledged before",
                )
            )
        elif read_revision and read.config not in [
            sent_config.config
            for sent_config in configs.possibly_in_force(0.0, read.at)
            if sent_config.revision == read_revision
        ]:
            broken.append(
                Violation(
                    "CONFIG",
                    read.at,
                    (str(read_revision),),
                    "no configuration with this content was sent and not refused",
                )
            )
    return broken + _check_in_force(facts, configs, asked, apply)


def revoked(facts: Facts, within: float | None) -> list[Violation]:
    """CONFIG: a request runs with a revoked key although it was sent over ``within`` seconds after the revocation was
    acknowledged. The rule applies to every machine, connected or not; None disables it."""
    if within is None:
        return []
    configs, asked, broken = SentConfigurations.among(facts), by_id(facts, Asked), []
    for run in of_kind(facts, Began):
        if (request := asked.get(run.id, [None])[0]) is None:
            continue
        in_force = configs.possibly_in_force(request.at - within, run.at)
        if in_force and all(
            _denies_key(sent_config.config, run.host, run.target, request.key) for sent_config in in_force
        ):
            why = f"its key was revoked over {within:g} s before the request was sent at {request.at:.3f} s"
            broken.append(Violation("CONFIG", run.at, (run.id, run.instance), why))
    return broken


def _denies_key(config: dict[str, Any], host: str, target: str, key: str) -> bool:
    route = route_of(config, host, target)
    return not (route and route.get("public")) and tenant_of(config, key) is None


def _check_in_force(
    facts: Facts, configs: SentConfigurations, asked: dict[str, list[Asked]], apply: float
) -> list[Violation]:
    broken: list[Violation] = []
    for run in of_kind(facts, Began) if configs.sent else ():
        if (request := asked.get(run.id, [None])[0]) is None:
            continue
        in_force = configs.possibly_in_force(request.at - apply, run.at)
        if in_force and not any(
            run.service in services_of(sent_config.config, run.host, run.target, request.key)
            for sent_config in in_force
        ):
            broken.append(
                Violation(
                    "CONFIG",
                    run.at,
                    (run.id, run.instance),
                    f"{run.service} ran it as only an outdated configuration allows",
                    bounded=True,
                )
            )
    for end in of_kind(facts, Answered) if configs.sent else ():
        if end.status not in DENIALS or (request := asked.get(end.id, [None])[0]) is None:
            continue
        in_force = configs.possibly_in_force(request.at - apply, end.at)
        if in_force and all(
            services_of(sent_config.config, request.host, request.target, request.key) for sent_config in in_force
        ):
            broken.append(
                Violation(
                    "CONFIG", end.at, (end.id,), f"answered {end.status} although its route and key exist", bounded=True
                )
            )
    return broken
