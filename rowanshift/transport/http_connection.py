"""HTTP/1.1 messages over one stream: a strict parser fed from an inbound ring buffer, and an outbound ring buffer."""

import re
from collections import deque
from dataclasses import dataclass, field

import httptools

from rowanshift.transport.buffer import RingBuffer
from rowanshift.transport.flow import Flow
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.streams import Stream

LARGEST_HEAD = 16 * 1024  # bytes
WHOLE = 64 * 1024  # bytes of a body that is buffered, so that it can be sent again; longer bodies are streamed
LARGEST_BODY = 32 * 1024 * 1024  # bytes of a streamed request body
ROUNDS = 16  # reads in one call of ``read_on``
MOST_HINTS = 8  # interim (1xx) responses before a final response
GO_AHEAD = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_BODY = (204, 304)
BLANKS = (b" ", b"\t")
STATUS_LINE = re.compile(rb"HTTP/1\.\d \d{3}")  # inside a head, it starts another response

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
    """A message that violates HTTP/1.1 or a limit; the text says how, ``status`` is the one for the client."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response; its head is complete, and its body unless ``flow`` carries the rest."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    fields: Fields = field(default_factory=list)  # names in lower case
    body: bytes = b""
    keep: bool = True  # whether its sender keeps the connection open after it
    flow: Flow | None = None  # the streamed part of the body; ``keep`` is then valid only once the flow has ended
    length: int | None = None  # Content-Length, if the head has it
    old: bool = False  # whether its sender speaks HTTP/1.0

    def end_to_end(self) -> Fields:
        """The header fields to forward unchanged: all but the hop-by-hop ones and those that Connection names."""
        named = {
            name.strip().lower() for field, value in self.fields if field == b"connection" for name in value.split(b",")
        }
        return [(name, value) for name, value in self.fields if name not in HOP_BY_HOP and name not in named]


class Connection:
    """One side of an HTTP/1.1 connection: parses received messages and buffers outgoing bytes.

    With ``flows``, a message with a long body is returned before the body is complete, and a ``Flow`` carries the
    rest; without it, such a body is an error. With ``stream_success_bodies``, the body of a 2xx response is streamed
    from its first byte. ``body_limit_bytes`` limits a body that has to be buffered completely; 0 selects the default.
    """

    def __init__(
        self,
        stream: Stream,
        parser: type,
        memory: MemoryBudget,
        flows: bool = False,
        stream_success_bodies: bool = False,
        body_limit_bytes: int = 0,
    ) -> None:
        self.stream, self.memory, self.reads_requests = stream, memory, parser is httptools.HttpRequestParser
        self.flows, self.stream_success_bodies = flows, stream_success_bodies
        self.flow: Flow | None = None  # streamed body of the message that is being read
        self.body_limit_bytes = body_limit_bytes or (
            (LARGEST_BODY if flows else WHOLE) if self.reads_requests else memory.largest_response
        )
        self.parser = parser(self)
        self.inbound, self.outbound = RingBuffer(), RingBuffer()
        self.unsent = memoryview(b"")  # bytes that did not fit into the outbound ring
        self.complete_messages: deque[Message] = deque()
        self.error: MalformedMessage | None = None  # parse error in the bytes after the complete messages
        self.kept = True  # whether the sender of the last complete message keeps the connection open
        self.partial = False  # whether a message has begun and is not complete
        self.read_filled_buffer = False  # whether the last read filled the free space, so that more may be waiting
        self.held_bytes = 0  # bytes of bodies acquired from the memory budget
        self.owes_continue = False  # a pipelined request waits for 100 Continue behind one that is not answered yet
        self.response_has_no_body = False  # the next response answers HEAD: its head is all of it
        self.reset_on_close = False  # the response ends with the connection; a plain close would make it look complete
        self._start()

    def _start(self) -> None:
        self.message, self.pieces, self.size = Message(), [], 0
        self.reason_phrase = b""
        self.in_head, self.head_bytes, self.interim_responses = True, 0, 0
        self.body_ends_at_close = False  # no length and no chunks: the body ends when the connection is closed

    # the stream -------------------------------------------

    def close(self) -> None:
        if not self.closed():
            if self.reset_on_close:
                self.stream.reset()
            else:
                self.stream.close()
            if self.flow is not None:
                self.flow.abort()
            for message in self.complete_messages:  # nobody will take them
                if message.flow is not None:
                    message.flow.cancel()
            self.parser = None  # breaks the reference cycle between connection and parser
            self.release()

    def closed(self) -> bool:
        return self.stream.closed()

    # receiving --------------------------------------------

    def receive(self) -> bool:
        """Read once from the stream; False if the peer has ended its sending."""
        space, count = self.inbound.free_run(), 0
        try:
            count = self.stream.recv_into(space)
        except BlockingIOError:
            return True
        finally:
            self.inbound.commit(count)
            self.read_filled_buffer = count == len(space)
        return count > 0

    def read_on(self) -> tuple[Message | None, bool]:
        """Read until a message is available; returns it or None, and whether the peer may send more."""
        for _ in range(ROUNDS):
            open_for_more = self.receive()
            message = self.next()
            if message is not None or not open_for_more or not self.read_filled_buffer:
                break
        if message is None and not open_for_more and self.complete_at_end_of_stream():
            message = self.next()
        return message, open_for_more

    def complete_at_end_of_stream(self) -> bool:
        """Handle the end of the peer's sending; whether it completes the message that is being read."""
        if not (self.body_ends_at_close and self.partial):
            return False
        self.on_message_complete()
        return True

    def read_body(self) -> bool:
        """Read more of a streamed body; False if the peer has ended its sending.

        A parse error is left in ``error``.
        """
        open_for_more = self.receive()
        while self.inbound and self.flow is not None and self.error is None:
            self._parse(self.inbound.read())
        if not open_for_more and self.flow is not None:
            self.complete_at_end_of_stream()
        return open_for_more

    def next(self) -> Message | None:
        """Return the next message if it has been received, else None; raises ``MalformedMessage``."""
        while self.inbound and not self.complete_messages and self.error is None:
            self._parse(self.inbound.read())
        message = self.complete_messages.popleft() if self.complete_messages else None
        if message is None and self.error is not None:
            raise self.error
        if self.owes_continue and (message is None or (message.flow is not None and message.flow is self.flow)):
            self.owes_continue = False
            self.push(GO_AHEAD)
        return message

    def pending(self) -> bool:
        """Whether received messages, bytes or an error have not been returned by ``next`` yet."""
        return bool(self.complete_messages or self.inbound or self.error)

    def clean(self) -> bool:
        """Whether no received bytes are left over, which would be parsed as a part of the next message."""
        return not (self.partial or self.pending())

    def _parse(self, data: bytes) -> None:
        if not self.partial and not b"HTTP/".startswith(data[:5]) and not self.reads_requests:
            self.error = MalformedMessage(
                400, "not an HTTP response"
            )  # the parser accepts other protocols, such as RTSP
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))
        if self.in_head and self.partial:
            self.head_bytes += len(data)
            if self.head_bytes > LARGEST_HEAD:
                self._fail(431, "the message head exceeds 16 KiB")

    def _fail(self, status: int, detail: str) -> None:
        """Record an error unless there is one already; a parser callback then raises it to stop the parser."""
        self.error = self.error or MalformedMessage(status, detail)

    def on_message_begin(self) -> None:
        interim_responses = self.interim_responses
        self._start()
        self.partial, self.interim_responses = True, interim_responses

    def on_url(self, url: bytes) -> None:
        self.message.target += url

    def on_status(self, reason: bytes) -> None:
        self.reason_phrase += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:  # trailer fields are ignored
            # the parser leaves trailing blanks on a value whose line end arrives in a later read
            value = value.strip(b" \t") if value[-1:] in BLANKS else value
            self.message.fields.append((name.lower(), value))
            self._reject_embedded_status_line(value)

    def _reject_embedded_status_line(self, text: bytes) -> None:
        """Reject a response in which a status line follows a truncated line.

        A truncated earlier response may end within a line; the parser would append the next status line to it.
        """
        if not self.reads_requests and STATUS_LINE.search(text):
            self._fail(502, "a status line appears inside the head of a response")
            raise self.error

    def on_headers_complete(self) -> None:
        message, self.in_head = self.message, False
        self._reject_embedded_status_line(self.reason_phrase)
        version = self.parser.get_http_version()
        framing_fields = {
            name: value
            for name, value in message.fields
            if name in (b"content-length", b"transfer-encoding", b"expect")
        }
        length = None
        if (text := framing_fields.get(b"content-length")) is not None:
            length = message.length = int(text)
        message.old = version == "1.0"
        if not self.reads_requests:
            message.status = self.parser.get_status_code()
        if version not in ("1.0", "1.1"):
            self._fail(505, "unsupported HTTP version: expected HTTP/1.0 or HTTP/1.1")
        elif (
            length is not None
            and length > self.body_limit_bytes
            and not (self.response_has_no_body or message.status in NO_BODY)
            and (self.reads_requests or not self._may_stream_body())
        ):
            self._fail(413, f"{self.body_limit_bytes >> 10} KiB is the maximum body size")
        elif self.reads_requests:
            self._on_request_head(framing_fields.get(b"expect", b""), version)
        else:
            self._on_response_head(bool(framing_fields), length)
        if self.error is not None:
            raise self.error

    def _on_request_head(self, expect: bytes, version: str) -> None:
        message = self.message
        message.method = self.parser.get_method()
        if sum(name == b"host" for name, _ in message.fields) != 1 and version == "1.1":
            self._fail(400, "exactly one Host header is required")
        elif expect.lower() == b"100-continue" and not self.unsent:
            if self.complete_messages:  # the client would read it as part of the response to an earlier request
                self.owes_continue = True
            else:
                self.push(GO_AHEAD)

    def _on_response_head(self, is_framed: bool, length: int | None) -> None:
        status = self.message.status
        if self.response_has_no_body and status >= 200:
            self._end_at_head()
            return
        if not is_framed and status >= 200 and status not in NO_BODY:
            self.body_ends_at_close = True
        is_success = 200 <= status < 300
        is_long = length is not None and length > WHOLE and self._may_stream_body()
        if is_long or (self.stream_success_bodies and is_success):
            self._begin_body_stream()

    def _end_at_head(self) -> None:
        """Complete a response at its head, and stop: the parser would take what follows for its body."""
        message, self.message = self.message, Message()
        message.keep = self.kept = self.partial = False
        self.complete_messages.append(message)
        self._fail(502, "bytes follow a response without a body")

    def _may_stream_body(self) -> bool:
        """Whether a long body may be streamed: that of a request, or of a 200 response."""
        return self.flows and (self.reads_requests or self.message.status == 200)

    def _begin_body_stream(self) -> None:
        """Start to stream the body. The part of a request's body received so far stays buffered, for a retry."""
        message = self.message
        self.flow = message.flow = Flow(self.memory)
        if self.reads_requests:
            message.body = b"".join(self.pieces)
        else:
            self.release()
            for piece in self.pieces:
                self.flow.put(piece)
        self.pieces = []
        self.complete_messages.append(message)

    def on_body(self, piece: bytes) -> None:
        self.size += len(piece)
        if self.size > WHOLE and self.flow is None and self._may_stream_body():
            self._begin_body_stream()
        if self.flow is not None and (self.size <= self.body_limit_bytes or not self.reads_requests):
            return self.flow.put(piece)
        if self.size > self.body_limit_bytes:
            self._fail(413, f"{self.body_limit_bytes >> 10} KiB is the maximum body size")
            raise self.error
        if not self.hold(len(piece)):
            self._fail(503, "no memory is available for the body")
            raise self.error
        self.pieces.append(piece)

    def on_message_complete(self) -> None:
        self.partial = self.owes_continue = False
        message = self.message
        if not self.reads_requests and message.status < 200:
            self.interim_responses += 1
            if self.interim_responses > MOST_HINTS:
                self._fail(502, "too many interim (1xx) responses")
                raise self.error
            return
        message.keep = self.kept = self.parser.should_keep_alive() and not self.body_ends_at_close
        if self.flow is not None:
            self.flow, flow = None, self.flow
            flow.end()
        else:
            message.body = b"".join(self.pieces)
            self.complete_messages.append(message)
        self._start()

    # sending ----------------------------------------------

    def push(self, data: bytes) -> bool:
        """Send as much as the socket accepts; whether that was all. ``pump`` sends the rest."""
        self.unsent = memoryview(data)
        return self.pump()

    def pump(self) -> bool:
        while self.unsent or self.outbound:
            try:
                if not self.outbound and len(self.unsent) > self.outbound.capacity:  # skip the copy into the ring
                    self.unsent = self.unsent[self.stream.send(self.unsent) :]
                    continue
                self.unsent = self.unsent[self.outbound.write(self.unsent) :]
                self.outbound.consume(self.stream.send(self.outbound.filled_run()))
            except BlockingIOError:
                return False
        return True

    def sending(self) -> bool:
        return bool(self.unsent or self.outbound)

    @property
    def unsent_bytes(self) -> int:
        """Bytes given to ``push`` that the stream has not accepted yet."""
        return len(self.unsent) + len(self.outbound)

    # memory -----------------------------------------------

    def hold(self, size: int) -> bool:
        """Acquire memory for bytes kept for this connection; False if the budget does not allow it."""
        if not self.memory.try_acquire(size):
            return False
        self.held_bytes += size
        return True

    def release(self) -> None:
        self.memory.release(self.held_bytes)
        self.held_bytes = 0
