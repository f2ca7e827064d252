"""The records of a coordination state and their byte layouts."""

from __future__ import annotations

import msgspec

from rowanshift.wire.field_types import TEXT, UINT64, RecordLayout


class LockRecord(msgspec.Struct, frozen=True):
    """The latest hold of a lock.

    Every token issued for this lock from ``first_token`` to ``token`` went to this holder, with no other holder in
    between. No acknowledged hold lasts longer than ``hold_ms`` from its call.
    """

    name: str
    holder: str
    first_token: int
    token: int
    hold_ms: int


class NumberRecord(msgspec.Struct, frozen=True):
    """The highest number issued under a name."""

    name: str
    value: int


class GroupRecord(msgspec.Struct, frozen=True):
    """The revision of a group's latest put, and that of the latest put dropped from the history."""

    name: str
    revision: int
    dropped_revision: int


class KeyRecord(msgspec.Struct, frozen=True):
    """A key with the value and the revision of its latest put."""

    name: str
    value: str
    revision: int


class PutRecord(msgspec.Struct, frozen=True):
    """A put in the history.

    Its packed bytes differ from those of the key that it set, so that a delta between states can refer to either.
    """

    revision: int
    key: str
    value: str


LOCK_LAYOUT = RecordLayout(LockRecord, name=TEXT, holder=TEXT, first_token=UINT64, token=UINT64, hold_ms=UINT64)
NUMBER_LAYOUT = RecordLayout(NumberRecord, name=TEXT, value=UINT64)
GROUP_LAYOUT = RecordLayout(GroupRecord, name=TEXT, revision=UINT64, dropped_revision=UINT64)
KEY_LAYOUT = RecordLayout(KeyRecord, name=TEXT, value=TEXT, revision=UINT64)
PUT_LAYOUT = RecordLayout(PutRecord, revision=UINT64, key=TEXT, value=TEXT)
