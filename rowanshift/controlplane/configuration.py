"""The operator's configuration: read by pyserde, checked whole, and compared with the one in force.

``parse`` refuses what the protocol's page calls invalid and nothing else: fields it does not know are
ignored, ``null`` stands for an absent field wherever a field may be absent, and a number may be written
with or without a fraction. Names in the dataclasses are Python's, those on the wire are given to ``wire``.
Each field's reader checks its type strictly, and tells the place; pyserde's own check, which would do so a
second time without the place, and refuse a whole number where a float is declared, is off.

What the page leaves open is settled so:

- A route with neither ``backend`` nor ``trafficSplit`` names no service and is invalid. One with both is
  split, and the services of both must be known.
- Hosts are compared without regard to case, ports and all; prefixes as they stand.
- Two services or two routes of one name are no error; the last service of a name is the one meant.
- ``If-Match`` may be quoted as an entity tag. A change without it, or with one that is no number, is
  answered 412: the operator ends such a call at once, whereas it would send 428 three times.
"""

# ruff: noqa: RUF009 -- wire() makes the fields of dataclasses

from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import orjson
from serde import disabled, serde

from rowanshift.controlplane.configuration_fields import (
    an,
    each,
    flag,
    inside,
    number,
    one,
    text,
    texts,
    whole,
    wire,
)
from rowanshift.controlplane.control_state import MAX_REVISION
from rowanshift.controlplane.errors import InvalidConfiguration, StaleMatch


@serde(type_check=disabled)
@dataclass(slots=True)
class Split:
    """A service's share of a route's requests: its ``weight`` over the sum of the weights."""

    backend: str = wire("backend", text)
    weight: float = wire("weight", number)


@serde(type_check=disabled)
@dataclass(slots=True)
class Route:
    """Requests of a host whose path begins with a prefix, and the services that may take them."""

    hostname: str = wire("hostname", text)
    path_prefix: str = wire("pathPrefix", text)
    name: str = wire("name", text, "")
    route_type: str = wire("routeType", text, "non_idempotent")
    timeout_ms: float | None = wire("timeoutMs", number, None)  # None: no bound
    target_latency_ms: float | None = wire("targetLatencyMs", number, None)
    priority: float = wire("priority", number, 5.0)  # 0 is the highest
    backend: str | None = wire("backend", text, None)
    traffic_split: list[Split] = wire("trafficSplit", each(Split), factory=list)
    retries: int = wire("retries", whole, 1)  # the most servers that one try is sent to
    public: bool = wire("public", flag, False)
    sticky: bool = wire("sticky", flag, False)
    resumable: bool = wire("resumable", flag, False)
    gap_aim_ms: float | None = wire("gap_aim_ms", number, None)  # the longest pause between events

    @property
    def targets(self) -> list[tuple[str, float]]:
        """The services of this route with their weights: the split, or else the one backend."""
        if self.traffic_split:
            return [(split.backend, split.weight) for split in self.traffic_split]
        return [] if self.backend is None else [(self.backend, 1.0)]

    @property
    def streaming(self) -> bool:
        """Whether its answers are streams of events."""
        return self.route_type == "streaming"

    @property
    def repeatable(self) -> bool:
        """Whether one request of this route may run more than once."""
        return self.route_type == "idempotent" or (self.streaming and self.resumable)


@serde(type_check=disabled)
@dataclass(slots=True)
class Model:
    """A model that a service's servers run."""

    name: str = wire("name", text)


@serde(type_check=disabled)
@dataclass(slots=True)
class Engine:
    """What the servers of a service for models can do. ``None``: not said."""

    slots: int | None = wire("slots", whole, None)
    kv_token_capacity: float | None = wire("kvTokenCapacity", number, None)  # tokens
    kv_token_bytes: float | None = wire("kvTokenBytes", number, None)  # bytes a token
    link_mbps: float | None = wire("linkMbps", number, None)
    stride: float | None = wire("stride", number, None)
    max_concurrent: int | None = wire("maxConcurrent", whole, None)  # calls of /kv-events at once
    models: list[Model] = wire("models", each(Model), factory=list)


@serde(type_check=disabled)
@dataclass(slots=True)
class Service:
    """A service: its servers are on the platform's list, or, with ``kv_store_address``, it is a store."""

    name: str = wire("name", text)
    health_check: str | None = wire("healthCheck", text, None)  # None: no path to ask
    max_connections: int | None = wire("maxConnections", whole, None)  # a server's, from all callers
    protocol: str = wire("protocol", text, "h1")
    tls: bool = wire("tls", flag, False)
    engine: Engine | None = wire("engine", an(Engine), None)
    kv_store_address: str | None = wire("kvStoreAddress", text, None)  # IP:PORT
    zone: str | None = wire("zone", text, None)
    kv_token_capacity: float | None = wire("kvTokenCapacity", number, None)  # a store's, in tokens
    link_mbps: float | None = wire("linkMbps", number, None)
    max_concurrent: int | None = wire("maxConcurrent", whole, None)


@serde(type_check=disabled)
@dataclass(slots=True)
class Limits:
    """What a client may send, in bytes, and how long it may take or stay idle, in ms. ``None``: not said."""

    max_header_bytes: int | None = wire("maxHeaderBytes", whole, None)
    max_body_bytes: int | None = wire("maxBodyBytes", whole, None)
    header_timeout_ms: float | None = wire("headerTimeoutMs", number, None)
    idle_timeout_ms: float | None = wire("idleTimeoutMs", number, None)


@serde(type_check=disabled)
@dataclass(slots=True)
class Tenant:
    """Who holds which keys; ``priority``, where given, goes before that of the route."""

    name: str = wire("name", text)
    api_keys: list[str] = wire("apiKeys", texts, factory=list)
    priority: float | None = wire("priority", number, None)
    isolated: bool = wire("isolated", flag, False)


@serde(type_check=disabled)
@dataclass(slots=True)
class Configuration:
    """A whole configuration. Without ``tenants`` (``None``) no keys are checked; an empty list knows none."""

    revision: int = wire("revision", whole)
    routes: list[Route] = wire("routes", each(Route), factory=list)
    backends: list[Service] = wire("backends", each(Service), factory=list)
    limits: Limits = wire("limits", an(Limits), factory=Limits)
    tenants: list[Tenant] | None = wire("tenants", each(Tenant), None)

    @property
    def services(self) -> dict[str, Service]:
        """The services by name."""
        return {service.name: service for service in self.backends}


def load(body: bytes) -> dict[str, Any]:
    """The JSON object in ``body``. Raises ``InvalidConfiguration`` where it can't be read whole."""
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidConfiguration("", f"can't be read whole: {error}") from error
    if type(raw) is not dict:
        raise InvalidConfiguration("", "can't be read whole: no JSON object")
    return raw


def configuration_of(raw: dict[str, Any]) -> Configuration:
    """The configuration in a JSON object, checked. Raises ``InvalidConfiguration``."""
    config = one(Configuration, raw)
    check(config)
    return config


def parse(body: bytes) -> Configuration:
    """The configuration in the operator's ``body``, checked. Raises ``InvalidConfiguration``."""
    return configuration_of(load(body))


def check(config: Configuration) -> None:
    """Raise ``InvalidConfiguration`` for what is invalid in a configuration that could be read."""
    check_bounds(config.revision)
    known = {service.name for service in config.backends}
    places: dict[tuple[str, str], int] = {}
    for index, route in enumerate(config.routes):
        place = f"routes[{index}]"
        check_targets(place, route, known)
        if route.timeout_ms is not None and route.timeout_ms <= 0:
            raise InvalidConfiguration(f"{place}.timeoutMs", "a time above 0 expected")
        other = places.setdefault((route.hostname.lower(), route.path_prefix), index)
        if other != index:
            raise InvalidConfiguration(place, f"has host and prefix of routes[{other}]")
    holders: dict[str, int] = {}
    for index, tenant in enumerate(config.tenants or ()):
        for key in tenant.api_keys:
            other = holders.setdefault(key, index)
            if other != index:
                raise InvalidConfiguration(f"tenants[{index}].apiKeys", f"shares a key with tenants[{other}]")


def check_targets(place: str, route: Route, known: set[str]) -> None:
    """Raise ``InvalidConfiguration`` unless the route's services are ``known`` and have some weight."""
    if route.traffic_split:
        total = 0.0
        for index, split in enumerate(route.traffic_split):
            where = f"{place}.trafficSplit[{index}]"
            if split.backend not in known:
                raise InvalidConfiguration(f"{where}.backend", f"unknown service {split.backend!r}")
            if split.weight < 0:
                raise InvalidConfiguration(f"{where}.weight", "a weight of 0 or more expected")
            total += split.weight
        if total <= 0:
            raise InvalidConfiguration(f"{place}.trafficSplit", "the weights add up to 0")
        if not route.backend:  # absent, or left empty beside a split
            return
    if route.backend is None:
        raise InvalidConfiguration(place, "names no service")
    if route.backend not in known:
        raise InvalidConfiguration(f"{place}.backend", f"unknown service {route.backend!r}")


def matched(if_match: str | None) -> int | None:
    """The revision that an ``If-Match`` names, or ``None`` where it names none."""
    if if_match is None:
        return None
    named = if_match.strip().removeprefix("W/")
    if len(named) >= 2 and named[0] == named[-1] == '"':
        named = named[1:-1]
    if not (named.isascii() and named.isdigit() and len(named) <= 20):
        return None
    return int(named)


def check_change(current_revision: int, if_match: str | None, config: Configuration) -> None:
    """Whether ``config`` may follow the current revision (0: there is none yet).

    Raises ``StaleMatch`` unless ``if_match`` names the current revision, then ``InvalidConfiguration`` unless
    the configuration's own is above it.
    """
    check_match(current_revision, if_match)
    check_revision(current_revision, config)


def check_match(current_revision: int, if_match: str | None) -> None:
    """Raise ``StaleMatch`` unless ``if_match`` names the current revision (0: there is none yet)."""
    if matched(if_match) != current_revision:
        raise StaleMatch(current_revision, if_match)


def check_revision(current_revision: int, config: Configuration) -> None:
    """Raise ``InvalidConfiguration`` unless the configuration's revision is above the current one."""
    if config.revision <= current_revision:
        reason = f"{config.revision} is not above the current {current_revision}"
        raise InvalidConfiguration("revision", reason)


def revision_of(raw: dict[str, Any]) -> int:
    """The revision of a JSON object that may hold nothing else. Raises ``InvalidConfiguration``."""
    try:
        revision = whole(raw.get("revision"))
    except InvalidConfiguration as error:
        raise inside("revision", error) from None
    check_bounds(revision)
    return revision


def check_bounds(revision: int) -> None:
    """Raise ``InvalidConfiguration`` for a revision that can't be kept."""
    if not 0 < revision <= MAX_REVISION:
        raise InvalidConfiguration("revision", f"a number from 1 to {MAX_REVISION} expected")


def digest_of(raw: dict[str, Any]) -> bytes:
    """32 bytes that tell whether two JSON objects are the same, whatever the order of their fields."""
    return sha256(orjson.dumps(raw, option=orjson.OPT_SORT_KEYS)).digest()


def digest(body: bytes) -> bytes:
    """32 bytes that tell whether two bodies hold the very same configuration, unknown fields and all.

    The order of an object's fields and the space between them don't count. Raises ``InvalidConfiguration``.
    """
    return digest_of(load(body))
