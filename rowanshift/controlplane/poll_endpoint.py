"""Answers the routers' long polls with the committed data that they lack, or with a redirect to the primary."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.router_membership import RouterMembership
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.controlplane.singleton_tasks import SingletonTasks
from rowanshift.controlplane.state_publication import StatePublication, UpdateSignal
from rowanshift.kv_index.block_hashes import pack_block_hashes
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Stream, send_all
from rowanshift.wire.control_updates import (
    SERVER_RECORDS,
    ModelVersionAnnouncement,
    Poll,
    PollOfFormat1,
    PollOfFormat2,
    PollOfFormat3,
    Redirect,
    Update,
    UpdateOfFormat1,
)
from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.version_announcements import age_ms

LONG_POLL_SECONDS = 1.0  # maximum time for which a poll is held while there is nothing new
PRIMARY_SEARCH_SECONDS = 0.4  # time for which a poll is held on a machine that knows no primary
PRIMARY_CHECK_SECONDS = 0.05  # interval between checks for a primary during PRIMARY_SEARCH_SECONDS
ANSWER_WRITE_SECONDS = 2.0  # timeout for writing an answer to a router


@dataclass(frozen=True, slots=True)
class MissingParts:
    """The parts of the committed data that a router lacks."""

    state: bool
    server_records: bool
    holdings: bool
    peers: bool
    announcements: bool

    def any(self) -> bool:
        """Return whether the router lacks any part."""
        return self.state or self.server_records or self.holdings or self.peers or self.announcements


class PollEndpoint:
    """Serves the routers' polls on one core machine."""

    def __init__(
        self,
        runtime: Runtime,
        replica_runner: ReplicaRunner,
        publication: StatePublication,
        membership: RouterMembership,
        tasks: SingletonTasks,
        updates: UpdateSignal,
    ) -> None:
        self.runtime = runtime
        self.replica_runner = replica_runner
        self.publication = publication
        self.membership = membership
        self.tasks = tasks
        self.updates = updates
        self.open_polls = 0  # polls that have been read and not yet answered
        self.leaving = False  # True once the process shuts down: polls are no longer held
        self._packed_records = b""
        self._packed_records_of: tuple[ServerRegistry | None, int] = (None, 0)  # the registry and its serial

    def leave(self) -> None:
        """Stop holding polls: open and new polls are redirected immediately."""
        self.leaving = True
        self.updates.notify()

    async def serve(self, stream: Stream, number: int, record: object) -> None:
        """Answer a router's record on its connection; ``number`` identifies the record on that connection.

        Raises ``MalformedRecord`` if the record is not a poll, and ``trio.TooSlowError`` if the router does not read
        the answer.
        """
        if isinstance(record, PollOfFormat1):
            record = record.as_format_2(int(1000 * LONG_POLL_SECONDS))
        if not isinstance(record, PollOfFormat3):
            raise MalformedRecord(f"expected a poll, found {type(record).__name__}")
        self.open_polls += 1
        try:
            answer = convert_answer(record, await self.answer(record))
            frame = CODEC.pack(answer, number)
            with trio.fail_after(ANSWER_WRITE_SECONDS):
                await send_all(stream, frame)
        finally:
            self.open_polls -= 1

    async def answer(self, poll: PollOfFormat3) -> Update | Redirect:
        """Hold a router's poll until there is something new for it, or until its long poll time is over.

        The answer is created under a lease that was checked after the poll was received.
        """
        now = trio.current_time()
        until = now + min(LONG_POLL_SECONDS, poll.long_poll_ms / 1000)
        search_until = now + PRIMARY_SEARCH_SECONDS
        while True:
            now = trio.current_time()
            if self.leaving:
                return self._redirect()
            if not self.replica_runner.lease_remaining():
                if self._knows_other_primary() or now >= search_until:
                    return self._redirect()
                await self.runtime.pause(PRIMARY_CHECK_SECONDS)
                continue
            self.membership.record_poll(poll.machine, now)
            self.publication.refresh()
            self._apply_announcements(poll)
            missing = self._missing_parts(poll)
            if now >= until or missing.any():
                return self._update(poll, missing, now)
            with trio.move_on_at(until):
                await self.updates.wait()

    def _knows_other_primary(self) -> bool:
        """Return whether this machine is not the primary and has recently heard from the primary."""
        replica = self.replica_runner.replica
        return not replica.is_primary and replica.primary_hint != 0

    def _redirect(self) -> Redirect:
        replica = self.replica_runner.replica
        return Redirect(0 if replica.is_primary else replica.primary_hint, self._core_machines())

    def _core_machines(self) -> tuple[int, ...]:
        record = self.replica_runner.replica.record
        return tuple(sorted({*record.witnesses, *record.in_sync}))

    def _apply_announcements(self, poll: PollOfFormat3) -> None:
        """Apply the announcement times that the router knows, if the poll contains any."""
        announcements = poll.announcements if isinstance(poll, Poll) else ()
        if not announcements:
            return
        registry, versions = self.tasks.registry, self.publication.state.versions
        if registry.apply_announcements(announcements, versions, trio.current_time()):
            self.updates.notify()

    def _missing_parts(self, poll: PollOfFormat3) -> MissingParts:
        """Return the parts that the router lacks; each part has a serial that is valid within an epoch."""
        epoch = self.replica_runner.replica.record.epoch
        registry, membership = self.tasks.registry, self.membership
        announcements_version = epoch, registry.announcements_serial
        return MissingParts(
            state=poll.fingerprint != self.publication.fingerprint,
            server_records=registry.serial > 0 and poll.registry_version != (epoch, registry.serial),
            holdings=poll.prefix_holdings_version != (epoch, self.tasks.holdings.serial),
            peers=membership.peers_serial > 0 and poll.peers_version != (epoch, membership.peers_serial),
            announcements=isinstance(poll, Poll) and poll.announcements_version != announcements_version,
        )

    def _update(self, poll: PollOfFormat3, missing: MissingParts, now: float) -> Update:
        """Return an update with all committed data that the router lacks."""
        replica, registry, holdings = self.replica_runner.replica, self.tasks.registry, self.tasks.holdings
        publication, membership = self.publication, self.membership
        epoch, state, version = replica.record.epoch, publication.state, replica.committed_version
        known_epoch, known_serial = poll.prefix_holdings_version
        holdings_update = holdings.since(known_serial if known_epoch == epoch else 0)
        has_announcements = missing.state or missing.announcements or not isinstance(poll, Poll)
        return Update(
            state_version=(version.epoch, version.sequence),
            fingerprint=publication.fingerprint,
            has_state=missing.state,
            revision=state.revision if missing.state else 0,
            config=publication.compressed_config if missing.state else b"",
            versions=state.versions if missing.state else {},
            registry_version=(epoch, registry.serial),
            has_server_records=missing.server_records,
            server_records=self._server_records(registry) if missing.server_records else (),
            member_count=membership.budget_shares(now),
            prefix_holdings_version=(epoch, holdings.serial),
            prefix_holdings_complete=holdings_update.is_complete,
            stored_block_hashes=pack_block_hashes(holdings_update.stored),
            removed_block_hashes=pack_block_hashes(holdings_update.removed),
            peers_version=(epoch, membership.peers_serial) if missing.peers else poll.peers_version,
            has_peers=missing.peers,
            peer_machines=membership.peers if missing.peers else (),
            core_machines=self._core_machines(),
            announcements_version=(epoch, registry.announcements_serial),
            has_announcements=has_announcements,
            announcements=version_announcements(registry, now) if has_announcements else (),
        )

    def _server_records(self, registry: ServerRegistry) -> bytes:
        """Return the packed records of the registry; they are packed once for all routers."""
        if self._packed_records_of != (registry, registry.serial):
            self._packed_records_of = (registry, registry.serial)
            self._packed_records = SERVER_RECORDS.encode(registry.records())
        return self._packed_records


def version_announcements(registry: ServerRegistry, now: float) -> tuple[ModelVersionAnnouncement, ...]:
    """Return the announced versions whose deadlines may still be ahead, each with its age.

    The age is measured from the time at which this machine saw the version committed, or from the time that a router
    sent. If neither is known, it is measured from the time at which this machine became primary, and marked as undated.
    """
    return tuple(
        ModelVersionAnnouncement(
            announcement.model, announcement.version, age_ms(now - announcement.announced_at), announcement.is_dated
        )
        for announcement in registry.announcements.all()
    )


def convert_answer(poll: PollOfFormat3, answer: Update | Redirect) -> UpdateOfFormat1 | Redirect:
    """Convert an answer to the format that the polling router understands."""
    if isinstance(poll, Poll) or isinstance(answer, Redirect):
        return answer
    return answer.as_format_1() if isinstance(poll, PollOfFormat2) else answer.as_format_2()
