"""Runs a replica: executes the actions of the I/O-free ``Replica``, and offers reads and changes to callers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from itertools import count

import trio
from loguru import logger

from rowanshift.controlplane.errors import NotConfirmed, OutcomeUnknown
from rowanshift.controlplane.machine_disk import Disk
from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.controlplane.replica_connections import ReplicaConnections
from rowanshift.controlplane.replication import (
    DurableState,
    NotPrimary,
    ProposalCommitted,
    ProposalFailed,
    ProposalInProgress,
    ReadConfirmed,
    ReadFailed,
    RedundancyMonitor,
    Replica,
    RoleChanged,
    Save,
    Send,
)
from rowanshift.controlplane.store import StoreError
from rowanshift.transport.record_links import RecordReader
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.wire.machine_ids import ip_from_machine_id

TICK_SECONDS = 0.05  # interval between ticks of the replica
RELEASE_CHECK_SECONDS = TICK_SECONDS / 5  # interval between checks whether a leave has been granted


@dataclass(slots=True)
class PendingOperation:
    """A read or a proposal whose outcome is pending."""

    ended: trio.Event = field(default_factory=trio.Event)
    succeeded: bool = False


class ReplicaRunner:
    """One replica with its disk, its connections and its clock.

    ``on_role_change`` is called with True when this machine becomes primary and False when it no longer is;
    ``on_commit`` is called after each commit. ``log_prefix`` is prepended to the names of log events, to distinguish
    the replicas of one process.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        disk: Disk | None,
        connections: ReplicaConnections,
        nursery: Nursery,
        on_role_change: Callable[[bool], None],
        on_commit: Callable[[], None],
        log_prefix: str = "",
    ) -> None:
        self.log_prefix = log_prefix
        self.runtime = runtime
        self.replica = replica
        self.disk = disk
        self.connections = connections
        self.nursery = nursery
        self.on_role_change = on_role_change
        self.on_commit = on_commit
        self.role_changes = 0
        self.saves = 0
        self.save_seconds = 0.0  # total duration of all saves
        self.redundancy_watch = RedundancyMonitor(0.0)
        self._tokens = count(1)
        self._pending: dict[int, PendingOperation] = {}  # by token
        self._change_lock = trio.Lock()  # serializes changes

    # Calls.

    async def read(self) -> bytes:
        """The committed state, by a linearizable read. Raises ``NotPrimary`` and ``NotConfirmed``."""
        if not await self.confirm():
            raise NotConfirmed()
        return self.replica.committed_state

    async def confirm(self) -> bool:
        """Whether the in-sync machines confirm, after this call, that this is the primary. Raises ``NotPrimary``."""
        with self._pending_operation() as (token, pending):
            self.replica.confirm_read(token, trio.current_time())
            self.carry_out_actions()
            await pending.ended.wait()
            return pending.succeeded

    async def commit(self, state: bytes, role_changes: int) -> bool:
        """Replicate a state that the caller, the only writer, derived while ``role_changes`` had the given value.

        Returns whether the state was committed. If it returns False, the outcome is unknown: another primary may still
        commit the state. Raises ``NotPrimary``: then the state will never be committed.
        """
        async with self._change_lock:
            if self.role_changes != role_changes:  # the state may be derived from an outdated one
                raise NotPrimary(self.replica.primary_hint)
            return await self._propose(state)

    async def change(self, make_next: Callable[[bytes], bytes | None], timeout: float) -> bytes:
        """Derive the next state from the current one, and return it once it is committed.

        ``make_next`` returns the next state, or None for no change. Raises ``NotPrimary``, ``NotConfirmed``,
        ``OutcomeUnknown`` after ``timeout`` seconds, and any error of ``make_next``, which is called with a confirmed
        state.
        """
        with trio.move_on_after(timeout):
            async with self._change_lock:
                state = make_next(await self.read())
                if state is None:
                    return self.replica.committed_state
                if await self._propose(state):
                    return state
        raise OutcomeUnknown()

    async def _propose(self, state: bytes) -> bool:
        """Propose a state. Returns whether it was committed; if not, it may still be committed later."""
        with self._pending_operation() as (token, pending):
            try:
                self.replica.propose(token, state, trio.current_time())
            except ProposalInProgress as error:
                raise NotConfirmed() from error
            self.carry_out_actions()
            await pending.ended.wait()
            return pending.succeeded

    async def leave(self, until: float) -> bool:
        """Hand leadership, state and vote over to other machines. Returns whether that succeeded by ``until``."""
        with trio.move_on_at(until):
            async with self._change_lock:  # lets a change in progress complete first
                self.replica.leave(trio.current_time())
                self.carry_out_actions()
        while not self.replica.leave_granted and trio.current_time() < until:
            await self.runtime.pause(RELEASE_CHECK_SECONDS)
        return self.replica.leave_granted

    def lease_remaining(self) -> float:
        """Seconds for which this machine still holds the lease; 0 if it does not hold it."""
        now = trio.current_time()
        return max(0.0, self.replica.lease_until(now) - now) if self.replica.is_primary else 0.0

    @contextmanager
    def _pending_operation(self) -> Iterator[tuple[int, PendingOperation]]:
        token, pending = next(self._tokens), PendingOperation()
        self._pending[token] = pending
        try:
            yield token, pending
        finally:
            del self._pending[token]

    # Input to the replica.

    async def run(self) -> None:
        """Tick the replica until cancelled."""
        while True:
            self.replica.tick(trio.current_time())
            self.carry_out_actions()
            self._log_redundancy()
            await self.runtime.pause(TICK_SECONDS)

    async def receive_from(self, reader: RecordReader, machine: int) -> None:
        """Pass messages of another core machine to the replica until the connection ends."""
        while True:
            _, message = await reader.next()
            now = trio.current_time()
            self.connections.mark_heard(machine, now)
            self.replica.receive(machine, message, now)
            self.carry_out_actions()

    # Actions of the replica.

    def carry_out_actions(self) -> None:
        """Execute the actions that the replica has requested since the last call."""
        for action in self.replica.drain():
            match action:
                case Send(to, message):
                    self.connections.send(to, message)
                case Save(token, durable):
                    self.nursery.start_soon(self._save, token, durable)
                case ProposalCommitted(token):
                    self.on_commit()
                    self._end_operation(token, True)
                case ReadConfirmed(token):
                    self._end_operation(token, True)
                case ProposalFailed(token) | ReadFailed(token):
                    self._end_operation(token, False)
                case RoleChanged(primary):
                    self._change_role(primary)

    def _change_role(self, primary: bool) -> None:
        self.role_changes += 1
        event = "primary" if primary else "no_primary"
        in_sync = ",".join(map(ip_from_machine_id, self.replica.record.in_sync))
        logger.info("event={}{} epoch={} in_sync={}", self.log_prefix, event, self.replica.record.epoch, in_sync)
        if primary:
            self.redundancy_watch = RedundancyMonitor(trio.current_time())
        self.on_role_change(primary)

    def _end_operation(self, token: int, succeeded: bool) -> None:
        pending = self._pending.get(token)
        if pending is not None:
            pending.succeeded = succeeded
            pending.ended.set()

    async def _save(self, token: int, durable: DurableState) -> None:
        """Write the durable state to the disk, and report success or failure to the replica."""
        started_at, succeeded = trio.current_time(), True
        if self.disk is not None:
            try:
                await self.runtime.in_thread(partial(self.disk.write, CODEC.pack(durable)))
            except StoreError as error:
                logger.error("event={}save_failed why={!r}", self.log_prefix, str(error))
                succeeded = False
        now = trio.current_time()
        self.saves += 1
        self.save_seconds += now - started_at
        if succeeded:
            self.replica.saved(token, now)
        else:
            self.replica.save_failed(token, now)
        self.carry_out_actions()

    def _log_redundancy(self) -> None:
        """Log each change of the redundancy that the primary observes."""
        if not self.replica.is_primary:
            return
        change = self.redundancy_watch.observe(self.replica.redundancy(), trio.current_time())
        if change is None:
            return
        redundancy = change.redundancy
        logger.info(
            "event={}redundancy copies={}/{} witnesses={}/{} until_full_s={} spread={}",
            self.log_prefix,
            redundancy.replicas,
            redundancy.replicas_wanted,
            redundancy.witnesses,
            redundancy.witnesses_wanted,
            "-" if change.seconds_until_full is None else f"{change.seconds_until_full:.2f}",
            redundancy.tolerance_met,
        )
        if not redundancy.tolerance_met:
            logger.warning("event={}tolerance_not_met why={!r}", self.log_prefix, self.replica.unmet_tolerance())
