"""The servers in use: the list from discovery merged with the servers that operators have disabled.

The connection pools and the decision module see only the merged entries.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from rowanshift.cacheproxy.model import Entry
from rowanshift.transport.streams import Address

MAX_DISABLED = 4096


class ServerPools(Protocol):
    """What ``Membership`` uses of the connection pools."""

    def set_address(self, server: str, address: Address) -> None: ...

    def drain(self, server: str) -> None: ...

    def undrain(self, server: str) -> None: ...

    def remove(self, server: str) -> None: ...

    def retain_only(self, servers: Iterable[str]) -> None: ...


class Membership:
    """Merges the list with the operators' commands.

    A disabled server that the list calls live is passed on as ``quiescing``. A server that was enabled again counts as
    started at that time, since it was restarted in between, until the list gives a later start.
    """

    def __init__(self, pools: ServerPools, list_changed: Callable[[str, list[Entry]], None]) -> None:
        self.pools, self.list_changed = pools, list_changed
        self.listed: dict[str, Entry] = {}  # the list without dead servers
        self.disabled: set[str] = set()
        self.enabled_at: dict[str, float] = {}  # the Unix time at which a server was enabled again

    def _merged(self, entry: Entry) -> Entry:
        if (enabled_at := self.enabled_at.get(entry.server)) is not None:
            if entry.came_up > enabled_at or entry.health == "dead":
                del self.enabled_at[entry.server]
            else:
                entry = entry._replace(came_up=enabled_at)
        if entry.server in self.disabled and entry.health == "live":
            entry = entry._replace(health="quiescing")
        return entry

    def update(self, scope: str, rows: list[tuple[Entry, Address | None]]) -> None:
        """Applies a complete list or, with the scope ``delta``, changes to it."""
        merged = [(self._merged(entry), address) for entry, address in rows]
        if scope != "delta":
            self.listed.clear()
            self.pools.retain_only(entry.server for entry, _ in rows)
        for entry, _ in rows:
            if entry.health == "dead":
                self.listed.pop(entry.server, None)
            else:
                self.listed[entry.server] = entry
        for entry, address in merged:
            if entry.health == "dead":
                self.pools.remove(entry.server)
                continue
            if address is not None:
                self.pools.set_address(entry.server, address)
            if entry.health != "live":
                self.pools.drain(entry.server)
        self.list_changed(scope, [entry for entry, _ in merged])

    def is_known(self, server: str) -> bool:
        """Whether operators may disable or enable a server of this name."""
        return server in self.listed or server in self.disabled

    def disable(self, server: str) -> bool:
        """Excludes a server until it is enabled; returns whether that is a change.

        Nothing new is sent there: idle connections close, dials are cancelled, and requests held for the server are
        routed again.
        """
        if server in self.disabled or len(self.disabled) >= MAX_DISABLED:
            return False
        self.disabled.add(server)
        self.enabled_at.pop(server, None)
        self._publish(server)
        return True

    def enable(self, server: str, now: float) -> bool:
        """Uses a disabled server again; returns whether it was disabled."""
        if server not in self.disabled:
            return False
        self.disabled.discard(server)
        if len(self.enabled_at) >= MAX_DISABLED:
            self.enabled_at.pop(next(iter(self.enabled_at)))
        self.enabled_at[server] = now
        self._publish(server)
        return True

    def _publish(self, server: str) -> None:
        if (entry := self.listed.get(server)) is None:
            return
        entry = self._merged(entry)
        if entry.health == "live":
            self.pools.undrain(server)
        else:
            self.pools.drain(server)
        self.list_changed("delta", [entry])
