"""What a core machine decides: a primary-backup store whose epochs are agreed by witnesses (docs/control-plane.md).

Events go in, with `now` in steady seconds, and actions come out of `drain()`. Nothing here waits, reads a
clock, writes a file or opens a connection. The caller carries each `Send`, writes each `Save` whole and
synced and then calls `saved`, and calls `tick` every 50 ms or by `next_wake`. What must be on disk before
another machine may learn of it is sent by the module itself, after `saved`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

HEARTBEAT = 0.15  # seconds from one Confirm round to the next
LEASE = 0.6  # seconds a primary may act as single holder after it asked a round that a majority answered
BLOCK = LEASE * 1.25  # seconds a witness that answered promises no other: covers clocks 25 % apart
LAPSE = BLOCK  # seconds without a majority's answers after which a primary gives up
SILENCE_DRAW = 0.2  # seconds, drawn from 0 to this, that a machine waits beyond BLOCK before it stands
RETRY = 0.2  # seconds until an unanswered message is sent again
ROUND = 0.5  # seconds for each step of a candidacy
STAND_LIMIT = 2.0  # seconds from a number's first Prepare to its effect: later it is given up for good
RECOVERY_WAIT = STAND_LIMIT * 1.25  # seconds: votes given before a disk was lost are counted or void by then
BACKUP_SILENCE = 0.6  # seconds without an answer after which a backup is replaced
SLOW_SAVE = 0.8  # seconds a primary's own save may take before it hands over
WITNESS_SILENCE = 2.0  # seconds without an answer after which a witness is replaced, if there is a spare
CHANGE_GAP = 1.0  # seconds from one change of witnesses to the next
RENEW_GAP = 0.3  # seconds from one renewal of an epoch by its primary to the next
FRESH = 1.0  # seconds within which a machine heard counts as alive
READ_LIMIT = 1.0  # seconds until an unconfirmed read fails
JOIN_GAP = 1.0  # seconds between a spare's Joins
REST = 3.0  # seconds that a primary which handed over, or a backup that was too slow, is left aside
NUMBER_LIMIT = 1 << 53  # epoch numbers stay exact as doubles
STATE_LIMIT = 16 * 1024 * 1024 - 4096  # bytes: a Store fits into one frame

StateVersion = tuple[int, int]


class ReplicationError(Exception):
    """The replica can't do what was asked of it."""


class NotPrimary(ReplicationError):
    """Asked of a machine that is not primary. Nothing was begun; `hint` is the primary's address or 0."""

    def __init__(self, hint: int) -> None:
        super().__init__(f"not primary; hint {hint}")
        self.hint = hint


class Busy(ReplicationError):
    """A proposal is under way: the caller proposes one at a time, each made from `committed_state`."""


class StateTooLarge(ReplicationError):
    """The sheet is over STATE_LIMIT bytes."""


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """The view: who is primary, which machines hold the sheet, whose majorities decide on the next record.

    `former` is not empty while a change of witnesses is under way: a majority of it is needed too.
    """

    number: int
    primary: int
    in_sync: tuple[int, ...]
    witnesses: tuple[int, ...]
    former: tuple[int, ...] = ()

    def sets(self) -> tuple[tuple[int, ...], ...]:
        """The witness sets a majority of each of which must promise, or accept, what follows this record."""
        return (self.witnesses, self.former) if self.former else (self.witnesses,)


NO_RECORD = EpochRecord(0, 0, (), ())


@dataclass(frozen=True, slots=True)
class Durable:
    """What a machine's disk holds, written whole."""

    promised: int
    accepted: EpochRecord
    stamp: StateVersion
    sheet: bytes
    amnesic: bool


@dataclass(frozen=True, slots=True)
class PreVote:
    number: int


@dataclass(frozen=True, slots=True)
class PreVoted:
    number: int
    ok: bool


@dataclass(frozen=True, slots=True)
class Prepare:
    number: int


@dataclass(frozen=True, slots=True)
class Promised:
    number: int
    ok: bool
    promised: int
    accepted: EpochRecord


@dataclass(frozen=True, slots=True)
class Store:
    number: int
    stamp: StateVersion
    sheet: bytes


@dataclass(frozen=True, slots=True)
class Stored:
    number: int
    stamp: StateVersion
    ok: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Accept:
    number: int
    record: EpochRecord


@dataclass(frozen=True, slots=True)
class Accepted:
    number: int
    ok: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """The primary's heartbeat, and the round that a read waits for."""

    number: int
    serial: int
    record: EpochRecord


@dataclass(frozen=True, slots=True)
class Confirmed:
    number: int
    serial: int
    ok: bool
    promised: int
    stamp: StateVersion


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Stand yourself. From the primary of epoch `number` it also gives up that epoch and its lease."""

    number: int


@dataclass(frozen=True, slots=True)
class RecoveryRequest:
    """Asked by a machine that has amnesic; `serial` keeps answers to an earlier life apart."""

    serial: int


@dataclass(frozen=True, slots=True)
class RecoveryReply:
    serial: int
    promised: int
    accepted: EpochRecord
    amnesic: bool


@dataclass(frozen=True, slots=True)
class Join:
    machine: int


Message = (
    PreVote | PreVoted | Prepare | Promised | Store | Stored | Accept | Accepted
    | Confirm | Confirmed | TransferLeadership | RecoveryRequest | RecoveryReply | Join
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Send:
    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class Save:
    token: int
    durable: Durable


@dataclass(frozen=True, slots=True)
class Committed:
    token: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The primacy was lost while the proposal was under way: it may or may not be in force later."""

    token: int


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """`committed_state` as it is now holds whatever had been committed anywhere when the read was asked."""

    token: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    token: int


@dataclass(frozen=True, slots=True)
class Became:
    primary: bool


Action = Send | Save | Committed | Failed | ReadConfirmed | ReadFailed | Became


def majority(members: tuple[int, ...]) -> int:
    return len(members) // 2 + 1


def has_majority(voters, members: tuple[int, ...]) -> bool:
    return sum(member in voters for member in members) >= majority(members)


@dataclass
class Candidacy:
    """One number's way from pre-vote to effect. `renewal` if a primary renews its own epoch."""

    number: int
    renewal: bool
    phase: str  # "pre-vote", "prepare", "store", "accept"
    started: float  # seconds
    phase_started: float  # seconds
    sent: float  # seconds
    witnesses: tuple[int, ...] = ()  # the set wanted, if it is to change
    votes: set[int] = field(default_factory=set)  # of this phase
    records: dict[int, EpochRecord] = field(default_factory=dict)  # what each that promised had accepted
    base: EpochRecord = NO_RECORD
    backups: tuple[int, ...] = ()
    record: EpochRecord = NO_RECORD


@dataclass
class Proposal:
    token: int
    sheet: bytes
    stamp: StateVersion | None = None  # None until it is sent
    stored: set[int] = field(default_factory=set)
    started: float = 0.0  # seconds
    sent: float = 0.0  # seconds


@dataclass
class Read:
    token: int
    serial: int  # the Confirm round it waits for
    asked: float  # seconds


@dataclass
class Writing:
    token: int
    durable: Durable
    started: float  # seconds
    then: list[Send]  # to be sent once synced


class Replica:
    """One machine's part. All state is plain data, so that an explorer can copy it."""

    def __init__(
        self,
        me: int,
        f: int,
        seeds: tuple[int, ...],
        bootstrap: bool,
        durable: Durable | None,
        now: float,
        chance: Callable[[], float],
        duty_wait: float = 0.0,
    ) -> None:
        """`f` machines may be lost. `now` and `duty_wait` are in seconds; `chance` draws from [0, 1)."""
        self.me, self.f, self.duty_wait, self._chance = me, f, duty_wait, chance
        self._now = self._started = now
        seeds = tuple(sorted(seeds))
        self.wanted_witnesses = max(2 * f + 1, len(seeds))
        self._on_disk = durable
        if durable is None:
            first = EpochRecord(0, 0, seeds, seeds) if bootstrap else NO_RECORD
            durable = Durable(0, first, (0, 0), b"", amnesic=not bootstrap)
        self._durable = durable
        self._writing: Writing | None = None
        self._waiting: list[Send] = []  # until the save after the one outstanding
        self._save_token = 0
        self._save_failed = float("-inf")
        self._actions: list[Action] = []
        self._to_self: list[Message] = []
        record = durable.accepted
        self.known: set[int] = {*seeds, *record.in_sync, *record.witnesses, *record.former} - {me}
        self._heard: dict[int, float] = {}  # machine -> when it last sent what only one that remembers sends
        self._slow: dict[int, float] = {}  # machine -> until when it isn't chosen as a backup
        self._spares: dict[int, float] = {}  # machine -> when its Join was last heard
        self._holder = record.primary  # whom this witness last answered, and when: it keeps from others
        self._held = now if record.number else float("-inf")
        self._seen = durable.promised  # the highest number heard of
        self._stand_at = now + SILENCE_DRAW * chance() + (BLOCK if record.number else 0.0)
        self._candidacy: Candidacy | None = None
        self._recovery_serial = 1 + int(chance() * (1 << 31))
        self._recovery_replies: dict[int, RecoveryReply] = {}
        self._asked_recovery = float("-inf")
        self._joined = float("-inf")
        # of a primary
        self._epoch: EpochRecord | None = None
        self._effective = float("-inf")
        self.duty_from = float("inf")
        self.committed_state = b""
        self._sequence = 0
        self._proposal: Proposal | None = None
        self._reads: list[Read] = []
        self._serial = 0
        self._asked: dict[int, float] = {}  # serial -> when it was asked
        self._acked: dict[int, int] = {}  # machine -> the highest serial it confirmed
        self._confirmed: dict[int, float] = {}  # machine -> when it last confirmed
        self._lease_from = float("-inf")
        self._beat = float("-inf")
        self._renewed = float("-inf")
        self._changed = float("-inf")
        self._refused = False
        if self._on_disk is None:
            self._start_save()

    # --- what the caller may look at

    @property
    def is_primary(self) -> bool:
        return self._epoch is not None

    @property
    def is_amnesic(self) -> bool:
        return self._durable.amnesic

    @property
    def record(self) -> EpochRecord:
        """The epoch this machine is primary of, else the last record it has on disk."""
        if self._epoch is not None:
            return self._epoch
        return self._on_disk.accepted if self._on_disk is not None else NO_RECORD

    @property
    def primary_hint(self) -> int:
        """The machine that is primary as far as is known here, or 0."""
        if self._epoch is not None:
            return self.me
        return self._holder if self._holder != self.me else 0

    def lease_until(self, now: float) -> float:
        """Steady time until which this machine may act as single holder; not after `now` if it may not."""
        return min(now, self._lease_from + LEASE) if self._epoch is None else self._lease_from + LEASE

    def next_wake(self, now: float) -> float:
        """The steady time by which `tick` should be called."""
        if self._epoch or self._candidacy or self._durable.amnesic or self._on_disk is not self._durable:
            return now + 0.05
        return max(now, min(self._stand_at, now + JOIN_GAP))

    def drain(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    # --- events

    def receive(self, sender: int, message: Message, now: float) -> None:
        self._now = max(self._now, now)
        if sender != self.me:
            self.known.add(sender)
            if not isinstance(message, RecoveryRequest) and not (
                isinstance(message, RecoveryReply) and message.amnesic
            ):
                self._heard[sender] = self._now
        if self._durable.amnesic and not isinstance(message, RecoveryRequest | RecoveryReply | Join):
            return  # it doesn't know what it promised
        self._dispatch(sender, message)
        self._settle()

    def saved(self, token: int, now: float) -> None:
        self._now = max(self._now, now)
        writing = self._writing
        if writing is None or writing.token != token:
            return
        self._writing, self._on_disk = None, writing.durable
        for send in writing.then:
            self._send(send.to, send.message)
        if self._on_disk is not self._durable:
            self._start_save()
        self._settle()

    def save_failed(self, token: int, now: float) -> None:
        self._now = max(self._now, now)
        writing = self._writing
        if writing is None or writing.token != token:
            return
        self._writing, self._on_disk, self._waiting = None, None, []
        self._save_failed = self._now
        if self._epoch is not None:
            self._hand_over()
        self._end_candidacy(REST)
        self._settle()

    def tick(self, now: float) -> None:
        self._now = now = max(self._now, now)
        dirty = self._on_disk is not self._durable and self._writing is None
        if dirty and now >= self._save_failed + RETRY:
            self._start_save()
        if self._durable.amnesic:
            self._tick_recovery()
        else:
            if self._epoch is not None:
                self._tick_primary()
            if self._candidacy is not None:
                self._tick_candidacy()
            elif self._epoch is None:
                if now >= self._stand_at:
                    self._stand()
                elif now >= self._joined + JOIN_GAP and self.me not in self._durable.accepted.witnesses:
                    self._joined = now
                    for machine in sorted(self.known):
                        self._send(machine, Join(self.me))
        self._settle()

    def propose(self, token: int, sheet: bytes, now: float) -> None:
        """Make `sheet`, made from `committed_state`, the next one: `Committed` or `Failed` follows."""
        self._now = max(self._now, now)
        if self._epoch is None:
            raise NotPrimary(self.primary_hint)
        if self._proposal is not None:
            raise Busy
        if len(sheet) > STATE_LIMIT:
            raise StateTooLarge
        self._proposal = Proposal(token, sheet)
        if self._candidacy is None:
            self._send_proposal()
        self._settle()

    def resign(self, now: float) -> None:
        """Gives the epoch and the lease up, if this is the primary, so that a backup stands at once."""
        self._now = max(self._now, now)
        if self._epoch is not None and len(self._epoch.in_sync) > 1:
            self._hand_over()
        self._settle()

    def confirm_read(self, token: int, now: float) -> None:
        """`ReadConfirmed` or `ReadFailed` follows; reads asked meanwhile share the next round."""
        self._now = max(self._now, now)
        if self._epoch is None:
            raise NotPrimary(self.primary_hint)
        under_way = any(read.serial <= self._serial for read in self._reads)
        self._reads.append(Read(token, self._serial + 1, self._now))
        if not under_way and self._candidacy is None:
            self._ask_confirm()
        self._settle()

    # --- sending and saving

    def _dispatch(self, sender: int, message: Message) -> None:
        getattr(self, "_on_" + type(message).__name__.lower())(sender, message)

    def _settle(self) -> None:
        while self._to_self:
            self._dispatch(self.me, self._to_self.pop(0))

    def _send(self, to: int, message: Message) -> None:
        if to == self.me:
            self._to_self.append(message)
        else:
            self._actions.append(Send(to, message))

    def _send_saved(self, to: int, message: Message) -> None:
        """Send once everything decided so far is on disk."""
        if self._on_disk is self._durable:
            self._send(to, message)
        elif self._writing is not None and self._writing.durable is self._durable:
            self._writing.then.append(Send(to, message))
        else:
            self._waiting.append(Send(to, message))
            self._start_save()

    def _start_save(self) -> None:
        if self._writing is not None:
            return
        self._save_token += 1
        self._writing = Writing(self._save_token, self._durable, self._now, self._waiting)
        self._waiting = []
        self._actions.append(Save(self._save_token, self._durable))

    def _change(self, **fields) -> None:
        """Change what is to be durable. A higher promise than one's own number ends primacy or candidacy."""
        changed = replace(self._durable, **fields)
        if changed == self._durable:
            return
        self._durable = changed
        self._seen = max(self._seen, changed.promised)
        candidacy = self._candidacy
        own = candidacy.number if candidacy is not None and candidacy.phase != "pre-vote" else 0
        if own and changed.promised > own:
            self._end_candidacy(0.1)
        if self._epoch is not None and changed.promised > max(own, self._epoch.number):
            self._lose()

    # --- as a witness and a copy

    def _blocked(self, candidate: int) -> bool:
        return candidate != self._holder and self._now < self._held + BLOCK

    def _hold(self, primary: int) -> None:
        self._holder, self._held = primary, self._now
        self._put_off(BLOCK)

    def _put_off(self, seconds: float) -> None:
        record = self._durable.accepted
        behind = 0.0 if self._has_state(record) else ROUND
        self._stand_at = max(self._stand_at, self._now + seconds + behind + SILENCE_DRAW * self._chance())

    def _has_state(self, record: EpochRecord) -> bool:
        """Whether this machine holds all that `record` builds on: in sync, and its disk not lost since."""
        return self.me in record.in_sync and self._durable.stamp[0] >= record.number

    def _on_prevote(self, sender: int, message: PreVote) -> None:
        d = self._durable
        ok = message.number > d.promised and not self._blocked(sender)
        self._send(sender, PreVoted(message.number, ok))

    def _on_prepare(self, sender: int, message: Prepare) -> None:
        d = self._durable
        self._seen = max(self._seen, message.number)
        if message.number < d.promised or self._blocked(sender):
            self._send(sender, Promised(message.number, False, d.promised, NO_RECORD))
            return
        self._change(promised=message.number)
        self._send_saved(sender, Promised(message.number, True, message.number, d.accepted))

    def _on_store(self, sender: int, message: Store) -> None:
        d = self._durable
        if message.number < d.promised:
            self._send(sender, Stored(message.number, message.stamp, False, d.promised))
            return
        if message.stamp > d.stamp:
            self._change(promised=message.number, stamp=message.stamp, sheet=message.sheet)
        else:
            self._change(promised=message.number)
        if sender != self.me:
            self._put_off(ROUND)
        self._send_saved(sender, Stored(message.number, message.stamp, True, message.number))

    def _on_accept(self, sender: int, message: Accept) -> None:
        d = self._durable
        if message.number < d.promised:
            self._send(sender, Accepted(message.number, False, d.promised))
            return
        self._adopt(message.record)
        self._hold(sender)
        self._send_saved(sender, Accepted(message.number, True, message.number))

    def _adopt(self, record: EpochRecord) -> None:
        self.known |= {*record.in_sync, *record.witnesses} - {self.me}
        self._change(promised=record.number, accepted=record)

    def _on_confirm(self, sender: int, message: Confirm) -> None:
        d = self._durable
        if message.number < d.promised:
            self._send(sender, Confirmed(message.number, message.serial, False, d.promised, (0, 0)))
            return
        self._adopt(message.record)
        self._hold(sender)
        ok = self.me not in message.record.in_sync or self._has_state(message.record)
        disk, d = self._on_disk, self._durable
        answer = Confirmed(message.number, message.serial, ok, d.promised, d.stamp)
        known = disk is not None and (disk.promised, disk.accepted) == (d.promised, d.accepted)
        if known and disk.stamp[0] == d.stamp[0]:  # what the answer says is on disk already
            self._send(sender, replace(answer, stamp=disk.stamp))
        else:
            self._send_saved(sender, answer)

    def _on_transferleadership(self, sender: int, message: TransferLeadership) -> None:
        d = self._durable
        self._seen = max(self._seen, message.number)
        if sender == self._holder and message.number == d.accepted.number:
            self._held = float("-inf")  # its lease is given up
            self._slow[sender] = self._now + REST
        if self._epoch is not None or self._candidacy is not None or self._blocked(self.me):
            return
        if self._has_state(d.accepted):
            self._stand_at = self._now + (SILENCE_DRAW / 2 * self._chance() if self.f > 1 else 0.0)

    # --- after the disk was lost, and as a spare

    def _on_recoveryrequest(self, sender: int, message: RecoveryRequest) -> None:
        d = self._durable
        self._send_saved(sender, RecoveryReply(message.serial, d.promised, d.accepted, d.amnesic))

    def _on_join(self, sender: int, message: Join) -> None:
        self._spares[message.machine] = self._now
        if self._epoch is None:
            d = self._durable
            self._send_saved(sender, RecoveryReply(0, d.promised, d.accepted, d.amnesic))

    def _on_recoveryreply(self, sender: int, message: RecoveryReply) -> None:
        self.known |= {*message.accepted.in_sync, *message.accepted.witnesses} - {self.me}
        self._seen = max(self._seen, message.promised)
        if not self._durable.amnesic or message.amnesic or message.serial != self._recovery_serial:
            return
        self._recovery_replies[sender] = message
        newest = max((m.accepted for m in self._recovery_replies.values()), key=lambda record: record.number)
        for members in newest.sets():
            others = sum(member in self._recovery_replies for member in members)
            if others < len(members) - majority(members) + 1:
                return
        promised = max(m.promised for m in self._recovery_replies.values())
        self._holder, self._held = newest.primary, self._now
        self._stand_at = self._now + BLOCK
        self._change(promised=promised, accepted=newest, amnesic=False)
        self._start_save()

    def _tick_recovery(self) -> None:
        if self._now >= max(self._started + RECOVERY_WAIT, self._asked_recovery + RETRY):
            self._asked_recovery = self._now
            for machine in sorted(self.known):
                self._send(machine, RecoveryRequest(self._recovery_serial))

    # --- as a candidate

    def _stand(self, renewal: bool = False, witnesses: tuple[int, ...] = ()) -> None:
        number = ((max(self._seen, self._durable.promised) >> 32) + 1) << 32 | self.me
        if number >= NUMBER_LIMIT:
            self._stand_at = float("inf")
            return
        self._candidacy = Candidacy(
            number, renewal, "", self._now, self._now, self._now, witnesses, base=self._durable.accepted
        )
        if renewal:
            self._renewed = self._now
            self._enter("prepare")
        else:
            self._enter("pre-vote")

    def _enter(self, phase: str) -> None:
        c = self._candidacy
        c.phase, c.phase_started, c.votes = phase, self._now, set()
        if phase == "prepare":
            c.started = self._now
        self._send_phase()

    def _send_phase(self) -> None:
        """Send this phase's message to whoever has not voted for it."""
        c = self._candidacy
        c.sent = self._now
        members = {member for record in (c.base, c.record) for group in record.sets() for member in group}
        if c.phase == "pre-vote":
            message, to = PreVote(c.number), members
        elif c.phase == "prepare":  # one's own promise is on disk before others are asked
            message, to = Prepare(c.number), members if self.me in c.votes else {self.me}
        elif c.phase == "store":
            message, to = Store(c.number, (c.number, 0), self._durable.sheet), {self.me, *c.backups}
        else:
            message, to = Accept(c.number, c.record), members | {self.me, *c.backups}
        for member in sorted(to - c.votes):
            self._send(member, message)

    def _tick_candidacy(self) -> None:
        c, now = self._candidacy, self._now
        late = c.phase != "pre-vote" and now >= c.started + STAND_LIMIT
        if late or now >= c.phase_started + ROUND:
            if c.phase == "store":
                for member in set(c.backups) - c.votes:
                    self._slow[member] = now + REST
            if c.phase != "pre-vote" and not self._has_state(c.base):
                self._transfer_leadership(c)
            self._end_candidacy(0.1)
        elif now >= c.sent + RETRY:
            self._send_phase()

    def _end_candidacy(self, rest: float) -> None:
        """Give this number up for good. A primary that was renewing its epoch has lost its primacy."""
        c, self._candidacy = self._candidacy, None
        if c is not None:
            self._stand_at = self._now + rest + SILENCE_DRAW * self._chance()
            if c.renewal:
                self._lose()

    def _vote(self, sender: int, number: int, phase: str, ok: bool, promised: int) -> bool:
        """Count a vote for the candidacy's present phase; True if it was one."""
        c = self._candidacy
        self._seen = max(self._seen, promised)
        if c is None or c.number != number or c.phase != phase:
            return False
        if self._now >= c.started + STAND_LIMIT and phase != "pre-vote":
            self._end_candidacy(0.1)
            return False
        if not ok:
            if promised > number and c.renewal:
                self._stand(renewal=True, witnesses=c.witnesses)
            elif promised > number:
                self._end_candidacy(0.1)
            return False
        c.votes.add(sender)
        return True

    def _on_prevoted(self, sender: int, message: PreVoted) -> None:
        if self._vote(sender, message.number, "pre-vote", message.ok, 0):
            c = self._candidacy
            if all(has_majority(c.votes, members) for members in c.base.sets()):
                self._enter("prepare")

    def _on_promised(self, sender: int, message: Promised) -> None:
        if not self._vote(sender, message.number, "prepare", message.ok, message.promised):
            return
        c = self._candidacy
        c.records[sender] = message.accepted
        newer = message.accepted.number > c.base.number
        if newer:
            c.base = message.accepted
            self.known |= {*c.base.in_sync, *c.base.witnesses} - {self.me}
        if self.me not in c.votes:
            return
        if all(has_majority(c.votes, members) for members in c.base.sets()):
            self._choose()
        elif sender == self.me or newer:
            self._send_phase()

    def _choose(self) -> None:
        """The records of a majority of every set concerned are read; `base` is the newest."""
        c = self._candidacy
        if not self._has_state(c.base):
            self._transfer_leadership(c)
            self._end_candidacy(0.8)
            return
        alive = {m for m, heard in self._heard.items() if self._now < heard + FRESH} | c.votes
        alive = {m for m in alive - {self.me} if self._slow.get(m, 0.0) <= self._now}
        fresh = {m for m in alive if c.renewal and self._now < self._heard.get(m, 0.0) + BACKUP_SILENCE}
        # a primary that just fell was heard lately, too
        doubted = alive - fresh if c.renewal else alive - c.votes
        order = sorted(alive, key=lambda m: (m in doubted, m not in c.base.in_sync, m not in c.votes, m))
        if len(order) < self.f:
            return  # more may answer until the phase ends
        c.backups = tuple(order[: self.f])
        self._enter("store")

    def _transfer_leadership(self, c: Candidacy) -> None:
        for member in c.base.in_sync:
            if member != self.me:
                self._send(member, TransferLeadership(c.number))

    def _on_stored(self, sender: int, message: Stored) -> None:
        proposal, epoch = self._proposal, self._epoch
        if self._vote(sender, message.number, "store", message.ok, message.promised):
            c = self._candidacy
            if c.votes >= {self.me, *c.backups}:
                in_sync = tuple(sorted((self.me, *c.backups)))
                c.record = EpochRecord(c.number, self.me, in_sync, *self._next_witnesses(c))
                self._enter("accept")
        elif epoch is not None and message.number == epoch.number:
            if not message.ok:
                self._refused |= message.promised > epoch.number
            elif proposal is not None and proposal.stamp == message.stamp and self._candidacy is None:
                proposal.stored.add(sender)
                if proposal.stored >= set(epoch.in_sync):
                    self._commit()

    def _next_witnesses(self, c: Candidacy) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """The next record's witnesses and former set."""
        if not c.renewal or c.base != self._epoch:
            return c.base.witnesses, c.base.former
        # the base is in force: its former set has done its part
        return (c.witnesses, c.base.witnesses) if c.witnesses else (c.base.witnesses, ())

    def _on_accepted(self, sender: int, message: Accepted) -> None:
        if not self._vote(sender, message.number, "accept", message.ok, message.promised):
            return
        c = self._candidacy
        decided = all(has_majority(c.votes, members) for members in self._deciding(c))
        if decided and self.me in c.votes:
            self._take_office()

    def _deciding(self, c: Candidacy) -> tuple[tuple[int, ...], ...]:
        """The sets a majority of each of which puts the candidacy's record in force."""
        return (*c.base.sets(), *c.record.sets())

    # --- as primary

    def _take_office(self) -> None:
        c, self._candidacy = self._candidacy, None
        before, self._epoch = self._epoch, c.record
        self._effective, self._sequence, self._refused = self._now, 0, False
        self._acked, self._asked = {}, {}
        self._confirmed = dict.fromkeys((*c.record.in_sync, *c.record.witnesses), self._now)
        if before is None:
            self.duty_from = self._now + self.duty_wait
            self._actions.append(Became(True))
        if before is None or before.witnesses != c.record.witnesses:
            self._lease_from = float("-inf")
        if self._proposal is not None and self._proposal.stamp is not None:
            self._commit()  # it is part of the sheet that every in-sync machine holds under the new number
        else:
            self.committed_state = self._durable.sheet
            if self._proposal is not None:
                self._send_proposal()
        for read in self._reads:
            read.serial = self._serial + 1
        self._ask_confirm()

    def _lose(self) -> None:
        if self._epoch is None:
            return
        self._epoch, self._lease_from, self.duty_from = None, float("-inf"), float("inf")
        if self._candidacy is not None and self._candidacy.renewal:
            self._candidacy = None
        if self._proposal is not None:
            self._actions.append(Failed(self._proposal.token))
            self._proposal = None
        self._actions.extend(ReadFailed(read.token) for read in self._reads)
        self._reads = []
        self._actions.append(Became(False))
        self._put_off(ROUND)

    def _hand_over(self) -> None:
        """Give the epoch and its lease up, and have the backups stand."""
        epoch = self._epoch
        self._lose()
        if self._holder == self.me:
            self._held = float("-inf")
        self._put_off(REST)
        for member in sorted({*epoch.witnesses, *epoch.former, *epoch.in_sync} - {self.me}):
            self._send(member, TransferLeadership(epoch.number))

    def _send_proposal(self) -> None:
        proposal, epoch = self._proposal, self._epoch
        if proposal.stamp is None:
            self._sequence += 1
            proposal.stamp, proposal.started = (epoch.number, self._sequence), self._now
        proposal.sent = self._now
        for member in sorted(set(epoch.in_sync) - proposal.stored):
            self._send(member, Store(epoch.number, proposal.stamp, proposal.sheet))

    def _commit(self) -> None:
        proposal, self._proposal = self._proposal, None
        self.committed_state = proposal.sheet
        self._actions.append(Committed(proposal.token))

    def _ask_confirm(self) -> None:
        epoch = self._epoch
        self._serial += 1
        self._beat = self._asked[self._serial] = self._now
        self._asked = {serial: at for serial, at in self._asked.items() if self._now < at + 2 * LAPSE}
        for machine in sorted(self.known | {*epoch.in_sync, *epoch.witnesses, *epoch.former, self.me}):
            self._send(machine, Confirm(epoch.number, self._serial, epoch))

    def _on_confirmed(self, sender: int, message: Confirmed) -> None:
        epoch = self._epoch
        self._seen = max(self._seen, message.promised)
        if epoch is None or message.number != epoch.number:
            return
        if not message.ok:
            if message.promised > epoch.number:
                self._refused |= sender in epoch.in_sync or sender in epoch.witnesses
            elif sender in epoch.in_sync and self._candidacy is None and self._proposal is None:
                stamp = (epoch.number, self._sequence)  # it lost its disk: it gets the sheet anew
                self._send(sender, Store(epoch.number, stamp, self.committed_state))
            return
        self._acked[sender] = max(self._acked.get(sender, 0), message.serial)
        self._confirmed[sender] = self._now
        answered = sorted((self._acked.get(w, 0) for w in epoch.witnesses), reverse=True)
        asked = self._asked.get(answered[majority(epoch.witnesses) - 1])
        if asked is not None:
            self._lease_from = max(self._lease_from, asked)
        self._check_reads()

    def _check_reads(self) -> None:
        """End every read that all in-sync machines confirmed after it was asked."""
        if self._candidacy is not None:
            return
        confirmed = min(self._acked.get(member, 0) for member in self._epoch.in_sync)
        done = [read for read in self._reads if read.serial <= confirmed]
        if done:
            self._reads = [read for read in self._reads if read.serial > confirmed]
            self._actions.extend(ReadConfirmed(read.token) for read in done)
            if self._reads and all(read.serial > self._serial for read in self._reads):
                self._ask_confirm()

    def _tick_primary(self) -> None:
        epoch, now = self._epoch, self._now
        if now >= max(self._lease_from, self._effective) + LAPSE:
            self._end_candidacy(ROUND)
            self._lose()
            return
        late = [read for read in self._reads if now >= read.asked + READ_LIMIT]
        self._reads = [read for read in self._reads if now < read.asked + READ_LIMIT]
        self._actions.extend(ReadFailed(read.token) for read in late)
        if self._candidacy is not None:
            return
        if self._writing is not None and now >= self._writing.started + SLOW_SAVE and len(epoch.in_sync) > 1:
            self._hand_over()
            return
        if now >= self._beat + HEARTBEAT:
            self._ask_confirm()
        proposal = self._proposal
        if proposal is not None and now >= proposal.sent + RETRY:
            self._send_proposal()
        self._maybe_renew()

    def _maybe_renew(self) -> None:
        """Stand again under a new number where a backup, or the witnesses, should change."""
        epoch, now, proposal = self._epoch, self._now, self._proposal
        if now >= self._lease_from + LAPSE * 0.8 or now < self._renewed + RENEW_GAP:
            return  # only while a majority of the witnesses answers
        silent = {m for m in epoch.in_sync if now >= self._confirmed[m] + BACKUP_SILENCE} - {self.me}
        if proposal is not None and now >= proposal.started + BACKUP_SILENCE:
            slow = set(epoch.in_sync) - proposal.stored - {self.me}
            self._slow.update(dict.fromkeys(slow, now + REST))
            silent |= slow
        live = [
            m for m, heard in self._heard.items()
            if now < heard + BACKUP_SILENCE and now >= self._slow.get(m, 0.0) and m not in silent
        ]  # fmt: skip
        if (silent or self._refused or epoch.former) and len(live) >= self.f:
            self._stand(renewal=True)
            return
        if epoch.former or now < self._changed + CHANGE_GAP or len(live) < self.f:
            return
        spares = [m for m in live if now < self._spares.get(m, float("-inf")) + 2 * JOIN_GAP]
        spares = [m for m in (self.me, *spares) if m not in epoch.witnesses]
        if not spares:
            return
        gone = [w for w in epoch.witnesses if now >= self._confirmed.get(w, 0.0) + WITNESS_SILENCE]
        kept = [w for w in epoch.witnesses if w not in gone[:1]]
        if gone or len(kept) < self.wanted_witnesses:
            self._changed = now
            self._stand(renewal=True, witnesses=tuple(sorted((*kept, spares[0]))))
