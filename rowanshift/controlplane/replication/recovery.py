"""Recovery of a replica whose disk was lost: it obtains its promise and record from other machines."""

from __future__ import annotations

from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.messages import RecoveryReply, RecoveryRequest
from rowanshift.controlplane.replication.quorum import majority
from rowanshift.controlplane.replication.records import EpochRecord


class RecoveryRole(DurableReplica):
    """Recovers from enough replies to intersect every majority. Until then an amnesic machine does nothing else."""

    def _on_recovery_request(self, sender: int, message: RecoveryRequest) -> None:
        durable = self._durable
        reply = RecoveryReply(message.serial, durable.promised, durable.accepted, durable.amnesic)
        self._send_after_save(sender, reply)

    def _on_recovery_reply(self, sender: int, message: RecoveryReply) -> None:
        self.known_machines |= {*message.accepted.in_sync, *message.accepted.witnesses} - {self.me}
        self._highest_epoch_seen = max(self._highest_epoch_seen, message.promised)
        if not self._durable.amnesic or message.amnesic or message.serial != self._recovery_serial:
            return
        self._recovery_replies[sender] = message
        newest = max((reply.accepted for reply in self._recovery_replies.values()), key=lambda record: record.epoch)
        if self._replies_suffice(newest):
            self._recover(newest)

    def _replies_suffice(self, newest: EpochRecord) -> bool:
        """Whether every majority contains a machine that replied, so that no promise is missed."""
        return all(
            sum(member in self._recovery_replies for member in members) >= len(members) - majority(members) + 1
            for members in newest.witness_sets()
        )

    def _recover(self, newest: EpochRecord) -> None:
        promised = max(reply.promised for reply in self._recovery_replies.values())
        self._lease_holder, self._lease_granted_at = newest.primary, self._now
        self._candidacy_due_at = self._now + self.timing.lease_guard_seconds
        self._update_durable(promised=promised, accepted=newest, amnesic=False)
        self._start_save()

    def _tick_recovery(self) -> None:
        earliest = self._started_at + self.timing.recovery_delay_seconds
        if self._now >= max(earliest, self._recovery_requested_at + self.timing.retry_seconds):
            self._recovery_requested_at = self._now
            self._send_recovery_requests()

    def _send_recovery_requests(self) -> None:
        """Request records. The recipients add this machine to the known machines, but don't count it as alive."""
        for machine in sorted(self.known_machines):
            self._send(machine, RecoveryRequest(self._recovery_serial))
