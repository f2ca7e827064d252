"""The replicated state of the control plane: the configuration, the model versions, the history of orders.

A state is kept and sent as one bytes object. Pure functions change it: they return the next state or raise typed
errors, and know nothing of disks, epochs or time.

The bytes, big-endian: ``HEADER`` (magic, format, revision, length of the configuration, number of model versions,
number of remembered orders, highest dropped revision), the configuration's body, each model version as
``VERSION_ENTRY`` (length of the model's name, revision) and the name in UTF-8, each order as
``order_history.ORDER_ENTRY``. Format 1 had no dropped revision, and complete digests of 64 orders; it is read, and
written in format 2 with the next change. No bytes at all are the empty state.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from struct import Struct
from struct import error as StructError
from typing import Any

from rowanshift.controlplane.errors import BadControlState, InvalidVersion
from rowanshift.controlplane.order_history import (
    EMPTY_ORDER_HISTORY,
    FINGERPRINT_BYTES,
    MAX_REMEMBERED_ORDERS,
    ORDER_ENTRY,
    OrderHistory,
)

MAGIC = b"RSSH"
FORMAT = 2
PREFIX = Struct(">4sH")  # magic, format
HEADER = Struct(">4sHQIIIQ")
HEADER_FORMAT_1 = Struct(">4sHQIIH")
ORDER_FORMAT_1 = Struct(">Q32s")  # revision, digest
VERSION_ENTRY = Struct(">HQ")  # length of the model's name in bytes, revision
MAX_MODEL_NAME_BYTES = 65535  # what VERSION_ENTRY can hold
MAX_REVISION = 2**63 - 1  # what the stored state and the records between processes can hold


@dataclass(frozen=True, slots=True)
class ControlState:
    """The control state. It and the objects in it are never changed in place.

    ``config`` is the operator's body as it was sent, or as a patch has made it, ``versions`` the newest version of
    each model, and ``orders`` the configurations and patches that were applied.
    """

    revision: int = 0  # 0: no configuration yet
    config: bytes = b""
    versions: dict[str, int] = field(default_factory=dict)
    orders: OrderHistory = EMPTY_ORDER_HISTORY

    def pack(self) -> bytes:
        """The state as bytes."""
        counts = len(self.config), len(self.versions), len(self.orders)
        parts = [HEADER.pack(MAGIC, FORMAT, self.revision, *counts, self.orders.highest_dropped), self.config]
        for model, revision in sorted(self.versions.items()):
            name = model.encode()
            parts += VERSION_ENTRY.pack(len(name), revision), name
        parts.append(self.orders.entries)
        return b"".join(parts)


@dataclass(frozen=True, slots=True)
class _Header:
    """The header of a packed state, of either format."""

    size: int  # bytes
    revision: int
    config_length: int
    version_count: int
    order_count: int
    order_size: int  # bytes of an order in this format
    highest_dropped: int


def unpack(packed: bytes) -> ControlState:
    """The state in ``packed``. Raises ``BadControlState``."""
    if not packed:
        return ControlState()
    try:
        header = _unpack_header(packed)
        config_end = header.size + header.config_length
        if config_end > len(packed):
            raise BadControlState("the configuration is cut short")
        config = bytes(packed[header.size : config_end])
        versions, versions_end = _unpack_versions(packed, config_end, header.version_count)
    except (StructError, UnicodeDecodeError) as error:
        raise BadControlState(f"{len(packed)} bytes: {error}") from error
    if header.order_count > MAX_REMEMBERED_ORDERS:
        raise BadControlState(f"{header.order_count} orders remembered, {MAX_REMEMBERED_ORDERS} at most")
    if versions_end + header.order_count * header.order_size != len(packed):
        raise BadControlState(f"{len(packed) - versions_end} bytes for {header.order_count} orders")
    entries = bytes(packed[versions_end:])
    if header.order_size == ORDER_FORMAT_1.size:
        entries = _entries_from_format_1(entries)
    return ControlState(header.revision, config, versions, OrderHistory(entries, header.highest_dropped))


def _unpack_header(packed: bytes) -> _Header:
    """The header at the start of ``packed``. Raises ``BadControlState``, and ``struct.error`` where it is cut short."""
    magic, version = PREFIX.unpack_from(packed)
    if magic != MAGIC or version not in (1, FORMAT):
        raise BadControlState(f"magic {magic!r} and format {version}")
    if version == 1:
        _, _, revision, config_length, version_count, order_count = HEADER_FORMAT_1.unpack_from(packed)
        size, order_size, highest_dropped = HEADER_FORMAT_1.size, ORDER_FORMAT_1.size, 0
    else:
        _, _, revision, config_length, version_count, order_count, highest_dropped = HEADER.unpack_from(packed)
        size, order_size = HEADER.size, ORDER_ENTRY.size
    return _Header(size, revision, config_length, version_count, order_count, order_size, highest_dropped)


def _unpack_versions(packed: bytes, offset: int, count: int) -> tuple[dict[str, int], int]:
    """``count`` model versions from an offset, and the offset behind them."""
    versions: dict[str, int] = {}
    for _ in range(count):
        name_length, revision = VERSION_ENTRY.unpack_from(packed, offset)
        offset += VERSION_ENTRY.size + name_length
        if offset > len(packed):
            raise BadControlState("a model's name is cut short")
        versions[bytes(packed[offset - name_length : offset]).decode()] = revision
    if len(versions) != count:
        raise BadControlState("a model is named twice")
    return versions, offset


def _entries_from_format_1(packed: bytes) -> bytes:
    """The orders of format 1 as entries of today's history."""
    orders = ORDER_FORMAT_1.iter_unpack(packed)
    return b"".join(ORDER_ENTRY.pack(revision, digest[:FINGERPRINT_BYTES]) for revision, digest in orders)


def put_version(state: ControlState, model: Any, revision: Any) -> ControlState | None:
    """The state with ``revision`` as the version of ``model``; ``None`` if that or a newer one is set already.

    Both come unchecked from the operator's request. Raises ``InvalidVersion``.
    """
    if type(model) is not str:
        raise InvalidVersion("model", "text expected")
    try:
        name_length = len(model.encode())
    except UnicodeEncodeError as error:
        raise InvalidVersion("model", "text in Unicode expected") from error
    if not 0 < name_length <= MAX_MODEL_NAME_BYTES:
        raise InvalidVersion("model", f"a name of 1 to {MAX_MODEL_NAME_BYTES} bytes expected")
    if type(revision) is not int or not 1 <= revision <= MAX_REVISION:
        raise InvalidVersion("revision", f"a whole number from 1 to {MAX_REVISION} expected")
    if state.versions.get(model, 0) >= revision:
        return None
    return replace(state, versions=state.versions | {model: revision})
