"""Incremental checks of the cache proxy's four rules. No I/O, and no dependency on the source of the events.

The checks rely on external observations only: what clients received, what servers saw, and what discovery announced.
They query no router, so that a router with a wrong view of its own state is detected as well. ``SLACK_SECONDS`` is the
allowance for network and scheduling delays in each time limit.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from rowanshift.cacheproxy.model import Category, Semantics
from rowanshift.invariants.events import Fact

SLACK_SECONDS = 0.05
CATCH_UP_SECONDS = 0.1  # for a resumed process to handle what became due during its pause
NO_EFFECT_OUTCOMES = frozenset(["away", "miss"])
REFUSAL_STATUSES = (429, 503)
MAX_FINISHED_ITEMS = 20_000  # beyond which the oldest finished work items are forgotten


@dataclass(slots=True, frozen=True)
class RuleSettings:
    """The settings on which the rules depend."""

    categories: dict[str, Category]
    grace: float  # seconds from the announcement of a drain to the last new hand-off
    second_copies: bool = False


@dataclass(slots=True, frozen=True)
class RuleViolation:
    """A violation of a rule, with the time of the event that violated it."""

    rule: int  # 1 to 4; 5: resources were not released
    at: float
    why: str
    who: str  # the work item's id or the machine's name

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at:.3f} s, {self.who}: {self.why}"


@dataclass(slots=True)
class HandOff:
    """A hand-off of a work item to a server, as observed at the server."""

    server: str
    zone: int
    first_at: float
    open: bool = True
    may_have_run: bool = True
    next_at: float = float("inf")  # send time of a hand-off that was sent later but read earlier


@dataclass(slots=True)
class WorkItem:
    """A work item, as observed from outside the routers."""

    category: Category
    router: str = ""
    expiry: float = float("inf")
    since: float = 0.0  # time at which its last byte was written
    half_time_at: float = float("inf")  # time at which half of its lifetime has passed
    asked: bool = False
    ended: bool = False
    final_at: float = float("inf")  # time at which its answer was sent
    hand_offs: list[HandOff] = field(default_factory=list)


class CacheProxyRules:
    """The rules of the cache proxy, checked event by event."""

    def __init__(self, settings: RuleSettings) -> None:
        self.settings = settings
        self.broken: list[RuleViolation] = []
        self.items: dict[str, WorkItem] = {}
        self.finished: deque[str] = deque()
        self.due: list[tuple[float, str]] = []
        # by router: servers announced as unavailable, with the time of the announcement
        self.unavailable_since: dict[str, dict[str, float]] = {}
        self.paused_since: dict[str, float] = {}  # by paused machine: start of the pause
        self.resumed_at: dict[str, float] = {}
        self.dial_failed_at: dict[str, float] = {}  # by router: time of its last failed connection attempt
        self.ended_machines: set[str] = set()
        self.counts: dict[str, int] = {}
        self.now = 0.0

    def process_event(self, fact: Fact) -> None:
        """Process one event. The handler of each kind is the method named after it with a leading underscore."""
        at, kind, *rest = fact
        self.now = at
        self.counts[kind] = self.counts.get(kind, 0) + 1
        while self.due and self.due[0][0] < at:
            self._check_expiry(heappop(self.due)[1])
        if (handler := getattr(self, f"_{kind}", None)) is not None:
            handler(*rest)

    def end(self, at: float) -> None:
        """Process the end of the run, after which no event follows."""
        self.now = at
        while self.due:
            self._check_expiry(heappop(self.due)[1])

    def _add_violation(self, rule: int, who: str, why: str) -> None:
        self.broken.append(RuleViolation(rule, self.now, why, who))

    def _find_or_add_item(self, txn: str, category: str | None = None) -> WorkItem | None:
        item = self.items.get(txn)
        if item is None and category is not None:
            item = self.items[txn] = WorkItem(self.settings.categories[category])
        return item

    # 1: one final answer ------------------------------------

    def _asked(self, txn: str, router: str, category: str, key: str, left: float) -> None:
        item = self._find_or_add_item(txn, category)
        item.router, item.asked, item.expiry = router, True, self.now + left
        item.since, item.half_time_at = self.now, self.now + left / 2 + SLACK_SECONDS
        if router in self.ended_machines:  # no router has received it
            self._close_item(txn, item)
        else:
            heappush(self.due, (item.expiry + SLACK_SECONDS, txn))

    def _check_expiry(self, txn: str) -> None:
        item = self.items.get(txn)
        if item is None or item.ended or not item.asked:
            return
        if item.router in self.paused_since:  # a paused router can't answer
            heappush(self.due, (self.now + SLACK_SECONDS, txn))
            return
        answer_due_at = self.resumed_at.get(item.router, -1.0) + CATCH_UP_SECONDS
        if self.now < answer_due_at:
            heappush(self.due, (answer_due_at, txn))
            return
        self._add_violation(1, txn, f"no answer before it expired at {item.expiry:.3f} s")
        self._close_item(txn, item)

    def _may_have_missed_hand_off(self, item: WorkItem) -> bool:
        """Whether a hand-off may have gone unseen: a machine was paused since then, or a connection attempt failed."""
        last = max(max(self.resumed_at.values(), default=-1.0), self.dial_failed_at.get(item.router, -1.0))
        return bool(self.paused_since) or last >= item.since

    def _no_way(self, router: str, address: str) -> None:
        self.dial_failed_at[router] = self.now

    def _answered(self, txn: str, status: int, sent_at: float, made: bool) -> None:
        if (item := self._find_or_add_item(txn)) is None:
            return
        if item.ended:
            self._add_violation(1, txn, f"a second answer with status {status}, after the work item had ended")
            return
        item.final_at = sent_at
        if (
            status != 200
            and not item.hand_offs
            and self.now > item.half_time_at
            and not self._may_have_missed_hand_off(item)
        ):
            self._add_violation(
                1, txn, f"rejected after it was held for {self.now - item.since:.3f} s without a hand-off"
            )
        if status == 200 and not made:
            self._add_violation(1, txn, "answered 200 with a body that no server produced for it")
        if status in REFUSAL_STATUSES:
            self._check_deferral(txn, item)
        self._close_item(txn, item)

    def _ended(self, txn: str, how: str) -> None:
        if (item := self._find_or_add_item(txn)) is None or item.ended:
            return
        if how == "lost":
            self._add_violation(1, txn, "its connection ended without a complete answer")
        if how == "crossed":
            item.asked = False
        else:
            self._close_item(txn, item)

    def _close_item(self, txn: str, item: WorkItem) -> None:
        item.ended = True
        self.finished.append(txn)
        if len(self.finished) > MAX_FINISHED_ITEMS:
            self.items.pop(self.finished.popleft(), None)

    # 2: no effect twice -------------------------------------

    def _reached(self, txn: str, server: str, router: str, first_at: float, zone: int) -> None:
        self._check_drain(txn, server, router, first_at)
        if (item := self._find_or_add_item(txn)) is None:
            return
        if first_at > item.final_at + 0.001:
            self._add_violation(1, txn, f"handed to {server} after its final answer was sent")
        out = [s.first_at for s in item.hand_offs if s.open and not self.settings.second_copies]
        if out and first_at >= min(out):
            self._add_violation(2, txn, f"handed to {server} while another hand-off was open")
        ran = [s for s in item.hand_offs if s.may_have_run]
        category = item.category
        if ran and category.semantics is Semantics.EXCLUSIVE:
            self._add_violation(2, txn, f"exclusive, but handed to {server} after it may have run at {ran[0].server}")
        elif ran and category.semantics is Semantics.TICKETED:
            group = {"all": lambda s: 0, "zone": lambda s: s.zone}.get(category.group, lambda s: s.server)
            hand_off = HandOff(server, zone, first_at)
            if group(hand_off) != group(ran[0]):
                self._add_violation(2, txn, f"ticketed, but handed to {server} outside the group of {ran[0].server}")
            if first_at - ran[0].first_at > category.window + SLACK_SECONDS:
                self._add_violation(2, txn, f"ticketed, but handed to {server} after its window had passed")
        item.hand_offs.append(HandOff(server, zone, first_at, next_at=min(out, default=float("inf"))))

    def _given_up(self, txn: str, server: str, given_up_at: float) -> None:
        """A server that was paused reads an earlier hand-off that had been withdrawn meanwhile."""
        if (hand_off := self._open_hand_off(txn, server)) is not None:
            hand_off.open = False
            if given_up_at > hand_off.next_at:
                self._add_violation(2, txn, f"withdrawn from {server} only after another hand-off was sent")

    def _replied(self, txn: str, server: str, outcome: str, sent_at: float) -> None:
        if (hand_off := self._open_hand_off(txn, server)) is not None:
            if hand_off.next_at < float("inf"):
                self._add_violation(2, txn, f"open at {server} while another hand-off was open")
            hand_off.open = False
            hand_off.may_have_run = outcome not in NO_EFFECT_OUTCOMES

    def _withdrawn(self, txn: str, server: str) -> None:
        if (hand_off := self._open_hand_off(txn, server)) is not None:
            hand_off.open = False

    def _open_hand_off(self, txn: str, server: str) -> HandOff | None:
        if (item := self._find_or_add_item(txn)) is None:
            return None
        return next((s for s in item.hand_offs if s.open and s.server == server), None)

    def _check_deferral(self, txn: str, item: WorkItem) -> None:
        ran = any(s.may_have_run for s in item.hand_offs)
        semantics = item.category.semantics
        if ran and (
            semantics is Semantics.EXCLUSIVE or (semantics is Semantics.TICKETED and item.category.group != "all")
        ):
            self._add_violation(2, txn, f"{semantics.name.lower()}, but deferred although it may have run")

    # 3: drains respected -----------------------------------------

    def _told(self, router: str, server: str, health: str) -> None:
        servers = self.unavailable_since.setdefault(router, {})
        if health == "live":
            servers.pop(server, None)
        else:
            servers.setdefault(server, self.now)

    def _check_drain(self, txn: str, server: str, router: str, first_at: float) -> None:
        since = self.unavailable_since.get(router, {}).get(server)
        if since is not None:
            since = max(since, self.resumed_at.get(router, 0.0))
            if first_at > since + self.settings.grace + SLACK_SECONDS:
                self._add_violation(
                    3, txn, f"{router} handed it to {server} {first_at - since:.3f} s after its drain was announced"
                )

    # 4: no cold cache overloaded, nor the origin by misses of cold caches

    def _fell(self, server: str, warmth: float) -> None:
        if warmth < 1:
            self._add_violation(4, server, f"overloaded while warm-up limited it to {warmth:.2f} of its capacity")

    def _stopped(self, server: str, cold_part: float) -> None:
        if cold_part > 0.5:
            self._add_violation(
                4, server, f"overloaded by a load of which a share of {cold_part:.2f} was misses of cold caches"
            )

    # process lifecycle ----------------------------------

    def _down(self, machine: str, how: str) -> None:
        """Close the work items of an ended router, which its clients must handle themselves."""
        self.ended_machines.add(machine)
        self.unavailable_since.pop(machine, None)
        self.paused_since.pop(machine, None)
        if how == "crashed":
            self._add_violation(1, machine, "its process crashed")
        for txn, item in [*self.items.items()]:
            if item.router == machine and not item.ended:
                if how == "ended" and item.asked:
                    continue  # an orderly exit must have answered it; otherwise its client reports it as lost
                self._close_item(txn, item)

    def _started(self, machine: str, life: int) -> None:
        self.ended_machines.discard(machine)

    def _stalled(self, machine: str) -> None:
        self.paused_since[machine] = self.now

    def _went_on(self, machine: str) -> None:
        if self.paused_since.pop(machine, None) is not None:
            self.resumed_at[machine] = self.now

    def _left_over(self, machine: str, what: str, count: Any) -> None:
        if count:
            self._add_violation(5, machine, f"not released: {what} {count}")
