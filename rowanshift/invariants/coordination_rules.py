"""Checks of coordination calls, based only on the callers' records: ONE, ORDER, STALE, MIXED, REFUSED and LOST.

These rules apply to every machine, connected or not, so that no fault excuses a violation. A call without an answer,
or with a status that guarantees nothing, may or may not have taken effect.
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
from rowanshift.invariants.breaches import Facts, Violation, of_kind
from rowanshift.invariants.coordination_facts import CoordinationAnswered, CoordinationAsked

NEVER = float("inf")
REJECTING_STATUSES = (400, 404, 405, 409, 412, 413, 429, 503)  # the call has had no effect, and never will


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call with its answer. ``answered_at`` is infinite if there was none."""

    id: str
    call: Call
    asked_at: float
    answered_at: float = NEVER
    status: int = 0
    answer: Answer | None = None

    def violation(self, rule: str, why: str) -> Violation:
        """Create the violation of a rule that this call proves."""
        return Violation(rule, min(self.answered_at, self.asked_at if self.status == 0 else NEVER), (self.id,), why)


def call_records(facts: Facts) -> list[CallRecord]:
    """All calls, sorted by the time at which they were sent."""
    answers = {answered.id: answered for answered in of_kind(facts, CoordinationAnswered)}
    records = []
    for asked in of_kind(facts, CoordinationAsked):
        answered = answers.get(asked.id)
        if answered is None:
            records.append(CallRecord(asked.id, asked.call, asked.at))
        else:
            records.append(CallRecord(asked.id, asked.call, asked.at, answered.at, answered.status, answered.answer))
    return sorted(records, key=lambda record: record.asked_at)


def check_coordination(facts: Facts, history_seconds: float) -> list[Violation]:
    """All violations of the coordination rules, sorted by time."""
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
        *conflicts_with_own_put(records, puts),
        *events_out_of_order(records, puts),
        *stale_reads(records, puts),
        *mixed_values(records, puts),
        *returned_though_rejected(records, puts),
        *watches_dropped_too_early(records, history_seconds),
    ]
    return sorted(found, key=lambda violation: violation.at)


# ONE


@dataclass(slots=True)
class Hold:
    """A time span in which a caller regards itself as the holder of a lock."""

    lock: str
    holder: str
    since: float
    until: float
    id: str


def holds_of(records: Iterable[CallRecord]) -> list[Hold]:
    """All holds from their callers' point of view.

    A hold starts with a 200 and lasts until the hold time of the last successful call has passed since that was sent,
    or until the release of the lock is sent.
    """
    found: list[Hold] = []
    current: dict[tuple[str, str], Hold] = {}  # by lock and holder
    for at, record, is_answer in _moments(records):
        call = record.call
        if isinstance(call, TakeLock | RenewLock) and is_answer:
            key, until = (call.lock, call.holder), record.asked_at + call.hold_ms / 1000
            is_successful = isinstance(record.answer, LockTaken | LockRenewed) and at < until
            hold = current.get(key)
            if not is_successful or (isinstance(call, RenewLock) and (hold is None or at >= hold.until)):
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
    """The times at which calls were sent and answered, sorted; the flag is true for an answer.

    At equal times answers precede calls, since a caller sends its next call after the previous answer.
    """
    moments = [(record.asked_at, False, record) for record in records]
    moments += [(record.answered_at, True, record) for record in records if record.answered_at < NEVER]
    for at, is_answer, record in sorted(moments, key=lambda moment: (moment[0], not moment[1])):
        yield at, record, is_answer


def held_by_two(records: list[CallRecord]) -> list[Violation]:
    """ONE: two callers regard themselves as the holder of a lock at the same time."""
    by_lock: dict[str, list[Hold]] = defaultdict(list)
    for hold in holds_of(records):
        by_lock[hold.lock].append(hold)
    found = []
    for lock, of_lock in by_lock.items():
        of_lock.sort(key=lambda hold: hold.since)
        last: Hold | None = None
        for hold in of_lock:
            if last is not None and hold.holder != last.holder and hold.since < last.until:
                why = f"{hold.holder} and {last.holder} both hold {lock}, the latter until {last.until:.3f} s"
                found.append(Violation("ONE", hold.since, (hold.id, last.id), why))
            if last is None or hold.until > last.until:
                last = hold
    return found


def tokens_out_of_order(records: list[CallRecord]) -> list[Violation]:
    """ONE: two holders get the same token, or a token is not above one given to another holder before the call."""
    by_lock: dict[str, list[tuple[CallRecord, TakeLock, int]]] = defaultdict(list)
    for record in records:
        if isinstance(record.call, TakeLock) and isinstance(record.answer, LockTaken):
            by_lock[record.call.lock].append((record, record.call, record.answer.token))
    found = []
    for lock, taken in by_lock.items():
        holders: dict[int, str] = {}
        for record, call, token in taken:
            if holders.setdefault(token, call.holder) != call.holder:
                found.append(record.violation("ONE", f"token {token} of {lock} was given to two holders"))
            before = [
                other_token
                for other, other_call, other_token in taken
                if other_call.holder != call.holder and other.answered_at < record.asked_at
            ]
            if before and token <= max(before):
                found.append(record.violation("ONE", f"token {token} of {lock} was given after {max(before)}"))
    return found


# ORDER


def _not_increasing(rows: list[tuple[CallRecord, int]], what: str) -> Iterator[Violation]:
    """Numbers that were given twice, or are not above one given before the call was sent."""
    records_by_number: dict[int, CallRecord] = {}
    answered = sorted(rows, key=lambda row: row[0].answered_at)
    highest, next_answered = -1, 0
    for record, number in sorted(rows, key=lambda row: row[0].asked_at):
        if number in records_by_number:
            yield record.violation("ORDER", f"{what}: {number} was given twice")
        records_by_number[number] = record
        while answered[next_answered][0].answered_at < record.asked_at:
            highest = max(highest, answered[next_answered][1])
            next_answered += 1
        if number <= highest:
            yield record.violation("ORDER", f"{what}: {number} was given after {highest}")


def numbers_out_of_order(records: list[CallRecord]) -> list[Violation]:
    """ORDER: a number of a sequence is given twice, or is not above one given before the call."""
    by_name: dict[str, list[tuple[CallRecord, int]]] = defaultdict(list)
    for record in records:
        if isinstance(record.call, NextNumber) and isinstance(record.answer, NumberGiven):
            by_name[record.call.name].append((record, record.answer.value))
    return [violation for name, rows in by_name.items() for violation in _not_increasing(rows, f"numbers of {name}")]


@dataclass(slots=True)
class Put:
    """A put with all its calls. Each value of a key belongs to one put, however often that is sent."""

    key: str
    value: str
    expected: int | None
    first_asked: CallRecord
    acknowledged: CallRecord | None = None  # the first call that was answered with a revision
    revision: int | None = None  # as returned by an acknowledgement, a read or a watch
    is_rejected: bool = True  # the status of every call guarantees that it had no effect


@dataclass(slots=True)
class Puts:
    """All puts that were sent, with their known revisions."""

    by_value: dict[tuple[str, str], Put] = field(default_factory=dict)
    conflicts: list[Violation] = field(default_factory=list)  # two revisions for one put

    @classmethod
    def among(cls, records: list[CallRecord]) -> Puts:
        """Collect the puts from calls, with the revisions from acknowledgements, reads and watches."""
        puts = cls()
        for record in records:
            if isinstance(record.call, PutKey):
                puts._add(record, record.call)
        for record in records:
            for key, value, revision in returned_values(record):
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
            why = f"{key}={value} was returned with both revisions {put.revision} and {revision}"
            self.conflicts.append(record.violation("MIXED", why))
        put.revision = revision

    def acknowledged(self) -> Iterator[tuple[Put, CallRecord, int]]:
        """The acknowledged puts, each with its first acknowledged call and its revision."""
        for put in self.by_value.values():
            if put.acknowledged is not None and put.revision is not None:
                yield put, put.acknowledged, put.revision

    def with_revision(self) -> Iterator[tuple[Put, int]]:
        """The puts with a known revision."""
        for put in self.by_value.values():
            if put.revision is not None:
                yield put, put.revision


def returned_values(record: CallRecord) -> list[tuple[str, str, int]]:
    """The keys, values and revisions that an answer contains."""
    if isinstance(record.call, ReadKey) and isinstance(record.answer, KeyFound):
        return [(record.call.key, record.answer.value, record.answer.revision)]
    if isinstance(record.answer, Events):
        return [(event.key, event.value, event.revision) for event in record.answer.events]
    return []


def revisions_out_of_order(puts: Puts) -> list[Violation]:
    """ORDER: a revision of a group is given twice, or is not above one given before the put was first sent."""
    by_group: dict[str, list[tuple[CallRecord, int]]] = defaultdict(list)
    for put, acknowledged, revision in puts.acknowledged():
        record = CallRecord(
            acknowledged.id, put.first_asked.call, put.first_asked.asked_at, acknowledged.answered_at, 200
        )
        by_group[group_of(put.key)].append((record, revision))
    return [
        violation for group, rows in by_group.items() for violation in _not_increasing(rows, f"revisions of {group}")
    ]


def puts_over_later_revisions(puts: Puts) -> list[Violation]:
    """ORDER: a put with an expected revision succeeds although the key had a later revision."""
    by_key: dict[str, list[int]] = defaultdict(list)
    for put, revision in puts.with_revision():
        by_key[put.key].append(revision)
    found = []
    for put, acknowledged, revision in puts.acknowledged():
        if put.expected is None:
            continue
        between = [other for other in by_key[put.key] if put.expected < other < revision]
        if between or revision <= put.expected:
            why = f"{put.key}: {revision} was put over {between or revision}, although {put.expected} was expected"
            found.append(acknowledged.violation("ORDER", why))
    return found


def conflicts_with_own_put(records: list[CallRecord], puts: Puts) -> list[Violation]:
    """ORDER: a retry of a put that has taken effect is answered 412 instead of with its revision."""
    found = []
    for record in records:
        if not isinstance(record.call, PutKey) or not isinstance(record.answer, RevisionConflict):
            continue
        put = puts.by_value[record.call.key, record.call.value]
        if put.revision is not None and put.revision <= record.answer.revision:
            why = f"{put.key}={put.value} has revision {put.revision}, but conflicts with {record.answer.revision}"
            found.append(record.violation("ORDER", why))
    return found


def events_out_of_order(records: list[CallRecord], puts: Puts) -> list[Violation]:
    """ORDER: the revisions of a watch's events don't increase, are outside its range, or omit a put in the range."""
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
            found.append(
                record.violation(
                    "ORDER", f"a watch of {call.group} after {call.after} returned {revisions}: not increasing"
                )
            )
        if not call.after:
            continue
        span = {revision for revision in by_group[call.group] if call.after < revision <= answer.revision}
        if missing := sorted(span - set(revisions)):
            found.append(record.violation("ORDER", f"a watch of {call.group} omitted revisions {missing}"))
        if any(revision > answer.revision for revision in revisions):
            found.append(
                record.violation("ORDER", f"a watch of {call.group} up to {answer.revision} returned a later revision")
            )
    return found


# STALE, MIXED, REFUSED, LOST


def stale_reads(records: list[CallRecord], puts: Puts) -> list[Violation]:
    """STALE: a read returns a revision below that of a put acknowledged before it; LOST: a watch does so."""
    by_key: dict[str, list[tuple[float, int]]] = defaultdict(list)
    by_group: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for put, acknowledged, revision in puts.acknowledged():
        by_key[put.key].append((acknowledged.answered_at, revision))
        by_group[group_of(put.key)].append((acknowledged.answered_at, revision))
    found = []
    for record in records:
        match record.call, record.answer:
            case ReadKey(key), KeyFound(_, revision):
                rule, acknowledged_puts = "STALE", by_key[key]
            case ReadKey(key), KeyMissing():
                rule, acknowledged_puts, revision = "STALE", by_key[key], 0
            case ReadEvents(group, _), Events(_, revision):
                rule, acknowledged_puts = "LOST", by_group[group]
            case _:
                continue
        before = [
            put_revision for acknowledged_at, put_revision in acknowledged_puts if acknowledged_at < record.asked_at
        ]
        if before and max(before) > revision:
            found.append(
                record.violation(rule, f"{record.call} returned {revision}, but {max(before)} was acknowledged before")
            )
    return found


def mixed_values(records: list[CallRecord], puts: Puts) -> list[Violation]:
    """MIXED: a key has a value that was never put to it, a put has two revisions, or a 412 names another key's one."""
    found = list(puts.conflicts)
    keys_by_revision = {(group_of(put.key), revision): put.key for put, revision in puts.with_revision()}
    for record in records:
        for key, value, _ in returned_values(record):
            put = puts.by_value.get((key, value))
            if put is None or put.first_asked.asked_at > record.answered_at:
                found.append(record.violation("MIXED", f"{key}={value} was returned, but no such put was sent before"))
        if isinstance(record.call, PutKey) and isinstance(record.answer, RevisionConflict):
            key, revision = record.call.key, record.answer.revision
            if revision and keys_by_revision.get((group_of(key), revision), key) != key:
                found.append(
                    record.violation(
                        "MIXED", f"a conflict at {key} names revision {revision}, which belongs to another key"
                    )
                )
    return found


def returned_though_rejected(records: list[CallRecord], puts: Puts) -> list[Violation]:
    """REFUSED: a value is returned although every call that put it was rejected."""
    found = []
    for record in records:
        for key, value, _ in returned_values(record):
            put = puts.by_value.get((key, value))
            if put is not None and put.is_rejected:
                found.append(record.violation("REFUSED", f"{key}={value} was returned although its put was rejected"))
    return found


def watches_dropped_too_early(records: list[CallRecord], history_seconds: float) -> list[Violation]:
    """LOST: a watch is answered 410 for a revision that a watch returned less than ``history_seconds`` earlier."""
    returned_at: dict[tuple[str, int], float] = {}
    found = []
    for at, record, is_answer in _moments(records):
        if not is_answer or not isinstance(record.call, ReadEvents):
            continue
        if isinstance(record.answer, Events):
            returned_at[record.call.group, record.answer.revision] = at
        elif isinstance(record.answer, HistoryDropped):
            since = returned_at.get((record.call.group, record.call.after))
            if since is not None and record.asked_at - since < history_seconds:
                found.append(
                    record.violation(
                        "LOST",
                        f"the history of {record.call.group} after revision {record.call.after} was dropped too early",
                    )
                )
    return found
