"""Every decision of rowanshift, with ``rowanshift/placement``. A front makes one ``Router`` for each life of a router,
calls its methods as things happen and carries out what ``drain`` returns. ``cacheproxy/model.py`` is the interface.

A work item (wi) passes the stages share, hotness, placement, pace and hand-off; what comes back of a hand-
off (ho) passes them the other way. docs/design.md tells what departs from the design, and when."""

from heapq import heappop, heappush
from itertools import count
from math import log, log2

from rowanshift.cacheproxy.decision.shares import TELL, TICK, Shares
from rowanshift.cacheproxy.model import Cache, Entry, Item, Learned, Results, Semantics, Settings, Tally, Verdict
from rowanshift.placement.hash_ring import HashRing, stable_hash
from rowanshift.placement.hot_keys import EPOCH_SECONDS, MAX_SCORED_KEYS, SHADOW_LEASE_SECONDS, HotKey

POINTS, WALK = 64, 6  # ring points of a cache of mean heft; distinct caches kept of a key's ring walk
HOLD = 0.2  # of the due time, that a wi is held for at most; less where few may miss it
LATE = 0.5  # of the due time, after which a read goes to the origin if that has room
SLOW = 0.2  # of an equal part of what all caches may have out: one that may have less is slow by itself


def group_of(cache: Cache, item: Item) -> int | None:
    """Which caches drop repeats of the wi together with this one."""
    return {"all": 0, "zone": cache.entry.zone, "cell": cache.entry.cell}.get(item.category.group)


class Router(Shares):
    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.items: dict[int, Item] = {}
        self.caches: dict[str, Cache] = {}
        self.ring = HashRing(lambda cache: cache.entry.server)
        self.scores = self.hotness.scores
        self.order, self.wake_at = count(), 0.0
        self.timers: list[tuple[float, int, str, Item | None, int]] = []
        self.hold_for = HOLD if not settings.slow_end else min(HOLD, 5 * settings.miss_share)  # of due times
        self.list_wait = min(0.9 * settings.ask_within, 0.03 * settings.routers)  # one list serves all
        if settings.ask:  # not all at once when routers start together
            self.at(now + self.list_wait * self.chance.draw(), "ask")

    samples = property(lambda self: self.hotness.samples, lambda self, n: setattr(self.hotness, "samples", n))

    # calls ------------------------------------------------

    def drain(self) -> Results:
        out, self.results = self.results, Results()
        if self.timers and (self.wake_at <= self.now or self.timers[0][0] < self.wake_at):
            self.wake_at = max(self.timers[0][0], self.now + 1e-6)
            out.wake = self.wake_at - self.now
        return out

    def take(
        self, now: float, id: int, category: int, customer: int, key: str | None, left: float, write: bool
    ) -> None:
        self.now = now
        if now - self.eased_at >= TICK:  # as work comes in: nothing ticks while idle
            self._ease((now - self.eased_at) / TICK)
        if now - self.tally_at >= TELL:
            self._exchange()
        if self.hotness.is_epoch_due(now):
            self._epoch()
        item = self.items[id] = Item(id, self.s.categories[category], key, now + left, write)
        item.mark = stable_hash(key if key is not None else str(id)) >> 32
        if left <= 0 or not self._share(item, customer):
            return self.give_up(item)
        if key is not None:
            self._hotness(item)
        self._forward(item)

    def answered(
        self, now: float, id: int, number: int, server: str, verdict: int, spent: float, final: bool, remark: int | None
    ) -> None:
        self.now, cache = now, self.caches[server]
        cache.inflight -= 1
        self.fleet.inflight -= cache.entry.kind != self.s.origin_kind
        self._observe(cache, verdict, spent)
        if (item := self.items.get(id)) is not None:
            item.out -= 1
            item.stage += 1
            if final:
                self._end(item, verdict == Verdict.FINISHED)
            else:
                self._came_back(item, cache, verdict, remark)
        self._release(cache)
        self._release(self.fleet)

    def streaming(self, now: float, id: int) -> None:
        self.now = now
        if (item := self.items.get(id)) is not None:
            item.streams, item.stage = True, item.stage + 1

    def spent(self, now: float, id: int) -> None:
        """The wi's body can't be sent again in full: the ho that is out is its last."""
        self.now = now
        if (item := self.items.get(id)) is not None:
            item.last = True

    def abandoned(self, now: float, id: int) -> None:
        self.now = now
        if (item := self.items.get(id)) is not None:
            self._end(item, False)

    def overtaken(self, now: float, id: int, number: int) -> None:
        """Takes back a ho that many later ones at its cache overtook: its connection fell silent."""
        self.now, item = now, self.items.get(id)
        if self.s.cancelling and item and item.category.semantics is Semantics.RERUNNABLE:
            self.results.withdrawals.append((id, number))

    def heard(self, now: float, author: int, payload: bytes) -> None:
        self.now, tally = now, Tally.unpack(payload, len(self.asked))
        if tally is not None and tally.total:
            self._learn(tally)
        elif tally is not None:  # else it is of another version
            self.tally.add(tally)
            self._tell_soon()

    def list_changed(self, now: float, scope: str, entries: list[Entry]) -> None:
        self.now = now
        if scope == "failed":
            self.list_wait = min(2 * self.s.ask_within, max(1.0, 2 * self.list_wait))
            self.at(now + self.list_wait * (0.5 + self.chance.draw()), "ask")
            return
        if scope != "delta":
            named = {e.server for e in entries}
            unnamed = [c.entry for c in self.caches.values() if c.entry.server not in named]
            entries = entries + [entry._replace(health="dead") for entry in unnamed]
        for entry in entries:
            cache = self.caches.get(entry.server)
            if cache is None:
                start = max(1.0, 24 / self.s.routers)  # many routers must not crowd a cache
                cache = Cache(entry, stable_hash(entry.server) >> 48, heard_at=now, asked_at=now, limit=start)
                self.caches[entry.server] = cache
            elif entry.came_up != cache.entry.came_up:  # a new life: nothing learned of the old one holds
                cache.__init__(entry, cache.mark, cache.inflight, cache.held, now, now)
            cache.entry = entry
        live = [c for c in self.caches.values() if c.entry.health == "live"]
        self.origin = next((c for c in live if c.entry.kind == self.s.origin_kind and self.s.aside), None)
        self.ready = [c for c in live if c is not self.origin]
        self.heft = sum(c.entry.heft for c in self.ready)
        self._lay_ring()
        if scope == "cached":
            self.fleet.limit = max(1.0, 24 * len(self.ready) / self.s.routers)
        for cache in (c for c in self.caches.values() if c.entry.health != "live"):
            self._turn_out(cache)
        gone = [c for c in self.caches.values() if c.entry.health == "dead" and not c.inflight]
        for cache in gone[: max(0, len(gone) - len(self.caches) // 2)]:  # some come back, most never
            del self.caches[cache.entry.server]

    def seen(self, now: float) -> tuple[int, int]:
        """How many caches the list names, and how many of them are left out now, by hand or by choice."""
        listed = [c for c in self.caches.values() if c.entry.health != "dead"]
        return len(listed), sum(c.entry.health != "live" or c.silent_until > now for c in listed)

    def learned(self) -> Learned:
        """What another process of this router may start from."""

        def times(cache: Cache) -> tuple[float, float, float]:
            return cache.limit, cache.median, cache.base

        live = {c.entry.server: times(c) for c in self.caches.values() if c.entry.health == "live"}
        keys = {mark: (hot.score, hot.streak, hot.lease, hot.shadows) for mark, hot in self.scores.items()}
        return Learned(live, times(self.fleet), self.asked, self.warm_rate, self.extra, self.samples, keys)

    def take_up(self, now: float, learned: Learned) -> None:
        """Starts from what another process learned, at half its limits: both may live for a while."""
        self.now = now
        for cache in (self.fleet, *self.caches.values()):
            known = learned.servers.get(cache.entry.server, (cache.limit, 0.0, 0.0))
            limit, median, base = learned.fleet if cache is self.fleet else known
            cache.limit = min(1024.0, max(0.02, limit / 2 if limit >= 2 else limit))
            cache.median, cache.base, cache.limit_at = max(0.0, median), max(0.0, base), now
        if len(learned.asked) == len(self.asked):
            self.asked = [max(0.0, rate) for rate in learned.asked]
        self.warm_rate, self.samples = max(0.0, learned.warm_rate), max(0.0, learned.samples)
        self.extra = min(1.0, max(0.01, learned.extra))
        for mark, (score, streak, lease, shadows) in list(learned.keys.items())[:MAX_SCORED_KEYS]:
            self.scores[mark] = HotKey(score, streak, min(lease, now + SHADOW_LEASE_SECONDS), max(0, shadows))

    def woken(self, now: float) -> None:
        self.now = now
        while self.timers and self.timers[0][0] <= now:
            _, _, what, item, stage = heappop(self.timers)
            if what == "ask":
                self.results.subscribe = True
            elif what == "tell":
                self._tell()
            elif item.stage == stage and item.id in self.items:
                {"hold": self.give_up, "again": self._forward_again, "late": self._take_back}[what](item)

    def at(self, when: float, what: str, item: Item | None = None) -> None:
        heappush(self.timers, (when, next(self.order), what, item, item.stage if item else 0))

    # hotness ----------------------------------------------

    def _hotness(self, item: Item) -> None:
        worth = -1 if item.write else 1
        self.hotness.record_access(item.mark, worth)
        self.tally.samples += 1
        self.tally.reads[item.mark] = self.tally.reads.get(item.mark, 0) + worth

    def _epoch(self) -> None:
        span = self.now - self.hotness.epoch_ends_at + EPOCH_SECONDS
        for mark, part in self.hotness.end_epoch(self.now, len(self.ready)):
            self.results.log.append(f"hot {mark:08x}: {part:.2f} of samples")
        if self.heft and self.finished:  # many answers tell more than few
            seen = self.finished / span / self.heft
            self.warm_rate += min(0.4, self.finished / 32) * (seen - self.warm_rate)
        self.finished = 0

    # placement --------------------------------------------

    def _lay_ring(self) -> None:
        mean = self.heft / max(1, len(self.ready)) or 1.0
        unit = 2.0 ** round(log2(mean))  # steady while caches come and go, and the same at every router
        equal = self.s.live_heft
        points = {c: POINTS if equal else max(1, round(POINTS * c.entry.heft / unit)) for c in self.ready}
        self.ring.set_point_counts(points)

    def _walk(self, mark: int, length: int = WALK) -> list[Cache]:
        return self.ring.successors(mark, length)

    def _open(self, cache: Cache, item: Item | None) -> bool:
        """Whether a new ho may go to the cache, by rule and by health, leaving its load aside."""
        if not item or item.ran_since is None or item.category.semantics is not Semantics.TICKETED:
            return self._answers(cache)
        known = group_of(cache, item) == item.ran_group and self.now - item.ran_since < item.category.window
        return known and self._answers(cache)

    def _place(self, item: Item) -> tuple[Cache | None, bool]:
        """Where a read goes, and whether there is room at once."""
        hot = self.hotness.get(item.mark)
        walk = self._walk(item.mark, WALK + hot.shadows if hot else WALK)
        if hot is not None and hot.shadows and not item.hos:
            replicas = [c for c in walk[: hot.shadows + 1] if self._open(c, item) and self.warmth(c) >= 1]
            if replicas:
                replica = self._replica(hot, replicas)
                return replica, self._room(replica)
        mean = self.fleet.inflight / max(1, len(self.ready))
        if item.refused and self._spills():  # its home's table of connections is full
            return None, False
        for cache in walk[:WALK]:
            if any(cache is h for h, _ in item.hos) or not self._open(cache, item):
                continue
            if not self._cold_room(cache):
                if self._spills():
                    return None, False
                continue
            if cache.inflight < 2 * mean + 2 and self._room(cache):
                return cache, True
            return (None if self._spills() else cache), False
        return None, False

    def _replica(self, hot: HotKey, replicas: list[Cache]) -> Cache:
        """One replica drawn at random and kept, until it holds well over the mean in flight."""
        drawn = {c: -log(1 - self.chance.draw()) / max(1e-9, c.entry.heft * min(1.0, c.limit)) for c in replicas}
        if hot.current not in drawn:
            hot.current = min(drawn, key=drawn.get)
        elif hot.current.limit < 1 or hot.current.inflight > 2 * self.fleet.inflight / len(self.ready) + 2:
            hot.current = min(drawn, key=lambda c: (c.inflight, drawn[c]))
        return hot.current

    # pace -------------------------------------------------

    def _forward(self, item: Item) -> None:
        last = len(item.hos) + 1 >= self.s.max_hand_offs
        if item.missed or item.taken or (self.s.aside and (item.write or last)):
            return self._gate(item)
        if not item.hos and not self._room(self.fleet):
            return self._gate(item) if self._spills() else self._hold(item, self.fleet)
        cache, room = self._place(item)
        if cache is None:
            return self._gate(item)
        (self._hand_off if room else self._hold)(item, cache)

    def _hold(self, item: Item, cache: Cache) -> None:
        """Holds a wi until the cache answers; where nothing is out there, for a drawn while."""
        item.stage += 1
        since = item.held_at = item.held_at or self.now
        slow = cache.limit < min(1.0, SLOW * self.fleet.limit / max(1, len(self.ready)))
        if slow and cache is not self.origin:  # by itself: less work for all would not help it
            self.held.pop(item.id, None)
        else:
            self.held.setdefault(item.id, since)
        if cache.inflight:
            heappush(cache.held, ((item.over, -item.category.credit), next(self.order), item, item.stage))
        else:
            self.at(self.now + (0.05 + 0.1 * self.chance.draw()) * item.category.due, "again", item)
        self.at(min(since + self.hold_for * item.category.due, item.expiry - 0.01), "hold", item)

    def _release(self, cache: Cache) -> None:
        """Sends held wis on while the cache, or the origin, has room."""
        while cache.held and cache.silent_until <= self.now and self._room(cache):
            *_, item, stage = heappop(cache.held)
            if item.stage == stage and item.id in self.items:
                if cache is self.origin:
                    self._gate(item)
                elif cache is not self.fleet and self._open(cache, item) and self._cold_room(cache):
                    self._hand_off(item, cache)
                else:
                    self._forward(item)
        if cache.held and not cache.inflight:  # no answer is to come
            self._turn_out(cache)

    def _turn_out(self, cache: Cache) -> None:
        held, cache.held = cache.held, []
        for *_, item, stage in sorted(held, key=lambda entry: entry[:2]):
            if item.stage == stage and item.id in self.items:
                self._forward(item)

    def _spills(self) -> bool:
        """Whether the origin has room for reads that caches have none for."""
        origin = self.origin
        if origin is None or origin.median >= 1.9 * origin.base + 1e-9:
            return False
        return self._open(origin, None) and self._room(origin, 0.5)

    def _gate(self, item: Item) -> None:
        """The origin: few fetches out, one a key, its pace set by its answer times."""
        origin = self.origin
        if origin is None or not self.s.aside or not self._open(origin, item):
            return self.give_up(item)
        (self._hand_off if self._room(origin) else self._hold)(item, origin)

    # hand-off ---------------------------------------------

    def _hand_off(self, item: Item, cache: Cache) -> None:
        item.stage, item.held_at = item.stage + 1, 0.0
        self.held.pop(item.id, None)
        item.hos.append((cache, self.now))
        item.out += 1
        if not cache.inflight:
            cache.heard_at = self.now
        cache.inflight += 1
        self.fleet.inflight += cache.entry.kind != self.s.origin_kind
        self.results.hand_offs.append((item.id, 0.0, cache.entry.server))
        rerunnable = item.category.semantics is Semantics.RERUNNABLE
        if self.s.cancelling and rerunnable and self.origin not in (None, cache):
            self.at(self.now + LATE * item.category.due, "late", item)

    def _take_back(self, item: Item) -> None:
        """Takes a late ho back while the origin has room, which then has the wi."""
        if len(item.hos) < self.s.max_hand_offs and not item.last and self._spills():
            item.taken = True
            self.results.withdrawals.append((item.id, len(item.hos) - 1))

    def _came_back(self, item: Item, cache: Cache, verdict: int, remark: int | None) -> None:
        """Decides what follows a ho that did not finish its wi."""
        if verdict in (Verdict.ERROR, Verdict.RESET, Verdict.TIMED_OUT, Verdict.WITHDRAWN):
            if item.ran_since is None:
                item.ran_since = next(when for c, when in item.hos if c is cache)
                item.ran_group = group_of(cache, item)
        elif verdict == Verdict.MISS:
            item.missed.append(cache)
        elif verdict == Verdict.UNREACHABLE:
            item.refused = True
        if item.streams:
            return
        if verdict == Verdict.MISS and not item.last:
            self._gate(item)
            return
        spent = item.expiry < self.now + 0.005 or item.last or len(item.hos) >= self.s.max_hand_offs
        barred = item.ran_since is not None and item.category.semantics is Semantics.EXCLUSIVE
        if spent or barred or verdict == Verdict.MOOT:
            self.give_up(item)
        else:
            self._forward(item)

    def _forward_again(self, item: Item) -> None:
        """Another look where it missed: the key may have come meanwhile, by any router's fetch."""
        cache = item.missed[0] if item.missed and len(item.hos) + 1 < self.s.max_hand_offs else None
        if cache and self._open(cache, item) and self._room(cache) and self._cold_room(cache):
            return self._hand_off(item, cache)
        self._forward(item)

    def _end(self, item: Item, finished: bool) -> None:
        del self.items[item.id]
        self.held.pop(item.id, None)
        item.stage += 1
        if item.hos and not item.missed and not item.write and item.hos[0][0].limit >= 0.5:  # not known slow
            late = not finished or item.taken or self.now - item.hos[0][1] > 0.6 * item.category.due
            self._settle(self.fleet, late, 2.5 * self.warm_rate * self.heft * self.fleet.base)
