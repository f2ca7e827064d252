"""An application that calls the core machines for locks, numbers and keys, over plain HTTP."""

from __future__ import annotations

import http.client
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import orjson

CALL_SECONDS = 5.0  # that a call may take
PATIENCE_SECONDS = 20.0  # until a call has an answer that settles it
RETRY_SECONDS = 0.05
MAX_REDIRECTS = 2
UNSETTLED = (429, 500, 502, 503, 504)  # the caller goes on to another machine


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a call: its status and its JSON body."""

    status: int
    body: Any = None


class CoordinationClient:
    """Calls one core machine after another until one of them settles the call."""

    def __init__(self, addresses: list[str]) -> None:
        """``addresses``: IP:PORT of each core machine's API."""
        self.addresses = addresses

    def call(self, method: str, target: str, body: dict[str, Any] | None = None) -> Reply:
        """The first answer that settles the call; redirects are followed."""
        until = time.monotonic() + PATIENCE_SECONDS
        while time.monotonic() < until:
            for address in self.addresses:
                reply = self._follow(address, method, target, body)
                if reply is not None and reply.status not in UNSETTLED:
                    return reply
            time.sleep(RETRY_SECONDS)
        raise TimeoutError(f"{method} {target} was not settled in {PATIENCE_SECONDS:g} s")

    def _follow(self, address: str, method: str, target: str, body: dict[str, Any] | None) -> Reply | None:
        for _ in range(MAX_REDIRECTS + 1):
            try:
                reply, location = self.ask(address, method, target, body)
            except OSError:
                return None
            if reply.status != 307:
                return reply
            parts = urlsplit(location)
            address = parts.netloc
        return None

    @staticmethod
    def ask(address: str, method: str, target: str, body: dict[str, Any] | None = None) -> tuple[Reply, str]:
        """One answer of one machine, and the location that it redirects to."""
        connection = http.client.HTTPConnection(address, timeout=CALL_SECONDS)
        try:
            payload = None if body is None else orjson.dumps(body)
            connection.request(method, target, payload, {"Content-Type": "application/json"})
            response = connection.getresponse()
            data = response.read()
            return Reply(response.status, orjson.loads(data) if data else None), response.getheader("Location", "")
        finally:
            connection.close()
