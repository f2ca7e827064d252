"""Checks of coordination calls, from what callers recorded alone: ONE, ORDER, STALE, MIXED, REFUSED and LOST.

Every machine is bound by these rules, in touch or not, so that no trouble excuses a breach. A call without an answer,
or with one that promises nothing, may or may not have taken effect.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise

from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyMissing,
    KeyPut,
    LockRenewed,
    LockTaken,
    NextNumber,
    NumberGiven,
    PutKey,
    ReadEvents,
    ReadKey,
    ReleaseLock,
    RenewLock,
    RevisionConflict,
    TakeLock,
    group_of,
)
from rowanshift.invariants.breaches import Breach, Facts, of_kind
from rowanshift.invariants.coordination_facts import CoordinationAnswered, CoordinationAsked

NEVER = float("inf")
REJECTING_STATUSES = (400, 404, 405, 409, 412, 413, 429, 503)  # the call has not taken effect, and never will


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call with its answer. ``answered_at`` is infinite where there was none."""

    id: str
    call: Call
    asked_at: float
    answered_at: float = NEVER
    status: int = 0
    answer: Answer | None = None

    def breach(self, rule: str, why: str) -> Breach:
        """A rule that this call shows to be broken."""
        return Breach(rule, min(self.answered_at, self.asked_at if self.status == 0 else NEVER), (self.id,), why)


def call_records(facts: Facts) -> list[CallRecord]:
    """All calls, in the order in which they were sent."""
    answers = {answered.id: answered for answered in of_kind(facts, CoordinationAnswered)}
    records = []
    for asked in of_kind(facts, CoordinationAsked):
        answered = answers.get(asked.id)
        if answered is None:
            records.append(CallRecord(asked.id, asked.call, asked.at))
        else:
            records.append(CallRecord(asked.id, asked.call, asked.at, answered.at, answered.status, answered.answer))
    return sorted(records, key=lambda record: record.asked_at)


def coordination(facts: Facts, history_seconds: float) -> list[Breach]:
    """All rules of coordination that were broken, in the order of the times."""
    records = call_records(facts)
    if not records:
        return []
    puts = Puts.among(records)
    found = [
        *held_by_two(records),
        *tokens_out_of_order(records),
        *numbers_out_of_order(records),
        *revisions_out_of_order(puts),
        *puts_over_later_revisions(puts),
        *conflicts_with_itself(records, puts),
        *events_out_of_order(records, puts),
        *stale_reads(records, puts),
        *mixed_values(records, puts),
        *shown_though_rejected(records, puts),
        *watches_dropped_too_soon(records, history_seconds),
    ]
    return sorted(found, key=lambda breach: breach.at)


# ONE


@dataclass(slots=True)
class Hold:
    """A time in which a caller counts itself holder of a lock."""

    lock: str
    holder: str
    since: float
    until: float
    id: str


def holds(records: Iterable[CallRecord]) -> list[Hold]:
    """All holds by their callers' own count: from a 200 until the time of the last good call, counted from when that
    was sent, is over, or until the lock is given back."""
    found: list[Hold] = []
    current: dict[tuple[str, str], Hold] = {}  # by lock and holder
    for at, record, is_answer in _moments(records):
        call = record.call
        if isinstance(call, TakeLock | RenewLock) and is_answer:
            key, until = (call.lock, call.holder), record.asked_at + call.hold_ms / 1000
            is_good = isinstance(record.answer, LockTaken | LockRenewed) and at < until
            hold = current.get(key)
            if not is_good or (isinstance(call, RenewLock) and (hold is None or at >= hold.until)):
                continue
            if hold is not None and at < hold.until:
                hold.until = max(hold.until, until)
                continue
            current[key] = Hold(call.lock, call.holder, at, until, record.id)
            found.append(current[key])
        elif isinstance(call, ReleaseLock) and not is_answer:
            hold = current.pop((call.lock, call.holder), None)
            if hold is not None:
                hold.until = min(hold.until, at)
    return found


def _moments(records: Iterable[CallRecord]) -> Iterator[tuple[float, CallRecord, bool]]:
    """When calls were sent and answered, in order; whether it is the answer. At one moment a caller gets an answer, and
    then sends the next call."""
    moments = [(record.asked_at, False, record) for record in records]
    moments += [(record.answered_at, True, record) for record in records if record.answered_at < NEVER]
    for at, is_answer, record in sorted(moments, key=lambda moment: (moment[0], not moment[1])):
        yield at, record, is_answer


def held_by_two(records: list[CallRecord]) -> list[Breach]:
    """ONE: two callers count themselves holder of one lock at the same moment."""
    by_lock: dict[str, list[Hold]] = defaultdict(list)
    for hold in holds(records):
        by_lock[hold.lock].append(hold)
    found = []
    for lock, of_lock in by_lock.items():
        of_lock.sort(key=lambda hold: hold.since)
        last: Hold | None = None
        for hold in of_lock:
            if last is not None and hold.holder != last.holder and hold.since < last.until:
                why = f"{hold.holder} and {last.holder} hold {lock}, the latter until {last.until:.3f} s"
                found.append(Breach("ONE", hold.since, (hold.id, last.id), why))
            if last is None or hold.until > last.until:
                last = hold
    return found


def tokens_out_of_order(records: list[CallRecord]) -> list[Breach]:
    """ONE: a token is not above one that another holder got before the call was sent, or goes to two holders."""
    by_lock: dict[str, list[tuple[CallRecord, TakeLock, int]]] = defaultdict(list)
    for record in records:
        if isinstance(record.call, TakeLock) and isinstance(record.answer, LockTaken):
            by_lock[record.call.lock].append((record, record.call, record.answer.token))
    found = []
    for lock, taken in by_lock.items():
        holders: dict[int, str] = {}
        for record, call, token in taken:
            if holders.setdefault(token, call.holder) != call.holder:
                found.append(record.breach("ONE", f"token {token} of {lock} went to two holders"))
            before = [
                other_token
                for other, other_call, other_token in taken
                if other_call.holder != call.holder and other.answered_at < record.asked_at
            ]
            if before and token <= max(before):
                found.append(record.breach("ONE", f"token {token} of {lock} came after {max(before)}"))
    return found


# ORDER


def _not_rising(rows: list[tuple[CallRecord, int]], what: str) -> Iterator[Breach]:
    """Numbers given twice, or not above one that was given before the call was sent."""
    givers: dict[int, CallRecord] = {}
    answered = sorted(rows, key=lambda row: row[0].answered_at)
    highest, next_answered = -1, 0
    for record, number in sorted(rows, key=lambda row: row[0].asked_at):
        if number in givers:
            yield record.breach("ORDER", f"{what}: {number} was given twice")
        givers[number] = record
        while answered[next_answered][0].answered_at < record.asked_at:
            highest = max(highest, answered[next_answered][1])
            next_answered += 1
        if number <= highest:
            yield record.breach("ORDER", f"{what}: {number} was given after {highest}")


def numbers_out_of_order(records: list[CallRecord]) -> list[Breach]:
    """ORDER: a number of a name is given twice, or not above one given before."""
    by_name: dict[str, list[tuple[CallRecord, int]]] = defaultdict(list)
    for record in records:
        if isinstance(record.call, NextNumber) and isinstance(record.answer, NumberGiven):
            by_name[record.call.name].append((record, record.answer.value))
    return [breach for name, rows in by_name.items() for breach in _not_rising(rows, f"numbers of {name}")]


@dataclass(slots=True)
class Put:
    """A put with all its calls: a value of a key is put once, however often it is sent."""

    key: str
    value: str
    expected: int | None
    first_asked: CallRecord
    acknowledged: CallRecord | None = None  # the first call that was answered with a revision
    revision: int | None = None  # as acknowledged, or as a read or a watch has shown it
    is_rejected: bool = True  # every call was answered by a status that promises that it has no effect


@dataclass(slots=True)
class Puts:
    """All puts that were sent, and what is known of their revisions."""

    by_value: dict[tuple[str, str], Put] = field(default_factory=dict)
    conflicts: list[Breach] = field(default_factory=list)  # two revisions for one put

    @classmethod
    def among(cls, records: list[CallRecord]) -> Puts:
        """The puts among calls, and the revisions that acknowledgements, reads and watches tell."""
        puts = cls()
        for record in records:
            if isinstance(record.call, PutKey):
                puts._add(record, record.call)
        for record in records:
            for key, value, revision in shown(record):
                puts._note_revision(record, key, value, revision)
        return puts

    def _add(self, record: CallRecord, call: PutKey) -> None:
        put = self.by_value.get((call.key, call.value))
        if put is None:
            put = Put(call.key, call.value, call.expected_revision, record)
            self.by_value[call.key, call.value] = put
        if record.status not in REJECTING_STATUSES:
            put.is_rejected = False
        if isinstance(record.answer, KeyPut):
            if put.acknowledged is None or record.answered_at < put.acknowledged.answered_at:
                put.acknowledged = record
            self._note_revision(record, call.key, call.value, record.answer.revision)

    def _note_revision(self, record: CallRecord, key: str, value: str, revision: int) -> None:
        put = self.by_value.get((key, value))
        if put is None:
            return
        if put.revision is not None and put.revision != revision:
            why = f"{key}={value} has revisions {put.revision} and {revision}"
            self.conflicts.append(record.breach("MIXED", why))
        put.revision = revision

    def acknowledged(self) -> Iterator[tuple[Put, CallRecord, int]]:
        """The puts that were acknowledged, the first call that was, and the revision."""
        for put in self.by_value.values():
            if put.acknowledged is not None and put.revision is not None:
                yield put, put.acknowledged, put.revision

    def with_revision(self) -> Iterator[tuple[Put, int]]:
        """The puts whose revision is known."""
        for put in self.by_value.values():
            if put.revision is not None:
                yield put, put.revision


def shown(record: CallRecord) -> list[tuple[str, str, int]]:
    """Keys, values and revisions that an answer shows."""
    if isinstance(record.call, ReadKey) and isinstance(record.answer, KeyFound):
        return [(record.call.key, record.answer.value, record.answer.revision)]
    if isinstance(record.answer, Events):
        return [(event.key, event.value, event.revision) for event in record.answer.events]
    return []


def revisions_out_of_order(puts: Puts) -> list[Breach]:
    """ORDER: a revision of a group is given twice, or not above one given before the put was first sent."""
    by_group: dict[str, list[tuple[CallRecord, int]]] = defaultdict(list)
    for put, acknowledged, revision in puts.acknowledged():
        record = CallRecord(
            acknowledged.id, put.first_asked.call, put.first_asked.asked_at, acknowledged.answered_at, 200
        )
        by_group[group_of(put.key)].append((record, revision))
    return [breach for group, rows in by_group.items() for breach in _not_rising(rows, f"revisions of {group}")]


def puts_over_later_revisions(puts: Puts) -> list[Breach]:
    """ORDER: a put with an expected revision succeeds although the key had a later one."""
    by_key: dict[str, list[int]] = defaultdict(list)
    for put, revision in puts.with_revision():
        by_key[put.key].append(revision)
    found = []
    for put, acknowledged, revision in puts.acknowledged():
        if put.expected is None:
            continue
        between = [other for other in by_key[put.key] if put.expected < other < revision]
        if between or revision <= put.expected:
            why = f"{put.key}: {revision} was put over {between or revision}, {put.expected} was expected"
            found.append(acknowledged.breach("ORDER", why))
    return found


def conflicts_with_itself(records: list[CallRecord], puts: Puts) -> list[Breach]:
    """ORDER: a put that has taken effect and comes again is answered 412 in place of its first revision."""
    found = []
    for record in records:
        if not isinstance(record.call, PutKey) or not isinstance(record.answer, RevisionConflict):
            continue
        put = puts.by_value[record.call.key, record.call.value]
        if put.revision is not None and put.revision <= record.answer.revision:
            why = f"{put.key}={put.value} has revision {put.revision} and conflicts with {record.answer.revision}"
            found.append(record.breach("ORDER", why))
    return found


def events_out_of_order(records: list[CallRecord], puts: Puts) -> list[Breach]:
    """ORDER: the events of a watch don't rise, lie outside their span, or leave out a put within it."""
    by_group: dict[str, set[int]] = defaultdict(set)
    for put, revision in puts.with_revision():
        by_group[group_of(put.key)].add(revision)
    found = []
    for record in records:
        if not isinstance(record.call, ReadEvents) or not isinstance(record.answer, Events):
            continue
        call, answer = record.call, record.answer
        revisions = [event.revision for event in answer.events]
        if any(later <= earlier for earlier, later in pairwise([call.after, *revisions])):
            found.append(record.breach("ORDER", f"events of {call.group} after {call.after}: {revisions}"))
        if not call.after:
            continue
        span = {revision for revision in by_group[call.group] if call.after < revision <= answer.revision}
        if missing := sorted(span - set(revisions)):
            found.append(record.breach("ORDER", f"a watch of {call.group} left out {missing}"))
        if any(revision > answer.revision for revision in revisions):
            found.append(record.breach("ORDER", f"a watch of {call.group} goes beyond {answer.revision}"))
    return found


# STALE, MIXED, REFUSED, LOST


def stale_reads(records: list[CallRecord], puts: Puts) -> list[Breach]:
    """STALE: a key is read at a revision below that of a put acknowledged before; LOST: a watch of 0 tells such one."""
    by_key: dict[str, list[tuple[float, int]]] = defaultdict(list)
    by_group: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for put, acknowledged, revision in puts.acknowledged():
        by_key[put.key].append((acknowledged.answered_at, revision))
        by_group[group_of(put.key)].append((acknowledged.answered_at, revision))
    found = []
    for record in records:
        match record.call, record.answer:
            case ReadKey(key), KeyFound(_, revision):
                rule, owed = "STALE", by_key[key]
            case ReadKey(key), KeyMissing():
                rule, owed, revision = "STALE", by_key[key], 0
            case ReadEvents(group, _), Events(_, revision):
                rule, owed = "LOST", by_group[group]
            case _:
                continue
        before = [put_revision for acknowledged_at, put_revision in owed if acknowledged_at < record.asked_at]
        if before and max(before) > revision:
            found.append(record.breach(rule, f"{record.call} got {revision}, {max(before)} was acknowledged before"))
    return found


def mixed_values(records: list[CallRecord], puts: Puts) -> list[Breach]:
    """MIXED: a value that nobody put to that key, two revisions of one put, a 412 with another key's revision."""
    found = list(puts.conflicts)
    keys_by_revision = {(group_of(put.key), revision): put.key for put, revision in puts.with_revision()}
    for record in records:
        for key, value, _ in shown(record):
            put = puts.by_value.get((key, value))
            if put is None or put.first_asked.asked_at > record.answered_at:
                found.append(record.breach("MIXED", f"{key}={value} was put by nobody"))
        if isinstance(record.call, PutKey) and isinstance(record.answer, RevisionConflict):
            key, revision = record.call.key, record.answer.revision
            if revision and keys_by_revision.get((group_of(key), revision), key) != key:
                found.append(record.breach("MIXED", f"a conflict at {key} names {revision}, which another key has"))
    return found


def shown_though_rejected(records: list[CallRecord], puts: Puts) -> list[Breach]:
    """REFUSED: a value is shown although every call that put it was rejected."""
    found = []
    for record in records:
        for key, value, _ in shown(record):
            put = puts.by_value.get((key, value))
            if put is not None and put.is_rejected:
                found.append(record.breach("REFUSED", f"{key}={value} is shown, and its put was rejected"))
    return found


def watches_dropped_too_soon(records: list[CallRecord], history_seconds: float) -> list[Breach]:
    """LOST: a watch is answered 410 for a revision that was given to one less than ``history_seconds`` before."""
    given: dict[tuple[str, int], float] = {}
    found = []
    for at, record, is_answer in _moments(records):
        if not is_answer or not isinstance(record.call, ReadEvents):
            continue
        if isinstance(record.answer, Events):
            given[record.call.group, record.answer.revision] = at
        elif isinstance(record.answer, HistoryDropped):
            since = given.get((record.call.group, record.call.after))
            if since is not None and record.asked_at - since < history_seconds:
                found.append(record.breach("LOST", f"{record.call.group} {record.call.after} is no longer kept"))
    return found
