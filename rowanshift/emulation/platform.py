"""The platform's list of servers: paged, late, and with a bound on calls."""

from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

from rowanshift.emulation.http import HttpServer, other
from rowanshift.emulation.model_server import ModelServer, query_of
from rowanshift.invariants.events import Events
from rowanshift.invariants.system import Fact, Listed, Listing
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

JSON = b"Content-Type: application/json"


class PlatformList(HttpServer):
    """Shows each change ``lag_ms`` after it was made, and the servers' versions as old as that."""

    def __init__(
        self,
        host: Runtime,
        address: Address,
        rate_per_s: float,
        lag_ms: float,
        clock: Callable[[], float],
        facts: list[Fact],
        page: int = 50,
    ) -> None:
        super().__init__(host, address, clock, Events(clock))
        self.rate, self.lag, self.facts, self.page = rate_per_s, lag_ms / 1000, facts, page
        self.changes: list[tuple[float, str, ModelServer | None, str]] = []  # shown at, id, server, state
        self.calls: deque[float] = deque()  # of the last second
        self.down = False  # answers 503
        self.frozen_at: float | None = None  # shows nothing newer than this

    # what happens to the fleet ----------------------------

    def add(self, server: ModelServer) -> None:
        self._change(server.instance_id, server, "up")

    def drain(self, server: ModelServer) -> None:
        """Shows a server as draining, and tells the server."""
        server.drain()
        self._change(server.instance_id, server, "draining")

    def remove(self, instance: str) -> None:
        self._change(instance, None, "gone")

    def _change(self, instance: str, server: ModelServer | None, state: str) -> None:
        shown_at = self.now() + self.lag
        self.changes.append((shown_at, instance, server, state))
        self.facts.append(Listed(shown_at, instance, state))

    # what it tells ----------------------------------------

    def rows(self) -> list[dict[str, Any]]:
        """The list as it is shown now, the longest-known first."""
        now = self.now() if self.frozen_at is None else self.frozen_at
        shown: dict[str, tuple[ModelServer, str]] = {}
        for at, instance, server, state in self.changes:
            if at > now:
                continue
            if server is None:
                shown.pop(instance, None)
            else:
                shown[instance] = server, state
        return [server.row(instance, state, now - self.lag) for instance, (server, state) in shown.items()]

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        path, asked = query_of(message)
        status, body, now = 200, b"", self.now()
        while self.calls and self.calls[0] <= now - 1:
            self.calls.popleft()
        if self.down:
            status = 503
        elif path != "/instances" or message.method != b"GET":
            status = 404
        elif len(self.calls) >= self.rate:
            status = 429
        else:
            self.calls.append(now)
            rows = [row for row in self.rows() if asked.get("zone") in (None, row["zone"])]
            token = asked.get("pageToken", "p-0").removeprefix("p-")
            start = int(token) if token.isdigit() else 0
            end = start + self.page
            more = f"p-{end}" if end < len(rows) else None
            body = orjson.dumps({"instances": rows[start:end], "nextToken": more})
        self.facts.append(Listing(now, other(connection.stream), status))
        await self.reply(connection, status, body, *([JSON] if body else ()))
        return True
