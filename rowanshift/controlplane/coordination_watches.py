"""Watches that wait at the primary for a put in their group. They use no CPU time while nothing is put."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rowanshift.controlplane.coordination.calls import Events, HistoryDropped
from rowanshift.controlplane.coordination.limits import MAX_WAITING_WATCHES

ReadCommitted = Callable[[str, int], Events | HistoryDropped]  # takes a group and a revision, returns the puts after it


@dataclass(slots=True, eq=False)
class WaitingWatch:
    """A waiting watch and its result."""

    after: int
    found: Events | HistoryDropped | None = None
    finished: trio.Event = field(default_factory=trio.Event)


class WaitingWatches:
    """The waiting watches, by group."""

    def __init__(self) -> None:
        self.count = 0
        self._by_group: dict[str, list[WaitingWatch]] = {}

    def has_capacity(self) -> bool:
        """Whether another watch may wait."""
        return self.count < MAX_WAITING_WATCHES

    async def wait(self, group: str, after: int, deadline: float) -> Events | HistoryDropped | None:
        """The puts of a group after a revision; None on timeout or if this machine is no longer primary."""
        watch = WaitingWatch(after)
        self._by_group.setdefault(group, []).append(watch)
        self.count += 1
        try:
            with trio.move_on_at(deadline):
                await watch.finished.wait()
        finally:
            self._remove(group, watch)
        return watch.found

    def _remove(self, group: str, watch: WaitingWatch) -> None:
        self.count -= 1
        self._by_group[group].remove(watch)
        if not self._by_group[group]:
            del self._by_group[group]

    def notify(self, group: str, read_committed: ReadCommitted) -> None:
        """Give each watch of a group the puts committed since its revision."""
        for watch in self._by_group.get(group, ()):
            if watch.found is None:
                watch.found = read_committed(group, watch.after)
                watch.finished.set()

    def finish_all(self) -> None:
        """End all watches without a result: each then reads again, which reports the new primary."""
        for watches in self._by_group.values():
            for watch in watches:
                watch.finished.set()
