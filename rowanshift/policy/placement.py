"""Where a request for a model server goes: the ring home of its prefix, a leased shadow while the prefix is hot, or the
next on the ring walk while the home is out or holds well over the mean. No I/O, no clock; times in seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from rowanshift.policy.hotness import Hotness
from rowanshift.policy.ring import HashRing, stable

POINTS = 128  # on the ring for a server
WALK = 8  # servers looked at for a prefix
SILENT = 0.8  # seconds without a byte from a server that has requests, after which no more go there
BACK_OFF, LONGEST_BACK_OFF = 0.25, 4.0  # seconds out after a failed dial; doubled with each
MARGIN, SPARE = 2.0, 3.0  # over the mean of own open work, in means and in requests


@dataclass(slots=True, eq=False)
class Engine:
    """What a counter knows of one server."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    versions: dict[str, int]
    draining: bool = False
    loading: bool = False
    listed: bool = True
    inflight: int = 0  # own open requests
    heard_at: float = 0.0  # the last byte, or the first send after none was out
    silent_until: float = 0.0
    strikes: int = 0

    def open(self, now: float) -> bool:
        """Whether a new request may go there, its load aside."""
        if not self.listed or self.draining or self.loading or now < self.silent_until:
            return False
        return not (self.inflight and now - self.heard_at > SILENT)

    # what becomes of sends --------------------------------

    def sent(self, now: float) -> None:
        if not self.inflight:
            self.heard_at = now
        self.inflight += 1

    def ended(self) -> None:
        self.inflight -= 1

    def heard(self, now: float) -> None:
        self.heard_at, self.strikes, self.silent_until = now, 0, 0.0

    def failed(self, now: float) -> None:
        """A dial failed, or the server isn't there any more."""
        self.strikes += 1
        self.silent_until = now + min(LONGEST_BACK_OFF, BACK_OFF * 2 ** min(self.strikes - 1, 8))


@dataclass(slots=True)
class Pool:
    """The ready servers of a service, their ring and what is hot there."""

    chance: object
    ring: HashRing = field(default_factory=lambda: HashRing(lambda engine: engine.id))
    hotness: Hotness = field(default_factory=lambda: Hotness(0.0))
    engines: list[Engine] = field(default_factory=list)
    drawn: dict[int, Engine] = field(default_factory=dict)  # the replica kept for a hot prefix

    def lay(self, engines: list[Engine]) -> None:
        self.engines = engines
        self.ring.lay(dict.fromkeys(engines, POINTS))
        self.drawn = {mark: engine for mark, engine in self.drawn.items() if engine in engines}

    def sample(self, mark: int, now: float) -> None:
        """One more request for a prefix, of those that this counter has seen."""
        self.hotness.sample(mark)
        if self.hotness.epoch_due(now):
            self.hotness.epoch(now, max(1, len(self.engines)))

    def pick(self, mark: int, now: float, model: str, version: int, out: Collection[str]) -> Engine | None:
        """The server for a prefix, of those that have the version or a newer one; None if there is none."""
        def fit(engine: Engine) -> bool:
            return (engine.id not in out and engine.open(now)
                    and engine.versions.get(model, 0) >= version)

        hot = self.hotness.get(mark)
        shadows = hot.shadows if hot is not None else 0
        walk = [engine for engine in self.ring.walk(mark, WALK + shadows) if fit(engine)]
        if not walk:
            return min((engine for engine in self.engines if fit(engine)), default=None,
                       key=lambda engine: engine.inflight)
        most = MARGIN * sum(engine.inflight for engine in self.engines) / len(self.engines) + SPARE
        if shadows:
            return self._replica(mark, walk[:shadows + 1], most)
        return next((engine for engine in walk if engine.inflight < most), walk[0])

    def _replica(self, mark: int, replicas: list[Engine], most: float) -> Engine:
        """One replica drawn at random and kept, until it holds well over the mean."""
        kept = self.drawn.get(mark)
        if kept not in replicas:
            kept = replicas[int(self.chance.random() * len(replicas))]
        elif kept.inflight >= most:
            kept = min(replicas, key=lambda engine: engine.inflight)
        self.drawn[mark] = kept
        return kept

    def home(self, mark: int) -> Engine | None:
        return next(iter(self.ring.walk(mark, 1)), None)


class Placement:
    """All services' pools, by what the roster says."""

    def __init__(self, chance: object) -> None:
        self.chance = chance
        self.pools: dict[str, Pool] = {}
        self.engines: dict[str, Engine] = {}

    def pool(self, service: str) -> Pool:
        if service not in self.pools:
            self.pools[service] = Pool(self.chance)
        return self.pools[service]

    def update(self, engines: list[Engine]) -> list[Engine]:
        """Takes the whole roster in; the engines that are gone or are somewhere else now."""
        gone = []
        for engine in engines:
            known = self.engines.get(engine.id)
            if known is not None and known.address == engine.address and known.service == engine.service:
                known.draining, known.loading, known.slots = engine.draining, engine.loading, engine.slots
                known.versions = engine.versions
                known.listed = True
                continue
            if known is not None:
                known.listed = False
                gone.append(known)
            self.engines[engine.id] = engine
        named = {engine.id for engine in engines}
        for engine in [engine for engine in self.engines.values() if engine.id not in named]:
            engine.listed = False
            gone.append(engine)
            del self.engines[engine.id]
        services: dict[str, list[Engine]] = {service: [] for service in self.pools}
        for engine in self.engines.values():
            if not engine.draining:
                services.setdefault(engine.service, []).append(engine)
        for service, ready in services.items():
            pool = self.pool(service)
            if set(ready) != set(pool.engines):
                pool.lay(ready)
        return gone


def mark_of(model: str, prefix: bytes) -> int:
    """A prefix's place on the ring, the same at every counter."""
    return stable(f"{model}|{prefix.decode('latin-1')}") >> 32
