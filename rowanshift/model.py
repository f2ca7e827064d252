"""The interface of the decision module: what goes in and what comes out; types only.

A front builds a ``Settings``, makes one ``choice.Router`` with it for each life of a router, calls the
router's methods as things happen and carries out what has gathered in its ``Results``. Times are seconds.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
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
    aside: bool
    origin_kind: int
    ask: bool
    live_heft: bool
    peers: bool
    second_copies: bool
    cancelling: bool
    retry_after: float  # 0: no time to come back may be given
    max_hand_offs: int
    overload_for: float
    start_share: float
    warm_within: float


@dataclass(slots=True)
class Results:
    """What a router wants done since its front last looked."""

    hand_offs: list[tuple[int, float, str]] = field(default_factory=list)  # wi, time-out (0: expiry), server
    withdrawals: list[tuple[int, int]] = field(default_factory=list)  # wi, hand-off number
    answers: list[tuple[int, Answer, float]] = field(default_factory=list)  # wi, answer, when to come back
    messages: list[bytes] = field(default_factory=list)  # to every peer
    probes: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    subscribe: bool = False
    wake: float | None = None  # wait before the next call of ``woken``

    def __bool__(self) -> bool:
        return bool(self.hand_offs or self.answers or self.withdrawals or self.wake is not None
                    or self.messages or self.log or self.subscribe or self.probes)
