"""HTTP resources of a core machine for the applications' locks, numbers and keys, one handler object per resource.

Only the primary of the coordination state answers; other machines redirect to it. The statuses 400, 404, 405, 409, 412,
429 and 503 mean that the call has not taken effect and never will; 504 means that its outcome is unknown.
"""

from __future__ import annotations

import orjson

from rowanshift.controlplane.api import RETRY_LATER, RETRY_SOON, PrimaryResource
from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyMissing,
    KeyPut,
    LimitReached,
    LockHeld,
    LockLost,
    LockTaken,
    NextNumber,
    NumberGiven,
    PutKey,
    ReadKey,
    ReleaseLock,
    RenewLock,
    RevisionConflict,
    TakeLock,
)
from rowanshift.controlplane.coordination_requests import (
    InvalidCall,
    name_from_target,
    parse_lock_body,
    parse_put_body,
    parse_watch_query,
    required_hold_ms,
    required_token,
)
from rowanshift.controlplane.coordination_runner import CoordinationRunner
from rowanshift.controlplane.errors import OutcomeUnknown
from rowanshift.transport.http_connection import Message
from rowanshift.transport.http_response import Response, error_body

LOCKS_PATH, NUMBERS_PATH, KEYS_PATH, WATCH_PATH = b"/locks/", b"/numbers/", b"/cells/", b"/watch/"


class CoordinationResource(PrimaryResource):
    """A resource of the coordination service."""

    def __init__(self, coordination: CoordinationRunner, machine: int, port: int) -> None:
        super().__init__(coordination.replica_runner, machine, port)
        self.coordination = coordination

    async def serve(self, message: Message) -> Response:
        """The response to a call: 400 if it is malformed, 504 if its outcome is unknown."""
        try:
            return await self.serve_call(message)
        except InvalidCall as error:
            return Response(400, error_body(str(error)))
        except OutcomeUnknown as error:
            return Response(504, error_body(str(error)), RETRY_SOON)

    async def serve_call(self, message: Message) -> Response:
        """The response to a call. Raises ``InvalidCall`` and ``OutcomeUnknown``."""
        raise NotImplementedError

    async def answer(self, call: Call) -> Response:
        """Carry out a call and return its response."""
        return response_for(await self.coordination.call(call))


class LockResource(CoordinationResource):
    """``/locks/ID``: acquires a lock with POST, renews it with PUT, releases it with DELETE."""

    async def serve_call(self, message: Message) -> Response:
        """200, or 409 if another holder may have the lock or the caller has lost it."""
        if message.method not in (b"POST", b"PUT", b"DELETE"):
            return Response(405, error_body("method not allowed: POST, PUT or DELETE expected"))
        lock, body = name_from_target(message.target), parse_lock_body(message.body)
        if message.method == b"POST":
            return await self.answer(TakeLock(lock, body.lease_holder, required_hold_ms(body)))
        token = required_token(body)
        if message.method == b"DELETE":
            return await self.answer(ReleaseLock(lock, body.lease_holder, token))
        return await self.answer(RenewLock(lock, body.lease_holder, token, required_hold_ms(body)))


class NumberResource(CoordinationResource):
    """``/numbers/ID``: issues increasing numbers."""

    async def serve_call(self, message: Message) -> Response:
        """200 with the number."""
        if message.method != b"POST":
            return Response(405, error_body("method not allowed: POST expected"))
        return await self.answer(NextNumber(name_from_target(message.target)))


class KeyResource(CoordinationResource):
    """``/cells/ID``: reads or puts a key."""

    async def serve_call(self, message: Message) -> Response:
        """200, 404 if the key does not exist, or 412 if its revision is not the one that a put expects."""
        if message.method == b"GET":
            return await self.answer(ReadKey(name_from_target(message.target)))
        if message.method != b"PUT":
            return Response(405, error_body("method not allowed: GET or PUT expected"))
        body = parse_put_body(message.body)
        return await self.answer(PutKey(name_from_target(message.target), body.value, body.expected_count))


class WatchResource(CoordinationResource):
    """``/watch/GROUP``: waits for puts in a group after a revision."""

    async def serve_call(self, message: Message) -> Response:
        """200 with the puts, with none if the wait has timed out, or 410 if the revision is too old."""
        if message.method != b"GET":
            return Response(405, error_body("method not allowed: GET expected"))
        query = parse_watch_query(message.target)
        return response_for(
            await self.coordination.watch(name_from_target(message.target), query.after, query.wait_seconds)
        )


def response_for(answer: Answer) -> Response:
    """The HTTP response for an answer."""
    match answer:
        case LockTaken(token):
            return Response(200, b'{"fenceToken":%d}' % token)
        case LockHeld():
            return Response(409, error_body("another may hold the lock"))
        case LockLost():
            return Response(409, error_body("the lock is lost"))
        case NumberGiven(value):
            return Response(200, b'{"value":%d}' % value)
        case KeyPut(revision):
            return Response(200, b'{"modRevision":%d}' % revision)
        case RevisionConflict(revision):
            return Response(412, b'{"modRevision":%d}' % revision)
        case KeyFound(value, revision):
            return Response(200, orjson.dumps({"value": value, "modRevision": revision}))
        case KeyMissing():
            return Response(404, error_body("no such key"))
        case Events():
            return Response(200, events_body(answer))
        case HistoryDropped():
            return Response(410, error_body("puts after this revision are no longer kept"))
        case LimitReached(reason):
            return Response(429, error_body(reason), RETRY_LATER)
    return Response(200, b"{}")


def events_body(answer: Events) -> bytes:
    """The body of a response to a watch."""
    events = [{"name": event.key, "value": event.value, "modRevision": event.revision} for event in answer.events]
    return orjson.dumps({"events": events, "modRevision": answer.revision})


def coordination_resources(
    coordination: CoordinationRunner, machine: int, port: int
) -> dict[bytes, CoordinationResource]:
    """The resources of the service, by path prefix."""
    return {
        LOCKS_PATH: LockResource(coordination, machine, port),
        NUMBERS_PATH: NumberResource(coordination, machine, port),
        KEYS_PATH: KeyResource(coordination, machine, port),
        WATCH_PATH: WatchResource(coordination, machine, port),
    }
