"""Follows the events of the prefix stores, as a singleton role: what they hold goes to all routers with the polls."""

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

HOLDINGS_UPDATE_SECONDS = 0.25  # between updates of what all stores hold
EVENTS_LONG_POLL_MS = 1000  # that a store may hold a question for events
EVENTS_TIMEOUT_SECONDS = 1.6  # for its answer
EVENTS_INTERVAL_SECONDS = 0.2  # from the start of one question to that of the next
STORE_RETRY_SECONDS = 0.5  # until a store that failed is asked again


class PrefixStoreFollower:
    """Asks each store that the configuration names for its events, while this machine holds the lease.

    ``store_addresses`` gives the stores to follow, ``on_change`` is called when ``holdings`` has changed.
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
        """Start with empty holdings: the primary has changed."""
        self.holdings = PrefixHoldings()

    async def run(self, nursery: Nursery) -> None:
        """Follow the stores, each in a task of its own; runs until it is cancelled."""
        while True:
            wanted = self.store_addresses() if self.replica_runner.lease_remaining() else set()
            for address in wanted - self.holders.keys():
                self.holders[address] = BlockHolder("{}:{}".format(*address))
                nursery.start_soon(self._follow, address, self.holders[address])
            for address in self.holders.keys() - wanted:
                del self.holders[address]
            self._update_holdings()
            await self.runtime.pause(HOLDINGS_UPDATE_SECONDS)

    def _update_holdings(self) -> None:
        block_hashes = {block_hash for holder in self.holders.values() for block_hash in holder.hashes()}
        if self.holdings.update(block_hashes):
            self.on_change()

    async def _follow(self, address: Address, holder: BlockHolder) -> None:
        """Ask one store until it is no longer to be followed."""
        connection = PersistentCaller(self.runtime, self.memory, address)
        while self.holders.get(address) is holder:
            asked_at = trio.current_time()
            try:
                await self._ask(connection, address, holder)
            except (CallFailed, MalformedHoldings, ValueError) as error:
                self._discard(address, holder, error)
                await self.runtime.pause(STORE_RETRY_SECONDS)
            await self.runtime.pause(max(0.0, asked_at + EVENTS_INTERVAL_SECONDS - trio.current_time()))
        connection.close()

    async def _ask(self, connection: PersistentCaller, address: Address, holder: BlockHolder) -> None:
        """Ask for the store's complete list, or for the events since the last answer, and apply the answer."""
        has_list = holder.has_list
        target = b"/kv-events?since=%d" % holder.next_event if has_list else b"/kv-list"
        fields = [(b"Wait-Ms", b"%d" % EVENTS_LONG_POLL_MS)]
        answer = await connection.call(b"GET", target, fields, EVENTS_TIMEOUT_SECONDS)
        if answer.status != 200:
            raise MalformedHoldings(f"status {answer.status}")
        data = orjson.loads(answer.body)
        if not has_list:
            holder.apply_list(data)
        elif not holder.apply_events(data):
            logger.info("event=store_events_lost store={}:{}", *address)

    def _discard(self, address: Address, holder: BlockHolder, error: Exception) -> None:
        """Drop what is known of a store that failed."""
        if holder.blocks or holder.has_list:
            logger.info("event=store_unreachable store={}:{} why={!r}", *address, str(error))
        holder.reset()
        self._update_holdings()
