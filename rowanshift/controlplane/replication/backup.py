"""A replica as a backup: it stores the states that a candidate or the primary sends."""

from __future__ import annotations

from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.messages import Store, StoreDelta, StoreReply
from rowanshift.controlplane.replication.timing import STATE_LIMIT_BYTES
from rowanshift.wire.delta import apply_delta


class BackupRole(DurableReplica):
    """Stores states of epochs not below this machine's promise. The reply is sent once the state is on disk."""

    def _on_store(self, sender: int, message: Store) -> None:
        durable = self._durable
        if message.epoch < durable.promised:
            self._send(sender, StoreReply(message.epoch, message.version, False, durable.promised))
            return
        if message.version > durable.version:
            self._update_durable(promised=message.epoch, version=message.version, state=message.state)
        else:
            self._update_durable(promised=message.epoch)
        if sender != self.me:
            self._postpone_candidacy(self.timing.phase_timeout_seconds)
        self._send_after_save(sender, StoreReply(message.epoch, message.version, True, message.epoch))

    def _on_store_delta(self, sender: int, message: StoreDelta) -> None:
        """Apply a delta to its base version. A version denotes the same state on all machines, so any replica can."""
        durable = self._durable
        if message.epoch < durable.promised:
            self._send(sender, StoreReply(message.epoch, message.version, False, durable.promised))
        elif message.base == durable.version:
            state = apply_delta(durable.state, message.delta, STATE_LIMIT_BYTES)
            self._on_store(sender, Store(message.epoch, message.version, state))
