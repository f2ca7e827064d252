"""The model servers that a router knows of, as the registry lists them, and its own load on each. No I/O.

Times are in seconds of a monotonic clock.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from rowanshift.placement.shadows import ServerPool


@dataclass(slots=True, eq=False)
class Endpoint:
    """One server as a router sees it."""

    id: str
    service: str
    address: str  # IP:PORT
    zone: str
    slots: int  # requests that it runs concurrently
    versions: dict[str, int]  # version of the weights, by model
    draining: bool = False  # it finishes its requests and gets no new ones
    loading: bool = False  # it is loading new weights
    listed: bool = True  # False once the registry no longer lists it
    open_requests: int = 0  # sent by this router
    last_received_at: float = 0.0  # time of the last byte, or of a request sent while none was open
    backed_off_until: float = 0.0  # it gets no requests before this time
    failed_dials: int = 0  # consecutive failed connection attempts

    def on_request_sent(self, now: float) -> None:
        """A request was sent to the server."""
        if not self.open_requests:
            self.last_received_at = now
        self.open_requests += 1

    def on_request_ended(self) -> None:
        """A request that was sent to the server has ended."""
        self.open_requests -= 1

    def on_bytes_received(self, now: float) -> None:
        """Bytes were received from the server, which ends its back-off."""
        self.last_received_at, self.failed_dials, self.backed_off_until = now, 0, 0.0


class Endpoints:
    """All endpoints by their id, and the pool of each service."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.pools: dict[str, ServerPool[Endpoint]] = {}  # keyed by service name
        self.by_id: dict[str, Endpoint] = {}

    def pool(self, service: str) -> ServerPool[Endpoint]:
        """The endpoints of a service that may get requests."""
        if service not in self.pools:
            self.pools[service] = ServerPool(self.random_source)
        return self.pools[service]

    def apply_listed(self, listed: list[Endpoint]) -> list[Endpoint]:
        """Apply the registry's complete list; returns endpoints no longer listed or replaced at another address.

        An endpoint that stays the same keeps its object, and with it its load and connections.
        """
        removed = []
        for endpoint in listed:
            known = self.by_id.get(endpoint.id)
            if known is not None and is_same_server(known, endpoint):
                apply_changes(known, endpoint)
                continue
            if known is not None:
                removed.append(known)
            self.by_id[endpoint.id] = endpoint
        listed_ids = {endpoint.id for endpoint in listed}
        for endpoint in [endpoint for endpoint in self.by_id.values() if endpoint.id not in listed_ids]:
            removed.append(endpoint)
            del self.by_id[endpoint.id]
        for endpoint in removed:
            endpoint.listed = False
        self._fill_pools(self.by_id.values())
        return removed

    def _fill_pools(self, endpoints: Iterable[Endpoint]) -> None:
        """Put the endpoints that may get requests into the pools of their services."""
        available: dict[str, list[Endpoint]] = {service: [] for service in self.pools}
        for endpoint in endpoints:
            if not endpoint.draining:
                available.setdefault(endpoint.service, []).append(endpoint)
        for service, members in available.items():
            pool = self.pool(service)
            if set(members) != set(pool.servers):
                pool.set_servers(members)


def is_same_server(known: Endpoint, endpoint: Endpoint) -> bool:
    """Whether both have the same address and service."""
    return known.address == endpoint.address and known.service == endpoint.service


def apply_changes(known: Endpoint, endpoint: Endpoint) -> None:
    """Copy the attributes that may change while a server stays the same."""
    known.draining, known.loading, known.slots = endpoint.draining, endpoint.loading, endpoint.slots
    known.versions = endpoint.versions
    known.listed = True
