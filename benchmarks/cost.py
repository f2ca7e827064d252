"""Compares the cost of two revisions in one run: starts of both roles, requests and streamed events.

    python benchmarks/cost.py --revision 34514ad                     # and this checkout's files
    python benchmarks/cost.py --revision 34514ad --other 34514ad     # a revision with itself: the noise
    python benchmarks/cost.py --revision 34514ad --limit 1.03        # exit status 1 above this ratio

Real processes on loopback, known by their settings, HTTP calls and the system's account of them alone: processor time
and, where the system counts them, instructions in user mode (see ``process_usage``). Measurements are interleaved, so
that other load on the machine affects both alike. A ratio is the median over the rounds, the other revision's value
divided by the first one's; ``--limit`` is compared with that of the instructions, or of the time where there are none,
but not for seconds without requests. Where a request fails, nothing is reported, and the exit status is 1.
"""

import argparse
import os
import socket
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import count
from math import inf
from pathlib import Path

import trio
from loopback_system import (
    CONTROL_PORT,
    READINESS_PORT,
    START_TIMEOUT_SECONDS,
    WORKING_TREE,
    LoopbackSystem,
    Machine,
    RequestCounts,
    RevisionError,
    SourceTree,
    Traits,
    check_out,
    configuration,
    send_requests,
    streamed_request,
)
from process_usage import ProcessUsage, Usage

PROBE_SECONDS = 0.001
ROUTERS, CLIENTS = 2, 4  # clients of all routers together
TOKENS_PER_EVENT = 4
EVENTS_PER_STREAM = 100
WARM_UP_REQUESTS = 100
SETTLE_SECONDS = 1.0  # after requests, before a second without them
IDLE_SECONDS = 1.0
TIME_UNITS = {"ms": 1e-3, "us": 1e-6}  # seconds
INSTRUCTION_UNITS = {"million": 1e6, "thousand": 1e3}
TRAITS = Traits(slots=32, queue=64, stride=TOKENS_PER_EVENT, gap=0.002)


class MeasurementFailed(Exception):
    """A process or request failed during a measurement; the message says which."""


@dataclass(slots=True)
class Figure:
    """A measured figure: one value per round and side. Side 0 is the first revision, side 1 the other."""

    name: str
    unit: str
    values: tuple[list[float], list[float]] = field(default_factory=lambda: ([], []))

    def ratios(self) -> list[float]:
        """Returns, per round, the other revision's value divided by the first one's."""
        return [other / first for first, other in zip(*self.values, strict=True)]

    def ratio(self) -> float:
        """Returns the median ratio."""
        return statistics.median(self.ratios())

    def cells(self) -> str:
        """Formats the figure as table cells."""
        first, other = (statistics.median(values) for values in self.values)
        ratios = self.ratios()
        return f"{first:.2f} | {other:.2f} | {self.ratio():.3f} | {min(ratios):.3f} to {max(ratios):.3f}"


@dataclass(slots=True)
class Cost:
    """A cost in processor time and in user-mode instructions."""

    name: str
    time: Figure
    instructions: Figure
    is_limited: bool = True  # whether ``--limit`` applies

    def add(self, side: int, used: Usage, count: float = 1) -> None:
        """Adds one round's value: the usage divided by ``count`` measured operations."""
        seconds_per_unit = TIME_UNITS[self.time.unit]
        self.time.values[side].append(used.cpu_seconds / count / seconds_per_unit)
        if used.instructions is not None:
            per_unit = INSTRUCTION_UNITS[self.instructions.unit]
            self.instructions.values[side].append(used.instructions / count / per_unit)

    def figures(self) -> list[Figure]:
        """Returns the figures that have values, the less noisy one last."""
        return [figure for figure in (self.time, self.instructions) if figure.values[0]]

    def exceeds(self, limit: float) -> bool:
        """Returns whether the less noisy ratio exceeds a limit that applies to this cost."""
        return self.is_limited and self.figures()[-1].ratio() > limit


def cost(name: str, time_unit: str, instruction_unit: str, is_limited: bool = True) -> Cost:
    """Returns a cost without values."""
    return Cost(name, Figure(name, time_unit), Figure(name, instruction_unit), is_limited)


def measurement_order(number: int) -> tuple[int, int]:
    """Returns the order of the sides in a round; they alternate in going first."""
    return (0, 1) if number % 2 == 0 else (1, 0)


# starts


class StartBenchmark:
    """Measures process starts, each with new settings and an empty data directory."""

    def __init__(self, trees: Sequence[SourceTree], folder: Path) -> None:
        self.trees, self.folder, self.numbers = trees, folder, count(1)

    async def costs(self, rounds: int) -> list[Cost]:
        """Returns the cost of each kind of start, after one warm-up start of each."""
        measured: list[tuple[Cost, Callable[[SourceTree], Awaitable[Usage]]]] = [
            (cost("start of `controlplane` until it listens", "ms", "million"), self.measure_core_start),
            (
                cost("the same until a first configuration is in force", "ms", "million"),
                self.measure_first_configuration,
            ),
            (cost("start of `dataplane` until it listens", "ms", "million"), self.measure_router_start),
            (cost("`check --boot`, until it ends", "ms", "million"), self.check),
        ]
        for number in range(rounds + 1):
            for measured_cost, measure in measured:
                for side in measurement_order(number):
                    used = await measure(self.trees[side])
                    if number:
                        measured_cost.add(side, used)
        return [measured_cost for measured_cost, _ in measured]

    def _system(self, tree: SourceTree) -> LoopbackSystem:
        return LoopbackSystem(self.folder / f"start-{next(self.numbers)}", [tree], [tree])

    async def measure_core_start(self, tree: SourceTree) -> Usage:
        """Measures a core machine until it accepts connections."""
        system = self._system(tree)
        return await usage_until_listening(system, system.core[0], CONTROL_PORT)

    async def measure_first_configuration(self, tree: SourceTree) -> Usage:
        """Measures a core machine until it has answered the first change."""
        system = self._system(tree)
        core = system.core[0]
        try:
            core.start()
            with trio.fail_after(START_TIMEOUT_SECONDS):
                status = await system.operator.put_config(configuration(1), 0, within=START_TIMEOUT_SECONDS)
            if status != 200:
                raise MeasurementFailed(
                    f"{tree.name}: put of the first configuration returned status {status}, expected 200"
                )
            return core.usage.read()
        finally:
            system.close()

    async def measure_router_start(self, tree: SourceTree) -> Usage:
        """Measures a router until it accepts connections; its core machine is not running."""
        system = self._system(tree)
        return await usage_until_listening(system, system.routers[0], READINESS_PORT)

    async def check(self, tree: SourceTree) -> Usage:
        """Measures the command that checks a core machine's settings."""
        core = self._system(tree).core[0]
        command = [sys.executable, "rowanshift.py", "check", "--boot", str(core.settings_file)]
        with subprocess.Popen(
            command, cwd=tree.path, env=core.environment(), stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        ) as process:
            usage = ProcessUsage(process.pid)
            try:
                os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)  # not reaped yet, so its usage can be read
                used = usage.read()
            finally:
                usage.close()
        if process.returncode:
            raise MeasurementFailed(f"{tree.name}: check --boot exited with {process.returncode}, expected 0")
        return used


async def usage_until_listening(system: LoopbackSystem, machine: Machine, port: int) -> Usage:
    """Starts a machine's process, measures it until it accepts a connection at a port, and kills it."""
    try:
        machine.start()
        with trio.fail_after(START_TIMEOUT_SECONDS):
            while not accepts_connections(machine.ip, port):
                if not machine.running:
                    raise MeasurementFailed(
                        f"{machine.tree.name}: {machine.role} exited before it accepted connections: {machine.log()}"
                    )
                await trio.sleep(PROBE_SECONDS)
        return machine.usage.read()
    finally:
        system.close()


def accepts_connections(ip: str, port: int) -> bool:
    """Returns whether a connection is accepted."""
    try:
        socket.create_connection((ip, port), 1).close()
    except OSError:
        return False
    return True


# requests


class RequestBenchmark:
    """Measures two systems that run side by side, each of one revision: a core machine and two routers.

    The usage of two routers is summed, because one of them stores state that the other requests from it, and so uses
    less. There is one model server: with several, equal systems settle on different choices.
    """

    def __init__(self, trees: Sequence[SourceTree], folder: Path) -> None:
        self.systems = [
            LoopbackSystem(folder / f"requests-{side}", [tree], [tree] * ROUTERS, servers=1, traits=TRAITS)
            for side, tree in enumerate(trees)
        ]
        self.clients = [
            [
                system.client(f"client-{router.ip}-{number}", router)
                for router in system.routers
                for number in range(CLIENTS // ROUTERS)
            ]
            for system in self.systems
        ]

    async def costs(self, rounds: int, requests: int, streams: int) -> list[Cost]:
        """Returns the cost of a request of one event, of an event in a long stream, and of an idle second."""
        for side, system in enumerate(self.systems):
            await system.start_serving(configuration(1))
            await self.used(side, WARM_UP_REQUESTS, 1)
        request, event = cost("request of one event", "us", "thousand"), cost("event of a stream", "us", "thousand")
        idle_routers = cost("a second of two routers without requests", "ms", "million", is_limited=False)
        idle_core = cost("a second of their core machine", "ms", "million", is_limited=False)
        for number in range(rounds):
            for side in measurement_order(number):
                short, long = await self.used(side, requests, 1), await self.used(side, streams, EVENTS_PER_STREAM)
                request.add(side, short, requests)
                event.add(side, long - scale_usage(short, streams / requests), streams * (EVENTS_PER_STREAM - 1))
            await trio.sleep(SETTLE_SECONDS)
            before = [(usage_of(system.routers), usage_of(system.core)) for system in self.systems]
            await trio.sleep(IDLE_SECONDS)
            for side, (system, (routers, core)) in enumerate(zip(self.systems, before, strict=True)):
                idle_routers.add(side, usage_of(system.routers) - routers, IDLE_SECONDS)
                idle_core.add(side, usage_of(system.core) - core, IDLE_SECONDS)
        return [request, event, idle_routers, idle_core]

    async def used(self, side: int, requests: int, events: int) -> Usage:
        """Returns the usage of one system's routers for requests with a number of events each."""
        system, clients = self.systems[side], self.clients[side]
        work, counts = streamed_request(events * TOKENS_PER_EVENT), RequestCounts()
        before = usage_of(system.routers)
        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(send_requests, client, work, requests // len(clients), counts)
        used = usage_of(system.routers) - before
        if counts.complete < requests:
            raise MeasurementFailed(f"{system.routers[0].tree.name}: {counts}")
        return used


def usage_of(machines: Sequence[Machine]) -> Usage:
    """Returns the total usage of the machines' processes."""
    each = [machine.usage.read() for machine in machines]
    instructions = [usage.instructions for usage in each if usage.instructions is not None]
    counted = len(instructions) == len(each)
    return Usage(sum(usage.cpu_seconds for usage in each), sum(instructions) if counted else None)


def scale_usage(used: Usage, factor: float) -> Usage:
    """Returns a usage multiplied by a factor."""
    instructions = None if used.instructions is None else int(used.instructions * factor)
    return Usage(used.cpu_seconds * factor, instructions)


async def request_costs(trees: Sequence[SourceTree], folder: Path, options: argparse.Namespace) -> list[Cost]:
    """Runs ``RequestBenchmark`` with the emulation."""
    requests = RequestBenchmark(trees, folder)
    try:
        async with trio.open_nursery() as nursery:
            for system in requests.systems:
                nursery.start_soon(system.serve_emulation)
            costs = await requests.costs(options.rounds, options.requests, options.streams)
            nursery.cancel_scope.cancel()
        return costs
    finally:
        for system in requests.systems:
            system.close()


# command line


async def measure_all(trees: Sequence[SourceTree], folder: Path, options: argparse.Namespace) -> list[Cost]:
    """Measures all costs."""
    starts = await StartBenchmark(trees, folder).costs(options.rounds)
    return [*starts, *await request_costs(trees, folder, options)]


def error_messages(error: BaseException) -> Iterator[str]:
    """Yields the messages of the errors within a group."""
    for part in error.exceptions if isinstance(error, BaseExceptionGroup) else [error]:
        yield from error_messages(part) if isinstance(part, BaseExceptionGroup) else [str(part) or type(part).__name__]


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter, allow_abbrev=False
    )
    parser.add_argument("--revision", default="HEAD", help="a git revision (default: %(default)s)")
    parser.add_argument(
        "--other", default=WORKING_TREE, help="the revision to compare (default: the files of this checkout)"
    )
    parser.add_argument("--rounds", type=int, default=9, help="rounds per measurement (default: %(default)s)")
    parser.add_argument(
        "--requests", type=int, default=400, help="requests of one event per round (default: %(default)s)"
    )
    parser.add_argument("--streams", type=int, default=24, help="long streams per round (default: %(default)s)")
    parser.add_argument("--limit", type=float, default=inf, metavar="RATIO", help="exit with status 1 above this ratio")
    options = parser.parse_args(arguments)
    if options.rounds < 1 or any(count < CLIENTS or count % CLIENTS for count in (options.requests, options.streams)):
        parser.error(f"--rounds must be at least 1; --requests and --streams must be positive multiples of {CLIENTS}")
    return options


def measure_revisions(options: argparse.Namespace, folder: Path) -> list[Cost]:
    """Checks out and measures the revisions. Raises ``RevisionError`` and ``MeasurementFailed``."""
    trees = [check_out(options.revision, folder / "first"), check_out(options.other, folder / "other")]
    failed: BaseException | None = None
    try:
        return trio.run(measure_all, trees, folder, options)
    except* (MeasurementFailed, trio.TooSlowError, RuntimeError) as group:
        failed = group
    raise MeasurementFailed(", ".join(error_messages(failed)))


def main(arguments: Sequence[str]) -> int:
    """Measures, prints the table and returns the exit status."""
    options = parse_arguments(arguments)
    try:
        with tempfile.TemporaryDirectory(prefix="rowanshift-cost-") as temporary:
            costs = measure_revisions(options, Path(temporary))
    except RevisionError as error:
        print(f"benchmarks/cost.py: {error}", file=sys.stderr)
        return 2
    except MeasurementFailed as error:
        print(f"benchmarks/cost.py: nothing is measured: {error}", file=sys.stderr)
        return 1
    print_table(options, costs)
    exceeded = [measured_cost for measured_cost in costs if measured_cost.exceeds(options.limit)]
    for measured_cost in exceeded:
        print(f"benchmarks/cost.py: {measured_cost.name}: over {options.limit} times the cost", file=sys.stderr)
    return 1 if exceeded else 0


def print_table(options: argparse.Namespace, costs: Sequence[Cost]) -> None:
    """Prints the table of costs."""
    print(f"| cost | unit | {options.revision} | {options.other} | ratio | ratios of the rounds |")
    print("| --- | --- | --- | --- | --- | --- |")
    for measured_cost in costs:
        for figure, kind in zip(measured_cost.figures(), ("", " instructions"), strict=False):
            print(f"| {measured_cost.name} | {figure.unit}{kind} | {figure.cells()} |")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
