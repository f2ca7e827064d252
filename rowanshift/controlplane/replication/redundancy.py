"""Redundancy as a figure: how many copies and witnesses live, and how long any were lacking. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Redundancy:
    """Of an epoch in force, as its primary sees it."""

    copies: int  # in-sync machines that live
    copies_wanted: int
    witnesses: int  # that live
    witnesses_wanted: int
    changing: bool  # the set of witnesses
    spread: bool = True  # so that what may be lost at once, zones and regions too, leaves a copy and a majority

    @property
    def full(self) -> bool:
        """Whether as many machines as are to be borne may be lost right now."""
        enough = self.copies >= self.copies_wanted and self.witnesses >= self.witnesses_wanted
        return enough and self.spread and not self.changing


NO_REDUNDANCY = Redundancy(0, 0, 0, 0, changing=False)


@dataclass(frozen=True, slots=True)
class RedundancyChange:
    """Redundancy as it is now; ``until_full_s``: how long it was lacking, if it is full again."""

    redundancy: Redundancy
    until_full_s: float | None = None


class RedundancyWatch:
    """Notices changes; a primary makes one when it takes office. Times in steady seconds."""

    def __init__(self, now: float) -> None:
        self.seen = NO_REDUNDANCY
        self.lacking_since: float | None = now

    def observe(self, redundancy: Redundancy, now: float) -> RedundancyChange | None:
        """What has changed since the last look, None if nothing has."""
        if redundancy == self.seen:
            return None
        self.seen = redundancy
        if not redundancy.full:
            if self.lacking_since is None:
                self.lacking_since = now
            return RedundancyChange(redundancy)
        took = None if self.lacking_since is None else now - self.lacking_since
        self.lacking_since = None
        return RedundancyChange(redundancy, took)

    def lacking_for(self, now: float) -> float:
        """Seconds since redundancy was last full, 0 while it is."""
        return 0.0 if self.lacking_since is None else now - self.lacking_since
