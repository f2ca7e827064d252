"""Where a server may take the parts of a prompt from, and where it is to give them. No I/O."""

from collections import OrderedDict
from typing import Protocol

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.requests import Request, salt_of
from rowanshift.dataplane.routing_table import RoutingTable, Tenant
from rowanshift.kv_index.block_hashes import block_hash, presence_hash, store_for_prefix
from rowanshift.placement.shadows import Pool, is_open

LEAST_MOVED = 64  # tokens in common that are worth a move
LEAST_SOUGHT = 1000  # tokens in common that the home of a prompt seeks at its successors
SOURCES = 3  # servers on the ring walk, the home first, that shared parts are sought at
SAVED_FOR, MOST_SAVED = 8.0, 4096  # seconds in which a part is not given to a store again; parts remembered


def source_of(pool: Pool, request: Request, mark: int, version: int, endpoint: Endpoint, now: float) -> Endpoint | None:
    """The server that may keep the shared parts of a request that goes to ``endpoint``: the first other one on the ring
    walk that takes requests and has the same weights.

    The home itself may lack them, as after its weights were loaded; then its successors may have them, which took its
    requests meanwhile. That is asked only for so many tokens that a vain question costs less than reading them.
    """
    if endpoint is pool.home(mark) and request.shared < LEAST_SOUGHT:
        return None
    for other in pool.ring.walk(mark, SOURCES):
        if other is not endpoint and is_open(other, now) and other.versions.get(request.model, 0) == version:
            return other
    return None


class Stores(Protocol):
    """What is known of stores."""

    routing_table: RoutingTable
    stored_block_hashes: set[int]  # of the prefix blocks that stores hold


class KvMoves:
    """Chooses the moves of each request, and remembers for a while what was given to a store."""

    def __init__(self, state: Stores) -> None:
        self.state = state
        self.saved: OrderedDict[int, float] = OrderedDict()  # parts given to a store, until when

    def choose(
        self, request: Request, tenant: Tenant | None, version: int, home: Endpoint | None, now: float
    ) -> tuple[bytes | None, bytes | None]:
        """The addresses for ``Kv-Fetch`` and ``Kv-Save``: where the server may take the shared parts from, and the
        store that it is to give them to."""
        shared = request.parts[:-1]
        if not shared or not version:
            return None, None
        near = home.address.encode() if home is not None else None
        stored = self.state.stored_block_hashes
        stores = [
            service.store_address for service in self.state.routing_table.services.values() if service.store_address
        ]
        store = store_for_prefix((at for at in stores if presence_hash(at) in stored), shared[-1][0].decode("latin-1"))
        if store is None or request.shared < LEAST_MOVED:
            return near, None
        address, salt = store.encode(), salt_of(tenant, version).decode("latin-1")
        hashes = [block_hash(store, request.model, salt, id.decode("latin-1")) for id, _ in shared]
        lacking = [hash_ for hash_ in hashes if hash_ not in stored]
        fetch = near if lacking and (near or len(lacking) == len(hashes)) else address
        if not lacking or all(self.saved.get(hash_, 0.0) > now for hash_ in lacking):
            return fetch, None
        while len(self.saved) >= MOST_SAVED:
            self.saved.popitem(last=False)
        for hash_ in lacking:
            self.saved[hash_] = now + SAVED_FOR
        return fetch, address
