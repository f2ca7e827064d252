"""A router's copy of the control state: configuration, endpoints, versions, prefix cache holdings, members.

Updates from the primary are applied in the order of (epoch, sequence); older ones are ignored. ``Freshness`` tracks how
recent the copy is; a request waits briefly if it may be too old for a decision.
"""

import random
import zlib
from collections.abc import Callable

import trio
from loguru import logger

from rowanshift.dataplane.endpoints import Endpoint, Endpoints
from rowanshift.dataplane.errors import UnreadableConfiguration
from rowanshift.dataplane.freshness import Freshness
from rowanshift.dataplane.routing_table import RoutingTable, parse_routing_table
from rowanshift.dataplane.version_deadlines import VersionDeadlines
from rowanshift.kv_index.block_hashes import unpack_block_hashes
from rowanshift.process.node_settings import RuleBounds
from rowanshift.wire.control_updates import SERVER_DRAINING, SERVER_LOADING, PartVersion, ServerRecord, Update

FRESHNESS_WAIT_SECONDS = 0.6  # maximum wait of a request while the copy may be stale
STARTUP_WAIT_SECONDS = 2.5  # maximum wait of a request for the first configuration
STARTUP_WAIT_FRACTION = 0.5  # part of the client's remaining time spent waiting for the first configuration
REFUSAL_AGE_FRACTION = 0.75  # maximum age of the copy for refusals, as a part of ``configApplyMs``
NO_VERSION: PartVersion = (0, 0)


class ControlCache:
    """The control state that request decisions are based on. Its public parts change with each update."""

    def __init__(
        self,
        bounds: RuleBounds,
        random_source: random.Random,
        on_endpoint_unavailable: Callable[[Endpoint], None],
        on_peers_changed: Callable[[tuple[int, ...]], None],
    ) -> None:
        """Create an empty copy.

        ``on_endpoint_unavailable`` is called with each endpoint that may get no further requests, ``on_peers_changed``
        with the machine ids of all routers that are members.
        """
        self._on_endpoint_unavailable = on_endpoint_unavailable
        self._on_peers_changed = on_peers_changed
        self.routing_table, self.endpoints = RoutingTable(), Endpoints(random_source)
        self.version_deadlines = VersionDeadlines(bounds)
        self.freshness = Freshness(0.0, REFUSAL_AGE_FRACTION * bounds.config_apply_ms / 1000, bounds.revocation_seconds)
        self.stored_block_hashes: set[int] = set()  # hashes of the prefix blocks held by stores
        self.peer_machines: tuple[int, ...] = ()  # machine ids of the routers that are members
        self.member_count = 0  # number of routers that share budgets; 0: not known yet
        self.core_machines: tuple[int, ...] = ()  # machine ids of the control plane's replicas
        # Versions of the parts of this copy: the primary's epoch, and the number of changes within it.
        self.state_version = self.registry_version = self.prefix_holdings_version = NO_VERSION
        self.peers_version = self.announcements_version = NO_VERSION
        self.fingerprint = 0  # fingerprint of the control state; 0: none received yet
        self._update_event = trio.Event()

    # queries of the request path

    def required_version(self, model: str, now: float) -> int:
        """The lowest version of a model's weights that a server must have."""
        return self.version_deadlines.required_version(model, now)

    def seconds_overdue(self, model: str, version: int, now: float) -> float | None:
        """Seconds since the first newer version than ``version`` was announced, if its deadline is near or over."""
        return self.version_deadlines.seconds_overdue(model, version, now)

    async def wait_until_fresh(self, timeout: float) -> None:
        """Wait briefly while the copy may be stale or is empty; ``timeout`` is the client's remaining time."""
        if not self.freshness.is_stale:
            return
        if self.routing_table.revision:
            wait_seconds = FRESHNESS_WAIT_SECONDS
        else:
            wait_seconds = max(FRESHNESS_WAIT_SECONDS, STARTUP_WAIT_FRACTION * timeout)
        deadline = trio.current_time() + min(wait_seconds, STARTUP_WAIT_SECONDS)
        while self.freshness.is_stale and (remaining := deadline - trio.current_time()) > 0:
            await self.wait_for_update(remaining)

    async def wait_for_update(self, timeout: float) -> None:
        """Wait until an update has been applied, for ``timeout`` seconds at most."""
        update_event = self._update_event
        with trio.move_on_after(max(0.0, timeout)):
            await update_event.wait()

    def may_refuse(self) -> bool:
        """Whether the copy is recent enough to refuse a client for good."""
        return self.freshness.may_refuse(trio.current_time())

    def may_admit_key(self, arrived_at: float) -> bool:
        """Whether the copy is recent enough to admit a request that arrived at that time by its key."""
        return self.freshness.may_admit_key(arrived_at)

    async def wait_until_may_refuse(self, timeout: float) -> bool:
        """Wait, for ``timeout`` seconds at most, until ``may_refuse`` holds; returns whether it does."""
        deadline = trio.current_time() + timeout
        while not self.may_refuse() and (remaining := deadline - trio.current_time()) > 0:
            await self.wait_for_update(remaining)
        return self.may_refuse()

    def ready(self) -> bool:
        """Whether the copy is complete and recent enough to serve requests."""
        if self.routing_table.requires_keys and not self.may_admit_key(trio.current_time()):
            return False
        return bool(self.routing_table.revision and self.endpoints.by_id and not self.freshness.is_stale)

    # updates from the control client

    def mark_stale(self) -> None:
        """The process was suspended: the copy may be stale until a poll sent from now on is answered."""
        self.freshness.mark_stale(trio.current_time())

    def confirm(self, asked_at: float) -> None:
        """A poll sent at ``asked_at`` was answered, and its update has been applied."""
        if self.freshness.confirm(asked_at):
            self._notify()

    def apply(self, update: Update, asked_at: float) -> bool:
        """Apply the answer to a poll sent at ``asked_at``; False if its configuration can't be read."""
        self.member_count = update.member_count or self.member_count
        self.core_machines = update.core_machines or self.core_machines
        if update.has_state:
            if not self._apply_state(update, asked_at):
                return False
        elif update.has_announcements:
            self._apply_announcements(self.routing_table.versions, update, asked_at)
        self.state_version = update.state_version
        if update.has_peers:
            self.peers_version, self.peer_machines = update.peers_version, update.peer_machines
            self._on_peers_changed(self.peer_machines)
        self._apply_prefix_holdings(update)
        if update.has_server_records and update.registry_version >= self.registry_version:
            self._apply_server_records(update)
        return True

    def _apply_state(self, update: Update, asked_at: float) -> bool:
        """Apply the configuration and the announced versions; False if they can't be read."""
        try:
            table = parse_routing_table(update.revision, zlib.decompress(update.config), update.versions)
        except (UnreadableConfiguration, zlib.error) as error:
            logger.error("event=configuration_unreadable version={} why={!r}", update.state_version, str(error))
            return False
        self._apply_announcements(table.versions, update, asked_at)
        if table.revision != self.routing_table.revision:
            routes = sum(map(len, table.routes.values()))
            logger.info("event=configuration_applied revision={} routes={}", table.revision, routes)
        self.routing_table, self.fingerprint = table, update.fingerprint
        self._notify()
        return True

    def _apply_announcements(self, versions: dict[str, int], update: Update, asked_at: float) -> None:
        """Apply version announcements; ``versions`` is the newest announced version of each model."""
        self.announcements_version = update.announcements_version
        self.version_deadlines.record_announcements(
            versions,
            update.announcements,
            asked_at,
            known_versions=self.routing_table.versions,
            is_starting=not self.routing_table.revision,
        )
        self.version_deadlines.record_dates(update.announcements, trio.current_time())

    def _apply_prefix_holdings(self, update: Update) -> None:
        self.prefix_holdings_version = update.prefix_holdings_version
        if update.prefix_holdings_complete:
            self.stored_block_hashes = set(unpack_block_hashes(update.stored_block_hashes))
        else:
            self.stored_block_hashes.update(unpack_block_hashes(update.stored_block_hashes))
            self.stored_block_hashes.difference_update(unpack_block_hashes(update.removed_block_hashes))

    def _apply_server_records(self, update: Update) -> None:
        self.registry_version = update.registry_version
        listed = [endpoint_from_record(record) for record in update.received_server_records()]
        for endpoint in self.endpoints.apply_listed(listed):
            self._on_endpoint_unavailable(endpoint)
        for endpoint in self.endpoints.by_id.values():
            if endpoint.draining:
                self._on_endpoint_unavailable(endpoint)
        self._notify()

    def _notify(self) -> None:
        """Wake all tasks that wait for an update."""
        self._update_event.set()
        self._update_event = trio.Event()


def endpoint_from_record(record: ServerRecord) -> Endpoint:
    """The endpoint that a server record of the registry describes."""
    return Endpoint(
        record.id,
        record.service,
        record.address,
        record.zone,
        record.slots,
        dict(record.versions),
        draining=bool(record.state & SERVER_DRAINING),
        loading=bool(record.state & SERVER_LOADING),
    )
