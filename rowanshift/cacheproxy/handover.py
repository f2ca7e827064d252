"""One process after another: what lies in the folder that both see, whether a fellow process lives, and how
many share this router's limits. It knows nothing of HTTP.

A new process dials the socket of the one that serves, which passes its listener and its peers' port and tells
what is out by hand. The link stays open while both live; its end, at whatever death, tells that one is alone.
Lines on it: ``rowanshift 1 NAME...`` with the sockets so named, then ``out ID`` for each, ``learned JSON`` of
``model.Learned`` and ``end``; later
``out ID`` and ``back ID`` for calls, and ``serving`` from the new process.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec
import trio
from loguru import logger

from rowanshift.cacheproxy.model import Learned
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address, Listener, Port, Stream, accepted, send_all

HEAD = "rowanshift 1"
FILE = b"rowanshift out 1"
MEET_WITHIN = 1.0  # seconds for a fellow to pass on what it has
MOST_FELLOWS = 4  # links at once
LONGEST_LINE = 256 * 1024  # bytes on a link; the longest is what was learned
MOST_UNSENT = 256  # lines that a link holds for a fellow that does not read; more end it


class NoFellow(Exception):
    """What answered can't be followed; the text says why."""


@dataclass(slots=True)
class Inherited:
    """What a fellow passed on."""

    listener: Listener | None = None
    port: Port | None = None
    out: set[str] | None = None  # by hand; none: nobody told
    learned: Learned | None = None


@dataclass(slots=True, eq=False)
class Link:
    stream: Stream
    newer: bool  # the other process started later
    outbox: trio.MemorySendChannel[str]
    inbox: trio.MemoryReceiveChannel[str]
    serving: bool = False  # the newer one does
    rest: bytearray = field(default_factory=bytearray)


def link_of(stream: Stream, newer: bool) -> Link:
    return Link(stream, newer, *trio.open_memory_channel[str](MOST_UNSENT))


class Handover:
    def __init__(self, host: Runtime, address: Address) -> None:
        self.host, self.name = host, "rowanshift-{}-{}".format(*address)
        self.links: list[Link] = []
        self.passed_on: Callable[[], dict[str, Listener | Port]] = dict  # by name, while they are open
        self.out: Callable[[], Iterable[str]] = tuple  # by hand, now
        self.learned: Callable[[], Learned | None] = lambda: None
        self.called: Callable[[str, bool], None] = lambda server, out: None  # at a fellow
        self.changed: Callable[[], None] = lambda: None  # who lives
        self.lasts = True  # what is written down

    def processes(self) -> int:
        """How many share this router's limits."""
        return 1 + len(self.links)

    def replaced(self) -> bool:
        """Whether a newer process serves."""
        return any(link.serving for link in self.links)

    # the file ---------------------------------------------

    def written(self) -> set[str]:
        """What was out by hand when it was last written down, as far as that can be read."""
        try:
            data = self.host.kept(self.name + ".out")
        except OSError as error:
            logger.warning("what was out by hand can't be read: {}", error)
            return set()
        if data is None:
            return set()
        first, *rows = data.split(b"\n")
        if first != FILE:
            logger.warning("{}.out is of another program or version: set aside as .old, unread", self.name)
            with suppress(OSError):  # it will be written over
                self.host.keep(self.name + ".out.old", data)
            return set()
        whole = len(rows) >= 2 and rows[-2:] == [b"end", b""]
        ids = rows[:-2] if whole else rows[:-1]  # the last one may be torn
        got = {row.decode("ascii") for row in ids if row.isascii() and len(row.split()) == 1}
        if not whole or len(got) < len(ids):
            logger.warning("{}.out is torn: {} ids are read of it", self.name, len(got))
        return got

    def write(self) -> None:
        """Writes down what is out by hand, whole or not at all."""
        rows = [FILE, *(server.encode() for server in sorted(self.out())), b"end", b""]
        try:
            self.host.keep(self.name + ".out", b"\n".join(rows))
            self.lasts = True
        except OSError as error:
            if self.lasts:
                logger.warning("what is called out by hand will not outlive this process: {}", error)
            self.lasts = False

    # links ------------------------------------------------

    async def meet(self) -> Inherited:
        """Asks a fellow that lives for what it can pass on; nothing if there is none."""
        inherited = Inherited()
        stream = None
        try:
            if (stream := self.host.dial_fellow(self.name)) is None:
                return inherited
            link = link_of(stream, newer=False)
            with trio.fail_after(MEET_WITHIN):
                await self._inherit(link, inherited)
        except (OSError, NoFellow, trio.TooSlowError) as error:
            logger.warning("the process that serves passes nothing on: {}", error or type(error).__name__)
            if stream is not None:
                stream.close()
            return inherited
        self.links.append(link)
        names = " and ".join(name for name in ("listener", "port") if getattr(inherited, name))
        out = len(inherited.out)
        logger.info("a process that serves passed on {}; {} out by hand", names or "nothing", out)
        self.changed()
        return inherited

    async def _inherit(self, link: Link, inherited: Inherited) -> None:
        things = None
        while inherited.out is None:
            await link.stream.wait_readable()
            try:
                data, got = self.host.take_over(link.stream)
            except BlockingIOError:
                continue
            if not data:
                raise NoFellow("it ended the link")
            link.rest += data
            things = got if things is None else things
            for line in self._lines(link):
                if line.startswith(HEAD):
                    for name, thing in zip(line.split()[2:], things, strict=False):
                        if name in ("listener", "port"):
                            setattr(inherited, name, thing)
                    out: set[str] = set()
                elif line.startswith("out "):
                    out.add(line[4:])
                elif line.startswith("learned "):
                    try:
                        inherited.learned = msgspec.json.decode(line[8:], type=Learned)
                    except msgspec.MsgspecError as error:
                        logger.warning("what a fellow learned can't be read: {}", error)
                elif line == "end":
                    inherited.out = out
                else:
                    raise NoFellow(f"it speaks another language: {line[:40]!r}")

    @staticmethod
    def _lines(link: Link) -> Iterator[str]:
        while (end := link.rest.find(b"\n")) >= 0:
            line = bytes(link.rest[:end])
            del link.rest[: end + 1]
            yield line.decode("ascii", "replace")
        if len(link.rest) > LONGEST_LINE:
            raise NoFellow("a line has no end")

    def start(self, nursery: Nursery) -> None:
        """From now on this process serves: fellows of old hear of it, and new ones find it."""
        self.nursery = nursery
        for link in self.links:
            nursery.start_soon(self._follow, link)
        self._tell("serving")
        self.write()
        try:
            listener = self.host.await_fellows(self.name)
        except OSError as error:
            logger.warning("no process can take this one's place without a gap: {}", error)
            return
        if listener is not None:
            nursery.start_soon(self._accept, listener)

    async def _accept(self, listener: Listener) -> None:
        try:
            while True:
                stream = await accepted(listener)
                if len(self.links) < MOST_FELLOWS:
                    self._pass_on(stream)
                else:
                    stream.close()
        finally:
            listener.close()

    def _pass_on(self, stream: Stream) -> None:
        things = self.passed_on()
        link = link_of(stream, newer=True)
        try:
            self.host.pass_on(stream, " ".join([HEAD, *things]).encode() + b"\n", list(things.values()))
        except OSError as error:
            logger.warning("a fellow broke off: {}", error)
            return stream.close()
        rows = [f"out {server}\n" for server in sorted(self.out())]
        if (learned := self.learned()) is not None:
            rows.append(f"learned {msgspec.json.encode(learned).decode()}\n")
        link.outbox.send_nowait("".join([*rows, "end\n"]))
        self.links.append(link)
        logger.info("a new process is here: {} share the limits", self.processes())
        self.changed()
        self.nursery.start_soon(self._follow, link)

    async def _follow(self, link: Link) -> None:
        """Carries lines both ways until the other process is gone."""
        try:
            async with self.host.nursery() as nursery:
                nursery.start_soon(self._send, link)
                await self._hear(link)
                nursery.cancel_scope.cancel()
        except* (OSError, NoFellow) as group:
            logger.debug("a link broke: {}", group.exceptions[0])
        finally:
            link.stream.close()
            if link in self.links:
                self.links.remove(link)
                logger.info("a fellow process is gone: {} share the limits", self.processes())
                self.changed()

    async def _send(self, link: Link) -> None:
        async for text in link.inbox:
            await send_all(link.stream, text.encode())

    async def _hear(self, link: Link) -> None:
        space = memoryview(bytearray(4096))
        while True:
            for line in self._lines(link):
                word, _, server = line.partition(" ")
                if word == "serving":
                    link.serving = True
                    self.changed()
                elif word in ("out", "back") and server:
                    self.called(server, word == "out")
            await link.stream.wait_readable()
            try:
                n = link.stream.recv_into(space)
            except BlockingIOError:
                continue
            if not n:
                return
            link.rest += space[:n]

    def call(self, server: str, out: bool) -> None:
        """Tells fellows of a call that came here, and writes it down."""
        self._tell(f"{'out' if out else 'back'} {server}")
        self.write()

    def _tell(self, line: str) -> None:
        for link in [*self.links]:
            try:
                link.outbox.send_nowait(line + "\n")
            except trio.WouldBlock:  # it does not read: it can't be kept in step
                link.stream.close()
