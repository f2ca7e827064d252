"""Compatibility of two revisions: real routers and core machines on loopback, in each combination.

    python benchmarks/mixed_versions.py --revision 34514ad                    # and this checkout's files
    python benchmarks/mixed_versions.py --revision 34514ad --other 34514ad    # a revision with itself

In each combination, requests go through each router to emulated model servers all the time, while the operator patches
the configuration, names a version, and puts another configuration after the primary was ended by SIGTERM; then the
other processes are ended by SIGTERM. A combination fails where a request is not answered 200 with a complete stream, a
change is not in force in time, the core does not regain its redundancy, a process ends with another code than 0, or an
error is logged. The exit status is 1 if any combination failed, 2 if a revision can't be checked out.
"""

import argparse
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio
from loopback_system import (
    MODEL,
    PATH_PREFIX,
    START_TIMEOUT_SECONDS,
    WORKING_TREE,
    LoopbackSystem,
    Machine,
    RequestCounts,
    RevisionError,
    SourceTree,
    check_out,
    configuration,
    route,
    send_requests,
    streamed_request,
)

STEP_TIMEOUT_SECONDS = 20.0
PROBE_SECONDS = 0.02  # between requests that ask whether a change is in force
CLIENTS_PER_ROUTER = 2
CLIENT_PAUSE_SECONDS = 0.02
TOKENS_OUT = 40
PATCHED_PREFIX, LATER_PREFIX = "/patched/", "/later/"
NEW_VERSION = 2
ERRORS = ("level=ERROR", "level=CRITICAL", "Traceback")  # in a log


@dataclass(frozen=True, slots=True)
class Combination:
    """The tree of each core machine and each router."""

    name: str
    core: tuple[SourceTree, ...]
    routers: tuple[SourceTree, ...]


@dataclass(slots=True)
class RouterResult:
    """What was measured at one router; times in seconds from the acknowledgement of the change."""

    router: Machine
    requests: RequestCounts = field(default_factory=RequestCounts)
    patch_seconds: float = float("nan")
    version_seconds: float = float("nan")
    later_seconds: float = float("nan")


@dataclass(slots=True)
class CombinationResult:
    """What was measured in one combination. ``failures`` is empty if all went well."""

    combination: Combination
    routers: list[RouterResult] = field(default_factory=list)
    loaded_seconds: float = float("nan")  # from the acknowledged name to the last server that loaded it
    exit_codes: dict[str, int] = field(default_factory=dict)  # by machine, in the order of the ends
    failures: list[str] = field(default_factory=list)


def combinations(first: SourceTree, second: SourceTree) -> dict[str, Combination]:
    """Returns all combinations of two trees, by their command-line names."""
    return {
        "old-routers": Combination(f"routers {first.name}, core {second.name}", (second,) * 3, (first,) * 2),
        "old-core": Combination(f"routers {second.name}, core {first.name}", (first,) * 3, (second,) * 2),
        "mostly-old": Combination(
            f"core 2 of {first.name}, 1 of {second.name}", (first, second, first), (first, second)
        ),
        "mostly-new": Combination(
            f"core 1 of {first.name}, 2 of {second.name}", (second, first, second), (first, second)
        ),
    }


class CombinationRun:
    """Runs the steps of one combination."""

    def __init__(self, combination: Combination, folder: Path, requests: int) -> None:
        self.system = LoopbackSystem(folder, combination.core, combination.routers)
        self.result = CombinationResult(combination, [RouterResult(router) for router in self.system.routers])
        self.requests = requests  # minimum at each router
        self.changes_done = trio.Event()

    async def run(self) -> CombinationResult:
        """Runs all steps and returns the measurements."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.system.serve_emulation)
                await self._run_steps()
                nursery.cancel_scope.cancel()
        finally:
            self.system.close()
        self._check_result()
        return self.result

    async def _run_steps(self) -> None:
        """Starts the system, changes it under load and stops it."""
        if not await self.run_step(self.start, START_TIMEOUT_SECONDS):
            return
        async with trio.open_nursery() as nursery:
            for result in self.result.routers:
                for number in range(CLIENTS_PER_ROUTER):
                    nursery.start_soon(self.keep_sending, result, f"client-{result.router.ip}-{number}")
            for step in (self.patch, self.name_version, self.end_primary, self.put_later):
                if not await self.run_step(step):
                    break
            self.changes_done.set()
        await self.run_step(self.end_routers)
        await self.run_step(self.end_core)

    async def run_step(self, step: Callable[[], Awaitable[None]], seconds: float = STEP_TIMEOUT_SECONDS) -> bool:
        """Runs a step with a time limit and records an error as a failure; returns whether it succeeded."""
        try:
            with trio.fail_after(seconds):
                await step()
        except (trio.TooSlowError, RuntimeError) as error:
            self.result.failures.append(f"{step.__name__}: {str(error) or 'not in time'}")
            return False
        return True

    async def start(self) -> None:
        """Starts the processes and waits until each router is ready and the core redundant."""
        await self.system.start_serving(configuration(1))
        await self.wait_until_redundant(len(self.system.core))

    async def keep_sending(self, result: RouterResult, name: str) -> None:
        """Sends requests through a router until all changes are made and the minimum is sent."""
        client, work = self.system.client(name, result.router), streamed_request(TOKENS_OUT)
        while not self.changes_done.is_set() or result.requests.sent < self.requests:
            await send_requests(client, work, 1, result.requests)
            await trio.sleep(CLIENT_PAUSE_SECONDS)
        client.close()

    async def patch(self) -> None:
        """Adds a route by a patch and measures when each router serves it."""
        patch = {"revision": 2, "upsert": {"routes": [route(PATCHED_PREFIX)]}}
        patched = configuration(2, (PATH_PREFIX, PATCHED_PREFIX))
        self._expect_200(
            "the patch", await self.system.operator.put_config(patched, 1, STEP_TIMEOUT_SECONDS, patch=patch)
        )

        async def measure(result: RouterResult) -> None:
            result.patch_seconds = await self.seconds_until_served(result.router, PATCHED_PREFIX)

        await self._at_each_router(measure)

    async def name_version(self) -> None:
        """Sets a model version and measures when each router answers from it and all servers have loaded it."""
        self._expect_200(
            "the version", await self.system.operator.name_version(MODEL, NEW_VERSION, STEP_TIMEOUT_SECONDS)
        )
        acknowledged_at = trio.current_time()

        async def measure(result: RouterResult) -> None:
            result.version_seconds = await self.seconds_until_version(result.router)

        await self._at_each_router(measure)
        while any(server.models[MODEL] != NEW_VERSION for server in self.system.servers):
            await trio.sleep(PROBE_SECONDS)
        self.result.loaded_seconds = trio.current_time() - acknowledged_at

    async def end_primary(self) -> None:
        """Stops the primary by SIGTERM; another core machine, possibly of the other revision, takes over."""
        primary = await self.system.primary()
        primary.terminate()
        self.result.exit_codes[primary.ip] = await primary.exit_code()
        await self.wait_until_redundant(len(self.system.core) - 1)

    async def put_later(self) -> None:
        """Puts a full configuration at the new primary and measures when each router serves its new route."""
        later = configuration(3, (PATH_PREFIX, LATER_PREFIX))
        self._expect_200(
            "the later configuration", await self.system.operator.put_config(later, 2, STEP_TIMEOUT_SECONDS)
        )

        async def measure(result: RouterResult) -> None:
            result.later_seconds = await self.seconds_until_served(result.router, LATER_PREFIX)

        await self._at_each_router(measure)

    async def end_routers(self) -> None:
        """Stops the routers by SIGTERM."""
        await self._end(self.system.routers)

    async def end_core(self) -> None:
        """Stops the remaining core machines by SIGTERM."""
        await self._end(self.system.core)

    async def _end(self, machines: Sequence[Machine]) -> None:
        running = [machine for machine in machines if machine.running]
        for machine in running:
            machine.terminate()
        for machine in running:
            self.result.exit_codes[machine.ip] = await machine.exit_code()

    async def wait_until_redundant(self, machines: int) -> None:
        """Waits until a primary has all copies and witnesses of ``machines`` machines and all report the same epoch."""
        copies = machines // 2 + 1
        while True:
            statuses = [*(await self.system.statuses()).values()]
            views = {(status["epoch"], *status["inSync"], "|", *status["witnesses"]) for status in statuses}
            redundancy = next((status["redundancy"] for status in statuses if status["primary"]), None)
            agreed = len(statuses) == machines and len(views) == 1
            if agreed and redundancy and redundancy["copies"] >= copies and redundancy["witnesses"] >= machines:
                return
            await trio.sleep(PROBE_SECONDS)

    async def seconds_until_served(self, router: Machine, path_prefix: str) -> float:
        """Returns the seconds until a request to a new route is answered 200."""
        started = trio.current_time()
        client, work = self.system.client(f"probe-{router.ip}", router), streamed_request(1, path_prefix)
        while (await client.ask(work)).status != 200:
            await trio.sleep(PROBE_SECONDS)
        client.close()
        return trio.current_time() - started

    async def seconds_until_version(self, router: Machine) -> float:
        """Returns the seconds until an answer is from the new version."""
        started = trio.current_time()
        client, work = self.system.client(f"versions-{router.ip}", router), streamed_request(1)
        while NEW_VERSION not in (await client.ask(work)).versions:
            await trio.sleep(PROBE_SECONDS)
        client.close()
        return trio.current_time() - started

    async def _at_each_router(self, measure: Callable[[RouterResult], Awaitable[None]]) -> None:
        async with trio.open_nursery() as nursery:
            for result in self.result.routers:
                nursery.start_soon(measure, result)

    def _expect_200(self, change: str, status: int) -> None:
        if status != 200:
            raise RuntimeError(f"{change} was answered {status}, expected 200")

    def _check_result(self) -> None:
        """Records failures of a finished run: incomplete requests, exit codes and logged errors."""
        failures = self.result.failures
        for result in self.result.routers:
            if not result.requests.sent == result.requests.complete > 0:
                failures.append(f"{result.router.ip}: {result.requests}")
        for machine in (*self.system.core, *self.system.routers):
            if self.result.exit_codes.get(machine.ip) != 0:
                failures.append(f"{machine.ip}: exit code {self.result.exit_codes.get(machine.ip)}")
            errors = [line for line in machine.log().splitlines() if any(error in line for error in ERRORS)]
            if errors:
                failures.append(f"{machine.ip}: {len(errors)} errors logged, the first {errors[0]!r}")


async def run_combination(combination: Combination, folder: Path, requests: int) -> CombinationResult:
    """Runs one combination and returns its measurements."""
    return await CombinationRun(combination, folder, requests).run()


def print_result(result: CombinationResult) -> None:
    """Prints the rows and the failures of one combination."""
    codes = " ".join(str(code) for code in result.exit_codes.values())
    for row in result.routers:
        counts = row.requests
        print(
            f"| {result.combination.name} | {row.router.tree.name} | {counts.sent} | {counts.answered_200} "
            f"| {counts.complete} | {row.patch_seconds:.2f} | {row.version_seconds:.2f}, {result.loaded_seconds:.2f} "
            f"| {row.later_seconds:.2f} | {codes} | {'failed' if result.failures else 'passed'} |",
            flush=True,
        )
    for failure in result.failures:
        print(f"{result.combination.name}: {failure}", file=sys.stderr, flush=True)


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter, allow_abbrev=False
    )
    parser.add_argument("--revision", default="HEAD", help="a git revision (default: %(default)s)")
    parser.add_argument(
        "--other", default=WORKING_TREE, help="the other revision (default: the files of this checkout)"
    )
    parser.add_argument(
        "--requests", type=int, default=100, help="minimum number of requests per router (default: %(default)s)"
    )
    names = [*combinations(SourceTree("", Path()), SourceTree("", Path()))]
    parser.add_argument(
        "--combinations", nargs="+", choices=names, default=names, help="combinations to run (default: all)"
    )
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    """Runs the combinations, prints the measurements and returns the exit status."""
    options = parse_arguments(arguments)
    failed = False
    with tempfile.TemporaryDirectory(prefix="rowanshift-mixed-") as temporary:
        folder = Path(temporary)
        try:
            trees = [
                check_out(revision, folder / side)
                for side, revision in (("one", options.revision), ("two", options.other))
            ]
        except RevisionError as error:
            print(f"benchmarks/mixed_versions.py: {error}", file=sys.stderr)
            return 2
        print(
            "| combination | router of | sent | 200 | complete | patch in force after s "
            "| version at the router, at all servers after s | later configuration after s | exit codes | |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |", flush=True)
        by_name = combinations(*trees)
        for name in options.combinations:
            result = trio.run(run_combination, by_name[name], folder / name, options.requests)
            print_result(result)
            failed |= bool(result.failures)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
