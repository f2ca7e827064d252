"""One client request and its attempts, shared by the client side and the server side. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rowanshift.transport.flow import Flow


def no_op() -> None:
    pass


@dataclass(slots=True, frozen=True)
class Reply:
    """The final response to a client."""

    status: int
    body: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)  # the end-to-end fields of the server's response
    retry_after: float = 0.0  # in seconds; 0 for no Retry-After field
    flow: Flow | None = None  # the rest of a long body, streamed after ``body``
    length: int | None = None  # the size of the complete body, if known


@dataclass(slots=True, eq=False)
class Exchange:
    """A client request from its acceptance to its final reply; called a work item in the decision module."""

    id: int
    category: int
    tenant: int
    key: str | None
    write: bool
    expiry: float
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # They are forwarded to servers unchanged.
    body: bytes
    flow: Flow | None = None  # the rest of a long request body, streamed after ``body``
    length: int | None = None  # the size of the complete body, if known
    on_expiry_set: Callable[[], None] = no_op  # It is called once the last body byte is received and ``expiry`` final.
    hand_offs: int = 0
    ended: bool = False
    reply: Reply | None = None  # None before the end, and if the client disconnected
    on_end: Callable[[], None] = no_op

    def end(self, reply: Reply | None) -> bool:
        """Ends the exchange; returns False and changes nothing if it has already ended."""
        if self.ended:
            return False
        self.ended, self.reply = True, reply
        on_end, self.on_end = self.on_end, no_op  # The callback refers to this exchange.
        on_end()
        return True


@dataclass(slots=True, eq=False)
class HandOff:
    """One attempt to serve an exchange by a server."""

    exchange: Exchange
    number: int
    server: str
    started_at: float  # in Unix seconds
    deadline: float  # in Unix seconds
