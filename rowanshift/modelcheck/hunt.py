"""The search for planted faults: a check that finds none of them checks nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.client_walk import ClientWalk
from rowanshift.modelcheck.closing_walk import ClosingWalk, UncountedWalk
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.files import StoreModel
from rowanshift.modelcheck.member_walk import MemberWalk
from rowanshift.modelcheck.routers import Router
from rowanshift.modelcheck.walk import Outcome, Walk

WALKS: dict[str, type[Walk]] = {
    "protocol": Walk,
    "clients": ClientWalk,
    "members": MemberWalk,
    "closing": ClosingWalk,
    "uncounted": UncountedWalk,
}
REPLACED: dict[type, str] = {
    p.Replica: "replica_class",
    ControlService: "service_class",
    Router: "router_class",
    StoreModel: "store_class",
}
BUSY_TROUBLE = 0.004  # faults a step
BUSY_EAGERNESS = 0.1  # questions a step, of each operator


@dataclass(frozen=True)
class Hunt:
    """Where a planted fault is looked for, and the first seed that finds it within 8000 steps."""

    seed: int
    machines: int = 3
    f: int = 1
    spares: int = 0
    faults: tuple[str, ...] = ()  # kinds of faults injected; drawn by the seed if none are given
    kind: str = "protocol"  # of walk, a key of WALKS
    timing: p.Timing | None = None  # as the seed says if none is given
    busy: bool = False  # many faults, and operators that ask often and lose nothing


def walk_with(fault: type, hunt: Hunt, seed: int) -> Walk:
    """A walk in which ``fault`` takes the place of what it is a subclass of."""
    replaced: dict[str, Any] = {name: fault for base, name in REPLACED.items() if issubclass(fault, base)}
    walk = WALKS[hunt.kind](seed, hunt.machines, hunt.f, hunt.spares, timing=hunt.timing, **replaced)
    walk.faults = list(hunt.faults) or walk.faults
    if hunt.busy:
        walk.trouble, walk.eagerness, walk.client_loss = BUSY_TROUBLE, BUSY_EAGERNESS, 0.0
    return walk


def find(fault: type, hunt: Hunt, seeds: Iterable[int], steps: int = 8000) -> Outcome | None:
    """The first walk that finds the planted fault."""
    for seed in seeds:
        outcome = walk_with(fault, hunt, seed).run(steps, calm=False)
        if outcome.broken:
            return outcome
    return None
