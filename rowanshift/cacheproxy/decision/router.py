"""The routing decisions of the cache proxy. A driver creates one ``Router`` per start of a router, reports
events by calling its methods and executes what ``drain`` returns. ``cacheproxy/model.py`` has the types.

A work item passes admission, hot-key accounting, placement, pacing and hand-off; the outcome of a hand-off
passes them in reverse. docs/design.md lists the deviations from the design."""

from heapq import heappop, heappush
from itertools import count
from math import log, log2

from rowanshift.cacheproxy.decision.shares import ADMISSION_SECONDS, TALLY_SECONDS, Shares
from rowanshift.cacheproxy.model import Cache, Entry, Item, Learned, Results, Semantics, Settings, Tally, Verdict
from rowanshift.placement.hash_ring import HashRing, stable_hash
from rowanshift.placement.hot_keys import EPOCH_SECONDS, MAX_SCORED_KEYS, SHADOW_LEASE_SECONDS, HotKey

POINTS, MAX_SUCCESSORS = 64, 6  # ring points of a cache of mean heft; caches considered for a key
MAX_HOLD = 0.2  # longest hold as a fraction of the due time; less if few work items may miss it
LATE_FRACTION = 0.5  # of the due time, after which a read is moved to the origin if that has capacity
SLOW_FRACTION = 0.2  # of the mean limit per cache: a cache with a lower limit is slow on its own


def group_of(cache: Cache, item: Item) -> int | None:
    """The group of caches that deduplicates a work item together with this one; None if there is none."""
    return {"all": 0, "zone": cache.entry.zone, "cell": cache.entry.cell}.get(item.category.group)


class Router(Shares):
    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.items: dict[int, Item] = {}
        self.caches: dict[str, Cache] = {}
        self.ring: HashRing[Cache] = HashRing(lambda cache: cache.entry.server)
        self.scores = self.hot_keys.scores
        self.order, self.wake_at = count(), 0.0
        self.timers: list[tuple[float, int, str, Item | None, int]] = []
        self.max_hold = MAX_HOLD if not settings.slow_end else min(MAX_HOLD, 5 * settings.miss_share)
        self.list_delay = min(0.9 * settings.ask_within, 0.03 * settings.routers)  # one list serves all
        if settings.ask:  # not all at once when routers start together
            self.at(now + self.list_delay * self.random.draw(), "ask")

    samples = property(lambda self: self.hot_keys.samples, lambda self, n: setattr(self.hot_keys, "samples", n))

    # events -----------------------------------------------

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
        if now - self.adapted_at >= ADMISSION_SECONDS:  # on arrivals, so that an idle router sets no timer
            self._adapt_admission((now - self.adapted_at) / ADMISSION_SECONDS)
        if now - self.tallied_at >= TALLY_SECONDS:
            self._exchange_tallies()
        if self.hot_keys.is_epoch_due(now):
            self._end_epoch()
        item = self.items[id] = Item(id, self.settings.categories[category], key, now + left, write)
        item.key_hash = stable_hash(key if key is not None else str(id)) >> 32
        if left <= 0 or not self._admits(item, customer):
            return self.give_up(item)
        if key is not None:
            self._record_access(item)
        self._forward(item)

    def answered(
        self, now: float, id: int, number: int, server: str, verdict: int, spent: float, final: bool, remark: int | None
    ) -> None:
        self.now, cache = now, self.caches[server]
        cache.inflight -= 1
        self.fleet.inflight -= cache.entry.kind != self.settings.origin_kind
        self._record_outcome(cache, verdict, spent)
        if (item := self.items.get(id)) is not None:
            item.open_attempts -= 1
            item.version += 1
            if final:
                self._end(item, verdict == Verdict.FINISHED)
            else:
                self._came_back(item, cache, verdict, remark)
        self._release(cache)
        self._release(self.fleet)

    def streaming(self, now: float, id: int) -> None:
        self.now = now
        if (item := self.items.get(id)) is not None:
            item.is_streaming, item.version = True, item.version + 1

    def body_consumed(self, now: float, id: int) -> None:
        """The work item's body can't be sent again in full: its open hand-off is the last."""
        self.now = now
        if (item := self.items.get(id)) is not None:
            item.is_last = True

    def client_left(self, now: float, id: int) -> None:
        self.now = now
        if (item := self.items.get(id)) is not None:
            self._end(item, False)

    def connection_stuck(self, now: float, id: int, number: int) -> None:
        """Withdraw a hand-off that many later ones at its cache overtook: its connection is stuck."""
        self.now, item = now, self.items.get(id)
        if self.settings.cancelling and item and item.category.semantics is Semantics.RERUNNABLE:
            self.results.withdrawals.append((id, number))

    def tally_received(self, now: float, author: int, payload: bytes) -> None:
        self.now, tally = now, Tally.unpack(payload, len(self.asked))
        if tally is not None and tally.total:
            self._apply_tally(tally)
        elif tally is not None:  # otherwise the message is invalid
            self.tally.add(tally)
            self._schedule_total()

    def list_changed(self, now: float, scope: str, entries: list[Entry]) -> None:
        self.now = now
        if scope == "failed":
            self.list_delay = min(2 * self.settings.ask_within, max(1.0, 2 * self.list_delay))
            self.at(now + self.list_delay * (0.5 + self.random.draw()), "ask")
            return
        if scope != "delta":
            named = {e.server for e in entries}
            unnamed = [c.entry for c in self.caches.values() if c.entry.server not in named]
            entries = entries + [entry._replace(health="dead") for entry in unnamed]
        for entry in entries:
            cache = self.caches.get(entry.server)
            if cache is None:
                start = max(1.0, 24 / self.settings.routers)  # many routers must not overload it
                cache = Cache(entry, stable_hash(entry.server) >> 48, heard_at=now, paced_at=now, limit=start)
                self.caches[entry.server] = cache
            elif entry.came_up != cache.entry.came_up:  # it restarted: discard its old state
                cache.__init__(entry, cache.server_hash, cache.inflight, cache.held, now, now)
            cache.entry = entry
        live = [c for c in self.caches.values() if c.entry.health == "live"]
        self.origin = next((c for c in live if c.entry.kind == self.settings.origin_kind and self.settings.aside), None)
        self.ready = [c for c in live if c is not self.origin]
        self.heft = sum(c.entry.heft for c in self.ready)
        self._rebuild_ring()
        if scope == "cached":
            self.fleet.limit = max(1.0, 24 * len(self.ready) / self.settings.routers)
        for cache in (c for c in self.caches.values() if c.entry.health != "live"):
            self._forward_held(cache)
        gone = [c for c in self.caches.values() if c.entry.health == "dead" and not c.inflight]
        for cache in gone[: max(0, len(gone) - len(self.caches) // 2)]:  # keep some, as they may return
            del self.caches[cache.entry.server]

    def server_counts(self, now: float) -> tuple[int, int]:
        """The number of listed caches, and how many of them get no requests now: drained or silent."""
        listed = [c for c in self.caches.values() if c.entry.health != "dead"]
        return len(listed), sum(c.entry.health != "live" or c.silent_until > now for c in listed)

    def learned(self) -> Learned:
        """The learned state, for a successor process of this router."""

        def times(cache: Cache) -> tuple[float, float, float]:
            return cache.limit, cache.median, cache.base

        live = {c.entry.server: times(c) for c in self.caches.values() if c.entry.health == "live"}
        keys = {key: (hot.score, hot.streak, hot.lease, hot.shadows) for key, hot in self.scores.items()}
        return Learned(live, times(self.fleet), self.asked, self.warm_rate, self.extra, self.samples, keys)

    def restore(self, now: float, learned: Learned) -> None:
        """Start from another process's learned state, at half its limits, as both may run for a while."""
        self.now = now
        for cache in (self.fleet, *self.caches.values()):
            known = learned.servers.get(cache.entry.server, (cache.limit, 0.0, 0.0))
            limit, median, base = learned.fleet if cache is self.fleet else known
            cache.limit = min(1024.0, max(0.02, limit / 2 if limit >= 2 else limit))
            cache.median, cache.base, cache.limit_updated_at = max(0.0, median), max(0.0, base), now
        if len(learned.asked) == len(self.asked):
            self.asked = [max(0.0, rate) for rate in learned.asked]
        self.warm_rate, self.samples = max(0.0, learned.warm_rate), max(0.0, learned.samples)
        self.extra = min(1.0, max(0.01, learned.extra))
        for key, (score, streak, lease, shadows) in list(learned.keys.items())[:MAX_SCORED_KEYS]:
            self.scores[key] = HotKey(score, streak, min(lease, now + SHADOW_LEASE_SECONDS), max(0, shadows))

    def timer_expired(self, now: float) -> None:
        self.now = now
        while self.timers and self.timers[0][0] <= now:
            _, _, event, item, version = heappop(self.timers)
            if event == "ask":
                self.results.subscribe = True
            elif event == "tell":
                self._broadcast_total()
            elif item.version == version and item.id in self.items:
                {"hold": self.give_up, "again": self._retry_missed, "late": self._withdraw_late}[event](item)

    def at(self, when: float, event: str, item: Item | None = None) -> None:
        heappush(self.timers, (when, next(self.order), event, item, item.version if item else 0))

    # hot keys ---------------------------------------------

    def _record_access(self, item: Item) -> None:
        weight = -1 if item.write else 1
        self.hot_keys.record_access(item.key_hash, weight)
        self.tally.samples += 1
        self.tally.reads[item.key_hash] = self.tally.reads.get(item.key_hash, 0) + weight

    def _end_epoch(self) -> None:
        span = self.now - self.hot_keys.epoch_ends_at + EPOCH_SECONDS
        for key, part in self.hot_keys.end_epoch(self.now, len(self.ready)):
            self.results.log.append(f"hot {key:08x}: {part:.2f} of samples")
        if self.heft and self.finished:  # the weight grows with the number of responses
            measured = self.finished / span / self.heft
            self.warm_rate += min(0.4, self.finished / 32) * (measured - self.warm_rate)
        self.finished = 0

    # placement --------------------------------------------

    def _rebuild_ring(self) -> None:
        mean = self.heft / max(1, len(self.ready)) or 1.0
        unit = 2.0 ** round(log2(mean))  # stable as caches come and go, and equal at all routers
        equal = self.settings.live_heft
        points = {c: POINTS if equal else max(1, round(POINTS * c.entry.heft / unit)) for c in self.ready}
        self.ring.set_point_counts(points)

    def _walk(self, key_hash: int, length: int = MAX_SUCCESSORS) -> list[Cache]:
        return self.ring.successors(key_hash, length)

    def _accepts(self, cache: Cache, item: Item | None) -> bool:
        """Whether a new hand-off to the cache is allowed, by semantics and health, regardless of load."""
        if not item or item.ran_since is None or item.category.semantics is not Semantics.TICKETED:
            return self._is_responsive(cache)
        allowed = group_of(cache, item) == item.ran_group and self.now - item.ran_since < item.category.window
        return allowed and self._is_responsive(cache)

    def _select_cache(self, item: Item) -> tuple[Cache | None, bool]:
        """The cache for a read (None: the origin), and whether it has capacity now."""
        hot = self.hot_keys.get(item.key_hash)
        walk = self._walk(item.key_hash, MAX_SUCCESSORS + hot.shadows if hot else MAX_SUCCESSORS)
        if hot is not None and hot.shadows and not item.attempts:
            replicas = [c for c in walk[: hot.shadows + 1] if self._accepts(c, item) and self.warmth(c) >= 1]
            if replicas:
                replica = self._select_replica(hot, replicas)
                return replica, self._room(replica)
        mean = self.fleet.inflight / max(1, len(self.ready))
        if item.connection_refused and self._origin_has_room():  # full connection table
            return None, False
        for cache in walk[:MAX_SUCCESSORS]:
            if any(cache is h for h, _ in item.attempts) or not self._accepts(cache, item):
                continue
            if not self._cold_room(cache):
                if self._origin_has_room():
                    return None, False
                continue
            if cache.inflight < 2 * mean + 2 and self._room(cache):
                return cache, True
            return (None if self._origin_has_room() else cache), False
        return None, False

    def _select_replica(self, hot: HotKey, replicas: list[Cache]) -> Cache:
        """A replica drawn at random by weight, and kept until it has far more in flight than the mean."""
        drawn = {c: -log(1 - self.random.draw()) / max(1e-9, c.entry.heft * min(1.0, c.limit)) for c in replicas}
        if hot.current not in drawn:
            hot.current = min(drawn, key=drawn.get)
        elif hot.current.limit < 1 or hot.current.inflight > 2 * self.fleet.inflight / len(self.ready) + 2:
            hot.current = min(drawn, key=lambda c: (c.inflight, drawn[c]))
        return hot.current

    # pacing -----------------------------------------------

    def _forward(self, item: Item) -> None:
        last = len(item.attempts) + 1 >= self.settings.max_hand_offs
        if item.missed or item.withdrawn or (self.settings.aside and (item.write or last)):
            return self._use_origin(item)
        if not item.attempts and not self._room(self.fleet):
            return self._use_origin(item) if self._origin_has_room() else self._hold(item, self.fleet)
        cache, room = self._select_cache(item)
        if cache is None:
            return self._use_origin(item)
        (self._hand_off if room else self._hold)(item, cache)

    def _hold(self, item: Item, cache: Cache) -> None:
        """Hold a work item until the cache answers; if nothing is in flight there, for a random delay."""
        item.version += 1
        since = item.held_since = item.held_since or self.now
        slow = cache.limit < min(1.0, SLOW_FRACTION * self.fleet.limit / max(1, len(self.ready)))
        if slow and cache is not self.origin:  # on its own: shedding load would not help it
            self.held.pop(item.id, None)
        else:
            self.held.setdefault(item.id, since)
        if cache.inflight:
            heappush(cache.held, ((item.excess, -item.category.credit), next(self.order), item, item.version))
        else:
            self.at(self.now + (0.05 + 0.1 * self.random.draw()) * item.category.due, "again", item)
        self.at(min(since + self.max_hold * item.category.due, item.expiry - 0.01), "hold", item)

    def _release(self, cache: Cache) -> None:
        """Hand off held work items while the cache, or the origin, has capacity."""
        while cache.held and cache.silent_until <= self.now and self._room(cache):
            *_, item, version = heappop(cache.held)
            if item.version == version and item.id in self.items:
                if cache is self.origin:
                    self._use_origin(item)
                elif cache is not self.fleet and self._accepts(cache, item) and self._cold_room(cache):
                    self._hand_off(item, cache)
                else:
                    self._forward(item)
        if cache.held and not cache.inflight:  # no response will release them
            self._forward_held(cache)

    def _forward_held(self, cache: Cache) -> None:
        held, cache.held = cache.held, []
        for *_, item, version in sorted(held, key=lambda entry: entry[:2]):
            if item.version == version and item.id in self.items:
                self._forward(item)

    def _origin_has_room(self) -> bool:
        """Whether the origin has capacity for reads that caches have none for."""
        origin = self.origin
        if origin is None or origin.median >= 1.9 * origin.base + 1e-9:
            return False
        return self._accepts(origin, None) and self._room(origin, 0.5)

    def _use_origin(self, item: Item) -> None:
        """Send a work item to the origin, or hold it while the origin's adaptive limit is reached."""
        origin = self.origin
        if origin is None or not self.settings.aside or not self._accepts(origin, item):
            return self.give_up(item)
        (self._hand_off if self._room(origin) else self._hold)(item, origin)

    # hand-off ---------------------------------------------

    def _hand_off(self, item: Item, cache: Cache) -> None:
        item.version, item.held_since = item.version + 1, 0.0
        self.held.pop(item.id, None)
        item.attempts.append((cache, self.now))
        item.open_attempts += 1
        if not cache.inflight:
            cache.heard_at = self.now
        cache.inflight += 1
        self.fleet.inflight += cache.entry.kind != self.settings.origin_kind
        self.results.hand_offs.append((item.id, 0.0, cache.entry.server))
        rerunnable = item.category.semantics is Semantics.RERUNNABLE
        if self.settings.cancelling and rerunnable and self.origin not in (None, cache):
            self.at(self.now + LATE_FRACTION * item.category.due, "late", item)

    def _withdraw_late(self, item: Item) -> None:
        """Withdraw a late hand-off if the origin has capacity, to send the work item there."""
        if len(item.attempts) < self.settings.max_hand_offs and not item.is_last and self._origin_has_room():
            item.withdrawn = True
            self.results.withdrawals.append((item.id, len(item.attempts) - 1))

    def _came_back(self, item: Item, cache: Cache, verdict: int, remark: int | None) -> None:
        """Decide what follows a hand-off that did not finish its work item."""
        if verdict in (Verdict.ERROR, Verdict.RESET, Verdict.TIMED_OUT, Verdict.WITHDRAWN):
            if item.ran_since is None:
                item.ran_since = next(when for c, when in item.attempts if c is cache)
                item.ran_group = group_of(cache, item)
        elif verdict == Verdict.MISS:
            item.missed.append(cache)
        elif verdict == Verdict.UNREACHABLE:
            item.connection_refused = True
        if item.is_streaming:
            return
        if verdict == Verdict.MISS and not item.is_last:
            self._use_origin(item)
            return
        spent = item.expiry < self.now + 0.005 or item.is_last or len(item.attempts) >= self.settings.max_hand_offs
        unrepeatable = item.ran_since is not None and item.category.semantics is Semantics.EXCLUSIVE
        if spent or unrepeatable or verdict == Verdict.MOOT:
            self.give_up(item)
        else:
            self._forward(item)

    def _retry_missed(self, item: Item) -> None:
        """Retry the cache that missed first: another router's fetch may have filled the key by now."""
        cache = item.missed[0] if item.missed and len(item.attempts) + 1 < self.settings.max_hand_offs else None
        if cache and self._accepts(cache, item) and self._room(cache) and self._cold_room(cache):
            return self._hand_off(item, cache)
        self._forward(item)

    def _end(self, item: Item, finished: bool) -> None:
        del self.items[item.id]
        self.held.pop(item.id, None)
        item.version += 1
        # a cache with a limit under 0.5 is known to be slow: the limit of all caches does not follow it
        if item.attempts and not item.missed and not item.write and item.attempts[0][0].limit >= 0.5:
            late = not finished or item.withdrawn or self.now - item.attempts[0][1] > 0.6 * item.category.due
            self._adjust_limit(self.fleet, late, 2.5 * self.warm_rate * self.heft * self.fleet.base)
