"""The baseline of ``proxy.py``: a relay on trio and httptools without routing, with one server connection per client.

python benchmarks/relay.py PORT TARGET_PORT
"""

import socket
import sys
from contextlib import suppress

import httptools
import trio


class MessageEnd:
    """Records the end of an HTTP message."""

    def __init__(self) -> None:
        self.done = False

    def on_message_complete(self) -> None:
        self.done = True


async def relay_message(source: trio.SocketStream, target: trio.SocketStream, parser: type) -> bool:
    """Relays one message; returns False at the end of the source."""
    end, chunks = MessageEnd(), []
    reader = parser(end)
    while not end.done:
        data = await source.receive_some(65536)
        if not data:
            return False
        reader.feed_data(data)
        chunks.append(data)
    await target.send_all(b"".join(chunks))
    return True


async def main(port: int, target: int) -> None:
    async def serve(client: trio.SocketStream) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(trio.BrokenResourceError):
            async with client, await trio.open_tcp_stream("127.0.0.1", target) as server:
                while await relay_message(client, server, httptools.HttpRequestParser):
                    await relay_message(server, client, httptools.HttpResponseParser)

    await trio.serve_tcp(serve, port, host="127.0.0.1")


if __name__ == "__main__":
    trio.run(main, int(sys.argv[1]), int(sys.argv[2]))
