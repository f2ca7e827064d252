"""Client of the control plane: long-polls the primary and applies its updates to the router's ``ControlCache``.

One poll at a time waits at the primary, which answers when there is something newer than what the poll names, and after
half a second in any case. When it gives no answer, the replicas of the control plane are asked for the primary without
waiting for each other (``primary_search``).
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

LONG_POLL_SECONDS = 0.5  # that the primary may hold a poll: the copy is no older than two of these
POLL_ANSWER_SECONDS = 0.3  # beyond that for its answer; then others are asked for the primary
SEARCH_ANSWER_SECONDS = 0.75  # for the answer to a poll of a search
SEARCH_STAGGER_SECONDS = 0.12  # until the next machine is asked, whatever the one before does
SEARCH_RETRY_SECONDS = 0.15  # between two searches, on average
LOGGED_FAILURES = (1, 10, 100)  # polls without an answer in a row


@dataclass(slots=True, frozen=True)
class ReplicaConnection:
    """A replica of the control plane, and the connection to it."""

    machine: int  # its id
    client: RecordClient


@dataclass(slots=True)
class Search:
    """One search under way."""

    progress: trio.Event = field(default_factory=trio.Event)  # an answer has come, or none will
    pending: int = 0  # machines that were asked and have not answered
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
        """``machine``: this router's id; ``port``: the one at which all replicas take polls; ``seeds``: the addresses
        of replicas as the settings have them now."""
        self.runtime, self.machine, self.port, self.seeds = runtime, machine, port, seeds
        self.cache, self.random_source = cache, random_source
        self.incarnation = random_source.getrandbits(63)
        self.search = PrimarySearch(random_source.random)
        self.failures = 0  # polls without an answer in a row
        self._dates_reported_in = 0  # the epoch whose primary was sent the dates of announcements
        self._long_poll_scope = trio.CancelScope()  # around the poll that waits at the primary

    def mark_stale(self) -> None:
        """The process was suspended: ends the poll under way, whose answer would not say what happened since."""
        self.cache.mark_stale()
        self._long_poll_scope.cancel()

    async def run(self) -> None:
        """Finds the primary and follows it, again and again; never returns."""
        while True:
            primary = await self._find_primary()
            await self._follow(primary)
            primary.client.close()

    async def _find_primary(self) -> ReplicaConnection:
        """Asks replicas until one answers as the primary; its update is applied."""
        while True:
            found = await self._search_once()
            if found is not None:
                return found
            await self.runtime.pause(SEARCH_RETRY_SECONDS * (0.5 + self.random_source.random()))

    async def _search_once(self) -> ReplicaConnection | None:
        """Asks each replica once; ``None`` if none of them is the primary."""
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
        """Asks one machine; ends the search if it is the primary."""
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
        """One long poll after another at the primary, until it gives no answer or is no longer primary."""
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
        """One poll; whether the machine answered as the primary, and with nothing older than the copy.

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
            self._dates_reported_in, _ = answer.state_version
        if self.cache.apply(answer, asked_at):
            self.cache.confirm(asked_at)
        return True

    def _poll_record(self, long_poll_seconds: float) -> Poll:
        """What the cache has; the dates of announcements only for a primary that may lack them."""
        cache = self.cache
        epoch, _ = cache.state_version
        reports_dates = not long_poll_seconds or self._dates_reported_in != epoch
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
