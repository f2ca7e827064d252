"""Emulated clients of the system: clients that read event streams, and the operator."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Any

import httptools
import orjson
import trio

from rowanshift.emulation.http import field_of
from rowanshift.emulation.model_server import Registry
from rowanshift.invariants.system import (
    Answered,
    Asked,
    ConfigAnswered,
    ConfigRead,
    ConfigSent,
    Fact,
    Lost,
    OrderReplied,
    Piece,
    Surplus,
    VersionNamed,
)
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Stream, connect, send_all

CONNECT_TIMEOUT_SECONDS = 1.0
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # the request did not run, so it may be retried
CLIENT_FINAL_STATUSES = (400, 401, 404, 413, 431)  # no retry by clients
OPERATOR_FINAL_STATUSES = (400, 409, 412, 413, 422)  # no retry by the operator
MAX_REDIRECTS = 2
FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.1, 2.0


@dataclass(slots=True)
class Work:
    """A request of a client. ``within`` is its deadline, ``aim`` the target latency of the first event and ``gap`` that
    between events, all in seconds."""

    host: str
    target: str
    model: str = ""
    prompt: Sequence[tuple[str, int]] = ()  # names of parts and their tokens
    out: int = 20  # tokens
    key: str = ""  # API key
    tenant: str = ""  # owner of the API key
    repeatable: bool = False  # idempotent, or resumable
    resumable: bool = False
    within: float = 5.0
    aim: float = 0.6
    gap: float = 0.25
    method: str = "POST"
    body: bytes = b"{}"
    fields: Sequence[str] = ()  # additional header lines

    def patience(self) -> float:
        """Seconds without data after which the client disconnects."""
        return max(2.0, 4 * self.aim, 8 * self.gap)


@dataclass(slots=True)
class Try:
    """The outcome of one attempt. Times are in seconds.

    ``how`` is one of: whole (complete response), broken (ended after its head), closed (ended before its head),
    left (the client timed out), no way (no connection) and garbled (not HTTP)."""

    id: str
    front: Address
    asked_at: float
    how: str = "left"
    status: int = 0
    stamp: str = ""
    fields: list[tuple[bytes, bytes]] = field(default_factory=list)  # names in lower case
    pieces: list[Piece] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)  # from the header and the events
    first_at: float = inf
    ended_at: float = inf
    taken: bool = True  # whether the router may have read the request

    def field(self, name: bytes) -> str:
        return next((value.decode("latin-1") for n, value in self.fields if n == name), "")

    def done(self) -> bool:
        """Whether a complete successful response was received."""
        return self.how == "whole" and 200 <= self.status < 300


class StreamReader:
    """Parses one response and its events, and records them in a ``Try``. ``on_*`` methods are ``httptools`` callbacks.

    ``surplus`` is what follows the complete response."""

    def __init__(self, attempt: Try, now: Callable[[], float], facts: list[Fact]) -> None:
        self.attempt, self.now, self.facts = attempt, now, facts
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = b""
        self.headers_complete = self.complete = False
        self.surplus = b""

    def feed(self, data: bytes) -> None:
        if self.complete:
            self.surplus += data
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.complete:  # otherwise the malformed data follows the response
                raise

    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus += b"an answer"

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headers_complete:
            self.attempt.fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.headers_complete, attempt = True, self.attempt
        attempt.status, attempt.stamp = self.parser.get_status_code(), attempt.field(b"response-seal")
        if (versions := attempt.field(b"versions")).isdigit():
            attempt.versions.append(int(versions))

    def on_body(self, data: bytes) -> None:
        if self.complete:
            return
        self.buffer += data
        while b"\n\n" in self.buffer:
            event, _, self.buffer = self.buffer.partition(b"\n\n")
            if self.attempt.status == 200:
                self._handle_event(event)

    def _handle_event(self, event: bytes) -> None:
        lines = dict(line.partition(b": ")[::2] for line in event.split(b"\n"))
        if b"versions" in lines:
            self.attempt.versions.append(int(lines[b"versions"]))
        try:
            data = orjson.loads(lines[b"data"])
            piece = Piece(
                self.now(), self.attempt.id, data["first"], int(lines[b"id"]), data["of"], data["run"], data["final"]
            )
        except (KeyError, ValueError, TypeError):
            piece = Piece(self.now(), self.attempt.id, -1, -1, "", "")  # not an event of a model server
        self.attempt.pieces.append(piece)
        self.attempt.first_at = min(self.attempt.first_at, piece.at)
        self.facts.append(piece)

    def on_message_complete(self) -> None:
        self.complete = True


class Patron:
    """A client. With ``keeps``, it reuses a connection after a complete response."""

    def __init__(
        self,
        host: Runtime,
        name: str,
        clock: Callable[[], float],
        facts: list[Fact],
        fronts: Sequence[Address],
        random_source: random.Random,
        keeps: bool = False,
    ) -> None:
        self.host, self.name, self.now, self.facts = host, name, clock, facts
        self.fronts, self.random_source, self.keeps = list(fronts), random_source, keeps
        self.ids = self.calls = 0
        self.kept: dict[Address, tuple[Stream, str]] = {}  # with the id of the last request on it
        self.tries: list[Try] = []

    async def call(self, work: Work, tries: int = 3, since: int = 0) -> Try:
        """Send one request, with retries within its deadline; a resumable stream continues after its last event."""
        self.calls += 1
        call, deadline = f"{self.name}-{self.calls}", self.now() + work.within
        for n in range(tries):
            front = self.random_source.choice(self.fronts)
            last = await self.ask(work, front, since, deadline - self.now(), call, fresh=n > 0)
            again = (
                work.repeatable
                or work.resumable
                or (last.how == "whole" and last.status in NOT_EXECUTED_STATUSES)
                or not last.taken
            )
            if last.done() or last.status in CLIENT_FINAL_STATUSES or not again or n + 1 == tries:
                break
            if work.resumable and last.pieces:
                since = last.pieces[-1].last
            left = deadline - self.now()
            retry_after = last.field(b"retry-after")
            await self.host.pause(min(float(retry_after), left / 3) if retry_after and left > 0 else 0.0)
            if self.now() >= deadline:
                break
        return last

    async def ask(
        self,
        work: Work,
        front: Address | None = None,
        since: int = 0,
        left: float | None = None,
        call: str = "",
        fresh: bool = False,
    ) -> Try:
        """Make one attempt at one router, under a new request id."""
        self.ids += 1
        front = front or self.random_source.choice(self.fronts)
        attempt = Try(f"{self.name}.{self.ids}", front, self.now())
        left = work.within if left is None else left
        self.tries.append(attempt)
        stream = None if fresh else self._reusable_stream(front)
        self.facts.append(
            Asked(
                self.now(),
                attempt.id,
                work.host,
                work.method,
                work.target,
                work.body,
                work.tenant,
                work.key,
                work.repeatable or work.resumable,
                since,
                "{}:{}".format(*front),
                call,
                left,
                stream is not None,
            )
        )
        reader = StreamReader(attempt, self.now, self.facts)
        try:
            with trio.move_on_after(max(0.0, left)):
                if stream is None:
                    attempt.taken = False
                    attempt.how = "no way"
                    stream = self.host.stream()
                    with trio.move_on_after(CONNECT_TIMEOUT_SECONDS) as connecting:
                        await connect(stream, front)
                    if connecting.cancelled_caught:
                        return attempt
                attempt.how, attempt.taken = "left", True
                await send_all(stream, self._request(work, attempt.id, since, left))
                await self._read_response(reader, stream, work.patience())
        except httptools.HttpParserError:
            attempt.how = "broken" if attempt.pieces else "garbled"
        except OSError:
            if attempt.how != "no way":
                attempt.how = "broken" if reader.headers_complete else "closed"
        finally:
            if stream is not None:
                self._finish_attempt(attempt, reader, stream)
        return attempt

    async def _read_response(self, reader: StreamReader, stream: Stream, patience: float) -> None:
        buffer = memoryview(bytearray(65536))
        while not reader.complete:
            with trio.move_on_after(patience) as silence:
                await stream.wait_readable()
            if silence.cancelled_caught:
                return
            try:
                n = stream.recv_into(buffer)
            except BlockingIOError:
                continue
            if n == 0:
                if reader.headers_complete and not {b"content-length", b"transfer-encoding"} & {
                    name for name, _ in reader.attempt.fields
                }:
                    reader.complete = True  # the end of the connection ends the response
                    break
                reader.attempt.how = "broken" if reader.headers_complete else "closed"
                return
            reader.feed(bytes(buffer[:n]))
        reader.attempt.how = "whole"

    def _finish_attempt(self, attempt: Try, reader: StreamReader, stream: Stream) -> None:
        now = attempt.ended_at = self.now()
        taken = getattr(stream, "taken", None)
        if attempt.how == "closed" and taken is not None:
            attempt.taken = taken()
        if reader.headers_complete:
            echoed = attempt.field(b"request-id")
            self.facts.append(
                Answered(
                    now,
                    attempt.id,
                    attempt.status,
                    attempt.stamp,
                    echoed,
                    attempt.how == "whole",
                    attempt.how == "left",
                )
            )
        else:
            self.facts.append(Lost(now, attempt.id, attempt.how))
        if reader.surplus:
            self.facts.append(Surplus(now, attempt.id, reader.surplus))
        keep = attempt.how == "whole" and self.keeps and not reader.surplus
        if keep and attempt.field(b"connection").lower() != "close":
            if attempt.front in self.kept:
                self.kept[attempt.front][0].close()
            self.kept[attempt.front] = stream, attempt.id
        else:
            stream.close()

    def _reusable_stream(self, front: Address) -> Stream | None:
        """A kept connection, unless it is closed or has unsolicited data, which is recorded as surplus."""
        stream, id = self.kept.pop(front, (None, ""))
        if stream is None or not stream.readable():
            return stream
        try:
            buffer = memoryview(bytearray(4096))
            if n := stream.recv_into(buffer):
                self.facts.append(Surplus(self.now(), id, bytes(buffer[:n])))
        except OSError:
            pass
        stream.close()
        return None

    def _request(self, work: Work, id: str, since: int, left: float) -> bytes:
        lines = [
            f"{work.method} {work.target} HTTP/1.1",
            f"Host: {work.host}",
            f"Request-Id: {id}",
            f"Deadline-Remaining: {int(left * 1000)}",
            f"Content-Length: {len(work.body)}",
            *work.fields,
        ]
        if since:
            lines.append(f"Last-Event-Id: {since}")
        if work.model:
            parts = ",".join(f"{name}:{tokens}" for name, tokens in work.prompt)
            lines += [
                f"Model-Name: {work.model}",
                f"Prompt-Prefix: {parts}",
                f"Token-Count: {sum(tokens for _, tokens in work.prompt)},{work.out}",
            ]
        if work.key:
            lines.append(f"Authorization: Bearer {work.key}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + work.body

    def close(self) -> None:
        for stream, _ in self.kept.values():
            stream.close()
        self.kept.clear()


# the operator -----------------------------------------------


@dataclass(slots=True, frozen=True)
class Reply:
    status: int  # 0: no conclusive response in time
    body: bytes = b""
    sent_at: float = 0.0  # start of the attempt that was answered


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Operator:
    """A client of the control API. It follows redirects, and tries the next address after an error or time-out."""

    def __init__(
        self,
        host: Runtime,
        name: str,
        clock: Callable[[], float],
        facts: list[Fact],
        controls: Sequence[Address],
        random_source: random.Random,
        registry: Registry | None = None,
    ) -> None:
        self.host, self.name, self.now, self.facts = host, name, clock, facts
        self.controls, self.random_source, self.registry = list(controls), random_source, registry
        self.memory = MemoryBudget(4096)
        self.response_timeout = 1.0  # seconds; large bodies add to it
        self.lost_acknowledgements = 0.0  # fraction of 200 responses to changes that are treated as lost
        self.calls = 0

    async def put_config(
        self,
        config: dict[str, Any],
        base: int,
        within: float = 10.0,
        valid: bool = True,
        patch: dict[str, Any] | None = None,
    ) -> int:
        """Send a configuration, with retries, complete or as the ``patch`` from its base.

        Returns the status, or 0 without a conclusive response within ``within`` seconds."""
        self.calls += 1
        call, revision = f"{self.name}-{self.calls}", config.get("revision", 0)
        self.facts.append(ConfigSent(self.now(), call, base, revision, config, valid, patch))
        method, body = ("PUT", config) if patch is None else ("PATCH", patch)
        reply = await self.call(method, "/config", orjson.dumps(body), within, f"If-Match: {base}", name=call)
        self.facts.append(ConfigAnswered(self.now(), call, base, revision, reply.status))
        return reply.status

    async def name_version(self, model: str, revision: int, within: float = 10.0) -> int:
        """Announce a revision of a model; returns the status as ``put_config`` does."""
        if self.registry is not None:
            self.registry.newest[model] = max(revision, self.registry.newest.get(model, 1))
        body = orjson.dumps({"model": model, "revision": revision})
        self.calls += 1
        reply = await self.call("POST", "/version-put", body, within, name=f"{self.name}-{self.calls}")
        if 200 <= reply.status < 300:
            self.facts.append(VersionNamed(self.now(), model, revision))
        return reply.status

    async def read_config(self, within: float = 10.0) -> dict[str, Any] | None:
        """Read and record the configuration; ``None`` without a 200, empty if it is not JSON."""
        since = self.now()
        reply = await self.call("GET", "/config", b"", within)
        try:
            config = orjson.loads(reply.body) if reply.status == 200 else None
        except orjson.JSONDecodeError:
            config = {}
        self.facts.append(ConfigRead(self.now(), max(since, reply.sent_at), config))
        return config

    async def call(self, method: str, target: str, body: bytes, within: float, *fields: str, name: str = "") -> Reply:
        """Send a call, with retries until a conclusive status or for ``within`` seconds.

        A call with a ``name`` is a change, whose responses are recorded and may be treated as lost."""
        deadline, backoff, client_errors = self.now() + within, FIRST_BACKOFF_SECONDS, 0
        addresses = self.random_source.sample(self.controls, len(self.controls))
        attempts = 0
        while self.now() < deadline:
            reply = await self._call_with_redirects(
                addresses[attempts % len(addresses)], method, target, body, fields, deadline, name
            )
            attempts += 1
            if 200 <= reply.status < 300 or reply.status in OPERATOR_FINAL_STATUSES:
                return reply
            if 400 <= reply.status < 500 and reply.status not in (408, 429):
                client_errors += 1
                if client_errors == 3:
                    return reply
            await self.host.pause(min(backoff * (0.5 + self.random_source.random()), max(0.0, deadline - self.now())))
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
        return Reply(0)

    async def _call_with_redirects(
        self, address: Address, method: str, target: str, body: bytes, fields: Sequence[str], deadline: float, name: str
    ) -> Reply:
        response_timeout = self.response_timeout + len(body) / 1e6
        for _ in range(MAX_REDIRECTS + 1):
            message, sent_at = None, self.now()
            with trio.move_on_after(min(response_timeout, max(0.0, deadline - self.now()))):
                message = await self._send_once(address, method, target, body, fields)
            if message is None:
                return Reply(0)
            if message.status != 307:
                lost = self._record_reply(name, sent_at, address, message.status)
                return Reply(0) if lost else Reply(message.status, message.body, sent_at)
            place, slash, path = field_of(message, b"location").removeprefix("http://").partition("/")
            try:
                address, target = parse_address(place), slash + path
            except ValueError:
                return Reply(0)
        return Reply(0)

    def _record_reply(self, name: str, sent_at: float, address: Address, status: int) -> bool:
        """Record the response to a change and return whether it is to be treated as lost."""
        if not name:
            return False
        share = self.lost_acknowledgements if status == 200 else 0.0
        lost = share > 0 and self.random_source.random() < share
        self.facts.append(OrderReplied(self.now(), name, sent_at, "{}:{}".format(*address), status, lost))
        return lost

    async def _send_once(
        self, address: Address, method: str, target: str, body: bytes, fields: Sequence[str]
    ) -> Message | None:
        try:
            connection = Connection(self.host.stream(), httptools.HttpResponseParser, self.memory)
        except OSError:
            return None
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: {}:{}".format(*address),
            "Connection: close",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            *fields,
            "",
            "",
        ]
        try:
            await connect(connection.stream, address)
            await send_all(connection.stream, "\r\n".join(lines).encode() + body)
            while True:
                await connection.stream.wait_readable()
                message, going = connection.read_on()
                if message is not None or not going:
                    return message
        except (OSError, MalformedMessage):
            return None
        finally:
            connection.close()
