"""The list of cache servers: as it was known, then a watch of its changes."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import closing
from typing import Any

import h11
import orjson
import trio
from loguru import logger

from rowanshift.cacheproxy.config import Address, Names, address_of, entry_of
from rowanshift.cacheproxy.membership import Membership
from rowanshift.cacheproxy.model import Entry
from rowanshift.transport.buffer import RingBuffer
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime
from rowanshift.transport.streams import Stream, connect, receive, send_all

SILENCE = 3.0  # an empty line comes every 2 s
LONGEST_LINE = 8 * 1024 * 1024
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 2.0  # seconds between watches, times a drawn 0.5 to 1.5
FIRST_LIST = 0.3  # seconds that a start waits for the list at most; discovery may be down


class Discovery:
    def __init__(
        self,
        address: Address,
        names: Names,
        ask: bool,
        random_: random.Random,
        members: Membership,
        list_changed: Callable[[str, list[Entry]], None],
        host: Runtime = SYSTEM_RUNTIME,
    ) -> None:
        self.address, self.names, self.ask, self.random = address, names, ask, random_
        self.members, self.list_changed, self.host = members, list_changed, host
        self.generation = 0
        self.wanted = trio.Event()  # in ask mode the module says when to watch
        # whether the agent that is asked counts generations as this list does; the list that a router starts
        # with may be old, and a watch that has nothing new to tell would not say so for 2 s
        self.numbered = ask
        self.current = trio.Event()  # the agent has told what it has
        self.watching = trio.CancelScope()
        self.pause = FIRST_PAUSE
        self.broken = False
        if not ask:
            self.wanted.set()

    def subscribe(self) -> None:
        self.wanted.set()

    def move(self, address: Address) -> None:
        """Follows another agent from now on, which may count generations in its own way."""
        self.address, self.numbered, self.pause = address, False, FIRST_PAUSE
        self.wanted.set()
        self.watching.cancel()

    def learn(self, data: dict[str, Any], scope: str = "") -> None:
        """Takes in one object of discovery's."""
        rows = [
            (entry_of(row, self.names), address_of(row["hostPort"]) if row.get("hostPort") else None)
            for row in data["instances"]
        ]
        self.generation = data["generation"]
        self.members.learn(scope or ("full" if data.get("reset") else "delta"), rows)

    async def first_list(self) -> None:
        """Waits until the agent has told the list as it is, which counts as told from when it could be asked:
        a start that takes long must not end with the list from before it. Not in ask mode, nor for long."""
        if not self.ask:
            with trio.move_on_after(FIRST_LIST):
                await self.current.wait()

    async def run(self) -> None:
        while True:
            await self.wanted.wait()
            with trio.CancelScope() as self.watching:
                await self._watch_once()
                if self.ask:  # the module chooses when to ask again
                    self.wanted = trio.Event()
                    self.list_changed("failed", [])
                else:
                    await trio.sleep(self.pause * (0.5 + self.random.random()))
                    self.pause = min(LONGEST_PAUSE, 2 * self.pause)

    async def _watch_once(self) -> None:
        try:
            await self._watch()
        except Exception as error:  # whatever discovery sends, it ends the watch and not the router
            if not self.broken:  # one line an outage
                logger.info(
                    "the watch of the list broke after generation {}: {}",
                    self.generation,
                    str(error) or type(error).__name__,
                )
            self.broken = True

    async def _watch(self) -> None:
        """Follows one watch to its end, which is always an error."""
        with closing(self.host.stream()) as stream:
            agent = Agent(stream)
            with trio.fail_after(SILENCE):
                await connect(stream, self.address)
                if not self.numbered:  # changes since another's generation would leave out what is gone
                    await agent.ask("/api/targets", self.address)
                    whole = b"".join([data async for data in agent.data()])
                    self.learn(orjson.loads(whole), "full")
                    agent.h11.start_next_cycle()
                    self.numbered = True
                    self.current.set()
                await agent.ask(f"/api/targets?follow=1&since={self.generation}", self.address)
            if self.broken:
                logger.info("the list is watched again")
            self.broken = False
            rest = b""
            async for data in agent.data():
                *lines, rest = (rest + data).split(b"\n")
                if len(rest) > LONGEST_LINE:
                    raise ValueError("a line of the list has no end")
                for line in filter(bytes.strip, lines):
                    self.learn(orjson.loads(line))
                    self.pause = FIRST_PAUSE
            raise ValueError("the watch ended")


class Agent:
    """A connection to discovery, whose answers are read as they come: one may have no end."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.inbound, self.h11 = stream, RingBuffer(), h11.Connection(h11.CLIENT)

    async def ask(self, target: str, address: Address) -> None:
        host = "{}:{}".format(*address)
        request = self.h11.send(h11.Request(method="GET", target=target, headers=[("Host", host)]))
        await send_all(self.stream, request + self.h11.send(h11.EndOfMessage()))
        head = await self._event()
        if not isinstance(head, h11.Response) or head.status_code != 200:
            raise ValueError(f"discovery answered {head!r}")

    async def data(self) -> AsyncIterator[bytes]:
        """The pieces of an answer's body, each within the time that an agent may be silent for."""
        while True:
            with trio.fail_after(SILENCE):
                event = await self._event()
            if not isinstance(event, h11.Data):
                return
            yield bytes(event.data)

    async def _event(self) -> h11.Event | type[h11.PAUSED]:
        while (event := self.h11.next_event()) is h11.NEED_DATA:
            await receive(self.stream, self.inbound)
            self.h11.receive_data(self.inbound.read())
        return event
