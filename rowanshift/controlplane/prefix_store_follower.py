"""Follows the prefix stores' events for all routers, which receive the holdings with their polls. A singleton task."""

from __future__ import annotations

from collections.abc import Callable

import orjson
import trio
from loguru import logger

from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.kv_index.block_holder import BlockHolder
from rowanshift.kv_index.errors import MalformedHoldings
from rowanshift.kv_index.prefix_holdings import PrefixHoldings
from rowanshift.transport.call_client import CallFailed, PersistentCaller
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address
from rowanshift.transport.supervision import run_supervised

HOLDINGS_UPDATE_SECONDS = 0.25  # interval between updates of the combined holdings of all stores
EVENTS_LONG_POLL_MS = 1000  # maximum time for which a store may hold a request for events
EVENTS_TIMEOUT_SECONDS = 1.6  # timeout for the response to such a request
EVENTS_INTERVAL_SECONDS = 0.2  # minimum interval between the starts of two requests
STORE_RETRY_SECONDS = 0.5  # additional delay after a failed request


class PrefixStoreFollower:
    """Polls the events of each prefix store in the configuration while this machine holds the lease.

    ``store_addresses`` returns the stores to follow; ``on_change`` is called when ``holdings`` has changed.
    """

    def __init__(
        self,
        runtime: Runtime,
        memory: MemoryBudget,
        replica_runner: ReplicaRunner,
        store_addresses: Callable[[], set[Address]],
        on_change: Callable[[], None],
    ) -> None:
        self.runtime = runtime
        self.memory = memory
        self.replica_runner = replica_runner
        self.store_addresses = store_addresses
        self.on_change = on_change
        self.holdings = PrefixHoldings()
        self.holders: dict[Address, BlockHolder] = {}

    def reset(self) -> None:
        """Reset the holdings, because the primary has changed."""
        self.holdings = PrefixHoldings()

    async def run(self, nursery: Nursery) -> None:
        """Follow each store in its own task; runs until cancelled."""
        while True:
            wanted = self.store_addresses() if self.replica_runner.lease_remaining() else set()
            for address in wanted - self.holders.keys():
                self.holders[address] = BlockHolder("{}:{}".format(*address))
                name = "prefix_store_{}:{}".format(*address)
                nursery.start_soon(
                    run_supervised, self.runtime.pause, name, self._follow_store, address, self.holders[address]
                )
            for address in self.holders.keys() - wanted:
                del self.holders[address]
            self._update_holdings()
            await self.runtime.pause(HOLDINGS_UPDATE_SECONDS)

    def _update_holdings(self) -> None:
        block_hashes = {block_hash for holder in self.holders.values() for block_hash in holder.hashes()}
        if self.holdings.update(block_hashes):
            self.on_change()

    async def _follow_store(self, address: Address, holder: BlockHolder) -> None:
        """Poll one store until it is removed from ``holders``."""
        connection = PersistentCaller(self.runtime, self.memory, address)
        try:
            while self.holders.get(address) is holder:
                requested_at = trio.current_time()
                try:
                    await self._poll_store(connection, address, holder)
                except (CallFailed, MalformedHoldings, ValueError) as error:
                    self._discard_holdings(address, holder, error)
                    await self.runtime.pause(STORE_RETRY_SECONDS)
                await self.runtime.pause(max(0.0, requested_at + EVENTS_INTERVAL_SECONDS - trio.current_time()))
        finally:
            connection.close()

    async def _poll_store(self, connection: PersistentCaller, address: Address, holder: BlockHolder) -> None:
        """Request the complete list of the store, or the events since the last response, and apply the response."""
        has_list = holder.has_list
        target = b"/kv-events?since=%d" % holder.next_event if has_list else b"/kv-list"
        fields = [(b"Wait-Ms", b"%d" % EVENTS_LONG_POLL_MS)]
        response = await connection.call(b"GET", target, fields, EVENTS_TIMEOUT_SECONDS)
        if response.status != 200:
            raise MalformedHoldings(f"expected status 200, found {response.status}")
        content = orjson.loads(response.body)
        if not has_list:
            holder.apply_list(content)
        elif not holder.apply_events(content):
            logger.info("event=store_events_lost store={}:{}", *address)

    def _discard_holdings(self, address: Address, holder: BlockHolder, error: Exception) -> None:
        """Discard the holdings of a store after a failed request."""
        if holder.blocks or holder.has_list:
            logger.info("event=store_unreachable store={}:{} why={!r}", *address, str(error))
        holder.reset()
        self._update_holdings()
