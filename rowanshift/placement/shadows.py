"""Selection of the model server for a request. No I/O, no clock: times are passed in, in seconds.

A request goes to the ring home of its prompt's prefix, to a shadow of the home while the prefix is hot, or to
the next server on the ring while the home is unavailable or has far more open requests than the mean.
"""

import random
from collections.abc import Container, Sequence
from typing import Generic, Protocol, TypeVar

from rowanshift.placement.hash_ring import HashRing, stable_hash
from rowanshift.placement.hot_keys import HotKeyTracker

VIRTUAL_NODES_PER_SERVER = 128
MAX_SUCCESSORS = 8  # servers considered for a prefix, in addition to its shadows
SILENCE_SECONDS = 0.8  # a server with open requests that sent no byte for longer gets no new ones
INITIAL_BACKOFF_SECONDS = 0.25  # after a failed connection attempt; doubled after each further one
MAX_BACKOFF_SECONDS = 4.0
MAX_BACKOFF_DOUBLINGS = 8
MAX_ALTERNATIVES = 2  # servers compared with the selected one
LOAD_THRESHOLD_TOKENS = 1500  # pending prompt tokens up to which a server is not compared with others
MOVE_COST_FRACTION = 0.3  # cost of transferring a token's cache entry, relative to computing the token
OVERLOAD_FACTOR = 2.0  # a server is overloaded from this multiple of the mean of open requests ...
OVERLOAD_SLACK_REQUESTS = 3.0  # ... plus this number of requests


class Server(Protocol):
    """The state of a server that placement reads."""

    id: str
    versions: dict[str, int]  # version of the weights, by model
    listed: bool
    draining: bool
    loading: bool
    open_requests: int  # sent by this router
    last_received_at: float
    backed_off_until: float
    failed_dials: int  # consecutive


ServerT = TypeVar("ServerT", bound=Server)


def accepts_requests(server: Server, now: float) -> bool:
    """Whether a new request may go to a server, regardless of its load."""
    if not server.listed or server.draining or server.loading or now < server.backed_off_until:
        return False
    return not (server.open_requests and now - server.last_received_at > SILENCE_SECONDS)


def back_off(server: Server, now: float) -> None:
    """Exclude a server for a while: a connection attempt failed, or the server no longer exists."""
    server.failed_dials += 1
    doublings = min(server.failed_dials - 1, MAX_BACKOFF_DOUBLINGS)
    until = now + min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**doublings)
    server.backed_off_until = max(server.backed_off_until, until)


def least_loaded(
    selected: ServerT, alternatives: Sequence[ServerT], tokens_to_read: dict[str, int], shared_tokens: int
) -> ServerT:
    """The selected server, or an alternative with clearly less load if the selected one is heavily loaded.

    ``tokens_to_read``: known pending tokens by server id. ``shared_tokens`` would be moved to an alternative.
    """
    if tokens_to_read.get(selected.id, 0) <= LOAD_THRESHOLD_TOKENS:
        return selected
    known = [server for server in alternatives if server.id in tokens_to_read]
    best = min(known, default=selected, key=lambda server: tokens_to_read[server.id])
    cost = tokens_to_read.get(best.id, 0) + MOVE_COST_FRACTION * shared_tokens
    return best if cost < tokens_to_read[selected.id] else selected


def ring_position(model: str, prefix: bytes) -> int:
    """A prefix's position on the hash ring, the same at every router."""
    return stable_hash(f"{model}|{prefix.decode('latin-1')}") >> 32


class ServerPool(Generic[ServerT]):
    """The available servers of a service, their hash ring and the service's hot prefixes."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.hot_keys = HotKeyTracker(0.0)
        self.ring: HashRing[ServerT] = HashRing(lambda server: server.id)
        self.servers: list[ServerT] = []
        self.replica_by_position: dict[int, ServerT] = {}  # current choice for each hot prefix

    def set_servers(self, servers: list[ServerT]) -> None:
        """Set the available servers."""
        self.servers = servers
        self.ring.set_point_counts(dict.fromkeys(servers, VIRTUAL_NODES_PER_SERVER))
        self.replica_by_position = {
            position: server for position, server in self.replica_by_position.items() if server in servers
        }

    def record_access(self, position: int, now: float) -> None:
        """Count one request for a prefix at this router."""
        self.hot_keys.record_access(position)
        if self.hot_keys.is_epoch_due(now):
            self.hot_keys.end_epoch(now, len(self.servers))

    def select(self, position: int, now: float, model: str, version: int, excluded: Container[str]) -> ServerT | None:
        """The server for a prefix, with at least this version of the model; None if there is none."""

        def is_eligible(server: ServerT) -> bool:
            if server.id in excluded or not accepts_requests(server, now):
                return False
            return server.versions.get(model, 0) >= version

        hot_key = self.hot_keys.get(position)
        shadows = hot_key.shadows if hot_key is not None else 0
        successors = self.ring.successors(position, MAX_SUCCESSORS + shadows)
        candidates = [server for server in successors if is_eligible(server)]
        if not candidates:
            eligible = filter(is_eligible, self.servers)
            return min(eligible, default=None, key=lambda server: server.open_requests)
        limit = self._open_requests_limit()
        if shadows:
            return self._replica(position, candidates[: shadows + 1], limit)
        return next((server for server in candidates if server.open_requests < limit), candidates[0])

    def _open_requests_limit(self) -> float:
        """The number of open requests from which on a server is skipped."""
        mean = sum(server.open_requests for server in self.servers) / len(self.servers)
        return OVERLOAD_FACTOR * mean + OVERLOAD_SLACK_REQUESTS

    def alternatives(
        self, position: int, now: float, model: str, selected: ServerT, excluded: Container[str]
    ) -> list[ServerT]:
        """The next servers on the ring that have at least the selected server's version of the model."""
        version = selected.versions.get(model, 0)
        capable = [
            server
            for server in self.ring.successors(position, MAX_SUCCESSORS)
            if server.id not in excluded and server.versions.get(model, 0) >= version
        ]
        available = [server for server in capable if server is not selected and accepts_requests(server, now)]
        return available[:MAX_ALTERNATIVES]

    def _replica(self, position: int, replicas: list[ServerT], limit: float) -> ServerT:
        """A randomly chosen replica, kept until its open requests reach the limit."""
        kept = self.replica_by_position.get(position)
        if kept is None or kept not in replicas:
            kept = replicas[int(self.random_source.random() * len(replicas))]
        elif kept.open_requests >= limit:
            kept = min(replicas, key=lambda server: server.open_requests)
        self.replica_by_position[position] = kept
        return kept

    def home(self, position: int) -> ServerT | None:
        """The first server for a prefix on the ring; None if the ring is empty."""
        return next(iter(self.ring.successors(position, 1)), None)
