"""Redundancy as a figure: how many copies and witnesses live, and how long any were lacking. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Redundancy:
    """Of an epoch in force, as its primary sees it."""

    replicas: int  # in-sync machines that live
    replicas_wanted: int
    witnesses: int  # that live
    witnesses_wanted: int
    witnesses_changing: bool  # the set of witnesses
    tolerance_met: bool = True  # so that what may be lost at once, zones and regions too, leaves a copy and a majority

    @property
    def is_full(self) -> bool:
        """Whether as many machines as are to be borne may be lost right now."""
        enough = self.replicas >= self.replicas_wanted and self.witnesses >= self.witnesses_wanted
        return enough and self.tolerance_met and not self.witnesses_changing


NO_REDUNDANCY = Redundancy(0, 0, 0, 0, witnesses_changing=False)


@dataclass(frozen=True, slots=True)
class RedundancyChange:
    """Redundancy as it is now; ``seconds_until_full``: how long it was lacking, if it is full again."""

    redundancy: Redundancy
    seconds_until_full: float | None = None


class RedundancyMonitor:
    """Notices changes; a primary makes one when it takes office. Times in steady seconds."""

    def __init__(self, now: float) -> None:
        self.last_observed = NO_REDUNDANCY
        self.reduced_since: float | None = now

    def observe(self, redundancy: Redundancy, now: float) -> RedundancyChange | None:
        """What has changed since the last look, None if nothing has."""
        if redundancy == self.last_observed:
            return None
        self.last_observed = redundancy
        if not redundancy.is_full:
            if self.reduced_since is None:
                self.reduced_since = now
            return RedundancyChange(redundancy)
        took = None if self.reduced_since is None else now - self.reduced_since
        self.reduced_since = None
        return RedundancyChange(redundancy, took)

    def reduced_for_seconds(self, now: float) -> float:
        """Seconds since redundancy was last full, 0 while it is."""
        return 0.0 if self.reduced_since is None else now - self.reduced_since
