"""Parses the bodies and targets of coordination calls and checks each field against its limit. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote_to_bytes

import msgspec

from rowanshift.controlplane.coordination import limits


class InvalidCall(ValueError):
    """A malformed call, to be answered 400; the text names the field and the reason."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason


class LockBody(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The body of a lock call. Which of the optional fields are required depends on the call."""

    lease_holder: str
    hold_ms: int | None = None
    fence_token: int | None = None


class PutBody(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """The body of a put."""

    value: str
    expected_count: int | None = None


@dataclass(frozen=True, slots=True)
class WatchQuery:
    """The query parameters of a watch."""

    after: int
    wait_seconds: float


def name_from_target(target: bytes) -> str:
    """The name that follows the resource's path segment. Raises ``InvalidCall``."""
    path = target.partition(b"?")[0]
    quoted = path[1:].partition(b"/")[2]
    try:
        name = unquote_to_bytes(quoted).decode()
    except UnicodeDecodeError as error:
        raise InvalidCall("path", "a name encoded in UTF-8 expected") from error
    return _validated_text(name, "path", limits.MAX_NAME_BYTES)


def parse_lock_body(body: bytes) -> LockBody:
    """Parse the body of a lock call. Raises ``InvalidCall``."""
    decoded: LockBody = _decode(body, LockBody)
    _validated_text(decoded.lease_holder, "leaseHolder", limits.MAX_NAME_BYTES)
    return decoded


def required_hold_ms(body: LockBody) -> int:
    """The requested duration of a hold. Raises ``InvalidCall``."""
    return _validated_integer(body.hold_ms, "holdMs", 1, limits.MAX_HOLD_MS)


def required_token(body: LockBody) -> int:
    """The fencing token of a hold. Raises ``InvalidCall``."""
    return _validated_integer(body.fence_token, "fenceToken", 0, limits.MAX_INTEGER)


def parse_put_body(body: bytes) -> PutBody:
    """Parse the body of a put. Raises ``InvalidCall``."""
    decoded: PutBody = _decode(body, PutBody)
    if len(decoded.value.encode()) > limits.MAX_VALUE_BYTES:
        raise InvalidCall("value", f"at most {limits.MAX_VALUE_BYTES} bytes expected")
    if decoded.expected_count is not None:
        _validated_integer(decoded.expected_count, "expectedCount", 0, limits.MAX_INTEGER)
    return decoded


def parse_watch_query(target: bytes) -> WatchQuery:
    """Parse the query of a watch. Raises ``InvalidCall``."""
    fields = dict(parse_qsl(target.partition(b"?")[2].decode("latin-1")))
    after = _validated_integer(_parse_integer(fields.get("after", "0")), "after", 0, limits.MAX_INTEGER)
    wait_ms = _validated_integer(_parse_integer(fields.get("waitMs", "0")), "waitMs", 0, limits.MAX_INTEGER)
    return WatchQuery(after, min(wait_ms, limits.MAX_WATCH_WAIT_MS) / 1000)


def _parse_integer(text: str) -> int | None:
    is_number = text.isascii() and text.isdigit() and len(text) <= limits.MAX_INTEGER_DIGITS
    return int(text) if is_number else None


def _decode(body: bytes, body_type: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidCall("body", str(error)) from error


def _validated_text(text: str, place: str, max_bytes: int) -> str:
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        raise InvalidCall(place, "valid Unicode text expected") from error
    if not 0 < size <= max_bytes:
        raise InvalidCall(place, f"1 to {max_bytes} bytes expected")
    return text


def _validated_integer(number: int | None, place: str, minimum: int, maximum: int) -> int:
    if number is None or not minimum <= number <= maximum:
        raise InvalidCall(place, f"a whole number from {minimum} to {maximum} expected")
    return number
