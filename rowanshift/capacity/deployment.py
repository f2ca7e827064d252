"""The target deployment for capacity figures, and the budget of its control traffic.

The command line imports this module at every start, for the default of an option: it imports nothing but the standard
library.
"""

from dataclasses import dataclass

DAY = 86400  # seconds


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a deployment. The defaults are the design target."""

    routers: int = 1000
    servers: int = 10_000
    tenants: int = 43_000
    routes: int = 3000  # assumes 3000 for a requirement of "some thousands"
    models: int = 9
    regions: int = 3
    zones: int = 10
    core: int = 5  # core machines, which each answer lists
    blocks: int = 200_000_000
    events: int = 910_000  # cache events per second, over all servers
    requests: int = 33_000  # per second
    changes: int = 9600  # configuration changes per day
    failures: int = 140  # machine failures per day
    restarts: int = 650  # machine restarts per day
    control: int = 55  # control-plane machines


@dataclass(frozen=True, slots=True)
class Budget:
    """The limits on what control traffic may cost a router, and on the time until a change is in force."""

    core_share: float = 0.013  # share of one core
    memory: int = 128 << 20  # bytes
    traffic: float = 3000.0  # bytes per second, received and sent
    in_force: float = 3.0  # seconds


TARGET, BUDGET = Size(), Budget()
