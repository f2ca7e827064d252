"""The operator's configuration as dataclasses, deserialized from JSON by pyserde.

The dataclass fields have Python names; ``json_field`` declares the names in the JSON document. The reader of each field
checks the type strictly and reports the path of an invalid value. The type check of pyserde is disabled: it would
repeat this check without the path, and would reject an integer where a float is declared.
"""

# ruff: noqa: RUF009 -- json_field() returns dataclass fields

from dataclasses import dataclass

from serde import disabled, serde

from rowanshift.controlplane.configuration_fields import (
    json_field,
    list_reader,
    object_reader,
    read_boolean,
    read_integer,
    read_number,
    read_string,
    read_strings,
)


@serde(type_check=disabled)
@dataclass(slots=True)
class TrafficSplit:
    """A service's share of a route's requests: its ``weight`` divided by the sum of all weights."""

    backend: str = json_field("backend", read_string)
    weight: float = json_field("weight", read_number)


@serde(type_check=disabled)
@dataclass(slots=True)
class Route:
    """A route: sends requests that match a hostname and a path prefix to one or more services."""

    hostname: str = json_field("hostname", read_string)
    path_prefix: str = json_field("pathPrefix", read_string)
    name: str = json_field("name", read_string, "")
    route_type: str = json_field("routeType", read_string, "non_idempotent")
    timeout_ms: float | None = json_field("timeoutMs", read_number, None)  # None: no timeout
    target_latency_ms: float | None = json_field("targetLatencyMs", read_number, None)
    priority: float = json_field("priority", read_number, 5.0)  # 0 is the highest priority
    backend: str | None = json_field("backend", read_string, None)
    traffic_split: list[TrafficSplit] = json_field("trafficSplit", list_reader(TrafficSplit), factory=list)
    retries: int = json_field("retries", read_integer, 1)  # maximum number of servers that one attempt is sent to
    public: bool = json_field("public", read_boolean, False)
    sticky: bool = json_field("sticky", read_boolean, False)
    resumable: bool = json_field("resumable", read_boolean, False)
    gap_aim_ms: float | None = json_field("gap_aim_ms", read_number, None)  # target for the pause between two events

    @property
    def targets(self) -> list[TrafficSplit]:
        """The services of this route with their weights: the traffic split, or else the single backend."""
        if self.traffic_split:
            return self.traffic_split
        return [] if self.backend is None else [TrafficSplit(self.backend, 1.0)]

    @property
    def streaming(self) -> bool:
        """Whether the responses on this route are event streams."""
        return self.route_type == "streaming"

    @property
    def repeatable(self) -> bool:
        """Whether a request on this route may be executed more than once."""
        return self.route_type == "idempotent" or (self.streaming and self.resumable)


@serde(type_check=disabled)
@dataclass(slots=True)
class ServedModel:
    """A model that the servers of a service run."""

    name: str = json_field("name", read_string)


@serde(type_check=disabled)
@dataclass(slots=True)
class Engine:
    """The capabilities of the servers of a model service. ``None`` means that a value is not given."""

    slots: int | None = json_field("slots", read_integer, None)
    kv_token_capacity: float | None = json_field("kvTokenCapacity", read_number, None)  # in tokens
    kv_token_bytes: float | None = json_field("kvTokenBytes", read_number, None)  # bytes per token
    link_mbps: float | None = json_field("linkMbps", read_number, None)
    stride: float | None = json_field("stride", read_number, None)
    max_concurrent: int | None = json_field("maxConcurrent", read_integer, None)  # concurrent calls of /kv-events
    models: list[ServedModel] = json_field("models", list_reader(ServedModel), factory=list)


@serde(type_check=disabled)
@dataclass(slots=True)
class BackendService:
    """A service. Its servers are in the platform's endpoint list; with ``kv_store_address`` it is a prefix store."""

    name: str = json_field("name", read_string)
    health_check: str | None = json_field("healthCheck", read_string, None)  # path of the health check, if any
    max_connections: int | None = json_field("maxConnections", read_integer, None)  # per server, over all clients
    protocol: str = json_field("protocol", read_string, "h1")
    tls: bool = json_field("tls", read_boolean, False)
    engine: Engine | None = json_field("engine", object_reader(Engine), None)
    kv_store_address: str | None = json_field("kvStoreAddress", read_string, None)  # IP:PORT
    zone: str | None = json_field("zone", read_string, None)
    kv_token_capacity: float | None = json_field("kvTokenCapacity", read_number, None)  # of a prefix store, in tokens
    link_mbps: float | None = json_field("linkMbps", read_number, None)
    max_concurrent: int | None = json_field("maxConcurrent", read_integer, None)


@serde(type_check=disabled)
@dataclass(slots=True)
class ClientLimits:
    """Limits on what clients send, in bytes, and on their delays, in ms. ``None`` means that a limit is not given."""

    max_header_bytes: int | None = json_field("maxHeaderBytes", read_integer, None)
    max_body_bytes: int | None = json_field("maxBodyBytes", read_integer, None)
    header_timeout_ms: float | None = json_field("headerTimeoutMs", read_number, None)
    idle_timeout_ms: float | None = json_field("idleTimeoutMs", read_number, None)


@serde(type_check=disabled)
@dataclass(slots=True)
class Tenant:
    """A tenant and its API keys; ``priority``, if given, takes precedence over the priority of the route."""

    name: str = json_field("name", read_string)
    api_keys: list[str] = json_field("apiKeys", read_strings, factory=list)
    priority: float | None = json_field("priority", read_number, None)
    isolated: bool = json_field("isolated", read_boolean, False)


@serde(type_check=disabled)
@dataclass(slots=True)
class Configuration:
    """A complete configuration. If ``tenants`` is ``None``, API keys are not checked; if it is empty, none is valid."""

    revision: int = json_field("revision", read_integer)
    routes: list[Route] = json_field("routes", list_reader(Route), factory=list)
    backends: list[BackendService] = json_field("backends", list_reader(BackendService), factory=list)
    limits: ClientLimits = json_field("limits", object_reader(ClientLimits), factory=ClientLimits)
    tenants: list[Tenant] | None = json_field("tenants", list_reader(Tenant), None)

    @property
    def services(self) -> dict[str, BackendService]:
        """All services by name."""
        return {service.name: service for service in self.backends}
