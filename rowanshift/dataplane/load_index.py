"""How much each server still has to read, and whether it answers, by what all routers tell: by datagrams.

Each server has one router that keeps its sum: the holder of its id by rendezvous hashing over the members.
Others tell it what they send there and how that ended, and ask before they send. Where too many requests end badly
(``server_health``) its answer is ``AVOIDED`` tokens higher, so that another server is taken. All of it are hints:
a datagram that is lost, late or foreign makes a choice worse and breaks nothing. Nothing is kept for longer than
``KEPT``.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from contextlib import suppress
from enum import IntEnum
from functools import lru_cache
from itertools import count
from struct import Struct
from typing import NamedTuple

import trio
from loguru import logger

from rowanshift.dataplane.ownership import owner_of
from rowanshift.dataplane.server_health import ServerHealthTracker
from rowanshift.placement.hash_ring import stable_hash
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Port
from rowanshift.wire.machine_ids import ip_from_machine_id

RECORD = Struct(">2sBBIQI")  # magic, format, kind, call, server's mark, tokens
MAGIC, FORMAT = b"RL", 1
AVOIDED = 1_000_000  # tokens that are added to the sum of a server that fails its requests


class DatagramKind(IntEnum):
    """What a datagram says; kinds that a router does not know are left."""

    ASK = 0  # how much do these servers still have to read? ``tokens`` is 1 for the one that is wanted
    TOLD = 1  # the answer to it
    ADD = 2  # a request went to a server, with so many tokens to read
    DONE = 3  # its first bytes came
    FAILED = 4  # it got no answer, or a failure of the server
    DROPPED = 5  # it ended in a way that says nothing of the server


VERDICTS = (DatagramKind.DONE, DatagramKind.FAILED, DatagramKind.DROPPED)
ASK_WITHIN = 0.006  # seconds that an answer is waited for
KEPT = 4.0  # seconds that what was told of a request counts, if nothing is heard of its end
MOST_KEPT = 20_000  # requests that one router keeps of others; the oldest goes
MOST_TOKENS = 0xFFFFFFFF


Call = tuple[Address, int]  # of a router, and its number there


class OpenRequest(NamedTuple):
    """A request that a server has not answered yet. Times are trio's, in seconds."""

    server: int  # its mark
    tokens: int
    since: float


class Sums:
    """What was told of each server. No I/O."""

    def __init__(self) -> None:
        self.open: OrderedDict[Call, OpenRequest] = OrderedDict()
        self.tokens: dict[int, int] = {}  # by the server's mark
        self.health = ServerHealthTracker()
        # the oldest first, also some that ended already; ``MOST_KEPT`` at most, beyond which one is never overdue
        self.in_time: deque[tuple[Call, OpenRequest]] = deque()
        self.overdue: dict[Call, bool] = {}  # open requests, and whether they counted as badly ended

    def add(self, who: Address, call: int, server: int, tokens: int, now: float) -> None:
        """A request with so many tokens to read went to a server."""
        self.done(who, call)
        while len(self.open) >= MOST_KEPT:
            self.done(*next(iter(self.open)))
        self._forget_old(now)
        self._note_overdue(now)
        while len(self.in_time) >= MOST_KEPT:
            self.in_time.popleft()
        self.open[who, call] = request = OpenRequest(server, tokens, now)
        self.in_time.append(((who, call), request))
        self.tokens[server] = self.tokens.get(server, 0) + tokens

    def done(self, who: Address, call: int) -> OpenRequest | None:
        """It is read, or over; what it was."""
        if (was := self.open.pop((who, call), None)) is None:
            return None
        self.overdue.pop((who, call), None)
        left = self.tokens.get(was.server, 0) - was.tokens
        if left > 0:
            self.tokens[was.server] = left
        else:
            self.tokens.pop(was.server, None)
        return was

    def ended(self, who: Address, call: int, verdict: DatagramKind, now: float) -> None:
        """It is read, or over, and what that says of its server."""
        self._note_overdue(now)
        counted = self.overdue.get((who, call))
        if (was := self.done(who, call)) is None:
            return
        if verdict is DatagramKind.DONE and counted is None:
            self.health.record_success(was.server, was.tokens, now - was.since, now)
        elif verdict is DatagramKind.DONE:
            self.health.record_late_response(was.server, now)
        elif verdict is DatagramKind.FAILED and not counted:
            self.health.record_failure(was.server, now)

    def of(self, server: int, now: float) -> int:
        """Tokens that a server still has to read."""
        self._forget_old(now)
        return self.tokens.get(server, 0)

    def told(self, server: int, now: float, wanted: bool) -> int:
        """The same, and ``AVOIDED`` more where the server fails its requests; ``wanted``: the asker would send one
        there."""
        self._note_overdue(now)
        return self.of(server, now) + AVOIDED * self.health.should_avoid(server, now, wanted)

    def _forget_old(self, now: float) -> None:
        while self.open and next(iter(self.open.values())).since + KEPT < now:
            self.done(*next(iter(self.open)))

    def _note_overdue(self, now: float) -> None:
        """Count requests whose first bytes should have come; those behind one with a longer prompt wait for it."""
        while self.in_time:
            call, request = self.in_time[0]
            if self.open.get(call) is request:
                if now < request.since + self.health.first_bytes_due_seconds(request.tokens):
                    return
                self.overdue[call] = self.health.record_overdue(request.server, request.since, now)
            self.in_time.popleft()


class LoadIndex:
    """Tokens to read at each server, summed over all routers, each server's sum kept by one owner."""

    def __init__(self, host: Runtime, address: Address, machine: int) -> None:
        self.host, self.address, self.machine = host, address, machine
        self.port: Port | None = None
        self.sums = Sums()
        self.peers: tuple[int, ...] = ()
        self.calls = count(1)
        self.waits: dict[int, tuple[dict[int, int], set[int], trio.Event]] = {}
        self.owner_of = lru_cache(4096)(lambda server: owner_of(server, self.peers))
        self.mark = lru_cache(16384)(stable_hash)
        self.lost = 0  # questions without an answer

    def meet(self, peers: tuple[int, ...]) -> None:
        """All members now; without this router among them nothing is shared."""
        if peers != self.peers:
            self.peers = peers if self.machine in peers else ()
            self.owner_of.cache_clear()

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
            if kind == DatagramKind.ASK:
                await self._send(
                    sender, DatagramKind.TOLD, call, server, self.sums.told(server, now, wanted=tokens == 1)
                )
            elif kind == DatagramKind.ADD:
                self.sums.add(sender, call, server, tokens, now)
            elif kind in VERDICTS:
                self.sums.ended(sender, call, DatagramKind(kind), now)
            elif kind == DatagramKind.TOLD and (wait := self.waits.get(call)) is not None:
                wait[0][server] = tokens
                wait[1].discard(server)
                if not wait[1]:
                    wait[2].set()

    async def _send(self, to: Address, kind: DatagramKind, call: int, server: int, tokens: int) -> None:
        with suppress(OSError):
            await self.port.send(RECORD.pack(MAGIC, FORMAT, kind, call, server, min(tokens, MOST_TOKENS)), to)

    def _place(self, server: str) -> Address | None:
        """Where a server's sum is kept; None: nowhere, or here."""
        member = self.owner_of(server)
        return None if member is None or member == self.machine else (ip_from_machine_id(member), self.address[1])

    # calls ------------------------------------------------

    async def ask(self, servers: Sequence[str]) -> dict[str, int]:
        """The sums of these servers, the first of which is wanted, as far as they are known within ``ASK_WITHIN``."""
        if not self.peers or self.port is None:
            return {}
        now, told = trio.current_time(), {}
        marks = {self.mark(server): server for server in servers}
        waited = set()
        call = next(self.calls) & 0x7FFFFFFF
        for mark, server in marks.items():
            if (place := self._place(server)) is None:
                told[mark] = self.sums.told(mark, now, wanted=server == servers[0])
            else:
                waited.add(mark)
                await self._send(place, DatagramKind.ASK, call, mark, int(server == servers[0]))
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
        """Tells of a request that is being sent; what is to be given to ``ended``."""
        call = next(self.calls) & 0x7FFFFFFF
        if self.peers and self.port is not None:
            mark = self.mark(server)
            if (place := self._place(server)) is None:
                self.sums.add(self.address, call, mark, tokens, trio.current_time())
            else:
                await self._send(place, DatagramKind.ADD, call, mark, tokens)
        return server, call

    async def ended(self, told: tuple[str, int], verdict: DatagramKind) -> None:
        """Tells that a request was read, or has ended, and what that says of its server; only the first counts."""
        server, call = told
        if self.port is None:
            return
        if not self.peers or (place := self._place(server)) is None:
            self.sums.ended(self.address, call, verdict, trio.current_time())
        else:
            with trio.CancelScope(shield=True):
                await self._send(place, verdict, call, self.mark(server), 0)
