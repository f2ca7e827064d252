"""What clients, model servers, the platform's list, the operator and the fleet's own log recorded.

Every time and duration is in seconds, by the one clock of the world. Facts are never changed once made.
"""

import hashlib
from dataclasses import dataclass
from math import inf
from typing import Any


def digest_of(*parts: bytes | str) -> str:
    """What is the same for the same method, target and body, wherever they are seen."""
    made = hashlib.blake2s(digest_size=8)
    for part in parts:
        data = part.encode("latin-1") if isinstance(part, str) else part
        made.update(b"%d:" % len(data) + data)
    return made.hexdigest()


@dataclass(frozen=True, slots=True)
class Fact:
    """Something that was seen at a time, in seconds of the world's clock."""

    at: float


@dataclass(frozen=True, slots=True)
class Asked(Fact):
    """A client sent one try."""

    id: str
    host: str
    method: str
    target: str
    body: bytes
    tenant: str = ""  # that holds the key; none: no key is held
    key: str = ""
    repeatable: bool = False  # idempotent, or a stream that may be resumed
    since: int = 0  # Last-Event-Id
    front: str = ""  # the router
    call: str = ""  # what its retries share
    within: float = inf  # seconds until the client's deadline
    kept: bool = False  # on a connection that carried a request before


@dataclass(frozen=True, slots=True)
class Piece(Fact):
    """One event as the client got it: the tokens after ``first``, up to ``last``."""

    id: str
    first: int
    last: int
    of: str  # digest of the request that the server worked on
    run: str
    final: bool = False


@dataclass(frozen=True, slots=True)
class Answered(Fact):
    """The end of an answer at the client; not whole: it broke off after its head, or the client left."""

    id: str
    status: int
    stamp: str = ""  # Response-Seal
    echoed: str = ""  # Request-Id
    whole: bool = True
    left: bool = False  # the client gave it up


@dataclass(frozen=True, slots=True)
class Lost(Fact):
    """A try that ended without the head of an answer."""

    id: str
    how: str  # no way, closed, left, garbled


@dataclass(frozen=True, slots=True)
class Surplus(Fact):
    """Bytes at a client that nothing was asked for."""

    id: str  # that the connection last carried
    data: bytes


@dataclass(frozen=True, slots=True)
class Reached(Fact):
    """A request came in whole at a server; ``refused`` is the status with which it was turned away, or 0."""

    id: str
    instance: str
    service: str
    sender: str = ""
    refused: int = 0


@dataclass(frozen=True, slots=True)
class Began(Fact):
    """A server began to work on a request."""

    id: str
    instance: str
    service: str
    run: str
    stamp: str
    host: str
    method: str
    target: str
    body: bytes
    tenant: str = ""
    key: str = ""  # an Authorization that was passed on
    model: str = ""
    revision: int = 0
    since: int = 0


@dataclass(frozen=True, slots=True)
class Made(Fact):
    """A server wrote one event."""

    id: str
    run: str
    first: int
    last: int
    model: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Finished(Fact):
    """A run is over: done, failed, deadline, reset, client gone."""

    id: str
    run: str
    how: str


@dataclass(frozen=True, slots=True)
class CacheHit(Fact):
    """A run used a cached part, which another or an earlier run had made."""

    id: str
    instance: str
    model: str
    revision: int
    tenant: str
    salt: str
    part: str
    made_revision: int
    made_tenant: str
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Moved(Fact):
    """Cache tokens that came from another server or store (``bad``: none did, and why)."""

    id: str
    instance: str
    source: str
    tokens: int
    bad: str = ""


@dataclass(frozen=True, slots=True)
class Ordered(Fact):
    """An order as a server took or refused it."""

    instance: str
    holder: str
    fence: int
    status: int
    operation: str = ""
    model: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Loaded(Fact):
    """A server has loaded a version of its weights."""

    instance: str
    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listed(Fact):
    """From now on the platform's list shows a server as up, draining or gone."""

    instance: str
    state: str


@dataclass(frozen=True, slots=True)
class Listing(Fact):
    """A call for the list."""

    caller: str
    status: int


@dataclass(frozen=True, slots=True)
class ConfigSent(Fact):
    """The operator began to send a configuration. ``config`` is its JSON as an object; where it goes as a ``patch``,
    it is what that must make of the base."""

    call: str
    base: int
    revision: int
    config: dict[str, Any]
    valid: bool = True
    patch: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class ConfigAnswered(Fact):
    """How that call ended; status 0: with no clear answer."""

    call: str
    base: int
    revision: int
    status: int


@dataclass(frozen=True, slots=True)
class ConfigRead(Fact):
    """GET /config, begun at ``since``; none: no answer came in time."""

    since: float
    config: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class VersionNamed(Fact):
    """POST /version-put was acknowledged."""

    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class OrderReplied(Fact):
    """A core machine's answer to one sending of a call of the operator's; ``lost``: it didn't reach the operator."""

    call: str
    sent_at: float
    control: str  # IP:PORT of the machine that answered
    status: int
    lost: bool = False


@dataclass(frozen=True, slots=True)
class PrimaryBecame(Fact):
    """A core machine became the primary of an epoch that is in force."""

    control: str  # IP:PORT
    epoch: int


@dataclass(frozen=True, slots=True)
class RouterStarted(Fact):
    """A life of a router's process begins."""

    machine: str
    front: str  # IP:PORT that clients ask


@dataclass(frozen=True, slots=True)
class Signalled(Fact):
    """A router got a signal that is planned work."""

    machine: str
    front: str  # IP:PORT that clients ask
    signal: str  # SIGTERM or SIGHUP


@dataclass(frozen=True, slots=True)
class RequestCut(Fact):
    """A router's own count tells that a request did not end as requests must."""

    machine: str
    front: str  # IP:PORT that clients ask
    id: str
    came_at: float  # when it had been read whole
    violation: str  # empty if it is excused
    passed_on: int  # bytes of its answer
    excused: bool


@dataclass(frozen=True, slots=True)
class CallCut(Fact):
    """A core machine's own count tells that a call of its API was read and not answered."""

    machine: str
    control: str  # IP:PORT that operators ask
    target: str
    came_at: float


@dataclass(frozen=True, slots=True)
class Resumed(Fact):
    """A machine goes on after it stood still, or a link of its was mended: what it sent before may come late."""

    machine: str
    control: str = ""  # IP:PORT, of a core machine
