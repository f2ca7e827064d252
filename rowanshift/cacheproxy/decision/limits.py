"""Server health, and concurrency limits of each cache, of the origin and of all caches together. Limits adapt
to response times by additive increase and multiplicative decrease; a limit under one is a probability."""

from rowanshift.cacheproxy.model import Cache, Entry, Results, Settings, Verdict

RECOVERY_RATE = 1.2  # growth factor per second of a limit under one
SUCCESS_GROWTH = 1.5  # factor for limits under one, for a timely answer or a total without overload there


class LinearCongruentialGenerator:
    """A linear congruential generator; only its high 32 bits are used, as the low bits have short periods."""

    def __init__(self, seed: int) -> None:
        self.state = (seed ^ 0x5DEECE66D) & (2**64 - 1)

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 32) / 2**32


class Limits:
    """The part of a ``Router`` that tracks the health and the concurrency limits of its servers."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.now = settings, now
        self.random, self.results = LinearCongruentialGenerator(seed), Results()
        self.ready: list[Cache] = []
        self.origin: Cache | None = None
        self.due = min(c.due for c in settings.categories)
        self.fleet = Cache(Entry("fleet", 0, 1.0, 0, "live", -1, 0.0), 0)  # stands for all caches together
        self.finished = 0  # responses of warm caches in this epoch
        self.heft, self.warm_rate = 0.0, 0.0  # of ready caches; responses per second and heft of warm ones

    def warmth(self, cache: Cache) -> float:
        """The fraction of its capacity that a cache is sure to have, from 0 to 1."""
        up = (self.now - cache.entry.came_up) / self.settings.warm_within if cache.entry.came_up else 1.0
        return min(1.0, self.settings.start_share + (1 - self.settings.start_share) * max(0.0, up))

    def _is_responsive(self, cache: Cache) -> bool:
        """Whether the cache is in service and has answered recently, if it has requests."""
        silent = cache.inflight and (cache.strikes or self.now - cache.heard_at > 0.6 * self.due)
        return cache.entry.health == "live" and cache.silent_until <= self.now and not silent

    def _cold_room(self, cache: Cache) -> bool:
        """Limit a cold cache's rate, over all routers, to its warmth times the rate of warm caches."""
        if (warm := self.warmth(cache)) >= 1:
            return True  # else at random: one initial token at each of hundreds of routers would overload it
        rate = warm * self.warm_rate * cache.entry.heft * self.settings.overload_factor / 2
        since, cache.paced_at = self.now - cache.paced_at, self.now
        return self.random.draw() < rate * since

    def _room(self, cache: Cache, part: float = 1.0) -> bool:
        """Whether the limit allows one more hand-off; if under one, at random: hundreds of routers add up."""
        self._recover_limit(cache)
        limit = part * cache.limit
        if cache is self.fleet and limit < 1:  # fewer than one open on average: a rate, at the present median
            limit *= (self.now - cache.paced_at) / max(cache.median, 0.01)
            cache.paced_at = self.now
        return cache.inflight < limit if limit >= 1 else not cache.inflight and self.random.draw() < limit

    def _recover_limit(self, cache: Cache) -> None:
        """Let a limit under one grow by at most half a second's worth, however long this router was idle."""
        if cache.limit < 1:
            cache.limit = min(1.0, cache.limit * RECOVERY_RATE ** min(0.5, self.now - cache.limit_updated_at))
        cache.limit_updated_at = self.now

    def _record_outcome(self, cache: Cache, verdict: int, spent: float) -> None:
        """Adapt limits to the outcome of a hand-off, and detect caches that are silent rather than busy."""
        if verdict in (Verdict.FINISHED, Verdict.MISS, Verdict.ERROR):
            cache.heard_at = cache.answered_at = self.now
            self.finished += cache is not self.origin and self.warmth(cache) >= 1  # misses count too
            if cache.strikes:
                self.results.log.append(f"{cache.entry.server} answers again after {cache.strikes} strikes")
                cache.strikes, cache.silent_until = 0, 0.0
            if verdict == Verdict.FINISHED:
                timed = cache if cache is self.origin else self.fleet
                timed.response_times.add(spent)
                if timed.response_times.total >= 16:
                    timed.median = timed.response_times.quantile(0.5)
                    timed.base = min(timed.median, 1.01 * timed.base or timed.median)
                    timed.response_times.halve()
        elif verdict in (Verdict.RESET, Verdict.UNREACHABLE):
            cache.strikes += 1  # a reset beside answers may be of one connection: the next answer decides
            if verdict == Verdict.UNREACHABLE or self.now - cache.answered_at > 2 * self.fleet.base:
                cache.silent_until = self.now + min(4.0, 0.25 * 2**cache.strikes)
            if cache.strikes == 1:
                name = Verdict(verdict).name.lower()
                self.results.log.append(f"{cache.entry.server} silent: {name} after {spent:.3f} s")
        slow = min(1.5 * self.due, max(0.45 * self.due, 3 * cache.base))
        if (late := spent > slow or verdict == Verdict.FULL) or verdict == Verdict.FINISHED:
            self._adjust_limit(cache, late)

    def _adjust_limit(self, cache: Cache, slow: bool, least: float = 0.0) -> None:
        """Move a limit towards the point where one response in seven is slow."""
        self._recover_limit(cache)
        if slow:
            cache.limit = max(0.02, least, cache.limit - min(6 / cache.limit, 0.5 * cache.limit))
        elif cache.inflight + 1 >= 0.7 * cache.limit:
            cache.limit = min(1024.0, cache.limit + min(1 / cache.limit, (SUCCESS_GROWTH - 1) * cache.limit))
