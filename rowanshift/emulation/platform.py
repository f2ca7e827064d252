"""Emulated platform API that lists the servers: paged, delayed and rate-limited."""

from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

from rowanshift.emulation.http import HttpServer, other
from rowanshift.emulation.model_server import ModelServer, parse_target
from rowanshift.invariants.events import EventStream
from rowanshift.invariants.system import Fact, Listed, Listing
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

JSON = b"Content-Type: application/json"


class PlatformList(HttpServer):
    """Lists each change ``lag_ms`` after it was made; the model versions it lists are as old.

    Calls beyond ``rate_per_s`` are answered with 429."""

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
        super().__init__(host, address, clock, EventStream(clock))
        self.rate, self.lag, self.facts, self.page = rate_per_s, lag_ms / 1000, facts, page
        # visible from, instance id, server (None: removed), state
        self.changes: list[tuple[float, str, ModelServer | None, str]] = []
        self.recent_calls: deque[float] = deque()  # times of the calls within the last second
        self.down = False  # whether every call is answered with 503
        self.frozen_at: float | None = None  # if set, later changes are not listed

    # changes to the fleet ---------------------------------

    def add(self, server: ModelServer) -> None:
        self._add_change(server.instance_id, server, "up")

    def drain(self, server: ModelServer) -> None:
        """Drain a server and list it as draining."""
        server.drain()
        self._add_change(server.instance_id, server, "draining")

    def remove(self, instance_id: str) -> None:
        self._add_change(instance_id, None, "gone")

    def _add_change(self, instance_id: str, server: ModelServer | None, state: str) -> None:
        shown_at = self.now() + self.lag
        self.changes.append((shown_at, instance_id, server, state))
        self.facts.append(Listed(shown_at, instance_id, state))

    # responses --------------------------------------------

    def rows(self) -> list[dict[str, Any]]:
        """The entries that are visible now, in the order in which the instances were added."""
        now = self.now() if self.frozen_at is None else self.frozen_at
        visible: dict[str, tuple[ModelServer, str]] = {}
        for at, instance_id, server, state in self.changes:
            if at > now:
                continue
            if server is None:
                visible.pop(instance_id, None)
            else:
                visible[instance_id] = server, state
        return [server.row(instance_id, state, now - self.lag) for instance_id, (server, state) in visible.items()]

    async def handle(self, connection: Connection, message: Message, first_at: float, fresh: bool) -> bool:
        path, parameters = parse_target(message)
        status, body, now = 200, b"", self.now()
        while self.recent_calls and self.recent_calls[0] <= now - 1:
            self.recent_calls.popleft()
        if self.down:
            status = 503
        elif path != "/instances" or message.method != b"GET":
            status = 404
        elif len(self.recent_calls) >= self.rate:
            status = 429
        else:
            self.recent_calls.append(now)
            rows = [row for row in self.rows() if parameters.get("zone") in (None, row["zone"])]
            token = parameters.get("pageToken", "p-0").removeprefix("p-")
            start = int(token) if token.isdigit() else 0
            end = start + self.page
            next_token = f"p-{end}" if end < len(rows) else None
            body = orjson.dumps({"instances": rows[start:end], "nextToken": next_token})
        self.facts.append(Listing(now, other(connection.stream), status))
        await self.reply(connection, status, body, *([JSON] if body else ()))
        return True
