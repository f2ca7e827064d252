"""Processor time of a process and, where the system counts them, its instructions in user mode. Linux only.

Processor time depends on the load of the machine: on a busy one it varies by tens of percent between equal runs.
Instruction counts vary by less than one percent, but leave out cache misses, memory stalls and work in the kernel.
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
    """Resources used up to a time, or between two times. ``instructions`` is ``None`` where they are not counted."""

    cpu_seconds: float
    instructions: int | None

    def __sub__(self, earlier: "Usage") -> "Usage":
        counted = self.instructions is not None and earlier.instructions is not None
        instructions = self.instructions - earlier.instructions if counted else None
        return Usage(self.cpu_seconds - earlier.cpu_seconds, instructions)


NO_USAGE = Usage(0.0, 0)


class ProcessUsage:
    """Measures a process that was just started, with the threads and processes that it starts."""

    def __init__(self, pid: int) -> None:
        """Starts counting; instructions executed before are not included."""
        self.pid = pid
        self.counter: int | None = None  # file descriptor
        with suppress(OSError):
            self.counter = open_instruction_counter(pid)

    def read(self) -> Usage:
        """Returns the usage of the process so far."""
        cpu_seconds = time.clock_gettime(~self.pid << 3 | 2)  # the CPU clock id of another process on Linux
        if self.counter is None:
            return Usage(cpu_seconds, None)
        return Usage(cpu_seconds, struct.unpack("Q", os.read(self.counter, 8))[0])

    def close(self) -> None:
        """Stops counting."""
        if self.counter is not None:
            os.close(self.counter)
            self.counter = None


def open_instruction_counter(pid: int) -> int:
    """Opens a file descriptor that reads a process's instruction count. Raises ``OSError`` if unavailable."""
    attribute = bytearray(ATTRIBUTE_SIZE)
    struct.pack_into("IIQ", attribute, 0, TYPE_HARDWARE, ATTRIBUTE_SIZE, COUNT_INSTRUCTIONS)
    struct.pack_into("Q", attribute, FLAGS_OFFSET, INHERIT | EXCLUDE_KERNEL | EXCLUDE_HYPERVISOR)
    buffer = (ctypes.c_char * ATTRIBUTE_SIZE).from_buffer(attribute)
    counter = _libc.syscall(PERF_EVENT_OPEN, buffer, pid, ANY_CPU, NO_GROUP, 0)
    if counter < 0:
        error = ctypes.get_errno()
        raise OSError(error, os.strerror(error))
    return counter
