"""The server side: connection pools, dialling, and each hand-off to one ``Verdict``."""

import errno
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import httptools
import trio
from loguru import logger

from rowanshift.cacheproxy.clock import Clock
from rowanshift.cacheproxy.exchange import HandOff, Reply, nothing
from rowanshift.cacheproxy.model import Verdict
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.flow import LAST_CHUNK, Flow, framed
from rowanshift.transport.http_connection import Connection, MalformedMessage, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Nursery, Runtime

REMARKS = {b"hit": 1, b"miss": 2, b"pending": 3}
OVERTAKEN = 8  # later hand-offs to a server that came back tell that a connection fell silent
GAIN, LONG = 0.05, 3.5  # of the usual time of an answer: its moving average, and how much is long
SILENT_BODY = 10.0  # seconds that a long answer may stand still, or a server may take no byte of a request
EARLY = 0.1  # seconds between looks for an answer that comes before the request is whole
SPARE = 0.8  # part of the idle time that a connection is kept for: the server may close at the latest then

Done = Callable[[HandOff, Verdict, int | None, Reply | None], None]


@dataclass(slots=True, eq=False)
class Target:
    """A server at an address. One that moves is another target: what is open to the old one is not kept."""

    address: tuple[str, int]
    idle: list["Link"] = field(default_factory=list)  # the longest idle first, which is used first
    dialling: list["Link"] = field(default_factory=list)
    usual: float = 0.0  # seconds that an answer takes, on a moving average
    busy: dict["Link", None] = field(default_factory=dict)  # written, with no outcome; in that order
    kept: bool = True  # whether connections to it may be used again


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a server, and what it carries."""

    target: Target
    connection: Connection
    job: HandOff | None
    until: float = 0.0  # trio's time by which the next thing must happen
    since: float = 0.0  # idle
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    written: bool = False  # the job's last byte
    broken: bool = False  # before that
    withdrawn: bool = False
    begun: bool = False  # an answer
    overtaken: int = 0  # later hand-offs to the server that came back since
    told: bool = False  # that it was overtaken often
    ended: bool = False
    flow: Flow | None = None  # of a long answer that is passed on
    message: Message | None = None  # its head


def verdict_of(message: Message) -> Verdict:
    match message.status:
        case 200:
            return Verdict.FINISHED
        case 404:
            return Verdict.MISS
        case 503 | 504 if (b"x-turned-away", b"1") in message.fields:
            return Verdict.FULL
    return Verdict.ERROR


class Servers:
    def __init__(
        self,
        clock: Clock,
        dial_within: float,
        idle_for: float,
        stall_for: float,
        budget: DescriptorBudget,
        memory: MemoryBudget,
        nursery: Nursery,
        host: Runtime = SYSTEM_RUNTIME,
    ) -> None:
        self.clock, self.budget, self.memory, self.nursery, self.host = clock, budget, memory, nursery, host
        self.dial_within, self.idle_for = dial_within, SPARE * idle_for
        self.stall_for = stall_for  # seconds that an answer may stand still halfway
        self.targets: dict[str, Target] = {}
        self.out: dict[tuple[int, int], Link] = {}  # of hand-offs without an outcome
        self.done: Done = lambda *_: None
        self.spent: Callable[[HandOff], None] = lambda ho: None  # part of its body is gone
        self.written: Callable[[HandOff], None] = lambda ho: None  # a hand-off whose last byte has gone out
        self.silent: Callable[[HandOff], None] = lambda *_: None  # a hand-off that was overtaken often
        budget.close_idle_server = self.drop_idle

    # the list ---------------------------------------------

    def locate(self, server: str, address: tuple[str, int]) -> None:
        """Where a live server is."""
        target = self.targets.get(server)
        if target is None or target.address != address:
            self.forget(server)
            target = self.targets[server] = Target(address)
        target.kept = True

    def leave(self, server: str) -> None:
        """Closes idle connections to a server, and those that are not up yet: where the time for dialling
        is longer than the grace of a drain, their hand-offs would come too late. Busy ones close once they
        have their answer."""
        if (target := self.targets.get(server)) is not None:
            target.kept = False
            for link in [*target.idle]:
                self._end(link)
            for link in target.dialling:
                link.scope.cancel()

    def join(self, server: str) -> None:
        """A server that had left serves again, where it was."""
        if (target := self.targets.get(server)) is not None:
            target.kept = True

    def forget(self, server: str) -> None:
        self.leave(server)
        self.targets.pop(server, None)

    def forget_others(self, servers: Iterable[str]) -> None:
        named = set(servers)
        for server in [server for server in self.targets if server not in named]:
            self.forget(server)

    # calls ------------------------------------------------

    def drop_idle(self) -> bool:
        """Closes the connection that has stood idle longest, if there is one."""
        links = (target.idle[0] for target in self.targets.values() if target.idle)
        oldest = min(links, key=lambda link: link.since, default=None)
        if oldest is None:
            return False
        self._end(oldest)
        return True

    def hand_off(self, ho: HandOff) -> bool:
        """Starts a hand-off, of which ``done`` will tell; False if it can't even be tried."""
        if (target := self.targets.get(ho.server)) is None:
            return False
        while target.idle:
            link = target.idle[0]
            if link.connection.stream.readable():  # it was ended, or would answer what was not asked
                self._end(link)
                continue
            del target.idle[0]
            link.job = ho
            self._send(link)
            return True
        if not self.budget.try_acquire_server():
            return False
        try:
            stream = self.host.stream()
        except OSError as error:
            logger.warning("no socket: {}", error)
            self.budget.release_server()
            return False
        link = Link(target, Connection(stream, httptools.HttpResponseParser, self.memory, flows=True), ho)
        self.out[ho.exchange.id, ho.number] = link
        target.dialling.append(link)
        self.nursery.start_soon(self._serve, link)
        return True

    def withdraw(self, id: int, number: int) -> None:
        if (link := self.out.get((id, number))) is not None:
            link.withdrawn = True
            link.scope.cancel()

    # one connection ---------------------------------------

    async def _serve(self, link: Link) -> None:
        """Carries one hand-off after another, from dialling to the close."""
        try:
            if await self._dial(link):
                self._send(link)
                while not link.ended:
                    if link.flow is not None:
                        await self._pass_on(link)
                    elif link.job is not None and link.job.exchange.flow is not None and not link.written:
                        await self._upload(link)
                    else:
                        await self._turn(link)
        except trio.ClosedResourceError:
            pass  # ended from outside, while idle
        except Exception:
            logger.exception("a connection to a server failed")
            if link.job is not None:
                self._finish(link, Verdict.RESET if link.written else Verdict.UNREACHABLE)
        finally:
            self._end(link)

    async def _dial(self, link: Link) -> bool:
        ho, stream = link.job, link.connection.stream
        link.until = min(trio.current_time() + self.dial_within, self.clock.deadline(ho.until))
        up = False
        with trio.CancelScope(deadline=link.until) as link.scope:
            try:
                if not link.target.kept:  # it left before this task began
                    raise ConnectionAbortedError
                failed = stream.connect_ex(link.target.address)
                if failed == errno.EINPROGRESS:
                    await stream.wait_writable()
                    failed = stream.dialled()
                up = not failed and not link.withdrawn
            except OSError as error:
                logger.debug("{}: {!r}", ho.server, error)
        link.target.dialling.remove(link)
        if not up:
            self._finish(link, self._unwritten(link))
        return up

    def _unwritten(self, link: Link) -> Verdict:
        """Of a hand-off whose last byte was not written: by the bytes, it can't have run."""
        ho = link.job
        if link.withdrawn:
            return Verdict.WITHDRAWN
        if self.clock.now() >= ho.until >= ho.exchange.expiry:
            return Verdict.MOOT  # the work item's time ran out first, which tells nothing of the server
        return Verdict.UNREACHABLE

    def _send(self, link: Link) -> None:
        """Writes the job, as far as the system takes it at once; the link's task does the rest."""
        ho = link.job
        self.out[ho.exchange.id, ho.number] = link
        link.until = self.clock.deadline(ho.until)
        link.written = link.begun = False
        flow = ho.exchange.flow
        try:
            link.written = link.connection.push(self._request(ho)) and flow is None
        except OSError:
            link.broken = True
        if flow is not None:
            ho.exchange.timed = partial(self._timed, link, ho)
        link.overtaken, link.told = 0, False
        link.target.busy[link] = None
        if link.written:
            self.written(ho)
            link.scope.deadline = link.until
        else:
            link.scope.cancel()

    def _timed(self, link: Link, ho: HandOff) -> None:
        """The last byte of a long request has come, which starts its time."""
        if link.job is ho:
            ho.until = ho.exchange.expiry
            link.until = link.scope.deadline = self.clock.deadline(ho.until)

    async def _upload(self, link: Link) -> None:
        """Writes a long request as it comes, until it is written whole or its outcome is known."""
        ho, connection = link.job, link.connection
        flow, spent, early = ho.exchange.flow, False, False
        chunked, stalled = ho.exchange.length is None, trio.current_time() + SILENT_BODY
        with trio.CancelScope(deadline=link.until) as link.scope:
            try:
                while not (link.broken or link.withdrawn or link.written or early or flow.aborted or flow.cancelled):
                    if connection.sending():
                        with trio.move_on_at(stalled):
                            await connection.stream.wait_writable()
                        link.broken = trio.current_time() >= stalled
                        connection.pump()
                    elif flow.pieces:
                        if not spent:
                            spent = True
                            self.spent(ho)
                        connection.push(framed(flow.pop(), chunked))
                        stalled = trio.current_time() + SILENT_BODY
                    elif not flow.ended:
                        with trio.move_on_after(EARLY):
                            await flow.wait_until_readable()
                        early = connection.stream.readable()
                    elif chunked:
                        chunked = False
                        connection.push(LAST_CHUNK)
                    else:
                        link.written = True
            except OSError:
                link.broken = True
        if link.withdrawn:
            self._finish(link, Verdict.WITHDRAWN)
        elif link.written:
            self.written(ho)
            link.until = self.clock.deadline(ho.until)
        elif flow.aborted or flow.cancelled:  # nobody waits for it, which tells nothing of the server
            self._finish(link, Verdict.MOOT)
        elif early:
            self._read_on(link)
        elif link.broken or link.scope.cancelled_caught:
            self._finish(link, self._unwritten(link))

    async def _pass_on(self, link: Link) -> None:
        """Reads a long answer as fast as it is passed on, to its end."""
        connection, flow = link.connection, link.flow
        try:
            while connection.flow is flow and connection.error is None and not flow.cancelled:
                if flow.is_full():
                    await flow.wait_until_writable()
                    continue
                with trio.move_on_after(SILENT_BODY) as scope:
                    await connection.stream.wait_readable()
                if scope.cancelled_caught or not connection.read_body():
                    break
        except OSError:
            pass
        finally:
            link.flow = None
            if not flow.ended:
                if not flow.cancelled:
                    at = "{}:{}".format(*link.target.address)
                    logger.info("{} broke off a long answer after {} bytes", at, flow.size)
                flow.abort()
        if flow.ended and not flow.cancelled and self._reusable(link, link.message):
            self._keep(link)
        else:
            self._end(link)

    async def _turn(self, link: Link) -> None:
        """Waits for the next thing to happen on a connection that is up, and takes it in."""
        stream, writes = link.connection.stream, link.job is not None and not link.written
        with trio.CancelScope(deadline=link.until) as link.scope:
            if not link.broken and not link.withdrawn:
                await (stream.wait_writable() if writes else stream.wait_readable())
        if link.job is None:  # the server ended it, sent what nobody asked for, or it stood idle long enough
            if not link.ended and not (link.scope.cancelled_caught and trio.current_time() < link.until):
                self._end(link)
        elif link.withdrawn:
            self._finish(link, Verdict.WITHDRAWN)
        elif not link.written:
            self._write_on(link)
        elif link.scope.cancelled_caught and not link.connection.stream.readable():
            if trio.current_time() >= link.until:  # an answer that stops halfway is spoilt
                if link.begun:
                    logger.info("{} spoilt an answer: it stopped halfway", link.job.server)
                self._finish(link, Verdict.ERROR if link.begun else Verdict.TIMED_OUT)
        else:
            self._read_on(link)

    def _write_on(self, link: Link) -> None:
        try:
            link.written = not link.broken and link.connection.pump()
        except OSError:
            link.broken = True
        if link.written:
            self.written(link.job)
        if link.broken or (not link.written and trio.current_time() >= link.until):
            self._finish(link, self._unwritten(link))

    def _read_on(self, link: Link) -> None:
        try:
            message, going = link.connection.read_on()
        except OSError:
            self._finish(link, Verdict.RESET)
        except MalformedMessage as error:  # it ran, and the server is there
            logger.info("{} spoilt an answer: {}", link.job.server, error)
            self._finish(link, Verdict.ERROR)
        else:
            if message is not None and message.flow is not None:
                self._begin(link, message)
            elif message is not None:
                self._finish(link, verdict_of(message), message)
            elif not going:
                self._finish(link, Verdict.RESET)
            else:
                link.begun = True
                stalled = trio.current_time() + self.stall_for
                link.until = min(self.clock.deadline(link.job.until), stalled)

    def _begin(self, link: Link, message: Message) -> None:
        """A long answer has begun: with its first bytes it counts as given, and the choice is over."""
        ho, link.job = link.job, None
        link.flow, link.message = message.flow, message
        del self.out[ho.exchange.id, ho.number]
        link.target.busy.pop(link, None)
        remark = REMARKS.get(dict(message.fields).get(b"x-found"))
        if ho.exchange.ended:
            message.flow.cancel()
        reply = Reply(message.status, message.body, message.end_to_end(), flow=message.flow, length=message.length)
        self.done(ho, verdict_of(message), remark, reply)
        self._overtake(link.target, ho)

    def _reusable(self, link: Link, message: Message | None) -> bool:
        """Whether a connection may carry another hand-off: only after a whole answer with nothing behind."""
        return message is not None and message.keep and link.written and link.connection.clean() and link.target.kept

    def _keep(self, link: Link) -> None:
        link.since = trio.current_time()
        link.until = link.since + self.idle_for
        link.target.idle.append(link)
        link.connection.release()

    def _finish(self, link: Link, verdict: Verdict, message: Message | None = None) -> None:
        """Tells the outcome."""
        ho, link.job = link.job, None
        del self.out[ho.exchange.id, ho.number]
        link.target.busy.pop(link, None)
        ho.exchange.timed = nothing
        remark = reply = None
        if self._reusable(link, message):
            self._keep(link)  # first back to the pool: what ``done`` sets off may use it
        else:
            self._end(link)
        if message is not None:
            remark = REMARKS.get(dict(message.fields).get(b"x-found"))
            reply = Reply(message.status, message.body, message.end_to_end())
        self.done(ho, verdict, remark, reply)
        if message is not None:
            self._overtake(link.target, ho)

    def _overtake(self, target: Target, ho: HandOff) -> None:
        """Tells of hand-offs that many later ones have overtaken, after what is long for that server."""
        now = self.clock.now()
        target.usual += GAIN * (now - ho.at - target.usual)
        long_ago = now - max(2 * self.stall_for, LONG * target.usual)
        for link in [*target.busy]:
            if link.job.at < ho.at and not link.begun:
                link.overtaken += 1
                if link.overtaken >= OVERTAKEN and link.job.at < long_ago and not link.told:
                    link.told = True
                    self.silent(link.job)

    def _end(self, link: Link) -> None:
        """Closes a connection now: its descriptor may be wanted in the same turn of the loop."""
        if not link.ended:
            link.ended = True
            if link in link.target.idle:
                link.target.idle.remove(link)
            link.connection.close()
            self.budget.release_server()

    def _request(self, ho: HandOff) -> bytes:
        exchange = ho.exchange
        left = max(1, int((ho.until - self.clock.now()) * 1000))
        lines = [b"%s %s HTTP/1.1" % (exchange.method, exchange.target)]
        lines += [b"%s: %s" % field for field in exchange.headers]
        lines.append(b"x-remaining-ms: %d" % left)
        if exchange.body or exchange.write:
            if exchange.flow is None:
                lines.append(b"content-length: %d" % len(exchange.body))
            elif exchange.length is not None:
                lines.append(b"content-length: %d" % exchange.length)
            else:
                lines.append(b"transfer-encoding: chunked")
        chunked = exchange.flow is not None and exchange.length is None
        return b"\r\n".join([*lines, b"", framed(exchange.body, chunked)])
