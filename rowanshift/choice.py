"""Every decision of rowanshift. A front makes one ``Router`` for each life of a router, calls its methods
as things happen, with the time, and carries out what ``drain`` returns. ``model.py`` lays the interface
down.

A work item (wi) passes the stages share, hotness, placement, pace and hand-off; what comes back of a hand-
off (ho) passes them the other way. docs/design.md tells what departs from the design, and when.
"""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import chain, count
from math import log, log2

from rowanshift import model
from rowanshift.model import Answer, Cache, Entry, Hot, Item, Results, Semantics, Settings, Tally, Verdict

POINTS = 64  # ring points of a cache of mean heft
WALK = 6  # distinct caches kept of a key's ring walk
EPOCH = 1.0
TELL = 1.0  # a sum over routers, each
LEASE = 5.0
HOT_EPOCHS = 4
TABLE = 512  # keys scored at once
EVIDENCE = 24  # samples that an epoch and its past hold at least
TICK = 0.1
HOLD = 0.2  # of the due time, that a wi is held for at most; less where few may miss it
LATE = 0.5  # of the due time, after which a read goes to the origin if that has room
SLOW = 0.2  # of an equal part of what all caches may have out: one that may have less is slow by itself
REGAIN = 1.2  # growth a second of a limit under one
DEEP = 0.25  # a limit that two slow answers leave; under it own answers are too rare to learn from
GOOD = 1.5  # growth of a limit under one by an answer in time, or by peers who see no crowd


def stable(text: str) -> int:
    """A hash that every router shares, whatever its process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def group_of(cache: Cache, item: Item) -> int | None:
    """Which caches drop repeats of the wi together with this one."""
    return {"all": 0, "zone": cache.entry.zone, "cell": cache.entry.cell}.get(item.category.group)


class Chance:
    """A linear congruential generator, of which the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = (seed ^ 0x5DEECE66D) & (2**64 - 1)

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 32) / 2**32


class Router:
    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.s, self.now = settings, now
        self.chance = Chance(seed)
        self.results = Results()
        self.items: dict[int, Item] = {}
        self.caches: dict[str, Cache] = {}
        self.ready: list[Cache] = []
        self.origin: Cache | None = None
        self.ring: list[int] = []  # points in order
        self.owner: dict[int, Cache] = {}  # whose a point is
        self.walks: dict[int, list[Cache]] = {}
        self.order = count()
        self.timers: list[tuple[float, int, str, Item | None, int]] = []
        self.wake_at = 0.0
        self.held: OrderedDict[int, float] = OrderedDict()  # held wis, the oldest first
        self.due = min(c.due for c in settings.categories)
        self.hold_for = HOLD if not settings.slow_end else min(HOLD, 5 * settings.miss_share)  # of due times
        self.scores: dict[int, Hot] = {}
        self.samples, self.extra = 0.0, 1.0  # the last: part of the work beyond shares that is admitted
        self.tally = Tally([0] * len(settings.quotas))  # since it was last sent on or learned from
        self.tally_at, self.told_at, self.telling = now, now, 0  # the last: second that this router told of
        self.asked = [0.0] * len(settings.quotas)  # work items a second of each customer, at all routers
        self.waited = 0.0  # how long the oldest held wi had waited, over routers
        self.list_wait = min(0.9 * settings.ask_within, 0.03 * settings.routers)  # one list serves all
        self.eased_at, self.epoch_at, self.finished = now, now + EPOCH, 0  # answers of warm caches
        self.fleet = Cache(Entry("fleet", 0, 1.0, 0, "live", -1, 0.0), 0)  # all caches taken as one
        self.heft, self.warm_rate = 0.0, 0.0  # of all ready caches; finished a second and heft at warm ones
        if settings.ask:  # not all at once when routers start together
            self.at(now + self.list_wait * self.chance.draw(), "ask")

    # calls ------------------------------------------------

    def drain(self) -> Results:
        out, self.results = self.results, Results()
        if self.timers and (self.wake_at <= self.now or self.timers[0][0] < self.wake_at):
            self.wake_at = max(self.timers[0][0], self.now + 1e-6)
            out.wake = self.wake_at - self.now
        return out

    def take(self, now: float, id: int, category: int, customer: int, key: str | None, left: float,
             write: bool) -> None:
        self.now = now
        if now - self.eased_at >= TICK:  # as work comes in: nothing ticks while idle
            self._ease((now - self.eased_at) / TICK)
        if now - self.tally_at >= TELL:
            self._exchange()
        if now >= self.epoch_at:
            self._epoch()
        item = self.items[id] = Item(id, self.s.categories[category], key, now + left, write)
        item.mark = stable(key if key is not None else str(id)) >> 32
        if left <= 0 or not self._share(item, customer):
            return self.give_up(item)
        self._hotness(item)
        self._forward(item)

    def answered(self, now: float, id: int, number: int, server: str, verdict: int, spent: float, final: bool,
                 remark: int | None) -> None:
        self.now = now
        cache = self.caches[server]
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
        self.now = now
        item = self.items.get(id)
        if self.s.cancelling and item and item.category.semantics is Semantics.RERUNNABLE:
            self.results.withdrawals.append((id, number))

    def heard(self, now: float, author: int, payload: bytes) -> None:
        self.now = now
        tally = Tally.unpack(payload, len(self.asked))
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
            entries = entries + [c.entry._replace(health="dead") for c in self.caches.values()
                                 if c.entry.server not in named]
        for entry in entries:
            cache = self.caches.get(entry.server)
            if cache is None:
                start = max(1.0, 24 / self.s.routers)  # many routers must not crowd a cache
                cache = Cache(entry, stable(entry.server) >> 48, heard_at=now, asked_at=now, limit=start)
                self.caches[entry.server] = cache
            elif entry.came_up != cache.entry.came_up:  # a new life: nothing learned of the old one holds
                cache.__init__(entry, cache.mark, cache.points, cache.inflight, cache.held, now, now)
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

    def learned(self) -> model.Learned:
        """What another process of this router may start from."""
        def times(cache: Cache) -> tuple[float, float, float]:
            return cache.limit, cache.median, cache.base

        return model.Learned(
            {c.entry.server: times(c) for c in self.caches.values() if c.entry.health == "live"},
            times(self.fleet), self.asked, self.warm_rate, self.extra, self.samples,
            {mark: (hot.score, hot.streak, hot.lease, hot.shadows) for mark, hot in self.scores.items()})

    def take_up(self, now: float, learned: model.Learned) -> None:
        """Starts from what another process learned. While both live, they keep to one router's limits: each
        to half, which grows by answers."""
        self.now = now
        for cache in (self.fleet, *self.caches.values()):
            limit, median, base = learned.servers.get(cache.entry.server, (cache.limit, 0.0, 0.0))
            if cache is self.fleet:
                limit, median, base = learned.fleet
            cache.limit = min(1024.0, max(0.02, limit / 2 if limit >= 2 else limit))
            cache.median, cache.base, cache.limit_at = max(0.0, median), max(0.0, base), now
        if len(learned.asked) == len(self.asked):
            self.asked = [max(0.0, rate) for rate in learned.asked]
        self.warm_rate, self.samples = max(0.0, learned.warm_rate), max(0.0, learned.samples)
        self.extra = min(1.0, max(0.01, learned.extra))
        for mark, (score, streak, lease, shadows) in list(learned.keys.items())[:TABLE]:
            self.scores[mark] = Hot(score, streak, min(lease, now + LEASE), max(0, shadows))

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

    # share ------------------------------------------------

    def _share(self, item: Item, customer: int) -> bool:
        """Work beyond a share is drawn by chance, which adds up where a share of a router is under one wi."""
        if customer < len(self.asked):
            self.tally.asked[customer] += 1
            item.over = self.chance.draw() * self.asked[customer] >= self.s.quotas[customer] > 0
        return not item.over or self.extra >= 1 or self.chance.draw() < self.extra

    def _oldest(self) -> float:
        return self.now - next(iter(self.held.values())) if self.held else 0.0

    def _ease(self, ticks: float) -> None:
        """Work beyond the shares gives way while held work waits long, here or over all routers."""
        self.eased_at, before = self.now, self.extra
        waited = max(self._oldest(), self.waited)
        if waited > 0.15 * self.due:
            self.extra = max(0.01, before * 0.6 ** min(ticks, waited / TICK))
        else:
            self.extra = min(1.0, before * 1.03**ticks)
        if (before < 1) != (self.extra < 1):
            self.results.log.append(f"shares {'on' if self.extra < 1 else 'off'}: oldest held {waited:.3f} s")

    def _exchange(self) -> None:
        """Sends the tally to the teller, a router drawn anew each second, who tells all routers the sum."""
        tally = self.tally
        tally.span += self.now - self.tally_at
        tally.waited += self._oldest() * (self.now - self.tally_at)
        self.tally_at = self.now
        if not self.s.peers or self.s.routers == 1:
            self._learn(tally)
        elif (teller := int(self.now / TELL) % self.s.routers) == self.s.ordinal:
            return self._tell_soon()
        else:
            if self.now - self.told_at > 3 * TELL:  # peers are silent
                self._learn(tally)
            self._count_out(tally)
            self.results.messages.append((teller, tally.pack()))
        self.tally = Tally([0] * len(self.asked))

    def _tell_soon(self) -> None:
        second = int(self.now / TELL)
        if second % self.s.routers == self.s.ordinal and second > self.telling:
            self.telling = second  # what comes later is sent on with this router's next tally
            self.at((second + 0.9) * TELL, "tell")

    def _tell(self) -> None:
        self._count_out(self.tally)
        self.tally.keep, self.tally.total = self._over(self.tally), True
        self.results.messages.append((None, self.tally.pack()))
        self._learn(self.tally)
        self.tally = Tally([0] * len(self.asked))

    def _count_out(self, tally: Tally) -> None:
        for cache in (c for c in self.ready if c.inflight):
            tally.out[cache.mark] = tally.out.get(cache.mark, 0) + cache.inflight

    def _over(self, tally: Tally) -> dict[int, int]:
        """Caches that hold well over the mean in flight of all routers, by heft: what to keep, in 255ths."""
        mean, over = sum(tally.out.values()) / (self.heft or 1.0), {}
        for cache in self.ready:
            part, out = 1.2 * mean * cache.entry.heft + 1, tally.out.get(cache.mark, 0)
            if out > part:
                over[cache.mark] = int(255 * max(0.5, part / out))
        return over

    def _learn(self, tally: Tally) -> None:
        """Takes in what one router saw, or all; many observations tell more than few."""
        span = max(tally.span, 1e-3)
        routers = self.s.routers if self.s.peers else max(1.0, self.s.routers / 2)  # this one may be lopsided
        gain = min(0.5, sum(tally.asked) / 64)
        if self.s.peers and span < 0.75 * self.s.routers * TELL and any(self.asked):
            gain = 0.0  # part of the routers, as in a cut: they may be lopsided
        for i, n in enumerate(tally.asked):
            self.asked[i] += gain * (n / span * routers - self.asked[i])
        if not tally.total:
            return
        self.told_at, self.waited = self.now, tally.waited / span
        for cache in self.ready:
            part = tally.keep.get(cache.mark, 255)
            if part == 255:  # no crowd there, over all routers: as good as an answer in time of its own
                if cache.limit < DEEP:
                    cache.limit = min(DEEP, GOOD * cache.limit)
            elif cache.heard_at < self.now - TELL:  # own answers, where any came, tell as much
                self._regain(cache)
                cache.limit = max(0.02, min(1.0, cache.limit) * part / 255)
        self.samples += tally.samples
        for mark, n in tally.reads.items():
            if mark in self.scores or len(self.scores) < TABLE:
                self.scores.setdefault(mark, Hot()).score += n

    # hotness ----------------------------------------------

    def _hotness(self, item: Item) -> None:
        if item.key is None:
            return
        worth = -1 if item.write else 1
        self.samples += 1
        self.tally.samples += 1
        self.tally.reads[item.mark] = self.tally.reads.get(item.mark, 0) + worth
        if item.mark in self.scores or (not item.write and len(self.scores) < TABLE):
            self.scores.setdefault(item.mark, Hot()).score += worth

    def _epoch(self) -> None:
        if self.samples < EVIDENCE:
            return  # the mark means nothing yet
        span, self.epoch_at = self.now - self.epoch_at + EPOCH, self.now + EPOCH
        ready = max(1, len(self.ready))
        for mark, hot in list(self.scores.items()):
            share = hot.score / self.samples * ready
            hot.streak = hot.streak + 1 if share > 1 and hot.score > 2 else 0
            if hot.streak >= HOT_EPOCHS:
                if not hot.shadows:
                    self.results.log.append(f"hot {mark:08x}: {share / ready:.2f} of samples")
                hot.lease = self.now + LEASE
                hot.shadows = min(int(share), 2 * hot.shadows + 1, ready - 1)
            elif hot.lease < self.now:
                hot.shadows = 0
            hot.score /= 2
            if hot.score < 0.5 and not hot.shadows:
                del self.scores[mark]
        self.samples /= 2
        if self.heft and self.finished:  # many answers tell more than few
            seen = self.finished / span / self.heft
            self.warm_rate += min(0.4, self.finished / 32) * (seen - self.warm_rate)
        self.finished = 0

    # placement --------------------------------------------

    def _lay_ring(self) -> None:
        """Merges what has changed into the ring: laid anew, a deploy would take a large fleet's CPU."""
        mean = self.heft / max(1, len(self.ready)) or 1.0
        unit = 2.0 ** round(log2(mean))  # steady while caches come and go, and the same at every router
        wanted = {c: POINTS if self.s.live_heft else max(1, round(POINTS * c.entry.heft / unit))
                  for c in self.ready}
        for c in (c for c in self.caches.values() if len(c.points) != wanted.get(c, 0)):
            for point in c.points:
                del self.owner[point], self.ring[bisect_left(self.ring, point)]
            c.points = ()
        for c in (c for c in self.ready if not c.points):
            c.points = tuple(stable(f"{c.entry.server}#{i}") for i in range(wanted[c]))
            self.owner.update(dict.fromkeys(c.points, c))
            self.ring += c.points
        self.ring.sort()
        self.walks.clear()

    def _walk(self, mark: int, length: int = WALK) -> list[Cache]:
        """The first distinct caches on the key's ring walk."""
        walk = self.walks.get(mark)
        if walk is None or len(walk) < min(length, len(self.ready)):
            if len(self.walks) > 20000:
                self.walks.clear()
            walk = []
            start = bisect_right(self.ring, mark << 32)
            for point in chain(self.ring[start:], self.ring[:start]):
                if self.owner[point] not in walk:
                    walk.append(self.owner[point])
                    if len(walk) == length:
                        break
            self.walks[mark] = walk
        return walk

    def warmth(self, cache: Cache) -> float:
        """The part of its capacity that a cache surely has."""
        up = (self.now - cache.entry.came_up) / self.s.warm_within if cache.entry.came_up else 1.0
        return min(1.0, self.s.start_share + (1 - self.s.start_share) * max(0.0, up))

    def _open(self, cache: Cache, item: Item | None) -> bool:
        """Whether a new ho may go to the cache, by rule and by health, leaving its load aside."""
        if cache.entry.health != "live" or cache.silent_until > self.now:
            return False
        if cache.inflight and (cache.strikes or self.now - cache.heard_at > 0.6 * self.due):
            return False
        if item is None or item.ran_since is None or item.category.semantics is not Semantics.TICKETED:
            return True
        return group_of(cache, item) == item.ran_group and self.now - item.ran_since < item.category.window

    def _cold_room(self, cache: Cache) -> bool:
        """Keeps a cold cache under its warm share of what warm fellows finish; if all do, none falls over."""
        if (warm := self.warmth(cache)) >= 1:
            return True  # else by chance: a first token at each of hundreds of routers would push it over
        rate = warm * self.warm_rate * cache.entry.heft * self.s.overload_factor / 2
        since, cache.asked_at = self.now - cache.asked_at, self.now
        return self.chance.draw() < rate * since

    def _place(self, item: Item) -> tuple[Cache | None, bool]:
        """Where a read goes, and whether there is room at once."""
        hot = self.scores.get(item.mark)
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
            tried = any(cache is h for h, _ in item.hos)
            if tried or not self._open(cache, item):
                continue
            if not self._cold_room(cache):
                if self._spills():
                    return None, False
                continue
            if cache.inflight < 2 * mean + 2 and self._room(cache):
                return cache, True
            return (None if self._spills() else cache), False
        return None, False

    def _room(self, cache: Cache, part: float = 1.0) -> bool:
        """Whether the cache may have one more out; by chance below one, since hundreds of routers add up."""
        self._regain(cache)
        limit = part * cache.limit
        if cache is self.fleet and limit < 1:  # under one out on average is a rate, by present times
            limit *= (self.now - cache.asked_at) / max(cache.median, 0.01)
            cache.asked_at = self.now
        return cache.inflight < limit if limit >= 1 else not cache.inflight and self.chance.draw() < limit

    def _regain(self, cache: Cache) -> None:
        """Lets a limit below one grow back, for half a second at most: a quiet router asks again late."""
        if cache.limit < 1:
            cache.limit = min(1.0, cache.limit * REGAIN ** min(0.5, self.now - cache.limit_at))
        cache.limit_at = self.now

    def _replica(self, hot: Hot, replicas: list[Cache]) -> Cache:
        """One replica drawn at random and kept, until it holds well over the mean in flight."""
        drawn = {c: -log(1 - self.chance.draw()) / max(1e-9, c.entry.heft * min(1.0, c.limit))
                 for c in replicas}
        if hot.current not in drawn:
            hot.current = min(drawn, key=drawn.get)
        elif hot.current.limit < 1 or hot.current.inflight > 2 * self.fleet.inflight / len(self.ready) + 2:
            hot.current = min(drawn, key=lambda c: (c.inflight, drawn[c]))
        return hot.current

    def _observe(self, cache: Cache, verdict: int, spent: float) -> None:
        """Adapts the limit of hos out at once, and tells a silent cache from a busy one."""
        if verdict in (Verdict.FINISHED, Verdict.MISS, Verdict.ERROR):
            cache.heard_at = cache.answered_at = self.now
            self.finished += cache is not self.origin and self.warmth(cache) >= 1  # misses weigh as well
            if cache.strikes:
                self.results.log.append(f"{cache.entry.server} answers again after {cache.strikes} strikes")
                cache.strikes, cache.silent_until = 0, 0.0
            if verdict == Verdict.FINISHED:
                timed = cache if cache is self.origin else self.fleet
                timed.spent.add(spent)
                if timed.spent.total >= 16:
                    timed.median = timed.spent.quantile(0.5)
                    timed.base = min(timed.median, 1.01 * timed.base or timed.median)
                    timed.spent.halve()
        elif verdict in (Verdict.RESET, Verdict.UNREACHABLE):
            cache.strikes += 1  # a reset beside answers may tell of one connection: the next answer decides
            if verdict == Verdict.UNREACHABLE or self.now - cache.answered_at > 2 * self.fleet.base:
                cache.silent_until = self.now + min(4.0, 0.25 * 2**cache.strikes)
            if cache.strikes == 1:
                name = Verdict(verdict).name.lower()
                self.results.log.append(f"{cache.entry.server} silent: {name} after {spent:.3f} s")
        slow = min(1.5 * self.due, max(0.45 * self.due, 3 * cache.base))
        if spent > slow or verdict == Verdict.FULL:
            self._settle(cache, True)
        elif verdict == Verdict.FINISHED:
            self._settle(cache, False)

    def _settle(self, cache: Cache, slow: bool, least: float = 0.0) -> None:
        """Moves a limit to where one answer in seven is slow."""
        self._regain(cache)
        if slow:
            cache.limit = max(0.02, least, cache.limit - min(6 / cache.limit, 0.5 * cache.limit))
        elif cache.inflight + 1 >= 0.7 * cache.limit:
            cache.limit = min(1024.0, cache.limit + min(1 / cache.limit, (GOOD - 1) * cache.limit))

    # pace -------------------------------------------------

    def _forward(self, item: Item) -> None:
        last = len(item.hos) + 1 >= self.s.max_hand_offs
        if item.missed or item.taken or (self.s.aside and (item.write or last)):
            return self._gate(item)
        if not item.hos and not self._room(self.fleet):
            return self._gate(item) if self._spills() else self._hold(item, self.fleet)
        cache, room = self._place(item)
        if cache is None:
            self._gate(item)
        else:
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
        return (origin is not None and origin.median < 1.9 * origin.base + 1e-9
                and self._open(origin, None) and self._room(origin, 0.5))

    def _gate(self, item: Item) -> None:
        """The origin: few fetches out, one a key, its pace set by its answer times."""
        origin = self.origin
        if origin is None or not self.s.aside or not self._open(origin, item):
            self.give_up(item)
        else:
            (self._hand_off if self._room(origin) else self._hold)(item, origin)

    # hand-off ---------------------------------------------

    def _hand_off(self, item: Item, cache: Cache) -> None:
        item.stage += 1
        item.held_at = 0.0
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
        elif (item.expiry < self.now + 0.005 or verdict == Verdict.MOOT or item.last
              or len(item.hos) >= self.s.max_hand_offs or (
                  item.ran_since is not None and item.category.semantics is Semantics.EXCLUSIVE)):
            self.give_up(item)
        else:
            self._forward(item)

    def _forward_again(self, item: Item) -> None:
        """Another look where it missed: the key may have come meanwhile, by any router's fetch."""
        cache = item.missed[0] if item.missed and len(item.hos) + 1 < self.s.max_hand_offs else None
        if cache and self._open(cache, item) and self._room(cache) and self._cold_room(cache):
            self._hand_off(item, cache)
        else:
            self._forward(item)

    def _end(self, item: Item, finished: bool) -> None:
        del self.items[item.id]
        self.held.pop(item.id, None)
        item.stage += 1
        if item.hos and not item.missed and not item.write and item.hos[0][0].limit >= 0.5:  # not known slow
            late = not finished or item.taken or self.now - item.hos[0][1] > 0.6 * item.category.due
            self._settle(self.fleet, late, 2.5 * self.warm_rate * self.heft * self.fleet.base)

    def give_up(self, item: Item) -> None:
        """Answers at once: deferred where that assures no harm, else written off."""
        what = item.category.semantics
        safe = what is Semantics.RERUNNABLE or (not item.out and item.ran_since is None) or (
            what is Semantics.TICKETED and item.category.group == "all")
        answer = Answer.DEFERRED if safe and not item.streams else Answer.WRITTEN_OFF
        back = self.s.retry_after if item.over else min(self.s.retry_after, 0.25 * item.category.due)
        self.results.answers.append((item.id, answer, back))
        self._end(item, False)
