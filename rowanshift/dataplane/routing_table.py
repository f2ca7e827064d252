"""The configuration as a counter uses it: routes by host and path, tenants by key. No I/O.

The ledger has checked it; a counter reads it without the checks.
"""

from dataclasses import dataclass, field
from typing import Any

import orjson

STREAMING, IDEMPOTENT = "streaming", "idempotent"


class BadControlState(ValueError):
    """A configuration that a counter can't read."""


@dataclass(slots=True, frozen=True)
class Service:
    """A service as requests are sent to it."""

    name: str
    health: bytes
    connections: int  # that a server takes from all callers
    store: str = ""  # IP:PORT, if it is a store of prompts
    token_bytes: int = 0


@dataclass(slots=True, frozen=True)
class Route:
    """A route as requests are matched; times in seconds."""

    name: str
    host: bytes
    prefix: bytes
    kind: str
    timeout: float  # seconds
    aim: float  # seconds
    priority: int
    split: tuple[tuple[str, float], ...]  # services and weights
    servers: int  # that one request may be sent to
    public: bool
    resumable: bool

    @property
    def streaming(self) -> bool:
        """Whether its answers are streams of events."""
        return self.kind == STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or (self.streaming and self.resumable)

    def service(self, draw: float) -> str:
        """The service for a number from 0 to 1."""
        left = draw * sum(weight for _, weight in self.split)
        for name, weight in self.split:
            left -= weight
            if left < 0:
                return name
        return next(name for name, weight in reversed(self.split) if weight > 0)


@dataclass(slots=True, frozen=True)
class Tenant:
    """Who holds a key."""

    name: bytes
    priority: int | None
    isolated: bool


@dataclass(slots=True)
class RoutingTable:
    """A configuration in the form that requests are matched by."""

    revision: int = 0
    routes: dict[bytes, list[Route]] = field(default_factory=dict)  # by host, the longest prefix first
    tenants: dict[bytes, Tenant] | None = None  # by key; None: keys are not asked for
    services: dict[str, Service] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)  # named, of each model
    largest_body: int = 4 << 20  # bytes
    header_within: float = 3.0  # seconds
    idle_for: float = 15.0  # seconds
    all_keyed: bool = False  # whether no request is served without a key

    def match(self, host: bytes, path: bytes) -> Route | None:
        """The route of a host and path with the longest prefix, None if there is none."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def routing_table_of(revision: int, config: bytes, versions: dict[str, int]) -> RoutingTable:
    """``BadControlState`` if the bytes hold no configuration."""
    if not config:
        return RoutingTable(versions=dict(versions))
    try:
        data = orjson.loads(config)
        limits = data.get("limits") or {}
        tenants = data.get("tenants")
        routing_table = RoutingTable(
            revision,
            {},
            None if tenants is None else {},
            versions=dict(versions),
            largest_body=int(limits.get("maxBodyBytes") or 4 << 20),
            header_within=float(limits.get("headerTimeoutMs") or 3000) / 1000,
            idle_for=float(limits.get("idleTimeoutMs") or 15000) / 1000,
        )
        for row in data.get("backends") or ():
            routing_table.services[row["name"]] = service_of(row)
        for row in data.get("routes") or ():
            route = route_of(row)
            routing_table.routes.setdefault(route.host, []).append(route)
        for row in tenants or ():
            tenant = Tenant(row["name"].encode(), row.get("priority"), bool(row.get("isolated")))
            routing_table.tenants.update(dict.fromkeys((key.encode() for key in row.get("apiKeys") or ()), tenant))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadControlState(repr(error)) from error
    for routes in routing_table.routes.values():
        routes.sort(key=lambda route: -len(route.prefix))
    public = any(route.public for routes in routing_table.routes.values() for route in routes)
    routing_table.all_keyed = tenants is not None and not public
    return routing_table


def service_of(row: dict[str, Any]) -> Service:
    """A service from its JSON object."""
    engine = row.get("engine") or {}
    return Service(
        row["name"],
        (row.get("healthCheck") or "").encode(),
        int(row.get("maxConnections") or 64),
        str(row.get("kvStoreAddress") or ""),
        int(engine.get("kvTokenBytes") or 0),
    )


def route_of(row: dict[str, Any]) -> Route:
    """A route from its JSON object."""
    if row.get("trafficSplit"):
        split = tuple((part["backend"], float(part["weight"])) for part in row["trafficSplit"])
    else:
        split = ((row["backend"], 1.0),)
    return Route(
        row.get("name") or "",
        row["hostname"].lower().encode(),
        row["pathPrefix"].encode(),
        row.get("routeType") or "",
        float(row.get("timeoutMs") or 60000) / 1000,
        float(row.get("targetLatencyMs") or 1000) / 1000,
        int(row.get("priority") or 0),
        split,
        max(1, int(row.get("retries") or 1)),
        bool(row.get("public")),
        bool(row.get("resumable")),
    )
