"""Which routers are members: those that have polled the primary lately. They share budgets and exchange load sums."""

from __future__ import annotations

import trio

from rowanshift.controlplane.state_publication import UpdateSignal
from rowanshift.transport.runtime import Runtime

MEMBERSHIP_CHECK_SECONDS = 0.5  # between updates of which routers are members
MEMBER_SECONDS = 2.5  # that a router is a member after its poll
BUDGET_MEMBER_SECONDS = 12.0  # after its poll that a router still counts where a shared budget is divided


class RouterMembership:
    """The routers by their last polls, as the primary sees them; empty on other machines."""

    def __init__(self, updates: UpdateSignal) -> None:
        self.updates = updates
        self.polled_at: dict[int, float] = {}  # by machine, trio's time of the last poll
        self.primary_since: float | None = None
        self.peers: tuple[int, ...] = ()  # the members that routers were informed of last
        self.peers_serial = 0  # of the changes of peers; 0: not known yet

    def on_role_change(self, primary: bool) -> None:
        """Start anew: this machine has become the primary, or is so no longer."""
        self.primary_since = trio.current_time() if primary else None
        self.polled_at.clear()
        self.peers, self.peers_serial = (), 0

    def record_poll(self, machine: int, now: float) -> None:
        """A router has polled."""
        self.polled_at[machine] = now

    def ages(self, now: float) -> dict[int, float]:
        """The members now, each with the seconds since its last poll."""
        return {machine: now - at for machine, at in self.polled_at.items() if now - at < MEMBER_SECONDS}

    def budget_shares(self, now: float) -> int:
        """Among how many routers a shared budget is divided; 0 while that is not known yet."""
        if not self._is_settled(now):
            return 0
        return sum(now - at < BUDGET_MEMBER_SECONDS for at in self.polled_at.values())

    def _is_settled(self, now: float) -> bool:
        """Whether a new primary has surely heard every router that lives."""
        return self.primary_since is not None and now - self.primary_since > MEMBER_SECONDS

    async def run(self, runtime: Runtime) -> None:
        """Inform the routers of each other whenever the members change; runs until it is cancelled."""
        while True:
            now = trio.current_time()
            if self._is_settled(now):
                self._update_peers(now)
                self._drop_old_polls(now)
            await runtime.pause(MEMBERSHIP_CHECK_SECONDS)

    def _update_peers(self, now: float) -> None:
        peers = tuple(sorted(self.ages(now)))
        if peers != self.peers:
            self.peers, self.peers_serial = peers, self.peers_serial + 1
            self.updates.notify()

    def _drop_old_polls(self, now: float) -> None:
        old = [machine for machine, at in self.polled_at.items() if now - at > BUDGET_MEMBER_SECONDS]
        for machine in old:
            del self.polled_at[machine]
