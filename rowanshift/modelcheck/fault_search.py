"""The search for planted faults, which verifies that the model checker detects violations."""

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

# keys are the names on the command line
WALKS: dict[str, type[RandomWalk]] = {
    "protocol": RandomWalk,
    "clients": ClientWalk,
    "members": MembershipWalk,
    "closing": WorstCaseWalk,
    "uncounted": ObserverWalk,
}
DEFAULT_STEPS = 8000  # length of a walk that searches for a fault
HEAVY_FAULT_RATE = 0.004  # faults per step
HEAVY_REQUEST_RATE = 0.1  # requests per step of each operator


@dataclass(frozen=True)
class FaultSearch:
    """The walks that search for a planted fault, and the first seed that detects it within `DEFAULT_STEPS`."""

    seed: int
    machine_count: int = 3
    max_failures: int = 1
    spares: int = 0
    fault_kinds: tuple[FaultKind, ...] = ()  # empty: drawn by the seed
    walk: str = "protocol"  # a key of WALKS
    timing: replication.Timing | None = None  # None: chosen by the seed
    heavy_load: bool = False  # many faults; many requests from operators, none of them lost

    def create_walk(self, fault: type, seed: int) -> RandomWalk:
        """Create a walk in which the class ``fault`` replaces its base class."""
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
    """The result of the first walk that detects a planted fault; ``None`` if no seed does."""
    for seed in seeds:
        result = search.create_walk(fault, seed).run(steps, recover=False)
        if result.violation:
            return result
    return None
