"""What applications recorded of their calls for locks, numbers and keys. Times are seconds of the world's clock."""

from __future__ import annotations

from dataclasses import dataclass

from rowanshift.controlplane.coordination.calls import Answer, Call
from rowanshift.invariants.facts import Fact


@dataclass(frozen=True, slots=True)
class CoordinationAsked(Fact):
    """A caller sent a call to a machine. Each time that it sends one again is a call of its own."""

    id: str
    call: Call


@dataclass(frozen=True, slots=True)
class CoordinationAnswered(Fact):
    """The call was answered. Without ``answer``: by a status that promises that nothing was done."""

    id: str
    status: int
    answer: Answer | None = None
