"""Reads the platform's endpoint list for all routers, as a singleton role: only while this machine holds the lease."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

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

LIST_INTERVAL_SECONDS = 0.8  # from the start of one reading to that of the next
LIST_LEASE_CHECK_SECONDS = 0.1  # between checks for the lease on a machine that doesn't hold it
LIST_MIN_PAUSE_SECONDS = 0.05  # after a reading, however long it took
LIST_PAGE_TIMEOUT_SECONDS = 1.0
MAX_LIST_PAGES = 400


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of the list; ``next_token`` asks for the next, None or empty on the last one."""

    entries: list[Any]
    next_token: str | None

    @classmethod
    def parse(cls, body: bytes) -> ListPage:
        """The page in an answer's body. Raises ``BadEndpointList``."""
        try:
            page = orjson.loads(body)
            entries, next_token = page["instances"], page.get("nextToken")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise BadEndpointList(repr(error)) from error
        if not isinstance(entries, list):
            raise BadEndpointList(f"instances: a list expected, not {type(entries).__name__}")
        if not isinstance(next_token, str | None):
            raise BadEndpointList(f"nextToken: text expected, not {type(next_token).__name__}")
        return cls(entries, next_token)


class EndpointListReader:
    """Reads the list again and again and applies it to the registry.

    ``address`` is that of the platform's API, None where there is none. ``registry`` gives the registry in use, which
    is replaced when the primary changes; ``on_change`` is called when a reading has changed it.
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
        self.calls = 0  # pages asked for

    async def run(self) -> None:
        """Read the list while this machine holds the lease; runs until it is cancelled."""
        while True:
            started_at = trio.current_time()
            if self.address is not None and self.replica_runner.lease_remaining():
                await self._read_once(self.address)
            holds_lease = self.replica_runner.lease_remaining()
            interval = LIST_INTERVAL_SECONDS if holds_lease else LIST_LEASE_CHECK_SECONDS
            pause = started_at + interval - trio.current_time()
            await self.runtime.pause(max(LIST_MIN_PAUSE_SECONDS, pause))

    async def _read_once(self, address: Address) -> None:
        """Read the list and apply it, unless the lease ended meanwhile."""
        try:
            entries = await self._read_pages(address)
        except (CallFailed, BadEndpointList) as error:
            logger.info("event=list_failed why={!r}", str(error))
            return
        if self.replica_runner.lease_remaining() and self.registry().apply_list(entries):
            self.on_change()

    async def _read_pages(self, address: Address) -> list[RegisteredServer]:
        """All entries of the list. Raises ``CallFailed`` and ``BadEndpointList``."""
        servers: list[RegisteredServer] = []
        page_token: str | None = None
        for _ in range(MAX_LIST_PAGES):
            target = b"/instances" if page_token is None else b"/instances?pageToken=" + page_token.encode()
            self.calls += 1
            answer = await call(
                self.runtime, self.memory, address, b"GET", target, timeout_seconds=LIST_PAGE_TIMEOUT_SECONDS
            )
            if answer.status != 200:
                raise BadEndpointList(f"status {answer.status}")
            page = ListPage.parse(answer.body)
            servers += [parse_registered_server(entry) for entry in page.entries]
            if not page.next_token:
                return servers
            page_token = page.next_token
        raise BadEndpointList(f"over {MAX_LIST_PAGES} pages")
