"""Types of the decision module: its inputs, its outputs and the state that it keeps.

A driver builds a ``Settings``, creates one ``decision.router.Router`` with it whenever a router starts, reports
events by calling the router's methods and executes the accumulated ``Results``. Times are in seconds.
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
    """The outcome of a hand-off: one attempt to have a server execute a work item."""

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
    """Priority, deadline and repeat semantics of one category of work items."""

    credit: float
    due: float
    semantics: Semantics
    group: str
    window: float


class Entry(NamedTuple):
    """One cache server, or the origin, as listed by service discovery."""

    server: str
    cell: int
    heft: float
    zone: int
    health: str  # live, quiescing or dead
    kind: int
    came_up: float  # Unix time of its start; 0: unknown, counts as warm


class Answer(Enum):
    DEFERRED = "bounce"
    WRITTEN_OFF = "error"


@dataclass(slots=True)
class Settings:
    categories: list[Category]
    quotas: list[float]  # work items per second of each customer, summed over all routers
    routers: int
    ordinal: int  # index of this router, from 0
    aside: bool
    origin_kind: int
    ask: bool
    ask_within: float
    live_heft: bool
    peers: bool
    retry_after: float  # longest retry delay given to clients; 0: none is given
    max_hand_offs: int
    overload_factor: float
    overload_for: float
    start_share: float
    warm_within: float
    cancelling: bool = True  # whether a hand-off may be withdrawn
    slow_end: float = 0.0  # weight of the part of the objective that falls with the fraction of missed deadlines
    miss_share: float = 0.0  # fraction of missed deadlines at which that part is lost in full


@dataclass(slots=True)
class Results:
    """The actions that a router requested since the last call of ``Router.drain``."""

    hand_offs: list[tuple[int, float, str]] = field(default_factory=list)  # work item, timeout (0: expiry), server
    withdrawals: list[tuple[int, int]] = field(default_factory=list)  # work item, hand-off number
    answers: list[tuple[int, Answer, float]] = field(default_factory=list)  # work item, answer, retry delay
    messages: list[tuple[int | None, bytes]] = field(default_factory=list)  # recipient (None: all peers), payload
    probes: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    subscribe: bool = False
    wake: float | None = None  # delay until the next call of ``timer_expired``

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


BIN_EDGES_SECONDS = [0.001 * 2 ** (i / 2) for i in range(1, 24)]


class Histogram:
    """A histogram of response times with logarithmic bins."""

    __slots__ = ("bins", "total")

    def __init__(self) -> None:
        self.bins, self.total = [0] * (len(BIN_EDGES_SECONDS) + 1), 0

    def add(self, seconds: float) -> None:
        self.bins[bisect_right(BIN_EDGES_SECONDS, seconds)] += 1
        self.total += 1

    def halve(self) -> None:
        self.bins = [n // 2 for n in self.bins]
        self.total = sum(self.bins)

    def quantile(self, fraction: float) -> float:
        left = fraction * self.total
        for edge, n in zip(BIN_EDGES_SECONDS, self.bins, strict=False):
            left -= n
            if left <= 0:
                return edge
        return BIN_EDGES_SECONDS[-1]


@dataclass(slots=True, eq=False)
class Cache:
    """A router's state of one cache server, or of the origin."""

    entry: Entry
    server_hash: int  # identifies the server in messages to peers
    inflight: int = 0
    held: list[tuple[tuple[bool, float], int, "Item", int]] = field(default_factory=list)
    heard_at: float = 0.0  # last response, or the first hand-off after an idle period
    paced_at: float = 0.0  # when a hand-off was last considered under a rate limit
    answered_at: float = 0.0  # last response
    limit: float = 8.0  # of concurrent hand-offs; a probability if under one; adapts to response times
    limit_updated_at: float = 0.0
    strikes: int = 0
    silent_until: float = 0.0
    response_times: Histogram = field(default_factory=Histogram)
    median: float = 0.0  # response time of the origin, or of all caches
    base: float = 0.0  # the lowest such median; rises slowly


@dataclass(slots=True, eq=False)
class Item:
    """A work item that a router has accepted and not yet answered."""

    id: int
    category: Category
    key: str | None
    expiry: float
    write: bool
    key_hash: int = 0
    excess: bool = False  # exceeds its customer's quota
    attempts: list[tuple[Cache, float]] = field(default_factory=list)  # server and time of each hand-off
    open_attempts: int = 0  # hand-offs without an outcome yet
    ran_since: float | None = None  # time of the first hand-off that a server may have executed
    ran_group: int | None = None  # the group of servers that deduplicate it
    missed: list[Cache] = field(default_factory=list)
    version: int = 0  # incremented to invalidate the timers that were set for it
    is_streaming: bool = False
    withdrawn: bool = False  # from a cache that was late, to be sent to the origin
    connection_refused: bool = False  # in at least one hand-off
    is_last: bool = False  # the open hand-off is the last: its body can't be sent again
    held_since: float = 0.0  # 0: it has not waited for capacity since its last hand-off


@dataclass(slots=True, frozen=True)
class Learned:
    """Learned state that one process of a router passes on to its successor; times are Unix seconds."""

    servers: dict[str, tuple[float, float, float]]  # limit, median response time and the lowest such median
    fleet: tuple[float, float, float]  # the same for all caches together
    asked: list[float]  # work items per second of each customer
    warm_rate: float
    extra: float
    samples: float
    keys: dict[int, tuple[float, int, float, int]]  # by hash: score, streak, lease and shadows


HEADER = Struct(">BBffI")  # version and kind, number of keys, span, waited, samples
READ_ROW = Struct(">IH")  # key hash, reads minus writes
CACHE_ROW = Struct(">BH")  # open hand-offs, or the fraction of the limit to keep in 255ths; server hash


@dataclass(slots=True)
class Tally:
    """Load counts of one router over a time span, or their sum over several routers; sent to peers in one message."""

    asked: list[int]  # work items of each customer
    span: float = 0.0  # observed seconds, summed over routers
    waited: float = 0.0  # wait of the oldest held work item, multiplied by the span
    samples: int = 0
    reads: dict[int, int] = field(default_factory=dict)  # by key hash: sampled reads minus writes
    out: dict[int, int] = field(default_factory=dict)  # by server hash: open hand-offs
    keep: dict[int, int] = field(default_factory=dict)  # by server hash, in a total: 255ths of the limit to keep
    total: bool = False  # whether it is the sum over all routers

    def add(self, other: "Tally") -> None:
        self.asked = [a + b for a, b in zip(self.asked, other.asked, strict=True)]
        self.span += other.span
        self.waited += other.waited
        self.samples += other.samples
        for own, others in ((self.reads, other.reads), (self.out, other.out)):
            for hash_, n in others.items():
                own[hash_] = own.get(hash_, 0) + n

    def pack(self) -> bytes:
        reads = sorted((-n, hash_) for hash_, n in self.reads.items() if n > 0 and 200 * n > self.samples)[:16]
        caches = self.keep if self.total else self.out
        rows = sorted((min(n, 255), hash_) for hash_, n in caches.items())[:: 1 if self.total else -1]
        head = HEADER.pack(0x40 | self.total, len(reads), self.span, self.waited, self.samples)
        head += pack(f">{len(self.asked)}I", *self.asked)
        head += b"".join(READ_ROW.pack(hash_, min(-n, 65535)) for n, hash_ in reads)
        return head + b"".join(CACHE_ROW.pack(*row) for row in rows[: (256 - len(head)) // CACHE_ROW.size])

    @classmethod
    def unpack(cls, payload: bytes, customers: int) -> "Tally | None":
        """Decode a tally; None if the payload is malformed or of another version."""
        start = HEADER.size + 4 * customers
        if len(payload) < start or payload[0] not in (0x40, 0x41):
            return None
        kind, reads, span, waited, samples = HEADER.unpack_from(payload)
        end = start + READ_ROW.size * reads
        is_complete = len(payload) >= end and (len(payload) - end) % CACHE_ROW.size == 0
        if not is_complete or not (0 <= span < 1e9 and 0 <= waited < 1e9):
            return None
        caches = {hash_: n for n, hash_ in CACHE_ROW.iter_unpack(payload[end:])}
        return cls(
            list(unpack_from(f">{customers}I", payload, HEADER.size)),
            span,
            waited,
            samples,
            dict(READ_ROW.iter_unpack(payload[start:end])),
            *(({}, caches) if kind & 1 else (caches, {})),
            bool(kind & 1),
        )
