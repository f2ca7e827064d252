"""What two revisions cost beside each other in one run: starts of both roles, requests and streamed events.

    python benchmarks/cost.py --revision 34514ad                     # and this checkout's files
    python benchmarks/cost.py --revision 34514ad --other 34514ad     # a revision with itself: the noise
    python benchmarks/cost.py --revision 34514ad --limit 1.03        # exit status 1 above this ratio

Real processes on loopback, known by their settings, HTTP calls and the system's account of them alone: processor time
and, where the system counts them, instructions in user mode (see ``process_usage``). Measurements are interleaved, so
that other processes of the machine burden both alike. A ratio is the median over the rounds, the other revision's value
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
    checked_out,
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


class NothingMeasured(Exception):
    """A process or a request did not do what is measured; the text says which."""


@dataclass(slots=True)
class Figure:
    """A measured cost: by side, one value a round. The sides are 0, the first revision, and 1, the other."""

    name: str
    unit: str
    values: tuple[list[float], list[float]] = field(default_factory=lambda: ([], []))

    def ratios(self) -> list[float]:
        """The other revision's value divided by the first one's, round by round."""
        return [other / first for first, other in zip(*self.values, strict=True)]

    def ratio(self) -> float:
        """The median of the ratios."""
        return statistics.median(self.ratios())

    def cells(self) -> str:
        """The figure as cells of the table."""
        first, other = (statistics.median(values) for values in self.values)
        ratios = self.ratios()
        return f"{first:.2f} | {other:.2f} | {self.ratio():.3f} | {min(ratios):.3f} to {max(ratios):.3f}"


@dataclass(slots=True)
class Cost:
    """What something costs, as processor time and as instructions in user mode."""

    name: str
    time: Figure
    instructions: Figure
    is_limited: bool = True  # whether ``--limit`` is for it

    def add(self, side: int, used: Usage, count: float = 1) -> None:
        """Add one round's value: what was used by so many of what is measured."""
        seconds_per_unit = TIME_UNITS[self.time.unit]
        self.time.values[side].append(used.cpu_seconds / count / seconds_per_unit)
        if used.instructions is not None:
            per_unit = INSTRUCTION_UNITS[self.instructions.unit]
            self.instructions.values[side].append(used.instructions / count / per_unit)

    def figures(self) -> list[Figure]:
        """The figures that have values, the steadier one last."""
        return [figure for figure in (self.time, self.instructions) if figure.values[0]]

    def exceeds(self, limit: float) -> bool:
        """Whether the steadier ratio is above a limit that is for this cost."""
        return self.is_limited and self.figures()[-1].ratio() > limit


def cost(name: str, time_unit: str, instruction_unit: str, is_limited: bool = True) -> Cost:
    """A cost without values yet."""
    return Cost(name, Figure(name, time_unit), Figure(name, instruction_unit), is_limited)


def sides(number: int) -> tuple[int, int]:
    """The order in which the sides are measured in a round: each goes first in every second one."""
    return (0, 1) if number % 2 == 0 else (1, 0)


# starts


class Starts:
    """Measures starts of processes, each on settings and a data folder of its own."""

    def __init__(self, trees: Sequence[SourceTree], folder: Path) -> None:
        self.trees, self.folder, self.numbers = trees, folder, count(1)

    async def costs(self, rounds: int) -> list[Cost]:
        """What each kind of start costs, after one start of each that is not counted."""
        measured: list[tuple[Cost, Callable[[SourceTree], Awaitable[Usage]]]] = [
            (cost("start of `controlplane` until it listens", "ms", "million"), self.core_listens),
            (cost("the same until a first configuration is in force", "ms", "million"), self.core_changes),
            (cost("start of `dataplane` until it listens", "ms", "million"), self.router_listens),
            (cost("`check --boot`, until it ends", "ms", "million"), self.check),
        ]
        for number in range(rounds + 1):
            for measured_cost, measure in measured:
                for side in sides(number):
                    used = await measure(self.trees[side])
                    if number:
                        measured_cost.add(side, used)
        return [measured_cost for measured_cost, _ in measured]

    def _system(self, tree: SourceTree) -> LoopbackSystem:
        return LoopbackSystem(self.folder / f"start-{next(self.numbers)}", [tree], [tree])

    async def core_listens(self, tree: SourceTree) -> Usage:
        """What a core machine uses until it takes connections."""
        system = self._system(tree)
        return await until_listening(system, system.core[0], CONTROL_PORT)

    async def core_changes(self, tree: SourceTree) -> Usage:
        """What a core machine uses until it has answered the first change."""
        system = self._system(tree)
        core = system.core[0]
        try:
            core.start()
            with trio.fail_after(START_TIMEOUT_SECONDS):
                status = await system.operator.put_config(configuration(1), 0, within=START_TIMEOUT_SECONDS)
            if status != 200:
                raise NothingMeasured(f"{tree.name}: the first configuration was answered {status}")
            return core.usage.read()
        finally:
            system.close()

    async def router_listens(self, tree: SourceTree) -> Usage:
        """What a router uses until it takes connections; its core machine doesn't run."""
        system = self._system(tree)
        return await until_listening(system, system.routers[0], READINESS_PORT)

    async def check(self, tree: SourceTree) -> Usage:
        """What the command uses that checks a core machine's settings."""
        core = self._system(tree).core[0]
        command = [sys.executable, "rowanshift.py", "check", "--boot", str(core.settings_file)]
        with subprocess.Popen(
            command, cwd=tree.path, env=core.environment(), stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        ) as process:
            usage = ProcessUsage(process.pid)
            try:
                os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)  # not reaped yet: its account can be read
                used = usage.read()
            finally:
                usage.close()
        if process.returncode:
            raise NothingMeasured(f"{tree.name}: check --boot ended with {process.returncode}")
        return used


async def until_listening(system: LoopbackSystem, machine: Machine, port: int) -> Usage:
    """Start a machine's process; what it uses until it takes a connection at a port. It is then ended."""
    try:
        machine.start()
        with trio.fail_after(START_TIMEOUT_SECONDS):
            while not listens(machine.ip, port):
                if not machine.running:
                    raise NothingMeasured(f"{machine.tree.name}: {machine.role} ended: {machine.log()}")
                await trio.sleep(PROBE_SECONDS)
        return machine.usage.read()
    finally:
        system.close()


def listens(ip: str, port: int) -> bool:
    """Whether a connection is taken."""
    try:
        socket.create_connection((ip, port), 1).close()
    except OSError:
        return False
    return True


# requests


class Requests:
    """Measures two systems that run side by side, each of one revision: a core machine and two routers.

    What two routers use is added up: one of them keeps what the other asks it for, and so uses less. There is one
    model server: where routers choose among several, equal systems settle on different choices.
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
        """What a request of one event costs, an event of a long stream, and a second without requests."""
        for side, system in enumerate(self.systems):
            await system.start_serving(configuration(1))
            await self.used(side, WARM_UP_REQUESTS, 1)
        request, event = cost("request of one event", "us", "thousand"), cost("event of a stream", "us", "thousand")
        idle_routers = cost("a second of two routers without requests", "ms", "million", is_limited=False)
        idle_core = cost("a second of their core machine", "ms", "million", is_limited=False)
        for number in range(rounds):
            for side in sides(number):
                short, long = await self.used(side, requests, 1), await self.used(side, streams, EVENTS_PER_STREAM)
                request.add(side, short, requests)
                event.add(side, long - scaled(short, streams / requests), streams * (EVENTS_PER_STREAM - 1))
            await trio.sleep(SETTLE_SECONDS)
            before = [(usage_of(system.routers), usage_of(system.core)) for system in self.systems]
            await trio.sleep(IDLE_SECONDS)
            for side, (system, (routers, core)) in enumerate(zip(self.systems, before, strict=True)):
                idle_routers.add(side, usage_of(system.routers) - routers, IDLE_SECONDS)
                idle_core.add(side, usage_of(system.core) - core, IDLE_SECONDS)
        return [request, event, idle_routers, idle_core]

    async def used(self, side: int, requests: int, events: int) -> Usage:
        """What the routers of one system use for so many requests, all with so many events."""
        system, clients = self.systems[side], self.clients[side]
        work, counts = streamed_request(events * TOKENS_PER_EVENT), RequestCounts()
        before = usage_of(system.routers)
        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(send_requests, client, work, requests // len(clients), counts)
        used = usage_of(system.routers) - before
        if counts.complete < requests:
            raise NothingMeasured(f"{system.routers[0].tree.name}: {counts}")
        return used


def usage_of(machines: Sequence[Machine]) -> Usage:
    """What the processes of some machines have used together."""
    each = [machine.usage.read() for machine in machines]
    instructions = [usage.instructions for usage in each if usage.instructions is not None]
    counted = len(instructions) == len(each)
    return Usage(sum(usage.cpu_seconds for usage in each), sum(instructions) if counted else None)


def scaled(used: Usage, factor: float) -> Usage:
    """So many times what was used."""
    instructions = None if used.instructions is None else int(used.instructions * factor)
    return Usage(used.cpu_seconds * factor, instructions)


async def request_costs(trees: Sequence[SourceTree], folder: Path, given: argparse.Namespace) -> list[Cost]:
    """The costs that ``Requests`` measures."""
    requests = Requests(trees, folder)
    try:
        async with trio.open_nursery() as nursery:
            for system in requests.systems:
                nursery.start_soon(system.serve_emulation)
            costs = await requests.costs(given.rounds, given.requests, given.streams)
            nursery.cancel_scope.cancel()
        return costs
    finally:
        for system in requests.systems:
            system.close()


# command line


async def measured(trees: Sequence[SourceTree], folder: Path, given: argparse.Namespace) -> list[Cost]:
    """All costs."""
    starts = await Starts(trees, folder).costs(given.rounds)
    return [*starts, *await request_costs(trees, folder, given)]


def causes(error: BaseException) -> Iterator[str]:
    """What the errors within a group say."""
    for part in error.exceptions if isinstance(error, BaseExceptionGroup) else [error]:
        yield from causes(part) if isinstance(part, BaseExceptionGroup) else [str(part) or type(part).__name__]


def parsed(arguments: Sequence[str]) -> argparse.Namespace:
    """The options of the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter, allow_abbrev=False
    )
    parser.add_argument("--revision", default="HEAD", help="a git revision, %(default)s if not given")
    parser.add_argument("--other", default=WORKING_TREE, help="what is compared; this checkout's files if not given")
    parser.add_argument("--rounds", type=int, default=9, help="of each measurement; %(default)s")
    parser.add_argument("--requests", type=int, default=400, help="of one event, a round and router; %(default)s")
    parser.add_argument("--streams", type=int, default=24, help="long ones, a round and router; %(default)s")
    parser.add_argument("--limit", type=float, default=inf, metavar="RATIO", help="ratios above it fail")
    given = parser.parse_args(arguments)
    if given.rounds < 1 or any(count < CLIENTS or count % CLIENTS for count in (given.requests, given.streams)):
        parser.error(f"at least 1 round, and requests and streams by {CLIENTS}")
    return given


def costs_of(given: argparse.Namespace, folder: Path) -> list[Cost]:
    """Check the revisions out and measure them. Raises ``RevisionError`` and ``NothingMeasured``."""
    trees = [checked_out(given.revision, folder / "first"), checked_out(given.other, folder / "other")]
    failed: BaseException | None = None
    try:
        return trio.run(measured, trees, folder, given)
    except* (NothingMeasured, trio.TooSlowError, RuntimeError) as group:
        failed = group
    raise NothingMeasured(", ".join(causes(failed)))


def main(arguments: Sequence[str]) -> int:
    """Measure, and print the table; the exit status."""
    given = parsed(arguments)
    try:
        with tempfile.TemporaryDirectory(prefix="rowanshift-cost-") as temporary:
            costs = costs_of(given, Path(temporary))
    except RevisionError as error:
        print(f"benchmarks/cost.py: {error}", file=sys.stderr)
        return 2
    except NothingMeasured as error:
        print(f"benchmarks/cost.py: nothing is measured: {error}", file=sys.stderr)
        return 1
    print_table(given, costs)
    exceeded = [one for one in costs if one.exceeds(given.limit)]
    for one in exceeded:
        print(f"benchmarks/cost.py: {one.name}: over {given.limit} times the cost", file=sys.stderr)
    return 1 if exceeded else 0


def print_table(given: argparse.Namespace, costs: Sequence[Cost]) -> None:
    """Print what was measured."""
    print(f"| cost | unit | {given.revision} | {given.other} | ratio | ratios of the rounds |")
    print("| --- | --- | --- | --- | --- | --- |")
    for one in costs:
        for figure, kind in zip(one.figures(), ("", " instructions"), strict=False):
            print(f"| {one.name} | {figure.unit}{kind} | {figure.cells()} |")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
