"""One exchange with a server: a request is written to a connection while its response is read.

A server may begin to work on a request as soon as it has its head, and may answer before it has read the body. So the
response is awaited from the first byte written on, the rest of the request is written meanwhile, and a request whose
complete head was handed to the operating system counts as one that may have run, whatever became of its body. Times
are trio's, in seconds.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from rowanshift.dataplane.endpoints import Endpoint
from rowanshift.dataplane.errors import DataPlaneError
from rowanshift.transport.flow import Flow
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.runtime import Runtime, wait_readable_or_writable

ABANDON_CHECK_SECONDS = 0.5  # interval of checks whether to go on waiting for a response
DEFAULT_IDLE_SECONDS = 4.0  # idle connections are kept for this time if the server sends no Keep-Alive timeout


class ExchangeFailure(Enum):
    """How an exchange failed."""

    NOT_SENT = "unsent"  # no server can have got the complete head of the request: it can't have been executed
    BROKEN = "broken"  # the connection ended after the head of the request was written: it may have been executed
    MALFORMED = "garbled"  # the received bytes are not an HTTP response
    MISMATCHED = "mismatched"  # the response belongs to another request
    TIMED_OUT = "late"  # the deadline passed
    SERVER_SILENT = "silent"  # the server is abandoned for another one
    CLIENT_DISCONNECTED = "client gone"  # the client no longer waits for the response


AbandonCheck = Callable[[], ExchangeFailure | None]  # returns why to stop waiting for a response; None: wait on


class ExchangeFailed(DataPlaneError):
    """An exchange ended without a complete response; ``failure`` says how, the text why.

    ``retry_decision`` decides whether the request may be retried.
    """

    def __init__(self, failure: ExchangeFailure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


@dataclass(slots=True, eq=False)
class ServerConnection:
    """One connection to a server, and the response being read from it."""

    endpoint: Endpoint
    http: Connection
    idle_since: float = 0.0  # 0: it has not been idle yet
    max_idle_seconds: float = DEFAULT_IDLE_SECONDS
    response: Message | None = None
    closed: bool = False
    released: bool = False  # returned to the pool, which has kept or closed it
    bytes_of_earlier_requests: int = 0
    sent_at: float = 0.0  # time at which the first bytes of the last request were handed to the operating system
    written_on_at: float = 0.0  # time at which the server last made room for the rest of a request
    request_unfinished: bool = False  # the rest of a request is due on it, and will not be written


class ServerExchange:
    """A request and its response on one connection.

    ``abandon`` is called at least every ``ABANDON_CHECK_SECONDS`` while the exchange waits.
    """

    def __init__(
        self,
        runtime: Runtime,
        connection: ServerConnection,
        request_id: bytes,
        deadline: float,
        abandon: AbandonCheck,
    ) -> None:
        self.runtime = runtime
        self.connection = connection
        self.request_id = request_id
        self.deadline = deadline
        self.abandon = abandon
        self.request_bytes = 0
        self.head_bytes = 0
        self.write_error: OSError | trio.ClosedResourceError | None = None
        self.closed_by_server = False  # the server's end of sending was received, and no reset before it

    # writing ----------------------------------------------

    def send(self, data: bytes, head_bytes: int) -> None:
        """Write a request as far as the operating system accepts it; ``read_head`` and ``read_body`` write the rest.

        ``head_bytes`` is the size of the head, at the start of ``data``.
        """
        self.request_bytes, self.head_bytes = len(data), head_bytes
        self.connection.http.response_has_no_body = data.startswith(b"HEAD ")
        self.connection.request_unfinished = False
        self._write(lambda: self.connection.http.push(data))
        self.connection.sent_at = trio.current_time()

    def _write_on(self) -> None:
        """Write more of the request, if some is left."""
        http = self.connection.http
        if self.write_error is not None or not http.sending():
            return
        unwritten = http.unsent_bytes
        self._write(http.pump)
        if http.unsent_bytes < unwritten:
            self.connection.written_on_at = trio.current_time()

    def _write(self, write: Callable[[], bool]) -> None:
        """Call ``write``. After an error the rest is dropped; what the server has sent can still be read."""
        try:
            write()
        except (OSError, trio.ClosedResourceError) as error:
            self.write_error = error
            # an EPIPE that is the first error follows the server's end of sending, a reset gives ECONNRESET
            self.closed_by_server = self.closed_by_server or isinstance(error, BrokenPipeError)
            self.connection.request_unfinished = True

    @property
    def unwritten_bytes(self) -> int:
        """The bytes of the request that were not handed to the operating system."""
        return self.connection.http.unsent_bytes

    @property
    def may_have_begun(self) -> bool:
        """Whether a server may have begun to work on the request."""
        if self.connection.response is not None:
            return True
        if self.request_bytes - self.unwritten_bytes < self.head_bytes:
            return False
        return not self._ended_before_arrival()

    def _ended_before_arrival(self) -> bool:
        """Whether the server had ended a connection that was kept before the request's head arrived there.

        An end of sending acknowledges all bytes that had arrived by then. The count of acknowledged bytes is believed
        only if it contains those of earlier requests.
        """
        earlier = self.connection.bytes_of_earlier_requests
        if not (self.closed_by_server and earlier):
            return False
        acknowledged = self.connection.http.stream.acknowledged()
        return acknowledged is not None and earlier <= acknowledged < earlier + self.head_bytes

    def finish(self) -> None:
        """Record a complete exchange, before the connection is used for another one."""
        self.connection.bytes_of_earlier_requests += self.request_bytes
        self.connection.request_unfinished = self.connection.request_unfinished or bool(self.unwritten_bytes)

    # reading ----------------------------------------------

    async def read_head(self) -> Message:
        """Read a response's head, and its body unless that is streamed; raises ``ExchangeFailed`` if that fails."""
        connection, http = self.connection, self.connection.http
        while True:
            self._write_on()
            try:
                message, open_for_more = http.read_on()
            except MalformedMessage as error:
                raise self._failed(ExchangeFailure.MALFORMED, str(error)) from error
            except (OSError, trio.ClosedResourceError) as error:
                raise self._failed(ExchangeFailure.BROKEN, repr(self.write_error or error)) from error
            if message is not None:
                break
            if not open_for_more:
                self.closed_by_server = self.closed_by_server or self.write_error is None
                raise self._failed(ExchangeFailure.BROKEN, "the server closed the connection before a response")
            if http.read_filled_buffer:
                continue
            self._check_abandoned()
            await self._wait()
        if dict(message.fields).get(b"request-id") != self.request_id:
            if message.flow is not None:
                message.flow.cancel()
            raise self._failed(ExchangeFailure.MISMATCHED, "the response lacks the Request-Id of the request")
        connection.response = message
        return message

    async def read_body(self, flow: Flow) -> bytes:
        """Return the next bytes of a response's body, b"" at its regular end.

        Raises ``ExchangeFailed`` if the body is truncated. ``flow`` holds the bytes read so far.
        """
        http = self.connection.http
        while True:
            if flow.pieces:
                data = flow.pop()
                return data + b"".join(flow.pop() for _ in range(len(flow.pieces)))
            if flow.ended:
                return b""
            if http.error is not None:
                raise ExchangeFailed(ExchangeFailure.MALFORMED, str(http.error))
            self._write_on()
            open_for_more = True
            try:
                if not await self._wait():
                    self._check_abandoned()
                    continue
                open_for_more = http.read_body()
            except (OSError, trio.ClosedResourceError) as error:
                raise ExchangeFailed(ExchangeFailure.BROKEN, repr(error)) from error
            if not open_for_more and not flow.ended and not flow.pieces:
                raise ExchangeFailed(
                    ExchangeFailure.BROKEN, "the server closed the connection within the response body"
                )

    async def _wait(self) -> bool:
        """Wait until more can be read or written; False if ``ABANDON_CHECK_SECONDS`` or the deadline passed first."""
        stream = self.connection.http.stream
        with trio.CancelScope(deadline=min(self.deadline, trio.current_time() + ABANDON_CHECK_SECONDS)) as scope:
            if self.unwritten_bytes and self.write_error is None:
                await wait_readable_or_writable(self.runtime, stream)
            else:
                await stream.wait_readable()
        return not scope.cancelled_caught

    def _failed(self, failure: ExchangeFailure, reason: str) -> ExchangeFailed:
        """The failure of an exchange without a response: ``NOT_SENT`` if no server can have begun to work on it."""
        if not self.may_have_begun:
            return ExchangeFailed(ExchangeFailure.NOT_SENT, reason)
        return ExchangeFailed(failure, reason)

    def _check_abandoned(self) -> None:
        """Raise ``ExchangeFailed`` if the response is no longer worth waiting for."""
        if (failure := self.abandon()) is not None:
            raise ExchangeFailed(failure, "the response was abandoned")
        if trio.current_time() >= self.deadline:
            raise self._failed(ExchangeFailure.TIMED_OUT, "the deadline passed before the response was complete")
