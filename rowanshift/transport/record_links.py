"""Connections that carry encoded records between the processes of the system."""

from collections import deque
from collections.abc import Callable
from typing import Any

import trio
from loguru import logger

from rowanshift.transport.buffer import RingBuffer
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address, Stream, connect, receive, send_all
from rowanshift.wire.codec import Codec, Frame, FrameDecoder
from rowanshift.wire.errors import MalformedRecord

CONNECT_TIMEOUT_SECONDS = 0.4
SENDER_CONNECT_TIMEOUT_SECONDS = 0.25  # a machine that was just powered on does not answer the first attempt
RECONNECT_PAUSE_SECONDS = 0.1
MAX_QUEUED_RECORDS = 64  # maximum per machine; beyond it the oldest is dropped
WRITE_TIMEOUT_SECONDS = 1.5


class ConnectionFailed(Exception):
    """A record could not be exchanged. It may have arrived, so only idempotent records may be sent again."""


class RecordReader:
    """Reads complete records from one stream."""

    def __init__(self, stream: Stream, codec: Codec) -> None:
        self.stream, self.codec = stream, codec
        self.frame_decoder, self.ring = FrameDecoder(), RingBuffer()
        self.ready: deque[Frame] = deque()

    async def next(self) -> tuple[int, Any]:
        """The call's number and the record. Raises ``MalformedRecord``, or ``ConnectionFailed`` if the peer closes."""
        while not self.ready:
            if not await receive(self.stream, self.ring):
                raise ConnectionFailed("the peer closed the connection")
            self.ready.extend(self.frame_decoder.feed(self.ring.read()))
        kind, number, body = self.ready.popleft()
        return number, self.codec.unpack(kind, body)


class RecordClient:
    """Calls one address, one call at a time on one connection, and reconnects after a failure."""

    def __init__(self, runtime: Runtime, codec: Codec, address: Address) -> None:
        self.runtime, self.codec, self.address = runtime, codec, address
        self.reader: RecordReader | None = None
        self.number = 0

    async def call(self, record: Any, timeout_seconds: float) -> Any:
        """The response to a record. Raises ``ConnectionFailed`` if there is none within the timeout."""
        self.number = (self.number + 1) & 0xFFFFFFFF  # 32 bits in a frame
        response, is_complete = None, False
        try:
            with trio.move_on_after(timeout_seconds):
                if self.reader is None:
                    stream = self.runtime.stream()
                    self.reader = RecordReader(stream, self.codec)
                    with trio.fail_after(min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)):
                        await connect(stream, self.address)
                await send_all(self.reader.stream, self.codec.pack(record, self.number))
                number = None
                while number != self.number:
                    number, response = await self.reader.next()
                is_complete = True
        except (OSError, MalformedRecord, trio.ClosedResourceError, trio.TooSlowError) as error:
            raise ConnectionFailed(repr(error)) from error
        finally:
            if not is_complete:
                self.close()
        if not is_complete:
            raise ConnectionFailed(f"no response within {timeout_seconds} s")
        return response

    def close(self) -> None:
        """Close the connection, if there is one; the next call opens another."""
        if self.reader is not None:
            self.reader.stream.close()
            self.reader = None


class RecordSender:
    """Sends records one way to one machine; while it can't be reached, the newest ``max_queued`` records are queued.

    ``is_alive`` says whether the connection is worth keeping: whether the machine was heard from since it was opened,
    or recently. A write may take ``write_timeout_seconds``. ``hello`` is the first record of each connection.
    """

    def __init__(
        self,
        runtime: Runtime,
        codec: Codec,
        address: Address,
        hello: Any,
        is_alive: Callable[[], bool],
        max_queued: int = MAX_QUEUED_RECORDS,
        write_timeout_seconds: float = WRITE_TIMEOUT_SECONDS,
    ) -> None:
        self.runtime, self.codec, self.address, self.hello = runtime, codec, address, hello
        self.is_alive, self.write_timeout_seconds = is_alive, write_timeout_seconds
        self.queue: deque[Any] = deque(maxlen=max_queued)
        self.wake = trio.Event()
        self.opened_at = 0.0  # trio's time at which the connection was established
        self.stopped = False

    def put(self, record: Any) -> None:
        """Queue a record."""
        self.queue.append(record)
        self.wake.set()

    def stop(self) -> None:
        """Make ``run`` return without sending the queued records."""
        self.stopped = True
        self.wake.set()

    async def run(self) -> None:
        """Connect once there is a record, send the queue, and reconnect after a failure."""
        while not self.stopped:
            await self.wake.wait()
            stream = None
            try:
                stream = self.runtime.stream()
                with trio.fail_after(SENDER_CONNECT_TIMEOUT_SECONDS):
                    await connect(stream, self.address)
                self.opened_at = trio.current_time()
                await self._write(stream, self.hello)
                await self._send_queue(stream)
            except (OSError, trio.TooSlowError, trio.ClosedResourceError) as error:
                logger.debug("event=link_failed to={} error={!r}", self.address[0], error)
                self.queue.clear()  # the protocol retransmits records that are still needed
            finally:
                if stream is not None:
                    stream.close()
            await self.runtime.pause(RECONNECT_PAUSE_SECONDS)

    async def _send_queue(self, stream: Stream) -> None:
        while not self.stopped and self.is_alive():
            if not self.queue:
                self.wake = trio.Event()
                await self.wake.wait()
                continue
            await self._write(stream, self.queue.popleft())

    async def _write(self, stream: Stream, record: Any) -> None:
        with trio.fail_after(self.write_timeout_seconds):
            await send_all(stream, self.codec.pack(record))
