"""The replica of one core machine: primary-backup replication with epochs decided by witnesses (docs/control-plane.md).

The caller passes events in with ``now`` in seconds of the steady clock, and takes actions out of ``drain``. Nothing
here blocks, reads a clock, writes a file or opens a connection. The caller sends the message of each ``Send``; it
writes each ``Save`` atomically, syncs it and then calls ``saved`` or ``save_failed``; it calls ``tick`` every 50 ms or
by ``next_wake``. The replica holds back messages that depend on a save until ``saved`` is called.
"""

from __future__ import annotations

from rowanshift.controlplane.replication import messages
from rowanshift.controlplane.replication.backup import BackupRole
from rowanshift.controlplane.replication.candidate import CandidateRole
from rowanshift.controlplane.replication.failure_domain_reports import FailureDomainReporter
from rowanshift.controlplane.replication.messages import (
    FailureDomainReport,
    Join,
    Message,
    RecoveryReply,
    RecoveryRequest,
)
from rowanshift.controlplane.replication.primary import PrimaryRole
from rowanshift.controlplane.replication.recovery import RecoveryRole
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
}  # method names rather than functions, so that a subclass can override a handler


class Replica(PrimaryRole, CandidateRole, RecoveryRole, BackupRole, WitnessRole, FailureDomainReporter):
    """One core machine's participant in the replication protocol, in all its roles."""

    def receive(self, sender: int, message: Message, now: float) -> None:
        """Process a message from another machine."""
        self._now = max(self._now, now)
        if sender != self.me:
            self.known_machines.add(sender)
            if _shows_participation(message):
                self._last_heard_at[sender] = self._now
        if self._durable.amnesic and not isinstance(
            message, RecoveryRequest | RecoveryReply | Join | FailureDomainReport
        ):
            return  # this machine has not yet recovered its promise
        self._dispatch(sender, message)
        self._process_loopback()

    def tick(self, now: float) -> None:
        """Perform the periodic work that is due at ``now``."""
        self._now = max(self._now, now)
        self._tick_save()
        if self._durable.amnesic:
            self._tick_recovery()
        else:
            self._tick_participant()
        if self.leaving:
            self._tick_leaving()
        self._tick_failure_domain()
        self._process_loopback()

    def _tick_participant(self) -> None:
        if not self.quorum_member:
            self._tick_non_quorum_member()
            if self._is_observer():
                return
        if self._own_record is not None:
            self._tick_primary()
        if self._candidacy is not None:
            self._tick_candidacy(self._candidacy)
        elif self._own_record is None:
            self._tick_follower()

    def _tick_follower(self) -> None:
        """Become a candidate or ask to become a witness when the time for it has come."""
        if self._now >= self._candidacy_due_at:
            self._start_candidacy()
            return
        join_due_at = self._join_sent_at + self.timing.join_interval_seconds
        if self._now >= join_due_at and self.me not in self._durable.accepted.witnesses:
            self._send_joins()

    def _dispatch(self, sender: int, message: Message) -> None:
        getattr(self, HANDLERS[type(message)])(sender, message)

    def _process_loopback(self) -> None:
        """Process the messages that this machine has sent to itself."""
        while self._loopback:
            self._dispatch(self.me, self._loopback.pop(0))


def _shows_participation(message: Message) -> bool:
    """Whether only participants of the protocol, which may become backups or witnesses, send this message."""
    if isinstance(message, RecoveryReply):
        return not message.amnesic
    return not isinstance(message, RecoveryRequest | FailureDomainReport)
