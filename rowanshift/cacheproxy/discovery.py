"""The list of cache servers: the one known at the start, then the changes that a discovery agent reports."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import closing
from typing import Any

import h11
import orjson
import trio
from loguru import logger

from rowanshift.cacheproxy.config import Address, NameIndex, entry_of, parse_address
from rowanshift.cacheproxy.membership import Membership
from rowanshift.cacheproxy.model import Entry
from rowanshift.transport.buffer import RingBuffer
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime
from rowanshift.transport.streams import Stream, connect, receive, send_all

AGENT_TIMEOUT_SECONDS = 3.0  # An idle agent sends an empty line every 2 s.
MAX_LINE_BYTES = 8 * 1024 * 1024
FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS = 0.1, 2.0  # A random factor of 0.5 to 1.5 is applied.
FIRST_LIST_TIMEOUT_SECONDS = 0.3  # Discovery may be down, and must not delay a start for longer.


class Discovery:
    """Watches the list of servers at an agent, and applies its changes to the membership.

    In ask mode the decision module requests each watch; otherwise a watch that ends is started again.
    """

    def __init__(
        self,
        address: Address,
        names: NameIndex,
        ask_mode: bool,
        random_: random.Random,
        members: Membership,
        list_changed: Callable[[str, list[Entry]], None],
        runtime: Runtime = SYSTEM_RUNTIME,
    ) -> None:
        self.address, self.names, self.ask_mode, self.random = address, names, ask_mode, random_
        self.members, self.list_changed, self.runtime = members, list_changed, runtime
        self.generation = 0
        self.watch_requested = trio.Event()
        # Whether ``generation`` was counted by this agent. The list known at the start may be old, and a watch from
        # its generation that has nothing new would not say so for 2 s, so the whole list is read first.
        self.generation_is_valid = ask_mode
        self.list_received = trio.Event()  # The agent has sent a whole list.
        self.watch_scope = trio.CancelScope()
        self.retry_seconds = FIRST_RETRY_SECONDS
        self.failing = False
        if not ask_mode:
            self.watch_requested.set()

    def subscribe(self) -> None:
        """Requests a watch."""
        self.watch_requested.set()

    def switch_agent(self, address: Address) -> None:
        """Watches at another agent from now on, which may count generations differently."""
        self.address, self.generation_is_valid, self.retry_seconds = address, False, FIRST_RETRY_SECONDS
        self.watch_requested.set()
        self.watch_scope.cancel()

    def apply_update(self, data: dict[str, Any], scope: str = "") -> None:
        """Applies a decoded message of the agent."""
        rows = [
            (entry_of(row, self.names), parse_address(row["hostPort"]) if row.get("hostPort") else None)
            for row in data["instances"]
        ]
        self.generation = data["generation"]
        self.members.update(scope or ("full" if data.get("reset") else "delta"), rows)

    async def wait_for_first_list(self) -> None:
        """Waits until the agent has sent the current list, for ``FIRST_LIST_TIMEOUT_SECONDS`` at most.

        The router counts as informed of the agent's list from when the agent could be asked: a start that takes long
        must not end with an older list. In ask mode there is no wait.
        """
        if not self.ask_mode:
            with trio.move_on_after(FIRST_LIST_TIMEOUT_SECONDS):
                await self.list_received.wait()

    async def run(self) -> None:
        """Watches the list until cancelled."""
        while True:
            await self.watch_requested.wait()
            with trio.CancelScope() as self.watch_scope:
                await self._watch_once()
                if self.ask_mode:  # The decision module requests the next watch.
                    self.watch_requested = trio.Event()
                    self.list_changed("failed", [])
                else:
                    await trio.sleep(self.retry_seconds * (0.5 + self.random.random()))
                    self.retry_seconds = min(MAX_RETRY_SECONDS, 2 * self.retry_seconds)

    async def _watch_once(self) -> None:
        try:
            await self._watch()
        except Exception as error:  # Invalid data from discovery must end the watch, not the router.
            if not self.failing:  # An outage is logged once.
                logger.info(
                    "event=list_watch_failed generation={} error={!r}",
                    self.generation,
                    str(error) or type(error).__name__,
                )
            self.failing = True

    async def _watch(self) -> None:
        """Reads one watch until it fails or ends, which raises an exception in either case."""
        with closing(self.runtime.stream()) as stream:
            agent = AgentConnection(stream)
            with trio.fail_after(AGENT_TIMEOUT_SECONDS):
                await connect(stream, self.address)
                if not self.generation_is_valid:  # Changes since another agent's generation would omit removals.
                    await agent.send_request("/api/targets", self.address)
                    body = b"".join([data async for data in agent.body()])
                    self.apply_update(orjson.loads(body), "full")
                    agent.h11.start_next_cycle()
                    self.generation_is_valid = True
                    self.list_received.set()
                await agent.send_request(f"/api/targets?follow=1&since={self.generation}", self.address)
            if self.failing:
                logger.info("event=list_watch_resumed")
            self.failing = False
            rest = b""
            async for data in agent.body():
                *lines, rest = (rest + data).split(b"\n")
                if len(rest) > MAX_LINE_BYTES:
                    raise ValueError(f"a line of the watch exceeds {MAX_LINE_BYTES} bytes")
                for line in filter(bytes.strip, lines):
                    self.apply_update(orjson.loads(line))
                    self.retry_seconds = FIRST_RETRY_SECONDS
            raise ValueError("the agent ended the watch")


class AgentConnection:
    """A connection to a discovery agent. Bodies are read piece by piece, since that of a watch has no end."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.inbound, self.h11 = stream, RingBuffer(), h11.Connection(h11.CLIENT)

    async def send_request(self, target: str, address: Address) -> None:
        """Sends a GET request and reads the head of the response; raises ``ValueError`` if its status is not 200."""
        host = "{}:{}".format(*address)
        request = self.h11.send(h11.Request(method="GET", target=target, headers=[("Host", host)]))
        await send_all(self.stream, request + self.h11.send(h11.EndOfMessage()))
        head = await self._next_event()
        if not isinstance(head, h11.Response) or head.status_code != 200:
            raise ValueError(f"expected status 200 from discovery, got {head!r}")

    async def body(self) -> AsyncIterator[bytes]:
        """The pieces of a response body; raises ``trio.TooSlowError`` if the next does not come in time."""
        while True:
            with trio.fail_after(AGENT_TIMEOUT_SECONDS):
                event = await self._next_event()
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            await receive(self.stream, self.inbound)
            self.h11.receive_data(self.inbound.read())
        return event
