"""The floor of ``proxy.py``: a relay on trio and httptools that decides nothing, one connection for one.

python benchmarks/relay.py PORT TARGET_PORT
"""

import socket
import sys
from contextlib import suppress

import httptools
import trio


class Whole:
    """Tells when a message is whole."""

    def __init__(self) -> None:
        self.done = False

    def on_message_complete(self) -> None:
        self.done = True


async def carry(source: trio.SocketStream, target: trio.SocketStream, parser: type) -> bool:
    """Reads one message from here and writes it there; False at the end."""
    whole, pieces = Whole(), []
    reader = parser(whole)
    while not whole.done:
        data = await source.receive_some(65536)
        if not data:
            return False
        reader.feed_data(data)
        pieces.append(data)
    await target.send_all(b"".join(pieces))
    return True


async def main(port: int, target: int) -> None:
    async def serve(client: trio.SocketStream) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(trio.BrokenResourceError):
            async with client, await trio.open_tcp_stream("127.0.0.1", target) as server:
                while await carry(client, server, httptools.HttpRequestParser):
                    await carry(server, client, httptools.HttpResponseParser)

    await trio.serve_tcp(serve, port, host="127.0.0.1")


if __name__ == "__main__":
    trio.run(main, int(sys.argv[1]), int(sys.argv[2]))
