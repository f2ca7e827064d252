"""The replicated state of the control plane: the configuration, the named versions, the orders taken.

A state is kept and sent whole, as bytes. What changes it are pure functions: they return the state that would
follow and raise typed errors, and know nothing of disks, epochs or time.

The bytes, big-endian: ``HEAD`` (magic, format, revision, length of the configuration, number of versions, number of
orders taken, highest revision forgotten), the configuration's body, each version as ``VERSION`` (length of the
model's name, revision) and the name in UTF-8, each order as ``order_history.ENTRY``. Format 1 had no revision
forgotten, and whole digests of 64 orders; it is read, and written anew in format 2 with the next change. No bytes at
all are the empty state.
"""

from dataclasses import dataclass, field, replace
from struct import Struct
from struct import error as StructError
from typing import Any

from rowanshift.controlplane.change_errors import MOST_REVISION
from rowanshift.controlplane.order_history import ENTRY, FINGERPRINT, MOST_ORDERS, NO_ORDERS, OrderHistory

MAGIC = b"RSSH"
FORMAT = 2
PREFIX = Struct(">4sH")  # magic, format
HEAD = Struct(">4sHQIIIQ")
HEAD_OF_FORMAT_1 = Struct(">4sHQIIH")
ORDER_OF_FORMAT_1 = Struct(">Q32s")
VERSION = Struct(">HQ")
MOST_NAME = 65535  # bytes


class BadControlState(ValueError):
    """Bytes that are no control state; the text says why."""


class InvalidVersion(ValueError):
    """A named version that must be answered 400: ``place`` says which field, ``reason`` why."""

    status = 400

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ControlState:
    """The control state. It and what it holds are never changed in place.

    ``config`` is the operator's body as it was sent, or as a patch has made it, ``versions`` the newest named version
    of each model, and ``orders`` the configurations and patches taken.
    """

    revision: int = 0  # 0: no configuration yet
    config: bytes = b""
    versions: dict[str, int] = field(default_factory=dict)
    orders: OrderHistory = NO_ORDERS

    def pack(self) -> bytes:
        """The state as bytes."""
        counts = len(self.config), len(self.versions), len(self.orders)
        parts = [HEAD.pack(MAGIC, FORMAT, self.revision, *counts, self.orders.forgotten), self.config]
        for model, revision in sorted(self.versions.items()):
            name = model.encode()
            parts += VERSION.pack(len(name), revision), name
        parts.append(self.orders.entries)
        return b"".join(parts)


def unpack(packed: bytes) -> ControlState:
    """The state in ``packed``. Raises ``BadControlState``."""
    if not packed:
        return ControlState()
    try:
        magic, version = PREFIX.unpack_from(packed)
        if magic != MAGIC or version not in (1, FORMAT):
            raise BadControlState(f"magic {magic!r} and format {version}")
        if version == 1:
            _, _, revision, length, named, recent = HEAD_OF_FORMAT_1.unpack_from(packed)
            start, forgotten, order_size = HEAD_OF_FORMAT_1.size, 0, ORDER_OF_FORMAT_1.size
        else:
            _, _, revision, length, named, recent, forgotten = HEAD.unpack_from(packed)
            start, order_size = HEAD.size, ENTRY.size
        at = start + length
        if at > len(packed):
            raise BadControlState("the configuration is cut short")
        config = bytes(packed[start:at])
        versions, at = _versions(packed, at, named)
    except (StructError, UnicodeDecodeError) as error:
        raise BadControlState(f"{len(packed)} bytes: {error}") from error
    if recent > MOST_ORDERS:
        raise BadControlState(f"{recent} orders taken, {MOST_ORDERS} at most")
    if at + recent * order_size != len(packed):
        raise BadControlState(f"{len(packed) - at} bytes for {recent} orders")
    entries = bytes(packed[at:]) if version == FORMAT else _entries_of_format_1(packed[at:])
    return ControlState(revision, config, versions, OrderHistory(entries, forgotten))


def _versions(packed: bytes, at: int, named: int) -> tuple[dict[str, int], int]:
    """So many named versions from an offset, and the offset behind them."""
    versions: dict[str, int] = {}
    for _ in range(named):
        size, number = VERSION.unpack_from(packed, at)
        at += VERSION.size + size
        if at > len(packed):
            raise BadControlState("a model's name is cut short")
        versions[bytes(packed[at - size : at]).decode()] = number
    if len(versions) != named:
        raise BadControlState("a model is named twice")
    return versions, at


def _entries_of_format_1(packed: bytes) -> bytes:
    orders = ORDER_OF_FORMAT_1.iter_unpack(packed)
    return b"".join(ENTRY.pack(revision, digest[:FINGERPRINT]) for revision, digest in orders)


def put_version(state: ControlState, model: Any, revision: Any) -> ControlState | None:
    """The state with a ``revision`` named for ``model``; ``None`` if that or a newer one is named already.

    Raises ``InvalidVersion``.
    """
    if type(model) is not str:
        raise InvalidVersion("model", "text expected")
    try:
        size = len(model.encode())
    except UnicodeEncodeError as error:
        raise InvalidVersion("model", "text in Unicode expected") from error
    if not 0 < size <= MOST_NAME:
        raise InvalidVersion("model", f"a name of 1 to {MOST_NAME} bytes expected")
    if type(revision) is not int or not 1 <= revision <= MOST_REVISION:
        raise InvalidVersion("revision", f"a whole number from 1 to {MOST_REVISION} expected")
    if state.versions.get(model, 0) >= revision:
        return None
    return replace(state, versions=state.versions | {model: revision})
