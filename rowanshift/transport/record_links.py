"""Connections that carry records between the processes of one system."""

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

CONNECT_TIMEOUT_SECONDS = 0.4  # seconds
SENDER_CONNECT_TIMEOUT_SECONDS = (
    0.25  # seconds that a sender waits for a connection: a machine that just gets power back misses the first
)
RECONNECT_PAUSE_SECONDS = 0.1  # seconds between dials
MAX_QUEUED_RECORDS = 64  # records for one machine; the oldest goes
WRITE_TIMEOUT_SECONDS = 1.5  # seconds that a write may take


class ConnectionFailed(Exception):
    """A record could not be exchanged; it may have arrived."""


class RecordReader:
    """Whole records from one stream."""

    def __init__(self, stream: Stream, codec: Codec) -> None:
        self.stream, self.codec = stream, codec
        self.frames, self.ring = FrameDecoder(), RingBuffer()
        self.ready: deque[Frame] = deque()

    async def next(self) -> tuple[int, Any]:
        """The call's number and the record; ``MalformedRecord``, or ``ConnectionFailed`` at the end."""
        while not self.ready:
            if not await receive(self.stream, self.ring):
                raise ConnectionFailed("the other side ended")
            self.ready.extend(self.frames.feed(self.ring.read()))
        kind, number, body = self.ready.popleft()
        return number, self.codec.unpack(kind, body)


class RecordClient:
    """One call at a time on one connection to one address."""

    def __init__(self, host: Runtime, codec: Codec, address: Address) -> None:
        self.host, self.codec, self.address = host, codec, address
        self.inbox: RecordReader | None = None
        self.number = 0

    async def ask(self, record: Any, within: float) -> Any:
        """The answer; ``ConnectionFailed`` if none comes within so many seconds."""
        self.number = (self.number + 1) & 0xFFFFFFFF
        answer, whole = None, False
        try:
            with trio.move_on_after(within):
                if self.inbox is None:
                    stream = self.host.stream()
                    self.inbox = RecordReader(stream, self.codec)
                    with trio.fail_after(min(within, CONNECT_TIMEOUT_SECONDS)):
                        await connect(stream, self.address)
                await send_all(self.inbox.stream, self.codec.pack(record, self.number))
                number = None
                while number != self.number:
                    number, answer = await self.inbox.next()
                whole = True
        except (OSError, MalformedRecord, trio.ClosedResourceError, trio.TooSlowError) as error:
            raise ConnectionFailed(repr(error)) from error
        finally:
            if not whole:
                self.close()
        if not whole:
            raise ConnectionFailed(f"no answer within {within} s")
        return answer

    def close(self) -> None:
        if self.inbox is not None:
            self.inbox.stream.close()
            self.inbox = None


class RecordSender:
    """Records one way to one machine; the newest ``most`` are kept while it can't be reached.

    ``alive`` tells whether the machine was heard since this connection has been up; a write may take ``stuck`` seconds.
    """

    def __init__(
        self,
        host: Runtime,
        codec: Codec,
        address: Address,
        hello: Any,
        alive: Callable[[], bool],
        most: int = MAX_QUEUED_RECORDS,
        stuck: float = WRITE_TIMEOUT_SECONDS,
    ) -> None:
        self.host, self.codec, self.address, self.hello = host, codec, address, hello
        self.alive, self.stuck = alive, stuck
        self.queue: deque[Any] = deque(maxlen=most)
        self.wake = trio.Event()
        self.opened_at = 0.0  # trio's time of the dial
        self.stopped = False

    def put(self, record: Any) -> None:
        self.queue.append(record)
        self.wake.set()

    def stop(self) -> None:
        self.stopped = True
        self.wake.set()

    async def run(self) -> None:
        while not self.stopped:
            await self.wake.wait()
            stream = None
            try:
                stream = self.host.stream()
                with trio.fail_after(SENDER_CONNECT_TIMEOUT_SECONDS):
                    await connect(stream, self.address)
                self.opened_at = trio.current_time()
                await self._write(stream, self.hello)
                while not self.stopped and self.alive():
                    if not self.queue:
                        self.wake = trio.Event()
                        await self.wake.wait()
                        continue
                    await self._write(stream, self.queue.popleft())
            except (OSError, trio.TooSlowError, trio.ClosedResourceError) as error:
                logger.debug("event=link_failed to={} error={!r}", self.address[0], error)
                self.queue.clear()  # whoever said it says it again
            finally:
                if stream is not None:
                    stream.close()
            await self.host.pause(RECONNECT_PAUSE_SECONDS)

    async def _write(self, stream: Stream, record: Any) -> None:
        with trio.fail_after(self.stuck):
            await send_all(stream, self.codec.pack(record))
