"""The state shared by all roles of a replica, and the properties that its caller may read."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from dataclasses import replace

from rowanshift.controlplane.replication.actions import Action, Send
from rowanshift.controlplane.replication.errors import NotPrimary
from rowanshift.controlplane.replication.failure_domains import UNKNOWN_FAILURE_DOMAIN, FailureDomain, FaultTolerance
from rowanshift.controlplane.replication.messages import Message, RecoveryReply, StoreReply
from rowanshift.controlplane.replication.progress import Candidacy, PendingRead, Proposal, SaveInProgress
from rowanshift.controlplane.replication.records import (
    NO_RECORD,
    NO_VERSION,
    DurableState,
    EpochRecord,
    StateVersion,
)
from rowanshift.controlplane.replication.timing import (
    DEFAULT_TIMING,
    DELTA_MIN_STATE_BYTES,
    MIN_BANDWIDTH_BYTES_PER_SECOND,
    TICK_INTERVAL_SECONDS,
    Timing,
)

NEVER = float("-inf")
RECOVERY_SERIAL_RANGE = 1 << 31


class ReplicaCore(ABC):
    """One machine's state, kept as plain data so that a model checker can copy and compare it.

    Times are seconds of the steady clock. An attribute ending in ``_at`` is the time when something last happened or is
    due.
    """

    delta_min_state_bytes = DELTA_MIN_STATE_BYTES

    def __init__(
        self,
        me: int,
        max_failures: int,
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
        """Start an incarnation of the replica of machine ``me``.

        ``durable`` is the state on disk, None for an empty disk. ``bootstrap`` means that the system is new: an empty
        disk has lost nothing, and ``seeds`` are the first witnesses. ``max_failures`` is the number of machines that
        may be lost at once; ``tolerance``, if given, also covers zones and regions. ``now`` and
        ``singleton_task_delay`` are in seconds. ``random_fraction`` returns random numbers from [0, 1).
        """
        self.me = me
        self.max_failures = max_failures
        self.singleton_task_delay = singleton_task_delay
        self.timing = timing
        self._random_fraction = random_fraction
        self._now = self._started_at = now
        self.tolerance = tolerance or FaultTolerance(max_failures)
        self.witness_count = max(2 * self.tolerance.total + 1, len(seeds))
        self._init_durable_state(tuple(sorted(seeds)), bootstrap, durable)
        self._init_failure_domains(failure_domain)
        self._init_peers(seeds)
        self._init_roles()
        if self._on_disk is None:
            self._start_save()

    def _init_roles(self) -> None:
        self._init_witness()
        self._init_candidate()
        self._init_recovery()
        self._init_membership()
        self._init_primary()

    def _init_durable_state(self, seeds: tuple[int, ...], bootstrap: bool, durable: DurableState | None) -> None:
        self._on_disk = durable
        if durable is None:
            first = EpochRecord(0, 0, seeds, seeds) if bootstrap else NO_RECORD
            durable = DurableState(0, first, NO_VERSION, b"", amnesic=not bootstrap)
        self._durable = durable  # what is on disk or being saved
        self._save_in_progress: SaveInProgress | None = None
        self._sends_after_next_save: list[Send] = []  # sent after the save that follows the one in progress
        self._save_token = 0
        self._save_failed_at = NEVER
        self._actions: list[Action] = []
        self._loopback: list[Message] = []  # messages from this machine to itself

    def _init_failure_domains(self, failure_domain: FailureDomain) -> None:
        self.failure_domains = {self.me: failure_domain}  # by machine; only machines that have reported theirs
        self._failure_domain_sent_at: dict[int, float] = {}  # time of the last report to each machine
        # Time of each machine's last report that the epoch has no quorum members.
        self._no_quorum_members_heard: dict[int, float] = {}
        self._received_failure_domain_report = False

    def _init_peers(self, seeds: tuple[int, ...]) -> None:
        self.known_machines: set[int] = {*seeds, *self._durable.accepted.members()} - {self.me}
        # Time of each machine's last message that shows participation in the protocol.
        self._last_heard_at: dict[int, float] = {}
        self._avoided_until: dict[int, float] = {}  # by machine; it is not preferred as a backup before this time
        self._spare_joined_at: dict[int, float] = {}  # time of each machine's last Join
        self._leaving_until: dict[int, float] = {}  # end of validity of each machine's last Leave

    def _init_witness(self) -> None:
        record = self._durable.accepted
        # The primary last granted a lease; other candidates are refused until the lease expires.
        self._lease_holder = record.primary
        self._lease_granted_at = self._now if record.epoch else NEVER
        self._lease_holder_heard_at = NEVER

    def _init_candidate(self) -> None:
        jitter = self.timing.election_jitter_seconds * self._random_fraction()
        self._highest_epoch_seen = self._durable.promised
        if self._was_primary_before_restart():
            self._candidacy_due_at = self._now
        else:
            guard = self.timing.lease_guard_seconds if self._durable.accepted.epoch else 0.0
            self._candidacy_due_at = self._now + jitter + guard
        self._candidacy: Candidacy | None = None

    def _was_primary_before_restart(self) -> bool:
        """Whether the last record on disk is of an epoch that this machine led in its previous incarnation.

        The lease of that epoch ended with that incarnation, so this machine need not wait for its expiry. If a primary
        of a later epoch holds a lease, a majority has its record on disk, and each machine of that majority that
        recently replied to it, or restarted, refuses this machine (``_lease_may_be_held_by_another``).
        """
        record = self._durable.accepted
        return bool(record.epoch) and record.primary == self.me and not self._durable.amnesic

    def _init_recovery(self) -> None:
        self._recovery_serial = 1 + int(self._random_fraction() * RECOVERY_SERIAL_RANGE)
        self._recovery_replies: dict[int, RecoveryReply] = {}
        self._recovery_requested_at = NEVER
        self._join_sent_at = NEVER

    def _init_membership(self) -> None:
        self.leaving = False  # ``leave`` was called
        self.leave_granted = False  # this machine may stop
        self._transferred_epoch = 0  # the epoch whose leadership it transferred before leaving; 0 for none
        self._leave_sent_at = NEVER

    def _init_primary(self) -> None:
        self._own_record: EpochRecord | None = None  # of the epoch that this machine leads; None unless it is primary
        self._primary_since = NEVER
        self.singleton_tasks_from = float("inf")
        self.committed_state = b""
        self.committed_version = NO_VERSION
        self._sequence = 0
        self._proposal: Proposal | None = None
        self._pending_reads: list[PendingRead] = []
        self._heartbeat_round = 0
        self._round_sent_at: dict[int, float] = {}  # by heartbeat round
        self._stored_versions: dict[int, StateVersion] = {}  # last version each machine stored in this epoch
        self._acknowledged_rounds: dict[int, int] = {}  # last heartbeat round each machine acknowledged
        self._last_reply_at: dict[int, float] = {}  # time of each machine's last heartbeat reply
        self._lease_started_at = NEVER
        self._heartbeat_sent_at = NEVER
        self._renewed_at = NEVER
        self._witnesses_changed_at = NEVER
        self._epoch_refused = False  # a member has promised a higher epoch

    # Properties for the caller.

    @property
    def quorum_member(self) -> bool:
        """Whether the fault tolerance covers this machine. Machines that it doesn't cover may be lost in any number."""
        return self.failure_domains[self.me].quorum_member

    @quorum_member.setter
    def quorum_member(self, quorum_member: bool) -> None:
        self.failure_domains[self.me] = replace(self.failure_domains[self.me], quorum_member=quorum_member)

    @property
    def is_primary(self) -> bool:
        """Whether this machine believes that it is the primary; its lease may have expired."""
        return self._own_record is not None

    @property
    def is_amnesic(self) -> bool:
        """Whether this machine lost its disk and has not yet recovered its promise."""
        return self._durable.amnesic

    @property
    def record(self) -> EpochRecord:
        """The record of the epoch that this machine leads, else the last record on its disk."""
        if self._own_record is not None:
            return self._own_record
        return self._on_disk.accepted if self._on_disk is not None else NO_RECORD

    @property
    def primary_hint(self) -> int:
        """The machine last known as primary, or 0 if that is too long ago to be useful to callers."""
        if self._own_record is not None:
            return self.me
        recent = self._now < self._lease_holder_heard_at + self.timing.lease_guard_seconds
        return self._lease_holder if recent and self._lease_holder != self.me else 0

    def lease_until(self, now: float) -> float:
        """The steady time until which this machine holds the lease; at most ``now`` if it holds none."""
        until = self._lease_started_at + self.timing.lease_seconds
        return min(now, until) if self._own_record is None else until

    def next_wake(self, now: float) -> float:
        """The steady time by which ``tick`` should be called."""
        unsaved = self._on_disk is not self._durable
        if self._own_record or self._candidacy or self._durable.amnesic or unsaved:
            return now + TICK_INTERVAL_SECONDS
        return max(now, min(self._candidacy_due_at, now + self.timing.join_interval_seconds))

    # Queries shared by the roles.

    @property
    def _led_record(self) -> EpochRecord:
        """``_own_record``, which is never None here. Raises ``NotPrimary``."""
        if self._own_record is None:
            raise NotPrimary(self.primary_hint)
        return self._own_record

    def _has_state(self, record: EpochRecord) -> bool:
        """Whether this machine has the state of ``record``: it is in sync and has not lost its disk since."""
        return self.me in record.in_sync and self._durable.version.epoch >= record.epoch

    def _is_observer(self) -> bool:
        """Whether this machine must not become a member: it is not a quorum member, and some members are."""
        members = self._durable.accepted.members()
        return not self.quorum_member and self.me not in members and not self._no_quorum_members(members)

    def _no_quorum_members(self, members: Collection[int]) -> bool:
        """Whether no member is a quorum member, by the failure domains of all or by a recent report of one."""
        lifetime = self.timing.no_quorum_members_lifetime_seconds
        if any(self._now < self._no_quorum_members_heard.get(member, NEVER) + lifetime for member in members):
            return True
        return bool(members) and not any(self._domain_of(member).quorum_member for member in members)

    def _domain_of(self, machine: int) -> FailureDomain:
        return self.failure_domains.get(machine, UNKNOWN_FAILURE_DOMAIN)

    def _heard_within(self, seconds: float) -> set[int]:
        """The other machines that sent a message within the last ``seconds``."""
        return {machine for machine, heard_at in self._last_heard_at.items() if self._now < heard_at + seconds}

    def _is_leaving(self, machine: int) -> bool:
        """Whether a machine has recently announced that it is about to stop."""
        return self._now < self._leaving_until.get(machine, NEVER)

    def _is_avoided(self, machine: int) -> bool:
        """Whether a machine was recently too slow, or recently transferred leadership."""
        return self._now < self._avoided_until.get(machine, NEVER)

    def _postpone_candidacy(self, seconds: float) -> None:
        """Delay the next candidacy by at least ``seconds``, and by more if this machine lacks the state."""
        behind = 0.0 if self._has_state(self._durable.accepted) else self.timing.phase_timeout_seconds
        wait = seconds + behind + self.timing.election_jitter_seconds * self._random_fraction()
        self._candidacy_due_at = max(self._candidacy_due_at, self._now + wait)

    @staticmethod
    def _transfer_seconds(state: bytes) -> float:
        """The longest time that sending a state to another machine may take."""
        return len(state) / MIN_BANDWIDTH_BYTES_PER_SECOND

    # Methods that one role calls and another implements.

    @abstractmethod
    def _start_save(self) -> None: ...

    @abstractmethod
    def _start_candidacy(self, renewal: bool = False, witnesses: tuple[int, ...] = ()) -> None: ...

    @abstractmethod
    def _end_candidacy(self, wait_seconds: float) -> None: ...

    @abstractmethod
    def _become_primary(self, candidacy: Candidacy) -> None: ...

    @abstractmethod
    def _step_down(self) -> None: ...

    @abstractmethod
    def _transfer_leadership(self) -> None: ...

    @abstractmethod
    def _on_proposal_stored(self, sender: int, message: StoreReply) -> None: ...

    @abstractmethod
    def _eligible_backups(self) -> set[int]: ...

    @abstractmethod
    def _send_recovery_requests(self) -> None: ...

    @abstractmethod
    def _process_loopback(self) -> None: ...
