"""``rowanshift capacity``: measures sweeps on loopback, configuration delivery and failures; writes JSON and plots."""

import argparse
import os
import sys
from collections.abc import Callable
from contextlib import contextmanager
from typing import Any

from loguru import logger
from rich.progress import Progress

from rowanshift.capacity import delivery, plots, takeover
from rowanshift.capacity.deployment import TARGET
from rowanshift.capacity.errors import BadSteps, CapacityError
from rowanshift.capacity.options import PARTS, UNUSABLE
from rowanshift.capacity.results import Results, Step, Sweep, describe_machine, encode_results, read_results
from rowanshift.capacity.roles import report
from rowanshift.capacity.sweep import Plan, Shape, check_steps
from rowanshift.placement.shadows import VIRTUAL_NODES_PER_SERVER


def parse_integers(text: str) -> list[int]:
    """Parses comma-separated integers."""
    try:
        return [int(part) for part in text.replace("_", "").split(",") if part.strip()]
    except ValueError:
        raise BadSteps(f"comma-separated integers expected, not {text!r}") from None


def build_plans(arguments: argparse.Namespace, wanted: list[str]) -> list[Plan]:
    """Returns the requested sweeps after checking their steps."""
    routers, servers = tuple(parse_integers(arguments.routers)), tuple(parse_integers(arguments.servers))
    tenants, fanout = tuple(parse_integers(arguments.tenants)), tuple(parse_integers(arguments.fanout))
    many_routes = Shape(routes=arguments.routes)
    full_configuration = Shape(routes=arguments.routes, tenants=max(tenants, default=0))
    made = [
        Plan("routers", "ledger", "routers", routers, Shape()),
        Plan("servers", "ledger", "servers", servers, Shape()),
        Plan("tenants", "ledger", "tenants", tenants, many_routes),
        Plan("fanout", "ledger", "routers", fanout, full_configuration),
        Plan("router-servers", "router", "servers", servers, Shape(routers=1)),
        Plan("router-tenants", "router", "tenants", tenants, Shape(routers=1, routes=arguments.routes)),
    ]
    made = [plan for plan in made if plan.name in wanted]
    for plan in made:
        plan.shapes()
    return made


@contextmanager
def progress(total: int):
    """Yields ``begun(name)`` and ``say(part)``, which report to a progress bar on a terminal, else as plain lines."""
    bar = sys.stderr.isatty()
    with Progress(transient=True, disable=not bar) as shown:
        task = shown.add_task("steps", total=total)
        current = [""]

        def begun(name: str) -> None:
            if current[0]:
                shown.update(task, advance=1)
            current[0] = name
            say("begins")

        def say(part: str) -> None:
            if bar:
                shown.update(task, description=f"{current[0]}: {part}")
            else:
                print(f"{current[0]}: {part}", file=sys.stderr, flush=True)

        yield begun, say


def measure_delivery(tenants: list[int], routes: int, begun: Callable[[str], None]) -> list[Sweep]:
    """Measures delivery by tenants with a fixed number of routes, and by routes without tenants."""
    check_steps(tenants)
    by_tenants = Sweep("delivery-tenants", "tenants", {"routes": routes, "pools": TARGET.models})
    for count in tenants:
        begun(f"delivery, tenants {count}")
        by_tenants.steps.append(Step(count, delivery.measure(count, routes, TARGET.models)))
    by_routes = Sweep("delivery-routes", "routes", {"tenants": 0, "pools": TARGET.models})
    for count in (100, 300, 1000, 3000):
        begun(f"delivery, routes {count}")
        by_routes.steps.append(Step(count, delivery.measure(0, count, TARGET.models)))
    for sweep in (by_tenants, by_routes):
        sweep.fit()
    return [by_tenants, by_routes]


def measure_failures(seeds: int, begun: Callable[[str], None]) -> list[Sweep]:
    """Simulates takeovers for each f and key moves for each ring size, over seeds; fits no lines."""
    if not 1 <= seeds <= 1000:
        raise BadSteps(f"{seeds} seeds: 1 to 1000 expected")
    made = []
    for fault in takeover.FAULTS:
        made.append(Sweep(f"takeover-{fault}", "f", {"seeds": seeds}))
    for f in (1, 2):
        begun(f"takeovers, f {f}")
        for fault, metrics in takeover.takeovers(seeds, f, 2 * f + 1).items():
            sweep = next(sweep for sweep in made if sweep.name.endswith(fault))
            sweep.steps.append(Step(f, metrics))
    ring = Sweep("ring", "servers", {"points": VIRTUAL_NODES_PER_SERVER, "keys": takeover.RING_KEYS, "seeds": seeds})
    for servers in (111, 1111, 3333):
        begun(f"ring, servers {servers}")
        ring.steps.append(Step(servers, takeover.ring_moves(servers, VIRTUAL_NODES_PER_SERVER, seeds)))
    return [*made, ring]


def measure(arguments: argparse.Namespace) -> Results:
    wanted = [part.strip() for part in arguments.only.split(",") if part.strip()]
    if unknown := [part for part in wanted if part not in PARTS] or ([] if wanted else ["nothing"]):
        raise BadSteps(f"--only takes {', '.join(PARTS)}, not {', '.join(unknown)}")
    if not 0.5 <= arguments.window <= 60 or not 5 <= arguments.limit <= 600:
        raise BadSteps("--window takes 0.5 to 60 seconds, --limit 5 to 600")
    sweeps = build_plans(arguments, wanted)
    tenants = parse_integers(arguments.tenants)
    total = sum(len(plan.steps) for plan in sweeps)
    total += (len(tenants) + 4) * ("delivery" in wanted) + 5 * ("failures" in wanted)
    results = Results(machine=describe_machine())
    with progress(total) as (begun, say):
        for plan in sweeps:

            def began(x: int, plan: Plan = plan) -> None:
                begun(f"{plan.name}, {plan.variable} {x}")

            results.sweeps.append(plan.run(arguments.window, arguments.limit, began, say))
        if "delivery" in wanted:
            results.sweeps += measure_delivery(tenants, arguments.routes, begun)
        if "failures" in wanted:
            results.sweeps += measure_failures(arguments.seeds, begun)
    results.machine["load_after"] = [round(value, 2) for value in os.getloadavg()]
    return results


def format_sweep(sweep: Sweep) -> list[str]:
    """Formats a sweep as text lines: the points of each metric and the line fitted to them."""
    lines = [f"{sweep.name}: by {sweep.variable}, {', '.join(f'{k} {v:g}' for k, v in sweep.fixed.items())}"]
    for name in sweep.steps[0].metrics if sweep.steps else ():
        points = "  ".join(f"{step.x}: {step.metrics[name]:.6g}" for step in sweep.steps if name in step.metrics)
        fit = sweep.lines.get(name)
        fit_text = (
            ""
            if fit is None
            else (
                f"  no line: {fit.refused}"
                if fit.refused
                else f"  {fit.intercept:.4g} + {fit.slope:.4g} x, {fit.residual:.1%} off"
            )
        )
        lines.append(f"  {name:24} {points}{fit_text}")
    return lines


def capacity(arguments: argparse.Namespace) -> int:
    """Runs the command and returns its exit status."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    try:
        if arguments.plots is not None:
            plots.load_pyplot()
        if arguments.results:
            results = Results()
            for path in arguments.results:
                found = read_results(path)
                results.machine = results.machine or found.machine
                results.sweeps += found.sweeps
        else:
            results = measure(arguments)
        if arguments.output is not None:
            arguments.output.write_bytes(encode_results(results))
        if arguments.plots is not None:
            for path in plots.plot_sweeps(results, arguments.plots):
                print(path)
        output: list[Any] = (
            report(results) if arguments.report else [text for sweep in results.sweeps for text in format_sweep(sweep)]
        )
        print("\n".join(output))
    except CapacityError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return UNUSABLE
    except OSError as error:
        if error.filename is None:
            raise
        print(f"rowanshift: {error.filename}: {error.strerror}", file=sys.stderr)
        return UNUSABLE
    return 0
