"""The operator's configuration as typed records, read from JSON by pyserde.

Names in the dataclasses are Python's; those in the JSON document are given to ``json_field``. Each field's reader
checks its type strictly and reports the path; pyserde's own check, which would do so a second time without the path,
and refuse a whole number where a float is declared, is off.
"""

# ruff: noqa: RUF009 -- json_field() makes the fields of dataclasses

from dataclasses import dataclass

from serde import disabled, serde

from rowanshift.controlplane.configuration_fields import (
    json_field,
    list_reader,
    object_reader,
    read_boolean,
    read_integer,
    read_number,
    read_text,
    read_texts,
)


@serde(type_check=disabled)
@dataclass(slots=True)
class TrafficSplit:
    """A service's share of a route's requests: its ``weight`` over the sum of the weights."""

    backend: str = json_field("backend", read_text)
    weight: float = json_field("weight", read_number)


@serde(type_check=disabled)
@dataclass(slots=True)
class Route:
    """Requests of a host whose path begins with a prefix, and the services that may take them."""

    hostname: str = json_field("hostname", read_text)
    path_prefix: str = json_field("pathPrefix", read_text)
    name: str = json_field("name", read_text, "")
    route_type: str = json_field("routeType", read_text, "non_idempotent")
    timeout_ms: float | None = json_field("timeoutMs", read_number, None)  # None: no bound
    target_latency_ms: float | None = json_field("targetLatencyMs", read_number, None)
    priority: float = json_field("priority", read_number, 5.0)  # 0 is the highest
    backend: str | None = json_field("backend", read_text, None)
    traffic_split: list[TrafficSplit] = json_field("trafficSplit", list_reader(TrafficSplit), factory=list)
    retries: int = json_field("retries", read_integer, 1)  # the most servers that one try is sent to
    public: bool = json_field("public", read_boolean, False)
    sticky: bool = json_field("sticky", read_boolean, False)
    resumable: bool = json_field("resumable", read_boolean, False)
    gap_aim_ms: float | None = json_field("gap_aim_ms", read_number, None)  # the longest pause between events

    @property
    def targets(self) -> list[TrafficSplit]:
        """The services of this route with their weights: the split, or else the one backend."""
        if self.traffic_split:
            return self.traffic_split
        return [] if self.backend is None else [TrafficSplit(self.backend, 1.0)]

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
class ServedModel:
    """A model that a service's servers run."""

    name: str = json_field("name", read_text)


@serde(type_check=disabled)
@dataclass(slots=True)
class Engine:
    """What the servers of a service for models can do. ``None``: not given."""

    slots: int | None = json_field("slots", read_integer, None)
    kv_token_capacity: float | None = json_field("kvTokenCapacity", read_number, None)  # tokens
    kv_token_bytes: float | None = json_field("kvTokenBytes", read_number, None)  # bytes a token
    link_mbps: float | None = json_field("linkMbps", read_number, None)
    stride: float | None = json_field("stride", read_number, None)
    max_concurrent: int | None = json_field("maxConcurrent", read_integer, None)  # calls of /kv-events at once
    models: list[ServedModel] = json_field("models", list_reader(ServedModel), factory=list)


@serde(type_check=disabled)
@dataclass(slots=True)
class BackendService:
    """A service: its servers are on the platform's list, or, with ``kv_store_address``, it is a prefix store."""

    name: str = json_field("name", read_text)
    health_check: str | None = json_field("healthCheck", read_text, None)  # None: no path to ask
    max_connections: int | None = json_field("maxConnections", read_integer, None)  # a server's, from all callers
    protocol: str = json_field("protocol", read_text, "h1")
    tls: bool = json_field("tls", read_boolean, False)
    engine: Engine | None = json_field("engine", object_reader(Engine), None)
    kv_store_address: str | None = json_field("kvStoreAddress", read_text, None)  # IP:PORT
    zone: str | None = json_field("zone", read_text, None)
    kv_token_capacity: float | None = json_field("kvTokenCapacity", read_number, None)  # a store's, in tokens
    link_mbps: float | None = json_field("linkMbps", read_number, None)
    max_concurrent: int | None = json_field("maxConcurrent", read_integer, None)


@serde(type_check=disabled)
@dataclass(slots=True)
class ClientLimits:
    """What a client may send, in bytes, and how long it may take or stay idle, in ms. ``None``: not given."""

    max_header_bytes: int | None = json_field("maxHeaderBytes", read_integer, None)
    max_body_bytes: int | None = json_field("maxBodyBytes", read_integer, None)
    header_timeout_ms: float | None = json_field("headerTimeoutMs", read_number, None)
    idle_timeout_ms: float | None = json_field("idleTimeoutMs", read_number, None)


@serde(type_check=disabled)
@dataclass(slots=True)
class Tenant:
    """Who holds which keys; ``priority``, where given, goes before that of the route."""

    name: str = json_field("name", read_text)
    api_keys: list[str] = json_field("apiKeys", read_texts, factory=list)
    priority: float | None = json_field("priority", read_number, None)
    isolated: bool = json_field("isolated", read_boolean, False)


@serde(type_check=disabled)
@dataclass(slots=True)
class Configuration:
    """A complete configuration. Without ``tenants`` (``None``) no keys are checked; an empty list knows none."""

    revision: int = json_field("revision", read_integer)
    routes: list[Route] = json_field("routes", list_reader(Route), factory=list)
    backends: list[BackendService] = json_field("backends", list_reader(BackendService), factory=list)
    limits: ClientLimits = json_field("limits", object_reader(ClientLimits), factory=ClientLimits)
    tenants: list[Tenant] | None = json_field("tenants", list_reader(Tenant), None)

    @property
    def services(self) -> dict[str, BackendService]:
        """The services by name."""
        return {service.name: service for service in self.backends}
