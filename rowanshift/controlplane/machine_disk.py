"""The disk of a core machine as the control plane asks for it, and the runtime of a machine that has one."""

from pathlib import Path
from typing import Protocol

from rowanshift.controlplane.store import Store
from rowanshift.transport.runtime import Runtime, SystemRuntime


class Disk(Protocol):
    """One record on a machine's disk.

    Its calls block, so they are made in ``Runtime.in_thread``. They raise the errors of ``controlplane/store.py``.
    """

    damage: str  # what the last read found, empty if nothing

    def open(self) -> None:
        """Open the record, and make its directory."""

    def read(self) -> bytes | None:
        """Return the record; ``None`` if there never was one."""

    def write(self, record: bytes, /) -> None:
        """Store the record; it is on the disk afterwards, also after a loss of power."""

    def close(self) -> None:
        """Close the record; closing a closed one does nothing."""


class CoreRuntime(Runtime, Protocol):
    """A runtime that also has a disk."""

    def disk(self, path: Path) -> Disk:
        """Return what is kept in a directory, not open yet."""


class SystemCoreRuntime(SystemRuntime):
    """The operating system of a core machine."""

    def disk(self, path: Path) -> Disk:
        """Return the store in a directory, not open yet."""
        return Store(path)


SYSTEM_CORE_RUNTIME = SystemCoreRuntime()
