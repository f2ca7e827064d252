"""Loads the module that checks an operator's changes once the process serves.

Polls and reads are answered without it. It takes longer to import than all else that a core machine needs, and is
imported in a thread, so that heartbeats go on.
"""

from __future__ import annotations

from importlib import import_module
from types import ModuleType

import trio

from rowanshift.transport.runtime import Runtime

CHANGE_MODULE = "rowanshift.controlplane.configuration_change"
LOAD_DELAY_SECONDS = 1.0  # after the start, at which it is loaded if no change has asked for it


class ChangeLoader:
    """The module of changes, imported once."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.module: ModuleType | None = None
        self._loading = trio.Lock()

    async def load(self) -> ModuleType:
        """The module, imported now if it isn't yet."""
        async with self._loading:
            if self.module is None:
                self.module = await self.runtime.in_thread(lambda: import_module(CHANGE_MODULE))
            return self.module

    async def load_later(self) -> None:
        """Import it while nobody waits for it."""
        await self.runtime.pause(LOAD_DELAY_SECONDS)
        await self.load()
