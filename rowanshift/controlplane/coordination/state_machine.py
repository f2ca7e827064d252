"""What a call does to the coordination state, and its answer: the decisions of the primary. No I/O, no clock.

Times are steady seconds of the machine that is primary, and are not replicated: a new primary counts every hold and
every put in the history as if it had come when it became primary. No hold that a former primary answered was asked for
later, as its answer was confirmed in the former epoch.
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

LOCK_MARGIN_SECONDS = 0.1  # beyond the hold, until a lock is given to another
HISTORY_FACTOR = 2.0  # times ``historyS``, for which puts are kept
MIN_HISTORY_SECONDS = 30.0  # for which a put that is sent again is known


class Effect(Enum):
    """What a call has changed."""

    NONE = "none"
    MEMORY = "memory"  # what the primary alone knows: until when a lock is held
    STATE = "state"  # what is replicated; the answer is valid once the state is committed


@dataclass(frozen=True, slots=True)
class Applied:
    """A call that was applied. The answer may be given once its effect has lasted, or leadership was confirmed."""

    answer: Answer
    effect: Effect = Effect.NONE


class CoordinationStateMachine:
    """The state of all names at the primary. What was applied and not committed yet is in it too."""

    def __init__(self, packed: bytes, now: float, history_seconds: float) -> None:
        """``packed`` is the committed state, ``now`` when this machine became primary or later."""
        self.state: CoordinationState = unpack(packed, now)
        self.history_seconds = max(MIN_HISTORY_SECONDS, HISTORY_FACTOR * history_seconds)
        self._held_until = {lock.name: now + _hold_seconds(lock.hold_ms) for lock in self.state.locks}
        self._committed_revisions = {group.name: group.revision for group in self.state.groups}
        self._changed_groups: set[str] = set()  # since the last commit

    def apply(self, call: Call, now: float) -> Applied:
        """Carry a call out and return its answer."""
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
        """The state to be committed, without the puts that are no longer kept."""
        for record in self.state.history.drop_before(now - self.history_seconds):
            group = self._group(group_of(record.key))
            self.state.groups.put(GroupRecord(group.name, group.revision, record.revision))
        return self.state.pack()

    def committed(self) -> set[str]:
        """All that was applied has been committed. Returns the groups whose keys have changed by it."""
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
        if lock is None and (reason := self._lock_limit(now)):
            return Applied(LimitReached(reason))
        self.state.last_token += 1
        token = self.state.last_token
        first_token, hold_ms = token, call.hold_ms
        if lock is not None and lock.holder == call.holder:
            first_token, hold_ms = lock.first_token, max(hold_ms, lock.hold_ms)
        self.state.locks.put(LockRecord(call.lock, call.holder, first_token, token, hold_ms))
        self._hold_until(call.lock, now + _hold_seconds(call.hold_ms), held)
        return Applied(LockTaken(token), Effect.STATE)

    def _hold_until(self, lock: str, until: float, held: bool) -> None:
        """Let a hold last until a time; one that goes on is never shortened."""
        self._held_until[lock] = max(until, self._held_until[lock]) if held else until

    def _renew(self, call: RenewLock, now: float) -> Applied:
        lock = self.state.locks.get(call.lock)
        if lock is None or lock.holder != call.holder or not lock.first_token <= call.token <= lock.token:
            return Applied(LockLost())
        # nobody was given the lock since, also where its time was over
        self._hold_until(call.lock, now + _hold_seconds(call.hold_ms), self._is_held(lock, now))
        if call.hold_ms <= lock.hold_ms:  # a new primary waits for so long anyway
            return Applied(LockRenewed(), Effect.MEMORY)
        self.state.locks.put(LockRecord(lock.name, lock.holder, lock.first_token, lock.token, call.hold_ms))
        return Applied(LockRenewed(), Effect.STATE)

    def _release(self, call: ReleaseLock) -> Applied:
        lock = self.state.locks.get(call.lock)
        # only the last token ends a hold: a call that was delayed must not end one that the holder took later
        if lock is None or lock.holder != call.holder or lock.token != call.token:
            return Applied(LockReleased())
        self._remove_lock(lock)
        return Applied(LockReleased(), Effect.STATE)

    def _remove_lock(self, lock: LockRecord) -> None:
        self.state.locks.remove(lock.name)
        self._held_until.pop(lock.name, None)

    def _lock_limit(self, now: float) -> str:
        """Why there may be no further lock, empty if there may; ended holds make room."""
        if len(self.state.locks) >= limits.MAX_LOCKS:
            for lock in [lock for lock in self.state.locks if not self._is_held(lock, now)]:
                self._remove_lock(lock)
        if len(self.state.locks) >= limits.MAX_LOCKS:
            return f"{limits.MAX_LOCKS} locks are held"
        return self._size_limit()

    # numbers

    def _next_number(self, call: NextNumber) -> Applied:
        number = self.state.numbers.get(call.name)
        if number is None and len(self.state.numbers) >= limits.MAX_NUMBER_NAMES:
            return Applied(LimitReached(f"{limits.MAX_NUMBER_NAMES} names have numbers"))
        if number is None and (reason := self._size_limit()):
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
        if reason := self._put_limit(key, group):
            return Applied(LimitReached(reason))
        record = KeyRecord(call.key, call.value, group.revision + 1)
        self.state.keys.put(record)
        self.state.groups.put(GroupRecord(group.name, record.revision, group.dropped_revision))
        self.state.history.add(PutRecord(record.revision, call.key, call.value), now)
        self._changed_groups.add(group.name)
        return Applied(KeyPut(record.revision), Effect.STATE)

    def _first_revision(self, call: PutKey, key: KeyRecord | None) -> int | None:
        """The revision of the put that this one repeats; None if it repeats none."""
        if key is not None and key.value == call.value:
            return key.revision
        return self.state.history.revision_of(call.key, call.value)

    def _put_limit(self, key: KeyRecord | None, group: GroupRecord) -> str:
        """Why there may be no further put, empty if there may."""
        if key is None and len(self.state.keys) >= limits.MAX_KEYS:
            return f"there are {limits.MAX_KEYS} keys"
        if not group.revision and len(self.state.groups) >= limits.MAX_GROUPS:
            return f"there are {limits.MAX_GROUPS} groups of keys"
        if len(self.state.history) >= limits.MAX_HISTORY_ENTRIES:
            return f"{limits.MAX_HISTORY_ENTRIES} puts are kept for watches"
        return self._size_limit()

    def _size_limit(self) -> str:
        """Why the state may not grow, empty if it may."""
        return f"the state has {limits.MAX_STATE_BYTES} bytes" if self.state.byte_size >= limits.MAX_STATE_BYTES else ""

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
    """For how long a lock is kept from others after a call that holds it so long."""
    return hold_ms / 1000 + LOCK_MARGIN_SECONDS
