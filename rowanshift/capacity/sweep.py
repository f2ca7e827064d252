"""Sweeps: each step starts its own measured process, with limits on time, sizes, memory and descriptors."""

import itertools
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from functools import partial
from multiprocessing import get_context
from multiprocessing.connection import Connection
from typing import Any

import trio

from rowanshift.capacity import child
from rowanshift.capacity.errors import BadSteps, DoesNotFit, StepFailed
from rowanshift.capacity.hollow import Fleet, HollowLedger
from rowanshift.capacity.meter import LoopbackRuntime, descriptor_limit, half_of_memory, rss
from rowanshift.capacity.results import Step, Sweep

MAX_SIZES = {"routers": 2000, "servers": 100_000, "tenants": 200_000, "routes": 50_000}  # largest sizes of one step
MAX_STEPS = 12
MEMORY_CHECK_INTERVAL_SECONDS = 0.2
SETTLE_SECONDS = 4.0  # time until a new primary has announced the routers to each other and polls are held
RESERVED_DESCRIPTORS = 64  # in addition to the routers' connections

# Upper estimates for the check before a step: memory of both processes per server and per tenant or route, and
# bytes in transit to a router when everything is sent in full.
SERVER_MEMORY_BYTES, ENTRY_MEMORY_BYTES, PROCESS_MEMORY_BYTES = 40_000, 6_000, 100 << 20
SERVER_QUEUED_BYTES, ENTRY_QUEUED_BYTES = 120 * 4, 100 * 4


@dataclass(frozen=True, slots=True)
class Shape:
    """The sizes of a step."""

    routers: int = 10
    servers: int = 100
    tenants: int = 100
    routes: int = 30
    pools: int = 9

    def memory(self) -> int:
        """Estimates the peak memory of both processes in bytes."""
        entries = self.tenants + self.routes
        sent = self.routers * (SERVER_QUEUED_BYTES * self.servers + ENTRY_QUEUED_BYTES * entries)
        return 2 * PROCESS_MEMORY_BYTES + SERVER_MEMORY_BYTES * self.servers + ENTRY_MEMORY_BYTES * entries + sent

    def check(self) -> None:
        """Raises ``BadSteps`` for a size out of bounds, ``DoesNotFit`` for a step that exceeds the machine."""
        for name, maximum in MAX_SIZES.items():
            minimum = 0 if name in ("tenants", "routes") else 1
            if not minimum <= (value := getattr(self, name)) <= maximum:
                raise BadSteps(f"{value} {name}: {minimum} to {maximum} expected")
        if (estimate := self.memory()) > (memory_limit := half_of_memory()):
            raise DoesNotFit(
                f"a step of {self.describe()} needs about {estimate >> 20} MiB, "
                f"half of the memory is {memory_limit >> 20} MiB"
            )
        if self.routers + RESERVED_DESCRIPTORS > (maximum := descriptor_limit()):
            raise DoesNotFit(
                f"a step of {self.describe()} needs {self.routers + RESERVED_DESCRIPTORS} descriptors, "
                f"the limit is {maximum}"
            )

    def describe(self) -> str:
        return f"{self.routers} routers, {self.servers} servers, {self.tenants} tenants, {self.routes} routes"

    def ledger_arguments(self) -> dict[str, int]:
        return {"servers": self.servers, "tenants": self.tenants, "routes": self.routes, "pools": self.pools}


def check_steps(steps: list[int]) -> None:
    if not steps or len(steps) > MAX_STEPS or any(b <= a for a, b in itertools.pairwise(steps)):
        raise BadSteps(f"1 to {MAX_STEPS} increasing integers expected, not {','.join(map(str, steps)) or 'none'}")


class MeasuredProcess:
    """The measuring side's handle on the measured process."""

    def __init__(self, process: Any, pipe: Connection) -> None:
        self.process, self.pipe = process, pipe

    async def answer(self) -> dict[str, Any]:
        try:
            return await trio.to_thread.run_sync(self.pipe.recv, abandon_on_cancel=True)
        except (EOFError, OSError) as error:
            raise StepFailed("the measured process exited before it answered") from error

    async def execute(self, command: Any) -> dict[str, Any]:
        try:
            self.pipe.send(command)
        except OSError as error:
            raise StepFailed("the measured process exited before it answered") from error
        return await self.answer()


@contextmanager
def measured_process(role: str, argument: Any) -> Iterator[MeasuredProcess]:
    context = get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=child.main, args=(role, theirs, argument), daemon=True)
    process.start()
    theirs.close()
    try:
        yield MeasuredProcess(process, ours)
    finally:
        with suppress(OSError):
            ours.send("stop")
        process.join(2.0)
        if process.is_alive():
            process.kill()
            process.join()
        ours.close()


async def enforce_memory_limit(process: Any, nursery: trio.Nursery, limit_errors: list[str]) -> None:
    """Cancels the step once both processes together hold over half of the memory."""
    memory_limit = half_of_memory()
    while True:
        try:
            resident = rss() + rss(process.pid)
        except (OSError, IndexError):
            resident = 0
        if resident > memory_limit:
            limit_errors.append(
                f"the processes of a step held {resident >> 20} MiB, "
                f"half of the memory is {memory_limit >> 20} MiB: step ended"
            )
            nursery.cancel_scope.cancel()
            return
        await trio.sleep(MEMORY_CHECK_INTERVAL_SECONDS)


def usage_delta(before: dict[str, Any], after: dict[str, Any], name: str) -> dict[str, float]:
    return {
        f"{name}_cpu_s": after["cpu_s"] - before["cpu_s"],
        f"{name}_sent": after["sent"] - before["sent"],
        f"{name}_received": after["received"] - before["received"],
    }


async def ledger_step(shape: Shape, window: float, limit: float, say: Callable[[str], None]) -> dict[str, float]:
    """Measures a ledger in the measured process, with hollow routers in this process."""
    metrics: dict[str, float] = {}
    with measured_process("ledger", shape.ledger_arguments()) as ledger:
        start = await ledger.answer()
        metrics["start_rss"] = start["rss"]
        host = LoopbackRuntime()
        fleet = Fleet(host, start["address"], shape.routers)
        async with trio.open_nursery() as nursery:
            limit_errors: list[str] = []
            nursery.start_soon(enforce_memory_limit, ledger.process, nursery, limit_errors)
            before, at = await ledger.execute("nothing"), trio.current_time()
            await fleet.start(nursery)
            if not await fleet.wait_for(None, limit):
                raise StepFailed(
                    f"after {limit:g} s {len(fleet.pending)} of {shape.routers} routers "
                    f"had no configuration or server list"
                )
            metrics["first_s"] = trio.current_time() - at
            after = await ledger.execute("nothing")
            metrics |= usage_delta(before, after, "first")
            await trio.sleep(SETTLE_SECONDS)

            say("idle")
            before, at, polls = await ledger.execute("nothing"), trio.current_time(), fleet.polls
            await trio.sleep(window)
            after, spent = await ledger.execute("nothing"), trio.current_time() - at
            metrics |= {
                f"idle_{name}_per_s": value / spent
                for name, value in (
                    ("cpu_s", after["cpu_s"] - before["cpu_s"]),
                    ("polls", fleet.polls - polls),
                    ("sent", after["sent"] - before["sent"]),
                    ("received", after["received"] - before["received"]),
                )
            }
            before = after
            after = await ledger.execute("read_list")
            metrics["list_cpu_s"] = after["own_cpu_s"]

            for name, command, goal in (
                ("roster", "change_roster", lambda now, router: router.registry >= now["registry"]),
                ("config", "change_config", lambda now, router: router.fingerprint == now["mark"]),
            ):
                say(name)
                before, at = await ledger.execute("nothing"), trio.current_time()
                now = await ledger.execute(command)
                metrics[f"{name}_own_cpu_s"] = now["own_cpu_s"]
                metrics[f"{name}_done_s"] = trio.current_time() - at
                metrics[f"{name}_reached"] = shape.routers
                if not await fleet.wait_for(partial(goal, now), limit):
                    metrics[f"{name}_reached"] = shape.routers - len(fleet.pending)
                metrics[f"{name}_s"] = trio.current_time() - at
                after = await ledger.execute("nothing")
                metrics |= usage_delta(before, after, name)
                metrics[f"{name}_epochs"] = after["epoch"] - before["epoch"]
            metrics["rss"], metrics["rss_most"] = after["rss"], after["rss_most"]
            nursery.cancel_scope.cancel()
        if limit_errors:
            raise DoesNotFit(limit_errors[0])
    return metrics


async def router_step(shape: Shape, window: float, limit: float, say: Callable[[str], None]) -> dict[str, float]:
    """Measures a router's control client in the measured process, with the ledger in this process."""
    metrics: dict[str, float] = {}
    host = LoopbackRuntime()
    async with trio.open_nursery() as nursery:
        hollow = HollowLedger(host, **shape.ledger_arguments())
        await hollow.start(nursery)
        limit_errors: list[str] = []
        with measured_process("router", hollow.address) as router:
            start = await router.answer()
            nursery.start_soon(enforce_memory_limit, router.process, nursery, limit_errors)

            async def wait_until_current() -> dict[str, Any]:
                state = hollow.state()
                return await router.execute((state["registry"], state["mark"]))

            at = trio.current_time()
            first = await wait_until_current()
            metrics["first_s"] = trio.current_time() - at
            metrics |= {f"first_{name}": first[name] - start[name] for name in ("cpu_s", "received")}
            metrics["first_memory"] = first["rss"] - start["rss"]
            say("idle")
            before, at = await wait_until_current(), trio.current_time()
            await trio.sleep(window)
            after, spent = await wait_until_current(), trio.current_time() - at
            metrics |= {
                f"idle_{name}_per_s": (after[name] - before[name]) / spent for name in ("cpu_s", "received", "sent")
            }
            for name, change in (("roster", hollow.change_roster), ("config", hollow.change_config)):
                say(name)
                before = await wait_until_current()
                await change()
                at = trio.current_time()
                after = await wait_until_current()
                metrics[f"{name}_s"] = trio.current_time() - at
                metrics |= usage_delta(before, after, name)
            metrics["memory"] = after["rss"] - start["rss"]
            metrics["rss"], metrics["rss_most"] = after["rss"], after["rss_most"]
        hollow.stop()
        nursery.cancel_scope.cancel()
    if limit_errors:
        raise DoesNotFit(limit_errors[0])
    return metrics


STEP_FUNCTIONS = {"ledger": ledger_step, "router": router_step}


async def _run_with_timeout(
    side: str, shape: Shape, window: float, limit: float, say: Callable[[str], None]
) -> dict[str, float]:
    with trio.move_on_after(limit):
        return await STEP_FUNCTIONS[side](shape, window, limit / 3, say)
    raise StepFailed(f"a step of {shape.describe()} did not end within {limit:g} s")


def unwrap_single_error(group: BaseExceptionGroup) -> BaseException:
    """Returns the error inside nested exception groups of one error each."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error


def measure(side: str, shape: Shape, window: float, limit: float, say: Callable[[str], None]) -> dict[str, float]:
    """Returns the metrics of one step. Raises ``CapacityError`` if it cannot be run."""
    shape.check()
    try:
        metrics = trio.run(_run_with_timeout, side, shape, window, limit, say)
    except BaseExceptionGroup as group:
        error = unwrap_single_error(group)
        if isinstance(error, trio.TooSlowError):
            raise StepFailed(f"a step of {shape.describe()} exceeded the time limit of a wait inside it") from group
        raise error from group
    return {name: round(value, 6) for name, value in metrics.items()}


@dataclass(frozen=True, slots=True)
class Plan:
    """A planned sweep: steps ``variable`` of ``shape``, with the role ``side`` in the measured process."""

    name: str
    side: str
    variable: str
    steps: tuple[int, ...]
    shape: Shape

    def shapes(self) -> list[Shape]:
        check_steps(list(self.steps))
        names = Shape.__dataclass_fields__
        shapes = [
            Shape(**{name: getattr(self.shape, name) for name in names} | {self.variable: step}) for step in self.steps
        ]
        for shape in shapes:
            shape.check()
        return shapes

    def run(self, window: float, limit: float, begun: Callable[[int], None], say: Callable[[str], None]) -> Sweep:
        fixed = {name: getattr(self.shape, name) for name in Shape.__dataclass_fields__ if name != self.variable}
        sweep = Sweep(
            self.name,
            self.variable,
            fixed | {"window_s": window},
            limit=f"{limit:g} s, {half_of_memory() >> 20} MiB, {MAX_SIZES[self.variable]} {self.variable}",
        )
        for shape in self.shapes():
            x = getattr(shape, self.variable)
            begun(x)
            at = time.perf_counter()
            metrics = measure(self.side, shape, window, limit, say)
            sweep.steps.append(Step(x, metrics | {"step_s": round(time.perf_counter() - at, 3)}))
        sweep.fit()
        return sweep
