"""Admission by customer quota: load tallies exchanged among routers, load shedding and rejection."""

from collections import OrderedDict

from rowanshift.cacheproxy.decision.limits import SUCCESS_GROWTH, Limits
from rowanshift.cacheproxy.model import Answer, Item, Semantics, Settings, Tally
from rowanshift.placement.hot_keys import HotKeyTracker

TALLY_SECONDS, ADMISSION_SECONDS = 1.0, 0.1  # between tally exchanges; between updates of the admission
MIN_LEARNING_LIMIT = 0.25  # what two slow answers leave; below it, own answers are too rare to learn from


class Shares(Limits):
    """The part of a ``Router`` that admits work items; ``Router`` provides ``at`` and ``_end``."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.hot_keys = HotKeyTracker(now)
        self.held: OrderedDict[int, float] = OrderedDict()  # start of the wait by work item, oldest first
        self.tally = Tally([0] * len(settings.quotas))  # counts since it was last sent or applied
        self.tallied_at, self.total_at, self.aggregated_second = now, now, 0  # last second aggregated here
        self.asked = [0.0] * len(settings.quotas)  # work items per second of each customer, at all routers
        self.waited = 0.0  # wait of the oldest held work item, averaged over routers
        self.adapted_at, self.extra = now, 1.0  # extra: fraction of the work over quota that is admitted

    def _admits(self, item: Item, customer: int) -> bool:
        """Whether to admit a work item. Excess is drawn at random, as one router's part may be tiny."""
        if customer < len(self.asked):
            self.tally.asked[customer] += 1
            item.excess = self.random.draw() * self.asked[customer] >= self.settings.quotas[customer] > 0
        return not item.excess or self.extra >= 1 or self.random.draw() < self.extra

    def _oldest_wait(self) -> float:
        return self.now - next(iter(self.held.values())) if self.held else 0.0

    def _adapt_admission(self, ticks: float) -> None:
        """Shed work over quota while held work waits long, at this router or on average over all."""
        self.adapted_at, before = self.now, self.extra
        wait = max(self._oldest_wait(), self.waited)
        if wait > 0.15 * self.due:
            self.extra = max(0.01, before * 0.6 ** min(ticks, wait / ADMISSION_SECONDS))
        else:
            self.extra = min(1.0, before * 1.03**ticks)
        if (before < 1) != (self.extra < 1):
            self.results.log.append(f"shares {'on' if self.extra < 1 else 'off'}: oldest held {wait:.3f} s")

    def _exchange_tallies(self) -> None:
        """Send the tally to the aggregator, another router each second, which broadcasts the sum to all."""
        tally = self.tally
        tally.span += self.now - self.tallied_at
        tally.waited += self._oldest_wait() * (self.now - self.tallied_at)
        self.tallied_at = self.now
        if not self.settings.peers or self.settings.routers == 1:
            self._apply_tally(tally)
        elif (aggregator := int(self.now / TALLY_SECONDS) % self.settings.routers) == self.settings.ordinal:
            return self._schedule_total()
        else:
            if self.now - self.total_at > 3 * TALLY_SECONDS:  # peers are silent
                self._apply_tally(tally)
            self._add_in_flight(tally)
            self.results.messages.append((aggregator, tally.pack()))
        self.tally = Tally([0] * len(self.asked))

    def _schedule_total(self) -> None:
        second = int(self.now / TALLY_SECONDS)
        if second % self.settings.routers == self.settings.ordinal and second > self.aggregated_second:
            self.aggregated_second = second  # later tallies are sent with this router's next one
            self.at((second + 0.9) * TALLY_SECONDS, "tell")

    def at(self, when: float, event: str, item: Item | None = None) -> None:
        """Set a timer; the router has them."""
        raise NotImplementedError

    def _end(self, item: Item, finished: bool) -> None:
        """Forget a work item; the router holds them."""
        raise NotImplementedError

    def _broadcast_total(self) -> None:
        self._add_in_flight(self.tally)
        self.tally.keep, self.tally.total = self._overloaded_caches(self.tally), True
        self.results.messages.append((None, self.tally.pack()))
        self._apply_tally(self.tally)
        self.tally = Tally([0] * len(self.asked))

    def _add_in_flight(self, tally: Tally) -> None:
        for cache in (c for c in self.ready if c.inflight):
            tally.out[cache.server_hash] = tally.out.get(cache.server_hash, 0) + cache.inflight

    def _overloaded_caches(self, tally: Tally) -> dict[int, int]:
        """Caches far over the mean in flight by heft, over all routers: 255ths of their limits to keep."""
        mean, over = sum(tally.out.values()) / (self.heft or 1.0), {}
        for cache in self.ready:
            part, out = 1.2 * mean * cache.entry.heft + 1, tally.out.get(cache.server_hash, 0)
            if out > part:
                over[cache.server_hash] = int(255 * max(0.5, part / out))
        return over

    def _apply_tally(self, tally: Tally) -> None:
        """Learn from the tally of one router or of all; the weight grows with the number of observations."""
        span = max(tally.span, 1e-3)
        # without peers the rate is extrapolated from this router alone, whose customers' mix may be skewed
        routers = self.settings.routers if self.settings.peers else max(1.0, self.settings.routers / 2)
        gain = min(0.5, sum(tally.asked) / 64)
        if self.settings.peers and span < 0.75 * self.settings.routers * TALLY_SECONDS and any(self.asked):
            gain = 0.0  # a partial sum, as in a network partition: its customers' mix may be skewed
        for i, n in enumerate(tally.asked):
            self.asked[i] += gain * (n / span * routers - self.asked[i])
        if not tally.total:
            return
        self.total_at, self.waited = self.now, tally.waited / span
        for cache in self.ready:
            part = tally.keep.get(cache.server_hash, 255)
            if part == 255:  # not overloaded, over all routers: counts as one timely answer
                cache.limit = max(cache.limit, min(MIN_LEARNING_LIMIT, SUCCESS_GROWTH * cache.limit))
            elif cache.heard_at < self.now - TALLY_SECONDS:  # else own answers suffice
                self._recover_limit(cache)
                cache.limit = max(0.02, min(1.0, cache.limit) * part / 255)
        self.hot_keys.add_samples(tally.samples, tally.reads)

    def give_up(self, item: Item) -> None:
        """Answer at once: deferred if a retry by the client is safe, else as failed."""
        kind = item.category.semantics
        retryable = kind is Semantics.RERUNNABLE or (kind is Semantics.TICKETED and item.category.group == "all")
        safe = retryable or (not item.open_attempts and item.ran_since is None)
        answer = Answer.DEFERRED if safe and not item.is_streaming else Answer.WRITTEN_OFF
        delay = self.settings.retry_after if item.excess else min(self.settings.retry_after, 0.25 * item.category.due)
        self.results.answers.append((item.id, answer, delay))
        self._end(item, False)
