"""The settings of the virtual whole system: ports, bounds, routes, tenants, and the operator's configurations.

Times are in seconds; ``BOUNDS`` stands as in a settings file, with units in its names.
"""

from collections.abc import Sequence
from typing import Any

from rowanshift.invariants.breaches import Bounds

FRONT, READY, CONTROL, SERVED, LISTED = 8080, 8081, 8090, 9000, 8070  # ports
INNER = (7640, 7655)
HOST, MODEL, SERVICE = "shop.example", "m", "llm"
RESUMED, ONCE, REPEATED = "/resumed/", "/once/", "/repeated/"  # prefixes of the routes
KEYS = {"t1": ("key-1", "key-1b"), "t2": ("key-2",), "t3": ("key-3",)}  # of tenants; t2 is isolated
ISOLATED = ("t2",)
CATALOGUES = 5  # prompts that are shared
PROBE, MISSES = 0.4, 2  # seconds between looks whether a router is ready, and failures in a row
START_APART = 0.3  # seconds in which all start
AGAIN = 0.5  # seconds until a process that ended is started again
THAW = 0.3  # seconds after a thaw or a join in which late orders arrive
SKEW = 5.0  # seconds by which an unstable core stretches the bound of a configuration
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 3000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetSlack": 50,
    "leaseMs": 3000,
    "versionMs": 8000,
    "versionAllMs": 11000,
    "historyS": 20,
}
CONTACT, APPLY, DRAIN, LEASE, VERSION = 3.0, 2.0, 3.0, 3.0, 8.0  # seconds
VERSION_ALL = 11.0  # seconds
HISTORY = 20.0  # seconds for which a watch may go on from a revision that it was given
RULES = Bounds(
    config_apply=APPLY,
    drain=DRAIN,
    version=VERSION,
    version_all=VERSION_ALL,
    lease=LEASE,
    retry_ratio=BOUNDS["retryBudgetRatio"],
    retry_slack=BOUNDS["retryBudgetSlack"],
    retry_window=BOUNDS["retryWindowS"],
    thaw=THAW,
    revert_slack=0.25,
    loss_slack=0.2,
    grace=BOUNDS["graceS"],
)


def routes_of(service: str = SERVICE) -> list[dict[str, Any]]:
    rows = [
        ("resumed", RESUMED, "streaming", True, 3),
        ("once", ONCE, "streaming", False, 3),
        ("repeated", REPEATED, "idempotent", False, 3),
    ]
    return [
        {
            "name": name,
            "hostname": HOST,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": 10000,
            "targetLatencyMs": 600,
            "priority": 3,
            "backend": service,
            "retries": retries,
            "public": False,
            "resumable": resumable,
        }
        for name, prefix, kind, resumable, retries in rows
    ]


def config_of(revision: int, keys: dict[str, Sequence[str]] | None = None, **changes: Any) -> dict[str, Any]:
    """A whole configuration of the operator's."""
    tenants = [
        {"name": name, "apiKeys": list(held), "isolated": name in ISOLATED}
        for name, held in (KEYS if keys is None else keys).items()
    ]
    backends = [
        {
            "name": name,
            "healthCheck": "/health",
            "maxConnections": 360,
            "engine": {"slots": 8, "models": [{"name": MODEL}]},
        }
        for name in (SERVICE, "other")
    ]
    return {
        "revision": revision,
        "routes": routes_of(),
        "backends": backends,
        "tenants": tenants,
        "limits": {"maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    } | changes
