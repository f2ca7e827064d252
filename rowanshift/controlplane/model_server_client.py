"""Client of the primary for model servers: requests their reports and orders them to load model versions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from loguru import logger

from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.process.addresses import EXPECTED_ADDRESS, parse_ip_port
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

REPORT_TIMEOUT_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class ServerReport:
    """The report of a model server about its own state."""

    fields: Mapping[str, Any]

    @property
    def active_streams(self) -> Any:
        """The number of active streams."""
        return self.fields.get("active", 0)

    @property
    def has_queue(self) -> bool:
        """Whether requests are queued."""
        return bool(self.fields.get("queued"))

    @property
    def is_loading(self) -> bool:
        """Whether the server is executing an order."""
        return bool(self.fields.get("busy"))

    def versions(self) -> dict[str, int]:
        """Return the version of each model; if the report is invalid, log it and return an empty dictionary."""
        try:
            return {str(model["name"]): int(model["revision"]) for model in self.fields["models"]}
        except (KeyError, TypeError, ValueError) as error:
            logger.info("event=bad_report why={!r}", repr(error))
            return {}


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load a version of a model, with the fencing token of the lease holder that sends it."""

    model: str
    version: int
    lease_holder: str
    fencing_token: int

    def as_json(self) -> bytes:
        """Return the request body of the order."""
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
    """Calls model servers; each call is addressed to one incarnation of a server."""

    def __init__(self, runtime: Runtime, memory: MemoryBudget) -> None:
        self.runtime = runtime
        self.memory = memory

    async def report(self, server: RegisteredServer) -> ServerReport | None:
        """Request a server's report; if the call fails or the report is not valid JSON, log it and return None."""
        try:
            response = await call(
                self.runtime,
                self.memory,
                address_of(server),
                b"GET",
                b"/report",
                b"",
                incarnation_field(server),
                REPORT_TIMEOUT_SECONDS,
            )
            fields = orjson.loads(response.body)
        except (CallFailed, ValueError) as error:
            logger.info("event=report_failed server={} why={!r}", server.id, str(error))
            return None
        return ServerReport(fields) if response.status == 200 and isinstance(fields, dict) else None

    async def order(self, server: RegisteredServer, order: LoadOrder, timeout: float) -> int:
        """Send an order and return the status of the response, waiting at most ``timeout`` seconds.

        Returns 0 if the response was lost: the server may be executing the order. Raises ``CallFailed`` if the order
        was not sent.
        """
        try:
            response = await call(
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
        return response.status


def address_of(server: RegisteredServer) -> Address:
    """Return the IP and port of a server. Raises ``CallFailed`` if its listed address is not ``IP:PORT``."""
    address = parse_ip_port(server.address)
    if address is None:
        raise CallFailed(
            f"address in the endpoint list: expected {EXPECTED_ADDRESS}, found {server.address[:64]!r}", False
        )
    return address


def incarnation_field(server: RegisteredServer) -> list[tuple[bytes, bytes]]:
    """Return the header field that makes another incarnation at the same address reject the call."""
    return [(b"Expect-Instance", server.id.encode())]
