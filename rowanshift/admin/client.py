"""Client for the control addresses of a running system, with redirects to the primary and retries.

Every request may be repeated: reads have no effect, and a change of the configuration names the revision that it is
based on.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import TypeVar

import orjson
import trio

from rowanshift.admin.errors import NoAnswer, RequestRefused, UnusableInput
from rowanshift.process.node_settings import NodeSettingsError, parse_address
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.http_connection import Fields, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime
from rowanshift.transport.streams import Address

Result = TypeVar("Result")

CALL_TIMEOUT_SECONDS = 3.5  # the control plane may take 2.5 s for a change of the configuration
CALL_TIMEOUT_SECONDS_PER_BODY_BYTE = 1e-6
RESPONSE_MEMORY_MIB = 512
MAX_REDIRECTS = 2
ATTEMPT_ROUNDS = 3  # attempts per address
ROUND_PAUSE_SECONDS = 0.3
MAX_REASON_CHARACTERS = 400
TRANSIENT_CLIENT_ERRORS = (408, 429)  # statuses below 500 after which the request is repeated
NO_CONFIGURATION_REVISION = 0


@dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """The configuration in force as it was put, or revision 0 and an empty body if there is none yet."""

    revision: int
    body: bytes


def parse_control_addresses(text: str) -> list[Address]:
    """Parse ``IP:PORT[,IP:PORT...]``. Raises ``UnusableInput``."""
    try:
        return [parse_address(part.strip(), "--at") for part in text.split(",")]
    except NodeSettingsError as error:
        raise UnusableInput(str(error)) from error


def error_reason(response: Message) -> str:
    """The reason in an unsuccessful response, truncated to ``MAX_REASON_CHARACTERS``."""
    with suppress(ValueError, KeyError, TypeError):
        return str(orjson.loads(response.body)["error"])[:MAX_REASON_CHARACTERS]
    return response.body.decode("latin-1")[:MAX_REASON_CHARACTERS].strip() or "no reason given"


class ControlClient:
    """Sends requests to the control addresses of a system."""

    def __init__(self, addresses: Sequence[Address], runtime: Runtime = SYSTEM_RUNTIME) -> None:
        self.addresses = list(addresses)
        self.runtime = runtime
        self.memory = MemoryBudget(RESPONSE_MEMORY_MIB)

    async def call(
        self, address: Address, method: bytes, target: bytes, body: bytes = b"", fields: Fields | None = None
    ) -> Message:
        """The response of one address, after following redirects. Raises ``CallFailed``."""
        timeout_seconds = CALL_TIMEOUT_SECONDS + CALL_TIMEOUT_SECONDS_PER_BODY_BYTE * len(body)
        for _ in range(MAX_REDIRECTS + 1):
            response = await call(self.runtime, self.memory, address, method, target, body, fields, timeout_seconds)
            if response.status != 307:
                return response
            address, target = redirect_location(response)
        raise CallFailed(f"more than {MAX_REDIRECTS} redirects", True)

    async def call_any(self, method: bytes, target: bytes, body: bytes = b"", fields: Fields | None = None) -> Message:
        """The first conclusive response of any address, which are tried in order for several rounds.

        Server errors, 408 and 429 are not conclusive. Raises ``NoAnswer``.
        """
        reason = ""
        request_sent = False
        for round_number in range(ATTEMPT_ROUNDS):
            if round_number > 0:
                await self.runtime.pause(ROUND_PAUSE_SECONDS)
            for address in self.addresses:
                try:
                    response = await self.call(address, method, target, body, fields)
                except CallFailed as error:
                    request_sent = request_sent or error.sent
                    failure = str(error)
                else:
                    if is_conclusive(response):
                        return response
                    request_sent = True
                    failure = f"{response.status}: {error_reason(response)}"
                reason = f"{address[0]}:{address[1]}: {failure}"
        raise NoAnswer(reason, request_sent)

    async def get_configuration(self) -> CurrentConfiguration:
        """The configuration in force. Raises ``RequestRefused`` and ``NoAnswer``."""
        response = await self.call_any(b"GET", b"/config")
        if response.status == 404:
            return CurrentConfiguration(NO_CONFIGURATION_REVISION, b"")
        if response.status != 200:
            raise RequestRefused(response.status, error_reason(response))
        try:
            return CurrentConfiguration(int(orjson.loads(response.body)["revision"]), response.body)
        except (ValueError, KeyError, TypeError) as error:
            raise NoAnswer(f"GET /config: the response is not a configuration: {error!r}") from error


def is_conclusive(response: Message) -> bool:
    """Whether the response is final, so that repeating the request would not change it."""
    return response.status < 500 and response.status not in TRANSIENT_CLIENT_ERRORS


def redirect_location(response: Message) -> tuple[Address, bytes]:
    """The address and the target in a redirect's ``Location``. Raises ``CallFailed``."""
    location = dict(response.fields).get(b"location", b"").removeprefix(b"http://")
    authority, slash, path = location.partition(b"/")
    try:
        return parse_address(authority.decode("latin-1"), "Location"), slash + path
    except NodeSettingsError as error:
        raise CallFailed(str(error), True) from error


def run_with_client(control_addresses: str, operation: Callable[[ControlClient], Awaitable[Result]]) -> Result:
    """Run ``operation`` with a client for the addresses in ``IP:PORT[,IP:PORT...]`` and return its result."""
    return trio.run(operation, ControlClient(parse_control_addresses(control_addresses)))
