"""Sends a call to a core machine and follows its redirects."""

from __future__ import annotations

from urllib.parse import urlsplit

from rowanshift.coordination.http_calls import HttpCall
from rowanshift.transport.call_client import CallFailed, call
from rowanshift.transport.http_connection import Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

MAX_REDIRECTS = 2
REDIRECT = 307


async def follow_redirects(runtime: Runtime, memory: MemoryBudget, address: Address, request: HttpCall) -> Message:
    """The response to a call after at most ``MAX_REDIRECTS`` redirects, which may be a further redirect.

    Raises ``CallFailed`` if a machine does not answer in time or a redirect has no usable address.
    """
    for redirects in range(MAX_REDIRECTS + 1):
        response = await call(
            runtime,
            memory,
            address,
            request.method,
            request.target,
            request.body,
            timeout_seconds=request.timeout_seconds,
        )
        if response.status != REDIRECT or redirects == MAX_REDIRECTS:
            break
        address = _redirect_address(response)
    return response


def _redirect_address(response: Message) -> Address:
    """The address in a redirect's ``Location``. Raises ``CallFailed`` if there is none."""
    location = dict(response.fields).get(b"location", b"").decode("latin-1")
    parts = urlsplit(location)
    if parts.hostname is None or parts.port is None:
        raise CallFailed(f"redirect: a Location with host and port expected, not {location!r}", False)
    return parts.hostname, parts.port
