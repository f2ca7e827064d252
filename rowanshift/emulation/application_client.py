"""A caller of the core machines for locks, numbers and keys, which records each call with its answer.

Times are in seconds by the clock that it is given.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import orjson

from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyMissing,
    KeyPut,
    LockHeld,
    LockLost,
    LockReleased,
    LockRenewed,
    LockTaken,
    NextNumber,
    NumberGiven,
    PutEvent,
    PutKey,
    ReadEvents,
    ReadKey,
    ReleaseLock,
    RenewLock,
    RevisionConflict,
    TakeLock,
)
from rowanshift.invariants.coordination_facts import CoordinationAnswered, CoordinationAsked
from rowanshift.invariants.facts import Fact
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.http_connection import Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

CALL_SECONDS = 1.0  # without an answer, after which a caller goes to another machine
REPEAT_SECONDS = 6.0  # for which a call without a clear answer is sent again
RETRY_SECONDS = 0.1  # between two calls
MAX_REDIRECTS = 2
WATCH_WAIT_MS = 1000
UNSETTLED = (0, 307, 408, 429, 500, 502, 503, 504)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A call on the wire."""

    method: bytes
    target: bytes
    body: bytes = b""
    timeout_seconds: float = CALL_SECONDS


def http_call(asked: Call) -> HttpCall:
    """How a call is written."""
    match asked:
        case TakeLock(lock, holder, hold_ms):
            return HttpCall(b"POST", _path("locks", lock), orjson.dumps({"leaseHolder": holder, "holdMs": hold_ms}))
        case RenewLock(lock, holder, token, hold_ms):
            body = {"leaseHolder": holder, "fenceToken": token, "holdMs": hold_ms}
            return HttpCall(b"PUT", _path("locks", lock), orjson.dumps(body))
        case ReleaseLock(lock, holder, token):
            body = {"leaseHolder": holder, "fenceToken": token}
            return HttpCall(b"DELETE", _path("locks", lock), orjson.dumps(body))
        case NextNumber(name):
            return HttpCall(b"POST", _path("numbers", name), b"{}")
        case PutKey(key, value, expected):
            put = {"value": value} if expected is None else {"value": value, "expectedCount": expected}
            return HttpCall(b"PUT", _path("cells", key), orjson.dumps(put))
        case ReadKey(key):
            return HttpCall(b"GET", _path("cells", key))
        case ReadEvents(group, after):
            target = _path("watch", group) + b"?after=%d&waitMs=%d" % (after, WATCH_WAIT_MS)
            return HttpCall(b"GET", target, timeout_seconds=CALL_SECONDS + WATCH_WAIT_MS / 1000)


def _path(resource: str, name: str) -> bytes:
    return f"/{resource}/{name}".encode()


def answer_of(asked: Call, status: int, body: bytes) -> Answer | None:
    """What an answer says; None where it says nothing of the call's outcome."""
    data: dict[str, Any] = orjson.loads(body) if body else {}
    match asked:
        case TakeLock() | RenewLock() | ReleaseLock():
            return _lock_answer(asked, status, data)
        case NextNumber():
            return NumberGiven(data["value"]) if status == 200 else None
        case PutKey() | ReadKey():
            return _key_answer(asked, status, data)
        case ReadEvents():
            return _watch_answer(status, data)


def _lock_answer(asked: TakeLock | RenewLock | ReleaseLock, status: int, data: dict[str, Any]) -> Answer | None:
    match asked, status:
        case TakeLock(), 200:
            return LockTaken(data["fenceToken"])
        case TakeLock(), 409:
            return LockHeld()
        case RenewLock(), 200:
            return LockRenewed()
        case RenewLock(), 409:
            return LockLost()
        case ReleaseLock(), 200:
            return LockReleased()
    return None


def _key_answer(asked: PutKey | ReadKey, status: int, data: dict[str, Any]) -> Answer | None:
    match asked, status:
        case PutKey(), 200:
            return KeyPut(data["modRevision"])
        case PutKey(), 412:
            return RevisionConflict(data["modRevision"])
        case ReadKey(), 200:
            return KeyFound(data["value"], data["modRevision"])
        case ReadKey(), 404:
            return KeyMissing()
    return None


def _watch_answer(status: int, data: dict[str, Any]) -> Answer | None:
    if status == 200:
        events = (PutEvent(event["name"], event["value"], event["modRevision"]) for event in data["events"])
        return Events(tuple(events), data["modRevision"])
    return HistoryDropped() if status == 410 else None


@dataclass
class Application:
    """One caller. ``controls`` are the addresses of the core machines' API, as they are at any time."""

    host: Runtime
    name: str
    now: Callable[[], float]
    facts: list[Fact]
    controls: Sequence[Address]
    random_source: random.Random
    memory: MemoryBudget = field(default_factory=lambda: MemoryBudget(64))
    calls: int = 0
    settled: int = 0  # calls that got an answer
    given_up: list[Call] = field(default_factory=list)  # that got no clear answer in time

    async def ask(self, asked: Call) -> Answer | None:
        """The answer to a call, which is sent again until it is settled or ``REPEAT_SECONDS`` are over."""
        until = self.now() + REPEAT_SECONDS
        while True:
            status, answer = await self._ask_once(asked)
            if answer is not None or status not in UNSETTLED:
                self.settled += 1
                return answer
            if self.now() >= until:
                self.given_up.append(asked)
                return None
            await self.host.pause(RETRY_SECONDS * (0.5 + self.random_source.random()))

    async def _ask_once(self, asked: Call) -> tuple[int, Answer | None]:
        """One call, with its redirects: the last status, 0 for none, and the answer."""
        self.calls += 1
        id = f"{self.name}-{self.calls}"
        address, written, status, body = self.random_source.choice(self.controls), http_call(asked), 0, b""
        self.facts.append(CoordinationAsked(self.now(), id, asked))
        for _ in range(MAX_REDIRECTS + 1):
            try:
                message = await call(
                    self.host,
                    self.memory,
                    address,
                    written.method,
                    written.target,
                    written.body,
                    timeout_seconds=written.timeout_seconds,
                )
            except CallFailed:
                return 0, None
            status, body = message.status, message.body
            if status != 307:
                break
            address = _location(message)
        answer = answer_of(asked, status, body)
        self.facts.append(CoordinationAnswered(self.now(), id, status, answer))
        return status, answer


def _location(message: Message) -> Address:
    text = dict(message.fields)[b"location"].decode()
    parts = urlsplit(text)
    return parts.hostname or "", parts.port or 0
