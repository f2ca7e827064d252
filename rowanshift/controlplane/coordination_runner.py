"""Serves coordination calls at the primary: calls that come while one state is being committed share the next."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from rowanshift.controlplane.coordination.calls import Answer, Call, Events, HistoryDropped, LimitReached, ReadEvents
from rowanshift.controlplane.coordination.limits import MAX_BATCH_CALLS, MAX_QUEUED_CALLS
from rowanshift.controlplane.coordination.state_machine import Applied, CoordinationStateMachine, Effect
from rowanshift.controlplane.coordination_watches import WaitingWatches
from rowanshift.controlplane.errors import NotConfirmed, OutcomeUnknown
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.replication import NotPrimary

CALL_TIMEOUT_SECONDS = 0.9  # for the answer to a call; callers go elsewhere after a second


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that waits for its answer, or for the error in place of one."""

    call: Call
    applied: Applied | None = None  # None while the call is queued and may still be given up
    answer: Answer | None = None
    error: Exception | None = None
    ended: trio.Event = field(default_factory=trio.Event)

    def end(self, answer: Answer) -> None:
        """The answer is valid."""
        self.answer = answer
        self.ended.set()

    def fail(self, error: Exception) -> None:
        """There is no answer."""
        self.error = error
        self.ended.set()

    def not_confirmed(self) -> Exception:
        """Why there is no answer where it could not be confirmed."""
        is_unchanged = self.applied is None or self.applied.effect is Effect.NONE
        return NotConfirmed() if is_unchanged else OutcomeUnknown()


class CoordinationRunner:
    """The coordination state at this machine, and the calls for it. Only the primary has one and answers."""

    def __init__(self, replica_runner: ReplicaRunner, history_seconds: float) -> None:
        """``replica_runner`` runs the replica of the coordination state; nothing else changes it."""
        self.replica_runner = replica_runner
        self.history_seconds = history_seconds
        self.state_machine: CoordinationStateMachine | None = None  # while this machine is primary
        self.watches = WaitingWatches()
        self.batches = 0  # that were answered
        self.calls = 0  # in these
        self._role_changes = 0  # of the replica, as of the last that this has heard of
        self._queue: deque[PendingCall] = deque()
        self._wake = trio.Event()

    def on_role_change(self, primary: bool) -> None:
        """This machine has become the primary, or is so no longer: what was not committed is forgotten."""
        self._role_changes = self.replica_runner.role_changes
        if primary:
            committed = self.replica_runner.replica.committed_state
            self.state_machine = CoordinationStateMachine(committed, trio.current_time(), self.history_seconds)
            return
        self.state_machine = None
        self.watches.end_all()
        while self._queue:
            self._queue.popleft().fail(self._not_primary())

    def _not_primary(self) -> NotPrimary:
        return NotPrimary(self.replica_runner.replica.primary_hint)

    # calls

    async def call(self, call: Call) -> Answer:
        """The answer to a call, once what it rests on is committed or confirmed.

        Raises ``NotPrimary`` and ``NotConfirmed``: nothing was changed and nothing will be. Raises ``OutcomeUnknown``:
        the call may or may not have taken effect.
        """
        if self.state_machine is None:
            raise self._not_primary()
        if len(self._queue) >= MAX_QUEUED_CALLS:
            return LimitReached(f"{MAX_QUEUED_CALLS} calls wait")
        pending = PendingCall(call)
        self._queue.append(pending)
        self._wake.set()
        try:
            with trio.move_on_after(CALL_TIMEOUT_SECONDS):
                await pending.ended.wait()
        finally:
            if pending.applied is None and not pending.ended.is_set():
                self._queue.remove(pending)
        if pending.error is not None:
            raise pending.error
        if pending.answer is None:
            raise pending.not_confirmed()
        return pending.answer

    async def watch(self, group: str, after: int, wait_seconds: float) -> Events | HistoryDropped | LimitReached:
        """The puts of a group after a revision as soon as there is one, or none once ``wait_seconds`` have passed.

        Raises what ``call`` raises.
        """
        until = trio.current_time() + wait_seconds
        answer = await self._read_events(group, after)
        if not after or not isinstance(answer, Events) or answer.events or self.state_machine is None:
            return answer
        committed = self.state_machine.committed_events(group, after)
        if not isinstance(committed, Events) or committed.events:
            return committed  # a put was committed together with the read, or right after it
        if not self.watches.has_room():
            return LimitReached("too many watches wait")
        found = await self.watches.wait(group, after, until)
        return await self._read_events(group, after) if found is None else found

    async def _read_events(self, group: str, after: int) -> Events | HistoryDropped | LimitReached:
        answer = await self.call(ReadEvents(group, after))
        assert isinstance(answer, Events | HistoryDropped | LimitReached)
        return answer

    # batches

    async def run(self) -> None:
        """Answer the calls that are queued, batch after batch; runs until it is cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._queue:
                await self._serve_batch()

    async def _serve_batch(self) -> None:
        state_machine = self.state_machine
        batch = [self._queue.popleft() for _ in range(min(MAX_BATCH_CALLS, len(self._queue)))]
        if state_machine is None:
            self._fail(batch, self._not_primary())
            return
        now = trio.current_time()
        for pending in batch:
            pending.applied = state_machine.apply(pending.call, now)
        try:
            succeeded = await self._confirm(state_machine, batch, now)
        except NotPrimary as error:  # it was so before anything was proposed
            self._fail(batch, error)
            return
        if not succeeded:
            for pending in batch:
                pending.fail(pending.not_confirmed())
            return
        self.batches += 1
        self.calls += len(batch)
        self._answer(state_machine, batch)

    async def _confirm(self, state_machine: CoordinationStateMachine, batch: list[PendingCall], now: float) -> bool:
        """Commit what a batch has changed, or have leadership confirmed; whether the answers are valid."""
        if any(pending.applied is not None and pending.applied.effect is Effect.STATE for pending in batch):
            return await self.replica_runner.commit(state_machine.pack(now), self._role_changes)
        while not await self.replica_runner.confirm():
            if self.state_machine is not state_machine:
                return False
        return self.state_machine is state_machine

    def _answer(self, state_machine: CoordinationStateMachine, batch: list[PendingCall]) -> None:
        changed_groups = state_machine.committed()
        for pending in batch:
            if pending.applied is not None:
                pending.end(pending.applied.answer)
        for group in changed_groups:
            self.watches.notify(group, state_machine.committed_events)

    @staticmethod
    def _fail(batch: Iterable[PendingCall], error: Exception) -> None:
        for pending in batch:
            pending.fail(error)
