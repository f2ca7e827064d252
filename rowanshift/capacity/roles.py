"""Roles' costs as formulas, their constants from results, and the value at the stated size. No I/O."""

from dataclasses import dataclass

from rowanshift.capacity import sizes
from rowanshift.capacity.delivery import DIFFERENCE_HEAD
from rowanshift.capacity.deployment import BUDGET, DAY, TARGET, Size
from rowanshift.capacity.hollow import listing
from rowanshift.capacity.results import Results, Sweep
from rowanshift.controlplane.endpoint_list import LIST_INTERVAL_SECONDS, MAX_LIST_PAGES
from rowanshift.controlplane.internal_port import MAX_CONNECTIONS
from rowanshift.controlplane.order_history import MAX_REMEMBERED_ORDERS
from rowanshift.controlplane.replication.timing import HEARTBEAT_INTERVAL_SECONDS
from rowanshift.dataplane.control_client import LONG_POLL_SECONDS
from rowanshift.wire.codec import FRAME_HEADER, MAX_RECORD_BYTES

PAGE = 50  # servers of a page of the list, as the benches' sites have it
MARK = 8  # bytes of a kept part on the wire
EVENT = 44  # bytes of one event in a source's answer, as the protocol's example
ENTRY = 24  # bytes: 16 of a part's digest, 2 of the server, 2 of tokens, 4 of time
FILLED = 0.7  # of an index's table
BATCHED = 25  # bytes of an event that a shard is sent in a batch: an entry and its sign


@dataclass(frozen=True, slots=True)
class Figure:
    """One line of the page. ``budget`` 0: none is stated."""

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


def row_bytes(size: Size) -> float:
    """Mean bytes of a server's row."""
    entries = listing(min(size.servers, 2000), size.models, size.zones)
    return sum(
        sizes.row(
            entry["id"],
            entry["backend"],
            entry["address"],
            entry["zone"],
            {model["name"]: 1 for model in entry["models"]},
        )
        for entry in entries
    ) / len(entries)


def roster_changes(size: Size) -> float:
    """Changes a day that machines' failures and restarts make: gone and back; draining, gone and back."""
    servers = size.servers / (size.servers + size.routers + size.control)
    return servers * (2 * size.failures + 3 * size.restarts)


def load_changes(size: Size) -> float:
    """Changes of the registry that one version of every model makes: begun and loaded, at each server."""
    return 2 * size.servers


def through(results: Results, sweep: str, metric: str, x: float) -> tuple[float, str, str] | None:
    """The line's value at ``x``, the line as text, and the run; None if there is no line to go by."""
    found: Sweep | None = results.sweep(sweep)
    if found is None or metric not in found.lines or found.lines[metric].refused:
        return None
    fit = found.lines[metric]
    intercept = 0.0 if abs(fit.intercept) < 1e-6 * abs(fit.at(x)) else fit.intercept
    sign = "-" if fit.slope < 0 else "+"
    return fit.at(x), f"{intercept:.3g} {sign} {abs(fit.slope):.3g} {found.variable}", f"{sweep} {metric}"


def exact(size: Size = TARGET) -> list[Figure]:
    """What follows from record sizes alone."""
    row, core, made = row_bytes(size), size.core, []

    def add(role: str, what: str, formula: str, value: float, unit: str, budget: float = 0.0) -> None:
        made.append(Figure(role, what, formula, value, unit, "record sizes", budget))

    whole = sizes.update(core, rows=round(row * size.servers))
    changes = roster_changes(size)
    add("router", "polls", "1 / HOLD", 1 / LONG_POLL_SECONDS, "a second")
    add(
        "router",
        "idle, out and in",
        f"{sizes.poll()} + {sizes.update(0)} + 8 core, a second",
        (sizes.poll() + sizes.update(core)) / LONG_POLL_SECONDS,
        "B/s",
        BUDGET.traffic,
    )
    add("router", "one registry", f"{sizes.update(core)} + {row:.0f} servers", whole, "bytes")
    add(
        "router",
        "rosters by failures, whole",
        "registry changes a day / 86,400",
        whole * changes / DAY,
        "B/s",
        BUDGET.traffic,
    )
    add(
        "router",
        "rosters by one version of all models a day, whole",
        "2 servers a day / 86,400",
        whole * load_changes(size) / DAY,
        "B/s",
        BUDGET.traffic,
    )
    difference = DIFFERENCE_HEAD + row
    add(
        "router",
        "the same two, as differences",
        f"({DIFFERENCE_HEAD} + {row:.0f}) changes / 86,400",
        difference * (changes + load_changes(size)) / DAY,
        "B/s",
        BUDGET.traffic,
    )
    machines = size.servers + size.routers + size.control
    comings = 2 * (size.failures + size.restarts) * size.routers / machines  # and goings of routers, a day
    members = (sizes.update(core) + 8 * size.routers) * comings / DAY
    add(
        "router",
        "members, whole",
        f"({sizes.update(core)} + 8 routers) changes / 86,400",
        members,
        "B/s",
        BUDGET.traffic,
    )
    add("router", "kept parts, whole", f"{MARK} blocks", MARK * size.blocks, "bytes", BUDGET.memory)
    add("router", "kept parts, one frame", "16 MiB / 8", MAX_RECORD_BYTES // MARK, "blocks")
    add("router", "kept parts, events", f"{MARK} events", MARK * size.events, "B/s", BUDGET.traffic)
    add(
        "primary",
        "descriptors",
        "routers + 2 (core - 1)",
        size.routers + 2 * (core - 1),
        "descriptors",
        MAX_CONNECTIONS,
    )
    add("primary", "one registry to all", "routers (registry)", size.routers * whole, "bytes")
    add("primary", "kept parts' events to all", "8 events routers", MARK * size.events * size.routers, "B/s")
    beat = sizes.confirm(core // 2 + 1, core) + sizes.confirmed()
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
        f"servers / {PAGE}",
        -(-size.servers // PAGE),
        "calls",
        MAX_LIST_PAGES,
    )
    add(
        "list reader",
        "calls",
        "servers / 50 / LIST_INTERVAL_SECONDS",
        -(-size.servers // PAGE) / LIST_INTERVAL_SECONDS,
        "calls/s",
    )
    add("orders' holder", "orders for one version of all models", "servers", size.servers, "orders")
    add("index shard", "events in, of all shards", f"{EVENT} events", EVENT * size.events, "B/s")
    add("index shard", "events in, cut and batched", f"{BATCHED} events", BATCHED * size.events, "B/s")
    add(
        "index shard",
        "state, of all shards",
        f"{ENTRY} blocks / {FILLED}",
        ENTRY * size.blocks / FILLED,
        "bytes",
    )
    return made


def measured(results: Results, size: Size = TARGET) -> list[Figure]:
    """What the lines reach at the stated size; a metric without a line is left out."""
    made: list[Figure] = []

    def add(
        role: str,
        what: str,
        sweep: str,
        metric: str,
        x: float,
        unit: str,
        budget: float = 0.0,
        times: float = 1.0,
        by: str = "",
    ) -> None:
        if (found := through(results, sweep, metric, x)) is not None:
            value, formula, run = found
            made.append(Figure(role, what, f"({formula}){by}" if by else formula, value * times, unit, run, budget))

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
        roster_changes(size) / DAY,
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
        load_changes(size) / DAY,
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
        size.routers / 10 * roster_changes(size) / DAY,
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
        size.routers / 10 * load_changes(size) / DAY,
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
        frame = sizes.store(sizes.sheet(config, named, MAX_REMEMBERED_ORDERS))
        run = "delivery-tenants body"
        made.append(
            Figure("backup", "a change", f"{FRAME_HEADER.size + 28} + sheet", frame, "bytes", run, MAX_RECORD_BYTES)
        )
        made.append(Figure("backup", "changes, in and to disk", "(store) changes/s", frame * changes, "B/s", run))
    return made


def told(value: float) -> str:
    if value >= 1e9:
        return f"{value / 1e9:,.3g} G"
    if value >= 1e6:
        return f"{value / 1e6:,.3g} M"
    return f"{value:,.0f}" if value >= 1000 else f"{value:.3g}"


def report(results: Results, size: Size = TARGET) -> list[str]:
    """The figures as a Markdown table, role by role."""
    lines = ["| role | what | formula | run | at the stated size | budget | fits |", "| --- " * 7 + "|"]
    figures = exact(size) + measured(results, size)
    for role in dict.fromkeys(figure.role for figure in figures):
        lines += [
            f"| {one.role} | {one.what} | {one.formula} | {one.run} | {told(one.value)} {one.unit} | "
            f"{told(one.budget) if one.budget else ''} | {one.fits} |"
            for one in figures
            if one.role == role
        ]
    return lines
