"""Membership of routers: those that polled the primary recently. Members share budgets and exchange load totals."""

from __future__ import annotations

import trio

from rowanshift.controlplane.state_publication import UpdateSignal
from rowanshift.transport.runtime import Runtime

MEMBERSHIP_CHECK_SECONDS = 0.5  # interval between updates of the membership
MEMBER_SECONDS = 2.5  # time after its last poll for which a router is a member
BUDGET_MEMBER_SECONDS = 12.0  # time after its last poll for which a router keeps its share of a budget


class RouterMembership:
    """The routers and their last polls, as seen by the primary; empty on other machines."""

    def __init__(self, updates: UpdateSignal) -> None:
        self.updates = updates
        self.polled_at: dict[int, float] = {}  # time of the last poll on trio's clock, by machine
        self.primary_since: float | None = None
        self.peers: tuple[int, ...] = ()  # the members that were last published to routers
        self.peers_serial = 0  # incremented with each change of peers; 0: not known yet

    def on_role_change(self, primary: bool) -> None:
        """Reset the membership: this machine has become the primary or has ceased to be it."""
        self.primary_since = trio.current_time() if primary else None
        self.polled_at.clear()
        self.peers, self.peers_serial = (), 0

    def record_poll(self, machine: int, now: float) -> None:
        """Record a poll of a router."""
        self.polled_at[machine] = now

    def member_ages(self, now: float) -> dict[int, float]:
        """Return the current members, each with the seconds since its last poll."""
        return {machine: now - at for machine, at in self.polled_at.items() if now - at < MEMBER_SECONDS}

    def budget_shares(self, now: float) -> int:
        """Return the number of routers that share a budget, or 0 while it is not known."""
        if not self._is_complete(now):
            return 0
        return sum(now - at < BUDGET_MEMBER_SECONDS for at in self.polled_at.values())

    def _is_complete(self, now: float) -> bool:
        """Return whether this machine has been primary long enough to have a poll from every live router."""
        return self.primary_since is not None and now - self.primary_since > MEMBER_SECONDS

    async def run(self, runtime: Runtime) -> None:
        """Publish the members to the routers whenever they change; runs until cancelled."""
        while True:
            now = trio.current_time()
            if self._is_complete(now):
                self._update_peers(now)
                self._drop_old_polls(now)
            await runtime.pause(MEMBERSHIP_CHECK_SECONDS)

    def _update_peers(self, now: float) -> None:
        peers = tuple(sorted(self.member_ages(now)))
        if peers != self.peers:
            self.peers, self.peers_serial = peers, self.peers_serial + 1
            self.updates.notify()

    def _drop_old_polls(self, now: float) -> None:
        expired = [machine for machine, at in self.polled_at.items() if now - at > BUDGET_MEMBER_SECONDS]
        for machine in expired:
            del self.polled_at[machine]
