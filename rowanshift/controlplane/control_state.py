"""The replicated state of the control plane: the configuration, the model versions and the order history.

A state is stored and sent as one bytes object. Pure functions compute the next state or raise typed errors; they do
not depend on disks, epochs or clocks.

The encoding is big-endian: ``HEADER`` (magic, format, revision, length of the configuration, number of model versions,
number of remembered orders, highest dropped revision), the body of the configuration, each model version as
``VERSION_ENTRY`` (length of the model's name, revision) followed by the name in UTF-8, and each order as
``order_history.ORDER_ENTRY``. Format 1 had no highest dropped revision and stored the complete digests of 64 orders. It
can still be read; the next change writes the state in format 2. The empty state is zero bytes long.
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
MAX_MODEL_NAME_BYTES = 65535  # limited by the 16-bit length in VERSION_ENTRY
MAX_REVISION = 2**63 - 1  # limited by the stored state and by the records sent between processes


@dataclass(frozen=True, slots=True)
class ControlState:
    """The control state. This object and the objects in it are never modified in place.

    ``config`` is the JSON document as the operator sent it, or as the last patch produced it. ``versions`` contains
    the newest version of each model. ``orders`` is the history of applied configurations and patches.
    """

    revision: int = 0  # 0: no configuration yet
    config: bytes = b""
    versions: dict[str, int] = field(default_factory=dict)
    orders: OrderHistory = EMPTY_ORDER_HISTORY

    def pack(self) -> bytes:
        """Return the encoded state."""
        counts = len(self.config), len(self.versions), len(self.orders)
        parts = [HEADER.pack(MAGIC, FORMAT, self.revision, *counts, self.orders.highest_dropped), self.config]
        for model, revision in sorted(self.versions.items()):
            name = model.encode()
            parts += VERSION_ENTRY.pack(len(name), revision), name
        parts.append(self.orders.entries)
        return b"".join(parts)


@dataclass(frozen=True, slots=True)
class _Header:
    """The decoded header of a packed state of either format."""

    size: int  # in bytes
    revision: int
    config_length: int
    version_count: int
    order_count: int
    order_size: int  # size of an order in this format, in bytes
    highest_dropped: int


def unpack(packed: bytes) -> ControlState:
    """Decode the state in ``packed``. Raises ``BadControlState``."""
    if not packed:
        return ControlState()
    try:
        header = _unpack_header(packed)
        config_end = header.size + header.config_length
        if config_end > len(packed):
            raise BadControlState(f"configuration truncated: it ends at byte {config_end}, found {len(packed)} bytes")
        config = bytes(packed[header.size : config_end])
        versions, versions_end = _unpack_versions(packed, config_end, header.version_count)
    except (StructError, UnicodeDecodeError) as error:
        raise BadControlState(f"invalid control state of {len(packed)} bytes: {error}") from error
    if header.order_count > MAX_REMEMBERED_ORDERS:
        raise BadControlState(
            f"order history: expected at most {MAX_REMEMBERED_ORDERS} orders, found {header.order_count}"
        )
    if versions_end + header.order_count * header.order_size != len(packed):
        raise BadControlState(
            f"order history: expected {header.order_count} orders of {header.order_size} bytes each, "
            f"found {len(packed) - versions_end} bytes"
        )
    entries = bytes(packed[versions_end:])
    if header.order_size == ORDER_FORMAT_1.size:
        entries = _entries_from_format_1(entries)
    return ControlState(header.revision, config, versions, OrderHistory(entries, header.highest_dropped))


def _unpack_header(packed: bytes) -> _Header:
    """Decode the header. Raises ``BadControlState``, or ``struct.error`` if the header is truncated."""
    magic, version = PREFIX.unpack_from(packed)
    if magic != MAGIC or version not in (1, FORMAT):
        raise BadControlState(
            f"header: expected magic {MAGIC!r} and format 1 or {FORMAT}, found magic {magic!r} and format {version}"
        )
    if version == 1:
        _, _, revision, config_length, version_count, order_count = HEADER_FORMAT_1.unpack_from(packed)
        size, order_size, highest_dropped = HEADER_FORMAT_1.size, ORDER_FORMAT_1.size, 0
    else:
        _, _, revision, config_length, version_count, order_count, highest_dropped = HEADER.unpack_from(packed)
        size, order_size = HEADER.size, ORDER_ENTRY.size
    return _Header(size, revision, config_length, version_count, order_count, order_size, highest_dropped)


def _unpack_versions(packed: bytes, offset: int, count: int) -> tuple[dict[str, int], int]:
    """Decode ``count`` model versions at ``offset``; return them and the offset of the byte that follows."""
    versions: dict[str, int] = {}
    for _ in range(count):
        name_length, revision = VERSION_ENTRY.unpack_from(packed, offset)
        offset += VERSION_ENTRY.size + name_length
        if offset > len(packed):
            raise BadControlState(f"model name truncated: it ends at byte {offset}, found {len(packed)} bytes")
        versions[bytes(packed[offset - name_length : offset]).decode()] = revision
    if len(versions) != count:
        raise BadControlState(f"duplicate model name: expected {count} models, found {len(versions)}")
    return versions, offset


def _entries_from_format_1(packed: bytes) -> bytes:
    """Convert the orders of format 1 to entries of the current format."""
    orders = ORDER_FORMAT_1.iter_unpack(packed)
    return b"".join(ORDER_ENTRY.pack(revision, digest[:FINGERPRINT_BYTES]) for revision, digest in orders)


def put_version(state: ControlState, model: Any, revision: Any) -> ControlState | None:
    """Set the version of ``model`` to ``revision``; return ``None`` if the model has this or a newer version.

    Both values are unvalidated input from the operator's request. Raises ``InvalidVersion``.
    """
    if type(model) is not str:
        raise InvalidVersion("model", f"expected a string, found {type(model).__name__}")
    try:
        name_length = len(model.encode())
    except UnicodeEncodeError as error:
        raise InvalidVersion("model", "expected a string that can be encoded in UTF-8") from error
    if not 0 < name_length <= MAX_MODEL_NAME_BYTES:
        raise InvalidVersion(
            "model", f"expected a name of 1 to {MAX_MODEL_NAME_BYTES} bytes, found {name_length} bytes"
        )
    if type(revision) is not int or not 1 <= revision <= MAX_REVISION:
        raise InvalidVersion("revision", f"expected an integer from 1 to {MAX_REVISION}")
    if state.versions.get(model, 0) >= revision:
        return None
    return replace(state, versions=state.versions | {model: revision})
