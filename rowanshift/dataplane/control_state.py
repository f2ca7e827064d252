"""The interface through which the request path reads the router's copy of the control state."""

from typing import Protocol

from rowanshift.dataplane.endpoints import Endpoints
from rowanshift.dataplane.routing_table import RoutingTable


class ControlState(Protocol):
    """The configuration and the servers as this router knows them; times in seconds of trio's clock."""

    routing_table: RoutingTable
    endpoints: Endpoints
    stored_block_hashes: set[int]  # hashes of the prefix blocks held by stores

    def required_version(self, model: str, now: float) -> int:
        """The lowest version of a model's weights that a server must have."""

    def seconds_overdue(self, model: str, version: int, now: float) -> float | None:
        """Seconds since the first newer version than ``version`` was announced, if its deadline is near or over."""

    async def wait_until_fresh(self, timeout: float) -> None:
        """Wait briefly while the state may be out of date; ``timeout`` is the client's remaining time in seconds."""

    async def wait_until_may_refuse(self, timeout: float) -> bool:
        """Wait, for ``timeout`` seconds at most, until ``may_refuse`` holds; returns whether it does."""

    def may_refuse(self) -> bool:
        """Whether the state is recent enough to refuse a client for good."""

    def may_admit_key(self, arrived_at: float) -> bool:
        """Whether the API keys are recent enough to admit a request that arrived at ``arrived_at``."""

    async def wait_for_update(self, timeout: float) -> None:
        """Wait until the state changes, for ``timeout`` seconds at most."""
