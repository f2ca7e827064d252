"""Operators: each orders configurations, and sends orders again whose answers were lost or doubled."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from rowanshift.modelcheck.client_messages import ClientMessage, ConfigChange, GetConfig, PutConfig, Reply, Status

RECENT_ORDERS = 4  # most orders that come again are among so many newest
REVISION_STEPS = (1, 1, 1, 2, 7)  # by which a revision is above its base


class OperatorModel:
    """What one operator knows, and what it asks next."""

    def __init__(self, number: int, random_source: random.Random, order_numbers: Iterator[int]) -> None:
        self.number, self.random_source, self.order_numbers = number, random_source, order_numbers
        self.revisions = [0]  # that it learnt were in force, rising
        self.orders: list[ConfigChange] = []
        self.refused = False  # since it last asked what is in force

    def ask(self, send: Callable[[ClientMessage], None]) -> None:
        """Order something, order it again, or look what is in force."""
        kind = self.random_source.random()
        if kind < (0.5 if self.refused else 0.15):
            self.refused = False
            send(GetConfig())
        elif kind < 0.6 and self.orders:
            send(PutConfig(self._former_order()))
        elif kind < 0.65 and self.orders:
            last = self.orders[-1]  # another one under the same number on the same base
            self._order(last.base, last.revision, send)
        else:
            revisions = self.revisions if self.random_source.random() < 0.1 else self.revisions[-1:]
            base = self.random_source.choice(revisions)
            self._order(base, base + self.random_source.choice(REVISION_STEPS), send)

    def _former_order(self) -> ConfigChange:
        recent = self.random_source.random() < 0.7
        return self.random_source.choice(self.orders[-RECENT_ORDERS:] if recent else self.orders)

    def _order(self, base: int, revision: int, send: Callable[[ClientMessage], None]) -> None:
        order = ConfigChange(next(self.order_numbers), base, revision)
        self.orders.append(order)
        send(PutConfig(order))

    def receive(self, reply: Reply) -> None:
        """An answer has come, perhaps an old one."""
        self.refused |= reply.status is Status.PRECONDITION_FAILED
        if reply.status is Status.ACCEPTED and reply.revision > self.revisions[-1]:
            self.revisions.append(reply.revision)
