"""What all roles of a replica share: its state, what it sends and saves, and the order between the two."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from typing import Any

from rowanshift.controlplane.replication.actions import Action, Save, Send
from rowanshift.controlplane.replication.fault_domains import UNKNOWN_FAILURE_DOMAIN, FailureDomain, FaultTolerance
from rowanshift.controlplane.replication.messages import (
    NO_RECORD,
    NO_VERSION,
    DurableState,
    EpochRecord,
    FailureDomainReport,
    Message,
    RecoveryReply,
    RecoveryRequest,
    StateVersion,
)
from rowanshift.controlplane.replication.timing import (
    DEFAULT_TIMING,
    DELTA_MIN_STATE_BYTES,
    MIN_BANDWIDTH_BYTES_PER_SECOND,
    Timing,
)

NEVER = float("-inf")


@dataclass
class Candidacy:
    """One number's way from pre-vote to effect. ``renewal`` if a primary renews its own epoch."""

    epoch: int
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
    tried: set[int] = field(default_factory=set)  # backups that did not store in time
    record: EpochRecord = NO_RECORD


@dataclass
class Proposal:
    """A state that is to be the next one."""

    token: int
    state: bytes
    version: StateVersion | None = None  # None until it is sent
    stored: set[int] = field(default_factory=set)
    started: float = 0.0  # seconds
    sent: float = 0.0  # seconds


@dataclass
class Read:
    """A read that waits for a heartbeat round."""

    token: int
    serial: int  # of the round
    asked: float  # seconds


@dataclass
class Writing:
    """A save under way, and what is to be sent once it is on disk."""

    token: int
    durable: DurableState
    started: float  # seconds
    then: list[Send]


class ReplicaCore:
    """One machine's state. All of it is plain data, so that a model checker can copy it."""

    delta_min_state_bytes = DELTA_MIN_STATE_BYTES  # bytes

    def __init__(
        self,
        me: int,
        f: int,
        seeds: tuple[int, ...],
        bootstrap: bool,
        durable: DurableState | None,
        now: float,
        random_fraction: Callable[[], float],
        singleton_task_delay: float = 0.0,
        timing: Timing = DEFAULT_TIMING,
        *,
        failure_domain: FailureDomain = UNKNOWN_FAILURE_DOMAIN,
        tolerance: FaultTolerance | None = None,
    ) -> None:
        """``f`` machines may be lost, or all that ``tolerance`` says. ``now`` and ``singleton_task_delay`` are in
        seconds; ``random_fraction`` draws from [0, 1)."""
        self.me, self.f, self.singleton_task_delay, self.timing, self._random_fraction = (
            me,
            f,
            singleton_task_delay,
            timing,
            random_fraction,
        )
        self._now = self._started = now
        self.tolerance = tolerance or FaultTolerance(f)
        self.failure_domains = {me: failure_domain}  # of the machines that have said where they are
        self._located: dict[int, float] = {}  # machine -> when it was told last where this one is
        self._no_quorum_members_heard: dict[int, float] = {}  # machine -> when it said last that no member counts
        self._failure_domains_matter = False  # to another machine that has said where it is
        seeds = tuple(sorted(seeds))
        self.wanted_witnesses = max(2 * self.tolerance.total + 1, len(seeds))
        self._on_disk = durable
        if durable is None:
            first = EpochRecord(0, 0, seeds, seeds) if bootstrap else NO_RECORD
            durable = DurableState(0, first, NO_VERSION, b"", amnesic=not bootstrap)
        self._durable = durable
        self._writing: Writing | None = None
        self._waiting: list[Send] = []  # until the save after the one outstanding
        self._save_token = 0
        self._save_failed = NEVER
        self._actions: list[Action] = []
        self._to_self: list[Message] = []
        self.known_machines: set[int] = {*seeds, *durable.accepted.members()} - {me}
        self._heard: dict[int, float] = {}  # machine -> when it last sent what only one that remembers sends
        self._slow: dict[int, float] = {}  # machine -> until when it isn't chosen as a backup
        self._spares: dict[int, float] = {}  # machine -> when its Join was last heard
        self._leaving: dict[int, float] = {}  # machine -> until when it counts as one that leaves
        self._init_witness()
        self._init_candidate()
        self._init_recovery()
        self._init_membership()
        self._init_primary()
        if self._on_disk is None:
            self._start_save()

    def _init_witness(self) -> None:
        record = self._durable.accepted
        self._holder = record.primary  # whom this witness last answered, and when: it keeps from others
        self._held = self._now if record.epoch else NEVER
        self._holder_heard = NEVER  # when the holder itself was heard

    def _init_candidate(self) -> None:
        timing = self.timing
        draw, record = timing.election_jitter_seconds * self._random_fraction(), self._durable.accepted
        self._seen = self._durable.promised  # the highest number heard of
        if self._was_primary():
            self._stand_at = self._now
        else:
            self._stand_at = self._now + draw + (timing.lease_guard_seconds if record.epoch else 0.0)
        self._candidacy: Candidacy | None = None

    def _was_primary(self) -> bool:
        """Whether the last record on disk is of an epoch of this machine's own, in its former life.

        The lease of that epoch ended with that life. If a later epoch's holder has one, a majority has its record on
        disk, and whoever of it was asked lately, or restarted, refuses this machine (``_blocked``).
        """
        record = self._durable.accepted
        return bool(record.epoch) and record.primary == self.me and not self._durable.amnesic

    def _init_recovery(self) -> None:
        self._recovery_serial = 1 + int(self._random_fraction() * (1 << 31))
        self._recovery_replies: dict[int, RecoveryReply] = {}
        self._asked_recovery = NEVER
        self._joined = NEVER

    def _init_membership(self) -> None:
        self.leaving = False  # this machine was told to end
        self.leave_granted = False  # and may do so
        self._epoch_given = 0  # number of the epoch that it gave leadership of
        self._leave_sent = NEVER

    def _init_primary(self) -> None:
        self._own_record: EpochRecord | None = None  # that this machine is primary of
        self._effective = NEVER
        self.singleton_tasks_from = float("inf")
        self.committed_state = b""
        self.committed_version = NO_VERSION
        self._sequence = 0
        self._proposal: Proposal | None = None
        self._reads: list[Read] = []
        self._serial = 0
        self._asked: dict[int, float] = {}  # serial -> when it was asked
        self._holds: dict[int, StateVersion] = {}  # machine -> the version that it stored last in this epoch
        self._acked: dict[int, int] = {}  # machine -> the highest serial it answered
        self._confirmed: dict[int, float] = {}  # machine -> when it last answered
        self._lease_from = NEVER
        self._beat = NEVER
        self._renewed = NEVER
        self._changed = NEVER
        self._refused = False

    # what the caller may look at

    @property
    def quorum_member(self) -> bool:
        """Whether this is one of the machines of which f may be lost; any number of others may go, with their disks."""
        return self.failure_domains[self.me].quorum_member

    @quorum_member.setter
    def quorum_member(self, quorum_member: bool) -> None:
        self.failure_domains[self.me] = replace(self.failure_domains[self.me], quorum_member=quorum_member)

    @property
    def is_primary(self) -> bool:
        """Whether this machine is primary as far as it knows."""
        return self._own_record is not None

    @property
    def is_amnesic(self) -> bool:
        """Whether it lost its disk and has not recovered what it promised."""
        return self._durable.amnesic

    @property
    def record(self) -> EpochRecord:
        """The epoch this machine is primary of, else the last record it has on disk."""
        if self._own_record is not None:
            return self._own_record
        return self._on_disk.accepted if self._on_disk is not None else NO_RECORD

    @property
    def primary_hint(self) -> int:
        """The machine that is primary as far as was heard here lately, or 0: an old hint sends callers nowhere."""
        if self._own_record is not None:
            return self.me
        recent = self._now < self._holder_heard + self.timing.lease_guard_seconds
        return self._holder if recent and self._holder != self.me else 0

    def lease_until(self, now: float) -> float:
        """Steady time until which this machine may act as single holder; not after ``now`` if it may not."""
        until = self._lease_from + self.timing.lease_seconds
        return min(now, until) if self._own_record is None else until

    def next_wake(self, now: float) -> float:
        """The steady time by which ``tick`` should be called."""
        if self._own_record or self._candidacy or self._durable.amnesic or self._on_disk is not self._durable:
            return now + 0.05
        return max(now, min(self._stand_at, now + self.timing.join_interval_seconds))

    def drain(self) -> list[Action]:
        """What is to be done, in this order."""
        actions, self._actions = self._actions, []
        return actions

    # sending and saving

    def _send(self, to: int, message: Message) -> None:
        if self._observes() and not isinstance(message, RecoveryRequest | FailureDomainReport):
            return  # whoever is heard may be chosen for a copy or a vote
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

    def _change(self, **fields: Any) -> None:
        """Change what is to be durable. A higher promise than one's own number ends primacy or candidacy."""
        changed = replace(self._durable, **fields)
        if changed == self._durable:
            return
        self._durable = changed
        self._seen = max(self._seen, changed.promised)
        candidacy = self._candidacy
        own = candidacy.epoch if candidacy is not None and candidacy.phase != "pre-vote" else 0
        if own and changed.promised > own:
            self._end_candidacy(0.1)
        if self._own_record is not None and changed.promised > max(own, self._own_record.epoch):
            self._step_down()

    def _has_state(self, record: EpochRecord) -> bool:
        """Whether this machine holds all that ``record`` builds on: in sync, and its disk not lost since."""
        return self.me in record.in_sync and self._durable.version.epoch >= record.epoch

    def _put_off(self, seconds: float) -> None:
        """Become a candidate no sooner than in so many seconds, and later if this machine lacks the state."""
        behind = 0.0 if self._has_state(self._durable.accepted) else self.timing.phase_timeout_seconds
        wait = seconds + behind + self.timing.election_jitter_seconds * self._random_fraction()
        self._stand_at = max(self._stand_at, self._now + wait)

    @staticmethod
    def _transfer_time(state: bytes) -> float:
        """Seconds that a state may be under way to another machine."""
        return len(state) / MIN_BANDWIDTH_BYTES_PER_SECOND

    def _observes(self) -> bool:
        """Whether this machine has no part in the record and may have none, as it doesn't count and others do."""
        members = self._durable.accepted.members()
        return not self.quorum_member and self.me not in members and not self._no_quorum_members(members)

    def _no_quorum_members(self, members: Collection[int]) -> bool:
        """Whether it is known of all members that they don't count, by this machine or by one of them."""
        if any(
            self._now
            < self._no_quorum_members_heard.get(member, NEVER) + self.timing.no_quorum_members_lifetime_seconds
            for member in members
        ):
            return True
        return bool(members) and not any(
            self.failure_domains.get(member, UNKNOWN_FAILURE_DOMAIN).quorum_member for member in members
        )

    # where machines are

    def _tick_located(self) -> None:
        """Tell the others where this machine is, if that matters."""
        if self.quorum_member and not self.tolerance.domains and not self._failure_domains_matter:
            return
        failure_domain, due = self.failure_domains[self.me], self._now - self.timing.failure_domain_interval_seconds
        members = self._durable.accepted.members()
        located = FailureDomainReport(
            failure_domain.zone,
            failure_domain.region,
            failure_domain.quorum_member,
            self.me in members and self._no_quorum_members(members),
        )
        for machine in sorted(self.known_machines):
            if self._located.get(machine, NEVER) <= due:
                self._located[machine] = self._now
                self._send(machine, located)

    def _on_failure_domain_report(self, sender: int, message: FailureDomainReport) -> None:
        self._failure_domains_matter = True
        self.failure_domains[sender] = FailureDomain(message.zone, message.region, message.quorum_member)
        if message.no_quorum_members:
            self._no_quorum_members_heard[sender] = self._now
        else:
            self._no_quorum_members_heard.pop(sender, None)

    def _leaves(self, machine: int) -> bool:
        """Whether a machine has said lately that it ends soon."""
        return self._now < self._leaving.get(machine, NEVER)

    # what other roles do on the way

    def _end_candidacy(self, rest: float) -> None:
        raise NotImplementedError

    def _step_down(self) -> None:
        raise NotImplementedError

    def _ask_for_records(self) -> None:
        raise NotImplementedError
