"""Watches that wait at the primary for a put in their group. They cost nothing while nothing is put."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rowanshift.controlplane.coordination.calls import Events, HistoryDropped
from rowanshift.controlplane.coordination.limits import MAX_WAITING_WATCHES

ReadCommitted = Callable[[str, int], Events | HistoryDropped]  # of a group, after a revision


@dataclass(slots=True, eq=False)
class WaitingWatch:
    """One watch, and what it has found."""

    after: int
    found: Events | HistoryDropped | None = None
    ended: trio.Event = field(default_factory=trio.Event)


class WaitingWatches:
    """The watches that wait, by their group."""

    def __init__(self) -> None:
        self.count = 0
        self._by_group: dict[str, list[WaitingWatch]] = {}

    def has_room(self) -> bool:
        """Whether one more may wait."""
        return self.count < MAX_WAITING_WATCHES

    async def wait(self, group: str, after: int, until: float) -> Events | HistoryDropped | None:
        """What comes in a group after a revision; None once the time is over or this machine no longer decides."""
        watch = WaitingWatch(after)
        self._by_group.setdefault(group, []).append(watch)
        self.count += 1
        try:
            with trio.move_on_at(until):
                await watch.ended.wait()
        finally:
            self._remove(group, watch)
        return watch.found

    def _remove(self, group: str, watch: WaitingWatch) -> None:
        self.count -= 1
        self._by_group[group].remove(watch)
        if not self._by_group[group]:
            del self._by_group[group]

    def notify(self, group: str, read_committed: ReadCommitted) -> None:
        """Hand each watch of a group what has been committed since its revision."""
        for watch in self._by_group.get(group, ()):
            if watch.found is None:
                watch.found = read_committed(group, watch.after)
                watch.ended.set()

    def end_all(self) -> None:
        """End all watches with nothing found: they ask again, and are told where."""
        for watches in self._by_group.values():
            for watch in watches:
                watch.ended.set()
