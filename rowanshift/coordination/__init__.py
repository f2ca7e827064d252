"""Client library of the coordination service for trio: locks, numbers, keys and watches.

    async with trio.open_nursery() as nursery:
        client = CoordinationClient([("10.0.0.1", 8500), ("10.0.0.2", 8500)])
        async with client.lock("district-7", holder="counter-3", hold_seconds=3.0) as hold:
            ...  # cancelled when the hold ends by the local clock; pass ``hold.token`` to the guarded resource

docs/coordination.md describes the guarantees of the service.
"""

from rowanshift.coordination.client import CoordinationClient, KeyValue
from rowanshift.coordination.errors import (
    CoordinationError,
    HistoryGone,
    LockNotFree,
    LockWasLost,
    PutConflict,
    Refused,
    Unavailable,
)
from rowanshift.coordination.lock import LockHold

__all__ = [
    "CoordinationClient",
    "CoordinationError",
    "HistoryGone",
    "KeyValue",
    "LockHold",
    "LockNotFree",
    "LockWasLost",
    "PutConflict",
    "Refused",
    "Unavailable",
]
