"""The load index: the number of pending tokens at each server, over all routers, exchanged by datagram.

Each server's load has one owner among the routers (``ownership``), which keeps the count (``server_loads``). Routers
report the requests that they send, and how these ended, to the owner, and query it before they select a server. The
loads are hints: a lost, late or forged datagram makes a selection worse but never incorrect.
"""

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from itertools import count
from typing import NamedTuple

import trio
from loguru import logger

from rowanshift.dataplane.load_datagrams import (
    DATAGRAM_BYTES,
    REQUEST_END_KINDS,
    DatagramKind,
    LoadDatagram,
    decode_datagram,
    encode_datagram,
)
from rowanshift.dataplane.ownership import owner_of
from rowanshift.dataplane.server_loads import ServerLoads
from rowanshift.placement.hash_ring import stable_hash
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Port
from rowanshift.wire.machine_ids import ip_from_machine_id

QUERY_TIMEOUT_SECONDS = 0.006  # after which a server is selected by the responses received so far
RECEIVE_RETRY_SECONDS = 0.05  # delay after an error while receiving
MAX_NUMBER = 0x7FFF_FFFF  # of queries and requests; their numbers wrap around
CACHED_OWNERS = 4096  # server ids whose owner is cached until the peers change
CACHED_HASHES = 16384  # server ids whose hash is cached


class ReportedRequest(NamedTuple):
    """Identifies a request that was reported as sent, to report its end."""

    server: str  # the server's id
    number: int


@dataclass(slots=True)
class Query:
    """An open query to the owners of some servers, which are identified by the hashes of their ids."""

    tokens: dict[int, int]  # pending tokens, by server, received so far
    awaited: set[int]  # servers whose owner has not responded yet
    answered: trio.Event  # set when all owners have responded


class LoadIndex:
    """One router's part of the load index: it reports and queries loads, and owns the loads of some servers."""

    def __init__(self, runtime: Runtime, address: Address, machine: int) -> None:
        """``address`` is this router's address, with the port that all routers use; ``machine`` is its machine id."""
        self.runtime, self.address, self.machine = runtime, address, machine
        self.port: Port | None = None  # open while ``run`` runs
        self.server_loads = ServerLoads()
        self.peers: tuple[int, ...] = ()
        self.numbers = count(1)
        self.queries: dict[int, Query] = {}  # open ones, by number
        self.owner_of = lru_cache(CACHED_OWNERS)(lambda server: owner_of(server, self.peers))
        self.server_hash = lru_cache(CACHED_HASHES)(stable_hash)
        self.incomplete_queries = 0  # queries to which some owner did not respond in time

    def set_peers(self, peers: tuple[int, ...]) -> None:
        """Set the machine ids of all routers; if this one is not among them, it neither reports nor queries."""
        if peers != self.peers:
            self.peers = peers if self.machine in peers else ()
            self.owner_of.cache_clear()

    async def run(self) -> None:
        """Receive the datagrams of other routers, until cancelled."""
        self.port = self.runtime.port(self.address)
        while True:
            try:
                payload, sender = await self.port.receive(DATAGRAM_BYTES + 1)  # one more, to detect longer datagrams
            except OSError as error:
                logger.info("event=datagram_failed why={!r}", error)
                await self.runtime.pause(RECEIVE_RETRY_SECONDS)
                continue
            datagram = decode_datagram(payload)
            if datagram is None:
                continue
            if datagram.kind == DatagramKind.QUERY:
                may_probe = datagram.tokens == 1
                tokens = self.server_loads.reported_tokens(datagram.server, trio.current_time(), may_probe)
                await self._send(sender, DatagramKind.QUERY_RESPONSE, datagram.number, datagram.server, tokens)
            else:
                self._apply(datagram, sender)

    async def query(self, servers: Sequence[str]) -> dict[str, int]:
        """The pending tokens of these servers, by id, as far as they are known within ``QUERY_TIMEOUT_SECONDS``.

        The first server is the one that the request would be sent to.
        """
        if not self.peers or self.port is None:
            return {}
        now, number = trio.current_time(), self._next_number()
        pending_tokens: dict[int, int] = {}
        awaited: set[int] = set()
        server_by_hash = {self.server_hash(server): server for server in servers}
        for server_hash, server in server_by_hash.items():
            may_probe = server == servers[0]
            owner = self._remote_owner(server)
            if owner is None:
                pending_tokens[server_hash] = self.server_loads.reported_tokens(server_hash, now, may_probe)
            else:
                awaited.add(server_hash)
                await self._send(owner, DatagramKind.QUERY, number, server_hash, int(may_probe))
        if awaited:
            query = self.queries[number] = Query(pending_tokens, awaited, trio.Event())
            try:
                with trio.move_on_after(QUERY_TIMEOUT_SECONDS):
                    await query.answered.wait()
            finally:
                del self.queries[number]
                self.incomplete_queries += bool(awaited)
        # A response may be about a server that was not queried.
        return {server_by_hash[key]: tokens for key, tokens in pending_tokens.items() if key in server_by_hash}

    async def report_sent(self, server: str, tokens: int) -> ReportedRequest:
        """Report a request that is being sent to a server; pass the result to ``report_end``."""
        number = self._next_number()
        if self.peers and self.port is not None:
            owner = self._remote_owner(server)
            server_hash = self.server_hash(server)
            if owner is None:
                self.server_loads.add(self.address, number, server_hash, tokens, trio.current_time())
            else:
                await self._send(owner, DatagramKind.REQUEST_SENT, number, server_hash, tokens)
        return ReportedRequest(server, number)

    async def report_end(self, request: ReportedRequest, end_kind: DatagramKind) -> None:
        """Report how a request ended, as one of ``REQUEST_END_KINDS``; only the first report has an effect.

        Cancelling the caller does not stop the report: without it the request would be counted until it expires.
        """
        if self.port is None:
            return
        owner = self._remote_owner(request.server) if self.peers else None
        if owner is None:
            self.server_loads.end(self.address, request.number, end_kind, trio.current_time())
        else:
            with trio.CancelScope(shield=True):
                await self._send(owner, end_kind, request.number, self.server_hash(request.server), 0)

    def _apply(self, datagram: LoadDatagram, sender: Address) -> None:
        """Process a datagram that needs no response."""
        kind, number, server, tokens = datagram
        if kind == DatagramKind.REQUEST_SENT:
            self.server_loads.add(sender, number, server, tokens, trio.current_time())
        elif kind in REQUEST_END_KINDS:
            self.server_loads.end(sender, number, DatagramKind(kind), trio.current_time())
        elif kind == DatagramKind.QUERY_RESPONSE and (query := self.queries.get(number)) is not None:
            query.tokens[server] = tokens
            query.awaited.discard(server)
            if not query.awaited:
                query.answered.set()

    async def _send(self, to: Address, kind: DatagramKind, number: int, server: int, tokens: int) -> None:
        assert self.port is not None, "datagrams are sent only while run() has opened the port"
        with suppress(OSError):
            await self.port.send(encode_datagram(kind, number, server, tokens), to)

    def _remote_owner(self, server: str) -> Address | None:
        """The address of the router that owns a server's load; ``None`` if that is this router or there is none."""
        owner = self.owner_of(server)
        if owner is None or owner == self.machine:
            return None
        return ip_from_machine_id(owner), self.address[1]

    def _next_number(self) -> int:
        return next(self.numbers) & MAX_NUMBER
