"""A replica as a candidate: a new epoch, by a machine that takes over or by a primary that renews its own."""

from __future__ import annotations

from rowanshift.controlplane.replication.core import Candidacy, ReplicaCore
from rowanshift.controlplane.replication.fault_domains import choose_backups
from rowanshift.controlplane.replication.messages import (
    Accept,
    AcceptReply,
    EpochRecord,
    Prepare,
    PrepareReply,
    PreVote,
    PreVoteReply,
    StateVersion,
    Store,
    StoreReply,
    TransferLeadership,
)
from rowanshift.controlplane.replication.quorum import has_majority
from rowanshift.controlplane.replication.timing import EPOCH_LIMIT


class CandidateRole(ReplicaCore):
    """Pre-vote, prepare, store, accept: each phase goes on once enough machines voted for it."""

    def _stand(self, renewal: bool = False, witnesses: tuple[int, ...] = ()) -> None:
        """Begin a candidacy under a number above all that were heard of."""
        epoch = ((max(self._seen, self._durable.promised) >> 32) + 1) << 32 | self.me
        if epoch >= EPOCH_LIMIT:
            self._stand_at = float("inf")
            return
        now = self._now
        self._candidacy = Candidacy(epoch, renewal, "", now, now, now, witnesses, base=self._durable.accepted)
        if renewal:
            self._renewed = now
            self._enter("prepare")
        else:
            self._enter("pre-vote")

    def _enter(self, phase: str) -> None:
        candidacy = self._candidacy
        candidacy.phase, candidacy.phase_started, candidacy.votes = phase, self._now, set()
        if phase == "prepare":
            candidacy.started = self._now
        self._send_phase()

    def _send_phase(self) -> None:
        """Send this phase's message to whoever has not voted for it."""
        candidacy = self._candidacy
        candidacy.sent = self._now
        members = {
            member for record in (candidacy.base, candidacy.record) for group in record.sets() for member in group
        }
        copies = {self.me, *candidacy.backups}
        if candidacy.phase == "pre-vote":
            message, to = PreVote(candidacy.epoch), members
        elif candidacy.phase == "prepare":  # one's own promise is on disk before others are asked
            message, to = Prepare(candidacy.epoch), members if self.me in candidacy.votes else {self.me}
        elif candidacy.phase == "store":
            message, to = self._store_message(candidacy), copies
        else:
            message, to = Accept(candidacy.epoch, candidacy.record), members | copies
        for member in sorted(to - candidacy.votes):
            self._send(member, message)

    def _store_message(self, candidacy: Candidacy) -> Store:
        return Store(candidacy.epoch, StateVersion(candidacy.epoch, 0), self._durable.state)

    def _tick_candidacy(self) -> None:
        candidacy, now = self._candidacy, self._now
        pre_vote = candidacy.phase == "pre-vote"
        late = not pre_vote and now >= candidacy.started + self.timing.candidacy_limit_seconds
        transfer = self._transfer_time(self._durable.state) if candidacy.phase == "store" else 0.0
        if late or now >= candidacy.phase_started + self.timing.phase_timeout_seconds + transfer:
            if candidacy.phase == "store":
                for member in set(candidacy.backups) - candidacy.votes:
                    self._slow[member] = now + self.timing.cooldown_seconds
            if candidacy.phase != "pre-vote" and not self._has_state(candidacy.base):
                self._ask_in_sync_to_stand(candidacy)
            self._end_candidacy(0.1)
        elif (
            candidacy.phase == "store" and now >= candidacy.phase_started + self.timing.store_timeout_seconds + transfer
        ):
            candidacy.tried |= {*candidacy.backups} - candidacy.votes
            self._choose_backups()
        elif (
            now
            >= candidacy.sent
            + (self.timing.pre_vote_retry_seconds if pre_vote else self.timing.retry_seconds)
            + transfer
        ):
            self._send_phase()

    def _end_candidacy(self, rest: float) -> None:
        """Give this number up for good. A primary that was renewing its epoch has lost its primacy."""
        candidacy, self._candidacy = self._candidacy, None
        if candidacy is not None:
            self._stand_at = self._now + rest + self.timing.election_jitter_seconds * self._random_fraction()
            if candidacy.renewal:
                self._step_down()

    def _vote(self, sender: int, epoch: int, phase: str, ok: bool, promised: int) -> bool:
        """Count a vote for the candidacy's present phase; True if it was one."""
        candidacy = self._candidacy
        self._seen = max(self._seen, promised)
        if candidacy is None or candidacy.epoch != epoch or candidacy.phase != phase:
            return False
        if self._now >= candidacy.started + self.timing.candidacy_limit_seconds and phase != "pre-vote":
            self._end_candidacy(0.1)
            return False
        if not ok:
            if promised > epoch and candidacy.renewal:
                self._stand(renewal=True, witnesses=candidacy.witnesses)
            elif promised > epoch:
                self._end_candidacy(0.1)
            return False
        candidacy.votes.add(sender)
        return True

    def _on_pre_vote_reply(self, sender: int, message: PreVoteReply) -> None:
        if self._vote(sender, message.epoch, "pre-vote", message.ok, 0):
            candidacy = self._candidacy
            if all(has_majority(candidacy.votes, members) for members in candidacy.base.sets()):
                self._enter("prepare")

    def _on_prepare_reply(self, sender: int, message: PrepareReply) -> None:
        if not self._vote(sender, message.epoch, "prepare", message.ok, message.promised):
            return
        candidacy = self._candidacy
        candidacy.records[sender] = message.accepted
        newer = message.accepted.epoch > candidacy.base.epoch
        if newer:
            candidacy.base = message.accepted
            self.known_machines |= {*candidacy.base.in_sync, *candidacy.base.witnesses} - {self.me}
        if self.me not in candidacy.votes:
            return
        if all(has_majority(candidacy.votes, members) for members in candidacy.base.sets()):
            self._choose_backups()
        elif sender == self.me or newer:
            self._send_phase()

    def _choose_backups(self) -> None:
        """The records of a majority of every set concerned are read; ``base`` is the newest."""
        candidacy = self._candidacy
        if not self._has_state(candidacy.base):
            self._ask_in_sync_to_stand(candidacy)
            self._end_candidacy(0.8)
            return
        order, sound = self._backups_by_preference(candidacy)
        if len(order) < self.f:
            return  # more may answer until the phase ends
        backups = choose_backups(self.me, sound, self.failure_domains, self.tolerance)
        further = [machine for machine in order if machine not in backups]
        candidacy.backups = (*backups, *further[: max(0, self.f - len(backups))])
        self._enter("store")

    def _backups_by_preference(self, candidacy: Candidacy) -> tuple[list[int], list[int]]:
        """Machines that live, by preference, and those of them of which nothing is doubtful: not those that were slow
        lately or end soon, then those that surely live, then those in sync."""
        now = self._now
        alive = {
            machine for machine, heard in self._heard.items() if now < heard + self.timing.alive_seconds
        } | candidacy.votes
        alive.discard(self.me)
        recent = {
            machine for machine in alive if now < self._heard.get(machine, 0.0) + self.timing.backup_timeout_seconds
        }
        # a primary that just fell was heard lately, too: its own candidate counts only votes
        doubted = alive - recent if candidacy.renewal else alive - candidacy.votes

        def doubts(machine: int) -> tuple[bool, bool, bool, bool]:
            slow = self._slow.get(machine, 0.0) > now
            return machine in candidacy.tried, slow, self._leaves(machine), machine in doubted

        def preference(machine: int) -> tuple[bool | int, ...]:
            return *doubts(machine), machine not in candidacy.base.in_sync, machine not in candidacy.votes, machine

        order = sorted(alive, key=preference)
        return order, [machine for machine in order if not any(doubts(machine))]

    def _ask_in_sync_to_stand(self, candidacy: Candidacy) -> None:
        for member in candidacy.base.in_sync:
            if member != self.me:
                self._send(member, TransferLeadership(candidacy.epoch))

    def _on_store_reply(self, sender: int, message: StoreReply) -> None:
        if self._vote(sender, message.epoch, "store", message.ok, message.promised):
            candidacy = self._candidacy
            if candidacy.votes >= {self.me, *candidacy.backups}:
                in_sync = tuple(sorted((self.me, *candidacy.backups)))
                witnesses, former = self._next_witnesses(candidacy)
                candidacy.record = EpochRecord(candidacy.epoch, self.me, in_sync, witnesses, former)
                self._enter("accept")
        elif self._own_record is not None and message.epoch == self._own_record.epoch:
            self._proposal_stored(sender, message)

    def _proposal_stored(self, sender: int, message: StoreReply) -> None:
        raise NotImplementedError

    def _next_witnesses(self, candidacy: Candidacy) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """The next record's witnesses and former set."""
        base = candidacy.base
        if not candidacy.renewal or base != self._own_record:
            return base.witnesses, base.former
        # the base is in force: its former set has done its part
        return (candidacy.witnesses, base.witnesses) if candidacy.witnesses else (base.witnesses, ())

    def _on_accept_reply(self, sender: int, message: AcceptReply) -> None:
        if not self._vote(sender, message.epoch, "accept", message.ok, message.promised):
            return
        candidacy = self._candidacy
        decided = all(has_majority(candidacy.votes, members) for members in self._deciding(candidacy))
        if decided and self.me in candidacy.votes:
            self._take_office()

    def _deciding(self, candidacy: Candidacy) -> tuple[tuple[int, ...], ...]:
        """The sets a majority of each of which puts the candidacy's record in force."""
        return (*candidacy.base.sets(), *candidacy.record.sets())

    def _take_office(self) -> None:
        raise NotImplementedError
