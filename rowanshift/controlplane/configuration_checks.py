"""What makes a configuration invalid that could be read. No I/O.

What the protocol's page leaves open is settled so:

- A route with neither ``backend`` nor ``trafficSplit`` names no service and is invalid. One with both is split, and the
  services of both must be known.
- Hosts are compared without regard to case, ports included; path prefixes as they stand.
- Two services or two routes of one name are no error; the last service of a name is the one meant.
"""

from __future__ import annotations

from collections.abc import Sequence

from rowanshift.controlplane.configuration import Configuration, Route, Tenant, TrafficSplit
from rowanshift.controlplane.errors import InvalidConfiguration
from rowanshift.controlplane.revision_match import check_revision_bounds


def check_configuration(configuration: Configuration) -> None:
    """Raise ``InvalidConfiguration`` for the first thing that is invalid."""
    check_revision_bounds(configuration.revision)
    _check_routes(configuration.routes, {service.name for service in configuration.backends})
    _check_tenants(configuration.tenants or ())


def _check_routes(routes: Sequence[Route], service_names: set[str]) -> None:
    first_routes: dict[tuple[str, str], int] = {}  # by host and path prefix
    for index, route in enumerate(routes):
        path = f"routes[{index}]"
        _check_targets(path, route, service_names)
        if route.timeout_ms is not None and route.timeout_ms <= 0:
            raise InvalidConfiguration(f"{path}.timeoutMs", "a time above 0 expected")
        first = first_routes.setdefault((route.hostname.lower(), route.path_prefix), index)
        if first != index:
            raise InvalidConfiguration(path, f"has host and prefix of routes[{first}]")


def _check_targets(path: str, route: Route, service_names: set[str]) -> None:
    """The route's services must be known and have some weight."""
    if route.traffic_split:
        _check_traffic_split(path, route.traffic_split, service_names)
        if not route.backend:  # absent, or left empty beside a split
            return
    if route.backend is None:
        raise InvalidConfiguration(path, "names no service")
    if route.backend not in service_names:
        raise InvalidConfiguration(f"{path}.backend", f"unknown service {route.backend!r}")


def _check_traffic_split(path: str, splits: Sequence[TrafficSplit], service_names: set[str]) -> None:
    total_weight = 0.0
    for index, split in enumerate(splits):
        split_path = f"{path}.trafficSplit[{index}]"
        if split.backend not in service_names:
            raise InvalidConfiguration(f"{split_path}.backend", f"unknown service {split.backend!r}")
        if split.weight < 0:
            raise InvalidConfiguration(f"{split_path}.weight", "a weight of 0 or more expected")
        total_weight += split.weight
    if total_weight <= 0:
        raise InvalidConfiguration(f"{path}.trafficSplit", "the weights add up to 0")


def _check_tenants(tenants: Sequence[Tenant]) -> None:
    """No API key may belong to two tenants."""
    owners: dict[str, int] = {}  # by API key
    for index, tenant in enumerate(tenants):
        for key in tenant.api_keys:
            owner = owners.setdefault(key, index)
            if owner != index:
                raise InvalidConfiguration(f"tenants[{index}].apiKeys", f"shares a key with tenants[{owner}]")
