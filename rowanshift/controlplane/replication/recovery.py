"""A replica whose disk was lost recovers what it promised."""

from __future__ import annotations

from rowanshift.controlplane.replication.core import ReplicaCore
from rowanshift.controlplane.replication.messages import RecoveryReply, RecoveryRequest
from rowanshift.controlplane.replication.quorum import majority


class RecoveryRole(ReplicaCore):
    """An amnesic machine takes part in nothing but this."""

    def _on_recovery_request(self, sender: int, message: RecoveryRequest) -> None:
        durable = self._durable
        reply = RecoveryReply(message.serial, durable.promised, durable.accepted, durable.amnesic)
        self._send_saved(sender, reply)

    def _on_recovery_reply(self, sender: int, message: RecoveryReply) -> None:
        """Once every majority with this machine in it shares one that answered, nothing promised is forgotten."""
        self.known_machines |= {*message.accepted.in_sync, *message.accepted.witnesses} - {self.me}
        self._seen = max(self._seen, message.promised)
        if not self._durable.amnesic or message.amnesic or message.serial != self._recovery_serial:
            return
        self._recovery_replies[sender] = message
        newest = max((reply.accepted for reply in self._recovery_replies.values()), key=lambda record: record.epoch)
        for members in newest.sets():
            others = sum(member in self._recovery_replies for member in members)
            if others < len(members) - majority(members) + 1:
                return
        promised = max(reply.promised for reply in self._recovery_replies.values())
        self._holder, self._held = newest.primary, self._now
        self._stand_at = self._now + self.timing.lease_guard_seconds
        self._change(promised=promised, accepted=newest, amnesic=False)
        self._start_save()

    def _tick_recovery(self) -> None:
        due = max(self._started + self.timing.recovery_delay_seconds, self._asked_recovery + self.timing.retry_seconds)
        if self._now >= due:
            self._asked_recovery = self._now
            self._ask_for_records()

    def _ask_for_records(self) -> None:
        """Whoever is asked knows this machine from then on, and takes it for nothing more."""
        for machine in sorted(self.known_machines):
            self._send(machine, RecoveryRequest(self._recovery_serial))
