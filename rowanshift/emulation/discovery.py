"""Emulated discovery agent, which reports the list of servers to a router and can be silent, fail, send malformed
data or lose its state."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from rowanshift.emulation.http import HttpServer, deserted
from rowanshift.invariants.events import EventStream
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

KEEPALIVE_INTERVAL_SECONDS = 2.0
POLL_SECONDS = 0.25
HEALTH_BY_LIFECYCLE = {"active": "live", "leaving": "quiescing", "left": "dead"}
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

Row = dict[str, Any]


def server_row(
    server: str,
    address: Address,
    zone: str,
    machine_type: str,
    started_at: float = 0.0,
    lifecycle: str = "active",
    weight: float = 1.0,
    cell: int = 0,
) -> Row:
    """One entry of the server list; ``started_at`` is in Unix seconds, 0 for long ago."""
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


class DiscoveryAgent(HttpServer):
    """The discovery agent of one router. ``rows`` is the list of servers as the agent knows it."""

    def __init__(
        self,
        host: Runtime,
        address: Address,
        now: Callable[[], float],
        events: EventStream,
        router: str,
        rows: list[Row],
    ) -> None:
        super().__init__(host, address, now, events)
        self.router = router
        self.rows = {row["instanceId"]: row for row in rows}
        self.generation = 1
        self.first = 1  # oldest generation from which changes can be sent
        self.changes: list[tuple[int, Row]] = []  # generation, row
        self.changed = trio.Event()
        self.silent = False
        self.broken = False  # answers watches with malformed JSON
        self.failing = False  # ends each watch immediately

    def change(self, row: Row) -> None:
        """Apply a change of one server and notify the watches."""
        self.generation += 1
        if row["lifecycle"] == "left":
            self.rows.pop(row["instanceId"], None)
        else:
            self.rows[row["instanceId"]] = row
        self.changes = [*self.changes[-499:], (self.generation, row)]
        if len(self.changes) == 500:
            self.first = self.changes[0][0]
        self.wake()

    def lose_state(self) -> None:
        """Restart the generations at 1, as an agent that has lost its state does."""
        self.generation, self.first, self.changes = 1, 1, []
        self.wake()

    def wake(self) -> None:
        event, self.changed = self.changed, trio.Event()
        event.set()

    def full_list(self) -> bytes:
        return self._encode_update(True, [*self.rows.values()])

    def _encode_update(self, reset: bool, rows: list[Row]) -> bytes:
        return orjson.dumps({"generation": self.generation, "reset": reset, "instances": rows}) + b"\n"

    def _record_rows(self, connection: Connection, rows: list[Row]) -> None:
        for row in rows if not deserted(connection.stream) else ():
            self.events.publish("told", self.router, row["instanceId"], HEALTH_BY_LIFECYCLE[row["lifecycle"]])

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        path, _, query = message.target.decode("latin-1").partition("?")
        if path != "/api/targets":
            await self.reply(connection, 404)
            return True
        parameters = dict(part.partition("=")[::2] for part in query.split("&"))
        while self.silent:
            await self.host.pause(POLL_SECONDS)
        if "follow" not in parameters:
            self._record_rows(connection, [*self.rows.values()])
            await self.reply(connection, 200, self.full_list())
            return True
        await self._watch(connection, int(parameters.get("since") or 0))
        return False

    async def _watch(self, connection: Connection, since: int) -> None:
        await self.send(connection, WATCH_RESPONSE_HEAD)
        sent_generation = since
        if not self.first <= sent_generation <= self.generation:
            sent_generation = -1
        keepalive_at = self.now() + KEEPALIVE_INTERVAL_SECONDS
        while not self.failing:
            if self.silent:
                await self.host.pause(POLL_SECONDS)
                continue
            if self.broken:
                await self.send(connection, chunk(b'{"generation": 12, "instances": [{\n'))
                return
            if sent_generation > self.generation:  # the agent has lost its state
                sent_generation = -1
            if sent_generation != self.generation:
                rows = (
                    [*self.rows.values()]
                    if sent_generation < 0
                    else [row for at, row in self.changes if at > sent_generation]
                )
                data, sent_generation = self._encode_update(sent_generation < 0, rows), self.generation
                self._record_rows(connection, rows)
                await self.send(connection, chunk(data))
                keepalive_at = self.now() + KEEPALIVE_INTERVAL_SECONDS
            elif self.now() >= keepalive_at:
                await self.send(connection, chunk(b"\n"))
                keepalive_at = self.now() + KEEPALIVE_INTERVAL_SECONDS
            else:
                with trio.move_on_after(min(POLL_SECONDS * 2, keepalive_at - self.now())):
                    await self.changed.wait()
