"""The agent that tells a router which servers there are: late, silent, broken, or starting over."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from rowanshift.emulation.http import HttpServer, deserted
from rowanshift.invariants.events import Events
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

EMPTY_LINE_EVERY = 2.0
TICK = 0.25
HEALTH = {"active": "live", "leaving": "quiescing", "left": "dead"}
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

Row = dict[str, Any]


def row_of(
    server: str,
    address: Address,
    zone: str,
    machine_type: str,
    started_at: float = 0.0,
    lifecycle: str = "active",
    weight: float = 1.0,
    cell: int = 0,
) -> Row:
    """One entry of the list; ``started_at`` in Unix seconds, 0 for long ago."""
    return {
        "instanceId": server,
        "hostPort": "{}:{}".format(*address),
        "zone": zone,
        "cell": cell,
        "machineType": machine_type,
        "lifecycle": lifecycle,
        "weight": weight,
        "startedAtMs": int(started_at * 1000),
    }


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Agent(HttpServer):
    """Beside one router. ``rows`` is the list as it has been told the agent."""

    def __init__(
        self, host: Runtime, address: Address, now: Callable[[], float], events: Events, router: str, rows: list[Row]
    ) -> None:
        super().__init__(host, address, now, events)
        self.router = router
        self.rows = {row["instanceId"]: row for row in rows}
        self.generation = 1
        self.first = 1  # what came before it is not known any more
        self.changes: list[tuple[int, Row]] = []
        self.changed = trio.Event()
        self.silent = False
        self.broken = False  # answers with what is no list
        self.failing = False  # ends each watch at once

    def change(self, row: Row) -> None:
        """Takes in one change of the fleet."""
        self.generation += 1
        if row["lifecycle"] == "left":
            self.rows.pop(row["instanceId"], None)
        else:
            self.rows[row["instanceId"]] = row
        self.changes = [*self.changes[-499:], (self.generation, row)]
        if len(self.changes) == 500:
            self.first = self.changes[0][0]
        self.wake()

    def start_over(self) -> None:
        """Counts generations anew, as one that has lost its state."""
        self.generation, self.first, self.changes = 1, 1, []
        self.wake()

    def wake(self) -> None:
        event, self.changed = self.changed, trio.Event()
        event.set()

    def whole(self) -> bytes:
        return self._object(True, [*self.rows.values()])

    def _object(self, reset: bool, rows: list[Row]) -> bytes:
        return orjson.dumps({"generation": self.generation, "reset": reset, "instances": rows}) + b"\n"

    def _tell(self, connection: Connection, rows: list[Row]) -> None:
        for row in rows if not deserted(connection.stream) else ():
            self.events.tell("told", self.router, row["instanceId"], HEALTH[row["lifecycle"]])

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        path, _, query = message.target.decode("latin-1").partition("?")
        if path != "/api/targets":
            await self.reply(connection, 404)
            return True
        asked = dict(part.partition("=")[::2] for part in query.split("&"))
        while self.silent:
            await self.host.pause(TICK)
        if "follow" not in asked:
            self._tell(connection, [*self.rows.values()])
            await self.reply(connection, 200, self.whole())
            return True
        await self._watch(connection, int(asked.get("since") or 0))
        return False

    async def _watch(self, connection: Connection, since: int) -> None:
        await self.send(connection, HEAD)
        sent = since
        if not self.first <= sent <= self.generation:
            sent = -1
        line_at = self.now() + EMPTY_LINE_EVERY
        while not self.failing:
            if self.silent:
                await self.host.pause(TICK)
                continue
            if self.broken:
                await self.send(connection, chunk(b'{"generation": 12, "instances": [{\n'))
                return
            if sent > self.generation:  # it has started over
                sent = -1
            if sent != self.generation:
                rows = [*self.rows.values()] if sent < 0 else [row for at, row in self.changes if at > sent]
                data, sent = self._object(sent < 0, rows), self.generation
                self._tell(connection, rows)
                await self.send(connection, chunk(data))
                line_at = self.now() + EMPTY_LINE_EVERY
            elif self.now() >= line_at:
                await self.send(connection, chunk(b"\n"))
                line_at = self.now() + EMPTY_LINE_EVERY
            else:
                with trio.move_on_after(min(TICK * 2, line_at - self.now())):
                    await self.changed.wait()
