"""A replica as a witness: it promises and accepts epochs, and replies to heartbeats."""

from __future__ import annotations

from msgspec.structs import replace

from rowanshift.controlplane.replication.core import NEVER
from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.messages import (
    Accept,
    AcceptReply,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    PrepareReply,
    PreVote,
    PreVoteReply,
    TransferLeadership,
)
from rowanshift.controlplane.replication.records import NO_RECORD, NO_VERSION, EpochRecord


class WitnessRole(DurableReplica):
    """Replies to candidates and primaries. Everything that a reply states is on disk before it is sent."""

    def _lease_may_be_held_by_another(self, candidate: int) -> bool:
        """Whether a machine other than the candidate may still hold a lease that this witness granted."""
        guarded_until = self._lease_granted_at + self.timing.lease_guard_seconds
        return candidate != self._lease_holder and self._now < guarded_until

    def _grant_lease(self, primary: int) -> None:
        self._lease_holder = primary
        self._lease_granted_at = self._lease_holder_heard_at = self._now
        self._postpone_candidacy(self.timing.lease_guard_seconds)

    def _adopt_record(self, record: EpochRecord) -> None:
        self.known_machines |= {*record.in_sync, *record.witnesses} - {self.me}
        self._update_durable(promised=record.epoch, accepted=record)

    def _on_pre_vote(self, sender: int, message: PreVote) -> None:
        ok = message.epoch > self._durable.promised and not self._lease_may_be_held_by_another(sender)
        self._send(sender, PreVoteReply(message.epoch, ok))

    def _on_prepare(self, sender: int, message: Prepare) -> None:
        durable = self._durable
        self._highest_epoch_seen = max(self._highest_epoch_seen, message.epoch)
        if message.epoch < durable.promised or self._lease_may_be_held_by_another(sender):
            self._send(sender, PrepareReply(message.epoch, False, durable.promised, NO_RECORD))
            return
        self._update_durable(promised=message.epoch)
        self._send_after_save(sender, PrepareReply(message.epoch, True, message.epoch, durable.accepted))

    def _on_accept(self, sender: int, message: Accept) -> None:
        if message.epoch < self._durable.promised:
            self._send(sender, AcceptReply(message.epoch, False, self._durable.promised))
            return
        self._adopt_record(message.record)
        self._grant_lease(sender)
        self._send_after_save(sender, AcceptReply(message.epoch, True, message.epoch))

    def _on_heartbeat(self, sender: int, message: Heartbeat) -> None:
        if message.epoch < self._durable.promised:
            refusal = HeartbeatReply(message.epoch, message.serial, False, self._durable.promised, NO_VERSION)
            self._send(sender, refusal)
            return
        self._adopt_record(message.record)
        self._grant_lease(sender)
        self._confirm_heartbeat(sender, message)

    def _confirm_heartbeat(self, sender: int, message: Heartbeat) -> None:
        """Reply immediately if everything that the reply states is already on disk, else after the save."""
        ok = self.me not in message.record.in_sync or self._has_state(message.record)
        on_disk, durable = self._on_disk, self._durable
        reply = HeartbeatReply(message.epoch, message.serial, ok, durable.promised, durable.version)
        if (
            on_disk is not None
            and (on_disk.promised, on_disk.accepted) == (durable.promised, durable.accepted)
            and on_disk.version.epoch == durable.version.epoch
        ):
            self._send(sender, replace(reply, version=on_disk.version))
        else:
            self._send_after_save(sender, reply)

    def _on_transfer_leadership(self, sender: int, message: TransferLeadership) -> None:
        accepted = self._durable.accepted
        self._highest_epoch_seen = max(self._highest_epoch_seen, message.epoch)
        if sender == self._lease_holder and message.epoch == accepted.epoch:
            self._lease_granted_at = self._lease_holder_heard_at = NEVER  # the sender has released its lease
            self._avoided_until[sender] = self._now + self.timing.cooldown_seconds
        busy = self._own_record is not None or self._candidacy is not None
        if not busy and not self._lease_may_be_held_by_another(self.me) and self._has_state(accepted):
            # If several backups may be asked, a random delay reduces the risk of competing candidacies.
            jitter = self.timing.election_jitter_seconds / 2
            delay = jitter * self._random_fraction() if self.max_failures > 1 else 0.0
            self._candidacy_due_at = self._now + delay
