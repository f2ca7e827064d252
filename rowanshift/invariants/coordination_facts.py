"""Events that applications record of their calls for locks, numbers and keys. Times are seconds of the run's clock."""

from __future__ import annotations

from dataclasses import dataclass

from rowanshift.controlplane.coordination.calls import Answer, Call
from rowanshift.invariants.facts import Fact


@dataclass(frozen=True, slots=True)
class CoordinationAsked(Fact):
    """A caller sent a call to a machine. Every retry is recorded as a separate call."""

    id: str
    call: Call


@dataclass(frozen=True, slots=True)
class CoordinationAnswered(Fact):
    """A call was answered. ``answer`` is None for a status that guarantees that the call had no effect."""

    id: str
    status: int
    answer: Answer | None = None
