"""A model of a router, which long-polls a machine and applies answers newer than its own state."""

from __future__ import annotations

from rowanshift.controlplane.replication import NO_VERSION
from rowanshift.dataplane.freshness import Freshness
from rowanshift.modelcheck.client_invariants import ClientInvariants
from rowanshift.modelcheck.client_messages import Poll, Redirect, Update

POLL_TIMEOUT_SECONDS = 1.6  # after which another machine is polled
REFUSE_WITHIN_SECONDS = 7.5  # maximum age of a state by which a client may be refused


class RouterModel:
    """The state of one router. Unlike a real router it also applies answers to polls that have timed out."""

    def __init__(self, client_invariants: ClientInvariants) -> None:
        self.client_invariants = client_invariants
        self.version = NO_VERSION
        self.state = b""
        self.freshness = Freshness(0.0, REFUSE_WITHIN_SECONDS)
        self.last_poll_serial = 0
        self.polled_at = -POLL_TIMEOUT_SECONDS  # model time in seconds, like the times below
        self.is_polling = False
        self.paused_until = self.resumed_at = 0.0
        self.update_count = 0

    def resume(self, now: float) -> None:
        """Handle the end of a pause, after which the router's state may be outdated."""
        self.resumed_at = now
        self.freshness.mark_stale(now)

    def next_poll(self, now: float) -> Poll | None:
        """The poll to send now; ``None`` while one is pending that has not timed out."""
        if self.is_polling and now < self.polled_at + POLL_TIMEOUT_SECONDS:
            return None
        self.last_poll_serial += 1
        self.polled_at, self.is_polling = now, True
        return Poll(self.last_poll_serial, self.state, now)

    def receive(self, answer: Update | Redirect, now: float) -> None:
        """Handle an answer, which may be delayed."""
        if answer.poll.serial == self.last_poll_serial:
            self.is_polling = False
        if isinstance(answer, Update) and self._is_newer(answer):
            self._apply(answer, now)

    def _is_newer(self, update: Update) -> bool:
        return update.version >= self.version

    def _apply(self, update: Update, now: float) -> None:
        self.update_count += 1
        self.client_invariants.check_router_update(self.state, update.state)
        self.version, self.state = update.version, update.state
        self.freshness.confirm(self._confirmed_at(update, now))
        self.client_invariants.check_freshness(self.state, self.freshness.known_as_of)
        if not self.freshness.is_stale:
            self.client_invariants.check_freshness(self.state, self.resumed_at)

    def _confirmed_at(self, update: Update, now: float) -> float:
        """The time as of which an answer that arrives now proves its state up to date."""
        return update.poll.asked_at
