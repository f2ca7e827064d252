"""Sends a call to a core machine, and on to the one that it redirects to."""

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


async def follow_redirects(runtime: Runtime, memory: MemoryBudget, address: Address, written: HttpCall) -> Message:
    """The response of a machine, or of the one that its redirects lead to, at most ``MAX_REDIRECTS`` of them.

    Raises ``CallFailed`` where a machine doesn't answer in time.
    """
    for redirects in range(MAX_REDIRECTS + 1):
        response = await call(
            runtime,
            memory,
            address,
            written.method,
            written.target,
            written.body,
            timeout_seconds=written.timeout_seconds,
        )
        if response.status != REDIRECT or redirects == MAX_REDIRECTS:
            break
        address = _location(response)
    return response


def _location(response: Message) -> Address:
    """The address that a redirect names. Raises ``CallFailed`` where it names none."""
    location = dict(response.fields).get(b"location", b"").decode("latin-1")
    parts = urlsplit(location)
    if parts.hostname is None or parts.port is None:
        raise CallFailed(f"a redirect to {location!r}", False)
    return parts.hostname, parts.port
