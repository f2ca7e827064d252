"""Routers: each holds a poll at some machine and takes what is newer than what it has."""

from __future__ import annotations

from rowanshift.dataplane.freshness import Freshness
from rowanshift.modelcheck.client_invariants import ClientInvariants
from rowanshift.modelcheck.client_messages import NO_VERSION, Poll, Redirect, Update, Version

ANSWER_LIMIT = 1.6  # seconds for a poll's answer; then another machine is asked
REFUSE_WITHIN = 7.5  # seconds: the age of what is known up to which a client is refused by it


class RouterModel:
    """What one router knows. Answers to polls it has given up are taken, too: more than a real one does."""

    def __init__(self, number: int, invariants: ClientInvariants) -> None:
        self.number, self.invariants = number, invariants
        self.version: Version = NO_VERSION
        self.state = b""
        self.freshness = Freshness(0.0, REFUSE_WITHIN)
        self.serial = 0
        self.asked = -ANSWER_LIMIT  # seconds of the world
        self.waits = False
        self.paused_until = self.stood_still_until = 0.0  # seconds of the world
        self.updates = 0

    def wake(self, now: float) -> None:
        """It stood still, and notices."""
        self.stood_still_until = now
        self.freshness.doubt(now)

    def next_poll(self, now: float) -> Poll | None:
        """The poll to ask now, if it is time for one."""
        if self.waits and now < self.asked + ANSWER_LIMIT:
            return None
        self.serial += 1
        self.asked, self.waits = now, True
        return Poll(self.serial, self.state, now)

    def receive(self, answer: Update | Redirect, now: float) -> None:
        """An answer has come, perhaps an old one."""
        if answer.poll.serial == self.serial:
            self.waits = False
        if isinstance(answer, Update) and self._is_newer(answer):
            self._take(answer, now)

    def _is_newer(self, update: Update) -> bool:
        return update.version >= self.version

    def _take(self, update: Update, now: float) -> None:
        self.updates += 1
        self.invariants.taken(self.state, update.state)
        self.version, self.state = update.version, update.state
        self.freshness.confirmed(self._confirmed_at(update, now))
        self.invariants.counted_fresh(self.state, self.freshness.known_as_of)
        if not self.freshness.in_doubt:
            self.invariants.counted_fresh(self.state, self.stood_still_until)

    def _confirmed_at(self, update: Update, now: float) -> float:
        """The time as of which an answer makes what it says fresh."""
        return update.poll.asked
