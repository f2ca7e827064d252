"""Settings of the simulated system: ports, bounds, routes, tenants, and the operator's configurations.

Times are in seconds, except in ``BOUNDS``, which has the form and the units of a settings file.
"""

from collections.abc import Sequence
from typing import Any

from rowanshift.invariants.breaches import Bounds

FRONT, READY, CONTROL, SERVER_PORT, LIST_PORT = 8080, 8081, 8090, 9000, 8070  # ports
INNER = (7640, 7655)  # range of internal ports
HOST, MODEL, SERVICE = "shop.example", "m", "llm"
RESUMED, ONCE, REPEATED = "/resumed/", "/once/", "/repeated/"  # path prefixes of the three routes
KEYS = {"t1": ("key-1", "key-1b"), "t2": ("key-2",), "t3": ("key-3",)}  # API keys of each tenant
ISOLATED_TENANTS = ("t2",)  # tenants whose prompts must not share cache entries with others
CATALOGUES = 5  # number of prompt prefixes that clients share
PROBE_SECONDS, MAX_FAILED_PROBES = 0.4, 2  # between readiness probes; consecutive failures that remove a router
START_SPREAD_SECONDS = 0.3  # time within which all machines start
RESTART_SECONDS = 0.5  # pause before a process that ended is started again
RESUME_SLACK_SECONDS = 0.3  # time after a machine resumes or rejoins in which its delayed orders may arrive
UNSTABLE_CORE_SLACK_SECONDS = 5.0  # added to the bound of a configuration while the core is unstable
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
CONTACT, APPLY_SECONDS, DRAIN, LEASE_SECONDS, VERSION = 3.0, 2.0, 3.0, 3.0, 8.0
VERSION_ALL = 11.0
HISTORY = 20.0  # how long a watch may resume from a revision that it was given
RULES = Bounds(
    config_apply=APPLY_SECONDS,
    drain=DRAIN,
    version=VERSION,
    version_all=VERSION_ALL,
    lease=LEASE_SECONDS,
    retry_ratio=BOUNDS["retryBudgetRatio"],
    retry_slack=BOUNDS["retryBudgetSlack"],
    retry_window=BOUNDS["retryWindowS"],
    thaw=RESUME_SLACK_SECONDS,
    revert_slack=0.25,
    loss_slack=0.2,
    grace=BOUNDS["graceS"],
)


def routes_of(service: str = SERVICE) -> list[dict[str, Any]]:
    """Return the three routes of a configuration, all with one service as their backend."""
    specs = [
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
        for name, prefix, kind, resumable, retries in specs
    ]


def config_of(revision: int, keys: dict[str, Sequence[str]] | None = None, **changes: Any) -> dict[str, Any]:
    """Return a complete configuration. ``changes`` replace its top-level fields."""
    tenants = [
        {"name": name, "apiKeys": list(held), "isolated": name in ISOLATED_TENANTS}
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
