"""The singleton tasks, which only the lease holder runs: endpoint list, prefix stores and version rollout.

All of them stop when the lease expires. Their state is discarded when the primary changes.
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
from rowanshift.transport.supervision import run_supervised

ROLLOUT_FRACTION = 0.85  # fraction of ``versionMs`` after which an announced version should be on all servers


class SingletonTasks:
    """The three tasks and the server registry that they share.

    ``versions`` returns the committed version of each model and ``store_addresses`` the prefix stores in the committed
    configuration; ``on_change`` is called when there is new data for routers.
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
        self.runtime = runtime
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
        """The combined holdings of all prefix stores."""
        return self.prefix_stores.holdings

    def start(self, nursery: Nursery) -> None:
        """Start the tasks; they run until the nursery is cancelled."""
        pause = self.runtime.pause
        nursery.start_soon(run_supervised, pause, "endpoint_list", self.endpoint_list.run)
        nursery.start_soon(run_supervised, pause, "rollout", self.rollout.run, nursery)
        nursery.start_soon(run_supervised, pause, "prefix_stores", self.prefix_stores.run, nursery)

    def reset(self) -> None:
        """Discard the state of the tasks, because the primary has changed; the endpoint list is read again.

        The announcement times of versions are kept, because they do not depend on the primary.
        """
        self.registry = ServerRegistry(rollout_seconds=self.rollout_seconds, announcements=self.registry.announcements)
        self.prefix_stores.reset()

    def _registry(self) -> ServerRegistry:
        return self.registry
