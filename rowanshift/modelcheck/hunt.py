"""The search for planted faults: a check that finds none of them checks nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.walk import Outcome, Walk


@dataclass(frozen=True)
class Hunt:
    """Where a planted fault is looked for, and the first seed that finds it within 8000 steps."""

    seed: int
    machines: int = 3
    f: int = 1
    spares: int = 0
    faults: tuple[str, ...] = ()  # kinds of faults injected; drawn by the seed if none are given


def find(replica_class: type[p.Replica], hunt: Hunt, seeds: Iterable[int], steps: int = 8000) -> Outcome | None:
    """The first walk that finds the planted fault."""
    for seed in seeds:
        walk = Walk(seed, hunt.machines, hunt.f, hunt.spares, replica_class)
        walk.faults = list(hunt.faults) or walk.faults
        outcome = walk.run(steps, calm=False)
        if outcome.broken:
            return outcome
    return None
