"""Relays a server's successful response to the client as it arrives; an event stream in units of complete events."""

import re
from collections.abc import Awaitable, Callable

import trio

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.forwarded_request import ForwardedRequest
from rowanshift.transport.flow import LAST_CHUNK
from rowanshift.transport.http_connection import Message

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


async def relay_response(
    forwarded: ForwardedRequest, endpoint: Endpoint, response: Message, read_body: Callable[[], Awaitable[bytes]]
) -> None:
    """Relay a server's response whose head has been read.

    ``read_body`` returns the next bytes of the body, b"" at its end. An event is relayed once it is complete, so that
    an interrupted stream can be resumed after it. If ``read_body`` raises, an incomplete event is dropped.
    Raises ``ClientDisconnected`` if the client has disconnected.
    """
    writer = forwarded.writer
    streaming = forwarded.route.is_streaming
    length = response.length if not streaming else None
    pending = b""
    while data := await read_body():
        endpoint.on_bytes_received(trio.current_time())
        pending += data
        end = end_of_events(pending) if streaming else len(pending)
        if not end:
            continue
        events, pending = pending[:end], pending[end:]
        if streaming and (ids := EVENT_ID.findall(events)):
            writer.last_event_id = ids[-1]
        head = b"" if writer.started else writer.head(response, length)
        await writer.send(head + writer.frame(events))
    endpoint.on_bytes_received(trio.current_time())
    head = b"" if writer.started else writer.head(response, length)
    rest = writer.frame(pending) if pending else b""
    await writer.send(head + rest + (LAST_CHUNK if writer.chunked else b""))
    writer.connection.reset_on_close = False


def end_of_events(data: bytes) -> int:
    """The offset of the end of the last complete event in ``data``; 0 if none is complete."""
    end = 0
    for match in EVENT_END.finditer(data):
        end = match.end()
    return end
