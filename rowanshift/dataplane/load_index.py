"""How much each server still has to read, summed over all routers, by datagrams.

Each server has one router that keeps its sum: the holder of its id by rendezvous hashing over the members.
Others tell it what they send there and when its first event came, and ask before they send. All of it are
hints: a datagram that is lost, late or foreign makes a choice worse and breaks nothing. Nothing is kept for
longer than ``KEPT``.
"""

from collections import OrderedDict
from collections.abc import Sequence
from contextlib import suppress
from functools import lru_cache
from itertools import count
from struct import Struct

import trio
from loguru import logger

from rowanshift.net.transport import Address, Host, Port
from rowanshift.ownership import holder
from rowanshift.policy.ring import stable
from rowanshift.wire.machines import ip_of

RECORD = Struct(">2sBBIQI")  # magic, format, kind, call, server's mark, tokens
MAGIC, FORMAT = b"RL", 1
ASK, TOLD, ADD, DONE = range(4)
ASK_WITHIN = 0.006  # seconds that an answer is waited for
KEPT = 4.0  # seconds that what was told of a request counts, if nothing is heard of its end
MOST_KEPT = 20_000  # requests that one router keeps of others; the oldest goes
MOST_TOKENS = 0xFFFFFFFF


class Sums:
    """What was told of each server. No I/O."""

    def __init__(self) -> None:
        self.open: OrderedDict[tuple[Address, int], tuple[int, int, float]] = OrderedDict()
        self.tokens: dict[int, int] = {}  # by the server's mark

    def add(self, who: Address, call: int, server: int, tokens: int, now: float) -> None:
        """A request with so many tokens to read went to a server."""
        self.done(who, call)
        while self.open and (len(self.open) >= MOST_KEPT or next(iter(self.open.values()))[2] < now):
            self.done(*next(iter(self.open)))
        self.open[who, call] = server, tokens, now + KEPT
        self.tokens[server] = self.tokens.get(server, 0) + tokens

    def done(self, who: Address, call: int) -> None:
        """It is read, or over."""
        if (was := self.open.pop((who, call), None)) is not None:
            left = self.tokens.get(was[0], 0) - was[1]
            if left > 0:
                self.tokens[was[0]] = left
            else:
                self.tokens.pop(was[0], None)

    def of(self, server: int, now: float) -> int:
        """Tokens that a server still has to read."""
        while self.open and next(iter(self.open.values()))[2] < now:
            self.done(*next(iter(self.open)))
        return self.tokens.get(server, 0)


class LoadIndex:
    """Tokens to read at each server, summed over all routers, each server's sum kept by one owner."""

    def __init__(self, host: Host, address: Address, machine: int) -> None:
        self.host, self.address, self.machine = host, address, machine
        self.port: Port | None = None
        self.sums = Sums()
        self.peers: tuple[int, ...] = ()
        self.calls = count(1)
        self.waits: dict[int, tuple[dict[int, int], set[int], trio.Event]] = {}
        self.holder = lru_cache(4096)(lambda server: holder(server, self.peers))
        self.mark = lru_cache(16384)(stable)
        self.lost = 0  # questions without an answer

    def meet(self, peers: tuple[int, ...]) -> None:
        """All members now; without this router among them nothing is shared."""
        if peers != self.peers:
            self.peers = peers if self.machine in peers else ()
            self.holder.cache_clear()

    async def run(self) -> None:
        """Take datagrams of other routers in, for good."""
        self.port = self.host.port(self.address)
        while True:
            try:
                payload, sender = await self.port.receive(RECORD.size + 1)
            except OSError as error:
                logger.info("event=datagram_failed why={!r}", error)
                await self.host.pause(0.05)
                continue
            if len(payload) != RECORD.size:
                continue
            magic, form, kind, call, server, tokens = RECORD.unpack(payload)
            if magic != MAGIC or form != FORMAT:
                continue
            now = trio.current_time()
            if kind == ASK:
                await self._send(sender, TOLD, call, server, self.sums.of(server, now))
            elif kind == ADD:
                self.sums.add(sender, call, server, tokens, now)
            elif kind == DONE:
                self.sums.done(sender, call)
            elif kind == TOLD and (wait := self.waits.get(call)) is not None:
                wait[0][server] = tokens
                wait[1].discard(server)
                if not wait[1]:
                    wait[2].set()

    async def _send(self, to: Address, kind: int, call: int, server: int, tokens: int) -> None:
        with suppress(OSError):
            await self.port.send(RECORD.pack(MAGIC, FORMAT, kind, call, server, min(tokens, MOST_TOKENS)), to)

    def _place(self, server: str) -> Address | None:
        """Where a server's sum is kept; None: nowhere, or here."""
        member = self.holder(server)
        return None if member is None or member == self.machine else (ip_of(member), self.address[1])

    # calls ------------------------------------------------

    async def ask(self, servers: Sequence[str]) -> dict[str, int]:
        """The sums of these servers, as far as they are known within ``ASK_WITHIN``."""
        if not self.peers or self.port is None:
            return {}
        now, told = trio.current_time(), {}
        marks = {self.mark(server): server for server in servers}
        waited = set()
        call = next(self.calls) & 0x7FFFFFFF
        for mark, server in marks.items():
            if (place := self._place(server)) is None:
                told[mark] = self.sums.of(mark, now)
            else:
                waited.add(mark)
                await self._send(place, ASK, call, mark, 0)
        if waited:
            wait = self.waits[call] = told, waited, trio.Event()
            try:
                with trio.move_on_after(ASK_WITHIN):
                    await wait[2].wait()
            finally:
                del self.waits[call]
                self.lost += bool(waited)
        return {marks[mark]: tokens for mark, tokens in told.items() if mark in marks}

    async def add(self, server: str, tokens: int) -> tuple[str, int]:
        """Tells of a request that is being sent; what is to be given to ``done``."""
        call = next(self.calls) & 0x7FFFFFFF
        if self.peers and self.port is not None:
            mark = self.mark(server)
            if (place := self._place(server)) is None:
                self.sums.add(self.address, call, mark, tokens, trio.current_time())
            else:
                await self._send(place, ADD, call, mark, tokens)
        return server, call

    async def done(self, told: tuple[str, int]) -> None:
        """Tells that a request was read, or has ended."""
        server, call = told
        if self.port is None:
            return
        if not self.peers or (place := self._place(server)) is None:
            self.sums.done(self.address, call)
        else:
            with trio.CancelScope(shield=True):
                await self._send(place, DONE, call, self.mark(server), 0)
