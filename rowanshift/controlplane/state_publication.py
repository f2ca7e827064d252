"""The committed control state as routers receive it: packed once for all polls, with a fingerprint of its content."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from hashlib import blake2b

import trio

from rowanshift.controlplane.control_state import ControlState, unpack
from rowanshift.controlplane.replication import Replica
from rowanshift.dataplane.routing_table import parse_routing_table
from rowanshift.transport.streams import Address


class UpdateSignal:
    """Wakes the polls that wait for anything newer than what their routers have."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all that wait; those that wait from now on wait for the next call."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Return with the next ``notify``."""
        await self._event.wait()


class StatePublication:
    """The newest committed state that this machine has published as primary.

    ``on_new_state`` is called with each new state before ``updates`` is notified of it.
    """

    def __init__(self, replica: Replica, updates: UpdateSignal, on_new_state: Callable[[ControlState], None]) -> None:
        self.replica = replica
        self.updates = updates
        self.on_new_state = on_new_state
        self.state = ControlState()
        self.fingerprint = 0  # 0: nothing published yet
        self.compressed_config = b""
        self.store_addresses: set[Address] = set()
        self._published: bytes | None = None  # the packed state that all of these are made of

    def reset(self) -> None:
        """Publish the committed state again, also where it is unchanged: the primary has changed."""
        self._published = None

    def refresh(self) -> None:
        """Publish the committed state where it is new and this machine is primary."""
        committed = self.replica.committed_state
        if committed is self._published or not self.replica.is_primary:
            return
        self._published = committed
        self.state = unpack(committed)
        self.fingerprint = state_fingerprint(self.state)
        self.compressed_config = zlib.compress(self.state.config, 1)
        self.on_new_state(self.state)
        self.store_addresses = prefix_store_addresses(self.state)
        self.updates.notify()

    def versions(self) -> dict[str, int]:
        """The announced version of each model, as committed now."""
        self.refresh()
        return self.state.versions

    def prefix_stores(self) -> set[Address]:
        """The addresses of the prefix stores that the configuration names, as committed now."""
        self.refresh()
        return self.store_addresses


def state_fingerprint(state: ControlState) -> int:
    """64 bits of a hash of what routers receive of a state; never 0, which stands for no state."""
    content = b"%d|%s|%r" % (state.revision, state.config, sorted(state.versions.items()))
    return int.from_bytes(blake2b(content, digest_size=8).digest(), "big") | 1


def prefix_store_addresses(state: ControlState) -> set[Address]:
    """The addresses of the prefix stores among the configuration's services."""
    routing_table = parse_routing_table(state.revision, state.config, state.versions)
    addresses: set[Address] = set()
    for service in routing_table.services.values():
        ip, _, port = service.store_address.rpartition(":")
        if ip and port.isdigit():
            addresses.add((ip, int(port)))
    return addresses
