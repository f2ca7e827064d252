"""What a router that was told to stop may still take, and when it ends. No I/O, no clock: times are passed in.

From SIGTERM to its end a router goes through three phases:

- **announced**, for ``NOTICE`` seconds: it is not ready, and the platform still sends it connections. It takes what it
  expects to finish, by how long nearly all requests of the same kind took lately.
- **refusing**: whoever still comes is sent elsewhere. It takes only what surely ends in time, by the request's own
  bound.
- **over**: once nothing that it took is open, and at the latest ``END_RESERVE`` seconds before the grace is up, when
  what is still open gets its final answer or, if its answer has begun, is cut.

One rule decides for every request, when it comes and again before each attempt at a server (``Drain.may_send``).
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

NOTICE = 2.6  # seconds after which the platform sends no new connections to a router that is not ready
NOTICE_PART = 1 / 3  # of the grace, if that is less
END_RESERVE = 0.7  # seconds of the grace kept for last answers and the end of the process
END_PART = 0.15  # of the grace, if that is less; under a sixth, as a cut is excused in the last sixth only
EXIT_RESERVE = 0.15  # seconds of the grace kept for the end of the process alone
EXIT_PART = 0.05  # of the grace, if that is less
REMEMBERED = 30.0  # seconds; durations are remembered for one to two of these
MOST_OF_KIND = 64  # durations of one kind that are remembered of each span; the oldest goes
MOST_LATE = 0.05  # share of a kind that may have taken longer than is left; a cut of one that comes so early is excused
MOST_KINDS = 256  # kinds of request whose durations are remembered; further ones are unknown


class Phase(Enum):
    """How far a router's leave has come."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    REFUSING = "refusing"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests that last about as long as each other: those of one service with answers of about the same length."""

    service: str
    answer_size: int  # bits of the most tokens that its answer may have


def request_kind(service: str, tokens_out: int) -> RequestKind:
    """The kind of a request to ``service`` whose answer may have ``tokens_out`` tokens."""
    return RequestKind(service, tokens_out.bit_length())


@dataclass(slots=True)
class RequestDurations:
    """The last durations in seconds of each kind of request, over the last one to two spans of ``REMEMBERED``."""

    began_at: float = 0.0
    current: dict[RequestKind, deque[float]] = field(default_factory=dict)
    previous: dict[RequestKind, deque[float]] = field(default_factory=dict)

    def finished(self, kind: RequestKind, seconds: float, now: float) -> None:
        """A request of ``kind`` got its whole answer after ``seconds``."""
        self._age(now)
        if kind not in self.current:
            if len(self.current) >= MOST_KINDS:
                return
            self.current[kind] = deque(maxlen=MOST_OF_KIND)
        self.current[kind].append(seconds)

    def share_late(self, kind: RequestKind, now: float, ends_at: float) -> float | None:
        """The share of them, from 0 to 1, that would end after ``ends_at`` if they began now; None if none is known."""
        self._age(now)
        known = [*self.previous.get(kind, ()), *self.current.get(kind, ())]
        if not known:
            return None
        return sum(now + took > ends_at for took in known) / len(known)

    def _age(self, now: float) -> None:
        spans = int((now - self.began_at) / REMEMBERED)
        if not spans:
            return
        self.previous = self.current if spans == 1 else {}
        self.current = {}
        self.began_at = now


@dataclass(slots=True)
class Drain:
    """The planned end of one router. ``grace`` in seconds is the time from SIGTERM to SIGKILL."""

    grace: float
    durations: RequestDurations = field(default_factory=RequestDurations)
    began_at: float | None = None  # when SIGTERM came
    finished: bool = False  # nothing more is taken

    def begin(self, now: float) -> None:
        """SIGTERM came; a second one changes nothing."""
        if self.began_at is None:
            self.began_at = now

    def finish(self) -> None:
        """Take nothing more: the process is about to end."""
        self.finished = True

    @property
    def leaving(self) -> bool:
        """Whether SIGTERM has come."""
        return self.began_at is not None

    @property
    def notice_ends_at(self) -> float:
        """From when on only what surely ends in time is taken."""
        return self._began() + min(NOTICE, self.grace * NOTICE_PART)

    @property
    def work_ends_at(self) -> float:
        """When what is still open is given up."""
        return self._began() + self.grace - min(END_RESERVE, self.grace * END_PART)

    @property
    def answers_end_at(self) -> float:
        """When the process ends, whether all last answers were made or not."""
        return self._began() + self.grace - min(EXIT_RESERVE, self.grace * EXIT_PART)

    def stays(self, now: float, open_requests: int, taken_until: float) -> bool:
        """Whether the process goes on for its last answers: those that are not made yet, and those that clients may
        take until ``taken_until``."""
        return now < (self.answers_end_at if open_requests else min(taken_until, self.answers_end_at))

    def phase(self, now: float, open_requests: int) -> Phase:
        """How far the leave has come, with so many requests being read or answered."""
        if not self.leaving:
            return Phase.SERVING
        if now >= self.work_ends_at:
            return Phase.OVER
        if now < self.notice_ends_at:
            return Phase.ANNOUNCED
        return Phase.REFUSING if open_requests else Phase.OVER

    def may_send(self, now: float, came_at: float, until: float, kind: RequestKind) -> bool:
        """Whether a request may be sent to a server now.

        ``came_at`` is when it was read, ``until`` when its client or its route gives it up.
        """
        if not self.leaving:
            return True
        if self.finished:
            return False
        if until <= self.work_ends_at:
            return True
        if came_at >= self.notice_ends_at:
            return False
        late = self.durations.share_late(kind, now, self.work_ends_at)
        if late is None:
            return now < self.notice_ends_at
        return late <= MOST_LATE

    def _began(self) -> float:
        if self.began_at is None:
            raise ValueError("the router is not leaving")
        return self.began_at
