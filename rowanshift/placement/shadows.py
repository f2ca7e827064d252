"""Where a request for a model server goes: the ring home of its prefix, a leased shadow while that is hot,
or the next on the ring walk while the home is out or holds well over the mean. No I/O, no clock; seconds."""

from rowanshift.placement.hash_ring import HashRing, stable
from rowanshift.placement.hot_keys import Hotness

POINTS = 128  # on the ring for a server
WALK = 8  # servers looked at for a prefix
SILENT = 0.8  # seconds without a byte from a server that has requests, after which no more go there
BACK_OFF, LONGEST_BACK_OFF = 0.25, 4.0  # seconds out after a failed dial; doubled with each
OTHERS, EASE, MOVED = 2, 1500, 0.3  # servers compared; tokens; what a moved token costs of a read one
MARGIN, SPARE = 2.0, 3.0  # over the mean of own open work, in means and in requests


def is_open(engine, now: float) -> bool:
    """Whether a new request may go to a server, its load aside."""
    if not engine.listed or engine.draining or engine.loading or now < engine.backed_off_until:
        return False
    return not (engine.open_requests and now - engine.last_received_at > SILENT)


def back_off(engine, now: float) -> None:
    """A dial failed, or the server isn't there any more."""
    engine.failed_dials += 1
    until = now + min(LONGEST_BACK_OFF, BACK_OFF * 2 ** min(engine.failed_dials - 1, 8))
    engine.backed_off_until = max(engine.backed_off_until, until)


def lighter(first, others: list, waiting: dict[str, int], shared: int):
    """Of the first and the others the one with the least to read before a request, where the first has over
    ``EASE`` tokens; another lacks the ``shared`` tokens and has them moved there."""
    if waiting.get(first.id, 0) <= EASE:
        return first
    known = [engine for engine in others if engine.id in waiting]
    best = min(known, default=first, key=lambda engine: waiting[engine.id])
    return best if waiting.get(best.id, 0) + MOVED * shared < waiting[first.id] else first


def mark_of(model: str, prefix: bytes) -> int:
    """A prefix's place on the ring, the same at every counter."""
    return stable(f"{model}|{prefix.decode('latin-1')}") >> 32


class Pool:
    """The ready servers of a service, their ring and what is hot there."""

    def __init__(self, random_source) -> None:
        self.random_source, self.hotness = random_source, Hotness(0.0)
        self.ring, self.engines = HashRing(lambda engine: engine.id), []
        self.drawn = {}  # the replica kept for a hot prefix

    def lay(self, engines: list) -> None:
        self.engines = engines
        self.ring.lay(dict.fromkeys(engines, POINTS))
        self.drawn = {mark: engine for mark, engine in self.drawn.items() if engine in engines}

    def sample(self, mark: int, now: float) -> None:
        """One more request for a prefix, of those that this counter has seen."""
        self.hotness.sample(mark)
        if self.hotness.epoch_due(now):
            self.hotness.epoch(now, len(self.engines))

    def pick(self, mark: int, now: float, model: str, version: int, out):
        """The server for a prefix, of those that have the version or a newer one; None if there is none."""

        def fit(engine) -> bool:
            return engine.id not in out and is_open(engine, now) and engine.versions.get(model, 0) >= version

        shadows = hot.shadows if (hot := self.hotness.get(mark)) is not None else 0
        walk = [engine for engine in self.ring.walk(mark, WALK + shadows) if fit(engine)]
        if not walk:
            return min(filter(fit, self.engines), default=None, key=lambda engine: engine.open_requests)
        most = MARGIN * sum(engine.open_requests for engine in self.engines) / len(self.engines) + SPARE
        if shadows:
            return self._replica(mark, walk[: shadows + 1], most)
        return next((engine for engine in walk if engine.open_requests < most), walk[0])

    def others(self, mark: int, now: float, model: str, first, out) -> list:
        """The next servers on the ring walk that could serve as well as the first that was picked."""
        version = first.versions.get(model, 0)
        able = [e for e in self.ring.walk(mark, WALK) if e.id not in out and e.versions.get(model, 0) >= version]
        return [engine for engine in able if engine is not first and is_open(engine, now)][:OTHERS]

    def _replica(self, mark: int, replicas: list, most: float):
        """One replica drawn at random and kept, until it holds well over the mean."""
        kept = self.drawn.get(mark)
        if kept not in replicas:
            kept = replicas[int(self.random_source.random() * len(replicas))]
        elif kept.open_requests >= most:
            kept = min(replicas, key=lambda engine: engine.open_requests)
        self.drawn[mark] = kept
        return kept

    def home(self, mark: int):
        return next(iter(self.ring.walk(mark, 1)), None)
