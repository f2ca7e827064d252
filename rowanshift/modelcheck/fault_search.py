"""The search for planted faults: a checker that finds none of them checks nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_walk import ClientWalk
from rowanshift.modelcheck.fault_injection import FaultKind
from rowanshift.modelcheck.implementations import DEFAULT_IMPLEMENTATIONS
from rowanshift.modelcheck.membership_walk import MembershipWalk
from rowanshift.modelcheck.random_walk import RandomWalk, WalkResult
from rowanshift.modelcheck.worst_case_walk import ObserverWalk, WorstCaseWalk

# by the names that the command line gives them
WALKS: dict[str, type[RandomWalk]] = {
    "protocol": RandomWalk,
    "clients": ClientWalk,
    "members": MembershipWalk,
    "closing": WorstCaseWalk,
    "uncounted": ObserverWalk,
}
DEFAULT_STEPS = 8000  # of a walk that searches for a fault
HEAVY_FAULT_RATE = 0.004  # faults a step
HEAVY_REQUEST_RATE = 0.1  # requests a step, of each operator


@dataclass(frozen=True)
class FaultSearch:
    """How a planted fault is searched for, and the first seed that has found it within `DEFAULT_STEPS`."""

    seed: int
    machine_count: int = 3
    max_failures: int = 1
    spares: int = 0
    fault_kinds: tuple[FaultKind, ...] = ()  # drawn by the seed if none are given
    walk: str = "protocol"  # a key of WALKS
    timing: replication.Timing | None = None  # by the seed if none is given
    heavy_load: bool = False  # many faults, and operators that make many requests and lose none

    def walk_with(self, fault: type, seed: int) -> RandomWalk:
        """A walk in which ``fault`` takes the place of the class that it derives from."""
        implementations = DEFAULT_IMPLEMENTATIONS.with_subclass(fault)
        walk_class = WALKS[self.walk]
        walk = walk_class(seed, self.machine_count, self.max_failures, self.spares, implementations, self.timing)
        if self.fault_kinds:
            walk.fault_kinds = list(self.fault_kinds)
        if self.heavy_load:
            walk.fault_rate = HEAVY_FAULT_RATE
            if isinstance(walk, ClientWalk):
                walk.request_rate, walk.client_message_loss = HEAVY_REQUEST_RATE, 0.0
        return walk


def find_fault(fault: type, search: FaultSearch, seeds: Iterable[int], steps: int = DEFAULT_STEPS) -> WalkResult | None:
    """The first walk that finds a planted fault; ``None`` if none of the seeds does."""
    for seed in seeds:
        result = search.walk_with(fault, seed).run(steps, recover=False)
        if result.violation:
            return result
    return None
