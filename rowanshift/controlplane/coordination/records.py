"""The records that a coordination state consists of, and their layouts in bytes."""

from __future__ import annotations

import msgspec

from rowanshift.wire.field_types import TEXT, UINT64, RecordLayout


class LockRecord(msgspec.Struct, frozen=True):
    """The last hold of a lock.

    Tokens from ``first_token`` to ``token`` were given to its holder, without another holder in between. No hold that
    was answered lasts longer than ``hold_ms`` from its call on.
    """

    name: str
    holder: str
    first_token: int
    token: int
    hold_ms: int


class NumberRecord(msgspec.Struct, frozen=True):
    """The highest number given under a name."""

    name: str
    value: int


class GroupRecord(msgspec.Struct, frozen=True):
    """The revision of a group's last put, and that of the last put which the history no longer has."""

    name: str
    revision: int
    dropped_revision: int


class KeyRecord(msgspec.Struct, frozen=True):
    """A key with the put that set it last."""

    name: str
    value: str
    revision: int


class PutRecord(msgspec.Struct, frozen=True):
    """A put in the history. Its bytes differ from those of the key that it set, so that differences find each."""

    revision: int
    key: str
    value: str


LOCK_LAYOUT = RecordLayout(LockRecord, name=TEXT, holder=TEXT, first_token=UINT64, token=UINT64, hold_ms=UINT64)
NUMBER_LAYOUT = RecordLayout(NumberRecord, name=TEXT, value=UINT64)
GROUP_LAYOUT = RecordLayout(GroupRecord, name=TEXT, revision=UINT64, dropped_revision=UINT64)
KEY_LAYOUT = RecordLayout(KeyRecord, name=TEXT, value=TEXT, revision=UINT64)
PUT_LAYOUT = RecordLayout(PutRecord, revision=UINT64, key=TEXT, value=TEXT)
