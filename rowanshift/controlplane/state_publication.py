"""Publication of the committed control state to routers: packed once for all polls, with a content fingerprint."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from hashlib import blake2b

import trio

from rowanshift.controlplane.control_state import ControlState, unpack
from rowanshift.controlplane.replication import Replica
from rowanshift.dataplane.routing_table import parse_routing_table
from rowanshift.process.addresses import parse_ip_port
from rowanshift.transport.streams import Address


class UpdateSignal:
    """Wakes the polls that wait for data that is newer than what their routers have."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake all current waiters; later waiters wait for the next call."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next call of ``notify``."""
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
        self._published: bytes | None = None  # the packed state from which the attributes above are derived

    def reset(self) -> None:
        """Make the next refresh publish the state even if it is unchanged, because the primary has changed."""
        self._published = None

    def refresh(self) -> None:
        """Publish the committed state if it is new and this machine is the primary."""
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
        """Return the currently committed version of each model."""
        self.refresh()
        return self.state.versions

    def prefix_stores(self) -> set[Address]:
        """Return the addresses of the prefix stores in the currently committed configuration."""
        self.refresh()
        return self.store_addresses


def state_fingerprint(state: ControlState) -> int:
    """Return a 64-bit hash of the parts of a state that routers receive; never 0, which means no state."""
    content = b"%d|%s|%r" % (state.revision, state.config, sorted(state.versions.items()))
    return int.from_bytes(blake2b(content, digest_size=8).digest(), "big") | 1


def prefix_store_addresses(state: ControlState) -> set[Address]:
    """Return the addresses of the prefix stores among the services of the configuration.

    A configuration on a disk may be from a program that accepted addresses to which nobody can connect.
    """
    routing_table = parse_routing_table(state.revision, state.config, state.versions)
    addresses: set[Address] = set()
    for service in routing_table.services.values():
        if (address := parse_ip_port(service.store_address)) is not None:
            addresses.add(address)
    return addresses
