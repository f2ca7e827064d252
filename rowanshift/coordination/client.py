"""Calls the coordination service at any of its machines, and repeats what got no clear answer.

Every call may be repeated: a holder gets its lock again, a put is known by its value, and a number that nobody saw
leaves a gap.
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

REPEAT_SECONDS = 6.0  # for which a call without a clear answer is sent again, if not told otherwise
FIRST_BACKOFF_SECONDS = 0.05  # doubled from try to try
LONGEST_BACKOFF_SECONDS = 1.0
LOCK_POLL_SECONDS = 0.2  # between two tries for a lock that another holds
RELEASE_SECONDS = 1.0  # for giving a lock back
WATCH_WAIT_MS = 20_000
RESPONSE_MEMORY_MIB = 64
TRANSIENT_STATUSES = (REDIRECT, 408, 429)  # and all from 500 on


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key's value and the revision of its put."""

    value: str
    revision: int


class CoordinationClient:
    """Calls for locks, numbers and keys. ``addresses`` are of the machines' control API, in any order."""

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
        """Hold a lock for the time of a block, which is cancelled once the hold has ended by this machine's clock.

        An election is a lock that is held long. Raises ``LockNotFree`` after ``wait_seconds``, and ``LockWasLost``
        where the hold ended before the block.
        """
        hold = await self._take(lock, holder, hold_seconds, wait_seconds)
        error: Exception | None = None
        has_ended = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.cancel_scope.deadline = hold.ends_at
                nursery.start_soon(renew, hold, self.call, nursery.cancel_scope)
                try:
                    yield hold
                    has_ended = True
                except Exception as raised:  # out of the nursery by itself, not within a group
                    error, has_ended = raised, True
                nursery.cancel_scope.cancel()
        finally:
            with trio.move_on_after(RELEASE_SECONDS, shield=True):
                await self._release(hold)
        if error is not None:
            raise error
        if not has_ended:
            raise LockWasLost(f"the hold of {lock} ended before its block")

    async def _take(self, lock: str, holder: str, hold_seconds: float, wait_seconds: float) -> LockHold:
        until = trio.current_time() + wait_seconds
        while True:
            sent_at = trio.current_time()
            answer = await self.call(TakeLock(lock, holder, int(1000 * hold_seconds)))
            ends_at = sent_at + hold_seconds
            if isinstance(answer, LockTaken) and trio.current_time() < ends_at:
                return LockHold(lock, holder, answer.token, hold_seconds, ends_at)
            if trio.current_time() >= until:
                raise LockNotFree(f"{lock} was held by another for {wait_seconds:g} s")
            await trio.sleep(LOCK_POLL_SECONDS)

    async def _release(self, hold: LockHold) -> None:
        try:
            await self.call(ReleaseLock(hold.lock, hold.holder, hold.token))
        except Unavailable:
            return  # it is free once its time is over

    # numbers and keys

    async def next_number(self, name: str) -> int:
        """A number above all those given under this name."""
        answer = await self.call(NextNumber(name))
        assert isinstance(answer, NumberGiven)
        return answer.value

    async def read(self, key: str) -> KeyValue | None:
        """A key's value and revision; None where it was never put."""
        answer = await self.call(ReadKey(key))
        return KeyValue(answer.value, answer.revision) if isinstance(answer, KeyFound) else None

    async def put(self, key: str, value: str, expected_revision: int | None = None) -> int:
        """Set a key and return its revision. ``expected_revision``: that it must have, 0 if it must not be there.

        Values must be unique for each key: a put with the same value is taken for the same put. Raises ``PutConflict``.
        """
        answer = await self.call(PutKey(key, value, expected_revision))
        if isinstance(answer, RevisionConflict):
            raise PutConflict(key, answer.revision)
        assert isinstance(answer, KeyPut)
        return answer.revision

    async def watch(self, group: str, after: int = 0) -> AsyncIterator[PutEvent]:
        """The puts of a group after a revision, 0 for the present one, in their order and without an end.

        It goes on over takeovers without a gap. In a group that has had no put, the first is not seen: 0 asks for no
        events. Raises ``HistoryGone``.
        """
        while True:
            answer = await self.call(ReadEvents(group, after))
            if isinstance(answer, HistoryDropped):
                raise HistoryGone(f"puts of {group} after {after} are no longer kept")
            assert isinstance(answer, Events)
            for event in answer.events:
                yield event
            if not answer.revision:  # nothing was ever put, and 0 asks for no events
                await trio.sleep(LONGEST_BACKOFF_SECONDS)
            after = answer.revision

    # calls

    async def call(self, asked: Call) -> Answer:
        """The answer to a call, which is repeated until it is clear. Raises ``Refused`` and ``Unavailable``."""
        until, backoff = trio.current_time() + self.repeat_seconds, FIRST_BACKOFF_SECONDS
        while True:
            answer = await self._try(asked)
            if answer is not None:
                return answer
            if trio.current_time() >= until:
                raise Unavailable(f"{asked} got no clear answer in {self.repeat_seconds:g} s")
            await trio.sleep(backoff * (0.5 + self.random_source.random()))
            backoff = min(2 * backoff, LONGEST_BACKOFF_SECONDS)

    async def _try(self, asked: Call) -> Answer | None:
        """The answer of one machine; None where it isn't clear. Raises ``Refused``."""
        address = self.random_source.choice(self.addresses)
        written = http_call(asked, WATCH_WAIT_MS)
        try:
            response = await follow_redirects(self.runtime, self.memory, address, written)
        except CallFailed:
            return None
        answer = answer_of(asked, response.status, response.body)
        if answer is None and response.status < 500 and response.status not in TRANSIENT_STATUSES:
            raise Refused(response.status, _reason(response))
        return answer


def _reason(response: Message) -> str:
    try:
        return str(orjson.loads(response.body)["error"])
    except (ValueError, KeyError, TypeError):
        return "no reason was given"
