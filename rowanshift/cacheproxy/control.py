"""The control port: one command line per connection, answered and closed. Independent of HTTP and of the router."""

from collections.abc import Callable, Mapping

import trio
from loguru import logger

from rowanshift.transport.runtime import Nursery
from rowanshift.transport.streams import Listener, Stream, accepted, send_all

MAX_CALLERS = 16  # One more without a complete line closes the oldest. The descriptors for so many are reserved.
LISTEN_BACKLOG = 64
MAX_LINE_BYTES = 256  # The newline counts.
LINE_TIMEOUT_SECONDS = 30.0  # It runs from the accept to the end of the line.
ANSWER_TIMEOUT_SECONDS = 2.0
LINGER_SECONDS = 0.2  # Closing with unread input would reset the connection.

Command = tuple[tuple[str, ...], Callable[..., str]]  # the arguments' names, and the function that gives the answer


class CommandRefused(Exception):
    """A command that can't be carried out; the text says why."""


class ControlPort:
    """Answers each command in the same turn of the event loop in which its line is complete."""

    def __init__(self, commands: Mapping[str, Command]) -> None:
        self.commands = commands
        self.pending_callers: dict[trio.CancelScope, None] = {}  # callers without a complete line, the oldest first

    def answer(self, line: bytes) -> str:
        """Carries out a command line and returns the answer; an invalid line changes nothing."""
        try:
            name, *arguments = line.decode("ascii").split() or [""]
            if name not in self.commands:
                raise CommandRefused(f"unknown call {name[:32]!r}, known are {' '.join(self.commands)}")
            parameters, function = self.commands[name]
            if len(arguments) != len(parameters):
                raise CommandRefused(f"{name} takes {' '.join(parameters) or 'no further word'}")
            return function(*arguments)
        except UnicodeDecodeError:
            return self._failure("the line is no text")
        except CommandRefused as refused:
            if line.strip() == b"READY":  # It is polled often, and therefore not logged.
                return f"FAILURE {refused}\n"
            return self._failure(str(refused))
        except Exception:
            logger.exception("event=control_command_failed")
            return "FAILURE a fault of the router, see its log\n"

    @staticmethod
    def _failure(reason: str) -> str:
        logger.info("event=control_command_refused reason={!r}", reason)
        return f"FAILURE {reason}\n"

    async def serve(self, listener: Listener, nursery: Nursery) -> None:
        """Accepts connections until cancelled; closes the listener at the end."""
        try:
            while True:
                stream = await accepted(listener)
                if len(self.pending_callers) >= MAX_CALLERS:
                    oldest = next(iter(self.pending_callers))
                    del self.pending_callers[oldest]
                    oldest.cancel()
                scope = trio.CancelScope()
                self.pending_callers[scope] = None
                nursery.start_soon(self._serve_caller, stream, scope)
        finally:
            listener.close()

    async def _serve_caller(self, stream: Stream, scope: trio.CancelScope) -> None:
        try:
            with scope:
                scope.deadline = trio.current_time() + LINE_TIMEOUT_SECONDS
                line = await self._read_line(stream)
                self.pending_callers.pop(scope, None)
                if line is None:
                    return
                scope.deadline = trio.current_time() + ANSWER_TIMEOUT_SECONDS
                invalid = len(line) > MAX_LINE_BYTES or not line.endswith(b"\n")
                text = (
                    self._failure(f"a line of {MAX_LINE_BYTES} bytes at most, with its end")
                    if invalid
                    else (self.answer(line))
                )
                await send_all(stream, text.encode())
                stream.end()
                scope.deadline = trio.current_time() + LINGER_SECONDS
                buffer = memoryview(bytearray(1024))
                while await self._receive(stream, buffer):
                    pass
        except OSError:
            pass  # The caller reset the connection.
        finally:
            self.pending_callers.pop(scope, None)
            stream.close()

    async def _read_line(self, stream: Stream) -> bytes | None:
        """The first line with its newline; an incomplete or too long one as received; None for no input at all."""
        received, buffer = bytearray(), memoryview(bytearray(MAX_LINE_BYTES + 1))
        while b"\n" not in received and len(received) <= MAX_LINE_BYTES:
            n = await self._receive(stream, buffer)
            if not n:
                return bytes(received) or None
            received += buffer[:n]
        end = received.find(b"\n") + 1
        return bytes(received[:end] if end else received)

    @staticmethod
    async def _receive(stream: Stream, buffer: memoryview) -> int:
        while True:
            await stream.wait_readable()
            try:
                return stream.recv_into(buffer)
            except BlockingIOError:
                continue
