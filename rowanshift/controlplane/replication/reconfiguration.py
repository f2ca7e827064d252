"""Reconfiguration by the primary: it replaces backups and witnesses by renewing its epoch."""

from __future__ import annotations

from rowanshift.controlplane.replication.failure_domains import (
    choose_backups,
    improved_witnesses,
    surviving_replicas,
    witnesses_with_spare,
)
from rowanshift.controlplane.replication.membership import MembershipRole
from rowanshift.controlplane.replication.timing import RENEWAL_LEASE_FRACTION


class ReconfigurationRole(MembershipRole):
    """Starts a renewal when the current epoch needs a change of its backups or witnesses."""

    def _renew_if_needed(self) -> None:
        if not self._may_renew():
            return
        failed = self._failed_backups()
        live = self._eligible_backups() - failed
        if len(live) < self.max_failures:
            return
        if failed or self._epoch_refused or self._led_record.former:
            self._start_candidacy(renewal=True)
            return
        if self._now < self._witnesses_changed_at + self.timing.witness_change_interval_seconds:
            return
        witnesses = self._next_witness_set()
        if witnesses or self._replicas_could_be_spread_better(live):
            self._witnesses_changed_at = self._now
            self._start_candidacy(renewal=True, witnesses=witnesses)

    def _may_renew(self) -> bool:
        """Whether a majority of the witnesses has replied recently and the renewal interval has passed."""
        answers_end_at = self._lease_started_at + self.timing.quorum_loss_seconds * RENEWAL_LEASE_FRACTION
        next_renewal_at = self._renewed_at + self.timing.renewal_interval_seconds
        return next_renewal_at <= self._now < answers_end_at

    def _failed_backups(self) -> set[int]:
        """Backups that don't reply, are leaving, or are too slow to store the current proposal."""
        record, proposal, timeout = self._led_record, self._proposal, self.timing.backup_timeout_seconds
        backups = {*record.in_sync} - {self.me}
        failed = {
            member
            for member in backups
            if self._now >= self._last_reply_at[member] + timeout or self._is_leaving(member)
        }
        if proposal is not None:
            proposal_timeout = timeout + self._transfer_seconds(proposal.state)
            if self._now >= proposal.started_at + proposal_timeout:
                slow = backups - proposal.stored
                self._avoided_until.update(dict.fromkeys(slow, self._now + self.timing.cooldown_seconds))
                failed |= slow
        return failed

    def _eligible_backups(self) -> set[int]:
        """Live machines that are neither avoided nor leaving, so that they may become backups."""
        alive = self._heard_within(self.timing.backup_timeout_seconds)
        return {machine for machine in alive if not self._is_avoided(machine) and not self._is_leaving(machine)}

    def _replicas_could_be_spread_better(self, live: set[int]) -> bool:
        """Whether the worst loss takes all replicas, and another choice of backups would let some survive."""
        if not self.tolerance.domains:
            return False
        domains, tolerance = self.failure_domains, self.tolerance
        surviving = surviving_replicas(self._led_record.in_sync, domains, tolerance)
        backups = choose_backups(self.me, sorted(live - {self.me}), domains, tolerance)
        return surviving < 1 and surviving_replicas([self.me, *backups], domains, tolerance) > surviving

    def _next_witness_set(self) -> tuple[int, ...]:
        """The witness set with a failed witness replaced, or one added or exchanged; empty for no change."""
        spares = self._live_spares()
        if not spares:
            return ()
        witnesses, domains, tolerance = self._led_record.witnesses, self.failure_domains, self.tolerance
        failed = [witness for witness in witnesses if self._has_witness_failed(witness)]
        kept = [witness for witness in witnesses if witness not in failed[:1]]
        if failed or len(kept) < self.witness_count:
            return witnesses_with_spare(kept, spares, domains, tolerance)
        return improved_witnesses(kept, spares, domains, tolerance) if tolerance.domains else ()

    def _has_witness_failed(self, witness: int) -> bool:
        """Whether a witness is leaving or has not replied within the witness timeout."""
        answered_at = self._last_reply_at.get(witness, 0.0)
        return self._is_leaving(witness) or self._now >= answered_at + self.timing.witness_timeout_seconds
