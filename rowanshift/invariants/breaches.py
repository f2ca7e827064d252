"""Types and functions common to all checks: rule violations, their time bounds, and grouping of recorded events."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from rowanshift.invariants.facts import Fact

Facts = Sequence[Fact]
F = TypeVar("F", bound=Fact)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with its time, the requests, servers or calls involved, and a description.

    ``bounded``: the rule has a time bound, so it applies only to machines that are connected to the others.
    """

    rule: str
    at: float
    ids: tuple[str, ...]
    why: str
    bounded: bool = False

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s, {', '.join(self.ids)}: {self.why}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the checks, from the settings; in seconds except as noted."""

    config_apply: float = 2.0
    drain: float = 3.0
    version: float = 8.0
    version_all: float = 0.0  # maximum sum of fault-free periods with older weights; 0: unbounded
    lease: float = 3.0
    isolated: frozenset[str] | None = None  # tenant names; None: those of the sent configurations
    retry_ratio: float = 0.2  # allowed retries per request
    retry_slack: float = 50.0  # retries allowed in addition to the ratio
    retry_window: float = 10.0
    thaw: float = 0.3  # after a pause or a link cut, in which orders sent before it may arrive
    revert_slack: float = 0.25  # after an effect of a version is seen, in which an older one may still apply
    revoke: float | None = None  # how long any machine may accept a revoked key; None: unbounded
    loss_slack: float = 0.2  # after which a request that was sent counts as read by the router
    grace: float = 8.0  # from a router's SIGTERM to its exit


DEFAULT_BOUNDS = Bounds()

FaultQuery = Callable[[str, float, float], bool]  # address, start and end of a time span -> had a fault in it


def _no_fault(address: str, since: float, until: float) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class KnownFaults:
    """The faults of a run as known to its driver, for the checks that are evaluated per machine.

    Each query takes the address that clients or operators use, and the start and end of a time span.
    """

    out_of_touch: FaultQuery = _no_fault
    unplanned: FaultQuery = _no_fault


NO_FAULTS = KnownFaults()


def of_kind(facts: Iterable[Fact], kind: type[F]) -> list[F]:
    """The recorded events of a class, sorted by time."""
    return sorted((fact for fact in facts if type(fact) is kind), key=lambda fact: fact.at)


def by(facts: Iterable[F], key_of: Callable[[F], Any]) -> dict[Any, list[F]]:
    """Group recorded events by a key."""
    grouped: dict[Any, list[F]] = defaultdict(list)
    for fact in facts:
        grouped[key_of(fact)].append(fact)
    return grouped


def by_id(facts: Facts, kind: type[F]) -> dict[str, list[F]]:
    """Group the recorded events of a class by request id."""
    return by(of_kind(facts, kind), lambda fact: fact.id)
