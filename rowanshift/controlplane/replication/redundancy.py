"""Redundancy of an epoch as observed by its primary, and the time for which it has been reduced."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Redundancy:
    """The numbers of live replicas and witnesses of an epoch, and the numbers that the fault tolerance requires."""

    replicas: int  # live in-sync machines
    replicas_wanted: int
    witnesses: int  # live witnesses
    witnesses_wanted: int
    witnesses_changing: bool
    tolerance_met: bool = True  # a replica and a majority survive the worst tolerated loss, zones and regions included

    @property
    def is_full(self) -> bool:
        """Whether the tolerated loss could be survived at this moment."""
        enough = self.replicas >= self.replicas_wanted and self.witnesses >= self.witnesses_wanted
        return enough and self.tolerance_met and not self.witnesses_changing


NO_REDUNDANCY = Redundancy(0, 0, 0, 0, witnesses_changing=False)


@dataclass(frozen=True, slots=True)
class RedundancyChange:
    """The new redundancy. ``seconds_until_full`` is the time for which it was reduced, set when it is full again."""

    redundancy: Redundancy
    seconds_until_full: float | None = None


class RedundancyMonitor:
    """Detects changes of redundancy. A primary creates a monitor when it is elected. Times are steady seconds."""

    def __init__(self, now: float) -> None:
        self.last_observed = NO_REDUNDANCY
        self.reduced_since: float | None = now

    def observe(self, redundancy: Redundancy, now: float) -> RedundancyChange | None:
        """The change since the last observation, None if there is none."""
        if redundancy == self.last_observed:
            return None
        self.last_observed = redundancy
        if not redundancy.is_full:
            if self.reduced_since is None:
                self.reduced_since = now
            return RedundancyChange(redundancy)
        seconds_until_full = None if self.reduced_since is None else now - self.reduced_since
        self.reduced_since = None
        return RedundancyChange(redundancy, seconds_until_full)

    def reduced_for_seconds(self, now: float) -> float:
        """Seconds since redundancy was last full; 0 while it is full."""
        return 0.0 if self.reduced_since is None else now - self.reduced_since
