"""What the request path asks of the router's copy of the control plane's state."""

from typing import Protocol

from rowanshift.dataplane.endpoints import Endpoints
from rowanshift.dataplane.routing_table import RoutingTable


class ControlState(Protocol):
    """The configuration and the servers as this router knows them; times in seconds of trio's clock."""

    routing_table: RoutingTable
    endpoints: Endpoints
    stored_block_hashes: set[int]  # of the prefix blocks that stores hold

    def required_version(self, model: str, now: float) -> int:
        """The lowest version of a model's weights that a server must have."""

    def seconds_overdue(self, model: str, version: int, now: float) -> float | None:
        """Seconds since a newer version than ``version`` was announced, if its deadline is near or over."""

    async def wait_until_fresh(self, timeout: float) -> None:
        """Wait, for ``timeout`` seconds at most, while the state may be out of date."""

    async def wait_until_may_refuse(self, timeout: float) -> bool:
        """Wait, for ``timeout`` seconds at most, until the state is recent; whether it is."""

    def may_refuse(self) -> bool:
        """Whether the state is recent enough to refuse a client for good."""

    def may_admit_key(self, came_at: float) -> bool:
        """Whether the keys are recent enough to admit a request that came at ``came_at``."""

    async def wait_for_update(self, timeout: float) -> None:
        """Wait until the state changes, for ``timeout`` seconds at most."""
