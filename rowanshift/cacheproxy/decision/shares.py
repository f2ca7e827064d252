"""Customers' shares: what routers tell each other by tallies, what gives way under overload, giving up."""

from collections import OrderedDict

from rowanshift.cacheproxy.decision.limits import GOOD, Limits
from rowanshift.cacheproxy.model import Answer, Item, Semantics, Settings, Tally
from rowanshift.placement.hot_keys import HotKeyTracker

TELL, TICK = 1.0, 0.1  # seconds: a sum over routers, each; between looks at the shares
DEEP = 0.25  # a limit that two slow answers leave; under it own answers are too rare to learn from


class Shares(Limits):
    """The part of a ``Router`` that admits work; ``at`` and ``_end`` are the router's."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.hotness = HotKeyTracker(now)
        self.held: OrderedDict[int, float] = OrderedDict()  # held wis, the oldest first
        self.tally = Tally([0] * len(settings.quotas))  # since it was last sent on or learned from
        self.tally_at, self.told_at, self.telling = now, now, 0  # the last: second that this router told of
        self.asked = [0.0] * len(settings.quotas)  # work items a second of each customer, at all routers
        self.waited = 0.0  # how long the oldest held wi had waited, over routers
        self.eased_at, self.extra = now, 1.0  # the last: part of the work beyond shares that is admitted

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
                cache.limit = max(cache.limit, min(DEEP, GOOD * cache.limit))
            elif cache.heard_at < self.now - TELL:  # own answers, where any came, tell as much
                self._regain(cache)
                cache.limit = max(0.02, min(1.0, cache.limit) * part / 255)
        self.hotness.add_samples(tally.samples, tally.reads)

    def give_up(self, item: Item) -> None:
        """Answers at once: deferred where that assures no harm, else written off."""
        what = item.category.semantics
        assured = what is Semantics.RERUNNABLE or (what is Semantics.TICKETED and item.category.group == "all")
        safe = assured or (not item.out and item.ran_since is None)
        answer = Answer.DEFERRED if safe and not item.streams else Answer.WRITTEN_OFF
        back = self.s.retry_after if item.over else min(self.s.retry_after, 0.25 * item.category.due)
        self.results.answers.append((item.id, answer, back))
        self._end(item, False)
