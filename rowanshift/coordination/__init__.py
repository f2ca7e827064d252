"""Client library of the coordination service, on trio: locks, numbers, keys and watches.

    async with trio.open_nursery() as nursery:
        client = CoordinationClient([("10.0.0.1", 8500), ("10.0.0.2", 8500)])
        async with client.lock("district-7", holder="counter-3", hold_seconds=3.0) as hold:
            ...  # cancelled once the time is up by this machine's clock; pass ``hold.token`` on to what it guards

docs/coordination.md says what the service promises.
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
