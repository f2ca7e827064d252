"""The tasks of the lease holder: reading the endpoint list, following the prefix stores, rolling versions out.

All of them stop when the lease ends, and what they have learned is dropped when the primary changes.
"""

from __future__ import annotations

from collections.abc import Callable

from rowanshift.controlplane.endpoint_list import EndpointListReader
from rowanshift.controlplane.model_server_client import ModelServerClient
from rowanshift.controlplane.prefix_store_follower import PrefixStoreFollower
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.controlplane.version_rollout import VersionRollout
from rowanshift.kv_index.prefix_holdings import PrefixHoldings
from rowanshift.process.node_settings import NodeSettings
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address

ROLLOUT_FRACTION = 0.85  # of ``versionMs``, in which all servers should have an announced version


class SingletonTasks:
    """The three tasks with the registry of servers that they share.

    ``versions`` gives the announced version of each model and ``store_addresses`` the prefix stores, both as
    committed; ``on_change`` is called when there is something new for routers.
    """

    def __init__(
        self,
        runtime: Runtime,
        memory: MemoryBudget,
        replica_runner: ReplicaRunner,
        settings: NodeSettings,
        versions: Callable[[], dict[str, int]],
        store_addresses: Callable[[], set[Address]],
        on_change: Callable[[], None],
    ) -> None:
        self.rollout_seconds = ROLLOUT_FRACTION * settings.bounds.version_ms / 1000
        self.registry = ServerRegistry(rollout_seconds=self.rollout_seconds)
        self.endpoint_list = EndpointListReader(
            runtime, memory, replica_runner, settings.cloud_api_address, self._registry, on_change
        )
        self.rollout = VersionRollout(
            runtime,
            replica_runner,
            ModelServerClient(runtime, memory),
            settings.name,
            self._registry,
            versions,
            on_change,
        )
        self.prefix_stores = PrefixStoreFollower(runtime, memory, replica_runner, store_addresses, on_change)

    @property
    def holdings(self) -> PrefixHoldings:
        """What all prefix stores hold."""
        return self.prefix_stores.holdings

    def start(self, nursery: Nursery) -> None:
        """Start the tasks; they end when the nursery is cancelled."""
        nursery.start_soon(self.endpoint_list.run)
        nursery.start_soon(self.rollout.run, nursery)
        nursery.start_soon(self.prefix_stores.run, nursery)

    def reset(self) -> None:
        """Drop what was learned, as the primary has changed; the list is read anew.

        The dates of the announced versions stay: they are as true under the next primary.
        """
        self.registry = ServerRegistry(rollout_seconds=self.rollout_seconds, announcements=self.registry.announcements)
        self.prefix_stores.reset()

    def _registry(self) -> ServerRegistry:
        return self.registry
