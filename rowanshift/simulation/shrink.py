"""Cuts a failing scenario down to the fewest troubles and servers and the shortest time that still fail."""

from collections.abc import Callable
from math import ceil

from msgspec.structs import replace

from rowanshift.simulation.scenario import Scenario, Trouble

MOST_TRIES = 200
PADDING = 4.0  # seconds that are kept after the last trouble begins
LEAST_SECONDS = 6.0


class Shrinker:
    """``fails`` plays a scenario and says whether it still fails in the same way."""

    def __init__(
        self,
        fails: Callable[[Scenario], bool],
        tell: Callable[[str], None] = lambda line: None,
        most_tries: int = MOST_TRIES,
    ) -> None:
        self.fails, self.tell, self.left = fails, tell, most_tries

    def shrink(self, given: Scenario) -> Scenario:
        """Repeats every way of cutting until none gets further, or the tries are used up."""
        before = None
        while given != before and self.left > 0:
            before = given
            for cut in (self._troubles, self._time, self._servers, self._plain):
                given = cut(given)
        return replace(given, name=f"{given.name}-least")

    def _try(self, given: Scenario, smaller: Scenario) -> Scenario:
        if smaller == given or self.left <= 0:
            return given
        self.left -= 1
        if not self.fails(smaller):
            return given
        self.tell(
            f"{len(smaller.trouble)} troubles, {smaller.fleet.caches} caches, {smaller.fleet.routers} "
            f"routers, {smaller.seconds:.1f} s still fail"
        )
        return smaller

    def _troubles(self, given: Scenario) -> Scenario:
        """Leaves out ever smaller runs of troubles."""
        size = max(1, len(given.trouble) // 2)
        while size >= 1:
            start = 0
            while start < len(given.trouble):
                rest = given.trouble[:start] + given.trouble[start + size :]
                smaller = self._try(given, replace(given, trouble=rest))
                start = start if smaller is not given else start + size
                given = smaller
            size //= 2
        return given

    def _time(self, given: Scenario) -> Scenario:
        last = max((t.at_s for t in given.trouble), default=0.0)
        for part in (0.3, 0.5, 0.7, 0.85):
            seconds = max(LEAST_SECONDS, last + 0.1, part * given.seconds)
            if seconds < given.seconds:
                smaller = self._try(given, replace(given, seconds=round(seconds, 3)))
                if smaller is not given:
                    return smaller
        shorter = [replace(t, for_s=round(t.for_s / 2, 3)) if t.for_s > 0.2 else t for t in given.trouble]
        return self._try(given, replace(given, trouble=shorter))

    def _servers(self, given: Scenario) -> Scenario:
        for name in ("caches", "routers", "sites"):
            while (count := getattr(given.fleet, name)) > 1:
                least = max(1, ceil(count / 2))
                smaller = given
                for fewer in dict.fromkeys((least, count - 1)):
                    smaller = self._fewer(given, name, fewer)
                    if smaller is not given:
                        break
                if smaller is given:
                    break
                given = smaller
        return given

    def _fewer(self, given: Scenario, name: str, count: int) -> Scenario:
        fleet = replace(given.fleet, **{name: count})
        rows = [t for t in given.trouble if self._there(t, fleet.routers, fleet.sites)]
        return self._try(given, replace(given, fleet=fleet, trouble=rows))

    @staticmethod
    def _there(trouble: Trouble, routers: int, sites: int) -> bool:
        names = [trouble.who] if isinstance(trouble.who, str) else trouble.who
        gone = {f"r{n}" for n in range(routers, 1000)}
        named = [int(site) for name in names if name and trouble.what == "cut" for site in name.split("-")]
        far = max(named, default=0) >= sites
        return not far and not gone.intersection(names) and not (trouble.what == "cut" and sites < 2)

    def _plain(self, given: Scenario) -> Scenario:
        """Back to the plain value, setting by setting."""
        for table in ("links", "work", "fleet"):
            plain = type(getattr(given, table))()
            for name in plain.__struct_fields__:
                if name in ("caches", "routers", "sites"):
                    continue
                changed = replace(getattr(given, table), **{name: getattr(plain, name)})
                if changed != getattr(given, table):
                    given = self._try(given, replace(given, **{table: changed}))
        return given
