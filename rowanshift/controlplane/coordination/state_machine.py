"""Applies calls to the coordination state at the primary and decides their answers. No I/O, no clock.

Times are monotonic seconds of the primary's clock and are not replicated: a new primary treats every hold as requested,
and every put in the history as made, when it became primary. That is safe for locks: a former primary acknowledges a
hold only after confirmation in the former epoch, so that no acknowledged hold was requested later.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rowanshift.controlplane.coordination import limits
from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyMissing,
    KeyPut,
    LimitReached,
    LockHeld,
    LockLost,
    LockReleased,
    LockRenewed,
    LockTaken,
    NextNumber,
    NumberGiven,
    PutEvent,
    PutKey,
    ReadEvents,
    ReadKey,
    ReleaseLock,
    RenewLock,
    RevisionConflict,
    TakeLock,
    group_of,
)
from rowanshift.controlplane.coordination.records import GroupRecord, KeyRecord, LockRecord, NumberRecord, PutRecord
from rowanshift.controlplane.coordination.snapshot import CoordinationState, unpack

LOCK_MARGIN_SECONDS = 0.1  # added to a hold before the lock is given to another holder
HISTORY_FACTOR = 2.0  # puts are kept for this multiple of ``historyS``
MIN_HISTORY_SECONDS = 30.0  # a repeated put is recognized for at least this long


class Effect(Enum):
    """What a call has changed, which decides how its answer is confirmed."""

    NONE = "none"
    MEMORY = "memory"  # unreplicated state of the primary: when a hold ends
    STATE = "state"  # replicated state: the answer is valid once the state is committed


@dataclass(frozen=True, slots=True)
class Applied:
    """The result of a call. The answer may be returned once the state is committed or leadership is confirmed."""

    answer: Answer
    effect: Effect = Effect.NONE


class CoordinationStateMachine:
    """The primary's coordination state, including changes that are applied but not yet committed."""

    def __init__(self, packed: bytes, now: float, history_seconds: float) -> None:
        """``packed`` is the committed state; ``now`` is the time when this machine became primary, or later."""
        self.state: CoordinationState = unpack(packed, now)
        self.history_seconds = max(MIN_HISTORY_SECONDS, HISTORY_FACTOR * history_seconds)
        self._held_until = {lock.name: now + _hold_seconds(lock.hold_ms) for lock in self.state.locks}
        self._committed_revisions = {group.name: group.revision for group in self.state.groups}
        self._changed_groups: set[str] = set()  # groups with puts since the last commit

    def apply(self, call: Call, now: float) -> Applied:
        """Apply a call and return its answer and effect."""
        match call:
            case TakeLock():
                return self._take(call, now)
            case RenewLock():
                return self._renew(call, now)
            case ReleaseLock():
                return self._release(call)
            case NextNumber():
                return self._next_number(call)
            case PutKey():
                return self._put(call, now)
            case ReadKey():
                return self._read(call)
            case ReadEvents():
                return Applied(self._events(call.group, call.after, self._group(call.group).revision))

    def pack(self, now: float) -> bytes:
        """The state to be committed, after dropping history entries that have expired."""
        for record in self.state.history.drop_before(now - self.history_seconds):
            group = self._group(group_of(record.key))
            self.state.groups.put(GroupRecord(group.name, group.revision, record.revision))
        return self.state.pack()

    def mark_committed(self) -> set[str]:
        """Record that all applied calls are committed. Returns the groups with newly committed puts."""
        changed, self._changed_groups = self._changed_groups, set()
        for name in changed:
            self._committed_revisions[name] = self._group(name).revision
        return changed

    def committed_events(self, group: str, after: int) -> Events | HistoryDropped:
        """The committed puts of a group after a revision."""
        return self._events(group, after, self._committed_revisions.get(group, 0))

    # locks

    def _is_held(self, lock: LockRecord, now: float) -> bool:
        return now < self._held_until.get(lock.name, 0.0)

    def _take(self, call: TakeLock, now: float) -> Applied:
        lock = self.state.locks.get(call.lock)
        held = lock is not None and self._is_held(lock, now)
        if lock is not None and held and lock.holder != call.holder:
            return Applied(LockHeld())
        if lock is None and (reason := self._lock_limit_reason(now)):
            return Applied(LimitReached(reason))
        self.state.last_token += 1
        token = self.state.last_token
        first_token, hold_ms = token, call.hold_ms
        if lock is not None and lock.holder == call.holder:
            first_token, hold_ms = lock.first_token, max(hold_ms, lock.hold_ms)
        self.state.locks.put(LockRecord(call.lock, call.holder, first_token, token, hold_ms))
        self._set_hold_end(call.lock, now + _hold_seconds(call.hold_ms), held)
        return Applied(LockTaken(token), Effect.STATE)

    def _set_hold_end(self, lock: str, until: float, held: bool) -> None:
        """Set the end of a hold; a hold that has not ended is never shortened."""
        self._held_until[lock] = max(until, self._held_until[lock]) if held else until

    def _renew(self, call: RenewLock, now: float) -> Applied:
        lock = self.state.locks.get(call.lock)
        if lock is None or lock.holder != call.holder or not lock.first_token <= call.token <= lock.token:
            return Applied(LockLost())
        # the lock was not given to another holder since, so that a hold whose time is over can be extended as well
        self._set_hold_end(call.lock, now + _hold_seconds(call.hold_ms), self._is_held(lock, now))
        if call.hold_ms <= lock.hold_ms:  # a new primary waits at least this long anyway
            return Applied(LockRenewed(), Effect.MEMORY)
        self.state.locks.put(LockRecord(lock.name, lock.holder, lock.first_token, lock.token, call.hold_ms))
        return Applied(LockRenewed(), Effect.STATE)

    def _release(self, call: ReleaseLock) -> Applied:
        lock = self.state.locks.get(call.lock)
        # only the latest token ends a hold: a delayed call must not end one that the same holder acquired later
        if lock is None or lock.holder != call.holder or lock.token != call.token:
            return Applied(LockReleased())
        self._remove_lock(lock)
        return Applied(LockReleased(), Effect.STATE)

    def _remove_lock(self, lock: LockRecord) -> None:
        self.state.locks.remove(lock.name)
        self._held_until.pop(lock.name, None)

    def _lock_limit_reason(self, now: float) -> str:
        """The reason why no lock can be added, empty if one can; removes expired holds if the table is full."""
        if len(self.state.locks) >= limits.MAX_LOCKS:
            for lock in [lock for lock in self.state.locks if not self._is_held(lock, now)]:
                self._remove_lock(lock)
        if len(self.state.locks) >= limits.MAX_LOCKS:
            return f"limit of {limits.MAX_LOCKS} held locks reached"
        return self._size_limit_reason()

    # numbers

    def _next_number(self, call: NextNumber) -> Applied:
        number = self.state.numbers.get(call.name)
        if number is None and len(self.state.numbers) >= limits.MAX_NUMBER_NAMES:
            return Applied(LimitReached(f"limit of {limits.MAX_NUMBER_NAMES} number sequences reached"))
        if number is None and (reason := self._size_limit_reason()):
            return Applied(LimitReached(reason))
        value = 1 if number is None else number.value + 1
        self.state.numbers.put(NumberRecord(call.name, value))
        return Applied(NumberGiven(value), Effect.STATE)

    # keys

    def _group(self, name: str) -> GroupRecord:
        return self.state.groups.get(name) or GroupRecord(name, 0, 0)

    def _put(self, call: PutKey, now: float) -> Applied:
        key = self.state.keys.get(call.key)
        first_revision = self._first_revision(call, key)
        if first_revision is not None:
            return Applied(KeyPut(first_revision))
        revision = 0 if key is None else key.revision
        if call.expected_revision is not None and call.expected_revision != revision:
            return Applied(RevisionConflict(revision))
        group = self._group(group_of(call.key))
        if reason := self._put_limit_reason(key, group):
            return Applied(LimitReached(reason))
        record = KeyRecord(call.key, call.value, group.revision + 1)
        self.state.keys.put(record)
        self.state.groups.put(GroupRecord(group.name, record.revision, group.dropped_revision))
        self.state.history.add(PutRecord(record.revision, call.key, call.value), now)
        self._changed_groups.add(group.name)
        return Applied(KeyPut(record.revision), Effect.STATE)

    def _first_revision(self, call: PutKey, key: KeyRecord | None) -> int | None:
        """The revision of the earlier put that this one repeats; None if it is new."""
        if key is not None and key.value == call.value:
            return key.revision
        return self.state.history.revision_of(call.key, call.value)

    def _put_limit_reason(self, key: KeyRecord | None, group: GroupRecord) -> str:
        """The reason why no put can be added, empty if one can."""
        if key is None and len(self.state.keys) >= limits.MAX_KEYS:
            return f"limit of {limits.MAX_KEYS} keys reached"
        if not group.revision and len(self.state.groups) >= limits.MAX_GROUPS:
            return f"limit of {limits.MAX_GROUPS} key groups reached"
        if len(self.state.history) >= limits.MAX_HISTORY_ENTRIES:
            return f"limit of {limits.MAX_HISTORY_ENTRIES} puts in the history reached"
        return self._size_limit_reason()

    def _size_limit_reason(self) -> str:
        """The reason why the state can't grow, empty if it can."""
        return (
            f"limit of {limits.MAX_STATE_BYTES} bytes reached" if self.state.byte_size >= limits.MAX_STATE_BYTES else ""
        )

    def _read(self, call: ReadKey) -> Applied:
        key = self.state.keys.get(call.key)
        return Applied(KeyMissing() if key is None else KeyFound(key.value, key.revision))

    def _events(self, name: str, after: int, revision: int) -> Events | HistoryDropped:
        """The puts of a group after one revision and up to another."""
        if not after or after >= revision:
            return Events((), revision)
        if after < self._group(name).dropped_revision:
            return HistoryDropped()
        puts = (put for put in self.state.history.after(name, after) if put.revision <= revision)
        return Events(tuple(PutEvent(put.key, put.value, put.revision) for put in puts), revision)


def _hold_seconds(hold_ms: int) -> float:
    """How long a lock is withheld from other holders after a call with this ``hold_ms``."""
    return hold_ms / 1000 + LOCK_MARGIN_SECONDS
