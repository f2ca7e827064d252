"""Calls of the primary to model servers: their reports, and the orders to load a model version."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from loguru import logger

from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

REPORT_TIMEOUT_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a model server reports of itself."""

    data: Mapping[str, Any]

    @property
    def active_streams(self) -> Any:
        """Streams that run there."""
        return self.data.get("active", 0)

    @property
    def has_queue(self) -> bool:
        """Whether requests wait there."""
        return bool(self.data.get("queued"))

    @property
    def is_loading(self) -> bool:
        """Whether an order is under way there."""
        return bool(self.data.get("busy"))

    def versions(self) -> dict[str, int]:
        """The version of each model; empty, with a line in the log, where the report can't be read."""
        try:
            return {str(model["name"]): int(model["revision"]) for model in self.data["models"]}
        except (KeyError, TypeError, ValueError) as error:
            logger.info("event=bad_report why={!r}", repr(error))
            return {}


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load a version of a model, under the fencing token of the lease holder that gives it."""

    model: str
    version: int
    lease_holder: str
    fencing_token: int

    def as_json(self) -> bytes:
        """The order's body."""
        return orjson.dumps(
            {
                "operation": "revision",
                "model": self.model,
                "revision": self.version,
                "method": "retain",
                "leaseHolder": self.lease_holder,
                "fenceToken": self.fencing_token,
            }
        )


class ModelServerClient:
    """Calls to model servers; each names the incarnation that it is meant for."""

    def __init__(self, runtime: Runtime, memory: MemoryBudget) -> None:
        self.runtime = runtime
        self.memory = memory

    async def report(self, server: RegisteredServer) -> ServerReport | None:
        """What a server reports of itself; None, with a line in the log, if it gives no report that can be read."""
        try:
            answer = await call(
                self.runtime,
                self.memory,
                address_of(server),
                b"GET",
                b"/report",
                b"",
                incarnation_field(server),
                REPORT_TIMEOUT_SECONDS,
            )
            data = orjson.loads(answer.body)
        except (CallFailed, ValueError) as error:
            logger.info("event=report_failed server={} why={!r}", server.id, str(error))
            return None
        return ServerReport(data) if answer.status == 200 and isinstance(data, dict) else None

    async def order(self, server: RegisteredServer, order: LoadOrder, timeout: float) -> int:
        """The status with which a server answers an order within ``timeout`` seconds.

        0 where the answer was lost: the order may be under way there. Raises ``CallFailed`` where it was not sent.
        """
        try:
            answer = await call(
                self.runtime,
                self.memory,
                address_of(server),
                b"POST",
                b"/order",
                order.as_json(),
                incarnation_field(server),
                timeout,
            )
        except CallFailed as error:
            if not error.sent:
                raise
            return 0
        return answer.status


def address_of(server: RegisteredServer) -> Address:
    """IP and port of a server. Raises ``CallFailed`` where its address in the list is no ``IP:PORT``."""
    ip, _, port = server.address.rpartition(":")
    if not (ip and port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
        raise CallFailed(f"no IP:PORT in the list: {server.address[:64]!r}", False)
    return ip, int(port)


def incarnation_field(server: RegisteredServer) -> list[tuple[bytes, bytes]]:
    """The header field by which another incarnation at the same address refuses a call."""
    return [(b"Expect-Instance", server.id.encode())]
