"""The cost of each role as a formula, with constants from results, and its value at a deployment size. No I/O."""

from dataclasses import dataclass

from rowanshift.capacity import sizes
from rowanshift.capacity.delivery import DIFFERENCE_HEADER_BYTES
from rowanshift.capacity.deployment import BUDGET, DAY, TARGET, Size
from rowanshift.capacity.hollow import generate_server_list
from rowanshift.capacity.results import Results, Sweep
from rowanshift.controlplane.endpoint_list import LIST_INTERVAL_SECONDS, MAX_LIST_PAGES
from rowanshift.controlplane.internal_port import MAX_CONNECTIONS
from rowanshift.controlplane.order_history import MAX_REMEMBERED_ORDERS
from rowanshift.controlplane.replication.timing import HEARTBEAT_INTERVAL_SECONDS
from rowanshift.dataplane.control_client import LONG_POLL_SECONDS
from rowanshift.wire.codec import FRAME_HEADER, MAX_RECORD_BYTES

LIST_PAGE_SERVERS = 50  # page size of the server list in the emulated sites
BLOCK_HASH_BYTES = 8  # one stored block on the wire
SOURCE_EVENT_BYTES = 44  # one event in a source's answer, as in the example of the protocol
INDEX_ENTRY_BYTES = 24  # block digest 16, server 2, token count 2, time 4
INDEX_LOAD_FACTOR = 0.7  # used share of the index's hash table
BATCHED_EVENT_BYTES = 25  # one event in a batch to a shard: an index entry and an add/remove flag


@dataclass(frozen=True, slots=True)
class Figure:
    """One row of the report. A ``budget`` of 0 means that none is stated."""

    role: str
    what: str
    formula: str
    value: float
    unit: str
    run: str
    budget: float = 0.0

    @property
    def fits(self) -> str:
        if not self.budget:
            return ""
        return "yes" if self.value <= self.budget else f"no, {self.value / self.budget:,.1f} times"


def mean_server_record_bytes(size: Size) -> float:
    """Returns the mean length of a server record."""
    entries = generate_server_list(min(size.servers, 2000), size.models, size.zones)
    return sum(
        sizes.server_record(
            entry["id"],
            entry["backend"],
            entry["address"],
            entry["zone"],
            {model["name"]: 1 for model in entry["models"]},
        )
        for entry in entries
    ) / len(entries)


def registry_changes_by_failures(size: Size) -> float:
    """Registry changes per day by failures (removed, added) and restarts (draining, removed, added) of servers."""
    servers = size.servers / (size.servers + size.routers + size.control)
    return servers * (2 * size.failures + 3 * size.restarts)


def registry_changes_by_loading(size: Size) -> float:
    """Registry changes by a new version of every model: loading started and loading finished, at each server."""
    return 2 * size.servers


def evaluate_line(results: Results, sweep: str, metric: str, x: float) -> tuple[float, str, str] | None:
    """Returns a fitted line's value at ``x``, the line as text, and the run; None without a usable line."""
    found: Sweep | None = results.sweep(sweep)
    if found is None or metric not in found.lines or found.lines[metric].refused:
        return None
    fit = found.lines[metric]
    intercept = 0.0 if abs(fit.intercept) < 1e-6 * abs(fit.at(x)) else fit.intercept
    sign = "-" if fit.slope < 0 else "+"
    return fit.at(x), f"{intercept:.3g} {sign} {abs(fit.slope):.3g} {found.variable}", f"{sweep} {metric}"


def figures_from_record_sizes(size: Size = TARGET) -> list[Figure]:
    """Returns the figures that follow from record sizes alone."""
    row, core, figures = mean_server_record_bytes(size), size.core, []

    def add(role: str, what: str, formula: str, value: float, unit: str, budget: float = 0.0) -> None:
        figures.append(Figure(role, what, formula, value, unit, "record sizes", budget))

    registry_bytes = sizes.update(core, rows=round(row * size.servers))
    changes = registry_changes_by_failures(size)
    add("router", "polls", "1 / HOLD", 1 / LONG_POLL_SECONDS, "a second")
    add(
        "router",
        "idle, out and in",
        f"{sizes.poll()} + {sizes.update(0)} + 8 core, a second",
        (sizes.poll() + sizes.update(core)) / LONG_POLL_SECONDS,
        "B/s",
        BUDGET.traffic,
    )
    add("router", "one registry", f"{sizes.update(core)} + {row:.0f} servers", registry_bytes, "bytes")
    add(
        "router",
        "rosters by failures, whole",
        "registry changes a day / 86,400",
        registry_bytes * changes / DAY,
        "B/s",
        BUDGET.traffic,
    )
    add(
        "router",
        "rosters by one version of all models a day, whole",
        "2 servers a day / 86,400",
        registry_bytes * registry_changes_by_loading(size) / DAY,
        "B/s",
        BUDGET.traffic,
    )
    difference = DIFFERENCE_HEADER_BYTES + row
    add(
        "router",
        "the same two, as differences",
        f"({DIFFERENCE_HEADER_BYTES} + {row:.0f}) changes / 86,400",
        difference * (changes + registry_changes_by_loading(size)) / DAY,
        "B/s",
        BUDGET.traffic,
    )
    machines = size.servers + size.routers + size.control
    membership_changes_per_day = 2 * (size.failures + size.restarts) * size.routers / machines
    membership_bytes_per_s = (sizes.update(core) + 8 * size.routers) * membership_changes_per_day / DAY
    add(
        "router",
        "members, whole",
        f"({sizes.update(core)} + 8 routers) changes / 86,400",
        membership_bytes_per_s,
        "B/s",
        BUDGET.traffic,
    )
    add(
        "router",
        "kept parts, whole",
        f"{BLOCK_HASH_BYTES} blocks",
        BLOCK_HASH_BYTES * size.blocks,
        "bytes",
        BUDGET.memory,
    )
    add("router", "kept parts, one frame", "16 MiB / 8", MAX_RECORD_BYTES // BLOCK_HASH_BYTES, "blocks")
    add(
        "router",
        "kept parts, events",
        f"{BLOCK_HASH_BYTES} events",
        BLOCK_HASH_BYTES * size.events,
        "B/s",
        BUDGET.traffic,
    )
    add(
        "primary",
        "descriptors",
        "routers + 2 (core - 1)",
        size.routers + 2 * (core - 1),
        "descriptors",
        MAX_CONNECTIONS,
    )
    add("primary", "one registry to all", "routers (registry)", size.routers * registry_bytes, "bytes")
    add(
        "primary", "kept parts' events to all", "8 events routers", BLOCK_HASH_BYTES * size.events * size.routers, "B/s"
    )
    beat = sizes.heartbeat(core // 2 + 1, core) + sizes.heartbeat_reply()
    add("primary", "heartbeats", "2 (core - 1) / HEARTBEAT", 2 * (core - 1) / HEARTBEAT_INTERVAL_SECONDS, "messages/s")
    add(
        "primary",
        "heartbeats, bytes",
        "(confirm + confirmed)(core - 1) / HEARTBEAT",
        beat * (core - 1) / HEARTBEAT_INTERVAL_SECONDS,
        "B/s",
    )
    add("witness", "heartbeats", "2 / HEARTBEAT", 2 / HEARTBEAT_INTERVAL_SECONDS, "messages/s")
    add("witness", "heartbeats, bytes", "(confirm + confirmed) / HEARTBEAT", beat / HEARTBEAT_INTERVAL_SECONDS, "B/s")
    add(
        "list reader",
        "calls of one reading",
        f"servers / {LIST_PAGE_SERVERS}",
        -(-size.servers // LIST_PAGE_SERVERS),
        "calls",
        MAX_LIST_PAGES,
    )
    add(
        "list reader",
        "calls",
        "servers / 50 / LIST_INTERVAL_SECONDS",
        -(-size.servers // LIST_PAGE_SERVERS) / LIST_INTERVAL_SECONDS,
        "calls/s",
    )
    add("orders' holder", "orders for one version of all models", "servers", size.servers, "orders")
    add(
        "index shard",
        "events in, of all shards",
        f"{SOURCE_EVENT_BYTES} events",
        SOURCE_EVENT_BYTES * size.events,
        "B/s",
    )
    add(
        "index shard",
        "events in, cut and batched",
        f"{BATCHED_EVENT_BYTES} events",
        BATCHED_EVENT_BYTES * size.events,
        "B/s",
    )
    add(
        "index shard",
        "state, of all shards",
        f"{INDEX_ENTRY_BYTES} blocks / {INDEX_LOAD_FACTOR}",
        INDEX_ENTRY_BYTES * size.blocks / INDEX_LOAD_FACTOR,
        "bytes",
    )
    return figures


def figures_from_results(results: Results, size: Size = TARGET) -> list[Figure]:
    """Returns the fitted lines' values at a deployment size, without metrics that have no usable line."""
    figures: list[Figure] = []

    def add(
        role: str,
        what: str,
        sweep: str,
        metric: str,
        x: float,
        unit: str,
        budget: float = 0.0,
        factor: float = 1.0,
        by: str = "",
    ) -> None:
        if (found := evaluate_line(results, sweep, metric, x)) is not None:
            value, formula, run = found
            figures.append(Figure(role, what, f"({formula}){by}" if by else formula, value * factor, unit, run, budget))

    changes = size.changes / DAY
    add("router", "memory by servers", "router-servers", "memory", size.servers, "bytes", BUDGET.memory)
    add("router", "memory by tenants", "router-tenants", "memory", size.tenants, "bytes", BUDGET.memory)
    add(
        "router",
        "memory of the process, by servers",
        "router-servers",
        "rss",
        size.servers,
        "bytes",
        BUDGET.memory,
    )
    add("router", "CPU of a registry", "router-servers", "roster_cpu_s", size.servers, "s")
    add(
        "router",
        "CPU, rosters by failures",
        "router-servers",
        "roster_cpu_s",
        size.servers,
        "of a core",
        BUDGET.core_share,
        registry_changes_by_failures(size) / DAY,
        " changes/s",
    )
    add(
        "router",
        "CPU, rosters by one version of all models a day",
        "router-servers",
        "roster_cpu_s",
        size.servers,
        "of a core",
        BUDGET.core_share,
        registry_changes_by_loading(size) / DAY,
        " changes/s",
    )
    add("router", "CPU of a configuration", "router-tenants", "config_cpu_s", size.tenants, "s")
    add(
        "router",
        "CPU, configurations",
        "router-tenants",
        "config_cpu_s",
        size.tenants,
        "of a core",
        BUDGET.core_share,
        changes,
        " changes/s",
    )
    add("router", "a configuration, whole", "delivery-tenants", "whole", size.tenants, "bytes")
    add(
        "router",
        "configurations, whole",
        "delivery-tenants",
        "whole",
        size.tenants,
        "B/s",
        BUDGET.traffic,
        changes,
        " changes/s",
    )
    add(
        "router",
        "configurations, as differences",
        "delivery-tenants",
        "tenant_difference",
        size.tenants,
        "B/s",
        BUDGET.traffic,
        changes,
        " changes/s",
    )
    add("primary", "CPU, idle", "routers", "idle_cpu_s_per_s", size.routers, "of a core", 1.0)
    add("primary", "CPU, idle, by servers", "servers", "idle_cpu_s_per_s", size.servers, "of a core", 1.0)
    add("primary", "memory by routers", "routers", "rss", size.routers, "bytes")
    add("primary", "memory by servers", "servers", "rss", size.servers, "bytes")
    add("primary", "memory by tenants", "tenants", "rss", size.tenants, "bytes")
    add("primary", "CPU of taking a change in", "tenants", "config_own_cpu_s", size.tenants, "s")
    add(
        "primary",
        "CPU, changes taken in",
        "tenants",
        "config_own_cpu_s",
        size.tenants,
        "of a core",
        1.0,
        changes,
        " changes/s",
    )
    add("primary", "one registry to 10 routers, CPU", "servers", "roster_cpu_s", size.servers, "s")
    add(
        "primary",
        "one registry to all, CPU",
        "servers",
        "roster_cpu_s",
        size.servers,
        "s",
        0.0,
        size.routers / 10,
        " routers / 10",
    )
    add(
        "primary",
        "rosters to all by failures, CPU",
        "servers",
        "roster_cpu_s",
        size.servers,
        "of a core",
        1.0,
        size.routers / 10 * registry_changes_by_failures(size) / DAY,
        " routers / 10 changes/s",
    )
    add(
        "primary",
        "rosters to all by one version of all models a day, CPU",
        "servers",
        "roster_cpu_s",
        size.servers,
        "of a core",
        1.0,
        size.routers / 10 * registry_changes_by_loading(size) / DAY,
        " routers / 10 changes/s",
    )
    add(
        "primary",
        "a whole configuration to all, time",
        "fanout",
        "config_s",
        size.routers,
        "s",
        BUDGET.in_force,
    )
    add("primary", "a whole configuration to all, CPU", "fanout", "config_cpu_s", size.routers, "s")
    add("primary", "a whole configuration to all, bytes", "fanout", "config_sent", size.routers, "bytes")
    add("primary", "a small change to all, time", "routers", "config_s", size.routers, "s", BUDGET.in_force)
    add("primary", "a small change to all, CPU", "routers", "config_cpu_s", size.routers, "s")
    add("list reader", "CPU of one reading, without its calls", "servers", "list_cpu_s", size.servers, "s")
    add(
        "list reader",
        "CPU",
        "servers",
        "list_cpu_s",
        size.servers,
        "of a core",
        1.0,
        1 / LIST_INTERVAL_SECONDS,
        " / LIST_INTERVAL_SECONDS",
    )
    body = results.sweep("delivery-tenants")
    if body is not None and not body.lines["body"].refused:
        config = round(body.lines["body"].at(size.tenants))
        named = {f"model-{i:02d}": 1 for i in range(size.models)}
        frame = sizes.store(sizes.control_state(config, named, MAX_REMEMBERED_ORDERS))
        run = "delivery-tenants body"
        figures.append(
            Figure("backup", "a change", f"{FRAME_HEADER.size + 28} + sheet", frame, "bytes", run, MAX_RECORD_BYTES)
        )
        figures.append(Figure("backup", "changes, in and to disk", "(store) changes/s", frame * changes, "B/s", run))
    return figures


def format_value(value: float) -> str:
    if value >= 1e9:
        return f"{value / 1e9:,.3g} G"
    if value >= 1e6:
        return f"{value / 1e6:,.3g} M"
    return f"{value:,.0f}" if value >= 1000 else f"{value:.3g}"


def report(results: Results, size: Size = TARGET) -> list[str]:
    """Returns the figures as a Markdown table, grouped by role."""
    lines = ["| role | what | formula | run | at the stated size | budget | fits |", "| --- " * 7 + "|"]
    figures = figures_from_record_sizes(size) + figures_from_results(results, size)
    for role in dict.fromkeys(figure.role for figure in figures):
        lines += [
            f"| {figure.role} | {figure.what} | {figure.formula} | {figure.run} | "
            f"{format_value(figure.value)} {figure.unit} | "
            f"{format_value(figure.budget) if figure.budget else ''} | {figure.fits} |"
            for figure in figures
            if figure.role == role
        ]
    return lines
