"""The search for planted faults: a check that finds none of them checks nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_walk import ClientWalk
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.file_system import StoreModel
from rowanshift.modelcheck.membership_walk import MembershipWalk
from rowanshift.modelcheck.random_walk import RandomWalk, WalkResult
from rowanshift.modelcheck.router_model import RouterModel
from rowanshift.modelcheck.worst_case_walk import ObserverWalk, WorstCaseWalk

WALKS: dict[str, type[RandomWalk]] = {
    "protocol": RandomWalk,
    "clients": ClientWalk,
    "members": MembershipWalk,
    "closing": WorstCaseWalk,
    "uncounted": ObserverWalk,
}
REPLACED: dict[type, str] = {
    replication.Replica: "replica_class",
    ControlService: "service_class",
    RouterModel: "router_class",
    StoreModel: "store_class",
}
BUSY_TROUBLE = 0.004  # faults a step
BUSY_EAGERNESS = 0.1  # questions a step, of each operator


@dataclass(frozen=True)
class FaultSearch:
    """Where a planted fault is looked for, and the first seed that finds it within 8000 steps."""

    seed: int
    machine_count: int = 3
    max_failures: int = 1
    spares: int = 0
    faults: tuple[str, ...] = ()  # kinds of faults injected; drawn by the seed if none are given
    kind: str = "protocol"  # of walk, a key of WALKS
    timing: replication.Timing | None = None  # as the seed says if none is given
    busy: bool = False  # many faults, and operators that ask often and lose nothing


def walk_with(fault: type, hunt: FaultSearch, seed: int) -> RandomWalk:
    """A walk in which ``fault`` takes the place of what it is a subclass of."""
    replaced: dict[str, Any] = {name: fault for base, name in REPLACED.items() if issubclass(fault, base)}
    walk = WALKS[hunt.kind](seed, hunt.machine_count, hunt.max_failures, hunt.spares, timing=hunt.timing, **replaced)
    walk.faults = list(hunt.faults) or walk.faults
    if hunt.busy:
        walk.trouble, walk.eagerness, walk.client_loss = BUSY_TROUBLE, BUSY_EAGERNESS, 0.0
    return walk


def find_fault(fault: type, hunt: FaultSearch, seeds: Iterable[int], steps: int = 8000) -> WalkResult | None:
    """The first walk that finds the planted fault."""
    for seed in seeds:
        outcome = walk_with(fault, hunt, seed).run(steps, calm=False)
        if outcome.violation:
            return outcome
    return None
