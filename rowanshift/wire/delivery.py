"""What routers and the ledger say to each other."""

from dataclasses import dataclass, field

from rowanshift.wire.codec import Codec

UP, DRAINING = 1, 2  # states of a server
LOADING = 4  # it takes new weights


@dataclass(slots=True, frozen=True)
class Row:
    """One server as the registry names it."""

    id: str
    service: str
    address: str  # IP:PORT
    zone: str
    slots: int
    state: int  # UP or DRAINING, with LOADING
    versions: dict[str, int]  # of each model


@dataclass(slots=True, frozen=True)
class Poll:
    """A router asks with what it has, and renews its lease with that."""

    machine: int  # its IP as a number
    started: int  # drawn at its start
    stamp: tuple[int, int]  # of the sheet that it has; (0, 0): none
    mark: int  # of the sheet's text
    registry: tuple[int, int]  # epoch and serial of the registry that it has
    stock: tuple[int, int]  # the same of what stores keep
    peers: tuple[int, int]  # and of the members


@dataclass(slots=True, frozen=True)
class Update:
    """The answer: whatever is newer than what the router has."""

    stamp: tuple[int, int]
    mark: int
    has_state: bool  # else the router has this very one
    revision: int
    config: bytes  # compressed
    versions: dict[str, int]  # named, of each model
    registry: tuple[int, int]
    has_rows: bool
    rows: tuple[Row, ...] = field(default=())
    members: int = 1  # routers that share budgets; 0: not known yet
    stock: tuple[int, int] = (0, 0)
    stock_whole: bool = False  # else what changed
    kept: bytes = b""  # marks of parts that stores keep, 8 bytes each
    dropped: bytes = b""  # and of those that they no longer do
    peers: tuple[int, int] = (0, 0)
    has_peers: bool = False
    machines: tuple[int, ...] = ()  # routers that are members now
    core: tuple[int, ...] = ()  # machines of the core that may be asked next time


@dataclass(slots=True, frozen=True)
class Elsewhere:
    """The machine asked is not the primary."""

    primary: int  # its IP as a number, 0: not known
    core: tuple[int, ...]


KINDS: dict[int, tuple[type, str]] = {1: (Poll, "qqpqppp"), 2: (Update, "pq?qbvp?oqp?bbp?tt"), 3: (Elsewhere, "qt")}
NESTED: dict[str, tuple[type, str]] = {"o": (Row, "ssssqqv")}
CODEC = Codec(KINDS, NESTED)  # all that a router needs
