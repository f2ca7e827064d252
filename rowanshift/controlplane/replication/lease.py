"""The primary's heartbeats; their replies renew its lease and confirm reads."""

from __future__ import annotations

from rowanshift.controlplane.replication.actions import ReadConfirmed, ReadFailed
from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.errors import NotPrimary
from rowanshift.controlplane.replication.messages import Heartbeat, HeartbeatReply, Store
from rowanshift.controlplane.replication.progress import PendingRead
from rowanshift.controlplane.replication.quorum import majority
from rowanshift.controlplane.replication.records import StateVersion


class LeaseRole(DurableReplica):
    """Renews the lease by replies of a majority of witnesses; confirms reads by replies of all in-sync machines."""

    def confirm_read(self, token: int, now: float) -> None:
        """Confirm that ``committed_state`` is current. ``ReadConfirmed`` or ``ReadFailed`` follows with the token.

        Reads requested while a heartbeat round is in progress share the next round. Raises ``NotPrimary``.
        """
        self._now = max(self._now, now)
        if self._own_record is None:
            raise NotPrimary(self.primary_hint)
        in_progress = any(read.serial <= self._heartbeat_round for read in self._pending_reads)
        self._pending_reads.append(PendingRead(token, self._heartbeat_round + 1, self._now))
        if not in_progress and self._candidacy is None:
            self._send_heartbeat()
        self._process_loopback()

    def _send_heartbeat(self) -> None:
        record = self._led_record
        self._heartbeat_round += 1
        self._heartbeat_sent_at = self._round_sent_at[self._heartbeat_round] = self._now
        self._discard_old_rounds()
        for machine in sorted(self.known_machines | record.members() | {self.me}):
            self._send(machine, Heartbeat(record.epoch, self._heartbeat_round, record))

    def _discard_old_rounds(self) -> None:
        lifetime = 2 * self.timing.quorum_loss_seconds
        self._round_sent_at = {
            serial: sent_at for serial, sent_at in self._round_sent_at.items() if self._now < sent_at + lifetime
        }

    def _tick_heartbeat(self) -> None:
        if self._now >= self._heartbeat_sent_at + self.timing.heartbeat_interval_seconds:
            self._send_heartbeat()

    def _on_heartbeat_reply(self, sender: int, message: HeartbeatReply) -> None:
        record = self._own_record
        self._highest_epoch_seen = max(self._highest_epoch_seen, message.promised)
        if record is None or message.epoch != record.epoch:
            return
        if not message.ok:
            self._on_heartbeat_refused(sender, message)
            return
        self._acknowledged_rounds[sender] = max(self._acknowledged_rounds.get(sender, 0), message.serial)
        self._last_reply_at[sender] = self._now
        self._renew_lease(record.witnesses)
        self._end_confirmed_reads()

    def _renew_lease(self, witnesses: tuple[int, ...]) -> None:
        """Start the lease at the sending time, not the reply time, of the newest round that a majority acknowledged."""
        rounds = sorted((self._acknowledged_rounds.get(witness, 0) for witness in witnesses), reverse=True)
        sent_at = self._round_sent_at.get(rounds[majority(witnesses) - 1])
        if sent_at is not None:
            self._lease_started_at = max(self._lease_started_at, sent_at)

    def _on_heartbeat_refused(self, sender: int, message: HeartbeatReply) -> None:
        record = self._led_record
        if message.promised > record.epoch:
            self._epoch_refused |= sender in record.in_sync or sender in record.witnesses
        elif sender in record.in_sync and self._candidacy is None and self._proposal is None:
            # The machine lost its disk and needs the state again.
            version = StateVersion(record.epoch, self._sequence)
            self._send(sender, Store(record.epoch, version, self.committed_state))

    def _end_confirmed_reads(self) -> None:
        """Complete every read that all in-sync machines have confirmed since it was requested."""
        if self._candidacy is not None:
            return
        confirmed_round = min(self._acknowledged_rounds.get(member, 0) for member in self._led_record.in_sync)
        confirmed = [read for read in self._pending_reads if read.serial <= confirmed_round]
        if not confirmed:
            return
        self._pending_reads = [read for read in self._pending_reads if read.serial > confirmed_round]
        self._actions.extend(ReadConfirmed(read.token) for read in confirmed)
        if self._pending_reads and all(read.serial > self._heartbeat_round for read in self._pending_reads):
            self._send_heartbeat()

    def _fail_overdue_reads(self) -> None:
        timeout = self.timing.read_timeout_seconds
        overdue = [read for read in self._pending_reads if self._now >= read.requested_at + timeout]
        self._pending_reads = [read for read in self._pending_reads if self._now < read.requested_at + timeout]
        self._actions.extend(ReadFailed(read.token) for read in overdue)
