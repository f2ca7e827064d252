"""Calls of applications to the coordination service, and the answers to them. No I/O.

A name is that of a lock, of a sequence of numbers, or of a key; a group is the part of a key's name up to its first
dot. Revisions count within a group, from 1 on; 0 stands for a key that isn't there.
"""

from __future__ import annotations

import msgspec

GROUP_SEPARATOR = "."


def group_of(key: str) -> str:
    """The group of a key: its name up to the first dot, with the dot; the whole name where there is none."""
    end = key.find(GROUP_SEPARATOR) + 1
    return key[:end] if end else key


class TakeLock(msgspec.Struct, frozen=True, tag=True):
    """Asks for a lock, for ``hold_ms`` from when the caller sent this."""

    lock: str
    holder: str
    hold_ms: int


class RenewLock(msgspec.Struct, frozen=True, tag=True):
    """Asks to hold a lock on, for ``hold_ms`` from when the caller sent this."""

    lock: str
    holder: str
    token: int
    hold_ms: int


class ReleaseLock(msgspec.Struct, frozen=True, tag=True):
    """Gives a lock back; another hold than the one with this token is left alone."""

    lock: str
    holder: str
    token: int


class NextNumber(msgspec.Struct, frozen=True, tag=True):
    """Asks for a number above all those given under this name."""

    name: str


class PutKey(msgspec.Struct, frozen=True, tag=True):
    """Sets a key, if it has ``expected_revision``; whatever it has where that is None.

    A put with a value that the key was given before is that very put, sent again.
    """

    key: str
    value: str
    expected_revision: int | None


class ReadKey(msgspec.Struct, frozen=True, tag=True):
    """Asks for the value of a key."""

    key: str


class ReadEvents(msgspec.Struct, frozen=True, tag=True):
    """Asks for all puts in a group after a revision; after 0 for the group's revision alone."""

    group: str
    after: int


Call = TakeLock | RenewLock | ReleaseLock | NextNumber | PutKey | ReadKey | ReadEvents


class LockTaken(msgspec.Struct, frozen=True, tag=True):
    """The caller holds the lock; ``token`` is above every one given before."""

    token: int


class LockHeld(msgspec.Struct, frozen=True, tag=True):
    """Another may hold the lock."""


class LockRenewed(msgspec.Struct, frozen=True, tag=True):
    """The caller holds the lock on."""


class LockLost(msgspec.Struct, frozen=True, tag=True):
    """The caller's hold has ended, or there never was one with this token."""


class LockReleased(msgspec.Struct, frozen=True, tag=True):
    """The caller's hold with this token has ended, now or before."""


class NumberGiven(msgspec.Struct, frozen=True, tag=True):
    """The number that was asked for."""

    value: int


class KeyPut(msgspec.Struct, frozen=True, tag=True):
    """The key was set under this revision, now or by the same put before."""

    revision: int


class RevisionConflict(msgspec.Struct, frozen=True, tag=True):
    """The key has another revision than the put expected; nothing was changed."""

    revision: int


class KeyFound(msgspec.Struct, frozen=True, tag=True):
    """A key's value, and the revision under which it was put."""

    value: str
    revision: int


class KeyMissing(msgspec.Struct, frozen=True, tag=True):
    """The key was never put."""


class PutEvent(msgspec.Struct, frozen=True):
    """A put, as watches get it."""

    key: str
    value: str
    revision: int


class Events(msgspec.Struct, frozen=True, tag=True):
    """All puts of a group after the revision that was asked for, up to ``revision``, in their order."""

    events: tuple[PutEvent, ...]
    revision: int


class HistoryDropped(msgspec.Struct, frozen=True, tag=True):
    """Puts after the revision that was asked for are no longer kept."""


class LimitReached(msgspec.Struct, frozen=True, tag=True):
    """The call would go over a limit; nothing was changed."""

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
