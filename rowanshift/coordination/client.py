"""Sends calls to any machine of the coordination service and repeats those without a conclusive answer.

Every call may be repeated: a holder acquires its lock again, a repeated put is recognized by its value, and a number
whose answer was lost leaves a gap.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from math import inf

import orjson
import trio

from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyPut,
    LockTaken,
    NextNumber,
    NumberGiven,
    PutEvent,
    PutKey,
    ReadEvents,
    ReadKey,
    ReleaseLock,
    RevisionConflict,
    TakeLock,
)
from rowanshift.coordination.errors import HistoryGone, LockNotFree, LockWasLost, PutConflict, Refused, Unavailable
from rowanshift.coordination.http_calls import answer_of, http_call
from rowanshift.coordination.lock import LockHold, renew
from rowanshift.coordination.redirects import REDIRECT, follow_redirects
from rowanshift.transport.call_client import CallFailed
from rowanshift.transport.http_connection import Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime
from rowanshift.transport.streams import Address

REPEAT_SECONDS = 6.0  # default period in which a call without a conclusive answer is repeated
INITIAL_BACKOFF_SECONDS = 0.05  # doubled after each attempt
MAX_BACKOFF_SECONDS = 1.0
LOCK_POLL_SECONDS = 0.2  # interval between attempts to acquire a lock that another holder has
RELEASE_TIMEOUT_SECONDS = 1.0
WATCH_WAIT_MS = 20_000
RESPONSE_MEMORY_MIB = 64
TRANSIENT_STATUSES = (REDIRECT, 408, 429)  # the call is repeated, as it is after every status from 500 up


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key's value and the revision at which it was put."""

    value: str
    revision: int


class CoordinationClient:
    """Client for locks, numbers and keys. ``addresses`` are those of the machines' control API, in any order."""

    def __init__(
        self,
        addresses: Sequence[Address],
        runtime: Runtime = SYSTEM_RUNTIME,
        repeat_seconds: float = REPEAT_SECONDS,
        random_source: random.Random | None = None,
    ) -> None:
        self.addresses = list(addresses)
        self.runtime = runtime
        self.repeat_seconds = repeat_seconds
        self.random_source = random_source or random.Random()
        self.memory = MemoryBudget(RESPONSE_MEMORY_MIB)

    # locks

    @asynccontextmanager
    async def lock(
        self, lock: str, holder: str, hold_seconds: float, wait_seconds: float = inf
    ) -> AsyncIterator[LockHold]:
        """Hold a lock during a block, which is cancelled when the hold ends by the local clock.

        For a leader election, hold a lock for as long as the leadership lasts. Raises ``LockNotFree`` after
        ``wait_seconds``, and ``LockWasLost`` if the hold ended before the block.
        """
        hold = await self._acquire(lock, holder, hold_seconds, wait_seconds)
        error: Exception | None = None
        has_ended = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.cancel_scope.deadline = hold.ends_at
                nursery.start_soon(renew, hold, self.call, nursery.cancel_scope)
                try:
                    yield hold
                    has_ended = True
                except Exception as raised:  # re-raised outside of the nursery, which would wrap it in a group
                    error, has_ended = raised, True
                nursery.cancel_scope.cancel()
        finally:
            with trio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
                await self._release(hold)
        if error is not None:
            raise error
        if not has_ended:
            raise LockWasLost(f"the hold of lock {lock} ended before its block")

    async def _acquire(self, lock: str, holder: str, hold_seconds: float, wait_seconds: float) -> LockHold:
        deadline = trio.current_time() + wait_seconds
        while True:
            sent_at = trio.current_time()
            answer = await self.call(TakeLock(lock, holder, int(1000 * hold_seconds)))
            ends_at = sent_at + hold_seconds
            if isinstance(answer, LockTaken) and trio.current_time() < ends_at:
                return LockHold(lock, holder, answer.token, hold_seconds, ends_at)
            if trio.current_time() >= deadline:
                raise LockNotFree(f"lock {lock} was not acquired within {wait_seconds:g} s")
            await trio.sleep(LOCK_POLL_SECONDS)

    async def _release(self, hold: LockHold) -> None:
        try:
            await self.call(ReleaseLock(hold.lock, hold.holder, hold.token))
        except Unavailable:
            return  # the hold expires

    # numbers and keys

    async def next_number(self, name: str) -> int:
        """A number above all that were issued under this name."""
        answer = await self.call(NextNumber(name))
        assert isinstance(answer, NumberGiven)
        return answer.value

    async def read(self, key: str) -> KeyValue | None:
        """A key's value and revision; None if it does not exist."""
        answer = await self.call(ReadKey(key))
        return KeyValue(answer.value, answer.revision) if isinstance(answer, KeyFound) else None

    async def put(self, key: str, value: str, expected_revision: int | None = None) -> int:
        """Set a key and return its revision.

        If ``expected_revision`` is given, the key must have it; 0 means that the key must not exist. The values of a
        key must be unique: a put with an earlier value counts as a repetition of that put. Raises ``PutConflict``.
        """
        answer = await self.call(PutKey(key, value, expected_revision))
        if isinstance(answer, RevisionConflict):
            raise PutConflict(key, answer.revision)
        assert isinstance(answer, KeyPut)
        return answer.revision

    async def watch(self, group: str, after: int = 0) -> AsyncIterator[PutEvent]:
        """Iterate without end over the puts of a group after a revision, in order; 0 stands for the current one.

        The iteration continues across takeovers without a gap. In a group without any put so far, the first put is not
        reported, as 0 requests no events. Raises ``HistoryGone``.
        """
        while True:
            answer = await self.call(ReadEvents(group, after))
            if isinstance(answer, HistoryDropped):
                raise HistoryGone(f"group {group}: the history no longer covers all puts after revision {after}")
            assert isinstance(answer, Events)
            for event in answer.events:
                yield event
            if not answer.revision:  # the group has no puts yet, and 0 requests no events
                await trio.sleep(MAX_BACKOFF_SECONDS)
            after = answer.revision

    # calls

    async def call(self, asked: Call) -> Answer:
        """The answer to a call, which is repeated until it is conclusive. Raises ``Refused`` and ``Unavailable``."""
        deadline, backoff = trio.current_time() + self.repeat_seconds, INITIAL_BACKOFF_SECONDS
        while True:
            answer = await self._call_once(asked)
            if answer is not None:
                return answer
            if trio.current_time() >= deadline:
                raise Unavailable(f"no conclusive answer to {asked} within {self.repeat_seconds:g} s")
            await trio.sleep(backoff * (0.5 + self.random_source.random()))
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _call_once(self, call: Call) -> Answer | None:
        """The answer of one machine; None if it is not conclusive. Raises ``Refused``."""
        address = self.random_source.choice(self.addresses)
        request = http_call(call, WATCH_WAIT_MS)
        try:
            response = await follow_redirects(self.runtime, self.memory, address, request)
        except CallFailed:
            return None
        answer = answer_of(call, response.status, response.body)
        if answer is None and response.status < 500 and response.status not in TRANSIENT_STATUSES:
            raise Refused(response.status, _error_reason(response))
        return answer


def _error_reason(response: Message) -> str:
    try:
        return str(orjson.loads(response.body)["error"])
    except (ValueError, KeyError, TypeError):
        return "no reason given"
