"""The replicated state of the control plane: the configuration, the named versions, the orders taken.

A state is kept and sent whole, as bytes. What changes it are pure functions: they return the state that would
follow and raise typed errors, and know nothing of disks, epochs or time.

The bytes, big-endian: ``HEAD`` (magic, format, revision, length of the configuration, number of versions, number of
orders taken, highest revision forgotten), the configuration's body, each version as ``VERSION`` (length of the
model's name, revision) and the name in UTF-8, each order as ``order_history.ENTRY``. Format 1 had no revision
forgotten, and whole digests of 64 orders; it is read, and written anew in format 2 with the next change. No bytes at
all are the empty state.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from struct import Struct
from struct import error as StructError
from typing import Any

import orjson

from rowanshift.controlplane.configuration import (
    MOST_REVISION,
    Configuration,
    check_change,
    check_match,
    check_revision,
    configuration_of,
    digest_of,
    load,
    revision_of,
)
from rowanshift.controlplane.configuration_patch import patched
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


ConfigChange = Callable[["ControlState", str | None, bytes], "tuple[ControlState, Configuration] | None"]


def put_config(state: ControlState, if_match: str | None, body: bytes) -> tuple[ControlState, Configuration] | None:
    """The state with the configuration in ``body``, and that configuration; ``None`` if it was taken already.

    An order that was taken is known by its digest, whatever its ``If-Match`` and whatever followed it. Raises
    ``InvalidConfiguration`` (400), then ``OrderTooOld`` where nobody knows whether it was taken, then ``StaleMatch``
    (412), then ``InvalidConfiguration`` if its revision is not above the current one.
    """
    raw = load(body)
    digest = digest_of(raw)
    if state.orders.holds(digest):
        return None
    config = configuration_of(raw)
    state.orders.check_remembered(config.revision)
    check_change(state.revision, if_match, config)
    return _with_config(state, config, bytes(body), digest), config


def patch_config(state: ControlState, if_match: str | None, body: bytes) -> tuple[ControlState, Configuration] | None:
    """The state with the patch in ``body`` applied, and the configuration made; ``None`` if it was taken already.

    A patch that was taken is known by its digest, as a whole configuration is. Raises ``InvalidConfiguration`` where
    the patch has no proper revision, ``OrderTooOld``, ``StaleMatch`` where it builds on another revision, and then
    ``InvalidConfiguration`` for the patch and for the configuration that it makes.
    """
    raw = load(body)
    digest = digest_of({"patch": raw})
    if state.orders.holds(digest):
        return None
    state.orders.check_remembered(revision_of(raw))
    check_match(state.revision, if_match)
    whole = patched(load(state.config) if state.config else {}, raw)
    config = configuration_of(whole)
    check_revision(state.revision, config)
    return _with_config(state, config, orjson.dumps(whole), digest), config


def _with_config(state: ControlState, config: Configuration, body: bytes, digest: bytes) -> ControlState:
    """The state once a configuration has been taken; ``digest`` is that of the order that brought it."""
    orders = state.orders.added(config.revision, digest)
    return replace(state, revision=config.revision, config=body, orders=orders)


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
