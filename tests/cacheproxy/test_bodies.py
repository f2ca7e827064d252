"""Long bodies both ways, in all forms of HTTP/1.1 and in pieces of any size."""

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
from tests.cacheproxy.test_network import FIELDS, Deciding, clients_of, pair

LONG = bytes(range(256)) * 1200  # over 64 KiB


def chunked(body: bytes, size: int, extension: bytes = b"", trailers: bytes = b"") -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailers + b"\r\n"


OK = b"HTTP/1.1 200 OK\r\n"
FORMS = {
    "length": OK + b"Content-Length: 300\r\n\r\n" + LONG[:300],
    "blanks": OK + b"content-length:  300 \t\r\n\r\n" + LONG[:300],
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG[:300], 100),
    "extensions": OK + b"Transfer-Encoding: Chunked\r\n\r\n" + chunked(LONG[:300], 77, b';a=b;c="d"'),
    "trailers": OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG[:300], 99, b"", b"X-T: 1\r\n"),
    "close": OK + b"X: y\r\n\r\n" + LONG[:300],
    "old": b"HTTP/1.0 200 OK\r\n\r\n" + LONG[:300],
    "hints": b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + OK + b"Content-Length: 300\r\n\r\n" + LONG[:300],
    "one byte chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG[:300], 1),
    "204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "304": b"HTTP/1.1 304 Not Modified\r\nContent-Length: 300\r\n\r\n",
}


def read(sent: bytes, size: int, parser=httptools.HttpResponseParser) -> tuple[bytes, bool]:
    """What a connection makes of an answer in pieces, and then the end: its body, and if it is kept."""
    ours, theirs = pair()
    with ours, theirs:
        connection = Connection(ours, parser, MemoryBudget(64), flows=True)
        for at in range(0, len(sent), size):
            connection._parse(sent[at : at + size])
        theirs.shutdown(socket.SHUT_WR)
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
@pytest.mark.parametrize("form", FORMS)
def test_all_forms_of_an_answer_in_pieces_of_any_size(form, size):
    body, keep = read(FORMS[form], size)
    assert body == (b"" if form in ("204", "304") else LONG[:300])
    assert keep == (form not in ("close", "old"))


@pytest.mark.parametrize("size", [1009, 10**9])
@pytest.mark.parametrize("head", [b"Content-Length: %d\r\n" % len(LONG), b"Transfer-Encoding: chunked\r\n", b""])
def test_a_long_answer_flows_in_all_forms(head, size):
    sent = OK + head + b"\r\n" + (chunked(LONG, 5000) if b"chunked" in head else LONG)
    assert read(sent, size) == (LONG, head != b"")


# flows ------------------------------------------------------


def test_a_flow_holds_its_source_back_and_counts_what_it_holds():
    async def main():
        memory = MemoryBudget(96)
        whole, flow, got = memory.available, Flow(memory), []

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
                    got.append(len(flow.pop()))
        return peak, whole - memory.minimum_available, sum(got), memory.available == whole

    peak, held, got, back = trio.run(main)
    assert HIGH_WATER_BYTES <= peak <= HIGH_WATER_BYTES + 32 * 1024 and held == peak and got == 100 * 32 * 1024 and back


def test_many_flows_together_stay_within_the_memory_for_bodies():
    # guards against a router killed for memory by more long answers at once than it can hold
    async def main():
        memory = MemoryBudget(0)  # 4 MB
        flows = [Flow(memory) for _ in range(100)]
        for _ in range(1000):
            for flow in flows:
                if not flow.is_full():
                    flow.put(bytes(32 * 1024))
        return -memory.minimum_available

    assert trio.run(main) <= 0


@pytest.mark.parametrize("how", ["cancel", "abort", "end"])
def test_each_side_of_a_flow_hears_how_it_ended(how):
    async def main():
        memory = MemoryBudget(96)
        whole, flow = memory.available, Flow(memory)
        flow.put(b"abc")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep, 0)
            getattr(flow, how)()
            with trio.fail_after(1):
                await flow.wait_until_readable()
                await flow.wait_until_writable()
        if how == "cancel":
            flow.put(b"more")
        return flow.ended, flow.aborted, flow.cancelled, [*flow.pieces], memory.available == whole

    assert (
        trio.run(main)
        == {
            "cancel": (False, False, True, [], True),
            "abort": (False, True, False, [b"abc"], False),
            "end": (True, False, False, [b"abc"], False),
        }[how]
    )


# answers ----------------------------------------------------


class Passing:
    """A client, a server and a router's two sides between them, without a module: each work item goes to the
    server once."""

    def __init__(self, nursery: trio.Nursery, memory: MemoryBudget | None = None) -> None:
        self.clock, self.memory = Clock(), memory or MemoryBudget(96)
        budget = DescriptorBudget(100)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.servers = Servers(self.clock, 0.5, 60.0, 0.2, budget, self.memory, nursery)
        self.servers.locate("s", self.listener.getsockname())
        self.servers.done, self.servers.spent = self.done, lambda ho: self.told.append("spent")
        names = clients_of(None).names
        self.clients = Clients(names, self, self.clock, budget, self.memory)
        self.told, self.nursery, self.gone_ids = [], nursery, []

    def take(self, exchange) -> None:
        from rowanshift.cacheproxy.exchange import HandOff

        self.exchange = exchange
        self.servers.hand_off(HandOff(exchange, 0, "s", self.clock.now(), exchange.expiry))

    def gone(self, exchange) -> None:
        self.gone_ids.append(exchange.id)
        exchange.end(None)

    def done(self, ho, verdict, remark, reply) -> None:
        self.told.append(verdict)
        ho.exchange.end(reply if verdict is Verdict.FINISHED else Reply(502))

    async def connect(self) -> tuple[trio.SocketStream, "partial"]:
        """A client's connection, and a call that gives the server's as it is accepted."""
        ours, theirs = pair()
        self.nursery.start_soon(self.clients.serve, ours)
        theirs.settimeout(None)

        async def accept() -> trio.SocketStream:
            sock = await trio.to_thread.run_sync(self.listener.accept)
            return trio.SocketStream(trio.socket.from_stdlib_socket(sock[0]))

        return trio.SocketStream(trio.socket.from_stdlib_socket(theirs)), accept


def passing(script, memory: MemoryBudget | None = None):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                p = Passing(nursery, memory)
                with p.listener:
                    got = await script(p)
                nursery.cancel_scope.cancel()
        return got

    return trio.run(main)


def request(method: bytes = b"GET", *more: bytes, version: bytes = b"1.1", left: int = 900) -> bytes:
    fields = FIELDS | {"X-Remaining-Ms": str(left)}
    lines = [method + b" /read/k HTTP/" + version, *(f"{n}: {v}".encode() for n, v in fields.items()), *more]
    return b"\r\n".join([*lines, b"", b""])


async def until(stream: trio.SocketStream, end: bytes = b"", size: int = 10**9, got: bytes = b"") -> bytes:
    """Reads until these bytes, or so many, or the end."""
    while not (end and end in got) and len(got) < size and (piece := await stream.receive_some(65536)):
        got += piece
    return got


def body_of(answer: bytes) -> tuple[bytes, bool]:
    """The body of an answer to a client, and whether the client can tell that it is whole."""
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
@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_a_long_answer_goes_on_with_its_first_bytes_and_is_unchanged(form, version):
    # guards against first bytes held back until the last has come
    async def script(p):
        client, accept = await p.connect()
        await client.send_all(request(version=version))
        server = await accept()
        await until(server, b"\r\n\r\n")
        head = {
            "length": b"Content-Length: %d\r\n" % len(LONG),
            "chunked": b"Transfer-Encoding: chunked\r\n",
            "close": b"",
        }[form]
        sent = OK + head + b"\r\n" + (chunked(LONG, 9000) if form == "chunked" else LONG)
        first = len(sent) // 2
        await server.send_all(sent[:first])
        with trio.fail_after(2):
            got = await until(client, size=first // 2)
        early = list(p.told)
        await server.send_all(sent[first:])
        if form == "close":
            await server.aclose()
        if form == "length":
            got = await until(client, size=len(LONG) + got.index(b"\r\n\r\n") + 4, got=got)
        else:
            got = await until(client, b"\r\n0\r\n\r\n" if version == b"1.1" else b"", got=got)
        return early, body_of(got), p.memory.available == p.memory.capacity

    early, got, back = passing(script)
    assert early == [Verdict.FINISHED] and got == (LONG, True) and back


@pytest.mark.parametrize("head", [b"Content-Length: 900000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\nf0000\r\n"])
def test_a_server_that_breaks_off_halfway_is_seen_by_the_client(head):
    async def script(p):
        client, accept = await p.connect()
        await client.send_all(request())
        server = await accept()
        await until(server, b"\r\n\r\n")
        await server.send_all(OK + head + LONG)
        await server.aclose()
        return await until(client)

    body, whole = body_of(passing(script))
    assert not whole and LONG.startswith(body[:1000])


def test_a_client_that_reads_nothing_holds_its_server_back_and_no_memory():
    # guards against a router that takes in 32 MB for a client that takes none of it
    async def script(p):
        client, accept = await p.connect()
        await client.send_all(request())
        server = await accept()
        await until(server, b"\r\n\r\n")
        size, sent = 32 * 2**20, 0
        await server.send_all(OK + b"Content-Length: %d\r\n\r\n" % size)
        with trio.move_on_after(0.5):
            while sent < size:
                await server.send_all(bytes(2**16))
                sent += 2**16
        held = p.memory.capacity - p.memory.available
        await client.aclose()
        await trio.sleep(0.1)
        return sent < size, held, p.memory.available == p.memory.capacity, p.servers.budget.clients

    blocked, held, back, clients = passing(script)
    assert blocked and 0 < held <= HIGH_WATER_BYTES + 2**16 and back and clients <= 0


# requests ---------------------------------------------------


@pytest.mark.parametrize(("size", "pieces"), [(len(LONG), 1000), (2**22, 10**6)])
@pytest.mark.parametrize("form", ["length", "chunked"])
def test_a_long_request_goes_on_as_it_comes_and_its_last_byte_starts_its_time(form, size, pieces):
    async def script(p):
        client, accept = await p.connect()
        body = (LONG * (size // len(LONG) + 1))[:size]
        length = b"Content-Length: %d" % size if form == "length" else b"Transfer-Encoding: chunked"
        await client.send_all(request(b"PUT", length, left=300))
        sent = body if form == "length" else chunked(body, 10007)
        got = []

        async def serve():
            server = await accept()
            rest = (await until(server, b"\r\n\r\n")).partition(b"\r\n\r\n")[2]
            if form == "length":
                rest = await until(server, size=size, got=rest)
            else:
                rest = await until(server, b"\r\n0\r\n\r\n", got=rest)
            got.extend((rest, server))
            await server.send_all(OK + b"Content-Length: 2\r\n\r\nok")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await client.send_all(sent[:pieces])
            await trio.sleep(0.4)  # longer than the work item has, from its last byte
            await client.send_all(sent[pieces:])
            answer = await until(client, b"ok")
        rest = got[0]
        whole = rest == body if form == "length" else body_of(b"chunked\r\n\r\n" + rest) == (body, True)
        kept = len(p.servers.targets["s"].idle)
        return answer[:15], whole, p.told, kept, p.memory.available == p.memory.capacity

    assert passing(script) == (b"HTTP/1.1 200 OK", True, ["spent", Verdict.FINISHED], 1, True)


def test_a_long_request_can_go_again_until_more_than_its_first_part_was_sent():
    # guards against a second hand-off of a body that is not there in full
    async def script(p):
        client, _ = await p.connect()
        p.listener.close()
        await client.send_all(request(b"PUT", b"Content-Length: %d" % len(LONG)) + LONG[: WHOLE + 10])
        await until(client, b"\r\n\r\n")
        return p.told

    assert passing(script) == [Verdict.UNREACHABLE]


def test_a_long_request_whose_client_goes_away_never_runs():
    async def script(p):
        client, accept = await p.connect()
        await client.send_all(request(b"PUT", b"Content-Length: %d" % len(LONG)) + LONG[: WHOLE * 2])
        server = await accept()
        await until(server, size=WHOLE)
        await client.aclose()
        await until(server)  # ends, without the last byte
        await trio.sleep(0.05)
        return p.told, len(p.gone_ids), p.memory.available == p.memory.capacity

    assert passing(script) == (["spent", Verdict.MOOT], 1, True)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"zz\r\n", b"400"),
        (b"5\r\nabcdefgh\r\n", b"400"),
        (b"", b"408"),
    ],
)
def test_a_long_request_that_is_malformed_or_too_slow_gets_an_error_and_the_close(sent, status, monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.clients.BODY_RATE", 10**6)
    monkeypatch.setattr("rowanshift.cacheproxy.clients.BODY_SLACK", 0.3)

    async def script(p):
        client, accept = await p.connect()
        await client.send_all(request(b"PUT", b"Transfer-Encoding: chunked"))
        await client.send_all(b"%x\r\n" % len(LONG) + LONG + b"\r\n" + sent)
        server = await accept()
        with trio.fail_after(3):
            answer = await until(client)
            await until(server)
        return answer[9:12], b"Connection: close" in answer, p.told

    assert passing(script) == (status, True, ["spent", Verdict.MOOT])


def test_a_body_over_the_limit_is_refused_by_its_length_and_when_it_is_reached(monkeypatch):
    monkeypatch.setattr("rowanshift.transport.http_connection.LARGEST_BODY", 100_000)
    for sent in (b"Content-Length: 100001\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG, 9000)):
        ours, theirs = pair()
        with ours, theirs:
            connection = Connection(ours, httptools.HttpRequestParser, MemoryBudget(96), flows=True)
            connection._parse(b"PUT /write/k HTTP/1.1\r\nHost: a\r\n" + sent)
            with pytest.raises(MalformedMessage) as caught:
                while connection.next() is not None:
                    pass
            assert caught.value.status == 413


def test_short_bodies_go_as_they_did():
    deciding = Deciding(Reply(200, b"x" * WHOLE))

    async def main():
        ours, theirs = pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(clients_of(deciding).serve, ours)
            theirs.sendall(request(b"PUT", b"Content-Length: %d" % WHOLE) + bytes(WHOLE))
            client = trio.SocketStream(trio.socket.from_stdlib_socket(theirs))
            got = await until(client, size=WHOLE + 42)
            nursery.cancel_scope.cancel()
        return got

    assert body_of(trio.run(main)) == (b"x" * WHOLE, True)
    assert deciding.taken[0].flow is None and len(deciding.taken[0].body) == WHOLE


def test_a_long_answer_that_stands_still_is_cut_off(monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.servers.SILENT_BODY", 0.2)

    async def script(p):
        client, accept = await p.connect()
        await client.send_all(request())
        server = await accept()
        await until(server, b"\r\n\r\n")
        await server.send_all(OK + b"Content-Length: 900000\r\n\r\n" + LONG)
        with trio.fail_after(2):
            return body_of(await until(client))[1], await server.receive_some(1)

    assert passing(script) == (False, b"")
