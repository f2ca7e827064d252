"""A minimal HTTP client of the coordination service, independent of the client library."""

from __future__ import annotations

import http.client
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import orjson

CALL_TIMEOUT_SECONDS = 5.0
REPEAT_TIMEOUT_SECONDS = 20.0  # for all attempts of one call together
RETRY_SECONDS = 0.05
MAX_REDIRECTS = 2
TRANSIENT_STATUSES = (429, 500, 502, 503, 504)  # the call is repeated at another machine


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a call: its status and its JSON body."""

    status: int
    body: Any = None


class CoordinationClient:
    """Sends each call to one core machine after another until a response is conclusive."""

    def __init__(self, addresses: list[str]) -> None:
        """``addresses`` are those of the core machines' API, each as IP:PORT."""
        self.addresses = addresses

    def call(self, method: str, target: str, body: dict[str, Any] | None = None) -> Reply:
        """The first conclusive response to a call; redirects are followed."""
        deadline = time.monotonic() + REPEAT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            for address in self.addresses:
                reply = self._follow(address, method, target, body)
                if reply is not None and reply.status not in TRANSIENT_STATUSES:
                    return reply
            time.sleep(RETRY_SECONDS)
        raise TimeoutError(f"no conclusive response to {method} {target} within {REPEAT_TIMEOUT_SECONDS:g} s")

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
        """One response of one machine, and the ``Location`` if it is a redirect."""
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
        try:
            payload = None if body is None else orjson.dumps(body)
            connection.request(method, target, payload, {"Content-Type": "application/json"})
            response = connection.getresponse()
            data = response.read()
            return Reply(response.status, orjson.loads(data) if data else None), response.getheader("Location", "")
        finally:
            connection.close()
