"""Sweeps: each step in a process of its own beside this one, bounded in time, count, memory, descriptors."""

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
from rowanshift.capacity.meter import Loopback, descriptors, half_of_memory, rss
from rowanshift.capacity.results import Step, Sweep

MOST = {"routers": 2000, "servers": 100_000, "tenants": 200_000, "routes": 50_000}  # of one step
MOST_STEPS = 12
LOOK = 0.2  # seconds between looks at the memory
SETTLE = 4.0  # seconds until a new primary has told the routers of each other, and polls are held
FILES = 64  # descriptors beside the routers' connections

# bytes, generous, for the check before a step: what a row, and a tenant or route, take in both processes, and
# what is on its way to a router as a whole
ROW_MEMORY, ENTRY_MEMORY, PROCESS_MEMORY = 40_000, 6_000, 100 << 20
ROW_SENT, ENTRY_SENT = 120 * 4, 100 * 4


@dataclass(frozen=True, slots=True)
class Shape:
    """What a step holds."""

    routers: int = 10
    servers: int = 100
    tenants: int = 100
    routes: int = 30
    pools: int = 9

    def memory(self) -> int:
        """Bytes that both processes take at most, estimated."""
        entries = self.tenants + self.routes
        sent = self.routers * (ROW_SENT * self.servers + ENTRY_SENT * entries)
        return 2 * PROCESS_MEMORY + ROW_MEMORY * self.servers + ENTRY_MEMORY * entries + sent

    def check(self) -> None:
        """``BadSteps`` or ``DoesNotFit``."""
        for name, most in MOST.items():
            least = 0 if name in ("tenants", "routes") else 1
            if not least <= (value := getattr(self, name)) <= most:
                raise BadSteps(f"{value} {name}: {least} to {most} expected")
        if (wanted := self.memory()) > (half := half_of_memory()):
            raise DoesNotFit(
                f"a step of {self.told()} takes some {wanted >> 20} MiB, half of the memory is {half >> 20} MiB"
            )
        if self.routers + FILES > (most := descriptors()):
            raise DoesNotFit(f"a step of {self.told()} takes {self.routers + FILES} descriptors, there are {most}")

    def told(self) -> str:
        return f"{self.routers} routers, {self.servers} servers, {self.tenants} tenants, {self.routes} routes"

    def ledger(self) -> dict[str, int]:
        return {"servers": self.servers, "tenants": self.tenants, "routes": self.routes, "pools": self.pools}


def check_steps(steps: list[int]) -> None:
    if not steps or len(steps) > MOST_STEPS or any(b <= a for a, b in itertools.pairwise(steps)):
        raise BadSteps(f"1 to {MOST_STEPS} rising whole numbers expected, not {','.join(map(str, steps)) or 'none'}")


class Other:
    """The measured process, from here."""

    def __init__(self, process: Any, pipe: Connection) -> None:
        self.process, self.pipe = process, pipe

    async def answer(self) -> dict[str, Any]:
        try:
            return await trio.to_thread.run_sync(self.pipe.recv, abandon_on_cancel=True)
        except (EOFError, OSError) as error:
            raise StepFailed("the measured process ended") from error

    async def do(self, command: Any) -> dict[str, Any]:
        try:
            self.pipe.send(command)
        except OSError as error:
            raise StepFailed("the measured process ended") from error
        return await self.answer()


@contextmanager
def other(role: str, given: Any) -> Iterator[Other]:
    context = get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=child.main, args=(role, theirs, given), daemon=True)
    process.start()
    theirs.close()
    try:
        yield Other(process, ours)
    finally:
        with suppress(OSError):
            ours.send("stop")
        process.join(2.0)
        if process.is_alive():
            process.kill()
            process.join()
        ours.close()


async def watched(process: Any, nursery: trio.Nursery, over: list[str]) -> None:
    """Ends the step once both processes hold over half of the memory."""
    half = half_of_memory()
    while True:
        try:
            held = rss() + rss(process.pid)
        except (OSError, IndexError):
            held = 0
        if held > half:
            over.append(f"a step held {held >> 20} MiB, half of the memory is {half >> 20} MiB: ended")
            nursery.cancel_scope.cancel()
            return
        await trio.sleep(LOOK)


def used(before: dict[str, Any], after: dict[str, Any], name: str) -> dict[str, float]:
    return {
        f"{name}_cpu_s": after["cpu_s"] - before["cpu_s"],
        f"{name}_sent": after["sent"] - before["sent"],
        f"{name}_received": after["received"] - before["received"],
    }


async def ledger_step(shape: Shape, window: float, limit: float, say: Callable[[str], None]) -> dict[str, float]:
    """The ledger in the measured process, hollow routers in this one."""
    metrics: dict[str, float] = {}
    with other("ledger", shape.ledger()) as ledger:
        start = await ledger.answer()
        metrics["start_rss"] = start["rss"]
        host = Loopback()
        fleet = Fleet(host, start["address"], shape.routers)
        async with trio.open_nursery() as nursery:
            over: list[str] = []
            nursery.start_soon(watched, ledger.process, nursery, over)
            before, at = await ledger.do("nothing"), trio.current_time()
            await fleet.start(nursery)
            if not await fleet.until(None, limit):
                raise StepFailed(f"after {limit:g} s {len(fleet.pending)} routers of {shape.routers} knew nothing")
            metrics["first_s"] = trio.current_time() - at
            after = await ledger.do("nothing")
            metrics |= used(before, after, "first")
            await trio.sleep(SETTLE)

            say("idle")
            before, at, polls = await ledger.do("nothing"), trio.current_time(), fleet.polls
            await trio.sleep(window)
            after, spent = await ledger.do("nothing"), trio.current_time() - at
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
            after = await ledger.do("read_list")
            metrics["list_cpu_s"] = after["own_cpu_s"]

            for name, command, goal in (
                ("roster", "change_roster", lambda now, router: router.registry >= now["registry"]),
                ("config", "change_config", lambda now, router: router.fingerprint == now["mark"]),
            ):
                say(name)
                before, at = await ledger.do("nothing"), trio.current_time()
                now = await ledger.do(command)
                metrics[f"{name}_own_cpu_s"] = now["own_cpu_s"]
                metrics[f"{name}_done_s"] = trio.current_time() - at
                metrics[f"{name}_reached"] = shape.routers
                if not await fleet.until(partial(goal, now), limit):
                    metrics[f"{name}_reached"] = shape.routers - len(fleet.pending)
                metrics[f"{name}_s"] = trio.current_time() - at
                after = await ledger.do("nothing")
                metrics |= used(before, after, name)
                metrics[f"{name}_epochs"] = after["epoch"] - before["epoch"]
            metrics["rss"], metrics["rss_most"] = after["rss"], after["rss_most"]
            nursery.cancel_scope.cancel()
        if over:
            raise DoesNotFit(over[0])
    return metrics


async def router_step(shape: Shape, window: float, limit: float, say: Callable[[str], None]) -> dict[str, float]:
    """A real channel in the measured process, the ledger in this one."""
    metrics: dict[str, float] = {}
    host = Loopback()
    async with trio.open_nursery() as nursery:
        hollow = HollowLedger(host, **shape.ledger())
        await hollow.start(nursery)
        over: list[str] = []
        with other("router", hollow.address) as router:
            start = await router.answer()
            nursery.start_soon(watched, router.process, nursery, over)

            async def known() -> dict[str, Any]:
                state = hollow.state()
                return await router.do((state["registry"], state["mark"]))

            at = trio.current_time()
            first = await known()
            metrics["first_s"] = trio.current_time() - at
            metrics |= {f"first_{name}": first[name] - start[name] for name in ("cpu_s", "received")}
            metrics["first_memory"] = first["rss"] - start["rss"]
            say("idle")
            before, at = await known(), trio.current_time()
            await trio.sleep(window)
            after, spent = await known(), trio.current_time() - at
            metrics |= {
                f"idle_{name}_per_s": (after[name] - before[name]) / spent for name in ("cpu_s", "received", "sent")
            }
            for name, change in (("roster", hollow.change_roster), ("config", hollow.change_config)):
                say(name)
                before = await known()
                await change()
                at = trio.current_time()
                after = await known()
                metrics[f"{name}_s"] = trio.current_time() - at
                metrics |= used(before, after, name)
            metrics["memory"] = after["rss"] - start["rss"]
            metrics["rss"], metrics["rss_most"] = after["rss"], after["rss_most"]
        hollow.stop()
        nursery.cancel_scope.cancel()
    if over:
        raise DoesNotFit(over[0])
    return metrics


STEP_OF = {"ledger": ledger_step, "router": router_step}


async def _within(side: str, shape: Shape, window: float, limit: float, say: Callable[[str], None]) -> dict[str, float]:
    with trio.move_on_after(limit):
        return await STEP_OF[side](shape, window, limit / 3, say)
    raise StepFailed(f"a step of {shape.told()} did not end within {limit:g} s")


def alone(group: BaseExceptionGroup) -> BaseException:
    """The one error in nested groups of one."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error


def measure(side: str, shape: Shape, window: float, limit: float, say: Callable[[str], None]) -> dict[str, float]:
    """The metrics of one step. ``CapacityError`` if it can't be done."""
    shape.check()
    try:
        metrics = trio.run(_within, side, shape, window, limit, say)
    except BaseExceptionGroup as group:
        error = alone(group)
        if isinstance(error, trio.TooSlowError):
            raise StepFailed(f"a step of {shape.told()} stood still") from group
        raise error from group
    return {name: round(value, 6) for name, value in metrics.items()}


@dataclass(frozen=True, slots=True)
class Plan:
    """A sweep to be done: ``variable`` of ``shape`` stepped, ``side`` in the measured process."""

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
            limit=f"{limit:g} s, {half_of_memory() >> 20} MiB, {MOST[self.variable]} {self.variable}",
        )
        for shape in self.shapes():
            x = getattr(shape, self.variable)
            begun(x)
            at = time.perf_counter()
            metrics = measure(self.side, shape, window, limit, say)
            sweep.steps.append(Step(x, metrics | {"step_s": round(time.perf_counter() - at, 3)}))
        sweep.fit()
        return sweep
