"""Loads what checks an operator's changes once the process serves, as it is needed for nothing before.

Polls and readings are answered without it. It takes longer to import than all else that a core machine needs, and that
in a thread, so that heartbeats go on.
"""

from importlib import import_module
from types import ModuleType

import trio

from rowanshift.transport.runtime import Runtime

MODULE = "rowanshift.controlplane.configuration_change"
LOAD_AFTER = 1.0  # seconds after the start at which it is loaded if no change has asked for it


class ChangeLoader:
    """The module of changes, imported once."""

    def __init__(self, host: Runtime) -> None:
        self.host = host
        self.module: ModuleType | None = None
        self.turn = trio.Lock()

    async def load(self) -> ModuleType:
        """The module, loaded now if it isn't yet."""
        async with self.turn:
            if self.module is None:
                self.module = await self.host.in_thread(lambda: import_module(MODULE))
            return self.module

    async def load_later(self) -> None:
        """Load it while nobody waits for it."""
        await self.host.pause(LOAD_AFTER)
        await self.load()
