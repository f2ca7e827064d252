"""Which servers there are: what the list says, and what staff called out by hand, merged into one. Pools and
module see only the merged entries, and neither knows who told."""

from collections.abc import Callable, Iterable
from typing import Protocol

from rowanshift.cacheproxy.model import Entry
from rowanshift.transport.streams import Address

MOST_OUT = 4096  # ids that may be out by hand at once


class Pools(Protocol):
    def locate(self, server: str, address: Address) -> None: ...

    def leave(self, server: str) -> None: ...

    def join(self, server: str) -> None: ...

    def forget(self, server: str) -> None: ...

    def forget_others(self, servers: Iterable[str]) -> None: ...


class Membership:
    """Merges. An id that is out by hand is ``quiescing`` while it is listed; one that was called back came up
    at the moment of the call, until the list tells a later one, since it was restarted meanwhile."""

    def __init__(self, pools: Pools, list_changed: Callable[[str, list[Entry]], None]) -> None:
        self.pools, self.list_changed = pools, list_changed
        self.listed: dict[str, Entry] = {}  # as the list has it, those that left excepted
        self.out: set[str] = set()  # by hand
        self.back_at: dict[str, float] = {}  # Unix seconds of the call back

    def _merged(self, entry: Entry) -> Entry:
        if (back_at := self.back_at.get(entry.server)) is not None:
            if entry.came_up > back_at or entry.health == "dead":
                del self.back_at[entry.server]
            else:
                entry = entry._replace(came_up=back_at)
        if entry.server in self.out and entry.health == "live":
            entry = entry._replace(health="quiescing")
        return entry

    def learn(self, scope: str, rows: list[tuple[Entry, Address | None]]) -> None:
        """Takes in a whole list, or with the scope ``delta`` a part of it."""
        merged = [(self._merged(entry), address) for entry, address in rows]
        if scope != "delta":
            self.listed.clear()
            self.pools.forget_others(entry.server for entry, _ in rows)
        for entry, _ in rows:
            if entry.health == "dead":
                self.listed.pop(entry.server, None)
            else:
                self.listed[entry.server] = entry
        for entry, address in merged:
            if entry.health == "dead":
                self.pools.forget(entry.server)
                continue
            if address is not None:
                self.pools.locate(entry.server, address)
            if entry.health != "live":
                self.pools.leave(entry.server)
        self.list_changed(scope, [entry for entry, _ in merged])

    def known(self, server: str) -> bool:
        """Whether a call about this id can be followed."""
        return server in self.listed or server in self.out

    def call_out(self, server: str) -> bool:
        """Leaves a server out until it is called back; whether that is new. Nothing new goes there from now
        on: what is idle closes, dials are given up, held work items look elsewhere."""
        if server in self.out or len(self.out) >= MOST_OUT:
            return False
        self.out.add(server)
        self.back_at.pop(server, None)
        self._tell(server)
        return True

    def call_back(self, server: str, now: float) -> bool:
        """Ends all calls out; whether there was one."""
        if server not in self.out:
            return False
        self.out.discard(server)
        if len(self.back_at) >= MOST_OUT:
            self.back_at.pop(next(iter(self.back_at)))
        self.back_at[server] = now
        self._tell(server)
        return True

    def _tell(self, server: str) -> None:
        if (entry := self.listed.get(server)) is None:
            return
        entry = self._merged(entry)
        if entry.health == "live":
            self.pools.join(server)
        else:
            self.pools.leave(server)
        self.list_changed("delta", [entry])
