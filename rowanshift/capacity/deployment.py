"""The deployment that capacity is stated for, and what control may cost in it.

The command line imports this module at every start, for the default of an option: it imports nothing but the standard
library.
"""

from dataclasses import dataclass

DAY = 86400  # seconds


@dataclass(frozen=True, slots=True)
class Size:
    """A deployment; by default the one that decides the design."""

    routers: int = 1000
    servers: int = 10_000
    tenants: int = 43_000
    routes: int = 3000  # "some thousands": an assumption
    models: int = 9
    regions: int = 3
    zones: int = 10
    core: int = 5  # witnesses and copies, named in each answer
    blocks: int = 200_000_000
    events: int = 910_000  # a second, of all servers
    requests: int = 33_000  # a second
    changes: int = 9600  # of the configuration, a day
    failures: int = 140  # machines, a day
    restarts: int = 650  # machines, a day
    control: int = 55  # machines


@dataclass(frozen=True, slots=True)
class Budget:
    """What control may cost a router, and the bound on a change."""

    core_share: float = 0.013  # of a core
    memory: int = 128 << 20  # bytes
    traffic: float = 3000.0  # bytes a second, in and out
    in_force: float = 3.0  # seconds


TARGET, BUDGET = Size(), Budget()
