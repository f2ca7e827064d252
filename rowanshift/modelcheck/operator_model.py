"""A modelled operator: it changes the configuration, and repeats changes whose answers were lost or duplicated."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from rowanshift.modelcheck.client_messages import ClientMessage, ConfigChange, GetConfig, PutConfig, Reply, Status

Send = Callable[[ClientMessage], None]

RECENT_CHANGES = 4  # most repeated changes are among so many newest
REVISION_STEPS = (1, 1, 1, 2, 7)  # by which a revision is above its base
READ_SHARE = 0.15  # of an operator's requests
READ_SHARE_AFTER_CONFLICT = 0.5
REPEATED_UP_TO = 0.6  # a draw below it repeats a change, if it isn't a read
CONFLICTING_UP_TO = 0.65  # a draw below it makes another change with the last one's revision and base
OLD_BASE_SHARE = 0.1  # of new changes
REPEAT_RECENT_SHARE = 0.7  # of repeated changes


class OperatorModel:
    """What one operator knows, and what it asks next."""

    def __init__(self, random_source: random.Random, change_numbers: Iterator[int]) -> None:
        self.random_source, self.change_numbers = random_source, change_numbers
        self.revisions = [0]  # that it learnt were in force, rising
        self.changes: list[ConfigChange] = []  # that it has sent
        self.saw_conflict = False  # since it last read the configuration

    def issue_request(self, send: Send) -> None:
        """Send a new change, repeat a former one, or read the configuration."""
        drawn = self.random_source.random()
        if drawn < (READ_SHARE_AFTER_CONFLICT if self.saw_conflict else READ_SHARE):
            self.saw_conflict = False
            send(GetConfig())
        elif drawn < REPEATED_UP_TO and self.changes:
            send(PutConfig(self._former_change()))
        elif drawn < CONFLICTING_UP_TO and self.changes:
            last = self.changes[-1]
            self._send_change(last.base, last.revision, send)
        else:
            from_all = self.random_source.random() < OLD_BASE_SHARE
            base = self.random_source.choice(self.revisions if from_all else self.revisions[-1:])
            self._send_change(base, base + self.random_source.choice(REVISION_STEPS), send)

    def _former_change(self) -> ConfigChange:
        recent = self.random_source.random() < REPEAT_RECENT_SHARE
        return self.random_source.choice(self.changes[-RECENT_CHANGES:] if recent else self.changes)

    def _send_change(self, base: int, revision: int, send: Send) -> None:
        change = ConfigChange(next(self.change_numbers), base, revision)
        self.changes.append(change)
        send(PutConfig(change))

    def receive(self, reply: Reply) -> None:
        """Note an answer, perhaps an old one."""
        self.saw_conflict |= reply.status is Status.PRECONDITION_FAILED
        if reply.status is Status.ACCEPTED and reply.revision > self.revisions[-1]:
            self.revisions.append(reply.revision)
