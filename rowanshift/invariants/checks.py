"""The four rules, looked at after every fact. No I/O, and no knowledge of who tells the facts.

Each check is written from the outside: what clients got, what servers saw, what discovery had told. It asks
a router for nothing, so that a router that is wrong about itself is still found. ``SLACK`` is what the
network and a busy process may add to each limit of time.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from rowanshift.cacheproxy.model import Category, Semantics
from rowanshift.invariants.events import Fact

SLACK = 0.05  # seconds
AFTER_STANDSTILL = 0.1  # to catch up with what passed meanwhile
NOTHING = frozenset(["away", "miss"])  # outcomes without an effect
REFUSED = (429, 503)
REMEMBERED = 20_000  # ended work items: more are forgotten, the oldest first


@dataclass(slots=True, frozen=True)
class Terms:
    """What the rules need of the settings."""

    categories: dict[str, Category]
    grace: float  # seconds from being told of a drain to the last new hand-off
    second_copies: bool = False


@dataclass(slots=True, frozen=True)
class Broken:
    """A broken rule, with the fact that broke it."""

    rule: int  # 1 to 4; 5: something was left over
    at: float
    why: str
    who: str  # the work item or the machine

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at:.3f} s, {self.who}: {self.why}"


@dataclass(slots=True)
class Sending:
    """One hand-off, as the server sees it."""

    server: str
    zone: int
    first_at: float
    open: bool = True
    may_have_run: bool = True
    next_at: float = float("inf")  # when a hand-off that was sent later, but read earlier, was sent


@dataclass(slots=True)
class Seen:
    """A work item, as far as it was seen from outside."""

    category: Category
    router: str = ""
    expiry: float = float("inf")
    since: float = 0.0  # when its last byte was written
    half: float = float("inf")  # when half of its time is over
    asked: bool = False
    ended: bool = False
    final_at: float = float("inf")  # when its answer was sent
    sendings: list[Sending] = field(default_factory=list)


class Rules:
    """The rules of the router for caches, checked fact by fact."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.broken: list[Broken] = []
        self.items: dict[str, Seen] = {}
        self.finished: deque[str] = deque()
        self.due: list[tuple[float, str]] = []
        self.told: dict[str, dict[str, float]] = {}  # by router: servers that it may not use, and since when
        self.still: dict[str, float] = {}  # machines that stand still, and since when
        self.went_on: dict[str, float] = {}
        self.no_way: dict[str, float] = {}  # by router: when a dial of it last failed
        self.dead: set[str] = set()
        self.counts: dict[str, int] = {}
        self.now = 0.0

    def see(self, fact: Fact) -> None:
        """Take one fact in."""
        at, kind, *rest = fact
        self.now = at
        self.counts[kind] = self.counts.get(kind, 0) + 1
        while self.due and self.due[0][0] < at:
            self._overdue(heappop(self.due)[1])
        if (look := getattr(self, f"_{kind}", None)) is not None:
            look(*rest)

    def end(self, at: float) -> None:
        """The end of a run, after which nothing is to come."""
        self.now = at
        while self.due:
            self._overdue(heappop(self.due)[1])

    def _break(self, rule: int, who: str, why: str) -> None:
        self.broken.append(Broken(rule, self.now, why, who))

    def _item(self, txn: str, category: str | None = None) -> Seen | None:
        seen = self.items.get(txn)
        if seen is None and category is not None:
            seen = self.items[txn] = Seen(self.terms.categories[category])
        return seen

    # 1: one final answer ------------------------------------

    def _asked(self, txn: str, router: str, category: str, key: str, left: float) -> None:
        seen = self._item(txn, category)
        seen.router, seen.asked, seen.expiry = router, True, self.now + left
        seen.since, seen.half = self.now, self.now + left / 2 + SLACK
        if router in self.dead:  # nobody has taken it
            self._over(txn, seen)
        else:
            heappush(self.due, (seen.expiry + SLACK, txn))

    def _overdue(self, txn: str) -> None:
        seen = self.items.get(txn)
        if seen is None or seen.ended or not seen.asked:
            return
        if seen.router in self.still:  # it can answer nothing before it goes on
            heappush(self.due, (self.now + SLACK, txn))
            return
        excuse = self.went_on.get(seen.router, -1.0) + AFTER_STANDSTILL
        if self.now < excuse:
            heappush(self.due, (excuse, txn))
            return
        self._break(1, txn, f"no answer before its expiry at {seen.expiry:.3f} s")
        self._over(txn, seen)

    def _excused(self, seen: Seen) -> bool:
        """Whether a hand-off may not have been seen: a machine stood still since, or it dialled in vain."""
        last = max(max(self.went_on.values(), default=-1.0), self.no_way.get(seen.router, -1.0))
        return bool(self.still) or last >= seen.since

    def _no_way(self, router: str, address: str) -> None:
        self.no_way[router] = self.now

    def _answered(self, txn: str, status: int, sent_at: float, made: bool) -> None:
        if (seen := self._item(txn)) is None:
            return
        if seen.ended:
            self._break(1, txn, f"a second answer, {status}, after it had ended")
            return
        seen.final_at = sent_at
        if status != 200 and not seen.sendings and self.now > seen.half and not self._excused(seen):
            self._break(1, txn, f"given up, but held for {self.now - seen.since:.3f} s with no hand-off")
        if status == 200 and not made:
            self._break(1, txn, "finished with what no server made for it")
        if status in REFUSED:
            self._deferred(txn, seen)
        self._over(txn, seen)

    def _ended(self, txn: str, how: str) -> None:
        if (seen := self._item(txn)) is None or seen.ended:
            return
        if how == "lost":
            self._break(1, txn, "its connection ended with no whole answer")
        if how == "crossed":
            seen.asked = False
        else:
            self._over(txn, seen)

    def _over(self, txn: str, seen: Seen) -> None:
        seen.ended = True
        self.finished.append(txn)
        if len(self.finished) > REMEMBERED:
            self.items.pop(self.finished.popleft(), None)

    # 2: no effect twice -------------------------------------

    def _reached(self, txn: str, server: str, router: str, first_at: float, zone: int) -> None:
        self._drain_kept(txn, server, router, first_at)
        if (seen := self._item(txn)) is None:
            return
        if first_at > seen.final_at + 0.001:
            self._break(1, txn, f"handed to {server} after its final answer")
        out = [s.first_at for s in seen.sendings if s.open and not self.terms.second_copies]
        if out and first_at >= min(out):
            self._break(2, txn, f"handed to {server} while another hand-off was out")
        ran = [s for s in seen.sendings if s.may_have_run]
        what = seen.category
        if ran and what.semantics is Semantics.EXCLUSIVE:
            self._break(2, txn, f"exclusive, handed to {server} after it may have run at {ran[0].server}")
        elif ran and what.semantics is Semantics.TICKETED:
            group = {"all": lambda s: 0, "zone": lambda s: s.zone}.get(what.group, lambda s: s.server)
            sending = Sending(server, zone, first_at)
            if group(sending) != group(ran[0]):
                self._break(2, txn, f"ticketed, handed to {server} outside the group of {ran[0].server}")
            if first_at - ran[0].first_at > what.window + SLACK:
                self._break(2, txn, f"ticketed, handed to {server} after its window")
        seen.sendings.append(Sending(server, zone, first_at, next_at=min(out, default=float("inf"))))

    def _given_up(self, txn: str, server: str, given_up_at: float) -> None:
        """A server that stood still reads what it was sent before another was, and was to forget."""
        if (sending := self._sending(txn, server)) is not None:
            sending.open = False
            if given_up_at > sending.next_at:
                self._break(2, txn, f"given up at {server} only after another hand-off was out")

    def _replied(self, txn: str, server: str, outcome: str, sent_at: float) -> None:
        if (sending := self._sending(txn, server)) is not None:
            if sending.next_at < float("inf"):
                self._break(2, txn, f"out at {server} while another hand-off was")
            sending.open = False
            sending.may_have_run = outcome not in NOTHING

    def _withdrawn(self, txn: str, server: str) -> None:
        if (sending := self._sending(txn, server)) is not None:
            sending.open = False

    def _sending(self, txn: str, server: str) -> Sending | None:
        if (seen := self._item(txn)) is None:
            return None
        return next((s for s in seen.sendings if s.open and s.server == server), None)

    def _deferred(self, txn: str, seen: Seen) -> None:
        ran = any(s.may_have_run for s in seen.sendings)
        what = seen.category.semantics
        if ran and (what is Semantics.EXCLUSIVE or (what is Semantics.TICKETED and seen.category.group != "all")):
            self._break(2, txn, f"{what.name.lower()}, deferred although it may have run")

    # 3: drains kept -----------------------------------------

    def _told(self, router: str, server: str, health: str) -> None:
        servers = self.told.setdefault(router, {})
        if health == "live":
            servers.pop(server, None)
        else:
            servers.setdefault(server, self.now)

    def _drain_kept(self, txn: str, server: str, router: str, first_at: float) -> None:
        since = self.told.get(router, {}).get(server)
        if since is not None:
            since = max(since, self.went_on.get(router, 0.0))
            if first_at > since + self.terms.grace + SLACK:
                self._break(
                    3, txn, f"{router} handed it to {server} {first_at - since:.3f} s after the word that it leaves"
                )

    # 4: nothing cold pushed over, nor the origin stopped by cold misses

    def _fell(self, server: str, warmth: float) -> None:
        if warmth < 1:
            self._break(4, server, f"pushed over while it had {warmth:.2f} of its capacity")

    def _stopped(self, server: str, cold_part: float) -> None:
        if cold_part > 0.5:
            self._break(4, server, f"stopped by a load of which {cold_part:.2f} were misses at cold caches")

    # what befalls machines ----------------------------------

    def _down(self, machine: str, how: str) -> None:
        """What a router held when it was killed falls to the client."""
        self.dead.add(machine)
        self.told.pop(machine, None)
        self.still.pop(machine, None)
        if how == "crashed":
            self._break(1, machine, "the process crashed")
        for txn, seen in [*self.items.items()]:
            if seen.router == machine and not seen.ended:
                if how == "ended" and seen.asked:
                    continue  # it must have been answered, or will be called lost by its client
                self._over(txn, seen)

    def _started(self, machine: str, life: int) -> None:
        self.dead.discard(machine)

    def _stalled(self, machine: str) -> None:
        self.still[machine] = self.now

    def _went_on(self, machine: str) -> None:
        if self.still.pop(machine, None) is not None:
            self.went_on[machine] = self.now

    def _left_over(self, machine: str, what: str, count: Any) -> None:
        if count:
            self._break(5, machine, f"left over: {what} {count}")
