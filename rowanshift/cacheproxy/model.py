"""The interface of the decision module: what goes in and what comes out, and what it remembers; types
only.

A front builds a ``Settings``, makes one ``choice.Router`` with it for each life of a router, calls the
router's methods as things happen and carries out what has gathered in its ``Results``. Times are seconds.
"""

from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from struct import Struct, pack, unpack_from
from typing import NamedTuple


class Semantics(Enum):
    RERUNNABLE = "safe"
    TICKETED = "keyed"
    EXCLUSIVE = "unsafe"


class Verdict(IntEnum):
    """How a hand-off ended."""

    FINISHED = 0
    MISS = 2
    ERROR = 5
    FULL = 11
    RESET = 104
    TIMED_OUT = 110
    UNREACHABLE = 111
    MOOT = 114
    WITHDRAWN = 125


class Category(NamedTuple):
    """One row of the category table."""

    credit: float
    due: float
    semantics: Semantics
    group: str
    window: float


class Entry(NamedTuple):
    """One cache server, or the origin, as a list names it."""

    server: str
    cell: int
    heft: float
    zone: int
    health: str  # live, quiescing or dead
    kind: int
    came_up: float  # 0: long ago


class Answer(Enum):
    DEFERRED = "bounce"
    WRITTEN_OFF = "error"


@dataclass(slots=True)
class Settings:
    categories: list[Category]
    quotas: list[float]  # work items a second of each customer, over all routers
    routers: int
    ordinal: int  # this router's number among them
    aside: bool
    origin_kind: int
    ask: bool
    ask_within: float
    live_heft: bool
    peers: bool
    retry_after: float  # 0: no time to come back may be given
    max_hand_offs: int
    overload_factor: float
    overload_for: float
    start_share: float
    warm_within: float
    cancelling: bool = True  # a hand-off may be withdrawn
    slow_end: float = 0.0  # weight of the part that falls with the share of misses
    miss_share: float = 0.0  # that such a part bears in full


@dataclass(slots=True)
class Results:
    """What a router wants done since its front last looked."""

    hand_offs: list[tuple[int, float, str]] = field(default_factory=list)  # wi, time-out (0: expiry), server
    withdrawals: list[tuple[int, int]] = field(default_factory=list)  # wi, hand-off number
    answers: list[tuple[int, Answer, float]] = field(default_factory=list)  # wi, answer, when to come back
    messages: list[tuple[int | None, bytes]] = field(default_factory=list)  # to a peer, or to all
    probes: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    subscribe: bool = False
    wake: float | None = None  # wait before the next call of ``woken``

    def __bool__(self) -> bool:
        return bool(
            self.hand_offs
            or self.answers
            or self.withdrawals
            or self.wake is not None
            or self.messages
            or self.log
            or self.subscribe
            or self.probes
        )


EDGES = [0.001 * 2 ** (i / 2) for i in range(1, 24)]  # seconds


class Histogram:
    """Answer times in a few coarse bins."""

    __slots__ = ("bins", "total")

    def __init__(self) -> None:
        self.bins, self.total = [0] * (len(EDGES) + 1), 0

    def add(self, seconds: float) -> None:
        self.bins[bisect_right(EDGES, seconds)] += 1
        self.total += 1

    def halve(self) -> None:
        self.bins = [n // 2 for n in self.bins]
        self.total = sum(self.bins)

    def quantile(self, q: float) -> float:
        left = q * self.total
        for edge, n in zip(EDGES, self.bins, strict=False):
            left -= n
            if left <= 0:
                return edge
        return EDGES[-1]


@dataclass(slots=True, eq=False)
class Cache:
    """What a router knows of one cache server, or of the origin."""

    entry: Entry
    mark: int  # the server's hash, as peers tell of it
    inflight: int = 0
    held: list[tuple[tuple[bool, float], int, "Item", int]] = field(default_factory=list)
    heard_at: float = 0.0  # last answer, or the first sending after none was out
    asked_at: float = 0.0  # when room was last asked for while cold
    answered_at: float = 0.0  # last answer
    limit: float = 8.0  # hand-offs out at once, under one a chance; adapts to answer times
    limit_at: float = 0.0
    strikes: int = 0
    silent_until: float = 0.0
    spent: Histogram = field(default_factory=Histogram)
    median: float = 0.0  # answer time of the origin, or of all caches
    base: float = 0.0  # the lowest such median; rises slowly


@dataclass(slots=True, eq=False)
class Item:
    """A work item that a router has taken and not yet answered."""

    id: int
    category: Category
    key: str | None
    expiry: float
    write: bool
    mark: int = 0  # the key's hash
    over: bool = False  # beyond its customer's share
    hos: list[tuple[Cache, float]] = field(default_factory=list)  # where and when it was handed
    out: int = 0  # hand-offs without an outcome
    ran_since: float | None = None  # first sending that may have run
    ran_group: int | None = None  # the group that drops its repeats
    missed: list[Cache] = field(default_factory=list)
    stage: int = 0  # changes whenever a timer set for it is overtaken
    streams: bool = False
    taken: bool = False  # back from a cache, for the origin
    refused: bool = False  # a hand-off found no connection
    last: bool = False  # its hand-off that is out: it can't be sent again
    held_at: float = 0.0  # since when it waits for room


@dataclass(slots=True, frozen=True)
class Learned:
    """What one process of a router passes on to the next, as plain numbers; times are Unix seconds."""

    servers: dict[str, tuple[float, float, float]]  # limit, median answer time and the lowest such median
    fleet: tuple[float, float, float]  # the same of all caches taken as one
    asked: list[float]  # work items a second of each customer
    warm_rate: float
    extra: float
    samples: float
    keys: dict[int, tuple[float, int, float, int]]  # by hash: score, streak, lease and shadows


HEAD = Struct(">BBffI")  # version and kind, keys, span, waited, samples
READ = Struct(">IH")  # key, reads less writes
CACHE = Struct(">BH")  # hand-offs out there, or 255ths to keep of what goes there, and the server


@dataclass(slots=True)
class Tally:
    """What a router saw for a while, or the sum of many; it goes to a peer in one message."""

    asked: list[int]  # work items of each customer
    span: float = 0.0  # router seconds
    waited: float = 0.0  # oldest wait of held work, times span
    samples: int = 0
    reads: dict[int, int] = field(default_factory=dict)  # key's hash to reads less writes, sampled
    out: dict[int, int] = field(default_factory=dict)  # server's hash to hand-offs out
    keep: dict[int, int] = field(default_factory=dict)  # in a total: to 255ths of reads to keep there
    total: bool = False  # over all routers

    def add(self, other: "Tally") -> None:
        self.asked = [a + b for a, b in zip(self.asked, other.asked, strict=True)]
        self.span += other.span
        self.waited += other.waited
        self.samples += other.samples
        for own, others in ((self.reads, other.reads), (self.out, other.out)):
            for mark, n in others.items():
                own[mark] = own.get(mark, 0) + n

    def pack(self) -> bytes:
        reads = sorted((-n, mark) for mark, n in self.reads.items() if n > 0 and 200 * n > self.samples)[:16]
        caches = self.keep if self.total else self.out
        rows = sorted((min(n, 255), mark) for mark, n in caches.items())[:: 1 if self.total else -1]
        head = HEAD.pack(0x40 | self.total, len(reads), self.span, self.waited, self.samples)
        head += pack(f">{len(self.asked)}I", *self.asked)
        head += b"".join(READ.pack(mark, min(-n, 65535)) for n, mark in reads)
        return head + b"".join(CACHE.pack(*row) for row in rows[: (256 - len(head)) // CACHE.size])

    @classmethod
    def unpack(cls, payload: bytes, customers: int) -> "Tally | None":
        """None for a message that a router of this version wouldn't send."""
        start = HEAD.size + 4 * customers
        if len(payload) < start or payload[0] not in (0x40, 0x41):
            return None
        kind, reads, span, waited, samples = HEAD.unpack_from(payload)
        end = start + READ.size * reads
        whole = len(payload) >= end and (len(payload) - end) % CACHE.size == 0
        if not whole or not (0 <= span < 1e9 and 0 <= waited < 1e9):
            return None
        caches = {mark: n for n, mark in CACHE.iter_unpack(payload[end:])}
        return cls(
            list(unpack_from(f">{customers}I", payload, HEAD.size)),
            span,
            waited,
            samples,
            dict(READ.iter_unpack(payload[start:end])),
            *(({}, caches) if kind & 1 else (caches, {})),
            bool(kind & 1),
        )
