"""Replicas with one planted fault each, which the random walks of rowanshift.modelcheck must detect."""

from __future__ import annotations

from rowanshift.controlplane import replication
from rowanshift.modelcheck.fault_injection import FaultKind
from rowanshift.modelcheck.fault_search import FaultSearch


class AcknowledgesAlone(replication.Replica):
    """The primary commits as soon as its own disk has the state."""

    def _on_store_reply(self, sender, message):
        super()._on_store_reply(sender, message)
        proposal = self._proposal
        if proposal is not None and sender == self.me and message.ok and proposal.version == message.version:
            self._commit_proposal()


class EmptyDiskVotes(replication.Replica):
    """A machine that lost its disk starts as if the system were new, and votes."""

    def __init__(self, me, max_failures, seeds, bootstrap, *args, **options):
        super().__init__(me, max_failures, seeds, True, *args, **options)


class AcceptsBeforeSave(replication.Replica):
    """A witness replies that it accepted a record before the record is on its disk."""

    def _send_after_save(self, to, message):
        (self._send if isinstance(message, replication.AcceptReply) else super()._send_after_save)(to, message)


class PromiseNotDurable(replication.Replica):
    """A witness sends a promise before the promise is on its disk."""

    def _send_after_save(self, to, message):
        (self._send if isinstance(message, replication.PrepareReply) else super()._send_after_save)(to, message)


class CommitsBeforeOwnSave(replication.Replica):
    """An in-sync machine acknowledges a state before the state is on its disk."""

    def _send_after_save(self, to, message):
        (self._send if isinstance(message, replication.StoreReply) else super()._send_after_save)(to, message)


class OutOfSyncCandidate(replication.Replica):
    """A candidate continues although it is not in sync."""

    def _has_state(self, record):
        return True


class CandidateWithoutState(replication.Replica):
    """An in-sync machine becomes a candidate although it has lost its disk since."""

    def _has_state(self, record):
        return self.me in record.in_sync


class ReadsUnconfirmed(replication.Replica):
    """A primary confirms a read without asking the other in-sync machines."""

    def confirm_read(self, token, now):
        if self._own_record is None:
            raise replication.NotPrimary(0)
        self._actions.append(replication.ReadConfirmed(token))


class ReadsProposed(replication.Replica):
    """A read returns a state that is proposed but not committed."""

    def _send_proposal(self, proposal):
        self.committed_state = proposal.state
        super()._send_proposal(proposal)


class AcceptsLowerNumber(replication.Replica):
    """A witness accepts a record of an epoch below its promise."""

    def _on_accept(self, sender, message):
        self._adopt_record(message.record)
        self._grant_lease(sender)
        self._send_after_save(sender, replication.AcceptReply(message.epoch, True, message.epoch))


class IgnoresRecordsRead(replication.Replica):
    """A candidate ignores the records in prepare replies and builds on the record it knew before."""

    def _on_prepare_reply(self, sender, message):
        own = self._candidacy.base if self._candidacy is not None else message.accepted
        super()._on_prepare_reply(sender, replication.PrepareReply(message.epoch, message.ok, message.promised, own))


class NewSetAlone(replication.Replica):
    """A change of witnesses is decided by the new set alone, and the record names no former set."""

    def _deciding_sets(self, candidacy):
        return (candidacy.record.witnesses,)

    def _next_witnesses(self, candidacy):
        return super()._next_witnesses(candidacy)[0], ()


class OldSetAlone(replication.Replica):
    """A change of witnesses is decided by the old set alone, and the record names no former set."""

    def _deciding_sets(self, candidacy):
        return candidacy.base.witness_sets()

    def _next_witnesses(self, candidacy):
        return super()._next_witnesses(candidacy)[0], ()


class LeaseNotAwaited(replication.Replica):
    """A witness makes promises to candidates while another machine may hold a lease."""

    def _lease_may_be_held_by_another(self, candidate):
        return False


class RestartedDoesNotWait(replication.Replica):
    """A restarted witness makes promises without waiting for the lease guard."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._lease_granted_at = float("-inf")
        self._candidacy_due_at = self._now


class BackupsStandAtOnce(replication.Replica):
    """Any in-sync machine becomes a candidate as soon as it has started, which only the former primary may do, and
    restarted witnesses vote for it."""

    def _was_primary_before_restart(self):
        return self.me in self._durable.accepted.in_sync and not self._durable.amnesic

    def _lease_may_be_held_by_another(self, candidate):
        unheard = self._lease_holder_heard_at == float("-inf")
        return super()._lease_may_be_held_by_another(candidate) and not (
            unheard and candidate in self._durable.accepted.in_sync
        )


class StoresBelowPromise(replication.Replica):
    """A backup stores a state of an epoch below its promise."""

    def _on_store(self, sender, message):
        if message.version > self._durable.version:
            promised = max(self._durable.promised, message.epoch)
            self._update_durable(promised=promised, version=message.version, state=message.state)
        self._send_after_save(sender, replication.StoreReply(message.epoch, message.version, True, message.epoch))


class RecoversFromOne(replication.Replica):
    """A single recovery reply suffices to vote again after a disk loss."""

    def _on_recovery_reply(self, sender, message):
        if self._durable.amnesic and not message.amnesic and message.serial == self._recovery_serial:
            self._update_durable(promised=message.promised, accepted=message.accepted, amnesic=False)
            self._start_save()


class CountsAnyStored(replication.Replica):
    """A reply to an earlier Store counts for the current proposal."""

    def _on_store_reply(self, sender, message):
        if self._proposal is not None and self._candidacy is None and message.ok:
            message = replication.StoreReply(message.epoch, self._proposal.version, True, message.promised)
        super()._on_store_reply(sender, message)


class CountsAnyHeartbeatReply(replication.Replica):
    """A reply to an earlier Heartbeat counts for the latest round."""

    def _on_heartbeat_reply(self, sender, message):
        super()._on_heartbeat_reply(
            sender,
            replication.HeartbeatReply(
                message.epoch, self._heartbeat_round, message.ok, message.promised, message.version
            ),
        )


class KeepsLeaseTransferring(replication.Replica):
    """A primary with a slow disk transfers leadership without stepping down."""

    def _transfer_leadership(self):
        for member in sorted({*self._own_record.witnesses, *self._own_record.in_sync} - {self.me}):
            self._send(member, replication.TransferLeadership(self._own_record.epoch))


class ReleasesFormerWitness(replication.Replica):
    """A leaving witness is released as soon as a spare has replaced it, while it is still a former witness."""

    def _vote_still_needed(self, machine):
        return machine in self._own_record.witnesses and bool(self._live_spares())


class CountsEveryMachine(replication.Replica):
    """A machine that is not a quorum member becomes a backup and a witness like any other."""

    def _is_observer(self):
        return False

    def _has_quorum_member_spare(self):
        return False


FAULTS: dict[type[replication.Replica], FaultSearch] = {
    AcknowledgesAlone: FaultSearch(2),
    EmptyDiskVotes: FaultSearch(2),
    AcceptsBeforeSave: FaultSearch(
        0,
        machine_count=5,
        fault_kinds=(FaultKind.FORCED_CANDIDACY, FaultKind.POWER_LOSS, FaultKind.POWER_LOSS, FaultKind.MESSAGE_BLOCK),
    ),
    PromiseNotDurable: FaultSearch(
        0,
        machine_count=5,
        fault_kinds=(FaultKind.FORCED_CANDIDACY, FaultKind.POWER_LOSS, FaultKind.POWER_LOSS, FaultKind.MESSAGE_BLOCK),
    ),
    CommitsBeforeOwnSave: FaultSearch(0),
    OutOfSyncCandidate: FaultSearch(0),
    CandidateWithoutState: FaultSearch(2),
    ReadsUnconfirmed: FaultSearch(11),
    ReadsProposed: FaultSearch(6),
    AcceptsLowerNumber: FaultSearch(55, machine_count=5),
    IgnoresRecordsRead: FaultSearch(2),
    NewSetAlone: FaultSearch(
        0,
        spares=1,
        fault_kinds=(FaultKind.PAUSE, FaultKind.LINK_CUTS, FaultKind.MESSAGE_BLOCK, FaultKind.FORCED_CANDIDACY),
    ),
    OldSetAlone: FaultSearch(
        1, spares=1, fault_kinds=(FaultKind.PAUSE, FaultKind.PAUSE, FaultKind.LINK_CUTS, FaultKind.MESSAGE_BLOCK)
    ),
    LeaseNotAwaited: FaultSearch(
        18, fault_kinds=(FaultKind.FORCED_CANDIDACY, FaultKind.FORCED_CANDIDACY, FaultKind.PAUSE, FaultKind.LINK_CUTS)
    ),
    RestartedDoesNotWait: FaultSearch(
        4, fault_kinds=(FaultKind.MASS_RESTART, FaultKind.MASS_RESTART, FaultKind.LINK_CUTS)
    ),
    BackupsStandAtOnce: FaultSearch(
        0, fault_kinds=(FaultKind.MASS_RESTART, FaultKind.MASS_RESTART, FaultKind.LINK_CUTS)
    ),
    StoresBelowPromise: FaultSearch(
        16, fault_kinds=(FaultKind.PAUSE, FaultKind.FORCED_CANDIDACY, FaultKind.MESSAGE_BLOCK)
    ),
    RecoversFromOne: FaultSearch(
        46, fault_kinds=(FaultKind.DISK_LOSS, FaultKind.LINK_CUTS, FaultKind.FORCED_CANDIDACY)
    ),
    CountsAnyStored: FaultSearch(
        192, fault_kinds=(FaultKind.LINK_CUTS, FaultKind.MESSAGE_BLOCK, FaultKind.POWER_LOSS, FaultKind.SLOW_DISK)
    ),
    CountsAnyHeartbeatReply: FaultSearch(
        240, fault_kinds=(FaultKind.PAUSE, FaultKind.LINK_CUTS, FaultKind.MESSAGE_BLOCK)
    ),
    KeepsLeaseTransferring: FaultSearch(36, fault_kinds=(FaultKind.SLOW_DISK, FaultKind.SAVE_ERROR, FaultKind.PAUSE)),
    ReleasesFormerWitness: FaultSearch(20, spares=1, walk="closing"),
    CountsEveryMachine: FaultSearch(5, spares=1, walk="uncounted"),
}
