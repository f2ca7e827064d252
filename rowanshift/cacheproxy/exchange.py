"""A work item between the client and the server side, which meet only here. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rowanshift.transport.flow import Flow


def nothing() -> None:
    pass


@dataclass(slots=True, frozen=True)
class Reply:
    """A final answer."""

    status: int
    body: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)  # those of a server's answer
    retry_after: float = 0.0
    flow: Flow | None = None  # what follows the body, while it comes
    length: int | None = None  # of all of it, where that is known


@dataclass(slots=True, eq=False)
class Exchange:
    id: int
    category: int
    customer: int
    key: str | None
    write: bool
    expiry: float
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # those that go on to a server as they came
    body: bytes
    flow: Flow | None = None  # what follows the body of a long request
    length: int | None = None  # of all of it, where that is known
    timed: Callable[[], None] = nothing  # called when the last byte has come and ``expiry`` is set anew
    hand_offs: int = 0
    ended: bool = False
    reply: Reply | None = None  # none if the client has gone away
    wake: Callable[[], None] = nothing  # set by the side that waits for the end

    def end(self, reply: Reply | None) -> bool:
        """Ends the work item once; what comes later changes nothing."""
        if self.ended:
            return False
        self.ended, self.reply = True, reply
        wake, self.wake = self.wake, nothing  # what it is bound to holds this exchange
        wake()
        return True


@dataclass(slots=True, eq=False)
class HandOff:
    """One sending of a work item to a server."""

    exchange: Exchange
    number: int
    server: str
    at: float
    until: float
