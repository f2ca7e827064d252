"""Imports the module that validates operators' changes lazily, after the process has started to serve.

Polls and reads do not need this module. It takes longer to import than everything else that a core machine needs, so
it is imported in a thread, while the event loop keeps sending heartbeats.
"""

from __future__ import annotations

from importlib import import_module
from types import ModuleType

import trio

from rowanshift.transport.runtime import Runtime

CHANGE_MODULE = "rowanshift.controlplane.configuration_change"
LOAD_DELAY_SECONDS = 1.0  # delay after the start until the module is imported, if no change has needed it before


class ChangeLoader:
    """Imports ``CHANGE_MODULE`` once and shares it between all callers."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.module: ModuleType | None = None
        self._loading = trio.Lock()

    async def load(self) -> ModuleType:
        """Return the module, importing it on the first call."""
        async with self._loading:
            if self.module is None:
                self.module = await self.runtime.in_thread(lambda: import_module(CHANGE_MODULE))
            return self.module

    async def load_after_delay(self) -> None:
        """Import the module in the background, so that the first change does not have to wait for it."""
        await self.runtime.pause(LOAD_DELAY_SECONDS)
        await self.load()
