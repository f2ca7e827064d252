"""Calls to the coordination service and their answers. No I/O.

Locks, number sequences and keys are addressed by name. The group of a key is the part of its name up to and including
the first dot. Revisions are counted per group, starting at 1; revision 0 stands for a key that does not exist.
"""

from __future__ import annotations

import msgspec

GROUP_SEPARATOR = "."


def group_of(key: str) -> str:
    """The part of the key's name up to and including the first dot, or the whole name if it has no dot."""
    end = key.find(GROUP_SEPARATOR) + 1
    return key[:end] if end else key


class TakeLock(msgspec.Struct, frozen=True, tag=True):
    """Acquires a lock for ``hold_ms``, counted from when the caller sent the call."""

    lock: str
    holder: str
    hold_ms: int


class RenewLock(msgspec.Struct, frozen=True, tag=True):
    """Extends the hold of a lock to ``hold_ms`` from when the caller sent the call."""

    lock: str
    holder: str
    token: int
    hold_ms: int


class ReleaseLock(msgspec.Struct, frozen=True, tag=True):
    """Releases a lock if its current hold has this token."""

    lock: str
    holder: str
    token: int


class NextNumber(msgspec.Struct, frozen=True, tag=True):
    """Requests a number above all that were issued under this name."""

    name: str


class PutKey(msgspec.Struct, frozen=True, tag=True):
    """Sets a key if its revision is ``expected_revision``, or unconditionally if that is None.

    A put with a value that the key has had before is treated as a repetition of the earlier put.
    """

    key: str
    value: str
    expected_revision: int | None


class ReadKey(msgspec.Struct, frozen=True, tag=True):
    """Reads the value of a key."""

    key: str


class ReadEvents(msgspec.Struct, frozen=True, tag=True):
    """Reads all puts in a group after the revision ``after``; with 0, only the group's current revision."""

    group: str
    after: int


Call = TakeLock | RenewLock | ReleaseLock | NextNumber | PutKey | ReadKey | ReadEvents


class LockTaken(msgspec.Struct, frozen=True, tag=True):
    """The caller holds the lock. ``token`` is greater than every token issued before."""

    token: int


class LockHeld(msgspec.Struct, frozen=True, tag=True):
    """The lock may be held by another holder."""


class LockRenewed(msgspec.Struct, frozen=True, tag=True):
    """The hold was extended."""


class LockLost(msgspec.Struct, frozen=True, tag=True):
    """The caller's hold has ended, or no hold with this token ever existed."""


class LockReleased(msgspec.Struct, frozen=True, tag=True):
    """The caller's hold with this token has ended, by this call or earlier."""


class NumberGiven(msgspec.Struct, frozen=True, tag=True):
    """The requested number."""

    value: int


class KeyPut(msgspec.Struct, frozen=True, tag=True):
    """The key was set at this revision, by this put or by an earlier one that it repeats."""

    revision: int


class RevisionConflict(msgspec.Struct, frozen=True, tag=True):
    """The key's ``revision`` is not the one that the put expected; nothing was changed."""

    revision: int


class KeyFound(msgspec.Struct, frozen=True, tag=True):
    """A key's value and the revision at which it was put."""

    value: str
    revision: int


class KeyMissing(msgspec.Struct, frozen=True, tag=True):
    """The key does not exist."""


class PutEvent(msgspec.Struct, frozen=True):
    """A put as reported to watches."""

    key: str
    value: str
    revision: int


class Events(msgspec.Struct, frozen=True, tag=True):
    """All puts of a group after the requested revision and up to ``revision``, in order."""

    events: tuple[PutEvent, ...]
    revision: int


class HistoryDropped(msgspec.Struct, frozen=True, tag=True):
    """The history no longer covers all puts after the requested revision."""


class LimitReached(msgspec.Struct, frozen=True, tag=True):
    """The call would exceed a limit; nothing was changed."""

    reason: str


Answer = (
    LockTaken
    | LockHeld
    | LockRenewed
    | LockLost
    | LockReleased
    | NumberGiven
    | KeyPut
    | RevisionConflict
    | KeyFound
    | KeyMissing
    | Events
    | HistoryDropped
    | LimitReached
)
