"""A model of an operator, who changes the configuration and repeats changes, answered or not."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from rowanshift.modelcheck.client_messages import ClientMessage, ConfigChange, GetConfig, PutConfig, Reply, Status

SendMessage = Callable[[ClientMessage], None]

RECENT_CHANGES = 4  # number of newest changes from which most repeated changes are drawn
REVISION_STEPS = (1, 1, 1, 2, 7)  # differences between a revision and its base
READ_SHARE = 0.15  # of an operator's requests
READ_SHARE_AFTER_CONFLICT = 0.5
REPEAT_THRESHOLD = 0.6  # a draw below it that isn't a read repeats a change
CONFLICT_THRESHOLD = 0.65  # a draw from the previous threshold up to it repeats only a change's revision and base
OLD_BASE_SHARE = 0.1  # of new changes, whose base is drawn from all known revisions
REPEAT_RECENT_SHARE = 0.7  # of repeated changes, which are drawn from the newest


class OperatorModel:
    """The knowledge of one operator, and the choice of its next request."""

    def __init__(self, random_source: random.Random, change_numbers: Iterator[int]) -> None:
        self.random_source, self.change_numbers = random_source, change_numbers
        self.revisions = [0]  # known to have been in force, ascending
        self.changes: list[ConfigChange] = []  # all changes sent
        self.saw_conflict = False  # a 412 since the last read of the configuration

    def issue_request(self, send: SendMessage) -> None:
        """Send a new change, repeat a previous one, or read the configuration."""
        drawn = self.random_source.random()
        if drawn < (READ_SHARE_AFTER_CONFLICT if self.saw_conflict else READ_SHARE):
            self.saw_conflict = False
            send(GetConfig())
        elif drawn < REPEAT_THRESHOLD and self.changes:
            send(PutConfig(self._previous_change()))
        elif drawn < CONFLICT_THRESHOLD and self.changes:
            last = self.changes[-1]
            self._send_change(last.base, last.revision, send)
        else:
            from_all = self.random_source.random() < OLD_BASE_SHARE
            base = self.random_source.choice(self.revisions if from_all else self.revisions[-1:])
            self._send_change(base, base + self.random_source.choice(REVISION_STEPS), send)

    def _previous_change(self) -> ConfigChange:
        recent = self.random_source.random() < REPEAT_RECENT_SHARE
        return self.random_source.choice(self.changes[-RECENT_CHANGES:] if recent else self.changes)

    def _send_change(self, base: int, revision: int, send: SendMessage) -> None:
        change = ConfigChange(next(self.change_numbers), base, revision)
        self.changes.append(change)
        send(PutConfig(change))

    def receive(self, reply: Reply) -> None:
        """Handle an answer, which may be delayed."""
        self.saw_conflict |= reply.status is Status.PRECONDITION_FAILED
        if reply.status is Status.ACCEPTED and reply.revision > self.revisions[-1]:
            self.revisions.append(reply.revision)
