"""Events recorded by clients, model servers, the platform's server list, the operator and the fleet itself.

Times and durations are in seconds of the run's single clock. Recorded events are called facts, and are immutable.
"""

import hashlib
from dataclasses import dataclass
from math import inf
from typing import Any


def digest_of(*parts: bytes | str) -> str:
    """A digest that identifies a request by its method, target and body, wherever they are observed."""
    digest = hashlib.blake2s(digest_size=8)
    for part in parts:
        data = part.encode("latin-1") if isinstance(part, str) else part
        digest.update(b"%d:" % len(data) + data)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class Fact:
    """An event observed at a time, in seconds of the run's clock."""

    at: float


@dataclass(frozen=True, slots=True)
class Asked(Fact):
    """A client sent one attempt of a request."""

    id: str
    host: str
    method: str
    target: str
    body: bytes
    tenant: str = ""  # the tenant with the key; "" if no tenant has it
    key: str = ""
    repeatable: bool = False  # idempotent, or a resumable stream
    since: int = 0  # Last-Event-Id
    front: str = ""  # address of the router
    call: str = ""  # id shared by all attempts of the call
    within: float = inf  # seconds until the client's deadline
    kept: bool = False  # on a connection that had already carried a request


@dataclass(frozen=True, slots=True)
class Piece(Fact):
    """A stream event received by the client, with the tokens after ``first`` up to ``last``."""

    id: str
    first: int
    last: int
    of: str  # digest of the request that the server processed
    run: str
    final: bool = False


@dataclass(frozen=True, slots=True)
class Answered(Fact):
    """An answer ended at the client. It is not ``whole`` if it broke off after its head or the client left."""

    id: str
    status: int
    stamp: str = ""  # Response-Seal
    echoed: str = ""  # Request-Id
    whole: bool = True
    left: bool = False  # the client disconnected


@dataclass(frozen=True, slots=True)
class Lost(Fact):
    """An attempt ended before the head of an answer was received."""

    id: str
    how: str  # no way, closed, left, garbled


@dataclass(frozen=True, slots=True)
class Surplus(Fact):
    """A client received bytes without an outstanding request."""

    id: str  # of the last request on the connection
    data: bytes


@dataclass(frozen=True, slots=True)
class Reached(Fact):
    """A server received a complete request; ``refused`` is the status with which it rejected it, or 0."""

    id: str
    instance: str
    service: str
    sender: str = ""
    refused: int = 0


@dataclass(frozen=True, slots=True)
class Began(Fact):
    """A server began to process a request."""

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
    key: str = ""  # an Authorization field that the router passed on
    model: str = ""
    revision: int = 0
    since: int = 0


@dataclass(frozen=True, slots=True)
class Made(Fact):
    """A server wrote one stream event."""

    id: str
    run: str
    first: int
    last: int
    model: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Finished(Fact):
    """A run ended: done, failed, deadline, reset, client gone."""

    id: str
    run: str
    how: str


@dataclass(frozen=True, slots=True)
class CacheHit(Fact):
    """A run used a cached part that another run had produced."""

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
    """Cached tokens were transferred from another server or store. ``bad``: why none were."""

    id: str
    instance: str
    source: str
    tokens: int
    bad: str = ""


@dataclass(frozen=True, slots=True)
class Ordered(Fact):
    """A server accepted or rejected an order."""

    instance: str
    holder: str
    fence: int
    status: int
    operation: str = ""
    model: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Loaded(Fact):
    """A server finished loading a version of a model's weights."""

    instance: str
    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listed(Fact):
    """The platform's list changed the state of a server to up, draining or gone."""

    instance: str
    state: str


@dataclass(frozen=True, slots=True)
class Listing(Fact):
    """The platform's list was requested."""

    caller: str
    status: int


@dataclass(frozen=True, slots=True)
class ConfigSent(Fact):
    """The operator began to send a configuration.

    ``config`` is its JSON object. If it is sent as a ``patch``, this is the expected result of applying it to the base.
    """

    call: str
    base: int
    revision: int
    config: dict[str, Any]
    valid: bool = True
    patch: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class ConfigAnswered(Fact):
    """The call of a configuration ended; status 0: without a conclusive answer."""

    call: str
    base: int
    revision: int
    status: int


@dataclass(frozen=True, slots=True)
class ConfigRead(Fact):
    """A GET /config ended that began at ``since``. ``config`` is None if there was no answer in time."""

    since: float
    config: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class VersionNamed(Fact):
    """A POST /version-put was acknowledged."""

    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class OrderReplied(Fact):
    """A core machine answered one attempt of an operator's call; ``lost``: the answer didn't reach the operator."""

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
    """A router's process started."""

    machine: str
    front: str  # IP:PORT at which it serves clients


@dataclass(frozen=True, slots=True)
class Signalled(Fact):
    """A router received a signal for planned maintenance."""

    machine: str
    front: str  # IP:PORT at which it serves clients
    signal: str  # SIGTERM or SIGHUP


@dataclass(frozen=True, slots=True)
class RequestCut(Fact):
    """A router's own records show that a request did not end properly."""

    machine: str
    front: str  # IP:PORT at which it serves clients
    id: str
    came_at: float  # time at which it had been read completely
    violation: str  # "" if it is excused
    passed_on: int  # bytes of its answer that were passed on
    excused: bool


@dataclass(frozen=True, slots=True)
class CallCut(Fact):
    """A core machine's own records show that a call of its API was read but not answered."""

    machine: str
    control: str  # IP:PORT at which it serves operators
    target: str
    came_at: float


@dataclass(frozen=True, slots=True)
class Resumed(Fact):
    """A machine resumed after a pause, or one of its links was restored. Data sent before may arrive late."""

    machine: str
    control: str = ""  # IP:PORT, of a core machine
