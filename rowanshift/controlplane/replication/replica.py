"""What a core machine decides: a primary-backup store whose epochs are agreed by witnesses (docs/control-plane.md).

Events go in, with ``now`` in steady seconds, and actions come out of ``drain()``. Nothing here waits, reads a
clock, writes a file or opens a connection. The caller carries each ``Send``, writes each ``Save`` whole and
synced and then calls ``saved``, and calls ``tick`` every 50 ms or by ``next_wake``. What must be on disk before
another machine may learn of it is sent by the replica itself, after ``saved``.
"""

from __future__ import annotations

from rowanshift.controlplane.replication import messages
from rowanshift.controlplane.replication.actions import NotPrimary, ProposalInProgress, StateTooLarge
from rowanshift.controlplane.replication.candidate import CandidateRole
from rowanshift.controlplane.replication.core import Proposal, Read
from rowanshift.controlplane.replication.messages import (
    FailureDomainReport,
    Join,
    Message,
    RecoveryReply,
    RecoveryRequest,
)
from rowanshift.controlplane.replication.primary import PrimaryRole
from rowanshift.controlplane.replication.recovery import RecoveryRole
from rowanshift.controlplane.replication.timing import STATE_LIMIT_BYTES
from rowanshift.controlplane.replication.witness import WitnessRole

HANDLERS: dict[type, str] = {
    messages.PreVote: "_on_pre_vote",
    messages.PreVoteReply: "_on_pre_vote_reply",
    messages.Prepare: "_on_prepare",
    messages.PrepareReply: "_on_prepare_reply",
    messages.Store: "_on_store",
    messages.StoreDelta: "_on_store_delta",
    messages.StoreReply: "_on_store_reply",
    messages.Accept: "_on_accept",
    messages.AcceptReply: "_on_accept_reply",
    messages.Heartbeat: "_on_heartbeat",
    messages.HeartbeatReply: "_on_heartbeat_reply",
    messages.TransferLeadership: "_on_transfer_leadership",
    messages.RecoveryRequest: "_on_recovery_request",
    messages.RecoveryReply: "_on_recovery_reply",
    messages.FailureDomainReport: "_on_failure_domain_report",
    messages.Join: "_on_join",
    messages.Leave: "_on_leave",
    messages.LeaveReply: "_on_leave_reply",
}


class Replica(PrimaryRole, CandidateRole, RecoveryRole, WitnessRole):
    """One core machine's part of the protocol."""

    def receive(self, sender: int, message: Message, now: float) -> None:
        """A message has come from another machine."""
        self._now = max(self._now, now)
        if sender != self.me:
            self.known_machines.add(sender)
            if not isinstance(message, RecoveryRequest | FailureDomainReport) and not (
                isinstance(message, RecoveryReply) and message.amnesic
            ):
                self._heard[sender] = self._now
        if self._durable.amnesic and not isinstance(
            message, RecoveryRequest | RecoveryReply | Join | FailureDomainReport
        ):
            return  # it doesn't know what it promised
        self._dispatch(sender, message)
        self._settle()

    def saved(self, token: int, now: float) -> None:
        """The save of this token is on disk."""
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
        """The disk refused the save of this token: it may hold it or what it held before."""
        self._now = max(self._now, now)
        writing = self._writing
        if writing is None or writing.token != token:
            return
        self._writing, self._on_disk, self._waiting = None, None, []
        self._save_failed = self._now
        if self._own_record is not None:
            self._transfer_leadership()
        self._end_candidacy(self.timing.cooldown_seconds)
        self._settle()

    def tick(self, now: float) -> None:
        """Time has passed."""
        self._now = max(self._now, now)
        dirty = self._on_disk is not self._durable and self._writing is None
        if dirty and self._now >= self._save_failed + self.timing.retry_seconds:
            self._start_save()
        if self._durable.amnesic:
            self._tick_recovery()
        else:
            self._tick_member()
        if self.leaving:
            self._tick_leaving()
        self._tick_located()
        self._settle()

    def _tick_member(self) -> None:
        if not self.quorum_member:
            self._tick_uncounted()
            if self._observes():
                return
        if self._own_record is not None:
            self._tick_primary()
        if self._candidacy is not None:
            self._tick_candidacy()
        elif self._own_record is None:
            if self._now >= self._stand_at:
                self._stand()
            elif (
                self._now >= self._joined + self.timing.join_interval_seconds
                and self.me not in self._durable.accepted.witnesses
            ):
                self._ask_to_join()

    def propose(self, token: int, state: bytes, now: float) -> None:
        """Replicate ``state``, made from ``committed_state``; ``ProposalCommitted`` or ``ProposalFailed`` follows."""
        self._now = max(self._now, now)
        if self._own_record is None:
            raise NotPrimary(self.primary_hint)
        if self._proposal is not None:
            raise ProposalInProgress
        if len(state) > STATE_LIMIT_BYTES:
            raise StateTooLarge
        self._proposal = Proposal(token, state)
        if self._candidacy is None:
            self._send_proposal()
        self._settle()

    def confirm_read(self, token: int, now: float) -> None:
        """``ReadConfirmed`` or ``ReadFailed`` follows; reads asked meanwhile share the next round."""
        self._now = max(self._now, now)
        if self._own_record is None:
            raise NotPrimary(self.primary_hint)
        under_way = any(read.serial <= self._serial for read in self._reads)
        self._reads.append(Read(token, self._serial + 1, self._now))
        if not under_way and self._candidacy is None:
            self._send_heartbeat()
        self._settle()

    def _dispatch(self, sender: int, message: Message) -> None:
        getattr(self, HANDLERS[type(message)])(sender, message)

    def _settle(self) -> None:
        """Take in what this machine sent to itself."""
        while self._to_self:
            self._dispatch(self.me, self._to_self.pop(0))
