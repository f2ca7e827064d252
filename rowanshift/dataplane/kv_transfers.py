"""KV cache transfers of a request: where its server may fetch shared prefix blocks, and the store to save them to.

Both are hints in the request's ``Kv-Fetch`` and ``Kv-Save`` headers: a server that finds no blocks at the source
computes them itself. No I/O.
"""

from collections import OrderedDict
from typing import NamedTuple, Protocol

from rowanshift.dataplane.cache_pools import cache_salt
from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.requests import Request
from rowanshift.dataplane.routing_table import RoutingTable
from rowanshift.kv_index.block_hashes import block_hash, presence_hash, store_for_prefix
from rowanshift.placement.shadows import ServerPool, accepts_requests

MIN_STORE_TRANSFER_TOKENS = 64  # shared tokens from which a transfer from or to a store is worthwhile
MIN_HOME_FETCH_TOKENS = 1000  # shared tokens from which a prompt's home server fetches from its successors
SOURCE_CANDIDATE_SERVERS = 3  # servers from the start of the ring walk, including the home, that may be a source
SAVE_REPEAT_SECONDS = 8.0  # a block that the store still lacks is saved again after this time
MAX_REMEMBERED_SAVES = 4096  # blocks; beyond it the oldest is forgotten and may be saved twice


class KvTransfer(NamedTuple):
    """The addresses (IP:PORT) of a request's transfers; ``None`` for no transfer."""

    fetch_from: bytes | None  # a server or a store
    save_to: bytes | None  # a store


NO_TRANSFER = KvTransfer(None, None)


def transfer_source(
    pool: ServerPool[Endpoint], request: Request, ring_position: int, version: int, endpoint: Endpoint, now: float
) -> Endpoint | None:
    """The server that may hold the shared blocks of a request for ``endpoint``; ``None`` if there is none.

    It is the first other server on the ring walk that is available and has the same version of the weights. ``now`` is
    in seconds of the clock of the endpoints' times.
    """
    # The home itself may lack the blocks, for example after loading weights. Its successors, which served its requests
    # meanwhile, are a source only for so many tokens that a failed fetch costs less than computing them.
    if endpoint is pool.home(ring_position) and request.shared_tokens < MIN_HOME_FETCH_TOKENS:
        return None
    for other in pool.ring.successors(ring_position, SOURCE_CANDIDATE_SERVERS):
        if other is not endpoint and accepts_requests(other, now) and other.versions.get(request.model, 0) == version:
            return other
    return None


class PrefixStoreState(Protocol):
    """The part of the control state that describes the prefix stores."""

    routing_table: RoutingTable
    stored_block_hashes: set[int]  # hashes of the blocks held by stores, and presence hashes of available stores


class KvTransferPlanner:
    """Plans the transfers of each request and remembers which blocks were saved recently."""

    def __init__(self, state: PrefixStoreState) -> None:
        self.state = state
        self.saved_until: OrderedDict[int, float] = OrderedDict()  # keyed by block hash, the oldest first

    def plan(self, request: Request, pool: bytes, version: int, source: Endpoint | None, now: float) -> KvTransfer:
        """The transfers of a request for a server with this version of the weights (0: unknown).

        ``pool`` is its pool of blocks, ``source`` a server that may hold its shared blocks. ``now`` is in seconds. A
        planned save counts as done for ``SAVE_REPEAT_SECONDS``.
        """
        shared_blocks = request.prompt_blocks[:-1]
        if not shared_blocks or not version:
            return NO_TRANSFER
        source_address = source.address.encode() if source is not None else None
        store = self._store_of(shared_blocks[-1][0])
        if store is None or request.shared_tokens < MIN_STORE_TRANSFER_TOKENS:
            return KvTransfer(source_address, None)
        salt = cache_salt(pool, version).decode("latin-1")
        hashes = [block_hash(store, request.model, salt, block_id.decode("latin-1")) for block_id, _ in shared_blocks]
        missing = [hash_ for hash_ in hashes if hash_ not in self.state.stored_block_hashes]
        store_address = store.encode()
        # A store that lacks some of the blocks is the source only if no server is; one that lacks all of them never is.
        store_is_source = not missing or (source_address is None and len(missing) < len(hashes))
        fetch_from = store_address if store_is_source else source_address
        if all(self.saved_until.get(hash_, 0.0) > now for hash_ in missing):
            return KvTransfer(fetch_from, None)
        self._remember_saves(missing, now)
        return KvTransfer(fetch_from, store_address)

    def _store_of(self, prefix: bytes) -> str | None:
        """The address of the store for a prefix, among the available ones."""
        stored = self.state.stored_block_hashes
        addresses = (service.store_address for service in self.state.routing_table.services.values())
        available = (address for address in addresses if address and presence_hash(address) in stored)
        return store_for_prefix(available, prefix.decode("latin-1"))

    def _remember_saves(self, hashes: list[int], now: float) -> None:
        while len(self.saved_until) >= MAX_REMEMBERED_SAVES:
            self.saved_until.popitem(last=False)
        for hash_ in hashes:
            self.saved_until[hash_] = now + SAVE_REPEAT_SECONDS
