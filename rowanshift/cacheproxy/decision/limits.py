"""Health, and limits of hand-offs out: at a cache, at the origin and at all caches together. They adapt to
answer times by additive increase and multiplicative decrease; under one they are chances."""

from rowanshift.cacheproxy.model import Cache, Entry, Results, Settings, Verdict

REGAIN = 1.2  # growth a second of a limit under one
GOOD = 1.5  # growth of a limit under one by an answer in time, or by peers who see no crowd


class Chance:
    """A linear congruential generator, of which the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = (seed ^ 0x5DEECE66D) & (2**64 - 1)

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 32) / 2**32


class Limits:
    """The part of a ``Router`` that knows its servers' health."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.s, self.now = settings, now
        self.chance, self.results = Chance(seed), Results()
        self.ready: list[Cache] = []
        self.origin: Cache | None = None
        self.due = min(c.due for c in settings.categories)
        self.fleet = Cache(Entry("fleet", 0, 1.0, 0, "live", -1, 0.0), 0)  # all caches taken as one
        self.finished = 0  # answers of warm caches
        self.heft, self.warm_rate = 0.0, 0.0  # of all ready caches; finished a second and heft at warm ones

    def warmth(self, cache: Cache) -> float:
        """The part of its capacity that a cache surely has."""
        up = (self.now - cache.entry.came_up) / self.s.warm_within if cache.entry.came_up else 1.0
        return min(1.0, self.s.start_share + (1 - self.s.start_share) * max(0.0, up))

    def _answers(self, cache: Cache) -> bool:
        """Whether the cache is in service and not silent."""
        silent = cache.inflight and (cache.strikes or self.now - cache.heard_at > 0.6 * self.due)
        return cache.entry.health == "live" and cache.silent_until <= self.now and not silent

    def _cold_room(self, cache: Cache) -> bool:
        """Keeps a cold cache under its warm share of what warm fellows finish; if all do, none falls over."""
        if (warm := self.warmth(cache)) >= 1:
            return True  # else by chance: a first token at each of hundreds of routers would push it over
        rate = warm * self.warm_rate * cache.entry.heft * self.s.overload_factor / 2
        since, cache.asked_at = self.now - cache.asked_at, self.now
        return self.chance.draw() < rate * since

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
        if (late := spent > slow or verdict == Verdict.FULL) or verdict == Verdict.FINISHED:
            self._settle(cache, late)

    def _settle(self, cache: Cache, slow: bool, least: float = 0.0) -> None:
        """Moves a limit to where one answer in seven is slow."""
        self._regain(cache)
        if slow:
            cache.limit = max(0.02, least, cache.limit - min(6 / cache.limit, 0.5 * cache.limit))
        elif cache.inflight + 1 >= 0.7 * cache.limit:
            cache.limit = min(1024.0, cache.limit + min(1 / cache.limit, (GOOD - 1) * cache.limit))
