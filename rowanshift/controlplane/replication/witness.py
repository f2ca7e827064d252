"""A replica as a witness, which promises and accepts epochs, and as a copy, which stores states."""

from __future__ import annotations

from dataclasses import replace

from rowanshift.controlplane.replication.core import NEVER, ReplicaCore
from rowanshift.controlplane.replication.messages import (
    NO_RECORD,
    NO_VERSION,
    Accept,
    Accepted,
    EpochRecord,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    PreVote,
    PreVoted,
    Promised,
    Store,
    Stored,
    StoreDelta,
    TransferLeadership,
)
from rowanshift.controlplane.replication.timing import STATE_LIMIT
from rowanshift.wire.delta import apply_delta


class WitnessRole(ReplicaCore):
    """Answers candidates and primaries. What an answer says is on disk before it is sent."""

    def _blocked(self, candidate: int) -> bool:
        """Whether another machine may still hold the lease that this witness's answer gave it."""
        return candidate != self._holder and self._now < self._held + self.timing.block

    def _hold(self, primary: int) -> None:
        self._holder, self._held = primary, self._now
        self._holder_heard = self._now
        self._put_off(self.timing.block)

    def _adopt(self, record: EpochRecord) -> None:
        self.known |= {*record.in_sync, *record.witnesses} - {self.me}
        self._change(promised=record.number, accepted=record)

    def _on_pre_vote(self, sender: int, message: PreVote) -> None:
        ok = message.number > self._durable.promised and not self._blocked(sender)
        self._send(sender, PreVoted(message.number, ok))

    def _on_prepare(self, sender: int, message: Prepare) -> None:
        durable = self._durable
        self._seen = max(self._seen, message.number)
        if message.number < durable.promised or self._blocked(sender):
            self._send(sender, Promised(message.number, False, durable.promised, NO_RECORD))
            return
        self._change(promised=message.number)
        self._send_saved(sender, Promised(message.number, True, message.number, durable.accepted))

    def _on_store(self, sender: int, message: Store) -> None:
        durable = self._durable
        if message.number < durable.promised:
            self._send(sender, Stored(message.number, message.version, False, durable.promised))
            return
        if message.version > durable.version:
            self._change(promised=message.number, version=message.version, state=message.state)
        else:
            self._change(promised=message.number)
        if sender != self.me:
            self._put_off(self.timing.round)
        self._send_saved(sender, Stored(message.number, message.version, True, message.number))

    def _on_store_delta(self, sender: int, message: StoreDelta) -> None:
        """One version has one state, so that a delta fits wherever its base is held; else a Store will come."""
        durable = self._durable
        if message.number < durable.promised:
            self._send(sender, Stored(message.number, message.version, False, durable.promised))
        elif message.base == durable.version:
            state = apply_delta(durable.state, message.delta, STATE_LIMIT)
            self._on_store(sender, Store(message.number, message.version, state))

    def _on_accept(self, sender: int, message: Accept) -> None:
        if message.number < self._durable.promised:
            self._send(sender, Accepted(message.number, False, self._durable.promised))
            return
        self._adopt(message.record)
        self._hold(sender)
        self._send_saved(sender, Accepted(message.number, True, message.number))

    def _on_heartbeat(self, sender: int, message: Heartbeat) -> None:
        if message.number < self._durable.promised:
            unavailable = HeartbeatReply(message.number, message.serial, False, self._durable.promised, NO_VERSION)
            self._send(sender, unavailable)
            return
        self._adopt(message.record)
        self._hold(sender)
        ok = self.me not in message.record.in_sync or self._has_state(message.record)
        disk, durable = self._on_disk, self._durable
        reply = HeartbeatReply(message.number, message.serial, ok, durable.promised, durable.version)
        known = disk is not None and (disk.promised, disk.accepted) == (durable.promised, durable.accepted)
        if known and disk.version.epoch == durable.version.epoch:  # what the answer says is on disk already
            self._send(sender, replace(reply, version=disk.version))
        else:
            self._send_saved(sender, reply)

    def _on_transfer_leadership(self, sender: int, message: TransferLeadership) -> None:
        accepted = self._durable.accepted
        self._seen = max(self._seen, message.number)
        if sender == self._holder and message.number == accepted.number:
            self._held = self._holder_heard = NEVER  # its lease is given up
            self._slow[sender] = self._now + self.timing.rest
        if self._epoch is not None or self._candidacy is not None or self._blocked(self.me):
            return
        if self._has_state(accepted):
            apart = self.timing.silence_draw / 2 * self._chance() if self.f > 1 else 0.0
            self._stand_at = self._now + apart
