"""Reads the platform's endpoint list for all routers. A singleton task: it runs only on the lease holder."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import quote

import orjson
import trio
from loguru import logger

from rowanshift.controlplane.errors import BadEndpointList
from rowanshift.controlplane.registered_server import RegisteredServer, parse_registered_server
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

LIST_INTERVAL_SECONDS = 0.8  # interval between the starts of two reads of the list
LIST_LEASE_CHECK_SECONDS = 0.1  # interval between checks for the lease on a machine that does not hold it
LIST_MIN_PAUSE_SECONDS = 0.05  # minimum pause after a read, even if it took longer than the interval
LIST_PAGE_TIMEOUT_SECONDS = 1.0
MAX_LIST_PAGES = 400
MAX_LOGGED_ID_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of the list; ``next_token`` requests the next page and is None or empty on the last one."""

    entries: list[Any]
    next_token: str | None

    @classmethod
    def parse(cls, body: bytes) -> ListPage:
        """Parse the page in a response body. Raises ``BadEndpointList``."""
        try:
            page = orjson.loads(body)
            entries, next_token = page["instances"], page.get("nextToken")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise BadEndpointList(f"expected a JSON object with instances: {error!r}") from error
        if not isinstance(entries, list):
            raise BadEndpointList(f"instances: expected a list, found {type(entries).__name__}")
        if not isinstance(next_token, str | None):
            raise BadEndpointList(f"nextToken: expected a string or null, found {type(next_token).__name__}")
        return cls(entries, next_token)


class EndpointListReader:
    """Reads the list periodically and applies it to the registry.

    ``address`` is the address of the platform's API, or None if there is none. ``registry`` returns the current
    registry, which is replaced when the primary changes. ``on_change`` is called when a read has changed the registry.
    """

    def __init__(
        self,
        runtime: Runtime,
        memory: MemoryBudget,
        replica_runner: ReplicaRunner,
        address: Address | None,
        registry: Callable[[], ServerRegistry],
        on_change: Callable[[], None],
    ) -> None:
        self.runtime = runtime
        self.memory = memory
        self.replica_runner = replica_runner
        self.address = address
        self.registry = registry
        self.on_change = on_change
        self.pages_requested = 0

    async def run(self) -> None:
        """Read the list while this machine holds the lease; runs until cancelled."""
        while True:
            started_at = trio.current_time()
            if self.address is not None and self.replica_runner.lease_remaining():
                await self._read_once(self.address)
            holds_lease = self.replica_runner.lease_remaining()
            interval = LIST_INTERVAL_SECONDS if holds_lease else LIST_LEASE_CHECK_SECONDS
            pause = started_at + interval - trio.current_time()
            await self.runtime.pause(max(LIST_MIN_PAUSE_SECONDS, pause))

    async def _read_once(self, address: Address) -> None:
        """Read the list and apply it, unless the lease expires during the read."""
        try:
            entries = await self._read_pages(address)
        except (CallFailed, BadEndpointList) as error:
            logger.info("event=list_failed why={!r}", str(error))
            return
        if self.replica_runner.lease_remaining() and self.registry().apply_list(entries):
            self.on_change()

    def _parse_entry(self, entry: Any) -> RegisteredServer | None:
        """Parse an entry; an invalid one leaves its server as it is known, and is passed over if it isn't known.

        Raises ``BadEndpointList`` if the entry doesn't say which server it is about: the server must not seem gone.
        """
        try:
            return parse_registered_server(entry)
        except BadEndpointList as error:
            server_id = entry.get("id") if isinstance(entry, dict) else None
            if not server_id or not isinstance(server_id, str):
                raise
            logger.info("event=list_entry_invalid server={} why={!r}", server_id[:MAX_LOGGED_ID_CHARACTERS], str(error))
            known = self.registry().servers.get(server_id)
            return None if known is None else replace(known, versions=dict(known.versions))

    async def _read_pages(self, address: Address) -> list[RegisteredServer]:
        """Return all entries of the list. Raises ``CallFailed`` and ``BadEndpointList``."""
        servers: list[RegisteredServer] = []
        page_token: str | None = None
        for _ in range(MAX_LIST_PAGES):
            target = b"/instances" if page_token is None else b"/instances?pageToken=" + quote(page_token, "").encode()
            self.pages_requested += 1
            response = await call(
                self.runtime, self.memory, address, b"GET", target, timeout_seconds=LIST_PAGE_TIMEOUT_SECONDS
            )
            if response.status != 200:
                raise BadEndpointList(f"expected status 200, found {response.status}")
            page = ListPage.parse(response.body)
            servers += [server for entry in page.entries if (server := self._parse_entry(entry)) is not None]
            if not page.next_token:
                return servers
            page_token = page.next_token
        raise BadEndpointList(f"expected at most {MAX_LIST_PAGES} pages, found more")
