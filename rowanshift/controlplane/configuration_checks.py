"""Semantic checks of a configuration that has been deserialized. No I/O.

The following rules fill gaps in the protocol specification:

- A route with neither ``backend`` nor ``trafficSplit`` has no service and is invalid. If a route has both, the traffic
  split applies, and the services of both must exist.
- Hostnames are compared case-insensitively, including the port; path prefixes are compared case-sensitively.
- The address of a prefix store is IP:PORT; one to which nobody could connect is invalid.
- Duplicate names of services or routes are no error; the last service with a given name takes effect.
"""

from __future__ import annotations

from collections.abc import Sequence

from rowanshift.controlplane.configuration import BackendService, Configuration, Route, Tenant, TrafficSplit
from rowanshift.controlplane.errors import InvalidConfiguration
from rowanshift.controlplane.revision_match import check_revision_bounds
from rowanshift.process.addresses import EXPECTED_ADDRESS, parse_ip_port

MAX_QUOTED_CHARACTERS = 64  # of an invalid value in an error


def check_configuration(configuration: Configuration) -> None:
    """Raise ``InvalidConfiguration`` for the first invalid value."""
    check_revision_bounds(configuration.revision)
    _check_routes(configuration.routes, {service.name for service in configuration.backends})
    _check_tenants(configuration.tenants or ())
    _check_services(configuration.backends)


def _check_services(services: Sequence[BackendService]) -> None:
    """Check that somebody could connect to the address of each prefix store."""
    for index, service in enumerate(services):
        address = service.kv_store_address
        if address and parse_ip_port(address) is None:
            reason = f"expected {EXPECTED_ADDRESS}, found {address[:MAX_QUOTED_CHARACTERS]!r}"
            raise InvalidConfiguration(f"backends[{index}].kvStoreAddress", reason)


def _check_routes(routes: Sequence[Route], service_names: set[str]) -> None:
    first_routes: dict[tuple[str, str], int] = {}  # index of the first route by host and path prefix
    for index, route in enumerate(routes):
        path = f"routes[{index}]"
        _check_targets(path, route, service_names)
        if route.timeout_ms is not None and route.timeout_ms <= 0:
            raise InvalidConfiguration(f"{path}.timeoutMs", f"expected a time above 0 ms, found {route.timeout_ms:g}")
        first = first_routes.setdefault((route.hostname.lower(), route.path_prefix), index)
        if first != index:
            raise InvalidConfiguration(path, f"has the same host and path prefix as routes[{first}]")


def _check_targets(path: str, route: Route, service_names: set[str]) -> None:
    """Check that all services of the route exist and that their weights are valid."""
    if route.traffic_split:
        _check_traffic_split(path, route.traffic_split, service_names)
        if not route.backend:  # absent, or empty in addition to a traffic split
            return
    if route.backend is None:
        raise InvalidConfiguration(path, "expected a service in backend or trafficSplit, found none")
    if route.backend not in service_names:
        raise InvalidConfiguration(f"{path}.backend", f"unknown service {route.backend!r}")


def _check_traffic_split(path: str, splits: Sequence[TrafficSplit], service_names: set[str]) -> None:
    total_weight = 0.0
    for index, split in enumerate(splits):
        split_path = f"{path}.trafficSplit[{index}]"
        if split.backend not in service_names:
            raise InvalidConfiguration(f"{split_path}.backend", f"unknown service {split.backend!r}")
        if split.weight < 0:
            raise InvalidConfiguration(
                f"{split_path}.weight", f"expected a weight of 0 or more, found {split.weight:g}"
            )
        total_weight += split.weight
    if total_weight <= 0:
        raise InvalidConfiguration(f"{path}.trafficSplit", "expected a sum of weights above 0, found 0")


def _check_tenants(tenants: Sequence[Tenant]) -> None:
    """Check that no API key belongs to two tenants."""
    owners: dict[str, int] = {}  # index of the tenant by API key
    for index, tenant in enumerate(tenants):
        for key in tenant.api_keys:
            owner = owners.setdefault(key, index)
            if owner != index:
                raise InvalidConfiguration(
                    f"tenants[{index}].apiKeys", f"contains an API key that also belongs to tenants[{owner}]"
                )
