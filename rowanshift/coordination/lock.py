"""The hold of a lock: its time by the holder's clock, and its renewal."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from rowanshift.controlplane.coordination.calls import Answer, Call, LockLost, LockRenewed, RenewLock
from rowanshift.coordination.errors import CoordinationError

RENEWALS_PER_HOLD = 3  # so that one may fail, and the next be in time


@dataclass(slots=True)
class LockHold:
    """A lock that is held. ``token`` is above that of every hold before; what the lock guards should refuse lower ones.

    ``ends_at`` is in trio's time, counted from when the last good call was sent.
    """

    lock: str
    holder: str
    token: int
    hold_seconds: float
    ends_at: float

    @property
    def hold_ms(self) -> int:
        """The hold in ms, as calls bear it; no longer than ``hold_seconds``."""
        return int(1000 * self.hold_seconds)


async def renew(hold: LockHold, ask: Callable[[Call], Awaitable[Answer]], scope: trio.CancelScope) -> None:
    """Renew a hold again and again, and move the deadline of its scope on; cancel the scope once the lock is lost."""
    while True:
        await trio.sleep(hold.hold_seconds / RENEWALS_PER_HOLD)
        sent_at = trio.current_time()
        try:
            answer = await ask(RenewLock(hold.lock, hold.holder, hold.token, hold.hold_ms))
        except CoordinationError:
            continue  # until the deadline
        if isinstance(answer, LockRenewed):
            hold.ends_at = sent_at + hold.hold_seconds
            scope.deadline = hold.ends_at
        elif isinstance(answer, LockLost):
            scope.cancel()
            return
