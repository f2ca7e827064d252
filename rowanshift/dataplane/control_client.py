"""Client of the control plane: long-polls the primary and applies its updates to the router's ``ControlCache``.

The client has one long poll at a time open at the primary, which answers as soon as it has something newer than the
versions in the poll, and after ``LONG_POLL_SECONDS`` at the latest. If it does not answer, the client asks the replicas
of the control plane for the primary, without waiting for one before asking the next (``primary_search``).
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from loguru import logger

from rowanshift.dataplane.control_cache import ControlCache
from rowanshift.dataplane.primary_search import PrimarySearch
from rowanshift.transport.record_links import ConnectionFailed, RecordClient
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address
from rowanshift.wire.control_updates import CONTROL_UPDATE_CODEC, Poll, Redirect, Update
from rowanshift.wire.machine_ids import ip_from_machine_id, machine_id_from_ip

LONG_POLL_SECONDS = 0.5  # maximum time that the primary holds a poll; the copy is at most twice as old
POLL_ANSWER_SECONDS = 0.3  # extra time for the answer to a held poll; then the search for the primary starts
SEARCH_ANSWER_SECONDS = 0.75  # timeout of a poll that searches for the primary
SEARCH_STAGGER_SECONDS = 0.12  # delay before the next machine is asked as well, without an answer from the last one
SEARCH_RETRY_SECONDS = 0.15  # average pause between two searches
LOGGED_FAILURES = (1, 10, 100)  # numbers of consecutive unanswered polls that are logged


@dataclass(slots=True, frozen=True)
class ReplicaConnection:
    """A replica of the control plane, and the connection to it."""

    machine: int  # the replica's machine id
    client: RecordClient


@dataclass(slots=True)
class Search:
    """The state of one search in progress."""

    progress: trio.Event = field(default_factory=trio.Event)  # set when a machine has answered or failed
    pending: int = 0  # number of machines asked whose answer is outstanding
    found: ReplicaConnection | None = None


class ControlClient:
    """Keeps a router's copy of the control state up to date, for as long as it runs."""

    def __init__(
        self,
        runtime: Runtime,
        machine: int,
        port: int,
        seeds: Callable[[], Iterable[Address]],
        cache: ControlCache,
        random_source: random.Random,
    ) -> None:
        """Create a client.

        ``machine`` is this router's machine id, ``port`` the port at which all replicas accept polls; ``seeds`` returns
        the replicas' addresses as currently configured.
        """
        self.runtime, self.machine, self.port, self.seeds = runtime, machine, port, seeds
        self.cache, self.random_source = cache, random_source
        self.incarnation = random_source.getrandbits(63)
        self.search = PrimarySearch(random_source.random)
        self.failures = 0  # consecutive polls without an answer
        self._dates_reported_epoch = 0  # the epoch whose primary was sent the announcement dates
        self._long_poll_scope = trio.CancelScope()  # cancels the poll in progress at the primary

    def mark_stale(self) -> None:
        """The process was suspended: cancel the poll in progress, whose answer may date from before."""
        self.cache.mark_stale()
        self._long_poll_scope.cancel()

    async def run(self) -> None:
        """Find the primary and poll it until it fails, in an endless loop."""
        while True:
            primary = await self._find_primary()
            await self._follow(primary)
            primary.client.close()

    async def _find_primary(self) -> ReplicaConnection:
        """Search until a replica answers as the primary; its update has then been applied."""
        while True:
            found = await self._search_once()
            if found is not None:
                return found
            await self.runtime.pause(SEARCH_RETRY_SECONDS * (0.5 + self.random_source.random()))

    async def _search_once(self) -> ReplicaConnection | None:
        """Ask each replica once; returns the primary, ``None`` if no replica answered as such."""
        self.search.begin(self._replicas(), trio.current_time())
        search = Search()
        async with self.runtime.nursery() as nursery:
            while (machine := self.search.next_machine()) or search.pending:
                if machine:
                    search.pending += 1
                    nursery.start_soon(self._ask_for_primary, search, machine, nursery.cancel_scope)
                with trio.move_on_after(SEARCH_STAGGER_SECONDS):
                    await search.progress.wait()
                search.progress = trio.Event()
        return search.found

    async def _ask_for_primary(self, search: Search, machine: int, scope: trio.CancelScope) -> None:
        """Poll one machine; ends the search if it is the primary."""
        address = ip_from_machine_id(machine), self.port
        replica = ReplicaConnection(machine, RecordClient(self.runtime, CONTROL_UPDATE_CODEC, address))
        try:
            if await self._poll(replica, 0.0) and search.found is None:
                search.found = replica
                scope.cancel()
        except ConnectionFailed as error:
            self._on_no_answer(machine, error)
        finally:
            if search.found is not replica:
                replica.client.close()
            search.pending -= 1
        search.progress.set()

    async def _follow(self, primary: ReplicaConnection) -> None:
        """Send one long poll after another, until the primary does not answer or is no longer primary."""
        while True:
            long_poll_seconds = 0.0 if self.cache.freshness.is_stale else LONG_POLL_SECONDS
            try:
                with trio.CancelScope() as self._long_poll_scope:
                    if not await self._poll(primary, long_poll_seconds):
                        return
            except ConnectionFailed as error:
                self._on_no_answer(primary.machine, error)
                return

    async def _poll(self, replica: ReplicaConnection, long_poll_seconds: float) -> bool:
        """Send one poll; whether the machine answered as the primary, with a state not older than the copy.

        Raises ``ConnectionFailed``.
        """
        asked_at = trio.current_time()
        timeout = LONG_POLL_SECONDS + POLL_ANSWER_SECONDS if long_poll_seconds else SEARCH_ANSWER_SECONDS
        poll = self._poll_record(long_poll_seconds)
        answer = await replica.client.call(poll, timeout)
        if isinstance(answer, Redirect):
            self.cache.core_machines = answer.core_machines or self.cache.core_machines
            self.search.on_primary_hint(answer.primary if answer.primary not in (0, replica.machine) else None)
            return False
        if not isinstance(answer, Update) or answer.state_version < self.cache.state_version:
            return False
        self.failures = 0
        if poll.announcements:
            self._dates_reported_epoch, _ = answer.state_version
        if self.cache.apply(answer, asked_at):
            self.cache.confirm(asked_at)
        return True

    def _poll_record(self, long_poll_seconds: float) -> Poll:
        """The poll with the versions of the cache; it reports announcement dates if the primary may lack them."""
        cache = self.cache
        epoch, _ = cache.state_version
        reports_dates = not long_poll_seconds or self._dates_reported_epoch != epoch
        return Poll(
            machine=self.machine,
            incarnation=self.incarnation,
            state_version=cache.state_version,
            fingerprint=cache.fingerprint,
            registry_version=cache.registry_version,
            prefix_holdings_version=cache.prefix_holdings_version,
            peers_version=cache.peers_version,
            long_poll_ms=int(1000 * long_poll_seconds),
            announcements_version=cache.announcements_version,
            announcements=cache.version_deadlines.dates_to_report(trio.current_time()) if reports_dates else (),
        )

    def _replicas(self) -> set[int]:
        """The ids of all machines that may be primary."""
        return {*self.cache.core_machines, *(machine_id_from_ip(seed[0]) for seed in self.seeds())}

    def _on_no_answer(self, machine: int, error: ConnectionFailed) -> None:
        self.search.on_no_answer(machine, trio.current_time())
        self.failures += 1
        if self.failures in LOGGED_FAILURES:
            ip = ip_from_machine_id(machine)
            logger.info("event=poll_failed to={} times={} why={!r}", ip, self.failures, str(error))
