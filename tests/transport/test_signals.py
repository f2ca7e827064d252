"""Signals that arrive while an earlier one is being taken."""

import signal
import sys
import unittest
from types import FrameType
from typing import Any

import trio

from rowanshift.transport.signals import ReceivedSignal, SignalReceiver

MAX_INSTRUCTIONS = 200


class SecondSignal(unittest.TestCase):
    """A second signal is handled before each bytecode instruction of the taking of the first, in turn."""

    def taken(self, receiver: SignalReceiver, instruction: int) -> tuple[ReceivedSignal, bool]:
        """Take a signal, and whether the second one was handled before it was taken."""
        seen = 0

        def trace(frame: FrameType, event: str, argument: Any) -> Any:
            nonlocal seen
            if frame.f_code is not SignalReceiver.__anext__.__code__:
                return None
            frame.f_trace_opcodes = True
            if event == "opcode":
                if seen == instruction:
                    receiver.handle(signal.SIGHUP, None)
                seen += 1
            return trace

        receiver.handle(signal.SIGTERM, None)
        coroutine = receiver.__anext__()
        sys.settrace(trace)
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value, seen > instruction
        finally:
            sys.settrace(None)
        self.fail("a pending signal was waited for")

    def test_both_are_received_in_order(self) -> None:
        """Guards against "dictionary changed size during iteration", which ended the process with open requests."""

        async def main() -> int:
            for instruction in range(MAX_INSTRUCTIONS):
                receiver = SignalReceiver()
                first, handled = self.taken(receiver, instruction)
                self.assertEqual(first.number, signal.SIGTERM)
                if not handled:
                    return instruction
                self.assertEqual([*receiver.pending], [signal.SIGHUP])
            return MAX_INSTRUCTIONS

        self.assertIn(trio.run(main), range(5, MAX_INSTRUCTIONS))


if __name__ == "__main__":
    unittest.main()
