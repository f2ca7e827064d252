"""What a process has used: processor time and, where the system counts them, instructions in user mode. Linux alone.

Processor time depends on what else the machine does: on a busy one it differs by tens of percent between equal runs.
Instructions differ by less than one percent, but say nothing of caches, of waiting for memory or of the kernel's work.
"""

import ctypes
import os
import struct
import time
from contextlib import suppress
from dataclasses import dataclass

PERF_EVENT_OPEN = 298  # number of the system call on x86-64
TYPE_HARDWARE, COUNT_INSTRUCTIONS = 0, 1
ATTRIBUTE_SIZE = 128  # bytes of struct perf_event_attr
FLAGS_OFFSET = 40  # bytes
INHERIT, EXCLUDE_KERNEL, EXCLUDE_HYPERVISOR = 1 << 1, 1 << 5, 1 << 6
ANY_CPU = NO_GROUP = -1

_libc = ctypes.CDLL(None, use_errno=True)


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used up to a time, or between two times. ``instructions`` is ``None`` if not counted."""

    cpu_seconds: float
    instructions: int | None

    def __sub__(self, earlier: "Usage") -> "Usage":
        counted = self.instructions is not None and earlier.instructions is not None
        instructions = self.instructions - earlier.instructions if counted else None
        return Usage(self.cpu_seconds - earlier.cpu_seconds, instructions)


NO_USAGE = Usage(0.0, 0)


class ProcessUsage:
    """The account of a running process that was started just now, with the threads and processes that it starts."""

    def __init__(self, pid: int) -> None:
        """Begin to count; what the process has executed before is not in the count of instructions."""
        self.pid = pid
        self.counter: int | None = None  # a file descriptor
        with suppress(OSError):
            self.counter = opened_counter(pid)

    def read(self) -> Usage:
        """What the process has used so far."""
        cpu_seconds = time.clock_gettime(~self.pid << 3 | 2)  # the clock of another process has this number
        if self.counter is None:
            return Usage(cpu_seconds, None)
        return Usage(cpu_seconds, struct.unpack("Q", os.read(self.counter, 8))[0])

    def close(self) -> None:
        """Stop to count."""
        if self.counter is not None:
            os.close(self.counter)
            self.counter = None


def opened_counter(pid: int) -> int:
    """A file descriptor from which a process's instructions are read. Raises ``OSError`` where none can be had."""
    attribute = bytearray(ATTRIBUTE_SIZE)
    struct.pack_into("IIQ", attribute, 0, TYPE_HARDWARE, ATTRIBUTE_SIZE, COUNT_INSTRUCTIONS)
    struct.pack_into("Q", attribute, FLAGS_OFFSET, INHERIT | EXCLUDE_KERNEL | EXCLUDE_HYPERVISOR)
    buffer = (ctypes.c_char * ATTRIBUTE_SIZE).from_buffer(attribute)
    counter = _libc.syscall(PERF_EVENT_OPEN, buffer, pid, ANY_CPU, NO_GROUP, 0)
    if counter < 0:
        error = ctypes.get_errno()
        raise OSError(error, os.strerror(error))
    return counter
