"""What every check shares: the breach that it returns, the bounds that it takes, and facts grouped by a name."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from rowanshift.invariants.facts import Fact

Facts = Sequence[Fact]
F = TypeVar("F", bound=Fact)


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule: when, by which requests, servers or calls, and why; ``bounded``: it has a time bound, which
    holds for machines in touch alone."""

    rule: str
    at: float
    ids: tuple[str, ...]
    why: str
    bounded: bool = False

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s, {', '.join(self.ids)}: {self.why}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the checks need of the settings, in seconds."""

    config_apply: float = 2.0
    drain: float = 3.0
    version: float = 8.0
    version_all: float = 0.0  # that calm stretches with older weights may add up to; 0: no such bound
    lease: float = 3.0
    isolated: frozenset[str] | None = None  # tenants; none: as the configurations that were sent say
    retry_ratio: float = 0.2  # repeats a request
    retry_slack: float = 50.0  # repeats
    retry_window: float = 10.0
    thaw: float = 0.3  # in which orders sent before a standstill or a cut arrive
    revert_slack: float = 0.25
    revoke: float | None = None  # for which any machine may use a key that was taken away; None: no such bound
    loss_slack: float = 0.2
    grace: float = 8.0


DEFAULT_BOUNDS = Bounds()

Troubled = Callable[[str, float, float], bool]  # of a router, by the address that clients ask, from one time to another


def _never(front: str, since: float, until: float) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class KnownTroubles:
    """What whoever plays a run knows of its troubles, for the checks that count by machine."""

    out_of_touch: Troubled = _never
    unplanned: Troubled = _never


NO_TROUBLES = KnownTroubles()


def of_kind(facts: Iterable[Fact], kind: type[F]) -> list[F]:
    """The facts of a kind in the order of their times."""
    return sorted((fact for fact in facts if type(fact) is kind), key=lambda fact: fact.at)


def by(facts: Iterable[F], name: Callable[[F], Any]) -> dict[Any, list[F]]:
    """Facts grouped by a key."""
    grouped: dict[Any, list[F]] = defaultdict(list)
    for fact in facts:
        grouped[name(fact)].append(fact)
    return grouped


def by_id(facts: Facts, kind: type[F]) -> dict[str, list[F]]:
    """Facts of a kind, grouped by their request's id."""
    return by(of_kind(facts, kind), lambda fact: fact.id)
