"""Planned membership changes: a spare joins, and a machine that is about to stop is replaced first."""

from __future__ import annotations

from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.messages import Join, Leave, LeaveReply, RecoveryReply, TransferLeadership


class MembershipRole(DurableReplica):
    """Joins and leaves. A leaving machine keeps all roles, candidate included, until the primary grants the leave."""

    def leave(self, now: float) -> None:
        """Hand leadership, the replica and the vote over to other machines; then ``leave_granted`` is set."""
        self._now = max(self._now, now)
        self.leaving = True
        self._tick_leaving()
        self._process_loopback()

    def _tick_leaving(self) -> None:
        if self.leave_granted or self._now < self._leave_sent_at + self.timing.retry_seconds:
            return
        if self._durable.amnesic or self._is_observer():
            self.leave_granted = True  # the current epoch does not depend on this machine
            return
        self._request_replacement()

    def _request_replacement(self) -> None:
        """Ask the primary to replace this machine as replica and witness; a primary transfers leadership first."""
        if self._own_record is not None and not self._transfer_leadership_before_leaving():
            return
        self._leave_sent_at = self._now
        for machine in sorted(self.known_machines):
            if self._transferred_epoch:  # sent again: a machine that missed it would wait for the lease to expire
                self._send(machine, TransferLeadership(self._transferred_epoch))
            self._send(machine, Leave(self.me))

    def _transfer_leadership_before_leaving(self) -> bool:
        """Transfer leadership unless a candidacy or proposal is in progress. Returns whether it was transferred."""
        if len(self._led_record.in_sync) == 1:
            self.leave_granted = True  # there is no other replica to hand over to
            return False
        if self._candidacy is not None or self._proposal is not None:
            return False
        self._transferred_epoch = self._led_record.epoch
        self._transfer_leadership()
        return True

    def _on_leave(self, sender: int, message: Leave) -> None:
        self._leaving_until[message.machine] = self._now + self.timing.leave_lifetime_seconds
        if self._own_record is not None:
            granted = sender not in self._own_record.in_sync and not self._vote_still_needed(sender)
            self._send(sender, LeaveReply(self._own_record.epoch, granted))

    def _vote_still_needed(self, machine: int) -> bool:
        """Whether a leaving machine is a former witness, or a witness that a spare can still replace.

        A takeover needs a majority of the former witness set as well, until that set is dropped.
        """
        record = self._led_record
        return machine in record.former or (machine in record.witnesses and bool(self._live_spares()))

    def _on_leave_reply(self, sender: int, message: LeaveReply) -> None:
        """Accept the grant unless this machine has promised a newer epoch, which may have chosen it again."""
        if self.leaving and message.granted and message.epoch >= self._durable.promised:
            self.leave_granted = True

    def _tick_non_quorum_member(self) -> None:
        """Announce an observer to the primary, or ask that a bootstrap member be replaced by a quorum member."""
        if self._is_observer():
            if not self.primary_hint and self._now >= self._join_sent_at + self.timing.join_interval_seconds:
                self._join_sent_at = self._now
                self._send_recovery_requests()
        elif self._has_quorum_member_spare() and self._now >= self._leave_sent_at + self.timing.retry_seconds:
            self._request_replacement()

    def _has_quorum_member_spare(self) -> bool:
        """Whether a quorum member that is not a witness has recently asked to become one."""
        spares = self._recent_spares() - {*self._durable.accepted.witnesses}
        return any(self._domain_of(machine).quorum_member for machine in spares)

    def _recent_spares(self) -> set[int]:
        """Machines whose last Join is within the spare lifetime."""
        lifetime = self.timing.spare_lifetime_seconds
        return {machine for machine, joined_at in self._spare_joined_at.items() if self._now < joined_at + lifetime}

    def _live_spares(self) -> list[int]:
        """Machines that can become witnesses, starting with this one."""
        spares = [self.me, *sorted(self._recent_spares() & self._eligible_backups())]
        return [machine for machine in spares if machine not in self._led_record.witnesses]

    def _on_join(self, sender: int, message: Join) -> None:
        self._leaving_until.pop(message.machine, None)
        self._spare_joined_at[message.machine] = self._now
        if self._own_record is None:
            durable = self._durable
            self._send_after_save(sender, RecoveryReply(0, durable.promised, durable.accepted, durable.amnesic))

    def _send_joins(self) -> None:
        self._join_sent_at = self._now
        for machine in sorted(self.known_machines):
            self._send(machine, Join(self.me))
