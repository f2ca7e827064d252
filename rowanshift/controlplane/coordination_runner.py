"""Serves coordination calls at the primary in batches: calls that arrive during a commit share the next one."""

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

CALL_TIMEOUT_SECONDS = 0.9  # callers try another machine after 1 s


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that waits for its answer or for an error."""

    call: Call
    applied: Applied | None = None  # None while the call is queued and can still be withdrawn
    answer: Answer | None = None
    error: Exception | None = None
    finished: trio.Event = field(default_factory=trio.Event)

    def complete(self, answer: Answer) -> None:
        """Finish the call with a valid answer."""
        self.answer = answer
        self.finished.set()

    def fail(self, error: Exception) -> None:
        """Finish the call with an error."""
        self.error = error
        self.finished.set()

    def unconfirmed_error(self) -> Exception:
        """The error for a call whose answer could not be confirmed."""
        has_no_effect = self.applied is None or self.applied.effect is Effect.NONE
        return NotConfirmed() if has_no_effect else OutcomeUnknown()


class CoordinationRunner:
    """Serves calls from this machine's coordination state, which exists only while this machine is primary."""

    def __init__(self, replica_runner: ReplicaRunner, history_seconds: float) -> None:
        """``replica_runner`` runs the replica of the coordination state, which nothing else may change."""
        self.replica_runner = replica_runner
        self.history_seconds = history_seconds
        self.state_machine: CoordinationStateMachine | None = None  # None while this machine is not primary
        self.watches = WaitingWatches()
        self.batches = 0  # answered batches
        self.calls = 0  # calls in the answered batches
        self._role_changes = 0  # the replica's count at the latest ``on_role_change``
        self._queue: deque[PendingCall] = deque()
        self._calls_available = trio.Event()

    def on_role_change(self, primary: bool) -> None:
        """Handle that this machine has become primary or has ceased to be; uncommitted changes are discarded."""
        self._role_changes = self.replica_runner.role_changes
        if primary:
            committed = self.replica_runner.replica.committed_state
            self.state_machine = CoordinationStateMachine(committed, trio.current_time(), self.history_seconds)
            return
        self.state_machine = None
        self.watches.finish_all()
        while self._queue:
            self._queue.popleft().fail(self._not_primary())

    def _not_primary(self) -> NotPrimary:
        return NotPrimary(self.replica_runner.replica.primary_hint)

    # calls

    async def call(self, call: Call) -> Answer:
        """The answer to a call, once the state that it is based on is committed or confirmed.

        After ``NotPrimary`` and ``NotConfirmed`` the call has not taken effect and never will. After
        ``OutcomeUnknown`` it may or may not have taken effect.
        """
        if self.state_machine is None:
            raise self._not_primary()
        if len(self._queue) >= MAX_QUEUED_CALLS:
            return LimitReached(f"limit of {MAX_QUEUED_CALLS} queued calls reached")
        pending = PendingCall(call)
        self._queue.append(pending)
        self._calls_available.set()
        try:
            with trio.move_on_after(CALL_TIMEOUT_SECONDS):
                await pending.finished.wait()
        finally:
            if pending.applied is None and not pending.finished.is_set():
                self._queue.remove(pending)
        if pending.error is not None:
            raise pending.error
        if pending.answer is None:
            raise pending.unconfirmed_error()
        return pending.answer

    async def watch(self, group: str, after: int, wait_seconds: float) -> Events | HistoryDropped | LimitReached:
        """The puts of a group after a revision, as soon as there is one; none after ``wait_seconds``.

        Raises the same errors as ``call``.
        """
        deadline = trio.current_time() + wait_seconds
        answer = await self._read_events(group, after)
        if not after or not isinstance(answer, Events) or answer.events or self.state_machine is None:
            return answer
        committed = self.state_machine.committed_events(group, after)
        if not isinstance(committed, Events) or committed.events:
            return committed  # a put was committed together with the read or right after it
        if not self.watches.has_capacity():
            return LimitReached("limit of waiting watches reached")
        found = await self.watches.wait(group, after, deadline)
        return await self._read_events(group, after) if found is None else found

    async def _read_events(self, group: str, after: int) -> Events | HistoryDropped | LimitReached:
        answer = await self.call(ReadEvents(group, after))
        assert isinstance(answer, Events | HistoryDropped | LimitReached)
        return answer

    # batches

    async def run(self) -> None:
        """Serve the queued calls in batches until cancelled."""
        while True:
            await self._calls_available.wait()
            self._calls_available = trio.Event()
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
        except NotPrimary as error:  # the role ended before the state was proposed
            self._fail(batch, error)
            return
        if not succeeded:
            for pending in batch:
                pending.fail(pending.unconfirmed_error())
            return
        self.batches += 1
        self.calls += len(batch)
        self._answer(state_machine, batch)

    async def _confirm(self, state_machine: CoordinationStateMachine, batch: list[PendingCall], now: float) -> bool:
        """Commit the changes of a batch or confirm leadership. Returns whether the answers are valid."""
        if any(pending.applied is not None and pending.applied.effect is Effect.STATE for pending in batch):
            return await self.replica_runner.commit(state_machine.pack(now), self._role_changes)
        while not await self.replica_runner.confirm():
            if self.state_machine is not state_machine:
                return False
        return self.state_machine is state_machine

    def _answer(self, state_machine: CoordinationStateMachine, batch: list[PendingCall]) -> None:
        changed_groups = state_machine.mark_committed()
        for pending in batch:
            if pending.applied is not None:
                pending.complete(pending.applied.answer)
        for group in changed_groups:
            self.watches.notify(group, state_machine.committed_events)

    @staticmethod
    def _fail(batch: Iterable[PendingCall], error: Exception) -> None:
        for pending in batch:
            pending.fail(error)
