"""Sending messages and saving state: anything that other machines rely on is on disk before it is sent."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from rowanshift.controlplane.replication.actions import Action, Save, Send
from rowanshift.controlplane.replication.core import ReplicaCore
from rowanshift.controlplane.replication.messages import FailureDomainReport, Message, RecoveryRequest
from rowanshift.controlplane.replication.progress import CandidacyPhase, SaveInProgress
from rowanshift.controlplane.replication.timing import CANDIDACY_RETRY_SECONDS


class DurableReplica(ReplicaCore):
    """A replica that sends messages, and saves its durable state with at most one save in progress."""

    def drain(self) -> list[Action]:
        """The actions requested since the last call, to be executed in this order."""
        actions, self._actions = self._actions, []
        return actions

    def _send(self, to: int, message: Message) -> None:
        if self._is_observer() and not isinstance(message, RecoveryRequest | FailureDomainReport):
            return  # machines that receive other messages may choose the sender as a backup or a witness
        if to == self.me:
            self._loopback.append(message)
        else:
            self._actions.append(Send(to, message))

    def _send_after_save(self, to: int, message: Message) -> None:
        """Send a message once the current durable state is on disk."""
        if self._on_disk is self._durable:
            self._send(to, message)
        elif self._save_in_progress is not None and self._save_in_progress.durable is self._durable:
            self._save_in_progress.sends_after.append(Send(to, message))
        else:
            self._sends_after_next_save.append(Send(to, message))
            self._start_save()

    def _start_save(self) -> None:
        if self._save_in_progress is not None:
            return
        self._save_token += 1
        self._save_in_progress = SaveInProgress(self._save_token, self._durable, self._now, self._sends_after_next_save)
        self._sends_after_next_save = []
        self._actions.append(Save(self._save_token, self._durable))

    def _finish_save(self, token: int) -> SaveInProgress | None:
        """End the save in progress if it has this token; None for any other token."""
        save = self._save_in_progress
        if save is None or save.token != token:
            return None
        self._save_in_progress = None
        return save

    def saved(self, token: int, now: float) -> None:
        """Called when the save with this token is on disk."""
        self._now = max(self._now, now)
        save = self._finish_save(token)
        if save is None:
            return
        self._on_disk = save.durable
        for send in save.sends_after:
            self._send(send.to, send.message)
        if self._on_disk is not self._durable:
            self._start_save()
        self._process_loopback()

    def save_failed(self, token: int, now: float) -> None:
        """Called when the save with this token failed: the disk holds either the new or the previous state."""
        self._now = max(self._now, now)
        if self._finish_save(token) is None:
            return
        self._on_disk, self._sends_after_next_save = None, []
        self._save_failed_at = self._now
        if self._own_record is not None:
            self._transfer_leadership()
        self._end_candidacy(self.timing.cooldown_seconds)
        self._process_loopback()

    def _tick_save(self) -> None:
        """Retry a failed save."""
        unsaved = self._on_disk is not self._durable and self._save_in_progress is None
        if unsaved and self._now >= self._save_failed_at + self.timing.retry_seconds:
            self._start_save()

    def _update_durable(self, **fields: Any) -> None:
        """Change fields of the durable state. A promise above this machine's own epoch ends its role in that epoch."""
        changed = replace(self._durable, **fields)
        if changed == self._durable:
            return
        self._durable = changed
        self._highest_epoch_seen = max(self._highest_epoch_seen, changed.promised)
        candidacy = self._candidacy
        promised_to = 0 if candidacy is None or candidacy.phase is CandidacyPhase.PRE_VOTE else candidacy.epoch
        if promised_to and changed.promised > promised_to:
            self._end_candidacy(CANDIDACY_RETRY_SECONDS)
        if self._own_record is not None and changed.promised > max(promised_to, self._own_record.epoch):
            self._step_down()
