"""The server side: connection pools, dialling, and the carrying out of each hand-off up to its ``Verdict``."""

import errno
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import httptools
import trio
from loguru import logger

from rowanshift.cacheproxy.clock import Clock
from rowanshift.cacheproxy.exchange import HandOff, Reply, no_op
from rowanshift.cacheproxy.model import Verdict
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.flow import LAST_CHUNK, Flow, framed
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Nursery, Runtime, wait_readable_or_writable

REMARKS = {b"hit": 1, b"miss": 2, b"pending": 3}  # the decision module's numbers for the values of x-found
OVERTAKEN_LIMIT = 8  # A hand-off without a response is reported once so many later ones have ended.
MEAN_LATENCY_GAIN, SLOW_FACTOR = 0.05, 3.5  # A latency above this multiple of the moving average is slow.
BODY_STALL_SECONDS = 10.0  # A long response or request is aborted if no byte of it moves for so long.
EARLY_RESPONSE_POLL_SECONDS = 0.1  # An upload is interrupted to check for a response so often.
IDLE_FRACTION = 0.8  # Connections are kept for this part of the idle timeout, at whose end the server may close them.

ResultCallback = Callable[[HandOff, Verdict, int | None, Reply | None], None]


@dataclass(slots=True, eq=False)
class Target:
    """A server at an address. A new address makes a new target; connections to the old one are not reused."""

    address: tuple[str, int]
    idle: list["Link"] = field(default_factory=list)  # The longest idle one is first, and is reused first.
    dialling: list["Link"] = field(default_factory=list)
    mean_latency: float = 0.0  # the moving average of the seconds from a request to its response
    busy: dict["Link", None] = field(default_factory=dict)  # those with a hand-off in progress, in order of sending
    reusable: bool = True  # Connections are kept after a response.


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a server and the hand-off in progress on it."""

    target: Target
    connection: Connection
    hand_off: HandOff | None
    deadline: float = 0.0  # The next step must happen by then, in trio's time.
    idle_since: float = 0.0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    request_written: bool = False  # to its last byte
    write_failed: bool = False
    withdrawn: bool = False
    response_begun: bool = False
    overtaken_by: int = 0  # the number of later hand-offs to the server that have ended
    overtaken_reported: bool = False
    closed: bool = False
    response_flow: Flow | None = None  # the body of a long response that is being forwarded
    response_head: Message | None = None  # the head of that response


def verdict_of(message: Message) -> Verdict:
    """The verdict on a hand-off with this response."""
    match message.status:
        case 200:
            return Verdict.FINISHED
        case 404:
            return Verdict.MISS
        case 503 | 504 if (b"x-turned-away", b"1") in message.fields:
            return Verdict.FULL
    return Verdict.ERROR


class Servers:
    """The connections to all servers.

    Each hand-off ends with a call of ``on_result``. ``on_written`` is called after the last byte of its request,
    ``on_body_consumed`` once the request can't be sent again in full, and ``on_overtaken`` after ``OVERTAKEN_LIMIT``
    later hand-offs have ended.
    """

    def __init__(
        self,
        clock: Clock,
        dial_timeout: float,
        idle_timeout: float,
        stall_timeout: float,
        budget: DescriptorBudget,
        memory: MemoryBudget,
        nursery: Nursery,
        runtime: Runtime = SYSTEM_RUNTIME,
    ) -> None:
        self.clock, self.budget, self.memory, self.nursery, self.runtime = clock, budget, memory, nursery, runtime
        self.dial_timeout, self.idle_timeout = dial_timeout, IDLE_FRACTION * idle_timeout
        self.stall_timeout = stall_timeout  # A response without a new byte for so many seconds has failed.
        self.targets: dict[str, Target] = {}
        self.out: dict[tuple[int, int], Link] = {}  # hand-offs in progress, by exchange and number
        self.on_result: ResultCallback = lambda *_: None
        self.on_body_consumed: Callable[[HandOff], None] = lambda hand_off: None
        self.on_written: Callable[[HandOff], None] = lambda hand_off: None
        self.on_overtaken: Callable[[HandOff], None] = lambda *_: None
        budget.close_idle_server = self.close_oldest_idle

    # changes of the list

    def set_address(self, server: str, address: tuple[str, int]) -> None:
        """Adds a live server, or moves it to another address."""
        target = self.targets.get(server)
        if target is None or target.address != address:
            self.remove(server)
            target = self.targets[server] = Target(address)
        target.reusable = True

    def drain(self, server: str) -> None:
        """Closes idle connections to a server and cancels dials.

        Where the dial timeout is longer than the grace period of a drain, a hand-off on a new connection would reach
        the server too late. Busy connections close after their response.
        """
        if (target := self.targets.get(server)) is not None:
            target.reusable = False
            for link in [*target.idle]:
                self._close(link)
            for link in target.dialling:
                link.scope.cancel()

    def undrain(self, server: str) -> None:
        """Uses a drained server again, at the same address."""
        if (target := self.targets.get(server)) is not None:
            target.reusable = True

    def remove(self, server: str) -> None:
        """Drains a server and forgets its address."""
        self.drain(server)
        self.targets.pop(server, None)

    def retain_only(self, servers: Iterable[str]) -> None:
        """Removes all servers but these."""
        retained = set(servers)
        for server in [server for server in self.targets if server not in retained]:
            self.remove(server)

    # hand-offs

    def close_oldest_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns False if none is idle."""
        links = (target.idle[0] for target in self.targets.values() if target.idle)
        oldest = min(links, key=lambda link: link.idle_since, default=None)
        if oldest is None:
            return False
        self._close(oldest)
        return True

    def hand_off(self, hand_off: HandOff) -> bool:
        """Starts a hand-off, whose outcome ``on_result`` receives; False if there is no address or descriptor."""
        if (target := self.targets.get(hand_off.server)) is None:
            return False
        while target.idle:
            link = target.idle[0]
            if link.connection.stream.readable():  # The server closed it, or sent unrequested bytes.
                self._close(link)
                continue
            del target.idle[0]
            link.hand_off = hand_off
            self._start_request(link)
            return True
        if not self.budget.try_acquire_server():
            return False
        try:
            stream = self.runtime.stream()
        except OSError as error:
            logger.warning("event=socket_not_created error={!r}", error)
            self.budget.release_server()
            return False
        link = Link(target, Connection(stream, httptools.HttpResponseParser, self.memory, flows=True), hand_off)
        self.out[hand_off.exchange.id, hand_off.number] = link
        target.dialling.append(link)
        self.nursery.start_soon(self._serve, link)
        return True

    def withdraw(self, id: int, number: int) -> None:
        """Cancels a hand-off, if it is still in progress."""
        if (link := self.out.get((id, number))) is not None:
            link.withdrawn = True
            link.scope.cancel()

    # one connection

    async def _serve(self, link: Link) -> None:
        """Runs a connection from dialling to the close, one hand-off after another."""
        try:
            if await self._dial(link):
                self._start_request(link)
                while not link.closed:
                    if link.response_flow is not None:
                        await self._stream_response(link)
                    elif (
                        link.hand_off is not None
                        and link.hand_off.exchange.flow is not None
                        and not link.request_written
                    ):
                        await self._stream_request(link)
                    else:
                        await self._step(link)
        except trio.ClosedResourceError:
            pass  # Another task closed the connection while it was idle.
        except Exception:
            logger.exception("event=server_connection_failed")
            if link.hand_off is not None:
                self._finish(link, Verdict.RESET if link.request_written else Verdict.UNREACHABLE)
        finally:
            self._close(link)

    async def _dial(self, link: Link) -> bool:
        hand_off, stream = link.hand_off, link.connection.stream
        link.deadline = min(trio.current_time() + self.dial_timeout, self.clock.deadline(hand_off.deadline))
        connected = False
        with trio.CancelScope(deadline=link.deadline) as link.scope:
            try:
                if not link.target.reusable:  # The server was drained before this task began.
                    raise ConnectionAbortedError
                error_number = stream.connect_ex(link.target.address)
                if error_number == errno.EINPROGRESS:
                    await stream.wait_writable()
                    error_number = stream.dialled()
                connected = not error_number and not link.withdrawn
            except OSError as error:
                logger.debug("event=dial_failed server={} error={!r}", hand_off.server, error)
        link.target.dialling.remove(link)
        if not connected:
            self._finish(link, self._verdict_if_unwritten(link))
        return connected

    def _verdict_if_unwritten(self, link: Link) -> Verdict:
        """The verdict on a hand-off whose last byte was not written, so that the server can't have run it."""
        hand_off = link.hand_off
        if link.withdrawn:
            return Verdict.WITHDRAWN
        if self.clock.now() >= hand_off.deadline >= hand_off.exchange.expiry:
            return Verdict.MOOT  # The request expired first, which does not count against the server.
        return Verdict.UNREACHABLE

    def _verdict_without_response(self, link: Link) -> Verdict:
        """The verdict on a hand-off whose connection ended before a response."""
        return Verdict.RESET if link.request_written else self._verdict_if_unwritten(link)

    def _start_request(self, link: Link) -> None:
        """Writes what the kernel accepts of the request at once; the connection's task writes the rest."""
        hand_off = link.hand_off
        self.out[hand_off.exchange.id, hand_off.number] = link
        link.deadline = self.clock.deadline(hand_off.deadline)
        link.request_written = link.response_begun = False
        flow = hand_off.exchange.flow
        try:
            link.request_written = link.connection.push(self._encode_request(hand_off)) and flow is None
        except OSError:
            link.write_failed = True
        if flow is not None:
            hand_off.exchange.on_expiry_set = partial(self._extend_deadline, link, hand_off)
        link.overtaken_by, link.overtaken_reported = 0, False
        link.target.busy[link] = None
        if link.request_written:
            self.on_written(hand_off)
            link.scope.deadline = link.deadline
        else:
            link.scope.cancel()

    def _extend_deadline(self, link: Link, hand_off: HandOff) -> None:
        """Takes over the expiry that is set once the last byte of a long request is received."""
        if link.hand_off is hand_off:
            hand_off.deadline = hand_off.exchange.expiry
            link.deadline = link.scope.deadline = self.clock.deadline(hand_off.deadline)

    async def _stream_request(self, link: Link) -> None:
        """Writes a long request as its body arrives, until it is complete or its outcome is known."""
        hand_off, connection = link.hand_off, link.connection
        flow, consumed, early = hand_off.exchange.flow, False, False
        chunked, stalls_at = hand_off.exchange.length is None, trio.current_time() + BODY_STALL_SECONDS
        with trio.CancelScope(deadline=link.deadline) as link.scope:
            try:
                while not (
                    link.write_failed
                    or link.withdrawn
                    or link.request_written
                    or early
                    or flow.aborted
                    or flow.cancelled
                ):
                    if connection.sending():
                        with trio.move_on_at(stalls_at):
                            await wait_readable_or_writable(self.runtime, connection.stream)
                        link.write_failed = trio.current_time() >= stalls_at
                        early = connection.stream.readable()
                        unsent = connection.unsent_bytes
                        connection.pump()
                        if connection.unsent_bytes < unsent:
                            stalls_at = trio.current_time() + BODY_STALL_SECONDS
                    elif flow.pieces:
                        if not consumed:
                            consumed = True
                            self.on_body_consumed(hand_off)
                        connection.push(framed(flow.pop(), chunked))
                        stalls_at = trio.current_time() + BODY_STALL_SECONDS
                    elif not flow.ended:
                        with trio.move_on_after(EARLY_RESPONSE_POLL_SECONDS):
                            await flow.wait_until_readable()
                        early = connection.stream.readable()
                    elif chunked:
                        chunked = False
                        connection.push(LAST_CHUNK)
                    else:
                        link.request_written = True
            except OSError:
                link.write_failed = True
        if link.withdrawn:
            self._finish(link, Verdict.WITHDRAWN)
        elif link.request_written:
            self.on_written(hand_off)
            link.deadline = self.clock.deadline(hand_off.deadline)
        elif flow.aborted or flow.cancelled:  # The client side ended it, which does not count against the server.
            self._finish(link, Verdict.MOOT)
        elif early or (link.write_failed and connection.stream.readable()):
            self._continue_read(link)
        elif link.write_failed or link.scope.cancelled_caught:
            self._finish(link, self._verdict_if_unwritten(link))

    async def _stream_response(self, link: Link) -> None:
        """Reads a long response to its end, as fast as the client side consumes it."""
        connection, flow = link.connection, link.response_flow
        try:
            while connection.flow is flow and connection.error is None and not flow.cancelled:
                if flow.is_full():
                    await flow.wait_until_writable()
                    continue
                with trio.move_on_after(BODY_STALL_SECONDS) as scope:
                    await connection.stream.wait_readable()
                if scope.cancelled_caught or not connection.read_body():
                    break
        except OSError:
            pass
        finally:
            link.response_flow = None
            if not flow.ended:
                if not flow.cancelled:
                    address = "{}:{}".format(*link.target.address)
                    logger.info("event=response_incomplete server={} received_bytes={}", address, flow.size)
                flow.abort()
        if flow.ended and not flow.cancelled and self._is_reusable(link, link.response_head):
            self._return_to_pool(link)
        else:
            self._close(link)

    async def _step(self, link: Link) -> None:
        """Waits for the next event on an established connection and handles it."""
        stream, writing = link.connection.stream, link.hand_off is not None and not link.request_written
        with trio.CancelScope(deadline=link.deadline) as link.scope:
            if writing and not link.write_failed and not link.withdrawn:
                await wait_readable_or_writable(self.runtime, stream)
            elif not link.write_failed and not link.withdrawn:
                await stream.wait_readable()
        if link.hand_off is None:  # The server closed it or sent unrequested bytes, or the idle timeout is over.
            if not link.closed and not (link.scope.cancelled_caught and trio.current_time() < link.deadline):
                self._close(link)
        elif link.withdrawn:
            self._finish(link, Verdict.WITHDRAWN)
        elif not link.request_written and not stream.readable():
            self._continue_write(link)
        elif link.scope.cancelled_caught and not link.connection.stream.readable():
            if trio.current_time() >= link.deadline:  # A response that stalls halfway counts as malformed.
                if link.response_begun:
                    logger.info("event=response_malformed server={} error=stalled", link.hand_off.server)
                self._finish(link, Verdict.ERROR if link.response_begun else Verdict.TIMED_OUT)
        else:
            self._continue_read(link)

    def _continue_write(self, link: Link) -> None:
        try:
            link.request_written = not link.write_failed and link.connection.pump()
        except OSError:
            link.write_failed = True
        if link.request_written:
            self.on_written(link.hand_off)
        if link.write_failed or (not link.request_written and trio.current_time() >= link.deadline):
            self._finish(link, self._verdict_if_unwritten(link))

    def _continue_read(self, link: Link) -> None:
        try:
            message, open_for_more = link.connection.read_on()
        except OSError:
            self._finish(link, self._verdict_without_response(link))
        except MalformedMessage as error:  # The server is reachable and may have run the request.
            logger.info("event=response_malformed server={} error={!r}", link.hand_off.server, error)
            self._finish(link, Verdict.ERROR)
        else:
            if message is not None and message.flow is not None:
                self._begin_long_response(link, message)
            elif message is not None:
                self._finish(link, verdict_of(message), message)
            elif not open_for_more:
                self._finish(link, self._verdict_without_response(link))
            else:
                link.response_begun = True
                stalls_at = trio.current_time() + self.stall_timeout
                link.deadline = min(self.clock.deadline(link.hand_off.deadline), stalls_at)

    def _begin_long_response(self, link: Link, message: Message) -> None:
        """Reports the result at the start of a long response, after which no other server is tried."""
        hand_off, link.hand_off = link.hand_off, None
        link.response_flow, link.response_head = message.flow, message
        del self.out[hand_off.exchange.id, hand_off.number]
        link.target.busy.pop(link, None)
        remark = REMARKS.get(dict(message.fields).get(b"x-found"))
        if hand_off.exchange.ended:
            message.flow.cancel()
        reply = Reply(message.status, message.body, message.end_to_end(), flow=message.flow, length=message.length)
        self.on_result(hand_off, verdict_of(message), remark, reply)
        self._count_overtaken(link.target, hand_off)

    def _is_reusable(self, link: Link, message: Message | None) -> bool:
        """Whether a connection may carry another hand-off: only after a complete response with nothing behind it."""
        return (
            message is not None
            and message.keep
            and link.request_written
            and link.connection.clean()
            and link.target.reusable
        )

    def _return_to_pool(self, link: Link) -> None:
        link.idle_since = trio.current_time()
        link.deadline = link.idle_since + self.idle_timeout
        link.target.idle.append(link)
        link.connection.release()

    def _finish(self, link: Link, verdict: Verdict, message: Message | None = None) -> None:
        """Ends the hand-off in progress and reports its result."""
        hand_off, link.hand_off = link.hand_off, None
        del self.out[hand_off.exchange.id, hand_off.number]
        link.target.busy.pop(link, None)
        hand_off.exchange.on_expiry_set = no_op
        remark = reply = None
        if self._is_reusable(link, message):
            self._return_to_pool(link)  # first, since ``on_result`` may start the next hand-off on it
        else:
            self._close(link)
        if message is not None:
            remark = REMARKS.get(dict(message.fields).get(b"x-found"))
            reply = Reply(message.status, message.body, message.end_to_end())
        self.on_result(hand_off, verdict, remark, reply)
        if message is not None:
            self._count_overtaken(link.target, hand_off)

    def _count_overtaken(self, target: Target, hand_off: HandOff) -> None:
        """Counts the end of a hand-off against earlier ones to the server that have no response yet.

        One that ``OVERTAKEN_LIMIT`` later ones have overtaken and that is slow for this server is reported once.
        """
        now = self.clock.now()
        target.mean_latency += MEAN_LATENCY_GAIN * (now - hand_off.started_at - target.mean_latency)
        slow_before = now - max(2 * self.stall_timeout, SLOW_FACTOR * target.mean_latency)
        for link in [*target.busy]:
            if link.hand_off.started_at < hand_off.started_at and not link.response_begun:
                link.overtaken_by += 1
                if (
                    link.overtaken_by >= OVERTAKEN_LIMIT
                    and link.hand_off.started_at < slow_before
                    and not link.overtaken_reported
                ):
                    link.overtaken_reported = True
                    self.on_overtaken(link.hand_off)

    def _close(self, link: Link) -> None:
        """Closes a connection at once: another may need its descriptor in the same turn of the event loop."""
        if not link.closed:
            link.closed = True
            if link in link.target.idle:
                link.target.idle.remove(link)
            link.connection.close()
            self.budget.release_server()

    def _encode_request(self, hand_off: HandOff) -> bytes:
        """The head of a request, and what is already there of its body."""
        exchange = hand_off.exchange
        remaining_ms = max(1, int((hand_off.deadline - self.clock.now()) * 1000))
        lines = [b"%s %s HTTP/1.1" % (exchange.method, exchange.target)]
        lines += [b"%s: %s" % field for field in exchange.headers]
        lines.append(b"x-remaining-ms: %d" % remaining_ms)
        if exchange.body or exchange.write:
            if exchange.flow is None:
                lines.append(b"content-length: %d" % len(exchange.body))
            elif exchange.length is not None:
                lines.append(b"content-length: %d" % exchange.length)
            else:
                lines.append(b"transfer-encoding: chunked")
        chunked = exchange.flow is not None and exchange.length is None
        return b"\r\n".join([*lines, b"", framed(exchange.body, chunked)])
