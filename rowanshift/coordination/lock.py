"""The hold of a lock: when it ends by the holder's clock, and its renewal."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from rowanshift.controlplane.coordination.calls import Answer, Call, LockLost, LockRenewed, RenewLock
from rowanshift.coordination.errors import CoordinationError

RENEWALS_PER_HOLD = 3  # one renewal may fail and the next is still in time


@dataclass(slots=True)
class LockHold:
    """A lock that is held.

    ``token`` is greater than that of every earlier hold; the guarded resource should reject lower tokens. ``ends_at``
    is in trio's time, counted from when the latest successful call was sent.
    """

    lock: str
    holder: str
    token: int
    hold_seconds: float
    ends_at: float

    @property
    def hold_ms(self) -> int:
        """The duration of the hold in calls, rounded down so that it is no longer than ``hold_seconds``."""
        return int(1000 * self.hold_seconds)


async def renew(hold: LockHold, send_call: Callable[[Call], Awaitable[Answer]], scope: trio.CancelScope) -> None:
    """Renew a hold periodically and extend the deadline of its scope; cancel the scope once the lock is lost."""
    while True:
        await trio.sleep(hold.hold_seconds / RENEWALS_PER_HOLD)
        sent_at = trio.current_time()
        try:
            answer = await send_call(RenewLock(hold.lock, hold.holder, hold.token, hold.hold_ms))
        except CoordinationError:
            continue  # retry until the scope's deadline
        if isinstance(answer, LockRenewed):
            hold.ends_at = sent_at + hold.hold_seconds
            scope.deadline = hold.ends_at
        elif isinstance(answer, LockLost):
            scope.cancel()
            return
