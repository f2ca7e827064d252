"""Replacement of one process of a router by another without an interruption of service. Independent of HTTP.

The processes of a router share a folder. A new process connects to a socket there, at which the serving process passes
on its listener, its port for peers, the servers that operators have disabled, and what its decision module has learned.
The link stays open while both live, and closes at any end of either. Lines from the serving process:
``rowanshift 1 NAME...`` with the sockets of these names attached, ``out ID`` for each disabled server, ``learned JSON``
with ``model.Learned``, and ``end``. Later, in both directions, ``out ID`` and ``back ID`` as servers are disabled and
enabled, and ``serving`` from the new process once it serves.

The disabled servers are also kept in a file, for a process that finds no other one.
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

PROTOCOL_PREFIX = "rowanshift 1"
FILE_HEADER = b"rowanshift out 1"
HANDOVER_TIMEOUT_SECONDS = 1.0  # The serving process passes on all that it has within this.
MAX_LINKS = 4
MAX_LINE_BYTES = 256 * 1024  # The longest line on a link is the learned state.
MAX_QUEUED_LINES = 256  # A link closes when the other process leaves more lines unread.


class HandoverError(Exception):
    """Unusable data on a link; the text says why."""


@dataclass(slots=True)
class Inherited:
    """What the serving process has passed on."""

    listener: Listener | None = None
    port: Port | None = None
    disabled: set[str] | None = None  # the ids of servers; None if no process has passed them on
    learned: Learned | None = None


@dataclass(slots=True, eq=False)
class ProcessLink:
    """A connection to another process of this router."""

    stream: Stream
    to_newer: bool  # The other process started later.
    outbox: trio.MemorySendChannel[str]
    inbox: trio.MemoryReceiveChannel[str]
    newer_serves: bool = False
    received: bytearray = field(default_factory=bytearray)  # the bytes that are not yet split into lines


def new_link(stream: Stream, to_newer: bool) -> ProcessLink:
    return ProcessLink(stream, to_newer, *trio.open_memory_channel[str](MAX_QUEUED_LINES))


class Handover:
    """The links to other processes of this router, and the file of disabled servers.

    ``on_remote_command`` is called when an operator disables or enables a server at another process.
    """

    def __init__(self, runtime: Runtime, address: Address) -> None:
        self.runtime, self.name = runtime, "rowanshift-{}-{}".format(*address)
        self.links: list[ProcessLink] = []
        self.sockets_to_pass: Callable[[], dict[str, Listener | Port]] = dict  # the open sockets, by name
        self.disabled_servers: Callable[[], Iterable[str]] = tuple
        self.learned: Callable[[], Learned | None] = lambda: None
        self.on_remote_command: Callable[[str, bool], None] = lambda server, disable: None
        self.on_links_changed: Callable[[], None] = lambda: None
        self.file_is_current = True

    def process_count(self) -> int:
        """The number of processes that share this router's limits."""
        return 1 + len(self.links)

    def is_replaced(self) -> bool:
        """Whether a newer process serves."""
        return any(link.newer_serves for link in self.links)

    # the file of disabled servers

    def read_disabled(self) -> set[str]:
        """The disabled servers by the file, as far as it can be read."""
        try:
            data = self.runtime.kept(self.name + ".out")
        except OSError as error:
            logger.warning("event=disabled_servers_unreadable error={!r}", error)
            return set()
        if data is None:
            return set()
        first, *rows = data.split(b"\n")
        if first != FILE_HEADER:
            logger.warning(
                "event=disabled_servers_unreadable file={}.out error='unknown format, moved to .out.old'", self.name
            )
            with suppress(OSError):  # The file will be overwritten.
                self.runtime.keep(self.name + ".out.old", data)
            return set()
        complete = len(rows) >= 2 and rows[-2:] == [b"end", b""]
        ids = rows[:-2] if complete else rows[:-1]  # The last line of an incomplete file may be truncated.
        valid = {row.decode("ascii") for row in ids if row.isascii() and len(row.split()) == 1}
        if not complete or len(valid) < len(ids):
            logger.warning("event=disabled_servers_incomplete file={}.out ids={}", self.name, len(valid))
        return valid

    def write_disabled(self) -> None:
        """Replaces the file atomically with the servers that are disabled now."""
        rows = [FILE_HEADER, *(server.encode() for server in sorted(self.disabled_servers())), b"end", b""]
        try:
            self.runtime.keep(self.name + ".out", b"\n".join(rows))
            self.file_is_current = True
        except OSError as error:
            if self.file_is_current:
                logger.warning("event=disabled_servers_not_saved error={!r}", error)
            self.file_is_current = False

    # links

    async def inherit(self) -> Inherited:
        """Connects to the serving process, if there is one, and receives what it passes on."""
        inherited = Inherited()
        stream = None
        try:
            if (stream := self.runtime.dial_fellow(self.name)) is None:
                return inherited
            link = new_link(stream, to_newer=False)
            with trio.fail_after(HANDOVER_TIMEOUT_SECONDS):
                await self._receive_inherited(link, inherited)
        except (OSError, HandoverError, trio.TooSlowError) as error:
            logger.warning("event=handover_failed error={!r}", error or type(error).__name__)
            if stream is not None:
                stream.close()
            return inherited
        self.links.append(link)
        names = " and ".join(name for name in ("listener", "port") if getattr(inherited, name))
        disabled_count = len(inherited.disabled)
        logger.info("event=handover_received sockets={!r} disabled_servers={}", names or "nothing", disabled_count)
        self.on_links_changed()
        return inherited

    async def _receive_inherited(self, link: ProcessLink, inherited: Inherited) -> None:
        sockets = None
        while inherited.disabled is None:
            await link.stream.wait_readable()
            try:
                data, received_sockets = self.runtime.take_over(link.stream)
            except BlockingIOError:
                continue
            if not data:
                raise HandoverError("the serving process closed the link before the line 'end'")
            link.received += data
            sockets = received_sockets if sockets is None else sockets
            for line in self._take_lines(link):
                if line.startswith(PROTOCOL_PREFIX):
                    for name, sock in zip(line.split()[2:], sockets, strict=False):
                        if name in ("listener", "port"):
                            setattr(inherited, name, sock)
                    disabled: set[str] = set()
                elif line.startswith("out "):
                    disabled.add(line[4:])
                elif line.startswith("learned "):
                    try:
                        inherited.learned = msgspec.json.decode(line[8:], type=Learned)
                    except msgspec.MsgspecError as error:
                        logger.warning("event=learned_state_unreadable error={!r}", error)
                elif line == "end":
                    inherited.disabled = disabled
                else:
                    raise HandoverError(f"unknown line on a link: {line[:40]!r}")

    @staticmethod
    def _take_lines(link: ProcessLink) -> Iterator[str]:
        while (end := link.received.find(b"\n")) >= 0:
            line = bytes(link.received[:end])
            del link.received[: end + 1]
            yield line.decode("ascii", "replace")
        if len(link.received) > MAX_LINE_BYTES:
            raise HandoverError(f"a line on a link exceeds {MAX_LINE_BYTES} bytes")

    def start(self, nursery: Nursery) -> None:
        """Announces to older processes that this one serves, and lets newer ones connect."""
        self.nursery = nursery
        for link in self.links:
            nursery.start_soon(self._run_link, link)
        self._broadcast("serving")
        self.write_disabled()
        try:
            listener = self.runtime.await_fellows(self.name)
        except OSError as error:
            logger.warning("event=handover_unavailable error={!r}", error)
            return
        if listener is not None:
            nursery.start_soon(self._accept, listener)

    async def _accept(self, listener: Listener) -> None:
        try:
            while True:
                stream = await accepted(listener)
                if len(self.links) < MAX_LINKS:
                    self._pass_on(stream)
                else:
                    stream.close()
        finally:
            listener.close()

    def _pass_on(self, stream: Stream) -> None:
        sockets = self.sockets_to_pass()
        link = new_link(stream, to_newer=True)
        try:
            self.runtime.pass_on(stream, " ".join([PROTOCOL_PREFIX, *sockets]).encode() + b"\n", list(sockets.values()))
        except OSError as error:
            logger.warning("event=sockets_not_passed error={!r}", error)
            return stream.close()
        rows = [f"out {server}\n" for server in sorted(self.disabled_servers())]
        if (learned := self.learned()) is not None:
            rows.append(f"learned {msgspec.json.encode(learned).decode()}\n")
        link.outbox.send_nowait("".join([*rows, "end\n"]))
        self.links.append(link)
        logger.info("event=process_joined processes={}", self.process_count())
        self.on_links_changed()
        self.nursery.start_soon(self._run_link, link)

    async def _run_link(self, link: ProcessLink) -> None:
        """Sends and receives lines until the link closes."""
        try:
            async with self.runtime.nursery() as nursery:
                nursery.start_soon(self._send, link)
                await self._receive(link)
                nursery.cancel_scope.cancel()
        except* (OSError, HandoverError) as group:
            logger.debug("event=process_link_failed error={!r}", group.exceptions[0])
        finally:
            link.stream.close()
            if link in self.links:
                self.links.remove(link)
                logger.info("event=process_left processes={}", self.process_count())
                self.on_links_changed()

    async def _send(self, link: ProcessLink) -> None:
        async for text in link.inbox:
            await send_all(link.stream, text.encode())

    async def _receive(self, link: ProcessLink) -> None:
        buffer = memoryview(bytearray(4096))
        while True:
            for line in self._take_lines(link):
                word, _, server = line.partition(" ")
                if word == "serving":
                    link.newer_serves = True
                    self.on_links_changed()
                elif word in ("out", "back") and server:
                    self.on_remote_command(server, word == "out")
            await link.stream.wait_readable()
            try:
                n = link.stream.recv_into(buffer)
            except BlockingIOError:
                continue
            if not n:
                return
            link.received += buffer[:n]

    def record_command(self, server: str, disable: bool) -> None:
        """Passes an operator's command on to the other processes, and updates the file."""
        self._broadcast(f"{'out' if disable else 'back'} {server}")
        self.write_disabled()

    def _broadcast(self, line: str) -> None:
        for link in [*self.links]:
            try:
                link.outbox.send_nowait(line + "\n")
            except trio.WouldBlock:  # The other process does not read, and would miss this line.
                link.stream.close()
