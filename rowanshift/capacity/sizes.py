"""Exact encoded lengths of records, in bytes. No I/O.

A change to ``rowanshift.wire`` that changes a length fails ``tests/capacity/test_capacity.py`` until this module
follows it.
"""

from collections.abc import Iterable, Mapping

from rowanshift.wire.codec import FRAME_HEADER
from rowanshift.wire.control_updates import CONTROL_UPDATE_CODEC, Poll, Update


def text(value: str) -> int:
    """Length of a string: a 2-byte length prefix and its UTF-8 bytes."""
    return 2 + len(value.encode())


def integers(values: Iterable[int]) -> int:
    """Length of a tuple of integers."""
    return 2 + 8 * len(tuple(values))


def versions(named: Mapping[str, int]) -> int:
    """Length of a mapping from models to versions."""
    return 2 + sum(text(name) + 8 for name in named)


def server_record(id: str, service: str, address: str, zone: str, model_versions: Mapping[str, int]) -> int:
    """Length of a server record: four strings, slots, state and versions."""
    return text(id) + text(service) + text(address) + text(zone) + 16 + versions(model_versions)


def empty_frame(record: type) -> int:
    """Length of a record's frame when all its variable-length fields are empty."""
    return FRAME_HEADER.size + CONTROL_UPDATE_CODEC.layouts[CONTROL_UPDATE_CODEC.kinds[record]].minimum_size


def poll() -> int:
    """Length of a Poll frame."""
    return empty_frame(Poll)


def update(
    core_machines: int,
    config: int = 0,
    named: Mapping[str, int] | None = None,
    rows: int = 0,
    block_hashes: int = 0,
    members: int = 0,
    names: Iterable[str] = (),
) -> int:
    """Length of an Update frame.

    ``config`` is the compressed configuration in bytes, ``rows`` all server records in bytes. ``core_machines``,
    ``block_hashes`` (stored and removed) and ``members`` (routers) are counts. ``names`` are the models of the version
    announcements.
    """
    lists = 8 * (core_machines + block_hashes + members) + sum(text(model) + 17 for model in names)
    return empty_frame(Update) + config + versions(named or {}) - 2 + rows + lists


def epoch(in_sync: int, witnesses: int, former: int = 0) -> int:
    """Length of an epoch record: number, primary and three tuples of machines."""
    return 16 + sum(integers(range(n)) for n in (in_sync, witnesses, former))


def heartbeat(in_sync: int, witnesses: int) -> int:
    """Length of a Heartbeat frame."""
    return FRAME_HEADER.size + 16 + epoch(in_sync, witnesses)


def heartbeat_reply() -> int:
    """Length of a HeartbeatReply frame."""
    return FRAME_HEADER.size + 8 + 8 + 1 + 8 + 16


def store(state_bytes: int) -> int:
    """Length of a Store frame, which carries the full control state."""
    return FRAME_HEADER.size + 8 + 16 + 4 + state_bytes


def store_reply() -> int:
    return FRAME_HEADER.size + 8 + 16 + 1 + 8


def control_state(config: int, named: Mapping[str, int], orders: int) -> int:
    """Length of the stored control state. ``config`` is uncompressed, in bytes; ``orders`` is a count."""
    return 34 + config + sum(10 + len(name.encode()) for name in named) + 24 * orders
