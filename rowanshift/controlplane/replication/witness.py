"""A replica as a witness, which promises and accepts epochs, and as a copy, which stores states."""

from __future__ import annotations

from dataclasses import replace

from rowanshift.controlplane.replication.core import NEVER, ReplicaCore
from rowanshift.controlplane.replication.messages import (
    NO_RECORD,
    NO_VERSION,
    Accept,
    AcceptReply,
    EpochRecord,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    PrepareReply,
    PreVote,
    PreVoteReply,
    Store,
    StoreDelta,
    StoreReply,
    TransferLeadership,
)
from rowanshift.controlplane.replication.timing import STATE_LIMIT_BYTES
from rowanshift.wire.delta import apply_delta


class WitnessRole(ReplicaCore):
    """Answers candidates and primaries. What an answer says is on disk before it is sent."""

    def _blocked(self, candidate: int) -> bool:
        """Whether another machine may still hold the lease that this witness's answer gave it."""
        return candidate != self._holder and self._now < self._held + self.timing.lease_guard_seconds

    def _hold(self, primary: int) -> None:
        self._holder, self._held = primary, self._now
        self._holder_heard = self._now
        self._put_off(self.timing.lease_guard_seconds)

    def _adopt(self, record: EpochRecord) -> None:
        self.known_machines |= {*record.in_sync, *record.witnesses} - {self.me}
        self._change(promised=record.epoch, accepted=record)

    def _on_pre_vote(self, sender: int, message: PreVote) -> None:
        ok = message.epoch > self._durable.promised and not self._blocked(sender)
        self._send(sender, PreVoteReply(message.epoch, ok))

    def _on_prepare(self, sender: int, message: Prepare) -> None:
        durable = self._durable
        self._seen = max(self._seen, message.epoch)
        if message.epoch < durable.promised or self._blocked(sender):
            self._send(sender, PrepareReply(message.epoch, False, durable.promised, NO_RECORD))
            return
        self._change(promised=message.epoch)
        self._send_saved(sender, PrepareReply(message.epoch, True, message.epoch, durable.accepted))

    def _on_store(self, sender: int, message: Store) -> None:
        durable = self._durable
        if message.epoch < durable.promised:
            self._send(sender, StoreReply(message.epoch, message.version, False, durable.promised))
            return
        if message.version > durable.version:
            self._change(promised=message.epoch, version=message.version, state=message.state)
        else:
            self._change(promised=message.epoch)
        if sender != self.me:
            self._put_off(self.timing.phase_timeout_seconds)
        self._send_saved(sender, StoreReply(message.epoch, message.version, True, message.epoch))

    def _on_store_delta(self, sender: int, message: StoreDelta) -> None:
        """One version has one state, so that a delta fits wherever its base is held; else a Store will come."""
        durable = self._durable
        if message.epoch < durable.promised:
            self._send(sender, StoreReply(message.epoch, message.version, False, durable.promised))
        elif message.base == durable.version:
            state = apply_delta(durable.state, message.delta, STATE_LIMIT_BYTES)
            self._on_store(sender, Store(message.epoch, message.version, state))

    def _on_accept(self, sender: int, message: Accept) -> None:
        if message.epoch < self._durable.promised:
            self._send(sender, AcceptReply(message.epoch, False, self._durable.promised))
            return
        self._adopt(message.record)
        self._hold(sender)
        self._send_saved(sender, AcceptReply(message.epoch, True, message.epoch))

    def _on_heartbeat(self, sender: int, message: Heartbeat) -> None:
        if message.epoch < self._durable.promised:
            refusal = HeartbeatReply(message.epoch, message.serial, False, self._durable.promised, NO_VERSION)
            self._send(sender, refusal)
            return
        self._adopt(message.record)
        self._hold(sender)
        ok = self.me not in message.record.in_sync or self._has_state(message.record)
        disk, durable = self._on_disk, self._durable
        reply = HeartbeatReply(message.epoch, message.serial, ok, durable.promised, durable.version)
        known = disk is not None and (disk.promised, disk.accepted) == (durable.promised, durable.accepted)
        if known and disk.version.epoch == durable.version.epoch:  # what the answer says is on disk already
            self._send(sender, replace(reply, version=disk.version))
        else:
            self._send_saved(sender, reply)

    def _on_transfer_leadership(self, sender: int, message: TransferLeadership) -> None:
        accepted = self._durable.accepted
        self._seen = max(self._seen, message.epoch)
        if sender == self._holder and message.epoch == accepted.epoch:
            self._held = self._holder_heard = NEVER  # its lease is given up
            self._slow[sender] = self._now + self.timing.cooldown_seconds
        if self._own_record is not None or self._candidacy is not None or self._blocked(self.me):
            return
        if self._has_state(accepted):
            apart = self.timing.election_jitter_seconds / 2 * self._random_fraction() if self.f > 1 else 0.0
            self._stand_at = self._now + apart
