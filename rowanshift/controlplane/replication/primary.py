"""A replica as primary: the start and end of its epoch, its periodic work, and its redundancy."""

from __future__ import annotations

from rowanshift.controlplane.replication.actions import ProposalFailed, ReadFailed, RoleChanged
from rowanshift.controlplane.replication.core import NEVER
from rowanshift.controlplane.replication.failure_domains import surviving_replicas, vote_margin
from rowanshift.controlplane.replication.lease import LeaseRole
from rowanshift.controlplane.replication.messages import TransferLeadership
from rowanshift.controlplane.replication.progress import Candidacy
from rowanshift.controlplane.replication.proposals import ProposalRole
from rowanshift.controlplane.replication.reconfiguration import ReconfigurationRole
from rowanshift.controlplane.replication.records import EpochRecord, StateVersion
from rowanshift.controlplane.replication.redundancy import NO_REDUNDANCY, Redundancy


class PrimaryRole(ProposalRole, LeaseRole, ReconfigurationRole):
    """Leads an epoch: all in-sync machines store each change, and a majority of the witnesses renews the lease."""

    def _become_primary(self, candidacy: Candidacy) -> None:
        """Begin the epoch of a candidacy whose record has been decided."""
        self._candidacy = None
        before, self._own_record = self._own_record, candidacy.record
        self._start_epoch(candidacy.record)
        if before is None:
            self.singleton_tasks_from = self._now + self.singleton_task_delay
            self._actions.append(RoleChanged(True))
        if before is None or before.witnesses != candidacy.record.witnesses:
            self._lease_started_at = NEVER  # the new witness set has not granted a lease yet
        self._carry_over_proposal()
        self.committed_version = StateVersion(candidacy.record.epoch, 0)
        for read in self._pending_reads:
            read.serial = self._heartbeat_round + 1
        self._send_heartbeat()

    def _start_epoch(self, record: EpochRecord) -> None:
        self._primary_since, self._sequence, self._epoch_refused = self._now, 0, False
        self._acknowledged_rounds, self._round_sent_at = {}, {}
        self._stored_versions = dict.fromkeys(record.in_sync, StateVersion(record.epoch, 0))
        self._last_reply_at = dict.fromkeys((*record.in_sync, *record.witnesses), self._now)

    def _carry_over_proposal(self) -> None:
        """Commit a pending proposal that was sent in the previous epoch, or send it if it was not."""
        proposal = self._proposal
        if proposal is not None and proposal.version is not None:
            self._commit_proposal()  # every in-sync machine stored it as the initial state of the new epoch
            return
        self.committed_state = self._durable.state
        if proposal is not None:
            self._send_proposal(proposal)

    def _step_down(self) -> None:
        if self._own_record is None:
            return
        self._own_record, self._lease_started_at, self.singleton_tasks_from = None, NEVER, float("inf")
        if self._candidacy is not None and self._candidacy.renewal:
            self._candidacy = None
        if self._proposal is not None:
            self._actions.append(ProposalFailed(self._proposal.token))
            self._proposal = None
        self._actions.extend(ReadFailed(read.token) for read in self._pending_reads)
        self._pending_reads = []
        self._actions.append(RoleChanged(False))
        self._postpone_candidacy(self.timing.phase_timeout_seconds)

    def _transfer_leadership(self) -> None:
        """Step down, release the lease, and ask the other members to become candidates."""
        record = self._led_record
        self._step_down()
        if self._lease_holder == self.me:
            self._lease_granted_at = NEVER
        self._postpone_candidacy(self.timing.cooldown_seconds)
        for member in sorted(record.members() - {self.me}):
            self._send(member, TransferLeadership(record.epoch))

    def _tick_primary(self) -> None:
        if self._now >= max(self._lease_started_at, self._primary_since) + self.timing.quorum_loss_seconds:
            self._end_candidacy(self.timing.phase_timeout_seconds)
            self._step_down()
            return
        self._fail_overdue_reads()
        if self._candidacy is not None:
            return
        if self._is_own_disk_slow() and len(self._led_record.in_sync) > 1:
            self._transfer_leadership()
            return
        self._tick_heartbeat()
        self._tick_proposal()
        self._renew_if_needed()

    def _is_own_disk_slow(self) -> bool:
        save = self._save_in_progress
        return save is not None and self._now >= save.started_at + self.timing.slow_save_seconds

    def redundancy(self) -> Redundancy:
        """The current redundancy of the epoch that this machine leads."""
        record = self._own_record
        if record is None:
            return NO_REDUNDANCY
        timeout = self.timing.backup_timeout_seconds
        alive = self._heard_within(timeout) | {self.me}
        answering = {machine for machine, reply_at in self._last_reply_at.items() if self._now < reply_at + timeout}
        replicas, witnesses = alive & (answering | {self.me}) & {*record.in_sync}, alive & {*record.witnesses}
        return Redundancy(
            replicas=len(replicas),
            replicas_wanted=self.tolerance.total + 1,
            witnesses=len(witnesses),
            witnesses_wanted=self.witness_count,
            witnesses_changing=bool(record.former),
            tolerance_met=not self.unmet_tolerance(),
        )

    def unmet_tolerance(self) -> str:
        """Why the configured fault tolerance is not met even if all members are alive; empty if it is met.

        Raises ``NotPrimary``.
        """
        record, tolerance = self._led_record, self.tolerance
        if tolerance.total and self._no_quorum_members(record.members()):
            return "no member is a quorum member (quorumMember is false), so faultTolerance covers none of them"
        if not tolerance.domains:
            return ""
        if surviving_replicas(record.in_sync, self.failure_domains, tolerance) < 1:
            return f"a loss within {tolerance} can take all replicas of the state"
        if vote_margin(record.witnesses, self.failure_domains, tolerance) < 0:
            return f"a loss within {tolerance} can take a majority of the witnesses"
        return ""
