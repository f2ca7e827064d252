"""A replica as primary: commits, reads, its lease, and the changes of backups and witnesses."""

from __future__ import annotations

from rowanshift.controlplane.replication.actions import (
    ProposalCommitted,
    ProposalFailed,
    ReadConfirmed,
    ReadFailed,
    RoleChanged,
)
from rowanshift.controlplane.replication.core import NEVER, Proposal
from rowanshift.controlplane.replication.fault_domains import (
    choose_backups,
    improved_witnesses,
    surviving_replicas,
    vote_margin,
    witnesses_with_spare,
)
from rowanshift.controlplane.replication.membership import MembershipRole
from rowanshift.controlplane.replication.messages import (
    Heartbeat,
    HeartbeatReply,
    StateVersion,
    Store,
    StoreDelta,
    StoreReply,
    TransferLeadership,
)
from rowanshift.controlplane.replication.quorum import majority
from rowanshift.controlplane.replication.redundancy import NO_REDUNDANCY, Redundancy
from rowanshift.wire.delta import make_delta


class PrimaryRole(MembershipRole):
    """Within an epoch all in-sync machines store each change; a majority of the witnesses keeps the lease alive."""

    def _take_office(self) -> None:
        candidacy, self._candidacy = self._candidacy, None
        before, self._own_record = self._own_record, candidacy.record
        self._effective, self._sequence, self._refused = self._now, 0, False
        self._acked, self._asked = {}, {}
        self._holds = dict.fromkeys(candidacy.record.in_sync, StateVersion(candidacy.record.epoch, 0))
        self._confirmed = dict.fromkeys((*candidacy.record.in_sync, *candidacy.record.witnesses), self._now)
        if before is None:
            self.singleton_tasks_from = self._now + self.singleton_task_delay
            self._actions.append(RoleChanged(True))
        if before is None or before.witnesses != candidacy.record.witnesses:
            self._lease_from = NEVER
        if self._proposal is not None and self._proposal.version is not None:
            self._commit()  # it is part of the state that every in-sync machine holds under the new number
        else:
            self.committed_state = self._durable.state
            if self._proposal is not None:
                self._send_proposal()
        self.committed_version = StateVersion(candidacy.record.epoch, 0)
        for read in self._reads:
            read.serial = self._serial + 1
        self._send_heartbeat()

    def _step_down(self) -> None:
        if self._own_record is None:
            return
        self._own_record, self._lease_from, self.singleton_tasks_from = None, NEVER, float("inf")
        if self._candidacy is not None and self._candidacy.renewal:
            self._candidacy = None
        if self._proposal is not None:
            self._actions.append(ProposalFailed(self._proposal.token))
            self._proposal = None
        self._actions.extend(ReadFailed(read.token) for read in self._reads)
        self._reads = []
        self._actions.append(RoleChanged(False))
        self._put_off(self.timing.phase_timeout_seconds)

    def _transfer_leadership(self) -> None:
        """Give the epoch and its lease up, and have the backups become candidates."""
        epoch = self._own_record
        self._step_down()
        if self._holder == self.me:
            self._held = NEVER
        self._put_off(self.timing.cooldown_seconds)
        for member in sorted(epoch.members() - {self.me}):
            self._send(member, TransferLeadership(epoch.epoch))

    # changes

    def _send_proposal(self) -> None:
        """Send it to whoever has not stored it: first as a difference where that is worth it, then whole."""
        proposal, epoch = self._proposal, self._own_record
        delta = None
        if proposal.version is None:
            self._sequence += 1
            proposal.version, proposal.started = StateVersion(epoch.epoch, self._sequence), self._now
            delta = self._delta_of(proposal)
        proposal.sent = self._now
        whole = Store(epoch.epoch, proposal.version, proposal.state)
        for member in sorted(set(epoch.in_sync) - proposal.stored):
            has_base = member != self.me and self._holds.get(member) == self.committed_version
            self._send(member, delta if delta is not None and has_base else whole)

    def _delta_of(self, proposal: Proposal) -> StoreDelta | None:
        """The difference to the committed state, None where the state is small or most of it has changed."""
        if len(proposal.state) < self.delta_min_state_bytes:
            return None
        delta = make_delta(self.committed_state, proposal.state)
        if len(delta) > len(proposal.state) // 2:
            return None
        return StoreDelta(self._own_record.epoch, proposal.version, self.committed_version, delta)

    def _proposal_stored(self, sender: int, message: StoreReply) -> None:
        """An answer to a Store of this epoch, outside a candidacy."""
        proposal = self._proposal
        if not message.ok:
            self._refused |= message.promised > self._own_record.epoch
        elif proposal is not None and proposal.version == message.version and self._candidacy is None:
            proposal.stored.add(sender)
            self._holds[sender] = message.version
            if proposal.stored >= set(self._own_record.in_sync):
                self._commit()

    def _commit(self) -> None:
        proposal, self._proposal = self._proposal, None
        self.committed_state, self.committed_version = proposal.state, proposal.version
        self._actions.append(ProposalCommitted(proposal.token))

    # heartbeats, the lease, reads

    def _send_heartbeat(self) -> None:
        epoch, now = self._own_record, self._now
        self._serial += 1
        self._beat = self._asked[self._serial] = now
        self._asked = {
            serial: at for serial, at in self._asked.items() if now < at + 2 * self.timing.quorum_loss_seconds
        }
        for machine in sorted(self.known_machines | epoch.members() | {self.me}):
            self._send(machine, Heartbeat(epoch.epoch, self._serial, epoch))

    def _on_heartbeat_reply(self, sender: int, message: HeartbeatReply) -> None:
        epoch = self._own_record
        self._seen = max(self._seen, message.promised)
        if epoch is None or message.epoch != epoch.epoch:
            return
        if not message.ok:
            self._heartbeat_refused(sender, message)
            return
        self._acked[sender] = max(self._acked.get(sender, 0), message.serial)
        self._confirmed[sender] = self._now
        answered = sorted((self._acked.get(witness, 0) for witness in epoch.witnesses), reverse=True)
        asked = self._asked.get(answered[majority(epoch.witnesses) - 1])
        if asked is not None:
            self._lease_from = max(self._lease_from, asked)
        self._check_reads()

    def _heartbeat_refused(self, sender: int, message: HeartbeatReply) -> None:
        epoch = self._own_record
        if message.promised > epoch.epoch:
            self._refused |= sender in epoch.in_sync or sender in epoch.witnesses
        elif sender in epoch.in_sync and self._candidacy is None and self._proposal is None:
            version = StateVersion(epoch.epoch, self._sequence)  # it lost its disk: it gets the state anew
            self._send(sender, Store(epoch.epoch, version, self.committed_state))

    def _check_reads(self) -> None:
        """End every read that all in-sync machines confirmed after it was asked."""
        if self._candidacy is not None:
            return
        confirmed = min(self._acked.get(member, 0) for member in self._own_record.in_sync)
        done = [read for read in self._reads if read.serial <= confirmed]
        if done:
            self._reads = [read for read in self._reads if read.serial > confirmed]
            self._actions.extend(ReadConfirmed(read.token) for read in done)
            if self._reads and all(read.serial > self._serial for read in self._reads):
                self._send_heartbeat()

    def _tick_primary(self) -> None:
        epoch, now = self._own_record, self._now
        if now >= max(self._lease_from, self._effective) + self.timing.quorum_loss_seconds:
            self._end_candidacy(self.timing.phase_timeout_seconds)
            self._step_down()
            return
        self._fail_late_reads()
        if self._candidacy is not None:
            return
        if (
            self._writing is not None
            and now >= self._writing.started + self.timing.slow_save_seconds
            and len(epoch.in_sync) > 1
        ):
            self._transfer_leadership()
            return
        if now >= self._beat + self.timing.heartbeat_interval_seconds:
            self._send_heartbeat()
        proposal = self._proposal
        if proposal is not None and now >= proposal.sent + self.timing.retry_seconds + self._transfer_time(
            proposal.state
        ):
            self._send_proposal()
        self._maybe_renew()

    def _fail_late_reads(self) -> None:
        late = [read for read in self._reads if self._now >= read.asked + self.timing.read_timeout_seconds]
        self._reads = [read for read in self._reads if self._now < read.asked + self.timing.read_timeout_seconds]
        self._actions.extend(ReadFailed(read.token) for read in late)

    # backups and witnesses

    def _maybe_renew(self) -> None:
        """Stand again under a new number where a backup, or the witnesses, should change."""
        now, timing = self._now, self.timing
        if (
            now >= self._lease_from + timing.quorum_loss_seconds * 0.8
            or now < self._renewed + timing.renewal_interval_seconds
        ):
            return  # only while a majority of the witnesses answers
        failed = self._failed_backups()
        live = self._live_machines() - failed
        if len(live) < self.f:
            return
        if failed or self._refused or self._own_record.former:
            self._stand(renewal=True)
            return
        if now < self._changed + timing.witness_change_interval_seconds:
            return
        wanted = self._witnesses_wanted()
        if wanted or self._copies_could_bear_more(live):
            self._changed = now
            self._stand(renewal=True, witnesses=wanted)

    def _copies_could_bear_more(self, live: set[int]) -> bool:
        """Whether the worst loss would take all copies, and other machines that live would leave more."""
        if not self.tolerance.domains:
            return False
        left = surviving_replicas(self._own_record.in_sync, self.failure_domains, self.tolerance)
        backups = choose_backups(self.me, sorted(live - {self.me}), self.failure_domains, self.tolerance)
        return left < 1 and surviving_replicas([self.me, *backups], self.failure_domains, self.tolerance) > left

    def _failed_backups(self) -> set[int]:
        """In-sync machines that are silent, end soon, or are too slow with the present proposal."""
        now, epoch, proposal = self._now, self._own_record, self._proposal
        silence = self.timing.backup_timeout_seconds
        backups = {*epoch.in_sync} - {self.me}
        failed = {member for member in backups if now >= self._confirmed[member] + silence or self._leaves(member)}
        if proposal is not None and now >= proposal.started + silence + self._transfer_time(proposal.state):
            slow = backups - proposal.stored
            self._slow.update(dict.fromkeys(slow, now + self.timing.cooldown_seconds))
            failed |= slow
        return failed

    def _live_machines(self) -> set[int]:
        """Machines heard lately that may be backups."""
        now, silence = self._now, self.timing.backup_timeout_seconds
        recent = {machine for machine, heard in self._heard.items() if now < heard + silence}
        return {machine for machine in recent if now >= self._slow.get(machine, 0.0) and not self._leaves(machine)}

    def _witnesses_wanted(self) -> tuple[int, ...]:
        """The witnesses with one that is gone or leaves replaced, or one added; empty if they stay as they are."""
        now, epoch = self._now, self._own_record
        spares = self._live_spares()
        if not spares:
            return ()
        silence = self.timing.witness_timeout_seconds
        gone = [w for w in epoch.witnesses if self._leaves(w) or now >= self._confirmed.get(w, 0.0) + silence]
        kept = [w for w in epoch.witnesses if w not in gone[:1]]
        if gone or len(kept) < self.wanted_witnesses:
            return witnesses_with_spare(kept, spares, self.failure_domains, self.tolerance)
        return improved_witnesses(kept, spares, self.failure_domains, self.tolerance) if self.tolerance.domains else ()

    def redundancy(self) -> Redundancy:
        """How much of what this epoch wants is there now."""
        epoch, now = self._own_record, self._now
        if epoch is None:
            return NO_REDUNDANCY
        silence = self.timing.backup_timeout_seconds
        alive = {machine for machine, heard in self._heard.items() if now < heard + silence} | {self.me}
        holding = {machine for machine, heard in self._confirmed.items() if now < heard + silence} | {self.me}
        replicas, witnesses = alive & holding & {*epoch.in_sync}, alive & {*epoch.witnesses}
        return Redundancy(
            replicas=len(replicas),
            replicas_wanted=self.tolerance.total + 1,
            witnesses=len(witnesses),
            witnesses_wanted=self.wanted_witnesses,
            witnesses_changing=bool(epoch.former),
            tolerance_met=not self.unmet_tolerance(),
        )

    def unmet_tolerance(self) -> str:
        """Why the worst loss that the settings speak of could not be borne, however many live; empty: it could."""
        epoch, tolerance = self._own_record, self.tolerance
        if tolerance.total and self._no_quorum_members(epoch.members()):
            return "no core machine counts (quorumMember), so that faultTolerance speaks of none"
        if not tolerance.domains:
            return ""
        if surviving_replicas(epoch.in_sync, self.failure_domains, tolerance) < 1:
            return f"{tolerance} may take all copies"
        if vote_margin(epoch.witnesses, self.failure_domains, tolerance) < 0:
            return f"{tolerance} may take the majority of the witnesses"
        return ""
