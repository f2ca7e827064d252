"""Errors of the coordination client library."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of the library's errors."""


class Unavailable(CoordinationError):
    """No machine gave a conclusive answer in time.

    The call may or may not have taken effect; it is safe to repeat.
    """


class Refused(CoordinationError):
    """The call is invalid or exceeds a fixed limit. It has not taken effect, and repeating it does not help."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


class LockNotFree(CoordinationError):
    """The lock could not be acquired within the waiting time."""


class LockWasLost(CoordinationError):
    """The hold ended before its block: it expired by the local clock, or another holder has the lock."""


class PutConflict(CoordinationError):
    """The key's ``revision`` is not the one that the put expected; nothing was changed."""

    def __init__(self, key: str, revision: int) -> None:
        super().__init__(f"{key} has revision {revision}")
        self.key = key
        self.revision = revision


class HistoryGone(CoordinationError):
    """The history no longer covers all puts after a watch's revision: read the keys, then start a new watch."""
