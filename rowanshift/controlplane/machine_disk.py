"""The interface of a core machine's disk, and the runtime that provides it."""

from pathlib import Path
from typing import Protocol

from rowanshift.controlplane.store import Store
from rowanshift.transport.runtime import Runtime, SystemRuntime


class Disk(Protocol):
    """One record on a machine's disk.

    Calls block, so they are made in ``Runtime.in_thread``. They raise the errors of ``controlplane/store.py``.
    """

    damage: str  # damage found by the last read; empty for none

    def open(self) -> None:
        """Open the store of the record, creating its directory if necessary."""

    def read(self) -> bytes | None:
        """Return the record, ``None`` if none was ever written."""

    def write(self, record: bytes, /) -> None:
        """Store the record durably: once this returns, the record survives a power loss."""

    def close(self) -> None:
        """Close the store; no effect if it is already closed."""


class CoreRuntime(Runtime, Protocol):
    """A runtime that also provides a disk."""

    def disk(self, path: Path) -> Disk:
        """Return the disk record in a directory, not yet opened."""


class SystemCoreRuntime(SystemRuntime):
    """The runtime of a core machine on the operating system."""

    def disk(self, path: Path) -> Disk:
        """Return the store in a directory, not yet opened."""
        return Store(path)


SYSTEM_CORE_RUNTIME = SystemCoreRuntime()
