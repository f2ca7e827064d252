"""Reads the bodies and targets of coordination calls, and checks each field against its limit. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote_to_bytes

import msgspec

from rowanshift.controlplane.coordination import limits


class InvalidCall(ValueError):
    """A call that is answered 400; the text names the field and the reason."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason


class LockBody(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The body of a call for a lock; which fields a call needs is checked with it."""

    lease_holder: str
    hold_ms: int | None = None
    fence_token: int | None = None


class PutBody(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The body of a put."""

    value: str
    expected_count: int | None = None


@dataclass(frozen=True, slots=True)
class WatchQuery:
    """The query of a watch."""

    after: int
    wait_seconds: float


def name_in(target: bytes) -> str:
    """The name after the resource's own segment of a path. Raises ``InvalidCall``."""
    path = target.partition(b"?")[0]
    quoted = path[1:].partition(b"/")[2]
    try:
        name = unquote_to_bytes(quoted).decode()
    except UnicodeDecodeError as error:
        raise InvalidCall("path", "a name in UTF-8 expected") from error
    return _checked_text(name, "path", limits.MAX_NAME_BYTES)


def lock_body(body: bytes) -> LockBody:
    """The body of a call for a lock. Raises ``InvalidCall``."""
    decoded: LockBody = _decode(body, LockBody)
    _checked_text(decoded.lease_holder, "leaseHolder", limits.MAX_NAME_BYTES)
    return decoded


def required_hold_ms(body: LockBody) -> int:
    """The time of a hold. Raises ``InvalidCall``."""
    return _checked_number(body.hold_ms, "holdMs", 1, limits.MAX_HOLD_MS)


def required_token(body: LockBody) -> int:
    """The fencing token of a hold. Raises ``InvalidCall``."""
    return _checked_number(body.fence_token, "fenceToken", 0, limits.MAX_INTEGER)


def put_body(body: bytes) -> PutBody:
    """The body of a put. Raises ``InvalidCall``."""
    decoded: PutBody = _decode(body, PutBody)
    if len(decoded.value.encode()) > limits.MAX_VALUE_BYTES:
        raise InvalidCall("value", f"{limits.MAX_VALUE_BYTES} bytes at most")
    if decoded.expected_count is not None:
        _checked_number(decoded.expected_count, "expectedCount", 0, limits.MAX_INTEGER)
    return decoded


def watch_query(target: bytes) -> WatchQuery:
    """The query of a watch. Raises ``InvalidCall``."""
    fields = dict(parse_qsl(target.partition(b"?")[2].decode("latin-1")))
    after = _checked_number(_integer(fields.get("after", "0")), "after", 0, limits.MAX_INTEGER)
    wait_ms = _checked_number(_integer(fields.get("waitMs", "0")), "waitMs", 0, limits.MAX_INTEGER)
    return WatchQuery(after, min(wait_ms, limits.MAX_WATCH_WAIT_MS) / 1000)


def _integer(text: str) -> int | None:
    is_number = text.isascii() and text.isdigit() and len(text) <= limits.MAX_INTEGER_DIGITS
    return int(text) if is_number else None


def _decode(body: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidCall("body", str(error)) from error


def _checked_text(text: str, place: str, max_bytes: int) -> str:
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        raise InvalidCall(place, "text in Unicode expected") from error
    if not 0 < size <= max_bytes:
        raise InvalidCall(place, f"1 to {max_bytes} bytes expected")
    return text


def _checked_number(number: int | None, place: str, least: int, most: int) -> int:
    if number is None or not least <= number <= most:
        raise InvalidCall(place, f"a whole number from {least} to {most} expected")
    return number
