"""The HTTP form of coordination calls and their answers: paths, bodies and statuses. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

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

CALL_TIMEOUT_SECONDS = 1.0  # after which the caller tries another machine
DEFAULT_WATCH_WAIT_MS = 1000


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A call as an HTTP request."""

    method: bytes
    target: bytes
    body: bytes = b""
    timeout_seconds: float = CALL_TIMEOUT_SECONDS


def http_call(call: Call, watch_wait_ms: int = DEFAULT_WATCH_WAIT_MS) -> HttpCall:
    """The HTTP request of a call; a watch requests to wait for ``watch_wait_ms``."""
    match call:
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
            target = _path("watch", group) + b"?after=%d&waitMs=%d" % (after, watch_wait_ms)
            return HttpCall(b"GET", target, timeout_seconds=CALL_TIMEOUT_SECONDS + watch_wait_ms / 1000)


def _path(resource: str, name: str) -> bytes:
    return f"/{resource}/{quote(name, safe='')}".encode()


def answer_of(call: Call, status: int, body: bytes) -> Answer | None:
    """Parse the answer to a call; None if the response does not tell the call's outcome."""
    data: dict[str, Any] = orjson.loads(body) if body else {}
    match call:
        case TakeLock() | RenewLock() | ReleaseLock():
            return _lock_answer(call, status, data)
        case NextNumber():
            return NumberGiven(data["value"]) if status == 200 else None
        case PutKey() | ReadKey():
            return _key_answer(call, status, data)
        case ReadEvents():
            return _watch_answer(status, data)


def _lock_answer(call: TakeLock | RenewLock | ReleaseLock, status: int, data: dict[str, Any]) -> Answer | None:
    match call, status:
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


def _key_answer(call: PutKey | ReadKey, status: int, data: dict[str, Any]) -> Answer | None:
    match call, status:
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
