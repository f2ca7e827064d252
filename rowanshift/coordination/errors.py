"""Errors of the client library."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of the library's errors."""


class Unavailable(CoordinationError):
    """No machine gave a clear answer in time: the call may or may not have taken effect. It is safe to repeat."""


class Refused(CoordinationError):
    """The call is not one that can be made, or is over a limit that waiting doesn't change. Nothing was done."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


class LockNotFree(CoordinationError):
    """Another held the lock for as long as was waited."""


class LockWasLost(CoordinationError):
    """The hold ended before its block did: the time was up by this machine's clock, or another has the lock."""


class PutConflict(CoordinationError):
    """The key has another revision than the put expected; nothing was changed."""

    def __init__(self, key: str, revision: int) -> None:
        super().__init__(f"{key} has revision {revision}")
        self.key = key
        self.revision = revision


class HistoryGone(CoordinationError):
    """Puts after the revision that a watch goes on from are no longer kept: read the keys, and watch anew."""
