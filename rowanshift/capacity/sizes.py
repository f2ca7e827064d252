"""The exact lengths of records on the wire. No I/O.

A change to ``rowanshift.wire`` that changes a length fails ``tests/capacity/test_capacity.py`` until it is here.
"""

from collections.abc import Iterable, Mapping

from rowanshift.wire.codec import FRAME_HEADER
from rowanshift.wire.control_updates import CONTROL_UPDATE_CODEC, Poll, Update


def text(value: str) -> int:
    """Bytes of a text: its length and itself in UTF-8."""
    return 2 + len(value.encode())


def numbers(values: Iterable[int]) -> int:
    """Bytes of a tuple of whole numbers."""
    return 2 + 8 * len(tuple(values))


def versions(named: Mapping[str, int]) -> int:
    """Bytes of versions by model."""
    return 2 + sum(text(name) + 8 for name in named)


def row(id: str, service: str, address: str, zone: str, of: Mapping[str, int]) -> int:
    """Bytes of a server's row: four texts, slots, state, versions."""
    return text(id) + text(service) + text(address) + text(zone) + 16 + versions(of)


def empty(record: type) -> int:
    """Bytes of a record's frame with nothing in its texts, bytes, tuples, dicts and rows."""
    return FRAME_HEADER.size + CONTROL_UPDATE_CODEC.layouts[CONTROL_UPDATE_CODEC.kinds[record]].minimum_size


def poll() -> int:
    """Bytes of a Poll's frame."""
    return empty(Poll)


def update(
    core: int,
    config: int = 0,
    named: Mapping[str, int] | None = None,
    rows: int = 0,
    marks: int = 0,
    members: int = 0,
    names: Iterable[str] = (),
) -> int:
    """Bytes of an Update's frame. ``core``: machines named; ``config``: bytes of it, compressed; ``rows``:
    bytes of all rows; ``marks``: parts that stores keep or dropped; ``members``: routers named; ``names``: the model of
    each named version that goes with its date."""
    lists = 8 * (core + marks + members) + sum(text(model) + 17 for model in names)
    return empty(Update) + config + versions(named or {}) - 2 + rows + lists


def epoch(in_sync: int, witnesses: int, former: int = 0) -> int:
    """Bytes of an epoch record: number, primary, three tuples of machines."""
    return 16 + sum(numbers(range(n)) for n in (in_sync, witnesses, former))


def confirm(in_sync: int, witnesses: int) -> int:
    """Bytes of a Confirm's frame, the primary's heartbeat."""
    return FRAME_HEADER.size + 16 + epoch(in_sync, witnesses)


def confirmed() -> int:
    """Bytes of its answer's frame."""
    return FRAME_HEADER.size + 8 + 8 + 1 + 8 + 16


def store(sheet: int) -> int:
    """Bytes of a Store's frame: the sheet goes whole."""
    return FRAME_HEADER.size + 8 + 16 + 4 + sheet


def stored() -> int:
    return FRAME_HEADER.size + 8 + 16 + 1 + 8


def sheet(config: int, named: Mapping[str, int], taken: int) -> int:
    """Bytes of the control state as it is stored. ``config``: bytes, uncompressed; ``taken``: revisions."""
    return 34 + config + sum(10 + len(name.encode()) for name in named) + 24 * taken
