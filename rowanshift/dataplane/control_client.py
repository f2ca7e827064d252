"""What a router knows of the whole: sheet and registry, asked of the ledger with the version that it has."""

import random
import zlib
from collections.abc import Callable, Iterable

import trio
from loguru import logger

from rowanshift.dataplane.endpoints import Endpoint, Endpoints
from rowanshift.dataplane.routing_table import BadControlState, RoutingTable, routing_table_of
from rowanshift.kv_index.index import unpacked
from rowanshift.net.links import Caller, LinkFailed
from rowanshift.net.transport import Address, Host
from rowanshift.wire.delivery import CODEC, DRAINING, LOADING, Elsewhere, Poll, Row, Update
from rowanshift.wire.machines import ip_of, machine_of

HOLD = 1.0  # seconds that the ledger holds a poll
ANSWER_WITHIN = 1.6  # seconds
AGAIN = 0.15  # seconds between polls that failed
FRESH_WITHIN = 0.6  # seconds that a request waits while what is known may be old
START_WITHIN, START_PART = 2.5, 0.5  # seconds, and of what the client has left, for a first sheet
VERSION_EARLY = 2.0  # seconds before its bound, from which only a named version is used


class ControlClient:
    """Polls the ledger for good; ``State`` for the front."""

    def __init__(
        self,
        host: Host,
        machine: int,
        port: int,
        seeds: Callable[[], Iterable[Address]],
        version_within: float,
        chance: random.Random,
        gone: Callable[[Endpoint], None],
    ) -> None:
        self.host, self.machine, self.port, self.seeds = host, machine, port, seeds
        self.version_within, self.chance, self.gone = version_within, chance, gone
        self.started = chance.getrandbits(63)
        self.routing_table, self.servers = RoutingTable(), Endpoints(chance)
        self.stamp, self.mark, self.registry, self.stock = (0, 0), 0, (0, 0), (0, 0)
        self.peers, self.machines = (0, 0), ()  # the members
        self.met: Callable[[tuple[int, ...]], None] = lambda machines: None
        self.stored: set[int] = set()  # marks of parts that a store keeps
        self.named_at: dict[str, float] = {}  # trio's time at which a model's named version was heard of
        self.members = 0
        self.core: tuple[int, ...] = ()
        self.in_touch_at = -1e9
        self.unsure_since: float | None = 0.0  # what is known may be old; None: it is not
        self.news = trio.Event()

    # what the front asks ----------------------------------

    def version(self, model: str, now: float) -> int:
        """The least version that a server must have: the named one, once its time comes near."""
        if now < self.named_at.get(model, 0.0) + max(0.5, self.version_within - VERSION_EARLY):
            return 0
        return self.routing_table.versions.get(model, 0)

    async def fresh(self, left: float) -> None:
        """Waits while what is known may be old, or nothing is known yet; ``left`` is what the client has."""
        if self.unsure_since is None:
            return
        longest = FRESH_WITHIN if self.routing_table.revision else max(FRESH_WITHIN, START_PART * left)
        until = trio.current_time() + min(longest, START_WITHIN)
        while self.unsure_since is not None and (left := until - trio.current_time()) > 0:
            await self.changed(left)

    async def changed(self, within: float) -> None:
        news = self.news
        with trio.move_on_after(max(0.0, within)):
            await news.wait()

    def ready(self) -> bool:
        return bool(self.routing_table.revision and self.servers.engines and self.unsure_since is None)

    def doubt(self) -> None:
        """The process stood still: what it knows may be old until a poll is answered."""
        if self.unsure_since is None:
            self.unsure_since = trio.current_time()

    # polling ----------------------------------------------

    async def run(self) -> None:
        places: list[int] = []
        primary, caller, failed = 0, None, 0
        while True:
            if not primary:
                if not places:
                    places = [*{*self.core, *(machine_of(seed[0]) for seed in self.seeds())}]
                    self.chance.shuffle(places)
                primary = places.pop() if places else 0
            if caller is None or caller.address[0] != ip_of(primary):
                if caller is not None:
                    caller.close()
                caller = Caller(self.host, CODEC, (ip_of(primary), self.port))
            asked, doubted = trio.current_time(), self.unsure_since
            sure = doubted is None  # else all of it is asked for, and answered at once
            poll = Poll(
                self.machine,
                self.started,
                self.stamp,
                self.mark * sure,
                self.registry if sure else (0, 0),
                self.stock,
                self.peers,
            )
            try:
                answer = await caller.ask(poll, ANSWER_WITHIN)
            except LinkFailed as error:
                failed += 1
                if failed in (1, 10, 100):
                    logger.info("event=poll_failed to={} times={} why={!r}", ip_of(primary), failed, str(error))
                primary = 0
                await self.host.pause(AGAIN * (0.5 + self.chance.random()))
                continue
            if isinstance(answer, Update) and answer.stamp >= self.stamp:
                failed = 0
                self._take(answer)
                self.in_touch_at = trio.current_time()
                if doubted == self.unsure_since or (doubted is not None and doubted <= asked):
                    self._sure()
                continue
            hint = answer.primary if isinstance(answer, Elsewhere) else 0
            if isinstance(answer, Elsewhere) and answer.core:
                self.core = answer.core
            primary = hint if hint != primary else 0
            await self.host.pause(AGAIN * (0.5 + self.chance.random()))

    def _sure(self) -> None:
        if self.unsure_since is not None:
            self.unsure_since = None
            self._tell()

    def _tell(self) -> None:
        self.news.set()
        self.news = trio.Event()

    def _take(self, update: Update) -> None:
        self.members, self.core = update.members or self.members, update.core or self.core
        self.stamp = update.stamp
        if update.has_state:
            try:
                routing_table = routing_table_of(update.revision, zlib.decompress(update.config), update.versions)
            except (BadControlState, zlib.error) as error:
                logger.error("event=bad_sheet stamp={} why={!r}", update.stamp, str(error))
                return
            now = trio.current_time()
            for model, version in routing_table.versions.items():
                if version > self.routing_table.versions.get(model, 0):
                    self.named_at[model] = now
            if routing_table.revision != self.routing_table.revision:
                logger.info(
                    "event=config revision={} routes={}",
                    routing_table.revision,
                    sum(map(len, routing_table.routes.values())),
                )
            self.routing_table, self.mark = routing_table, update.mark
            self._tell()
        if update.has_peers:
            self.peers, self.machines = update.peers, update.machines
            self.met(self.machines)
        self.stock = update.stock
        if update.stock_whole:
            self.stored = set(unpacked(update.kept))
        else:
            self.stored.update(unpacked(update.kept))
            self.stored.difference_update(unpacked(update.dropped))
        if update.has_rows and update.registry >= self.registry:
            self.registry = update.registry
            for engine in self.servers.update([engine_of(row) for row in update.rows]):
                self.gone(engine)
            for engine in self.servers.engines.values():
                if engine.draining:
                    self.gone(engine)
            self._tell()


def engine_of(row: Row) -> Endpoint:
    return Endpoint(
        row.id,
        row.service,
        row.address,
        row.zone,
        row.slots,
        dict(row.versions),
        draining=bool(row.state & DRAINING),
        loading=bool(row.state & LOADING),
    )
