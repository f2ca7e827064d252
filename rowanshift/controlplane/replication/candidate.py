"""A replica as a candidate: it establishes a new epoch, to take over or, as primary, to renew its own epoch."""

from __future__ import annotations

from rowanshift.controlplane.replication.backup_selection import BackupSelection
from rowanshift.controlplane.replication.messages import (
    Accept,
    AcceptReply,
    Prepare,
    PrepareReply,
    PreVote,
    PreVoteReply,
    Store,
    StoreReply,
    TransferLeadership,
)
from rowanshift.controlplane.replication.progress import Candidacy, CandidacyPhase
from rowanshift.controlplane.replication.quorum import has_majority
from rowanshift.controlplane.replication.records import EpochRecord, StateVersion
from rowanshift.controlplane.replication.timing import (
    CANDIDACY_RETRY_SECONDS,
    EPOCH_LIMIT,
    NOMINATION_RETRY_SECONDS,
)

MACHINE_ID_BITS = 32  # the lower bits of an epoch hold the id of the machine that chose it


class CandidateRole(BackupSelection):
    """Runs the phases pre-vote, prepare, store and accept; each ends once enough machines have voted in it."""

    def _start_candidacy(self, renewal: bool = False, witnesses: tuple[int, ...] = ()) -> None:
        """Become a candidate for an epoch above all seen. ``witnesses`` is the new witness set, empty for no change."""
        highest_round = max(self._highest_epoch_seen, self._durable.promised) >> MACHINE_ID_BITS
        epoch = (highest_round + 1) << MACHINE_ID_BITS | self.me
        if epoch >= EPOCH_LIMIT:
            self._candidacy_due_at = float("inf")
            return
        now, phase = self._now, CandidacyPhase.PREPARE if renewal else CandidacyPhase.PRE_VOTE
        candidacy = Candidacy(epoch, renewal, phase, now, now, now, witnesses, base=self._durable.accepted)
        self._candidacy = candidacy
        if renewal:
            self._renewed_at = now
        self._enter_phase(candidacy, phase)

    def _enter_phase(self, candidacy: Candidacy, phase: CandidacyPhase) -> None:
        candidacy.phase = phase
        candidacy.phase_started_at = self._now
        candidacy.votes = set()
        if phase is CandidacyPhase.PREPARE:
            candidacy.started_at = self._now
        self._send_phase(candidacy)

    def _send_phase(self, candidacy: Candidacy) -> None:
        """Send this phase's message to every machine that has not voted in it."""
        candidacy.sent_at = self._now
        base_and_new = (*candidacy.base.witness_sets(), *candidacy.record.witness_sets())
        witnesses = {member for witness_set in base_and_new for member in witness_set}
        replicas = {self.me, *candidacy.backups}
        message: PreVote | Prepare | Store | Accept
        match candidacy.phase:
            case CandidacyPhase.PRE_VOTE:
                message, recipients = PreVote(candidacy.epoch), witnesses
            case CandidacyPhase.PREPARE:
                message, recipients = Prepare(candidacy.epoch), witnesses
                if self.me not in candidacy.votes:
                    recipients = {self.me}  # its own promise must be on disk before it asks others
            case CandidacyPhase.STORE:
                message, recipients = self._store_message(candidacy), replicas
            case CandidacyPhase.ACCEPT:
                message, recipients = Accept(candidacy.epoch, candidacy.record), witnesses | replicas
        for member in sorted(recipients - candidacy.votes):
            self._send(member, message)

    def _store_message(self, candidacy: Candidacy) -> Store:
        return Store(candidacy.epoch, StateVersion(candidacy.epoch, 0), self._durable.state)

    # Timeouts.

    def _tick_candidacy(self, candidacy: Candidacy) -> None:
        now, timing, phase = self._now, self.timing, candidacy.phase
        transfer = self._transfer_seconds(self._durable.state) if phase is CandidacyPhase.STORE else 0.0
        phase_timed_out = now >= candidacy.phase_started_at + timing.phase_timeout_seconds + transfer
        store_timed_out = now >= candidacy.phase_started_at + timing.store_timeout_seconds + transfer
        is_pre_vote = phase is CandidacyPhase.PRE_VOTE
        retry_seconds = timing.pre_vote_retry_seconds if is_pre_vote else timing.retry_seconds
        if phase_timed_out or self._is_past_time_limit(candidacy):
            self._abandon_candidacy(candidacy)
        elif phase is CandidacyPhase.STORE and store_timed_out:
            candidacy.timed_out_backups |= {*candidacy.backups} - candidacy.votes
            self._choose_backups(candidacy)
        elif now >= candidacy.sent_at + retry_seconds + transfer:
            self._send_phase(candidacy)

    def _is_past_time_limit(self, candidacy: Candidacy) -> bool:
        """Whether its votes may be invalid because the voters may have lost their disks and recovered since."""
        limit_at = candidacy.started_at + self.timing.candidacy_limit_seconds
        return candidacy.phase is not CandidacyPhase.PRE_VOTE and self._now >= limit_at

    def _abandon_candidacy(self, candidacy: Candidacy) -> None:
        if candidacy.phase is CandidacyPhase.STORE:
            for member in set(candidacy.backups) - candidacy.votes:
                self._avoided_until[member] = self._now + self.timing.cooldown_seconds
        if candidacy.phase is not CandidacyPhase.PRE_VOTE and not self._has_state(candidacy.base):
            self._nominate_in_sync_machines(candidacy)
        self._end_candidacy(CANDIDACY_RETRY_SECONDS)

    def _end_candidacy(self, wait_seconds: float) -> None:
        """Abandon the candidate's epoch permanently. A primary that was renewing its epoch steps down."""
        candidacy, self._candidacy = self._candidacy, None
        if candidacy is not None:
            jitter = self.timing.election_jitter_seconds * self._random_fraction()
            self._candidacy_due_at = self._now + wait_seconds + jitter
            if candidacy.renewal:
                self._step_down()

    def _nominate_in_sync_machines(self, candidacy: Candidacy) -> None:
        """Ask the in-sync machines to become candidates, because this machine lacks the state."""
        for member in candidacy.base.in_sync:
            if member != self.me:
                self._send(member, TransferLeadership(candidacy.epoch))

    # Votes.

    def _count_vote(self, sender: int, epoch: int, phase: CandidacyPhase, ok: bool, promised: int) -> Candidacy | None:
        """Count a vote for the current phase. Returns the candidacy if the vote counts, else None."""
        candidacy = self._candidacy
        self._highest_epoch_seen = max(self._highest_epoch_seen, promised)
        if candidacy is None or candidacy.epoch != epoch or candidacy.phase is not phase:
            return None
        if self._is_past_time_limit(candidacy):
            self._end_candidacy(CANDIDACY_RETRY_SECONDS)
            return None
        if ok:
            candidacy.votes.add(sender)
            return candidacy
        if promised > epoch and candidacy.renewal:
            self._start_candidacy(renewal=True, witnesses=candidacy.wanted_witnesses)
        elif promised > epoch:
            self._end_candidacy(CANDIDACY_RETRY_SECONDS)
        return None

    def _on_pre_vote_reply(self, sender: int, message: PreVoteReply) -> None:
        candidacy = self._count_vote(sender, message.epoch, CandidacyPhase.PRE_VOTE, message.ok, 0)
        if candidacy is not None and self._base_has_majorities(candidacy):
            self._enter_phase(candidacy, CandidacyPhase.PREPARE)

    def _on_prepare_reply(self, sender: int, message: PrepareReply) -> None:
        candidacy = self._count_vote(sender, message.epoch, CandidacyPhase.PREPARE, message.ok, message.promised)
        if candidacy is None:
            return
        candidacy.accepted_records[sender] = message.accepted
        newer = message.accepted.epoch > candidacy.base.epoch
        if newer:
            candidacy.base = message.accepted
            self.known_machines |= {*candidacy.base.in_sync, *candidacy.base.witnesses} - {self.me}
        if self.me not in candidacy.votes:
            return
        if self._base_has_majorities(candidacy):
            self._choose_backups(candidacy)
        elif sender == self.me or newer:
            self._send_phase(candidacy)

    def _base_has_majorities(self, candidacy: Candidacy) -> bool:
        return all(has_majority(candidacy.votes, members) for members in candidacy.base.witness_sets())

    def _on_store_reply(self, sender: int, message: StoreReply) -> None:
        candidacy = self._count_vote(sender, message.epoch, CandidacyPhase.STORE, message.ok, message.promised)
        if candidacy is not None:
            if candidacy.votes >= {self.me, *candidacy.backups}:
                candidacy.record = self._next_record(candidacy)
                self._enter_phase(candidacy, CandidacyPhase.ACCEPT)
        elif self._own_record is not None and message.epoch == self._own_record.epoch:
            self._on_proposal_stored(sender, message)

    def _on_accept_reply(self, sender: int, message: AcceptReply) -> None:
        candidacy = self._count_vote(sender, message.epoch, CandidacyPhase.ACCEPT, message.ok, message.promised)
        if candidacy is None:
            return
        decided = all(has_majority(candidacy.votes, members) for members in self._deciding_sets(candidacy))
        if decided and self.me in candidacy.votes:
            self._become_primary(candidacy)

    def _deciding_sets(self, candidacy: Candidacy) -> tuple[tuple[int, ...], ...]:
        """The witness sets each of which needs a majority to decide the candidacy's record."""
        return (*candidacy.base.witness_sets(), *candidacy.record.witness_sets())

    # The next record.

    def _next_record(self, candidacy: Candidacy) -> EpochRecord:
        in_sync = tuple(sorted((self.me, *candidacy.backups)))
        witnesses, former = self._next_witnesses(candidacy)
        return EpochRecord(candidacy.epoch, self.me, in_sync, witnesses, former)

    def _next_witnesses(self, candidacy: Candidacy) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """The next record's witnesses and former witnesses."""
        base = candidacy.base
        if not candidacy.renewal or base != self._own_record:
            return base.witnesses, base.former
        # The base record is decided, so its former witness set is no longer needed.
        return (candidacy.wanted_witnesses, base.witnesses) if candidacy.wanted_witnesses else (base.witnesses, ())

    def _choose_backups(self, candidacy: Candidacy) -> None:
        """Choose backups and send them the state. ``base`` must be the newest of the records read from a majority."""
        if not self._has_state(candidacy.base):
            self._nominate_in_sync_machines(candidacy)
            self._end_candidacy(NOMINATION_RETRY_SECONDS)
            return
        backups = self._select_backups(candidacy)
        if backups is None:
            return  # more machines may reply before the phase times out
        candidacy.backups = backups
        self._enter_phase(candidacy, CandidacyPhase.STORE)
