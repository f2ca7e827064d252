"""Long request and response bodies, in all framings of HTTP/1.1 and split into pieces of any size."""

import contextlib
import socket
from functools import partial

import httptools
import pytest
import trio

from rowanshift.cacheproxy.clients import Clients
from rowanshift.cacheproxy.clock import Clock
from rowanshift.cacheproxy.exchange import Reply
from rowanshift.cacheproxy.model import Verdict
from rowanshift.cacheproxy.servers import Servers
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.flow import HIGH_WATER_BYTES, Flow
from rowanshift.transport.http_connection import WHOLE, Connection, MalformedMessage
from rowanshift.transport.memory_budget import MemoryBudget
from tests.cacheproxy.test_network import FIELDS, StubDriver, clients_of, pair

LONG = bytes(range(256)) * 1200  # over 64 KiB


def encode_chunks(body: bytes, size: int, extension: bytes = b"", trailers: bytes = b"") -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailers + b"\r\n"


OK = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "length": OK + b"Content-Length: 300\r\n\r\n" + LONG[:300],
    "blanks": OK + b"content-length:  300 \t\r\n\r\n" + LONG[:300],
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG[:300], 100),
    "extensions": OK + b"Transfer-Encoding: Chunked\r\n\r\n" + encode_chunks(LONG[:300], 77, b';a=b;c="d"'),
    "trailers": OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG[:300], 99, b"", b"X-T: 1\r\n"),
    "close": OK + b"X: y\r\n\r\n" + LONG[:300],
    "old": b"HTTP/1.0 200 OK\r\n\r\n" + LONG[:300],
    "hints": b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + OK + b"Content-Length: 300\r\n\r\n" + LONG[:300],
    "one byte chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG[:300], 1),
    "204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "304": b"HTTP/1.1 304 Not Modified\r\nContent-Length: 300\r\n\r\n",
}


def read_response(sent: bytes, size: int, parser=httptools.HttpResponseParser) -> tuple[bytes, bool]:
    """The body of a response received in pieces and then the end of input, and whether the connection is kept."""
    local, remote = pair()
    with local, remote:
        connection = Connection(local, parser, MemoryBudget(64), flows=True)
        for at in range(0, len(sent), size):
            connection._parse(sent[at : at + size])
        remote.shutdown(socket.SHUT_WR)
        message = connection.next()
        if message is None:
            message, _ = connection.read_on()
        body = message.body
        if message.flow is not None:
            if not message.flow.ended:
                connection.read_body()
            assert message.flow.ended
            body += b"".join(message.flow.pieces)
        return body, message.keep


@pytest.mark.parametrize("size", [1, 7, 10**9])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_all_framings_of_a_response_in_pieces_of_any_size(framing, size):
    body, keep = read_response(FRAMINGS[framing], size)
    assert body == (b"" if framing in ("204", "304") else LONG[:300])
    assert keep == (framing not in ("close", "old"))


@pytest.mark.parametrize("size", [1009, 10**9])
@pytest.mark.parametrize("head", [b"Content-Length: %d\r\n" % len(LONG), b"Transfer-Encoding: chunked\r\n", b""])
def test_a_long_response_is_streamed_in_all_framings(head, size):
    sent = OK + head + b"\r\n" + (encode_chunks(LONG, 5000) if b"chunked" in head else LONG)
    assert read_response(sent, size) == (LONG, head != b"")


# flows


def test_a_flow_applies_backpressure_and_counts_its_memory():
    async def main():
        memory = MemoryBudget(96)
        initial, flow, popped = memory.available, Flow(memory), []

        async def source():
            for _ in range(100):
                while flow.is_full():
                    await flow.wait_until_writable()
                flow.put(bytes(32 * 1024))
            flow.end()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(source)
            await trio.sleep(0.01)
            peak = flow.buffered
            while not flow.is_drained():
                await flow.wait_until_readable()
                if flow.pieces:
                    popped.append(len(flow.pop()))
        return peak, initial - memory.minimum_available, sum(popped), memory.available == initial

    peak, held, popped, released = trio.run(main)
    assert (
        HIGH_WATER_BYTES <= peak <= HIGH_WATER_BYTES + 32 * 1024
        and held == peak
        and popped == 100 * 32 * 1024
        and released
    )


def test_many_flows_stay_within_the_memory_for_bodies():
    # Guards against running out of memory when more long responses are in progress than fit into it.
    async def main():
        memory = MemoryBudget(0)  # 4 MB
        flows = [Flow(memory) for _ in range(100)]
        for _ in range(1000):
            for flow in flows:
                if not flow.is_full():
                    flow.put(bytes(32 * 1024))
        return -memory.minimum_available

    assert trio.run(main) <= 0


@pytest.mark.parametrize("ending", ["cancel", "abort", "end"])
def test_each_side_of_a_flow_learns_how_it_ended(ending):
    async def main():
        memory = MemoryBudget(96)
        initial, flow = memory.available, Flow(memory)
        flow.put(b"abc")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep, 0)
            getattr(flow, ending)()
            with trio.fail_after(1):
                await flow.wait_until_readable()
                await flow.wait_until_writable()
        if ending == "cancel":
            flow.put(b"more")
        return flow.ended, flow.aborted, flow.cancelled, [*flow.pieces], memory.available == initial

    assert (
        trio.run(main)
        == {
            "cancel": (False, False, True, [], True),
            "abort": (False, True, False, [b"abc"], False),
            "end": (True, False, False, [b"abc"], False),
        }[ending]
    )


# responses


class ProxyWithoutRouter:
    """The proxy's client side and server side without a router: each request is handed off to one server once."""

    def __init__(self, nursery: trio.Nursery, memory: MemoryBudget | None = None) -> None:
        self.clock, self.memory = Clock(), memory or MemoryBudget(96)
        budget = DescriptorBudget(100)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.servers = Servers(self.clock, 0.5, 60.0, 0.2, budget, self.memory, nursery)
        self.servers.set_address("s", self.listener.getsockname())
        self.servers.on_result, self.servers.on_body_consumed = (
            self.on_result,
            lambda hand_off: self.events.append("consumed"),
        )
        names = clients_of(None).names
        self.clients = Clients(names, self, self.clock, budget, self.memory)
        self.events, self.nursery, self.abandoned_ids = [], nursery, []

    def submit(self, exchange) -> None:
        from rowanshift.cacheproxy.exchange import HandOff

        self.exchange = exchange
        self.servers.hand_off(HandOff(exchange, 0, "s", self.clock.now(), exchange.expiry))

    def abandon(self, exchange) -> None:
        self.abandoned_ids.append(exchange.id)
        exchange.end(None)

    def on_result(self, hand_off, verdict, remark, reply) -> None:
        self.events.append(verdict)
        hand_off.exchange.end(reply if verdict is Verdict.FINISHED else Reply(502))

    async def connect(self) -> tuple[trio.SocketStream, "partial"]:
        """A client's connection, and a function that accepts and returns the server's."""
        local, remote = pair()
        self.nursery.start_soon(self.clients.serve, local)
        remote.settimeout(None)

        async def accept() -> trio.SocketStream:
            sock = await trio.to_thread.run_sync(self.listener.accept)
            return trio.SocketStream(trio.socket.from_stdlib_socket(sock[0]))

        return trio.SocketStream(trio.socket.from_stdlib_socket(remote)), accept


def run_proxy(script, memory: MemoryBudget | None = None):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                proxy = ProxyWithoutRouter(nursery, memory)
                with proxy.listener:
                    got = await script(proxy)
                nursery.cancel_scope.cancel()
        return got

    return trio.run(main)


def request(method: bytes = b"GET", *extra_lines: bytes, version: bytes = b"1.1", remaining_ms: int = 900) -> bytes:
    fields = FIELDS | {"X-Remaining-Ms": str(remaining_ms)}
    lines = [method + b" /read/k HTTP/" + version, *(f"{n}: {v}".encode() for n, v in fields.items()), *extra_lines]
    return b"\r\n".join([*lines, b"", b""])


async def read_until(stream: trio.SocketStream, end: bytes = b"", size: int = 10**9, received: bytes = b"") -> bytes:
    """Reads until ``end`` has been received, or ``size`` bytes, or the end of input."""
    while not (end and end in received) and len(received) < size and (piece := await stream.receive_some(65536)):
        received += piece
    return received


def body_of(answer: bytes) -> tuple[bytes, bool]:
    """The body of a response to a client, and whether the client knows that it is complete."""
    head, _, rest = answer.partition(b"\r\n\r\n")
    if b"Content-Length" in head:
        return rest, len(rest) == int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
    if b"chunked" not in head:
        return rest, True
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if (n := int(size, 16)) == 0:
            return body, True
        body, rest = body + rest[:n], rest[n + 2 :]
    return body, False


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_a_long_response_is_forwarded_from_its_first_bytes_unchanged(framing, version):
    # Guards against holding back the first bytes of a response until the last has arrived.
    async def script(proxy):
        client, accept = await proxy.connect()
        await client.send_all(request(version=version))
        server = await accept()
        await read_until(server, b"\r\n\r\n")
        head = {
            "length": b"Content-Length: %d\r\n" % len(LONG),
            "chunked": b"Transfer-Encoding: chunked\r\n",
            "close": b"",
        }[framing]
        sent = OK + head + b"\r\n" + (encode_chunks(LONG, 9000) if framing == "chunked" else LONG)
        first = len(sent) // 2
        await server.send_all(sent[:first])
        with trio.fail_after(2):
            got = await read_until(client, size=first // 2)
        events_before_end = list(proxy.events)
        await server.send_all(sent[first:])
        if framing == "close":
            await server.aclose()
        if framing == "length":
            got = await read_until(client, size=len(LONG) + got.index(b"\r\n\r\n") + 4, received=got)
        else:
            got = await read_until(client, b"\r\n0\r\n\r\n" if version == b"1.1" else b"", received=got)
        return events_before_end, body_of(got), proxy.memory.available == proxy.memory.capacity

    events_before_end, got, memory_released = run_proxy(script)
    assert events_before_end == [Verdict.FINISHED] and got == (LONG, True) and memory_released


@pytest.mark.parametrize("head", [b"Content-Length: 900000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\nf0000\r\n"])
def test_the_client_notices_an_incomplete_response(head):
    async def script(proxy):
        client, accept = await proxy.connect()
        await client.send_all(request())
        server = await accept()
        await read_until(server, b"\r\n\r\n")
        await server.send_all(OK + head + LONG)
        await server.aclose()
        return await read_until(client)

    body, whole = body_of(run_proxy(script))
    assert not whole and LONG.startswith(body[:1000])


def test_a_client_that_does_not_read_applies_backpressure_to_its_server():
    # Guards against buffering a 32 MB response for a client that does not read it.
    async def script(proxy):
        client, accept = await proxy.connect()
        await client.send_all(request())
        server = await accept()
        await read_until(server, b"\r\n\r\n")
        size, sent = 32 * 2**20, 0
        await server.send_all(OK + b"Content-Length: %d\r\n\r\n" % size)
        with trio.move_on_after(0.5):
            while sent < size:
                await server.send_all(bytes(2**16))
                sent += 2**16
        buffered = proxy.memory.capacity - proxy.memory.available
        await client.aclose()
        await trio.sleep(0.1)
        return sent < size, buffered, proxy.memory.available == proxy.memory.capacity, proxy.servers.budget.clients

    blocked, buffered, memory_released, clients = run_proxy(script)
    assert blocked and 0 < buffered <= HIGH_WATER_BYTES + 2**16 and memory_released and clients <= 0


# requests


@pytest.mark.parametrize(("size", "pieces"), [(len(LONG), 1000), (2**22, 10**6)])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_long_request_is_forwarded_as_it_arrives_and_its_last_byte_starts_its_time(framing, size, pieces):
    async def script(proxy):
        client, accept = await proxy.connect()
        body = (LONG * (size // len(LONG) + 1))[:size]
        length = b"Content-Length: %d" % size if framing == "length" else b"Transfer-Encoding: chunked"
        await client.send_all(request(b"PUT", length, remaining_ms=300))
        sent = body if framing == "length" else encode_chunks(body, 10007)
        got = []

        async def serve():
            server = await accept()
            rest = (await read_until(server, b"\r\n\r\n")).partition(b"\r\n\r\n")[2]
            if framing == "length":
                rest = await read_until(server, size=size, received=rest)
            else:
                rest = await read_until(server, b"\r\n0\r\n\r\n", received=rest)
            got.extend((rest, server))
            await server.send_all(OK + b"Content-Length: 2\r\n\r\nok")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await client.send_all(sent[:pieces])
            await trio.sleep(0.4)  # longer than the request's remaining time, which starts at its last byte
            await client.send_all(sent[pieces:])
            answer = await read_until(client, b"ok")
        rest = got[0]
        whole = rest == body if framing == "length" else body_of(b"chunked\r\n\r\n" + rest) == (body, True)
        idle_connections = len(proxy.servers.targets["s"].idle)
        return answer[:15], whole, proxy.events, idle_connections, proxy.memory.available == proxy.memory.capacity

    assert run_proxy(script) == (b"HTTP/1.1 200 OK", True, ["consumed", Verdict.FINISHED], 1, True)


def test_a_long_request_can_be_retried_while_none_of_its_flow_was_sent():
    # Guards against a second hand-off of a body that is no longer available in full.
    async def script(proxy):
        client, _ = await proxy.connect()
        proxy.listener.close()
        await client.send_all(request(b"PUT", b"Content-Length: %d" % len(LONG)) + LONG[: WHOLE + 10])
        await read_until(client, b"\r\n\r\n")
        return proxy.events

    assert run_proxy(script) == [Verdict.UNREACHABLE]


EARLY_RESPONSE = OK + b"Content-Length: 5\r\n\r\nearly"
AT_ONCE_SECONDS = 3


def test_an_early_response_reaches_a_client_that_is_still_sending():
    # Guards against a client that gets the end of its connection in place of a response.
    async def script(proxy):
        client, accept = await proxy.connect()
        await client.send_all(request(b"PUT", b"Content-Length: %d" % len(LONG)) + LONG[: WHOLE * 2])
        server = await accept()
        await read_until(server, size=WHOLE)
        await server.send_all(EARLY_RESPONSE)
        with trio.fail_after(AT_ONCE_SECONDS):
            answer = await read_until(client, b"early")
        await client.send_all(LONG[WHOLE * 2 :])
        await client.aclose()
        await read_until(server)
        await trio.sleep(0.05)
        return (
            answer[:15],
            b"Connection: close" in answer,
            proxy.events,
            proxy.memory.available == proxy.memory.capacity,
        )

    assert run_proxy(script) == (b"HTTP/1.1 200 OK", True, ["consumed", Verdict.FINISHED], True)


def test_an_early_response_is_read_while_its_server_reads_nothing():
    # Guards against a response that waits until the rest of a long request is written, and for the verdict that it
    # never ran.
    async def script(proxy):
        client, accept = await proxy.connect()
        size = 16 * 2**20
        await client.send_all(request(b"PUT", b"Content-Length: %d" % size) + bytes(2 * WHOLE))
        server = await accept()

        async def upload():
            with contextlib.suppress(trio.BrokenResourceError):
                await client.send_all(bytes(size - 2 * WHOLE))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(upload)
            await trio.sleep(0.5)  # the buffers between the client and its server are full
            await server.send_all(EARLY_RESPONSE)
            with trio.fail_after(AT_ONCE_SECONDS):
                answer = await read_until(client, b"early")
            nursery.cancel_scope.cancel()
        return answer[:15], proxy.events

    assert run_proxy(script) == (b"HTTP/1.1 200 OK", ["consumed", Verdict.FINISHED])


def test_a_long_request_whose_client_disconnects_is_not_completed():
    async def script(proxy):
        client, accept = await proxy.connect()
        await client.send_all(request(b"PUT", b"Content-Length: %d" % len(LONG)) + LONG[: WHOLE * 2])
        server = await accept()
        await read_until(server, size=WHOLE)
        await client.aclose()
        await read_until(server)  # the connection ends without the last byte
        await trio.sleep(0.05)
        return proxy.events, len(proxy.abandoned_ids), proxy.memory.available == proxy.memory.capacity

    assert run_proxy(script) == (["consumed", Verdict.MOOT], 1, True)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"zz\r\n", b"400"),
        (b"5\r\nabcdefgh\r\n", b"400"),
        (b"", b"408"),
    ],
)
def test_a_malformed_or_too_slow_long_request_is_rejected_and_closed(sent, status, monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.clients.MIN_BODY_BYTES_PER_SECOND", 10**6)
    monkeypatch.setattr("rowanshift.cacheproxy.clients.BODY_SLACK_SECONDS", 0.3)

    async def script(proxy):
        client, accept = await proxy.connect()
        await client.send_all(request(b"PUT", b"Transfer-Encoding: chunked"))
        await client.send_all(b"%x\r\n" % len(LONG) + LONG + b"\r\n" + sent)
        server = await accept()
        with trio.fail_after(3):
            answer = await read_until(client)
            await read_until(server)
        return answer[9:12], b"Connection: close" in answer, proxy.events

    assert run_proxy(script) == (status, True, ["consumed", Verdict.MOOT])


def test_a_body_over_the_limit_is_rejected_by_its_length_or_when_the_limit_is_reached(monkeypatch):
    monkeypatch.setattr("rowanshift.transport.http_connection.LARGEST_BODY", 100_000)
    for sent in (b"Content-Length: 100001\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG, 9000)):
        local, remote = pair()
        with local, remote:
            connection = Connection(local, httptools.HttpRequestParser, MemoryBudget(96), flows=True)
            connection._parse(b"PUT /write/k HTTP/1.1\r\nHost: a\r\n" + sent)
            with pytest.raises(MalformedMessage) as caught:
                while connection.next() is not None:
                    pass
            assert caught.value.status == 413


def test_short_bodies_are_not_streamed():
    driver = StubDriver(Reply(200, b"x" * WHOLE))

    async def main():
        local, remote = pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(clients_of(driver).serve, local)
            remote.sendall(request(b"PUT", b"Content-Length: %d" % WHOLE) + bytes(WHOLE))
            client = trio.SocketStream(trio.socket.from_stdlib_socket(remote))
            got = await read_until(client, size=WHOLE + 42)
            nursery.cancel_scope.cancel()
        return got

    assert body_of(trio.run(main)) == (b"x" * WHOLE, True)
    assert driver.submitted[0].flow is None and len(driver.submitted[0].body) == WHOLE


def test_a_long_response_that_stalls_is_aborted(monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.servers.BODY_STALL_SECONDS", 0.2)

    async def script(proxy):
        client, accept = await proxy.connect()
        await client.send_all(request())
        server = await accept()
        await read_until(server, b"\r\n\r\n")
        await server.send_all(OK + b"Content-Length: 900000\r\n\r\n" + LONG)
        with trio.fail_after(2):
            return body_of(await read_until(client))[1], await server.receive_some(1)

    assert run_proxy(script) == (False, b"")
