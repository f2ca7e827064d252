"""HTTP/1.1 messages over one stream: a strict parser behind one ring buffer, another before the way out."""

import re
from collections import deque
from dataclasses import dataclass, field

import httptools

from rowanshift.transport.buffer import RingBuffer
from rowanshift.transport.flow import Flow
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.streams import Stream

LARGEST_HEAD = 16 * 1024
WHOLE = 64 * 1024  # bytes of a body that is read whole, so that it can go again; longer ones flow
LARGEST_BODY = 32 * 1024 * 1024  # of a request
ROUNDS = 16  # reads in one turn
MOST_HINTS = 8  # 1xx answers ahead of one
GO_AHEAD = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_BODY = (204, 304)
BLANKS = (b" ", b"\t")
STATUS_LINE = re.compile(rb"HTTP/1\.\d \d{3}")  # within a head: another answer begins there

Fields = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)


class MalformedMessage(Exception):
    """A message that can't be followed; the text says why, and the status tells a client."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or an answer, read whole."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    fields: Fields = field(default_factory=list)  # names in lower case
    body: bytes = b""
    keep: bool = True  # whether its sender keeps the connection
    flow: Flow | None = None  # what follows the body, if that is long; then ``keep`` holds at its end only
    length: int | None = None  # of the whole body, where its head tells
    old: bool = False  # its sender speaks HTTP/1.0

    def end_to_end(self) -> Fields:
        """The fields that go on as they came, among them the mark by which a repeat is known."""
        named = {
            name.strip().lower() for field, value in self.fields if field == b"connection" for name in value.split(b",")
        }
        return [(name, value) for name, value in self.fields if name not in HOP_BY_HOP and name not in named]


class Connection:
    """What is sent goes out at once as far as the system takes it. With ``flows``, a message with a long body
    comes before that is whole; without, such a body is an error. With ``streams``, the body of a 2xx answer
    flows from its first byte. ``largest`` is the most bytes of a body that must come whole."""

    def __init__(
        self,
        stream: Stream,
        parser: type,
        memory: MemoryBudget,
        flows: bool = False,
        streams: bool = False,
        largest: int = 0,
    ) -> None:
        self.stream, self.memory, self.requests = stream, memory, parser is httptools.HttpRequestParser
        self.flows, self.streams = flows, streams
        self.flow: Flow | None = None  # of the message that is being read
        self.largest = largest or ((LARGEST_BODY if flows else WHOLE) if self.requests else memory.largest_response)
        self.parser = parser(self)
        self.inbound, self.outbound = RingBuffer(), RingBuffer()
        self.unsent = memoryview(b"")  # what the outbound ring did not take
        self.whole: deque[Message] = deque()
        self.error: MalformedMessage | None = None  # in what came after those
        self.kept = True  # whether the sender of the last whole message keeps the connection
        self.partial = False  # a message has begun and is not whole
        self.more = False  # the last read filled all the room there was
        self.held = 0  # bytes of bodies
        self.owes_go_ahead = False  # to a request that waits for it behind one that is not answered
        self.resets = False  # what was sent ends with the connection, and is not whole yet
        self._start()

    def _start(self) -> None:
        self.message, self.pieces, self.size = Message(), [], 0
        self.reason = b""
        self.in_head, self.head, self.hints = True, 0, 0
        self.to_the_end = False  # the body ends with the connection

    # the stream -------------------------------------------

    def close(self) -> None:
        if not self.closed():
            if self.resets:
                self.stream.reset()
            else:
                self.stream.close()
            if self.flow is not None:
                self.flow.abort()
            self.parser = None  # each holds the other
            self.release()

    def closed(self) -> bool:
        return self.stream.closed()

    # in ---------------------------------------------------

    def receive(self) -> bool:
        """Reads once what has come in; False if the other side has ended its sending."""
        space, n = self.inbound.free_run(), 0
        try:
            n = self.stream.recv_into(space)
        except BlockingIOError:
            return True
        finally:
            self.inbound.commit(n)
            self.more = n == len(space)
        return n > 0

    def read_on(self) -> tuple[Message | None, bool]:
        """The next message, as far as it has come, and whether the other side may send more."""
        for _ in range(ROUNDS):
            going = self.receive()
            message = self.next()
            if message is not None or not going or not self.more:
                break
        if message is None and not going and self.ends():
            message = self.next()
        return message, going

    def ends(self) -> bool:
        """The other side has ended its sending: whether that ends the message that is being read as well."""
        if not (self.to_the_end and self.partial):
            return False
        self.on_message_complete()
        return True

    def read_body(self) -> bool:
        """Reads on in a body that flows; False if the other side has ended its sending. What went wrong is in
        ``error``."""
        going = self.receive()
        while self.inbound and self.flow is not None and self.error is None:
            self._parse(self.inbound.read())
        if not going and self.flow is not None:
            self.ends()
        return going

    def next(self) -> Message | None:
        """The next message, once what was received holds it whole."""
        while self.inbound and not self.whole and self.error is None:
            self._parse(self.inbound.read())
        message = self.whole.popleft() if self.whole else None
        if message is None and self.error is not None:
            raise self.error
        if self.owes_go_ahead and (message is None or (message.flow is not None and message.flow is self.flow)):
            self.owes_go_ahead = False
            self.push(GO_AHEAD)
        return message

    def pending(self) -> bool:
        """Whether there is more of what was received to look at."""
        return bool(self.whole or self.inbound or self.error)

    def clean(self) -> bool:
        """Whether nothing is left over: what is would be taken for a part of the next message."""
        return not (self.partial or self.pending())

    def _parse(self, data: bytes) -> None:
        if not self.partial and not b"HTTP/".startswith(data[:5]) and not self.requests:
            self.error = MalformedMessage(400, "no HTTP")  # the parser knows other protocols of its kind
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "no upgrades here")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))
        if self.in_head and self.partial:
            self.head += len(data)
            if self.head > LARGEST_HEAD:
                self._fail(431, "a head of 16 KiB at most")

    def _fail(self, status: int, why: str) -> None:
        """The first failure stands. The parser ends at one that a call below raises."""
        self.error = self.error or MalformedMessage(status, why)

    def on_message_begin(self) -> None:
        hints = self.hints
        self._start()
        self.partial, self.hints = True, hints

    def on_url(self, url: bytes) -> None:
        self.message.target += url

    def on_status(self, reason: bytes) -> None:
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:  # else it is a trailer, which nobody needs
            # where a value and the line's end come in two pieces, the blanks between them are left on it
            value = value.strip(b" \t") if value[-1:] in BLANKS else value
            self.message.fields.append((name.lower(), value))
            self._refuse_glued(value)

    def _refuse_glued(self, text: bytes) -> None:
        """What broke off before it may end within a line, to which the parser takes the next status line."""
        if not self.requests and STATUS_LINE.search(text):
            self._fail(502, "an answer begins within a head")
            raise self.error

    def on_headers_complete(self) -> None:
        message, self.in_head = self.message, False
        self._refuse_glued(self.reason)
        version = self.parser.get_http_version()
        given = {
            name: value
            for name, value in message.fields
            if name in (b"content-length", b"transfer-encoding", b"expect")
        }
        length = None
        if (text := given.get(b"content-length")) is not None:
            length = message.length = int(text)
        message.old = version == "1.0"
        if not self.requests:
            message.status = self.parser.get_status_code()
        if version not in ("1.0", "1.1"):
            self._fail(505, "HTTP/1.1 is spoken here")
        elif length is not None and length > self.largest and (self.requests or not self._may_flow()):
            self._fail(413, f"{self.largest >> 10} KiB at most")
        elif self.requests:
            message.method = self.parser.get_method()
            if sum(name == b"host" for name, _ in message.fields) != 1 and version == "1.1":
                self._fail(400, "one Host is wanted")
            elif given.get(b"expect", b"").lower() == b"100-continue" and not self.unsent:
                if self.whole:  # it would be taken for an answer to a request that stands before this one
                    self.owes_go_ahead = True
                else:
                    self.push(GO_AHEAD)
        else:
            if not given and message.status >= 200 and message.status not in NO_BODY:
                self.to_the_end = True
            if (self.streams and 200 <= message.status < 300) or (
                length is not None and length > WHOLE and self._may_flow()
            ):
                self._begin_flow()
        if self.error is not None:
            raise self.error

    def _may_flow(self) -> bool:
        """Whether a long body is passed on as it comes: of a request, or of an answer that serves one."""
        return self.flows and (self.requests or self.message.status == 200)

    def _begin_flow(self) -> None:
        """From here on the body goes as it comes; of a request, what is here already can go again."""
        message = self.message
        self.flow = message.flow = Flow(self.memory)
        if self.requests:
            message.body = b"".join(self.pieces)
        else:
            self.release()
            for piece in self.pieces:
                self.flow.put(piece)
        self.pieces = []
        self.whole.append(message)

    def on_body(self, piece: bytes) -> None:
        self.size += len(piece)
        if self.size > WHOLE and self.flow is None and self._may_flow():
            self._begin_flow()
        if self.flow is not None and (self.size <= self.largest or not self.requests):
            return self.flow.put(piece)
        if self.size > self.largest:
            self._fail(413, f"{self.largest >> 10} KiB at most")
            raise self.error
        if not self.hold(len(piece)):
            self._fail(503, "no memory is left for bodies")
            raise self.error
        self.pieces.append(piece)

    def on_message_complete(self) -> None:
        self.partial = self.owes_go_ahead = False
        message = self.message
        if not self.requests and message.status < 200:
            self.hints += 1
            if self.hints > MOST_HINTS:
                self._fail(502, "too many answers ahead")
                raise self.error
            return
        message.keep = self.kept = self.parser.should_keep_alive() and not self.to_the_end
        if self.flow is not None:
            self.flow, flow = None, self.flow
            flow.end()
        else:
            message.body = b"".join(self.pieces)
            self.whole.append(message)
        self._start()

    # out --------------------------------------------------

    def push(self, data: bytes) -> bool:
        """Sends what the system takes at once; whether that was all. What is left is for ``pump``."""
        self.unsent = memoryview(data)
        return self.pump()

    def pump(self) -> bool:
        while self.unsent or self.outbound:
            try:
                if not self.outbound and len(self.unsent) > self.outbound.capacity:  # it would pass in pieces
                    self.unsent = self.unsent[self.stream.send(self.unsent) :]
                    continue
                self.unsent = self.unsent[self.outbound.write(self.unsent) :]
                self.outbound.consume(self.stream.send(self.outbound.filled_run()))
            except BlockingIOError:
                return False
        return True

    def sending(self) -> bool:
        return bool(self.unsent or self.outbound)

    # memory -----------------------------------------------

    def hold(self, size: int) -> bool:
        """Counts bytes that are kept for this connection; False if there is no room for them."""
        if not self.memory.try_acquire(size):
            return False
        self.held += size
        return True

    def release(self) -> None:
        self.memory.release(self.held)
        self.held = 0
