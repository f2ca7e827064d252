"""Proposals of the primary: a state is committed once all in-sync machines have stored it."""

from __future__ import annotations

from rowanshift.controlplane.replication.actions import ProposalCommitted
from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.errors import NotPrimary, ProposalInProgress, StateTooLarge
from rowanshift.controlplane.replication.messages import Store, StoreDelta, StoreReply
from rowanshift.controlplane.replication.progress import Proposal
from rowanshift.controlplane.replication.records import StateVersion
from rowanshift.controlplane.replication.timing import STATE_LIMIT_BYTES
from rowanshift.wire.delta import make_delta

DELTA_MIN_SAVING_FACTOR = 2  # a delta is sent only if it is at least this many times smaller than the state


class ProposalRole(DurableReplica):
    """Proposes states one at a time; the first transmission is a delta if that is much smaller."""

    def propose(self, token: int, state: bytes, now: float) -> None:
        """Replicate ``state``, which the caller derived from ``committed_state``.

        ``ProposalCommitted`` or ``ProposalFailed`` follows with the token. Raises ``NotPrimary``,
        ``ProposalInProgress`` and ``StateTooLarge``.
        """
        self._now = max(self._now, now)
        if self._own_record is None:
            raise NotPrimary(self.primary_hint)
        if self._proposal is not None:
            raise ProposalInProgress
        if len(state) > STATE_LIMIT_BYTES:
            raise StateTooLarge(len(state))
        self._proposal = Proposal(token, state)
        if self._candidacy is None:
            self._send_proposal(self._proposal)
        self._process_loopback()

    def _send_proposal(self, proposal: Proposal) -> None:
        """Send it to all machines that have not stored it: first as a delta, if possible, and in full on a retry."""
        record, delta = self._led_record, None
        if proposal.version is None:
            self._sequence += 1
            proposal.version, proposal.started_at = StateVersion(record.epoch, self._sequence), self._now
            delta = self._delta_of(proposal.state, proposal.version)
        proposal.sent_at = self._now
        full = Store(record.epoch, proposal.version, proposal.state)
        for member in sorted(set(record.in_sync) - proposal.stored):
            has_base = member != self.me and self._stored_versions.get(member) == self.committed_version
            self._send(member, delta if delta is not None and has_base else full)

    def _delta_of(self, state: bytes, version: StateVersion) -> StoreDelta | None:
        """The delta from the committed state; None if the state is small or the delta would save too little."""
        if len(state) < self.delta_min_state_bytes:
            return None
        delta = make_delta(self.committed_state, state)
        if len(delta) > len(state) // DELTA_MIN_SAVING_FACTOR:
            return None
        return StoreDelta(self._led_record.epoch, version, self.committed_version, delta)

    def _on_proposal_stored(self, sender: int, message: StoreReply) -> None:
        """Process a reply to a Store of the current epoch."""
        record, proposal = self._led_record, self._proposal
        if not message.ok:
            self._epoch_refused |= message.promised > record.epoch
        elif proposal is not None and proposal.version == message.version and self._candidacy is None:
            proposal.stored.add(sender)
            self._stored_versions[sender] = message.version
            if proposal.stored >= set(record.in_sync):
                self._commit_proposal()

    def _commit_proposal(self) -> None:
        proposal, self._proposal = self._proposal, None
        if proposal is not None and proposal.version is not None:
            self.committed_state, self.committed_version = proposal.state, proposal.version
            self._actions.append(ProposalCommitted(proposal.token))

    def _tick_proposal(self) -> None:
        """Resend the proposal to machines that have not stored it in time."""
        proposal = self._proposal
        if proposal is None:
            return
        wait = self.timing.retry_seconds + self._transfer_seconds(proposal.state)
        if self._now >= proposal.sent_at + wait:
            self._send_proposal(proposal)
