"""The configuration in the form that a router uses: routes by host and path, tenants by API key, services. No I/O.

The control plane has validated it against its schema; a router parses what it needs without validating again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson

from rowanshift.dataplane.cache_pools import SHARED_POOL_OF_ALL, shared_pool, tenant_pool
from rowanshift.dataplane.errors import UnreadableConfiguration

STREAMING, IDEMPOTENT = "streaming", "idempotent"  # route types
DEFAULT_MAX_BODY_BYTES = 4 << 20
DEFAULT_HEADER_TIMEOUT_MS = 3000
DEFAULT_IDLE_TIMEOUT_MS = 15_000
DEFAULT_ROUTE_TIMEOUT_MS = 60_000
DEFAULT_TARGET_LATENCY_MS = 1000
DEFAULT_MAX_CONNECTIONS = 64

JsonObject = Mapping[str, Any]


@dataclass(slots=True, frozen=True)
class Service:
    """A service that requests are sent to, or a store of prefix blocks."""

    name: str
    health_path: bytes
    max_connections: int  # maximum connections that one of its servers accepts from all routers together
    store_address: str = ""  # IP:PORT of a store of prefix blocks; empty for other services
    kv_token_bytes: int = 0  # size of one token in its prefix cache


class WeightedService(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests."""

    name: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """A route that requests are matched to; times in seconds."""

    name: str
    host: bytes
    path_prefix: bytes
    route_type: str  # STREAMING, IDEMPOTENT or another
    timeout: float  # maximum duration of a request
    target_latency: float  # target time until the first event of a response
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int  # servers that one request may be sent to
    public: bool  # whether requests need no API key
    resumable: bool  # whether an interrupted stream may be resumed at another server

    @property
    def is_streaming(self) -> bool:
        """Whether its responses are streams of events."""
        return self.route_type == STREAMING

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.route_type == IDEMPOTENT or (self.is_streaming and self.resumable)

    def choose_service(self, draw: float) -> str:
        """Select a service by weight with a number from [0, 1); 1 selects the last one with a weight."""
        remaining = draw * sum(service.weight for service in self.services)
        for service in self.services:
            remaining -= service.weight
            if remaining < 0:
                return service.name
        return next(service.name for service in reversed(self.services) if service.weight > 0)


@dataclass(slots=True, frozen=True)
class Tenant:
    """The owner of a set of API keys."""

    name: bytes
    priority: int | None  # priority of its requests; overrides the route's
    isolated: bool  # whether it shares no prefix blocks with other tenants


@dataclass(slots=True)
class RoutingTable:
    """A parsed configuration, indexed for matching requests."""

    revision: int = 0  # 0: there is no configuration yet
    routes: dict[bytes, list[Route]] = field(default_factory=dict)  # keyed by host, the longest path prefix first
    tenants: dict[bytes, Tenant] | None = None  # keyed by API key; None: no route requires keys
    services: dict[str, Service] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)  # the newest announced version, by model
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout: float = DEFAULT_HEADER_TIMEOUT_MS / 1000  # seconds
    idle_timeout: float = DEFAULT_IDLE_TIMEOUT_MS / 1000  # seconds
    requires_keys: bool = False  # whether every request needs an API key
    isolated_tenants: frozenset[bytes] = frozenset()  # their names
    shared_pool: bytes = SHARED_POOL_OF_ALL  # the pool of prefix blocks of the other tenants

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """The route that matches the host and the longest prefix of the path; ``None`` if there is none."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def cache_pool(self, tenant: Tenant | None) -> bytes:
        """The pool of prefix blocks that a request uses.

        ``tenant`` may be from an earlier configuration, under which the request was admitted.
        """
        if tenant is not None and (tenant.isolated or tenant.name in self.isolated_tenants):
            return tenant_pool(tenant.name)
        return self.shared_pool


def parse_routing_table(revision: int, config: bytes, versions: dict[str, int]) -> RoutingTable:
    """Parse a configuration in JSON; empty bytes give an empty table. Raises ``UnreadableConfiguration``."""
    if not config:
        return RoutingTable(versions=dict(versions))
    try:
        document = orjson.loads(config)
        limits = document.get("limits") or {}
        tenants = document.get("tenants")
        routes = parse_routes(document.get("routes") or ())
        isolated_tenants = frozenset(row["name"].encode() for row in tenants or () if row.get("isolated"))
        has_public_route = any(route.public for routes_of_host in routes.values() for route in routes_of_host)
        return RoutingTable(
            revision,
            routes,
            None if tenants is None else parse_tenants(tenants or ()),
            {row["name"]: parse_service(row) for row in document.get("backends") or ()},
            dict(versions),
            max_body_bytes=int(limits.get("maxBodyBytes") or DEFAULT_MAX_BODY_BYTES),
            header_timeout=float(limits.get("headerTimeoutMs") or DEFAULT_HEADER_TIMEOUT_MS) / 1000,
            idle_timeout=float(limits.get("idleTimeoutMs") or DEFAULT_IDLE_TIMEOUT_MS) / 1000,
            requires_keys=tenants is not None and not has_public_route,
            isolated_tenants=isolated_tenants,
            shared_pool=shared_pool(isolated_tenants),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnreadableConfiguration(repr(error)) from error


def parse_routes(rows: Iterable[JsonObject]) -> dict[bytes, list[Route]]:
    """Parse routes and group them by host, the longest path prefix first."""
    routes: dict[bytes, list[Route]] = {}
    for row in rows:
        route = parse_route(row)
        routes.setdefault(route.host, []).append(route)
    for routes_of_host in routes.values():
        routes_of_host.sort(key=lambda route: -len(route.path_prefix))
    return routes


def parse_tenants(rows: Iterable[JsonObject]) -> dict[bytes, Tenant]:
    """Parse tenants and index them by each of their API keys."""
    tenants: dict[bytes, Tenant] = {}
    for row in rows:
        tenant = Tenant(row["name"].encode(), row.get("priority"), bool(row.get("isolated")))
        for key in row.get("apiKeys") or ():
            tenants[key.encode()] = tenant
    return tenants


def parse_service(row: JsonObject) -> Service:
    """Parse a service from its JSON object."""
    engine = row.get("engine") or {}
    return Service(
        row["name"],
        (row.get("healthCheck") or "").encode(),
        int(row.get("maxConnections") or DEFAULT_MAX_CONNECTIONS),
        str(row.get("kvStoreAddress") or ""),
        int(engine.get("kvTokenBytes") or 0),
    )


def parse_route(row: JsonObject) -> Route:
    """Parse a route from its JSON object."""
    if row.get("trafficSplit"):
        services = tuple(WeightedService(part["backend"], float(part["weight"])) for part in row["trafficSplit"])
    else:
        services = (WeightedService(row["backend"], 1.0),)
    return Route(
        row.get("name") or "",
        row["hostname"].lower().encode(),
        row["pathPrefix"].encode(),
        row.get("routeType") or "",
        float(row.get("timeoutMs") or DEFAULT_ROUTE_TIMEOUT_MS) / 1000,
        float(row.get("targetLatencyMs") or DEFAULT_TARGET_LATENCY_MS) / 1000,
        int(row.get("priority") or 0),
        services,
        max(1, int(row.get("retries") or 1)),
        bool(row.get("public")),
        bool(row.get("resumable")),
    )
