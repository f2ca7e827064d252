"""The servers that a counter knows of, as the registry names them; state only. Times in seconds."""

import random
from dataclasses import dataclass

from rowanshift.placement.shadows import Pool


@dataclass(slots=True, eq=False)
class Endpoint:
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

    def sent(self, now: float) -> None:
        """A request is sent there."""
        if not self.inflight:
            self.heard_at = now
        self.inflight += 1

    def ended(self) -> None:
        """It is over."""
        self.inflight -= 1

    def heard(self, now: float) -> None:
        """Bytes came from there."""
        self.heard_at, self.strikes, self.silent_until = now, 0, 0.0


class Endpoints:
    """All servers by their id, and the pool of each service."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.pools: dict[str, Pool] = {}
        self.engines: dict[str, Endpoint] = {}

    def pool(self, service: str) -> Pool:
        """The servers of a service that may take requests."""
        if service not in self.pools:
            self.pools[service] = Pool(self.random_source)
        return self.pools[service]

    def update(self, engines: list[Endpoint]) -> list[Endpoint]:
        """Takes the whole registry in; the engines that are gone or are somewhere else now."""
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
        services: dict[str, list[Endpoint]] = {service: [] for service in self.pools}
        for engine in self.engines.values():
            if not engine.draining:
                services.setdefault(engine.service, []).append(engine)
        for service, ready in services.items():
            pool = self.pool(service)
            if set(ready) != set(pool.engines):
                pool.lay(ready)
        return gone
