"""Runs a replica: carries out what the pure ``Replica`` decides, and offers confirmed reads and changes to callers."""

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

TICK_SECONDS = 0.05  # between ticks of the replica
RELEASE_CHECK_SECONDS = TICK_SECONDS / 5  # between checks whether the others have released a leaving machine


@dataclass(slots=True)
class PendingOperation:
    """A read or a proposal that waits for its outcome."""

    ended: trio.Event = field(default_factory=trio.Event)
    succeeded: bool = False


class ReplicaRunner:
    """One replica with its disk, its connections and its clock.

    ``on_role_change`` is called with whether this machine is primary now, ``on_commit`` after each commit.
    ``log_prefix`` stands before the names of its log events, to tell replicas of one process apart.
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
        self.save_seconds = 0.0  # that all of them took
        self.redundancy_watch = RedundancyMonitor(0.0)
        self._tokens = count(1)
        self._pending: dict[int, PendingOperation] = {}  # by token
        self._change_turn = trio.Lock()  # one change at a time

    # calls

    async def read(self) -> bytes:
        """The state, confirmed to be the newest when it was asked for. Raises ``NotPrimary`` and ``NotConfirmed``."""
        if not await self.confirm():
            raise NotConfirmed()
        return self.replica.committed_state

    async def confirm(self) -> bool:
        """Whether this machine was confirmed to be the primary after this was called. Raises ``NotPrimary``."""
        with self._pending_operation() as (token, pending):
            self.replica.confirm_read(token, trio.current_time())
            self.carry_out_actions()
            await pending.ended.wait()
            return pending.succeeded

    async def commit(self, state: bytes, role_changes: int) -> bool:
        """Replicate a state that the caller, who alone changes it, made while ``role_changes`` was as given.

        Whether it is on all disks that are wanted; where it isn't, it may be in force later, under another primary.
        Raises ``NotPrimary``: then it never will be.
        """
        async with self._change_turn:
            if self.role_changes != role_changes:  # the state that it was made from may be an old one
                raise NotPrimary(self.replica.primary_hint)
            return await self._propose(state)

    async def change(self, make_next: Callable[[bytes], bytes | None], timeout: float) -> bytes:
        """Make the next state from the newest, and return it once it is on all disks that are wanted.

        ``make_next`` returns the next state, None to change nothing. Raises ``NotPrimary``, ``NotConfirmed``,
        ``OutcomeUnknown`` after ``timeout`` seconds, and what ``make_next`` raises: a refusal rests on a state that
        was confirmed.
        """
        with trio.move_on_after(timeout):
            async with self._change_turn:
                state = make_next(await self.read())
                if state is None:
                    return self.replica.committed_state
                if await self._propose(state):
                    return state
        raise OutcomeUnknown()

    async def _propose(self, state: bytes) -> bool:
        """Whether the state was committed; where it wasn't, it may be in force later."""
        with self._pending_operation() as (token, pending):
            try:
                self.replica.propose(token, state, trio.current_time())
            except ProposalInProgress as error:
                raise NotConfirmed() from error
            self.carry_out_actions()
            await pending.ended.wait()
            return pending.succeeded

    async def leave(self, until: float) -> bool:
        """Transfer leadership, state and vote to others by this time; whether that was done."""
        with trio.move_on_at(until):
            async with self._change_turn:  # a change under way is answered first
                self.replica.leave(trio.current_time())
                self.carry_out_actions()
        while not self.replica.leave_granted and trio.current_time() < until:
            await self.runtime.pause(RELEASE_CHECK_SECONDS)
        return self.replica.leave_granted

    def lease_remaining(self) -> float:
        """Seconds for which this machine may still act as the only lease holder; 0 if it may not."""
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

    # what drives the replica

    async def run(self) -> None:
        """Tick the replica; runs until it is cancelled."""
        while True:
            self.replica.tick(trio.current_time())
            self.carry_out_actions()
            self._log_redundancy()
            await self.runtime.pause(TICK_SECONDS)

    async def receive_from(self, reader: RecordReader, machine: int) -> None:
        """Hand the messages of another core machine to the replica until its connection ends."""
        while True:
            _, message = await reader.next()
            now = trio.current_time()
            self.connections.record_message_from(machine, now)
            self.replica.receive(machine, message, now)
            self.carry_out_actions()

    # what the replica decides

    def carry_out_actions(self) -> None:
        """Carry out what the replica has decided since the last call."""
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
        """Write the durable state to the disk, and report to the replica how that ended."""
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
        """Log each change of the redundancy, as the primary sees it."""
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
