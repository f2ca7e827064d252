"""The second address: one line in, one answer out, and the close. It knows neither HTTP nor the module."""

from collections.abc import Callable, Mapping

import trio
from loguru import logger

from rowanshift.transport.runtime import Nursery
from rowanshift.transport.streams import Listener, Stream, accepted, send_all

CALLERS = 16  # at once; beyond these the longest silent one is closed. Their descriptors are set aside
BACKLOG = 64
LONGEST_LINE = 256  # bytes of a call, its end among them
LINE_WITHIN = 30.0  # seconds from a connection to the end of its line
ANSWER_WITHIN = 2.0  # seconds that a caller may take to read its answer
LINGER_FOR = 0.2  # seconds, read on after the answer, so that it arrives whatever else was sent

Call = tuple[tuple[str, ...], Callable[..., str]]  # names of its words, and what answers with whole lines


class Refused(Exception):
    """A call that is owed a no; the text says why."""


class Control:
    """Answers calls, each in the turn in which its line came whole."""

    def __init__(self, calls: Mapping[str, Call]) -> None:
        self.calls = calls
        self.callers: dict[trio.CancelScope, None] = {}  # with no whole line yet; the longest silent first

    def answer(self, line: bytes) -> str:
        """What a line is answered with; a bad one changes nothing."""
        try:
            name, *words = line.decode("ascii").split() or [""]
            if name not in self.calls:
                raise Refused(f"unknown call {name[:32]!r}, known are {' '.join(self.calls)}")
            wanted, function = self.calls[name]
            if len(words) != len(wanted):
                raise Refused(f"{name} takes {' '.join(wanted) or 'no further word'}")
            return function(*words)
        except UnicodeDecodeError:
            return self._no("the line is no text")
        except Refused as refused:
            if line.strip() == b"READY":  # asked all the time
                return f"FAILURE {refused}\n"
            return self._no(str(refused))
        except Exception:
            logger.exception("a call on the second address failed")
            return "FAILURE a fault of the router, see its log\n"

    @staticmethod
    def _no(why: str) -> str:
        logger.info("a call on the second address was refused: {}", why)
        return f"FAILURE {why}\n"

    async def serve(self, listener: Listener, nursery: Nursery) -> None:
        """Accepts callers for good, and closes the listener at the end."""
        try:
            while True:
                stream = await accepted(listener)
                if len(self.callers) >= CALLERS:
                    oldest = next(iter(self.callers))
                    del self.callers[oldest]
                    oldest.cancel()
                scope = trio.CancelScope()
                self.callers[scope] = None
                nursery.start_soon(self._caller, stream, scope)
        finally:
            listener.close()

    async def _caller(self, stream: Stream, scope: trio.CancelScope) -> None:
        try:
            with scope:
                scope.deadline = trio.current_time() + LINE_WITHIN
                line = await self._line(stream)
                self.callers.pop(scope, None)
                if line is None:
                    return
                scope.deadline = trio.current_time() + ANSWER_WITHIN
                long = len(line) > LONGEST_LINE or not line.endswith(b"\n")
                text = (
                    self._no(f"a line of {LONGEST_LINE} bytes at most, with its end") if long else (self.answer(line))
                )
                await send_all(stream, text.encode())
                stream.end()
                scope.deadline = trio.current_time() + LINGER_FOR
                space = memoryview(bytearray(1024))
                while await self._receive(stream, space):
                    pass
        except OSError:
            pass  # the caller broke off
        finally:
            self.callers.pop(scope, None)
            stream.close()

    async def _line(self, stream: Stream) -> bytes | None:
        """The first line; without its end if that never came or came too late, None if nothing did."""
        got, space = bytearray(), memoryview(bytearray(LONGEST_LINE + 1))
        while b"\n" not in got and len(got) <= LONGEST_LINE:
            n = await self._receive(stream, space)
            if not n:
                return bytes(got) or None
            got += space[:n]
        end = got.find(b"\n") + 1
        return bytes(got[:end] if end else got)

    @staticmethod
    async def _receive(stream: Stream, space: memoryview) -> int:
        while True:
            await stream.wait_readable()
            try:
                return stream.recv_into(space)
            except BlockingIOError:
                continue
