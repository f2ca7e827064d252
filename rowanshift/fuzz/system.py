"""A small running system under fuzzing: messages go to its ports, and judges look at what it does.

All roles run in this process, on real sockets of the loopback range, so that an error that leaves a task ends the run.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import trio
from loguru import logger

from rowanshift.emulation.cluster import CONFIG, CONTROL, CORE, FRONT, HOST, KEY, MODEL, PREFIX, READINESS, ROUTERS
from rowanshift.emulation.cluster import SmallSystem as System
from rowanshift.fuzz.messages import Ending, Message, Port
from rowanshift.transport.streams import Address, connect, send_all

ANSWER_SECONDS = 8.0  # in which a connection whose sender has ended must be closed, and a proper call answered
PAUSE_SECONDS = 0.01  # between two pieces of a message
OPEN_SECONDS = 0.05  # for which a connection is left open whose sender sends nothing more
MEMORY_SECONDS = 3.0  # in which memory for bodies must come back
START_SECONDS = 20.0
MAX_ERRORS = 5  # kept of those that were logged


@dataclass(slots=True)
class Judgement:
    """The breaches found so far."""

    breaches: list[str] = field(default_factory=list)

    def require(self, holds: bool, breach: str) -> None:
        """Record a breach unless something holds."""
        if not holds:
            self.breaches.append(breach)


class FuzzedSystem:
    """The system, its proper configuration, and the errors that it has logged."""

    def __init__(self, folder: Path, net: str) -> None:
        self.net = net
        self.system = System(folder, net)
        self.revision = 0
        self.logged_errors: list[str] = []
        self.request_count = 0

    async def start(self) -> None:
        """Wait until the system serves its proper configuration."""
        with trio.fail_after(START_SECONDS):
            await self.system.primary()
            await self.put_proper_configuration()
            await self.system.wait_until_serving()

    @contextmanager
    def errors_collected(self) -> Iterator[None]:
        """Collect the errors that the system logs."""
        sink = logger.add(lambda line: self.logged_errors.append(str(line)), level="ERROR", format="{message}")
        try:
            yield
        finally:
            logger.remove(sink)

    # messages

    async def play(self, messages: list[Message]) -> list[str]:
        """Send messages at the same time, then make proper calls; returns the breaches."""
        judgement = Judgement()
        self.logged_errors.clear()
        async with trio.open_nursery() as nursery:
            for message in messages:
                nursery.start_soon(self._send, message, judgement)
        await self._judge_proper_calls(judgement)
        await self._judge_memory(judgement)
        for error in self.logged_errors[:MAX_ERRORS]:
            judgement.breaches.append(f"an error of ours was logged: {error.strip()}")
        return judgement.breaches

    def _address(self, port: Port) -> Address:
        if port is Port.CONTROL:
            return f"{self.net}{CORE[0]}", CONTROL
        return f"{self.net}{ROUTERS[0]}", FRONT if port is Port.FRONT else READINESS

    async def _send(self, message: Message, judgement: Judgement) -> None:
        """Send one message on a connection of its own, and wait until that is closed if its sender has ended."""
        stream = self.system.host.stream()
        try:
            await connect(stream, self._address(message.port))
            await send_all(stream, message.data[: message.pause_at])
            await trio.sleep(PAUSE_SECONDS)
            await send_all(stream, message.data[message.pause_at :])
            if message.ending is Ending.RESET:
                return stream.reset()
            if message.ending is Ending.LEAVE_OPEN:
                return await trio.sleep(OPEN_SECONDS)
            stream.end()
            with trio.move_on_after(ANSWER_SECONDS) as scope:
                await read_to_end(stream)
            judgement.require(not scope.cancelled_caught, f"hang: open {ANSWER_SECONDS} s after {message!r:.300}")
        except OSError:
            pass  # the system has closed the connection first
        finally:
            stream.close()

    # judges

    async def call(self, address: Address, head: str, body: bytes = b"") -> tuple[int, bytes]:
        """The status and body of a proper call; the status is 0 without a whole answer in time."""
        stream, received = self.system.host.stream(), b""
        try:
            with trio.move_on_after(ANSWER_SECONDS):
                await connect(stream, address)
                lines = f"{head}\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
                await send_all(stream, lines.encode() + body)
                received = await read_to_end(stream)
        except OSError:
            pass
        finally:
            stream.close()
        first_line, _, _ = received.partition(b"\r\n")
        words = first_line.split(b" ")
        is_answer = len(words) > 1 and words[1].isdigit()
        return int(words[1]) if is_answer else 0, received.partition(b"\r\n\r\n")[2]

    async def put_proper_configuration(self) -> int:
        """Set the proper configuration on top of the current one; returns the status."""
        config: dict[str, Any] = deepcopy(CONFIG) | {"revision": self.revision + 1}
        status = 0
        for number in CORE:  # the primary among them answers 200, the others 307
            head = f"PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: {self.revision}"
            status, _ = await self.call((f"{self.net}{number}", CONTROL), head, orjson.dumps(config))
            if status == 200:
                self.revision += 1
                return status
        return status

    async def _judge_proper_calls(self, judgement: Judgement) -> None:
        revision = await self._read_revision()
        judgement.require(
            revision is not None and revision >= self.revision,
            f"acknowledged revision {self.revision}, read back {revision}",
        )
        if revision is not None and revision != self.revision:  # a changed configuration that was valid
            self.revision = revision
            status = await self.put_proper_configuration()
            judgement.require(status == 200, f"a proper configuration got {status}")
        status, _ = await self.call(self._address(Port.READINESS), "GET /readiness HTTP/1.1\r\nHost: a")
        judgement.require(status == 200, f"readiness got {status}")
        self.request_count += 1
        head = (
            f"POST {PREFIX}hello HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: proper-{self.request_count}\r\n"
            f"Authorization: Bearer {KEY}\r\nModel-Name: {MODEL}\r\nToken-Count: 50,3\r\n"
            "Prompt-Prefix: a1:40,b2:10\r\nDeadline-Remaining: 5000"
        )
        status, _ = await self.call(self._address(Port.FRONT), head, b"{}")
        judgement.require(status == 200, f"a proper request got {status}")

    async def _read_revision(self) -> int | None:
        """The revision of the configuration in force; None if it can't be read."""
        for number in CORE:
            status, body = await self.call((f"{self.net}{number}", CONTROL), "GET /config HTTP/1.1\r\nHost: a")
            if status == 200:
                return int(orjson.loads(body)["revision"])
        return None

    async def _judge_memory(self, judgement: Judgement) -> None:
        """Whether the routers' memory for bodies is free again, once no request is open."""
        held = 0
        with trio.move_on_after(MEMORY_SECONDS):
            while held := sum(self._held_bytes()):
                await trio.sleep(PAUSE_SECONDS)
        judgement.require(not held, f"{held} bytes of bodies are still held")

    def _held_bytes(self) -> list[int]:
        frontends = [router.frontend for router in self.system.routers if router.frontend is not None]
        return [frontend.memory.capacity - frontend.memory.available for frontend in frontends]


async def read_to_end(stream: Any) -> bytes:
    """Read until the peer ends its sending. Raises ``OSError``."""
    received, space = b"", memoryview(bytearray(1 << 16))
    while True:
        await stream.wait_readable()
        try:
            count = stream.recv_into(space)
        except BlockingIOError:
            continue
        if not count:
            return received
        received += bytes(space[:count])
