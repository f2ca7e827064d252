"""What a router knows of the control plane: state and servers, asked of the primary with the version that it has.

One poll at a time is held at the primary, which answers when there is news and after half a second in any case. When
it is silent, core machines are asked for the primary without waiting for each other (``primary_search``). What is
taken is ordered by (epoch, sequence) and never goes back; how recent it is tells ``freshness``.
"""

import random
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from loguru import logger

from rowanshift.dataplane.endpoints import Endpoint, Endpoints
from rowanshift.dataplane.freshness import Freshness
from rowanshift.dataplane.primary_search import PrimarySearch
from rowanshift.dataplane.routing_table import BadControlState, RoutingTable, routing_table_of
from rowanshift.kv_index.index import unpacked
from rowanshift.process.node_settings import Bounds
from rowanshift.transport.record_links import ConnectionFailed, RecordClient
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address
from rowanshift.wire.control_updates import (
    CONTROL_UPDATE_CODEC,
    SERVER_DRAINING,
    SERVER_LOADING,
    ModelVersionAnnouncement,
    Poll,
    Redirect,
    ServerRecord,
    Update,
)
from rowanshift.wire.machine_ids import ip_from_machine_id, machine_id_from_ip
from rowanshift.wire.version_announcements import VersionAnnouncement, VersionAnnouncements, age_ms

LONG_POLL_SECONDS = 0.5  # seconds that the primary may hold a poll: what is known is no older than two of these
ANSWER_WITHIN = 0.3  # seconds beyond that for its answer; then others are asked for the primary
SEARCH_WITHIN = 0.75  # seconds for an answer to a poll of a search
STAGGER = 0.12  # seconds until the next machine is asked, whatever the one before does
AGAIN = 0.15  # seconds between two searches
FRESH_WITHIN = 0.6  # seconds that a request waits while what is known may be old
START_WITHIN, START_PART = 2.5, 0.5  # seconds, and of what the client has left, for a first configuration
REFUSE_PART = 0.75  # of the bound for configurations: the age of what is known up to which a client is refused by it
VERSION_EARLY = 2.0  # seconds before its bound, from which only a named version is used
OVERDUE_EARLY = 1.0  # seconds before it, from which a request that begins on older weights is warned of
NAMES_KEPT = 2  # times the bound for which the time of a name is known after a newer one
OLD_AT_START = 0.5  # part of ``contactMs`` for which a router that starts uses servers with older weights
NO_VERSION = (0, 0)


@dataclass(slots=True)
class Search:
    """One search under way."""

    progress: trio.Event = field(default_factory=trio.Event)  # an answer has come, or none will
    open: int = 0  # machines that were asked and have not answered
    found: "Primary | None" = None


@dataclass(slots=True, frozen=True)
class Primary:
    """The machine that answered as the primary, and the connection to it."""

    machine: int
    caller: RecordClient


class ControlClient:
    """Polls the control plane for good; ``State`` for the frontend."""

    def __init__(
        self,
        host: Runtime,
        machine: int,
        port: int,
        seeds: Callable[[], Iterable[Address]],
        bounds: Bounds,
        random_source: random.Random,
        gone: Callable[[Endpoint], None],
    ) -> None:
        """``gone`` is told of each server that is to get no more requests."""
        self.host, self.machine, self.port, self.seeds = host, machine, port, seeds
        self.bounds, self.random_source, self.gone = bounds, random_source, gone
        self.started = random_source.getrandbits(63)
        self.routing_table, self.servers = RoutingTable(), Endpoints(random_source)
        self.state_version, self.fingerprint = NO_VERSION, 0  # of the control state
        self.registry, self.stock, self.peers = NO_VERSION, NO_VERSION, NO_VERSION
        self.machines: tuple[int, ...] = ()  # the members
        self.met: Callable[[tuple[int, ...]], None] = lambda machines: None
        self.stored: set[int] = set()  # fingerprints of parts that a store keeps
        self.names = VersionAnnouncements()  # trio's time at which each version was named, or somewhat before
        self.latest_dates = (
            VersionAnnouncements()
        )  # the same of those whose date is known, or somewhat after: to be told on
        self.names_serial = NO_VERSION  # epoch and serial of the dates
        self.told_epoch = 0  # of the primary that was told the dates
        self.members = 0
        self.core: tuple[int, ...] = ()
        self.freshness = Freshness(0.0, REFUSE_PART * bounds.config_apply_ms / 1000, bounds.revoke_within)
        self.search = PrimarySearch(random_source.random)
        self.failures = 0  # polls without an answer in a row
        self.held = trio.CancelScope()  # around the poll that is held
        self.update_event = trio.Event()

    # what the frontend asks

    @property
    def version_within(self) -> float:
        """Seconds from a name on in which servers with older weights may be used."""
        return max(0.5, self.bounds.version_ms / 1000 - VERSION_EARLY)

    def version(self, model: str, now: float) -> int:
        """The least version of its weights that a server must have: the newest whose deadline has come near."""
        return self.names.required_version(model, now - self.version_within)

    def overdue_for(self, model: str, version: int, now: float) -> float | None:
        """Seconds since the first name that weights of ``version`` lack, if so long that a request which begins on them
        now is near the bound or over it."""
        since = self.names.missing_since(model, version)
        if since is None or now - since < self.bounds.version_ms / 1000 - OVERDUE_EARLY:
            return None
        return now - since

    def _note_versions(
        self, versions: dict[str, int], asked_at: float, names: Iterable[ModelVersionAnnouncement] = ()
    ) -> None:
        """Takes down when each version was named, by the answer to a poll that was asked at that time.

        ``names`` tells how long before the answer that was; what it lacks counts as named when it was asked. Where
        nobody knows when, and such times count in sum, a router that starts uses older weights only for a part of the
        time in which it is not yet in touch.
        """
        told = {(name.model, name.version): name for name in names}
        unknown = [ModelVersionAnnouncement(*name, 0, is_dated=False) for name in versions.items() if name not in told]
        latest = asked_at
        if self.bounds.version_all_ms and not self.routing_table.revision:
            latest += OLD_AT_START * self.bounds.contact_ms / 1000 - self.version_within
        noted = []
        for name in [*told.values(), *unknown]:
            announced_at = asked_at - name.age_ms / 1000
            announced_at = announced_at if name.is_dated else min(announced_at, latest)
            noted.append(VersionAnnouncement(name.model, name.version, announced_at, name.is_dated))
            if name.version > self.routing_table.versions.get(name.model, 0):
                age = name.age_ms / 1000
                logger.info("event=version_named model={} version={} age_s={:.3f}", name.model, name.version, age)
        self.names.record_all(noted)
        self.names.discard_superseded_before(self._kept_since(asked_at))

    def _note_latest_dates(self, names: Iterable[ModelVersionAnnouncement], received_at: float) -> None:
        """Takes down the same for primaries to come, so that what is told on and on doesn't move to earlier times."""
        dated = [name for name in names if name.is_dated]
        self.latest_dates.record_all(
            VersionAnnouncement(name.model, name.version, received_at - name.age_ms / 1000) for name in dated
        )
        self.latest_dates.discard_superseded_before(self._kept_since(received_at))

    def _kept_since(self, now: float) -> float:
        return now - NAMES_KEPT * self.bounds.version_ms / 1000

    def _dates(self) -> tuple[ModelVersionAnnouncement, ...]:
        """The dates of names as a primary is told them."""
        now = trio.current_time()
        return tuple(
            ModelVersionAnnouncement(name.model, name.version, age_ms(now - name.announced_at))
            for name in self.latest_dates.all()
        )

    async def fresh(self, left: float) -> None:
        """Waits while what is known may be old, or nothing is known yet; ``left`` is what the client has."""
        if not self.freshness.in_doubt:
            return
        longest = FRESH_WITHIN if self.routing_table.revision else max(FRESH_WITHIN, START_PART * left)
        until = trio.current_time() + min(longest, START_WITHIN)
        while self.freshness.in_doubt and (left := until - trio.current_time()) > 0:
            await self.changed(left)

    async def changed(self, within: float) -> None:
        """Waits until something was learnt, so many seconds at most."""
        update_event = self.update_event
        with trio.move_on_after(max(0.0, within)):
            await update_event.wait()

    def may_refuse(self) -> bool:
        """Whether what is known is recent enough for a refusal that is final for the client."""
        return self.freshness.may_refuse(trio.current_time())

    def may_admit_key(self, came_at: float) -> bool:
        """Whether what is known is recent enough to let a request in by its key that came at that time."""
        return self.freshness.may_admit_key(came_at)

    async def confirmed(self, within: float) -> bool:
        """Waits, so many seconds at most, until what is known is recent enough to refuse by; whether it is."""
        until = trio.current_time() + within
        while not self.may_refuse() and (left := until - trio.current_time()) > 0:
            await self.changed(left)
        return self.may_refuse()

    def ready(self) -> bool:
        """Whether requests can be served by what is known."""
        if self.routing_table.all_keyed and not self.may_admit_key(trio.current_time()):
            return False
        return bool(self.routing_table.revision and self.servers.engines and not self.freshness.in_doubt)

    def doubt(self) -> None:
        """The process stood still: what it knows may be old until a poll asked from now on is answered."""
        self.freshness.doubt(trio.current_time())
        self.held.cancel()  # what is held was asked before

    # polling

    async def run(self) -> None:
        """Finds the primary and follows it, again and again."""
        while True:
            primary = await self._find_primary()
            await self._follow(primary)
            primary.caller.close()

    async def _find_primary(self) -> Primary:
        """Asks core machines until one answers as the primary; what it says is taken."""
        while True:
            self.search.begin(self._core_machines(), trio.current_time())
            search = Search()
            async with self.host.nursery() as nursery:
                while (machine := self.search.next()) or search.open:
                    if machine:
                        search.open += 1
                        nursery.start_soon(self._ask_for_primary, search, machine, nursery.cancel_scope)
                    with trio.move_on_after(STAGGER):
                        await search.progress.wait()
                    search.progress = trio.Event()
            if search.found is not None:
                return search.found
            await self.host.pause(AGAIN * (0.5 + self.random_source.random()))

    async def _ask_for_primary(self, search: Search, machine: int, scope: trio.CancelScope) -> None:
        """Asks one machine; ends the search if it is the primary."""
        caller = RecordClient(self.host, CONTROL_UPDATE_CODEC, (ip_from_machine_id(machine), self.port))
        try:
            if await self._ask(machine, caller, hold=0.0) and search.found is None:
                search.found = Primary(machine, caller)
                scope.cancel()
        except ConnectionFailed as error:
            self._failed(machine, error)
        finally:
            if search.found is None or search.found.caller is not caller:
                caller.close()
            search.open -= 1
        search.progress.set()

    async def _follow(self, primary: Primary) -> None:
        """Holds one poll after another at the primary, until it is silent or no longer primary."""
        while True:
            hold = 0.0 if self.freshness.in_doubt else LONG_POLL_SECONDS
            try:
                with trio.CancelScope() as self.held:
                    if not await self._ask(primary.machine, primary.caller, hold):
                        return
            except ConnectionFailed as error:
                self._failed(primary.machine, error)
                return

    async def _ask(self, machine: int, caller: RecordClient, hold: float) -> bool:
        """One poll; whether the machine answered as the primary, and with nothing older than is known."""
        asked_at = trio.current_time()
        within = LONG_POLL_SECONDS + ANSWER_WITHIN if hold else SEARCH_WITHIN
        poll = self._poll(hold)
        answer = await caller.ask(poll, within)
        if isinstance(answer, Redirect):
            self.core = answer.core_machines or self.core
            self.search.named(answer.primary if answer.primary != machine else 0)
            return False
        if not isinstance(answer, Update) or answer.state_version < self.state_version:
            return False
        self.failures = 0
        if poll.announcements:
            self.told_epoch = answer.state_version[0]
        if self._take(answer, asked_at) and self.freshness.confirmed(asked_at):
            self._tell()
        return True

    def _poll(self, hold: float) -> Poll:
        has = self.state_version, self.fingerprint, self.registry, self.stock, self.peers
        names = self._dates() if not hold or self.told_epoch != self.state_version[0] else ()
        return Poll(self.machine, self.started, *has, int(1000 * hold), self.names_serial, names)

    def _core_machines(self) -> set[int]:
        return {*self.core, *(machine_id_from_ip(seed[0]) for seed in self.seeds())}

    def _failed(self, machine: int, error: ConnectionFailed) -> None:
        self.search.silent(machine, trio.current_time())
        self.failures += 1
        if self.failures in (1, 10, 100):
            logger.info(
                "event=poll_failed to={} times={} why={!r}", ip_from_machine_id(machine), self.failures, str(error)
            )

    def _tell(self) -> None:
        self.update_event.set()
        self.update_event = trio.Event()

    # taking answers in

    def _take(self, update: Update, asked_at: float) -> bool:
        """Takes the answer to a poll in; whether all of it could be read."""
        self.members, self.core = update.member_count or self.members, update.core_machines or self.core
        if update.has_state:
            if not self._take_state(update, asked_at):
                return False
        elif update.has_announcements:
            self._take_names(self.routing_table.versions, update, asked_at)
        self.state_version = update.state_version
        if update.has_peers:
            self.peers, self.machines = update.peers_version, update.peer_machines
            self.met(self.machines)
        self.stock = update.prefix_holdings_version
        if update.prefix_holdings_complete:
            self.stored = set(unpacked(update.stored_block_hashes))
        else:
            self.stored.update(unpacked(update.stored_block_hashes))
            self.stored.difference_update(unpacked(update.removed_block_hashes))
        if update.has_server_records and update.registry_version >= self.registry:
            self._take_servers(update)
        return True

    def _take_names(self, versions: dict[str, int], update: Update, asked_at: float) -> None:
        """When versions were named, of which ``versions`` are the newest."""
        self.names_serial = update.announcements_version
        self._note_versions(versions, asked_at, update.announcements)
        self._note_latest_dates(update.announcements, trio.current_time())

    def _take_state(self, update: Update, asked_at: float) -> bool:
        """The configuration and the named versions; whether they can be read."""
        try:
            table = routing_table_of(update.revision, zlib.decompress(update.config), update.versions)
        except (BadControlState, zlib.error) as error:
            logger.error("event=bad_state version={} why={!r}", update.state_version, str(error))
            return False
        self._take_names(table.versions, update, asked_at)
        if table.revision != self.routing_table.revision:
            routes = sum(map(len, table.routes.values()))
            logger.info("event=config revision={} routes={}", table.revision, routes)
        self.routing_table, self.fingerprint = table, update.fingerprint
        self._tell()
        return True

    def _take_servers(self, update: Update) -> None:
        self.registry = update.registry_version
        for endpoint in self.servers.update([endpoint_of(row) for row in update.received_server_records()]):
            self.gone(endpoint)
        for endpoint in self.servers.engines.values():
            if endpoint.draining:
                self.gone(endpoint)
        self._tell()


def endpoint_of(row: ServerRecord) -> Endpoint:
    """A server of the list as requests are sent to it."""
    draining, loading = bool(row.state & SERVER_DRAINING), bool(row.state & SERVER_LOADING)
    return Endpoint(
        row.id, row.service, row.address, row.zone, row.slots, dict(row.versions), draining=draining, loading=loading
    )
